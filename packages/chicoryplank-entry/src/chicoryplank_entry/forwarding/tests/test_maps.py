"""Load pattern: the demand for experts shifts again and again.

The ranks are a model in memory; the store is the one of the library's tests.
"""

import asyncio
import random
from datetime import timedelta

import testtools

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import ManualClock
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import (
    ConfigVersion,
    InstanceId,
    ModelGroupId,
    ServiceId,
    ZoneId,
)
from chicoryplank.orders import Operation, OrderResult, RankCounts
from chicoryplank.orders.tests.group_model import Group
from chicoryplank.rebalance import compute_joint_skew
from chicoryplank.traffic import (
    EngineProfile,
    ReplicaRecord,
    ReplicaState,
    RequestKind,
    Route,
    Service,
    Share,
    TrafficConfiguration,
)
from chicoryplank_entry.forwarding.demand import Demand
from chicoryplank_entry.forwarding.election import Election
from chicoryplank_entry.forwarding.maps import MapController
from chicoryplank_entry.forwarding.state import EntryState

_SERVICE = ServiceId("llm")
_RANKS = 4
_EXPERTS = 16
_ENGINE = EngineProfile(
    slots=4,
    layer_sets=1,
    experts=_EXPERTS,
    max_experts=6,
    max_new_experts=2,
    expert_share=0.85,
)
_TICK = timedelta(milliseconds=20)


class TestDemand(testtools.TestCase):
    """Loads are the choices of late, whatever ranks do."""

    def test_recent_choices_count(self):
        """Guards against maps for a demand that has passed."""
        demand = Demand(memory_s=1.0)
        rank = InstanceId("r")
        demand.observe({rank: (0, 0)}, 0.0)
        demand.observe({rank: (100, 0)}, 1.0)
        demand.observe({rank: (100, 100)}, 4.0)
        ((first, second),) = demand.list_sets(1)
        self.assertLess(first, 10)
        self.assertEqual(100, second)

    def test_restarted_rank_adds_nothing(self):
        """Guards against counts below zero after a restart."""
        demand = Demand(memory_s=1.0)
        rank = InstanceId("r")
        demand.observe({rank: (500, 500)}, 0.0)
        demand.observe({rank: (3, 4)}, 0.1)
        self.assertEqual(0, demand.total)
        demand.observe({rank: (4, 5)}, 0.1)
        self.assertEqual(2, demand.total)

    def test_first_counts_of_a_rank_add_nothing(self):
        """Guards against a demand made of a rank's whole past."""
        demand = Demand(memory_s=1.0)
        demand.observe({InstanceId("r"): (500, 500)}, 0.0)
        self.assertEqual(0, demand.total)


class _Port:
    """A rank of the model, with counts that follow a demand."""

    def __init__(self, world, index):
        self._world = world
        self._index = index

    async def read_state(self):
        return self._world.group.read(self._index)

    async def read_counts(self, with_experts):
        world = self._world
        return RankCounts(
            world.group.epoch,
            world.group.step,
            tuple(world.counts[self._index]),
            (tuple(world.slots[self._index]),) if with_experts else None,
        )

    async def place(self, order):
        world = self._world
        if order.operation in world.unanswered:
            return OrderResult.UNKNOWN
        result = world.group.apply(self._index, order)
        if order.experts and result is OrderResult.ACCEPTED:
            world.maps[order.version] = order.experts
        return result


