"""Simulation of a lock-step group whose orders are lost, late and repeated."""

import asyncio
import dataclasses
import heapq
import itertools
import random
from datetime import timedelta

from chicoryplank.clock import ManualClock
from chicoryplank.ids import ExpertId, FencingToken, InstanceId, RankId
from chicoryplank.orders import (
    VERSIONS_PER_TOKEN,
    GroupSwitch,
    Operation,
    OrderResult,
    RankOrder,
    RankState,
    RankUnreachableError,
)

TICK = timedelta(milliseconds=10)
# Iterations of the event loop in each tick, so that every task that can
# continue does so before the next tick.
_EVENT_LOOP_TURNS = 8
_TICKS_PER_STEP = 4
# Experts of every map; the simulation compares the versions of maps only.
_SLOTS = (((ExpertId(0),), (ExpertId(1),), (ExpertId(2),)),)


class MixedMapsError(AssertionError):
    """A step began while two ranks had different maps."""


@dataclasses.dataclass(slots=True)
class Rank:
    """State of one rank."""

    version: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held_step: int | None = None
    token: int = 0
    highest_version: int = 0


class Group:
    """Ranks that begin each step together.

    Args:
        size: Number of ranks.
        checks_fencing: Whether ranks reject lower fencing tokens.
    """

    def __init__(self, size: int, checks_fencing: bool) -> None:
        self.epoch = 1
        self.step = 1
        self.switches = 0
        self.is_open = True
        self._checks_fencing = checks_fencing
        self.ranks = [Rank() for _ in range(size)]

    def restart(self) -> None:
        """Begins a new epoch, as after the crash of a rank."""
        self.epoch += 1
        self.step += 1
        self.ranks = [Rank() for _ in self.ranks]

    def begin_step(self) -> None:
        """Begins the next step unless a rank is held at it.

        Raises:
            MixedMapsError: If two ranks would run the step with different maps.
        """
        step = self.step + 1
        if any(rank.held_step == step for rank in self.ranks):
            return
        self.step = step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == step:
                rank.version = rank.armed[0]
                rank.armed = None
                self.switches += 1
        versions = {rank.version for rank in self.ranks}
        if len(versions) > 1:
            raise MixedMapsError(f"step {step} began with maps {versions}")

    def apply(self, index: int, order: RankOrder) -> OrderResult:
        """Carries out an order, however late it arrives."""
        rank = self.ranks[index]
        if order.epoch != self.epoch:
            return OrderResult.CONFLICT
        if self._checks_fencing and order.token < rank.token:
            return OrderResult.STALE
        rank.token = max(rank.token, order.token)
        return getattr(self, f"_{order.operation.value}")(rank, order)

    def _prepare(self, rank: Rank, order: RankOrder) -> OrderResult:
        if rank.prepared == order.version:
            return OrderResult.ACCEPTED
        if rank.armed is not None or order.version <= rank.highest_version:
            return OrderResult.CONFLICT
        rank.prepared = rank.highest_version = order.version
        return OrderResult.ACCEPTED

    def _arm(self, rank: Rank, order: RankOrder) -> OrderResult:
        if rank.armed == (order.version, order.step):
            return OrderResult.ACCEPTED
        if (
            rank.prepared != order.version
            or order.step <= self.step
            or rank.armed is not None
        ):
            return OrderResult.CONFLICT
        rank.armed = (order.version, order.step)
        return OrderResult.ACCEPTED

    def _disarm(self, rank: Rank, order: RankOrder) -> OrderResult:
        if rank.version == order.version:
            return OrderResult.CONFLICT
        if rank.armed is not None and rank.armed[0] == order.version:
            rank.armed = None
        return OrderResult.ACCEPTED

    def _hold(self, rank: Rank, order: RankOrder) -> OrderResult:
        if rank.held_step == order.step:
            return OrderResult.ACCEPTED
        if order.step <= self.step or rank.held_step is not None:
            return OrderResult.CONFLICT
        rank.held_step = order.step
        return OrderResult.ACCEPTED

    def _release(self, rank: Rank, order: RankOrder) -> OrderResult:
        if rank.held_step == order.step:
            rank.held_step = None
        return OrderResult.ACCEPTED

    def read(self, index: int) -> RankState:
        """Returns the state that a rank reports."""
        rank = self.ranks[index]
        return RankState(
            InstanceId(f"rank-{index}"),
            "group",
            self.epoch,
            RankId(index),
            len(self.ranks),
            self.is_open,
            self.step,
            rank.version,
            rank.prepared,
            None if rank.armed is None else rank.armed[0],
            None if rank.armed is None else rank.armed[1],
            rank.held_step,
        )


class FaultyPort:
    """Connection to a rank that loses, delays and repeats orders."""

    def __init__(self, simulation: "Simulation", index: int) -> None:
        self._simulation = simulation
        self._index = index

    async def read_state(self) -> RankState:
        """Returns the state of the rank, or fails at random."""
        await asyncio.sleep(0)
        if self._simulation.is_partitioned(self._index) or (
            self._simulation.rng.random() < self._simulation.fault_probability
        ):
            raise RankUnreachableError("lost")
        return self._simulation.group.read(self._index)

    async def read_counts(self, with_experts: bool):
        """Fails, since a switch does not read counts."""
        raise NotImplementedError

    async def place(self, order: RankOrder) -> OrderResult:
        """Applies an order now, later, twice or never."""
        simulation = self._simulation
        await asyncio.sleep(0)
        if simulation.is_partitioned(self._index):
            return OrderResult.UNKNOWN
        if simulation.rng.random() >= simulation.fault_probability:
            if simulation.rng.random() < simulation.fault_probability / 4:
                simulation.apply_later(self._index, order)
            return simulation.group.apply(self._index, order)
        kind = simulation.rng.randrange(3)
        if kind == 0:
            simulation.group.apply(self._index, order)
        elif kind == 1:
            simulation.apply_later(self._index, order)
        return OrderResult.UNKNOWN


