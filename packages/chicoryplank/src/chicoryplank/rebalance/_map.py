"""Expert maps, the rank loads that result from them, and moves between maps."""

import collections
import dataclasses
import hashlib
import heapq
import json
from collections.abc import Sequence

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ExpertId, RankId


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """Assignment of experts to the slots of each rank.

    Attributes:
        slots: For each rank, the expert in each of its slots.
        ranks_per_node: Consecutive ranks that share a node.

    Example:
        >>> expert_map = make_map(experts=4, ranks=2, spare_slots=2)
        >>> expert_map.slots
        ((0, 1, 2), (3, 0, 1))
    """

    slots: tuple[tuple[ExpertId, ...], ...]
    ranks_per_node: int = 8

    @property
    def digest(self) -> str:
        """Hex digest that identifies the assignment."""
        encoded = json.dumps([self.slots, self.ranks_per_node])
        return hashlib.sha256(encoded.encode()).hexdigest()

    def count_replicas(self) -> collections.Counter[ExpertId]:
        """Returns how many slots each expert has."""
        return collections.Counter(
            expert for slots in self.slots for expert in slots
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Copy of one expert's weights into a slot of another rank.

    Attributes:
        expert: Expert to copy.
        source: Rank that the weights are read from; it holds a replica in the
            current map.
        target: Rank that receives the replica.
        slot: Slot of the target rank.
        size_bytes: Size of the weights, in bytes.
        crosses_nodes: Whether source and target are on different nodes.
    """

    expert: ExpertId
    source: RankId
    target: RankId
    slot: int
    size_bytes: int
    crosses_nodes: bool


def make_map(
    experts: int, ranks: int, spare_slots: int, ranks_per_node: int = 8
) -> ExpertMap:
    """Returns the initial map, which is independent of loads.

    The slots of all ranks, taken in order, hold each expert once, followed by
    second replicas of the first `spare_slots` experts.

    Args:
        experts: Number of experts.
        ranks: Number of ranks.
        spare_slots: Slots beyond one per expert. The numbers of slots of two
            ranks differ by at most one.
        ranks_per_node: Consecutive ranks that share a node.

    Raises:
        ChicoryplankError: With INVALID_SETTINGS if a number is out of range.
    """
    if ranks < 1 or not 0 <= spare_slots <= experts or experts < ranks:
        raise ChicoryplankError(
            ErrorCode.INVALID_SETTINGS,
            f"no expert map for experts={experts}, ranks={ranks}, "
            f"spare_slots={spare_slots}",
        )
    total = experts + spare_slots
    bounds = [total * rank // ranks for rank in range(ranks + 1)]
    slots = tuple(
        tuple(ExpertId(index % experts) for index in range(start, end))
        for start, end in zip(bounds, bounds[1:], strict=False)
    )
    return ExpertMap(slots, ranks_per_node)


def compute_rank_loads(
    expert_map: ExpertMap, loads: Sequence[float]
) -> list[float]:
    """Returns the load of each rank; replicas share their expert's load evenly.

    Args:
        expert_map: Assignment of experts to ranks.
        loads: Load of each expert.
    """
    counts = expert_map.count_replicas()
    replica_loads = {
        expert: loads[expert] / count for expert, count in counts.items()
    }
    return [
        sum(replica_loads[expert] for expert in slots)
        for slots in expert_map.slots
    ]


def compute_skew(rank_loads: Sequence[float]) -> float:
    """Returns the ratio of the largest rank load to the mean; 1 if idle."""
    total = sum(rank_loads)
    if total <= 0:
        return 1.0
    return max(rank_loads) * len(rank_loads) / total


def compute_replica_counts(
    loads: Sequence[float], total_slots: int
) -> list[int]:
    """Returns the replica counts that minimise the largest replica load.

    Each spare slot goes to the expert whose replicas have the largest load.
    """
    counts = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(total_slots - len(loads)):
        expert = heap[0][1]
        counts[expert] += 1
        heapq.heapreplace(heap, (-loads[expert] / counts[expert], expert))
    return counts


def compute_skew_bound(
    loads: Sequence[float], slots_per_rank: Sequence[int]
) -> float:
    """Returns a lower bound on the skew of any map.

    The most loaded rank carries at least the mean load, and at least the
    largest replica load under the best replica counts. The bound does not take
    into account how well the replicas can be packed into the slots.

    Args:
        loads: Load of each expert.
        slots_per_rank: Number of slots of each rank.
    """
    total = sum(loads)
    if total <= 0:
        return 1.0
    counts = compute_replica_counts(loads, sum(slots_per_rank))
    largest = max(
        load / count for load, count in zip(loads, counts, strict=True)
    )
    return max(1.0, largest * len(slots_per_rank) / total)


def arrange_slots(
    current: ExpertMap, assignment: Sequence[Sequence[ExpertId]]
) -> ExpertMap:
    """Returns the map for an assignment of experts to ranks.

    An expert that stays on its rank keeps its slot there.

    Args:
        current: Active map.
        assignment: Experts of each rank, in any order.
    """
    arranged = []
    for old, new in zip(current.slots, assignment, strict=True):
        missing = collections.Counter(new)
        kept: list[ExpertId | None] = []
        for expert in old:
            keep = missing[expert] > 0
            kept.append(expert if keep else None)
            missing[expert] -= keep
        added = iter(sorted(missing.elements()))
        arranged.append(
            tuple(next(added) if item is None else item for item in kept)
        )
    return ExpertMap(tuple(arranged), current.ranks_per_node)


def list_moves(
    current: ExpertMap, target: ExpertMap, expert_bytes: int
) -> tuple[Move, ...]:
    """Returns the copies between ranks that turn one map into another.

    An expert that the rank already holds in another slot needs no copy.
    Sources on the target's node are preferred; among equal ones, the rank that
    serves the fewest copies so far is the source, so that the reads spread
    over the ranks.

    Args:
        current: Active map.
        target: Map to activate.
        expert_bytes: Size of one expert's weights, in bytes.
    """
    holders = collections.defaultdict(list)
    for rank, slots in enumerate(current.slots):
        for expert in slots:
            holders[expert].append(rank)
    reads_by_rank: collections.Counter[int] = collections.Counter()
    moves = []
    for rank, slots in enumerate(target.slots):
        node = rank // current.ranks_per_node
        held = set(current.slots[rank])
        for slot, expert in enumerate(slots):
            if current.slots[rank][slot] == expert or expert in held:
                continue
            source = min(
                holders[expert],
                key=lambda holder: (
                    holder // current.ranks_per_node != node,  # noqa: B023
                    reads_by_rank[holder],
                    holder,
                ),
            )
            reads_by_rank[source] += 1
            moves.append(
                Move(
                    expert,
                    RankId(source),
                    RankId(rank),
                    slot,
                    expert_bytes,
                    source // current.ranks_per_node != node,
                )
            )
    return tuple(moves)
