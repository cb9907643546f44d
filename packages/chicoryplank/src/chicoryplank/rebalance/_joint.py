"""Maps of several sets of layers, improved by few copies at a time.

A pass waits in each set of layers for the rank with the most work there, so
the sets are balanced one by one, and their slowest ranks add up.
"""

import dataclasses
from collections.abc import Generator, Sequence

from chicoryplank.ids import ExpertId

# Experts of each rank, by set of layers and rank.
JointSlots = tuple[tuple[tuple[ExpertId, ...], ...], ...]

# Ranks that are tried as targets of one move, the least loaded first.
_TARGETS = 6
# Load of the slowest rank over the mean that is left as it is.
_GOOD_SKEW = 1.1
# Least relative improvement of the slowest rank that one move must bring.
_LEAST_GAIN = 0.03
_MAX_MOVES = 96


@dataclasses.dataclass(frozen=True, slots=True)
class JointLimits:
    """What the ranks of a group can hold.

    Attributes:
        places: Experts that a rank holds in a set, at most.
        max_new: Experts of a set that one change brings to a rank, at most.
    """

    places: int
    max_new: int


@dataclasses.dataclass(frozen=True, slots=True)
class JointDecision:
    """Result of the search.

    Attributes:
        slots: Map to bring into force.
        copies: Experts that ranks must copy.
        current_skew: Mean over the sets of the slowest rank over the mean.
        predicted_skew: The same with the new map.
    """

    slots: JointSlots
    copies: int
    current_skew: float
    predicted_skew: float


def compute_joint_skew(
    slots: JointSlots, loads: Sequence[Sequence[float]]
) -> float:
    """Returns the mean over the sets of the slowest rank over the mean rank.

    Args:
        slots: Experts of each rank, by set and rank.
        loads: Load of each expert, by set and expert.
    """
    skews = [
        _SetSearch(ranks, set_loads, JointLimits(0, 0)).skew
        for ranks, set_loads in zip(slots, loads, strict=True)
    ]
    return sum(skews) / len(skews) if skews else 1.0


def improve_joint_map(
    slots: JointSlots, loads: Sequence[Sequence[float]], limits: JointLimits
) -> Generator[None, None, JointDecision]:
    """Returns a better map from a generator that yields often.

    Args:
        slots: Map in force: experts of each rank, by set and rank.
        loads: Load of each expert, by set and expert.
        limits: What the ranks can hold.

    References:
        DeepSeek-AI, "Expert Parallelism Load Balancer (EPLB)", 2025, for the
        replication of the experts with the most load.
    """
    improved = []
    copies = 0
    before = 0.0
    after = 0.0
    for ranks, set_loads in zip(slots, loads, strict=True):
        search = _SetSearch(ranks, set_loads, limits)
        before += search.skew
        for _ in range(_MAX_MOVES):
            yield
            if not search.improve():
                break
        after += search.skew
        copies += search.count_copies()
        improved.append(search.make_slots())
    size = max(1, len(slots))
    return JointDecision(tuple(improved), copies, before / size, after / size)


@dataclasses.dataclass(frozen=True, slots=True)
class _Edit:
    """Experts that ranks get and lose in one move."""

    added: tuple[tuple[int, ExpertId], ...]
    removed: tuple[tuple[int, ExpertId], ...]


