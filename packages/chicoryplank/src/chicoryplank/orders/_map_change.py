"""The controller's side of a change of the expert map."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import (
    FencingToken,
    Incarnation,
    ModelGroupId,
    OperationId,
    RankId,
)
from chicoryplank.orders._documents import (
    MapDocument,
    Prepared,
    abort_change,
    begin_change,
    decide_switch,
    decode_document,
    encode_document,
    finish_change,
    get_lease_key,
    get_map_key,
    get_token_key,
    join_rank,
    record_prepared,
)
from chicoryplank.rebalance import ExpertMap
from chicoryplank.store import Store, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict

# A joining rank repeats a write that lost against another one; 256 ranks that
# start together need at most one attempt each.
_JOIN_ATTEMPTS = 256

MakeOperationId = Callable[[], OperationId]
Update = Callable[[MapDocument], MapDocument]


class TokenSource(Protocol):
    """Anything that knows the controller's fencing token."""

    def get_token(self) -> FencingToken | None:
        """Returns the fencing token; None if the lease may have lapsed."""


async def read_document(
    store: Store, group: ModelGroupId
) -> tuple[MapDocument, int]:
    """Returns the map document of a group and its revision.

    Raises:
        ChicoryplankError: With MAP_CHANGE_CONFLICT if there is none.
        StoreError: If the store does not answer.
    """
    record = await store.read(get_map_key(group))
    if record is None:
        raise ChicoryplankError(
            ErrorCode.MAP_CHANGE_CONFLICT, f"group {group} has no expert map"
        )
    return decode_document(record.value), record.revision


async def read_highest_token(store: Store, group: ModelGroupId) -> FencingToken:
    """Returns a token not below any under which an order was placed.

    A controller records its token before its first order, so the record
    covers controllers whose lease has lapsed. Groups without ranks have no
    map document.

    Raises:
        StoreError: If the store does not answer.
    """
    recorded = await store.read(get_token_key(group))
    mapped = await store.read(get_map_key(group))
    lease = await store.read(get_lease_key(group))
    return FencingToken(
        max(
            0 if recorded is None else int(recorded.value),
            0 if mapped is None else decode_document(mapped.value).token,
            0 if lease is None else lease.revision,
        )
    )


async def record_token(
    store: Store, group: ModelGroupId, token: FencingToken
) -> None:
    """Records a controller's token; it places no order before.

    Raises:
        ChicoryplankError: With STALE_FENCING_TOKEN if a newer controller has
            recorded its token, or MAP_CHANGE_CONFLICT if others write.
        StoreError: If the store does not answer.
    """
    key = get_token_key(group)
    record = await store.read(key)
    recorded = 0 if record is None else int(record.value)
    if recorded > token:
        raise ChicoryplankError(
            ErrorCode.STALE_FENCING_TOKEN, f"token {token} is below {recorded}"
        )
    if recorded == token:
        return
    revision = 0 if record is None else record.revision
    outcome, _ = await store.swap(key, str(token).encode(), revision)
    if outcome is SwapOutcome.CONFLICT:
        raise ChicoryplankError(
            ErrorCode.MAP_CHANGE_CONFLICT,
            f"the token of group {group} has changed since revision {revision}",
        )


async def create_document(
    store: Store,
    group: ModelGroupId,
    expert_map: ExpertMap,
    members: Mapping[RankId, Incarnation],
) -> None:
    """Records the first map of a group; keeps a document that exists."""
    document = MapDocument(expert_map, dict(members))
    await store.swap(get_map_key(group), encode_document(document), 0)


async def _write(
    store: Store, group: ModelGroupId, document: MapDocument, revision: int
) -> int:
    """Writes a document by compare-and-swap and returns its revision.

    A lost answer is settled by reading back: the write id tells whether the
    document is ours. If it is not, our write may have been applied and
    followed by another, so the verdict stays MAY_HAVE_RUN and the caller goes
    on from the recorded state.
    """
    key = get_map_key(group)
    verdict = Verdict.NOT_RUN
    try:
        outcome, written = await store.swap(
            key, encode_document(document), revision
        )
        if outcome is SwapOutcome.SWAPPED:
            return written
    except StoreError as error:
        verdict = error.verdict
        if verdict is Verdict.NOT_RUN:
            raise
        try:
            recorded, written = await read_document(store, group)
        except StoreError as failed:
            # The failed read says nothing about the write before it.
            raise StoreError(failed.message, verdict) from error
        if recorded.write_id == document.write_id:
            return written
    raise ChicoryplankError(
        ErrorCode.MAP_CHANGE_CONFLICT,
        f"the map of group {group} has changed since revision {revision}",
        verdict,
    )


