"""Coordination of a change of the expert map by the controller."""

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

# A joining rank repeats its write after a conflict. Of ranks that start
# together, one succeeds in each round, so that this suffices for 256 ranks.
_JOIN_ATTEMPTS = 256

MakeOperationId = Callable[[], OperationId]
DocumentUpdate = Callable[[MapDocument], MapDocument]


class TokenSource(Protocol):
    """Source of the fencing token of this controller."""

    def get_token(self) -> FencingToken | None:
        """Returns the fencing token; None if the lease may have expired."""


async def read_document(
    store: Store, group: ModelGroupId
) -> tuple[MapDocument, int]:
    """Returns the map document of a group and its revision.

    Raises:
        ChicoryplankError: With MAP_CHANGE_CONFLICT if there is none.
        StoreError: If the store does not respond.
    """
    record = await store.read(get_map_key(group))
    if record is None:
        raise ChicoryplankError(
            ErrorCode.MAP_CHANGE_CONFLICT, f"group {group} has no expert map"
        )
    return decode_document(record.value), record.revision


async def read_highest_token(store: Store, group: ModelGroupId) -> FencingToken:
    """Returns the highest fencing token of all controllers of a group.

    No order was placed under a higher one: a controller records its token
    before its first order. The recorded token also covers controllers whose
    lease has expired. A group without ranks has no map document.

    Raises:
        StoreError: If the store does not respond.
    """
    recorded = await store.read(get_token_key(group))
    map_record = await store.read(get_map_key(group))
    lease = await store.read(get_lease_key(group))
    return FencingToken(
        max(
            0 if recorded is None else int(recorded.value),
            0
            if map_record is None
            else decode_document(map_record.value).token,
            0 if lease is None else lease.revision,
        )
    )


async def record_token(
    store: Store, group: ModelGroupId, token: FencingToken
) -> None:
    """Records the token of a controller, as required before its first order.

    Raises:
        ChicoryplankError: With STALE_FENCING_TOKEN if a newer controller has
            recorded its token, or MAP_CHANGE_CONFLICT if another write was
            applied in between.
        StoreError: If the store does not respond.
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
    """Records the initial map of a group unless it has a map document."""
    document = MapDocument(expert_map, dict(members))
    await store.swap(get_map_key(group), encode_document(document), 0)


async def _write_document(
    store: Store, group: ModelGroupId, document: MapDocument, revision: int
) -> int:
    """Writes a document by compare-and-swap and returns its revision.

    If the response is lost, the document is read back, and its write id tells
    whether the write was applied. If the id is another one, the write may have
    been applied and then overwritten. The verdict of the error is then
    MAY_HAVE_RUN, and the caller continues from the recorded state.
    """
    key = get_map_key(group)
    verdict = Verdict.NOT_RUN
    try:
        outcome, new_revision = await store.swap(
            key, encode_document(document), revision
        )
        if outcome is SwapOutcome.SWAPPED:
            return new_revision
    except StoreError as error:
        verdict = error.verdict
        if verdict is Verdict.NOT_RUN:
            raise
        try:
            recorded, new_revision = await read_document(store, group)
        except StoreError as read_error:
            # The failed read does not show whether the write was applied.
            raise StoreError(read_error.message, verdict) from error
        if recorded.write_id == document.write_id:
            return new_revision
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
    """Records the incarnation of a rank and returns the document to start from.

    The write fails if a change began after the document was read. A rank
    therefore never starts with a map that is no longer active, and no change
    is decided on the vote of a replaced incarnation.

    Raises:
        ChicoryplankError: With MAP_CHANGE_CONFLICT if every attempt conflicted
            with another write.
        StoreError: If the store does not respond.
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
            return joined, await _write_document(store, group, joined, revision)
        except ChicoryplankError as error:
            if error.code is not ErrorCode.MAP_CHANGE_CONFLICT:
                raise
    raise ChicoryplankError(
        ErrorCode.MAP_CHANGE_CONFLICT,
        f"rank {rank} could not join group {group}",
        Verdict.MAY_HAVE_RUN,
    )


class MapChange:
    """Coordinator of changes of the expert map of one group.

    Its only state is a copy of the recorded document. After `load`, any
    controller can continue a change. Each other method records one transition
    by compare-and-swap; after an error, call `load` and continue from the
    loaded state. Ranks learn the outcome of a change from the recorded
    document only, which the controller sends them after each transition.

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
        """Document that was last read or written; None before `load`."""
        return self._document

    @property
    def revision(self) -> int:
        """Revision of `document`."""
        return self._revision

    async def load(self) -> MapDocument:
        """Reads the document and records the token of this controller in it.

        Raises:
            ChicoryplankError: With LEASE_LOST or STALE_FENCING_TOKEN if this
                instance is not the controller.
            StoreError: If the store does not respond.
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
            await self._record_update(lambda document: document)
        return self._document

    async def begin(self, expert_map: ExpertMap, stop_step: int) -> None:
        """Records the next map, which the ranks then prepare."""
        await self._record_update(
            lambda document: begin_change(document, expert_map, stop_step)
        )

    async def record_prepared(self, votes: Iterable[Prepared]) -> None:
        """Records the prepare votes of ranks, all in one write."""
        votes = tuple(votes)
        await self._record_update(
            lambda document: record_prepared(document, votes)
        )

    async def decide(self) -> None:
        """Records the decision; the ranks switch at its first step."""
        await self._record_update(decide_switch)
        change = self._document.next_map.change
        emit(Event.MAP_DECIDED, group=self._group, change=change)

    async def abort(self) -> None:
        """Discards the change; every step keeps the active map."""
        await self._record_update(abort_change)
        change = self._document.last_change
        emit(Event.MAP_CHANGE_ABORTED, group=self._group, change=change)

    async def finish(self, next_steps: Mapping[RankId, int]) -> None:
        """Records that every rank has run the first step of the new map."""
        await self._record_update(
            lambda document: finish_change(document, next_steps)
        )

    def _get_token(self) -> FencingToken:
        token = self._lease.get_token()
        if token is None:
            raise ChicoryplankError(
                ErrorCode.LEASE_LOST,
                f"the controller lease of group {self._group} may have expired",
            )
        return token

    async def _record_update(self, update: DocumentUpdate) -> None:
        if self._document is None:
            raise ChicoryplankError(
                ErrorCode.MAP_CHANGE_CONFLICT, "the map document is not loaded"
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
        self._revision = await _write_document(
            self._store, self._group, document, self._revision
        )
        self._document = document
