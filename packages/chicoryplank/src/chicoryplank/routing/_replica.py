"""Load, progress and faults of one replica, as seen by one entry."""

import collections
import math
from datetime import UTC, datetime

from chicoryplank.ids import InstanceId
from chicoryplank.rendezvous import digest
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._types import Candidate, LoadReport

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
# Cost changes beyond this number are added to the reported load, which bounds
# the memory for a replica that never sends a report.
_MAX_CHANGES = 1024
# Smallest share of requests during slow start. A new replica needs some from
# the beginning, because only requests show whether it works.
_MIN_RAMP = 0.1
_MAX_BACKOFF_DOUBLINGS = 4


def to_seconds(time: datetime) -> float:
    """Converts a time to float seconds, which are cheaper to compute with."""
    return (time - _EPOCH).total_seconds()


class Replica:
    """State of one replica as seen by one entry; times are in seconds.

    Args:
        candidate: The replica.
        parameters: Parameters of the policy.

    Attributes:
        name: Id of the instance.
        candidate: Newest description of the replica.
        local: Whether it is in the availability zone of this entry.
        key: Digest of the id for rendezvous hashing.
        in_flight: Requests of this entry in flight.
        ejected: Whether it is out of service because of a fault.
        fault_since: Time when it last worked, or None if it has no fault.
    """

    __slots__ = (
        "_begun_at",
        "_cost_changes",
        "_decay_s",
        "_failures",
        "_in_flight_cost",
        "_is_stall",
        "_measured_at",
        "_output_count",
        "_own_weight",
        "_parameters",
        "_pending_cost",
        "_ramp_since",
        "_ramp_time",
        "_recent_s",
        "_reported_load",
        "_retry_at",
        "_successive_faults",
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
        # With more deciding entries, the requests of this entry say less about
        # the load of a replica, so an old report keeps more of its weight.
        self._decay_s = (
            parameters.report_decay.total_seconds()
            * parameters.deciding_entries**0.25
        )
        self._recent_s = parameters.recent_time.total_seconds()
        self._begun_at = float("-inf")
        self._own_weight = math.sqrt(parameters.deciding_entries)
        self._reported_load: float | None = None
        self._measured_at = float("-inf")
        self._cost_changes: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._pending_cost = 0.0
        self._in_flight_cost = 0.0
        self._output_count = 0
        self._waiting_since = 0.0
        self._failures = 0
        self._successive_faults = 0
        self.fault_since: float | None = None
        self._is_stall = False
        self._retry_at = float("-inf")
        self._ramp_time = parameters.slow_start.total_seconds()
        joined_at = candidate.joined_at
        self._ramp_since = (
            float("-inf") if joined_at is None else to_seconds(joined_at)
        )

    def observe_load(self, report: LoadReport) -> None:
        """Applies a load report, unless a newer one was applied before."""
        received = to_seconds(report.received_at)
        measured_at = received - report.age.total_seconds()
        if measured_at < self._measured_at:
            return
        weight = self._parameters.queue_weight
        self._reported_load = report.running + weight * report.queued
        self._measured_at = measured_at
        changes = self._cost_changes
        while changes and changes[0][0] <= measured_at:
            self._pending_cost -= changes.popleft()[1]
        if report.output_count != self._output_count:
            self._output_count = report.output_count
            # The time of receipt counts as progress. With the time of
            # measurement, every busy replica would look stalled when reports
            # are older than the stall timeout.
            self.observe_progress(received)

    def observe_progress(self, now: float) -> None:
        """Records output of the replica, which ends a stall."""
        if now > self._waiting_since:
            self._waiting_since = now
            if self._is_stall and self.in_flight:
                self.fault_since = None

    def begin(self, cost: float, now: float) -> None:
        """Adds the cost of a request that was sent to the replica."""
        if self.in_flight == 0:
            self._waiting_since = now
        self.in_flight += 1
        self._begun_at = now
        self._in_flight_cost += cost
        self._add_change(now, cost)

    def end(self, cost: float, now: float, succeeded: bool | None) -> None:
        """Removes the cost of a request and records its outcome.

        Args:
            cost: Cost that was given to begin.
            now: Current time in seconds.
            succeeded: False if the replica failed; None if the outcome says
                nothing about the replica.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self._in_flight_cost = max(0.0, self._in_flight_cost - cost)
        self._add_change(now, -cost)
        if succeeded is None:
            return
        if succeeded:
            self._failures = 0
            self._successive_faults = 0
            self.observe_progress(now)
            return
        self._failures += 1
        if self._failures >= self._parameters.max_failures:
            self._failures = 0
            self._begin_fault(now, now, is_stall=False)

    def _add_change(self, now: float, cost: float) -> None:
        self._cost_changes.append((now, cost))
        self._pending_cost += cost
        if len(self._cost_changes) > _MAX_CHANGES:
            folded = self._cost_changes.popleft()[1]
            self._pending_cost -= folded
            self._reported_load = (self._reported_load or 0.0) + folded

    def _begin_fault(self, since: float, now: float, is_stall: bool) -> None:
        if self.fault_since is not None:
            return
        doublings = min(self._successive_faults, _MAX_BACKOFF_DOUBLINGS)
        ejection = self._parameters.ejection.total_seconds()
        self.fault_since = since
        self._is_stall = is_stall
        self._retry_at = now + ejection * 2**doublings
        self._successive_faults += 1

    def check_fault(self, now: float) -> float | None:
        """Updates the fault state and returns the start of a fault, or None.

        A stall lasts while requests of this entry wait without output. Once
        they have ended, the replica returns to service after a time that
        doubles with each consecutive fault.
        """
        timeout = self._parameters.stall_timeout.total_seconds()
        if self.in_flight and now - self._waiting_since > timeout:
            self._begin_fault(self._waiting_since, now, is_stall=True)
        elif self.fault_since is not None and now >= self._retry_at:
            self.fault_since = None
        return self.fault_since

    def return_to_service(self, now: float) -> None:
        """Ends an ejection and begins a slow start, as for a new replica."""
        self.ejected = False
        self._ramp_since = now

    def estimate_load(self, now: float) -> float:
        """Returns the estimated load, in requests of normal cost."""
        # All entries act on the same delayed report, which makes it outdated.
        # Its weight decays with its age, and the in-flight requests of this
        # entry replace it. They are scaled by the square root of the number of
        # deciding entries, to represent the requests of the others. The root
        # lies between counting only this entry's requests and assuming that
        # all entries choose the same replica.
        # A request that was just sent is likely in its prefill, which delays
        # the first token of the next request.
        recent = self._parameters.recent_weight * math.exp(
            (self._begun_at - now) / self._recent_s
        )
        own = self._in_flight_cost * self._own_weight + recent
        if self._reported_load is None:
            return own
        weight = math.exp((self._measured_at - now) / self._decay_s)
        reported = max(0.0, self._reported_load + self._pending_cost)
        return weight * (reported + recent) + (1.0 - weight) * own

    def scale_load(self, load: float, now: float) -> float:
        """Divides a load by the capacity, reduced during slow start."""
        ramp = (now - self._ramp_since) / self._ramp_time
        if ramp >= 1.0:
            return load / self.candidate.capacity
        return load / (self.candidate.capacity * max(_MIN_RAMP, ramp))
