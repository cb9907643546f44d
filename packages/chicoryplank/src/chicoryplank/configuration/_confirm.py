"""Confirmation of a plan by one compare-and-swap on the root."""

import asyncio
import dataclasses
import enum
from collections.abc import Mapping
from datetime import datetime

from chicoryplank.clock import Clock, SystemClock
from chicoryplank.configuration._capacity import Capacity
from chicoryplank.configuration._changes import (
    ChangeRecord,
    decode_change_record,
    diff_snapshots,
    encode_change_record,
    format_changes,
)
from chicoryplank.configuration._parts import (
    MAX_PART_BYTES,
    ROOT_KEY,
    Root,
    decode_root,
    digest_bytes,
    digest_content,
    digest_parts,
    encode_parts,
    encode_root,
    make_part_key,
)
from chicoryplank.configuration._plan import Plan, apply_intent, plan
from chicoryplank.configuration._reader import (
    MissingPartsError,
    SnapshotReader,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId
from chicoryplank.store import Record, Store, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict

# Bounds on repeated calls after lost answers and after collections, which
# rewrite the root without a new version.
_MAX_ATTEMPTS = 5
_CONCURRENT_WRITES = 8
_MAX_OPERATION_CHARACTERS = 200
# Change records that the collection of parts keeps. At 0.43 changes a second
# these cover 19 minutes, in which an unknown outcome can be settled.
HISTORY_VERSIONS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """A version that is in force.

    Attributes:
        version: The version.
        operation_id: Operation that put it in force.
        operator: Who confirmed it.
        time: When, in UTC.
        repeated: Whether an earlier call had already put it in force.
    """

    version: ConfigVersion
    operation_id: OperationId
    operator: str
    time: datetime
    repeated: bool


class PlanSupersededError(ChicoryplankError):
    """Another operator's change came first; this plan changed nothing.

    Args:
        base_version: Version that the plan starts from.
        current_version: Version in force.
        winner: Change that came first; None if its record is gone.
        new_plan: The same intent planned on the version in force; None if
            it no longer fits.
        conflict: Why there is no new plan; empty if there is one.
    """

    def __init__(
        self,
        base_version: ConfigVersion,
        current_version: ConfigVersion,
        winner: ChangeRecord | None,
        new_plan: Plan | None,
        conflict: str,
    ) -> None:
        lines = [
            f"the plan on version {base_version} lost to another change; "
            f"version {current_version} is in force"
        ]
        if winner is None:
            lines.append(
                "  the change records are gone, so it is unknown whether an "
                "earlier call with this operation id took effect"
            )
        else:
            lines.append(
                f"  version {winner.version} by {winner.operator} at "
                f"{winner.time.isoformat()} (operation {winner.operation_id})"
            )
            lines += [f"    {item}" for item in format_changes(winner.changes)]
        if new_plan is not None:
            lines.append(
                f"  a new plan {new_plan.digest} on version "
                f"{new_plan.base_version} can be confirmed instead"
            )
        if conflict:
            lines.append(f"  the intent no longer fits: {conflict}")
        super().__init__(
            ErrorCode.PLAN_SUPERSEDED,
            "\n".join(lines),
            Verdict.MAY_HAVE_RUN if winner is None else Verdict.NOT_RUN,
        )
        self.current_version = current_version
        self.winner = winner
        self.new_plan = new_plan


async def confirm(
    store: Store,
    made: Plan,
    operator: str,
    operation_id: OperationId,
    *,
    capacity: Capacity | None = None,
    clock: Clock | None = None,
    reader: SnapshotReader | None = None,
    is_first: bool = False,
) -> Confirmation:
    """Puts a plan in force, or changes nothing.

    A call with an operation id that already took effect returns that
    version, so a call whose outcome is unknown can be repeated with the same
    id.

    Args:
        store: The platform's key-value service.
        made: The plan.
        operator: Who confirms, for other operators to see.
        operation_id: Unique id of this confirmation.
        capacity: Live instances now; the plan is compared with them again.
        clock: Stamps the version; the system's clock by default.
        reader: Reader to use, so that parts it holds are not read again.
        is_first: Whether the operation id was never used before. Otherwise
            an earlier call may have taken effect or may do so late, and a
            store that fails leaves the outcome unknown.

    Returns:
        The version in force.

    Raises:
        PlanSupersededError: If another change came first.
        InsufficientCapacityError: If the capacity no longer exists.
        ChicoryplankError: With INVALID_PLAN if the base version has other
            content than the plan was made on.
        StoreError: With NOT_RUN if nothing was changed, MAY_HAVE_RUN if the
            outcome is unknown.
    """
    _check_label("operator", operator)
    _check_label("operation_id", operation_id)
    time = (clock or SystemClock()).now()
    request = _Request(made, operator, operation_id, time, capacity)
    reader = reader or SnapshotReader()
    unknown = not is_first
    for _ in range(_MAX_ATTEMPTS):
        try:
            result = await _attempt(store, reader, request)
        except StoreError as error:
            if unknown:
                raise _make_unknown(operation_id) from error
            # The root was not swapped, whatever became of the parts.
            raise StoreError(error.message, Verdict.NOT_RUN) from error
        if isinstance(result, Confirmation):
            return result
        # An unanswered swap may be applied late, but it and a repeated one
        # expect the same revision, so that only one of them can succeed.
        unknown = unknown or result is _Attempt.UNANSWERED
    if unknown:
        raise _make_unknown(operation_id)
    raise StoreError("the root keeps changing; try again", Verdict.NOT_RUN)


class _Attempt(enum.Enum):
    """Result of an attempt that did not confirm."""

    CHANGED = "the root changed meanwhile"
    UNANSWERED = "the swap of the root was not answered"


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """Arguments of one confirmation."""

    made: Plan
    operator: str
    operation_id: OperationId
    time: datetime
    capacity: Capacity | None


async def _attempt(
    store: Store, reader: SnapshotReader, request: _Request
) -> Confirmation | _Attempt:
    """Reads the root, settles earlier attempts, then writes the version."""
    made = request.made
    record = await store.read(ROOT_KEY)
    root = Root() if record is None else decode_root(record.value)
    done = await _find_operation(store, root, made, request.operation_id)
    if done is not None:
        return done
    try:
        if record is not None:
            await reader.apply_root(store, record.value)
    except MissingPartsError:
        return _Attempt.CHANGED
    if reader.snapshot.version != root.version:
        return _Attempt.CHANGED
    if root.version < made.base_version:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"the plan is on version {made.base_version}, but the store "
            f"holds version {root.version}; make a new plan",
        )
    if root.version != made.base_version:
        raise await _make_superseded(store, reader, made, request.capacity)
    target = _rebuild_target(reader.snapshot, made, request.capacity)
    change = ChangeRecord(
        version=target.version,
        operation_id=request.operation_id,
        operator=request.operator,
        time=request.time,
        changes=made.changes,
        change_count=len(made.changes),
        previous=root.change,
    )
    swapped = await _write(store, record, root, target, change)
    if swapped is None:
        return _Attempt.UNANSWERED
    if swapped is SwapOutcome.CONFLICT:
        return _Attempt.CHANGED
    return _make_confirmation(change, repeated=False)


