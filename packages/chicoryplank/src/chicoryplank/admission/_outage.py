"""Holds requests back while no replica of a service can run any.

Answers the pattern "a whole lock-step group is down, and every request finds
out for itself": sends to a group that does not run only use up the budget of
repeats. One request at a time tries whether it is back.
"""

# Time between two tries while a service is down, in seconds; about a third of
# the time in which a group forms.
_PROBE_S = 0.2
# A group whose replicas all produce nothing for so long stands still, in
# seconds; a pass that is in time takes a tenth of it.
_STILL_S = 0.9


class OutageGate:
    """Whether the replicas of one service run requests at all.

    Example:
        >>> gate = OutageGate()
        >>> gate.observe_down(now_s=0.0)
        >>> gate.is_down
        True
        >>> gate.take_probe(now_s=0.0), gate.take_probe(now_s=0.3)
        (False, True)
    """

    def __init__(self) -> None:
        self._down_since_s: float | None = None
        self._probe_at_s = 0.0
        self._progress_s = float("-inf")
        self._waiting_since_s: float | None = None

    @property
    def is_down(self) -> bool:
        """Whether requests should be held back."""
        return self._down_since_s is not None

    def observe_down(self, now_s: float) -> None:
        """Takes the statement of a replica that its group does not run."""
        if self._down_since_s is None:
            self._down_since_s = now_s
            self._probe_at_s = now_s + _PROBE_S

    def observe_progress(self, now_s: float) -> bool:
        """Takes output of any replica; returns whether an outage ended."""
        self._progress_s = now_s
        self._waiting_since_s = None
        was_down, self._down_since_s = self.is_down, None
        return was_down

    def check_still(self, in_flight: int, now_s: float) -> bool:
        """Tells whether all replicas stand still though requests wait.

        Args:
            in_flight: Own requests at the replicas of the service.
            now_s: Current time in seconds.
        """
        if not in_flight:
            self._waiting_since_s = None
            return False
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        since_s = max(self._waiting_since_s, self._progress_s)
        return now_s - since_s > _STILL_S

    def take_probe(self, now_s: float) -> bool:
        """Takes the right to try; False if another try is too recent."""
        if now_s < self._probe_at_s:
            return False
        self._probe_at_s = now_s + _PROBE_S
        return True
