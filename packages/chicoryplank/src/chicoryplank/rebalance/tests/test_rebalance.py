"""Tests of expert maps and rebalancing policies."""

import asyncio
import collections
import random
from datetime import UTC, datetime, timedelta

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryplank.configuration import Objective
from chicoryplank.errors import ChicoryplankError
from chicoryplank.rebalance import (
    IncrementalPolicy,
    LoadEstimator,
    Reason,
    RebalanceSettings,
    RepackPolicy,
    StaticPolicy,
    compute_rank_loads,
    compute_skew,
    compute_skew_bound,
    list_moves,
    make_map,
    make_settings,
    run_cooperatively,
)

NOW = datetime(2026, 1, 1, tzinfo=UTC)
EXPERT_BYTES = 1000


def make_loads(seed, experts=64):
    """Returns skewed loads of one interval."""
    rng = random.Random(seed)
    return [1000 * rng.lognormvariate(0, 0.8) for _ in range(experts)]


def make_incremental_policy(**parameters):
    """Returns an incremental policy with changed parameters."""
    return IncrementalPolicy(RebalanceSettings(EXPERT_BYTES, **parameters))


def apply_moves(expert_map, decision):
    """Returns the slots of all ranks after the moves of a decision.

    A rank needs no move for another replica of an expert that it already
    holds, since it copies the weights locally.
    """
    copies = {(m.target, m.slot): m.expert for m in decision.moves}
    return [
        tuple(
            expert if expert in held else copies.get((rank, slot))
            for slot, expert in enumerate(slots)
        )
        for rank, (slots, held) in enumerate(
            zip(decision.expert_map.slots, expert_map.slots, strict=True)
        )
    ]


class TestExpertMap(testtools.TestCase):
    """Construction, skew bound and validation of expert maps."""

    def test_spare_slots_are_spread_over_ranks(self):
        """Guards against ranks whose slot counts differ by more than one."""
        expert_map = make_map(experts=256, ranks=256, spare_slots=32)
        sizes = collections.Counter(len(item) for item in expert_map.slots)
        self.assertEqual({1: 224, 2: 32}, dict(sizes))

    def test_parameter_out_of_range_is_rejected(self):
        """Guards against maps that lack an expert and bad settings."""
        self.assertRaises(ChicoryplankError, make_map, 4, 8, 0)
        self.assertRaises(ChicoryplankError, RebalanceSettings, 0)
        self.assertRaises(
            ChicoryplankError, RebalanceSettings, 1, hysteresis=0.5
        )

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 10**6), st.sampled_from([0, 3, 16, 64]))
    def test_no_map_is_below_the_skew_bound(self, seed, spare):
        """Guards against a lower bound that exceeds the skew of some map."""
        loads = make_loads(seed)
        expert_map = make_map(64, 16, spare)
        policy = RepackPolicy(EXPERT_BYTES)
        policy.observe(loads, NOW)
        bound = compute_skew_bound(loads, [len(s) for s in expert_map.slots])
        for reached in (expert_map, policy.choose(expert_map, NOW).expert_map):
            skew = compute_skew(compute_rank_loads(reached, loads))
            self.assertGreaterEqual(skew, bound - 1e-9)


