"""Tests of server limits over all entries, on simulated fleets.

Load pattern: all callers want a replica in need, while entries start, stop,
freeze or are cut off.
"""

import json

import testtools

from chicoryplank.admission import LimitReport, LimitSource
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.tests.limit_model import LimitedFleet

_RATE_PER_S = 80.0


class TestLimitOfFleet(testtools.TestCase):
    """All entries together keep the limit of a replica."""

    def _make_fleet(self, limit, seed=1, entries=8):
        fleet = LimitedFleet(seed, entries)
        fleet.run(3, _RATE_PER_S)
        fleet.name_limit(limit)
        fleet.run(4, _RATE_PER_S)
        return fleet

    def test_steady_limits(self):
        """Guards against a limit that each entry keeps for itself."""
        for limit in (0.0, 0.3, 1.0, 2.5, 20.0):
            for entries in (1, 3, 8, 24):
                fleet = self._make_fleet(limit, entries=entries)
                fleet.run(10, _RATE_PER_S)
                self.assertLessEqual(fleet.find_excess(), 0, (limit, entries))

    def test_limit_is_used(self):
        """Guards against a replica that gets less than it takes."""
        for entries in (1, 8, 24):
            fleet = self._make_fleet(5.0, entries=entries)
            before = fleet.arrival_count
            fleet.run(20, _RATE_PER_S)
            self.assertGreater(fleet.arrival_count - before, 80, entries)

    def test_withdrawn_limit(self):
        """Guards against a limit that outlives the need of the replica."""
        for limit in (0.0, 1.0, 10.0):
            fleet = self._make_fleet(limit)
            fleet.name_limit(None)
            fleet.run(6, _RATE_PER_S)
            before = fleet.arrival_count
            fleet.run(5, _RATE_PER_S)
            self.assertGreater(fleet.arrival_count - before, 300, limit)

    def test_entries_that_restart_in_turn(self):
        """Guards against a full bucket in each new issuer of permits."""
        for stop in ("drain", "kill"):
            for limit in (1.0, 15.0):
                fleet = self._make_fleet(limit)
                for name in sorted(fleet.processes):
                    getattr(fleet, stop)(name)
                    fleet.run(0.4, _RATE_PER_S)
                fleet.run(6, _RATE_PER_S)
                self.assertLessEqual(fleet.find_excess(), 0, (stop, limit))

    def test_fleet_in_two_parts(self):
        """Guards against a whole limit for each part of a fleet."""
        fleet = self._make_fleet(15.0)
        for name in sorted(fleet.processes)[:3]:
            fleet.cut(name, 8.0, from_store=False)
        fleet.run(12, _RATE_PER_S)
        self.assertLessEqual(fleet.find_excess(), 0)

    def test_single_entries(self):
        """Guards against a probe from each entry that is cut off alone."""
        for limit in (0.0, 1.0):
            fleet = self._make_fleet(limit, entries=16)
            for name in sorted(fleet.processes):
                fleet.cut(name, 20.0, from_store=False)
            fleet.run(18, _RATE_PER_S)
            self.assertLessEqual(fleet.find_excess(), 0, limit)

    def test_random_disturbances(self):
        """Guards against orders of events that no other test has."""
        for seed in range(1, 13):
            limit = (0.0, 1.0, 4.0, 25.0)[seed % 4]
            fleet = self._make_fleet(limit, seed, (3, 8, 16)[seed % 3])
            for _ in range(20):
                self._disturb(fleet)
                fleet.run(fleet.rng.uniform(0.1, 1.2), _RATE_PER_S)
            self.assertLessEqual(fleet.find_excess(), 0, f"seed {seed}")

    def test_many_limits_fit_into_a_message(self):
        """Guards against messages that are too large to be sent."""
        fleet = self._make_fleet(None, entries=3)
        process = fleet.processes[sorted(fleet.processes)[0]]
        for number in range(5_000):
            process.state.server_limits.observe(
                InstanceId(f"replica-of-a-long-name-{number}"),
                LimitReport(1.0, fleet.now_s + number),
                LimitSource.RESPONSE,
            )
        reports = process.peers.permits.encode_reports()
        self.assertIn("replica-of-a-long-name-4999", reports)
        self.assertLess(len(json.dumps(reports)), 20_000)

    def _disturb(self, fleet):
        rng = fleet.rng
        names = sorted(fleet.processes)
        names = rng.sample(names, rng.randint(0, (len(names) + 1) // 2))
        kind = rng.choice(("kill", "drain", "freeze", "cut", "limit", "calm"))
        if kind == "limit":
            fleet.name_limit(rng.choice((0.5, 1.0, 3.0, 10.0)))
        fleet.disturb(kind, names)
