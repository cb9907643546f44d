"""Circuit breaker that holds requests back while a service is down.

In a lock-step group all replicas fail together. Without the breaker every
request would discover the outage by itself, and the failed attempts would use
up the retry budget. While the breaker is open, one request at a time is sent
as a probe.
"""

# Interval between probes of a service that is down, in seconds; about a third
# of the time that a group takes to form.
_PROBE_INTERVAL_S = 0.2
# Time in seconds without output from any replica after which a group counts as
# stalled. A group step normally takes a tenth of it.
_STALL_TIMEOUT_S = 0.9


class CircuitBreaker:
    """Circuit breaker of one service.

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
        was_open, self._opened_at_s = self.is_open, None
        return was_open

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
