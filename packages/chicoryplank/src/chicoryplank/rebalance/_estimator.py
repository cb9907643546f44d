"""Smoothed expert loads with an estimate of their noise."""

import math
import statistics
from collections.abc import Sequence

# Median of a chi-squared variable with one degree of freedom; it turns a
# median of squares into a variance that outliers do not inflate.
_MEDIAN_CHI_SQUARED = 0.455
_FAST_GAIN = 0.5
# Variance of the fast average over the variance of one observation.
_FAST_VARIANCE = _FAST_GAIN / (2 - _FAST_GAIN)
_DISPERSION_GAIN = 0.1


class LoadEstimator:
    """Tracks each expert's share of the load, scaled to a mean of one.

    The average of an expert covers up to `window` intervals while its load
    only shows noise. It restarts when one observation, or the fast average
    of the last few, deviates by more than `threshold` standard deviations.
    The variance of a count is taken as proportional to its mean; the factor
    is the median over all experts, so few changing experts do not affect it.

    Args:
        window: Longest average, in intervals.
        threshold: Standard deviations that count as a change.
    """

    def __init__(self, window: int, threshold: float) -> None:
        self._window = window
        self._threshold = threshold
        self._fast: list[float] = []
        self._last: list[float] = []
        self._ages: list[int] = []
        self._dispersion: float | None = None
        self.means: list[float] = []

    def observe(self, loads: Sequence[float]) -> None:
        """Adds the loads of one interval; an idle interval is ignored."""
        total = sum(loads)
        if total <= 0:
            return
        scale = len(loads) / total
        values = [load * scale for load in loads]
        if len(values) != len(self.means):
            self._fast = list(values)
            self.means = list(values)
            self._ages = [1] * len(values)
        else:
            self._observe_dispersion(values)
            for expert, value in enumerate(values):
                self._observe_expert(expert, value)
        self._last = values

    def _observe_dispersion(self, values: Sequence[float]) -> None:
        squares = [
            (value - last) ** 2 / (value + last)
            for value, last in zip(values, self._last, strict=True)
            if value + last > 0
        ]
        sample = statistics.median(squares) / _MEDIAN_CHI_SQUARED
        if self._dispersion is None:
            self._dispersion = sample
        else:
            self._dispersion += _DISPERSION_GAIN * (sample - self._dispersion)

    def _observe_expert(self, expert: int, value: float) -> None:
        mean = self.means[expert]
        self._fast[expert] += _FAST_GAIN * (value - self._fast[expert])
        deviation = math.sqrt(self._dispersion * max(mean, value, 1e-9))
        limit = self._threshold * deviation
        if abs(value - mean) > limit:
            self._fast[expert] = self.means[expert] = value
            self._ages[expert] = 1
            return
        if abs(self._fast[expert] - mean) > limit * math.sqrt(_FAST_VARIANCE):
            self.means[expert] = self._fast[expert]
            self._ages[expert] = round(1 / _FAST_VARIANCE)
            return
        age = min(self._ages[expert] + 1, self._window)
        self._ages[expert] = age
        self.means[expert] += (value - mean) / age

    def estimate_variance(self, expert: int) -> float:
        """Returns the variance of the estimate of an expert's load."""
        if self._dispersion is None:
            return 0.0
        return self._dispersion * self.means[expert] / self._ages[expert]
