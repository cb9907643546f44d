"""The agent's record of attempts: one start each, replay and tombstones."""

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

_RETRY_SOON = timedelta(seconds=1)
# A look through 4,096 attempts takes 0.5 ms.
_BURY_INTERVAL = timedelta(seconds=1)


class RunState(enum.Enum):
    """Progress of an attempt at the agent."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptKey:
    """Name of an attempt.

    Attributes:
        incarnation: Incarnation of the entry that sent it.
        sequence: Number of the attempt within that incarnation.
    """

    incarnation: Incarnation
    sequence: int


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """State of one attempt.

    Attributes:
        key: Name of the attempt.
        repeatable: Whether the request is idempotent.
        deadline: Boot time at which the attempt is abandoned.
        last_start: Boot time after which a repeated start message of the
            attempt is rejected as late.
        state: Progress.
        status: HTTP status of the backend server; 0 before it answered.
        headers: Response headers as (name, value).
        kept: Output that the entry has not acknowledged.
        base: Offset of the first kept byte.
        total: Length of the output so far, in bytes.
        error: Why the attempt failed, if it did.
    """

    key: AttemptKey
    repeatable: bool
    deadline: timedelta
    last_start: timedelta
    state: RunState = RunState.QUEUED
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    kept: bytearray = dataclasses.field(default_factory=bytearray)
    base: int = 0
    total: int = 0
    error: ChicoryplankError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Tombstone:
    """An attempt that must not start any more.

    Attributes:
        end: Boot time until which it is remembered.
        started: Whether the attempt may have run before.
    """

    end: timedelta
    started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Refused attempts of one entry incarnation.

    Attributes:
        sequence: Highest number that was refused.
        end: Boot time after which a start message would be too late.
    """

    sequence: int
    end: timedelta


