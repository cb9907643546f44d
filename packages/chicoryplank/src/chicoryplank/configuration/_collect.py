"""Collection of parts that no root references any more.

The store compares one key per call, so a confirmation in progress must be
kept from referencing a part that is about to be deleted. A collection first
rewrites the root with the same content, at revision R. It then deletes only
parts that are unreferenced by that root and were last written before R, each
on condition that its revision is unchanged.

- A confirmation that read the root before R fails its compare-and-swap and
  starts again.
- A confirmation that read the root at or after R writes every part that this
  root does not reference, also one that is already present. The revision of
  the part is then above R, or the conditional deletion came first and the
  part is written anew. Either way the part exists when the root is swapped.
- A reader in progress may find a part of an older root missing. It then reads
  the root again, which is newer, and never applies an incomplete version.
"""

from chicoryplank.configuration._changes import decode_change_record
from chicoryplank.configuration._confirm import HISTORY_VERSIONS
from chicoryplank.configuration._parts import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    decode_root,
    make_part_key,
)
from chicoryplank.store import Store, SwapOutcome

# Parts are listed in 256 slices, so that an answer stays below a few megabytes
# also when a day of 37,000 changes was not collected (about 220 MB).
_PREFIXES = tuple(f"{PART_PREFIX}{number:02x}" for number in range(256))


async def collect_parts(
    store: Store, history_versions: int = HISTORY_VERSIONS
) -> int:
    """Deletes parts that neither the root nor recent history references.

    Args:
        store: The platform's key-value service.
        history_versions: Number of change records to keep. Operators who
            confirm a plan on an older version still lose the race, but are
            not told the winner's changes, and an outcome that stayed unknown
            for so long cannot be settled any more.

    Returns:
        Number of parts deleted; 0 if the root changed meanwhile.

    Raises:
        StoreError: If the store does not answer; a later call continues.
    """
    if history_versions < 1:
        raise ValueError(
            f"history_versions must be positive: {history_versions}"
        )
    record = await store.read(ROOT_KEY)
    if record is None:
        return 0
    outcome, _ = await store.swap(ROOT_KEY, record.value, record.revision)
    fresh = await store.read(ROOT_KEY)
    if (
        outcome is not SwapOutcome.SWAPPED
        or fresh is None
        or fresh.value != record.value
    ):
        return 0
    barrier = fresh.revision
    kept = await _find_kept(store, decode_root(record.value), history_versions)
    deleted = 0
    for prefix in _PREFIXES:
        for part in await store.read_prefix(prefix):
            if part.key in kept or part.revision >= barrier:
                continue
            outcome = await store.delete(part.key, part.revision)
            deleted += outcome is SwapOutcome.SWAPPED
    return deleted


async def _find_kept(
    store: Store, root: Root, history_versions: int
) -> frozenset[str]:
    """Returns the keys of the parts and change records that stay."""
    kept = {make_part_key(digest) for digest in root.parts.values()}
    digest = root.change
    for _ in range(history_versions):
        key = make_part_key(digest)
        record = await store.read(key) if digest else None
        if record is None:
            break
        kept.add(key)
        digest = decode_change_record(record.value).previous
    return frozenset(kept)
