"""Expert maps of several layer sets, improved by a few copies at a time.

A layer set is a group of layers that share one assignment of experts to ranks.
In each step, all ranks wait for the most loaded rank of each layer set. The
duration of a step therefore depends on the sum of the peak loads of the sets,
and each set is balanced on its own. The ranks copy at the same time, so the
duration of a change depends on the largest number of copies of one rank over
all sets.

A rank that computes more slowly than the others takes longer for the same load.
Its load is therefore weighted by its pace, the ratio of its computing time to
the usual one, so that its experts move to other ranks.
"""

import dataclasses
from collections.abc import Generator, Sequence

from chicoryplank.ids import ExpertId
from chicoryplank.rebalance._change_costs import ChangeCosts

# Experts of each rank, by layer set and rank.
JointSlots = tuple[tuple[tuple[ExpertId, ...], ...], ...]

# Ranks that are tried as targets for one expert, the least loaded first.
_MAX_TARGETS = 6
# Experts of a target that are tried as the one to remove, the least loaded
# first.
_MAX_REMOVED = 3
# Skew up to which a layer set counts as balanced.
_ACCEPTABLE_SKEW = 1.1
# Smallest relative reduction of the peak load that justifies one edit.
_MIN_RELATIVE_GAIN = 0.03
# Largest number of edits of one layer set in one search.
_MAX_EDITS = 96
# Cost of an edit without copies, in copies, when edits are compared.
_COPY_FREE_COST = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class JointLimits:
    """Limits on the experts of one rank in one layer set.

    Attributes:
        max_experts: Largest number of experts that the rank can hold.
        max_new_experts: Largest number of experts that the rank may copy in
            one change of the map.
    """

    max_experts: int
    max_new_experts: int


@dataclasses.dataclass(frozen=True, slots=True)
class JointDecision:
    """Result of the search.

    Attributes:
        slots: Map to activate.
        copies: Number of experts that ranks must copy.
        rank_copies: Largest number of copies of one rank.
        copying_s: Duration of these copies in seconds.
        current_skew: Mean skew of the layer sets with the current map.
        predicted_skew: Mean skew of the layer sets with `slots`.
        gain: Relative reduction of the mean step duration while the demand
            lasts.
    """

    slots: JointSlots
    copies: int
    rank_copies: int
    copying_s: float
    current_skew: float
    predicted_skew: float
    gain: float


def compute_joint_skew(
    slots: JointSlots,
    loads: Sequence[Sequence[float]],
    paces: Sequence[float] = (),
) -> float:
    """Returns the mean skew of the layer sets.

    The skew of a set is the ratio of its largest weighted rank load to the mean
    load.

    Args:
        slots: Experts of each rank, by layer set and rank.
        loads: Load of each expert, by layer set and expert.
        paces: Pace of each rank, 1 for the usual one; empty if all have that.
    """
    return _compute_mean_skew(
        [
            _LayerSetSearch(
                ranks, set_loads, JointLimits(0, 0), _Copies(ranks), paces
            )
            for ranks, set_loads in zip(slots, loads, strict=True)
        ]
    )


def improve_joint_map(
    slots: JointSlots,
    loads: Sequence[Sequence[float]],
    limits: JointLimits,
    costs: ChangeCosts | None = None,
    paces: Sequence[float] = (),
) -> Generator[None, None, JointDecision]:
    """Returns a map with less skew from a generator that yields between edits.

    The number of copies that each rank may make is raised one by one, and the
    edits with the largest reduction of a peak for each copy come first. Of the
    maps found for these numbers, the one with the shortest mean step duration
    is returned, which may be the active one.

    Args:
        slots: Active map: experts of each rank, by layer set and rank.
        loads: Load of each expert, by layer set and expert.
        limits: Limits on the experts of each rank.
        costs: Durations that limit the copies; by default copies cost nothing.
        paces: Pace of each rank, 1 for the usual one; empty if all have that.

    References:
        DeepSeek-AI, "Expert Parallelism Load Balancer (EPLB)", 2025, for the
        replication of the experts with the most load.
    """
    costs = costs or ChangeCosts()
    copies = _Copies(slots[0] if slots else ())
    searches = [
        _LayerSetSearch(ranks, set_loads, limits, copies, paces)
        for ranks, set_loads in zip(slots, loads, strict=True)
    ]
    initial_skew = _compute_mean_skew(searches)
    initial_duration = costs.compute_mean_duration(
        0, initial_skew, initial_skew
    )
    best_duration = initial_duration
    best = JointDecision(slots, 0, 0, 0.0, initial_skew, initial_skew, 0.0)
    for copies.budget in range(1, len(slots) * limits.max_new_experts + 1):
        unbalanced = list(searches)
        changed = False
        while unbalanced:
            yield
            search = max(unbalanced, key=lambda item: item.skew)
            if search.improve():
                changed = True
            else:
                unbalanced.remove(search)
        skew = _compute_mean_skew(searches)
        duration = costs.compute_mean_duration(
            copies.largest, initial_skew, skew
        )
        if duration < best_duration:
            best_duration = duration
            best = JointDecision(
                tuple(search.make_slots() for search in searches),
                copies.total,
                copies.largest,
                copies.largest * costs.copy_s,
                initial_skew,
                skew,
                1.0 - duration / initial_duration,
            )
        bound = costs.compute_mean_duration(
            copies.budget + 1, initial_skew, min(1.0, initial_skew)
        )
        if bound >= best_duration or (
            not changed and copies.largest < copies.budget
        ):
            break
    return best


