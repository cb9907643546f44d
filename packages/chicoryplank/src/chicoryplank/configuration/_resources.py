"""JSON form of accounts, groups and services, and its validation."""

import dataclasses
import enum
import re
from collections.abc import Mapping

from chicoryplank.configuration._snapshot import (
    AccountConfiguration,
    GroupConfiguration,
    Objective,
    Priority,
    ServiceConfiguration,
)
from chicoryplank.configuration._validators import (
    Field,
    Problem,
    Validator,
    convert_fields,
    describe_value,
    make_boolean_validator,
    make_enum_validator,
    make_integer_validator,
    make_list_validator,
    make_name_validator,
    make_number_validator,
    make_object_validator,
    make_string_validator,
)

MAX_ACCOUNTS = 10_000
MAX_GROUPS = 1_000
MAX_SERVICES = 1_000
# The whole list is stored as one value, and a value has at most one megabyte.
MAX_LEAVING = 10_000
MAX_EVACUATED = 1_000

_PRIORITIES = {priority.name.lower(): priority for priority in Priority}
_OBJECTIVES = {objective.value: objective for objective in Objective}
_SHA256_VALIDATOR = make_string_validator(
    re.compile(r"[0-9a-f]{64}"), "64 lower-case hex digits"
)
_MODEL_VALIDATOR = make_string_validator(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}"),
    "1 to 128 letters, digits, '.', '_', ':', '/' or '-'",
)
_PATH_VALIDATOR = make_string_validator(
    re.compile(r"/[!-~]{0,255}"),
    "a path that starts with '/', up to 256 visible ASCII characters",
)

ACCOUNT_FIELDS = (
    Field("token_sha256", _SHA256_VALIDATOR),
    Field("requests_per_s", make_number_validator(0.001, 1_000_000)),
    Field("tokens_per_s", make_number_validator(1, 100_000_000)),
    Field("priority", make_enum_validator(_PRIORITIES)),
    Field(
        "groups", make_list_validator(make_name_validator(), 0, 64, frozenset)
    ),
    Field(
        "services", make_list_validator(make_name_validator(), 0, 64, frozenset)
    ),
)
GROUP_FIELDS = (
    Field("models", make_list_validator(_MODEL_VALIDATOR, 1, 64)),
    Field("version", make_name_validator()),
    Field("replicas", make_integer_validator(1, 100_000)),
    Field("tokens_per_s", make_number_validator(1, 10_000_000)),
    Field("objective", make_enum_validator(_OBJECTIVES)),
    Field("checks_fencing", make_boolean_validator()),
)
SERVICE_FIELDS = (
    Field("deployment", make_name_validator()),
    Field("non_repeatable_paths", make_list_validator(_PATH_VALIDATOR, 0, 256)),
)
ACCOUNT_VALIDATOR = make_object_validator(AccountConfiguration, ACCOUNT_FIELDS)
GROUP_VALIDATOR = make_object_validator(GroupConfiguration, GROUP_FIELDS)
SERVICE_VALIDATOR = make_object_validator(ServiceConfiguration, SERVICE_FIELDS)
LEAVING_VALIDATOR = make_list_validator(
    make_name_validator(), 0, MAX_LEAVING, frozenset
)
EVACUATED_VALIDATOR = make_list_validator(
    make_name_validator(), 0, MAX_EVACUATED, frozenset
)


def make_partial_validator(fields: tuple[Field, ...]) -> Validator:
    """Returns a validator of an object with a subset of the fields."""
    known = {field.name: field for field in fields}
    allowed = "an object with at least one of " + ", ".join(known)

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, dict) or not value:
            problems.append(Problem(path, describe_value(value), allowed))
            return {}
        return convert_fields(value, known, path, problems)

    return Validator(convert, allowed, fields)


def encode_value(value: object) -> object:
    """Returns the JSON form of an attribute value."""
    if isinstance(value, Priority):
        return value.name.lower()
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return list(value)
    return value


def encode_resource(resource: object) -> dict[str, object]:
    """Returns the JSON form of an account, a group or a service."""
    return {
        field.name: encode_value(getattr(resource, field.name))
        for field in dataclasses.fields(resource)
    }


def encode_resources(resources: Mapping[str, object]) -> dict[str, object]:
    """Returns the JSON form of resources by id, sorted by id."""
    return {
        name: encode_resource(resources[name]) for name in sorted(resources)
    }
