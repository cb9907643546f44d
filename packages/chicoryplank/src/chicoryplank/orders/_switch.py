"""Switches the expert map of a lock-step group at one step.

All ranks must use the same map in a step. Orders may be lost, repeated or
carried out seconds later, also after newer ones, and a controller may stop at
any point. The following rules ensure that no step begins with two maps:

* One rank is held at the switch step before any rank is armed. It is released
  only after every rank has reported that it is armed, or after the change has
  been withdrawn at every rank. A change is never withdrawn after the order to
  release, and the hold is not released while a withdrawal is incomplete.
* A change is withdrawn at a rank by preparing a newer version there. An order
  to arm the old version then conflicts, however late it arrives.
* Versions contain the fencing token, so that two controllers never use one
  version for different maps.
* A new controller cannot know which orders of its predecessor are still in
  transit. Before it withdraws a change, it holds a rank that the predecessor
  did not hold, so that a late order to release does not start the step.
* A controller whose lease expires after its hold still withdraws the change
  and releases the hold, since possibly no controller can acquire the lease
  while the store is unavailable. The ranks treat them like any late orders.
  The controller stops as soon as a rank reports a successor.
* All orders contain the epoch. A new epoch begins with the initial map, and
  with no rank armed or held.
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

# Number of map versions reserved for each fencing token.
VERSIONS_PER_TOKEN = 100_000
# The switch step is congruent to the fencing token modulo this number.
# Controllers whose tokens differ modulo it thus hold at different steps, and a
# late order of one to release does not match the hold of another.
_STEP_MODULUS = 4

# Reads of the state of a rank before the order to release is repeated.
_RELEASE_STATE_READS = 3


class SwitchResult(enum.Enum):
    """Outcome of a change of the map.

    Attributes:
        SWITCHED: Every rank is armed, and the group is released.
        WITHDRAWN: The active map stays.
        ABANDONED: The active map stays, and no rank was held or armed.
        INTERRUPTED: The lease was lost or a new epoch began. The next
            controller must recover the group.
    """

    SWITCHED = "switched"
    WITHDRAWN = "withdrawn"
    ABANDONED = "abandoned"
    INTERRUPTED = "interrupted"


class _AbandonedError(Exception):
    """Raised when a change is given up while the ranks copy."""


class _InterruptedError(Exception):
    """Raised when the controller must not place further orders."""


class _LeaseExpiredError(_InterruptedError):
    """Raised when the lease of the controller may have expired."""


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchParameters:
    """Timeouts and intervals of a map change, in seconds.

    Attributes:
        prepare_timeout_s: Longest wait for the order to prepare to be accepted
            by all ranks, and again for their copies to be complete.
        arm_timeout_s: Longest wait for the order to arm to be accepted by all
            ranks, and again for their reports. A held group stalls at the
            switch step in the meantime.
        hold_lead_time_s: Time from the hold to the switch step at the usual
            step duration.
        poll_interval_s: Interval of reading a state until it is as expected.
        retry_delay_s: Delay before a read or an order without a response is
            repeated.
    """

    prepare_timeout_s: float = 3.0
    arm_timeout_s: float = 1.0
    hold_lead_time_s: float = 0.05
    poll_interval_s: float = 0.03
    retry_delay_s: float = 0.05


class GroupSwitch:
    """Switches the map of one group in one epoch, on behalf of its controller.

    Args:
        ranks: Connections to all ranks of the group.
        epoch: Epoch of the group.
        get_token: Returns the fencing token; None once the lease may have
            expired.
        clock: Clock for timeouts and delays.
        parameters: Timeouts and intervals.

    Attributes:
        held_s: Time in seconds from the last hold to its release; None before.
            The group stalls for the part of it that exceeds the lead time.
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
        self.held_s: float | None = None
        self._last_hold_step = 0
        self._last_token: FencingToken | None = None
        # Whether orders may be placed after the lease has expired.
        self._may_outlive_lease = False

    async def change(
        self,
        slots: JointSlots,
        current: JointSlots,
        version: int,
        step_duration_s: float,
        *,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> SwitchResult:
        """Switches the group to a new map.

        A change can be abandoned until a rank is held. Ranks that have copied
        its experts keep the active map until a newer version is prepared.

        Args:
            slots: New map, by layer set and rank.
            current: Active map, which stays if the change is withdrawn.
            version: Version of the new map. A withdrawal uses version + 1.
            step_duration_s: Usual duration of a step, in seconds.
            is_outdated: Whether the change is to be abandoned.
        """
        try:
            if not await self._prepare_all(slots, version, is_outdated):
                return SwitchResult.WITHDRAWN
            hold = await self._hold_at_future_step(step_duration_s)
            if hold is None:
                return SwitchResult.WITHDRAWN
            held_rank, step = hold
            held_at_s = self._now_s()
            emit(Event.GROUP_HELD, rank=held_rank, step=step, version=version)
            try:
                is_armed = await self._arm_all(version, step)
            except _LeaseExpiredError:
                is_armed = False
            self._may_outlive_lease = True
            if is_armed:
                await self._release(held_rank, step)
                self.held_s = self._now_s() - held_at_s
                return SwitchResult.SWITCHED
            await self._withdraw_all(current, version + 1)
            await self._release(held_rank, step)
        except _AbandonedError:
            return SwitchResult.ABANDONED
        except _InterruptedError:
            return SwitchResult.INTERRUPTED
        return SwitchResult.WITHDRAWN

    async def recover(self, current: JointSlots, version: int) -> SwitchResult:
        """Withdraws the incomplete change of another controller.

        If ranks are armed but none is held, the hold was released, which
        happens only after all ranks were armed. Such a change is complete and
        is not withdrawn.

        Args:
            current: Active map.
            version: Version above all versions that the ranks report.

        Returns:
            SWITCHED if the held step has begun in the meantime, so that the
            change is complete; otherwise WITHDRAWN, also if no rank was held;
            INTERRUPTED if the controller had to stop.
        """
        try:
            states = await self._read_all()
            held_steps = _get_held_steps(states)
            if held_steps:
                # Orders to arm may still be in transit, so the change is
                # withdrawn even if no rank reports that it is armed.
                if not await self._hold_another_rank(held_steps):
                    return SwitchResult.SWITCHED
                self._may_outlive_lease = True
                await self._withdraw_all(current, version)
                states = await self._read_all()
                held_steps = _get_held_steps(states)
            for rank, step in held_steps.items():
                await self._release(rank, step)
        except _InterruptedError:
            return SwitchResult.INTERRUPTED
        return SwitchResult.WITHDRAWN

    async def _hold_another_rank(
        self, held_steps: Mapping[RankId, int]
    ) -> bool:
        """Holds a rank that the predecessor did not hold, at the same step.

        A late order of the predecessor to release does not end this hold.

        Returns:
            False if the step has begun, so that the change is complete.
        """
        step = min(held_steps.values())
        candidates = [
            rank for rank in sorted(self._ranks) if rank not in held_steps
        ]
        if not candidates:
            return True
        result = await self._place_until_response(
            candidates[0], self._make_order(Operation.HOLD, step=step)
        )
        return result is not OrderResult.CONFLICT

    async def _prepare_all(
        self,
        slots: JointSlots,
        version: int,
        is_outdated: Callable[[], bool],
    ) -> bool:
        order = self._make_order(
            Operation.PREPARE, version=version, experts=slots
        )
        placed = await self._place_at_all(
            order, self._parameters.prepare_timeout_s
        )
        if not placed:
            return False

        def is_prepared(state: RankState) -> bool:
            if is_outdated():
                raise _AbandonedError
            return state.prepared_version == version

        return await self._wait_for_all(
            is_prepared, self._parameters.prepare_timeout_s
        )

    async def _hold_at_future_step(
        self, step_duration_s: float
    ) -> tuple[RankId, int] | None:
        """Holds one rank at a future step.

        Returns:
            The rank and the step; None if the rank cannot be held.
        """
        lead_steps = max(
            1,
            round(
                self._parameters.hold_lead_time_s / max(step_duration_s, 0.001)
            ),
        )
        token = self._require_token()
        ranks = sorted(self._ranks)
        held_rank = ranks[token % len(ranks)]
        for _ in range(4):
            states = await self._read_all()
            latest_step = max(state.step for state in states.values())
            step = max(latest_step, self._last_hold_step) + lead_steps
            step += (token - step) % _STEP_MODULUS
            self._last_hold_step = step
            result = await self._place_until_response(
                held_rank, self._make_order(Operation.HOLD, step=step)
            )
            if result is OrderResult.ACCEPTED:
                return held_rank, step
            if result is not OrderResult.CONFLICT:
                return None
            lead_steps *= 2
        return None

    async def _arm_all(self, version: int, step: int) -> bool:
        """Arms every rank; returns whether all have reported that they are."""
        order = self._make_order(Operation.ARM, version=version, step=step)
        if not await self._place_at_all(order, self._parameters.arm_timeout_s):
            return False

        def is_armed(state: RankState) -> bool:
            return state.armed_version == version and state.armed_step in (
                None,
                step,
            )

        return await self._wait_for_all(
            is_armed, self._parameters.arm_timeout_s
        )

    async def _withdraw_all(self, current: JointSlots, version: int) -> None:
        """Withdraws a change at every rank; retries without a time limit."""
        await _gather_or_cancel(
            self._withdraw_change(rank, current, version)
            for rank in self._ranks
        )

    async def _withdraw_change(
        self, rank: RankId, current: JointSlots, version: int
    ) -> None:
        port = self._ranks[rank]
        while True:
            state = await self._read(port)
            if state is not None:
                self._check_successor(state, version)
                if state.armed_version is not None:
                    order = self._make_order(
                        Operation.DISARM, version=state.armed_version
                    )
                elif state.prepared_version == version:
                    return
                else:
                    order = self._make_order(
                        Operation.PREPARE, version=version, experts=current
                    )
                await self._place_once(port, order)
            await self._sleep(self._parameters.poll_interval_s)

    def _check_successor(self, state: RankState, version: int) -> None:
        """Stops a controller without a lease once it has a successor.

        Raises:
            _InterruptedError: If the lease has expired and the rank reports a
                version above `version`.
        """
        reported_versions = (
            state.map_version,
            state.prepared_version or 0,
            state.armed_version or 0,
        )
        if self._get_token() is None and max(reported_versions) > version:
            raise _InterruptedError

    async def _release(self, rank: RankId, step: int) -> None:
        """Releases a hold; retries until the rank reports that it has ended."""
        port = self._ranks[rank]
        order = self._make_order(Operation.RELEASE, step=step)
        while True:
            await self._place_once(port, order)
            # A reported state may be slightly older than the order.
            for _ in range(_RELEASE_STATE_READS):
                state = await self._read(port)
                if state is not None and state.held_step != step:
                    emit(Event.GROUP_RELEASED, rank=rank, step=step)
                    return
                await self._sleep(self._parameters.poll_interval_s)

    async def _place_at_all(self, order: RankOrder, timeout_s: float) -> bool:
        """Places an order at every rank; returns whether all accepted it."""
        deadline_s = self._now_s() + timeout_s

        async def place(rank: RankId) -> bool:
            result = await self._place_until_response(rank, order, deadline_s)
            if result is not OrderResult.ACCEPTED:
                emit(
                    Event.RANK_REFUSED,
                    rank=rank,
                    operation=order.operation.value,
                    version=order.version,
                    result=result.value,
                )
            return result is OrderResult.ACCEPTED

        return all(await _gather_or_cancel(map(place, self._ranks)))

    async def _place_until_response(
        self, rank: RankId, order: RankOrder, deadline_s: float = float("inf")
    ) -> OrderResult:
        """Repeats an order until the rank responds or the deadline passes."""
        port = self._ranks[rank]
        while True:
            result = await self._place_once(port, order)
            if result is not OrderResult.UNKNOWN:
                return result
            if self._now_s() >= deadline_s:
                return result
            await self._read(port)
            await self._sleep(self._parameters.retry_delay_s)

    async def _place_once(
        self, port: RankPort, order: RankOrder
    ) -> OrderResult:
        self._require_token()
        result = await port.place(order)
        if result is OrderResult.STALE:
            raise _InterruptedError
        return result

    async def _wait_for_all(
        self, is_done: Callable[[RankState], bool], timeout_s: float
    ) -> bool:
        """Waits until `is_done` holds for the states of all ranks.

        Returns:
            False if the timeout has passed.
        """
        deadline_s = self._now_s() + timeout_s
        missing = list(self._ranks)
        while True:
            states = await _gather_or_cancel(
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
            await self._sleep(self._parameters.poll_interval_s)

    async def _read_all(self) -> dict[RankId, RankState]:
        """Returns the states of all ranks; retries without a time limit."""
        states: dict[RankId, RankState] = {}
        while len(states) < len(self._ranks):
            missing = [rank for rank in self._ranks if rank not in states]
            results = await _gather_or_cancel(
                self._read(self._ranks[rank]) for rank in missing
            )
            for rank, state in zip(missing, results, strict=True):
                if state is not None:
                    states[rank] = state
            if len(states) < len(self._ranks):
                await self._sleep(self._parameters.retry_delay_s)
        return states

    async def _read(self, port: RankPort) -> RankState | None:
        """Returns the state of a rank; None if it does not respond.

        Raises:
            _InterruptedError: If the rank is in another epoch.
        """
        self._require_token()
        try:
            state = await port.read_state()
        except RankUnreachableError:
            return None
        if state.epoch != self._epoch:
            raise _InterruptedError
        return state

    def _require_token(self) -> FencingToken:
        token = self._get_token()
        if token is not None:
            self._last_token = token
        elif self._may_outlive_lease and self._last_token is not None:
            return self._last_token
        else:
            raise _LeaseExpiredError
        return token

    def _make_order(
        self,
        operation: Operation,
        version: int = 0,
        step: int = 0,
        experts: Sequence = (),
    ) -> RankOrder:
        return RankOrder(
            operation,
            self._epoch,
            self._require_token(),
            version,
            step,
            tuple(experts),
        )

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()

    async def _sleep(self, duration_s: float) -> None:
        await self._clock.sleep(timedelta(seconds=duration_s))


def _get_held_steps(states: Mapping[RankId, RankState]) -> dict[RankId, int]:
    """Returns the step of each held rank."""
    return {
        rank: state.held_step
        for rank, state in states.items()
        if state.held_step is not None
    }


async def _gather_or_cancel(
    coroutines: Iterable[Coroutine[None, None, Result]],
) -> list[Result]:
    """Awaits coroutines concurrently; cancels the others if one fails."""
    tasks = [asyncio.ensure_future(work) for work in coroutines]
    try:
        return await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
