"""Smoothed expert loads with an estimate of their noise."""

import math
import statistics
from collections.abc import Sequence

# Median of a chi-squared variable with one degree of freedom; it turns a
# median of squares into a variance that outliers do not inflate.
_MEDIAN_CHI_SQUARED = 0.455
_DISPERSION_GAIN = 0.1
# Weight of past prediction errors after one more interval.
_ERROR_DECAY = 0.9
# Loads count as steady while no average faster than this predicts better.
_STEADY_GAIN = 1 / 16
# Share by which a faster average must predict better than a slower one.
_ERROR_MARGIN = 0.02


class LoadEstimator:
    """Tracks each expert's share of the load, scaled to a mean of one.

    Several exponential averages run side by side, from fast to slow; the one
    that predicted the recent intervals best over all experts is used. On
    noise alone the slowest wins, under drift a faster one. The averages of an
    expert restart when one observation deviates by more than `threshold`
    standard deviations. The variance of a count is taken as proportional to
    its mean; the factor is the median over all experts, so few changing
    experts do not affect it.

    Args:
        window: Length of the slowest average, in intervals.
        threshold: Standard deviations that count as a change.
    """

    def __init__(self, window: int, threshold: float) -> None:
        self._threshold = threshold
        self._gains = [1 / window]
        while self._gains[-1] < 0.5:
            self._gains.append(min(0.5, self._gains[-1] * 2))
        self._bank: list[list[float]] = []
        self._errors = [0.0] * len(self._gains)
        self._chosen = 0
        self._last: list[float] = []
        self._ages: list[int] = []
        self._dispersion: float | None = None

    @property
    def means(self) -> list[float]:
        """Estimated load of each expert; empty if none was observed."""
        return self._bank[self._chosen] if self._bank else []

    @property
    def steady(self) -> bool:
        """Whether the recent loads only showed noise."""
        return self._gains[self._chosen] <= _STEADY_GAIN

    def observe(self, loads: Sequence[float]) -> None:
        """Adds the loads of one interval; an idle interval is ignored."""
        total = sum(loads)
        if total <= 0:
            return
        scale = len(loads) / total
        values = [load * scale for load in loads]
        if len(values) != len(self._last):
            self._bank = [list(values) for _ in self._gains]
            self._ages = [1] * len(values)
        else:
            self._observe_dispersion(values)
            changed = self._find_changes(values)
            self._score(values, changed)
            self._update(values, changed)
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

    def _find_changes(self, values: Sequence[float]) -> set[int]:
        factor = self._threshold * math.sqrt(self._dispersion)
        return {
            expert
            for expert, (value, mean) in enumerate(
                zip(values, self.means, strict=True)
            )
            if abs(value - mean) > factor * math.sqrt(max(value, mean))
        }

    def _score(self, values: Sequence[float], changed: set[int]) -> None:
        for index, averages in enumerate(self._bank):
            error = sum(
                (value - average) ** 2 / (value + average)
                for expert, (value, average) in enumerate(
                    zip(values, averages, strict=True)
                )
                if value + average > 0 and expert not in changed
            )
            decayed = _ERROR_DECAY * self._errors[index]
            self._errors[index] = decayed + error
        best = 0
        for index, error in enumerate(self._errors):
            if error < self._errors[best] * (1 - _ERROR_MARGIN):
                best = index
        self._chosen = best

    def _update(self, values: Sequence[float], changed: set[int]) -> None:
        self._ages = [
            1 if expert in changed else age + 1
            for expert, age in enumerate(self._ages)
        ]
        for gain, averages in zip(self._gains, self._bank, strict=True):
            for expert, age in enumerate(self._ages):
                weight = max(gain, 1 / age)
                averages[expert] += weight * (values[expert] - averages[expert])

    def estimate_variance(self, expert: int) -> float:
        """Returns the variance of the estimate of an expert's load."""
        if self._dispersion is None:
            return 0.0
        gain = self._gains[self._chosen]
        weight = max(gain / (2 - gain), 1 / self._ages[expert])
        return self._dispersion * self.means[expert] * weight