class AttemptTable:
    """Attempts of one agent incarnation.

    An attempt starts at most once: a key that was seen before, or that an
    entry was told has not run, is never started again. Tombstones are kept
    until no message of the attempt can be accepted any more. If the table is
    full, new attempts are rejected rather than tombstones dropped.

    Args:
        clock: Measures deadlines.
        limits: Bounds on attempts, output and tombstones.
        max_clock_skew: Assumed bound on the difference of wall clocks.

    Example:
        >>> from chicoryplank.clock import ManualClock
        >>> clock = ManualClock()
        >>> table = AttemptTable(clock, RequestLimits(), timedelta())
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
        self._refusals: dict[Incarnation, _Refusal] = {}
        self._buried_at = clock.elapsed()
        self.draining = False

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: AttemptKey) -> AttemptRecord | None:
        """Returns the record of an attempt, if it is known."""
        return self._records.get(key)

    def list_records(self) -> tuple[AttemptRecord, ...]:
        """Returns the records of all attempts."""
        return tuple(self._records.values())

    def admit(
        self,
        key: AttemptKey,
        repeatable: bool,
        budget: timedelta,
        deadline: datetime,
    ) -> AttemptRecord | None:
        """Records a new attempt.

        Args:
            key: Name of the attempt.
            repeatable: Whether the request is idempotent.
            budget: Time left when the entry wrote the message.
            deadline: The same deadline as wall-clock time.

        Returns:
            The record, or None if the attempt is already in progress and the
            message is a duplicate.

        Raises:
            ChicoryplankError: If the attempt must not start; the verdict says
                whether it may have run before.
        """
        if key in self._records:
            return None
        self._forget_expired()
        try:
            self._check_start(key, deadline)
        except ChicoryplankError:
            self._remember_refusal(key)
            raise
        elapsed = self._clock.elapsed()
        # Until then this clock may go back by the skew, beside the skew that
        # a start message is allowed.
        left = deadline - self._clock.now() + 2 * self._max_clock_skew
        record = AttemptRecord(
            key, repeatable, elapsed + budget, elapsed + left
        )
        self._records[key] = record
        return record

    def _check_start(self, key: AttemptKey, deadline: datetime) -> None:
        tombstone = self._tombstones.get(key)
        if tombstone is not None:
            raise ChicoryplankError(
                ErrorCode.ATTEMPT_ABANDONED,
                f"attempt {key.sequence} was abandoned before it arrived",
                Verdict.MAY_HAVE_RUN if tombstone.started else Verdict.NOT_RUN,
            )
        refusal = self._refusals.get(key.incarnation)
        if refusal is not None and key.sequence <= refusal.sequence:
            raise ChicoryplankError(
                ErrorCode.ATTEMPT_ABANDONED,
                f"attempt {key.sequence} was refused before",
            )
        if self.draining:
            raise ChicoryplankError(
                ErrorCode.SHUTTING_DOWN,
                "the backend server is leaving",
                retry_after=_RETRY_SOON,
            )
        if self._clock.now() > deadline + self._max_clock_skew:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the attempt arrived after its deadline",
            )
        self._bury_ended()
        if len(self._records) >= self._limits.max_requests or self._is_full():
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{len(self._records)} attempts are in progress",
                retry_after=_RETRY_SOON,
            )

    def _remember_refusal(self, key: AttemptKey) -> None:
        """Keeps a refused attempt from starting by a repeated message.

        An entry sends its attempts in the order of their numbers, so the
        highest refused number stands for all below it that are unknown.
        """
        elapsed = self._clock.elapsed()
        for incarnation in list(self._refusals):
            if self._refusals[incarnation].end > elapsed:
                break
            del self._refusals[incarnation]
        known = self._refusals.pop(key.incarnation, None)
        sequence = key.sequence
        if known is not None:
            sequence = max(sequence, known.sequence)
        duration = self._limits.max_timeout + 2 * self._max_clock_skew
        self._refusals[key.incarnation] = _Refusal(sequence, elapsed + duration)

    def start(self, record: AttemptRecord) -> None:
        """Marks an attempt as sent to the backend server.

        Raises:
            ChicoryplankError: If the attempt was abandoned or its deadline
                passed; it has not run.
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
        """Adds output and returns its offset in bytes.

        Raises:
            ChicoryplankError: With CALLER_TOO_SLOW if the entry leaves more
                output unacknowledged than the limit allows.
        """
        if len(record.kept) + len(data) > self._limits.max_buffer_bytes:
            raise ChicoryplankError(
                ErrorCode.CALLER_TOO_SLOW,
                f"more than {self._limits.max_buffer_bytes} bytes are unread",
                Verdict.MAY_HAVE_RUN,
            )
        offset = record.total
        record.kept += data
        record.total += len(data)
        return offset

    def finish(self, record: AttemptRecord) -> None:
        """Marks an attempt as ended with its whole output."""
        record.state = RunState.ENDED

    def fail(self, record: AttemptRecord, error: ChicoryplankError) -> None:
        """Marks an attempt as ended with an error.

        An error that says NOT_RUN is final: the attempt becomes a tombstone.
        """
        record.error = error
        record.state = RunState.ENDED
        if error.verdict is Verdict.NOT_RUN:
            self._bury(record)

    def settle(self, key: AttemptKey) -> bool:
        """Tells whether an attempt has started; if not, it never will.

        Raises:
            ChicoryplankError: If the table is too full to remember that the
                attempt must not start.
        """
        record = self._records.get(key)
        if record is not None and record.state is not RunState.QUEUED:
            return True
        if record is not None:
            self._bury(record)
            return False
        self._forget_expired()
        tombstone = self._tombstones.get(key)
        if tombstone is not None and tombstone.started:
            return True
        if tombstone is None and self._is_full():
            raise ChicoryplankError(
                ErrorCode.OUTCOME_UNKNOWN,
                "too many attempts to settle",
                Verdict.MAY_HAVE_RUN,
            )
        # The entry sent the attempt before, with at most this time left; its
        # clock and this one may be off by the skew.
        duration = self._limits.max_timeout + 2 * self._max_clock_skew
        self._remember(key, duration, started=False)
        return False

    def read_from(self, record: AttemptRecord, offset: int) -> bytes:
        """Returns the kept output from an offset on, in bytes.

        Raises:
            ChicoryplankError: If the offset was acknowledged before or lies
                beyond the output.
        """
        if not record.base <= offset <= record.total:
            raise ChicoryplankError(
                ErrorCode.ANSWER_TRUNCATED,
                f"offset {offset} is outside {record.base}..{record.total}",
                Verdict.MAY_HAVE_RUN,
            )
        return bytes(record.kept[offset - record.base :])

    def acknowledge(self, key: AttemptKey, offset: int) -> None:
        """Drops output up to an offset; forgets an attempt that is done."""
        record = self._records.get(key)
        if record is None:
            return
        count = min(offset, record.total) - record.base
        if count > 0:
            del record.kept[:count]
            record.base += count
        if record.state is RunState.ENDED and record.base == record.total:
            self._bury(record)

    def discard(self, key: AttemptKey) -> AttemptRecord | None:
        """Forgets a cancelled attempt and returns its record, if any."""
        record = self._records.get(key)
        if record is not None:
            self._bury(record)
        return record

    def _bury(self, record: AttemptRecord) -> None:
        self._records.pop(record.key, None)
        left = record.last_start - self._clock.elapsed()
        error = record.error
        started = record.state is not RunState.QUEUED and (
            error is None or error.verdict is not Verdict.NOT_RUN
        )
        self._remember(record.key, left, started)

    def _remember(
        self, key: AttemptKey, duration: timedelta, started: bool
    ) -> None:
        end = self._clock.elapsed() + max(
            duration, self._limits.default_timeout
        )
        self._tombstones[key] = _Tombstone(end, started)
        self._tombstones.move_to_end(key)

    def _bury_ended(self) -> None:
        """Makes room in a full table.

        The acknowledgement of an attempt is lost if the connection breaks
        after the entry has read the end. After its deadline the entry asks
        for it no more.
        """
        elapsed = self._clock.elapsed()
        is_due = elapsed - self._buried_at >= _BURY_INTERVAL
        if len(self._records) < self._limits.max_requests or not is_due:
            return
        self._buried_at = elapsed
        for record in self.list_records():
            if record.state is RunState.ENDED and record.last_start < elapsed:
                self._bury(record)

    def _is_full(self) -> bool:
        count = len(self._tombstones) + len(self._records)
        return count >= self._limits.max_tombstones

    def _forget_expired(self) -> None:
        elapsed = self._clock.elapsed()
        while self._tombstones:
            key = next(iter(self._tombstones))
            if self._tombstones[key].end > elapsed:
                return
            del self._tombstones[key]
