"""Tests of the routing policies and of subsetting."""

import collections
import random
from datetime import UTC, datetime, timedelta

import logbook
import testtools

from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.routing import (
    CacheEvent,
    Candidate,
    LoadReport,
    Progress,
    RoutingParameters,
    RoutingRequest,
    choose_subset,
    make_balanced_policy,
    make_least_load_policy,
    make_round_robin_policy,
)

_START = datetime(2026, 1, 1, 12, tzinfo=UTC)
_ZONE = ZoneId("hall-a")
_PREFIX = b"auction1"


def _after(seconds):
    return _START + timedelta(seconds=seconds)


def _make_candidates(count, **fields):
    fields.setdefault("zone", _ZONE)
    return tuple(
        Candidate(InstanceId(f"r{index}"), **fields) for index in range(count)
    )


def _make_policy(seed=1, **parameters):
    return make_balanced_policy(
        _ZONE, RoutingParameters(**parameters), random.Random(seed)
    )


def _count_choices(policy, candidates, now, count=400, request=None):
    request = request or RoutingRequest()
    return collections.Counter(
        policy.choose(request, candidates, now) for _ in range(count)
    )


class TestEligibility(testtools.TestCase):
    """Role, adapter, exclusion and draining, for every policy."""

    def _make_policies(self):
        return (
            make_round_robin_policy(),
            make_least_load_policy(),
            _make_policy(),
        )

    def test_no_eligible_candidate(self):
        """Guards against a choice of a replica that cannot serve."""
        candidates = (
            Candidate(InstanceId("leaving"), _ZONE, leaving=True),
            Candidate(InstanceId("role"), _ZONE, role="decode"),
            Candidate(InstanceId("used"), _ZONE),
        )
        request = RoutingRequest(
            role="prefill", excluded=frozenset([InstanceId("used")])
        )
        for policy in self._make_policies():
            self.assertIsNone(policy.choose(request, candidates, _START))
            self.assertIsNone(policy.choose(request, (), _START))

    def test_adapter_and_exclusion(self):
        """Guards against a retry that is sent to the same replica."""
        candidates = (
            *_make_candidates(6),
            Candidate(
                InstanceId("a"), ZoneId("hall-b"), adapters=frozenset(["x"])
            ),
            Candidate(InstanceId("b"), _ZONE, adapters=frozenset(["x"])),
        )
        request = RoutingRequest(
            _PREFIX, adapter="x", excluded=frozenset([InstanceId("b")])
        )
        for policy in self._make_policies():
            for _ in range(20):
                self.assertEqual(
                    "a", policy.choose(request, candidates, _START)
                )


class TestLoad(testtools.TestCase):
    """Reports, in-flight counts, zones and slow start."""

    def test_own_requests_count_until_reported(self):
        """Guards against sending all requests to the least reported load.

        Requests sent after a report must count until the next one.
        """
        policy = _make_policy(choices=4)
        candidates = _make_candidates(4)
        policy.choose(RoutingRequest(), candidates, _START)
        for candidate in candidates:
            policy.observe(LoadReport(candidate.instance, 1, 0, _START))
        counts = collections.Counter()
        for _ in range(40):
            name = policy.choose(RoutingRequest(), candidates, _after(0.1))
            policy.begin(name, 1.0, _after(0.1))
            counts[name] += 1
        self.assertEqual([10] * 4, list(counts.values()))

    def test_report_includes_requests_sent_before_it(self):
        """Guards against counting a request twice, in report and in flight.

        A report that arrives late and is older must not replace a newer one.
        """
        policy = _make_policy(choices=2)
        candidates = _make_candidates(2)
        first = policy.choose(RoutingRequest(), candidates, _START)
        other = ({"r0", "r1"} - {first}).pop()
        for _ in range(4):
            policy.begin(first, 1.0, _START)
        policy.observe(LoadReport(first, 4, 0, _after(0.5)))
        policy.observe(LoadReport(other, 5, 0, _after(0.5)))
        late = LoadReport(first, 9, 0, _after(0.5), timedelta(seconds=1))
        policy.observe(late)
        self.assertEqual(
            first, policy.choose(RoutingRequest(), candidates, _after(0.5))
        )

    def test_old_reports_do_not_cause_herding(self):
        """Guards against all entries choosing the replica of least load."""
        candidates = _make_candidates(20)
        counts = collections.Counter()
        for seed in range(60):
            policy = _make_policy(seed, deciding_entries=60)
            policy.choose(RoutingRequest(), candidates, _START)
            for index, candidate in enumerate(candidates):
                policy.observe(LoadReport(candidate.instance, index, 0, _START))
            for _ in range(10):
                name = policy.choose(RoutingRequest(), candidates, _after(1))
                policy.begin(name, 1.0, _after(1))
                counts[name] += 1
        self.assertLess(counts["r0"], 3 * 600 / 20)

    def test_zone_preference_yields_to_load(self):
        """Guards against a local queue while other zones have idle replicas."""
        policy = _make_policy(zone_penalty=2.0)
        local = _make_candidates(2)
        remote = tuple(
            Candidate(InstanceId(f"far{index}"), ZoneId("hall-b"))
            for index in range(2)
        )
        candidates = local + remote
        counts = _count_choices(policy, candidates, _START)
        self.assertEqual({"r0", "r1"}, set(counts))
        for candidate in local:
            policy.observe(LoadReport(candidate.instance, 8, 0, _START))
        for candidate in remote:
            policy.observe(LoadReport(candidate.instance, 1, 0, _START))
        counts = _count_choices(policy, candidates, _START)
        self.assertEqual({"far0", "far1"}, set(counts))

    def test_slow_start(self):
        """Guards against a new replica that gets all requests at once."""
        old = _make_candidates(1)
        new = Candidate(InstanceId("new"), _ZONE, joined_at=_START)
        policy = _make_policy(slow_start=timedelta(seconds=10))
        candidates = (*old, new)
        shares = []
        for second in (0, 20):
            counts = collections.Counter()
            for _ in range(110):
                now = _after(second)
                name = policy.choose(RoutingRequest(), candidates, now)
                policy.begin(name, 1.0, now)
                counts[name] += 1
            for name, count in counts.items():
                for _ in range(count):
                    policy.end(name, 1.0, _after(second), True)
            shares.append(counts["new"])
        self.assertLess(shares[0], 20)
        self.assertGreater(shares[0], 0)
        self.assertAlmostEqual(55, shares[1], delta=12)