class _World:
    """A group whose demand can be shifted."""

    def __init__(self):
        self.clock = ManualClock()
        self.group = Group(_RANKS, checks_fencing=True)
        size = _EXPERTS // _RANKS
        self.slots = [
            list(range(rank * size, (rank + 1) * size))
            for rank in range(_RANKS)
        ]
        self.maps = {0: (tuple(map(tuple, self.slots)),)}
        self.weights = [1.0] * _EXPERTS
        self.counts = [[0] * _EXPERTS for _ in range(_RANKS)]
        self.state = EntryState(
            self.clock,
            ZoneId("z"),
            random.Random(1),
            RetryBudgetParameters(),
            2.0,
        )
        self.state.registry.observe_recovery(0.0)
        route = Route(
            "r",
            "h",
            "/",
            RequestKind.STREAMING,
            (Share(_SERVICE, 1.0),),
            timedelta(seconds=8),
            timedelta(seconds=0.4),
            gap_target=timedelta(milliseconds=100),
        )
        self.state.apply(
            TrafficConfiguration(
                ConfigVersion(1),
                (route,),
                {_SERVICE: Service(_SERVICE, engine=_ENGINE)},
            )
        )
        for index in range(_RANKS):
            self.state.registry.put(
                ReplicaRecord(
                    InstanceId(f"rank-{index}"),
                    _SERVICE,
                    f"10.0.0.{index}:1",
                    ZoneId("z"),
                    4,
                    ReplicaState.READY,
                )
            )
        self.store = MemoryStore(self.clock)
        # Operations that get no answer and are not carried out.
        self.unanswered = set()

    def make_controller(self, service=ModelGroupId(_SERVICE), owner="own"):  # noqa: B008
        return MapController(
            self.store,
            self.clock,
            self.state,
            service=service,
            owner=InstanceId(owner),
            make_rank=lambda record: _Port(
                self, int(record.instance.rpartition("-")[2])
            ),
        )

    async def run(self, ticks, passes=True):
        for tick in range(ticks):
            self.clock.advance(_TICK)
            for rank in range(_RANKS):
                for expert, weight in enumerate(self.weights):
                    self.counts[rank][expert] += round(20 * weight)
            if passes and tick % 4 == 0:
                self.group.begin_step()
            for _ in range(30):
                await asyncio.sleep(0)

    def measure_skew(self):
        version = self.group.ranks[0].version
        return compute_joint_skew(self.maps[version], [self.weights])


class TestMapController(testtools.TestCase):
    """The controller follows the demand and moves nothing without need."""

    def _run(self, work):
        async def run():
            world = _World()
            controller = world.make_controller()
            await controller.lease.acquire()
            task = asyncio.ensure_future(controller.run())
            try:
                return await work(world, controller)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        return asyncio.run(run())

    def test_map_follows_a_shift(self):
        """Guards against a group that stays as slow as its busiest rank."""

        async def work(world, controller):
            await world.run(50)
            world.weights = [8.0] * 4 + [1.0] * 12
            before = world.measure_skew()
            await world.run(150)
            return before, world.measure_skew()

        before, after = self._run(work)
        self.assertGreater(before, 2.5)
        self.assertLess(after, 1.6)

    def test_even_demand_moves_nothing(self):
        """Guards against copies that gain nothing."""

        async def work(world, controller):
            await world.run(300)
            return world.group.switches

        self.assertEqual(0, self._run(work))

    def test_short_passes_move_nothing(self):
        """Guards against copies while every answer is in time anyway."""

        async def work(world, controller):
            world.weights = [3.0] * 4 + [1.0] * 12
            for _ in range(300):
                world.group.begin_step()
                await world.run(1)
            return world.group.switches

        self.assertEqual(0, self._run(work))

    def test_new_epoch_is_noticed(self):
        """Guards against a controller that trusts a map that is gone."""

        async def work(world, controller):
            world.weights = [8.0] * 4 + [1.0] * 12
            await world.run(150)
            world.group.restart()
            world.maps = {0: (tuple(map(tuple, world.slots)),)}
            first = world.measure_skew()
            await world.run(150)
            return first, world.measure_skew()

        first, after = self._run(work)
        self.assertGreater(first, 2.5)
        self.assertLess(after, 1.6)

    def test_hold_of_a_dead_controller_is_released(self):
        """Guards against a group that stands still for good."""

        async def work(world, controller):
            world.group.ranks[2].held_step = world.group.step + 3
            await world.run(200)
            return world.group.step, world.group.ranks[2].held_step

        step, held_step = self._run(work)
        self.assertIsNone(held_step)
        self.assertGreater(step, 20)


class TestGroupThatForms(testtools.TestCase):
    """Load pattern: a group opens anew, and requests have waited for it."""

    def test_first_change_comes_soon(self):
        """Guards against a group that begins with its slowest map for long.

        Callers that waited for the group give up after 2 s of silence; the
        change must come within the first half of that.
        """

        async def run():
            world = _World()
            world.weights = [8.0] * 4 + [1.0] * 12
            world.group.is_open = False
            controller = world.make_controller()
            await controller.lease.acquire()
            task = asyncio.ensure_future(controller.run())
            await world.run(25, passes=False)
            world.group.is_open = True
            ticks = 0
            while not world.group.switches and ticks < 300:
                await world.run(1)
                ticks += 1
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return ticks * _TICK

        self.assertLess(asyncio.run(run()), timedelta(seconds=1))


