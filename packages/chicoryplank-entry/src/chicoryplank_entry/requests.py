"""A caller's request and where it may go."""

import dataclasses
import enum
import hashlib
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
from chicoryplank.verdict import Verdict


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
        path: Path and query at the backend server, as the caller sent them.
        headers: Headers to pass on.
        body: Request body.
        stream: Whether the caller wants server-sent events.
        priority: Priority class that the caller asked for, if any.
        timeout: Time until the deadline.
        idempotency_key: Key of a non-idempotent request, or "".
        prefix: Digest of the start of the prompt, for cache affinity.
        max_tokens: Bound on the generated tokens; 0 for services.
        decoded_path: Path without percent-encoding, for services.
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
    decoded_path: str = ""


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
        earlier: MAY_HAVE_RUN if any attempt may have run.
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
    earlier: Verdict = Verdict.NOT_RUN
    tokens: int = 0

    @property
    def name(self) -> AttemptId:
        """Name of the call for admission."""
        return AttemptId(str(self.number))


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
    # Some services ignore case, and a call that is wrongly taken for
    # idempotent may run twice.
    path = request.decoded_path.lower()
    repeatable = request.method in ("GET", "HEAD") or not any(
        path.startswith(prefix.lower())
        for prefix in service.non_repeatable_paths
    )
    if not repeatable and not request.idempotency_key:
        raise ChicoryplankError(
            ErrorCode.KEY_REQUIRED,
            f"{request.path} needs the header Idempotency-Key",
        )
    return Route(account_id, priority, service.deployment, repeatable)
