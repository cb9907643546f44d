"""One shard of claims as a sequence of segments in the store."""

import dataclasses
from datetime import datetime

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.idempotency._claims import Claim, Segment
from chicoryplank.invariants import require
from chicoryplank.store import Record, Store, SwapOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _Stored:
    segment: Segment
    revision: int


class ClaimShard:
    """Cached view of a shard that is validated by compare-and-swap.

    A claim is added to the last segment, which alone is not sealed. A segment
    is created only after the one before it was sealed. So a successful
    compare-and-swap on the last segment proves that the view held every claim
    of the shard.

    Args:
        prefix: Key prefix of the segments.
        max_claims: Claims in one segment; it bounds the size of a write.
    """

    def __init__(self, prefix: str, max_claims: int) -> None:
        self._prefix = prefix
        self._max_claims = max_claims
        self._segments: dict[int, _Stored] = {}
        self._claims: dict[str, Claim] = {}
        self._loaded = False

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, key: str, now: datetime) -> Claim | None:
        """Returns the claim of a key digest in the cached view."""
        claim = self._claims.get(key)
        if claim is None or claim.expires_s <= now.timestamp():
            return None
        return claim

    async def reload(self, store: Store) -> None:
        """Reads the whole shard.

        Raises:
            StoreError: If the store does not answer.
        """
        records = await store.read_prefix(self._prefix)
        stored = {
            self._parse_number(record): _Stored(
                Segment.decode(record.value), record.revision
            )
            for record in records
        }
        # Only the oldest segments are ever deleted.
        first = min(stored, default=0)
        self._segments = {
            number: item
            for number, item in self._segments.items()
            if number >= first
        }
        self._index()
        for number, item in sorted(stored.items()):
            self._observe(number, item)
        self._loaded = True

    async def refresh(self, store: Store) -> None:
        """Reads what changed: the last segment and those after it.

        Raises:
            StoreError: If the store does not answer.
        """
        if not self._loaded:
            await self.reload(store)
            return
        number = max(self._segments, default=0)
        known = number in self._segments
        while True:
            record = await store.read(self._make_key(number))
            if record is None:
                break
            known = False
            if self._parse_number(record) != number:
                raise ChicoryplankError(
                    ErrorCode.MALFORMED_CLAIMS,
                    f"{record.key!r} is not segment {number}",
                )
            segment = Segment.decode(record.value)
            self._observe(number, _Stored(segment, record.revision))
            if not segment.sealed:
                break
            number += 1
        if known:
            # The last known segment was deleted, so the view is very old.
            await self.reload(store)

    def _observe(self, number: int, stored: _Stored) -> None:
        """Takes over a segment unless a newer state of it is known.

        Segments and index change together, so that the view is never newer
        in its revisions than in its claims, whatever other calls do while
        one of them waits for the store.
        """
        known = self._segments.get(number)
        if known is not None:
            if known.revision >= stored.revision:
                return
            self._drop_claims(known.segment)
        self._segments[number] = stored
        for claim in stored.segment.claims:
            held = self._claims.get(claim.key)
            if held is None or held.expires_s <= claim.expires_s:
                self._claims[claim.key] = claim

    def _parse_number(self, record: Record) -> int:
        suffix = record.key.removeprefix(self._prefix)
        if suffix == record.key or not suffix.isdigit():
            raise ChicoryplankError(
                ErrorCode.MALFORMED_CLAIMS,
                f"{record.key!r} is no segment of {self._prefix}",
            )
        return int(suffix)

    def _index(self) -> None:
        self._claims = {
            claim.key: claim
            for _, stored in sorted(self._segments.items())
            for claim in stored.segment.claims
        }

    def _make_key(self, number: int) -> str:
        # Fixed width keeps the segments in order in a prefix read.
        return f"{self._prefix}{number:010d}"

    def _get_last(self) -> tuple[int, _Stored]:
        if not self._segments:
            return 0, _Stored(Segment(), 0)
        number = max(self._segments)
        stored = self._segments[number]
        if stored.segment.sealed:
            return number + 1, _Stored(Segment(), 0)
        return number, stored

    async def add(self, store: Store, claims: tuple[Claim, ...]) -> bool:
        """Adds claims, all or none.

        Args:
            store: The key-value service.
            claims: Claims whose keys are not in the view, or that replace
                removable claims.

        Returns:
            False if another writer changed the shard; reload and try again.

        Raises:
            StoreError: If the outcome is unknown or nothing was written.
        """
        number, stored = self._get_last()
        require(
            not stored.segment.sealed,
            "claims_go_to_open_segment",
            f"segment {number} of {self._prefix}",
        )
        keys = {claim.key for claim in claims}
        kept = (
            claim for claim in stored.segment.claims if claim.key not in keys
        )
        combined = (*kept, *claims)
        segment = Segment(combined, len(combined) >= self._max_claims)
        return await self._swap(store, number, stored, segment)

    async def replace(self, store: Store, old: Claim, new: Claim) -> bool:
        """Puts a claim in the place of one whose request has not run.

        The segment may be sealed. Views that still hold the old claim reject
        the key as well, so they need not learn of it. The expiry stays, since
        such a view decides by it when the segment can be deleted.

        Returns:
            False if another writer changed the segment; reload and try again.

        Raises:
            StoreError: If the outcome is unknown or nothing was written.
        """
        for number, stored in self._segments.items():
            if old not in stored.segment.claims:
                continue
            new = dataclasses.replace(new, expires_s=old.expires_s)
            claims = tuple(
                new if claim == old else claim
                for claim in stored.segment.claims
            )
            segment = Segment(claims, stored.segment.sealed)
            # Until the outcome is known, the view may miss the write.
            self._loaded = False
            if not await self._swap(store, number, stored, segment):
                return False
            self._loaded = True
            self._claims[new.key] = new
            return True
        return False

    async def remove(self, store: Store, claim: Claim) -> bool:
        """Removes a claim whose request is known not to have run.

        Returns:
            False if the claim is in a sealed segment or another writer
            changed the shard; the claim then stands until it expires.

        Raises:
            StoreError: If the store does not answer.
        """
        number, stored = self._get_last()
        if claim not in stored.segment.claims:
            return False
        left = tuple(item for item in stored.segment.claims if item != claim)
        return await self._swap(store, number, stored, Segment(left))

    async def _swap(
        self, store: Store, number: int, stored: _Stored, segment: Segment
    ) -> bool:
        outcome, revision = await store.swap(
            self._make_key(number), segment.encode(), stored.revision
        )
        if outcome is not SwapOutcome.SWAPPED:
            return False
        self._observe(number, _Stored(segment, revision))
        return True

    async def delete_expired(self, store: Store, now: datetime) -> int:
        """Deletes sealed segments whose claims have all expired.

        Returns:
            Number of deleted segments.

        Raises:
            StoreError: If the store does not answer.
        """
        deleted = 0
        last = max(self._segments, default=0)
        for number, stored in sorted(self._segments.items()):
            # The last segment stays, so that numbers are never used again.
            if number == last or not stored.segment.sealed:
                break
            expiry_s = max(item.expires_s for item in stored.segment.claims)
            if expiry_s > now.timestamp():
                break
            key = self._make_key(number)
            outcome = await store.delete(key, stored.revision)
            deleted += outcome is SwapOutcome.SWAPPED
            # Another call may have dropped it during the wait.
            if self._segments.pop(number, None) is not None:
                self._drop_claims(stored.segment)
        return deleted

    def _drop_claims(self, segment: Segment) -> None:
        for claim in segment.claims:
            if self._claims.get(claim.key) == claim:
                del self._claims[claim.key]
