"""Detection of replicas that crash while they process requests.

A broken connection alone does not show a crash: a link may be cut, a
connection reset, and a rank of a stalled group drops its requests. A replica
counts as crashed if its port refuses connections, or if it registers with a new
start, shortly after a connection to it has broken. The end of a replica that
was draining, or is no longer registered, is planned and does not count.
"""

import asyncio
import dataclasses
import enum
import itertools
import uuid
from collections.abc import Collection, Sequence

from chicoryplank.events import Event, emit
from chicoryplank.quarantine import CrashTimes, SuspectAttempt
from chicoryplank.traffic import ReplicaRecord, ReplicaState
from chicoryplank_entry.forwarding.attempts import Attempt
from chicoryplank_entry.forwarding.backends import (
    BackendPool,
    make_backend_address,
)
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_wire.client_connection import (
    BreakReason,
    ConnectionBrokenError,
)

# Time in seconds after a break before the port of the replica is tried, since
# a process that ends closes its sockets one after the other.
_CHECK_DELAY_S = 0.02
# Time in seconds for which a connection to a live replica stays open.
_STAYS_OPEN_S = 0.05
# Shorter delays in seconds while a caller waits for the result of a check.
_QUICK_CHECK_S = 0.005
# Interval in seconds of further checks of a replica that does not respond, and
# the time after which its state remains unknown.
_CHECK_INTERVAL_S = 0.4
_MAX_CHECK_S = 6.0
# Time in seconds from the first output of a response to its end that a request
# which crashes replicas is assumed not to reach.
_OUTLIVED_S = 1.0
_MAX_BROKEN_PER_REPLICA = 64
_LOGGED_REQUESTS = 8


