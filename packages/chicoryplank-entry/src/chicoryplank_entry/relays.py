"""Connections of an entry to agents, and their pool."""

import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable
from datetime import timedelta

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from chicoryplank.attempts import Attempt, EntryAttemptTable
from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import Incarnation, InstanceId
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank.verdict import Verdict
from chicoryplank_wire import relay_pb2
from chicoryplank_wire.peers import attach_secret
from chicoryplank_wire.relay_grpc import RelayStub

_CONNECTION_ERRORS = (
    OSError,
    StreamTerminatedError,
    GRPCError,
    asyncio.TimeoutError,
)
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_STABLE_CONNECTION_TIME = timedelta(seconds=1)
_HELLO_TIMEOUT_S = 3.0
# Three load reports of an idle agent, which sends one every 4 s. Replicas with
# requests in progress are ejected earlier, when their output stops.
_STALL_TIMEOUT = timedelta(seconds=12)
# Agents accept messages with up to 64 request bodies.
_MAX_STARTS_PER_BATCH = 32
# Agents discard acknowledged output from their buffers. One acknowledgement per
# 64 KiB adds little traffic.
_ACKNOWLEDGE_INTERVAL_BYTES = 65_536


class RelayState(enum.Enum):
    """State of the connection to an agent."""

    CONNECTING = "connecting"
    READY = "ready"
    STALLED = "stalled"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server, as reported by its agent.

    Attributes:
        running: Number of requests that the backend server executes.
        queued: Number of requests queued at the backend server.
        measured_unix_ms: Time of the measurement by the agent's clock.
    """

    running: int = 0
    queued: int = 0
    measured_unix_ms: int = 0


def _decode_refusal(frame: relay_pb2.Refused) -> ChicoryplankError:
    delay = timedelta(milliseconds=frame.retry_after_ms)
    return ChicoryplankError(
        ErrorCode(frame.code),
        frame.message,
        Verdict(frame.verdict),
        retry_after=delay or None,
    )


class Relay:
    """Connection to one agent, which reconnects until it is closed.

    Args:
        entry: Id and incarnation of this entry.
        instance: The agent's instance.
        attempt_table: Attempts that this entry has in progress.
        process_state: Source of the active configuration version and of the
            draining instances.
        clock: Source of time for the stall timeout and reconnect delays.
        rng: Random number generator for the jitter of reconnect delays.
        secret: Shared secret that authenticates to the agent; empty for none.

    Attributes:
        instance: The agent's instance.
        state: State of the connection.
        leaving: Whether the agent is draining and rejects new requests.
        report: Latest load report.
        in_flight: Number of attempts of this entry in progress at the agent.
        on_report: Called with the relay after a new load report.
        on_progress: Called with the relay after output arrived.
    """

    def __init__(
        self,
        entry: tuple[InstanceId, Incarnation],
        instance: Instance,
        attempt_table: EntryAttemptTable,
        *,
        process_state: ProcessState,
        clock: Clock,
        rng: random.Random,
        secret: str = "",
    ) -> None:
        self.instance = instance
        self.state = RelayState.CONNECTING
        self.leaving = False
        self.report = LoadReport()
        self.in_flight = 0
        self._entry, self._entry_incarnation = entry
        self._attempt_table = attempt_table
        self._process_state = process_state
        self._clock = clock
        self._rng = rng
        self._secret = secret
        self._incarnation: Incarnation | None = None
        self._batch = relay_pb2.EntryBatch()
        self._next_batch = relay_pb2.EntryBatch()
        self._connection_count = 0
        self._send_requested = asyncio.Event()
        self._last_received_at = clock.elapsed()
        self._acknowledged: dict[int, int] = {}
        self._task: asyncio.Task | None = None
        self.on_report: Callable[[Relay], None] = lambda _: None
        self.on_progress: Callable[[Relay], None] = lambda _: None

    @property
    def is_usable(self) -> bool:
        """Whether new attempts may be sent."""
        return self.state is RelayState.READY and not self.leaving

    def start(self) -> None:
        """Starts the task that connects to the agent."""
        self._task = asyncio.create_task(self._run_connections())

    async def close(self) -> None:
        """Closes the connection and stops reconnecting."""
        self.state = RelayState.CLOSED
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def send(self, attempt: Attempt, start: relay_pb2.Start) -> None:
        """Queues an attempt for sending and marks it as sent.

        Raises:
            ChicoryplankError: With verdict NOT_RUN if the agent is not
                connected or is draining.
        """
        if not self.is_usable:
            raise ChicoryplankError(
                ErrorCode.NO_REPLICA,
                f"agent {self.instance.instance} is {self.state.value}",
            )
        start.attempt = attempt.sequence
        self._attempt_table.mark_sent(attempt, self._incarnation)
        self._batch.starts.append(start)
        self._send_requested.set()

    def cancel(self, attempt: Attempt) -> None:
        """Requests the agent to cancel an attempt."""
        self._acknowledged.pop(attempt.sequence, None)
        self._batch.cancels.append(attempt.sequence)
        self._send_requested.set()

    def acknowledge(self, attempt: Attempt, final: bool = False) -> None:
        """Acknowledges received output, which the agent may then discard.

        Args:
            attempt: Attempt whose output was received.
            final: Whether the output is complete; it is then acknowledged
                regardless of its size.
        """
        acknowledged = self._acknowledged.get(attempt.sequence, 0)
        if (
            not final
            and attempt.received - acknowledged < _ACKNOWLEDGE_INTERVAL_BYTES
        ):
            return
        self._batch.acknowledges.add(
            attempt=attempt.sequence, offset=attempt.received
        )
        if final:
            self._acknowledged.pop(attempt.sequence, None)
        else:
            self._acknowledged[attempt.sequence] = attempt.received
        self._send_requested.set()

    def request_send(self) -> None:
        """Sends a message even if no frame is queued.

        Each message contains the configuration version and the draining flags.
        """
        self._send_requested.set()

    def check_stalled(self) -> None:
        """Marks the agent as stalled after a timeout without messages."""
        time_since_message = self._clock.elapsed() - self._last_received_at
        if (
            self.state is RelayState.READY
            and time_since_message > _STALL_TIMEOUT
        ):
            self.state = RelayState.STALLED
            emit(Event.AGENT_STALLED, agent=self.instance.instance)

    async def _run_connections(self) -> None:
        backoff_s = _MIN_BACKOFF_S
        while self.state is not RelayState.CLOSED:
            started_at = self._clock.elapsed()
            try:
                await self._connect()
                error: object = "closed by the agent"
            except _CONNECTION_ERRORS as failure:
                error = repr(failure)
            except Exception as failure:
                # An exception caused by a malformed message must not end the
                # task, since nothing else reconnects to the agent.
                error = repr(failure)
                emit(
                    Event.BATCH_REJECTED,
                    peer=self.instance.instance,
                    error=error,
                )
            if self.state is not RelayState.CONNECTING:
                emit(
                    Event.AGENT_DISCONNECTED,
                    agent=self.instance.instance,
                    error=error,
                )
            if self.state is not RelayState.CLOSED:
                self.state = RelayState.CONNECTING
            if self._clock.elapsed() - started_at > _STABLE_CONNECTION_TIME:
                # The first reconnect after a stable connection is immediate.
                backoff_s = _MIN_BACKOFF_S
                continue
            delay_s = backoff_s * self._rng.uniform(0.5, 1.0)
            await self._clock.sleep(timedelta(seconds=delay_s))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    async def _connect(self) -> None:
        host, port = self.instance.address.rsplit(":", 1)
        config = Configuration(
            http2_connection_window_size=4 * 1024 * 1024,
            http2_stream_window_size=4 * 1024 * 1024,
        )
        channel = Channel(host.strip("[]"), int(port), config=config)
        attach_secret(channel, self._secret)
        writer = None
        self._connection_count += 1
        try:
            async with RelayStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(_HELLO_TIMEOUT_S):
                    await stream.send_message(self._complete_batch(hello=True))
                    hello = await stream.recv_message()
                if hello is None:
                    return
                self._recover_attempts(hello)
                writer = asyncio.create_task(self._write_batches(stream))
                self._handle_batch(hello)
                while (batch := await stream.recv_message()) is not None:
                    self._handle_batch(batch)
        finally:
            if writer is not None:
                writer.cancel()
            channel.close()

    def _recover_attempts(self, hello: relay_pb2.AgentBatch) -> None:
        """Recovers the attempts of the preceding connection.

        Args:
            hello: First message of the agent on the new connection.
        """
        self._incarnation = Incarnation(hello.incarnation)
        # Starts queued for the broken connection are discarded, because all
        # attempts marked as sent are settled or resumed below. Cancels remain
        # valid.
        cancels = list(self._batch.cancels)
        self._batch = relay_pb2.EntryBatch(cancels=cancels)
        self._next_batch = relay_pb2.EntryBatch()
        plan = self._attempt_table.plan_recovery(
            self.instance.instance, self._incarnation
        )
        self._batch.settles.extend(plan.settles)
        for sequence, offset in plan.resumes:
            self._batch.resumes.add(attempt=sequence, offset=offset)
        self.state = RelayState.READY
        self._send_requested.set()
        emit(Event.AGENT_CONNECTED, agent=self.instance.instance)

    async def _write_batches(self, stream) -> None:
        try:
            while True:
                await self._send_requested.wait()
                self._send_requested.clear()
                self._defer_excess_starts()
                batch = self._complete_batch()
                self._batch, self._next_batch = (
                    self._next_batch,
                    relay_pb2.EntryBatch(),
                )
                await stream.send_message(batch)
        except _CONNECTION_ERRORS:
            return

    def _defer_excess_starts(self) -> None:
        """Moves starts beyond the limit of a message to the next message."""
        excess = self._batch.starts[_MAX_STARTS_PER_BATCH:]
        if excess:
            self._next_batch.starts.extend(excess)
            del self._batch.starts[_MAX_STARTS_PER_BATCH:]
            self._send_requested.set()

    def _complete_batch(self, hello: bool = False) -> relay_pb2.EntryBatch:
        batch = relay_pb2.EntryBatch() if hello else self._batch
        snapshot = self._process_state.snapshot.value
        batch.entry = self._entry
        batch.incarnation = self._entry_incarnation
        batch.config_version = snapshot.version
        batch.leaving = self.instance.instance in snapshot.leaving
        batch.stopping = self.instance.leaving
        batch.connection = self._connection_count
        return batch

    def _handle_batch(self, batch: relay_pb2.AgentBatch) -> None:
        self._last_received_at = self._clock.elapsed()
        if self.state is RelayState.STALLED:
            self.state = RelayState.READY
        self.leaving = batch.leaving
        agent = self.instance.instance
        # The messages of a connection arrive in order, so the last report is
        # the latest one even if the agent's clock was set back.
        if batch.load.measured_unix_ms != self.report.measured_unix_ms:
            self.report = LoadReport(
                batch.load.running,
                batch.load.queued,
                batch.load.measured_unix_ms,
            )
            self.on_report(self)
        if batch.chunks:
            self.on_progress(self)
        for frame in batch.accepted:
            headers = tuple((item.name, item.value) for item in frame.headers)
            self._attempt_table.observe_accepted(
                agent, frame.attempt, frame.status, headers
            )
        for frame in batch.chunks:
            if not self._attempt_table.observe_chunk(
                agent, frame.attempt, frame.offset, frame.data
            ):
                self._batch.cancels.append(frame.attempt)
                self._send_requested.set()
        for frame in batch.ends:
            self._attempt_table.observe_end(
                agent, frame.attempt, frame.total_bytes
            )
        for frame in batch.refused:
            self._observe_refused(frame)
        for frame in batch.settled:
            if self._attempt_table.observe_settled(
                agent, frame.attempt, frame.started
            ):
                self._batch.resumes.add(attempt=frame.attempt, offset=0)
                self._send_requested.set()

    def _observe_refused(self, frame: relay_pb2.Refused) -> None:
        try:
            self._attempt_table.observe_refused(
                self.instance.instance, frame.attempt, _decode_refusal(frame)
            )
        except (ChicoryplankError, ValueError) as error:
            emit(
                Event.FRAME_REJECTED,
                agent=self.instance.instance,
                error=repr(error),
            )


class RelayPool:
    """Connections to the selected agents of the instance list, one for each.

    Args:
        make_relay: Creates the relay to an agent.

    Attributes:
        relays: Relays by the agent's instance.
    """

    def __init__(self, make_relay: Callable[[Instance], Relay]) -> None:
        self._make_relay = make_relay
        self.relays: dict[InstanceId, Relay] = {}

    def get_relays(self, deployment: str) -> list[Relay]:
        """Returns the relays to the agents of a deployment."""
        return [
            relay
            for relay in self.relays.values()
            if relay.instance.deployment == deployment
        ]

    async def update(
        self, instances: tuple[Instance, ...], selected: frozenset[InstanceId]
    ) -> None:
        """Opens and closes relays after a change of the instance list.

        A relay with attempts in progress stays open until they have ended,
        because the list may be outdated or lack an instance that still runs.

        Args:
            instances: The instance list.
            selected: Agents that this entry connects to.
        """
        listed = {
            item.instance: item
            for item in instances
            if item.instance in selected
        }
        for instance_id, instance in listed.items():
            relay = self.relays.get(instance_id)
            if relay is None or relay.instance.address != instance.address:
                if relay is not None:
                    await relay.close()
                relay = self._make_relay(instance)
                self.relays[instance_id] = relay
                relay.start()
            elif relay.instance != instance:
                relay.instance = instance
                relay.request_send()
        for instance_id in list(self.relays):
            relay = self.relays[instance_id]
            if instance_id not in listed and not relay.in_flight:
                del self.relays[instance_id]
                await relay.close()

    async def close(self) -> None:
        """Closes all relays."""
        for relay in self.relays.values():
            await relay.close()
