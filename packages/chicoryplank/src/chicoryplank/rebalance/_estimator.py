"""Smoothed expert loads with an estimate of their variance."""

import math
import statistics
from collections.abc import Sequence

# Median of the chi-squared distribution with one degree of freedom. The median
# of squared deviations, divided by it, estimates the variance; unlike the mean
# of the squares, it is insensitive to outliers.
_MEDIAN_CHI_SQUARED = 0.455
# Weight of the newest interval in the average of the dispersion.
_DISPERSION_SMOOTHING_FACTOR = 0.1
# Factor by which past prediction errors decay at each interval.
_ERROR_DECAY = 0.9
# Loads count as steady while an average with at most this smoothing factor
# predicts best.
_MAX_STEADY_SMOOTHING_FACTOR = 1 / 16
# Relative reduction of the prediction error by which a faster average must
# beat a slower one.
_MIN_ERROR_REDUCTION = 0.02


class LoadEstimator:
    """Estimates each expert's load, scaled to a mean of one over the experts.

    Several exponentially weighted moving averages with different smoothing
    factors are kept; the estimate is the one that predicted the recent
    intervals best over all experts. If the loads only show noise, this is the
    slowest average, and if they drift, a faster one. The averages of an expert
    restart when one observation deviates by more than `threshold` standard
    deviations. The variance of a count is modelled as proportional to its
    mean; the factor (dispersion) is a median over all experts, so that a few
    experts whose load changes do not affect it.

    Args:
        window: Length of the slowest average, in intervals.
        threshold: Deviation that counts as a change of load, in standard
            deviations.
    """

    def __init__(self, window: int, threshold: float) -> None:
        self._threshold = threshold
        self._smoothing_factors = [1 / window]
        while self._smoothing_factors[-1] < 0.5:
            self._smoothing_factors.append(
                min(0.5, self._smoothing_factors[-1] * 2)
            )
        self._averages: list[list[float]] = []
        self._prediction_errors = [0.0] * len(self._smoothing_factors)
        self._chosen_index = 0
        self._previous: list[float] = []
        self._sample_counts: list[int] = []
        self._dispersion: float | None = None

    @property
    def means(self) -> list[float]:
        """Estimated load of each expert; empty before the first observation."""
        return self._averages[self._chosen_index] if self._averages else []

    @property
    def is_steady(self) -> bool:
        """Whether the recent loads showed noise only, without drift."""
        return (
            self._smoothing_factors[self._chosen_index]
            <= _MAX_STEADY_SMOOTHING_FACTOR
        )

    def observe(self, loads: Sequence[float]) -> None:
        """Adds the loads of one interval; ignores intervals without load."""
        total = sum(loads)
        if total <= 0:
            return
        scale = len(loads) / total
        values = [load * scale for load in loads]
        if len(values) != len(self._previous):
            self._averages = [list(values) for _ in self._smoothing_factors]
            self._sample_counts = [1] * len(values)
        else:
            self._observe_dispersion(values)
            changed = self._find_changed_experts(values)
            self._score_averages(values, changed)
            self._update_averages(values, changed)
        self._previous = values

    def _observe_dispersion(self, values: Sequence[float]) -> None:
        squares = [
            (value - previous) ** 2 / (value + previous)
            for value, previous in zip(values, self._previous, strict=True)
            if value + previous > 0
        ]
        sample = statistics.median(squares) / _MEDIAN_CHI_SQUARED
        if self._dispersion is None:
            self._dispersion = sample
        else:
            self._dispersion += _DISPERSION_SMOOTHING_FACTOR * (
                sample - self._dispersion
            )

    def _find_changed_experts(self, values: Sequence[float]) -> set[int]:
        deviation_scale = self._threshold * math.sqrt(self._dispersion)
        return {
            expert
            for expert, (value, mean) in enumerate(
                zip(values, self.means, strict=True)
            )
            if abs(value - mean) > deviation_scale * math.sqrt(max(value, mean))
        }

    def _score_averages(
        self, values: Sequence[float], changed: set[int]
    ) -> None:
        for index, averages in enumerate(self._averages):
            error = sum(
                (value - average) ** 2 / (value + average)
                for expert, (value, average) in enumerate(
                    zip(values, averages, strict=True)
                )
                if value + average > 0 and expert not in changed
            )
            decayed = _ERROR_DECAY * self._prediction_errors[index]
            self._prediction_errors[index] = decayed + error
        best = 0
        for index, error in enumerate(self._prediction_errors):
            if error < self._prediction_errors[best] * (
                1 - _MIN_ERROR_REDUCTION
            ):
                best = index
        self._chosen_index = best

    def _update_averages(
        self, values: Sequence[float], changed: set[int]
    ) -> None:
        self._sample_counts = [
            1 if expert in changed else count + 1
            for expert, count in enumerate(self._sample_counts)
        ]
        for smoothing_factor, averages in zip(
            self._smoothing_factors, self._averages, strict=True
        ):
            for expert, count in enumerate(self._sample_counts):
                weight = max(smoothing_factor, 1 / count)
                averages[expert] += weight * (values[expert] - averages[expert])

    def estimate_variance(self, expert: int) -> float:
        """Returns the variance of the estimated load of an expert."""
        if self._dispersion is None:
            return 0.0
        smoothing_factor = self._smoothing_factors[self._chosen_index]
        weight = max(
            smoothing_factor / (2 - smoothing_factor),
            1 / self._sample_counts[expert],
        )
        return self._dispersion * self.means[expert] * weight
