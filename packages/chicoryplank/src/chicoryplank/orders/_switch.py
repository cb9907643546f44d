"""Switches the expert map of a lock-step group at one pass.

Orders may be lost, repeated, or carried out seconds later, also after newer
ones, and a controller may stop anywhere. These facts keep two maps out of
every pass:

* A rank is held at the switch pass before the first rank is armed, and is
  released only after every rank has reported that it is armed, or after the
  change has been withdrawn everywhere. Nothing is ever withdrawn after the
  release was ordered, and nothing released after the withdrawal began.
* A change is withdrawn at a rank by preparing a newer version there. An order
  to arm the old version then no longer fits, however late it arrives.
* Versions contain the fencing token, so two controllers never use the same
  one for different maps.
* A successor cannot know which orders of its predecessor are still under
  way. Before it withdraws anything, it holds a rank that the predecessor did
  not hold, so that a late release does not start the pass.
* A controller whose lease lapses after its hold still withdraws the change and
  releases the hold, since nobody may be able to take the lease while the store
  is away. To the group these are late orders; it stops at the first sign of a
  successor.
* All orders name the epoch; a new epoch begins with the first map and nothing
  armed or held.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import TypeVar

from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.ids import FencingToken, RankId
from chicoryplank.orders._group import (
    Operation,
    OrderResult,
    RankOrder,
    RankPort,
    RankState,
    RankUnreachableError,
)
from chicoryplank.rebalance import JointSlots

Result = TypeVar("Result")

# Versions that one controller can use.
VERSIONS_PER_TOKEN = 100_000
# Steps of different controllers differ by their remainder, so that a late
# release of one does not fit the hold of another.
_STEP_RESIDUES = 4

# Reads of a state before an order to release is placed again.
_RELEASE_LOOKS = 3


class SwitchResult(enum.Enum):
    """How a change of the map ended.

    Attributes:
        SWITCHED: Every rank is armed and the group goes on.
        WITHDRAWN: The map in force stays.
        INTERRUPTED: The lease was lost or the group formed anew; whoever
            controls it next settles what is left.
    """

    SWITCHED = "switched"
    WITHDRAWN = "withdrawn"
    INTERRUPTED = "interrupted"


class _InterruptedError(Exception):
    """The controller must not place further orders."""


class _LapsedError(_InterruptedError):
    """The lease of the controller may have lapsed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchParameters:
    """Times of a map change, in seconds.

    Attributes:
        prepare_s: Longest wait for the copies of all ranks.
        arm_s: Longest wait for all ranks to be armed; a held group stands
            still from the switch pass on.
        lead_s: Time from the hold to the switch pass, at the usual pace.
        poll_s: Time between two reads of a state that is awaited.
        retry_s: Time before an unanswered order is placed again.
    """

    prepare_s: float = 3.0
    arm_s: float = 1.0
    lead_s: float = 0.25
    poll_s: float = 0.03
    retry_s: float = 0.05


