"""The interface of rebalancing policies and the two simple policies."""

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
    compute_skew,
    list_moves,
    replicate_experts,
)
from chicoryplank.rebalance._steps import run_steps

# Items handled between two yields; one slice takes well under 5 ms.
_ITEMS_PER_SLICE = 128


class Reason(enum.Enum):
    """Why a policy moves experts or leaves them."""

    NO_LOADS = "no loads observed"
    FIXED = "the policy never moves"
    REPACKED = "re-packed"
    BALANCED = "skew is near its lower bound"
    HELD = "inside a hold window"
    NOT_WORTH = "the gain does not exceed the cost"
    WITHIN_NOISE = "the gain is within the noise of the loads"
    GAIN = "the gain exceeds the cost"
    EMERGENCY = "skew exceeds the emergency bound"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Result of a policy.

    Attributes:
        expert_map: Map to bring into force; the current one if nothing moves.
        moves: Copies of weights that the change needs.
        current_skew: Predicted skew of the current map.
        predicted_skew: Predicted skew of `expert_map`.
        reason: Why.
    """

    expert_map: ExpertMap
    moves: tuple[Move, ...]
    current_skew: float
    predicted_skew: float
    reason: Reason

    @property
    def moved_bytes(self) -> int:
        """Bytes that the moves copy."""
        return sum(move.size_bytes for move in self.moves)


Steps = Generator[None, None, Decision]


class Policy(Protocol):
    """Decides which experts to move."""

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval, one count per expert."""

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns the decision at once; blocks for its total duration."""

    def choose_in_steps(self, expert_map: ExpertMap, now: datetime) -> Steps:
        """Returns the same decision from a generator that yields often."""


class StaticPolicy:
    """Never moves an expert; the baseline."""

    def __init__(self) -> None:
        self._loads: Sequence[float] = ()

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval."""
        self._loads = tuple(loads)

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns a decision without moves."""
        return run_steps(self.choose_in_steps(expert_map, now))

    def choose_in_steps(self, expert_map: ExpertMap, now: datetime) -> Steps:
        """Returns a decision without moves."""
        yield
        if not self._loads:
            return Decision(expert_map, (), 1.0, 1.0, Reason.NO_LOADS)
        skew = compute_skew(compute_rank_loads(expert_map, self._loads))
        return Decision(expert_map, (), skew, skew, Reason.FIXED)


class RepackPolicy:
    """Packs all experts anew from the loads of the last interval.

    Spare slots go to the experts with the most loaded replicas; the replicas
    are then placed in descending order of load on the least loaded rank that
    has a free slot. Ranks may have different numbers of slots. With one slot
    on every rank the published method keeps the order of the replicas, since
    their order does not change the skew.

    Args:
        expert_bytes: Size of one expert's weights.

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
        """Returns the re-packed map."""
        return run_steps(self.choose_in_steps(expert_map, now))

    def choose_in_steps(self, expert_map: ExpertMap, now: datetime) -> Steps:
        """Returns the re-packed map."""
        if not self._loads:
            return Decision(expert_map, (), 1.0, 1.0, Reason.NO_LOADS)
        capacities = [len(slots) for slots in expert_map.slots]
        counts = replicate_experts(self._loads, sum(capacities))
        yield
        if max(capacities) == 1:
            assignment = [[slots[0]] for slots in expert_map.slots]
        else:
            assignment = yield from _pack(self._loads, counts, capacities)
        target = arrange_slots(expert_map, assignment)
        yield
        moves = list_moves(expert_map, target, self._expert_bytes)
        yield
        before = compute_skew(compute_rank_loads(expert_map, self._loads))
        after = compute_skew(compute_rank_loads(target, self._loads))
        return Decision(target, moves, before, after, Reason.REPACKED)


def _pack(
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
        if index % _ITEMS_PER_SLICE == 0:
            yield
    return assignment
