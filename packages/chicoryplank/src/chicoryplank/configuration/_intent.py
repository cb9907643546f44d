"""Intents: what operators want to change."""

import dataclasses
from collections.abc import Iterator, Mapping

from chicoryplank.configuration._checks import (
    Check,
    Field,
    InvalidInputError,
    Problem,
    check_list,
    check_mapping,
    check_name,
    check_record,
    parse_json,
)
from chicoryplank.configuration._records import (
    ACCOUNT_CHECK,
    ACCOUNT_FIELDS,
    GROUP_CHECK,
    GROUP_FIELDS,
    LEAVING_CHECK,
    MAX_ACCOUNTS,
    MAX_GROUPS,
    MAX_SERVICES,
    SERVICE_CHECK,
    SERVICE_FIELDS,
    check_partial,
    encode_records,
    encode_value,
)
from chicoryplank.errors import ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class Edits:
    """Wanted changes of one kind of record.

    Attributes:
        add: New records by id.
        change: New values of some attributes by id.
        remove: Ids of records to remove.
    """

    add: Mapping[str, object] = dataclasses.field(default_factory=dict)
    change: Mapping[str, Mapping[str, object]] = dataclasses.field(
        default_factory=dict
    )
    remove: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingEdits:
    """Wanted changes of the list of leaving instances.

    Attributes:
        add: Instances to drain.
        remove: Instances that no longer need to drain.
    """

    add: frozenset[str] = frozenset()
    remove: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """What an operator wants to change; nothing else is touched.

    Attributes:
        accounts: Edits of client accounts.
        groups: Edits of model groups.
        services: Edits of plain services.
        leaving: Edits of the list of leaving instances.
    """

    accounts: Edits = Edits()
    groups: Edits = Edits()
    services: Edits = Edits()
    leaving: LeavingEdits = LeavingEdits()


def _check_edits(
    record: Check, fields: tuple[Field, ...], maximum: int
) -> Check:
    return check_record(
        Edits,
        (
            Field("add", check_mapping(record, maximum)),
            Field("change", check_mapping(check_partial(fields), maximum)),
            Field("remove", check_list(check_name(), 0, maximum, frozenset)),
        ),
    )


INTENT_CHECK = check_record(
    Intent,
    (
        Field(
            "accounts",
            _check_edits(ACCOUNT_CHECK, ACCOUNT_FIELDS, MAX_ACCOUNTS),
        ),
        Field("groups", _check_edits(GROUP_CHECK, GROUP_FIELDS, MAX_GROUPS)),
        Field(
            "services",
            _check_edits(SERVICE_CHECK, SERVICE_FIELDS, MAX_SERVICES),
        ),
        Field(
            "leaving",
            check_record(
                LeavingEdits,
                (Field("add", LEAVING_CHECK), Field("remove", LEAVING_CHECK)),
            ),
        ),
    ),
)


def parse_intent(text: str) -> Intent:
    """Parses and checks an intent as a whole.

    Args:
        text: JSON with comments: objects `accounts`, `groups` and `services`,
            each with `add`, `change` and `remove`, and `leaving` with `add`
            and `remove`.

    Returns:
        The intent.

    Raises:
        InvalidInputError: With INVALID_INTENT and every error found.

    Example:
        >>> parse_intent('{leaving: {add: ["llm-03"]}}').leaving.add
        frozenset({'llm-03'})
    """
    value = parse_json(text, ErrorCode.INVALID_INTENT, "intent")
    problems: list[Problem] = []
    intent = INTENT_CHECK.convert(value, "", problems)
    if intent is not None and not problems:
        problems.extend(_find_conflicts(intent))
        if intent == Intent():
            problems.append(Problem("(whole)", "{}", "at least one change"))
    if problems:
        raise InvalidInputError(
            ErrorCode.INVALID_INTENT, "intent", tuple(problems)
        )
    return intent


def get_edits(intent: Intent) -> dict[str, Edits]:
    """Returns the edits of records by section name."""
    return {
        "accounts": intent.accounts,
        "groups": intent.groups,
        "services": intent.services,
    }


def _find_conflicts(intent: Intent) -> Iterator[Problem]:
    """Finds ids that one intent adds, changes or removes together."""
    allowed = "in only one of add, change and remove"
    for section, edits in get_edits(intent).items():
        repeated = (
            (set(edits.add) & set(edits.change))
            | (set(edits.add) & edits.remove)
            | (set(edits.change) & edits.remove)
        )
        for name in sorted(repeated):
            yield Problem(f"{section}.{name}", "several edits", allowed)
    for name in sorted(intent.leaving.add & intent.leaving.remove):
        yield Problem(f"leaving.{name}", "several edits", allowed)


def encode_intent(intent: Intent) -> dict[str, object]:
    """Returns the JSON form of an intent; parse_intent reads it."""
    encoded: dict[str, object] = {}
    for section, edits in get_edits(intent).items():
        if edits == Edits():
            continue
        encoded[section] = {
            "add": encode_records(edits.add),
            "change": {
                name: {
                    attribute: encode_value(value)
                    for attribute, value in edits.change[name].items()
                }
                for name in sorted(edits.change)
            },
            "remove": sorted(edits.remove),
        }
    if intent.leaving != LeavingEdits():
        encoded["leaving"] = {
            "add": sorted(intent.leaving.add),
            "remove": sorted(intent.leaving.remove),
        }
    return encoded
