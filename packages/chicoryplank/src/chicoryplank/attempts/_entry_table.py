"""Attempts that an entry has sent to agents.

The table assigns each frame from an agent to its attempt and guarantees that
the response of an attempt is complete, in order and without duplicates.
"""

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
    """State of an attempt at the entry.

    Attributes:
        PENDING: Not yet written to a connection.
        SENT: Written to a connection; no response head received.
        ACCEPTED: The response head was received.
        ENDED: The complete response was received.
        FAILED: The attempt ended with an error.
    """

    PENDING = "pending"
    SENT = "sent"
    ACCEPTED = "accepted"
    ENDED = "ended"
    FAILED = "failed"


class Attempt:
    """One attempt to run a request through one agent.

    Attributes:
        sequence: Number of the attempt, unique within the entry incarnation.
        agent: Instance id of the agent.
        incarnation: Agent incarnation that the attempt was sent to; None until
            it is sent.
        state: State of the attempt.
        status: HTTP status of the backend server; 0 until the response head
            is received.
        headers: Response headers as (name, value).
        received: Length of the output received so far, in bytes.
        buffered: Length of the received output that was not read, in bytes.
        error: Why the attempt failed, if it did.
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
        """Whether the attempt has neither ended nor failed."""
        return self.state not in (AttemptState.ENDED, AttemptState.FAILED)

    @property
    def has_output(self) -> bool:
        """Whether received output has not been read."""
        return bool(self._chunks)

    async def wait_accepted(self) -> None:
        """Waits for the response head.

        Raises:
            ChicoryplankError: If the attempt failed before a response head was
                received.
        """
        while self.state in (AttemptState.PENDING, AttemptState.SENT):
            await self._wait()
        if self.error is not None and not self._chunks and not self.status:
            raise self.error

    async def read(self) -> bytes:
        """Waits for output and returns all that is buffered.

        Returns:
            The output, or empty bytes at the end of the response.

        Raises:
            ChicoryplankError: If the attempt failed, so that the response is
                incomplete.
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
        """Wakes the task that waits for the response, if any."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def add_chunk(self, data: bytes) -> None:
        """Appends output to the buffer of the reader."""
        self._chunks.append(data)
        self.buffered += len(data)
        self.received += len(data)


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """Requests to send to an agent after a reconnect.

    Attributes:
        settles: Numbers of the attempts without a response head. For each one
            the agent tells whether it started.
        resumes: Number of each attempt whose output is continued, with the
            offset of the next byte.
    """

    settles: tuple[int, ...]
    resumes: tuple[tuple[int, int], ...]


class EntryAttemptTable:
    """Attempts of one entry incarnation.

    Frames of unknown or finished attempts are dropped, output that was already
    received is discarded, and missing output fails the attempt, so that a
    caller never gets a response with a gap.

    Args:
        max_buffer_bytes: Maximum unread output buffered per attempt.
        wake: Called to wake the reader of an attempt when output arrives after
            the first chunk; the default wakes the reader at once.

    Attributes:
        dropped_frames: Number of frames dropped because their attempt is
            unknown or belongs to another agent.

    Example:
        >>> table = EntryAttemptTable(max_buffer_bytes=1024)
        >>> table.open(InstanceId("replica-1")).sequence
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
        """Creates an attempt in state PENDING."""
        attempt = Attempt(next(self._sequence), agent)
        self._attempts[attempt.sequence] = attempt
        return attempt

    def close(self, attempt: Attempt) -> None:
        """Removes an attempt; frames that arrive for it later are dropped."""
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
        """Records the response head of an attempt."""
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
        """Records output of an attempt.

        Args:
            agent: Agent that sent the output.
            sequence: Number of the attempt.
            offset: Offset of the first byte of data in the response.
            data: The output.

        Returns:
            False if the attempt failed because output is missing or its buffer
            is full; it must then be cancelled at the agent.
        """
        attempt = self._find(agent, sequence)
        if attempt is None or attempt.state is not AttemptState.ACCEPTED:
            return True
        overlap = attempt.received - offset
        if overlap < 0:
            self.fail(
                attempt,
                ChicoryplankError(
                    ErrorCode.ANSWER_TRUNCATED,
                    f"output is missing from offset {attempt.received}",
                    Verdict.MAY_HAVE_RUN,
                ),
            )
            return False
        if overlap >= len(data):
            return True
        if attempt.buffered + len(data) - overlap > self._max_buffer_bytes:
            self.fail(
                attempt,
                ChicoryplankError(
                    ErrorCode.CALLER_TOO_SLOW,
                    f"more than {self._max_buffer_bytes} bytes of output "
                    "are unread",
                    Verdict.MAY_HAVE_RUN,
                ),
            )
            return False
        is_first = not attempt.received
        had_output = attempt.has_output
        attempt.add_chunk(data[overlap:] if overlap else data)
        if is_first:
            attempt.wake()
        elif not had_output:
            self._wake(attempt)
        return True

    def observe_end(
        self, agent: InstanceId, sequence: int, total_bytes: int
    ) -> None:
        """Records the end of a response.

        The attempt fails if the received output has another length than
        total_bytes.
        """
        attempt = self._find(agent, sequence)
        if attempt is None or attempt.state is not AttemptState.ACCEPTED:
            return
        if attempt.received != total_bytes:
            self.fail(
                attempt,
                ChicoryplankError(
                    ErrorCode.ANSWER_TRUNCATED,
                    f"response truncated: received {attempt.received} of "
                    f"{total_bytes} bytes",
                    Verdict.MAY_HAVE_RUN,
                ),
            )
            return
        attempt.state = AttemptState.ENDED
        attempt.wake()

    def observe_refused(
        self, agent: InstanceId, sequence: int, error: ChicoryplankError
    ) -> None:
        """Records that an attempt was rejected by the agent or failed there."""
        attempt = self._find(agent, sequence)
        if attempt is None or not attempt.is_open:
            return
        require(
            attempt.state is not AttemptState.ACCEPTED
            or error.verdict is not Verdict.NOT_RUN,
            "accepted_attempt_ran",
            f"attempt {sequence} was accepted and then reported as not run",
        )
        self.fail(attempt, error)

    def fail(self, attempt: Attempt, error: ChicoryplankError) -> None:
        """Ends an attempt with an error."""
        attempt.error = error
        attempt.state = AttemptState.FAILED
        attempt.wake()

    def plan_recovery(
        self, agent: InstanceId, incarnation: Incarnation
    ) -> RecoveryPlan:
        """Returns the requests to send to an agent after a reconnect.

        Attempts that were sent to an earlier incarnation of the agent fail with
        MAY_HAVE_RUN, because the record of whether they ran was lost with that
        incarnation.
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
        return RecoveryPlan(tuple(settles), tuple(resumes))

    def observe_settled(
        self, agent: InstanceId, sequence: int, started: bool
    ) -> bool:
        """Records the agent's statement whether an attempt has started.

        An attempt that has not started will not start later and fails with
        NOT_RUN.

        Returns:
            True if the attempt has started; its output must then be resumed
            from offset 0.
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
                "the connection was lost before the agent received the attempt",
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
