"""Simulated entries, agents, connections and backend servers.

Agents run the real relay service with its attempt table and claims, each on its
own event loop that the simulation steps, so that an agent can be paused or
stopped. Entries use the real attempt table; the code around it imitates the
relay of the entry package.
"""

import asyncio
import dataclasses
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError

from chicoryplank.attempts import Attempt
from chicoryplank.attempts.tests.faults import (
    GatedStore,
    InvariantError,
)
from chicoryplank.configuration import (
    AgentSettings,
    RequestLimits,
    StoreSettings,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import ManualEventLoop
from chicoryplank.idempotency import ClaimSettings
from chicoryplank.ids import Incarnation, InstanceId
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend import BackendResponse
from chicoryplank_agent.relay import RelayService
from chicoryplank_wire import relay_pb2

if TYPE_CHECKING:
    from chicoryplank.attempts.tests.simulation import Simulation


MAX_SKEW = timedelta(milliseconds=500)
LIMITS = RequestLimits(
    max_requests=6,
    max_buffer_bytes=64,
    max_tombstones=40,
    default_timeout=timedelta(seconds=2),
    max_timeout=timedelta(seconds=8),
)
CLAIMS = ClaimSettings(
    shards=2,
    max_claims_per_segment=3,
    max_claims_per_shard=400,
    max_waiting=3,
    retention=timedelta(seconds=60),
)
_MAX_ATTEMPTS = 3


@dataclasses.dataclass(eq=False)
class Run:
    """One execution of a request at a backend server.

    Attributes:
        label: Label of the attempt whose message caused the run.
        name: Idempotency key, or the attempt label of an idempotent request.
        content: The complete response.
        attributed_attempts: Labels of the attempts that this run may belong to
            and that were not reported as NOT_RUN.
        agent: Agent of the backend server.
        time: Boot time at which the run started.
        future: Resumes the agent that waits for the response.
        sent: Number of response bytes that the agent has read.
    """

    label: str
    name: str
    content: bytes
    attributed_attempts: set[str]
    agent: "Agent"
    time: timedelta
    future: asyncio.Future | None = None
    sent: int = 0


class Backend:
    """Backend server of one agent incarnation."""

    def __init__(self, simulation: "Simulation", agent: "Agent") -> None:
        self._simulation = simulation
        self._agent = agent

    async def send(self, request) -> BackendResponse:
        """Records the run and returns the response."""
        if self._simulation.backend_down == self._agent.name:
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED, "connection refused", Verdict.NOT_RUN
            )
        run = self._simulation.record_run(self._agent, request)
        await self._wait(run)
        return BackendResponse(200, (), self._read(run))

    async def cancel(self, request_id: str) -> None:
        """Does nothing: a cancelled run still counts as a run."""

    async def _wait(self, run: Run) -> None:
        run.future = self._agent.loop.create_future()
        if run not in self._simulation.waiting_runs:
            self._simulation.waiting_runs.append(run)
        if await run.future == "broken":
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED,
                "connection closed",
                Verdict.MAY_HAVE_RUN,
            )

    async def _read(self, run: Run):
        while run.sent < len(run.content):
            chunk = run.content[run.sent : run.sent + 9]
            run.sent += len(chunk)
            yield chunk
            await self._wait(run)


class Connection:
    """Connection between one entry and one agent incarnation."""

    def __init__(self, entry: "Entry", agent: "Agent") -> None:
        self.entry = entry
        self.agent = agent
        self.is_open = True
        self.to_agent: list[relay_pb2.EntryBatch] = []
        self.to_entry: list[relay_pb2.AgentBatch] = []
        self._arrived: list[relay_pb2.EntryBatch | None] = []
        self._waiter: asyncio.Future | None = None

    def push(self, batch: relay_pb2.EntryBatch | None) -> None:
        """Delivers a message to the agent; None ends the stream."""
        self._arrived.append(batch)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def break_off(self, keep: bool) -> None:
        """Closes the connection at the entry and drops the messages to it.

        Args:
            keep: Whether the agent still receives the messages that the entry
                has sent, possibly after messages of a newer connection.
        """
        self.is_open = False
        self.to_entry.clear()
        if not keep:
            self.to_agent.clear()
            self._arrived.clear()
            self.push(None)

    async def recv_message(self):
        """Waits for the next message to the agent."""
        while not self._arrived:
            self._waiter = self.agent.loop.create_future()
            await self._waiter
        return self._arrived.pop(0)

    async def send_message(self, batch) -> None:
        """Sends a message from the agent to the entry."""
        if not self.is_open:
            raise OSError("the connection is closed")
        copy = relay_pb2.AgentBatch()
        copy.CopyFrom(batch)
        self.to_entry.append(copy)


