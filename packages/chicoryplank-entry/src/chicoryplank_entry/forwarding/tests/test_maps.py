"""Tests of map control with a simulated group and an in-memory store.

Load pattern: the demand for experts shifts repeatedly.
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
from chicoryplank_entry.forwarding.change_history import (
    ChangeHistory,
    DemandLifetime,
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
    """Loads reflect recent choices, also after restarts of ranks."""

    def test_recent_choices_weigh_more(self):
        """Guards against maps for an outdated demand."""
        demand = Demand(decay_time_s=1.0)
        rank = InstanceId("r")
        demand.observe({rank: (0, 0)}, 0.0)
        demand.observe({rank: (100, 0)}, 1.0)
        demand.observe({rank: (100, 100)}, 4.0)
        ((first, second),) = demand.list_loads(1)
        self.assertLess(first, 10)
        self.assertEqual(100, second)

    def test_restarted_rank_adds_nothing(self):
        """Guards against negative loads after a restart."""
        demand = Demand(decay_time_s=1.0)
        rank = InstanceId("r")
        demand.observe({rank: (500, 500)}, 0.0)
        demand.observe({rank: (3, 4)}, 0.1)
        self.assertEqual(0, demand.total)
        demand.observe({rank: (4, 5)}, 0.1)
        self.assertEqual(2, demand.total)

    def test_first_counts_of_a_rank_add_nothing(self):
        """Guards against a load that includes the whole past of a rank."""
        demand = Demand(decay_time_s=1.0)
        demand.observe({InstanceId("r"): (500, 500)}, 0.0)
        self.assertEqual(0, demand.total)

    def test_rank_with_other_experts_adds_nothing(self):
        """Guards against a rank with malformed counts that stops control."""
        demand = Demand(decay_time_s=1.0)
        first, second = InstanceId("r"), InstanceId("s")
        demand.observe({first: (0, 0), second: (0,)}, 0.0)
        demand.observe({first: (3, 4), second: (9,)}, 0.0)
        self.assertEqual([[3, 4]], demand.list_loads(1))


class TestDemandLifetime(testtools.TestCase):
    """The expected lifetime follows the observed shifts."""

    def test_frequent_shifts_shorten_it(self):
        """Guards against large changes for a demand that shifts often."""
        lifetime = DemandLifetime()
        before_s = lifetime.estimate_remaining_s(0.0)
        for shift in range(8):
            lifetime.observe(2.5, 1.2, 2.0 * shift)
        self.assertLess(lifetime.estimate_remaining_s(14.0), 2.5)
        self.assertGreater(before_s, 2.5)

    def test_steady_demand_lengthens_it(self):
        """Guards against small changes for a demand that lasts."""
        lifetime = DemandLifetime()
        lifetime.observe(2.5, 1.2, 0.0)
        lifetime.observe(2.5, 1.2, 2.0)
        lifetime.observe(1.3, 1.2, 40.0)
        self.assertEqual(38.0, lifetime.estimate_remaining_s(40.0))

    def test_gradual_rise_is_one_shift(self):
        """Guards against counting each reading of one shift."""
        lifetime = DemandLifetime()
        for reading in range(10):
            lifetime.observe(2.0 + 0.1 * reading, 1.2, 0.1 * reading)
        self.assertGreater(lifetime.estimate_remaining_s(1.0), 2.5)


class TestChangeHistory(testtools.TestCase):
    """Later changes are weighed by what earlier ones took and reached."""

    def test_slow_changes_count(self):
        """Guards against small changes that take longer than they gain."""
        history = ChangeHistory()
        for _ in range(20):
            history.observe_duration(1.3, 0.3)
        self.assertAlmostEqual(1.0, history.fixed_s, places=2)

    def test_missed_predictions_count(self):
        """Guards against changes that follow the noise of the counts."""
        history = ChangeHistory()
        for _ in range(100):
            history.observe_skew(1.4, 1.1)
        self.assertAlmostEqual(0.3, history.skew_error, places=2)

    def test_hold_leads_by_the_time_to_arm(self):
        """Guards against a group that stalls while its ranks are armed.

        Each stall of a group of 192 ranks made all its streams late.
        """
        history = ChangeHistory()
        self.assertGreater(history.get_hold_lead_s(192), 0.15)
        self.assertEqual(0.05, history.get_hold_lead_s(4))
        history.observe_held(0.07)
        history.observe_held(0.21)
        history.observe_held(0.07)
        self.assertGreater(history.get_hold_lead_s(192), 0.21)
        for _ in range(60):
            history.observe_held(0.07)
        self.assertLess(history.get_hold_lead_s(192), 0.1)

    def test_lead_of_a_hold_is_bounded(self):
        """Guards against maps that come long after their demand."""
        history = ChangeHistory()
        history.observe_held(9.0)
        self.assertLess(history.get_hold_lead_s(192), 1.0)

    def test_shift_is_no_missed_prediction(self):
        """Guards against distrusting all maps because the demand moved."""
        history = ChangeHistory()
        before = history.skew_error
        history.observe_skew(2.5, 1.1)
        self.assertEqual(before, history.skew_error)


class _RankPort:
    """Connection to a simulated rank, with counts that follow the demand."""

    def __init__(self, simulation, index):
        self._simulation = simulation
        self._index = index

    async def read_state(self):
        return self._simulation.group.read(self._index)

    async def read_counts(self, with_experts):
        simulation = self._simulation
        return RankCounts(
            simulation.group.epoch,
            simulation.group.step,
            tuple(simulation.counts[self._index]),
            (tuple(simulation.slots[self._index]),) if with_experts else None,
        )

    async def place(self, order):
        simulation = self._simulation
        if order.operation in simulation.lost_operations:
            return OrderResult.UNKNOWN
        result = simulation.group.apply(self._index, order)
        if order.experts and result is OrderResult.ACCEPTED:
            simulation.maps[order.version] = order.experts
        return result


class _Simulation:
    """Simulation of a group whose demand can be changed."""

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
        self.state.activate(
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
        # Operations that are not carried out and get no response.
        self.lost_operations = set()

    def make_controller(self, service=ModelGroupId(_SERVICE), owner="own"):  # noqa: B008
        return MapController(
            self.store,
            self.clock,
            self.state,
            service=service,
            owner=InstanceId(owner),
            make_rank_port=lambda record: _RankPort(
                self, int(record.instance.rpartition("-")[2])
            ),
        )

    async def run(self, ticks, with_steps=True):
        for tick in range(ticks):
            self.clock.advance(_TICK)
            for rank in range(_RANKS):
                for expert, weight in enumerate(self.weights):
                    self.counts[rank][expert] += round(20 * weight)
            if with_steps and tick % 4 == 0:
                self.group.begin_step()
            for _ in range(30):
                await asyncio.sleep(0)

    def measure_skew(self):
        version = self.group.ranks[0].version
        return compute_joint_skew(self.maps[version], [self.weights])


class TestMapController(testtools.TestCase):
    """The controller follows the demand and changes no map without need."""

    def _run(self, work):
        async def run():
            simulation = _Simulation()
            controller = simulation.make_controller()
            await controller.lease.acquire()
            task = asyncio.ensure_future(controller.run())
            try:
                return await work(simulation, controller)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        return asyncio.run(run())

    def test_map_follows_a_shift(self):
        """Guards against a group that stays slowed down by one busy rank."""

        async def work(simulation, controller):
            await simulation.run(50)
            simulation.weights = [8.0] * 4 + [1.0] * 12
            before = simulation.measure_skew()
            await simulation.run(150)
            return before, simulation.measure_skew()

        before, after = self._run(work)
        self.assertGreater(before, 2.5)
        self.assertLess(after, 1.6)

    def test_even_demand_causes_no_change(self):
        """Guards against copying experts without a gain."""

        async def work(simulation, controller):
            await simulation.run(300)
            return simulation.group.switches

        self.assertEqual(0, self._run(work))

    def test_short_steps_cause_no_change(self):
        """Guards against copying experts while all responses are on time."""

        async def work(simulation, controller):
            simulation.weights = [3.0] * 4 + [1.0] * 12
            for _ in range(300):
                simulation.group.begin_step()
                await simulation.run(1)
            return simulation.group.switches

        self.assertEqual(0, self._run(work))

    def test_new_epoch_is_detected(self):
        """Guards against a controller that keeps the map of an old epoch."""

        async def work(simulation, controller):
            simulation.weights = [8.0] * 4 + [1.0] * 12
            await simulation.run(150)
            simulation.group.restart()
            simulation.maps = {0: (tuple(map(tuple, simulation.slots)),)}
            first = simulation.measure_skew()
            await simulation.run(150)
            return first, simulation.measure_skew()

        first, after = self._run(work)
        self.assertGreater(first, 2.5)
        self.assertLess(after, 1.6)

    def test_hold_of_a_dead_controller_is_released(self):
        """Guards against a group that stays stalled forever."""

        async def work(simulation, controller):
            simulation.group.ranks[2].held_step = simulation.group.step + 3
            await simulation.run(200)
            return simulation.group.step, simulation.group.ranks[2].held_step

        step, held_step = self._run(work)
        self.assertIsNone(held_step)
        self.assertGreater(step, 20)


class TestNewGroup(testtools.TestCase):
    """A group opens after requests have waited for it."""

    def test_first_change_is_early(self):
        """Guards against a new group that keeps its slow initial map for long.

        Callers give up after 2 s without output; the change must come within
        half of that time.
        """

        async def run():
            simulation = _Simulation()
            simulation.weights = [8.0] * 4 + [1.0] * 12
            simulation.group.is_open = False
            controller = simulation.make_controller()
            await controller.lease.acquire()
            task = asyncio.ensure_future(controller.run())
            await simulation.run(25, with_steps=False)
            simulation.group.is_open = True
            ticks = 0
            while not simulation.group.switches and ticks < 300:
                await simulation.run(1)
                ticks += 1
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return ticks * _TICK

        self.assertLess(asyncio.run(run()), timedelta(seconds=1))


class TestFrozenController(testtools.TestCase):
    """The controller freezes right after it has placed a hold on a rank."""

    def test_group_resumes_before_callers_give_up(self):
        """Guards against a group that stalls as long as its controller.

        Callers abandon a stream after 2 s without output.
        """

        async def run():
            simulation = _Simulation()
            frozen = simulation.make_controller(owner="frozen")
            await frozen.lease.acquire()
            token = frozen.lease.get_token()
            step = simulation.group.step + 3
            simulation.group.ranks[1].held_step = step
            simulation.group.ranks[1].token = token
            names = [InstanceId("frozen"), InstanceId("other")]
            election = Election(
                lambda service: simulation.make_controller(service, "other"),
                simulation.state,
                list_live_members=lambda: names,
                owner=names[1],
                clock=simulation.clock,
                get_lease_holder=lambda service: (
                    names[0] if frozen.lease.get_token() is not None else None
                ),
            )
            await election.start()
            ticks = 0
            while simulation.group.step < step and ticks < 500:
                await simulation.run(1)
                ticks += 1
            await election.stop()
            return ticks * _TICK, simulation.group

        stall_time, group = asyncio.run(run())
        self.assertLess(stall_time, timedelta(seconds=2))
        # A late order of the frozen controller to arm is rejected by every
        # rank.
        self.assertTrue(all(rank.highest_version > 0 for rank in group.ranks))


class TestStoreOutageDuringChange(testtools.TestCase):
    """The store fails between a hold and its release."""

    def test_group_resumes_while_the_store_is_unavailable(self):
        """Guards against a group that stalls as long as the store is down.

        No successor can acquire the lease meanwhile, and callers abandon a
        stream after 2 s without output.
        """

        async def run():
            simulation = _Simulation()
            simulation.lost_operations.add(Operation.ARM)
            controller = simulation.make_controller()
            await controller.lease.acquire()
            task = asyncio.ensure_future(controller.run())
            simulation.weights = [8.0] * 4 + [1.0] * 12
            ticks = 0
            while ticks < 500 and all(
                rank.held_step is None for rank in simulation.group.ranks
            ):
                await simulation.run(4)
                ticks += 4
            simulation.store.available = False
            step = simulation.group.step
            # The lease expires during this time.
            await simulation.run(75)
            simulation.lost_operations.clear()
            await simulation.run(50)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return ticks, simulation.group.step - step

        ticks, steps = asyncio.run(run())
        self.assertLess(ticks, 500)
        self.assertGreater(steps, 15)


class TestSlowStore(testtools.TestCase):
    """The responses of the store are many times slower than usual."""

    def test_lease_is_kept(self):
        """Guards against losing the lease while the store is slow."""

        async def run():
            simulation = _Simulation()
            controller = simulation.make_controller()
            await controller.lease.acquire()
            renew = simulation.store.renew_lease

            async def renew_slowly(lease):
                renewed = await renew(lease)
                await simulation.clock.sleep(timedelta(milliseconds=350))
                return renewed

            simulation.store.renew_lease = renew_slowly
            task = asyncio.ensure_future(controller.run())
            await simulation.run(400)
            token = controller.lease.get_token()
            is_running = not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return token, is_running

        token, is_running = asyncio.run(run())
        self.assertIsNotNone(token)
        self.assertTrue(is_running)


class TestElection(testtools.TestCase):
    """One entry controls a group, and another takes over after it stops."""

    def test_successor_takes_over(self):
        """Guards against a group without a controller."""

        async def run():
            simulation = _Simulation()
            names = [InstanceId("a"), InstanceId("b")]
            holders = {}

            def make_election(name):
                def make_controller(service):
                    controller = simulation.make_controller(service, name)
                    holders[name] = controller
                    return controller

                return Election(
                    make_controller,
                    simulation.state,
                    list_live_members=lambda: names,
                    owner=name,
                    clock=simulation.clock,
                    get_lease_holder=lambda service: next(
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
            await simulation.run(100)
            before = list_holders()
            await first.stop()
            await simulation.run(200)
            after = list_holders()
            await second.stop()
            return before, after

        before, after = asyncio.run(run())
        self.assertEqual((["a"], ["b"]), (before, after))
