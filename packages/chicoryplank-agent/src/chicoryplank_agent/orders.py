"""Service through which controllers send orders to the engine.

Orders pass a fencing check and run one at a time. The service also reports the
state of the engine.
"""

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

# An engine loads weights within seconds, so an order that has no response after
# this time is sent again.
_ORDER_TIMEOUT = timedelta(seconds=5)
_READ_TIMEOUT = timedelta(seconds=1)
_RESEND_INTERVAL = timedelta(milliseconds=500)
_MIN_BACKOFF = timedelta(milliseconds=250)
_MAX_BACKOFF = timedelta(seconds=5)
_MAX_CONTENT_BYTES = 1_048_576
_HTTP_OK = 200
_MIN_SERVER_ERROR_STATUS = 500

_REJECTED_ORDERS = prometheus_client.Counter(
    "chicoryplank_orders_refused_total", "Refused orders by code.", ["code"]
)


class EngineOrderSender:
    """Sends orders to the engine and resends them until it responds.

    Args:
        backend: Client of the engine.
        clock: Clock for the delay between two sends.
    """

    def __init__(self, backend: BackendClient, clock: Clock) -> None:
        self._backend = backend
        self._clock = clock

    async def run(self, order: Order) -> bytes:
        """Sends an order and returns the response of the engine.

        An order without a response is sent again under the same id, since the
        engine may still carry out the first copy. The next order must wait;
        otherwise the delayed copy could take effect after it.

        Raises:
            ChicoryplankError: With BACKEND_FAILED if the engine rejects the
                order or cannot be connected to.
        """
        document = json.loads(order.content)
        document |= {"order_id": order.order_id, "fencing_token": order.token}
        body = json.dumps(document).encode()
        verdict = Verdict.NOT_RUN
        while True:
            try:
                status, response = await self._backend.post_json(
                    "/orders", body, _ORDER_TIMEOUT
                )
            except ChicoryplankError as error:
                if error.verdict is Verdict.NOT_RUN:
                    # The engine has stopped, so an earlier copy can no longer
                    # be carried out.
                    raise ChicoryplankError(
                        error.code, error.message, verdict
                    ) from error
                verdict = Verdict.MAY_HAVE_RUN
                await self._clock.sleep(_RESEND_INTERVAL)
                continue
            if status == _HTTP_OK:
                return response
            if status >= _MIN_SERVER_ERROR_STATUS:
                verdict = Verdict.MAY_HAVE_RUN
            text = response.decode(errors="replace")
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED,
                f"the engine rejected order {order.order_id}: {text}",
                verdict,
            )


class OrderService(OrdersBase):
    """Accepts orders of controllers for the engine of this agent.

    Args:
        group: Model group of the engine.
        incarnation: Incarnation of this agent.
        store: Key-value store that records the highest fencing token.
        backend: Client of the engine.
        clock: Clock for backoff and resends.
        rng: Random number generator for the backoff jitter.

    Attributes:
        gate: Fencing check; rejects stale orders and runs the others.
    """

    def __init__(
        self,
        group: ModelGroupId,
        incarnation: Incarnation,
        store: Store,
        backend: BackendClient,
        clock: Clock,
        *,
        rng: random.Random,
    ) -> None:
        self._group = group
        self._incarnation = incarnation
        self._store = store
        self._backend = backend
        self._clock = clock
        self._rng = rng
        self.gate = FenceGate(
            incarnation, EngineOrderSender(backend, clock).run
        )

    async def restore_token(self) -> None:
        """Reads the highest fencing token; until then orders are rejected."""
        backoff = _MIN_BACKOFF
        while not self.gate.ready:
            try:
                token = await read_highest_token(self._store, self._group)
            except (ChicoryplankError, ValueError, LookupError) as error:
                # ValueError and LookupError come from a malformed record,
                # which an operator must repair.
                emit(Event.TOKEN_UNAVAILABLE, error=str(error))
                await self._clock.sleep(backoff * self._rng.uniform(0.5, 1))
                backoff = min(2 * backoff, _MAX_BACKOFF)
            else:
                self.gate.set_stored_token(token)

    async def PlaceOrder(self, stream) -> None:  # noqa: N802
        """Carries out an order and replies with the response of the engine."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            result = await self.gate.admit(_read_order(request))
            reply = control_pb2.OrderReply(accepted=True, result=result)
        except ChicoryplankError as error:
            _REJECTED_ORDERS.labels(error.code.value).inc()
            reply = control_pb2.OrderReply(
                code=error.code.value,
                message=error.message,
                verdict=error.verdict.value,
            )
        await stream.send_message(reply)

    async def ReadEngine(self, stream) -> None:  # noqa: N802
        """Replies with the state of the ranks of the engine."""
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
            f"order {order.order_id!r} lacks an id or valid JSON content",
        )
    return order
