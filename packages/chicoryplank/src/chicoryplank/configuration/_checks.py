"""Checks of untrusted JSON values that report every error at once."""

import dataclasses
import enum
import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from datetime import timedelta

import pyjson5

from chicoryplank.errors import ChicoryplankError, ErrorCode

_SHOWN_CHARACTERS = 60
_SHOWN_PROBLEMS = 100
# Intents for 900 accounts are about 0.3 MB.
MAX_TEXT_CHARACTERS = 4_000_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_ALLOWED = (
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"
)
SECRET_PATTERN = re.compile(r"[!-~]{16,256}")
_UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1)}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error in a settings file, an intent or a plan.

    Attributes:
        path: Where the value is, with dots between names.
        value: The offending value, shortened.
        allowed: What is allowed there.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path} = {self.value}: allowed is {self.allowed}"


class InvalidInputError(ChicoryplankError):
    """A file has errors; all of them are listed.

    Args:
        code: Code of the kind of file.
        subject: What was checked, such as `entry settings`.
        problems: All errors.
    """

    def __init__(
        self, code: ErrorCode, subject: str, problems: tuple[Problem, ...]
    ) -> None:
        count = len(problems)
        noun = "error" if count == 1 else "errors"
        lines = [f"{count} {noun} in the {subject}"]
        lines += [f"  {problem}" for problem in problems[:_SHOWN_PROBLEMS]]
        if count > _SHOWN_PROBLEMS:
            lines.append(f"  and {count - _SHOWN_PROBLEMS} more")
        super().__init__(code, "\n".join(lines))
        self.problems = problems


Convert = Callable[[object, str, list[Problem]], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Converts a JSON value or appends the problems found.

    Attributes:
        convert: Takes the value, its path and the list of problems; the
            result counts only if no problem was appended.
        allowed: What is allowed, for messages and documentation.
        fields: Fields of a nested record, for documentation.
    """

    convert: Convert
    allowed: str
    fields: tuple["Field", ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of a JSON object and the attribute that it sets.

    Attributes:
        name: Name in JSON, with the unit.
        check: Check of the value.
        attribute: Attribute of the dataclass; the name if empty.
        unit: Unit of a duration, for documentation of its default.
    """

    name: str
    check: Check
    attribute: str = ""
    unit: str = ""

    @property
    def target(self) -> str:
        """Attribute that the field sets."""
        return self.attribute or self.name


def describe_value(value: object) -> str:
    """Returns a short text of a value for an error message."""
    text = repr(value)
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return text[:_SHOWN_CHARACTERS] + "..."


def join_path(path: str, name: object) -> str:
    """Returns the path of a member."""
    return f"{path}.{name}" if path else str(name)


def _make_check(test: Callable[[object], bool], allowed: str) -> Check:
    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not test(value):
            problems.append(Problem(path, describe_value(value), allowed))
        return value

    return Check(convert, allowed)


def _show(bound: float) -> str:
    return str(int(bound)) if float(bound).is_integer() else str(bound)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def check_integer(minimum: int, maximum: int) -> Check:
    """Returns a check of a whole number; booleans are rejected."""

    def test(value: object) -> bool:
        whole = isinstance(value, int) and not isinstance(value, bool)
        return whole and minimum <= value <= maximum

    return _make_check(test, f"a whole number from {minimum} to {maximum}")


def check_number(minimum: float, maximum: float) -> Check:
    """Returns a check of a finite number."""

    def test(value: object) -> bool:
        return _is_number(value) and minimum <= value <= maximum

    checked = _make_check(
        test, f"a number from {_show(minimum)} to {_show(maximum)}"
    )

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        checked.convert(value, path, problems)
        return float(value) if test(value) else value

    return Check(convert, checked.allowed)


def check_duration(unit: str, minimum: float, maximum: float) -> Check:
    """Returns a check of a duration as a number of a unit, `ms` or `s`."""
    allowed = f"a number from {_show(minimum)} to {_show(maximum)} ({unit})"

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        finite = _is_number(value) and math.isfinite(value)
        if not finite or not minimum <= value <= maximum:
            problems.append(Problem(path, describe_value(value), allowed))
            return timedelta()
        return value * _UNITS[unit]

    return Check(convert, allowed)


def check_boolean() -> Check:
    """Returns a check of true or false."""
    return _make_check(lambda value: isinstance(value, bool), "true or false")


def check_text(pattern: re.Pattern[str], allowed: str) -> Check:
    """Returns a check of a string that matches a pattern as a whole."""
    return _make_check(
        lambda value: (
            isinstance(value, str) and pattern.fullmatch(value) is not None
        ),
        allowed,
    )


def check_name() -> Check:
    """Returns a check of an identifier."""
    return check_text(NAME_PATTERN, NAME_ALLOWED)


def check_secret() -> Check:
    """Returns a check of a secret; the value is never shown."""
    allowed = "16 to 256 printable ASCII characters without spaces"

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, str) or not SECRET_PATTERN.fullmatch(value):
            problems.append(Problem(path, "(not shown)", allowed))
        return value

    return Check(convert, allowed)


