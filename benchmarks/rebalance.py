"""Compares expert rebalancing policies on seeded load traces.

An interval is 1,000 steps. The map that a policy decides on from the loads of
one interval is active in the next interval. For every policy, a switch of maps
counts as one stalled step plus the steps that copying the weights takes at a
fixed rate. The first intervals are a warm-up and are excluded from skew, bytes,
switches and stalled steps.

A block is the CPU time of `observe`, or of the decision between two of its
yields; the event loop of a process is blocked for this time. Objects that exist
before the run are frozen, so that full garbage collections visit only what the
policy allocates. A daemon needs to do the same at its start.
"""

import argparse
import concurrent.futures
import dataclasses
import datetime
import gc
import math
import random
import time
from collections.abc import Callable, Iterator

from chicoryplank.configuration import Objective
from chicoryplank.rebalance import (
    Decision,
    IncrementalPolicy,
    Policy,
    RepackPolicy,
    StaticPolicy,
    compute_rank_loads,
    compute_skew,
    compute_skew_bound,
    make_map,
    make_settings,
)

EXPERTS = 256
INTERVALS = 240
WARM_UP_INTERVALS = 30
INTERVAL_S = 6.0
# Size of an expert with three matrices of 7168 x 2048 weights of one byte.
EXPERT_BYTES = 44_040_192
# Bytes that one rank receives in a step of 6 ms at 25 GB/s.
BYTES_PER_STEP = 150_000_000
# The tokens of a sequence are routed to similar experts, so token counts vary
# more than independent draws would: variance = DISPERSION * mean.
MEAN_TOKENS_PER_EXPERT = 8_000
DISPERSION = 8.0


def _make_popularity(rng: random.Random) -> list[float]:
    weights = [rng.lognormvariate(0, 0.8) for _ in range(EXPERTS)]
    total = sum(weights)
    return [weight * EXPERTS / total for weight in weights]


def _generate_drift(rng: random.Random) -> Iterator[list[float]]:
    weights = _make_popularity(rng)
    while True:
        yield weights
        weights = [
            weight * math.exp(rng.gauss(0, 0.02) - 0.01 * math.log(weight))
            for weight in weights
        ]


def _generate_spike(rng: random.Random) -> Iterator[list[float]]:
    base_weights = _make_popularity(rng)
    weights = list(base_weights)
    for interval in range(1_000_000):
        if interval % 80 == 40:
            weights = list(base_weights)
            for expert in rng.sample(range(EXPERTS), 6):
                weights[expert] *= 6
        elif interval % 80 == 0:
            weights = list(base_weights)
        yield weights


def _generate_periodic(rng: random.Random) -> Iterator[list[float]]:
    base_weights = _make_popularity(rng)
    phases = [rng.uniform(0, 2 * math.pi) for _ in base_weights]
    for interval in range(1_000_000):
        angle = 2 * math.pi * interval / 96
        yield [
            weight * (1 + 0.5 * math.sin(angle + phase))
            for weight, phase in zip(base_weights, phases, strict=True)
        ]


def _generate_noise(rng: random.Random) -> Iterator[list[float]]:
    weights = _make_popularity(rng)
    while True:
        yield weights


def _generate_adversarial(rng: random.Random) -> Iterator[list[float]]:
    """Generates weights that change to other experts every two intervals.

    The change follows as soon as a policy has reacted to the previous one.
    """
    base_weights = _make_popularity(rng)
    weights = list(base_weights)
    for interval in range(1_000_000):
        if interval % 2 == 0:
            weights = list(base_weights)
            for expert in rng.sample(range(EXPERTS), 8):
                weights[expert] *= 4
        yield weights


TRACES: dict[str, Callable[[random.Random], Iterator[list[float]]]] = {
    "drift": _generate_drift,
    "spike": _generate_spike,
    "periodic": _generate_periodic,
    "noise": _generate_noise,
    "adversarial": _generate_adversarial,
}


def make_trace(name: str, seed: int) -> list[list[float]]:
    """Returns the token count of each expert in each interval."""
    rng = random.Random(f"{name}-{seed}")
    weight_sequence = TRACES[name](rng)
    trace = []
    for _ in range(INTERVALS):
        weights = next(weight_sequence)
        scale = MEAN_TOKENS_PER_EXPERT * EXPERTS / sum(weights)
        means = [weight * scale for weight in weights]
        trace.append(
            [
                max(0.0, rng.gauss(mean, math.sqrt(DISPERSION * mean)))
                for mean in means
            ]
        )
    return trace


POLICIES: dict[str, Callable[[], Policy]] = {
    "static": StaticPolicy,
    "re-pack": lambda: RepackPolicy(EXPERT_BYTES),
    "inc. skew": lambda: IncrementalPolicy(
        make_settings(Objective.SKEW, EXPERT_BYTES)
    ),
    "inc. cost": lambda: IncrementalPolicy(
        make_settings(Objective.COST, EXPERT_BYTES)
    ),
}


@dataclasses.dataclass
class Row:
    """Measurements of one policy on one trace.

    Attributes:
        trace: Name of the trace.
        ranks: Number of ranks.
        spare: Number of spare expert slots.
        policy: Name of the policy.
        p50: Median of the skew over the intervals.
        p99: 99th percentile of the skew.
        bound_p50: Median of the lower bound of the skew.
        bound_p99: 99th percentile of the lower bound of the skew.
        moved_bytes: Bytes of the experts copied between ranks.
        switches: Number of switches to another map.
        stalled_steps: Steps lost by switches and copies.
        worst_block_ms: Longest block.
        worst_total_ms: Longest decision, all of its blocks together.
    """

    trace: str
    ranks: int
    spare: int
    policy: str
    p50: float = 0.0
    p99: float = 0.0
    bound_p50: float = 0.0
    bound_p99: float = 0.0
    moved_bytes: int = 0
    switches: int = 0
    stalled_steps: int = 0
    worst_block_ms: float = 0.0
    worst_total_ms: float = 0.0


