"""Single attempts: choice of an agent, sending and reading."""

import asyncio
import dataclasses
import hashlib
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
from chicoryplank_entry.selection import Selector
from chicoryplank_wire import relay_pb2

_RETRY_SOON = timedelta(seconds=1)
# The agent's own verdict should arrive before the entry gives up.
_AGENT_MARGIN = timedelta(milliseconds=50)
_UNAVAILABLE = 503
_SERVER_ERRORS = frozenset({502, _UNAVAILABLE, 504})
_REPLICA_FAILURES = frozenset(
    {ErrorCode.BACKEND_FAILED, ErrorCode.OUTCOME_UNKNOWN}
)


@dataclasses.dataclass(slots=True)
class Lead:
    """An attempt that was sent to an agent.

    Attributes:
        relay: Connection to the agent.
        attempt: The attempt.
        sent_at: Boot time at which it was sent.
        first: First output, once it arrived.
    """

    relay: Relay
    attempt: Attempt
    sent_at: timedelta
    first: bytes = b""


class AttemptRunner:
    """Sends attempts to agents and reads their output.

    Args:
        settings: Settings of the entry.
        clock: Measures deadlines.
        ledger: Record of attempts.
        pool: Relays to agents.
        selector: Choice of a relay.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        ledger: EntryAttemptTable,
        pool: RelayPool,
        selector: Selector,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._ledger = ledger
        self._pool = pool
        self._selector = selector

    def get_left_s(self, call: Call) -> float:
        """Returns the time until the deadline, in seconds."""
        left = call.deadline - self._clock.elapsed()
        return max(0.0, left.total_seconds())

    def launch(self, call: Call) -> Lead:
        """Sends an attempt to a chosen agent; it must be released.

        Raises:
            ChicoryplankError: If nothing was sent.
        """
        relay = self._choose_relay(call)
        start = self._make_start(call)
        attempt = self._ledger.open(relay.instance.instance)
        try:
            relay.send(attempt, start)
        except ChicoryplankError:
            self._ledger.close(attempt)
            raise
        call.attempts += 1
        call.tried.add(relay.instance.instance)
        relay.in_flight += 1
        self._selector.begin(relay)
        metrics.ATTEMPTS.labels(call.route.deployment).inc()
        return Lead(relay, attempt, self._clock.elapsed())

    async def await_first(self, call: Call, lead: Lead) -> None:
        """Waits for the response head and the first output.

        Raises:
            ChicoryplankError: If the attempt failed or the deadline passed.
        """
        try:
            async with asyncio.timeout(self.get_left_s(call)):
                await lead.attempt.wait_accepted()
                lead.first = await lead.attempt.read()
        except TimeoutError as error:
            raise make_timeout(lead.attempt) from error
        self._check_status(call, lead.attempt)

    async def read_whole(self, call: Call, lead: Lead) -> bytes:
        """Returns the whole output.

        Raises:
            ChicoryplankError: If the output is not whole or too large.
        """
        pieces = []
        size = 0
        data = lead.first
        try:
            async with asyncio.timeout(self.get_left_s(call)):
                while data:
                    pieces.append(data)
                    size += len(data)
                    self._check_size(size)
                    lead.relay.acknowledge(lead.attempt)
                    data = await lead.attempt.read()
        except TimeoutError as error:
            raise make_timeout(lead.attempt) from error
        return b"".join(pieces)

    def expire(self, lead: Lead) -> None:
        """Fails an attempt whose deadline passed."""
        if lead.attempt.is_open:
            self._ledger.fail(lead.attempt, make_timeout(lead.attempt))

    def release(self, lead: Lead) -> None:
        """Forgets an attempt; cancels it at the agent if it has not ended."""
        lead.relay.in_flight -= 1
        self._selector.end(lead.relay, _judge(lead.attempt))
        if lead.attempt.state is AttemptState.ENDED:
            lead.relay.acknowledge(lead.attempt, final=True)
        else:
            lead.relay.cancel(lead.attempt)
        self._ledger.close(lead.attempt)

    def _choose_relay(self, call: Call) -> Relay:
        deployment = call.route.deployment
        if call.route.repeatable:
            relay = self._selector.choose(
                self._pool,
                deployment,
                call.request.prefix,
                frozenset(call.tried),
            )
        else:
            relays = self._pool.list_deployment(deployment)
            usable = [item for item in relays if item.is_usable]
            relay = _choose_by_key(call, usable)
        if relay is None:
            raise ChicoryplankError(
                ErrorCode.NO_REPLICA,
                f"no replica of {deployment} can take the request",
                retry_after=_RETRY_SOON,
            )
        return relay

    def _make_start(self, call: Call) -> relay_pb2.Start:
        request = call.request
        route = call.route
        left = call.deadline - self._clock.elapsed()
        if left <= timedelta():
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline passed"
            )
        budget = max(left - _AGENT_MARGIN, left / 2)
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
            budget_ms=max(1, int(budget.total_seconds() * 1000)),
            deadline_unix_ms=int(call.deadline_wall.timestamp() * 1000),
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
            f"the backend server answered with status {attempt.status}",
            Verdict.MAY_HAVE_RUN,
            retry_after=_RETRY_SOON if overloaded else None,
        )


def make_timeout(attempt: Attempt) -> ChicoryplankError:
    """Returns the error of an attempt whose deadline passed."""
    sent = attempt.incarnation is not None
    return ChicoryplankError(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed",
        Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
    )


def _judge(attempt: Attempt) -> bool | None:
    """Returns whether the replica did its work; None if it is unknown."""
    if attempt.state is AttemptState.ENDED:
        return attempt.status not in _SERVER_ERRORS
    error = attempt.error
    if error is not None and error.code in _REPLICA_FAILURES:
        return False
    return None


def _choose_by_key(call: Call, relays: list[Relay]) -> Relay | None:
    """Sends all keys of one claim shard to the same agent.

    One writer for a shard avoids conflicting writes and lets the agent answer
    a repeated request from its own memory.
    """
    key = digest_key(call.route.account, call.request.idempotency_key)
    shard = choose_shard(key, ClaimSettings().shards)

    def rank(relay: Relay) -> bytes:
        text = f"{call.route.deployment}/{shard}/{relay.instance.instance}"
        return hashlib.sha256(text.encode()).digest()

    return max(relays, key=rank, default=None)
