"""Local search for an expert map with a lower peak load and few copies."""

import bisect
import dataclasses
from collections.abc import Generator, Sequence

from chicoryplank.ids import ExpertId
from chicoryplank.rebalance._map import ExpertMap

# Experts of the most loaded rank that are tried as candidates for replication,
# those with the largest replica loads.
_MAX_REPLICATION_CANDIDATES = 4
# Replications in one search that may raise the peak load; a later swap can
# lower it again.
_MAX_UPHILL_CHANGES = 3
# Smallest accepted reduction of the peak load, relative to the mean rank load.
# Without it the search fills slots with replicas of experts that have almost no
# load.
_MIN_GAIN = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class SearchState:
    """State of the search after one change.

    Attributes:
        changes: Number of changes so far.
        copies: Copies of experts between ranks so far.
        peak_load: Load of the most loaded rank.
    """

    changes: int
    copies: int
    peak_load: float


class Placement:
    """Mutable expert map that keeps the rank loads up to date.

    Args:
        expert_map: Map to start from.
        loads: Load of each expert.
    """

    def __init__(self, expert_map: ExpertMap, loads: Sequence[float]) -> None:
        self.loads = loads
        self.slots = [list(slots) for slots in expert_map.slots]
        self.holders: list[list[int]] = [[] for _ in loads]
        for rank, slots in enumerate(self.slots):
            for expert in slots:
                self.holders[expert].append(rank)
        self.rank_loads = [0.0] * len(self.slots)
        self.sorted_replicas: list[list[tuple[float, int]]] = [
            [] for _ in self.slots
        ]
        for rank in range(len(self.slots)):
            self._refresh(rank)

    def get_replica_load(self, expert: int) -> float:
        """Returns the load of one replica of an expert."""
        return self.loads[expert] / len(self.holders[expert])

    def _refresh(self, rank: int) -> None:
        replicas = [
            (self.get_replica_load(item), item) for item in self.slots[rank]
        ]
        replicas.sort()
        self.sorted_replicas[rank] = replicas
        self.rank_loads[rank] = sum(
            replica_load for replica_load, _ in replicas
        )

    def swap(
        self, rank: int, expert: int, other: int, other_expert: int
    ) -> None:
        """Exchanges `expert` on `rank` for `other_expert` on `other`."""
        self.slots[rank][self.slots[rank].index(expert)] = other_expert
        self.slots[other][self.slots[other].index(other_expert)] = expert
        self.holders[expert][self.holders[expert].index(rank)] = other
        self.holders[other_expert][self.holders[other_expert].index(other)] = (
            rank
        )
        self._refresh(rank)
        self._refresh(other)

    def replace(self, rank: int, old: int, new: int) -> None:
        """Replaces a replica of `old` on `rank` by a replica of `new`."""
        self.slots[rank][self.slots[rank].index(old)] = new
        self.holders[old].remove(rank)
        self.holders[new].append(rank)
        for affected in {rank, *self.holders[old], *self.holders[new]}:
            self._refresh(affected)


# A change is (peak load after it, copies, kind, arguments of the method of
# Placement that applies it). The smallest tuple is the best change.
_Change = tuple[float, int, int, tuple[int, ...]]
_SWAP, _REPLACE = 0, 1


def _find_swap(
    placement: Placement, most_loaded: int, target_load: float
) -> _Change | None:
    best: _Change | None = None
    most_loaded_load = placement.rank_loads[most_loaded]
    own_experts = set(placement.slots[most_loaded])
    for other, other_load in enumerate(placement.rank_loads):
        max_shift = (most_loaded_load - other_load) / 2
        if max_shift <= 0:
            continue
        sorted_replicas = placement.sorted_replicas[other]
        other_experts = set(placement.slots[other])
        for replica_load, expert in placement.sorted_replicas[most_loaded]:
            if expert in other_experts:
                continue
            index = bisect.bisect_left(
                sorted_replicas, (replica_load - max_shift, -1)
            )
            for other_replica_load, other_expert in sorted_replicas[
                max(0, index - 1) : index + 1
            ]:
                load_shift = replica_load - other_replica_load
                if load_shift <= 0 or other_expert in own_experts:
                    continue
                peak = max(
                    most_loaded_load - load_shift,
                    other_load + load_shift,
                    target_load,
                )
                if best is None or peak < best[0]:
                    best = (
                        peak,
                        2,
                        _SWAP,
                        (most_loaded, expert, other, other_expert),
                    )
    return best


def _list_removable_replicas(
    placement: Placement,
) -> list[tuple[float, float, int, int]]:
    removable = []
    for expert, holders in enumerate(placement.holders):
        count = len(holders)
        if count < 2:
            continue
        load = placement.loads[expert]
        replica_load, load_after_removal = load / count, load / (count - 1)
        rank_loads = placement.rank_loads
        for rank in set(holders):
            others = [rank_loads[item] for item in holders if item != rank]
            holders_peak = (
                max(others, default=0.0) + load_after_removal - replica_load
            )
            removable.append(
                (holders_peak, rank_loads[rank] - replica_load, rank, expert)
            )
    return removable


