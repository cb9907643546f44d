"""Attempts that an agent has received from entries.

The table guarantees that an attempt starts at most once. It buffers output
until the entry acknowledges it, so that the output can be sent again after a
reconnect.
"""

import collections
import dataclasses
import enum
from datetime import datetime, timedelta

from chicoryplank.clock import Clock
from chicoryplank.configuration import RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import Incarnation
from chicoryplank.invariants import require
from chicoryplank.verdict import Verdict

_RETRY_AFTER = timedelta(seconds=1)
# Checking 4,096 attempts takes 0.5 ms, so it is not done for each new attempt.
_CLEANUP_INTERVAL = timedelta(seconds=1)


class RunState(enum.Enum):
    """State of an attempt at the agent.

    Attributes:
        QUEUED: Admitted, but not yet sent to the backend server.
        RUNNING: Sent to the backend server.
        ENDED: Ended with the complete output or with an error.
    """

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifier of an attempt, unique over all entries.

    Attributes:
        incarnation: Incarnation of the entry that sent the attempt.
        sequence: Number of the attempt within that incarnation.
    """

    incarnation: Incarnation
    sequence: int


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """State and buffered output of one attempt.

    Attributes:
        key: Identifier of the attempt.
        repeatable: Whether the request is idempotent.
        deadline: Boot time at which the attempt is abandoned.
        start_expires_at: Boot time after which a repeated start message of the
            attempt is rejected because its deadline has passed.
        state: State of the attempt.
        status: HTTP status of the backend server; 0 before it responded.
        headers: Response headers as (name, value).
        buffer: Output that the entry has not acknowledged.
        buffer_offset: Offset of the first buffered byte in the output.
        total_bytes: Length of the output so far.
        error: Why the attempt failed, if it did.
    """

    key: AttemptKey
    repeatable: bool
    deadline: timedelta
    start_expires_at: timedelta
    state: RunState = RunState.QUEUED
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    buffer_offset: int = 0
    total_bytes: int = 0
    error: ChicoryplankError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Tombstone:
    """Marks an attempt that must not start, or not start again.

    Attributes:
        end: Boot time until which the tombstone is kept.
        started: Whether the attempt may have run.
    """

    end: timedelta
    started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _RejectedRange:
    """Attempts of one entry incarnation that must not start after a rejection.

    Attributes:
        sequence: Highest attempt number that was rejected; the range contains
            all unknown attempts up to it.
        end: Boot time after which every start message of a rejected attempt is
            rejected because its deadline has passed.
    """

    sequence: int
    end: timedelta


class AgentAttemptTable:
    """Attempts of one agent incarnation.

    An attempt starts at most once: an attempt that was received before, or that
    was reported to the entry as not run, is never started. A tombstone is kept
    until every message that could start its attempt would be rejected as late.
    When the table is full, it rejects new attempts instead of dropping
    tombstones.

    Args:
        clock: Clock that measures deadlines.
        limits: Limits on attempts, buffered output and tombstones.
        max_clock_skew: Assumed maximum difference between two wall clocks.

    Attributes:
        draining: Whether new attempts are rejected because the backend server
            is about to stop.

    Example:
        >>> from chicoryplank.clock import ManualClock
        >>> clock = ManualClock()
        >>> table = AgentAttemptTable(clock, RequestLimits(), timedelta())
        >>> key = AttemptKey(Incarnation("a"), 1)
        >>> table.settle(key)
        False
    """

    def __init__(
        self, clock: Clock, limits: RequestLimits, max_clock_skew: timedelta
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._max_clock_skew = max_clock_skew
        self._records: dict[AttemptKey, AttemptRecord] = {}
        self._tombstones: collections.OrderedDict[AttemptKey, _Tombstone] = (
            collections.OrderedDict()
        )
        self._rejected_ranges: dict[Incarnation, _RejectedRange] = {}
        self._last_cleanup_at = clock.elapsed()
        self.draining = False

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: AttemptKey) -> AttemptRecord | None:
        """Returns the record of an attempt, or None if it is unknown."""
        return self._records.get(key)

    def list_records(self) -> tuple[AttemptRecord, ...]:
        """Returns the records of all attempts in the table."""
        return tuple(self._records.values())

    def admit(
        self,
        key: AttemptKey,
        repeatable: bool,
        budget: timedelta,
        deadline: datetime,
    ) -> AttemptRecord | None:
        """Adds a new attempt to the table.

        Args:
            key: Identifier of the attempt.
            repeatable: Whether the request is idempotent.
            budget: Time until the deadline when the entry sent the message.
            deadline: The deadline as wall-clock time.

        Returns:
            The record, or None if the table already contains the attempt and
            the message is a duplicate.

        Raises:
            ChicoryplankError: If the attempt must not start; its verdict says
                whether the attempt may have run.
        """
        if key in self._records:
            return None
        self._remove_expired_tombstones()
        try:
            self._check_start(key, deadline)
        except ChicoryplankError:
            self._record_rejection(key)
            raise
        elapsed = self._clock.elapsed()
        # Twice the skew: a start message is accepted until the deadline plus
        # the skew, and this wall clock may be set back by the skew until then.
        time_left = deadline - self._clock.now() + 2 * self._max_clock_skew
        record = AttemptRecord(
            key, repeatable, elapsed + budget, elapsed + time_left
        )
        self._records[key] = record
        return record

    def _check_start(self, key: AttemptKey, deadline: datetime) -> None:
        tombstone = self._tombstones.get(key)
        if tombstone is not None:
            raise ChicoryplankError(
                ErrorCode.ATTEMPT_ABANDONED,
                f"attempt {key.sequence} was abandoned earlier",
                Verdict.MAY_HAVE_RUN if tombstone.started else Verdict.NOT_RUN,
            )
        rejected_range = self._rejected_ranges.get(key.incarnation)
        if (
            rejected_range is not None
            and key.sequence <= rejected_range.sequence
        ):
            raise ChicoryplankError(
                ErrorCode.ATTEMPT_ABANDONED,
                f"attempt {key.sequence} was rejected earlier",
            )
        if self.draining:
            raise ChicoryplankError(
                ErrorCode.SHUTTING_DOWN,
                "the backend server is draining",
                retry_after=_RETRY_AFTER,
            )
        if self._clock.now() > deadline + self._max_clock_skew:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the attempt arrived after its deadline",
            )
        self._remove_ended_attempts()
        if (
            len(self._records) >= self._limits.max_requests
            or self._is_tombstone_limit_reached()
        ):
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"the attempt table is full: {len(self._records)} attempts are "
                "in progress",
                retry_after=_RETRY_AFTER,
            )

    def _record_rejection(self, key: AttemptKey) -> None:
        """Prevents a rejected attempt from starting by a repeated message.

        An entry sends its attempts in the order of their numbers. So it is
        enough to store the highest rejected number per entry incarnation:
        unknown attempts with a lower number were sent earlier and are not
        started either.
        """
        elapsed = self._clock.elapsed()
        for incarnation in list(self._rejected_ranges):
            if self._rejected_ranges[incarnation].end > elapsed:
                break
            del self._rejected_ranges[incarnation]
        previous = self._rejected_ranges.pop(key.incarnation, None)
        sequence = key.sequence
        if previous is not None:
            sequence = max(sequence, previous.sequence)
        duration = self._limits.max_timeout + 2 * self._max_clock_skew
        self._rejected_ranges[key.incarnation] = _RejectedRange(
            sequence, elapsed + duration
        )

    def start(self, record: AttemptRecord) -> None:
        """Marks an attempt as sent to the backend server.

        Raises:
            ChicoryplankError: With NOT_RUN if the attempt was abandoned or its
                deadline has passed.
        """
        if self._records.get(record.key) is not record:
            raise ChicoryplankError(
                ErrorCode.ATTEMPT_ABANDONED, "the attempt was abandoned"
            )
        if self._clock.elapsed() >= record.deadline:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the attempt started",
            )
        require(
            record.state is RunState.QUEUED,
            "attempt_starts_once",
            f"attempt {record.key.sequence} is {record.state.value}",
        )
        record.state = RunState.RUNNING

    def append(self, record: AttemptRecord, data: bytes) -> int:
        """Buffers output and returns its offset in the response, in bytes.

        Raises:
            ChicoryplankError: With CALLER_TOO_SLOW if the unacknowledged output
                would exceed the limit.
        """
        if len(record.buffer) + len(data) > self._limits.max_buffer_bytes:
            raise ChicoryplankError(
                ErrorCode.CALLER_TOO_SLOW,
                f"more than {self._limits.max_buffer_bytes} bytes of output "
                "are not acknowledged",
                Verdict.MAY_HAVE_RUN,
            )
        offset = record.total_bytes
        record.buffer += data
        record.total_bytes += len(data)
        return offset

    def finish(self, record: AttemptRecord) -> None:
        """Marks an attempt as ended with its complete output."""
        record.state = RunState.ENDED

    def fail(self, record: AttemptRecord, error: ChicoryplankError) -> None:
        """Marks an attempt as ended with an error.

        If the verdict of the error is NOT_RUN, a tombstone replaces the
        attempt, so that it cannot start later.
        """
        record.error = error
        record.state = RunState.ENDED
        if error.verdict is Verdict.NOT_RUN:
            self._convert_to_tombstone(record)

    def settle(self, key: AttemptKey) -> bool:
        """Tells whether an attempt has started, and if not, prevents its start.

        Raises:
            ChicoryplankError: With OUTCOME_UNKNOWN if the table is too full to
                store a tombstone for the attempt.
        """
        record = self._records.get(key)
        if record is not None and record.state is not RunState.QUEUED:
            return True
        if record is not None:
            self._convert_to_tombstone(record)
            return False
        self._remove_expired_tombstones()
        tombstone = self._tombstones.get(key)
        if tombstone is not None and tombstone.started:
            return True
        if tombstone is None and self._is_tombstone_limit_reached():
            raise ChicoryplankError(
                ErrorCode.OUTCOME_UNKNOWN,
                "the attempt table is full and cannot settle the attempt",
                Verdict.MAY_HAVE_RUN,
            )
        # The entry sent the attempt earlier, with at most max_timeout until the
        # deadline. Its clock and this one may differ by the skew, and a start
        # message is accepted until the skew after its deadline.
        duration = self._limits.max_timeout + 2 * self._max_clock_skew
        self._add_tombstone(key, duration, started=False)
        return False

    def read_from(self, record: AttemptRecord, offset: int) -> bytes:
        """Returns the buffered output from an offset on.

        Args:
            record: The attempt.
            offset: Offset of the first byte to return.

        Raises:
            ChicoryplankError: With ANSWER_TRUNCATED if the output at the offset
                was already acknowledged or does not exist yet.
        """
        if not record.buffer_offset <= offset <= record.total_bytes:
            raise ChicoryplankError(
                ErrorCode.ANSWER_TRUNCATED,
                f"offset {offset} is outside the buffered output "
                f"{record.buffer_offset}..{record.total_bytes}",
                Verdict.MAY_HAVE_RUN,
            )
        return bytes(record.buffer[offset - record.buffer_offset :])

    def acknowledge(self, key: AttemptKey, offset: int) -> None:
        """Drops output that the entry has received, up to an offset.

        An attempt that has ended and whose output is fully acknowledged is
        replaced by a tombstone.
        """
        record = self._records.get(key)
        if record is None:
            return
        count = min(offset, record.total_bytes) - record.buffer_offset
        if count > 0:
            del record.buffer[:count]
            record.buffer_offset += count
        if (
            record.state is RunState.ENDED
            and record.buffer_offset == record.total_bytes
        ):
            self._convert_to_tombstone(record)

    def discard(self, key: AttemptKey) -> AttemptRecord | None:
        """Removes a cancelled attempt and returns its record, if any."""
        record = self._records.get(key)
        if record is not None:
            self._convert_to_tombstone(record)
        return record

    def _convert_to_tombstone(self, record: AttemptRecord) -> None:
        self._records.pop(record.key, None)
        time_left = record.start_expires_at - self._clock.elapsed()
        error = record.error
        started = record.state is not RunState.QUEUED and (
            error is None or error.verdict is not Verdict.NOT_RUN
        )
        self._add_tombstone(record.key, time_left, started)

    def _add_tombstone(
        self, key: AttemptKey, duration: timedelta, started: bool
    ) -> None:
        end = self._clock.elapsed() + max(
            duration, self._limits.default_timeout
        )
        self._tombstones[key] = _Tombstone(end, started)
        self._tombstones.move_to_end(key)

    def _remove_ended_attempts(self) -> None:
        """Removes ended attempts past their deadline from a full table.

        The acknowledgement of an attempt is lost if the connection breaks after
        the entry has received the end of the response. The entry does not ask
        for the output of an attempt after its deadline.
        """
        elapsed = self._clock.elapsed()
        is_due = elapsed - self._last_cleanup_at >= _CLEANUP_INTERVAL
        if len(self._records) < self._limits.max_requests or not is_due:
            return
        self._last_cleanup_at = elapsed
        for record in self.list_records():
            if (
                record.state is RunState.ENDED
                and record.start_expires_at < elapsed
            ):
                self._convert_to_tombstone(record)

    def _is_tombstone_limit_reached(self) -> bool:
        count = len(self._tombstones) + len(self._records)
        return count >= self._limits.max_tombstones

    def _remove_expired_tombstones(self) -> None:
        elapsed = self._clock.elapsed()
        while self._tombstones:
            key = next(iter(self._tombstones))
            if self._tombstones[key].end > elapsed:
                return
            del self._tombstones[key]