def check_address() -> Check:
    """Returns a check of `IP:PORT`, with brackets around an IPv6 address.

    Unspecified addresses such as 0.0.0.0 are rejected, because peers and
    callers are told the address.
    """
    return _make_check(
        is_address, "IP:PORT with a specific IP address and port 1 to 65535"
    )


def is_address(value: object) -> bool:
    """Tells whether a value is `IP:PORT` with a specific address."""
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


def check_choice(choices: Mapping[str, enum.Enum]) -> Check:
    """Returns a check of one of a few strings, converted to its enum."""
    allowed = "one of " + ", ".join(f'"{choice}"' for choice in choices)

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, str) or value not in choices:
            problems.append(Problem(path, describe_value(value), allowed))
            return value
        return choices[value]

    return Check(convert, allowed)


def check_list(
    item: Check, minimum: int, maximum: int, collect: Callable = tuple
) -> Check:
    """Returns a check of a list of different strings."""
    allowed = f"a list of {minimum} to {maximum} different items: "
    allowed += item.allowed

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, list) or not minimum <= len(value) <= maximum:
            problems.append(Problem(path, describe_value(value), allowed))
            return collect()
        before = len(problems)
        items = [
            item.convert(entry, f"{path}[{position}]", problems)
            for position, entry in enumerate(value)
        ]
        if len(problems) == before and len(set(items)) != len(items):
            problems.append(Problem(path, describe_value(value), allowed))
        return collect(items) if len(problems) == before else collect()

    return Check(convert, allowed)


def check_mapping(item: Check, maximum: int) -> Check:
    """Returns a check of an object from names to values of one kind."""
    allowed = f"an object with up to {maximum} names"

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, dict) or len(value) > maximum:
            problems.append(Problem(path, describe_value(value), allowed))
            return {}
        for name in value:
            if not NAME_PATTERN.fullmatch(name):
                shown = describe_value(name)
                problems.append(Problem(f"{path} (name)", shown, NAME_ALLOWED))
        return {
            name: item.convert(entry, join_path(path, name), problems)
            for name, entry in value.items()
        }

    return Check(convert, allowed)


def check_record(kind: type, fields: tuple[Field, ...]) -> Check:
    """Returns a check of an object that sets a dataclass.

    A field is required if its attribute has no default. Unknown fields are
    problems, so that a misspelt name is not silently ignored.
    """
    known = {field.name: field for field in fields}
    required = _find_required(kind, fields)
    allowed = "an object with the fields " + ", ".join(known)

    def convert(value: object, path: str, problems: list[Problem]) -> object:
        if not isinstance(value, dict):
            problems.append(
                Problem(path or "(whole)", describe_value(value), allowed)
            )
            return None
        before = len(problems)
        values = convert_fields(value, known, path, problems)
        for name in required:
            if name not in value:
                problems.append(
                    Problem(
                        join_path(path, name),
                        "(missing)",
                        known[name].check.allowed,
                    )
                )
        return kind(**values) if len(problems) == before else None

    return Check(convert, allowed, fields)


def _find_required(kind: type, fields: tuple[Field, ...]) -> tuple[str, ...]:
    missing = dataclasses.MISSING
    needed = {
        attribute.name
        for attribute in dataclasses.fields(kind)
        if attribute.default is missing and attribute.default_factory is missing
    }
    return tuple(field.name for field in fields if field.target in needed)


def convert_fields(
    value: Mapping[str, object],
    known: Mapping[str, Field],
    path: str,
    problems: list[Problem],
) -> dict[str, object]:
    """Checks the fields that are present and returns attribute values."""
    values = {}
    for name, entry in value.items():
        field = known.get(name)
        if field is None:
            problems.append(
                Problem(
                    join_path(path, name),
                    describe_value(entry),
                    "only the fields " + ", ".join(known),
                )
            )
            continue
        values[field.target] = field.check.convert(
            entry, join_path(path, name), problems
        )
    return values


def parse_json(text: str, code: ErrorCode, subject: str) -> object:
    """Parses JSON with comments.

    Of a name that occurs twice in one object the last value counts; the
    parser does not report it.

    Raises:
        InvalidInputError: If the text is too long or is not JSON.
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
            "(whole)", _describe_syntax(error, text), "JSON with comments"
        )
        raise InvalidInputError(code, subject, (problem,)) from error


def _describe_syntax(error: Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else type(error).__name__
    found = re.search(r"near (\d+)", message)
    if found is None:
        return message
    line = text.count("\n", 0, int(found.group(1))) + 1
    return f"{message} (line {line})"