class Agent:
    """One incarnation of an agent."""

    def __init__(
        self, simulation: "Simulation", name: str, number: int
    ) -> None:
        self.name = InstanceId(name)
        self.incarnation = Incarnation(f"{name}.{number}")
        self.clock = simulation.clocks[name]
        self.loop = ManualEventLoop(simulation.clock)
        self.paused = False
        self._tasks: set[asyncio.Task] = set()
        self.delivered: set[str] = set()
        self.table = simulation.components.agent_table(
            self.clock, LIMITS, MAX_SKEW
        )
        self.registry = simulation.components.registry(
            "bids", GatedStore(simulation, self), self.clock, CLAIMS
        )
        settings = AgentSettings(
            self.name, "zone", "bids", "a", "b", StoreSettings("c"), LIMITS
        )
        self.service = RelayService(
            dataclasses.replace(settings, grace_period=timedelta(seconds=1)),
            self.incarnation,
            self.clock,
            self.table,
            Backend(simulation, self),
            registry=self.registry,
        )

    def accept(self, connection: Connection) -> None:
        """Serves a connection."""
        self.spawn(self._serve(connection))

    async def _serve(self, connection: Connection) -> None:
        # The service ends a stream with a gRPC status, for example if the
        # first message is late; for the entry the connection is lost.
        try:
            await self.service.Exchange(connection)
        except GRPCError:
            connection.break_off(keep=False)

    def spawn(self, coroutine) -> None:
        """Starts a task of the agent; only a store error may end it early."""
        task = self.loop.create_task(coroutine)
        # The event loop holds only weak references to its tasks.
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, StoreError):
            self.loop.failures.append(error)


@dataclasses.dataclass(eq=False)
class Call:
    """A request of a caller, as its entry handles it."""

    key: str
    body: bytes
    deadline: timedelta
    wall_clock_deadline: datetime
    attempts: int = 0
    attempt: Attempt | None = None
    label: str = ""
    received: bytes = b""


class AgentLink:
    """State of the relay connection from an entry to one agent."""

    def __init__(self, name: str) -> None:
        self.name = InstanceId(name)
        self.connection: Connection | None = None
        self.incarnation: Incarnation | None = None
        self.ready = False
        self.batch = relay_pb2.EntryBatch()


