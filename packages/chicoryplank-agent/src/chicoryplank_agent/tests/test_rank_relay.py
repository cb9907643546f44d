"""Tests of the relay to a replica, over the loopback interface."""

import asyncio
import dataclasses
from unittest import mock

import testtools

from chicoryplank.clock import SystemClock
from chicoryplank.ids import FencingToken, InstanceId, RankId
from chicoryplank.orders import (
    Operation,
    OrderResult,
    RankCounts,
    RankOrder,
    RankState,
    RankUnreachableError,
)
from chicoryplank.traffic import ClientLimits
from chicoryplank_agent import rank_relay
from chicoryplank_agent.rank_relay import RankRelay, RelayedRank
from chicoryplank_wire.server_connection import CallerConnection, ListenerHooks

_STATE = RankState(
    InstanceId("i-1"), "g", 2, RankId(3), 16, True, 40, 7, 8, 8, 44, 44
)
_COUNTS = RankCounts(2, 40, (1, 2, 3), ((0, 1), (2, 3)))
_ORDER = RankOrder(
    Operation.PREPARE, 2, FencingToken(5), 9, 0, (((0, 1), (2, 3)),)
)


class _Rank:
    """Fake rank that records its orders."""

    def __init__(self):
        self.orders = []
        self.fails = False
        self.counts = (1, 2, 3)

    async def read_state(self):
        if self.fails:
            raise RankUnreachableError("gone")
        return _STATE

    async def read_counts(self, with_experts):
        if with_experts:
            return _COUNTS
        return RankCounts(2, 40, self.counts)

    async def place(self, order):
        self.orders.append(order)
        return OrderResult.CONFLICT


