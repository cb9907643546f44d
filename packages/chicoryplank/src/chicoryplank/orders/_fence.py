"""Fencing of engine orders at the agent."""

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
        order_id: Id of the order; a repetition has the same id.
        token: Fencing token of the controller that placed the order.
        sequence: Number that increases with each new order under one token.
        incarnation: Incarnation of the agent that the order is addressed to.
        content: Encoded command for the engine.
    """

    order_id: OperationId
    token: FencingToken
    sequence: int
    incarnation: Incarnation
    content: bytes

    @property
    def sort_key(self) -> tuple[int, int]:
        """Key that orders compare by; a newer order has a larger one."""
        return (self.token, self.sequence)


RunOrder = Callable[[Order], Awaitable[bytes]]


class FenceGate:
    """Sends orders to the engine one at a time and rejects stale ones.

    An order is checked when it arrives and again just before it is sent to the
    engine, since some engines ignore the fencing token.

    Args:
        incarnation: Incarnation of this agent. An order for another
            incarnation is rejected with the verdict MAY_HAVE_RUN, since this
            agent cannot know whether the order ran there.
        run: Sends an order to the engine and returns its response. An error
            with the verdict NOT_RUN allows the order to be repeated.
        max_waiting: Largest number of orders that wait for the one in flight.
        max_cached_outcomes: Largest number of outcomes kept for repeated
            orders. An order that is not newer than one whose outcome was
            evicted is rejected, since it may be the same order.

    Example:
        >>> gate = FenceGate(Incarnation("agent-1"), run=None)
        >>> gate.ready
        False
    """

    def __init__(
        self,
        incarnation: Incarnation,
        run: RunOrder,
        max_waiting: int = 64,
        max_cached_outcomes: int = 1024,
    ) -> None:
        self._incarnation = incarnation
        self._run = run
        self._max_waiting = max_waiting
        self._max_cached_outcomes = max_cached_outcomes
        self._stored_token: FencingToken | None = None
        self._newest = (0, -1)
        self._newest_evicted = (0, -1)
        self._waiting_count = 0
        self._in_flight_count = 0
        self._engine_lock = asyncio.Lock()
        self._outcomes: collections.OrderedDict[
            OperationId, tuple[Order, asyncio.Task]
        ] = collections.OrderedDict()

    @property
    def ready(self) -> bool:
        """Whether the highest token was read from the store since the start."""
        return self._stored_token is not None

    def set_stored_token(self, token: FencingToken) -> None:
        """Sets the highest fencing token that is recorded in the store."""
        self._stored_token = token
        self._newest = max(self._newest, (token, -1))

    async def admit(self, order: Order) -> bytes:
        """Runs an order and returns the response of the engine.

        A repeated order gets the outcome of its first run. If the caller is
        cancelled, the order continues, since the engine may have received it.

        Raises:
            ChicoryplankError: With ORDERS_NOT_READY, STALE_FENCING_TOKEN,
                ORDER_ID_REUSED or TOO_MANY_REQUESTS if the order is rejected;
                or the error of `run`.
        """
        recorded = self._outcomes.get(order.order_id)
        if recorded is not None:
            if recorded[0] != order:
                self._reject(
                    order,
                    ErrorCode.ORDER_ID_REUSED,
                    "the id belongs to another order",
                )
            return await asyncio.shield(recorded[1])
        self._check_admissible(order)
        if self._waiting_count >= self._max_waiting:
            self._reject(
                order,
                ErrorCode.TOO_MANY_REQUESTS,
                "too many orders are waiting",
            )
        self._newest = max(self._newest, order.sort_key)
        task = asyncio.create_task(self._run_exclusively(order))
        task.add_done_callback(_retrieve_error)
        self._outcomes[order.order_id] = (order, task)
        self._evict_outcomes()
        return await asyncio.shield(task)

    def _check_admissible(self, order: Order) -> None:
        if order.incarnation != self._incarnation:
            self._reject(
                order,
                ErrorCode.STALE_FENCING_TOKEN,
                f"it is addressed to {order.incarnation}, "
                f"not to {self._incarnation}",
                Verdict.MAY_HAVE_RUN,
            )
        if self._stored_token is None:
            self._reject(
                order,
                ErrorCode.ORDERS_NOT_READY,
                "the highest token was not read from the store since the start",
            )
        if order.sort_key <= self._newest_evicted:
            self._reject(
                order,
                ErrorCode.STALE_FENCING_TOKEN,
                f"{order.sort_key} is not newer than {self._newest_evicted}",
                Verdict.MAY_HAVE_RUN,
            )
        if order.sort_key < self._newest:
            self._reject(
                order,
                ErrorCode.STALE_FENCING_TOKEN,
                f"{order.sort_key} is below {self._newest}",
            )

    def _reject(
        self,
        order: Order,
        code: ErrorCode,
        detail: str,
        verdict: Verdict = Verdict.NOT_RUN,
    ) -> None:
        emit(Event.ORDER_REFUSED, order=order.order_id, detail=detail)
        message = f"order {order.order_id}: {detail}"
        raise ChicoryplankError(code, message, verdict)

    async def _run_exclusively(self, order: Order) -> bytes:
        self._waiting_count += 1
        try:
            await self._engine_lock.acquire()
        finally:
            self._waiting_count -= 1
        try:
            self._check_admissible(order)
            self._in_flight_count += 1
            require(
                self._in_flight_count == 1,
                "one_engine_order_at_a_time",
                f"{self._in_flight_count} orders in flight",
                Verdict.NOT_RUN,
            )
            return await self._run(order)
        except ChicoryplankError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._outcomes.pop(order.order_id, None)
            raise
        finally:
            self._in_flight_count = 0
            self._engine_lock.release()

    def _evict_outcomes(self) -> None:
        finished = (
            key for key, outcome in self._outcomes.items() if outcome[1].done()
        )
        excess = len(self._outcomes) - self._max_cached_outcomes
        for key in [
            key for key, _ in zip(finished, range(excess), strict=False)
        ]:
            order, _ = self._outcomes.pop(key)
            self._newest_evicted = max(self._newest_evicted, order.sort_key)


def _retrieve_error(task: asyncio.Task) -> None:
    """Retrieves the error of an order whose callers may all be cancelled.

    Otherwise asyncio logs that the exception was never retrieved.
    """
    if not task.cancelled():
        task.exception()
