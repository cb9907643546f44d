"""Relay service of the agent, which runs attempts for connected entries."""

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
from chicoryplank_agent.claims import ClaimedExecutions
from chicoryplank_agent.outbox import Outbox
from chicoryplank_wire import relay_pb2
from chicoryplank_wire.peers import is_valid_name
from chicoryplank_wire.relay_grpc import RelayBase

# An entry sends all waiting requests in one message. A message may be as large
# as this number of request bodies of maximum size.
MAX_BATCH_BODIES = 64
_CONNECTION_ERRORS = (OSError, StreamTerminatedError)


@dataclasses.dataclass(slots=True)
class DrainState:
    """Reasons for which the agent rejects new work.

    Attributes:
        config_version: Highest configuration version received from an entry.
        leaving: Whether the instance is draining in that version.
        stopping: Entries whose instance list says that the platform is about
            to stop the instance. The lists are delayed differently, so one
            entry is enough to start draining. An entry is removed when its
            list changes, so that a delayed list, which still shows the
            replaced instance, does not block its successor for good.
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
        """Applies the drain state that an entry reports.

        A configuration version older than the known one is ignored.
        """
        if batch.config_version >= self.config_version:
            self.config_version = batch.config_version
            self.leaving = batch.leaving
        if batch.stopping:
            self.stopping.add(entry)
        else:
            self.stopping.discard(entry)


class RelayService(RelayBase):
    """Runs the attempts that entries send and streams the responses back.

    Args:
        settings: Settings of the agent.
        incarnation: Id of this start of the agent.
        clock: Clock for deadlines.
        table: Attempts of the agent.
        backend: Client of the backend server.
        registry: Claims of non-idempotent requests; if None, such requests are
            rejected.

    Attributes:
        stream_count: Number of open streams of entries.
        drain: Reasons for which new work is rejected.
        load: Load of the backend server, reported with each message.
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
        self._claims: ClaimedExecutions | None = None
        if registry is not None:
            self._claims = ClaimedExecutions(
                incarnation,
                registry,
                table,
                limits=settings.limits,
                fetch_response=self._fetch_response,
            )
        self._outboxes: dict[Incarnation, Outbox] = {}
        self._tasks: dict[AttemptKey, asyncio.Task] = {}
        self._abandon_timers: dict[Incarnation, asyncio.TimerHandle] = {}
        self._connections: dict[Incarnation, int] = {}
        self._execution_numbers = itertools.count(1)
        self.stream_count = 0
        self.drain = DrainState()
        self.load = relay_pb2.Load()

    async def Exchange(self, stream) -> None:  # noqa: N802
        """Serves one connection of an entry until it ends."""
        if self.stream_count >= self._settings.limits.max_connections:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"too many streams: {self.stream_count} are open",
            )
        self.stream_count += 1
        try:
            first_batch = await self._receive_first_batch(stream)
            if first_batch is not None:
                await self._serve(stream, first_batch)
        finally:
            self.stream_count -= 1

    async def _receive_first_batch(self, stream) -> relay_pb2.EntryBatch | None:
        """Returns the first message, or None if the stream ends without one."""
        timeout_s = self._settings.limits.header_timeout.total_seconds()
        try:
            async with asyncio.timeout(timeout_s):
                first_batch = await stream.recv_message()
        except TimeoutError as error:
            raise GRPCError(
                Status.DEADLINE_EXCEEDED, "first message not received in time"
            ) from error
        # The incarnation becomes part of a header and a path, so it must not
        # contain arbitrary characters.
        if first_batch is None:
            return None
        if not (
            is_valid_name(first_batch.entry)
            and is_valid_name(first_batch.incarnation)
        ):
            raise GRPCError(
                Status.INVALID_ARGUMENT,
                "invalid name of the entry or its incarnation",
            )
        return first_batch

    async def _serve(self, stream, first_batch: relay_pb2.EntryBatch) -> None:
        incarnation = Incarnation(first_batch.incarnation)
        if first_batch.connection < self._connections.get(incarnation, 0):
            raise GRPCError(
                Status.ABORTED, "superseded by a newer connection of this entry"
            )
        self._connections[incarnation] = first_batch.connection
        outbox = Outbox(self._settings.flush_interval)
        self._outboxes[incarnation] = outbox
        timer = self._abandon_timers.pop(incarnation, None)
        if timer is not None:
            timer.cancel()
        outbox.request_send()
        writer_task = asyncio.create_task(self._write_batches(stream, outbox))
        try:
            self._handle_batch(incarnation, outbox, first_batch)
            while (batch := await stream.recv_message()) is not None:
                self._handle_batch(incarnation, outbox, batch)
        except _CONNECTION_ERRORS as error:
            emit(Event.ENTRY_DISCONNECTED, entry=first_batch.entry, error=error)
        except GRPCError:
            raise
        except Exception as error:
            emit(
                Event.BATCH_REJECTED, peer=first_batch.entry, error=repr(error)
            )
            raise GRPCError(
                Status.INVALID_ARGUMENT, "malformed message"
            ) from error
        finally:
            writer_task.cancel()
            self._disconnect(incarnation, outbox)

    async def shut_down(self, timeout: timedelta) -> None:
        """Rejects new work and waits for the work in progress to end.

        Args:
            timeout: Maximum time to wait.
        """
        self.drain.shutting_down = True
        self._table.draining = True
        self.request_send_to_all()
        work_deadline = self._clock.elapsed() + timeout
        while (
            self._count_in_progress() and self._clock.elapsed() < work_deadline
        ):
            await self._clock.sleep(timedelta(milliseconds=50))
        # Entries must still receive and acknowledge the last frames.
        acknowledge_deadline = self._clock.elapsed() + timedelta(seconds=2)
        while len(self._table) and self._clock.elapsed() < acknowledge_deadline:
            await self._clock.sleep(timedelta(milliseconds=50))

    def _count_in_progress(self) -> int:
        executions = 0 if self._claims is None else self._claims.in_progress
        return len(self._tasks) + executions

    def request_send_to_all(self) -> None:
        """Requests a message with load and drain state to each entry."""
        for outbox in self._outboxes.values():
            outbox.request_send()

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
        """Cancels the attempts of an entry that did not reconnect in time.

        Non-idempotent attempts continue until they end.
        """
        self._abandon_timers.pop(incarnation, None)
        self._connections.pop(incarnation, None)
        self.drain.stopping.discard(incarnation)
        self._table.draining = self.drain.is_active
        self.request_send_to_all()
        for record in self._table.list_records():
            if record.key.incarnation != incarnation:
                continue
            if record.repeatable or record.state is RunState.ENDED:
                self._cancel(record.key)

    async def _write_batches(self, stream, outbox: Outbox) -> None:
        try:
            while True:
                batch = await outbox.take_batch()
                batch.agent = self._settings.instance
                batch.incarnation = self._incarnation
                batch.config_version = self.drain.config_version
                batch.leaving = self.drain.is_active
                batch.load.CopyFrom(self.load)
                await stream.send_message(batch)
        except _CONNECTION_ERRORS:
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
                "the agent has no record of the attempt",
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
        """Reports whether an attempt has started, and if not, prevents it."""
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
        # A running non-idempotent request continues, so that a retry of the
        # caller can get its response.
        if record.repeatable or record.state is RunState.QUEUED:
            task.cancel()

    async def _run_attempt(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        time_left = record.deadline - self._clock.elapsed()
        try:
            async with asyncio.timeout(time_left.total_seconds()):
                if start.repeatable:
                    await self._forward(record, start)
                else:
                    await self._forward_once(record, start)
        except TimeoutError:
            self._fail(record, self._make_timeout_error(record))
        except ChicoryplankError as error:
            self._fail(record, error)
        except asyncio.CancelledError:
            if record.state is RunState.RUNNING and record.repeatable:
                asyncio.create_task(
                    self._backend.cancel(_make_request_id(record))
                )
            raise

    async def _forward(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        """Forwards an idempotent request and streams the response."""
        self._table.start(record)
        response = await self._backend.send(
            _make_backend_request(_make_request_id(record), start)
        )
        self._handle_response_head(record, response.status, response.headers)
        async for data in response.body:
            self._append_output(record, data)
        self._finish(record)

    async def _forward_once(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        """Executes a non-idempotent request or returns an earlier response."""
        if self._claims is None or not start.idempotency_key:
            raise ChicoryplankError(
                ErrorCode.KEY_REQUIRED,
                "non-idempotent request without an idempotency key",
            )
        execution = await self._claims.run(record, start)
        self._handle_response_head(record, execution.status, execution.headers)
        if execution.content:
            self._append_output(record, execution.content)
        self._finish(record)

    async def _fetch_response(
        self, start: relay_pb2.Start
    ) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
        """Sends a request once and returns the complete response."""
        request_id = f"{self._incarnation}-{next(self._execution_numbers)}"
        response = await self._backend.send(
            _make_backend_request(request_id, start)
        )
        chunks = []
        size = 0
        async for data in response.body:
            size += len(data)
            if size > self._settings.limits.max_buffer_bytes:
                raise ChicoryplankError(
                    ErrorCode.REQUEST_TOO_LARGE,
                    "response larger than "
                    f"{self._settings.limits.max_buffer_bytes} bytes",
                    Verdict.MAY_HAVE_RUN,
                )
            chunks.append(data)
        return response.status, response.headers, b"".join(chunks)

    def _find_outbox(self, record: AttemptRecord) -> Outbox | None:
        """Returns the outbox that an attempt is attached to, if any."""
        outbox = self._outboxes.get(record.key.incarnation)
        if outbox is None or not outbox.is_attached(record):
            return None
        return outbox

    def _handle_response_head(
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

    def _append_output(self, record: AttemptRecord, data: bytes) -> None:
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
        if error.code in (ErrorCode.BACKEND_FAILED, ErrorCode.BACKEND_CRASHED):
            emit(Event.ENGINE_FAILED, error=error.message)
        if record.status and error.verdict is Verdict.NOT_RUN:
            error.verdict = Verdict.MAY_HAVE_RUN
        self._table.fail(record, error)
        outbox = self._find_outbox(record)
        if outbox is not None:
            outbox.add_refused(record.key.sequence, error)

    def _make_timeout_error(self, record: AttemptRecord) -> ChicoryplankError:
        started = record.state is not RunState.QUEUED
        if started and record.repeatable:
            asyncio.create_task(self._backend.cancel(_make_request_id(record)))
        return ChicoryplankError(
            ErrorCode.DEADLINE_EXCEEDED,
            "the deadline passed while the agent processed the request",
            Verdict.MAY_HAVE_RUN if started else Verdict.NOT_RUN,
        )


def _make_request_id(record: AttemptRecord) -> str:
    return f"{record.key.incarnation}-{record.key.sequence}"


def _make_backend_request(
    request_id: str, start: relay_pb2.Start
) -> BackendRequest:
    return BackendRequest(
        request_id,
        start.method,
        start.path,
        tuple((item.name, item.value) for item in start.headers),
        start.body,
    )
