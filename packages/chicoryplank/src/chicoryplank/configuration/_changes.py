"""Differences between snapshots, and the record of each confirmed change."""

import dataclasses
import json
from collections.abc import Iterator, Mapping
from datetime import datetime

from chicoryplank.configuration._parts import MALFORMED, encode_json
from chicoryplank.configuration._records import encode_record
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId

# Enough to see what a change was about, within the size of one store value.
_RECORDED_CHANGES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two versions.

    Attributes:
        path: What differs, such as `accounts.estimating.tokens_per_s`.
        old: JSON form of the old value; None if it is added.
        new: JSON form of the new value; None if it is removed.
    """

    path: str
    old: object
    new: object


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """What one confirmed operation changed, kept as a part in the store.

    Attributes:
        version: Version that the operation put in force.
        operation_id: Id of the operation.
        operator: Who confirmed it.
        time: When, in UTC.
        changes: The first differences to the version before.
        change_count: Number of all differences.
        previous: Digest of the record of the version before; empty for the
            first.
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
            _diff_records(section, getattr(old, section), getattr(new, section))
        )
    changes.extend(
        Change(f"leaving.{name}", name in old.leaving, name in new.leaving)
        for name in sorted(old.leaving ^ new.leaving)
    )
    return tuple(changes)


def _diff_records(
    section: str, old: Mapping[str, object], new: Mapping[str, object]
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        path = f"{section}.{name}"
        if before == after:
            continue
        if before is None:
            yield Change(path, None, encode_record(after))
        elif after is None:
            yield Change(path, encode_record(before), None)
        else:
            first, second = encode_record(before), encode_record(after)
            for field in first:
                if first[field] != second[field]:
                    yield Change(f"{path}.{field}", first[field], second[field])


def encode_changes(changes: tuple[Change, ...]) -> list[dict[str, object]]:
    """Returns the JSON form of changes."""
    return [dataclasses.asdict(change) for change in changes]


def decode_changes(items: object) -> tuple[Change, ...]:
    """Returns changes from their JSON form."""
    return tuple(
        Change(str(item["path"]), item["old"], item["new"]) for item in items
    )


def format_changes(changes: tuple[Change, ...]) -> list[str]:
    """Returns readable lines: `+` is added, `-` removed, `~` changed."""
    lines = []
    for change in changes:
        old, new = _format_value(change.old), _format_value(change.new)
        if change.path.startswith("leaving."):
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
    document["changes"] = encode_changes(record.changes[:_RECORDED_CHANGES])
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
    except MALFORMED as error:
        raise ChicoryplankError(
            ErrorCode.INVALID_CONFIGURATION,
            f"a change record is malformed: {error}",
        ) from error
