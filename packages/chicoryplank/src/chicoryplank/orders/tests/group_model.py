"""Model of a lock-step group whose orders are lost, late and repeated."""

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
# Turns of the event loop after each tick, so that every task that can go on
# does so before the next one.
_TURNS = 8
_PASS_TICKS = 4
_CONTENT = (((ExpertId(0),), (ExpertId(1),), (ExpertId(2),)),)


class MixedMapsError(AssertionError):
    """A pass began while two ranks had different maps."""


@dataclasses.dataclass(slots=True)
class Rank:
    """State of one rank."""

    version: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    token: int = 0
    highest: int = 0


class Group:
    """Ranks that begin each pass together.

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
        """Forms the group anew, as after the crash of a rank."""
        self.epoch += 1
        self.step += 1
        self.ranks = [Rank() for _ in self.ranks]

    def begin_pass(self) -> None:
        """Begins the next pass unless a rank is held at it.

        Raises:
            MixedMapsError: If two ranks would run it with different maps.
        """
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks):
            return
        self.step = step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == step:
                rank.version = rank.armed[0]
                rank.armed = None
                self.switches += 1
        versions = {rank.version for rank in self.ranks}
        if len(versions) > 1:
            raise MixedMapsError(f"pass {step} began with maps {versions}")

    def apply(self, index: int, order: RankOrder) -> OrderResult:
        """Carries an order out, whenever it arrives."""
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
        if rank.armed is not None or order.version <= rank.highest:
            return OrderResult.CONFLICT
        rank.prepared = rank.highest = order.version
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
        if rank.held == order.step:
            return OrderResult.ACCEPTED
        if order.step <= self.step or rank.held is not None:
            return OrderResult.CONFLICT
        rank.held = order.step
        return OrderResult.ACCEPTED

    def _release(self, rank: Rank, order: RankOrder) -> OrderResult:
        if rank.held == order.step:
            rank.held = None
        return OrderResult.ACCEPTED

    def read(self, index: int) -> RankState:
        """Returns what a rank reports."""
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
            rank.held,
        )


class FaultyPort:
    """A rank behind a network that loses, delays and repeats orders."""

    def __init__(self, world: "World", index: int) -> None:
        self._world = world
        self._index = index

    async def read_state(self) -> RankState:
        """Returns the state, or fails."""
        await asyncio.sleep(0)
        if self._world.is_cut(self._index) or (
            self._world.source.random() < self._world.fault_share
        ):
            raise RankUnreachableError("lost")
        return self._world.group.read(self._index)

    async def read_counts(self, with_experts: bool):
        """Is not used by a switch."""
        raise NotImplementedError

    async def place(self, order: RankOrder) -> OrderResult:
        """Applies an order now, later, twice or never."""
        world = self._world
        await asyncio.sleep(0)
        if world.is_cut(self._index):
            return OrderResult.UNKNOWN
        if world.source.random() >= world.fault_share:
            if world.source.random() < world.fault_share / 4:
                world.delay(self._index, order)
            return world.group.apply(self._index, order)
        kind = world.source.randrange(3)
        if kind == 0:
            world.group.apply(self._index, order)
        elif kind == 1:
            world.delay(self._index, order)
        return OrderResult.UNKNOWN


class World:
    """One run: a group, its faults and a series of controllers.

    Args:
        seed: Seed of all choices.
        make_switch: Class of the switch under test.
        lapses: Whether leases lapse while their controllers live.
    """

    def __init__(
        self, seed: int, make_switch=GroupSwitch, lapses: bool = False
    ) -> None:
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.group = Group(3, checks_fencing=seed % 2 == 0)
        self.fault_share = self.source.choice((0.05, 0.15, 0.3))
        self._make_switch = make_switch
        self._late: list[tuple[timedelta, int, int, RankOrder]] = []
        self._numbers = itertools.count()
        self._token = 0
        self._valid = 0
        self._lapses = lapses
        self._cut: dict[int, timedelta] = {}
        self._is_calm = False

    def is_cut(self, index: int) -> bool:
        """Whether no controller reaches a rank at present."""
        return self.clock.elapsed() < self._cut.get(index, timedelta())

    def delay(self, index: int, order: RankOrder) -> None:
        """Applies an order some time later."""
        delay_s = self.source.choice((0.02, 0.1, 0.5, 2.0, 6.0))
        due = self.clock.elapsed() + timedelta(
            seconds=delay_s * self.source.random()
        )
        heapq.heappush(self._late, (due, next(self._numbers), index, order))

    async def run(self, ticks: int, calm_ticks: int = 0) -> None:
        """Plays the run.

        Args:
            ticks: Ticks with faults.
            calm_ticks: Ticks without faults after them.

        Raises:
            MixedMapsError: If a pass began with two maps.
        """
        controller = asyncio.ensure_future(self._control())
        # Controllers without a lease that finish what they have begun.
        lapsed: list[asyncio.Future] = []
        for tick in range(ticks + calm_ticks):
            if tick == ticks:
                self._is_calm = True
                self.fault_share = 0.0
                self._cut.clear()
            self.clock.advance(TICK)
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            self._apply_late()
            if tick % _PASS_TICKS == 0:
                self.group.begin_pass()
            if not self._is_calm and self.source.random() < 0.001:
                self.group.restart()
            if not self._is_calm and self.source.random() < 0.01:
                index = self.source.randrange(len(self.group.ranks))
                duration = timedelta(seconds=3 * self.source.random())
                self._cut[index] = self.clock.elapsed() + duration
            dies = not self._is_calm and self.source.random() < 0.01
            has_lapsed = (
                self._lapses
                and not self._is_calm
                and self.source.random() < 0.01
            )
            if has_lapsed:
                # The lease lapses; nobody may take it for some time.
                self._valid = 0
                lapsed.append(controller)
                controller = asyncio.ensure_future(self._wait_and_control())
                continue
            if controller.done() or dies:
                controller.cancel()
                await asyncio.gather(controller, return_exceptions=True)
                controller = asyncio.ensure_future(self._control())
        for item in (controller, *lapsed):
            item.cancel()
        await asyncio.gather(controller, *lapsed, return_exceptions=True)

    async def _wait_and_control(self) -> None:
        delay_s = self.source.choice((0.0, 0.3, 3.0)) * self.source.random()
        await self.clock.sleep(timedelta(seconds=delay_s))
        await self._control()

    def _apply_late(self) -> None:
        while self._late and self._late[0][0] <= self.clock.elapsed():
            _, _, index, order = heapq.heappop(self._late)
            self.group.apply(index, order)

    async def _control(self) -> None:
        """Changes the map again and again, as one holder of the lease."""
        self._token += self.source.randrange(1, 4)
        token = FencingToken(self._token)
        self._valid = token
        versions = itertools.count(token * VERSIONS_PER_TOKEN, 2)
        ports = {
            RankId(index): FaultyPort(self, index)
            for index in range(len(self.group.ranks))
        }
        while True:
            switch = self._make_switch(
                ports,
                self.group.epoch,
                lambda: token if self._valid == token else None,
                self.clock,
            )
            states = [self.group.read(index) for index in range(len(ports))]
            if any(state.held_step is not None for state in states):
                await switch.settle(_CONTENT, next(versions))
            elif not any(state.armed_version for state in states):
                await switch.change(_CONTENT, _CONTENT, next(versions), 0.04)
            if self._valid != token:
                return
            await self.clock.sleep(TICK)


__all__ = ["Group", "MixedMapsError", "Operation", "World"]
