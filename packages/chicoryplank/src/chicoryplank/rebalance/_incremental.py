"""Rebalancing by a few moves whose predicted gain exceeds their cost."""

import dataclasses
import math
from collections.abc import Sequence
from datetime import datetime

from chicoryplank.configuration import Objective
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.rebalance._estimator import LoadEstimator
from chicoryplank.rebalance._map import (
    ExpertMap,
    arrange_slots,
    compute_rank_loads,
    compute_skew,
    compute_skew_bound,
    list_moves,
)
from chicoryplank.rebalance._policy import Decision, DecisionGenerator, Reason
from chicoryplank.rebalance._runners import run_to_completion
from chicoryplank.rebalance._search import SearchState, search_moves


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceSettings:
    """Parameters of the incremental policy.

    Costs and gains are in units of the mean step duration.

    Attributes:
        expert_bytes: Size of one expert's weights, in bytes.
        horizon_steps: Number of steps over which the gain of a lower skew is
            summed.
        move_cost_steps: Cost of copying one expert.
        switch_cost_steps: Cost of one switch of the map, in addition to the
            cost of its copies.
        hysteresis: Factor by which the gain must exceed the cost.
        max_moves: Largest number of copies in one switch.
        tolerance: Relative excess of the skew over its lower bound up to which
            the map counts as balanced.
        noise_factor: Smallest reduction of the skew, in standard errors of the
            skew.
        settled_factor: Value that replaces `noise_factor` once the group has
            settled on steady loads.
        settling_decisions: Consecutive decisions without moves after which the
            group counts as settled.
        window: Length of the slowest average of the loads, in intervals.
        change_threshold: Deviation of one load that counts as a change, in
            standard deviations.
        emergency_skew: Skew, as a multiple of its lower bound, above which
            experts are moved even in a hold window.
        max_holds: Largest number of hold windows that have not ended.
    """

    expert_bytes: int
    horizon_steps: float = 1000.0
    move_cost_steps: float = 0.2
    switch_cost_steps: float = 1.0
    hysteresis: float = 1.5
    max_moves: int = 24
    tolerance: float = 0.003
    noise_factor: float = 1.0
    settled_factor: float = 5.0
    settling_decisions: int = 8
    window: int = 64
    change_threshold: float = 4.5
    emergency_skew: float = 2.0
    max_holds: int = 256

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if not value >= 0 or (value == 0 and field.type is int):
                raise ChicoryplankError(
                    ErrorCode.INVALID_SETTINGS,
                    f"{field.name} is out of range: {value}",
                )
        for name in ("hysteresis", "emergency_skew"):
            if getattr(self, name) < 1:
                raise ChicoryplankError(
                    ErrorCode.INVALID_SETTINGS,
                    f"{name} must be at least 1: {getattr(self, name)}",
                )


def make_settings(objective: Objective, expert_bytes: int) -> RebalanceSettings:
    """Returns the parameters for an objective.

    SKEW accepts moves for a small gain. COST counts five times the cost per
    copy and ten times the cost per switch, and allows fewer copies in one
    switch.

    Args:
        objective: What the service optimises.
        expert_bytes: Size of one expert's weights, in bytes.
    """
    if objective is Objective.SKEW:
        return RebalanceSettings(expert_bytes)
    return RebalanceSettings(
        expert_bytes,
        move_cost_steps=1.0,
        switch_cost_steps=10.0,
        hysteresis=2.0,
        max_moves=16,
        tolerance=0.05,
        settled_factor=5.0,
    )


