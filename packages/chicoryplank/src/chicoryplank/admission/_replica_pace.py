"""Slow start of one replica that has started or recovered.

Load pattern: a backlog waits for a replica that is still slow after its start.
With all slots open at once it is flooded, and with a fixed delay it is idle
although it could respond.
"""

import enum

# Ratio to the fastest response of the same replica from which a response is
# slow, if there are no recent times of the service.
_OWN_SLOW_RATIO = 1.5
# Time in seconds without growth after a slow response. A longer one delays the
# ramp of a replica that has just become warm.
_SLOW_HOLD_S = 0.3
# The same after a rejection, which costs its caller a retry; it doubles with
# each further rejection.
_REJECTION_HOLD_S = 1.0
_MAX_REJECTION_HOLD_S = 4.0
# Time after a reduction in which further signs of load are expected, as a
# multiple of a slow response time. With one, limits swung by a third.
_SETTLING_FACTOR = 2.5
# Time in seconds at the full limit after which a ramp is steady. A queue that
# fills only after the first responses shows within it.
_DWELL_S = 1.0
# Pause in seconds after a request that the replica lost, which doubles with
# each further loss.
_PAUSE_S = 0.5
_MAX_PAUSE_S = 1.0
_MAX_LOSSES = 8
# Number of slow responses in a row that reduce a limit that was good before.
_MAX_SLOW_IN_ROW = 2
# Ratio of response times after and before a reduction up to which the reduction
# has helped. One request less of five at a rank that holds its group back gives
# 0.8.
_MIN_RELIEF = 0.9
# Ratio to a slow response time from which a limit is reduced in proportion
# rather than by one.
_COLLAPSE = 1.2
# Time in seconds without any outcome after which the outcomes count as lost:
# a multiple of a slow response time.
_SILENCE_FACTOR = 4.0
_MIN_SILENCE_S = 1.0
# Time in seconds after which a request without a permit may ask again.
_RETRY_S = 0.1
# Factor of the limit above one that was too high before, which shows that the
# replica has become faster.
_WARM_FACTOR = 2


class PaceState(enum.Enum):
    """State of a ramp.

    Attributes:
        UNKNOWN: No response since the start.
        PROBING: The limit is above one that was too high before.
        RAMPING: The limit grows.
        STEADY: The replica has used all its slots well; the ramp is over.
        BACKING_OFF: The limit was reduced and does not grow for a while.
    """

    UNKNOWN = "unknown"
    PROBING = "probing"
    RAMPING = "ramping"
    STEADY = "steady"
    BACKING_OFF = "backing_off"


class PaceOutcome(enum.Enum):
    """Outcome of an attempt, as far as it concerns the pace of its replica.

    Attributes:
        RESPONSE: The replica responded.
        REJECTED: It rejected the request or reports a failure.
        TIMEOUT: It did not respond in time.
        BROKEN: The connection broke or could not be made.
        UNFINISHED: The caller left before the replica responded.
    """

    RESPONSE = "response"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    UNFINISHED = "unfinished"