class TestControllerThatFreezes(testtools.TestCase):
    """Load pattern: the controller stands still right after its hold."""

    def test_group_goes_on_before_callers_give_up(self):
        """Guards against a group that stands still as long as the controller.

        Callers give a stream up after 2 s of silence.
        """

        async def run():
            world = _World()
            frozen = world.make_controller(owner="frozen")
            await frozen.lease.acquire()
            token = frozen.lease.get_token()
            step = world.group.step + 3
            world.group.ranks[1].held_step = step
            world.group.ranks[1].token = token
            names = [InstanceId("frozen"), InstanceId("other")]
            election = Election(
                lambda service: world.make_controller(service, "other"),
                world.state,
                list_members=lambda: names,
                owner=names[1],
                clock=world.clock,
                find_holder=lambda service: (
                    names[0] if frozen.lease.get_token() is not None else None
                ),
            )
            await election.start()
            ticks = 0
            while world.group.step < step and ticks < 500:
                await world.run(1)
                ticks += 1
            await election.stop()
            return ticks * _TICK, world.group

        stood, group = asyncio.run(run())
        self.assertLess(stood, timedelta(seconds=2))
        # A late order to arm of the frozen controller fits no rank.
        self.assertTrue(all(rank.highest_version > 0 for rank in group.ranks))


class TestStoreLostDuringChange(testtools.TestCase):
    """Load pattern: the store goes away between a hold and its release."""

    def test_group_goes_on_while_the_store_is_away(self):
        """Guards against a group that stands still as long as the store.

        No successor can take the lease then, and callers give a stream up
        after 2 s of silence.
        """

        async def run():
            world = _World()
            world.unanswered.add(Operation.ARM)
            controller = world.make_controller()
            await controller.lease.acquire()
            task = asyncio.ensure_future(controller.run())
            world.weights = [8.0] * 4 + [1.0] * 12
            ticks = 0
            while ticks < 500 and all(
                rank.held_step is None for rank in world.group.ranks
            ):
                await world.run(4)
                ticks += 4
            world.store.available = False
            step = world.group.step
            # The lease lapses meanwhile.
            await world.run(75)
            world.unanswered.clear()
            await world.run(50)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return ticks, world.group.step - step

        ticks, passes = asyncio.run(run())
        self.assertLess(ticks, 500)
        self.assertGreater(passes, 15)


class TestLeaseOfSlowStore(testtools.TestCase):
    """Load pattern: the store answers many times more slowly."""

    def test_lease_is_kept(self):
        """Guards against control that is lost while the store is slow."""

        async def run():
            world = _World()
            controller = world.make_controller()
            await controller.lease.acquire()
            renew = world.store.renew_lease

            async def renew_slowly(lease):
                renewed = await renew(lease)
                await world.clock.sleep(timedelta(milliseconds=350))
                return renewed

            world.store.renew_lease = renew_slowly
            task = asyncio.ensure_future(controller.run())
            await world.run(400)
            token = controller.lease.get_token()
            is_running = not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return token, is_running

        token, is_running = asyncio.run(run())
        self.assertIsNotNone(token)
        self.assertTrue(is_running)


class TestElection(testtools.TestCase):
    """One entry controls a group, and another one follows it."""

    def test_successor_takes_over(self):
        """Guards against a group that nobody controls."""

        async def run():
            world = _World()
            names = [InstanceId("a"), InstanceId("b")]
            holders = {}

            def make_election(name):
                def make_controller(service):
                    made = world.make_controller(service, name)
                    holders[name] = made
                    return made

                return Election(
                    make_controller,
                    world.state,
                    list_members=lambda: names,
                    owner=name,
                    clock=world.clock,
                    find_holder=lambda service: next(
                        iter(list_holders()), None
                    ),
                )

            def list_holders():
                return [
                    name
                    for name, item in holders.items()
                    if item.lease.get_token() is not None
                ]

            first, second = map(make_election, names)
            await first.start()
            await second.start()
            await world.run(100)
            before = list_holders()
            await first.stop()
            await world.run(200)
            after = list_holders()
            await second.stop()
            return before, after

        before, after = asyncio.run(run())
        self.assertEqual((["a"], ["b"]), (before, after))
