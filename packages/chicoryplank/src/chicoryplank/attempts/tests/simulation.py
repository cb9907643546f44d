"""Simulation of entries, agents, backend servers and the store under faults.

The invariants are checked against a record of the runs at the backend servers.
"""

import dataclasses
import random
from collections.abc import Callable
from datetime import timedelta

import logbook

from chicoryplank.attempts import AgentAttemptTable, EntryAttemptTable
from chicoryplank.attempts.tests.faults import Gate, InvariantError, SkewedClock
from chicoryplank.attempts.tests.processes import (
    CLAIMS,
    LIMITS,
    MAX_SKEW,
    Agent,
    Call,
    Connection,
    Entry,
    Run,
)
from chicoryplank.clock import ManualClock
from chicoryplank.fakes import MemoryStore
from chicoryplank.idempotency import ClaimRegistry

_TIMEOUTS_S = (0.05, 0.5, 2.0, 4.0, 8.0)
_CLOCK_STEPS_S = (0.01, 0.03, 0.2, 1.0, 2.5, 8.2)
# A claim can be taken over until half of its retention is left, so it protects
# a run for at least that time. The 10 s cover the longest time between claim
# and run (8 s, the longest timeout), clock skew and rounding.
_MIN_CLAIM_DURATION = CLAIMS.retention / 2 - timedelta(seconds=10)


@dataclasses.dataclass(frozen=True)
class Components:
    """Classes under test, which tests can replace by broken variants.

    Attributes:
        entry_table: Makes the attempt table of an entry.
        agent_table: Makes the attempt table of an agent.
        registry: Makes the claim registry of an agent.
        prepare: Changes the simulation before the first connection.
    """

    entry_table: Callable[..., EntryAttemptTable] = EntryAttemptTable
    agent_table: Callable[..., AgentAttemptTable] = AgentAttemptTable
    registry: Callable[..., ClaimRegistry] = ClaimRegistry
    prepare: Callable[["Simulation"], None] = lambda simulation: None


