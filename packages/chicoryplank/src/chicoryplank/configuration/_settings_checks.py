"""Checks of the settings files of both daemons."""

import dataclasses
from collections.abc import Iterator
from datetime import timedelta

from chicoryplank.configuration._checks import (
    Check,
    Field,
    InvalidInputError,
    Problem,
    check_address,
    check_duration,
    check_integer,
    check_name,
    check_record,
    check_secret,
    describe_value,
    parse_json,
)
from chicoryplank.configuration._intent import INTENT_CHECK
from chicoryplank.configuration._settings import (
    AgentSettings,
    EntrySettings,
    InstanceListSettings,
    RequestLimits,
    SettingsKind,
    StoreSettings,
)
from chicoryplank.errors import ErrorCode

_MEGABYTE = 1_048_576


def _duration(
    attribute: str, unit: str, minimum: float, maximum: float
) -> Field:
    check = check_duration(unit, minimum, maximum)
    return Field(f"{attribute}_{unit}", check, attribute, unit)


_STORE = check_record(
    StoreSettings,
    (
        Field("address", check_address()),
        _duration("timeout", "ms", 10, 60_000),
    ),
)
_INSTANCE_LIST = check_record(
    InstanceListSettings,
    (
        Field("address", check_address()),
        _duration("poll_interval", "ms", 100, 60_000),
        _duration("timeout", "ms", 10, 60_000),
    ),
)
_LIMITS = check_record(
    RequestLimits,
    (
        Field("max_body_bytes", check_integer(1_024, 64 * _MEGABYTE)),
        Field("max_header_bytes", check_integer(1_024, _MEGABYTE)),
        Field("max_requests", check_integer(1, 1_000_000)),
        Field("max_buffer_bytes", check_integer(4_096, 64 * _MEGABYTE)),
        Field("max_tombstones", check_integer(1_024, 10_000_000)),
        _duration("default_timeout", "s", 0.1, 86_400),
        _duration("max_timeout", "s", 0.1, 86_400),
        _duration("body_timeout", "s", 0.1, 3_600),
        Field("max_headers", check_integer(16, 10_000)),
        Field("max_connections", check_integer(1, 1_000_000)),
        _duration("header_timeout", "s", 0.1, 3_600),
        _duration("write_timeout", "s", 0.1, 3_600),
    ),
)
_ENTRY = check_record(
    EntrySettings,
    (
        Field("instance", check_name()),
        Field("zone", check_name()),
        Field("caller_address", check_address()),
        Field("control_address", check_address()),
        Field("store", _STORE),
        Field("instance_list", _INSTANCE_LIST),
        Field("limits", _LIMITS),
        _duration("address_ttl", "s", 0.1, 3_600),
        _duration("drain_timeout", "s", 0, 86_400),
        _duration("max_isolation", "s", 1, 86_400),
        _duration("max_clock_skew", "s", 0, 60),
        _duration("controller_lease", "s", 3, 300),
        Field("shared_secret", check_secret()),
    ),
)
_AGENT = check_record(
    AgentSettings,
    (
        Field("instance", check_name()),
        Field("zone", check_name()),
        Field("deployment", check_name()),
        Field("listen_address", check_address()),
        Field("backend_address", check_address()),
        Field("store", _STORE),
        Field("limits", _LIMITS),
        # Tokens are due every 40 ms, so a flush must not wait longer.
        _duration("flush_interval", "ms", 0, 40),
        _duration("grace_period", "s", 0, 3_600),
        _duration("drain_timeout", "s", 0, 86_400),
        _duration("max_clock_skew", "s", 0, 60),
        Field("shared_secret", check_secret()),
    ),
)
_CHECKS = {SettingsKind.ENTRY: _ENTRY, SettingsKind.AGENT: _AGENT}
_CLASSES = {
    SettingsKind.ENTRY: EntrySettings,
    SettingsKind.AGENT: AgentSettings,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SettingDescription:
    """A setting, for the documentation.

    Attributes:
        path: Name with dots.
        allowed: What is allowed.
        default: Default in the unit of the name; `required` if there is none.
    """

    path: str
    allowed: str
    default: str


def parse_settings(
    text: str, kind: SettingsKind
) -> EntrySettings | AgentSettings:
    """Parses and checks a settings file as a whole.

    Args:
        text: JSON with comments.
        kind: Which daemon the settings are for.

    Returns:
        The settings; fields that are absent have their defaults.

    Raises:
        InvalidInputError: With INVALID_SETTINGS and every error found.

    Example:
        >>> try:
        ...     parse_settings("{}", SettingsKind.AGENT)
        ... except InvalidInputError as error:
        ...     len(error.problems)
        6
    """
    kind = SettingsKind(kind)
    subject = f"{kind.value} settings"
    value = parse_json(text, ErrorCode.INVALID_SETTINGS, subject)
    problems: list[Problem] = []
    settings = _CHECKS[kind].convert(value, "", problems)
    _check_relations(value, problems)
    if problems:
        raise InvalidInputError(
            ErrorCode.INVALID_SETTINGS, subject, tuple(problems)
        )
    return settings


def _check_relations(value: object, problems: list[Problem]) -> None:
    """Checks rules between fields, on the fields that are correct alone."""
    if not isinstance(value, dict):
        return
    for first, second in (
        ("caller_address", "control_address"),
        ("listen_address", "backend_address"),
    ):
        if first in value and value[first] == value.get(second):
            problems.append(
                Problem(second, describe_value(value[second]), f"not {first}")
            )
    _check_timeouts(value.get("limits", {}), problems)


def _check_timeouts(limits: object, problems: list[Problem]) -> None:
    path = "limits.default_timeout_s"
    reported = {problem.path for problem in problems}
    if (
        not isinstance(limits, dict)
        or {
            path,
            "limits.max_timeout_s",
        }
        & reported
    ):
        return
    defaults = RequestLimits()
    longest = limits.get("max_timeout_s", defaults.max_timeout.total_seconds())
    usual = limits.get(
        "default_timeout_s", defaults.default_timeout.total_seconds()
    )
    if usual > longest:
        problems.append(
            Problem(
                path, describe_value(usual), f"at most max_timeout_s {longest}"
            )
        )


def guess_kind(text: str) -> str:
    """Tells `entry`, `agent` or `intent` from the fields of a file.

    Raises:
        InvalidInputError: If the text is not JSON with comments.
    """
    value = parse_json(text, ErrorCode.INVALID_SETTINGS, "file")
    names = value.keys() if isinstance(value, dict) else frozenset()
    if names & {field.name for field in INTENT_CHECK.fields}:
        return "intent"
    if names & {"deployment", "listen_address", "backend_address"}:
        return SettingsKind.AGENT.value
    return SettingsKind.ENTRY.value


def describe_settings(kind: SettingsKind) -> tuple[SettingDescription, ...]:
    """Returns all fields of a settings file, in order."""
    return tuple(_walk(_CHECKS[kind], _CLASSES[kind], ""))


def _walk(check: Check, kind: type, path: str) -> Iterator[SettingDescription]:
    attributes = {field.name: field for field in dataclasses.fields(kind)}
    for field in check.fields:
        name = path + field.name
        attribute = attributes[field.target]
        if field.check.fields:
            yield from _walk(field.check, attribute.type, f"{name}.")
            continue
        default = _describe_default(attribute.default, field.unit)
        yield SettingDescription(name, field.check.allowed, default)


def _describe_default(default: object, unit: str) -> str:
    if default is dataclasses.MISSING:
        return "required"
    if unit:
        scale = timedelta(seconds=1) if unit == "s" else timedelta(seconds=1e-3)
        return f"{default / scale:g}"
    return str(default) or "none"
