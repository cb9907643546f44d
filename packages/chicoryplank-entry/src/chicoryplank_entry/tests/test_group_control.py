"""Tests of group controllers with fake engines and an in-memory store."""

import asyncio
import dataclasses
import random
from datetime import timedelta

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    EntrySettings,
    GroupConfiguration,
    Snapshot,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import ConfigVersion, InstanceId, ZoneId
from chicoryplank.orders import ControllerLease, Phase, read_document
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank.rebalance import Decision, Reason, list_moves, make_map
from chicoryplank_entry.engines import EngineReport, RankState, read_report
from chicoryplank_entry.group_controller import (
    GroupController,
    choose_candidates,
    choose_outdated_engine,
)
from chicoryplank_entry.map_control import MapController
from chicoryplank_wire import control_pb2

_GROUP = "llm"
_EXPERTS = 4
_FIRST = make_map(_EXPERTS, 2, 0)
_NEXT = dataclasses.replace(_FIRST, slots=((0, 2), (1, 3)))
_SECOND = timedelta(seconds=1)


class _FixedPolicy:
    """Rebalance policy that always chooses the same map."""

    def observe(self, loads, now):
        del now
        self.loads = loads

    def choose_cooperatively(self, expert_map, now):
        del now
        yield
        moves = list_moves(expert_map, _NEXT, 10)
        return Decision(_NEXT, moves, 1.5, 1.1, Reason.GAIN)


class _FakeEngine:
    """Engine with one rank that carries out map orders in memory."""

    def __init__(self, rank):
        self.rank = rank
        self.incarnation = f"engine-{rank}-a"
        self.step = 100
        self.state = RankState(_FIRST.digest, "", None)
        self.stop_step = 0
        self.is_unreachable = False
        self.joined = True
        self.orders = []

    def report(self):
        return EngineReport(
            agent=InstanceId(f"agent-{self.rank}"),
            incarnation=f"agent-{self.rank}-a",
            ready=True,
            engine_incarnation=self.incarnation,
            step=self.step,
            version="v1",
            experts=_EXPERTS,
            spare_slots=0,
            total_ranks=2,
            ranks={self.rank: self.state},
            loads=(1, 2, 3, 4),
            joined=self.joined,
        )

    def order(self, kind, arguments):
        if self.is_unreachable:
            raise ChicoryplankError(ErrorCode.MEMBER_UNREACHABLE, "no response")
        self.orders.append(kind)
        if kind == "join_map":
            return self.start(arguments)
        digest, state = arguments["digest"], self.state
        if kind == "prepare_map":
            self.state = dataclasses.replace(state, prepared=digest)
            self.stop_step = arguments["stop_step"]
        elif kind == "decide_map":
            first = arguments["first_step"]
            self.state = dataclasses.replace(state, first_step=first)
        elif state.prepared == digest:
            self.state = dataclasses.replace(state, prepared="")
        return self.incarnation

    def start(self, arguments):
        self.state = RankState(
            arguments["digest"],
            arguments.get("next_digest", ""),
            arguments.get("first_step"),
        )
        self.step = arguments["step"]
        self.joined = True
        return self.incarnation

    def replace(self):
        self.incarnation += "-new"
        self.joined = False
        self.step = 0
        self.state = RankState(_FIRST.digest, "", None)

    def run_until(self, step):
        """Runs steps, but not past the stop step of an undecided change."""
        while self.step < step:
            state = self.state
            undecided = state.prepared and state.first_step is None
            if undecided and self.step >= self.stop_step:
                return
            if state.first_step is not None and self.step >= state.first_step:
                self.state = RankState(state.prepared, "", None)
            self.step += 1


class _FakeEngineClient:
    """Engine client that passes orders directly to the fake engines."""

    def __init__(self, engines):
        self.engines = {f"agent-{item.rank}": item for item in engines}

    async def place_order(self, report, kind, arguments):
        return self.engines[report.agent].order(kind, arguments)


