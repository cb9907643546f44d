"""Confirmation of a plan by one compare-and-swap of the root."""

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
from chicoryplank.configuration._plan import Plan, apply_intent, create_plan
from chicoryplank.configuration._reader import (
    MissingPartsError,
    SnapshotReader,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId
from chicoryplank.store import Record, Store, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict

# Attempts are repeated if the store does not respond and if garbage collection
# has rewritten the root without a new version.
_MAX_ATTEMPTS = 5
_MAX_CONCURRENT_WRITES = 8
_MAX_LABEL_CHARACTERS = 200
# Number of change records that garbage collection keeps. At 0.43 changes per
# second they cover 19 minutes, within which a confirmation of unknown outcome
# can be repeated to find out whether it took effect.
HISTORY_VERSIONS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Result of a confirmed plan.

    Attributes:
        version: Version that the confirmation activated.
        operation_id: Id of the operation that activated it.
        operator: Operator who confirmed the plan.
        time: Time of the confirmation, in UTC.
        repeated: Whether an earlier call had already activated the version.
    """

    version: ConfigVersion
    operation_id: OperationId
    operator: str
    time: datetime
    repeated: bool


class PlanSupersededError(ChicoryplankError):
    """The plan was not applied, because another change came first.

    Args:
        base_version: Version that the plan is based on.
        current_version: Active version.
        winner: Change that came first; None if its record was deleted.
        new_plan: Plan of the same intent, based on the active version; None
            if the intent cannot be applied to that version.
        conflict: Reason why there is no new plan; empty if there is one.
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
            f"the plan on version {base_version} was superseded by another "
            f"change; the active version is {current_version}"
        ]
        if winner is None:
            lines.append(
                "  the change records were deleted, so it is unknown whether "
                "an earlier call with this operation id took effect"
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
            lines.append(
                f"  the intent cannot be applied to this version: {conflict}"
            )
        super().__init__(
            ErrorCode.PLAN_SUPERSEDED,
            "\n".join(lines),
            Verdict.MAY_HAVE_RUN if winner is None else Verdict.NOT_RUN,
        )
        self.current_version = current_version
        self.winner = winner
        self.new_plan = new_plan


async def confirm_plan(
    store: Store,
    plan: Plan,
    operator: str,
    operation_id: OperationId,
    *,
    capacity: Capacity | None = None,
    clock: Clock | None = None,
    reader: SnapshotReader | None = None,
    is_first_call: bool = False,
) -> Confirmation:
    """Activates the version that a plan leads to, or changes nothing.

    The call is idempotent: if the operation id has already taken effect, the
    version that it activated is returned. A call whose outcome is unknown can
    therefore be repeated with the same id.

    Args:
        store: The platform's key-value service.
        plan: Plan to confirm.
        operator: Name of the operator, which is shown to other operators.
        operation_id: Unique id of this confirmation.
        capacity: Live instances at this time, with which the plan is compared
            again; None skips the comparison.
        clock: Clock for the time of the confirmation; the system's clock by
            default.
        reader: Reader to use, so that the parts it holds are not read again.
        is_first_call: Whether no earlier call used the operation id. If False,
            an earlier call may have taken effect or may still do so, and the
            outcome is unknown if the store fails.

    Returns:
        The result with the version that the plan activated.

    Raises:
        PlanSupersededError: If another change came first.
        InsufficientCapacityError: If the capacity is no longer available.
        ChicoryplankError: With INVALID_PLAN if the content of the base version
            differs from the content that the plan was created from.
        StoreError: With NOT_RUN if nothing was changed, with MAY_HAVE_RUN if
            the outcome is unknown.
    """
    _check_label("operator", operator)
    _check_label("operation_id", operation_id)
    time = (clock or SystemClock()).now()
    request = _ConfirmationRequest(plan, operator, operation_id, time, capacity)
    reader = reader or SnapshotReader()
    is_outcome_unknown = not is_first_call
    for _ in range(_MAX_ATTEMPTS):
        try:
            result = await _attempt_confirmation(store, reader, request)
        except StoreError as error:
            if is_outcome_unknown:
                raise _make_unknown_outcome_error(operation_id) from error
            # The root was not swapped. Parts that may have been written have
            # no effect without it.
            raise StoreError(error.message, Verdict.NOT_RUN) from error
        if isinstance(result, Confirmation):
            return result
        # A swap without a response may still be applied later. The repeated
        # swap expects the same revision, so only one of them can succeed.
        is_outcome_unknown = (
            is_outcome_unknown or result is _AttemptOutcome.NO_SWAP_RESPONSE
        )
    if is_outcome_unknown:
        raise _make_unknown_outcome_error(operation_id)
    raise StoreError(
        "the configuration root changed during every attempt; try again",
        Verdict.NOT_RUN,
    )


class _AttemptOutcome(enum.Enum):
    """Reason why an attempt to confirm a plan must be repeated."""

    ROOT_CHANGED = "the root changed during the attempt"
    NO_SWAP_RESPONSE = "the store did not respond to the swap of the root"


@dataclasses.dataclass(frozen=True, slots=True)
class _ConfirmationRequest:
    """Arguments of a confirmation, the same in all of its attempts."""

    plan: Plan
    operator: str
    operation_id: OperationId
    time: datetime
    capacity: Capacity | None


async def _attempt_confirmation(
    store: Store, reader: SnapshotReader, request: _ConfirmationRequest
) -> Confirmation | _AttemptOutcome:
    """Writes the new version, unless an earlier attempt has already done so."""
    plan = request.plan
    record = await store.read(ROOT_KEY)
    root = Root() if record is None else decode_root(record.value)
    earlier = await _find_operation(store, root, plan, request.operation_id)
    if earlier is not None:
        return earlier
    try:
        if record is not None:
            await reader.apply_root(store, record.value)
    except MissingPartsError:
        return _AttemptOutcome.ROOT_CHANGED
    if reader.snapshot.version != root.version:
        return _AttemptOutcome.ROOT_CHANGED
    if root.version < plan.base_version:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"the plan is based on version {plan.base_version}, but the store "
            f"holds version {root.version}; make a new plan",
        )
    if root.version != plan.base_version:
        raise await _make_superseded_error(
            store, reader, plan, request.capacity
        )
    target = _recompute_target(reader.snapshot, plan, request.capacity)
    change = ChangeRecord(
        version=target.version,
        operation_id=request.operation_id,
        operator=request.operator,
        time=request.time,
        changes=plan.changes,
        change_count=len(plan.changes),
        previous=root.change,
    )
    swap_outcome = await _write_version(store, record, root, target, change)
    if swap_outcome is None:
        return _AttemptOutcome.NO_SWAP_RESPONSE
    if swap_outcome is SwapOutcome.CONFLICT:
        return _AttemptOutcome.ROOT_CHANGED
    return _make_confirmation(change, repeated=False)


