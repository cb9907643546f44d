"""One request of a caller on its way through the entry."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId, InstanceId, ServiceId
from chicoryplank.traffic import RequestKind, Route, choose_service
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.fields import (
    HOP_BY_HOP,
    HeaderNames,
    list_connection_headers,
)
from chicoryplank_entry.forwarding.state import EntryState, ServiceState
from chicoryplank_wire.client_connection import encode_request
from chicoryplank_wire.server_connection import ReceivedRequest

_BEARER = "bearer "
# Delay after which a starting entry, or another one, is likely ready.
_RETURN_WHEN_READY = timedelta(milliseconds=300)
_MAX_DEADLINE_S = 3_600.0
# Urgency at the replica by priority of the route; a stream that goes on after
# a break comes first, since its caller waits in the middle of an answer.
_MAX_URGENCY = 9
_RESUME_URGENCY = 0


@dataclasses.dataclass(eq=False, slots=True)
class Call:
    """A request with what the entry decided about it.

    Attributes:
        request: The request as received.
        request_id: Id given by the caller.
        route: Route that matched.
        service: Service that was drawn.
        state: State of that service.
        account: Client account of the key; None if the route needs none.
        is_keyed: Whether API keys are in use, which replicas never see.
        priority: Priority of the account or the route; 0 is first.
        deadline_s: When the caller must have its answer.
        client_deadline_s: When the caller stops waiting.
        tried: Replicas that got the request.
        sends: How often it was sent.
        runs: How often it ran or may have run.
        verdict: Whether any attempt may have run.
        resume_after: Last event that the caller has; empty for none.
    """

    request: ReceivedRequest
    request_id: str
    route: Route
    service: ServiceId
    state: ServiceState
    account: AccountId | None
    is_keyed: bool
    priority: int
    deadline_s: float
    client_deadline_s: float
    tried: set[InstanceId] = dataclasses.field(default_factory=set)
    sends: int = 0
    runs: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    resume_after: str = ""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RequestKind.STREAMING

    def encode(
        self, names: HeaderNames, expected: InstanceId, now_s: float
    ) -> bytes:
        """Returns the request as the expected replica gets it."""
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
        if self.is_keyed:
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
        return encode_request(
            request.method, request.target, headers, request.body
        )


def make_call(
    state: EntryState, names: HeaderNames, request: ReceivedRequest
) -> Call:
    """Returns the call of a request.

    Raises:
        ChicoryplankError: If the request cannot be forwarded.
    """
    configuration = state.configuration
    if configuration is None:
        raise ChicoryplankError(
            ErrorCode.NOT_READY,
            "no configuration is known yet",
            retry_after=_RETURN_WHEN_READY,
        )
    route = state.routes.find(request.get("host") or "", request.target)
    if route is None:
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_PATH, f"no route for {request.target[:100]}"
        )
    account = _find_account(state, request, route)
    left_s = _read_time_left(names, request)
    timeout_s = route.timeout.total_seconds()
    service = choose_service(route, state.source)
    priority = route.priority
    if account is not None:
        priority = configuration.priorities.get(account, priority)
    return Call(
        request,
        request.get(names.request_id) or "",
        route,
        service,
        state.get_service(service),
        account,
        configuration.requires_api_key,
        priority,
        request.received_s + min(left_s, timeout_s),
        request.received_s + left_s,
    )


def _find_account(
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
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_ACCOUNT, "the API key is not known"
        )
    return account


def _read_time_left(names: HeaderNames, request: ReceivedRequest) -> float:
    """Returns the seconds that the caller waits; a bound if it says none.

    Raises:
        ChicoryplankError: If the header is not a number.
    """
    text = request.get(names.time_left)
    if text is None:
        return _MAX_DEADLINE_S
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
    return min(left_s, _MAX_DEADLINE_S)


__all__ = ["Call", "make_call"]
