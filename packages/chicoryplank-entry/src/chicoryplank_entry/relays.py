"""Connections of an entry to its agents."""

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

_BROKEN = (OSError, StreamTerminatedError, GRPCError, asyncio.TimeoutError)
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_STABLE_TIME = timedelta(seconds=1)
_HELLO_TIMEOUT_S = 3.0
# Three missed reports of an idle agent, which sends one every 4 s. Replicas
# with requests in progress are ejected sooner, by their missing output.
_STALL_TIMEOUT = timedelta(seconds=12)
# Agents accept messages of 64 request bodies.
_MAX_STARTS = 32
# Agents drop output that was acknowledged; one frame per 64 KiB is cheap.
_ACKNOWLEDGE_BYTES = 65_536


class RelayState(enum.Enum):
    """Progress of a connection."""

    CONNECTING = "connecting"
    READY = "ready"
    STALLED = "stalled"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server as its agent reported it."""

    running: int = 0
    queued: int = 0
    measured_unix_ms: int = 0


def _read_refusal(frame: relay_pb2.Refused) -> ChicoryplankError:
    delay = timedelta(milliseconds=frame.retry_after_ms)
    return ChicoryplankError(
        ErrorCode(frame.code),
        frame.message,
        Verdict(frame.verdict),
        retry_after=delay or None,
    )


class Relay:
    """Connection to one agent; reconnects until it is closed.

    Args:
        entry: Id and incarnation of this entry.
        instance: The agent's instance.
        ledger: Record of attempts of this entry.
        process_state: Source of configuration version and leaving instances.
        clock: Measures silence.
        random_source: Jitter of the reconnect delay.
        secret: What to present to the agent; empty for nothing.

    Attributes:
        state: Progress of the connection.
        leaving: Whether the agent rejects new work.
        report: Last load report.
        in_flight: Attempts of this entry in progress at the agent.
    """

    def __init__(
        self,
        entry: tuple[InstanceId, Incarnation],
        instance: Instance,
        ledger: EntryAttemptTable,
        *,
        process_state: ProcessState,
        clock: Clock,
        random_source: random.Random,
        secret: str = "",
    ) -> None:
        self.instance = instance
        self.state = RelayState.CONNECTING
        self.leaving = False
        self.report = LoadReport()
        self.in_flight = 0
        self._entry, self._entry_incarnation = entry
        self._ledger = ledger
        self._process_state = process_state
        self._clock = clock
        self._random = random_source
        self._secret = secret
        self._incarnation: Incarnation | None = None
        self._batch = relay_pb2.EntryBatch()
        self._next = relay_pb2.EntryBatch()
        self._connections = 0
        self._ready = asyncio.Event()
        self._heard_at = clock.elapsed()
        self._acknowledged: dict[int, int] = {}
        self._task: asyncio.Task | None = None
        self.on_report: Callable[[Relay], None] = lambda _: None
        self.on_progress: Callable[[Relay], None] = lambda _: None

    @property
    def is_usable(self) -> bool:
        """Whether new attempts may be sent."""
        return self.state is RelayState.READY and not self.leaving

    def start(self) -> None:
        """Begins to connect."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Closes the connection."""
        self.state = RelayState.CLOSED
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def send(self, attempt: Attempt, start: relay_pb2.Start) -> None:
        """Queues a request; it counts as sent from here on.

        Raises:
            ChicoryplankError: With verdict NOT_RUN if there is no connection.
        """
        if not self.is_usable:
            raise ChicoryplankError(
                ErrorCode.NO_REPLICA,
                f"agent {self.instance.instance} is {self.state.value}",
            )
        start.attempt = attempt.sequence
        self._ledger.mark_sent(attempt, self._incarnation)
        self._batch.starts.append(start)
        self._ready.set()

    def cancel(self, attempt: Attempt) -> None:
        """Asks the agent to stop an attempt."""
        self._acknowledged.pop(attempt.sequence, None)
        self._batch.cancels.append(attempt.sequence)
        self._ready.set()

    def acknowledge(self, attempt: Attempt, final: bool = False) -> None:
        """Tells the agent which output it may drop."""
        done = self._acknowledged.get(attempt.sequence, 0)
        if not final and attempt.received - done < _ACKNOWLEDGE_BYTES:
            return
        self._batch.acknowledges.add(
            attempt=attempt.sequence, offset=attempt.received
        )
        if final:
            self._acknowledged.pop(attempt.sequence, None)
        else:
            self._acknowledged[attempt.sequence] = attempt.received
        self._ready.set()

    def wake(self) -> None:
        """Sends a message even if no frame waits."""
        self._ready.set()

    def check_silence(self) -> None:
        """Marks the agent as stalled if nothing was heard for too long."""
        silence = self._clock.elapsed() - self._heard_at
        if self.state is RelayState.READY and silence > _STALL_TIMEOUT:
            self.state = RelayState.STALLED
            emit(Event.AGENT_STALLED, agent=self.instance.instance)

    async def _run(self) -> None:
        backoff_s = _MIN_BACKOFF_S
        while self.state is not RelayState.CLOSED:
            started = self._clock.elapsed()
            try:
                await self._connect()
                error: object = "closed by the agent"
            except _BROKEN as failure:
                error = repr(failure)
            except Exception as failure:
                # A malformed message must not end the task, after which the
                # agent would never be reached again.
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
            if self._clock.elapsed() - started > _STABLE_TIME:
                # The first try after a working connection needs no delay.
                backoff_s = _MIN_BACKOFF_S
                continue
            delay_s = backoff_s * self._random.uniform(0.5, 1.0)
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
        self._connections += 1
        try:
            async with RelayStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(_HELLO_TIMEOUT_S):
                    await stream.send_message(self._finish_batch(hello=True))
                    hello = await stream.recv_message()
                if hello is None:
                    return
                self._begin(hello)
                writer = asyncio.create_task(self._write(stream))
                self._handle_batch(hello)
                while (batch := await stream.recv_message()) is not None:
                    self._handle_batch(batch)
        finally:
            if writer is not None:
                writer.cancel()
            channel.close()

    def _begin(self, hello: relay_pb2.AgentBatch) -> None:
        """Recovers the attempts of an earlier connection."""
        self._incarnation = Incarnation(hello.incarnation)
        # Requests queued for the broken connection are void, since sent
        # attempts are settled or resumed below. Cancels still hold.
        cancels = list(self._batch.cancels)
        self._batch = relay_pb2.EntryBatch(cancels=cancels)
        self._next = relay_pb2.EntryBatch()
        recovery = self._ledger.plan_recovery(
            self.instance.instance, self._incarnation
        )
        self._batch.settles.extend(recovery.settles)
        for sequence, offset in recovery.resumes:
            self._batch.resumes.add(attempt=sequence, offset=offset)
        self.state = RelayState.READY
        self._ready.set()
        emit(Event.AGENT_CONNECTED, agent=self.instance.instance)

    async def _write(self, stream) -> None:
        try:
            while True:
                await self._ready.wait()
                self._ready.clear()
                self._split_batch()
                batch = self._finish_batch()
                self._batch, self._next = self._next, relay_pb2.EntryBatch()
                await stream.send_message(batch)
        except _BROKEN:
            return

    def _split_batch(self) -> None:
        """Leaves requests beyond the bound of a message to the next one."""
        excess = self._batch.starts[_MAX_STARTS:]
        if excess:
            self._next.starts.extend(excess)
            del self._batch.starts[_MAX_STARTS:]
            self._ready.set()

    def _finish_batch(self, hello: bool = False) -> relay_pb2.EntryBatch:
        batch = relay_pb2.EntryBatch() if hello else self._batch
        snapshot = self._process_state.snapshot.value
        batch.entry = self._entry
        batch.incarnation = self._entry_incarnation
        batch.config_version = snapshot.version
        batch.leaving = self.instance.instance in snapshot.leaving
        batch.stopping = self.instance.leaving
        batch.connection = self._connections
        return batch

    def _handle_batch(self, batch: relay_pb2.AgentBatch) -> None:
        self._heard_at = self._clock.elapsed()
        if self.state is RelayState.STALLED:
            self.state = RelayState.READY
        self.leaving = batch.leaving
        agent = self.instance.instance
        # Messages of a connection keep their order, so the last report is the
        # newest whatever the agent's clock says.
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
            self._ledger.observe_accepted(
                agent, frame.attempt, frame.status, headers
            )
        for frame in batch.chunks:
            if not self._ledger.observe_chunk(
                agent, frame.attempt, frame.offset, frame.data
            ):
                self._batch.cancels.append(frame.attempt)
                self._ready.set()
        for frame in batch.ends:
            self._ledger.observe_end(agent, frame.attempt, frame.total_bytes)
        for frame in batch.refused:
            self._observe_refused(frame)
        for frame in batch.settled:
            if self._ledger.observe_settled(
                agent, frame.attempt, frame.started
            ):
                self._batch.resumes.add(attempt=frame.attempt, offset=0)
                self._ready.set()

    def _observe_refused(self, frame: relay_pb2.Refused) -> None:
        try:
            self._ledger.observe_refused(
                self.instance.instance, frame.attempt, _read_refusal(frame)
            )
        except (ChicoryplankError, ValueError) as error:
            emit(
                Event.FRAME_REJECTED,
                agent=self.instance.instance,
                error=repr(error),
            )


class RelayPool:
    """Keeps one relay for each agent that the instance list shows.

    Args:
        make_relay: Creates the relay of an instance.
    """

    def __init__(self, make_relay: Callable[[Instance], Relay]) -> None:
        self._make_relay = make_relay
        self.relays: dict[InstanceId, Relay] = {}

    def list_deployment(self, deployment: str) -> list[Relay]:
        """Returns the relays to the agents of a deployment."""
        return [
            relay
            for relay in self.relays.values()
            if relay.instance.deployment == deployment
        ]

    async def observe(
        self, instances: tuple[Instance, ...], wanted: frozenset[InstanceId]
    ) -> None:
        """Opens and closes relays after a change of the instance list.

        A relay with attempts in progress stays open until they have ended,
        because the list may lag or lose an instance that still works.

        Args:
            instances: The instance list.
            wanted: Agents to connect to.
        """
        listed = {
            item.instance: item for item in instances if item.instance in wanted
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
                relay.wake()
        for instance_id in list(self.relays):
            relay = self.relays[instance_id]
            if instance_id not in listed and not relay.in_flight:
                del self.relays[instance_id]
                await relay.close()

    async def close(self) -> None:
        """Closes all relays."""
        for relay in self.relays.values():
            await relay.close()
