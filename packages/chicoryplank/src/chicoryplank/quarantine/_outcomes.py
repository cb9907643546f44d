"""Recent outcomes of attempts, to compare a suspect with other requests."""

import collections
import dataclasses
from collections.abc import Collection

from chicoryplank.ids import ServiceId
from chicoryplank.quarantine._features import FeatureId

_MAX_OUTCOMES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    ended_s: float
    has_crashed: bool
    features: frozenset[FeatureId]


class Outcomes:
    """Attempts at replicas of each service that crashed, or did not."""

    def __init__(self) -> None:
        self._outcomes: dict[ServiceId, collections.deque[_Outcome]] = {}

    def observe(
        self,
        service: ServiceId,
        features: Collection[FeatureId],
        ended_s: float,
        *,
        has_crashed: bool,
    ) -> None:
        """Records whether the replica of an attempt crashed under it."""
        outcomes = self._outcomes.setdefault(
            service, collections.deque(maxlen=_MAX_OUTCOMES)
        )
        outcomes.append(_Outcome(ended_s, has_crashed, frozenset(features)))

    def count_survived(
        self, service: ServiceId, feature: FeatureId, since_s: float
    ) -> int:
        """Counts the attempts without a feature that went well."""
        return sum(
            not outcome.has_crashed
            and outcome.ended_s >= since_s
            and feature not in outcome.features
            for outcome in self._outcomes.get(service, ())
        )

    def estimate_share(self, service: ServiceId, feature: FeatureId) -> float:
        """Returns the fraction of attempts with a feature, from above."""
        total = len(self._outcomes.get(service, ()))
        count = self.count_with(service, feature)
        return (count + 1) / (total + 2)

    def count_with(self, service: ServiceId, feature: FeatureId) -> int:
        """Returns the number of attempts with a feature."""
        return sum(
            feature in outcome.features
            for outcome in self._outcomes.get(service, ())
        )