class TestPolicies(testtools.TestCase):
    """Properties that every policy must have."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.integers(0, 10**6),
        st.sampled_from([0, 3, 16, 64]),
        st.sampled_from([8, 16, 64]),
        st.booleans(),
    )
    def test_moves_lead_to_the_chosen_map(
        self, seed, spare, ranks, uses_repack
    ):
        """Guards against lost experts, wrong moves and a wrong prediction."""
        loads = make_loads(seed)
        expert_map = make_map(64, ranks, spare)
        policy = (
            RepackPolicy(EXPERT_BYTES)
            if uses_repack
            else make_incremental_policy()
        )
        policy.observe(loads, NOW)
        decision = policy.choose(expert_map, NOW)
        target = decision.expert_map
        self.assertEqual(64, len(target.count_replicas()))
        self.assertEqual(list(target.slots), apply_moves(expert_map, decision))
        skew = compute_skew(compute_rank_loads(target, loads))
        self.assertAlmostEqual(skew, decision.predicted_skew)
        for move in decision.moves:
            self.assertIn(move.expert, expert_map.slots[move.source])
        self.assertEqual(
            decision.moved_bytes, EXPERT_BYTES * len(decision.moves)
        )

    def test_static_never_moves(self):
        """Guards against a baseline policy that changes the map."""
        policy = StaticPolicy()
        policy.observe(make_loads(1), NOW)
        expert_map = make_map(64, 8, 0)
        decision = policy.choose(expert_map, NOW)
        self.assertEqual(
            (expert_map, ()), (decision.expert_map, decision.moves)
        )

    def test_no_moves_without_observed_loads(self):
        """Guards against moves before any load was observed."""
        expert_map = make_map(64, 8, 0)
        for policy in (
            StaticPolicy(),
            RepackPolicy(1),
            make_incremental_policy(),
        ):
            decision = policy.choose(expert_map, NOW)
            self.assertEqual(Reason.NO_LOADS, decision.reason)

    def test_cooperative_decision_equals_choose(self):
        """Guards against a generator whose decision differs from `choose`."""
        expert_map = make_map(64, 8, 16)
        policy = make_incremental_policy()
        policy.observe(make_loads(3), NOW)
        expected = policy.choose(expert_map, NOW)
        generator = policy.choose_cooperatively(expert_map, NOW)
        self.assertEqual(expected, asyncio.run(run_cooperatively(generator)))

    def test_source_on_the_same_node_is_preferred(self):
        """Guards against copies across nodes if the node holds a replica."""
        current = make_map(4, 4, 4, ranks_per_node=2)
        target = current.__class__(((0, 2), (2, 3), (0, 1), (2, 3)), 2)
        moves = list_moves(current, target, EXPERT_BYTES)
        self.assertEqual(
            [(2, 1, False)],
            [(m.expert, m.source, m.crosses_nodes) for m in moves],
        )


class TestIncrementalPolicy(testtools.TestCase):
    """Conditions under which the incremental policy moves experts."""

    def run_intervals(self, policy, expert_map, rng, intervals, loads):
        moves = 0
        for _ in range(intervals):
            counts = [rng.gauss(load, (8 * load) ** 0.5) for load in loads]
            policy.observe(counts, NOW)
            decision = policy.choose(expert_map, NOW)
            expert_map = decision.expert_map
            moves += len(decision.moves)
        return expert_map, moves

    def test_no_moves_on_noise_after_settling(self):
        """Guards against moves that follow the noise of the counts."""
        for objective in Objective:
            rng = random.Random(7)
            loads = make_loads(7)
            policy = IncrementalPolicy(make_settings(objective, EXPERT_BYTES))
            expert_map = make_map(64, 16, 16)
            expert_map, moves = self.run_intervals(
                policy, expert_map, rng, 30, loads
            )
            self.assertGreater(moves, 0)
            _, moves = self.run_intervals(policy, expert_map, rng, 100, loads)
            self.assertEqual(0, moves)

    def test_lasting_increase_is_followed(self):
        """Guards against smoothing that hides a lasting increase of a load."""
        rng = random.Random(5)
        loads = make_loads(5)
        policy = make_incremental_policy()
        expert_map = make_map(64, 16, 16)
        expert_map, _ = self.run_intervals(policy, expert_map, rng, 30, loads)
        loads[9] *= 8
        before = compute_skew(compute_rank_loads(expert_map, loads))
        expert_map, _ = self.run_intervals(policy, expert_map, rng, 2, loads)
        after = compute_skew(compute_rank_loads(expert_map, loads))
        self.assertLess(after - 1, (before - 1) / 2)

    def test_hold_window(self):
        """Guards against moves in a hold window and an endless window."""
        policy = make_incremental_policy(emergency_skew=100.0)
        policy.add_hold_window(NOW, NOW + timedelta(seconds=10))
        policy.observe(make_loads(2), NOW)
        expert_map = make_map(64, 8, 16)
        held = policy.choose(expert_map, NOW)
        self.assertEqual((Reason.HOLD_WINDOW, ()), (held.reason, held.moves))
        later = policy.choose(expert_map, NOW + timedelta(seconds=10))
        self.assertEqual(Reason.GAIN, later.reason)

    def test_emergency_overrides_hold_window(self):
        """Guards against a hold window that keeps a map with extreme skew."""
        policy = make_incremental_policy(emergency_skew=1.2)
        policy.add_hold_window(NOW, NOW + timedelta(seconds=10))
        policy.observe(make_loads(2), NOW)
        decision = policy.choose(make_map(64, 8, 16), NOW)
        self.assertEqual(Reason.EMERGENCY, decision.reason)
        self.assertGreater(len(decision.moves), 0)

    def test_skew_at_its_lower_bound_is_no_emergency(self):
        """Guards against a hot expert that overrides every hold window."""
        policy = make_incremental_policy(emergency_skew=1.2)
        policy.add_hold_window(NOW, NOW + timedelta(seconds=10))
        policy.observe([1000.0] + [1.0] * 63, NOW)
        decision = policy.choose(make_map(64, 16, 0), NOW)
        self.assertGreater(decision.current_skew, 1.2)
        self.assertEqual((), decision.moves)

    def test_no_moves_if_cost_exceeds_gain(self):
        """Guards against a switch that costs more than it gains."""
        policy = make_incremental_policy(switch_cost_steps=1e6)
        policy.observe(make_loads(2), NOW)
        decision = policy.choose(make_map(64, 8, 16), NOW)
        self.assertEqual(Reason.GAIN_BELOW_COST, decision.reason)

    def test_hold_windows_are_bounded(self):
        """Guards against a list of windows that grows without limit."""
        policy = make_incremental_policy(max_holds=1)
        end = NOW + timedelta(seconds=1)
        self.assertRaises(ChicoryplankError, policy.add_hold_window, end, NOW)
        policy.add_hold_window(NOW, end)
        self.assertRaises(ChicoryplankError, policy.add_hold_window, NOW, end)
        policy.observe(make_loads(2), end)
        policy.add_hold_window(end, end + timedelta(seconds=1))


class TestLoadEstimator(testtools.TestCase):
    """Smoothed loads and their variance."""

    def test_idle_interval_is_ignored(self):
        """Guards against an idle interval that erases the estimate."""
        estimator = LoadEstimator(8, 4.5)
        estimator.observe([0.0, 0.0])
        estimator.observe([1.0, 3.0])
        estimator.observe([0.0, 0.0])
        self.assertEqual([0.5, 1.5], estimator.means)

    def test_variance_falls_while_loads_are_steady(self):
        """Guards against an estimate whose variance does not shrink."""
        rng = random.Random(1)
        estimator = LoadEstimator(32, 4.5)
        variances = []
        for _ in range(40):
            estimator.observe([rng.gauss(1000, 50) for _ in range(64)])
            variances.append(estimator.estimate_variance(0))
        self.assertLess(variances[-1], variances[3] / 4)