def _check_label(name: str, value: str) -> None:
    if (
        not isinstance(value, str)
        or not 1 <= len(value) <= _MAX_OPERATION_CHARACTERS
        or not value.isprintable()
    ):
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"{name} must be 1 to {_MAX_OPERATION_CHARACTERS} printable "
            f"characters: {value!r}",
        )


def _make_unknown(operation_id: OperationId) -> StoreError:
    return StoreError(
        "the outcome of the confirmation is unknown; repeat it with operation "
        f"id {operation_id}",
        Verdict.MAY_HAVE_RUN,
    )


def _make_confirmation(record: ChangeRecord, repeated: bool) -> Confirmation:
    return Confirmation(
        version=record.version,
        operation_id=record.operation_id,
        operator=record.operator,
        time=record.time,
        repeated=repeated,
    )


async def read_history(
    store: Store, root: Root, after: ConfigVersion
) -> tuple[ChangeRecord, ...]:
    """Returns the change records above a version, newest first.

    Records that were collected are absent.
    """
    history = []
    digest = root.change
    while digest and len(history) < HISTORY_VERSIONS:
        part = await store.read(make_part_key(digest))
        if part is None:
            break
        record = decode_change_record(part.value)
        if record.version <= after:
            break
        history.append(record)
        digest = record.previous
    return tuple(history)


