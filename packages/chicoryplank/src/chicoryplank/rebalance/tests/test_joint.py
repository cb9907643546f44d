"""Tests of the search for maps of several layer sets under skewed loads."""

import random

import testtools

from chicoryplank.rebalance import (
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


def _run_search(slots, loads, limits=_LIMITS):
    generator = improve_joint_map(slots, loads, limits)
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
