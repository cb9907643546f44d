"""Tests of the admission by class, on a model of a group in virtual time.

The loads are those that docs/design/scarce-and-uneven-capacity.md names; the
baseline is a first-in-first-out queue with the same slots.
"""

import random

import testtools

from chicoryplank.admission import ClassAdmission, ClassCount
from chicoryplank.admission.tests.class_model import (
    ROUTES,
    Load,
    Model,
    get_on_time,
    get_served,
)

_RECOVERY_S = 3.0
_SEEDS = range(1, 7)
_HELD = "group held for 4 s"
_LOADS = {
    "digest at 2.4 times for 6 s": lambda: Load({2: 2.4}),
    "draft at 1.8 times for 4 s": lambda: Load({0: 1.8}, 4.0, 8.0),
    "flood of digest": lambda: Load({2: 10.0}),
    "account at ten times": lambda: Load(account_factor=10.0),
    "immediate retries": lambda: Load({2: 2.4}, retry_at_once=True),
    "callers disconnect": lambda: Load({2: 2.4}, disconnect=0.03),
    "half of the ranks": lambda: Load(slot_factor=0.5),
    "pause of the group": lambda: Load(held=True, start_s=6.0, end_s=6.35),
    "slow rank": lambda: Load(step_factor=2.0),
    _HELD: lambda: Load(held=True, start_s=4.0, end_s=8.0),
}
_models = {}


def _run(name, *, fifo=False):
    """Returns the finished models of a load; each is run once."""
    key = name, fifo
    if key not in _models:
        _models[key] = [
            Model(_LOADS[name](), seed=seed, fifo=fifo).run() for seed in _SEEDS
        ]
    return _models[key]


def _select(name, start_s, end_s, *, fifo=False, **attributes):
    """Returns the requests of a period, of all seeds."""
    return [
        request
        for model in _run(name, fifo=fifo)
        for request in model.select(start_s, end_s, **attributes)
    ]


def _select_disturbed(name, **attributes):
    """Returns the requests from the cause until the recovery must be over."""
    load = _LOADS[name]()
    return _select(name, load.start_s, load.end_s + _RECOVERY_S, **attributes)


def _find_inversions(name):
    """Returns by how much less urgent classes are better off than allowed."""
    served = _measure(name, get_served)
    on_time = _measure(name, get_on_time)
    excess = {}
    for urgent, other in ((0, 1), (0, 2), (1, 2)):
        pair = f"{other} over {urgent}"
        excess["served", pair] = served[other] - served[urgent] - 0.05
        excess["on time", pair] = on_time[other] - on_time[urgent] - 0.15
    return excess


def _measure(name, get_share):
    """Returns a share of the disturbed requests of each class."""
    return {
        priority: get_share(_select_disturbed(name, priority=priority))
        for priority in ROUTES
    }


class TestLoads(testtools.TestCase):
    """Targets of the design page, for each load."""

    def _check_each(self, find_excess, names=tuple(_LOADS)):
        """Checks that no load has a value beyond its bound.

        Args:
            find_excess: Returns by how much a load misses its target, for
                each thing compared.
            names: The loads.
        """
        missed = {}
        for name in names:
            excess = find_excess(name)
            missed |= {
                (name, subject): round(value, 3)
                for subject, value in excess.items()
                if value > 0
            }
        self.assertEqual({}, missed)

    def test_no_priority_inversion(self):
        """Guards against an urgent route that is worse off than others."""
        names = _LOADS.keys() - {_HELD}
        self._check_each(_find_inversions, sorted(names))

    def test_no_priority_inversion_by_a_held_group(self):
        """Guards against a hold that costs urgent routes more than others."""
        self._check_each(_find_inversions, [_HELD])

    def test_no_class_or_account_is_starved(self):
        """Guards against a class or an account that gets next to nothing."""

        def find_excess(name):
            least = get_served(_select_disturbed(name)) / 4
            groups = {
                ("class", priority): _select_disturbed(name, priority=priority)
                for priority in ROUTES
            } | {
                ("account", account): _select_disturbed(name, account=account)
                for account in range(24)
            }
            return {key: least - get_served(groups[key]) for key in groups}

        self._check_each(find_excess)

    def test_recovery(self):
        """Guards against a shortage that outlasts its cause by over 3 s."""

        def find_excess(name):
            first_s = _run(name)[0].load.end_s + _RECOVERY_S
            group = _select(name, first_s, first_s + 3.0)
            return {"on time": 0.9 - get_on_time(group)}

        self._check_each(find_excess)

    def test_large_requests_are_admitted_alike(self):
        """Guards against a decision at the expense of long responses.

        All loads together give enough requests to tell chance from a bias.
        """
        for priority in ROUTES:
            group = [
                request
                for name in _LOADS
                for request in _select_disturbed(name, priority=priority)
            ]
            group.sort(key=lambda request: request.steps)
            count = len(group) // 4
            large, rest = group[-count:], group[:-count]
            difference = _get_started(rest) - _get_started(large)
            self.assertLessEqual(difference, 0.05, priority)

    def test_more_on_time_than_with_one_queue(self):
        """Guards against refusals that gain less than they lose.

        With many disconnecting callers, one queue has no backlog either; the
        bound leaves room for that load.
        """

        def find_excess(name):
            baseline = get_on_time(_select_disturbed(name, fifo=True)) - 0.02
            return {"on time": baseline - get_on_time(_select_disturbed(name))}

        self._check_each(find_excess)

    def test_usual_load_is_not_refused(self):
        """Guards against refusals while the group is fast enough."""
        model = Model(Load()).run()
        self.assertGreaterEqual(get_served(model.select(2.0, 16.0)), 0.99)


