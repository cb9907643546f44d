"""Tests of order fencing, the controller lease and map documents."""

import asyncio
import itertools
from datetime import timedelta

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.orders import (
    ControllerLease,
    FenceGate,
    MapChange,
    Order,
    Phase,
    Prepared,
    create_document,
    decode_document,
    join_group,
    read_document,
    read_highest_token,
)
from chicoryplank.rebalance import make_map
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict

GROUP = "gavel"
MEMBERS = {0: "0-a", 1: "1-a"}
LEASE = timedelta(seconds=10)
MARGIN = timedelta(seconds=2)


def make_order(name, token, sequence=0, incarnation="agent", content=b""):
    """Returns an order for the agent under test."""
    return Order(name, token, sequence, incarnation, content)


class Engine:
    """Engine whose orders complete once `proceed` is set."""

    def __init__(self):
        self.started = []
        self.proceed = asyncio.Event()
        self.error = None

    async def run(self, order):
        """Records the order and waits for `proceed`."""
        self.started.append(order.order_id)
        await self.proceed.wait()
        if self.error is not None:
            raise self.error
        return order.order_id.encode()


async def start(gate, *orders):
    """Starts orders one after the other and returns their tasks."""
    tasks = []
    for order in orders:
        tasks.append(asyncio.create_task(gate.admit(order)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    return tasks


async def get_code(awaitable):
    """Returns the code and verdict of the expected error."""
    try:
        await awaitable
    except ChicoryplankError as error:
        return error.code, error.verdict
    raise AssertionError("no error")


STALE = (ErrorCode.STALE_FENCING_TOKEN, Verdict.NOT_RUN)
STALE_UNKNOWN = (ErrorCode.STALE_FENCING_TOKEN, Verdict.MAY_HAVE_RUN)


class TestFenceGate(testtools.TestCase):
    """Conditions under which orders reach the engine."""

    def run_with_gate(self, scenario, **parameters):
        async def run():
            engine = Engine()
            gate = FenceGate("agent", engine.run, **parameters)
            gate.set_stored_token(5)
            await scenario(gate, engine)

        asyncio.run(run())

    def test_restart_rejects_until_token_is_read(self):
        """Guards against a restarted agent that accepts a stale order."""

        async def run():
            engine = Engine()
            engine.proceed.set()
            gate = FenceGate("agent", engine.run)
            code = await get_code(gate.admit(make_order("a", 9)))
            self.assertEqual(ErrorCode.ORDERS_NOT_READY, code[0])
            gate.set_stored_token(7)
            self.assertEqual(
                STALE, await get_code(gate.admit(make_order("b", 6)))
            )
            self.assertEqual(b"c", await gate.admit(make_order("c", 7)))

        asyncio.run(run())

    def test_one_in_flight_and_older_waiting_is_rejected(self):
        """Guards against concurrent orders and a stale order that waited."""

        async def scenario(gate, engine):
            orders = [
                make_order("a", 5),
                make_order("b", 6),
                make_order("c", 7),
            ]
            first, older, newer = await start(gate, *orders)
            late = gate.admit(make_order("d", 6, sequence=3))
            self.assertEqual(STALE, await get_code(late))
            self.assertEqual(["a"], engine.started)
            engine.proceed.set()
            self.assertEqual(b"a", await first)
            self.assertEqual(STALE, await get_code(older))
            self.assertEqual(b"c", await newer)
            self.assertEqual(["a", "c"], engine.started)

        self.run_with_gate(scenario)

    def test_repeated_order_runs_once(self):
        """Guards against a repeated order that runs twice."""

        async def scenario(gate, engine):
            order = make_order("a", 5)
            tasks = await start(gate, order, order)
            engine.proceed.set()
            self.assertEqual([b"a", b"a"], await asyncio.gather(*tasks))
            self.assertEqual(b"a", await gate.admit(order))
            other = make_order("a", 5, content=b"other")
            code = await get_code(gate.admit(other))
            self.assertEqual(ErrorCode.ORDER_ID_REUSED, code[0])
            self.assertEqual(["a"], engine.started)

        self.run_with_gate(scenario)

    def test_cancelled_caller_does_not_stop_its_order(self):
        """Guards against a second order while the engine runs the first."""

        async def scenario(gate, engine):
            first, second = await start(
                gate, make_order("a", 5), make_order("b", 5, sequence=1)
            )
            first.cancel()
            await asyncio.sleep(0)
            self.assertEqual(["a"], engine.started)
            engine.proceed.set()
            self.assertEqual(b"b", await second)

        self.run_with_gate(scenario)

    def test_repetition_after_engine_error(self):
        """Guards against a second run of an order whose outcome is unknown."""

        async def scenario(gate, engine):
            engine.proceed.set()
            for verdict, runs in (
                (Verdict.MAY_HAVE_RUN, ["a"]),
                (Verdict.NOT_RUN, ["b", "b"]),
            ):
                engine.started.clear()
                engine.error = ChicoryplankError(
                    ErrorCode.BACKEND_FAILED, "broke", verdict
                )
                order = make_order(runs[0], 5, sequence=len(runs))
                for _ in range(2):
                    code = await get_code(gate.admit(order))
                    self.assertEqual((ErrorCode.BACKEND_FAILED, verdict), code)
                self.assertEqual(runs, engine.started)

        self.run_with_gate(scenario)

    def test_rejection_verdict_covers_evicted_outcomes(self):
        """Guards against NOT_RUN for an order that ran and was evicted."""

        async def scenario(gate, engine):
            engine.proceed.set()
            for number in range(3):
                await gate.admit(make_order(f"a{number}", 5, sequence=number))
            evicted = gate.admit(make_order("a0", 5, sequence=0))
            self.assertEqual(STALE_UNKNOWN, await get_code(evicted))
            elsewhere = gate.admit(make_order("b", 9, incarnation="former"))
            self.assertEqual(STALE_UNKNOWN, await get_code(elsewhere))

        self.run_with_gate(scenario, max_cached_outcomes=1)

    def test_waiting_orders_are_bounded(self):
        """Guards against a queue of orders that grows without limit."""

        async def scenario(gate, engine):
            orders = [make_order(f"a{n}", 5, sequence=n) for n in range(3)]
            tasks = await start(gate, *orders)
            code = await get_code(tasks[2])
            self.assertEqual(ErrorCode.TOO_MANY_REQUESTS, code[0])
            engine.proceed.set()
            await asyncio.gather(*tasks[:2])

        self.run_with_gate(scenario, max_waiting=1)


class StoreCase(testtools.TestCase):
    """Base class that sets up a store with the map of one group."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.ids = map(str, itertools.count())
        asyncio.run(
            create_document(self.store, GROUP, make_map(4, 2, 0), MEMBERS)
        )

    def make_id(self):
        return next(self.ids)

    def make_lease(self, owner="a"):
        return ControllerLease(
            self.store, self.clock, GROUP, owner, duration=LEASE, margin=MARGIN
        )

    def make_change(self, lease):
        return MapChange(self.store, GROUP, lease, self.make_id)


class TestControllerLease(StoreCase):
    """Conditions under which an instance may act as the controller."""

    def test_holder_stops_before_the_lease_expires(self):
        """Guards against two controllers that act at the same time."""

        async def run():
            lease, other = self.make_lease(), self.make_lease("b")
            self.assertTrue(await lease.acquire())
            self.assertFalse(await other.acquire())
            token = lease.get_token()
            self.clock.advance(LEASE - MARGIN)
            self.assertIsNone(lease.get_token())
            self.assertTrue(await lease.renew())
            self.assertEqual(token, lease.get_token())
            self.clock.advance(LEASE)
            self.assertTrue(await other.acquire())
            self.assertGreater(other.get_token(), token)
            self.assertFalse(await lease.renew())
            self.assertIsNone(lease.get_token())

        asyncio.run(run())

    def test_lost_response_is_read_back(self):
        """Guards against a lease whose holder does not know that it has it."""

        async def run():
            lease = self.make_lease()
            self.store.lose_answers = 1
            self.assertTrue(await lease.acquire())
            await lease.release()
            self.assertTrue(await self.make_lease("b").acquire())

        asyncio.run(run())

    def test_restarted_holder_takes_over_its_own_lease(self):
        """Guards against a restart that leaves a group without controller."""

        async def run():
            lease = self.make_lease()
            self.assertTrue(await lease.acquire())
            restarted = self.make_lease()
            self.assertTrue(await restarted.acquire())
            self.assertGreater(restarted.get_token(), lease.get_token())
            self.assertFalse(await self.make_lease("b").acquire())

        asyncio.run(run())

    def test_margin_must_be_below_duration(self):
        """Guards against a margin that leaves the holder no time to act."""
        self.assertRaises(
            ChicoryplankError,
            ControllerLease,
            self.store,
            self.clock,
            GROUP,
            "a",
            duration=LEASE,
            margin=LEASE,
        )


class TestMapChange(StoreCase):
    """Recorded transitions of a change of the expert map."""

    async def prepare(self):
        lease = self.make_lease()
        await lease.acquire()
        change = self.make_change(lease)
        await change.load()
        await change.begin(make_map(4, 2, 2), stop_step=3)
        await change.record_prepared(
            Prepared(1, rank, name) for rank, name in MEMBERS.items()
        )
        return lease, change

    def test_another_controller_continues(self):
        """Guards against state that exists at the former controller only."""

        async def run():
            lease, first = await self.prepare()
            await lease.release()
            lease = self.make_lease("b")
            await lease.acquire()
            second = self.make_change(lease)
            document = await second.load()
            self.assertIs(Phase.READY, document.phase)
            await second.decide()
            code = await get_code(first.decide())
            self.assertEqual(ErrorCode.LEASE_LOST, code[0])
            await second.finish({0: 4, 1: 4})
            document, _ = await read_document(self.store, GROUP)
            self.assertEqual(make_map(4, 2, 2), document.in_force)
            self.assertIs(Phase.IDLE, document.phase)

        asyncio.run(run())

    def test_lost_response_of_the_decision(self):
        """Guards against a recorded decision that its controller abandons."""

        async def run():
            _, change = await self.prepare()
            self.store.lose_answers = 1
            await change.decide()
            document, revision = await read_document(self.store, GROUP)
            self.assertEqual(document, change.document)
            self.assertEqual(revision, change.revision)
            code = await get_code(change.abort())
            self.assertEqual(ErrorCode.INVARIANT_VIOLATED, code[0])

        asyncio.run(run())

    def test_verdict_if_the_outcome_cannot_be_read_back(self):
        """Guards against NOT_RUN for a decision that may be recorded."""

        async def fail(key):
            raise StoreError("the store is down", Verdict.NOT_RUN)

        async def run():
            _, change = await self.prepare()
            self.store.lose_answers = 1
            self.store.read = fail
            code = await get_code(change.decide())
            expected = (ErrorCode.STORE_UNAVAILABLE, Verdict.MAY_HAVE_RUN)
            self.assertEqual(expected, code)

        asyncio.run(run())

    def test_replacement_discards_the_vote(self):
        """Guards against a decision on the vote of a replaced rank."""

        async def run():
            _, change = await self.prepare()
            await join_group(self.store, GROUP, 1, "1-b", self.make_id)
            code = await get_code(change.decide())
            self.assertEqual(ErrorCode.MAP_CHANGE_CONFLICT, code[0])
            document = await change.load()
            self.assertIs(Phase.PREPARING, document.phase)
            await change.record_prepared([Prepared(1, 1, "1-a")])
            code = await get_code(change.decide())
            self.assertEqual(ErrorCode.INVARIANT_VIOLATED, code[0])

        asyncio.run(run())

    def test_stored_token_covers_expired_leases(self):
        """Guards against a restarted agent that accepts expired controllers."""

        async def run():
            lease, _ = await self.prepare()
            token = lease.get_token()
            self.clock.advance(2 * LEASE)
            self.assertEqual(token, await read_highest_token(self.store, GROUP))

        asyncio.run(run())

    def test_map_with_wrong_digest_is_rejected(self):
        """Guards against a recorded map that does not match its digest."""

        async def run():
            record = await self.store.read(f"groups/{GROUP}/map")
            damaged = record.value.replace(b"[[0, 1]", b"[[1, 0]")
            self.assertRaises(ChicoryplankError, decode_document, damaged)

        asyncio.run(run())