class Condition(enum.Enum):
    """What a new connection tells of a replica.

    Attributes:
        ALIVE: It accepts connections.
        CRASHED: Its port refuses connections.
        UNKNOWN: It can't be reached, or the connection closes again.
    """

    ALIVE = "alive"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection ended while the request was in progress.

    Attributes:
        call: The request.
        sent_s: Time when it was sent to the replica.
        broken_s: Time when the connection ended.
        first_output_s: Time of the first output; None if there was none.
        is_complete: Whether the response had neither a length nor chunks and
            ended with the connection, so that it may be complete.
    """

    call: Call
    sent_s: float
    broken_s: float
    first_output_s: float | None
    is_complete: bool


class CrashDetector:
    """Tells crashes of replicas from broken connections.

    Args:
        state: Shared state of this entry; its quarantine learns of crashes, and
            of requests that did not cause one.
        pool: Connections to replicas.
    """

    def __init__(self, state: EntryState, pool: BackendPool) -> None:
        self._state = state
        self._pool = pool
        self._broken: dict[ReplicaRecord, list[BrokenAttempt]] = {}
        self._checks: dict[ReplicaRecord, asyncio.Task] = {}
        self._times: CrashTimes[ReplicaRecord] = CrashTimes()
        self._process = uuid.uuid4().hex[:8]

    def observe_break(
        self, call: Call, attempt: Attempt, error: ConnectionBrokenError | None
    ) -> None:
        """Records that the connection of an attempt has ended.

        Args:
            call: The request.
            attempt: Its attempt.
            error: Why the response is incomplete; None if it is complete but
                ended with the connection.
        """
        if error is not None and error.reason not in (
            BreakReason.CLOSED,
            BreakReason.RESET,
        ):
            return
        replica = attempt.replica
        if not self.is_in_service(replica):
            return
        broken = BrokenAttempt(
            call,
            attempt.started_s,
            self._state.now_s(),
            attempt.first_output_s,
            is_complete=error is None,
        )
        if self._times.is_known(replica, broken.sent_s, broken.broken_s):
            self._report(replica, [broken], "known")
            return
        attempts = self._broken.setdefault(replica, [])
        if attempts and broken.sent_s > attempts[0].broken_s:
            return  # It was sent after the crash, if there was one.
        if len(attempts) < _MAX_BROKEN_PER_REPLICA:
            attempts.append(broken)
        if replica not in self._checks:
            loop = asyncio.get_running_loop()
            self._checks[replica] = loop.create_task(self._check(replica))

    def observe_refusal(self, replica: ReplicaRecord) -> None:
        """Records that the port of a replica refused a connection."""
        if replica in self._broken:
            self._confirm(replica, "refused")

    def close(self) -> None:
        """Ends all checks."""
        for task in self._checks.values():
            task.cancel()

    def is_in_service(self, replica: ReplicaRecord) -> bool:
        """Returns whether the end of a replica would not be a planned one."""
        current = self._state.registry.get(replica.instance)
        return current is not None and current.state is ReplicaState.READY

    async def _check(self, replica: ReplicaRecord) -> None:
        """Finds out whether a replica has crashed."""
        end_s = self._state.now_s() + _MAX_CHECK_S
        try:
            await asyncio.sleep(_CHECK_DELAY_S)
            for number in itertools.count():
                if replica not in self._broken:
                    return
                if self._has_restarted(replica):
                    self._confirm(replica, "restarted")
                    return
                condition = await self._probe(replica, _STAYS_OPEN_S)
                if condition is Condition.CRASHED:
                    self._confirm(replica, "refused")
                    return
                if condition is Condition.ALIVE:
                    self._settle_alive(replica, is_first_check=number == 0)
                    return
                if self._state.now_s() > end_s:
                    return
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            self._checks.pop(replica, None)
            self._broken.pop(replica, None)

    async def probe(self, replica: ReplicaRecord) -> Condition:
        """Finds out quickly whether a replica that has just responded lives."""
        await asyncio.sleep(_QUICK_CHECK_S)
        return await self._probe(replica, _QUICK_CHECK_S)

    async def _probe(self, replica: ReplicaRecord, open_s: float) -> Condition:
        """Connects to a replica.

        Args:
            replica: The replica.
            open_s: Time in seconds for which the connection must stay open. A
                proxy, or a replica with too many connections, accepts and
                closes it, which says nothing.
        """
        backend = make_backend_address(replica)
        try:
            connection = await self._pool.open(backend)
        except ConnectionBrokenError as error:
            if error.reason is BreakReason.REFUSED:
                return Condition.CRASHED
            return Condition.UNKNOWN
        await asyncio.sleep(open_s)
        is_open = not connection.is_closed
        connection.abort()
        return Condition.ALIVE if is_open else Condition.UNKNOWN

    def _has_restarted(self, replica: ReplicaRecord) -> bool:
        """Returns whether another process has registered at the address."""
        return any(
            record.address == replica.address
            and record.start_order > replica.start_order
            for record in self._state.registry.list_all()
        )

    def _settle_alive(
        self, replica: ReplicaRecord, *, is_first_check: bool
    ) -> None:
        """Ends the suspicion against a replica that accepts connections.

        Later than right after the break, the process that accepts connections
        may be a new one.
        """
        attempts = self._broken.pop(replica, ())
        if not is_first_check:
            return
        for attempt in attempts:
            if attempt.is_complete or _has_outlived_output(attempt):
                self.observe_success(
                    attempt.call, attempt.sent_s, attempt.is_complete
                )

    def observe_success(
        self, call: Call, sent_s: float, is_complete: bool
    ) -> None:
        """Records that a request did not crash its replica.

        Args:
            call: The request.
            sent_s: Time when it was sent.
            is_complete: Whether its response is complete.
        """
        quarantine = self._state.quarantine
        if quarantine.is_watching(call.service):
            quarantine.observe_success(
                call.service,
                call.features,
                sent_s,
                self._state.now_s(),
                is_complete=is_complete,
            )

    def _confirm(self, replica: ReplicaRecord, evidence: str) -> None:
        attempts = self._broken.pop(replica, [])
        if not attempts or self._is_draining(replica):
            return
        self._times.add(replica, attempts[0].broken_s)
        self._state.observe_crash(replica, attempts[0].broken_s)
        self._report(replica, attempts, evidence)

    def _is_draining(self, replica: ReplicaRecord) -> bool:
        current = self._state.registry.get(replica.instance)
        return current is not None and current.state is ReplicaState.DRAINING

    def _report(
        self,
        replica: ReplicaRecord,
        attempts: Sequence[BrokenAttempt],
        evidence: str,
    ) -> None:
        METRICS.count_crash(evidence)
        now_s = self._state.now_s()
        emit(
            Event.REPLICA_CRASHED,
            replica=replica.instance,
            address=replica.address,
            service=replica.service,
            evidence=evidence,
            started_ms=replica.started_ms,
            count=len(attempts),
            broken_ms=round((now_s - attempts[0].broken_s) * 1000),
            requests=[
                _describe(attempt) for attempt in attempts[:_LOGGED_REQUESTS]
            ],
        )
        self._state.quarantine.observe_crash(
            self._get_crash_id(replica),
            replica.service,
            replica.version,
            [
                SuspectAttempt(attempt.sent_s, attempt.call.features)
                for attempt in attempts
            ],
            entry=self._process,
            replica_count=len(
                self._state.registry.list_service(replica.service)
            ),
            seen_s=attempts[0].broken_s,
            now_s=now_s,
        )

    def _get_crash_id(self, replica: ReplicaRecord) -> str:
        """Returns the id of the last crash of a replica.

        All entries use the same id if they know when the replica started.
        """
        crash = f"{replica.instance}/{replica.started_ms}"
        if not replica.started_ms:
            crash = f"{replica.instance}/{self._process}"
        _, number = self._times.get_last(replica)
        return crash if number == 1 else f"{crash}/{number}"

    def retain(self, replicas: Collection[ReplicaRecord]) -> None:
        """Forgets replicas that are no longer registered."""
        self._times.retain(replicas)


def _has_outlived_output(attempt: BrokenAttempt) -> bool:
    """Returns whether a replica ran on for a while after its first output."""
    return (
        attempt.first_output_s is not None
        and attempt.broken_s - attempt.first_output_s >= _OUTLIVED_S
    )


def _describe(attempt: BrokenAttempt) -> dict[str, object]:
    """Returns what a log line tells of a request under a crash."""
    output_ms = None
    if attempt.first_output_s is not None:
        output_ms = round((attempt.broken_s - attempt.first_output_s) * 1000)
    return {
        "request": attempt.call.request_id,
        "sends": attempt.call.attempts,
        "feature": attempt.call.request_feature,
        "parts": list(attempt.call.prompt_parts),
        "sent_ms": round((attempt.broken_s - attempt.sent_s) * 1000),
        "output_ms": output_ms,
    }


__all__ = ["BrokenAttempt", "Condition", "CrashDetector"]