def _check_label(name: str, value: str) -> None:
    if (
        not isinstance(value, str)
        or not 1 <= len(value) <= _MAX_LABEL_CHARACTERS
        or not value.isprintable()
    ):
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"{name} must be 1 to {_MAX_LABEL_CHARACTERS} printable "
            f"characters: {value!r}",
        )


def _make_unknown_outcome_error(operation_id: OperationId) -> StoreError:
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
    """Returns the change records after a version, newest first.

    The oldest records are missing if they were deleted by garbage collection.
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
    store: Store, root: Root, plan: Plan, operation_id: OperationId
) -> Confirmation | None:
    """Returns the result of an earlier successful call of the operation."""
    for record in await read_history(store, root, plan.base_version):
        if record.operation_id == operation_id:
            return _make_confirmation(record, repeated=True)
    return None


async def _make_superseded_error(
    store: Store,
    reader: SnapshotReader,
    plan: Plan,
    capacity: Capacity | None,
) -> PlanSupersededError:
    history = await read_history(store, reader.root, plan.base_version)
    # The winner has the version that this plan would have activated.
    winners = [
        item for item in history if item.version == plan.base_version + 1
    ]
    new_plan, conflict = None, ""
    try:
        new_plan = create_plan(reader.snapshot, plan.intent, capacity)
    except ChicoryplankError as error:
        conflict = error.message
    return PlanSupersededError(
        plan.base_version,
        reader.snapshot.version,
        winners[0] if winners else None,
        new_plan,
        conflict,
    )


def _recompute_target(
    base: Snapshot, plan: Plan, capacity: Capacity | None
) -> Snapshot:
    """Applies the intent again and verifies that the changes are the same."""
    target = apply_intent(base, plan.intent)
    digest = digest_content(digest_parts(encode_parts(base)))
    if digest != plan.base_digest or (
        diff_snapshots(base, target) != plan.changes
    ):
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"the content of version {base.version} differs from the content "
            "that the plan was created from; make a new plan",
        )
    if capacity is not None:
        create_plan(base, plan.intent, capacity)
    return target


async def _write_version(
    store: Store,
    record: Record | None,
    base: Root,
    target: Snapshot,
    change: ChangeRecord,
) -> SwapOutcome | None:
    """Writes the new parts, then the root.

    Returns:
        The outcome of the swap of the root; None if the store did not respond.
    """
    parts = encode_parts(target)
    digests = digest_parts(parts)
    encoded_change = encode_change_record(change)
    existing_digests = set(base.parts.values())
    new_parts = {
        digest: parts[name]
        for name, digest in digests.items()
        if digest not in existing_digests
    }
    change_digest = digest_bytes(encoded_change)
    new_parts[change_digest] = encoded_change
    await _write_parts(store, new_parts)
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
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_WRITES)

    async def write(digest: str) -> None:
        async with semaphore:
            await _write_part(store, make_part_key(digest), parts[digest])

    await asyncio.gather(*(write(digest) for digest in sorted(parts)))


async def _write_part(store: Store, key: str, data: bytes) -> None:
    """Writes a part, even if it exists already.

    An existing part may be unreferenced and already listed for deletion by
    garbage collection. Writing it raises its revision, so the conditional
    deletion fails.
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
