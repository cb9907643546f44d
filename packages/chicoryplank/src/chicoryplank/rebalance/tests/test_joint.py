"""Tests of the search for maps of several layer sets under skewed loads."""

import random

import testtools

from chicoryplank.rebalance import (
    ChangeCosts,
    JointLimits,
    compute_joint_skew,
    improve_joint_map,
)

_LIMITS = JointLimits(max_experts=5, max_new_experts=2)


def _make_initial_map(sets, experts, ranks):
    size = experts // ranks
    return tuple(
        tuple(
            tuple(range(rank * size, (rank + 1) * size))
            for rank in range(ranks)
        )
        for _ in range(sets)
    )


def _make_loads(seed, sets, experts):
    rng = random.Random(seed)
    loads = []
    for _ in range(sets):
        order = list(range(experts))
        rng.shuffle(order)
        loads.append([1.0 / (1 + order[index]) for index in range(experts)])
    return loads


def _run_search(slots, loads, limits=_LIMITS, costs=None, paces=()):
    generator = improve_joint_map(slots, loads, limits, costs, paces)
    while True:
        try:
            next(generator)
        except StopIteration as end:
            return end.value


class TestImproveJointMap(testtools.TestCase):
    """A few copies bring the largest rank loads near the mean."""

    def test_skew_falls(self):
        """Guards against a search that does not lower the skew."""
        for seed in range(8):
            slots = _make_initial_map(4, 64, 16)
            decision = _run_search(slots, _make_loads(seed, 4, 64))
            self.assertGreater(decision.current_skew, 2.0)
            self.assertLess(decision.predicted_skew, 1.6)

    def test_result_respects_limits(self):
        """Guards against maps that exceed a limit or lose an expert."""
        for seed in range(8):
            slots = _make_initial_map(3, 64, 16)
            decision = _run_search(slots, _make_loads(seed, 3, 64))
            copies = 0
            for old_ranks, ranks in zip(slots, decision.slots, strict=True):
                held = {expert for experts in ranks for expert in experts}
                self.assertEqual(set(range(64)), held)
                for old, new in zip(old_ranks, ranks, strict=True):
                    self.assertLessEqual(len(new), _LIMITS.max_experts)
                    self.assertEqual(len(new), len(set(new)))
                    added = len(set(new) - set(old))
                    self.assertLessEqual(added, _LIMITS.max_new_experts)
                    copies += added
            self.assertEqual(copies, decision.copies)

    def test_predicted_skew_matches_map(self):
        """Guards against incremental rank loads that diverge from the map."""
        loads = _make_loads(3, 4, 64)
        decision = _run_search(_make_initial_map(4, 64, 16), loads)
        self.assertAlmostEqual(
            compute_joint_skew(decision.slots, loads),
            decision.predicted_skew,
            places=9,
        )

    def test_balanced_map_is_kept(self):
        """Guards against copies that do not lower the skew."""
        slots = _make_initial_map(2, 64, 16)
        decision = _run_search(slots, [[1.0] * 64] * 2)
        self.assertEqual(0, decision.copies)
        self.assertEqual(slots, decision.slots)

    def test_idle_group_has_no_skew(self):
        """Guards against a division by zero while no load was observed."""
        slots = _make_initial_map(2, 64, 16)
        decision = _run_search(slots, [[0.0] * 64] * 2)
        self.assertEqual(1.0, decision.current_skew)

    def test_search_yields_often(self):
        """Guards against a search that blocks the event loop for long."""
        slots = _make_initial_map(12, 144, 72)
        generator = improve_joint_map(
            slots, _make_loads(1, 12, 144), JointLimits(3, 1)
        )
        self.assertGreater(sum(1 for _ in generator), 12)


