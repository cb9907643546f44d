"""Model of entries, agents, store and network on a virtual clock.

The agents are the real relay service with its tables and claims; each runs on
its own driven event loop, so that it can be paused or dropped. The entries
use the real ledger and repeat what the entry's relay does with it. The
network, the store's timing and the backend servers are driven by the actions
of World. The record of what the backend servers ran decides about the
invariants.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from datetime import datetime, timedelta

import logbook

from chicoryplank.attempts import Attempt, AttemptLedger, AttemptTable
from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    AgentSettings,
    RequestLimits,
    StoreSettings,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import DrivenLoop, MemoryStore
from chicoryplank.idempotency import ClaimRegistry, ClaimSettings
from chicoryplank.ids import Incarnation, InstanceId
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend import BackendResponse
from chicoryplank_agent.relay import RelayService
from chicoryplank_wire import relay_pb2

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
_TIMEOUTS = (0.05, 0.5, 2.0, 4.0, 8.0)
_PAUSES = (0.01, 0.03, 0.2, 1.0, 2.5, 8.2)
_MAX_ATTEMPTS = 3
# A claim that was taken over holds for half of the retention; it may be older
# than the run by the longest deadline, and clocks and rounding take some.
_LEAST_HOLD = CLAIMS.retention / 2 - timedelta(seconds=10)


class InvariantError(AssertionError):
    """An invariant does not hold."""


class SkewedClock:
    """Wall clock with an offset; the time since boot is the shared one."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.offset = timedelta()

    def now(self) -> datetime:
        """Returns the skewed wall-clock time."""
        return self._clock.now() + self.offset

    def elapsed(self) -> timedelta:
        """Returns the time since boot."""
        return self._clock.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Waits until the shared clock has advanced."""
        await self._clock.sleep(duration)


@dataclasses.dataclass(eq=False)
class Gate:
    """A point at which a call to the store waits for the model."""

    agent: "Agent"
    future: asyncio.Future
    is_answer: bool
    is_write: bool


class GatedStore:
    """The store as one agent reaches it; each call waits at two gates."""

    def __init__(self, world: "World", agent: "Agent") -> None:
        self._world = world
        self._agent = agent

    async def _wait(self, is_answer: bool, is_write: bool) -> str:
        future = self._agent.loop.create_future()
        gate = Gate(self._agent, future, is_answer, is_write)
        self._world.gates.append(gate)
        return await future

    async def _call(self, name: str, *args, is_write: bool) -> object:
        store = self._world.store
        fault = await self._wait(False, is_write)
        store.available = fault != "down" and not self._world.store_down
        store.delay_writes = int(fault == "late")
        try:
            result = await getattr(store, name)(*args)
        finally:
            store.available = True
            store.delay_writes = 0
        if await self._wait(True, is_write) == "lost":
            verdict = Verdict.MAY_HAVE_RUN if is_write else Verdict.NOT_RUN
            raise StoreError("the answer was lost", verdict)
        return result

    async def read(self, key):
        """Reads a key."""
        return await self._call("read", key, is_write=False)

    async def read_prefix(self, prefix):
        """Reads the keys with a prefix."""
        return await self._call("read_prefix", prefix, is_write=False)

    async def swap(self, key, value, expected_revision, lease=0):
        """Writes a key by compare-and-swap."""
        return await self._call(
            "swap", key, value, expected_revision, lease, is_write=True
        )

    async def delete(self, key, expected_revision):
        """Deletes a key by compare-and-swap."""
        return await self._call("delete", key, expected_revision, is_write=True)


@dataclasses.dataclass(eq=False)
class Run:
    """One run at a backend server.

    Attributes:
        label: Attempt whose message caused it.
        name: Idempotency key, or the label of a repeatable attempt.
        content: The whole response.
        witnesses: Attempts for which it ran that were not told NOT_RUN.
        agent: Agent beside the backend server.
        time: Boot time of its start.
        future: Wakes the reader of the response.
        sent: Bytes of the response that were read.
    """

    label: str
    name: str
    content: bytes
    witnesses: set[str]
    agent: "Agent"
    time: timedelta
    future: asyncio.Future | None = None
    sent: int = 0


class Backend:
    """Backend server beside one agent incarnation."""

    def __init__(self, world: "World", agent: "Agent") -> None:
        self._world = world
        self._agent = agent

    async def send(self, request) -> BackendResponse:
        """Records the run and returns the head of the response."""
        if self._world.backend_down == self._agent.name:
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED, "connection refused", Verdict.NOT_RUN
            )
        run = self._world.record_run(self._agent, request)
        await self._wait(run)
        return BackendResponse(200, (), self._read(run))

    async def cancel(self, request_id: str) -> None:
        """Does nothing; a cancelled run counts as a run."""

    async def _wait(self, run: Run) -> None:
        run.future = self._agent.loop.create_future()
        if run not in self._world.waiting_runs:
            self._world.waiting_runs.append(run)
        if await run.future == "broken":
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED, "broke off", Verdict.MAY_HAVE_RUN
            )

    async def _read(self, run: Run):
        while run.sent < len(run.content):
            piece = run.content[run.sent : run.sent + 9]
            run.sent += len(piece)
            yield piece
            await self._wait(run)


class Connection:
    """Messages between one entry and one agent incarnation."""

    def __init__(self, entry: "Entry", agent: "Agent") -> None:
        self.entry = entry
        self.agent = agent
        self.is_open = True
        self.to_agent: list[relay_pb2.EntryBatch] = []
        self.to_entry: list[relay_pb2.AgentBatch] = []
        self._arrived: list[relay_pb2.EntryBatch | None] = []
        self._waiter: asyncio.Future | None = None

    def push(self, batch: relay_pb2.EntryBatch | None) -> None:
        """Hands a message to the agent; None ends the stream."""
        self._arrived.append(batch)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def break_off(self, keep: bool) -> None:
        """Ends the entry's side and loses the messages to it.

        Args:
            keep: Whether the agent still reads what the entry wrote before,
                possibly after messages of a newer connection.
        """
        self.is_open = False
        self.to_entry.clear()
        if not keep:
            self.to_agent.clear()
            self._arrived.clear()
            self.push(None)

    async def recv_message(self):
        """Returns the next message at the agent."""
        while not self._arrived:
            self._waiter = self.agent.loop.create_future()
            await self._waiter
        return self._arrived.pop(0)

    async def send_message(self, batch) -> None:
        """Sends a message of the agent."""
        if not self.is_open:
            raise OSError("the connection is broken")
        copy = relay_pb2.AgentBatch()
        copy.CopyFrom(batch)
        self.to_entry.append(copy)


class Agent:
    """One incarnation of an agent."""

    def __init__(self, world: "World", name: str, number: int) -> None:
        self.name = InstanceId(name)
        self.incarnation = Incarnation(f"{name}.{number}")
        self.clock = world.clocks[name]
        self.loop = DrivenLoop(world.clock)
        self.paused = False
        self._tasks: set[asyncio.Task] = set()
        self.delivered: set[str] = set()
        self.table = world.parts.table(self.clock, LIMITS, MAX_SKEW)
        self.registry = world.parts.registry(
            "bids", GatedStore(world, self), self.clock, CLAIMS
        )
        settings = AgentSettings(
            self.name, "zone", "bids", "a", "b", StoreSettings("c"), LIMITS
        )
        self.service = RelayService(
            dataclasses.replace(settings, grace_period=timedelta(seconds=1)),
            self.incarnation,
            self.clock,
            self.table,
            Backend(world, self),
            registry=self.registry,
        )

    def accept(self, connection: Connection) -> None:
        """Serves a connection."""
        self.spawn(self.service.Exchange(connection))

    def spawn(self, coroutine) -> None:
        """Runs a task of the agent; a failure of the store ends it."""
        task = self.loop.create_task(coroutine)
        # The event loop alone does not keep a task alive.
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, StoreError):
            self.loop.failures.append(error)


@dataclasses.dataclass(eq=False)
class Call:
    """A caller's request at an entry."""

    key: str
    body: bytes
    deadline: timedelta
    deadline_wall: datetime
    attempts: int = 0
    attempt: Attempt | None = None
    label: str = ""
    received: bytes = b""


