"""JSON form of accounts, groups and services, with their bounds."""

import dataclasses
import enum
import re
from collections.abc import Mapping

from chicoryplank.configuration._checks import (
    Check,
    Field,
    Problem,
    check_boolean,
    check_choice,
    check_integer,
    check_list,
    check_name,
    check_number,
    check_record,
    check_text,
    convert_fields,
    describe_value,
)
from chicoryplank.configuration._snapshot import (
    AccountConfiguration,
    GroupConfiguration,
    Objective,
    Priority,
    ServiceConfiguration,
)

MAX_ACCOUNTS = 10_000
MAX_GROUPS = 1_000
MAX_SERVICES = 1_000
# The list is one part in the store, whose values are at most one megabyte.
MAX_LEAVING = 10_000

_PRIORITIES = {priority.name.lower(): priority for priority in Priority}
_OBJECTIVES = {objective.value: objective for objective in Objective}
_SHA256 = check_text(re.compile(r"[0-9a-f]{64}"), "64 lower-case hex digits")
_MODEL = check_text(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}"),
    "1 to 128 letters, digits, '.', '_', ':', '/' or '-'",
)
_PATH = check_text(
    re.compile(r"/[!-~]{0,255}"),
    "a path that starts with '/', up to 256 visible ASCII characters",
)

ACCOUNT_FIELDS = (
    Field("token_sha256", _SHA256),
    Field("requests_per_s", check_number(0.001, 1_000_000)),
    Field("tokens_per_s", check_number(1, 100_000_000)),
    Field("priority", check_choice(_PRIORITIES)),
    Field("groups", check_list(check_name(), 0, 64, frozenset)),
    Field("services", check_list(check_name(), 0, 64, frozenset)),
)
GROUP_FIELDS = (
    Field("models", check_list(_MODEL, 1, 64)),
    Field("version", check_name()),
    Field("replicas", check_integer(1, 100_000)),
    Field("tokens_per_s", check_number(1, 10_000_000)),
    Field("objective", check_choice(_OBJECTIVES)),
    Field("checks_fencing", check_boolean()),
)
SERVICE_FIELDS = (
    Field("deployment", check_name()),
    Field("non_repeatable_paths", check_list(_PATH, 0, 256)),
)
ACCOUNT_CHECK = check_record(AccountConfiguration, ACCOUNT_FIELDS)
GROUP_CHECK = check_record(GroupConfiguration, GROUP_FIELDS)
SERVICE_CHECK = check_record(ServiceConfiguration, SERVICE_FIELDS)
LEAVING_CHECK = check_list(check_name(), 0, MAX_LEAVING, frozenset)


def check_partial(fields: tuple[Field, ...]) -> Check:
    """Returns a check of an object with some of the fields of a record."""
    known = {field.name: field for field in fields}
    allowed = "an object with at least one of " + ", ".join(known)

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, dict) or not value:
            problems.append(Problem(path, describe_value(value), allowed))
            return {}
        return convert_fields(value, known, path, problems)

    return Check(convert, allowed, fields)


def encode_value(value: object) -> object:
    """Returns the JSON form of an attribute."""
    if isinstance(value, Priority):
        return value.name.lower()
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return list(value)
    return value


def encode_record(record: object) -> dict[str, object]:
    """Returns the JSON form of an account, a group or a service."""
    return {
        field.name: encode_value(getattr(record, field.name))
        for field in dataclasses.fields(record)
    }


def encode_records(records: Mapping[str, object]) -> dict[str, object]:
    """Returns the JSON form of records by id, sorted."""
    return {name: encode_record(records[name]) for name in sorted(records)}
