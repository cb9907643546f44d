"""Validators of untrusted JSON values that report all errors at once."""

import dataclasses
import enum
import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from datetime import timedelta

import pyjson5

from chicoryplank.errors import ChicoryplankError, ErrorCode

_MAX_SHOWN_CHARACTERS = 60
_MAX_SHOWN_PROBLEMS = 100
# An intent with 900 accounts has about 0.3 MB.
MAX_TEXT_CHARACTERS = 4_000_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_DESCRIPTION = (
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"
)
SECRET_PATTERN = re.compile(r"[!-~]{16,256}")
_UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1)}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error in a settings file, an intent or a plan.

    Attributes:
        path: Path of the value, with dots between names.
        value: The invalid value, shortened.
        allowed: Description of the values that are allowed.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path} = {self.value}; allowed: {self.allowed}"


class InvalidInputError(ChicoryplankError):
    """A settings file, an intent or another input is invalid.

    Args:
        code: Error code for this kind of input.
        subject: Name of the input, such as `entry settings`.
        problems: All errors found; the message lists only the first ones.
    """

    def __init__(
        self, code: ErrorCode, subject: str, problems: tuple[Problem, ...]
    ) -> None:
        count = len(problems)
        noun = "error" if count == 1 else "errors"
        lines = [f"{count} {noun} in the {subject}"]
        lines += [f"  {problem}" for problem in problems[:_MAX_SHOWN_PROBLEMS]]
        if count > _MAX_SHOWN_PROBLEMS:
            lines.append(f"  and {count - _MAX_SHOWN_PROBLEMS} more")
        super().__init__(code, "\n".join(lines))
        self.problems = problems


Converter = Callable[[object, str, list[Problem]], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Validator:
    """Converts a JSON value, or reports why it is invalid.

    Attributes:
        convert: Takes the value, its path and a list to which it appends the
            problems found; the result is valid only if none was appended.
        allowed: Description of the allowed values, for messages and
            documentation.
        fields: Fields of a nested object, for documentation.
    """

    convert: Converter
    allowed: str
    fields: tuple["Field", ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of a JSON object and the attribute that it sets.

    Attributes:
        name: Name in JSON, including the unit of a duration.
        validator: Validator of the value.
        attribute: Attribute of the dataclass; the same as `name` if empty.
        unit: Unit of a duration, in which its default is documented.
    """

    name: str
    validator: Validator
    attribute: str = ""
    unit: str = ""

    @property
    def target(self) -> str:
        """Attribute of the dataclass that the field sets."""
        return self.attribute or self.name


def describe_value(value: object) -> str:
    """Returns the representation of a value, shortened for a message."""
    text = repr(value)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "..."


def join_path(path: str, name: object) -> str:
    """Returns the path of a member of the object at a path."""
    return f"{path}.{name}" if path else str(name)


def _make_validator(
    is_valid: Callable[[object], bool], allowed: str
) -> Validator:
    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not is_valid(value):
            problems.append(Problem(path, describe_value(value), allowed))
        return value

    return Validator(convert, allowed)


def _format_bound(bound: float) -> str:
    return str(int(bound)) if float(bound).is_integer() else str(bound)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def make_integer_validator(minimum: int, maximum: int) -> Validator:
    """Returns a validator of an integer; booleans are rejected."""

    def is_valid(value: object) -> bool:
        is_whole_number = isinstance(value, int) and not isinstance(value, bool)
        return is_whole_number and minimum <= value <= maximum

    return _make_validator(
        is_valid, f"a whole number from {minimum} to {maximum}"
    )


def make_number_validator(minimum: float, maximum: float) -> Validator:
    """Returns a validator of a finite number, converted to a float."""

    def is_valid(value: object) -> bool:
        return _is_number(value) and minimum <= value <= maximum

    range_validator = _make_validator(
        is_valid,
        f"a number from {_format_bound(minimum)} to {_format_bound(maximum)}",
    )

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        range_validator.convert(value, path, problems)
        return float(value) if is_valid(value) else value

    return Validator(convert, range_validator.allowed)


def make_duration_validator(
    unit: str, minimum: float, maximum: float
) -> Validator:
    """Returns a validator of a duration in `ms` or `s`."""
    allowed = (
        f"a number from {_format_bound(minimum)} to "
        f"{_format_bound(maximum)} ({unit})"
    )

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        is_finite_number = _is_number(value) and math.isfinite(value)
        if not is_finite_number or not minimum <= value <= maximum:
            problems.append(Problem(path, describe_value(value), allowed))
            return timedelta()
        return value * _UNITS[unit]

    return Validator(convert, allowed)


def make_boolean_validator() -> Validator:
    """Returns a validator of a boolean."""
    return _make_validator(
        lambda value: isinstance(value, bool), "true or false"
    )


def make_string_validator(pattern: re.Pattern[str], allowed: str) -> Validator:
    """Returns a validator of a string whose full text matches a pattern."""
    return _make_validator(
        lambda value: (
            isinstance(value, str) and pattern.fullmatch(value) is not None
        ),
        allowed,
    )


def make_name_validator() -> Validator:
    """Returns a validator of an identifier."""
    return make_string_validator(NAME_PATTERN, NAME_DESCRIPTION)


def make_secret_validator() -> Validator:
    """Returns a validator of a secret whose messages do not show the value."""
    allowed = "16 to 256 printable ASCII characters without spaces"

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, str) or not SECRET_PATTERN.fullmatch(value):
            problems.append(Problem(path, "(not shown)", allowed))
        return value

    return Validator(convert, allowed)


def make_address_validator() -> Validator:
    """Returns a validator of `IP:PORT`, with brackets around an IPv6 address.

    Unspecified addresses such as 0.0.0.0 are rejected, because the address is
    announced to peers and callers, which must be able to connect to it.
    """
    return _make_validator(
        is_address, "IP:PORT with a specific IP address and port 1 to 65535"
    )


def is_address(value: object) -> bool:
    """Returns whether a value is `IP:PORT` with a specific IP address."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 1 <= int(port) <= 65535:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return (address.version == 6) == bracketed and not address.is_unspecified


def make_enum_validator(choices: Mapping[str, enum.Enum]) -> Validator:
    """Returns a validator of a string that is converted to an enum member."""
    allowed = "one of " + ", ".join(f'"{choice}"' for choice in choices)

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, str) or value not in choices:
            problems.append(Problem(path, describe_value(value), allowed))
            return value
        return choices[value]

    return Validator(convert, allowed)


def make_list_validator(
    item_validator: Validator,
    minimum: int,
    maximum: int,
    make_container: Callable = tuple,
) -> Validator:
    """Returns a validator of a list without duplicates."""
    allowed = f"a list of {minimum} to {maximum} different items: "
    allowed += item_validator.allowed

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, list) or not minimum <= len(value) <= maximum:
            problems.append(Problem(path, describe_value(value), allowed))
            return make_container()
        count_before = len(problems)
        items = [
            item_validator.convert(item, f"{path}[{position}]", problems)
            for position, item in enumerate(value)
        ]
        if len(problems) == count_before and len(set(items)) != len(items):
            problems.append(Problem(path, describe_value(value), allowed))
        return (
            make_container(items)
            if len(problems) == count_before
            else make_container()
        )

    return Validator(convert, allowed)


