"""Dispatch of a caller's request: authentication, choice, attempts."""

import asyncio
import dataclasses
import enum
import hashlib
import itertools
import json
import re
from collections.abc import Callable
from datetime import datetime, timedelta

from chicoryplank.attempts import Attempt, AttemptLedger, AttemptState
from chicoryplank.blackboard import Blackboard
from chicoryplank.clock import Clock
from chicoryplank.configuration import (
    AccountConfiguration,
    EntrySettings,
    Priority,
    Snapshot,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.idempotency import (
    ClaimSettings,
    choose_shard,
    digest_key,
)
from chicoryplank.ids import (
    AccountId,
    AttemptId,
    InstanceId,
    ModelGroupId,
    ServiceId,
)
from chicoryplank.limits import Request as AdmissionRequest
from chicoryplank.verdict import Verdict
from chicoryplank_entry import metrics
from chicoryplank_entry.admission import AdmissionGate
from chicoryplank_entry.relays import Relay, RelayPool
from chicoryplank_entry.selection import Selector
from chicoryplank_wire import relay_pb2

_RETRY_SOON = timedelta(seconds=1)
_MAX_ATTEMPTS = 3
# Time for the error event of an expired stream to reach a caller that reads.
_ABORT_DELAY_S = 1.0
# The agent's own verdict should arrive before the entry gives up.
_AGENT_MARGIN = timedelta(milliseconds=50)
_REPLICA_FAILURES = frozenset(
    {ErrorCode.BACKEND_FAILED, ErrorCode.OUTCOME_UNKNOWN}
)
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens":\s*(\d{1,9})')
_SERVER_ERRORS = frozenset({502, 503, 504})


class Kind(enum.Enum):
    """What a request is for."""

    MODEL = "model"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the HTTP interface read it.

    Attributes:
        kind: Model group or plain service.
        target: Model name or service id.
        token: Bearer token.
        method: HTTP method.
        path: Path at the backend server.
        headers: Headers to pass on.
        body: Request body.
        stream: Whether the caller wants server-sent events.
        priority: Priority class that the caller asked for, if any.
        timeout: Time until the deadline.
        idempotency_key: Key of a non-idempotent request, or "".
        prefix: Digest of the start of the prompt, for cache affinity.
        max_tokens: Bound on the generated tokens; 0 for services.
    """

    kind: Kind
    target: str
    token: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    priority: Priority | None
    timeout: timedelta
    idempotency_key: str = ""
    prefix: bytes = b""
    max_tokens: int = 0


class ResponseStream:
    """Events of a response as they arrive; must be closed.

    Args:
        attempt: Attempt that produces the events.
        first: Output that was already read.
        end_read: Called with each further piece of output.
        on_close: Called once when the stream is closed.

    Attributes:
        on_abort: Called when a caller that does not read must be cut off.
    """

    def __init__(
        self,
        attempt: Attempt,
        first: bytes,
        end_read: Callable[[bytes], None],
        on_close: Callable[[], None],
    ) -> None:
        self._attempt = attempt
        self._first = first
        self._end_read = end_read
        self._on_close: Callable[[], None] | None = on_close
        self.on_abort: Callable[[], object] = lambda: None

    async def read(self) -> bytes:
        """Returns the next output, or empty bytes at the end.

        Raises:
            ChicoryplankError: If the response is not whole.
        """
        if self._first:
            data, self._first = self._first, b""
            return data
        data = await self._attempt.read()
        self._end_read(data)
        return data

    def abort(self) -> None:
        """Breaks the caller's connection if it takes no output."""
        if self._on_close is not None:
            self.on_abort()

    def close(self) -> None:
        """Releases the attempt; cancels it if it is still open."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response to a caller: a whole body, or a stream of events."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | ResponseStream


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a request may go.

    Attributes:
        account: The caller's account.
        priority: Effective priority class.
        deployment: Deployment name in the instance list.
        repeatable: Whether the request is idempotent.
    """

    account: AccountId
    priority: Priority
    deployment: str
    repeatable: bool


@dataclasses.dataclass(slots=True)
class Call:
    """A request in progress.

    Attributes:
        number: Number within this entry.
        request: The request.
        route: Where it may go.
        started: Boot time of its arrival.
        deadline: Boot time of its deadline.
        deadline_wall: The deadline as wall-clock time.
        attempts: Attempts made so far.
        tried: Instances of these attempts.
        tokens: Tokens that were generated, as far as known.
    """

    number: int
    request: CallerRequest
    route: Route
    started: timedelta
    deadline: timedelta
    deadline_wall: datetime
    attempts: int = 0
    tried: set[InstanceId] = dataclasses.field(default_factory=set)
    tokens: int = 0


def find_account(
    snapshot: Snapshot, token: str
) -> tuple[AccountId, AccountConfiguration]:
    """Returns the client account of a bearer token.

    Raises:
        ChicoryplankError: With UNKNOWN_ACCOUNT if there is none.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    for account_id, account in snapshot.accounts.items():
        if account.token_sha256 == digest:
            return account_id, account
    raise ChicoryplankError(
        ErrorCode.UNKNOWN_ACCOUNT, "the bearer token belongs to no account"
    )


def find_route(snapshot: Snapshot, request: CallerRequest) -> Route:
    """Decides where a request may go under a configuration.

    Raises:
        ChicoryplankError: If account, model or service is unknown, or a
            non-idempotent call comes without a key.
    """
    account_id, account = find_account(snapshot, request.token)
    asked = request.priority
    priority = (
        account.priority if asked is None else max(account.priority, asked)
    )
    if request.kind is Kind.MODEL:
        for group_id in account.groups:
            group = snapshot.groups.get(ModelGroupId(group_id))
            if group is not None and request.target in group.models:
                return Route(account_id, priority, group_id, True)
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_MODEL,
            f"model {request.target!r} is not granted to {account_id}",
        )
    service = snapshot.services.get(ServiceId(request.target))
    if service is None or request.target not in account.services:
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_MODEL,
            f"service {request.target!r} is not granted to {account_id}",
        )
    repeatable = request.method in ("GET", "HEAD") or not any(
        request.path.startswith(prefix)
        for prefix in service.non_repeatable_paths
    )
    if not repeatable and not request.idempotency_key:
        raise ChicoryplankError(
            ErrorCode.KEY_REQUIRED,
            f"{request.path} needs the header Idempotency-Key",
        )
    return Route(account_id, priority, service.deployment, repeatable)


class Dispatcher:
    """Sends requests to agents and returns their responses.

    Args:
        settings: Settings of the entry.
        clock: Measures deadlines.
        blackboard: Configuration in force.
        ledger: Record of attempts.
        pool: Relays to agents.
        selector: Choice of a relay.
        gate: Admission.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        blackboard: Blackboard,
        *,
        ledger: AttemptLedger,
        pool: RelayPool,
        selector: Selector,
        gate: AdmissionGate,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._blackboard = blackboard
        self._ledger = ledger
        self._pool = pool
        self._selector = selector
        self._gate = gate
        self._numbers = itertools.count(1)
        self.in_progress = 0

    def check_ready(self) -> None:
        """Rejects if this entry must not take new requests.

        Raises:
            ChicoryplankError: With SHUTTING_DOWN, NOT_READY or
                TOO_MANY_REQUESTS.
        """
        if self._blackboard.draining.value:
            raise ChicoryplankError(
                ErrorCode.SHUTTING_DOWN,
                "this entry is shutting down; use another address",
                retry_after=_RETRY_SOON,
            )
        if self._blackboard.snapshot.value.version == 0:
            raise ChicoryplankError(
                ErrorCode.NOT_READY,
                "this entry has no configuration yet",
                retry_after=_RETRY_SOON,
            )
        if self.in_progress >= self._settings.limits.max_requests:
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{self.in_progress} requests are in progress",
                retry_after=_RETRY_SOON,
            )

    async def dispatch(self, request: CallerRequest) -> CallerResponse:
        """Returns the response to a request.

        Raises:
            ChicoryplankError: If no response can be given; the verdict says
                whether the request may have run.
        """
        self.check_ready()
        route = find_route(self._blackboard.snapshot.value, request)
        started = self._clock.elapsed()
        call = Call(
            next(self._numbers),
            request,
            route,
            started,
            started + request.timeout,
            self._clock.now() + request.timeout,
        )
        self.in_progress += 1
        metrics.IN_PROGRESS.inc()
        try:
            await self._enter(call)
        except BaseException:
            self._end_call(call)
            raise
        streaming = False
        try:
            response = await self._try_all(call)
            streaming = not isinstance(response.body, bytes)
            return response
        finally:
            if not streaming:
                self._leave(call)

    async def _enter(self, call: Call) -> None:
        """Waits for admission; the limiter refuses what would be late."""
        queued_at = self._clock.elapsed()
        try:
            async with asyncio.timeout(self._get_left_s(call)):
                await self._gate.enter(
                    AdmissionRequest(
                        _name_call(call),
                        call.route.account,
                        call.route.deployment,
                        call.route.priority,
                        call.deadline_wall,
                        call.request.max_tokens,
                    )
                )
        except TimeoutError as error:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed in the admission queue",
                retry_after=_RETRY_SOON,
            ) from error
        waited = self._clock.elapsed() - queued_at
        metrics.QUEUEING.labels(
            metrics.label_priority(call.route.priority), call.route.deployment
        ).observe(waited.total_seconds())

    def _leave(self, call: Call, succeeded: bool = True) -> None:
        self._gate.leave(_name_call(call), call.tokens, succeeded)
        self._end_call(call)

    def _end_call(self, call: Call) -> None:
        self.in_progress -= 1
        metrics.IN_PROGRESS.dec()
        total = self._clock.elapsed() - call.started
        metrics.TOTAL.labels(metrics.label_account(call.route.account)).observe(
            total.total_seconds()
        )

    async def _try_all(self, call: Call) -> CallerResponse:
        """Makes attempts until one succeeds or no more are allowed."""
        while True:
            try:
                return await self._try_once(call)
            except ChicoryplankError as error:
                if not self._may_retry(call, error):
                    raise

    def _may_retry(self, call: Call, error: ChicoryplankError) -> bool:
        if call.attempts == 0 or call.attempts >= _MAX_ATTEMPTS:
            return False
        if self._clock.elapsed() >= call.deadline:
            return False
        if error.verdict is Verdict.NOT_RUN:
            return True
        return (
            error.verdict is Verdict.MAY_HAVE_RUN
            and call.route.repeatable
            and error.code is not ErrorCode.CALLER_TOO_SLOW
        )

    async def _try_once(self, call: Call) -> CallerResponse:
        relay = self._choose_relay(call)
        attempt = self._ledger.open(relay.instance.instance)
        call.attempts += 1
        call.tried.add(relay.instance.instance)
        self._begin(relay)
        handed_over = False
        try:
            relay.send(attempt, self._make_start(call))
            async with asyncio.timeout(self._get_left_s(call)):
                await attempt.wait_accepted()
                first = await attempt.read()
                self._observe_first(call)
                if call.request.stream:
                    body = self._make_stream(call, relay, attempt, first)
                    handed_over = True
                    return CallerResponse(attempt.status, attempt.headers, body)
                whole = await self._read_whole(relay, attempt, first)
            self._check_status(call, attempt)
            call.tokens = _count_tokens(whole)
            return CallerResponse(attempt.status, attempt.headers, whole)
        except TimeoutError as error:
            raise make_timeout(attempt) from error
        finally:
            if not handed_over:
                self._release(relay, attempt)

    def _begin(self, relay: Relay) -> None:
        relay.in_flight += 1
        self._selector.begin(relay)
        metrics.ATTEMPTS.labels(relay.instance.deployment).inc()

    def _observe_first(self, call: Call) -> None:
        waited = self._clock.elapsed() - call.started
        metrics.FIRST_TOKEN.labels(
            metrics.label_account(call.route.account)
        ).observe(waited.total_seconds())

    def _make_stream(
        self, call: Call, relay: Relay, attempt: Attempt, first: bytes
    ) -> ResponseStream:
        call.tokens = _count_events(first)
        gaps = metrics.BETWEEN_TOKENS.labels(
            metrics.label_priority(call.route.priority), call.route.deployment
        )
        read_at = self._clock.elapsed()
        # One timer for the whole stream; a timeout for each read would cost
        # an eighth of the relay's processor time.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            self._get_left_s(call), lambda: self._expire(attempt, stream)
        )

        def end_read(data: bytes) -> None:
            nonlocal read_at
            now = self._clock.elapsed()
            gaps.observe((now - read_at).total_seconds())
            read_at = now
            call.tokens += _count_events(data)
            relay.acknowledge(attempt)

        def close() -> None:
            timer.cancel()
            self._release(relay, attempt)
            self._leave(call, attempt.state is AttemptState.ENDED)

        stream = ResponseStream(attempt, first, end_read, close)
        return stream

    def _expire(self, attempt: Attempt, stream: ResponseStream) -> None:
        """Ends a stream at its deadline, also if its caller does not read."""
        if attempt.is_open:
            self._ledger.fail(attempt, make_timeout(attempt))
        loop = asyncio.get_running_loop()
        loop.call_later(_ABORT_DELAY_S, stream.abort)

    def _choose_relay(self, call: Call) -> Relay:
        if call.route.repeatable:
            relay = self._selector.choose(
                self._pool,
                call.route.deployment,
                call.request.prefix,
                frozenset(call.tried),
            )
        else:
            relay = _choose_by_key(
                call,
                [
                    item
                    for item in self._pool.list_deployment(
                        call.route.deployment
                    )
                    if item.is_usable
                ],
            )
        if relay is None:
            raise ChicoryplankError(
                ErrorCode.NO_REPLICA,
                f"no replica of {call.route.deployment} can take the request",
                retry_after=_RETRY_SOON,
            )
        return relay

    def _make_start(self, call: Call) -> relay_pb2.Start:
        request = call.request
        left = call.deadline - self._clock.elapsed()
        if left <= timedelta():
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline passed"
            )
        budget = max(left - _AGENT_MARGIN, left / 2)
        return relay_pb2.Start(
            account=call.route.account,
            group=call.route.deployment,
            priority=int(call.route.priority),
            budget_ms=max(1, int(budget.total_seconds() * 1000)),
            deadline_unix_ms=int(call.deadline_wall.timestamp() * 1000),
            method=request.method,
            path=request.path,
            headers=[
                relay_pb2.Header(name=name, value=value)
                for name, value in (
                    *request.headers,
                    ("X-Priority", str(int(call.route.priority))),
                    ("X-Client-Account", call.route.account),
                )
            ],
            body=request.body,
            idempotency_key=(
                "" if call.route.repeatable else request.idempotency_key
            ),
            repeatable=call.route.repeatable,
        )

    def _get_left_s(self, call: Call) -> float:
        left = call.deadline - self._clock.elapsed()
        return max(0.0, left.total_seconds())

    async def _read_whole(
        self, relay: Relay, attempt: Attempt, first: bytes
    ) -> bytes:
        pieces = []
        size = 0
        data = first
        while data:
            pieces.append(data)
            size += len(data)
            if size > self._settings.limits.max_buffer_bytes:
                raise ChicoryplankError(
                    ErrorCode.REQUEST_TOO_LARGE,
                    "the response is larger than "
                    f"{self._settings.limits.max_buffer_bytes} bytes",
                    Verdict.MAY_HAVE_RUN,
                )
            relay.acknowledge(attempt)
            data = await attempt.read()
        return b"".join(pieces)

    def _check_status(self, call: Call, attempt: Attempt) -> None:
        if call.route.repeatable and attempt.status in _SERVER_ERRORS:
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED,
                f"the backend server answered with status {attempt.status}",
                Verdict.MAY_HAVE_RUN,
                retry_after=_RETRY_SOON,
            )

    def _release(self, relay: Relay, attempt: Attempt) -> None:
        relay.in_flight -= 1
        self._selector.end(relay, _judge(attempt))
        if attempt.incarnation is not None:
            if attempt.state is AttemptState.ENDED:
                relay.acknowledge(attempt, final=True)
            else:
                relay.cancel(attempt)
        self._ledger.close(attempt)


def _judge(attempt: Attempt) -> bool | None:
    """Returns whether the replica did its work; None if it is unknown."""
    if attempt.state is AttemptState.ENDED:
        return attempt.status not in _SERVER_ERRORS
    error = attempt.error
    if error is not None and error.code in _REPLICA_FAILURES:
        return False
    return None


def _name_call(call: Call) -> AttemptId:
    return AttemptId(str(call.number))


def _count_events(data: bytes) -> int:
    return data.count(b"data: ")


def _count_tokens(body: bytes) -> int:
    found = _COMPLETION_TOKENS.search(body)
    return int(found[1]) if found else 0


def make_timeout(attempt: Attempt) -> ChicoryplankError:
    """Returns the error of an attempt whose deadline passed."""
    sent = attempt.incarnation is not None
    return ChicoryplankError(
        ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed",
        Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
    )


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


def format_error(error: ChicoryplankError) -> bytes:
    """Returns the JSON body of an error."""
    retry_after = error.retry_after
    document = {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "type": error.code.name.lower(),
            "verdict": error.verdict.value,
            "retry_after_s": (
                None if retry_after is None else retry_after.total_seconds()
            ),
        }
    }
    return json.dumps(document).encode()