class _SetSearch:
    """Search in one set of layers.

    Args:
        ranks: Experts of each rank.
        loads: Load of each expert.
        limits: What the ranks can hold.
    """

    def __init__(
        self,
        ranks: Sequence[Sequence[ExpertId]],
        loads: Sequence[float],
        limits: JointLimits,
    ) -> None:
        self._original = [frozenset(experts) for experts in ranks]
        self._held = [set(experts) for experts in ranks]
        self._loads = loads
        self._limits = limits
        self._holders: dict[ExpertId, set[int]] = {}
        for rank, experts in enumerate(self._held):
            for expert in experts:
                self._holders.setdefault(expert, set()).add(rank)
        self._totals = [
            sum(self._share(expert) for expert in experts)
            for experts in self._held
        ]
        self._mean = sum(self._totals) / max(1, len(self._totals))

    @property
    def skew(self) -> float:
        """Load of the slowest rank over the mean; 1 if idle."""
        if self._mean <= 0:
            return 1.0
        return max(self._totals) / self._mean

    def make_slots(self) -> tuple[tuple[ExpertId, ...], ...]:
        """Returns the experts of each rank, in order."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    def count_copies(self) -> int:
        """Returns the experts that are new to their rank."""
        return sum(
            len(experts - original)
            for experts, original in zip(
                self._held, self._original, strict=True
            )
        )

    def improve(self) -> bool:
        """Makes the best move for the slowest rank; False if none helps."""
        if self._mean <= 0 or self.skew <= _GOOD_SKEW:
            return False
        slowest = max(range(len(self._totals)), key=self._totals.__getitem__)
        bound = self._totals[slowest] * (1 - _LEAST_GAIN)
        best = None
        for edit in self._list_edits(slowest):
            peak = self._evaluate(edit, bound)
            if peak is not None:
                best, bound = edit, peak
        if best is None:
            return False
        self._apply(best)
        return True

    def _share(self, expert: ExpertId) -> float:
        return self._loads[expert] / len(self._holders[expert])

    def _has_room(self, rank: int, expert: ExpertId) -> bool:
        """Whether a change may bring an expert to a rank."""
        if expert in self._original[rank]:
            return True
        new = len(self._held[rank] - self._original[rank])
        return new < self._limits.max_new

    def _list_edits(self, slowest: int):
        targets = sorted(
            (rank for rank in range(len(self._totals)) if rank != slowest),
            key=self._totals.__getitem__,
        )
        hottest = sorted(self._held[slowest], key=self._share, reverse=True)
        for expert in hottest:
            if len(self._holders[expert]) > 1:
                yield _Edit((), ((slowest, expert),))
            tried = 0
            for target in targets:
                if expert in self._held[target] or not self._has_room(
                    target, expert
                ):
                    continue
                yield from self._list_target_edits(slowest, expert, target)
                tried += 1
                if tried == _TARGETS:
                    break

    def _list_target_edits(self, slowest: int, expert: ExpertId, target: int):
        added = (target, expert)
        moved = (slowest, expert)
        if len(self._held[target]) < self._limits.places:
            yield _Edit((added,), ())
            yield _Edit((added,), (moved,))
        for other in self._held[target]:
            dropped = (target, other)
            if len(self._holders[other]) > 1:
                yield _Edit((added,), (dropped,))
                yield _Edit((added,), (moved, dropped))
            if other not in self._held[slowest] and self._has_room(
                slowest, other
            ):
                yield _Edit((added, (slowest, other)), (moved, dropped))

    def _evaluate(self, edit: _Edit, bound: float) -> float | None:
        """Returns the largest changed load, or None if it is not below."""
        changes: dict[ExpertId, list[set[int]]] = {}
        for rank, expert in edit.added:
            changes.setdefault(expert, [set(), set()])[0].add(rank)
        for rank, expert in edit.removed:
            changes.setdefault(expert, [set(), set()])[1].add(rank)
        totals: dict[int, float] = {}
        for expert, (gained, lost) in changes.items():
            holders = self._holders[expert]
            count = len(holders) + len(gained) - len(lost)
            load = self._loads[expert]
            old = load / len(holders)
            new = load / count
            for rank in holders:
                change = -old if rank in lost else new - old
                totals[rank] = totals.get(rank, self._totals[rank]) + change
            for rank in gained:
                totals[rank] = totals.get(rank, self._totals[rank]) + new
        peak = max(totals.values())
        return peak if peak < bound else None

    def _apply(self, edit: _Edit) -> None:
        for rank, expert in edit.added:
            self._held[rank].add(expert)
            self._holders[expert].add(rank)
        for rank, expert in edit.removed:
            self._held[rank].remove(expert)
            self._holders[expert].remove(rank)
        touched = {expert for _, expert in (*edit.added, *edit.removed)}
        ranks = {rank for rank, _ in (*edit.added, *edit.removed)}
        for expert in touched:
            ranks |= self._holders[expert]
        for rank in ranks:
            self._totals[rank] = sum(
                self._share(expert) for expert in self._held[rank]
            )
