"""Recent percentile of a latency."""

import itertools
import math


class RecentQuantile:
    """Histogram of latencies with logarithmic buckets that forgets.

    Buckets grow by a tenth from 1 ms to about 140 s, which bounds the error
    of a percentile to a tenth. All counts are halved at every 2,000th
    latency, so that old load fades.

    Args:
        part: Part of latencies below the percentile, between 0 and 1.
        min_samples: Latencies before a percentile is given.
    """

    _FIRST_S = 0.001
    _GROWTH = math.log(1.1)
    _BUCKETS = 125
    _HALF_LIFE = 2000
    _REFRESH = 50

    def __init__(self, part: float, min_samples: int) -> None:
        self._part = part
        self._min_samples = min_samples
        self._counts = [0.0] * self._BUCKETS
        self._seen = 0
        self._value_s: float | None = None

    @property
    def value_s(self) -> float | None:
        """Percentile in seconds; None while there are too few latencies."""
        return self._value_s

    def observe(self, elapsed_s: float) -> None:
        """Takes a latency."""
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
            self._value_s = self._find()

    def _find(self) -> float:
        wanted = self._part * sum(self._counts)
        totals = itertools.accumulate(self._counts)
        position = next(
            index for index, total in enumerate(totals) if total >= wanted
        )
        return self._FIRST_S * math.exp(position * self._GROWTH)
