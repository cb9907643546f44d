"""Check of routes, services and accounts of the forwarding front."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from datetime import timedelta

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.configuration._lint import (
    BODY_COPIES,
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
    TrafficConfiguration,
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
    limits = document.limits
    body_bytes = BODY_COPIES * limits.max_body_bytes
    memory = environment.memory_bytes
    name = document.fields.get("max_body_bytes", "max_body_bytes")
    if memory is not None and body_bytes > memory:
        yield make_warning(
            CheckCode.BODY_TOO_LARGE,
            f"limits.{name}",
            f"an entry has {memory} bytes, and one body takes {body_bytes}",
        )


def describe_traffic_changes(
    old: TrafficConfiguration, new: TrafficConfiguration
) -> list[str]:
    """Returns the differences and their effect on callers, as sentences.

    API keys are counted, not shown.
    """
    sentences = []
    if new.version <= old.version:
        sentences.append(
            f"version {new.version} is not above version {old.version} in "
            "force, so entries ignore the whole configuration"
        )
    sentences += _describe_routes(old, new)
    sentences += _describe_services(old, new)
    sentences += _describe_accounts(old, new)
    sentences += _describe_fields(
        "limits", old.limits, new.limits, _LIMIT_EFFECTS
    )
    if old.requires_api_key != new.requires_api_key:
        sentences.append(
            "requests without an API key are refused, except on public routes"
            if new.requires_api_key
            else "requests need no API key any more"
        )
    return sentences


_ROUTE_EFFECTS = {
    "host": "requests to the former host are refused with CP1216",
    "path_prefix": "requests below the former prefix are refused with CP1216",
    "kind": "whether its requests may be executed again changes",
    "shares": "its requests go to other services or in other parts",
    "timeout": "a request that takes longer fails with CP1205",
    "target": "waiting requests are ordered by another target",
    "priority": "its requests go before or after those of other routes",
    "max_runs": "a failed request is tried at another number of servers",
    "public": "whether its requests need an API key changes",
    "resumable": "whether a broken stream continues at another server changes",
    "gap_target": "another target between events holds",
}
_SERVICE_EFFECTS = {
    "health_path": "callers notice nothing",
    "max_connections": "callers notice nothing",
    "engine": "waits and map changes are computed with another profile",
    "cold_start": "servers count as cold for another time after a start",
    "cold_requests_per_s": "cold servers get another number of requests",
}
_LIMIT_EFFECTS = {
    "max_head_bytes": "larger heads are refused",
    "max_body_bytes": "larger bodies are refused",
    "head_timeout": "callers that send a head more slowly are disconnected",
    "idle_timeout": "callers that send nothing for longer are disconnected",
}


def _describe_fields(
    subject: str, old: object, new: object, effects: Mapping[str, str]
) -> list[str]:
    return [
        f"{subject}: {attribute} changes from "
        f"{_format_value(getattr(old, attribute))} to "
        f"{_format_value(getattr(new, attribute))}; {effect}"
        for attribute, effect in effects.items()
        if getattr(old, attribute) != getattr(new, attribute)
    ]


def _format_value(value: object) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds():g} s"
    if isinstance(value, RequestKind):
        return value.value
    if isinstance(value, tuple):
        return ", ".join(f"{part.service} {part.weight:g}" for part in value)
    if dataclasses.is_dataclass(value):
        changed = [
            f"{field.name} {_format_value(getattr(value, field.name))}"
            for field in dataclasses.fields(value)
            if getattr(value, field.name) != field.default
        ]
        return f"({', '.join(changed)})"
    return "none" if value is None else str(value)


def _describe_routes(
    old: TrafficConfiguration, new: TrafficConfiguration
) -> list[str]:
    before = {route.name: route for route in old.routes}
    after = {route.name: route for route in new.routes}
    sentences = []
    for name in sorted(before.keys() | after.keys()):
        route = after.get(name) or before[name]
        place = f"{route.host}{route.path_prefix}"
        if name not in before:
            sentences.append(f"route {name} is added; {place} is served")
        elif name not in after:
            sentences.append(
                f"route {name} is removed; {place} is served by a route with a "
                "shorter prefix or refused with CP1216"
            )
        else:
            sentences += _describe_fields(
                f"route {name}", before[name], after[name], _ROUTE_EFFECTS
            )
    return sentences


def _describe_services(
    old: TrafficConfiguration, new: TrafficConfiguration
) -> list[str]:
    sentences = []
    for name in sorted(old.services.keys() | new.services.keys()):
        if name not in old.services:
            sentences.append(f"service {name} is added")
        elif name not in new.services:
            sentences.append(f"service {name} is removed; its servers are idle")
        else:
            sentences += _describe_fields(
                f"service {name}",
                old.services[name],
                new.services[name],
                _SERVICE_EFFECTS,
            )
    return sentences


def _describe_accounts(
    old: TrafficConfiguration, new: TrafficConfiguration
) -> list[str]:
    sentences = []
    names = {*old.accounts.values(), *new.accounts.values()}
    for name in sorted(names):
        before = {key for key, owner in old.accounts.items() if owner == name}
        after = {key for key, owner in new.accounts.items() if owner == name}
        if after - before:
            sentences.append(
                f"account {name}: {len(after - before)} API keys are added"
            )
        if before - after:
            sentences.append(
                f"account {name}: {len(before - after)} API keys are removed; "
                "requests with them are refused with CP1203"
            )
    for name in sorted(old.priorities.keys() | new.priorities.keys()):
        was, becomes = old.priorities.get(name), new.priorities.get(name)
        if was != becomes:
            sentences.append(
                f"account {name}: priority changes from "
                f"{'that of the route' if was is None else was} to "
                f"{'that of the route' if becomes is None else becomes}"
            )
    return sentences