class Entry:
    """One incarnation of an entry."""

    def __init__(
        self, simulation: "Simulation", name: str, number: int
    ) -> None:
        self.name = name
        self.incarnation = Incarnation(f"{name}.{number}")
        self.clock = simulation.clocks[name]
        self.paused = False
        self.table = simulation.components.entry_table(LIMITS.max_buffer_bytes)
        self.links = {agent: AgentLink(agent) for agent in simulation.agents}
        self.calls: list[Call] = []
        self._simulation = simulation

    def label(self, sequence: int) -> str:
        """Returns the label of an attempt, unique in the simulation."""
        return f"{self.incarnation}-{sequence}"

    def connect(self, link: AgentLink) -> None:
        """Opens a connection; its first message only identifies the entry."""
        agent = self._simulation.agents[link.name]
        link.connection = Connection(self, agent)
        link.ready = False
        self._simulation.connections.append(link.connection)
        first_message = relay_pb2.EntryBatch(
            entry=self.name, incarnation=self.incarnation
        )
        link.connection.to_agent.append(first_message)
        agent.accept(link.connection)

    def flush(self, link: AgentLink) -> None:
        """Sends the queued frames of a connection."""
        if not link.ready or not link.batch.ByteSize():
            return
        link.batch.entry = self.name
        link.batch.incarnation = self.incarnation
        link.batch.config_version = self._simulation.config_version
        link.batch.leaving = link.name == self._simulation.leaving
        link.connection.to_agent.append(link.batch)
        link.batch = relay_pb2.EntryBatch()

    def receive(self, link: AgentLink, batch: relay_pb2.AgentBatch) -> None:
        """Handles a message from an agent as the relay of an entry does."""
        if not link.ready:
            link.incarnation = Incarnation(batch.incarnation)
            link.batch = relay_pb2.EntryBatch()
            recovery = self.table.plan_recovery(link.name, link.incarnation)
            link.batch.settles.extend(recovery.settles)
            for sequence, offset in recovery.resumes:
                link.batch.resumes.add(attempt=sequence, offset=offset)
            link.ready = True
        for frame in batch.accepted:
            self.table.observe_accepted(
                link.name, frame.attempt, frame.status, ()
            )
        for frame in batch.chunks:
            if not self.table.observe_chunk(
                link.name, frame.attempt, frame.offset, frame.data
            ):
                link.batch.cancels.append(frame.attempt)
        for frame in batch.ends:
            self.table.observe_end(link.name, frame.attempt, frame.total_bytes)
        for frame in batch.refused:
            error = ChicoryplankError(
                ErrorCode(frame.code), frame.message, Verdict(frame.verdict)
            )
            self.table.observe_refused(link.name, frame.attempt, error)
        for frame in batch.settled:
            if self.table.observe_settled(
                link.name, frame.attempt, frame.started
            ):
                link.batch.resumes.add(attempt=frame.attempt, offset=0)

    def begin(self, call: Call, name: str) -> None:
        """Sends an attempt of a call if its agent is connected."""
        link = self.links[name]
        if not link.ready:
            return
        call.attempts += 1
        call.attempt = self.table.open(link.name)
        call.received = b""
        call.label = self.label(call.attempt.sequence)
        self.table.mark_sent(call.attempt, link.incarnation)
        time_left = call.deadline - self.clock.elapsed()
        self._simulation.request_names[call.label] = call.key or call.label
        self._simulation.sent_to[call.label] = link.incarnation
        link.batch.starts.add(
            attempt=call.attempt.sequence,
            account="account",
            budget_ms=max(1, int(time_left.total_seconds() * 1000)),
            deadline_unix_ms=int(call.wall_clock_deadline.timestamp() * 1000),
            method="POST",
            path="/bids",
            body=call.body,
            headers=[relay_pb2.Header(name="X-Attempt", value=call.label)],
            idempotency_key=call.key,
            repeatable=not call.key,
        )

    def poll(self) -> None:
        """Reads available output and ends calls past their deadline."""
        for call in list(self.calls):
            attempt = call.attempt
            if attempt is None:
                self.calls.remove(call)
            elif attempt.is_open and self.clock.elapsed() >= call.deadline:
                self._end(call)
            else:
                self._read(call, attempt)
        for link in self.links.values():
            self.flush(link)

    def _read(self, call: Call, attempt: Attempt) -> None:
        while attempt.has_output:
            call.received += read_now(attempt)
        if attempt.is_open:
            return
        error = attempt.error
        self._release(call, attempt)
        if error is None:
            self._simulation.check_response(call, read_now(attempt))
            self.calls.remove(call)
            return
        if error.verdict is Verdict.NOT_RUN:
            self._simulation.record_not_run(call.label)
            time_left = call.deadline - self.clock.elapsed()
            if call.attempts < _MAX_ATTEMPTS and time_left > timedelta():
                call.attempt = None
                self.begin(call, self._simulation.pick_agent(call.key))
        if call.attempt is attempt or call.attempt is None:
            self.calls.remove(call)

    def _release(self, call: Call, attempt: Attempt) -> None:
        link = self.links[attempt.agent]
        if attempt.is_open:
            link.batch.cancels.append(attempt.sequence)
        else:
            link.batch.acknowledges.add(
                attempt=attempt.sequence, offset=attempt.received
            )
        self.table.close(attempt)

    def _end(self, call: Call) -> None:
        self._release(call, call.attempt)
        self.calls.remove(call)


def read_now(attempt: Attempt) -> bytes:
    """Returns the buffered output of an attempt without waiting."""
    try:
        attempt.read().send(None)
    except StopIteration as result:
        return result.value
    raise InvariantError("read() waits although output is buffered")
