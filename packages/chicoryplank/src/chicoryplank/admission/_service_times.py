"""Recent response times of a service, with which one replica is compared."""

# Weights of the newest sample in the moving averages of the time and of its
# deviation, as in OutputTimes.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
# A response is slow if it exceeds the mean by this factor and by this number of
# deviations. The factor is below the ratio of 1.5 that one request too many
# gives at a replica that can process two.
_SLOW_RATIO = 1.3
_SLOW_DEVIATIONS = 2.0
_MIN_SAMPLES = 4
# Age in seconds after which the times of a service are no longer compared with.
_MAX_SAMPLE_AGE_S = 10.0


class ServiceTimes:
    """Recent response times of a service, with which a replica is compared.

    Example:
        >>> times = ServiceTimes()
        >>> for _ in range(40):
        ...     times.observe(0.2, now_s=1.0)
        >>> round(times.get_slow_s(now_s=1.0), 2)
        0.26
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._count = 0
        self._observed_s = float("-inf")

    def observe(self, elapsed_s: float, now_s: float) -> None:
        """Adds a response time in seconds."""
        if now_s - self._observed_s > _MAX_SAMPLE_AGE_S:
            self._count = 0
        self._observed_s = now_s
        self._count += 1
        if self._count == 1:
            self._mean_s = elapsed_s
            self._deviation_s = elapsed_s / 2
            return
        error_s = elapsed_s - self._mean_s
        self._mean_s += _MEAN_GAIN * error_s
        self._deviation_s += _DEVIATION_GAIN * (
            abs(error_s) - self._deviation_s
        )

    def get_slow_s(self, now_s: float) -> float | None:
        """Returns the time above which a response is slow, in seconds.

        Returns:
            None if there are too few recent responses.
        """
        if (
            self._count < _MIN_SAMPLES
            or now_s - self._observed_s > _MAX_SAMPLE_AGE_S
        ):
            return None
        return max(
            _SLOW_RATIO * self._mean_s,
            self._mean_s + _SLOW_DEVIATIONS * self._deviation_s,
        )
