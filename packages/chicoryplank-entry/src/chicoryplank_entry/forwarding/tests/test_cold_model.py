"""Tests of the bound on requests to a cold replica, on simulated fleets.

Load pattern: all entries want a replica that has just started, while entries
start, stop, freeze or are cut off.
"""

from unittest import mock

import testtools

from chicoryplank.admission import RateBucket
from chicoryplank_entry.forwarding import cold_starts
from chicoryplank_entry.forwarding.cold_starts import ColdStartLimit
from chicoryplank_entry.forwarding.permits import Permits
from chicoryplank_entry.forwarding.tests.cold_model import (
    BOUND,
    COLD_S,
    ColdFleet,
)

_RATE_PER_S = 200.0
_KINDS = ("calm", "any", "split", "trap", "drain_issuers")


class _FullBucket(RateBucket):
    """Bucket that is full at first."""

    def __init__(self, now_s, capacity):
        super().__init__(now_s, capacity)
        self._level = capacity


class _FleetCase(testtools.TestCase):
    def _make_fleet(self, seed, entries, loss=0.02):
        fleet = ColdFleet(seed, entries, loss)
        fleet.run(3, _RATE_PER_S)
        return fleet

    def _play(self, kind, seed, entries=24):
        """Returns the worst second of a replica that starts twice."""
        loss = 0.0 if kind == "drain_issuers" else 0.02
        fleet = self._make_fleet(seed, entries, loss)
        for _ in range(2):
            if kind == "any":
                self._disturb(fleet)
                fleet.run(fleet.rng.uniform(0.0, 1.5), _RATE_PER_S)
            if kind == "split":
                self._split(fleet)
            fleet.turn_cold()
            if kind == "trap":
                # All permits of these 3 s would be used in the same moment.
                fleet.trap_until_s = fleet.now_s + 3.0
                fleet.run(1.5, _RATE_PER_S)
                fleet.turn_cold()
                fleet.run(COLD_S, _RATE_PER_S)
            elif kind == "drain_issuers":
                fleet.run(fleet.rng.uniform(0.5, 1.5), _RATE_PER_S)
                # Each permit is used at once, so that a generous issuer shows.
                fleet.connect_times_s = (0.0,)
                fleet.drain_issuers(len(fleet.processes) // 2, _RATE_PER_S)
                fleet.run(COLD_S / 2, _RATE_PER_S)
            else:
                for _ in range(4):
                    if kind == "any":
                        self._disturb(fleet)
                    fleet.run(COLD_S / 4, _RATE_PER_S)
            fleet.run(fleet.rng.uniform(0.0, 6.0), _RATE_PER_S)
        return fleet.find_worst_second()

    def _disturb(self, fleet):
        rng = fleet.rng
        names = sorted(fleet.processes)
        names = rng.sample(names, rng.randint(0, (len(names) + 1) // 2))
        kind = rng.choice(("kill", "drain", "freeze", "cut", "lose_store"))
        if kind == "lose_store":
            fleet.lose_store(rng.uniform(0.2, 3.0))
        fleet.disturb(kind, names)

    def _split(self, fleet):
        """Cuts all entries off from each other; they reach the store."""
        for name in sorted(fleet.processes):
            fleet.cut(name, 8.0, from_store=False)
        fleet.run(4.0, _RATE_PER_S)

    def _find_worst(self, kind):
        return max(
            self._play(kind, seed, entries)
            for seed, entries in ((2, 42), (3, 8))
        )


class TestBoundOfFleet(_FleetCase):
    """All entries together keep the bound of a cold replica."""

    def test_all_kinds_of_disturbances(self):
        """Guards against more requests in a second than the bound."""
        for kind in _KINDS:
            self.assertLessEqual(self._find_worst(kind), BOUND, kind)

    def test_random_disturbances(self):
        """Guards against orders of events that no other test has."""
        for seed in range(10, 22):
            entries = (3, 8, 16, 42)[seed % 4]
            worst = self._play("any", seed, entries)
            self.assertLessEqual(worst, BOUND, f"seed {seed}")

    def test_cold_replica_is_used(self):
        """Guards against a bound that is kept by sending nothing."""
        for entries in (1, 8, 42):
            fleet = self._make_fleet(1, entries)
            fleet.turn_cold()
            fleet.run(COLD_S, _RATE_PER_S)
            self.assertGreater(len(fleet.arrivals), 12, entries)

    def test_split_fleet_sends_nothing(self):
        """Guards against permits in a part that is no majority."""
        fleet = self._make_fleet(1, 8)
        self._split(fleet)
        fleet.turn_cold()
        fleet.run(0.5, _RATE_PER_S)
        known = len(fleet.arrivals)
        fleet.run(COLD_S - 0.5, _RATE_PER_S)
        self.assertEqual(known, len(fleet.arrivals))


class TestRemovedGuards(_FleetCase):
    """The model notices when a guard is missing."""

    def _assert_exceeds(self, kind, target, name, replacement):
        with mock.patch.object(target, name, replacement):
            self.assertGreater(self._find_worst(kind), BOUND)

    def test_without_permits(self):
        """Guards against a model in which entries need no permit."""
        self._assert_exceeds(
            "calm", ColdStartLimit, "get_wait_s", lambda *arguments: 0.0
        )

    def test_without_majority(self):
        """Guards against a model in which parts of a fleet are harmless."""
        self._assert_exceeds(
            "split", ColdStartLimit, "_has_majority", lambda *arguments: True
        )

    def test_without_validity(self):
        """Guards against a model in which old permits are harmless."""
        self._assert_exceeds(
            "trap", Permits, "is_usable", lambda *arguments: True
        )

    def test_without_empty_bucket(self):
        """Guards against a model in which a new issuer may be generous."""
        self._assert_exceeds(
            "drain_issuers", cold_starts, "RateBucket", _FullBucket
        )
