"""Intents, which list the changes that an operator asks for."""

import dataclasses
from collections.abc import Iterator, Mapping

from chicoryplank.configuration._resources import (
    ACCOUNT_FIELDS,
    ACCOUNT_VALIDATOR,
    EVACUATED_VALIDATOR,
    GROUP_FIELDS,
    GROUP_VALIDATOR,
    LEAVING_VALIDATOR,
    MAX_ACCOUNTS,
    MAX_GROUPS,
    MAX_SERVICES,
    SERVICE_FIELDS,
    SERVICE_VALIDATOR,
    encode_resources,
    encode_value,
    make_partial_validator,
)
from chicoryplank.configuration._validators import (
    Field,
    InvalidInputError,
    Problem,
    Validator,
    make_list_validator,
    make_mapping_validator,
    make_name_validator,
    make_object_validator,
    parse_json,
)
from chicoryplank.errors import ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceEdits:
    """Requested changes of one kind of resource.

    Attributes:
        add: Resources to add, by id.
        change: New values of the attributes to change, by id.
        remove: Ids of the resources to remove.
    """

    add: Mapping[str, object] = dataclasses.field(default_factory=dict)
    change: Mapping[str, Mapping[str, object]] = dataclasses.field(
        default_factory=dict
    )
    remove: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingEdits:
    """Requested changes of the list of draining instances.

    Attributes:
        add: Instances to drain.
        remove: Instances that stop draining and take new work again.
    """

    add: frozenset[str] = frozenset()
    remove: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationEdits:
    """Requested changes of the list of evacuated zones.

    Attributes:
        add: Zones to evacuate.
        remove: Zones whose evacuation ends.
    """

    add: frozenset[str] = frozenset()
    remove: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """Changes that an operator asks for; everything else stays as it is.

    Attributes:
        accounts: Edits of client accounts.
        groups: Edits of model groups.
        services: Edits of plain services.
        leaving: Edits of the list of draining instances.
        evacuated: Edits of the list of evacuated zones.
    """

    accounts: ResourceEdits = ResourceEdits()
    groups: ResourceEdits = ResourceEdits()
    services: ResourceEdits = ResourceEdits()
    leaving: LeavingEdits = LeavingEdits()
    evacuated: EvacuationEdits = EvacuationEdits()


def _make_edits_validator(
    resource_validator: Validator, fields: tuple[Field, ...], maximum: int
) -> Validator:
    return make_object_validator(
        ResourceEdits,
        (
            Field("add", make_mapping_validator(resource_validator, maximum)),
            Field(
                "change",
                make_mapping_validator(make_partial_validator(fields), maximum),
            ),
            Field(
                "remove",
                make_list_validator(
                    make_name_validator(), 0, maximum, frozenset
                ),
            ),
        ),
    )


INTENT_VALIDATOR = make_object_validator(
    Intent,
    (
        Field(
            "accounts",
            _make_edits_validator(
                ACCOUNT_VALIDATOR, ACCOUNT_FIELDS, MAX_ACCOUNTS
            ),
        ),
        Field(
            "groups",
            _make_edits_validator(GROUP_VALIDATOR, GROUP_FIELDS, MAX_GROUPS),
        ),
        Field(
            "services",
            _make_edits_validator(
                SERVICE_VALIDATOR, SERVICE_FIELDS, MAX_SERVICES
            ),
        ),
        Field(
            "leaving",
            make_object_validator(
                LeavingEdits,
                (
                    Field("add", LEAVING_VALIDATOR),
                    Field("remove", LEAVING_VALIDATOR),
                ),
            ),
        ),
        Field(
            "evacuated",
            make_object_validator(
                EvacuationEdits,
                (
                    Field("add", EVACUATED_VALIDATOR),
                    Field("remove", EVACUATED_VALIDATOR),
                ),
            ),
        ),
    ),
)


def parse_intent(text: str) -> Intent:
    """Parses and validates an intent.

    Args:
        text: JSON with comments: objects `accounts`, `groups` and `services`,
            each with `add`, `change` and `remove`, and `leaving` and
            `evacuated`, each with `add` and `remove`.

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
    intent = INTENT_VALIDATOR.convert(value, "", problems)
    if intent is not None and not problems:
        problems.extend(_find_conflicts(intent))
        if intent == Intent():
            problems.append(Problem("(whole)", "{}", "at least one change"))
    if problems:
        raise InvalidInputError(
            ErrorCode.INVALID_INTENT, "intent", tuple(problems)
        )
    return intent


def get_edits_by_section(intent: Intent) -> dict[str, ResourceEdits]:
    """Returns the edits of resources by section name."""
    return {
        "accounts": intent.accounts,
        "groups": intent.groups,
        "services": intent.services,
    }


def get_list_edits(
    intent: Intent,
) -> dict[str, LeavingEdits | EvacuationEdits]:
    """Returns the edits of lists of names by section name."""
    return {"leaving": intent.leaving, "evacuated": intent.evacuated}


def _find_conflicts(intent: Intent) -> Iterator[Problem]:
    """Finds ids that occur in more than one edit of the same section."""
    allowed = "in only one of add, change and remove"
    for section, edits in get_edits_by_section(intent).items():
        repeated = (
            (set(edits.add) & set(edits.change))
            | (set(edits.add) & edits.remove)
            | (set(edits.change) & edits.remove)
        )
        for name in sorted(repeated):
            yield Problem(f"{section}.{name}", "several edits", allowed)
    for section, edits in get_list_edits(intent).items():
        for name in sorted(edits.add & edits.remove):
            yield Problem(f"{section}.{name}", "several edits", allowed)


def encode_intent(intent: Intent) -> dict[str, object]:
    """Returns the JSON form of an intent, which parse_intent reads."""
    encoded: dict[str, object] = {}
    for section, edits in get_edits_by_section(intent).items():
        if edits == ResourceEdits():
            continue
        encoded[section] = {
            "add": encode_resources(edits.add),
            "change": {
                name: {
                    attribute: encode_value(value)
                    for attribute, value in edits.change[name].items()
                }
                for name in sorted(edits.change)
            },
            "remove": sorted(edits.remove),
        }
    for section, edits in get_list_edits(intent).items():
        if edits.add or edits.remove:
            encoded[section] = {
                "add": sorted(edits.add),
                "remove": sorted(edits.remove),
            }
    return encoded
