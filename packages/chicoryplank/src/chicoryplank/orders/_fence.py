"""Admission of engine orders at the agent."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import FencingToken, Incarnation, OperationId
from chicoryplank.invariants import require
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order for the engine of one agent.

    Attributes:
        order_id: Id of the order; a repeated order has the same id.
        token: Fencing token of the controller.
        sequence: Increases with each new order under one token.
        incarnation: Incarnation of the agent that the order is meant for.
        content: What the engine has to do.
    """

    order_id: OperationId
    token: FencingToken
    sequence: int
    incarnation: Incarnation
    content: bytes

    @property
    def age(self) -> tuple[int, int]:
        """Orders compare by token, then by sequence; higher is newer."""
        return (self.token, self.sequence)


Run = Callable[[Order], Awaitable[bytes]]


class FenceGate:
    """Passes orders to the engine one at a time and refuses stale ones.

    The check is repeated at the point where the order takes effect, since
    some engines ignore the fencing token.

    Args:
        incarnation: Incarnation of this agent. An order for another one is
            refused, because this agent cannot know whether it ran.
        run: Sends an order to the engine and returns its answer. An error
            whose verdict is NOT_RUN allows the order to be repeated.
        max_waiting: Orders that may wait for the one in flight.
        max_remembered: Outcomes kept to answer repeated orders. An order
            that is not newer than a dropped one is refused, as it may be the
            dropped one.

    Example:
        >>> gate = FenceGate(Incarnation("agent-1"), run=None)
        >>> gate.ready
        False
    """

    def __init__(
        self,
        incarnation: Incarnation,
        run: Run,
        max_waiting: int = 64,
        max_remembered: int = 1024,
    ) -> None:
        self._incarnation = incarnation
        self._run = run
        self._max_waiting = max_waiting
        self._max_remembered = max_remembered
        self._stored: FencingToken | None = None
        self._highest = (0, -1)
        self._forgotten = (0, -1)
        self._waiting = 0
        self._in_flight = 0
        self._turn = asyncio.Lock()
        self._outcomes: collections.OrderedDict[
            OperationId, tuple[Order, asyncio.Task]
        ] = collections.OrderedDict()

    @property
    def ready(self) -> bool:
        """Whether the highest token was read from the store."""
        return self._stored is not None

    def restore(self, token: FencingToken) -> None:
        """Sets the highest token as read from the store after the start."""
        self._stored = token
        self._highest = max(self._highest, (token, -1))

    async def admit(self, order: Order) -> bytes:
        """Runs an order and returns the engine's answer.

        A repeated order gets the outcome of its first run. The order goes on
        if the caller is cancelled, since the engine may have it already.

        Raises:
            ChicoryplankError: With ORDERS_NOT_READY, STALE_FENCING_TOKEN,
                ORDER_ID_REUSED or TOO_MANY_REQUESTS if the order is refused;
                or the error of `run`.
        """
        known = self._outcomes.get(order.order_id)
        if known is not None:
            if known[0] != order:
                self._refuse(
                    order, ErrorCode.ORDER_ID_REUSED, "the id is in use"
                )
            return await asyncio.shield(known[1])
        self._check(order)
        if self._waiting >= self._max_waiting:
            self._refuse(
                order, ErrorCode.TOO_MANY_REQUESTS, "too many orders wait"
            )
        self._highest = max(self._highest, order.age)
        task = asyncio.create_task(self._take_turn(order))
        task.add_done_callback(_retrieve_error)
        self._outcomes[order.order_id] = (order, task)
        self._forget()
        return await asyncio.shield(task)

    def _check(self, order: Order) -> None:
        if order.incarnation != self._incarnation:
            self._refuse(
                order,
                ErrorCode.STALE_FENCING_TOKEN,
                f"it is meant for {order.incarnation}, "
                f"not for {self._incarnation}",
                Verdict.MAY_HAVE_RUN,
            )
        if self._stored is None:
            self._refuse(
                order,
                ErrorCode.ORDERS_NOT_READY,
                "the highest token was not read since the start",
            )
        if order.age <= self._forgotten:
            self._refuse(
                order,
                ErrorCode.STALE_FENCING_TOKEN,
                f"{order.age} is not newer than {self._forgotten}",
                Verdict.MAY_HAVE_RUN,
            )
        if order.age < self._highest:
            self._refuse(
                order,
                ErrorCode.STALE_FENCING_TOKEN,
                f"{order.age} is below {self._highest}",
            )

    def _refuse(
        self,
        order: Order,
        code: ErrorCode,
        detail: str,
        verdict: Verdict = Verdict.NOT_RUN,
    ) -> None:
        emit(Event.ORDER_REFUSED, order=order.order_id, detail=detail)
        message = f"order {order.order_id}: {detail}"
        raise ChicoryplankError(code, message, verdict)

    async def _take_turn(self, order: Order) -> bytes:
        self._waiting += 1
        try:
            await self._turn.acquire()
        finally:
            self._waiting -= 1
        try:
            self._check(order)
            self._in_flight += 1
            require(
                self._in_flight == 1,
                "one_engine_order_at_a_time",
                f"{self._in_flight} orders in flight",
                Verdict.NOT_RUN,
            )
            return await self._run(order)
        except ChicoryplankError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._outcomes.pop(order.order_id, None)
            raise
        finally:
            self._in_flight = 0
            self._turn.release()

    def _forget(self) -> None:
        done = (key for key, kept in self._outcomes.items() if kept[1].done())
        excess = len(self._outcomes) - self._max_remembered
        for key in [key for key, _ in zip(done, range(excess), strict=False)]:
            order, _ = self._outcomes.pop(key)
            self._forgotten = max(self._forgotten, order.age)


def _retrieve_error(task: asyncio.Task) -> None:
    """Marks the error as seen, since every caller may have left."""
    if not task.cancelled():
        task.exception()