class IncrementalPolicy:
    """Moves a few experts when the predicted gain exceeds the cost.

    Args:
        settings: Parameters of costs, gains and noise.

    Example:
        >>> settings = make_settings(Objective.COST, expert_bytes=44_000_000)
        >>> policy = IncrementalPolicy(settings)
    """

    def __init__(self, settings: RebalanceSettings) -> None:
        self._settings = settings
        self._estimator = LoadEstimator(
            settings.window, settings.change_threshold
        )
        self._hold_windows: list[tuple[datetime, datetime]] = []
        self._decisions_without_moves = 0
        self._settled_noise: float | None = None

    def add_hold_window(self, start: datetime, end: datetime) -> None:
        """Adds a window in which no expert moves.

        An example is the closing call of an auction. A skew above
        `emergency_skew` overrides the window.

        Raises:
            ChicoryplankError: With INVALID_SETTINGS if the window is empty or
                `max_holds` windows have not ended yet.
        """
        if start >= end or len(self._hold_windows) >= self._settings.max_holds:
            raise ChicoryplankError(
                ErrorCode.INVALID_SETTINGS,
                f"hold window from {start} to {end} cannot be added to "
                f"{len(self._hold_windows)} windows",
            )
        self._hold_windows.append((start, end))

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval, one count per expert."""
        self._hold_windows = [
            window for window in self._hold_windows if window[1] > now
        ]
        self._estimator.observe(loads)

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns the decision; blocks for the whole computation."""
        return run_to_completion(self.choose_cooperatively(expert_map, now))

    def choose_cooperatively(
        self, expert_map: ExpertMap, now: datetime
    ) -> DecisionGenerator:
        """Returns the decision from a generator that yields between slices."""
        decision = yield from self._decide(expert_map, now)
        if decision.moves or not self._estimator.is_steady:
            self._decisions_without_moves = 0
            self._settled_noise = None
            return decision
        self._decisions_without_moves += 1
        if self._decisions_without_moves == self._settings.settling_decisions:
            rank_loads = compute_rank_loads(expert_map, self._estimator.means)
            self._settled_noise = self._estimate_noise(expert_map, rank_loads)
        return decision

    def _decide(
        self, expert_map: ExpertMap, now: datetime
    ) -> DecisionGenerator:
        loads = tuple(self._estimator.means)
        if not loads:
            return Decision(expert_map, (), 1.0, 1.0, Reason.NO_LOADS)
        rank_loads = compute_rank_loads(expert_map, loads)
        skew = compute_skew(rank_loads)
        yield
        capacities = [len(slots) for slots in expert_map.slots]
        lower_bound = compute_skew_bound(loads, capacities)
        target_skew = lower_bound * (1 + self._settings.tolerance)
        yield
        emergency = skew > self._settings.emergency_skew * lower_bound
        reason = None
        if skew <= target_skew:
            reason = Reason.BALANCED
        elif self._is_in_hold_window(now) and not emergency:
            reason = Reason.HOLD_WINDOW
        if reason is not None:
            return Decision(expert_map, (), skew, skew, reason)
        decision = yield from self._search(
            expert_map, loads, rank_loads, target_skew
        )
        if emergency and decision.moves:
            return dataclasses.replace(decision, reason=Reason.EMERGENCY)
        return decision

    def _search(
        self,
        expert_map: ExpertMap,
        loads: Sequence[float],
        rank_loads: Sequence[float],
        target_skew: float,
    ) -> DecisionGenerator:
        skew = compute_skew(rank_loads)
        mean = sum(rank_loads) / len(rank_loads)
        search = yield from search_moves(
            expert_map, loads, self._settings.max_moves, target_skew * mean
        )
        best = self._choose_best_state(search.states, skew, mean)
        if best is None:
            return Decision(expert_map, (), skew, skew, Reason.GAIN_BELOW_COST)
        predicted = best.peak_load / mean
        if skew - predicted <= self._compute_min_gain(expert_map, rank_loads):
            return Decision(expert_map, (), skew, skew, Reason.WITHIN_NOISE)
        assignment = search.build_assignment(best)
        yield
        target = arrange_slots(expert_map, assignment)
        yield
        moves = list_moves(expert_map, target, self._settings.expert_bytes)
        return Decision(target, moves, skew, predicted, Reason.GAIN)

    def _compute_min_gain(
        self, expert_map: ExpertMap, rank_loads: Sequence[float]
    ) -> float:
        """Returns the reduction of the skew that noise alone may explain.

        Under steady loads the estimates improve for a long time. A settled
        group has a higher threshold; otherwise each small correction of an
        estimate would cause another switch.
        """
        noise = self._estimate_noise(expert_map, rank_loads)
        if self._settled_noise is None:
            return self._settings.noise_factor * noise
        return self._settings.settled_factor * max(noise, self._settled_noise)

    def _is_in_hold_window(self, now: datetime) -> bool:
        return any(start <= now < end for start, end in self._hold_windows)

    def _choose_best_state(
        self, states: Sequence[SearchState], skew: float, mean: float
    ) -> SearchState | None:
        settings = self._settings
        best, best_net_gain = None, 0.0
        for state in states:
            gain = (skew - state.peak_load / mean) * settings.horizon_steps
            cost = settings.hysteresis * (
                settings.switch_cost_steps
                + settings.move_cost_steps * state.copies
            )
            if gain - cost > best_net_gain:
                best, best_net_gain = state, gain - cost
        return best

    def _estimate_noise(
        self, expert_map: ExpertMap, rank_loads: Sequence[float]
    ) -> float:
        """Returns the standard error of the skew.

        It takes into account the load of the most loaded rank only.
        """
        most_loaded = max(range(len(rank_loads)), key=rank_loads.__getitem__)
        counts = expert_map.count_replicas()
        variance = sum(
            self._estimator.estimate_variance(expert) / counts[expert] ** 2
            for expert in expert_map.slots[most_loaded]
        )
        mean = sum(rank_loads) / len(rank_loads)
        return math.sqrt(variance) / mean