def _time_decision(
    policy: Policy, expert_map, now: datetime.datetime, row: Row
) -> Decision:
    slices = policy.choose_cooperatively(expert_map, now)
    total_ms = 0.0
    while True:
        start = time.thread_time()
        try:
            next(slices)
            decision = None
        except StopIteration as end:
            decision = end.value
        block_ms = (time.thread_time() - start) * 1e3
        total_ms += block_ms
        row.worst_block_ms = max(row.worst_block_ms, block_ms)
        if decision is not None:
            row.worst_total_ms = max(row.worst_total_ms, total_ms)
            return decision


def _count_stalled_steps(decision: Decision) -> int:
    received_bytes: dict[int, int] = {}
    for move in decision.moves:
        received_bytes[move.target] = (
            received_bytes.get(move.target, 0) + move.size_bytes
        )
    return 1 + math.ceil(max(received_bytes.values()) / BYTES_PER_STEP)


def _get_percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1]


def measure(case: tuple[str, int, int, str, int]) -> Row:
    trace_name, ranks, spare, policy_name, seed = case
    row = Row(trace_name, ranks, spare, policy_name)
    policy = POLICIES[policy_name]()
    expert_map = make_map(EXPERTS, ranks, spare)
    capacities = [len(slots) for slots in expert_map.slots]
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    skews, bounds = [], []
    trace = make_trace(trace_name, seed)
    gc.collect()
    gc.freeze()
    for interval, loads in enumerate(trace):
        is_measured = interval >= WARM_UP_INTERVALS
        if is_measured:
            skews.append(compute_skew(compute_rank_loads(expert_map, loads)))
            bounds.append(compute_skew_bound(loads, capacities))
        now += datetime.timedelta(seconds=INTERVAL_S)
        start = time.thread_time()
        policy.observe(loads, now)
        observed_ms = (time.thread_time() - start) * 1e3
        row.worst_block_ms = max(row.worst_block_ms, observed_ms)
        decision = _time_decision(policy, expert_map, now, row)
        expert_map = decision.expert_map
        if decision.moves and is_measured:
            row.moved_bytes += decision.moved_bytes
            row.switches += 1
            row.stalled_steps += _count_stalled_steps(decision)
    row.p50, row.p99 = (
        _get_percentile(skews, quantile) for quantile in (0.5, 0.99)
    )
    row.bound_p50, row.bound_p99 = (
        _get_percentile(bounds, share) for share in (0.5, 0.99)
    )
    return row


def _print_targets(rows: dict[tuple, Row]) -> None:
    block_ms = max(row.worst_block_ms for row in rows.values())
    total_ms = max(row.worst_total_ms for row in rows.values())
    print(f"\nWorst block {block_ms:.1f} ms, worst total {total_ms:.1f} ms.")
    print("\nTargets of the incremental policy for skew, against re-pack:\n")
    both_met_count = 0
    keys = sorted({key[:3] for key in rows})
    for key in keys:
        repack, incremental = rows[(*key, "re-pack")], rows[(*key, "inc. skew")]
        skew_met = incremental.p99 <= repack.p99
        bytes_met = incremental.moved_bytes * 10 <= repack.moved_bytes
        both_met_count += skew_met and bytes_met
        if not (skew_met and bytes_met):
            print(
                f"- not met: {key}: p99 {incremental.p99:.3f} against "
                f"{repack.p99:.3f}, bytes "
                f"{incremental.moved_bytes / 1e9:.1f} GB "
                f"against {repack.moved_bytes / 1e9:.1f} GB"
            )
    print(f"- both met in {both_met_count} of {len(keys)} cases")
    for name in ("inc. skew", "inc. cost"):
        moved = [
            key
            for key, row in rows.items()
            if key[0] == "noise" and key[3] == name and row.switches
        ]
        print(f"- {name}: noise cases with moves after settling: {moved}")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--policies", default=",".join(POLICIES))
    options = parser.parse_args()
    cases = [
        (trace, ranks, spare, policy, options.seed)
        for trace in TRACES
        for ranks in (16, 64, 256)
        for spare in (0, 32, 64)
        for policy in options.policies.split(",")
    ]
    print(
        f"seed {options.seed}, {INTERVALS} intervals of {INTERVAL_S:.0f} s, "
        f"first {WARM_UP_INTERVALS} excluded; times are CPU ms\n"
    )
    print(
        "| trace | ranks | spare | policy | p50 | p99 | bound p50 | bound p99 "
        "| GB moved | switches | stalled steps | worst block | worst total |"
    )
    print("|---" * 13 + "|")
    rows = {}
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        for row in pool.map(measure, cases):
            rows[row.trace, row.ranks, row.spare, row.policy] = row
            print(
                f"| {row.trace} | {row.ranks} | {row.spare} | {row.policy} "
                f"| {row.p50:.3f} | {row.p99:.3f} | {row.bound_p50:.3f} "
                f"| {row.bound_p99:.3f} | {row.moved_bytes / 1e9:.1f} "
                f"| {row.switches} | {row.stalled_steps} "
                f"| {row.worst_block_ms:.1f} | {row.worst_total_ms:.1f} |",
                flush=True,
            )
    _print_targets(rows)


if __name__ == "__main__":
    main()
