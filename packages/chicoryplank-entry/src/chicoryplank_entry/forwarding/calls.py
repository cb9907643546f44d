"""State of one request while the entry forwards it."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId, InstanceId, ServiceId
from chicoryplank.quarantine import (
    FeatureId,
    make_part_feature,
    make_request_feature,
)
from chicoryplank.traffic import RequestKind, Route, choose_service
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.fields import (
    HOP_BY_HOP,
    HeaderNames,
    list_connection_headers,
)
from chicoryplank_entry.forwarding.state import EntryState, ServiceState
from chicoryplank_wire.client_connection import (
    ClientConnection,
    encode_head,
)
from chicoryplank_wire.server_connection import ReceivedRequest

_BEARER = "bearer "
# Retry-After delay within which this entry or another one is likely ready.
_NOT_READY_RETRY_AFTER = timedelta(milliseconds=300)
_MAX_TIMEOUT_S = 3_600.0
# Urgency in the queue of the replica, derived from the priority. A resumed
# stream is the most urgent, since its caller waits in the middle of a response.
_MAX_URGENCY = 9
_RESUME_URGENCY = 0
_MAX_PROMPT_PARTS = 64
_MAX_PART_ID_LENGTH = 64


@dataclasses.dataclass(eq=False, slots=True)
class Call:
    """A request of a caller, with its route, deadlines and attempts.

    Attributes:
        request: Received request.
        request_id: Request id from the caller.
        route: Matching route.
        service: Service chosen among the shares of the route.
        service_state: State of that service.
        account: Client account of the key; None if the route needs none.
        requires_api_key: Whether the configuration uses API keys. If so, the
            Authorization header is not forwarded to replicas.
        priority: Priority of the account or the route; 0 is the most urgent.
        deadline_s: Time when the response must be complete.
        caller_deadline_s: Time when the caller stops waiting.
        tried_replicas: Replicas that were tried.
        used_connections: Connections that carried the request.
        needs_new_connection: Whether an idle connection broke under the
            request, so that others are likely closed as well.
        attempts: Number of times the request was sent.
        is_retry_charged: Whether the next attempt was charged to the retry
            budget.
        possible_runs: Number of attempts that ran or may have run.
        verdict: Whether any attempt may have run.
        resume_after: Id of the last event that the caller received, for a
            resumed stream; empty otherwise.
        sent_after_s: Time from the arrival of the request to the first attempt,
            in seconds.
        is_trial: Whether the request is sent once although it has a feature in
            quarantine.
        prompt: Parts of the prompt, as the caller lists them; empty if the
            request has no prompt.
    """

    request: ReceivedRequest
    request_id: str
    route: Route
    service: ServiceId
    service_state: ServiceState
    account: AccountId | None
    requires_api_key: bool
    priority: int
    deadline_s: float
    caller_deadline_s: float
    tried_replicas: set[InstanceId] = dataclasses.field(default_factory=set)
    used_connections: list[ClientConnection] = dataclasses.field(
        default_factory=list
    )
    needs_new_connection: bool = False
    attempts: int = 0
    is_retry_charged: bool = False
    possible_runs: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    resume_after: str = ""
    sent_after_s: float = 0.0
    is_trial: bool = False
    prompt: str = ""
    _features: tuple[FeatureId, ...] | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RequestKind.STREAMING

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that requests may share.

        The last part, which belongs to the request or its session, is left out.
        """
        parts = self.prompt.split(",", _MAX_PROMPT_PARTS)[:-1]
        return tuple(
            part.partition(":")[0].strip().lower()[:_MAX_PART_ID_LENGTH]
            for part in parts
        )

    @property
    def request_feature(self) -> FeatureId:
        """Identifies the request among repetitions of it."""
        request = self.request
        return make_request_feature(
            self.service,
            self.account or "",
            request.method,
            request.target,
            request.body,
        )

    @property
    def features(self) -> tuple[FeatureId, ...]:
        """What a crash of a replica under this request may be due to."""
        if self._features is None:
            parts = [
                make_part_feature(self.service, part)
                for part in self.prompt_parts
            ]
            self._features = (self.request_feature, *parts)
        return self._features

    def encode_head(
        self, names: HeaderNames, expected: InstanceId, now_s: float
    ) -> bytes:
        """Encodes the head of the request for a replica."""
        request = self.request
        dropped = HOP_BY_HOP | list_connection_headers(
            request.get("connection")
        )
        replaced = {
            names.time_left,
            names.expected_instance,
            names.account,
            names.urgency,
        }
        if self.requires_api_key:
            replaced.add("authorization")
        if self.resume_after:
            replaced.add(names.last_event)
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in dropped and name.lower() not in replaced
        ]
        left_ms = max(1, int((self.deadline_s - now_s) * 1000))
        headers.append((names.time_left, str(left_ms)))
        headers.append((names.expected_instance, expected))
        urgency = min(_MAX_URGENCY, self.priority + 1)
        if self.resume_after:
            urgency = _RESUME_URGENCY
            headers.append((names.last_event, self.resume_after))
        headers.append((names.urgency, str(urgency)))
        if self.account is not None:
            headers.append((names.account, self.account))
        return encode_head(
            request.method, request.target, headers, len(request.body)
        )


def make_call(
    state: EntryState, names: HeaderNames, request: ReceivedRequest
) -> Call:
    """Matches a request to a route, an account and a service.

    Raises:
        ChicoryplankError: If the request cannot be forwarded.
    """
    configuration = state.configuration
    if configuration is None:
        raise ChicoryplankError(
            ErrorCode.NOT_READY,
            "this entry has no configuration yet",
            retry_after=_NOT_READY_RETRY_AFTER,
        )
    route = state.routes.find(request.get("host") or "", request.target)
    if route is None:
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_PATH, f"no route for {request.target[:100]}"
        )
    account = _authenticate(state, request, route)
    request_id = request.get(names.request_id)
    if not request_id:
        # No response could be matched with the request.
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, f"{names.request_id} is missing"
        )
    left_s = _parse_time_left(names, request)
    timeout_s = route.timeout.total_seconds()
    service = choose_service(route, state.rng)
    priority = route.priority
    if account is not None:
        priority = configuration.priorities.get(account, priority)
    return Call(
        request,
        request_id,
        route,
        service,
        state.get_service(service),
        account,
        configuration.requires_api_key,
        priority,
        request.received_s + min(left_s, timeout_s),
        request.received_s + left_s,
        prompt=request.get(names.prompt_parts) or "",
    )


def _authenticate(
    state: EntryState, request: ReceivedRequest, route: Route
) -> AccountId | None:
    configuration = state.configuration
    if not configuration.requires_api_key:
        return None
    value = request.get("authorization") or ""
    account = None
    if value.lower().startswith(_BEARER):
        account = configuration.accounts.get(value[len(_BEARER) :].strip())
    if account is None and not route.public:
        raise ChicoryplankError(ErrorCode.UNKNOWN_ACCOUNT, "unknown API key")
    return account


def _parse_time_left(names: HeaderNames, request: ReceivedRequest) -> float:
    """Returns how long the caller waits, in seconds, limited to an hour.

    Raises:
        ChicoryplankError: If the header is not a number or out of range.
    """
    text = request.get(names.time_left)
    if text is None:
        return _MAX_TIMEOUT_S
    try:
        left_s = float(text) / 1000
    except ValueError as error:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"{names.time_left}: {text[:50]!r} is not a number",
        ) from error
    if not 0 <= left_s < float("inf"):
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"{names.time_left}: {text[:50]!r} is out of range",
        )
    return min(left_s, _MAX_TIMEOUT_S)


__all__ = ["Call", "make_call"]
