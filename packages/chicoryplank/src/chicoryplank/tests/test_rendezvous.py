"""Tests of rendezvous hashing."""

import collections

import testtools

from chicoryplank.rendezvous import rank_members


class TestRankMembers(testtools.TestCase):
    """Tests that the ranking is deterministic, stable and balanced."""

    def test_same_ranking_in_every_process(self):
        """Guards against a hash that differs between processes."""
        self.assertEqual(
            ["e2", "e1", "e3"], rank_members("config/root", ["e1", "e2", "e3"])
        )

    def test_removal_moves_only_the_keys_of_the_removed_member(self):
        """Guards against a membership change that moves other keys."""
        members = [f"m{index}" for index in range(20)]
        for index in range(200):
            before = rank_members(str(index), members)
            self.assertEqual(
                before[1:], rank_members(str(index), set(before[1:]))
            )

    def test_keys_are_distributed_evenly(self):
        """Guards against a score function that favors some members."""
        members = [f"m{index}" for index in range(10)]
        counts = collections.Counter(
            rank_members(str(index), members)[0] for index in range(5000)
        )
        self.assertLess(max(counts.values()), 1.2 * 500)
        self.assertGreater(min(counts.values()), 0.8 * 500)
