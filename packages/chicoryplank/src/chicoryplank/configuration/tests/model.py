"""Simulation of concurrent operators and readers on a virtual clock.

Operators confirm plans, and readers follow the active version through the
store, watched roots and each other. The invariants are checked against the
sequence of roots that were in the store.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from chicoryplank.attempts.tests.faults import Gate, GatedStore, InvariantError
from chicoryplank.attempts.tests.model import vary_weights
from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    Confirmation,
    ExportedConfiguration,
    MissingPartsError,
    Plan,
    PlanSupersededError,
    SnapshotReader,
    confirm_plan,
    create_plan,
    decode_root,
    delete_unreferenced_parts,
)
from chicoryplank.configuration.tests.samples import (
    CAPACITY,
    confirm_intent,
    make_first_intent,
    make_limit_intent,
)
from chicoryplank.errors import ChicoryplankError
from chicoryplank.fakes import ManualEventLoop, MemoryStore
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict

_ACCOUNTS = 3
_READERS = 4
_MAX_PENDING = 8

ACTIONS = {
    "plan": 10,
    "confirm": 14,
    "drop": 2,
    "collect": 2,
    "refresh": 8,
    "ask": 8,
    "watch": 6,
    "deliver": 12,
    "repeat": 2,
    "store": 40,
    "progress": 8,
    "store_fault": 8,
    "late_write": 6,
    "store_down": 1,
    "restart": 1,
}


class _Store(GatedStore):
    """Gated store in which listings by garbage collection return at once."""

    async def read_prefix(self, prefix):
        """Reads the records whose keys start with a prefix."""
        return await self._simulation.store.read_prefix(prefix)


@dataclasses.dataclass(eq=False)
class Operation:
    """One confirmation and the result that was reported to its operator.

    Attributes:
        name: Operation id.
        plan: Plan to confirm.
        account: Account that the plan changes.
        value: New rate limit of the account.
        task: Call in progress, if any.
        confirm_called: Whether `confirm_plan` was called.
        not_run: Whether the last call ended with NOT_RUN.
        may_be_applied: Whether a call succeeded or ended with an unknown
            outcome.
    """

    name: str
    plan: Plan
    account: str
    value: float
    task: asyncio.Task | None = None
    confirm_called: bool = False
    not_run: bool = False
    may_be_applied: bool = False


class Simulation:
    """Operators, readers and a store, driven by actions.

    Args:
        seed: Seed of the random choices of the store's faults.
        make_reader: Creates a reader; tests pass a faulty subclass.
        prepare: Modifies the simulation before the first action.
        strict: Whether NOT_RUN is also a violation if an earlier call of the
            same operation succeeded or ended with an unknown outcome.
    """

    def __init__(
        self,
        seed: int,
        make_reader: Callable[[], SnapshotReader] = SnapshotReader,
        prepare: Callable[["Simulation"], None] = lambda simulation: None,
        strict: bool = False,
    ) -> None:
        self._strict = strict
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.loop = ManualEventLoop(self.clock)
        self.store = MemoryStore(self.clock)
        self.store_down = False
        self.gates: list[Gate] = []
        self.readers = [make_reader() for _ in range(_READERS)]
        self.versions = [0] * _READERS
        self.operations: list[Operation] = []
        self.tasks: set[asyncio.Task] = set()
        self.messages: list[tuple[int, ExportedConfiguration | bytes]] = []
        self.errors: list[str] = []
        self.confirmed = 0
        self._make_reader = make_reader
        self._gated_store = _Store(self, self)
        self.loop.run_until_complete(
            confirm_intent(self.store, make_first_intent(_ACCOUNTS))
        )
        first_reader = SnapshotReader()
        self.loop.run_until_complete(first_reader.refresh(self.store))
        # Expected rate limits by version, and the operation that activated
        # each version.
        self.expected = {0: {}, 1: read_limits(first_reader)}
        self.winners: dict[int, str] = {}
        prepare(self)

    def close(self) -> None:
        """Cancels all tasks."""
        self.loop.stop_all()

    def act(self, name: str, number: int) -> None:
        """Performs one action and checks the invariants."""
        getattr(self, f"_do_{name}")(number)
        self.loop.run_ready()
        self._check_root()
        self._check_operations()
        self._check_readers()
        if self.errors:
            raise InvariantError(self.errors[0])

    # Checks.

    def _check_root(self) -> None:
        record = self.store._records[ROOT_KEY]
        root = decode_root(record.value)
        current = max(self.expected)
        for digest in root.parts.values():
            if PART_PREFIX + digest not in self.store._records:
                raise InvariantError(f"version {root.version} lacks a part")
        if root.version == current:
            if self.winners.get(current, root.operation_id) != (
                root.operation_id
            ):
                raise InvariantError(
                    f"version {current} is now of another operation"
                )
            return
        if root.version != current + 1:
            raise InvariantError(
                f"version {current} was followed by {root.version}"
            )
        matching = [
            item for item in self.operations if item.name == root.operation_id
        ]
        if not matching or not matching[0].confirm_called:
            raise InvariantError(f"{root.operation_id} was never confirmed")
        operation = matching[0]
        if operation.plan.base_version != current:
            raise InvariantError(
                f"{operation.name} was applied to a version other than its base"
            )
        if operation.name in self.winners.values():
            raise InvariantError(f"{operation.name} took effect twice")
        self.winners[root.version] = operation.name
        self.expected[root.version] = {
            **self.expected[current],
            operation.account: operation.value,
        }

    def _check_operations(self) -> None:
        applied = set(self.winners.values())
        for operation in self.operations:
            if operation.may_be_applied and not self._strict:
                continue
            if operation.not_run and operation.name in applied:
                raise InvariantError(
                    f"{operation.name} ended with NOT_RUN but took effect"
                )

    def _check_readers(self) -> None:
        for number, reader in enumerate(self.readers):
            version = reader.snapshot.version
            if version < self.versions[number]:
                raise InvariantError(f"reader {number} went back to {version}")
            self.versions[number] = version
            if read_limits(reader) != self.expected.get(version):
                raise InvariantError(
                    f"reader {number} mixes contents at version {version}"
                )

    # Operators.

    def _do_plan(self, number: int) -> None:
        if len(self.operations) - len(self.winners) > 40:
            return
        reader = SnapshotReader()
        self.loop.run_until_complete(reader.refresh(self.store))
        account = f"account-{number % _ACCOUNTS}"
        value = 1 + number % 97
        if reader.snapshot.accounts[account].tokens_per_s == value:
            value += 100
        plan = create_plan(
            reader.snapshot, make_limit_intent(account, value), CAPACITY
        )
        name = f"op-{len(self.operations)}"
        self.operations.append(Operation(name, plan, account, value))

    def _do_confirm(self, number: int) -> None:
        running = sum(item.task is not None for item in self.operations)
        # Only the latest plans, so that several confirmations race on the
        # same base version.
        latest = self.operations[-4:]
        if not latest or running >= _MAX_PENDING:
            return
        operation = latest[number % len(latest)]
        if operation.task is None:
            is_first_call = not operation.confirm_called
            operation.confirm_called = True
            operation.not_run = False
            operation.task = self.loop.create_task(
                self._confirm(operation, is_first_call)
            )

    async def _confirm(self, operation: Operation, is_first_call: bool) -> None:
        base = operation.plan.base_version
        try:
            done = await confirm_plan(
                self._gated_store,
                operation.plan,
                f"by {operation.name}",
                operation.name,
                clock=self.clock,
                is_first_call=is_first_call,
            )
            operation.may_be_applied = True
            self._observe_confirmation(operation, done)
        except PlanSupersededError as error:
            operation.not_run = error.verdict is Verdict.NOT_RUN
            winner = error.winner
            if winner is not None and winner.version != base + 1:
                self.errors.append(
                    f"{operation.name} received the change of a wrong version"
                )
            if winner is not None and (
                self.winners.get(base + 1, "") != winner.operation_id
            ):
                self.errors.append(
                    f"{operation.name} received a change that did not win"
                )
        except ChicoryplankError as error:
            operation.not_run = error.verdict is Verdict.NOT_RUN
            operation.may_be_applied |= not operation.not_run
        except asyncio.CancelledError:
            operation.may_be_applied = True
            raise
        finally:
            operation.task = None

    def _observe_confirmation(
        self, operation: Operation, done: Confirmation
    ) -> None:
        # The call may return in the same step in which the root changed.
        self._check_root()
        self.confirmed += 1
        base = operation.plan.base_version
        if done.version != base + 1:
            self.errors.append(
                f"{operation.name} returned version {done.version}"
            )
        if self.winners.get(base + 1) != operation.name:
            self.errors.append(
                f"{operation.name} returned success but did not win"
            )

    def _do_drop(self, number: int) -> None:
        """Cancels a call, as if the process of the operator had crashed."""
        running = [item for item in self.operations if item.task is not None]
        if running:
            running[number % len(running)].task.cancel()

    def _do_collect(self, number: int) -> None:
        del number
        self._spawn(delete_unreferenced_parts(self._gated_store))

    def _spawn(self, coroutine) -> None:
        if len(self.tasks) >= _MAX_PENDING:
            coroutine.close()
            return
        task = self.loop.create_task(self._record_errors(coroutine))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _record_errors(self, coroutine) -> None:
        try:
            await coroutine
        except (StoreError, MissingPartsError):
            return
        except ChicoryplankError as error:
            self.errors.append(str(error))

    # Readers.

    def _do_refresh(self, number: int) -> None:
        reader = self.readers[number % _READERS]
        self._spawn(reader.refresh(self._gated_store))

    def _do_ask(self, number: int) -> None:
        child, parent = number % _READERS, number // _READERS % _READERS
        held_digests = self.readers[child].get_part_digests()
        exported = self.readers[parent].export_parts(held_digests)
        self.messages.append((child, exported))

    def _do_watch(self, number: int) -> None:
        value = self.store._records[ROOT_KEY].value
        self.messages.append((number % _READERS, value))

    def _do_deliver(self, number: int) -> None:
        """Delivers any of the pending messages, so that they are reordered."""
        if not self.messages:
            return
        index = number % len(self.messages)
        child, message = self.messages.pop(index)
        reader = self.readers[child]
        if isinstance(message, bytes):
            self._spawn(reader.apply_root(self._gated_store, message))
            return
        try:
            reader.import_parts(message.root, message.parts)
        except MissingPartsError:
            return
        except ChicoryplankError as error:
            self.errors.append(str(error))

    def _do_repeat(self, number: int) -> None:
        if self.messages:
            self.messages.append(self.messages[number % len(self.messages)])
        del self.messages[:-30]

    def _do_restart(self, number: int) -> None:
        index = number % _READERS
        self.readers[index] = self._make_reader()
        self.versions[index] = 0

    # Store.

    def _open_gates(self) -> list[Gate]:
        self.gates = [gate for gate in self.gates if not gate.future.done()]
        return self.gates

    def _do_store(self, number: int) -> None:
        gates = self._open_gates()
        if gates:
            gates[number % len(gates)].future.set_result("")

    def _do_progress(self, number: int) -> None:
        """Lets all waiting store calls proceed, for some rounds."""
        for _ in range(1 + number % 12):
            for gate in self._open_gates():
                gate.future.set_result("")
            self.loop.run_ready()
            self._check_root()

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


def read_limits(reader: SnapshotReader) -> dict[str, float]:
    """Returns the token rate limits, which operations change, by account."""
    accounts = reader.snapshot.accounts
    return {name: item.tokens_per_s for name, item in accounts.items()}


def run_seed(seed: int, steps: int, vary: bool = True, **variant) -> Simulation:
    """Runs the simulation with random actions.

    Args:
        seed: Seed of the actions.
        steps: Number of actions.
        vary: Whether the seed changes the weights of the actions.
        **variant: Arguments of Simulation.

    Raises:
        InvariantError: If an invariant is violated; the message has the seed
            and the step.
    """
    action_rng = random.Random(seed)
    simulation = Simulation(seed, **variant)
    weights = vary_weights(ACTIONS, action_rng) if vary else ACTIONS
    names = action_rng.choices(list(weights), list(weights.values()), k=steps)
    try:
        for step, name in enumerate(names):
            try:
                simulation.act(name, action_rng.randrange(1 << 16))
            except InvariantError as error:
                raise InvariantError(
                    f"seed {seed} step {step}: {error}"
                ) from error
    finally:
        simulation.close()
    return simulation


def find_violation(seeds: int = 200, steps: int = 200, **variant) -> str:
    """Returns the first violation of a faulty variant, or "" if none."""
    for seed in range(seeds):
        try:
            run_seed(seed, steps, vary=False, **variant)
        except InvariantError as error:
            return str(error)
    return ""