class TestAffinity(testtools.TestCase):
    """Requests with one prompt prefix share a replica unless it is loaded."""

    def test_entries_agree_on_the_replica(self):
        """Guards against entries that prefill one prefix at many replicas."""
        candidates = _make_candidates(20)
        request = RoutingRequest(_PREFIX)
        chosen = {
            _make_policy(seed).choose(request, candidates, _START)
            for seed in range(8)
        }
        self.assertEqual(1, len(chosen))

    def test_load_overrides_affinity(self):
        """Guards against a popular prefix that overloads one replica."""
        policy = _make_policy(affinity_bonus=3.0)
        candidates = _make_candidates(4)
        request = RoutingRequest(_PREFIX)
        name = policy.choose(request, candidates, _START)
        for candidate in candidates:
            load = 20 if candidate.instance == name else 2
            policy.observe(LoadReport(candidate.instance, load, 0, _START))
        counts = _count_choices(policy, candidates, _START, request=request)
        self.assertNotIn(name, counts)

    def test_popular_prefix_has_several_replicas(self):
        """Guards against one replica that serves a common prefix alone."""
        policy = _make_policy()
        candidates = _make_candidates(16)
        common = RoutingRequest(_PREFIX)
        counts = collections.Counter()
        for index in range(400):
            rare = RoutingRequest(b"%08d" % index)
            policy.choose(rare, candidates, _START)
            counts[policy.choose(common, candidates, _START)] += 1
        self.assertLess(max(counts.values()), 100)

    def test_lost_and_late_cache_events(self):
        """Guards against records that lost or late events have outdated."""
        policy = _make_policy(affinity_bonus=4.0, choices=1, max_homes=1)
        candidates = _make_candidates(8)
        policy.choose(RoutingRequest(), candidates, _START)
        holder = InstanceId("r3")
        home = _make_policy().choose(
            RoutingRequest(_PREFIX), candidates, _START
        )
        self.assertNotEqual(holder, home)

        def observe(sequence, **fields):
            policy.observe(CacheEvent(holder, sequence, _START, **fields))

        observe(1, stored=(_PREFIX,))
        request = RoutingRequest(_PREFIX, excluded=frozenset())
        self.assertEqual(holder, policy.choose(request, candidates, _START))
        observe(0, removed=(_PREFIX,))
        self.assertEqual(holder, policy.choose(request, candidates, _START))
        observe(5)
        self.assertEqual(home, policy.choose(request, candidates, _START))