class Simulation:
    """One run of a group under faults, with a series of controllers.

    Args:
        seed: Seed of all random choices.
        make_switch: Class of the switch under test.
        leases_expire: Whether leases expire while controllers run.
    """

    def __init__(
        self, seed: int, make_switch=GroupSwitch, leases_expire: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.group = Group(3, checks_fencing=seed % 2 == 0)
        self.fault_probability = self.rng.choice((0.05, 0.15, 0.3))
        self._make_switch = make_switch
        self._delayed_orders: list[tuple[timedelta, int, int, RankOrder]] = []
        self._order_numbers = itertools.count()
        self._token = 0
        self._valid_token = 0
        self._leases_expire = leases_expire
        self._partitioned_until: dict[int, timedelta] = {}
        self._is_fault_free = False

    def is_partitioned(self, index: int) -> bool:
        """Whether a rank is currently unreachable for controllers."""
        return self.clock.elapsed() < self._partitioned_until.get(
            index, timedelta()
        )

    def apply_later(self, index: int, order: RankOrder) -> None:
        """Applies an order after a random delay."""
        delay_s = self.rng.choice((0.02, 0.1, 0.5, 2.0, 6.0))
        due = self.clock.elapsed() + timedelta(
            seconds=delay_s * self.rng.random()
        )
        heapq.heappush(
            self._delayed_orders, (due, next(self._order_numbers), index, order)
        )

    async def run(self, ticks: int, fault_free_ticks: int = 0) -> None:
        """Runs the simulation.

        Args:
            ticks: Number of ticks with faults.
            fault_free_ticks: Number of ticks without faults after these.

        Raises:
            MixedMapsError: If a step began with two maps.
        """
        controller = asyncio.ensure_future(self._run_controller())
        # Controllers that complete a change after their lease has expired.
        controllers_without_lease: list[asyncio.Future] = []
        for tick in range(ticks + fault_free_ticks):
            if tick == ticks:
                self._is_fault_free = True
                self.fault_probability = 0.0
                self._partitioned_until.clear()
            self.clock.advance(TICK)
            for _ in range(_EVENT_LOOP_TURNS):
                await asyncio.sleep(0)
            self._apply_delayed_orders()
            if tick % _TICKS_PER_STEP == 0:
                self.group.begin_step()
            if not self._is_fault_free and self.rng.random() < 0.001:
                self.group.restart()
            if not self._is_fault_free and self.rng.random() < 0.01:
                index = self.rng.randrange(len(self.group.ranks))
                duration = timedelta(seconds=3 * self.rng.random())
                self._partitioned_until[index] = self.clock.elapsed() + duration
            controller_stops = (
                not self._is_fault_free and self.rng.random() < 0.01
            )
            lease_expires = (
                self._leases_expire
                and not self._is_fault_free
                and self.rng.random() < 0.01
            )
            if lease_expires:
                # The next controller acquires the lease after a delay.
                self._valid_token = 0
                controllers_without_lease.append(controller)
                controller = asyncio.ensure_future(
                    self._wait_and_run_controller()
                )
                continue
            if controller.done() or controller_stops:
                controller.cancel()
                await asyncio.gather(controller, return_exceptions=True)
                controller = asyncio.ensure_future(self._run_controller())
        for item in (controller, *controllers_without_lease):
            item.cancel()
        await asyncio.gather(
            controller, *controllers_without_lease, return_exceptions=True
        )

    async def _wait_and_run_controller(self) -> None:
        delay_s = self.rng.choice((0.0, 0.3, 3.0)) * self.rng.random()
        await self.clock.sleep(timedelta(seconds=delay_s))
        await self._run_controller()

    def _apply_delayed_orders(self) -> None:
        while (
            self._delayed_orders
            and self._delayed_orders[0][0] <= self.clock.elapsed()
        ):
            _, _, index, order = heapq.heappop(self._delayed_orders)
            self.group.apply(index, order)

    async def _run_controller(self) -> None:
        """Changes the map repeatedly, as one holder of the lease."""
        self._token += self.rng.randrange(1, 4)
        token = FencingToken(self._token)
        self._valid_token = token
        versions = itertools.count(token * VERSIONS_PER_TOKEN, 2)
        ports = {
            RankId(index): FaultyPort(self, index)
            for index in range(len(self.group.ranks))
        }
        while True:
            switch = self._make_switch(
                ports,
                self.group.epoch,
                lambda: token if self._valid_token == token else None,
                self.clock,
            )
            states = [self.group.read(index) for index in range(len(ports))]
            if any(state.held_step is not None for state in states):
                await switch.recover(_SLOTS, next(versions))
            elif not any(state.armed_version for state in states):
                await switch.change(_SLOTS, _SLOTS, next(versions), 0.04)
            if self._valid_token != token:
                return
            await self.clock.sleep(TICK)


__all__ = ["Group", "MixedMapsError", "Operation", "Simulation"]
