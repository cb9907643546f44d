"""Timeouts for the output of a service that follow its recent times.

Responses of a group slow down together under load or with an unsuitable expert
map. A fixed timeout then ends attempts that are sound, and their repetition
adds to the load.
"""

# Weights of the newest sample in the moving averages of the time and of its
# deviation, and the number of deviations that an ordinary response stays
# within, from the retransmission timeout of TCP.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4.0


class OutputTimes:
    """Recent times until an output of one service.

    References:
        V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.

    Example:
        >>> times = OutputTimes()
        >>> times.get_timeout_s(1.0, 8.0)
        1.0
        >>> times.observe(2.0)
        >>> times.get_timeout_s(1.0, 8.0)
        6.0
    """

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Adds the time until an output, or until its timeout, in seconds.

        Without the timeouts, the average would contain only the responses that
        are faster than the timeout.
        """
        if self._mean_s is None:
            self._mean_s = elapsed_s
            self._deviation_s = elapsed_s / 2
            return
        error_s = elapsed_s - self._mean_s
        self._mean_s += _MEAN_GAIN * error_s
        self._deviation_s += _DEVIATION_GAIN * (
            abs(error_s) - self._deviation_s
        )

    def get_timeout_s(
        self, min_timeout_s: float, max_timeout_s: float
    ) -> float:
        """Returns the time after which an output is unusually late.

        Args:
            min_timeout_s: Smallest timeout, in seconds.
            max_timeout_s: Largest timeout, in seconds. A few silent replicas
                raise the average too.
        """
        if self._mean_s is None:
            return min_timeout_s
        usual_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(min_timeout_s, usual_s), max_timeout_s)
