"""Percentile of recent latencies."""

import itertools
import math


class RecentQuantile:
    """Percentile from a decaying histogram with logarithmic buckets.

    Each bucket is 10 % wider than the one before, from 1 ms to about 140 s,
    which bounds the error of the percentile to 10 %. All counts are halved
    after every 2,000 latencies, so that the weight of old ones decays.

    Args:
        fraction: Fraction of latencies below the percentile, from 0 to 1.
        min_samples: Number of latencies before a percentile is returned.
    """

    _FIRST_S = 0.001
    _GROWTH = math.log(1.1)
    _BUCKETS = 125
    _HALF_LIFE = 2000
    _REFRESH = 50

    def __init__(self, fraction: float, min_samples: int) -> None:
        self._fraction = fraction
        self._min_samples = min_samples
        self._counts = [0.0] * self._BUCKETS
        self._seen = 0
        self._value_s: float | None = None

    @property
    def value_s(self) -> float | None:
        """Percentile in seconds; None until `min_samples` latencies."""
        return self._value_s

    def observe(self, elapsed_s: float) -> None:
        """Adds a latency, in seconds."""
        position = 0
        if elapsed_s > self._FIRST_S:
            position = math.ceil(
                math.log(elapsed_s / self._FIRST_S) / self._GROWTH
            )
        self._counts[min(position, self._BUCKETS - 1)] += 1
        self._seen += 1
        if self._seen % self._HALF_LIFE == 0:
            self._counts = [count / 2 for count in self._counts]
        if self._seen >= self._min_samples and self._seen % self._REFRESH == 0:
            self._value_s = self._compute()

    def _compute(self) -> float:
        wanted = self._fraction * sum(self._counts)
        totals = itertools.accumulate(self._counts)
        position = next(
            index for index, total in enumerate(totals) if total >= wanted
        )
        return self._FIRST_S * math.exp(position * self._GROWTH)
