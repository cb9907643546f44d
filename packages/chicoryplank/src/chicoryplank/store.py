"""The platform's key-value service as the library sees it."""

import dataclasses
import enum
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Protocol

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A value in the store.

    Attributes:
        key: Key of the record.
        value: Bytes, at most one megabyte.
        revision: Revision of the store at which the record last changed.
    """

    key: str
    value: bytes
    revision: int


class SwapOutcome(enum.Enum):
    """Result of a compare-and-swap that the store answered."""

    SWAPPED = "swapped"
    CONFLICT = "conflict"


class StoreError(ChicoryplankError):
    """The store did not answer in time or answered with an error.

    Args:
        message: What happened.
        verdict: NOT_RUN if the call had no effect, MAY_HAVE_RUN if a write
            may have taken effect; the caller must read back.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(
            ErrorCode.STORE_UNAVAILABLE,
            message,
            verdict,
            retry_after=timedelta(seconds=1),
        )


class Store(Protocol):
    """Compare-and-swap, leases and watches on keys."""

    async def read(self, key: str) -> Record | None:
        """Returns the record of a key, or None if there is none.

        Raises:
            StoreError: If the store does not answer.
        """

    async def read_prefix(self, prefix: str) -> tuple[Record, ...]:
        """Returns the records whose keys start with a prefix, by key."""

    async def swap(
        self, key: str, value: bytes, expected_revision: int, lease: int = 0
    ) -> tuple[SwapOutcome, int]:
        """Writes a value if the key is still at the expected revision.

        Args:
            key: Key to write.
            value: New value.
            expected_revision: Revision that the caller read; 0 if the key must
                not exist.
            lease: Lease that the key is attached to; 0 for none.

        Returns:
            The outcome and the revision of the store after the call.

        Raises:
            StoreError: With verdict MAY_HAVE_RUN if the answer was lost.
        """

    async def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Deletes a key if it is still at the expected revision."""

    async def grant_lease(self, duration: timedelta) -> int:
        """Returns the id of a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has lapsed."""

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys attached to it."""

    def watch(self, key: str) -> AsyncIterator[Record]:
        """Yields the record each time it changes; one call of the store.

        The iteration ends with a StoreError when the connection breaks.
        """
