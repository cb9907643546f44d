"""Differences between configurations of the forwarding front."""

import dataclasses
from collections.abc import Mapping
from datetime import timedelta

from chicoryplank.traffic import RequestKind, TrafficConfiguration


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