def make_mapping_validator(
    item_validator: Validator, maximum: int
) -> Validator:
    """Returns a validator of an object whose members are of one kind."""
    allowed = f"an object with up to {maximum} names"

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, dict) or len(value) > maximum:
            problems.append(Problem(path, describe_value(value), allowed))
            return {}
        for name in value:
            if not NAME_PATTERN.fullmatch(name):
                shown = describe_value(name)
                problems.append(
                    Problem(f"{path} (name)", shown, NAME_DESCRIPTION)
                )
        return {
            name: item_validator.convert(item, join_path(path, name), problems)
            for name, item in value.items()
        }

    return Validator(convert, allowed)


def make_object_validator(
    dataclass_type: type, fields: tuple[Field, ...]
) -> Validator:
    """Returns a validator of an object that is converted to a dataclass.

    A field is required if its attribute has no default. Unknown fields are
    errors, so that a misspelt name is not silently ignored.
    """
    known = {field.name: field for field in fields}
    required = _find_required_fields(dataclass_type, fields)
    allowed = "an object with the fields " + ", ".join(known)

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, dict):
            problems.append(
                Problem(path or "(whole)", describe_value(value), allowed)
            )
            return None
        count_before = len(problems)
        values = convert_fields(value, known, path, problems)
        for name in required:
            if name not in value:
                problems.append(
                    Problem(
                        join_path(path, name),
                        "(missing)",
                        known[name].validator.allowed,
                    )
                )
        return (
            dataclass_type(**values) if len(problems) == count_before else None
        )

    return Validator(convert, allowed, fields)


def _find_required_fields(
    dataclass_type: type, fields: tuple[Field, ...]
) -> tuple[str, ...]:
    unset = dataclasses.MISSING
    needed = {
        attribute.name
        for attribute in dataclasses.fields(dataclass_type)
        if attribute.default is unset and attribute.default_factory is unset
    }
    return tuple(field.name for field in fields if field.target in needed)


def convert_fields(
    value: Mapping[str, object],
    known: Mapping[str, Field],
    path: str,
    problems: list[Problem],
) -> dict[str, object]:
    """Validates the fields that are present and returns attribute values."""
    values = {}
    for name, item in value.items():
        field = known.get(name)
        if field is None:
            problems.append(
                Problem(
                    join_path(path, name),
                    describe_value(item),
                    "only the fields " + ", ".join(known),
                )
            )
            continue
        values[field.target] = field.validator.convert(
            item, join_path(path, name), problems
        )
    return values


def parse_json(text: str, code: ErrorCode, subject: str) -> object:
    """Parses JSON with comments.

    If a name occurs twice in one object, the last value is used, because the
    parser does not report duplicates.

    Raises:
        InvalidInputError: If the text is too long or is not valid JSON.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        problem = Problem(
            "(whole)",
            f"{len(text)} characters",
            f"at most {MAX_TEXT_CHARACTERS} characters",
        )
        raise InvalidInputError(code, subject, (problem,))
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        problem = Problem(
            "(whole)", _describe_syntax_error(error, text), "JSON with comments"
        )
        raise InvalidInputError(code, subject, (problem,)) from error


def _describe_syntax_error(error: Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else type(error).__name__
    match = re.search(r"near (\d+)", message)
    if match is None:
        return message
    line = text.count("\n", 0, int(match.group(1))) + 1
    return f"{message} (line {line})"
