"""Reading of the active configuration from the store or from a peer."""

import asyncio
import dataclasses
from collections.abc import Collection, Iterable, Mapping

from chicoryplank.configuration._parts import (
    MAX_PART_BYTES,
    ROOT_KEY,
    PartContent,
    Root,
    assemble_snapshot,
    decode_part,
    decode_root,
    digest_bytes,
    encode_root,
    make_part_key,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.invariants import require
from chicoryplank.store import Store

# A part can be missing only if the root has changed and garbage collection has
# deleted the part since the root was read, so each attempt reads a newer root.
_MAX_ATTEMPTS = 5
_MAX_CONCURRENT_READS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ExportedConfiguration:
    """Root of a version and the parts that a peer needs to apply it.

    Attributes:
        root: Encoded root.
        parts: Encoded parts, without their digests, which the receiver
            computes to verify them.
    """

    root: bytes
    parts: tuple[bytes, ...]


class MissingPartsError(ChicoryplankError):
    """Parts that a root references are missing.

    Args:
        missing: Digests of the missing parts.
    """

    def __init__(self, missing: frozenset[str]) -> None:
        super().__init__(
            ErrorCode.INVALID_CONFIGURATION,
            f"{len(missing)} configuration parts are missing: "
            + ", ".join(sorted(missing)[:3]),
        )
        self.missing = missing


class SnapshotReader:
    """Keeps the newest version seen, and never replaces it by an older one.

    Attributes:
        root: Root of the newest version seen; version 0 at first.
        snapshot: Snapshot of that version.

    Example:
        >>> reader = SnapshotReader()
        >>> reader.snapshot.version
        0
    """

    def __init__(self) -> None:
        self.root = Root()
        self.snapshot: Snapshot = assemble_snapshot(self.root.version, ())
        self._part_data: dict[str, bytes] = {}
        self._part_contents: dict[str, PartContent] = {}

    async def refresh(self, store: Store) -> bool:
        """Reads the root and the changed parts from the store and applies them.

        Args:
            store: The platform's key-value service.

        Returns:
            Whether a higher version was applied.

        Raises:
            StoreError: If the store does not respond. The snapshot is
                unchanged.
            ChicoryplankError: With INVALID_CONFIGURATION if the content is
                malformed or parts are missing in every attempt. The snapshot
                is unchanged.
        """
        error: MissingPartsError | None = None
        for _ in range(_MAX_ATTEMPTS):
            record = await store.read(ROOT_KEY)
            if record is None:
                return False
            try:
                return await self.apply_root(store, record.value)
            except MissingPartsError as failure:
                error = failure
        raise error

    async def apply_root(self, store: Store, data: bytes) -> bool:
        """Reads the changed parts of a root from the store and applies it.

        Args:
            store: The platform's key-value service.
            data: Encoded root, as read from the store or received by a watch.

        Returns:
            Whether a higher version was applied.

        Raises:
            MissingPartsError: If a part was deleted from the store, which then
                has a newer root.
        """
        root = decode_root(data)
        if not self._is_newer(root):
            return False
        needed = set(root.parts.values()) - self._part_data.keys()
        return self._apply_with_parts(root, await _read_parts(store, needed))

    def export_parts(
        self, held_digests: Collection[str]
    ) -> ExportedConfiguration:
        """Returns the root and the parts that a peer lacks.

        Args:
            held_digests: Digests of the parts that the peer holds.

        Returns:
            The root and the parts, ordered by digest.
        """
        lacking = set(self.root.parts.values()) - set(held_digests)
        return ExportedConfiguration(
            encode_root(self.root),
            tuple(self._part_data[digest] for digest in sorted(lacking)),
        )

    def get_part_digests(self) -> frozenset[str]:
        """Returns the digests of the parts held, for a request to a peer."""
        return frozenset(self._part_data)

    def import_parts(self, root: bytes, parts: Iterable[bytes]) -> bool:
        """Applies a version that a peer exported.

        Args:
            root: Encoded root.
            parts: Encoded parts; parts that this reader holds may be omitted.

        Returns:
            Whether a higher version was applied.

        Raises:
            ChicoryplankError: With INVALID_CONFIGURATION if the content is
                malformed; MissingPartsError, a subclass, if parts are
                missing. The snapshot is unchanged.
        """
        decoded = decode_root(root)
        if not self._is_newer(decoded):
            return False
        supplied_parts = {digest_bytes(data): data for data in parts}
        return self._apply_with_parts(decoded, supplied_parts)

    def _is_newer(self, root: Root) -> bool:
        if root.version == self.root.version:
            require(
                root.parts == self.root.parts,
                "one_configuration_per_version",
                f"version {root.version} was received with different contents",
            )
        return root.version > self.root.version

    def _apply_with_parts(
        self, root: Root, supplied_parts: Mapping[str, bytes]
    ) -> bool:
        """Applies a root whose parts are held or supplied, without awaiting.

        The version is compared again, because a concurrent call may have
        applied a higher one while this call was reading parts.
        """
        if not self._is_newer(root):
            return False
        available = {**supplied_parts, **self._part_data}
        needed = frozenset(root.parts.values())
        missing = needed - available.keys()
        if missing:
            raise MissingPartsError(missing)
        contents = {
            digest: self._part_contents.get(digest)
            or _decode_bounded_part(name, available[digest])
            for name, digest in root.parts.items()
        }
        self.snapshot = assemble_snapshot(root.version, contents.values())
        self.root = root
        self._part_contents = contents
        self._part_data = {digest: available[digest] for digest in needed}
        return True


def _decode_bounded_part(name: str, data: bytes) -> PartContent:
    if len(data) > MAX_PART_BYTES:
        raise ChicoryplankError(
            ErrorCode.INVALID_CONFIGURATION,
            f"part {name} has {len(data)} bytes, the limit is {MAX_PART_BYTES}",
        )
    return decode_part(name, data)


async def _read_parts(
    store: Store, digests: Collection[str]
) -> dict[str, bytes]:
    """Reads parts and verifies their digests; missing parts are omitted."""
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def read(digest: str) -> tuple[str, bytes | None]:
        async with semaphore:
            record = await store.read(make_part_key(digest))
        if record is None:
            return digest, None
        if digest_bytes(record.value) != digest:
            raise ChicoryplankError(
                ErrorCode.INVALID_CONFIGURATION,
                f"the content of part {digest} does not match its digest",
            )
        return digest, record.value

    found = await asyncio.gather(*(read(digest) for digest in sorted(digests)))
    return {digest: data for digest, data in found if data is not None}