def _compute_mean_skew(searches: Sequence["_LayerSetSearch"]) -> float:
    if not searches:
        return 1.0
    return sum(search.skew for search in searches) / len(searches)


@dataclasses.dataclass(frozen=True, slots=True)
class _Edit:
    """Experts to add to and remove from ranks, as (rank, expert) pairs."""

    added: tuple[tuple[int, ExpertId], ...]
    removed: tuple[tuple[int, ExpertId], ...]


class _Copies:
    """Number of experts that each rank must copy, over all layer sets.

    Args:
        ranks: The ranks.

    Attributes:
        budget: Largest number of copies of one rank.
    """

    def __init__(self, ranks: Sequence) -> None:
        self._counts = [0] * len(ranks)
        self.budget = 0

    @property
    def largest(self) -> int:
        """Largest number of copies of one rank."""
        return max(self._counts, default=0)

    @property
    def total(self) -> int:
        """Number of copies of all ranks."""
        return sum(self._counts)

    def is_exhausted(self, rank: int) -> bool:
        """Whether the rank may not copy another expert."""
        return self._counts[rank] >= self.budget

    def add(self, rank: int, count: int) -> None:
        """Adds to the number of copies of a rank."""
        self._counts[rank] += count


class _LayerSetSearch:
    """Local search for a map of one layer set with less skew.

    Args:
        ranks: Experts of each rank.
        loads: Load of each expert.
        limits: Limits on the experts of each rank.
        copies: Copies of each rank, shared with the other layer sets.
        paces: Pace of each rank; empty if all have the usual one.
    """

    def __init__(
        self,
        ranks: Sequence[Sequence[ExpertId]],
        loads: Sequence[float],
        limits: JointLimits,
        copies: _Copies,
        paces: Sequence[float] = (),
    ) -> None:
        self._initial_experts = [frozenset(experts) for experts in ranks]
        self._rank_experts = [set(experts) for experts in ranks]
        self._loads = loads
        self._limits = limits
        self._copies = copies
        self._edit_count = 0
        self._holders: dict[ExpertId, set[int]] = {}
        for rank, experts in enumerate(self._rank_experts):
            for expert in experts:
                self._holders.setdefault(expert, set()).add(rank)
        self._paces = tuple(paces) or (1.0,) * len(ranks)
        self._rank_loads = [
            self._sum_rank_load(rank) for rank in range(len(ranks))
        ]
        self._mean = sum(loads[expert] for expert in self._holders) / max(
            1, len(ranks)
        )

    @property
    def skew(self) -> float:
        """Ratio of the largest weighted load to the mean load; 1 if idle."""
        if self._mean <= 0:
            return 1.0
        return max(self._rank_loads) / self._mean

    def make_slots(self) -> tuple[tuple[ExpertId, ...], ...]:
        """Returns the experts of each rank, in ascending order."""
        return tuple(tuple(sorted(experts)) for experts in self._rank_experts)

    def improve(self) -> bool:
        """Applies the best edit for the most loaded rank.

        Returns:
            False if the set is balanced or no edit lowers the peak load enough.
        """
        if (
            self._mean <= 0
            or self.skew <= _ACCEPTABLE_SKEW
            or self._edit_count >= _MAX_EDITS
        ):
            return False
        most_loaded = max(
            range(len(self._rank_loads)), key=self._rank_loads.__getitem__
        )
        peak = self._rank_loads[most_loaded]
        bound = peak * (1 - _MIN_RELATIVE_GAIN)
        best = None
        best_score = 0.0
        for edit in self._list_edits(most_loaded):
            new_peak = self._evaluate(edit, bound)
            if new_peak is None:
                continue
            copied = sum(
                expert not in self._initial_experts[rank]
                for rank, expert in edit.added
            )
            score = (peak - new_peak) / (copied or _COPY_FREE_COST)
            if score > best_score:
                best, best_score = edit, score
        if best is None:
            return False
        self._apply(best)
        self._edit_count += 1
        return True

    def _get_replica_load(self, expert: ExpertId) -> float:
        return self._loads[expert] / len(self._holders[expert])

    def _sum_rank_load(self, rank: int) -> float:
        """Returns the load of a rank, weighted by its pace."""
        return self._paces[rank] * sum(
            self._get_replica_load(expert)
            for expert in self._rank_experts[rank]
        )

    def _may_receive(self, rank: int, expert: ExpertId) -> bool:
        """Whether a rank may get an expert under the limits on copies."""
        initial = self._initial_experts[rank]
        if expert in initial:
            return True
        if self._copies.is_exhausted(rank):
            return False
        new_count = len(self._rank_experts[rank] - initial)
        return new_count < self._limits.max_new_experts

    def _list_edits(self, most_loaded: int):
        targets = sorted(
            (
                rank
                for rank in range(len(self._rank_loads))
                if rank != most_loaded
            ),
            key=self._rank_loads.__getitem__,
        )
        experts_by_load = sorted(
            self._rank_experts[most_loaded],
            key=self._get_replica_load,
            reverse=True,
        )
        for expert in experts_by_load:
            if len(self._holders[expert]) > 1:
                yield _Edit((), ((most_loaded, expert),))
            target_count = 0
            for target in targets:
                if expert in self._rank_experts[
                    target
                ] or not self._may_receive(target, expert):
                    continue
                yield from self._list_target_edits(most_loaded, expert, target)
                target_count += 1
                if target_count == _MAX_TARGETS:
                    break

    def _list_target_edits(
        self, most_loaded: int, expert: ExpertId, target: int
    ):
        added = (target, expert)
        moved = (most_loaded, expert)
        if len(self._rank_experts[target]) < self._limits.max_experts:
            yield _Edit((added,), ())
            yield _Edit((added,), (moved,))
            return
        others = sorted(self._rank_experts[target], key=self._get_replica_load)
        removable = [other for other in others if len(self._holders[other]) > 1]
        for other in removable[:_MAX_REMOVED]:
            dropped = (target, other)
            yield _Edit((added,), (dropped,))
            yield _Edit((added,), (moved, dropped))
        for other in others[:_MAX_REMOVED]:
            if other not in self._rank_experts[
                most_loaded
            ] and self._may_receive(most_loaded, other):
                dropped = (target, other)
                yield _Edit((added, (most_loaded, other)), (moved, dropped))

    def _evaluate(self, edit: _Edit, bound: float) -> float | None:
        """Returns the largest load of the ranks that an edit affects.

        Returns:
            None if that load is not below `bound`.
        """
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
            old_load = load / len(holders)
            new_load = load / count
            for rank in holders:
                change = -old_load if rank in lost else new_load - old_load
                totals[rank] = (
                    totals.get(rank, self._rank_loads[rank])
                    + self._paces[rank] * change
                )
            for rank in gained:
                totals[rank] = (
                    totals.get(rank, self._rank_loads[rank])
                    + self._paces[rank] * new_load
                )
        peak = max(totals.values())
        return peak if peak < bound else None

    def _apply(self, edit: _Edit) -> None:
        for rank, expert in edit.added:
            self._rank_experts[rank].add(expert)
            self._holders[expert].add(rank)
            self._copies.add(rank, expert not in self._initial_experts[rank])
        for rank, expert in edit.removed:
            self._rank_experts[rank].remove(expert)
            self._holders[expert].remove(rank)
            self._copies.add(rank, -(expert not in self._initial_experts[rank]))
        changed_experts = {expert for _, expert in (*edit.added, *edit.removed)}
        ranks = {rank for rank, _ in (*edit.added, *edit.removed)}
        for expert in changed_experts:
            ranks |= self._holders[expert]
        for rank in ranks:
            self._rank_loads[rank] = self._sum_rank_load(rank)