async def join_group(
    store: Store,
    group: ModelGroupId,
    rank: RankId,
    incarnation: Incarnation,
    make_operation_id: MakeOperationId,
) -> tuple[MapDocument, int]:
    """Records a replacement rank and returns the document it starts from.

    The write fails if a change began since the read. A rank therefore never
    starts from a map that is no longer in force, and no change is decided on
    the promise of its predecessor.

    Raises:
        ChicoryplankError: With MAP_CHANGE_CONFLICT if others kept writing.
        StoreError: If the store does not answer.
    """
    for _ in range(_JOIN_ATTEMPTS):
        document, revision = await read_document(store, group)
        if document.members.get(rank) == incarnation:
            return document, revision
        joined = dataclasses.replace(
            join_rank(document, rank, incarnation),
            write_id=make_operation_id(),
        )
        try:
            return joined, await _write(store, group, joined, revision)
        except ChicoryplankError as error:
            if error.code is not ErrorCode.MAP_CHANGE_CONFLICT:
                raise
    raise ChicoryplankError(
        ErrorCode.MAP_CHANGE_CONFLICT,
        f"rank {rank} could not join group {group}",
        Verdict.MAY_HAVE_RUN,
    )


class MapChange:
    """Changes the expert map of a group, as its controller.

    It holds no state but a copy of the recorded document. After `load` any
    controller continues a change where it stands. Each verb records one
    transition by compare-and-swap; on an error call `load` and go on from
    there. Ranks learn the outcome from the recorded document only, which the
    controller sends them after each verb.

    Args:
        store: Key-value service.
        group: Model group.
        lease: Source of the fencing token.
        make_operation_id: Returns a new unique id for each write.
    """

    def __init__(
        self,
        store: Store,
        group: ModelGroupId,
        lease: TokenSource,
        make_operation_id: MakeOperationId,
    ) -> None:
        self._store = store
        self._group = group
        self._lease = lease
        self._make_operation_id = make_operation_id
        self._document: MapDocument | None = None
        self._revision = 0

    @property
    def document(self) -> MapDocument | None:
        """Document as last read or written."""
        return self._document

    @property
    def revision(self) -> int:
        """Revision of that document."""
        return self._revision

    async def load(self) -> MapDocument:
        """Reads the document and records this controller's token in it.

        Raises:
            ChicoryplankError: With LEASE_LOST or STALE_FENCING_TOKEN if this
                instance is not the controller.
            StoreError: If the store does not answer.
        """
        token = self._get_token()
        self._document, self._revision = await read_document(
            self._store, self._group
        )
        if self._document.token > token:
            raise ChicoryplankError(
                ErrorCode.STALE_FENCING_TOKEN,
                f"token {token} is below {self._document.token}",
            )
        if self._document.token < token:
            await self._record(lambda document: document)
        return self._document

    async def begin(self, expert_map: ExpertMap, stop_step: int) -> None:
        """Records a next map, which ranks then prepare."""
        await self._record(
            lambda document: begin_change(document, expert_map, stop_step)
        )

    async def record_prepared(self, answers: Iterable[Prepared]) -> None:
        """Records the promises of ranks; many fit in one write."""
        answers = tuple(answers)
        await self._record(lambda document: record_prepared(document, answers))

    async def decide(self) -> None:
        """Records the decision; ranks switch at its first step."""
        await self._record(decide_switch)
        change = self._document.next_map.change
        emit(Event.MAP_DECIDED, group=self._group, change=change)

    async def abort(self) -> None:
        """Drops the change; nothing has changed for any step."""
        await self._record(abort_change)
        change = self._document.last_change
        emit(Event.MAP_CHANGE_ABORTED, group=self._group, change=change)

    async def finish(self, next_steps: Mapping[RankId, int]) -> None:
        """Records that every rank has run the first step of the new map."""
        await self._record(lambda document: finish_change(document, next_steps))

    def _get_token(self) -> FencingToken:
        token = self._lease.get_token()
        if token is None:
            raise ChicoryplankError(
                ErrorCode.LEASE_LOST,
                f"the controller lease of group {self._group} may have lapsed",
            )
        return token

    async def _record(self, update: Update) -> None:
        if self._document is None:
            raise ChicoryplankError(
                ErrorCode.MAP_CHANGE_CONFLICT, "the document is not loaded"
            )
        token = self._get_token()
        if self._document.token > token:
            raise ChicoryplankError(
                ErrorCode.STALE_FENCING_TOKEN,
                f"token {token} is below {self._document.token}",
            )
        document = dataclasses.replace(
            update(self._document),
            token=token,
            write_id=self._make_operation_id(),
        )
        self._revision = await _write(
            self._store, self._group, document, self._revision
        )
        self._document = document