class Simulation:
    """Simulated processes, and the actions that advance or disturb them.

    Args:
        seed: Determines the number of processes (2 or 3 agents and entries) and
            the random choices that do not depend on an action's argument.
        keyed_share: Share of the requests that are non-idempotent.
        components: Classes under test.

    Attributes:
        gates: Suspended store calls.
        runs: All runs at backend servers.
        waiting_runs: Runs that wait until the simulation resumes them.
        connections: Open connections.
        broken: Closed connections whose messages to the agent are still
            delivered.
        request_names: Idempotency key, or else the label, of each attempt.
        sent_to: Agent incarnation to which each attempt was sent.
        not_run: Labels of the attempts that were reported as NOT_RUN.
        responses: Number of complete responses.
        agent_offset: Changes which agent is chosen for an idempotency key.
        leaving: Name of the agent that is being drained, or "".
        failure: First violation found inside a task of an agent, or "".
    """

    def __init__(
        self,
        seed: int,
        keyed_share: float = 0.5,
        components: Components = Components(),
    ) -> None:
        self.components = components
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.store_down = False
        self.backend_down = ""
        self.gates: list[Gate] = []
        self.waiting_runs: list[Run] = []
        self.runs: list[Run] = []
        self.connections: list[Connection] = []
        self.broken: list[Connection] = []
        self.request_names: dict[str, str] = {}
        self.sent_to: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.responses = 0
        self.agent_offset = 0
        self.config_version = 0
        self.leaving = ""
        self._keyed_share = keyed_share
        self._keys = 0
        self._numbers = 0
        self._old_agents: list[Agent] = []
        agents = ("agent-a", "agent-b", "agent-c")[: 2 + seed % 2]
        entries = ("entry-a", "entry-b", "entry-c")[: 2 + seed // 2 % 2]
        self.clocks = {
            name: SkewedClock(self.clock) for name in agents + entries
        }
        self.agents: dict[str, Agent] = {}
        self.agents = {name: self._make_agent(name) for name in agents}
        self.entries = {name: self._make_entry(name) for name in entries}
        components.prepare(self)
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
        """Cancels all tasks."""
        for agent in (*self._old_agents, *self.agents.values()):
            agent.loop.stop_all()

    def act(self, name: str, number: int) -> None:
        """Performs one action and checks the invariants.

        Args:
            name: Name of the action, a key of ATTEMPT_ACTIONS or CLAIM_ACTIONS.
            number: Random number that determines what the action applies to.

        Raises:
            InvariantError: If an invariant does not hold.
        """
        with logbook.NullHandler().threadbound():
            getattr(self, f"_do_{name}")(number)
            self._run_ready_tasks()
            self._check_invariants()

    # Records and checks.

    def record_run(self, agent: Agent, request) -> Run:
        """Records that a backend server has started to run a request."""
        label = dict(request.headers)["X-Attempt"]
        name = self.request_names[label]
        attributed_attempts = {
            item
            for item in agent.delivered
            if self.request_names[item] == name and item not in self.not_run
        }
        if not attributed_attempts:
            record_violation(self, f"{label} runs after it was told NOT_RUN")
        content = b"%s:%d:%s" % (request.body, len(self.runs), b"." * 12)
        run = Run(
            label,
            name,
            content,
            attributed_attempts,
            agent,
            self.clock.elapsed(),
        )
        if any(item.label == label for item in self.runs):
            record_violation(self, f"{label} starts twice")
        now = self.clock.elapsed()
        if any(
            item.name == name and now - item.time < _MIN_CLAIM_DURATION
            for item in self.runs
        ):
            record_violation(self, f"{name} runs twice")
        self.runs.append(run)
        return run

    def record_not_run(self, label: str) -> None:
        """Records that an entry was told NOT_RUN for an attempt."""
        self.not_run.add(label)
        for run in self.runs:
            if label in run.attributed_attempts:
                run.attributed_attempts.discard(label)
                if not run.attributed_attempts:
                    raise InvariantError(f"{label} was told NOT_RUN but ran")

    def check_response(self, call: Call, rest: bytes) -> None:
        """Checks that a response equals one that a backend server has sent."""
        self.responses += 1
        content = call.received + rest
        name = call.key or call.label
        if not any(
            run.name == name and run.content == content for run in self.runs
        ):
            raise InvariantError(f"{call.label} got {content!r}")

    def _check_invariants(self) -> None:
        for agent in self.agents.values():
            if agent.loop.failures:
                raise InvariantError(repr(agent.loop.failures[0]))
            check_limits(agent)
        if self.failure:
            raise InvariantError(self.failure)

    failure = ""

    def _run_ready_tasks(self) -> None:
        for agent in self.agents.values():
            if not agent.paused:
                agent.loop.run_ready()
        for entry in self.entries.values():
            if not entry.paused:
                entry.poll()

    def pick_agent(self, key: str) -> str:
        """Returns the agent for a request.

        As in the entry, requests with the same idempotency key go to the same
        agent. A new agent_offset imitates a change of the available agents.
        """
        names = sorted(self.agents)
        if key:
            return names[(len(key) + self.agent_offset) % len(names)]
        return self.rng.choice(names)

    # Actions.

    def _do_request(self, number: int) -> None:
        entry = self._pick(self.entries, number)
        key = ""
        if number % 1000 < self._keyed_share * 1000:
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
        timeout = timedelta(seconds=_TIMEOUTS_S[number // 7 % len(_TIMEOUTS_S)])
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
            self._deliver_message(connection, queue.pop(0), to_agent)

    def _do_reorder(self, number: int) -> None:
        """Delivers a message out of order."""
        found = [item for item in self._list_messages() if len(item[1]) > 1]
        if found:
            connection, queue, to_agent = found[number % len(found)]
            # The first message identifies the entry and must arrive first.
            first = 1 if to_agent and queue[0].ByteSize() else 0
            index = max(first, number // 3 % len(queue))
            self._deliver_message(connection, queue.pop(index), to_agent)

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

    def _deliver_message(
        self, connection: Connection, batch, to_agent: bool
    ) -> None:
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
        if gate.is_response:
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
            self.backend_down = self._pick(self.agents, number // 2).name

    def _do_progress(self, number: int) -> None:
        """Delivers all messages and resumes all calls for some rounds."""
        for _ in range(1 + number % 12):
            for connection, queue, to_agent in self._list_messages():
                self._deliver_message(connection, queue.pop(0), to_agent)
            for gate in self._open_gates():
                gate.future.set_result("")
            for run in self._list_runs():
                run.future.set_result("")
            self._run_ready_tasks()

    def _do_advance(self, number: int) -> None:
        pause = timedelta(seconds=_CLOCK_STEPS_S[number % len(_CLOCK_STEPS_S)])
        self.clock.advance(pause)

    def _do_skew(self, number: int) -> None:
        """Sets a wall clock; two wall clocks differ by at most MAX_SKEW."""
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
        self.agent_offset = number

    def _do_drain(self, number: int) -> None:
        """Starts or ends the drain of an agent in a new configuration."""
        self.config_version += 1
        names = sorted(self.agents)
        self.leaving = "" if self.leaving else names[number % len(names)]

    def _do_expire(self, number: int) -> None:
        """Advances the clock by much of the retention; deletes old claims."""
        agent = self._pick(self.agents, number)
        # Assumption: a write takes effect within the retention or never.
        while self.store.delayed:
            self.store.apply_delayed(0)
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


def record_violation(simulation: Simulation, text: str) -> None:
    """Stores a violation found in an agent's task for the next check."""
    simulation.failure = simulation.failure or text


def check_limits(agent: Agent) -> None:
    """Checks that an agent's tables and queues respect their limits."""
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
        if len(record.buffer) > LIMITS.max_buffer_bytes:
            raise InvariantError(f"{len(record.buffer)} bytes are buffered")
    for writer in agent.registry._writers.values():
        if len(writer.waiting) > CLAIMS.max_waiting:
            raise InvariantError(f"{len(writer.waiting)} claims wait")
