"""Search for few moves that lower the load of the slowest rank."""

import bisect
import dataclasses
from collections.abc import Generator, Sequence

from chicoryplank.ids import ExpertId
from chicoryplank.rebalance._map import ExpertMap

# Experts of the slowest rank that are tried as candidates for replication.
_REPLICATED_CANDIDATES = 4
# Replications in a row that may raise the maximum before a swap lowers it.
_MAX_DETOURS = 3
# Least improvement of the slowest rank, relative to the mean. Without it the
# search spends slots on replicas of experts that have almost no load.
_LEAST_GAIN = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """State of the search after one change.

    Attributes:
        changes: Number of changes so far.
        moves: Copies needed so far.
        largest: Load of the slowest rank.
    """

    changes: int
    moves: int
    largest: float


class Placement:
    """Mutable placement with incremental rank loads.

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
        self.totals = [0.0] * len(self.slots)
        self.ordered: list[list[tuple[float, int]]] = [[] for _ in self.slots]
        for rank in range(len(self.slots)):
            self._refresh(rank)

    def get_piece(self, expert: int) -> float:
        """Returns the load of one replica of an expert."""
        return self.loads[expert] / len(self.holders[expert])

    def _refresh(self, rank: int) -> None:
        pieces = [(self.get_piece(item), item) for item in self.slots[rank]]
        pieces.sort()
        self.ordered[rank] = pieces
        self.totals[rank] = sum(piece for piece, _ in pieces)

    def swap(self, rank: int, expert: int, other: int, taken: int) -> None:
        """Exchanges two experts between two ranks."""
        self.slots[rank][self.slots[rank].index(expert)] = taken
        self.slots[other][self.slots[other].index(taken)] = expert
        self.holders[expert][self.holders[expert].index(rank)] = other
        self.holders[taken][self.holders[taken].index(other)] = rank
        self._refresh(rank)
        self._refresh(other)

    def replace(self, rank: int, old: int, new: int) -> None:
        """Puts a replica of one expert in place of another's."""
        self.slots[rank][self.slots[rank].index(old)] = new
        self.holders[old].remove(rank)
        self.holders[new].append(rank)
        for affected in {rank, *self.holders[old], *self.holders[new]}:
            self._refresh(affected)


# A change is (resulting load, moves, kind, arguments); the least is the best.
_Change = tuple[float, int, int, tuple[int, ...]]
_SWAP, _REPLACE = 0, 1


def _find_swap(placement: Placement, top: int, aim: float) -> _Change | None:
    best: _Change | None = None
    high = placement.totals[top]
    inside = set(placement.slots[top])
    for other, low in enumerate(placement.totals):
        half = (high - low) / 2
        if half <= 0:
            continue
        ordered = placement.ordered[other]
        held = set(placement.slots[other])
        for piece, expert in placement.ordered[top]:
            if expert in held:
                continue
            index = bisect.bisect_left(ordered, (piece - half, -1))
            for near, taken in ordered[max(0, index - 1) : index + 1]:
                shift = piece - near
                if shift <= 0 or taken in inside:
                    continue
                result = max(high - shift, low + shift, aim)
                if best is None or result < best[0]:
                    best = (result, 2, _SWAP, (top, expert, other, taken))
    return best


def _list_victims(placement: Placement) -> list[tuple[float, float, int, int]]:
    victims = []
    for expert, holders in enumerate(placement.holders):
        count = len(holders)
        if count < 2:
            continue
        load = placement.loads[expert]
        piece, grown = load / count, load / (count - 1)
        totals = placement.totals
        for rank in set(holders):
            others = [totals[item] for item in holders if item != rank]
            harm = max(others, default=0.0) + grown - piece
            victims.append((harm, totals[rank] - piece, rank, expert))
    return victims


