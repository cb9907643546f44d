"""Requests of callers, and the choice of the deployment that serves them."""

import dataclasses
import enum
import hashlib
import json
from datetime import datetime, timedelta

from chicoryplank.configuration import (
    AccountConfiguration,
    Priority,
    Snapshot,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import (
    AccountId,
    AttemptId,
    InstanceId,
    ModelGroupId,
    ServiceId,
)
from chicoryplank.quarantine import (
    FeatureId,
    make_part_feature,
    make_request_feature,
)
from chicoryplank.verdict import Verdict

# Bounds on the messages of a prompt to which a crash may be attributed.
_MAX_PARTS = 32
_PART_DIGEST_BYTES = 12


class RequestKind(enum.Enum):
    """Kind of the target of a request: a model or a plain service."""

    MODEL = "model"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request of a caller, as parsed by the HTTP interface.

    Attributes:
        kind: Whether the target is a model or a plain service.
        target: Model name or service id.
        token: Bearer token.
        method: HTTP method.
        path: Path and query at the backend server, as the caller sent them.
        headers: Headers to forward to the backend server.
        body: Request body.
        stream: Whether the caller requests server-sent events.
        priority: Priority class that the caller requested, if any.
        timeout: Time until the deadline.
        idempotency_key: Key of a non-idempotent request, or "".
        prefix: Digest of the start of the prompt, for cache affinity.
        max_tokens: Maximum number of generated tokens; 0 for services.
        decoded_path: Percent-decoded path without the query, for services.
    """

    kind: RequestKind
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
    decoded_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Deployment and terms under which a request is served.

    Attributes:
        account: The caller's client account.
        priority: Effective priority class.
        deployment: Name of the deployment in the instance list.
        repeatable: Whether the request is idempotent and may be retried.
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
        route: Deployment that serves the request.
        started_at: Boot time of the request's arrival.
        deadline: Boot time of the request's deadline.
        wall_clock_deadline: The deadline as wall-clock time.
        attempt_count: Number of attempts sent so far.
        tried_instances: Instances of the agents of these attempts.
        earlier_verdict: MAY_HAVE_RUN if an earlier attempt may have run.
        tokens: Number of tokens generated so far, as far as known.
        is_trial: Whether the request is sent once although it is in quarantine.
    """

    number: int
    request: CallerRequest
    route: Route
    started_at: timedelta
    deadline: timedelta
    wall_clock_deadline: datetime
    attempt_count: int = 0
    tried_instances: set[InstanceId] = dataclasses.field(default_factory=set)
    earlier_verdict: Verdict = Verdict.NOT_RUN
    tokens: int = 0
    is_trial: bool = False
    _features: tuple[FeatureId, ...] | None = None

    @property
    def request_id(self) -> str:
        """Number of the request, for logs."""
        return str(self.number)

    @property
    def service(self) -> ServiceId:
        """Deployment that serves the request."""
        return ServiceId(self.route.deployment)

    @property
    def attempts(self) -> int:
        """Number of attempts sent so far."""
        return self.attempt_count

    @property
    def features(self) -> tuple[FeatureId, ...]:
        """What a crash of a backend server under the request may be due to."""
        if self._features is None:
            self._features = _make_features(self.route, self.request)
        return self._features

    @property
    def admission_id(self) -> AttemptId:
        """Identifier of the call at the limiter."""
        return AttemptId(str(self.number))


def _make_features(
    route: Route, request: CallerRequest
) -> tuple[FeatureId, ...]:
    """Returns the request itself, and the messages but the last as parts."""
    service = ServiceId(route.deployment)
    features = [
        make_request_feature(
            service, route.account, request.method, request.path, request.body
        )
    ]
    if request.kind is RequestKind.MODEL:
        messages = json.loads(request.body).get("messages")
        shared = messages[:-1] if isinstance(messages, list) else []
        for message in shared[:_MAX_PARTS]:
            text = json.dumps(message, sort_keys=True).encode()
            digest = hashlib.blake2b(text, digest_size=_PART_DIGEST_BYTES)
            features.append(make_part_feature(service, digest.hexdigest()))
    return tuple(features)


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


def choose_route(snapshot: Snapshot, request: CallerRequest) -> Route:
    """Chooses the deployment and priority of a request.

    Args:
        snapshot: Active configuration.
        request: Request of a caller.

    Raises:
        ChicoryplankError: If the account is unknown, the model or service is
            unknown or not granted to it, or a non-idempotent request has no
            idempotency key.
    """
    account_id, account = find_account(snapshot, request.token)
    requested_priority = request.priority
    priority = (
        account.priority
        if requested_priority is None
        else max(account.priority, requested_priority)
    )
    if request.kind is RequestKind.MODEL:
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
    # Paths are compared without case, because some services ignore case and a
    # request wrongly classified as idempotent could be executed twice.
    path = request.decoded_path.lower()
    repeatable = request.method in ("GET", "HEAD") or not any(
        path.startswith(prefix.lower())
        for prefix in service.non_repeatable_paths
    )
    if not repeatable and not request.idempotency_key:
        raise ChicoryplankError(
            ErrorCode.KEY_REQUIRED,
            f"{request.path} requires the header Idempotency-Key",
        )
    return Route(account_id, priority, service.deployment, repeatable)