class Link:
    """What an entry knows of one agent."""

    def __init__(self, name: str) -> None:
        self.name = InstanceId(name)
        self.connection: Connection | None = None
        self.incarnation: Incarnation | None = None
        self.ready = False
        self.batch = relay_pb2.EntryBatch()


class Entry:
    """One incarnation of an entry, as its relays drive the ledger."""

    def __init__(self, world: "World", name: str, number: int) -> None:
        self.name = name
        self.incarnation = Incarnation(f"{name}.{number}")
        self.clock = world.clocks[name]
        self.paused = False
        self.ledger = world.parts.ledger(LIMITS.max_buffer_bytes)
        self.links = {agent: Link(agent) for agent in world.agents}
        self.calls: list[Call] = []
        self._world = world

    def label(self, sequence: int) -> str:
        """Names an attempt of this entry."""
        return f"{self.incarnation}-{sequence}"

    def connect(self, link: Link) -> None:
        """Opens a connection whose first message is empty."""
        agent = self._world.agents[link.name]
        link.connection = Connection(self, agent)
        link.ready = False
        self._world.connections.append(link.connection)
        hello = relay_pb2.EntryBatch(
            entry=self.name, incarnation=self.incarnation
        )
        link.connection.to_agent.append(hello)
        agent.accept(link.connection)

    def flush(self, link: Link) -> None:
        """Sends the frames that wait."""
        if not link.ready or not link.batch.ByteSize():
            return
        link.batch.entry = self.name
        link.batch.incarnation = self.incarnation
        link.batch.config_version = self._world.config_version
        link.batch.leaving = link.name == self._world.leaving
        link.connection.to_agent.append(link.batch)
        link.batch = relay_pb2.EntryBatch()

    def receive(self, link: Link, batch: relay_pb2.AgentBatch) -> None:
        """Handles a message as the relay does."""
        if not link.ready:
            link.incarnation = Incarnation(batch.incarnation)
            link.batch = relay_pb2.EntryBatch()
            recovery = self.ledger.plan_recovery(link.name, link.incarnation)
            link.batch.settles.extend(recovery.settles)
            for sequence, offset in recovery.resumes:
                link.batch.resumes.add(attempt=sequence, offset=offset)
            link.ready = True
        for frame in batch.accepted:
            self.ledger.observe_accepted(
                link.name, frame.attempt, frame.status, ()
            )
        for frame in batch.chunks:
            if not self.ledger.observe_chunk(
                link.name, frame.attempt, frame.offset, frame.data
            ):
                link.batch.cancels.append(frame.attempt)
        for frame in batch.ends:
            self.ledger.observe_end(link.name, frame.attempt, frame.total_bytes)
        for frame in batch.refused:
            error = ChicoryplankError(
                ErrorCode(frame.code), frame.message, Verdict(frame.verdict)
            )
            self.ledger.observe_refused(link.name, frame.attempt, error)
        for frame in batch.settled:
            if self.ledger.observe_settled(
                link.name, frame.attempt, frame.started
            ):
                link.batch.resumes.add(attempt=frame.attempt, offset=0)

    def begin(self, call: Call, name: str) -> None:
        """Sends an attempt of a call if its agent is connected."""
        link = self.links[name]
        if not link.ready:
            return
        call.attempts += 1
        call.attempt = self.ledger.open(link.name)
        call.received = b""
        call.label = self.label(call.attempt.sequence)
        self.ledger.mark_sent(call.attempt, link.incarnation)
        left = call.deadline - self.clock.elapsed()
        self._world.issued[call.label] = call.key or call.label
        self._world.sent_to[call.label] = link.incarnation
        link.batch.starts.add(
            attempt=call.attempt.sequence,
            account="account",
            budget_ms=max(1, int(left.total_seconds() * 1000)),
            deadline_unix_ms=int(call.deadline_wall.timestamp() * 1000),
            method="POST",
            path="/bids",
            body=call.body,
            headers=[relay_pb2.Header(name="X-Attempt", value=call.label)],
            idempotency_key=call.key,
            repeatable=not call.key,
        )

    def poll(self) -> None:
        """Reads output and ends calls."""
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
            self._world.check_response(call, read_now(attempt))
            self.calls.remove(call)
            return
        if error.verdict is Verdict.NOT_RUN:
            self._world.tell_not_run(call.label)
            left = call.deadline - self.clock.elapsed()
            if call.attempts < _MAX_ATTEMPTS and left > timedelta():
                call.attempt = None
                self.begin(call, self._world.pick_agent(call.key))
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
        self.ledger.close(attempt)

    def _end(self, call: Call) -> None:
        self._release(call, call.attempt)
        self.calls.remove(call)


