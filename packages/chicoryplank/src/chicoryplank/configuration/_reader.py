"""Reader of the configuration in force, from the store or from a peer."""

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

# A part is missing only if the root changed and unreferenced parts were
# collected meanwhile, so each attempt reads a newer root.
_MAX_ATTEMPTS = 5
_CONCURRENT_READS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ExportedConfiguration:
    """Root and parts for a peer.

    Attributes:
        root: Encoded root.
        parts: Encoded parts; the receiver computes their digests.
    """

    root: bytes
    parts: tuple[bytes, ...]


class MissingPartsError(ChicoryplankError):
    """A root names parts that were not supplied.

    Args:
        missing: Digests of the parts.
    """

    def __init__(self, missing: frozenset[str]) -> None:
        super().__init__(
            ErrorCode.INVALID_CONFIGURATION,
            f"{len(missing)} parts are missing: "
            + ", ".join(sorted(missing)[:3]),
        )
        self.missing = missing


class SnapshotReader:
    """Holds the newest configuration seen and never goes back.

    Attributes:
        root: Root of the version held; version 0 at first.
        snapshot: The version held.

    Example:
        >>> reader = SnapshotReader()
        >>> reader.snapshot.version
        0
    """

    def __init__(self) -> None:
        self.root = Root()
        self.snapshot: Snapshot = assemble_snapshot(self.root.version, ())
        self._data: dict[str, bytes] = {}
        self._contents: dict[str, PartContent] = {}

    async def refresh(self, store: Store) -> bool:
        """Reads the root and the parts that changed from the store.

        Args:
            store: The platform's key-value service.

        Returns:
            Whether a higher version was applied.

        Raises:
            StoreError: If the store does not answer; the version held stays.
            ChicoryplankError: With INVALID_CONFIGURATION if the content is
                malformed or parts stay missing.
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
        """Applies a root that was read or watched, reading changed parts.

        Args:
            store: The platform's key-value service.
            data: Encoded root.

        Returns:
            Whether a higher version was applied.

        Raises:
            MissingPartsError: If a part is no longer in the store; a newer
                root is.
        """
        root = decode_root(data)
        if not self._is_newer(root):
            return False
        needed = set(root.parts.values()) - self._data.keys()
        return self._apply(root, await _read_parts(store, needed))

    def export_parts(self, have: Collection[str]) -> ExportedConfiguration:
        """Returns the root and the parts that a peer lacks.

        Args:
            have: Digests of the parts that the peer holds.

        Returns:
            The export; parts are in the order of their digests.
        """
        lacking = set(self.root.parts.values()) - set(have)
        return ExportedConfiguration(
            encode_root(self.root),
            tuple(self._data[digest] for digest in sorted(lacking)),
        )

    def get_digests(self) -> frozenset[str]:
        """Returns the digests of the parts held, to ask a peer for the rest."""
        return frozenset(self._data)

    def import_parts(self, root: bytes, parts: Iterable[bytes]) -> bool:
        """Applies what a peer exported.

        Args:
            root: Encoded root.
            parts: Encoded parts; those already held may be left out.

        Returns:
            Whether a higher version was applied.

        Raises:
            ChicoryplankError: With INVALID_CONFIGURATION if the content is
                malformed; MissingPartsError, a subclass, if parts are
                missing. The version held stays.
        """
        decoded = decode_root(root)
        if not self._is_newer(decoded):
            return False
        supplied = {digest_bytes(data): data for data in parts}
        return self._apply(decoded, supplied)

    def _is_newer(self, root: Root) -> bool:
        if root.version == self.root.version:
            require(
                root.parts == self.root.parts,
                "one_configuration_per_version",
                f"version {root.version} was seen with different parts",
            )
        return root.version > self.root.version

    def _apply(self, root: Root, supplied: Mapping[str, bytes]) -> bool:
        """Applies a root whose parts are held or supplied, without waiting.

        The version is compared again, because another call may have applied
        a higher one while this one was reading.
        """
        if not self._is_newer(root):
            return False
        available = {**supplied, **self._data}
        needed = frozenset(root.parts.values())
        missing = needed - available.keys()
        if missing:
            raise MissingPartsError(missing)
        contents = {
            digest: self._contents.get(digest)
            or _decode_checked(name, available[digest])
            for name, digest in root.parts.items()
        }
        self.snapshot = assemble_snapshot(root.version, contents.values())
        self.root = root
        self._contents = contents
        self._data = {digest: available[digest] for digest in needed}
        return True


def _decode_checked(name: str, data: bytes) -> PartContent:
    if len(data) > MAX_PART_BYTES:
        raise ChicoryplankError(
            ErrorCode.INVALID_CONFIGURATION,
            f"part {name} has {len(data)} bytes, allowed are {MAX_PART_BYTES}",
        )
    return decode_part(name, data)


async def _read_parts(
    store: Store, digests: Collection[str]
) -> dict[str, bytes]:
    """Reads parts and verifies their digests; absent parts are left out."""
    gate = asyncio.Semaphore(_CONCURRENT_READS)

    async def read(digest: str) -> tuple[str, bytes | None]:
        async with gate:
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