class TestMapController(testtools.TestCase):
    """Tests of an expert map change in single control rounds."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.engines = [_FakeEngine(0), _FakeEngine(1)]

    async def make_controller(self, owner="entry-1"):
        lease = ControllerLease(self.store, self.clock, _GROUP, owner)
        self.assertTrue(await lease.acquire())
        engine_client = _FakeEngineClient(self.engines)
        return MapController(
            _GROUP,
            self.store,
            lease,
            engine_client,
            self.clock,
            policy=_FixedPolicy(),
        )

    async def run_round(self, controller, engines=None):
        reports = [item.report() for item in engines or self.engines]
        await controller.run_round(2, {item.agent: item for item in reports})
        return (await read_document(self.store, _GROUP))[0]

    async def begin(self):
        controller = await self.make_controller()
        await self.run_round(controller)
        return controller, await self.run_round(controller)

    def test_complete_change(self):
        """Guards against a change that is decided but never finished."""

        async def run():
            controller, document = await self.begin()
            self.assertIs(Phase.DECIDED, document.phase)
            first = document.decision.first_step
            for engine in self.engines:
                engine.run_until(first)
            document = await self.run_round(controller)
            self.assertIs(Phase.DECIDED, document.phase)
            for engine in self.engines:
                engine.run_until(first + 1)
                self.assertEqual(_NEXT.digest, engine.state.digest)
            document = await self.run_round(controller)
            self.assertIs(Phase.IDLE, document.phase)
            self.assertEqual(_NEXT.digest, document.in_force.digest)

        asyncio.run(run())

    def test_unreachable_rank_aborts_the_change(self):
        """Guards against a group that waits forever for an unreachable rank."""

        async def run():
            self.engines[1].is_unreachable = True
            controller, document = await self.begin()
            self.assertIs(Phase.PREPARING, document.phase)
            self.clock.advance(5 * _SECOND)
            document = await self.run_round(controller)
            self.assertIs(Phase.IDLE, document.phase)
            self.assertEqual("", self.engines[0].state.prepared)
            self.assertNotIn("decide_map", self.engines[0].orders)

        asyncio.run(run())

    def test_successor_continues_a_change(self):
        """Guards against a change that is lost when its controller fails."""

        async def run():
            self.engines[1].is_unreachable = True
            await self.begin()
            self.engines[1].is_unreachable = False
            self.clock.advance(20 * _SECOND)
            successor = await self.make_controller("entry-2")
            document = await self.run_round(successor)
            self.assertIs(Phase.DECIDED, document.phase)
            self.assertEqual(1, document.last_change)

        asyncio.run(run())

    def test_prepare_vote_of_a_replaced_engine_is_ignored(self):
        """Guards against a decision based on the vote of a replaced engine."""

        async def run():
            controller = await self.make_controller()
            await self.run_round(controller)
            reports = [item.report() for item in self.engines]
            self.engines[1].incarnation = "engine-1-b"
            await controller.run_round(
                2, {item.agent: item for item in reports}
            )
            document, _ = await read_document(self.store, _GROUP)
            self.assertIs(Phase.PREPARING, document.phase)

        asyncio.run(run())

    def test_replacement_starts_with_the_decision(self):
        """Guards against a replacement that stays on the old map."""

        async def run():
            controller, document = await self.begin()
            first = document.decision.first_step
            self.engines[0].run_until(110)
            self.engines[1].replace()
            await self.run_round(controller)
            self.assertFalse(self.engines[1].joined)
            document = await self.run_round(controller)
            self.assertEqual(110, self.engines[1].step)
            member = self.engines[1].incarnation
            self.assertEqual(member, document.members[1])
            for engine in self.engines:
                engine.run_until(first + 1)
                self.assertEqual(_NEXT.digest, engine.state.digest)
            document = await self.run_round(controller)
            self.assertIs(Phase.IDLE, document.phase)

        asyncio.run(run())

    def test_replacement_waits_until_the_group_has_stopped(self):
        """Guards against a replacement that starts at a completed step."""

        async def run():
            controller, _ = await self.begin()
            self.engines[1].replace()
            for step in (110, 120, 120):
                self.assertFalse(self.engines[1].joined)
                self.engines[0].run_until(step)
                await self.run_round(controller)
            self.assertEqual(120, self.engines[1].step)

        asyncio.run(run())

    def test_expired_lease_stops_the_controller(self):
        """Guards against writes of a paused controller after lease expiry."""

        async def run():
            controller, document = await self.begin()
            self.clock.advance(20 * _SECOND)
            for engine in self.engines:
                engine.run_until(document.decision.first_step + 1)
            error = await self._get_error(controller)
            self.assertIs(ErrorCode.LEASE_LOST, error.code)

        asyncio.run(run())

    async def _get_error(self, controller):
        try:
            await self.run_round(controller)
        except ChicoryplankError as error:
            return error
        raise AssertionError("no error")

    def test_no_change_while_a_rank_is_missing(self):
        """Guards against a change that not every rank can prepare."""

        async def run():
            controller = await self.make_controller()
            await self.run_round(controller)
            document = await self.run_round(controller, self.engines[:1])
            self.assertEqual(0, document.last_change)

        asyncio.run(run())

    def test_partial_loads_are_not_used(self):
        """Guards against a change because one engine reported no loads."""

        async def run():
            controller = await self.make_controller()
            await self.run_round(controller)
            first, second = (item.report() for item in self.engines)
            second = dataclasses.replace(second, loads=())
            reports = {first.agent: first, second.agent: second}
            await controller.run_round(2, reports)
            document, _ = await read_document(self.store, _GROUP)
            self.assertEqual(0, document.last_change)

        asyncio.run(run())

    def test_stale_prepare_vote_is_withdrawn(self):
        """Guards against a rank that stays prepared for an aborted change."""

        async def run():
            controller = await self.make_controller()
            await self.run_round(controller)
            self.engines[0].order(
                "prepare_map", {"digest": "old", "stop_step": 500}
            )
            await self.run_round(controller, self.engines[:1])
            self.assertEqual("", self.engines[0].state.prepared)

        asyncio.run(run())


class TestSelection(testtools.TestCase):
    """Tests of the choice of candidates and of the replica to update."""

    def make_entry(self, name, zone, leaving=False):
        return Instance(
            InstanceId(name), "entry", ZoneId(zone), "", leaving=leaving
        )

    def test_one_candidate_in_each_zone(self):
        """Guards against store load that grows with the number of entries."""
        entries = tuple(
            self.make_entry(f"entry-{number}", f"zone-{number % 3}")
            for number in range(9)
        )
        chosen = choose_candidates(_GROUP, entries)
        zones = {item.zone for item in entries if item.instance in chosen}
        self.assertEqual((3, 3), (len(chosen), len(zones)))
        leaving = tuple(
            dataclasses.replace(item, leaving=item.instance in chosen)
            for item in entries
        )
        self.assertEqual(set(), chosen & choose_candidates(_GROUP, leaving))

    def choose(self, versions, agents, replicas):
        reports = {
            f"agent-{index}": dataclasses.replace(
                _FakeEngine(index).report(), version=version
            )
            for index, version in enumerate(versions)
        }
        group_configuration = GroupConfiguration(
            ("model",), "v2", replicas, 100
        )
        chosen = choose_outdated_engine(group_configuration, agents, reports)
        return chosen and next(iter(chosen.ranks))

    def test_one_replica_changes_at_a_time(self):
        """Guards against version changes that leave too few replicas."""
        self.assertEqual(1, self.choose(["v2", "v1", "v1"], 3, 3))
        self.assertIsNone(self.choose(["v2", "v2", "v2"], 3, 3))
        self.assertIsNone(self.choose(["v2", "v1"], 3, 2))
        self.assertEqual(1, self.choose(["v2", "v1"], 3, 1))


class _InstantClock(ManualClock):
    """Clock whose sleeps advance it and return immediately."""

    async def sleep(self, duration):
        self.advance(duration)
        await asyncio.sleep(0)


class _FailingStore(MemoryStore):
    """Store whose reads raise an exception that is no StoreError."""

    async def read(self, key):
        raise RuntimeError(key)


class TestGroupController(testtools.TestCase):
    """Tests of the task that competes for the lease."""

    def run_controller(self, store, clock):
        async def run():
            process_state = ProcessState()
            entry = self.make_entry()
            process_state.instances.write((entry,))
            group = GroupConfiguration(("model",), "v1", 1, 100)
            process_state.snapshot.write(
                Snapshot(ConfigVersion(1), {}, {_GROUP: group}, {})
            )
            controller = GroupController(
                _GROUP,
                EntrySettings(entry.instance, entry.zone, "", "", None, None),
                store,
                process_state,
                clock,
                rng=random.Random(1),
            )
            task = asyncio.create_task(controller.run())
            for _ in range(200):
                await asyncio.sleep(0)
            is_running = not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return is_running

        return asyncio.run(run())

    def make_entry(self):
        return Instance(InstanceId("entry-1"), "entry", ZoneId("a"), "")

    def test_failures_do_not_end_the_task(self):
        """Guards against a controller task that ends after a failure."""
        clock = _InstantClock()
        down = MemoryStore(clock)
        down.available = False
        for store in (down, _FailingStore(clock)):
            is_running = self.run_controller(store, clock)
            self.assertTrue(is_running)

    def test_token_is_recorded_and_the_lease_released(self):
        """Guards against an unrecorded token and an unreleased lease.

        Agents read the recorded token from the store.
        """

        async def read(store):
            token = await store.read(f"groups/{_GROUP}/token")
            return token, await store.read(f"groups/{_GROUP}/lease")

        clock = _InstantClock()
        store = MemoryStore(clock)
        is_running = self.run_controller(store, clock)
        token, lease = asyncio.run(read(store))
        self.assertTrue(is_running)
        self.assertGreater(int(token.value), 0)
        self.assertIsNone(lease)


class TestReports(testtools.TestCase):
    """Tests of the responses of agents."""

    def test_malformed_responses(self):
        """Guards against a malformed response that ends the controller."""
        for ranks in (b"", b"[]", b"{}", b'{"ranks": [{}]}', b"\xff"):
            reply = control_pb2.EngineReply(incarnation="a", ranks=ranks)
            self.assertIsNone(read_report("agent-1", reply))