def read_now(attempt: Attempt) -> bytes:
    """Returns output of an attempt that need not be waited for."""
    try:
        attempt.read().send(None)
    except StopIteration as result:
        return result.value
    raise InvariantError("a reader waits although there is output")


@dataclasses.dataclass(frozen=True)
class Parts:
    """Classes under test, so that broken variants can replace them."""

    ledger: Callable[..., AttemptLedger] = AttemptLedger
    table: Callable[..., AttemptTable] = AttemptTable
    registry: Callable[..., ClaimRegistry] = ClaimRegistry
    prepare: Callable[["World"], None] = lambda world: None


class World:
    """All processes, and actions that advance or disturb them.

    Args:
        seed: Seed of choices that no action argument makes.
        keyed: Share of the requests that are non-idempotent.
        parts: Classes under test.
    """

    def __init__(
        self, seed: int, keyed: float = 0.5, parts: Parts = Parts()
    ) -> None:
        self.parts = parts
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.store_down = False
        self.backend_down = ""
        self.gates: list[Gate] = []
        self.waiting_runs: list[Run] = []
        self.runs: list[Run] = []
        self.connections: list[Connection] = []
        self.broken: list[Connection] = []
        self.issued: dict[str, str] = {}
        self.sent_to: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.responses = 0
        self.owner_shift = 0
        self.config_version = 0
        self.leaving = ""
        self._keyed = keyed
        self._keys = 0
        self._numbers = 0
        self._old_agents: list[Agent] = []
        names = ("agent-a", "agent-b", "entry-a", "entry-b")
        self.clocks = {name: SkewedClock(self.clock) for name in names}
        self.agents: dict[str, Agent] = {}
        self.agents = {name: self._make_agent(name) for name in names[:2]}
        self.entries = {name: self._make_entry(name) for name in names[2:]}
        parts.prepare(self)
        for entry in self.entries.values():
            for link in entry.links.values():
                entry.connect(link)

    def _make_agent(self, name: str) -> Agent:
        self._numbers += 1
        return Agent(self, name, self._numbers)

    def _make_entry(self, name: str) -> Entry:
        self._numbers += 1
        return Entry(self, name, self._numbers)

    def close(self) -> None:
        """Ends all tasks."""
        for agent in (*self._old_agents, *self.agents.values()):
            agent.loop.stop_all()

    def act(self, name: str, number: int) -> None:
        """Does one action and checks the invariants.

        Args:
            name: Name of the action, one of ACTIONS.
            number: Decides what the action applies to.

        Raises:
            InvariantError: If an invariant does not hold.
        """
        with logbook.NullHandler().threadbound():
            getattr(self, f"_do_{name}")(number)
            self._settle()
            self._check()

    # Records and checks.

    def record_run(self, agent: Agent, request) -> Run:
        """Records that a backend server began to run a request."""
        label = dict(request.headers)["X-Attempt"]
        name = self.issued[label]
        witnesses = {
            item
            for item in agent.delivered
            if self.issued[item] == name and item not in self.not_run
        }
        if not witnesses:
            raise_in_model(self, f"{label} runs after it was told NOT_RUN")
        content = b"%s:%d:%s" % (request.body, len(self.runs), b"." * 12)
        run = Run(label, name, content, witnesses, agent, self.clock.elapsed())
        if any(item.label == label for item in self.runs):
            raise_in_model(self, f"{label} starts twice")
        now = self.clock.elapsed()
        if any(
            item.name == name and now - item.time < _LEAST_HOLD
            for item in self.runs
        ):
            raise_in_model(self, f"{name} runs twice")
        self.runs.append(run)
        return run

    def tell_not_run(self, label: str) -> None:
        """Records a verdict that an entry acts on."""
        self.not_run.add(label)
        for run in self.runs:
            if label in run.witnesses:
                run.witnesses.discard(label)
                if not run.witnesses:
                    raise InvariantError(f"{label} was told NOT_RUN but ran")

    def check_response(self, call: Call, rest: bytes) -> None:
        """Compares a response with what the backend servers sent."""
        self.responses += 1
        content = call.received + rest
        name = call.key or call.label
        if not any(
            run.name == name and run.content == content for run in self.runs
        ):
            raise InvariantError(f"{call.label} got {content!r}")

    def _check(self) -> None:
        for agent in self.agents.values():
            if agent.loop.failures:
                raise InvariantError(repr(agent.loop.failures[0]))
            check_limits(agent)
        if self.failure:
            raise InvariantError(self.failure)

    failure = ""

    def _settle(self) -> None:
        for agent in self.agents.values():
            if not agent.paused:
                agent.loop.run_ready()
        for entry in self.entries.values():
            if not entry.paused:
                entry.poll()

    def pick_agent(self, key: str) -> str:
        """Chooses the agent of a request as the entries do."""
        names = sorted(self.agents)
        if key:
            return names[(len(key) + self.owner_shift) % len(names)]
        return self.random.choice(names)

    # Actions.

    def _do_request(self, number: int) -> None:
        entry = self._pick(self.entries, number)
        key = ""
        if number % 1000 < self._keyed * 1000:
            if self._keys == 0 or number % 3 == 0:
                self._keys += 1
            back = min(self._keys - 1, number % 5)
            key = f"key-{self._keys - back}"
        body = b"%s/%d" % (
            key.encode() or entry.name.encode(),
            0 if key else number,
        )
        if entry.paused:
            return
        timeout = timedelta(seconds=_TIMEOUTS[number // 7 % len(_TIMEOUTS)])
        call = Call(
            key,
            body,
            self.clock.elapsed() + timeout,
            entry.clock.now() + timeout,
        )
        entry.calls.append(call)
        entry.begin(call, self.pick_agent(key))

    def _do_connect(self, number: int) -> None:
        entry = self._pick(self.entries, number)
        link = self._pick(entry.links, number // 2)
        if link.connection is None and not entry.paused:
            entry.connect(link)

    def _do_break(self, number: int) -> None:
        if self.connections:
            connection = self.connections[number % len(self.connections)]
            self._break(connection, keep=number // 5 % 2 == 0)

    def _break(self, connection: Connection, keep: bool = False) -> None:
        connection.break_off(keep)
        self.connections.remove(connection)
        if keep:
            self.broken.append(connection)
        for link in connection.entry.links.values():
            if link.connection is connection:
                link.connection = None
                link.ready = False

    def _list_messages(self) -> list[tuple[Connection, list, bool]]:
        found = []
        for connection in self.connections:
            if connection.to_agent and not connection.agent.paused:
                found.append((connection, connection.to_agent, True))
            if connection.to_entry and not connection.entry.paused:
                found.append((connection, connection.to_entry, False))
        for connection in list(self.broken):
            if not connection.to_agent:
                connection.push(None)
                self.broken.remove(connection)
            elif not connection.agent.paused:
                found.append((connection, connection.to_agent, True))
        return found

    def _do_deliver(self, number: int) -> None:
        found = self._list_messages()
        if found:
            connection, queue, to_agent = found[number % len(found)]
            self._hand_over(connection, queue.pop(0), to_agent)

    def _do_reorder(self, number: int) -> None:
        """Delivers a later message first."""
        found = [item for item in self._list_messages() if len(item[1]) > 1]
        if found:
            connection, queue, to_agent = found[number % len(found)]
            # The first message tells who speaks, so it stays first.
            first = 1 if to_agent and queue[0].ByteSize() else 0
            index = max(first, number // 3 % len(queue))
            self._hand_over(connection, queue.pop(index), to_agent)

    def _do_duplicate(self, number: int) -> None:
        found = self._list_messages()
        if found:
            _, queue, _ = found[number % len(found)]
            index = number // 3 % len(queue)
            queue.append(queue[index])

    def _do_lose(self, number: int) -> None:
        found = self._list_messages()
        if found:
            _, queue, _ = found[number % len(found)]
            queue.pop(number // 3 % len(queue))

    def _hand_over(self, connection: Connection, batch, to_agent: bool) -> None:
        if not to_agent:
            for link in connection.entry.links.values():
                if link.connection is connection:
                    connection.entry.receive(link, batch)
            return
        for start in batch.starts:
            connection.agent.delivered.add(
                connection.entry.label(start.attempt)
            )
        connection.push(batch)

    def _open_gates(self) -> list[Gate]:
        current = set(self.agents.values())
        self.gates = [
            gate
            for gate in self.gates
            if gate.agent in current and not gate.future.done()
        ]
        return [gate for gate in self.gates if not gate.agent.paused]

    def _do_store(self, number: int) -> None:
        gates = self._open_gates()
        if gates:
            gates[number % len(gates)].future.set_result("")

    def _do_store_fault(self, number: int) -> None:
        gates = self._open_gates()
        if not gates:
            return
        gate = gates[number % len(gates)]
        if gate.is_answer:
            gate.future.set_result("lost")
        elif gate.is_write and number // 5 % 2:
            gate.future.set_result("late")
        else:
            gate.future.set_result("down")

    def _do_store_down(self, number: int) -> None:
        self.store_down = not self.store_down and number % 2 == 0

    def _do_late_write(self, number: int) -> None:
        if self.store.delayed:
            self.store.apply_delayed(number % self.store.delayed)

    def _list_runs(self) -> list[Run]:
        current = set(self.agents.values())
        self.waiting_runs = [
            run
            for run in self.waiting_runs
            if run.agent in current and not run.future.done()
        ]
        return [run for run in self.waiting_runs if not run.agent.paused]

    def _do_backend(self, number: int) -> None:
        runs = self._list_runs()
        if runs:
            runs[number % len(runs)].future.set_result("")

    def _do_backend_fault(self, number: int) -> None:
        runs = self._list_runs()
        if runs and number % 2:
            runs[number % len(runs)].future.set_result("broken")
        elif self.backend_down:
            self.backend_down = ""
        else:
            self.backend_down = sorted(self.agents)[number // 2 % 2]

    def _do_progress(self, number: int) -> None:
        """Lets everything that waits go on for some rounds."""
        for _ in range(1 + number % 12):
            for connection, queue, to_agent in self._list_messages():
                self._hand_over(connection, queue.pop(0), to_agent)
            for gate in self._open_gates():
                gate.future.set_result("")
            for run in self._list_runs():
                run.future.set_result("")
            self._settle()

    def _do_advance(self, number: int) -> None:
        pause = timedelta(seconds=_PAUSES[number % len(_PAUSES)])
        self.clock.advance(pause)

    def _do_skew(self, number: int) -> None:
        """Changes a wall clock; two clocks differ by at most MAX_SKEW."""
        clock = self._pick(self.clocks, number)
        clock.offset = MAX_SKEW * ((number // 4 % 5) / 4 - 0.5)

    def _do_pause(self, number: int) -> None:
        process = self._pick({**self.agents, **self.entries}, number)
        process.paused = not process.paused

    def _do_resume(self, number: int) -> None:
        del number
        for process in (*self.agents.values(), *self.entries.values()):
            process.paused = False

    def _do_move(self, number: int) -> None:
        self.owner_shift = number

    def _do_drain(self, number: int) -> None:
        """Drains an agent or ends its drain by a new configuration."""
        self.config_version += 1
        names = sorted(self.agents)
        self.leaving = "" if self.leaving else names[number % len(names)]

    def _do_expire(self, number: int) -> None:
        """Lets claims expire and deletes what an agent knows of them."""
        agent = self._pick(self.agents, number)
        share = (0.5, 0.75, 0.99, 1.0)[number // 2 % 4]
        self.clock.advance(CLAIMS.retention * share)
        if not agent.paused:
            agent.spawn(agent.registry.delete_expired())

    def _do_restart_agent(self, number: int) -> None:
        agent = self._pick(self.agents, number)
        for connection in list(self.connections):
            if connection.agent is agent:
                self._break(connection)
        self.broken = [item for item in self.broken if item.agent is not agent]
        self._old_agents.append(agent)
        self.agents[agent.name] = self._make_agent(agent.name)

    def _do_restart_entry(self, number: int) -> None:
        entry = self._pick(self.entries, number)
        for connection in list(self.connections):
            if connection.entry is entry:
                self._break(connection)
        self.entries[entry.name] = self._make_entry(entry.name)

    def _pick(self, items: dict, number: int):
        return items[sorted(items)[number % len(items)]]


def raise_in_model(world: World, text: str) -> None:
    """Keeps a violation that is found inside a task of an agent."""
    world.failure = world.failure or text


def check_limits(agent: Agent) -> None:
    """Verifies the bounds on an agent's tables."""
    table, service = agent.table, agent.service
    tombstones = len(table._tombstones)
    executions = service._claims._executions
    if len(table) > LIMITS.max_requests:
        raise InvariantError(f"{len(table)} attempts in the table")
    if len(table) + tombstones > LIMITS.max_tombstones:
        raise InvariantError(
            f"{tombstones} tombstones and {len(table)} attempts"
        )
    if service._claims.in_progress > LIMITS.max_requests:
        raise InvariantError(f"{service._claims.in_progress} executions")
    unfinished = sum(
        not item.ended.is_set() for item in executions._executions.values()
    )
    if unfinished > service._claims.in_progress:
        raise InvariantError("an execution never ends")
    for record in table.list_records():
        if len(record.kept) > LIMITS.max_buffer_bytes:
            raise InvariantError(f"{len(record.kept)} bytes are kept")
    for writer in agent.registry._writers.values():
        if len(writer.waiting) > CLAIMS.max_waiting:
            raise InvariantError(f"{len(writer.waiting)} claims wait")


_ALWAYS = frozenset(
    {"request", "connect", "deliver", "progress", "plan", "confirm"}
)
# Weights of the actions: progress is common, so that faults meet requests in
# every stage.
ATTEMPT_ACTIONS = {
    "request": 20,
    "connect": 14,
    "deliver": 18,
    "progress": 5,
    "store": 4,
    "backend": 6,
    "backend_fault": 2,
    "advance": 6,
    "skew": 2,
    "drain": 1,
    "break": 4,
    "reorder": 4,
    "duplicate": 4,
    "lose": 2,
    "pause": 2,
    "resume": 3,
    "restart_agent": 1,
    "restart_entry": 1,
}
CLAIM_ACTIONS = {
    "request": 20,
    "connect": 14,
    "deliver": 10,
    "progress": 7,
    "store": 16,
    "store_fault": 5,
    "late_write": 4,
    "store_down": 1,
    "backend": 6,
    "backend_fault": 4,
    "advance": 5,
    "skew": 1,
    "move": 4,
    "expire": 1,
    "break": 2,
    "reorder": 1,
    "duplicate": 2,
    "lose": 1,
    "pause": 2,
    "resume": 3,
    "restart_agent": 1,
    "restart_entry": 1,
}


def vary_weights(
    actions: dict[str, int], source: random.Random
) -> dict[str, float]:
    """Leaves out some actions and prefers others, as in swarm testing.

    References:
        Groce et al., "Swarm Testing", ISSTA 2012: random tests find more
        when each run uses a random part of the features.
    """
    return {
        name: weight * (1 if name in _ALWAYS else source.choice((0, 1, 1, 3)))
        for name, weight in actions.items()
    }


def run_seed(
    seed: int,
    steps: int,
    actions: dict[str, int],
    keyed: float,
    parts: Parts = Parts(),
    *,
    vary: bool = True,
) -> World:
    """Runs one model with random actions.

    Args:
        seed: Seed of the actions.
        steps: Number of actions.
        actions: Weights of the actions.
        keyed: Share of the requests that are non-idempotent.
        parts: Classes under test.
        vary: Whether the seed changes the weights.

    Returns:
        The model after its steps.

    Raises:
        InvariantError: With seed and step in its message.
    """
    source = random.Random(seed)
    world = World(seed, keyed, parts)
    weights = vary_weights(actions, source) if vary else actions
    names = source.choices(list(weights), list(weights.values()), k=steps)
    try:
        for step, name in enumerate(names):
            number = source.randrange(1 << 16)
            try:
                world.act(name, number)
            except InvariantError as error:
                raise InvariantError(
                    f"seed {seed} step {step}: {error}"
                ) from error
    finally:
        with logbook.NullHandler().threadbound():
            world.close()
    return world


def find_violation(
    actions: dict[str, int],
    keyed: float,
    parts: Parts,
    seeds: int = 400,
    steps: int = 200,
) -> str:
    """Returns the first violation of a broken variant, or "" if none."""
    for seed in range(seeds):
        try:
            run_seed(seed, steps, actions, keyed, parts, vary=False)
        except InvariantError as error:
            return str(error)
    return ""
