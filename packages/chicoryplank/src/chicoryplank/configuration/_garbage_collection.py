"""Garbage collection of parts that the root no longer references.

A concurrent confirmation must not activate a root that references a part which
is about to be deleted, but the store can compare only one key per call.
Garbage collection therefore rewrites the root with the same content first, at
revision R. It then deletes only parts that this root does not reference and
that were last written before R, each on condition that the revision of the part
is unchanged.

- A confirmation that read the root before R fails its compare-and-swap and
  starts again.
- A confirmation that read the root at or after R writes every part that this
  root does not reference, even if the part exists. Either the part then has a
  revision above R and is not deleted, or it was deleted before and is written
  again. In both cases the part exists when the root is swapped.
- A concurrent reader may find that a part of an older root is missing. It then
  reads the root again, which is newer, and never applies an incomplete version.
"""

from chicoryplank.configuration._changes import decode_change_record
from chicoryplank.configuration._confirmation import HISTORY_VERSIONS
from chicoryplank.configuration._parts import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    decode_root,
    make_part_key,
)
from chicoryplank.store import Store, SwapOutcome

# Parts are listed in 256 slices, so that a response stays below a few megabytes
# even if no garbage was collected for a day of 37,000 changes (about 220 MB).
_PART_KEY_PREFIXES = tuple(
    f"{PART_PREFIX}{number:02x}" for number in range(256)
)


async def delete_unreferenced_parts(
    store: Store, history_versions: int = HISTORY_VERSIONS
) -> int:
    """Deletes parts that neither the root nor the recent history references.

    Args:
        store: The platform's key-value service.
        history_versions: Number of change records to keep. A plan based on an
            older version is still rejected, but the error cannot name the
            change that superseded it. A confirmation whose outcome stayed
            unknown for longer than the kept history remains unknown.

    Returns:
        Number of parts deleted; 0 if the root was changed concurrently.

    Raises:
        StoreError: If the store does not respond. Some parts may have been
            deleted; a later call deletes the rest.
    """
    if history_versions < 1:
        raise ValueError(
            f"history_versions must be positive: {history_versions}"
        )
    record = await store.read(ROOT_KEY)
    if record is None:
        return 0
    outcome, _ = await store.swap(ROOT_KEY, record.value, record.revision)
    rewritten = await store.read(ROOT_KEY)
    if (
        outcome is not SwapOutcome.SWAPPED
        or rewritten is None
        or rewritten.value != record.value
    ):
        return 0
    barrier_revision = rewritten.revision
    kept_keys = await _find_kept_keys(
        store, decode_root(record.value), history_versions
    )
    deleted = 0
    for prefix in _PART_KEY_PREFIXES:
        for part in await store.read_prefix(prefix):
            if part.key in kept_keys or part.revision >= barrier_revision:
                continue
            outcome = await store.delete(part.key, part.revision)
            deleted += outcome is SwapOutcome.SWAPPED
    return deleted


async def _find_kept_keys(
    store: Store, root: Root, history_versions: int
) -> frozenset[str]:
    """Returns the keys of the parts and change records to keep."""
    kept_keys = {make_part_key(digest) for digest in root.parts.values()}
    digest = root.change
    for _ in range(history_versions):
        key = make_part_key(digest)
        record = await store.read(key) if digest else None
        if record is None:
            break
        kept_keys.add(key)
        digest = decode_change_record(record.value).previous
    return frozenset(kept_keys)
