"""Parsing and description of the settings files of both daemons."""

import dataclasses
from collections.abc import Iterator
from datetime import timedelta

from chicoryplank.configuration._intent import INTENT_VALIDATOR
from chicoryplank.configuration._settings import (
    AgentSettings,
    EntrySettings,
    InstanceListSettings,
    RequestLimits,
    SettingsKind,
    StoreSettings,
)
from chicoryplank.configuration._validators import (
    Field,
    InvalidInputError,
    Problem,
    Validator,
    describe_value,
    make_address_validator,
    make_duration_validator,
    make_integer_validator,
    make_name_validator,
    make_object_validator,
    make_secret_validator,
    parse_json,
)
from chicoryplank.errors import ErrorCode

_MEBIBYTE = 1_048_576


def _make_duration_field(
    attribute: str, unit: str, minimum: float, maximum: float
) -> Field:
    validator = make_duration_validator(unit, minimum, maximum)
    return Field(f"{attribute}_{unit}", validator, attribute, unit)


_STORE_VALIDATOR = make_object_validator(
    StoreSettings,
    (
        Field("address", make_address_validator()),
        _make_duration_field("timeout", "ms", 10, 60_000),
    ),
)
_INSTANCE_LIST_VALIDATOR = make_object_validator(
    InstanceListSettings,
    (
        Field("address", make_address_validator()),
        _make_duration_field("poll_interval", "ms", 100, 60_000),
        _make_duration_field("timeout", "ms", 10, 60_000),
    ),
)
_LIMITS_VALIDATOR = make_object_validator(
    RequestLimits,
    (
        Field("max_body_bytes", make_integer_validator(1_024, 64 * _MEBIBYTE)),
        Field("max_header_bytes", make_integer_validator(1_024, _MEBIBYTE)),
        Field("max_requests", make_integer_validator(1, 1_000_000)),
        Field(
            "max_buffer_bytes", make_integer_validator(4_096, 64 * _MEBIBYTE)
        ),
        Field("max_tombstones", make_integer_validator(1_024, 10_000_000)),
        _make_duration_field("default_timeout", "s", 0.1, 86_400),
        _make_duration_field("max_timeout", "s", 0.1, 86_400),
        _make_duration_field("body_timeout", "s", 0.1, 3_600),
        Field("max_headers", make_integer_validator(16, 10_000)),
        Field("max_connections", make_integer_validator(1, 1_000_000)),
        _make_duration_field("header_timeout", "s", 0.1, 3_600),
        _make_duration_field("write_timeout", "s", 0.1, 3_600),
        Field("memory_bytes", make_integer_validator(0, 1 << 50)),
    ),
)
_ENTRY_VALIDATOR = make_object_validator(
    EntrySettings,
    (
        Field("instance", make_name_validator()),
        Field("zone", make_name_validator()),
        Field("caller_address", make_address_validator()),
        Field("control_address", make_address_validator()),
        Field("store", _STORE_VALIDATOR),
        Field("instance_list", _INSTANCE_LIST_VALIDATOR),
        Field("limits", _LIMITS_VALIDATOR),
        _make_duration_field("address_ttl", "s", 0.1, 3_600),
        _make_duration_field("drain_timeout", "s", 0, 86_400),
        _make_duration_field("max_isolation", "s", 1, 86_400),
        _make_duration_field("max_clock_skew", "s", 0, 60),
        _make_duration_field("controller_lease", "s", 3, 300),
        Field("shared_secret", make_secret_validator()),
    ),
)
_AGENT_VALIDATOR = make_object_validator(
    AgentSettings,
    (
        Field("instance", make_name_validator()),
        Field("zone", make_name_validator()),
        Field("deployment", make_name_validator()),
        Field("listen_address", make_address_validator()),
        Field("backend_address", make_address_validator()),
        Field("store", _STORE_VALIDATOR),
        Field("limits", _LIMITS_VALIDATOR),
        # A token is due every 40 ms, so output must not be buffered longer.
        _make_duration_field("flush_interval", "ms", 0, 40),
        _make_duration_field("grace_period", "s", 0, 3_600),
        _make_duration_field("drain_timeout", "s", 0, 86_400),
        _make_duration_field("max_clock_skew", "s", 0, 60),
        Field("shared_secret", make_secret_validator()),
    ),
)
_VALIDATORS = {
    SettingsKind.ENTRY: _ENTRY_VALIDATOR,
    SettingsKind.AGENT: _AGENT_VALIDATOR,
}
_SETTINGS_CLASSES = {
    SettingsKind.ENTRY: EntrySettings,
    SettingsKind.AGENT: AgentSettings,
}


@dataclasses.dataclass(frozen=True, slots=True)
class SettingDescription:
    """A row of the settings reference in the documentation.

    Attributes:
        path: Names of the setting and of the objects around it, with dots.
        allowed: Description of the allowed values.
        default: Default in the unit that the name ends with, or `required`.
    """

    path: str
    allowed: str
    default: str


def parse_settings(
    text: str, kind: SettingsKind
) -> EntrySettings | AgentSettings:
    """Parses and validates a settings file.

    Args:
        text: JSON with comments.
        kind: Daemon that the settings configure.

    Returns:
        The settings, with defaults for the fields that are absent.

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
    settings = _VALIDATORS[kind].convert(value, "", problems)
    _check_field_relations(value, problems)
    if problems:
        raise InvalidInputError(
            ErrorCode.INVALID_SETTINGS, subject, tuple(problems)
        )
    return settings


def _check_field_relations(value: object, problems: list[Problem]) -> None:
    """Checks constraints between fields that are valid on their own."""
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
    max_timeout_s = limits.get(
        "max_timeout_s", defaults.max_timeout.total_seconds()
    )
    default_timeout_s = limits.get(
        "default_timeout_s", defaults.default_timeout.total_seconds()
    )
    if default_timeout_s > max_timeout_s:
        problems.append(
            Problem(
                path,
                describe_value(default_timeout_s),
                f"at most max_timeout_s {max_timeout_s}",
            )
        )


def detect_file_kind(text: str) -> str:
    """Returns `entry`, `agent` or `intent`, depending on the fields present.

    Raises:
        InvalidInputError: If the text is not JSON with comments.
    """
    value = parse_json(text, ErrorCode.INVALID_SETTINGS, "file")
    names = value.keys() if isinstance(value, dict) else frozenset()
    if names & {field.name for field in INTENT_VALIDATOR.fields}:
        return "intent"
    if names & {"deployment", "listen_address", "backend_address"}:
        return SettingsKind.AGENT.value
    return SettingsKind.ENTRY.value


def describe_settings(kind: SettingsKind) -> tuple[SettingDescription, ...]:
    """Describes all fields of a settings file, in order of declaration."""
    return tuple(
        _describe_fields(_VALIDATORS[kind], _SETTINGS_CLASSES[kind], "")
    )


def _describe_fields(
    validator: Validator, kind: type, path: str
) -> Iterator[SettingDescription]:
    attributes = {field.name: field for field in dataclasses.fields(kind)}
    for field in validator.fields:
        name = path + field.name
        attribute = attributes[field.target]
        if field.validator.fields:
            yield from _describe_fields(
                field.validator, attribute.type, f"{name}."
            )
            continue
        default = _describe_default(attribute.default, field.unit)
        yield SettingDescription(name, field.validator.allowed, default)


def _describe_default(default: object, unit: str) -> str:
    if default is dataclasses.MISSING:
        return "required"
    if unit:
        scale = timedelta(seconds=1) if unit == "s" else timedelta(seconds=1e-3)
        return f"{default / scale:g}"
    return str(default) or "none"
