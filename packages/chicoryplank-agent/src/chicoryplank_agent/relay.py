"""Relay service of the agent: runs attempts for the connected entries."""

import asyncio
import dataclasses
import itertools
from datetime import timedelta

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from chicoryplank.attempts import (
    AgentAttemptTable,
    AttemptKey,
    AttemptRecord,
    RunState,
)
from chicoryplank.clock import Clock
from chicoryplank.configuration import AgentSettings
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.idempotency import ClaimRegistry
from chicoryplank.ids import Incarnation
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend import BackendClient, BackendRequest
from chicoryplank_agent.checks import check_start, read_budget, read_deadline
from chicoryplank_agent.claims import ClaimedRuns
from chicoryplank_agent.outbox import Outbox
from chicoryplank_wire import relay_pb2
from chicoryplank_wire.peers import is_valid_name
from chicoryplank_wire.relay_grpc import RelayBase

# An entry sends all requests that wait in one message.
MAX_BATCH_BODIES = 64
_BROKEN = (OSError, StreamTerminatedError)


@dataclasses.dataclass(slots=True)
class Drain:
    """Why the agent rejects new work.

    Attributes:
        config_version: Newest configuration version heard of.
        leaving: Whether the instance is leaving at that version.
        stopping: Entries whose instance list says that the platform is about
            to stop the instance. The lists lag differently: a single entry
            that knows is enough, and one that still shows an instance whose
            successor runs already must not keep the successor out.
        shutting_down: Whether the agent itself is shutting down.
    """

    config_version: int = 0
    leaving: bool = False
    stopping: set[Incarnation] = dataclasses.field(default_factory=set)
    shutting_down: bool = False

    @property
    def is_active(self) -> bool:
        """Whether new work is rejected."""
        return self.leaving or bool(self.stopping) or self.shutting_down

    def observe(self, entry: Incarnation, batch: relay_pb2.EntryBatch) -> None:
        """Takes over what an entry knows; older versions are ignored."""
        if batch.config_version >= self.config_version:
            self.config_version = batch.config_version
            self.leaving = batch.leaving
        if batch.stopping:
            self.stopping.add(entry)
        else:
            self.stopping.discard(entry)