class _RelayCase(testtools.TestCase):
    """Runs a rank behind a relay."""

    def _run(self, work, is_up=True):
        async def run():
            loop = asyncio.get_running_loop()
            local, direct = _Rank(), _Rank()
            hooks = ListenerHooks(
                RankRelay(local).handle,
                ClientLimits,
                loop.time,
                lambda: False,
                set(),
            )
            server = await loop.create_server(
                lambda: CallerConnection(hooks), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            if not is_up:
                server.close()
            rank = RelayedRank(
                InstanceId("i-1"), f"127.0.0.1:{port}", direct, SystemClock()
            )
            try:
                return await work(rank, local, direct)
            finally:
                server.close()

        return asyncio.run(run())


class TestRankRelay(_RelayCase):
    """Tests that calls work with the relay and without it."""

    def test_calls_reach_the_local_rank(self):
        """Guards against a field that is lost in encoding."""

        async def work(rank, local, direct):
            self.assertEqual(_STATE, await rank.read_state())
            self.assertEqual(_COUNTS, await rank.read_counts(True))
            self.assertIsNone((await rank.read_counts(False)).experts)
            self.assertIs(OrderResult.CONFLICT, await rank.place(_ORDER))
            self.assertEqual(([_ORDER], []), (local.orders, direct.orders))

        self._run(work)

    def test_hold_and_release_are_sent_directly(self):
        """Guards against a hold that is placed by the instance of its rank.

        If that instance failed, the held rank could not be released.
        """

        async def work(rank, local, direct):
            orders = [
                dataclasses.replace(_ORDER, operation=operation, experts=())
                for operation in (Operation.HOLD, Operation.RELEASE)
            ]
            for order in orders:
                await rank.place(order)
            self.assertEqual(([], orders), (local.orders, direct.orders))

        self._run(work)

    def test_failed_agent_is_bypassed(self):
        """Guards against a group that stays held after an agent has failed."""

        async def work(rank, local, direct):
            self.assertEqual(_STATE, await rank.read_state())
            await rank.place(_ORDER)
            self.assertEqual([_ORDER], direct.orders)

        self._run(work, is_up=False)

    def test_counts_are_not_read_directly(self):
        """Guards against direct reads, which pause the whole group."""

        async def work(rank, local, direct):
            try:
                await rank.read_counts(False)
            except RankUnreachableError:
                return True
            return False

        self.assertTrue(self._run(work, is_up=False))

    def test_unreachable_replica_is_reported(self):
        """Guards against a state that the replica did not report."""

        async def work(rank, local, direct):
            local.fails = True
            try:
                await rank.read_state()
            except RankUnreachableError:
                return True
            return False

        self.assertTrue(self._run(work))

    def test_malformed_call_gets_a_response(self):
        """Guards against a malformed call that stops the agent."""

        async def work(rank, local, direct):
            client = rank._client
            for body in (b"", b"[]", b"{}", b'{"operation": "x"}'):
                status, _ = await client.call("POST", "/order", body)
                self.assertEqual(400, status)
            status, _ = await client.call("GET", "/other")
            self.assertEqual(400, status)

        self._run(work)


class TestLargeGroup(testtools.TestCase):
    """Load pattern: one controller reads and orders hundreds of ranks."""

    def _make_order(self, ranks):
        experts = tuple((rank, rank + 1, rank + 2) for rank in range(ranks))
        return dataclasses.replace(_ORDER, experts=(experts,) * 10)

    def test_order_to_many_ranks_is_encoded_once(self):
        """Guards against a controller that loses its lease while it encodes.

        A map of 192 ranks takes 8 ms to encode. For each rank again, that
        blocks the event loop for longer than the lease lasts.
        """
        order = self._make_order(192)
        with mock.patch.object(
            rank_relay, "_encode", wraps=rank_relay._encode
        ) as encode:
            bodies = {rank_relay._encode_order(order) for _ in range(192)}
        self.assertEqual((1, 1), (encode.call_count, len(bodies)))

    def test_counts_are_sent_as_increases(self):
        """Guards against reads that fill the link of the controller."""

        async def read(relay, number):
            request = mock.Mock(target=f"/counts?since={number}", method="GET")
            reply = mock.Mock()
            await relay.handle(request, reply)
            return reply.send.call_args.args[2]

        async def run():
            rank = _Rank()
            rank.counts = tuple(10_000 + 37 * item for item in range(3_840))
            relay = RankRelay(rank)
            first = await read(relay, -1)
            number = relay._sent_number
            rank.counts = tuple(
                count + (index % 7 == 0)
                for index, count in enumerate(rank.counts)
            )
            return len(first), len(await read(relay, number))

        full_bytes, increase_bytes = asyncio.run(run())
        self.assertLess(5 * increase_bytes, full_bytes)


class TestCountIncreases(_RelayCase):
    """Counts stay exact whatever responses and processes are lost."""

    def test_counts_add_up(self):
        """Guards against increases that are added to the wrong counts."""

        async def work(rank, local, direct):
            for counts in ((1, 2, 3), (5, 2, 4), (5, 9, 9), (0, 1, 0)):
                local.counts = counts
                read = await rank.read_counts(False)
                self.assertEqual(counts, read.counts)

        self._run(work)

    def test_read_by_another_controller(self):
        """Guards against increases since a response to someone else."""

        async def work(rank, local, direct):
            address = rank._client.address
            other = RelayedRank(
                InstanceId("i-1"), address, direct, SystemClock()
            )
            for counts in ((1, 2, 3), (5, 2, 4), (6, 6, 6)):
                for reader in (rank, other):
                    local.counts = counts
                    read = await reader.read_counts(False)
                    self.assertEqual(counts, read.counts)

        self._run(work)

    def test_lost_response(self):
        """Guards against increases that were never received."""

        async def work(rank, local, direct):
            await rank.read_counts(False)
            local.counts = (4, 4, 4)
            number = rank._counts_number
            await rank._client.call("GET", f"/counts?since={number}")
            local.counts = (5, 5, 5)
            read = await rank.read_counts(False)
            self.assertEqual((5, 5, 5), read.counts)

        self._run(work)

    def test_agent_of_an_earlier_version(self):
        """Guards against a controller that stops during a rolling update."""

        async def work(rank, local, direct):
            document = {"epoch": 2, "step": 40, "counts": [7, 7, 7]}

            async def call(method, path, body=b""):
                return {**document, "experts": None}

            rank._call = call
            for _ in range(2):
                read = await rank.read_counts(False)
                self.assertEqual((7, 7, 7), read.counts)

        self._run(work)
