"""Rebalancing by few moves whose gain exceeds their cost."""

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
from chicoryplank.rebalance._policy import Decision, Reason, Steps
from chicoryplank.rebalance._search import Step, search_moves
from chicoryplank.rebalance._steps import run_steps


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceSettings:
    """Parameters of the incremental policy.

    Costs and gains are in units of one mean step time.

    Attributes:
        expert_bytes: Size of one expert's weights.
        horizon_steps: Steps over which a lower skew is counted as gain.
        move_cost_steps: Cost of copying one expert.
        switch_cost_steps: Cost of one switch, whatever its moves.
        hysteresis: Factor by which the gain must exceed the cost.
        max_moves: Copies in one switch.
        tolerance: Skew over its lower bound that is left as it is.
        noise_factor: Standard errors by which the gain must exceed noise.
        settled_factor: The same once the group has settled on steady loads.
        settling_decisions: Decisions in a row without moves after which the
            group counts as settled.
        window: Longest average of loads, in intervals.
        change_threshold: Standard deviations that count as a change of load.
        emergency_skew: Skew, as a multiple of its lower bound, above which a
            hold window does not apply.
        max_holds: Hold windows kept at a time.
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

    SKEW accepts a move for a small gain. COST asks for five times the gain
    and makes fewer moves per switch.
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
    """Moves few experts, only when the predicted gain exceeds the cost.

    Args:
        settings: Parameters.

    Example:
        >>> settings = make_settings(Objective.COST, expert_bytes=44_000_000)
        >>> policy = IncrementalPolicy(settings)
    """

    def __init__(self, settings: RebalanceSettings) -> None:
        self._settings = settings
        self._estimator = LoadEstimator(
            settings.window, settings.change_threshold
        )
        self._holds: list[tuple[datetime, datetime]] = []
        self._quiet_decisions = 0
        self._settled_noise: float | None = None

    def hold(self, start: datetime, end: datetime) -> None:
        """Adds a window in which nothing moves, such as a closing call.

        Raises:
            ChicoryplankError: With INVALID_SETTINGS if the window is empty or
                too many windows are pending.
        """
        if start >= end or len(self._holds) >= self._settings.max_holds:
            raise ChicoryplankError(
                ErrorCode.INVALID_SETTINGS,
                f"hold window from {start} to {end} cannot be added to "
                f"{len(self._holds)} windows",
            )
        self._holds.append((start, end))

    def observe(self, loads: Sequence[float], now: datetime) -> None:
        """Records the loads of the last interval, one count per expert."""
        self._holds = [hold for hold in self._holds if hold[1] > now]
        self._estimator.observe(loads)

    def choose(self, expert_map: ExpertMap, now: datetime) -> Decision:
        """Returns the decision at once; blocks for its total duration."""
        return run_steps(self.choose_in_steps(expert_map, now))

    def choose_in_steps(self, expert_map: ExpertMap, now: datetime) -> Steps:
        """Returns the decision from a generator that yields often."""
        decision = yield from self._decide(expert_map, now)
        if decision.moves or not self._estimator.steady:
            self._quiet_decisions = 0
            self._settled_noise = None
            return decision
        self._quiet_decisions += 1
        if self._quiet_decisions == self._settings.settling_decisions:
            rank_loads = compute_rank_loads(expert_map, self._estimator.means)
            self._settled_noise = self._estimate_noise(expert_map, rank_loads)
        return decision

    def _decide(self, expert_map: ExpertMap, now: datetime) -> Steps:
        loads = tuple(self._estimator.means)
        if not loads:
            return Decision(expert_map, (), 1.0, 1.0, Reason.NO_LOADS)
        rank_loads = compute_rank_loads(expert_map, loads)
        skew = compute_skew(rank_loads)
        yield
        capacities = [len(slots) for slots in expert_map.slots]
        bound = compute_skew_bound(loads, capacities)
        aim = bound * (1 + self._settings.tolerance)
        yield
        emergency = skew > self._settings.emergency_skew * bound
        reason = None
        if skew <= aim:
            reason = Reason.BALANCED
        elif self._is_held(now) and not emergency:
            reason = Reason.HELD
        if reason is not None:
            return Decision(expert_map, (), skew, skew, reason)
        decision = yield from self._search(expert_map, loads, rank_loads, aim)
        if emergency and decision.moves:
            return dataclasses.replace(decision, reason=Reason.EMERGENCY)
        return decision

    def _search(
        self,
        expert_map: ExpertMap,
        loads: Sequence[float],
        rank_loads: Sequence[float],
        aim: float,
    ) -> Steps:
        skew = compute_skew(rank_loads)
        mean = sum(rank_loads) / len(rank_loads)
        search = yield from search_moves(
            expert_map, loads, self._settings.max_moves, aim * mean
        )
        best = self._find_best(search.steps, skew, mean)
        if best is None:
            return Decision(expert_map, (), skew, skew, Reason.NOT_WORTH)
        predicted = best.largest / mean
        if skew - predicted <= self._find_threshold(expert_map, rank_loads):
            return Decision(expert_map, (), skew, skew, Reason.WITHIN_NOISE)
        assignment = search.build_assignment(best)
        yield
        target = arrange_slots(expert_map, assignment)
        yield
        moves = list_moves(expert_map, target, self._settings.expert_bytes)
        return Decision(target, moves, skew, predicted, Reason.GAIN)

    def _find_threshold(
        self, expert_map: ExpertMap, rank_loads: Sequence[float]
    ) -> float:
        """Returns the gain of skew that noise alone may show.

        On steady loads the estimates improve for a long time. Without the
        higher threshold of a settled group each small improvement of an
        estimate would cause another switch.
        """
        noise = self._estimate_noise(expert_map, rank_loads)
        if self._settled_noise is None:
            return self._settings.noise_factor * noise
        return self._settings.settled_factor * max(noise, self._settled_noise)

    def _is_held(self, now: datetime) -> bool:
        return any(start <= now < end for start, end in self._holds)

    def _find_best(
        self, steps: Sequence[Step], skew: float, mean: float
    ) -> Step | None:
        settings = self._settings
        best, best_value = None, 0.0
        for step in steps:
            gain = (skew - step.largest / mean) * settings.horizon_steps
            cost = settings.hysteresis * (
                settings.switch_cost_steps
                + settings.move_cost_steps * step.moves
            )
            if gain - cost > best_value:
                best, best_value = step, gain - cost
        return best

    def _estimate_noise(
        self, expert_map: ExpertMap, rank_loads: Sequence[float]
    ) -> float:
        """Returns the standard error of the skew of the slowest rank."""
        slowest = max(range(len(rank_loads)), key=rank_loads.__getitem__)
        counts = expert_map.count_replicas()
        variance = sum(
            self._estimator.estimate_variance(expert) / counts[expert] ** 2
            for expert in expert_map.slots[slowest]
        )
        mean = sum(rank_loads) / len(rank_loads)
        return math.sqrt(variance) / mean
