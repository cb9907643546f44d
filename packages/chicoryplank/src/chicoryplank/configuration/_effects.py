"""Differences between versions and settings, with their effect on callers."""

import dataclasses
from collections.abc import Iterator

from chicoryplank.configuration._changes import Change

_EFFECTS = {
    "accounts": {
        "": (
            "is added; its callers are served",
            "is removed; its callers are refused with CP1203",
        ),
        "token_sha256": "callers with the former token are refused with CP1203",
        "requests_per_s": "more requests per second are refused with CP1301",
        "tokens_per_s": "more tokens per second are refused with CP1301",
        "priority": "its requests get another place in the queue",
        "groups": "calls to models of other groups are refused",
        "services": "calls to other services are refused",
    },
    "groups": {
        "": (
            "is added; its models are served",
            "is removed; calls to its models are refused with CP1204",
        ),
        "models": "calls to other model names are refused with CP1204",
        "version": "its engines change their version one after the other",
        "replicas": "plans require that many replicas; callers notice nothing",
        "tokens_per_s": "plans count another capacity; callers notice nothing",
        "objective": "rebalancing changes; callers notice other step times",
        "checks_fencing": "callers notice nothing",
    },
    "services": {
        "": ("is added", "is removed; calls to it are refused"),
        "deployment": "calls go to the servers of another deployment",
        "non_repeatable_paths": "calls below these paths need a key and run at "
        "most once; others may be repeated",
    },
}


def describe_change(change: Change) -> str:
    """Returns a difference and its effect on callers as a sentence."""
    section, _, rest = change.path.partition(".")
    if section == "leaving":
        if change.new:
            return f"instance {rest} drains; it gets no new requests"
        return f"instance {rest} takes new requests again"
    kind = section.removesuffix("s")
    added, removed = _EFFECTS[section][""]
    if change.old is None:
        return f"{kind} {rest} {added}"
    if change.new is None:
        return f"{kind} {rest} {removed}"
    name, _, field = rest.rpartition(".")
    effect = _EFFECTS[section][field]
    return (
        f"{kind} {name}: {field} changes from {change.old!r} to "
        f"{change.new!r}; {effect}"
    )


def describe_settings_changes(
    old: object, new: object, prefix: str = ""
) -> Iterator[str]:
    """Returns the differences of two settings, without secrets.

    Args:
        old: Settings in force, or a part of them.
        new: The same of the checked settings.
        prefix: Path of the part, with a dot at its end.
    """
    for field in dataclasses.fields(new):
        was, becomes = getattr(old, field.name, None), getattr(new, field.name)
        name = prefix + field.name
        if was == becomes:
            continue
        if dataclasses.is_dataclass(becomes):
            yield from describe_settings_changes(was, becomes, f"{name}.")
        elif field.repr:
            yield (
                f"{name} changes from {was} to {becomes} when the daemon "
                "starts again"
            )
        else:
            yield f"{name} changes when the daemon starts again"
