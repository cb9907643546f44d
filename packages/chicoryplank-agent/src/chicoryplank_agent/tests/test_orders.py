"""Tests of the order service with a fake engine and store."""

import asyncio
import json
import random

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.orders import Order, record_token
from chicoryplank.verdict import Verdict
from chicoryplank_agent.orders import EngineOrderSender, OrderService
from chicoryplank_wire import control_pb2


class _Backend:
    """Fake engine that returns or raises the given responses in order."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.bodies = []

    async def post_json(self, path, body, timeout):
        del path, timeout
        self.bodies.append(json.loads(body))
        response = self.responses.pop(0) if self.responses else (200, b"{}")
        if isinstance(response, Exception):
            raise response
        return response

    async def fetch_json(self, path):
        if path == "/ranks":
            return {"step": 7, "experts": 2}
        return {"counts": [1, 2]}


class _Stream:
    """Fake gRPC stream of one call."""

    def __init__(self, request):
        self._request = request
        self.reply = None

    async def recv_message(self):
        return self._request

    async def send_message(self, reply):
        self.reply = reply


class _AutoAdvancingClock(ManualClock):
    """Clock that advances by the duration of each sleep without waiting."""

    async def sleep(self, duration):
        self.advance(duration)
        await asyncio.sleep(0)


def _make_request(token, sequence=1, content=b'{"kind": "set_role"}'):
    return control_pb2.OrderRequest(
        fencing_token=token,
        order_id=f"order-{token}-{sequence}",
        sequence=sequence,
        incarnation="agent-a",
        content=content,
    )


class TestOrderService(testtools.TestCase):
    """Tests of the service that controllers call."""

    def setUp(self):
        super().setUp()
        self.clock = _AutoAdvancingClock()
        self.store = MemoryStore(self.clock)
        self.backend = _Backend()
        self.service = OrderService(
            "llm",
            "agent-a",
            self.store,
            self.backend,
            self.clock,
            rng=random.Random(1),
        )

    async def place(self, request):
        stream = _Stream(request)
        await self.service.PlaceOrder(stream)
        return stream.reply

    def test_order_is_rejected_before_the_token_is_known(self):
        """Guards against a restarted agent that accepts a stale order."""

        async def run():
            reply = await self.place(_make_request(5))
            self.assertFalse(reply.accepted)
            self.assertEqual(ErrorCode.ORDERS_NOT_READY.value, reply.code)
            self.assertEqual([], self.backend.bodies)

        asyncio.run(run())

    def test_restarted_agent_rejects_a_stale_order(self):
        """Guards against orders of a controller that has lost its lease.

        A restarted agent must read the highest token from the store.
        """

        async def run():
            await record_token(self.store, "llm", 9)
            await self.service.restore_token()
            old = await self.place(_make_request(8))
            new = await self.place(_make_request(9))
            self.assertEqual(ErrorCode.STALE_FENCING_TOKEN.value, old.code)
            self.assertTrue(new.accepted)
            tokens = [body["fencing_token"] for body in self.backend.bodies]
            self.assertEqual([9], tokens)

        asyncio.run(run())

    def test_token_is_read_again_after_an_outage(self):
        """Guards against an agent that rejects orders for good."""

        async def run():
            self.store.available = False
            task = asyncio.create_task(self.service.restore_token())
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertFalse(self.service.gate.ready)
            self.store.available = True
            await task
            self.assertTrue(self.service.gate.ready)

        asyncio.run(run())

    def test_malformed_token_record_blocks_orders(self):
        """Guards against an agent that gives up at a malformed record."""

        async def run():
            await self.store.swap("groups/llm/token", b"x", 0)
            task = asyncio.create_task(self.service.restore_token())
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertFalse(self.service.gate.ready)
            record = await self.store.read("groups/llm/token")
            await self.store.swap("groups/llm/token", b"9", record.revision)
            await task
            self.assertTrue(self.service.gate.ready)

        asyncio.run(run())

    def test_malformed_content_is_rejected(self):
        """Guards against an exception that closes the connection."""

        async def run():
            await self.service.restore_token()
            for content in (b"", b"[]", b"{}", b"\xff"):
                reply = await self.place(_make_request(5, content=content))
                expected = ErrorCode.MALFORMED_REQUEST.value
                self.assertEqual(expected, reply.code)

        asyncio.run(run())

    def test_engine_state_is_forwarded(self):
        """Guards against expert loads that were not requested."""

        async def run():
            for with_loads, loads in ((False, []), (True, [1, 2])):
                stream = _Stream(
                    control_pb2.EngineRequest(with_loads=with_loads)
                )
                await self.service.ReadEngine(stream)
                self.assertEqual(7, json.loads(stream.reply.ranks)["step"])
                self.assertEqual(loads, list(stream.reply.expert_loads))

        asyncio.run(run())


class TestEngineOrderSender(testtools.TestCase):
    """Tests of the orders that the engine receives."""

    def setUp(self):
        super().setUp()
        self.order = Order("o-1", 3, 1, "agent-a", b'{"kind": "set_role"}')

    def send_order(self, *responses):
        backend = _Backend(*responses)
        engine = EngineOrderSender(backend, _AutoAdvancingClock())
        try:
            result = asyncio.run(engine.run(self.order))
        except ChicoryplankError as error:
            result = error.verdict
        return result, [body["order_id"] for body in backend.bodies]

    def make_error(self, verdict):
        return ChicoryplankError(ErrorCode.BACKEND_FAILED, "lost", verdict)

    def test_order_without_response_is_resent(self):
        """Guards against a delayed copy that runs after a newer order."""
        lost_response = self.make_error(Verdict.MAY_HAVE_RUN)
        result, ids = self.send_order(
            lost_response, lost_response, (200, b"done")
        )
        self.assertEqual((b"done", ["o-1"] * 3), (result, ids))

    def test_verdict_after_a_lost_response_is_may_have_run(self):
        """Guards against a false NOT_RUN after a lost response.

        That the engine has stopped does not mean that the order did not run.
        """
        lost_response = self.make_error(Verdict.MAY_HAVE_RUN)
        refused = self.make_error(Verdict.NOT_RUN)
        self.assertIs(Verdict.NOT_RUN, self.send_order(refused)[0])
        self.assertIs(
            Verdict.MAY_HAVE_RUN, self.send_order(lost_response, refused)[0]
        )

    def test_rejection_by_the_engine_is_final(self):
        """Guards against an order that is sent again after a rejection."""
        result, ids = self.send_order((409, b"step_passed"))
        self.assertEqual((Verdict.NOT_RUN, ["o-1"]), (result, ids))
        result, _ = self.send_order((500, b""))
        self.assertIs(Verdict.MAY_HAVE_RUN, result)