class TestSlowRank(testtools.TestCase):
    """The experts of a rank that computes slowly move to the other ranks.

    Load pattern: one rank of a lock-step group takes longer for the same work,
    and all ranks wait for it in each step.
    """

    _LIMITS = JointLimits(max_experts=6, max_new_experts=2)

    def _relieve(self, pace):
        """Returns the skew without and with the search, for the same paces."""
        slots = _make_initial_map(4, 64, 16)
        paces = [1.0] * 16
        paces[3] = pace
        loads = [[1.0] * 64] * 4
        decision = _run_search(slots, loads, self._LIMITS, paces=paces)
        return decision, compute_joint_skew(decision.slots, loads, paces)

    def test_slow_rank_is_relieved(self):
        """Guards against steps that stay as slow as a rank of 1.6 the time."""
        decision, skew = self._relieve(1.6)
        self.assertAlmostEqual(1.6, decision.current_skew)
        self.assertAlmostEqual(skew, decision.predicted_skew)
        self.assertLess(skew, 1.3)

    def test_very_slow_rank_is_relieved(self):
        """Guards against a rank of 12 times the time that keeps its experts."""
        decision, skew = self._relieve(12.0)
        self.assertLess(skew, 3.1)
        held = {expert for ranks in decision.slots[0] for expert in ranks}
        self.assertEqual(set(range(64)), held)

    def test_usual_paces_change_nothing(self):
        """Guards against other maps for groups without a slow rank."""
        slots = _make_initial_map(4, 64, 16)
        loads = _make_loads(2, 4, 64)
        self.assertEqual(
            _run_search(slots, loads),
            _run_search(slots, loads, paces=[1.0] * 16),
        )

    def test_relief_ends(self):
        """Guards against a rank that stays idle when it is fast again."""
        loads = [[1.0] * 64] * 4
        decision, _ = self._relieve(12.0)
        later = _run_search(decision.slots, loads, self._LIMITS)
        self.assertLess(later.predicted_skew, 1.3)


class TestChangeCosts(testtools.TestCase):
    """A change copies no more than the demand repays while it lasts.

    Load pattern: a few experts become popular at once, copies are slow, and
    the demand shifts again after a few seconds.
    """

    _SETS = 6
    _EXPERTS = 64
    _LIMITS = JointLimits(max_experts=11, max_new_experts=4)

    def _search(self, **costs):
        loads = [
            [20.0 if expert == index else 0.7 for expert in range(64)]
            for index in range(self._SETS)
        ]
        slots = _make_initial_map(self._SETS, self._EXPERTS, 8)
        return _run_search(
            slots,
            loads,
            self._LIMITS,
            ChangeCosts(slowdown=0.15, expert_share=0.85, fixed_s=0.4, **costs),
        )

    def test_slow_copies_are_few(self):
        """Guards against a change that takes as long as the demand lasts."""
        decision = self._search(copy_s=0.15, lasting_s=3.0)
        self.assertLessEqual(decision.rank_copies * 0.15, 0.6)
        self.assertLess(decision.predicted_skew, 1.6)
        self.assertGreater(decision.current_skew, 2.5)

    def test_fast_copies_are_many(self):
        """Guards against a skew that remains although copies cost little."""
        slow = self._search(copy_s=0.15, lasting_s=3.0)
        fast = self._search(copy_s=0.001, lasting_s=30.0)
        self.assertLess(fast.predicted_skew, slow.predicted_skew)

    def test_demand_that_ends_soon_causes_no_change(self):
        """Guards against copies for a demand that is over before they end."""
        decision = self._search(copy_s=0.15, lasting_s=0.4)
        self.assertEqual(0, decision.copies)
        self.assertEqual(0.0, decision.gain)

    def test_copies_are_spread_over_ranks(self):
        """Guards against one rank that copies while the others wait for it."""
        decision = self._search(copy_s=0.15, lasting_s=3.0)
        self.assertLess(decision.rank_copies, 2 * decision.copies / 8 + 1)

    def test_gain_matches_prediction(self):
        """Guards against a gain that does not follow from the two skews."""
        decision = self._search(copy_s=0.15, lasting_s=3.0)
        costs = ChangeCosts(0.15, 0.4, 3.0, 0.15, 0.85)
        before = costs.compute_mean_duration(
            0, decision.current_skew, decision.current_skew
        )
        after = costs.compute_mean_duration(
            decision.rank_copies, decision.current_skew, decision.predicted_skew
        )
        self.assertAlmostEqual(1 - after / before, decision.gain, places=9)
