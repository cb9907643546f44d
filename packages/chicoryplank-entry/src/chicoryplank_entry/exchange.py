"""Execution of single attempts: choosing an agent, sending and reading."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable
from datetime import timedelta

from chicoryplank.attempts import Attempt, AttemptState, EntryAttemptTable
from chicoryplank.clock import Clock
from chicoryplank.configuration import EntrySettings
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.idempotency import ClaimSettings, choose_shard, digest_key
from chicoryplank.verdict import Verdict
from chicoryplank_entry import metrics
from chicoryplank_entry.relays import Relay, RelayPool
from chicoryplank_entry.requests import Call
from chicoryplank_entry.selection import RelaySelector
from chicoryplank_wire import relay_pb2

_RETRY_AFTER = timedelta(seconds=1)
# Margin between the agent's deadline and the entry's, so that the agent's
# verdict arrives before the entry times out.
_AGENT_MARGIN = timedelta(milliseconds=50)
_UNAVAILABLE = 503
_SERVER_ERRORS = frozenset({502, _UNAVAILABLE, 504})
_REPLICA_FAILURES = frozenset(
    {
        ErrorCode.BACKEND_CRASHED,
        ErrorCode.BACKEND_FAILED,
        ErrorCode.OUTCOME_UNKNOWN,
    }
)


@dataclasses.dataclass(slots=True)
class SentAttempt:
    """An attempt that was sent to an agent.

    Attributes:
        relay: Connection to the agent.
        attempt: Entry of the attempt table.
        sent_at: Boot time at which the attempt was sent.
        call: The request.
        first_output: First output; empty until it has arrived.
    """

    relay: Relay
    attempt: Attempt
    sent_at: timedelta
    call: Call
    first_output: bytes = b""


class AttemptRunner:
    """Sends attempts to agents and reads their output.

    Args:
        settings: Settings of the entry.
        clock: Source of time for deadlines.
        attempt_table: Attempts that this entry has in progress.
        pool: Connections to the agents.
        selector: Chooses the agent of an attempt.

    Attributes:
        on_end: Called with each attempt at its end.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        attempt_table: EntryAttemptTable,
        pool: RelayPool,
        selector: RelaySelector,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._attempt_table = attempt_table
        self._pool = pool
        self._selector = selector
        self.on_end: Callable[[SentAttempt], None] = lambda sent_attempt: None

    def get_remaining_s(self, call: Call) -> float:
        """Returns the time until the deadline, in seconds."""
        remaining = call.deadline - self._clock.elapsed()
        return max(0.0, remaining.total_seconds())

    def launch(self, call: Call) -> SentAttempt:
        """Chooses an agent and sends it an attempt.

        The caller must pass the returned attempt to `release`.

        Raises:
            ChicoryplankError: If the attempt was not sent.
        """
        relay = self._choose_relay(call)
        start = self._make_start_frame(call)
        attempt = self._attempt_table.open(relay.instance.instance)
        try:
            relay.send(attempt, start)
        except ChicoryplankError:
            self._attempt_table.close(attempt)
            raise
        call.attempt_count += 1
        call.tried_instances.add(relay.instance.instance)
        relay.in_flight += 1
        self._selector.begin_attempt(relay)
        metrics.ATTEMPTS.labels(call.route.deployment).inc()
        return SentAttempt(relay, attempt, self._clock.elapsed(), call)

    async def await_first_output(
        self, call: Call, sent_attempt: SentAttempt
    ) -> None:
        """Waits for the response head and the first output.

        Raises:
            ChicoryplankError: If the attempt failed, the backend server
                responded with a retryable error, or the deadline passed.
        """
        try:
            async with asyncio.timeout(self.get_remaining_s(call)):
                await sent_attempt.attempt.wait_accepted()
                sent_attempt.first_output = await sent_attempt.attempt.read()
        except TimeoutError as error:
            raise make_timeout_error(sent_attempt.attempt) from error
        self._check_status(call, sent_attempt.attempt)

    async def read_complete(
        self, call: Call, sent_attempt: SentAttempt
    ) -> bytes:
        """Returns the complete response body.

        Raises:
            ChicoryplankError: If the body is incomplete or too large.
        """
        chunks = []
        size = 0
        data = sent_attempt.first_output
        try:
            async with asyncio.timeout(self.get_remaining_s(call)):
                while data:
                    chunks.append(data)
                    size += len(data)
                    self._check_size(size)
                    sent_attempt.relay.acknowledge(sent_attempt.attempt)
                    data = await sent_attempt.attempt.read()
        except TimeoutError as error:
            raise make_timeout_error(sent_attempt.attempt) from error
        return b"".join(chunks)

    def expire(self, sent_attempt: SentAttempt) -> None:
        """Fails an attempt whose deadline passed."""
        if sent_attempt.attempt.is_open:
            self._attempt_table.fail(
                sent_attempt.attempt, make_timeout_error(sent_attempt.attempt)
            )

    def release(self, sent_attempt: SentAttempt) -> None:
        """Removes an attempt; cancels it at the agent if it has not ended."""
        sent_attempt.relay.in_flight -= 1
        self.on_end(sent_attempt)
        error = sent_attempt.attempt.error
        if error is not None and error.code is ErrorCode.REPLICA_LIMITED:
            self._selector.hold(sent_attempt.relay, error.retry_after)
        self._selector.end_attempt(
            sent_attempt.relay, _get_replica_success(sent_attempt.attempt)
        )
        if sent_attempt.attempt.state is AttemptState.ENDED:
            sent_attempt.relay.acknowledge(sent_attempt.attempt, final=True)
        else:
            sent_attempt.relay.cancel(sent_attempt.attempt)
        self._attempt_table.close(sent_attempt.attempt)

    def _choose_relay(self, call: Call) -> Relay:
        deployment = call.route.deployment
        if call.route.repeatable:
            relay = self._selector.choose(
                self._pool,
                deployment,
                call.request.prefix,
                frozenset(call.tried_instances),
            )
        else:
            usable = self._selector.list_usable(self._pool, deployment)
            relay = _choose_by_idempotency_key(call, usable)
        if relay is None:
            raise ChicoryplankError(
                ErrorCode.NO_REPLICA,
                f"no replica of {deployment} can accept the request",
                retry_after=_RETRY_AFTER,
            )
        hold = self._selector.get_hold(relay)
        if hold:
            raise ChicoryplankError(
                ErrorCode.NO_REPLICA,
                f"all usable replicas of {deployment} limit their requests",
                retry_after=hold,
            )
        return relay

    def _make_start_frame(self, call: Call) -> relay_pb2.Start:
        request = call.request
        route = call.route
        remaining = call.deadline - self._clock.elapsed()
        if remaining <= timedelta():
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline passed"
            )
        remaining_at_agent = max(remaining - _AGENT_MARGIN, remaining / 2)
        priority = int(route.priority)
        headers = (
            *request.headers,
            ("X-Priority", str(priority)),
            ("X-Client-Account", route.account),
        )
        return relay_pb2.Start(
            account=route.account,
            group=route.deployment,
            priority=priority,
            budget_ms=max(1, int(remaining_at_agent.total_seconds() * 1000)),
            deadline_unix_ms=int(call.wall_clock_deadline.timestamp() * 1000),
            method=request.method,
            path=request.path,
            headers=[
                relay_pb2.Header(name=name, value=value)
                for name, value in headers
            ],
            body=request.body,
            idempotency_key=(
                "" if route.repeatable else request.idempotency_key
            ),
            repeatable=route.repeatable,
        )

    def _check_size(self, size: int) -> None:
        limit = self._settings.limits.max_buffer_bytes
        if size > limit:
            raise ChicoryplankError(
                ErrorCode.REQUEST_TOO_LARGE,
                f"the response is larger than {limit} bytes",
                Verdict.MAY_HAVE_RUN,
            )

    def _check_status(self, call: Call, attempt: Attempt) -> None:
        if not call.route.repeatable or attempt.status not in _SERVER_ERRORS:
            return
        overloaded = attempt.status == _UNAVAILABLE
        raise ChicoryplankError(
            ErrorCode.BACKEND_FAILED,
            f"the backend server responded with status {attempt.status}",
            Verdict.MAY_HAVE_RUN,
            retry_after=_RETRY_AFTER if overloaded else None,
        )


def make_timeout_error(attempt: Attempt) -> ChicoryplankError:
    """Creates the error of an attempt whose deadline has passed.

    The verdict is NOT_RUN if the attempt was never sent.
    """
    was_sent = attempt.incarnation is not None
    return ChicoryplankError(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed",
        Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN,
    )


def _get_replica_success(attempt: Attempt) -> bool | None:
    """Returns whether the replica served the attempt; None if unknown."""
    if attempt.state is AttemptState.ENDED:
        return attempt.status not in _SERVER_ERRORS
    error = attempt.error
    if error is not None and error.code in _REPLICA_FAILURES:
        return False
    return None


def _choose_by_idempotency_key(call: Call, relays: list[Relay]) -> Relay | None:
    """Chooses the agent responsible for the claim shard of the request's key.

    A single writer per shard avoids conflicting writes to the store, and the
    agent can respond to a retried request from its own memory.
    """
    key = digest_key(call.route.account, call.request.idempotency_key)
    shard = choose_shard(key, ClaimSettings().shards)

    def score(relay: Relay) -> bytes:
        text = f"{call.route.deployment}/{shard}/{relay.instance.instance}"
        return hashlib.sha256(text.encode()).digest()

    return max(relays, key=score, default=None)
