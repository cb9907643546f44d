"""Bound on the requests of all entries to a cold replica."""

from collections.abc import Callable, Sequence

from chicoryplank.admission import (
    ColdBoundParameters,
    ColdReplicas,
    EntryCount,
    RateBucket,
    compute_issue_rate,
)
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.permits import Permits
from chicoryplank_entry.forwarding.state import EntryState

# Field of a question for a permit that says how long the replica stays cold.
_REPORT_FIELD = "cold_s"
# Time in seconds after which an issuer that may grant nothing is asked again.
_REFUSAL_WAIT_S = 0.1


class ColdStartLimit:
    """Limit on the permits for cold replicas; implements PermitLimit.

    The entry that issues the permits for a replica keeps the only token bucket.
    An issuer that sees no more than half of the entries grants nothing, so at
    most one part of a partitioned fleet sends requests to cold replicas.

    Args:
        cold: Cold replicas, as known to this entry.
        entry_bound: Number of entries of the whole fleet.
        list_live_members: Returns all live entries, with this one.
    """

    def __init__(
        self,
        cold: ColdReplicas,
        entry_bound: EntryCount,
        list_live_members: Callable[[], Sequence[InstanceId]],
    ) -> None:
        self._cold = cold
        self._entry_bound = entry_bound
        self._list_live_members = list_live_members
        self._parameters = ColdBoundParameters()
        self._buckets: dict[InstanceId, RateBucket] = {}

    def configure(self, parameters: ColdBoundParameters) -> None:
        """Changes the bound; the buckets of the former one are discarded."""
        self._parameters = parameters
        self._buckets.clear()

    def is_limited(self, instance: InstanceId, now_s: float) -> bool:
        """Returns whether a replica is cold."""
        return self._cold.is_cold(instance, now_s)

    def get_wait_s(self, instance: InstanceId, now_s: float) -> float:
        """Returns the time until a permit may be granted, in seconds."""
        if not self._cold.is_cold(instance, now_s):
            self._buckets.pop(instance, None)
            return 0.0
        requests_per_s = self._cold.get_requests_per_s(instance)
        if requests_per_s is None or not self._has_majority(now_s):
            return _REFUSAL_WAIT_S
        rate, capacity = self._get_issue_rate(requests_per_s)
        bucket = self._get_bucket(instance, capacity, now_s)
        return bucket.get_wait_s(rate, now_s)

    def record_permit(self, instance: InstanceId, now_s: float) -> None:
        """Takes a permit from the bucket of a cold replica."""
        requests_per_s = self._cold.get_requests_per_s(instance)
        if requests_per_s is None or not self._cold.is_cold(instance, now_s):
            return
        rate, capacity = self._get_issue_rate(requests_per_s)
        self._get_bucket(instance, capacity, now_s).try_take(rate, now_s)

    def encode_report(self, instance: InstanceId, now_s: float) -> float | None:
        """Returns the remaining cold time in seconds; None if it is warm."""
        if not self._cold.is_cold(instance, now_s):
            return None
        return round(self._cold.get_remaining_s(instance, now_s), 3)

    def apply_report(
        self, instance: InstanceId, report: object, now_s: float
    ) -> None:
        """Applies the remaining cold time that another entry reports.

        Raises:
            ValueError, TypeError: If it is malformed.
        """
        self._cold.observe_report(instance, float(report), now_s)

    def _has_majority(self, now_s: float) -> bool:
        live = len(self._list_live_members())
        return 2 * live > self._entry_bound.get_bound(now_s)

    def _get_issue_rate(self, requests_per_s: float) -> tuple[float, float]:
        parameters = self._parameters
        return compute_issue_rate(
            requests_per_s * parameters.overshoot + parameters.slack
        )

    def _get_bucket(
        self, instance: InstanceId, capacity: float, now_s: float
    ) -> RateBucket:
        bucket = self._buckets.get(instance)
        if bucket is None:
            for other in list(self._buckets):
                if not self._cold.is_cold(other, now_s):
                    del self._buckets[other]
            bucket = self._buckets[instance] = RateBucket(now_s, capacity)
        return bucket


def add_cold_start_limit(
    permits: Permits,
    state: EntryState,
    list_live_members: Callable[[], Sequence[InstanceId]],
    parameters: ColdBoundParameters,
) -> ColdStartLimit:
    """Makes requests to cold replicas need permits; returns the limit.

    Args:
        permits: Permits of this entry.
        state: Shared state of this entry.
        list_live_members: Returns all live entries, with this one.
        parameters: Bound on the requests.
    """
    limit = ColdStartLimit(
        state.cold_replicas, state.entry_bound, list_live_members
    )
    limit.configure(parameters)
    permits.limits.append(limit)
    permits.carried[_REPORT_FIELD] = limit
    return limit