async def _find_operation(
    store: Store, root: Root, made: Plan, operation_id: OperationId
) -> Confirmation | None:
    """Looks for an earlier success of the operation above the base."""
    for record in await read_history(store, root, made.base_version):
        if record.operation_id == operation_id:
            return _make_confirmation(record, repeated=True)
    return None


async def _make_superseded(
    store: Store,
    reader: SnapshotReader,
    made: Plan,
    capacity: Capacity | None,
) -> PlanSupersededError:
    history = await read_history(store, reader.root, made.base_version)
    # The change that took the version this plan would have had.
    winners = [
        item for item in history if item.version == made.base_version + 1
    ]
    new_plan, conflict = None, ""
    try:
        new_plan = plan(reader.snapshot, made.intent, capacity)
    except ChicoryplankError as error:
        conflict = error.message
    return PlanSupersededError(
        made.base_version,
        reader.snapshot.version,
        winners[0] if winners else None,
        new_plan,
        conflict,
    )


def _rebuild_target(
    base: Snapshot, made: Plan, capacity: Capacity | None
) -> Snapshot:
    """Applies the intent again and verifies that it gives the same changes."""
    target = apply_intent(base, made.intent)
    digest = digest_content(digest_parts(encode_parts(base)))
    if digest != made.base_digest or (
        diff_snapshots(base, target) != made.changes
    ):
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"version {base.version} has other content than the plan was "
            "made on; make a new plan",
        )
    if capacity is not None:
        plan(base, made.intent, capacity)
    return target


async def _write(
    store: Store,
    record: Record | None,
    base: Root,
    target: Snapshot,
    change: ChangeRecord,
) -> SwapOutcome | None:
    """Writes the new parts, then the root; None if its answer was lost."""
    parts = encode_parts(target)
    digests = digest_parts(parts)
    encoded = encode_change_record(change)
    known = set(base.parts.values())
    new = {
        digest: parts[name]
        for name, digest in digests.items()
        if digest not in known
    }
    change_digest = digest_bytes(encoded)
    new[change_digest] = encoded
    await _write_parts(store, new)
    root = Root(
        version=target.version,
        operation_id=change.operation_id,
        operator=change.operator,
        time=change.time,
        change=change_digest,
        parts=digests,
    )
    revision = 0 if record is None else record.revision
    try:
        outcome, _ = await store.swap(ROOT_KEY, encode_root(root), revision)
    except StoreError as error:
        if error.verdict is Verdict.NOT_RUN:
            raise
        return None
    return outcome


async def _write_parts(store: Store, parts: Mapping[str, bytes]) -> None:
    for digest, data in parts.items():
        if len(data) > MAX_PART_BYTES:
            raise ChicoryplankError(
                ErrorCode.INVALID_INTENT,
                f"a part of {len(data)} bytes ({digest}) exceeds "
                f"{MAX_PART_BYTES} bytes; split the intent",
            )
    gate = asyncio.Semaphore(_CONCURRENT_WRITES)

    async def write(digest: str) -> None:
        async with gate:
            await _ensure_part(store, make_part_key(digest), parts[digest])

    await asyncio.gather(*(write(digest) for digest in sorted(parts)))


async def _ensure_part(store: Store, key: str, data: bytes) -> None:
    """Writes a part even if it is present.

    The higher revision protects a part that is present but unreferenced from
    a collection that has already listed it.
    """
    revision = 0
    error: StoreError | None = None
    for _ in range(_MAX_ATTEMPTS):
        try:
            outcome, _ = await store.swap(key, data, revision)
        except StoreError as failure:
            if failure.verdict is Verdict.NOT_RUN:
                raise
            error = failure
            outcome = SwapOutcome.CONFLICT
        if outcome is SwapOutcome.SWAPPED:
            return
        record = await store.read(key)
        revision = 0 if record is None else record.revision
    raise StoreError(
        f"part {key} could not be written", Verdict.NOT_RUN
    ) from error