def _find_replication(
    placement: Placement, top: int, aim: float
) -> _Change | None:
    best: _Change | None = None
    victims = _list_victims(placement)
    for piece, expert in placement.ordered[top][-_REPLICATED_CANDIDATES:]:
        count = len(placement.holders[expert])
        shrunk = piece * count / (count + 1)
        reduced = placement.totals[top] - piece + shrunk
        for harm, rest, rank, victim in victims:
            if victim == expert or expert in placement.slots[rank]:
                continue
            result = max(harm, rest + shrunk, reduced, aim)
            if best is None or result < best[0]:
                best = (result, 1, _REPLACE, (rank, victim, expert))
    return best


def _find_detour(
    placement: Placement, top: int, gained: set[int]
) -> _Change | None:
    """Replicates the largest replica of the slowest rank.

    Only the ranks that the lost replica's load falls back on count, since a
    swap can lower the receiving rank afterwards.
    """
    expert = placement.ordered[top][-1][1]
    count = len(placement.holders[expert])
    shrunk = placement.loads[expert] / (count + 1)
    best = None
    for harm, rest, rank, victim in _list_victims(placement):
        if victim == expert or victim in gained:
            continue
        if expert in placement.slots[rank]:
            continue
        key = (harm, rest + shrunk, rank, victim)
        best = key if best is None else min(best, key)
    if best is None:
        return None
    return (max(best[:2]), 1, _REPLACE, (*best[2:], expert))


def _apply(placement: Placement, change: _Change) -> None:
    if change[2] == _SWAP:
        placement.swap(*change[3])
    else:
        placement.replace(*change[3])


def _choose_change(
    placement: Placement, aim: float, gained: set[int]
) -> Generator[None, None, tuple[_Change | None, bool]]:
    """Returns the best change and whether it is a detour."""
    totals = placement.totals
    top = max(range(len(totals)), key=totals.__getitem__)
    swap = _find_swap(placement, top, aim)
    yield
    replication = _find_replication(placement, top, aim)
    yield
    found = [item for item in (swap, replication) if item is not None]
    change = min(found, default=None)
    least_gain = _LEAST_GAIN * sum(totals) / len(totals)
    if change is not None and change[0] <= totals[top] - least_gain:
        return change, False
    return _find_detour(placement, top, gained), True


@dataclasses.dataclass(frozen=True, slots=True)
class Search:
    """Result of a search.

    Attributes:
        expert_map: Map that the search started from.
        loads: Load of each expert.
        changes: Changes in order.
        steps: State after each change.
    """

    expert_map: ExpertMap
    loads: Sequence[float]
    changes: tuple[_Change, ...]
    steps: tuple[Step, ...]

    def build_assignment(self, step: Step) -> list[list[ExpertId]]:
        """Returns the experts of each rank after a step."""
        placement = Placement(self.expert_map, self.loads)
        for change in self.changes[: step.changes]:
            _apply(placement, change)
        return placement.slots


def search_moves(
    expert_map: ExpertMap,
    loads: Sequence[float],
    max_moves: int,
    aim: float,
) -> Generator[None, None, "Search"]:
    """Lowers the slowest rank step by step, from the map in force.

    Each step either swaps an expert of the slowest rank with a smaller one
    elsewhere (two copies) or gives the slot of a surplus replica to an expert
    of the slowest rank (one copy). If neither lowers the maximum, a
    replication may raise it for a few steps, since a swap may follow.

    Args:
        expert_map: Map in force.
        loads: Load of each expert.
        max_moves: Largest number of copies.
        aim: Load of the slowest rank below which no step is better.

    Returns:
        The steps in order, any of which may be the last one taken.
    """
    placement = Placement(expert_map, loads)
    yield
    changes: list[_Change] = []
    steps: list[Step] = []
    gained: set[int] = set()
    moves, detours = 0, 0
    while moves < max_moves and max(placement.totals) > aim:
        change, is_detour = yield from _choose_change(placement, aim, gained)
        yield
        detours += is_detour
        if change is None or detours > _MAX_DETOURS:
            break
        if moves + change[1] > max_moves:
            break
        _apply(placement, change)
        if change[2] == _REPLACE:
            gained.add(change[3][2])
        moves += change[1]
        changes.append(change)
        steps.append(Step(len(changes), moves, max(placement.totals)))
    return Search(expert_map, loads, tuple(changes), tuple(steps))
