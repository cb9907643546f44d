"""Orders for the engine: fencing, one at a time, and the engine's state."""

import asyncio
import json
import random
from datetime import timedelta

import prometheus_client

from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import (
    FencingToken,
    Incarnation,
    ModelGroupId,
    OperationId,
)
from chicoryplank.orders import FenceGate, Order, read_highest_token
from chicoryplank.store import Store
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend import BackendClient
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import OrdersBase

# Weights load in seconds; a silent engine is asked again after this time.
_ENGINE_TIMEOUT = timedelta(seconds=5)
_READ_TIMEOUT = timedelta(seconds=1)
_REPEAT_INTERVAL = timedelta(milliseconds=500)
_MIN_BACKOFF = timedelta(milliseconds=250)
_MAX_BACKOFF = timedelta(seconds=5)
_MAX_CONTENT_BYTES = 1_048_576
_HTTP_OK = 200
_SERVER_ERROR = 500  # and above

_REFUSED = prometheus_client.Counter(
    "chicoryplank_orders_refused_total", "Refused orders by code.", ["code"]
)


class EngineOrders:
    """Sends orders to the engine until it has answered.

    Args:
        backend: Client of the engine.
        clock: Source of sleep.
    """

    def __init__(self, backend: BackendClient, clock: Clock) -> None:
        self._backend = backend
        self._clock = clock

    async def run(self, order: Order) -> bytes:
        """Sends an order and returns the engine's answer.

        An order without an answer is sent again under the same id, since the
        engine may still carry out the first copy. The next order has to wait;
        otherwise the late copy could take effect after it.

        Raises:
            ChicoryplankError: With BACKEND_FAILED if the engine refuses the
                order or accepts no connection.
        """
        fields = json.loads(order.content)
        fields |= {"order_id": order.order_id, "fencing_token": order.token}
        body = json.dumps(fields).encode()
        verdict = Verdict.NOT_RUN
        while True:
            try:
                status, answer = await self._backend.post_json(
                    "/orders", body, _ENGINE_TIMEOUT
                )
            except ChicoryplankError as error:
                if error.verdict is Verdict.NOT_RUN:
                    # Nobody listens, so earlier copies ended with the engine.
                    raise ChicoryplankError(
                        error.code, error.message, verdict
                    ) from error
                verdict = Verdict.MAY_HAVE_RUN
                await self._clock.sleep(_REPEAT_INTERVAL)
                continue
            if status == _HTTP_OK:
                return answer
            if status >= _SERVER_ERROR:
                verdict = Verdict.MAY_HAVE_RUN
            text = answer.decode(errors="replace")
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED,
                f"the engine refused order {order.order_id}: {text}",
                verdict,
            )


class OrderService(OrdersBase):
    """Takes orders of controllers for the engine beside this agent.

    Args:
        group: Model group of the engine.
        incarnation: Incarnation of this agent.
        store: Key-value service, which holds the highest token.
        backend: Client of the engine.
        clock: Source of sleep.
        random_source: Jitter of the backoff.

    Attributes:
        gate: Admission of orders.
    """

    def __init__(
        self,
        group: ModelGroupId,
        incarnation: Incarnation,
        store: Store,
        backend: BackendClient,
        clock: Clock,
        *,
        random_source: random.Random,
    ) -> None:
        self._group = group
        self._incarnation = incarnation
        self._store = store
        self._backend = backend
        self._clock = clock
        self._random = random_source
        self.gate = FenceGate(incarnation, EngineOrders(backend, clock).run)

    async def restore_token(self) -> None:
        """Reads the highest token; orders are refused until it is known."""
        backoff = _MIN_BACKOFF
        while not self.gate.ready:
            try:
                token = await read_highest_token(self._store, self._group)
            except (ChicoryplankError, ValueError, LookupError) as error:
                # Also a damaged record, which operators have to repair.
                emit(Event.TOKEN_UNAVAILABLE, error=str(error))
                await self._clock.sleep(backoff * self._random.uniform(0.5, 1))
                backoff = min(2 * backoff, _MAX_BACKOFF)
            else:
                self.gate.set_stored_token(token)

    async def PlaceOrder(self, stream) -> None:  # noqa: N802
        """Carries out an order and answers with the engine's answer."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            result = await self.gate.admit(_read_order(request))
            reply = control_pb2.OrderReply(accepted=True, result=result)
        except ChicoryplankError as error:
            _REFUSED.labels(error.code.value).inc()
            reply = control_pb2.OrderReply(
                code=error.code.value,
                message=error.message,
                verdict=error.verdict.value,
            )
        await stream.send_message(reply)

    async def ReadEngine(self, stream) -> None:  # noqa: N802
        """Answers with the state of the engine's ranks."""
        request = await stream.recv_message()
        if request is None:
            return
        reply = control_pb2.EngineReply(
            incarnation=self._incarnation, ready=self.gate.ready
        )
        ranks = await self._fetch("/ranks")
        if ranks is not None:
            reply.ranks = json.dumps(ranks).encode()
        if ranks is not None and ranks.get("experts") and request.with_loads:
            loads = await self._fetch("/expert-loads")
            reply.expert_loads.extend((loads or {}).get("counts", ()))
        await stream.send_message(reply)

    async def _fetch(self, path: str) -> dict | None:
        try:
            async with asyncio.timeout(_READ_TIMEOUT.total_seconds()):
                return await self._backend.fetch_json(path)
        except TimeoutError:
            return None


def _read_order(request: control_pb2.OrderRequest) -> Order:
    order = Order(
        OperationId(request.order_id),
        FencingToken(request.fencing_token),
        request.sequence,
        Incarnation(request.incarnation),
        request.content,
    )
    try:
        content = json.loads(order.content[:_MAX_CONTENT_BYTES])
        is_valid = isinstance(content, dict) and "kind" in content
    except ValueError:
        is_valid = False
    if not is_valid or not order.order_id:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"order {order.order_id!r} has no id or no JSON content",
        )
    return order