class GroupSwitch:
    """Changes the map of one group in one epoch, as its controller.

    Args:
        ranks: Ports to all ranks of the group.
        epoch: Epoch of the group.
        get_token: Returns the fencing token, None once the lease may have
            lapsed.
        clock: Source of time.
        parameters: Times.
    """

    def __init__(
        self,
        ranks: Mapping[RankId, RankPort],
        epoch: int,
        get_token: Callable[[], FencingToken | None],
        clock: Clock,
        parameters: SwitchParameters | None = None,
    ) -> None:
        self._ranks = dict(ranks)
        self._epoch = epoch
        self._get_token = get_token
        self._clock = clock
        self._parameters = parameters or SwitchParameters()
        self._last_step = 0
        self._last_token: FencingToken | None = None
        # Whether orders go on after the lease has lapsed.
        self._is_finishing = False

    async def change(
        self,
        slots: JointSlots,
        current: JointSlots,
        version: int,
        pass_s: float,
    ) -> SwitchResult:
        """Brings a map into force.

        Args:
            slots: New map, by set and rank.
            current: Map in force, which stays if the change is withdrawn.
            version: Version of the new map; version + 1 is used as well.
            pass_s: Usual time of a pass, in seconds.
        """
        try:
            if not await self._prepare_all(slots, version):
                return SwitchResult.WITHDRAWN
            held = await self._hold_ahead(pass_s)
            if held is None:
                return SwitchResult.WITHDRAWN
            holder, step = held
            emit(Event.GROUP_HELD, rank=holder, step=step, version=version)
            try:
                is_armed = await self._arm_all(version, step)
            except _LapsedError:
                is_armed = False
            self._is_finishing = True
            if is_armed:
                await self._release(holder, step)
                return SwitchResult.SWITCHED
            await self._withdraw_all(current, version + 1)
            await self._release(holder, step)
        except _InterruptedError:
            return SwitchResult.INTERRUPTED
        return SwitchResult.WITHDRAWN

    async def settle(self, current: JointSlots, version: int) -> SwitchResult:
        """Withdraws what another controller left held.

        Ranks that are armed while none is held have been released, which
        happens only once all are armed; they are left alone.

        Args:
            current: Map in force.
            version: Version above all that any rank reports.
        """
        try:
            states = await self._read_all()
            held = _list_held(states)
            if held:
                # Orders to arm may still be under way, so the change is
                # withdrawn even if no rank reports that it is armed.
                if not await self._hold_again(held):
                    return SwitchResult.SWITCHED
                self._is_finishing = True
                await self._withdraw_all(current, version)
                states = await self._read_all()
                held = _list_held(states)
            for rank, step in held.items():
                await self._release(rank, step)
        except _InterruptedError:
            return SwitchResult.INTERRUPTED
        return SwitchResult.WITHDRAWN

    async def _hold_again(self, held: Mapping[RankId, int]) -> bool:
        """Holds one more rank, which no late release of another one frees.

        Returns:
            False if the pass has begun, so that the change is complete.
        """
        step = min(held.values())
        free = [rank for rank in sorted(self._ranks) if rank not in held]
        if not free:
            return True
        result = await self._order(
            free[0], self._make(Operation.HOLD, step=step)
        )
        return result is not OrderResult.CONFLICT

    async def _prepare_all(self, slots: JointSlots, version: int) -> bool:
        order = self._make(Operation.PREPARE, version=version, experts=slots)
        placed = await self._order_each(order, self._parameters.prepare_s)
        if not placed:
            return False

        def is_prepared(state: RankState) -> bool:
            return state.prepared_version == version

        return await self._await_all(is_prepared, self._parameters.prepare_s)

    async def _hold_ahead(self, pass_s: float) -> tuple[RankId, int] | None:
        """Holds one rank at a coming pass; returns rank and pass."""
        lead = max(3, round(self._parameters.lead_s / max(pass_s, 0.001)))
        token = self._take_token()
        ranks = sorted(self._ranks)
        holder = ranks[token % len(ranks)]
        for _ in range(4):
            states = await self._read_all()
            newest = max(state.step for state in states.values())
            step = max(newest, self._last_step) + lead
            step += (token - step) % _STEP_RESIDUES
            self._last_step = step
            result = await self._order(
                holder, self._make(Operation.HOLD, step=step)
            )
            if result is OrderResult.ACCEPTED:
                return holder, step
            if result is not OrderResult.CONFLICT:
                return None
            lead *= 2
        return None

    async def _arm_all(self, version: int, step: int) -> bool:
        """Arms every rank; returns whether all have reported it."""
        order = self._make(Operation.ARM, version=version, step=step)
        if not await self._order_each(order, self._parameters.arm_s):
            return False

        def is_armed(state: RankState) -> bool:
            return state.armed_version == version and state.armed_step in (
                None,
                step,
            )

        return await self._await_all(is_armed, self._parameters.arm_s)

    async def _withdraw_all(self, current: JointSlots, version: int) -> None:
        """Disarms every rank for good; goes on until it is done."""
        await _gather(
            self._withdraw(rank, current, version) for rank in self._ranks
        )

    async def _withdraw(
        self, rank: RankId, current: JointSlots, version: int
    ) -> None:
        port = self._ranks[rank]
        while True:
            state = await self._read(port)
            if state is not None:
                self._check_successor(state, version)
                if state.armed_version is not None:
                    order = self._make(
                        Operation.DISARM, version=state.armed_version
                    )
                elif state.prepared_version == version:
                    return
                else:
                    order = self._make(
                        Operation.PREPARE, version=version, experts=current
                    )
                await self._order_once(port, order)
            await self._pause(self._parameters.poll_s)

    def _check_successor(self, state: RankState, version: int) -> None:
        """Stops a controller without a lease where another one is at work.

        Raises:
            _InterruptedError: If a rank has heard of a newer version.
        """
        seen = (
            state.map_version,
            state.prepared_version or 0,
            state.armed_version or 0,
        )
        if self._get_token() is None and max(seen) > version:
            raise _InterruptedError

    async def _release(self, rank: RankId, step: int) -> None:
        """Releases a hold and makes sure that it is gone."""
        port = self._ranks[rank]
        order = self._make(Operation.RELEASE, step=step)
        while True:
            await self._order_once(port, order)
            # A report may be a little older than the order.
            for _ in range(_RELEASE_LOOKS):
                state = await self._read(port)
                if state is not None and state.held_step != step:
                    emit(Event.GROUP_RELEASED, rank=rank, step=step)
                    return
                await self._pause(self._parameters.poll_s)

    async def _order_each(self, order: RankOrder, limit_s: float) -> bool:
        """Places an order at every rank; returns whether all accepted it."""
        deadline_s = self._now_s() + limit_s

        async def place(rank: RankId) -> bool:
            result = await self._order(rank, order, deadline_s)
            if result is not OrderResult.ACCEPTED:
                emit(
                    Event.RANK_REFUSED,
                    rank=rank,
                    operation=order.operation.value,
                    version=order.version,
                    result=result.value,
                )
            return result is OrderResult.ACCEPTED

        return all(await _gather(map(place, self._ranks)))

    async def _order(
        self, rank: RankId, order: RankOrder, deadline_s: float = float("inf")
    ) -> OrderResult:
        """Places an order until it is answered or the time has passed."""
        port = self._ranks[rank]
        while True:
            result = await self._order_once(port, order)
            if result is not OrderResult.UNKNOWN:
                return result
            if self._now_s() >= deadline_s:
                return result
            await self._read(port)
            await self._pause(self._parameters.retry_s)

    async def _order_once(
        self, port: RankPort, order: RankOrder
    ) -> OrderResult:
        self._take_token()
        result = await port.place(order)
        if result is OrderResult.STALE:
            raise _InterruptedError
        return result

    async def _await_all(
        self, is_done: Callable[[RankState], bool], limit_s: float
    ) -> bool:
        """Waits until the state of every rank is as wanted."""
        deadline_s = self._now_s() + limit_s
        missing = list(self._ranks)
        while True:
            states = await _gather(
                self._read(self._ranks[rank]) for rank in missing
            )
            missing = [
                rank
                for rank, state in zip(missing, states, strict=True)
                if state is None or not is_done(state)
            ]
            if not missing:
                return True
            if self._now_s() >= deadline_s:
                emit(
                    Event.RANKS_MISSING,
                    ranks=sorted(missing),
                    epoch=self._epoch,
                )
                return False
            await self._pause(self._parameters.poll_s)

    async def _read_all(self) -> dict[RankId, RankState]:
        """Returns the states of all ranks, however long it takes."""
        states: dict[RankId, RankState] = {}
        while len(states) < len(self._ranks):
            missing = [rank for rank in self._ranks if rank not in states]
            found = await _gather(
                self._read(self._ranks[rank]) for rank in missing
            )
            for rank, state in zip(missing, found, strict=True):
                if state is not None:
                    states[rank] = state
            if len(states) < len(self._ranks):
                await self._pause(self._parameters.retry_s)
        return states

    async def _read(self, port: RankPort) -> RankState | None:
        """Returns a state of this epoch, or None if the rank is silent."""
        self._take_token()
        try:
            state = await port.read_state()
        except RankUnreachableError:
            return None
        if state.epoch != self._epoch:
            raise _InterruptedError
        return state

    def _take_token(self) -> FencingToken:
        token = self._get_token()
        if token is not None:
            self._last_token = token
        elif self._is_finishing and self._last_token is not None:
            return self._last_token
        else:
            raise _LapsedError
        return token

    def _make(
        self,
        operation: Operation,
        version: int = 0,
        step: int = 0,
        experts: Sequence = (),
    ) -> RankOrder:
        return RankOrder(
            operation,
            self._epoch,
            self._take_token(),
            version,
            step,
            tuple(experts),
        )

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()

    async def _pause(self, duration_s: float) -> None:
        await self._clock.sleep(timedelta(seconds=duration_s))


def _list_held(states: Mapping[RankId, RankState]) -> dict[RankId, int]:
    """Returns the passes that ranks do not begin."""
    return {
        rank: state.held_step
        for rank, state in states.items()
        if state.held_step is not None
    }


async def _gather(
    works: Iterable[Coroutine[None, None, Result]],
) -> list[Result]:
    """Runs works together; if one fails, none of the others goes on."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        return await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
