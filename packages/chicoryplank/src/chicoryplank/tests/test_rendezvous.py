"""Tests of rendezvous hashing."""

import collections

import testtools

from chicoryplank.rendezvous import rank


class TestRank(testtools.TestCase):
    """Agreement, stability and evenness of the ranking."""

    def test_same_ranking_in_every_process(self):
        """Guards against a hash that depends on the process."""
        self.assertEqual(
            ["e2", "e1", "e3"], rank("config/root", ["e1", "e2", "e3"])
        )

    def test_removal_moves_only_what_it_must(self):
        """Guards against a change of members that moves all keys."""
        members = [f"m{index}" for index in range(20)]
        for index in range(200):
            before = rank(str(index), members)
            self.assertEqual(before[1:], rank(str(index), set(before[1:])))

    def test_keys_spread_evenly(self):
        """Guards against a weak mix that prefers some members."""
        members = [f"m{index}" for index in range(10)]
        counts = collections.Counter(
            rank(str(index), members)[0] for index in range(5000)
        )
        self.assertLess(max(counts.values()), 1.2 * 500)
        self.assertGreater(min(counts.values()), 0.8 * 500)