def _find_replication(
    placement: Placement, most_loaded: int, target_load: float
) -> _Change | None:
    best: _Change | None = None
    removable = _list_removable_replicas(placement)
    for replica_load, expert in placement.sorted_replicas[most_loaded][
        -_MAX_REPLICATION_CANDIDATES:
    ]:
        count = len(placement.holders[expert])
        new_replica_load = replica_load * count / (count + 1)
        most_loaded_after = (
            placement.rank_loads[most_loaded] - replica_load + new_replica_load
        )
        for holders_peak, remaining_load, rank, removed in removable:
            if removed == expert or expert in placement.slots[rank]:
                continue
            peak = max(
                holders_peak,
                remaining_load + new_replica_load,
                most_loaded_after,
                target_load,
            )
            if best is None or peak < best[0]:
                best = (peak, 1, _REPLACE, (rank, removed, expert))
    return best


def _find_uphill_change(
    placement: Placement, most_loaded: int, replicated_experts: set[int]
) -> _Change | None:
    """Returns a replication that may raise the peak load; None if none fits.

    It replicates the expert with the largest replica load on the most loaded
    rank. The replica to remove is chosen first by the loads of the ranks that
    take over its load, since a later swap can lower the load of the rank that
    receives the new replica.
    """
    expert = placement.sorted_replicas[most_loaded][-1][1]
    count = len(placement.holders[expert])
    new_replica_load = placement.loads[expert] / (count + 1)
    best = None
    for holders_peak, remaining_load, rank, removed in _list_removable_replicas(
        placement
    ):
        if removed == expert or removed in replicated_experts:
            continue
        if expert in placement.slots[rank]:
            continue
        candidate = (
            holders_peak,
            remaining_load + new_replica_load,
            rank,
            removed,
        )
        best = candidate if best is None else min(best, candidate)
    if best is None:
        return None
    return (max(best[:2]), 1, _REPLACE, (*best[2:], expert))


def _apply(placement: Placement, change: _Change) -> None:
    if change[2] == _SWAP:
        placement.swap(*change[3])
    else:
        placement.replace(*change[3])


def _choose_change(
    placement: Placement, target_load: float, replicated_experts: set[int]
) -> Generator[None, None, tuple[_Change | None, bool]]:
    """Returns the best change and whether it may raise the peak load."""
    rank_loads = placement.rank_loads
    most_loaded = max(range(len(rank_loads)), key=rank_loads.__getitem__)
    swap = _find_swap(placement, most_loaded, target_load)
    yield
    replication = _find_replication(placement, most_loaded, target_load)
    yield
    candidates = [item for item in (swap, replication) if item is not None]
    change = min(candidates, default=None)
    min_gain = _MIN_GAIN * sum(rank_loads) / len(rank_loads)
    if change is not None and change[0] <= rank_loads[most_loaded] - min_gain:
        return change, False
    return _find_uphill_change(placement, most_loaded, replicated_experts), True


@dataclasses.dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of a search.

    Attributes:
        expert_map: Map that the search started from.
        loads: Load of each expert.
        changes: Changes in order.
        states: State after each change.
    """

    expert_map: ExpertMap
    loads: Sequence[float]
    changes: tuple[_Change, ...]
    states: tuple[SearchState, ...]

    def build_assignment(self, state: SearchState) -> list[list[ExpertId]]:
        """Returns the experts of each rank in a state of the search."""
        placement = Placement(self.expert_map, self.loads)
        for change in self.changes[: state.changes]:
            _apply(placement, change)
        return placement.slots


def search_moves(
    expert_map: ExpertMap,
    loads: Sequence[float],
    max_moves: int,
    target_load: float,
) -> Generator[None, None, "SearchResult"]:
    """Lowers the peak load by a sequence of changes to the active map.

    Each change either swaps an expert of the most loaded rank with a less
    loaded expert of another rank (two copies) or replaces a surplus replica by
    one of an expert of the most loaded rank (one copy). If neither lowers the
    peak load, a limited number of replications may raise it, since a swap that
    lowers it may follow.

    Args:
        expert_map: Active map.
        loads: Load of each expert.
        max_moves: Largest number of copies.
        target_load: Peak load at which the search ends; lower ones count as
            equally good.

    Returns:
        The changes and the state after each. The caller may stop at any state.
    """
    placement = Placement(expert_map, loads)
    yield
    changes: list[_Change] = []
    states: list[SearchState] = []
    replicated_experts: set[int] = set()
    copies, uphill_changes = 0, 0
    while copies < max_moves and max(placement.rank_loads) > target_load:
        change, is_uphill = yield from _choose_change(
            placement, target_load, replicated_experts
        )
        yield
        uphill_changes += is_uphill
        if change is None or uphill_changes > _MAX_UPHILL_CHANGES:
            break
        if copies + change[1] > max_moves:
            break
        _apply(placement, change)
        if change[2] == _REPLACE:
            replicated_experts.add(change[3][2])
        copies += change[1]
        changes.append(change)
        states.append(
            SearchState(len(changes), copies, max(placement.rank_loads))
        )
    return SearchResult(expert_map, loads, tuple(changes), tuple(states))