class TestEjection(testtools.TestCase):
    """Ejection of stalled and failing replicas, and their return."""

    def setUp(self):
        super().setUp()
        self.log = logbook.TestHandler()
        self.log.push_application()
        self.addCleanup(self.log.pop_application)

    def _stall(self, policy, candidates, names):
        policy.choose(RoutingRequest(), candidates, _START)
        for name in names:
            policy.begin(name, 1.0, _START)

    def test_stalled_replica_is_ejected_until_output(self):
        """Guards against requests that are sent to a stalled engine."""
        policy = _make_policy(slow_start=timedelta(milliseconds=1))
        candidates = _make_candidates(4)
        self._stall(policy, candidates, ["r0"])
        counts = _count_choices(policy, candidates, _after(1.5))
        self.assertNotIn("r0", counts)
        policy.observe(Progress(InstanceId("r0"), _after(60)))
        policy.observe(LoadReport(InstanceId("r0"), 0, 0, _after(60)))
        counts = _count_choices(policy, candidates, _after(60.5))
        self.assertIn("r0", counts)
        numbers = [record.extra["event"] for record in self.log.records]
        self.assertEqual([1801, 1802], numbers)

    def test_progress_on_requests_of_other_entries_counts(self):
        """Guards against ejecting a replica that works on a long queue."""
        policy = _make_policy()
        candidates = _make_candidates(2)
        self._stall(policy, candidates, ["r0"])
        report = LoadReport(
            InstanceId("r0"), 0, 0, _after(2), timedelta(), output_count=7
        )
        policy.observe(report)
        policy.observe(LoadReport(InstanceId("r1"), 9, 0, _after(2.5)))
        self.assertIn("r0", _count_choices(policy, candidates, _after(2.5)))

    def test_old_reports_do_not_eject(self):
        """Guards against ejecting all replicas when reports lag by seconds."""
        policy = _make_policy()
        candidates = _make_candidates(4)
        self._stall(policy, candidates, [item.instance for item in candidates])
        age = timedelta(seconds=3)
        for tenth in range(1, 60):
            now = _after(tenth / 10)
            for item in candidates:
                policy.observe(LoadReport(item.instance, 1, 0, now, age, tenth))
            policy.choose(RoutingRequest(), candidates, now)
        self.assertEqual([], self.log.records)

    def test_return_after_a_change_of_candidates(self):
        """Guards against a replica that is never returned to service.

        A change of candidates resets the set of ejected replicas.
        """
        policy = _make_policy(slow_start=timedelta(milliseconds=1))
        candidates = _make_candidates(4)
        self._stall(policy, candidates, ["r0"])
        policy.choose(RoutingRequest(), candidates, _after(2))
        policy.end(InstanceId("r0"), 1.0, _after(3), True)
        changed = _make_candidates(5)
        counts = _count_choices(policy, changed, _after(20))
        self.assertIn("r0", counts)

    def test_min_in_service_bounds_ejections(self):
        """Guards against ejecting all replicas for one network fault."""
        policy = _make_policy(min_in_service=0.75)
        candidates = _make_candidates(8)
        self._stall(policy, candidates, [item.instance for item in candidates])
        counts = _count_choices(policy, candidates, _after(5), 800)
        self.assertEqual(6, len(counts))

    def test_ejection_time_grows_with_faults(self):
        """Guards against a broken replica that fails fast and so looks idle."""
        policy = _make_policy(
            max_failures=2,
            ejection=timedelta(seconds=5),
            slow_start=timedelta(milliseconds=1),
        )
        candidates = _make_candidates(3)
        policy.choose(RoutingRequest(), candidates, _START)

        def fail_twice(now):
            for _ in range(2):
                policy.begin(InstanceId("r0"), 1.0, now)
                policy.end(InstanceId("r0"), 1.0, now, False)

        seen = []
        for began, later in ((0, 4), (0, 6), (6, 14), (6, 17)):
            if later in (4, 14):
                fail_twice(_after(began))
            counts = _count_choices(policy, candidates, _after(later))
            seen.append("r0" in counts)
        self.assertEqual([False, True, False, True], seen)


class TestSubset(testtools.TestCase):
    """Subsets of the replicas that entries connect to."""

    def test_every_replica_has_the_same_number_of_entries(self):
        """Guards against replicas that no entry connects to."""
        entries = [InstanceId(f"e{index}") for index in range(40)]
        candidates = _make_candidates(120)
        counts = collections.Counter()
        for entry in entries:
            subset = choose_subset(entry, entries, candidates, 8, 0)
            counts.update(candidate.instance for candidate in subset)
        self.assertEqual({8}, set(counts.values()))
        self.assertEqual(120, len(counts))

    def test_small_deployment(self):
        """Guards against an entry that cannot reach a small deployment."""
        entries = [InstanceId(f"e{index}") for index in range(560)]
        candidates = _make_candidates(3)
        for entry in entries[:20]:
            subset = choose_subset(entry, entries, candidates, 16, 8)
            self.assertEqual(set(candidates), set(subset))


class TestParameters(testtools.TestCase):
    """Validation of the parameters."""

    def test_error_names_parameter_and_value(self):
        """Guards against a wrong value that causes faults only at run time."""
        error = self.assertRaises(
            ChicoryplankError, RoutingParameters, min_in_service=1.5
        )
        self.assertIn("min_in_service: 1.5", str(error))