class RelayService(RelayBase):
    """Accepts batches of frames from entries and answers them.

    Args:
        settings: Settings of the agent.
        incarnation: Changes with each start of the agent.
        clock: Measures deadlines.
        table: Record of attempts.
        backend: Client of the backend server.
        registry: Claims of non-idempotent requests; None rejects them.
    """

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: Incarnation,
        clock: Clock,
        table: AgentAttemptTable,
        backend: BackendClient,
        *,
        registry: ClaimRegistry | None = None,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._table = table
        self._backend = backend
        self._claims: ClaimedRuns | None = None
        if registry is not None:
            self._claims = ClaimedRuns(
                incarnation,
                registry,
                table,
                limits=settings.limits,
                collect=self._collect,
            )
        self._outboxes: dict[Incarnation, Outbox] = {}
        self._tasks: dict[AttemptKey, asyncio.Task] = {}
        self._abandon_timers: dict[Incarnation, asyncio.TimerHandle] = {}
        self._connections: dict[Incarnation, int] = {}
        self._run_numbers = itertools.count(1)
        self.stream_count = 0
        self.drain = Drain()
        self.load = relay_pb2.Load()

    async def Exchange(self, stream) -> None:  # noqa: N802
        """Serves one entry until its connection breaks."""
        if self.stream_count >= self._settings.limits.max_connections:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"{self.stream_count} streams are open",
            )
        self.stream_count += 1
        try:
            first = await self._receive_hello(stream)
            if first is not None:
                await self._serve(stream, first)
        finally:
            self.stream_count -= 1

    async def _receive_hello(self, stream) -> relay_pb2.EntryBatch | None:
        """Returns the first message, which names the entry, if one comes."""
        limit_s = self._settings.limits.header_timeout.total_seconds()
        try:
            async with asyncio.timeout(limit_s):
                first = await stream.recv_message()
        except TimeoutError as error:
            raise GRPCError(
                Status.DEADLINE_EXCEEDED, "no first message in time"
            ) from error
        # The incarnation becomes part of a header and a path.
        if first is None:
            return None
        if not (
            is_valid_name(first.entry) and is_valid_name(first.incarnation)
        ):
            raise GRPCError(
                Status.INVALID_ARGUMENT, "no name of entry and incarnation"
            )
        return first

    async def _serve(self, stream, first: relay_pb2.EntryBatch) -> None:
        incarnation = Incarnation(first.incarnation)
        if first.connection < self._connections.get(incarnation, 0):
            raise GRPCError(
                Status.ABORTED, "a newer connection of this entry exists"
            )
        self._connections[incarnation] = first.connection
        outbox = Outbox(self._settings.flush_interval)
        self._outboxes[incarnation] = outbox
        timer = self._abandon_timers.pop(incarnation, None)
        if timer is not None:
            timer.cancel()
        outbox.wake()
        writer = asyncio.create_task(self._write_batches(stream, outbox))
        try:
            self._handle_batch(incarnation, outbox, first)
            while (batch := await stream.recv_message()) is not None:
                self._handle_batch(incarnation, outbox, batch)
        except _BROKEN as error:
            emit(Event.ENTRY_DISCONNECTED, entry=first.entry, error=error)
        except GRPCError:
            raise
        except Exception as error:
            emit(Event.BATCH_REJECTED, peer=first.entry, error=repr(error))
            raise GRPCError(
                Status.INVALID_ARGUMENT, "a message was rejected"
            ) from error
        finally:
            writer.cancel()
            self._disconnect(incarnation, outbox)

    async def shut_down(self, timeout: timedelta) -> None:
        """Rejects new work and waits for the attempts in progress."""
        self.drain.shutting_down = True
        self._table.draining = True
        self.wake_all()
        end = self._clock.elapsed() + timeout
        while self._count_work() and self._clock.elapsed() < end:
            await self._clock.sleep(timedelta(milliseconds=50))
        # Entries still have to read and acknowledge the last frames.
        linger = self._clock.elapsed() + timedelta(seconds=2)
        while len(self._table) and self._clock.elapsed() < linger:
            await self._clock.sleep(timedelta(milliseconds=50))

    def _count_work(self) -> int:
        runs = 0 if self._claims is None else self._claims.in_progress
        return len(self._tasks) + runs

    def wake_all(self) -> None:
        """Sends load and drain state to all entries."""
        for outbox in self._outboxes.values():
            outbox.wake()

    def _disconnect(self, incarnation: Incarnation, outbox: Outbox) -> None:
        if self._outboxes.get(incarnation) is not outbox:
            return
        del self._outboxes[incarnation]
        loop = asyncio.get_running_loop()
        self._abandon_timers[incarnation] = loop.call_later(
            self._settings.grace_period.total_seconds(),
            self._abandon,
            incarnation,
        )

    def _abandon(self, incarnation: Incarnation) -> None:
        """Cancels repeatable attempts of an entry that did not come back."""
        self._abandon_timers.pop(incarnation, None)
        self._connections.pop(incarnation, None)
        self.drain.stopping.discard(incarnation)
        self._table.draining = self.drain.is_active
        self.wake_all()
        for record in self._table.list_records():
            if record.key.incarnation != incarnation:
                continue
            if record.repeatable or record.state is RunState.ENDED:
                self._cancel(record.key)

    async def _write_batches(self, stream, outbox: Outbox) -> None:
        try:
            while True:
                batch = await outbox.take()
                batch.agent = self._settings.instance
                batch.incarnation = self._incarnation
                batch.config_version = self.drain.config_version
                batch.leaving = self.drain.is_active
                batch.load.CopyFrom(self.load)
                await stream.send_message(batch)
        except _BROKEN:
            return

    def _handle_batch(
        self,
        incarnation: Incarnation,
        outbox: Outbox,
        batch: relay_pb2.EntryBatch,
    ) -> None:
        self.drain.observe(incarnation, batch)
        self._table.draining = self.drain.is_active
        for start in batch.starts:
            self._handle_start(incarnation, outbox, start)
        for position in batch.resumes:
            key = AttemptKey(incarnation, position.attempt)
            self._resume(key, outbox, position.offset)
        for sequence in batch.settles:
            self._settle(AttemptKey(incarnation, sequence), outbox)
        for position in batch.acknowledges:
            key = AttemptKey(incarnation, position.attempt)
            self._table.acknowledge(key, position.offset)
        for sequence in batch.cancels:
            self._cancel(AttemptKey(incarnation, sequence))

    def _handle_start(
        self,
        incarnation: Incarnation,
        outbox: Outbox,
        start: relay_pb2.Start,
    ) -> None:
        key = AttemptKey(incarnation, start.attempt)
        limits = self._settings.limits
        try:
            check_start(start, limits)
            record = self._table.admit(
                key,
                start.repeatable,
                read_budget(start, limits),
                read_deadline(start),
            )
        except ChicoryplankError as error:
            outbox.add_refused(start.attempt, error)
            return
        if record is None:
            return
        outbox.attached.add(start.attempt)
        task = asyncio.create_task(self._run_attempt(record, start))
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    def _resume(self, key: AttemptKey, outbox: Outbox, offset: int) -> None:
        record = self._table.get(key)
        if record is None:
            error = ChicoryplankError(
                ErrorCode.OUTCOME_UNKNOWN,
                "the attempt is no longer kept",
                Verdict.MAY_HAVE_RUN,
            )
            outbox.add_refused(key.sequence, error)
            return
        outbox.attached.add(key.sequence)
        if record.status:
            outbox.add_accepted(record)
            try:
                data = self._table.read_from(record, offset)
            except ChicoryplankError as error:
                outbox.add_refused(key.sequence, error)
                return
            if data:
                outbox.add_chunk(record, offset, data)
        self._add_outcome(record, outbox)

    def _add_outcome(self, record: AttemptRecord, outbox: Outbox) -> None:
        if record.error is not None:
            outbox.add_refused(record.key.sequence, record.error)
        elif record.state is RunState.ENDED:
            outbox.add_end(record)

    def _settle(self, key: AttemptKey, outbox: Outbox) -> None:
        try:
            started = self._table.settle(key)
        except ChicoryplankError as error:
            outbox.add_refused(key.sequence, error)
            return
        outbox.add_settled(key.sequence, started)
        if not started and key in self._tasks:
            self._tasks[key].cancel()

    def _cancel(self, key: AttemptKey) -> None:
        record = self._table.discard(key)
        outbox = self._outboxes.get(key.incarnation)
        if outbox is not None:
            outbox.attached.discard(key.sequence)
        task = self._tasks.get(key)
        if record is None or task is None:
            return
        # A non-idempotent request that runs is left to end, so that its
        # response can be replayed when the caller asks again.
        if record.repeatable or record.state is RunState.QUEUED:
            task.cancel()

    async def _run_attempt(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        left = record.deadline - self._clock.elapsed()
        try:
            async with asyncio.timeout(left.total_seconds()):
                if start.repeatable:
                    await self._forward(record, start)
                else:
                    await self._forward_once(record, start)
        except TimeoutError:
            self._fail(record, self._make_timeout(record))
        except ChicoryplankError as error:
            self._fail(record, error)
        except asyncio.CancelledError:
            if record.state is RunState.RUNNING and record.repeatable:
                asyncio.create_task(self._backend.cancel(_name_run(record)))
            raise

    async def _forward(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        """Passes the response of the backend server on as it arrives."""
        self._table.start(record)
        response = await self._backend.send(
            _make_request(_name_run(record), start)
        )
        self._accept(record, response.status, response.headers)
        async for data in response.body:
            self._append(record, data)
        self._finish(record)

    async def _forward_once(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        """Answers a non-idempotent request, from an earlier run if any."""
        if self._claims is None or not start.idempotency_key:
            raise ChicoryplankError(
                ErrorCode.KEY_REQUIRED,
                "a non-idempotent request came without a key",
            )
        execution = await self._claims.run(record, start)
        self._accept(record, execution.status, execution.headers)
        if execution.content:
            self._append(record, execution.content)
        self._finish(record)

    async def _collect(
        self, start: relay_pb2.Start
    ) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
        """Sends a request once and returns its whole response."""
        request_id = f"{self._incarnation}-{next(self._run_numbers)}"
        response = await self._backend.send(_make_request(request_id, start))
        pieces = []
        size = 0
        async for data in response.body:
            size += len(data)
            if size > self._settings.limits.max_buffer_bytes:
                raise ChicoryplankError(
                    ErrorCode.REQUEST_TOO_LARGE,
                    "the response is larger than "
                    f"{self._settings.limits.max_buffer_bytes} bytes",
                    Verdict.MAY_HAVE_RUN,
                )
            pieces.append(data)
        return response.status, response.headers, b"".join(pieces)

    def _find_outbox(self, record: AttemptRecord) -> Outbox | None:
        """Returns the outbox that carries an attempt, if any."""
        outbox = self._outboxes.get(record.key.incarnation)
        if outbox is None or not outbox.carries(record):
            return None
        return outbox

    def _accept(
        self,
        record: AttemptRecord,
        status: int,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        record.status = status
        record.headers = headers
        outbox = self._find_outbox(record)
        if outbox is not None:
            outbox.add_accepted(record)

    def _append(self, record: AttemptRecord, data: bytes) -> None:
        offset = self._table.append(record, data)
        outbox = self._find_outbox(record)
        if outbox is not None:
            outbox.add_chunk(record, offset, data)

    def _finish(self, record: AttemptRecord) -> None:
        self._table.finish(record)
        outbox = self._find_outbox(record)
        if outbox is not None:
            outbox.add_end(record)

    def _fail(self, record: AttemptRecord, error: ChicoryplankError) -> None:
        if error.code is ErrorCode.BACKEND_FAILED:
            emit(Event.ENGINE_FAILED, error=error.message)
        if record.status and error.verdict is Verdict.NOT_RUN:
            error.verdict = Verdict.MAY_HAVE_RUN
        self._table.fail(record, error)
        outbox = self._find_outbox(record)
        if outbox is not None:
            outbox.add_refused(record.key.sequence, error)

    def _make_timeout(self, record: AttemptRecord) -> ChicoryplankError:
        started = record.state is not RunState.QUEUED
        if started and record.repeatable:
            asyncio.create_task(self._backend.cancel(_name_run(record)))
        return ChicoryplankError(
            ErrorCode.DEADLINE_EXCEEDED,
            "the deadline passed at the agent",
            Verdict.MAY_HAVE_RUN if started else Verdict.NOT_RUN,
        )


def _name_run(record: AttemptRecord) -> str:
    return f"{record.key.incarnation}-{record.key.sequence}"


def _make_request(request_id: str, start: relay_pb2.Start) -> BackendRequest:
    return BackendRequest(
        request_id,
        start.method,
        start.path,
        tuple((item.name, item.value) for item in start.headers),
        start.body,
        start.repeatable,
    )
