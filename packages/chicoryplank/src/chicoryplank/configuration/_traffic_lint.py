"""Check of routes, services and accounts of the forwarding front."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from datetime import timedelta

from chicoryplank.admission import (
    RetryBudgetParameters,
    compute_client_limits,
    compute_max_body_bytes,
)
from chicoryplank.configuration._lint import (
    CheckCode,
    Finding,
    make_warning,
)
from chicoryplank.ids import AccountId, ServiceId
from chicoryplank.traffic import (
    ClientLimits,
    RequestKind,
    Route,
    Service,
)

# Maximum number of attempts of one request at an entry, whatever a route says
# (chicoryplank_entry.forwarding.admission).
_MAX_ATTEMPTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficDocument:
    """Content of a configuration in the order of its file.

    Attributes:
        routes: Routes, with those that have the same host and prefix.
        services: Services.
        accounts: Accounts and their API keys.
        limits: Limits on requests.
        fields: Name in the file of each section, or attribute of a route, a
            service or the limits, that has another one there.
    """

    routes: Sequence[Route]
    services: Sequence[Service]
    accounts: Sequence[tuple[AccountId, Sequence[str]]]
    limits: ClientLimits
    fields: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def make_path(self, section: str, index: int, attribute: str) -> str:
        """Returns the path of an attribute in the file."""
        section = self.fields.get(section, section)
        return f"{section}[{index}].{self.fields.get(attribute, attribute)}"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficEnvironment:
    """What a configuration is used with; None for what is unknown.

    Attributes:
        servers: Number of registered servers of each service.
        retry_budget: Limits on retries.
        memory_bytes: Memory of the smallest entry.
    """

    servers: Mapping[ServiceId, int] | None = None
    retry_budget: RetryBudgetParameters | None = None
    memory_bytes: int | None = None


def find_traffic_warnings(
    document: TrafficDocument, environment: TrafficEnvironment
) -> list[Finding]:
    """Returns the warnings about a valid configuration, without positions."""
    return [
        *_find_shadowed_routes(document),
        *_find_route_warnings(document, environment),
        *_find_service_warnings(document, environment),
        *_find_account_warnings(document),
        *_find_limit_warnings(document, environment),
    ]


def _find_shadowed_routes(document: TrafficDocument) -> Iterator[Finding]:
    """Finds routes that no request matches.

    The longest prefix matches, and of equal ones the last.
    """
    later: dict[tuple[str, str], int] = {}
    for index in reversed(range(len(document.routes))):
        route = document.routes[index]
        key = (route.host.lower(), route.path_prefix)
        path = document.make_path("routes", index, "path_prefix")
        if key in later:
            other = document.routes[later[key]].name
            yield make_warning(
                CheckCode.NEVER_MATCHES,
                path,
                f"route {route.name!r} never matches, since route {other!r} "
                "has the same host and prefix",
            )
        later.setdefault(key, index)
        prefix = route.path_prefix
        if (
            not prefix.startswith("/")
            or not prefix.endswith("/")
            or "?" in prefix
        ):
            yield make_warning(
                CheckCode.NEVER_MATCHES,
                path,
                f"route {route.name!r} never matches, since {prefix!r} does "
                "not begin and end with a slash or contains a query",
            )
        if not route.host or ":" in route.host:
            yield make_warning(
                CheckCode.NEVER_MATCHES,
                document.make_path("routes", index, "host"),
                f"route {route.name!r} never matches, since hosts are compared "
                "without a port",
            )


def _find_route_warnings(
    document: TrafficDocument, environment: TrafficEnvironment
) -> Iterator[Finding]:
    for index, route in enumerate(document.routes):
        for attribute, code, message in (
            *_find_time_conflicts(route),
            *_find_attempt_conflicts(route, environment),
        ):
            path = document.make_path("routes", index, attribute)
            yield make_warning(code, path, f"route {route.name!r}: {message}")


_Conflict = tuple[str, CheckCode, str]


def _find_time_conflicts(route: Route) -> Iterator[_Conflict]:
    too_short = CheckCode.TIMEOUT_TOO_SHORT
    if route.timeout < route.target:
        yield "timeout", too_short, "the timeout is below the target"
    if route.gap_target is None:
        return
    if route.kind is not RequestKind.STREAMING:
        message = "a target between events has no effect without a stream"
        yield "gap_target", CheckCode.WITHOUT_EFFECT, message
    elif route.gap_target >= route.timeout:
        message = "the target between events is not below the timeout"
        yield "gap_target", too_short, message


def _find_attempt_conflicts(
    route: Route, environment: TrafficEnvironment
) -> Iterator[_Conflict]:
    unused = CheckCode.WITHOUT_EFFECT
    if route.resumable and route.kind is not RequestKind.STREAMING:
        yield "resumable", unused, "only a stream can be resumed"
    if any(share.weight == 0 for share in route.shares):
        yield "shares", unused, "a share of weight 0 gets no requests"
    if route.max_runs <= 1:
        return
    if not route.repeatable:
        yield "max_runs", unused, "its requests are executed at most once"
        return
    if route.max_runs > _MAX_ATTEMPTS:
        message = f"an entry makes at most {_MAX_ATTEMPTS} attempts"
        yield "max_runs", unused, message
    servers = environment.servers
    if servers is not None:
        available = sum(servers.get(share.service, 0) for share in route.shares)
        if 0 < available < route.max_runs:
            message = f"more attempts than its {available} servers"
            yield "max_runs", unused, message
    budget = environment.retry_budget
    if budget is not None and route.max_runs - 1 > budget.ratio + budget.extra:
        message = (
            f"{route.max_runs - 1} retries of one request exceed the retry "
            f"budget of {budget.extra} and {budget.ratio:g} per request"
        )
        yield "max_runs", CheckCode.TOO_MANY_ATTEMPTS, message


def _find_service_warnings(
    document: TrafficDocument, environment: TrafficEnvironment
) -> Iterator[Finding]:
    names = [service.name for service in document.services]
    used = set()
    for index, route in enumerate(document.routes):
        for share in route.shares:
            used.add(share.service)
            if share.service not in names:
                yield make_warning(
                    CheckCode.UNUSABLE_SERVICE,
                    document.make_path("routes", index, "shares"),
                    f"service {share.service!r} is not defined",
                )
    for index, service in enumerate(document.services):
        path = document.make_path("services", index, "name")
        if names.index(service.name) != index:
            yield make_warning(
                CheckCode.NEVER_MATCHES,
                path,
                f"service {service.name!r} is defined again; the last one "
                "counts",
            )
        if service.name not in used:
            yield make_warning(
                CheckCode.UNUSABLE_SERVICE, path, "no route leads to it"
            )
        servers = environment.servers
        if servers is not None and not servers.get(service.name):
            yield make_warning(
                CheckCode.UNUSABLE_SERVICE, path, "it has no server"
            )
        if (service.cold_requests_per_s > 0) != (
            service.cold_start > timedelta()
        ):
            yield make_warning(
                CheckCode.WITHOUT_EFFECT,
                document.make_path("services", index, "cold_requests_per_s"),
                "a bound for cold servers needs both a time and a rate",
            )


def _find_account_warnings(document: TrafficDocument) -> Iterator[Finding]:
    owners: dict[str, int] = {}
    for index, (account, keys) in enumerate(document.accounts):
        path = document.make_path("accounts", index, "keys")
        if not keys:
            yield make_warning(
                CheckCode.UNUSABLE_ACCOUNT,
                document.make_path("accounts", index, "name"),
                f"account {account!r} has no API key, so nobody can use it",
            )
        for key in keys:
            if owners.get(key, index) != index:
                other = document.accounts[owners[key]][0]
                yield make_warning(
                    CheckCode.NEVER_MATCHES,
                    path,
                    f"account {account!r} has an API key of account {other!r}; "
                    "the last one counts",
                )
            owners.setdefault(key, index)


def _find_limit_warnings(
    document: TrafficDocument, environment: TrafficEnvironment
) -> Iterator[Finding]:
    memory = environment.memory_bytes
    if memory is None:
        return
    name = document.fields.get("max_body_bytes", "max_body_bytes")
    max_bytes = compute_max_body_bytes(
        compute_client_limits(memory, max_descriptors=0)
    )
    if document.limits.max_body_bytes > max_bytes:
        yield make_warning(
            CheckCode.BODY_TOO_LARGE,
            f"limits.{name}",
            f"an entry has {memory} bytes and refuses bodies of more than "
            f"{max_bytes}",
        )
