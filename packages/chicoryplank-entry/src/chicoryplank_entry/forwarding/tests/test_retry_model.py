"""Tests of the retry budget over all entries, on simulated fleets.

Load pattern: replicas reject most requests, so that every entry retries as
often as it may, while entries restart, freeze or are cut off.
"""

import testtools

from chicoryplank_entry.forwarding.tests.retry_model import Fleet

_RATE_PER_S = 60.0


class TestRetryBudgetOfFleet(testtools.TestCase):
    """Retries of all entries together stay within the budget of a service."""

    def _make_fleet(self, seed=1, entries=8):
        fleet = Fleet(seed, entries)
        fleet.run(12, _RATE_PER_S)
        fleet.rejecting = True
        return fleet

    def test_entries_that_stop_in_turn(self):
        """Guards against dividing by entries that are still registered only."""
        fleet = self._make_fleet()
        names = sorted(fleet.processes)
        for first in range(0, 8, 3):
            for name in names[first : first + 3]:
                fleet.drain(name)
            fleet.run(0.5, _RATE_PER_S)
        fleet.run(8, _RATE_PER_S)
        self.assertLessEqual(fleet.find_excess(), 0)

    def test_entries_that_are_killed_together(self):
        """Guards against a full share for each process that starts."""
        fleet = self._make_fleet()
        for _ in range(3):
            fleet.run(2, _RATE_PER_S)
            for name in sorted(fleet.processes):
                fleet.kill(name)
        fleet.run(4, _RATE_PER_S)
        self.assertLessEqual(fleet.find_excess(), 0)

    def test_entries_that_start_without_registrations(self):
        """Guards against a whole budget for an entry that sees no other."""
        fleet = self._make_fleet()
        fleet.run(2, _RATE_PER_S)
        fleet.lose_store(1.0)
        for name in sorted(fleet.processes):
            fleet.kill(name)
        fleet.run(1.05, _RATE_PER_S)
        for name in sorted(fleet.processes):
            fleet.cut(name, 5.0, from_store=False)
        fleet.run(8, _RATE_PER_S)
        self.assertLessEqual(fleet.find_excess(), 0)

    def test_random_disturbances(self):
        """Guards against orders of events that no other test has."""
        for seed in range(1, 13):
            entries = (3, 8, 8, 16)[seed % 4]
            fleet = self._make_fleet(seed, entries)
            for _ in range(24):
                self._disturb(fleet)
                fleet.run(fleet.rng.uniform(0.1, 1.2), _RATE_PER_S)
            self.assertLessEqual(fleet.find_excess(), 0, f"seed {seed}")

    def _disturb(self, fleet):
        rng = fleet.rng
        names = sorted(fleet.processes)
        names = rng.sample(names, rng.randint(0, len(names)))
        kind = rng.choice(("kill", "drain", "freeze", "cut", "store", "calm"))
        fleet.rejecting = rng.random() < 0.8
        if kind == "store":
            fleet.lose_store(rng.uniform(0.5, 4.0))
        fleet.disturb(kind, names)