class ReplicaPace:
    """Limit on the requests in progress at one replica while it ramps up.

    The limit grows when responses to requests that filled it are about as fast
    as those of the service, returns to the last good one when they are slower,
    and is reduced further on rejections and losses. Without outcomes it never
    grows.

    A rank of a lock-step group slows all ranks alike, so its responses are as
    fast as those of the service whatever its limit is. They are compared with
    the fastest times of the service since the start of the ramp instead, and
    its limit grows by one only, since too high a limit costs all ranks. If a
    lower limit does not make the group faster, the rank is not the cause, and
    the present times become the ones to compare with.

    Args:
        slots: Number of requests that the replica processes concurrently.
        now_s: Current time in seconds.
        in_progress: Requests in progress at the replica.
        is_lockstep: Whether the replica is a rank of a lock-step group.
        slow_s: Time above which a response of the service is slow, in seconds;
            None if unknown.

    Attributes:
        slots: Number of requests that the replica processes concurrently.
        limit: Number of requests that all entries together may have in
            progress at the replica.
        state: State of the ramp.
        rejected: Number of requests that the replica rejected or lost.
        slow: Number of slow responses.

    References:
        V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
        L. Brakmo and L. Peterson, "TCP Vegas: end to end congestion avoidance
        on a global Internet", IEEE JSAC 13(8), 1995.

    Example:
        >>> pace = ReplicaPace(slots=4, now_s=0.0)
        >>> pace.get_wait_s(in_progress=0, now_s=0.0)
        0.0
        >>> pace.record_permit(in_progress=0, now_s=0.0)
        >>> pace.observe(PaceOutcome.RESPONSE, 0.2, slow_s=0.3, now_s=0.2)
        >>> pace.limit
        2
    """

    def __init__(
        self,
        slots: int,
        now_s: float,
        *,
        in_progress: int = 0,
        is_lockstep: bool = False,
        slow_s: float | None = None,
    ) -> None:
        if slots < 1:
            raise ValueError(f"slots {slots} is below 1")
        self.slots = slots
        self._is_lockstep = is_lockstep
        self.rejected = 0
        self.slow = 0
        self._losses = 0
        self._rejections = 0
        self._slow_s = slow_s
        self._fastest_s: float | None = None
        self._begin(now_s, in_progress)

    def _begin(self, now_s: float, in_progress: int) -> None:
        self.state = PaceState.UNKNOWN
        self.limit = self._proven = min(max(1, in_progress), self.slots)
        # Limit at which the responses were last too slow.
        self._too_slow = self.slots + 1
        self._slow_in_row = 0
        # Response time of a rank before its limit was last reduced.
        self._slow_before_s = float("inf")
        self._hold_until_s = now_s
        self._paused_until_s = now_s
        # Time since which the requests fill the limit.
        self._full_s: float | None = None
        # Requests sent before this time show what the limit was reduced for.
        self._settled_s = now_s
        # Time of the first permit after the last outcome.
        self._unanswered_s: float | None = None

    def reset(self, now_s: float) -> None:
        """Begins again, since the replica has started again."""
        self._fastest_s = None
        self._begin(now_s, 0)

    def get_wait_s(self, in_progress: int, now_s: float) -> float:
        """Returns the time after which a request may be sent, in seconds.

        Args:
            in_progress: Requests of all entries at the replica.
            now_s: Current time in seconds.

        Returns:
            0 if a request may be sent now.
        """
        self._check_silence(now_s)
        if now_s < self._paused_until_s:
            return self._paused_until_s - now_s
        if in_progress < self.limit:
            return 0.0
        self._observe_full(now_s)
        return _RETRY_S

    def record_permit(self, in_progress: int, now_s: float) -> None:
        """Records that a request may be sent.

        Args:
            in_progress: Requests in progress without this one.
            now_s: Current time in seconds.
        """
        if in_progress + 1 >= self.limit:
            self._observe_full(now_s)
        if self._unanswered_s is None:
            self._unanswered_s = now_s

    def _observe_full(self, now_s: float) -> None:
        if self._full_s is None:
            self._full_s = now_s

    def _check_silence(self, now_s: float) -> None:
        """Backs off to one request if no outcome arrives."""
        if self._unanswered_s is None:
            return
        timeout_s = _MIN_SILENCE_S
        if self._slow_s is not None:
            timeout_s = max(timeout_s, _SILENCE_FACTOR * self._slow_s)
        if now_s - self._unanswered_s > timeout_s:
            self._unanswered_s = now_s
            self._back_off(1, _REJECTION_HOLD_S, now_s)

    def observe(
        self,
        outcome: PaceOutcome,
        elapsed_s: float,
        slow_s: float | None,
        now_s: float,
    ) -> None:
        """Records the outcome of a request.

        Args:
            outcome: What became of the request.
            elapsed_s: Time to the first output of a stream, or to the complete
                response, or to the end of the attempt, in seconds; 0 for a
                broken connection, which does not depend on the request.
            slow_s: Time above which a response of the service is slow now, in
                seconds; None if unknown.
            now_s: Current time in seconds.
        """
        is_slow = self._is_slow(elapsed_s, slow_s)
        if outcome is PaceOutcome.UNFINISHED and not is_slow:
            return
        self._unanswered_s = None
        is_news = now_s - elapsed_s >= self._settled_s
        if outcome in (PaceOutcome.RESPONSE, PaceOutcome.UNFINISHED):
            if not is_slow:
                self._observe_success(now_s - elapsed_s, slow_s, now_s)
                return
            self.slow += 1
            if is_news:
                self._observe_slowness(elapsed_s, slow_s, now_s)
            return
        self.rejected += 1
        if is_news:
            self._observe_loss(outcome, now_s)

    def _observe_slowness(
        self, elapsed_s: float, slow_s: float | None, now_s: float
    ) -> None:
        if self.limit > self._proven:
            self._too_slow = self.limit
            self._back_off(self._proven, _SLOW_HOLD_S, now_s)
            return
        # One slow response at a limit that was good may be a large request.
        self._slow_in_row += 1
        self._hold_until_s = now_s + _SLOW_HOLD_S
        if self._slow_in_row < _MAX_SLOW_IN_ROW:
            return
        if self._is_lockstep and (
            self.limit == 1 or elapsed_s > _MIN_RELIEF * self._slow_before_s
        ):
            # Another rank or the load holds the group back.
            self._slow_s = max(elapsed_s, slow_s or 0.0)
            self._slow_before_s = float("inf")
            self._slow_in_row = 0
            return
        self._slow_before_s = elapsed_s
        reduced = self.limit - 1
        if self._slow_s is not None and elapsed_s > _COLLAPSE * self._slow_s:
            reduced = int(self.limit * self._slow_s / elapsed_s)
        self._back_off(reduced, _SLOW_HOLD_S, now_s)

    def _observe_loss(self, outcome: PaceOutcome, now_s: float) -> None:
        if outcome is PaceOutcome.BROKEN:
            # Most likely the replica has crashed, with all its requests.
            self._pause(now_s)
            self._back_off(1, _SLOW_HOLD_S, now_s)
            self._settled_s = self._paused_until_s
            return
        if outcome is PaceOutcome.TIMEOUT or self.limit == 1:
            self._pause(now_s)
        reduced = min(self._proven, self.limit - 1)
        hold_s = min(
            _REJECTION_HOLD_S * 2**self._rejections, _MAX_REJECTION_HOLD_S
        )
        self._rejections = min(self._rejections + 1, _MAX_LOSSES)
        self._back_off(reduced, hold_s, now_s)

    def _pause(self, now_s: float) -> None:
        pause_s = min(_PAUSE_S * 2**self._losses, _MAX_PAUSE_S)
        self._losses = min(self._losses + 1, _MAX_LOSSES)
        self._paused_until_s = now_s + pause_s

    def _is_slow(self, elapsed_s: float, slow_s: float | None) -> bool:
        if slow_s is not None and (
            self._slow_s is None or not self._is_lockstep
        ):
            self._slow_s = slow_s
        if self._slow_s is not None:
            return elapsed_s > self._slow_s
        if self._fastest_s is None or elapsed_s < self._fastest_s:
            self._fastest_s = elapsed_s
        return elapsed_s > _OWN_SLOW_RATIO * self._fastest_s

    def _observe_success(
        self, sent_s: float, slow_s: float | None, now_s: float
    ) -> None:
        self._slow_in_row = 0
        if self.state is PaceState.UNKNOWN:
            self.state = PaceState.RAMPING
        if (
            self._full_s is None
            or sent_s < self._full_s
            or now_s < self._hold_until_s
        ):
            return
        self._proven = self.limit
        if self.limit == self.slots:
            if now_s - self._full_s >= _DWELL_S:
                self.state = PaceState.STEADY
                self._losses = self._rejections = 0
            return
        limit = self.limit + 1
        if self.limit > self._too_slow and not self._is_lockstep:
            limit = _WARM_FACTOR * self.limit
        self.state = (
            PaceState.PROBING
            if self.state is PaceState.BACKING_OFF
            else PaceState.RAMPING
        )
        if self._is_lockstep and slow_s is not None:
            # Not upwards, or each step could slow the group down a little.
            self._slow_s = min(self._slow_s, slow_s)
        self._set_limit(min(limit, self.slots))

    def _back_off(self, limit: int, hold_s: float, now_s: float) -> None:
        self.state = PaceState.BACKING_OFF
        self._hold_until_s = now_s + hold_s
        # The requests in progress still slow the next ones down.
        self._settled_s = now_s + _SETTLING_FACTOR * (self._slow_s or 0.0)
        self._set_limit(max(1, limit))
        self._proven = min(self._proven, self.limit)

    def _set_limit(self, limit: int) -> None:
        self.limit = limit
        self._full_s = None
        self._slow_in_row = 0
