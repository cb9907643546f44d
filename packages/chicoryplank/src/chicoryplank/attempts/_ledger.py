"""The entry's record of attempts: own, whole and in-order responses."""

import asyncio
import dataclasses
import enum
import itertools
from collections.abc import Callable

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import Incarnation, InstanceId
from chicoryplank.invariants import require
from chicoryplank.verdict import Verdict


class AttemptState(enum.Enum):
    """Progress of an attempt at the entry."""

    PENDING = "pending"
    SENT = "sent"
    ACCEPTED = "accepted"
    ENDED = "ended"
    FAILED = "failed"


class Attempt:
    """One attempt of a request at one agent.

    Attributes:
        sequence: Number within this entry incarnation.
        agent: Instance of the agent.
        incarnation: Agent incarnation that the attempt was sent to.
        state: Progress.
        status: HTTP status of the backend server.
        headers: Response headers as (name, value).
        received: Output received so far, in bytes.
        error: Why the attempt failed.
    """

    __slots__ = (
        "_chunks",
        "_waiter",
        "agent",
        "buffered",
        "error",
        "headers",
        "incarnation",
        "received",
        "sequence",
        "state",
        "status",
    )

    def __init__(self, sequence: int, agent: InstanceId) -> None:
        self.sequence = sequence
        self.agent = agent
        self.incarnation: Incarnation | None = None
        self.state = AttemptState.PENDING
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.received = 0
        self.buffered = 0
        self.error: ChicoryplankError | None = None
        self._chunks: list[bytes] = []
        self._waiter: asyncio.Future | None = None

    @property
    def is_open(self) -> bool:
        """Whether more frames may arrive."""
        return self.state not in (AttemptState.ENDED, AttemptState.FAILED)

    @property
    def has_output(self) -> bool:
        """Whether output waits to be read."""
        return bool(self._chunks)

    async def wait_accepted(self) -> None:
        """Waits for the response head.

        Raises:
            ChicoryplankError: If the attempt failed.
        """
        while self.state in (AttemptState.PENDING, AttemptState.SENT):
            await self._wait()
        if self.error is not None and not self._chunks and not self.status:
            raise self.error

    async def read(self) -> bytes:
        """Returns the output that has arrived, or empty bytes at the end.

        Raises:
            ChicoryplankError: If the response is not whole.
        """
        while True:
            if self._chunks:
                data = b"".join(self._chunks)
                self._chunks.clear()
                self.buffered = 0
                return data
            if self.error is not None:
                raise self.error
            if self.state is AttemptState.ENDED:
                return b""
            await self._wait()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def wake(self) -> None:
        """Wakes the reader after a change."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def add_chunk(self, data: bytes) -> None:
        """Keeps output for the reader."""
        self._chunks.append(data)
        self.buffered += len(data)
        self.received += len(data)


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """What to ask an agent after a reconnect.

    Attributes:
        settles: Attempts of which nothing was heard.
        resumes: Attempts to continue, with the next offset in bytes.
    """

    settles: tuple[int, ...]
    resumes: tuple[tuple[int, int], ...]


class AttemptLedger:
    """Attempts of one entry incarnation.

    Frames of unknown or finished attempts are dropped, repeated output is
    cut off, and a gap fails the attempt instead of shortening its response.

    Args:
        max_buffer_bytes: Unread output kept for one caller.
        wake: Wakes the reader of an attempt after further output; by default
            at once.

    Example:
        >>> ledger = AttemptLedger(max_buffer_bytes=1024)
        >>> ledger.open(InstanceId("replica-1")).sequence
        1
    """

    def __init__(
        self,
        max_buffer_bytes: int,
        wake: Callable[[Attempt], None] = Attempt.wake,
    ) -> None:
        self._max_buffer_bytes = max_buffer_bytes
        self._wake = wake
        self._sequence = itertools.count(1)
        self._attempts: dict[int, Attempt] = {}
        self.dropped_frames = 0

    def __len__(self) -> int:
        return len(self._attempts)

    def open(self, agent: InstanceId) -> Attempt:
        """Creates an attempt that has not been sent."""
        attempt = Attempt(next(self._sequence), agent)
        self._attempts[attempt.sequence] = attempt
        return attempt

    def close(self, attempt: Attempt) -> None:
        """Forgets an attempt; its late frames will be dropped."""
        self._attempts.pop(attempt.sequence, None)

    def mark_sent(self, attempt: Attempt, incarnation: Incarnation) -> None:
        """Records that an attempt was written to a connection."""
        require(
            attempt.state is AttemptState.PENDING,
            "attempt_sent_once",
            f"attempt {attempt.sequence} is {attempt.state.value}",
        )
        attempt.state = AttemptState.SENT
        attempt.incarnation = incarnation

    def observe_accepted(
        self,
        agent: InstanceId,
        sequence: int,
        status: int,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        """Records the response head."""
        attempt = self._find(agent, sequence)
        if attempt is None or attempt.state is not AttemptState.SENT:
            return
        attempt.status = status
        attempt.headers = headers
        attempt.state = AttemptState.ACCEPTED
        attempt.wake()

    def observe_chunk(
        self, agent: InstanceId, sequence: int, offset: int, data: bytes
    ) -> bool:
        """Records output.

        Returns:
            False if the attempt failed because its buffer is full, so that
            the caller of this function cancels it at the agent.
        """
        attempt = self._find(agent, sequence)
        if attempt is None or attempt.state is not AttemptState.ACCEPTED:
            return True
        known = attempt.received - offset
        if known < 0:
            self.fail(
                attempt,
                ChicoryplankError(
                    ErrorCode.ANSWER_TRUNCATED,
                    f"output is missing from offset {attempt.received}",
                    Verdict.MAY_HAVE_RUN,
                ),
            )
            return False
        if known >= len(data):
            return True
        if attempt.buffered + len(data) - known > self._max_buffer_bytes:
            self.fail(
                attempt,
                ChicoryplankError(
                    ErrorCode.CALLER_TOO_SLOW,
                    f"more than {self._max_buffer_bytes} bytes are unread",
                    Verdict.MAY_HAVE_RUN,
                ),
            )
            return False
        is_first = not attempt.received
        is_waiting = attempt.has_output
        attempt.add_chunk(data[known:] if known else data)
        if is_first:
            attempt.wake()
        elif not is_waiting:
            self._wake(attempt)
        return True

    def observe_end(
        self, agent: InstanceId, sequence: int, total_bytes: int
    ) -> None:
        """Records the end marker; a response of another length fails."""
        attempt = self._find(agent, sequence)
        if attempt is None or attempt.state is not AttemptState.ACCEPTED:
            return
        if attempt.received != total_bytes:
            self.fail(
                attempt,
                ChicoryplankError(
                    ErrorCode.ANSWER_TRUNCATED,
                    f"{attempt.received} of {total_bytes} bytes arrived",
                    Verdict.MAY_HAVE_RUN,
                ),
            )
            return
        attempt.state = AttemptState.ENDED
        attempt.wake()

    def observe_refused(
        self, agent: InstanceId, sequence: int, error: ChicoryplankError
    ) -> None:
        """Records that the agent rejected or failed an attempt."""
        attempt = self._find(agent, sequence)
        if attempt is None or not attempt.is_open:
            return
        require(
            attempt.state is not AttemptState.ACCEPTED
            or error.verdict is not Verdict.NOT_RUN,
            "accepted_attempt_ran",
            f"attempt {sequence} was accepted and then called not run",
        )
        self.fail(attempt, error)

    def fail(self, attempt: Attempt, error: ChicoryplankError) -> None:
        """Ends an attempt with an error."""
        attempt.error = error
        attempt.state = AttemptState.FAILED
        attempt.wake()

    def plan_recovery(
        self, agent: InstanceId, incarnation: Incarnation
    ) -> Recovery:
        """Decides what to ask an agent after a reconnect.

        Attempts that were sent to another incarnation fail, because no one
        can tell any more whether they ran.
        """
        settles = []
        resumes = []
        for attempt in list(self._attempts.values()):
            if attempt.agent != agent or attempt.incarnation is None:
                continue
            if not attempt.is_open:
                continue
            if attempt.incarnation != incarnation:
                self.fail(
                    attempt,
                    ChicoryplankError(
                        ErrorCode.OUTCOME_UNKNOWN,
                        "the agent restarted during the attempt",
                        Verdict.MAY_HAVE_RUN,
                    ),
                )
            elif attempt.state is AttemptState.SENT:
                settles.append(attempt.sequence)
            else:
                resumes.append((attempt.sequence, attempt.received))
        return Recovery(tuple(settles), tuple(resumes))

    def observe_settled(
        self, agent: InstanceId, sequence: int, started: bool
    ) -> bool:
        """Records whether an attempt started.

        Returns:
            True if the attempt started and must be resumed from the start.
        """
        attempt = self._find(agent, sequence)
        if attempt is None or attempt.state is not AttemptState.SENT:
            return False
        if started:
            return True
        self.fail(
            attempt,
            ChicoryplankError(
                ErrorCode.ATTEMPT_ABANDONED,
                "the connection broke before the attempt arrived",
                Verdict.NOT_RUN,
            ),
        )
        return False

    def _find(self, agent: InstanceId, sequence: int) -> Attempt | None:
        attempt = self._attempts.get(sequence)
        if attempt is None or attempt.agent != agent:
            self.dropped_frames += 1
            return None
        return attempt
