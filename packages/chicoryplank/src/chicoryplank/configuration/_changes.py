"""Differences between snapshots, and the history of confirmed changes."""

import dataclasses
import json
from collections.abc import Iterator, Mapping
from datetime import datetime

from chicoryplank.configuration._parts import DECODE_ERRORS, encode_json
from chicoryplank.configuration._resources import encode_resource
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId

# Keeps a change record within the size of one store value. The first
# differences are enough to recognize what a change was about.
_MAX_RECORDED_CHANGES = 500
# Sections of a snapshot that are lists of names.
_LIST_SECTIONS = ("leaving", "evacuated")


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two versions.

    Attributes:
        path: Path of the value, such as `accounts.estimating.tokens_per_s`.
        old: JSON form of the old value; None if the value was added.
        new: JSON form of the new value; None if the value was removed.
    """

    path: str
    old: object
    new: object


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Record of one confirmed operation, stored like a part.

    Each record refers to the one before it, so the history can be read
    backwards from the root.

    Attributes:
        version: Version that the operation activated.
        operation_id: Id of the operation.
        operator: Operator who confirmed it.
        time: Time of the confirmation, in UTC.
        changes: First differences from the previous version; the rest is not
            stored.
        change_count: Total number of differences.
        previous: Digest of the record of the previous version; empty for the
            first version.
    """

    version: ConfigVersion
    operation_id: OperationId
    operator: str
    time: datetime
    changes: tuple[Change, ...]
    change_count: int
    previous: str


def diff_snapshots(old: Snapshot, new: Snapshot) -> tuple[Change, ...]:
    """Returns the differences between two snapshots, ordered by path."""
    changes: list[Change] = []
    for section in ("accounts", "groups", "services"):
        changes.extend(
            _diff_resources(
                section, getattr(old, section), getattr(new, section)
            )
        )
    for section in _LIST_SECTIONS:
        before, after = getattr(old, section), getattr(new, section)
        changes.extend(
            Change(f"{section}.{name}", name in before, name in after)
            for name in sorted(before ^ after)
        )
    return tuple(changes)


def _diff_resources(
    section: str, old: Mapping[str, object], new: Mapping[str, object]
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        path = f"{section}.{name}"
        if before == after:
            continue
        if before is None:
            yield Change(path, None, encode_resource(after))
        elif after is None:
            yield Change(path, encode_resource(before), None)
        else:
            old_values, new_values = (
                encode_resource(before),
                encode_resource(after),
            )
            for field in old_values:
                if old_values[field] != new_values[field]:
                    yield Change(
                        f"{path}.{field}", old_values[field], new_values[field]
                    )


def encode_changes(changes: tuple[Change, ...]) -> list[dict[str, object]]:
    """Returns the JSON form of changes."""
    return [dataclasses.asdict(change) for change in changes]


def decode_changes(items: object) -> tuple[Change, ...]:
    """Decodes the JSON form of changes."""
    return tuple(
        Change(str(item["path"]), item["old"], item["new"]) for item in items
    )


def format_changes(changes: tuple[Change, ...]) -> list[str]:
    """Returns one line per change, marked `+` (added), `-` or `~` (changed)."""
    lines = []
    for change in changes:
        old, new = _format_value(change.old), _format_value(change.new)
        if change.path.partition(".")[0] in _LIST_SECTIONS:
            sign = "+" if change.new else "-"
            lines.append(f"{sign} {change.path}")
        elif change.old is None:
            lines.append(f"+ {change.path}: {new}")
        elif change.new is None:
            lines.append(f"- {change.path}: {old}")
        else:
            lines.append(f"~ {change.path}: {old} -> {new}")
    return lines


def _format_value(value: object) -> str:
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return json.dumps(value, sort_keys=True)


def encode_change_record(record: ChangeRecord) -> bytes:
    """Returns the JSON form of a change record."""
    document = dataclasses.asdict(record)
    document["time"] = record.time.isoformat()
    document["changes"] = encode_changes(record.changes[:_MAX_RECORDED_CHANGES])
    return encode_json(document)


def decode_change_record(data: bytes) -> ChangeRecord:
    """Decodes a change record.

    Raises:
        ChicoryplankError: With INVALID_CONFIGURATION if it is malformed.
    """
    try:
        document = json.loads(data)
        return ChangeRecord(
            version=ConfigVersion(int(document["version"])),
            operation_id=OperationId(str(document["operation_id"])),
            operator=str(document["operator"]),
            time=datetime.fromisoformat(document["time"]),
            changes=decode_changes(document["changes"]),
            change_count=int(document["change_count"]),
            previous=str(document["previous"]),
        )
    except DECODE_ERRORS as error:
        raise ChicoryplankError(
            ErrorCode.INVALID_CONFIGURATION,
            f"a change record is malformed: {error}",
        ) from error
