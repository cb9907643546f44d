"""What a policy knows of one replica: load, progress and failures."""

import collections
import math
from datetime import UTC, datetime

from chicoryplank.ids import InstanceId
from chicoryplank.rendezvous import digest
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._types import Candidate, LoadReport

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
# Older changes are folded into the reported load, so that a replica that
# never reports needs bounded memory.
_MAX_CHANGES = 1024
# A new replica gets some requests from the start, because only requests show
# whether it works.
_MIN_RAMP = 0.1
_MAX_BACKOFF_DOUBLINGS = 4


def to_seconds(moment: datetime) -> float:
    """Returns a moment as seconds, which are cheaper to compute with."""
    return (moment - _EPOCH).total_seconds()


class Replica:
    """State of one replica as one entry sees it; times are seconds.

    Args:
        candidate: The replica as the caller knows it.
        parameters: Parameters of the policy.

    Attributes:
        name: Id of the instance.
        key: Digest of the id for rendezvous hashing.
        in_flight: Own requests in flight.
        ejected: Whether it is out of service.
        fault_since: When it was last known to work, if it has a fault.
    """

    __slots__ = (
        "_begun_at",
        "_changes",
        "_decay_s",
        "_failures",
        "_in_flight_cost",
        "_is_stall",
        "_measured_at",
        "_output_count",
        "_own_weight",
        "_parameters",
        "_pending",
        "_ramp_since",
        "_ramp_time",
        "_recent_s",
        "_reported",
        "_retry_at",
        "_strikes",
        "_waiting_since",
        "candidate",
        "ejected",
        "fault_since",
        "in_flight",
        "key",
        "local",
        "name",
    )

    def __init__(
        self, candidate: Candidate, parameters: RoutingParameters
    ) -> None:
        self.name: InstanceId = candidate.instance
        self.key = digest(candidate.instance)
        self.candidate = candidate
        self.local = True
        self.in_flight = 0
        self.ejected = False
        self._parameters = parameters
        # The more entries decide, the less the own requests say about the
        # load of a replica, so an old report keeps more of its weight.
        self._decay_s = (
            parameters.report_decay.total_seconds()
            * parameters.deciding_entries**0.25
        )
        self._recent_s = parameters.recent_time.total_seconds()
        self._begun_at = float("-inf")
        self._own_weight = math.sqrt(parameters.deciding_entries)
        self._reported: float | None = None
        self._measured_at = float("-inf")
        self._changes: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._pending = 0.0
        self._in_flight_cost = 0.0
        self._output_count = 0
        self._waiting_since = 0.0
        self._failures = 0
        self._strikes = 0
        self.fault_since: float | None = None
        self._is_stall = False
        self._retry_at = float("-inf")
        self._ramp_time = parameters.slow_start.total_seconds()
        joined_at = candidate.joined_at
        self._ramp_since = (
            float("-inf") if joined_at is None else to_seconds(joined_at)
        )

    def observe_load(self, report: LoadReport) -> None:
        """Takes a load report unless a newer one is known."""
        received = to_seconds(report.received_at)
        measured_at = received - report.age.total_seconds()
        if measured_at < self._measured_at:
            return
        weight = self._parameters.queue_weight
        self._reported = report.running + weight * report.queued
        self._measured_at = measured_at
        changes = self._changes
        while changes and changes[0][0] <= measured_at:
            self._pending -= changes.popleft()[1]
        if report.output_count != self._output_count:
            self._output_count = report.output_count
            # With the time of measurement, reports older than the stall
            # timeout would make every busy replica look stalled.
            self.observe_progress(received)

    def observe_progress(self, now: float) -> None:
        """Records that the replica produces output; it ends a stall."""
        if now > self._waiting_since:
            self._waiting_since = now
            if self._is_stall and self.in_flight:
                self.fault_since = None

    def begin(self, cost: float, now: float) -> None:
        """Counts a request that was sent to the replica."""
        if self.in_flight == 0:
            self._waiting_since = now
        self.in_flight += 1
        self._begun_at = now
        self._in_flight_cost += cost
        self._add_change(now, cost)

    def end(self, cost: float, now: float, succeeded: bool | None) -> None:
        """Counts a request that ended."""
        self.in_flight = max(0, self.in_flight - 1)
        self._in_flight_cost = max(0.0, self._in_flight_cost - cost)
        self._add_change(now, -cost)
        if succeeded is None:
            return
        if succeeded:
            self._failures = 0
            self._strikes = 0
            self.observe_progress(now)
            return
        self._failures += 1
        if self._failures >= self._parameters.max_failures:
            self._failures = 0
            self._begin_fault(now, now, is_stall=False)

    def _add_change(self, now: float, cost: float) -> None:
        self._changes.append((now, cost))
        self._pending += cost
        if len(self._changes) > _MAX_CHANGES:
            folded = self._changes.popleft()[1]
            self._pending -= folded
            self._reported = (self._reported or 0.0) + folded

    def _begin_fault(self, since: float, now: float, is_stall: bool) -> None:
        if self.fault_since is not None:
            return
        doublings = min(self._strikes, _MAX_BACKOFF_DOUBLINGS)
        ejection = self._parameters.ejection.total_seconds()
        self.fault_since = since
        self._is_stall = is_stall
        self._retry_at = now + ejection * 2**doublings
        self._strikes += 1

    def find_fault_time(self, now: float) -> float | None:
        """Returns since when the replica has a fault, or None.

        A stall lasts while own requests wait without output. Once they are
        gone, the replica is tried again after a time that doubles with each
        fault.
        """
        timeout = self._parameters.stall_timeout.total_seconds()
        if self.in_flight and now - self._waiting_since > timeout:
            self._begin_fault(self._waiting_since, now, is_stall=True)
        elif self.fault_since is not None and now >= self._retry_at:
            self.fault_since = None
        return self.fault_since

    def return_to_service(self, now: float) -> None:
        """Ends an ejection; the share grows again as for a new replica."""
        self.ejected = False
        self._ramp_since = now

    def estimate_load(self, now: float) -> float:
        """Returns the load in normal requests, at full capacity."""
        # All entries see the same old report, so what they do with it makes
        # it wrong. Its weight decays with its age, and the own requests in
        # flight take its place. They stand for those of the other entries as
        # well; the root of their number lies between counting only the own
        # ones and assuming that all others choose the same replica.
        # A request that was just sent is likely in its prefill, which delays
        # the first token of the next one.
        recent = self._parameters.recent_weight * math.exp(
            (self._begun_at - now) / self._recent_s
        )
        own = self._in_flight_cost * self._own_weight + recent
        if self._reported is None:
            return own
        weight = math.exp((self._measured_at - now) / self._decay_s)
        reported = max(0.0, self._reported + self._pending)
        return weight * (reported + recent) + (1.0 - weight) * own

    def scale(self, load: float, now: float) -> float:
        """Returns a load relative to capacity and slow start."""
        ramp = (now - self._ramp_since) / self._ramp_time
        if ramp >= 1.0:
            return load / self.candidate.capacity
        return load / (self.candidate.capacity * max(_MIN_RAMP, ramp))
