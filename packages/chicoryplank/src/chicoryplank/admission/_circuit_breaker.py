"""Circuit breaker that holds requests back while a service is down.

In a lock-step group all replicas fail together. Without the breaker every
request would discover the outage by itself, and the failed attempts would use
up the retry budget. While the breaker is open, one request at a time is sent
as a probe. The return of the service is expected after the duration of earlier
outages, since a group takes about the same time to form again.
"""

# Interval between probes of a service that is down, in seconds; about a third
# of the time that a group takes to form.
_PROBE_INTERVAL_S = 0.2
# Time in seconds without output from any replica after which a group counts as
# stalled. A group step normally takes a tenth of it.
_STALL_TIMEOUT_S = 0.9
# Weight of the newest outage in the average duration of outages.
_OUTAGE_GAIN = 0.5


class CircuitBreaker:
    """Circuit breaker of one service.

    Attributes:
        closed_s: Time when it was last closed, in seconds; minus infinity if it
            never was.

    Example:
        >>> breaker = CircuitBreaker()
        >>> breaker.observe_outage(now_s=0.0)
        >>> breaker.is_open
        True
        >>> breaker.try_probe(now_s=0.0), breaker.try_probe(now_s=0.3)
        (False, True)
    """

    def __init__(self) -> None:
        self._opened_at_s: float | None = None
        self._next_probe_s = 0.0
        self._last_progress_s = float("-inf")
        self._waiting_since_s: float | None = None
        self._mean_outage_s: float | None = None
        self.closed_s = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether requests are held back because the service is down."""
        return self._opened_at_s is not None

    def observe_outage(self, now_s: float) -> None:
        """Opens the breaker; the first probe is due one interval later."""
        if self._opened_at_s is None:
            self._opened_at_s = now_s
            self._next_probe_s = now_s + _PROBE_INTERVAL_S

    def observe_progress(self, now_s: float) -> bool:
        """Closes the breaker on output of a replica.

        Returns:
            Whether the breaker was open.
        """
        self._last_progress_s = now_s
        self._waiting_since_s = None
        if self._opened_at_s is None:
            return False
        self._observe_duration(now_s - self._opened_at_s)
        self._opened_at_s = None
        self.closed_s = now_s
        return True

    def _observe_duration(self, outage_s: float) -> None:
        if self._mean_outage_s is None:
            self._mean_outage_s = outage_s
        else:
            self._mean_outage_s += _OUTAGE_GAIN * (
                outage_s - self._mean_outage_s
            )

    def estimate_return_s(self, now_s: float) -> float:
        """Returns the time until the service is expected to run again.

        Returns:
            Seconds; 0 if the service runs, if no earlier outage is known, or
            if this one lasts longer than those.
        """
        if self._opened_at_s is None or self._mean_outage_s is None:
            return 0.0
        return max(0.0, self._opened_at_s + self._mean_outage_s - now_s)

    def check_stalled(self, in_flight: int, now_s: float) -> bool:
        """Tells whether requests are in flight but no replica has output.

        Args:
            in_flight: Requests of this entry at the replicas of the service.
            now_s: Current time in seconds.
        """
        if not in_flight:
            self._waiting_since_s = None
            return False
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        since_s = max(self._waiting_since_s, self._last_progress_s)
        return now_s - since_s > _STALL_TIMEOUT_S

    def try_probe(self, now_s: float) -> bool:
        """Allows one probe, unless the previous one is too recent."""
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + _PROBE_INTERVAL_S
        return True
