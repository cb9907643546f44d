"""A shard of claims, stored as a sequence of segments."""

import dataclasses
from datetime import datetime

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.idempotency._claims import Claim, Segment
from chicoryplank.invariants import require
from chicoryplank.store import Record, Store, SwapOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredSegment:
    """A segment and the store revision at which it was read or written."""

    segment: Segment
    revision: int


class ClaimShard:
    """Cached view of a shard, validated by compare-and-swap on each write.

    Claims are added to the last segment, the only one that is not sealed. The
    next segment is created only after the last one was sealed. Therefore a
    successful compare-and-swap on the last segment proves that the view
    contains every claim of the shard.

    Args:
        prefix: Key prefix of the segments.
        max_claims: Maximum number of claims in one segment, which limits the
            size of a write.
    """

    def __init__(self, prefix: str, max_claims: int) -> None:
        self._prefix = prefix
        self._max_claims = max_claims
        self._segments: dict[int, _StoredSegment] = {}
        self._claims: dict[str, Claim] = {}
        self._is_view_valid = False

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, key: str, now: datetime) -> Claim | None:
        """Returns the unexpired claim of a key digest in the view, if any."""
        claim = self._claims.get(key)
        if claim is None or claim.expires_s <= now.timestamp():
            return None
        return claim

    async def reload(self, store: Store) -> None:
        """Reads all segments of the shard into the view.

        Raises:
            StoreError: If the store does not respond.
        """
        records = await store.read_prefix(self._prefix)
        stored = {
            self._parse_segment_number(record): _StoredSegment(
                Segment.decode(record.value), record.revision
            )
            for record in records
        }
        # Segments are deleted in order, the oldest first.
        first = min(stored, default=0)
        self._segments = {
            number: item
            for number, item in self._segments.items()
            if number >= first
        }
        self._rebuild_index()
        for number, item in sorted(stored.items()):
            self._update_view(number, item)
        self._is_view_valid = True

    async def refresh(self, store: Store) -> None:
        """Reads the last known segment and those after it into the view.

        Raises:
            StoreError: If the store does not respond.
        """
        if not self._is_view_valid:
            await self.reload(store)
            return
        number = max(self._segments, default=0)
        is_deleted = number in self._segments
        while True:
            record = await store.read(self._make_key(number))
            if record is None:
                break
            is_deleted = False
            if self._parse_segment_number(record) != number:
                raise ChicoryplankError(
                    ErrorCode.MALFORMED_CLAIMS,
                    f"the store returned {record.key!r} for segment {number}",
                )
            segment = Segment.decode(record.value)
            self._update_view(number, _StoredSegment(segment, record.revision))
            if not segment.sealed:
                break
            number += 1
        if is_deleted:
            # The last known segment was deleted, so its claims have expired
            # and the view is outdated.
            await self.reload(store)

    def _update_view(self, number: int, stored: _StoredSegment) -> None:
        """Stores a segment in the view unless a newer revision is known.

        Segments and claims are updated together. Otherwise a concurrent call
        could see the new revision without the new claims, and its
        compare-and-swap would succeed although it overlooked a claim.
        """
        known = self._segments.get(number)
        if known is not None:
            if known.revision >= stored.revision:
                return
            self._remove_claims(known.segment)
        self._segments[number] = stored
        for claim in stored.segment.claims:
            holder = self._claims.get(claim.key)
            if holder is None or holder.expires_s <= claim.expires_s:
                self._claims[claim.key] = claim

    def _parse_segment_number(self, record: Record) -> int:
        suffix = record.key.removeprefix(self._prefix)
        if suffix == record.key or not suffix.isdigit():
            raise ChicoryplankError(
                ErrorCode.MALFORMED_CLAIMS,
                f"{record.key!r} is not a segment key of {self._prefix}",
            )
        return int(suffix)

    def _rebuild_index(self) -> None:
        self._claims = {
            claim.key: claim
            for _, stored in sorted(self._segments.items())
            for claim in stored.segment.claims
        }

    def _make_key(self, number: int) -> str:
        # The fixed width makes a prefix read return the segments in order.
        return f"{self._prefix}{number:010d}"

    def _get_open_segment(self) -> tuple[int, _StoredSegment]:
        if not self._segments:
            return 0, _StoredSegment(Segment(), 0)
        number = max(self._segments)
        stored = self._segments[number]
        if stored.segment.sealed:
            return number + 1, _StoredSegment(Segment(), 0)
        return number, stored

    async def add(self, store: Store, claims: tuple[Claim, ...]) -> bool:
        """Adds claims in a single write.

        Args:
            store: The key-value service.
            claims: Claims whose keys have no unexpired claim in the view.

        Returns:
            False if another writer has changed the shard; the caller then
            refreshes the view and tries again.

        Raises:
            StoreError: If nothing was written or the outcome is unknown.
        """
        number, stored = self._get_open_segment()
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
        """Replaces a claim whose request has not run by another claim.

        The segment may be sealed. Agents whose view still contains the old
        claim reject the key as well, so their views need no update. The expiry
        is kept, because agents decide by it when to delete the segment.

        Args:
            store: The key-value service.
            old: The claim to replace.
            new: The new claim for the same key; its expiry is ignored.

        Returns:
            False if another writer has changed the segment; the caller then
            refreshes the view and tries again.

        Raises:
            StoreError: If nothing was written or the outcome is unknown.
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
            # The view may lack the write until its outcome is known.
            self._is_view_valid = False
            if not await self._swap(store, number, stored, segment):
                return False
            self._is_view_valid = True
            self._claims[new.key] = new
            return True
        return False

    async def remove(self, store: Store, claim: Claim) -> bool:
        """Removes the claim of a request that is known not to have run.

        Returns:
            False if the claim is in a sealed segment or another writer has
            changed the shard; the claim then remains until it expires.

        Raises:
            StoreError: If the store does not respond.
        """
        number, stored = self._get_open_segment()
        if claim not in stored.segment.claims:
            return False
        remaining = tuple(
            item for item in stored.segment.claims if item != claim
        )
        return await self._swap(store, number, stored, Segment(remaining))

    async def _swap(
        self,
        store: Store,
        number: int,
        stored: _StoredSegment,
        segment: Segment,
    ) -> bool:
        outcome, revision = await store.swap(
            self._make_key(number), segment.encode(), stored.revision
        )
        if outcome is not SwapOutcome.SWAPPED:
            return False
        self._update_view(number, _StoredSegment(segment, revision))
        return True

    async def delete_expired(self, store: Store, now: datetime) -> int:
        """Deletes sealed segments whose claims have all expired.

        Returns:
            Number of deleted segments.

        Raises:
            StoreError: If the store does not respond.
        """
        deleted = 0
        last = max(self._segments, default=0)
        for number, stored in sorted(self._segments.items()):
            # The last segment is kept, so that its number is not used again.
            if number == last or not stored.segment.sealed:
                break
            expiry_s = max(item.expires_s for item in stored.segment.claims)
            if expiry_s > now.timestamp():
                break
            key = self._make_key(number)
            outcome = await store.delete(key, stored.revision)
            deleted += outcome is SwapOutcome.SWAPPED
            # A concurrent call may already have removed it from the view.
            if self._segments.pop(number, None) is not None:
                self._remove_claims(stored.segment)
        return deleted

    def _remove_claims(self, segment: Segment) -> None:
        for claim in segment.claims:
            if self._claims.get(claim.key) == claim:
                del self._claims[claim.key]