def _get_started(requests):
    """Returns the fraction of requests that had at least one event."""
    return sum(item.first_s is not None for item in requests) / len(requests)


class TestDecision(testtools.TestCase):
    """Limit, thresholds and floors of one entry."""

    def setUp(self):
        super().setUp()
        self.admission = ClassAdmission([0, 1, 2], random.Random(1))

    def _observe(self, ratio, load, until_s, from_s=0.0):
        for tick in range(round((until_s - from_s) / 0.02)):
            self.admission.observe_gap(ratio, load, from_s + tick * 0.02)

    def _count_admitted(self, priority, counts, now_s, attempts=200):
        return sum(
            self.admission.try_admit(priority, counts, 360, now_s)
            for _ in range(attempts)
        )

    def test_entry_without_measurements_recovers(self):
        """Guards against an entry that refuses all and so measures nothing."""
        self._observe(1.2, 150, 2.0)
        self.assertLess(self.admission.get_limit(360, 2.0), 150)
        for tick in range(31):
            limit = self.admission.get_limit(360, 3.0 + tick / 10)
        self.assertEqual(360, limit)

    def test_less_urgent_classes_are_refused_first(self):
        """Guards against a shortage that all classes share alike."""
        self._observe(0.921, 150, 2.0)
        counts = {name: ClassCount(50) for name in ROUTES}
        shares = [self._count_admitted(name, counts, 2.0) for name in ROUTES]
        self.assertEqual(sorted(shares, reverse=True), shares)
        self.assertGreater(shares[0], 190)
        self.assertLess(shares[2], 100)
        self.assertGreater(shares[2], 5)

    def test_unused_capacity_is_lent(self):
        """Guards against capacity kept for classes without demand."""
        self._observe(0.921, 150, 2.0)
        counts = {0: ClassCount(), 1: ClassCount(), 2: ClassCount(149)}
        self.assertGreater(self._count_admitted(2, counts, 2.0), 190)

    def test_a_pause_is_no_shortage(self):
        """Guards against refusals after the long gaps of one pause."""
        self._observe(0.5, 100, 2.0)
        for _ in range(3):
            self.admission.observe_gap(40.0, 100, 6.0)
        self._observe(0.5, 100, 6.5, from_s=6.02)
        counts = {1: ClassCount(100)}
        self.assertEqual(200, self._count_admitted(1, counts, 6.5))

    def test_a_group_that_is_slow_without_load(self):
        """Guards against refusals that cannot shorten the gaps."""
        self._observe(3.0, 100, 2.0)
        self.assertEqual(180, self.admission.get_limit(360, 2.0))

    def test_returns_are_in_order(self):
        """Guards against callers that all return at the same time."""
        self._observe(1.0, 150, 2.0)
        counts = {0: ClassCount(150), 2: ClassCount(150)}
        delays = [
            self.admission.schedule_return_s(
                2, counts, duration_s=1.0, entries=10, slots=360, now_s=2.0
            )
            for _ in range(4)
        ]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertGreater(delays[0], 0)

    def test_class_that_waits_in_vain_goes_first(self):
        """Guards against a class that gets no slot under strict priority."""
        counts = {0: ClassCount(90, 5), 2: ClassCount(2, 20)}
        self.assertEqual({2}, self.admission.list_below_floor(counts))

    def test_shortage_is_reported_once(self):
        """Guards against one log line for each refusal."""
        self.assertIsNone(self.admission.check_shortage(0.0))
        self._observe(1.5, 300, 2.0)
        self._count_admitted(2, {2: ClassCount(300)}, 2.0)
        is_short, refused = self.admission.check_shortage(2.1)
        self.assertTrue(is_short)
        self.assertIsNone(self.admission.check_shortage(2.2))
        is_short, total = self.admission.check_shortage(5.0)
        self.assertEqual((False, refused), (is_short, total))

    def test_priorities_of_accounts_map_to_classes(self):
        """Guards against a class that no route has."""
        classes = [self.admission.classify(name) for name in (-1, 1, 9)]
        self.assertEqual([0, 1, 2], classes)

    def test_service_without_routes_is_rejected(self):
        """Guards against a service without classes."""
        self.assertRaises(ValueError, self.admission.configure, [])
