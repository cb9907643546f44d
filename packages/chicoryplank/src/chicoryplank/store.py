"""Interface of the platform's key-value store."""

import dataclasses
import enum
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Protocol

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key and its value in the store.

    Attributes:
        key: Key of the record.
        value: Stored bytes, at most one megabyte.
        revision: Store revision at which the record last changed. It contains
            the era of a store that may be restored (chicoryplank.eras).
    """

    key: str
    value: bytes
    revision: int


class SwapOutcome(enum.Enum):
    """Result of a compare-and-swap to which the store responded."""

    SWAPPED = "swapped"
    CONFLICT = "conflict"


class StoreError(ChicoryplankError):
    """The store did not respond in time or responded with an error.

    Args:
        message: Description of the failure.
        verdict: NOT_RUN if the call had no effect; MAY_HAVE_RUN if a write may
            have taken effect, so that the caller must read the key again.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(
            ErrorCode.STORE_UNAVAILABLE,
            message,
            verdict,
            retry_after=timedelta(seconds=1),
        )


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches."""

    async def read(self, key: str) -> Record | None:
        """Returns the record of a key, or None if there is none.

        Raises:
            StoreError: If the store does not respond.
        """

    async def read_prefix(self, prefix: str) -> tuple[Record, ...]:
        """Returns the records whose keys start with a prefix, sorted by key."""

    async def swap(
        self, key: str, value: bytes, expected_revision: int, lease: int = 0
    ) -> tuple[SwapOutcome, int]:
        """Writes a value if the key is still at the expected revision.

        Args:
            key: Key to write.
            value: New value.
            expected_revision: Revision of the record that the caller read; 0 if
                the key must not exist.
            lease: Id of the lease to attach the key to; 0 for none.

        Returns:
            The outcome and the store revision after the call.

        Raises:
            StoreError: With verdict MAY_HAVE_RUN if the response was lost.
        """

    async def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Deletes a key if it is still at the expected revision."""

    async def grant_lease(self, duration: timedelta) -> int:
        """Creates a lease and returns its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys attached to it."""

    def watch(self, key: str) -> AsyncIterator[Record]:
        """Yields the record of a key each time it changes.

        A watch is one call to the store. The iteration ends with a StoreError
        when the connection breaks.
        """
