"""Verdicts that requests with a feature crash replicas."""

import dataclasses
from collections.abc import Collection, Mapping

from chicoryplank.ids import ServiceId
from chicoryplank.quarantine._features import FeatureId
from chicoryplank.quarantine._ledger import (
    MAX_COMPANIONS,
    MalformedReportError,
    read_text,
)

_MAX_VERDICTS = 256
_MAX_VERSIONS = 16


@dataclasses.dataclass(slots=True)
class QuarantineVerdict:
    """Verdict on a feature, which all entries share.

    Attributes:
        feature: The feature.
        service: Service whose replicas it crashes.
        generation: Number of decisions on the feature; odd while it is in
            quarantine, even once that is lifted. The highest one holds.
        since_s: Time of the last crash that the verdict rests on.
        versions: Software versions of the replicas that crashed.
        companions: Other features that all these crashes have in common, so
            that only requests with all of them are known to be harmful.
    """

    feature: FeatureId
    service: ServiceId
    generation: int
    since_s: float
    versions: set[str]
    companions: set[FeatureId] = dataclasses.field(default_factory=set)

    @property
    def is_active(self) -> bool:
        """Whether requests with the feature are refused."""
        return self.generation % 2 == 1

    def applies_to(self, features: Collection[FeatureId]) -> bool:
        """Returns whether a request with the feature is refused."""
        return self.is_active and self.companions.issubset(features)

    def encode(self, now_s: float) -> dict[str, object]:
        """Returns the verdict as a JSON document, with an age for its time."""
        return {
            "feature": self.feature,
            "service": self.service,
            "generation": self.generation,
            "age_s": round(max(0.0, now_s - self.since_s), 3),
            "versions": sorted(self.versions),
            "companions": sorted(self.companions),
        }


def decode_verdict(document: Mapping, now_s: float) -> QuarantineVerdict:
    """Returns the verdict in a JSON document.

    Raises:
        MalformedReportError: If the document is malformed.
    """
    try:
        generation = int(document["generation"])
        age_s = float(document["age_s"])
        versions = {read_text(name) for name in document["versions"]}
        verdict = QuarantineVerdict(
            FeatureId(read_text(document["feature"])),
            ServiceId(read_text(document["service"])),
            generation,
            now_s - age_s,
            versions,
            {FeatureId(read_text(name)) for name in document["companions"]},
        )
    except (TypeError, KeyError, ValueError, OverflowError) as error:
        raise MalformedReportError(f"verdict: {error!r}") from error
    if generation < 1 or not 0 <= age_s < float("inf"):
        raise MalformedReportError("verdict: generation or age out of range")
    if len(versions) > _MAX_VERSIONS or (
        len(verdict.companions) > MAX_COMPANIONS
    ):
        raise MalformedReportError("verdict: too many versions or companions")
    return verdict


def _combine(known: QuarantineVerdict, report: QuarantineVerdict) -> bool:
    """Combines two reports on one decision; returns whether that is new."""
    versions = known.versions | report.versions
    if len(versions) > _MAX_VERSIONS:
        versions = known.versions
    companions = known.companions & report.companions
    if (versions, companions) == (known.versions, known.companions):
        return False
    known.versions, known.companions = versions, companions
    return True


class VerdictTable:
    """The verdicts that this entry knows."""

    def __init__(self) -> None:
        self._verdicts: dict[FeatureId, QuarantineVerdict] = {}

    def __len__(self) -> int:
        return len(self._verdicts)

    def get(self, feature: FeatureId) -> QuarantineVerdict | None:
        """Returns the verdict on a feature, active or lifted."""
        return self._verdicts.get(feature)

    def get_active(self, feature: FeatureId) -> QuarantineVerdict | None:
        """Returns the verdict on a feature in quarantine."""
        verdict = self._verdicts.get(feature)
        return verdict if verdict is not None and verdict.is_active else None

    def list_all(self) -> list[QuarantineVerdict]:
        """Returns all verdicts, lifted ones too."""
        return list(self._verdicts.values())

    def merge(self, report: QuarantineVerdict) -> bool:
        """Merges a report; returns whether the table has changed."""
        known = self._verdicts.get(report.feature)
        if known is not None and known.generation > report.generation:
            return False
        if known is not None and known.generation == report.generation:
            return _combine(known, report)
        self._verdicts[report.feature] = report
        self._expire()
        return True

    def _expire(self) -> None:
        """Drops lifted verdicts first, then the oldest, beyond the bound."""
        excess = len(self._verdicts) - _MAX_VERDICTS
        if excess <= 0:
            return
        order = sorted(
            self._verdicts.values(),
            key=lambda verdict: (verdict.is_active, verdict.since_s),
        )
        for verdict in order[:excess]:
            del self._verdicts[verdict.feature]
