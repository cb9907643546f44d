"""Slow start of replicas over all entries.

The issuer of the permits for a replica keeps the only controller of its ramp,
since a single entry sees too few of its responses. The other entries ask for a
permit before each request to a ramping replica, and send the outcome to the
issuer by datagram. Reports may be lost; the ramp is slower then.
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence

from chicoryplank.admission import (
    PaceOutcome,
    PaceState,
    ReplicaPace,
    ServiceTimes,
)
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ServiceId
from chicoryplank.traffic import ReplicaRecord, Service
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.replica_starts import ReplicaStarts
from chicoryplank_entry.forwarding.state import EntryState

PACE_KIND = "pace-report"
# Field of a question for a permit that has the age of the ramp in seconds.
RAMP_FIELD = "ramp_s"
# Time in seconds after which a replica is treated as before in any case.
_MAX_RAMP_S = 10.0
# Time in seconds after which the counts of the entries contain the requests for
# which permits were granted.
_PERMIT_MEMORY_S = 0.15
# Age in seconds up to which no issuer has issued permits for a new process yet,
# so that requests in progress belong to the previous one.
_NEW_PROCESS_S = 0.5
# Time in seconds after an outage of a group in which its ranks return from
# ejections that began during it.
_OUTAGE_MEMORY_S = 5.0
# Largest fraction of the ranks of a lock-step service that may ramp at the same
# time. If more have started, as after a loss of power, the group has formed
# again, and no other ranks could take the requests that the ramps withhold.
_MAX_RAMPING_SHARE = 0.5
_MAX_ELAPSED_S = 3_600.0
# Time in seconds after which an issuer that does not know a replica is asked
# again.
_UNKNOWN_WAIT_S = 0.1
# Outcome in the message that tells an entry that a ramp is over.
_STEADY = "steady"

Document = Mapping[str, object]


@dataclasses.dataclass(slots=True)
class _Ramp:
    """Ramp of one replica, as known to this entry.

    Attributes:
        began_s: Time of its start or return.
        is_start: Whether its process has started, rather than recovered.
        pace: Its controller; None unless this entry has issued permits for it.
        permits_s: Times of the last permits for other entries.
        open_permits: Permits whose requests are not known to have ended, with
            the requests in progress when this entry became the issuer.
    """

    began_s: float
    is_start: bool
    pace: ReplicaPace | None = None
    permits_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    open_permits: int = 0


class Pacing:
    """Ramps of replicas at one entry; implements PermitLimit and CarriedLimit.

    Args:
        own: This entry.
        state: Shared state of this entry.
        choose_issuer: Returns the entry that issues the permits for a replica.
        send: Sends a document to another entry.
    """

    def __init__(
        self,
        own: InstanceId,
        state: EntryState,
        choose_issuer: Callable[[InstanceId], InstanceId],
        send: Callable[[Document, InstanceId], None],
    ) -> None:
        self._own = own
        self._state = state
        self._choose_issuer = choose_issuer
        self._send = send
        self._ramps: dict[InstanceId, _Ramp] = {}
        self._ended_s: dict[InstanceId, float] = {}
        self._starts = ReplicaStarts()
        self._questions: collections.Counter[InstanceId] = collections.Counter()
        self._times: dict[ServiceId, ServiceTimes] = {}
        # Replicas of which only the entry that asks now knows a registration.
        self._unknown: set[InstanceId] = set()

    # Which replicas ramp.

    def observe_replicas(self, records: Sequence[ReplicaRecord]) -> None:
        """Begins the ramps of replicas that have started."""
        now_s = self._state.now_s()
        ages_s = self._starts.find_started(records, self._state.clock.now())
        for instance, age_s in ages_s.items():
            if age_s < _MAX_RAMP_S:
                self._begin(instance, now_s - age_s, is_start=True)
        registered = {record.instance for record in records}
        for instance in self._ramps.keys() - registered:
            self._end(instance, "gone")
        if self._ramps:
            self._end_widespread_ramps(records)

    def _end_widespread_ramps(self, records: Sequence[ReplicaRecord]) -> None:
        """Ends the ramps of lock-step services most of whose ranks started.

        Ranks whose ramps have ended lately count too, since the ranks of a
        group register one after the other.
        """
        now_s = self._state.now_s()
        totals = collections.Counter(record.service for record in records)
        recent: collections.Counter[ServiceId] = collections.Counter()
        ramping: dict[ServiceId, list[InstanceId]] = {}
        for record in records:
            instance = record.instance
            if instance in self._ramps:
                ramping.setdefault(record.service, []).append(instance)
                recent[record.service] += 1
            elif now_s - self._ended_s.get(instance, -math.inf) <= _MAX_RAMP_S:
                recent[record.service] += 1
        for service, instances in ramping.items():
            if (
                self._state.get_service(service).is_lockstep
                and recent[service] > _MAX_RAMPING_SHARE * totals[service]
            ):
                for instance in instances:
                    self._end(instance, "widespread")

    def observe_return(self, instance: InstanceId) -> None:
        """Begins the ramp of a replica that returns from an ejection.

        Ranks that were ejected while their whole group was down have not failed
        themselves, and would all ramp at once.
        """
        now_s = self._state.now_s()
        record = self._state.registry.get(instance)
        if record is None or self._get_ramp(instance, now_s) is not None:
            return
        service = self._state.get_service(record.service)
        breaker = service.circuit_breaker
        was_down = now_s - breaker.closed_s < _OUTAGE_MEMORY_S
        if service.is_lockstep and (breaker.is_open or was_down):
            return
        self._begin(instance, now_s, is_start=False)

    def _begin(
        self, instance: InstanceId, began_s: float, *, is_start: bool
    ) -> None:
        if self._get_service(instance) is None:
            return
        ramp = _Ramp(began_s, is_start)
        previous = self._ramps.get(instance)
        slots = self._state.registry.get(instance).slots
        self._ramps[instance] = ramp
        self._ended_s.pop(instance, None)
        pace = None if previous is None else previous.pace
        if pace is not None and pace.slots == slots:
            # The controller still knows how often the replica was lost.
            ramp.pace = pace
            pace.reset(self._state.now_s())
            self._log_begin(instance, ramp)

    def _get_service(self, instance: InstanceId) -> Service | None:
        """Returns the service of a replica, if its replicas ramp."""
        record = self._state.registry.get(instance)
        configuration = self._state.configuration
        if record is None or configuration is None:
            return None
        service = configuration.services.get(record.service)
        if service is None or not service.cold_start:
            return None
        return service

    def _get_ramp(self, instance: InstanceId, now_s: float) -> _Ramp | None:
        ramp = self._ramps.get(instance)
        if ramp is None:
            return None
        if self._get_service(instance) is None:
            self._end(instance, "disabled")
            return None
        end_s = ramp.began_s + _MAX_RAMP_S
        if now_s >= end_s:
            self._end(instance, "expired", end_s)
            return None
        return ramp

    def _end(
        self, instance: InstanceId, result: str, end_s: float | None = None
    ) -> None:
        now_s = self._state.now_s()
        if end_s is None:
            end_s = now_s
        ramp = self._ramps.pop(instance)
        for name, ended_s in list(self._ended_s.items()):
            if now_s - ended_s > _MAX_RAMP_S:
                del self._ended_s[name]
        self._ended_s[instance] = end_s
        if ramp.pace is None or self._choose_issuer(instance) != self._own:
            return
        METRICS.count_ramp(result)
        emit(
            Event.RAMP_ENDED,
            replica=instance,
            result=result,
            taken_s=round(end_s - ramp.began_s, 2),
            limit=ramp.pace.limit,
            rejected=ramp.pace.rejected,
            slow=ramp.pace.slow,
        )

    # Limit on the permits.

    def is_limited(self, instance: InstanceId, now_s: float) -> bool:
        """Returns whether a replica ramps."""
        return bool(self._ramps) and self._get_ramp(instance, now_s) is not None

    def get_wait_s(self, instance: InstanceId, now_s: float) -> float:
        """Returns the time until a permit may be granted, in seconds."""
        if instance in self._unknown:
            self._unknown.discard(instance)
            return _UNKNOWN_WAIT_S
        ramp = self._get_ramp(instance, now_s)
        if ramp is None:
            return 0.0
        pace = self._get_pace(instance, ramp, now_s)
        in_progress = self._count_in_progress(instance, ramp, now_s)
        return pace.get_wait_s(in_progress, now_s)

    def record_permit(self, instance: InstanceId, now_s: float) -> None:
        """Records a permit for a ramping replica."""
        ramp = self._get_ramp(instance, now_s)
        if ramp is None:
            return
        pace = self._get_pace(instance, ramp, now_s)
        pace.record_permit(
            self._count_in_progress(instance, ramp, now_s), now_s
        )
        if instance not in self._questions:
            ramp.permits_s.append(now_s)
        ramp.open_permits += 1

    def _get_pace(
        self, instance: InstanceId, ramp: _Ramp, now_s: float
    ) -> ReplicaPace:
        if ramp.pace is not None:
            return ramp.pace
        record = self._state.registry.get(instance)
        in_progress = 0
        if not ramp.is_start or now_s - ramp.began_s > _NEW_PROCESS_S:
            in_progress = self._count_exchanged(instance, ramp, now_s)
        ramp.open_permits = in_progress
        ramp.pace = ReplicaPace(
            record.slots,
            now_s,
            in_progress=in_progress,
            is_lockstep=self._state.get_service(record.service).is_lockstep,
            slow_s=self._get_slow_s(record.service, now_s),
        )
        self._log_begin(instance, ramp)
        return ramp.pace

    def _log_begin(self, instance: InstanceId, ramp: _Ramp) -> None:
        emit(
            Event.RAMP_BEGUN,
            replica=instance,
            cause="start" if ramp.is_start else "return",
            age_s=round(self._state.now_s() - ramp.began_s, 2),
            limit=ramp.pace.limit,
        )

    def _count_in_progress(
        self, instance: InstanceId, ramp: _Ramp, now_s: float
    ) -> int:
        """Returns the requests at a replica without the one that is asked for.

        The exchanged counts lag, so requests that just ended and those that
        just began are counted too often. With short requests, that would leave
        half of the limit unused. After a start, all requests have permits, and
        those whose end is known are left out; lost reports only make this
        second number too high.
        """
        exchanged = self._count_exchanged(instance, ramp, now_s)
        if not ramp.is_start:
            return exchanged
        return min(exchanged, ramp.open_permits)

    def _count_exchanged(
        self, instance: InstanceId, ramp: _Ramp, now_s: float
    ) -> int:
        """Returns the counts of all entries and the permits not yet in them.

        Requests of this entry count from before their question.
        """
        permits_s = ramp.permits_s
        while permits_s and now_s - permits_s[0] > _PERMIT_MEMORY_S:
            permits_s.popleft()
        counted = self._state.occupancy.count(instance)
        asking = self._questions.get(instance, 0)
        return max(0, counted - asking) + len(permits_s)

    def begin_question(self, instance: InstanceId) -> None:
        """Records that a request of this entry waits for a permit."""
        if self._ramps:
            self._questions[instance] += 1

    def end_question(self, instance: InstanceId) -> None:
        """Records that a request has got a permit or not."""
        self._questions[instance] -= 1
        if self._questions[instance] <= 0:
            del self._questions[instance]

    def encode_report(self, instance: InstanceId, now_s: float) -> float | None:
        """Returns the age of the ramp in seconds; None if there is none."""
        ramp = self._get_ramp(instance, now_s)
        return None if ramp is None else round(now_s - ramp.began_s, 3)

    def apply_report(
        self, instance: InstanceId, report: object, now_s: float
    ) -> None:
        """Begins a ramp that only another entry knows of.

        Raises:
            ValueError, TypeError: If the report is malformed.
        """
        age_s = float(report)
        if not age_s >= 0:
            raise ValueError(f"age {age_s} of a ramp is negative")
        self._unknown.clear()
        if self._state.registry.get(instance) is None:
            self._unknown.add(instance)
            return
        began_s = now_s - age_s
        if (
            self._get_ramp(instance, now_s) is None
            and age_s < _MAX_RAMP_S
            and began_s > self._ended_s.get(instance, float("-inf"))
        ):
            # If this is a start, this entry reads it from the store later.
            self._begin(instance, began_s, is_start=False)

    # Outcomes.

    def report(
        self,
        service: ServiceId,
        instance: InstanceId,
        outcome: PaceOutcome,
        elapsed_s: float,
        *,
        has_ended: bool = True,
    ) -> None:
        """Reports the outcome of an attempt of this entry.

        Args:
            service: Service of the replica.
            instance: The replica.
            outcome: What became of the attempt.
            elapsed_s: Time to the first output of a stream, or to the complete
                response or the end of the attempt, in seconds.
            has_ended: Whether the request is no longer in progress, unlike a
                stream after its first output.
        """
        now_s = self._state.now_s()
        if self._get_ramp(instance, now_s) is None:
            is_response = outcome is PaceOutcome.RESPONSE
            if is_response and self._get_service(instance) is not None:
                times = self._times.setdefault(service, ServiceTimes())
                times.observe(elapsed_s, now_s)
            return
        issuer = self._choose_issuer(instance)
        if issuer == self._own:
            self._observe(instance, outcome, elapsed_s, has_ended)
            return
        self._send_outcome(
            instance, outcome.value, elapsed_s, issuer, has_ended
        )

    def _send_outcome(
        self,
        instance: InstanceId,
        outcome: str,
        elapsed_s: float,
        member: InstanceId,
        has_ended: bool = True,
    ) -> None:
        document = {
            "kind": PACE_KIND,
            "member": self._own,
            "replica": instance,
            "outcome": outcome,
            "elapsed_ms": round(elapsed_s * 1000),
            "ended": has_ended,
        }
        self._send(document, member)

    def handle(self, document: Document) -> None:
        """Applies a message of another entry.

        Raises:
            ValueError, TypeError, KeyError: If it is malformed.
        """
        instance = InstanceId(str(document["replica"]))
        member = InstanceId(str(document["member"]))
        elapsed_s = float(document["elapsed_ms"]) / 1000
        if not 0 <= elapsed_s <= _MAX_ELAPSED_S:
            raise ValueError(f"elapsed time {elapsed_s} s is out of range")
        if document["outcome"] == _STEADY:
            is_issuer = self._choose_issuer(instance) == self._own
            if instance in self._ramps and not is_issuer:
                self._end(instance, _STEADY)
            return
        outcome = PaceOutcome(document["outcome"])
        now_s = self._state.now_s()
        if self._get_ramp(instance, now_s) is not None:
            self._observe(
                instance, outcome, elapsed_s, document.get("ended") is True
            )
        elif now_s - self._ended_s.get(instance, float("-inf")) < _MAX_RAMP_S:
            self._send_outcome(instance, _STEADY, 0.0, member)

    def _observe(
        self,
        instance: InstanceId,
        outcome: PaceOutcome,
        elapsed_s: float,
        has_ended: bool,
    ) -> None:
        now_s = self._state.now_s()
        ramp = self._ramps[instance]
        pace = ramp.pace
        if pace is None:
            # It has issued no permit, so another entry is the issuer.
            return
        if has_ended:
            ramp.open_permits = max(0, ramp.open_permits - 1)
        service = self._state.registry.get(instance).service
        slow_s = self._get_slow_s(service, now_s)
        pace.observe(outcome, elapsed_s, slow_s, now_s)
        if pace.state is PaceState.STEADY:
            self._end(instance, _STEADY)

    def _get_slow_s(self, service: ServiceId, now_s: float) -> float | None:
        times = self._times.get(service)
        return None if times is None else times.get_slow_s(now_s)
