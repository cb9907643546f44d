"""Percentile of recent latencies."""

import itertools
import math


class RecentQuantile:
    """Percentile from a decaying histogram with logarithmic buckets.

    Bucket bounds grow by 10 % per bucket, from 1 ms to about 140 s, which
    bounds the error of the percentile to 10 %. All counts are halved
    after every 2,000 latencies, so that the weight of old ones decays.

    Args:
        fraction: Fraction of latencies below the percentile, from 0 to 1.
        min_samples: Number of latencies before a percentile is returned.
    """

    _FIRST_BUCKET_S = 0.001
    _LOG_GROWTH = math.log(1.1)
    _BUCKET_COUNT = 125
    _HALVING_INTERVAL = 2000
    # Latencies between two computations of the percentile.
    _REFRESH_INTERVAL = 50

    def __init__(self, fraction: float, min_samples: int) -> None:
        self._fraction = fraction
        self._min_samples = min_samples
        self._counts = [0.0] * self._BUCKET_COUNT
        self._latency_count = 0
        self._value_s: float | None = None

    @property
    def value_s(self) -> float | None:
        """Percentile in seconds; None until `min_samples` latencies."""
        return self._value_s

    def observe(self, elapsed_s: float) -> None:
        """Adds a latency, in seconds."""
        position = 0
        if elapsed_s > self._FIRST_BUCKET_S:
            position = math.ceil(
                math.log(elapsed_s / self._FIRST_BUCKET_S) / self._LOG_GROWTH
            )
        self._counts[min(position, self._BUCKET_COUNT - 1)] += 1
        self._latency_count += 1
        if self._latency_count % self._HALVING_INTERVAL == 0:
            self._counts = [count / 2 for count in self._counts]
        if (
            self._latency_count >= self._min_samples
            and self._latency_count % self._REFRESH_INTERVAL == 0
        ):
            self._value_s = self._compute_percentile()

    def _compute_percentile(self) -> float:
        wanted = self._fraction * sum(self._counts)
        totals = itertools.accumulate(self._counts)
        position = next(
            index for index, total in enumerate(totals) if total >= wanted
        )
        return self._FIRST_BUCKET_S * math.exp(position * self._LOG_GROWTH)
