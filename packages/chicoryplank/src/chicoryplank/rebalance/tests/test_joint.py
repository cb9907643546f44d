"""Load pattern: the demand for experts shifts in several sets of layers."""

import random

import testtools

from chicoryplank.rebalance import (
    JointLimits,
    compute_joint_skew,
    improve_joint_map,
)

_LIMITS = JointLimits(places=5, max_new=2)


def _make_first_map(sets, experts, ranks):
    size = experts // ranks
    return tuple(
        tuple(
            tuple(range(rank * size, (rank + 1) * size))
            for rank in range(ranks)
        )
        for _ in range(sets)
    )


def _make_loads(seed, sets, experts):
    source = random.Random(seed)
    loads = []
    for _ in range(sets):
        order = list(range(experts))
        source.shuffle(order)
        loads.append([1.0 / (1 + order[index]) for index in range(experts)])
    return loads


def _search(slots, loads, limits=_LIMITS):
    steps = improve_joint_map(slots, loads, limits)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


class TestImproveJointMap(testtools.TestCase):
    """Few copies bring the slowest ranks near the mean."""

    def test_skew_falls(self):
        """Guards against a group that stays as slow as its busiest rank."""
        for seed in range(8):
            slots = _make_first_map(4, 64, 16)
            decision = _search(slots, _make_loads(seed, 4, 64))
            self.assertGreater(decision.current_skew, 2.0)
            self.assertLess(decision.predicted_skew, 1.6)

    def test_result_obeys_the_ranks(self):
        """Guards against maps that a rank would reject."""
        for seed in range(8):
            slots = _make_first_map(3, 64, 16)
            decision = _search(slots, _make_loads(seed, 3, 64))
            copies = 0
            for old_ranks, ranks in zip(slots, decision.slots, strict=True):
                held = {expert for experts in ranks for expert in experts}
                self.assertEqual(set(range(64)), held)
                for old, new in zip(old_ranks, ranks, strict=True):
                    self.assertLessEqual(len(new), _LIMITS.places)
                    self.assertEqual(len(new), len(set(new)))
                    added = len(set(new) - set(old))
                    self.assertLessEqual(added, _LIMITS.max_new)
                    copies += added
            self.assertEqual(copies, decision.copies)

    def test_prediction_is_the_skew_of_the_map(self):
        """Guards against totals that drift away from the map."""
        loads = _make_loads(3, 4, 64)
        decision = _search(_make_first_map(4, 64, 16), loads)
        self.assertAlmostEqual(
            compute_joint_skew(decision.slots, loads),
            decision.predicted_skew,
            places=9,
        )

    def test_balanced_map_stays(self):
        """Guards against copies that gain nothing."""
        slots = _make_first_map(2, 64, 16)
        decision = _search(slots, [[1.0] * 64] * 2)
        self.assertEqual(0, decision.copies)
        self.assertEqual(slots, decision.slots)

    def test_idle_group_has_no_skew(self):
        """Guards against a division by zero before the first request."""
        slots = _make_first_map(2, 64, 16)
        decision = _search(slots, [[0.0] * 64] * 2)
        self.assertEqual(1.0, decision.current_skew)

    def test_one_slice_is_short(self):
        """Guards against a search that blocks other work for long."""
        slots = _make_first_map(12, 144, 72)
        steps = improve_joint_map(
            slots, _make_loads(1, 12, 144), JointLimits(3, 1)
        )
        self.assertGreater(sum(1 for _ in steps), 12)
