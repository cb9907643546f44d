"""Interface of rebalancing policies, and the static and repacking policies."""

import dataclasses
import enum
import heapq
from collections.abc import Generator, Sequence
from datetime import datetime
from typing import Protocol

from chicoryplank.ids import ExpertId
from chicoryplank.rebalance._map import (
    ExpertMap,
    Move,
    arrange_slots,
    compute_rank_loads,
    compute_replica_counts,
    compute_skew,
    list_moves,
)
from chicoryplank.rebalance._runners import run_to_completion

# Replicas placed between two yields; this takes well under 5 ms.
_REPLICAS_PER_SLICE = 128


class Reason(enum.Enum):
    """Why a policy moves experts or keeps the current map."""

    NO_LOADS = "no loads observed"
    FIXED = "the policy never moves"
    REPACKED = "re-packed"
    BALANCED = "skew is near its lower bound"
    HOLD_WINDOW = "inside a hold window"
    GAIN_BELOW_COST = "the gain does not exceed the cost"
    WITHIN_NOISE = "the gain is within the noise of the loads"
    GAIN = "the gain exceeds the cost"
    EMERGENCY = "skew exceeds the emergency bound"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision of a policy on the expert map.

    Attributes:
        expert_map: Map to activate; the current one if nothing moves.
        moves: Copies of weights that `expert_map` requires.
        current_skew: Predicted skew of the current map.
        predicted_skew: Predicted skew of `expert_map`.
        reason: Why the policy moves experts or keeps the current map.
    """

    expert_map: ExpertMap
    moves: tuple[Move, ...]
    current_skew: float
    predicted_skew: float
    reason: Reason

    @property
    def moved_bytes(self) -> int:
        """Total size of the copied weights, in bytes."""
        return sum(move.size_bytes for move in self.moves)


DecisionGenerator = Generator[None, None, Decision]


class Policy(Protocol):
    """Decides which experts to replicate or move, from observed loads."""

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval, one count per expert."""

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns the decision; blocks for the whole computation."""

    def choose_cooperatively(
        self, expert_map: ExpertMap, now: datetime
    ) -> DecisionGenerator:
        """Returns the decision from a generator that yields between slices.

        The decision is the same as that of `choose`.
        """


class StaticPolicy:
    """Keeps the current map; the baseline of comparisons."""

    def __init__(self) -> None:
        self._loads: Sequence[float] = ()

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval."""
        self._loads = tuple(loads)

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns a decision without moves."""
        return run_to_completion(self.choose_cooperatively(expert_map, now))

    def choose_cooperatively(
        self, expert_map: ExpertMap, now: datetime
    ) -> DecisionGenerator:
        """Returns a decision without moves."""
        yield
        if not self._loads:
            return Decision(expert_map, (), 1.0, 1.0, Reason.NO_LOADS)
        skew = compute_skew(compute_rank_loads(expert_map, self._loads))
        return Decision(expert_map, (), skew, skew, Reason.FIXED)


class RepackPolicy:
    """Recomputes the whole map from the loads of the last interval.

    Each spare slot goes to the expert with the largest replica load; the
    replicas are then placed in descending order of load on the least loaded
    rank that has a free slot. Ranks may have different numbers of slots. If
    every rank has one slot, the published method keeps the order of the
    replicas, since their order does not change the skew.

    Args:
        expert_bytes: Size of one expert's weights, in bytes.

    References:
        DeepSeek-AI, "Expert Parallelism Load Balancer (EPLB)", 2025, global
        policy; R. L. Graham, "Bounds on Multiprocessing Timing Anomalies",
        SIAM J. Appl. Math. 17(2), 1969, for longest-first placement.
    """

    def __init__(self, expert_bytes: int) -> None:
        self._expert_bytes = expert_bytes
        self._loads: Sequence[float] = ()

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval."""
        self._loads = tuple(loads)

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns the recomputed map."""
        return run_to_completion(self.choose_cooperatively(expert_map, now))

    def choose_cooperatively(
        self, expert_map: ExpertMap, now: datetime
    ) -> DecisionGenerator:
        """Returns the recomputed map."""
        if not self._loads:
            return Decision(expert_map, (), 1.0, 1.0, Reason.NO_LOADS)
        capacities = [len(slots) for slots in expert_map.slots]
        counts = compute_replica_counts(self._loads, sum(capacities))
        yield
        if max(capacities) == 1:
            assignment = [[slots[0]] for slots in expert_map.slots]
        else:
            assignment = yield from _pack_replicas(
                self._loads, counts, capacities
            )
        target = arrange_slots(expert_map, assignment)
        yield
        moves = list_moves(expert_map, target, self._expert_bytes)
        yield
        skew_before = compute_skew(compute_rank_loads(expert_map, self._loads))
        skew_after = compute_skew(compute_rank_loads(target, self._loads))
        return Decision(target, moves, skew_before, skew_after, Reason.REPACKED)


def _pack_replicas(
    loads: Sequence[float], counts: Sequence[int], capacities: Sequence[int]
) -> Generator[None, None, list[list[ExpertId]]]:
    replicas = [
        (loads[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    ]
    replicas.sort(key=lambda item: (-item[0], item[1]))
    assignment: list[list[ExpertId]] = [[] for _ in capacities]
    heap = [(0.0, rank) for rank in range(len(capacities))]
    for index, (load, expert) in enumerate(replicas):
        total, rank = heap[0]
        assignment[rank].append(ExpertId(expert))
        if len(assignment[rank]) == capacities[rank]:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(heap, (total + load, rank))
        if index % _REPLICAS_PER_SLICE == 0:
            yield
    return assignment
