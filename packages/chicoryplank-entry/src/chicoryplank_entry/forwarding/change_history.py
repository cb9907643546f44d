"""What a controller learns from its map changes and from shifts of demand."""

# Assumed duration of a change without its copies until one was observed, in
# seconds, and the weight of the newest one in the moving average.
_INITIAL_FIXED_S = 0.4
_FIXED_WEIGHT = 0.3
# Same for the amount by which the skew of a new map exceeds the predicted one.
_INITIAL_SKEW_ERROR = 0.1
_SKEW_ERROR_WEIGHT = 0.1
# Assumed time from the hold of a group to its release until one was observed,
# for each rank, and the smallest and largest lead time, in seconds.
_INITIAL_HELD_S_PER_RANK = 0.001
_MIN_LEAD_S = 0.05
_MAX_LEAD_S = 0.6
# Weight of the newest time if it is below the average. A longer one replaces
# the average at once, since a hold that is too late stalls the group.
_HELD_WEIGHT = 0.1
# Margin of the lead time over the expected time.
_LEAD_MARGIN = 1.25
# Increase of the skew over the expected one that counts as a shift of demand.
_SHIFT_SKEW = 0.4
# Minimum time between two shifts, in seconds. Requests of the old demand are
# replaced gradually, so that the skew rises for some time after one shift.
_MIN_SHIFT_INTERVAL_S = 1.0
# Expected time between two shifts until one was observed, in seconds.
_INITIAL_SHIFT_INTERVAL_S = 5.0
# Weight of the newest interval in the moving average.
_INTERVAL_WEIGHT = 0.3


def is_shift(skew: float, expected_skew: float) -> bool:
    """Returns whether a skew shows that the demand has shifted.

    Args:
        skew: Measured skew of a map.
        expected_skew: Skew that was expected when the map was chosen.
    """
    return skew >= expected_skew + _SHIFT_SKEW


class DemandLifetime:
    """Expected time until the demand of a group shifts again.

    Shifts are assumed to be independent of each other, so the expected time
    does not depend on how long the present demand has lasted, unless that is
    longer than the mean interval.
    """

    def __init__(self) -> None:
        self._mean_interval_s = _INITIAL_SHIFT_INTERVAL_S
        self._shifted_s: float | None = None

    def observe(self, skew: float, expected_skew: float, now_s: float) -> None:
        """Records the skew of the active map under the present demand.

        Args:
            skew: Measured skew.
            expected_skew: Skew that was expected when the map was chosen.
            now_s: Current time in seconds.
        """
        if not is_shift(skew, expected_skew):
            return
        if self._shifted_s is not None:
            interval_s = now_s - self._shifted_s
            if interval_s < _MIN_SHIFT_INTERVAL_S:
                return
            self._mean_interval_s += _INTERVAL_WEIGHT * (
                interval_s - self._mean_interval_s
            )
        self._shifted_s = now_s

    def estimate_remaining_s(self, now_s: float) -> float:
        """Returns the expected time until the next shift, in seconds."""
        if self._shifted_s is None:
            return self._mean_interval_s
        return max(self._mean_interval_s, now_s - self._shifted_s)


class ChangeHistory:
    """Durations and results of earlier map changes, as moving averages.

    Attributes:
        fixed_s: Duration of a change without its copies, in seconds.
        skew_error: Amount by which the skew of a new map exceeds the predicted
            one.
    """

    def __init__(self) -> None:
        self.fixed_s = _INITIAL_FIXED_S
        self.skew_error = _INITIAL_SKEW_ERROR
        self._held_s: float | None = None

    def observe_held(self, held_s: float) -> None:
        """Records the time from a hold to its release, in seconds."""
        if self._held_s is None or held_s > self._held_s:
            self._held_s = held_s
        else:
            self._held_s += _HELD_WEIGHT * (held_s - self._held_s)

    def get_hold_lead_s(self, ranks: int) -> float:
        """Returns the time before the switch step at which to hold a group.

        All ranks are armed in this time, so that the group does not stall at
        the step. Arming takes longer in larger groups.

        Args:
            ranks: Number of ranks of the group.

        Returns:
            Seconds.
        """
        held_s = self._held_s
        if held_s is None:
            held_s = ranks * _INITIAL_HELD_S_PER_RANK
        return min(max(_MIN_LEAD_S, _LEAD_MARGIN * held_s), _MAX_LEAD_S)

    def observe_duration(self, took_s: float, copying_s: float) -> None:
        """Records how long a change took.

        Args:
            took_s: Duration in seconds.
            copying_s: Expected duration of its copies in seconds.
        """
        fixed_s = max(0.0, took_s - copying_s)
        self.fixed_s += _FIXED_WEIGHT * (fixed_s - self.fixed_s)

    def observe_skew(self, skew: float, predicted_skew: float) -> None:
        """Records the first skew that was measured after a change.

        Args:
            skew: Measured skew.
            predicted_skew: Skew that the change was expected to reach.
        """
        if is_shift(skew, predicted_skew):
            return
        error = max(0.0, skew - predicted_skew)
        self.skew_error += _SKEW_ERROR_WEIGHT * (error - self.skew_error)
