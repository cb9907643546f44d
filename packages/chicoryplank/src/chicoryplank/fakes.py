"""In-memory store with faults, for tests, benchmarks and embedding."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.store import Record, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict


class MemoryStore:
    """Store in memory that can be unavailable or lose its answers.

    Args:
        clock: Measures leases.

    Attributes:
        available: Whether calls are answered.
        lose_answers: Number of coming writes that take effect but whose
            answer is lost.
        calls: Number of calls so far.
    """

    def __init__(self, clock: Clock) -> None:
        self.available = True
        self.lose_answers = 0
        self.calls = 0
        self._clock = clock
        self._revision = 0
        self._records: dict[str, Record] = {}
        self._attached: dict[str, int] = {}
        self._leases: dict[int, tuple[timedelta, timedelta]] = {}
        self._changed = asyncio.Event()

    def _begin_call(self) -> None:
        self.calls += 1
        if not self.available:
            raise StoreError("the store is down", Verdict.NOT_RUN)
        elapsed = self._clock.elapsed()
        lapsed = [
            lease for lease, (end, _) in self._leases.items() if end <= elapsed
        ]
        for lease in lapsed:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, held in self._attached.items() if held == lease]
        for key in keys:
            del self._attached[key]
            self._records.pop(key, None)
            self._revision += 1
        self._signal()

    def _signal(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_write(self) -> None:
        self._signal()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreError("the answer was lost", Verdict.MAY_HAVE_RUN)

    def _get_revision(self, key: str) -> int:
        record = self._records.get(key)
        return 0 if record is None else record.revision

    async def read(self, key: str) -> Record | None:
        """Returns the record of a key, or None if there is none."""
        self._begin_call()
        return self._records.get(key)

    async def read_prefix(self, prefix: str) -> tuple[Record, ...]:
        """Returns the records whose keys start with a prefix, by key."""
        self._begin_call()
        keys = sorted(key for key in self._records if key.startswith(prefix))
        return tuple(self._records[key] for key in keys)

    async def swap(
        self, key: str, value: bytes, expected_revision: int, lease: int = 0
    ) -> tuple[SwapOutcome, int]:
        """Writes a value if the key is still at the expected revision."""
        self._begin_call()
        if self._get_revision(key) != expected_revision:
            return SwapOutcome.CONFLICT, self._revision
        if lease and lease not in self._leases:
            return SwapOutcome.CONFLICT, self._revision
        self._revision += 1
        self._records[key] = Record(key, value, self._revision)
        self._attached.pop(key, None)
        if lease:
            self._attached[key] = lease
        revision = self._revision
        self._end_write()
        return SwapOutcome.SWAPPED, revision

    async def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Deletes a key if it is still at the expected revision."""
        self._begin_call()
        if self._get_revision(key) != expected_revision:
            return SwapOutcome.CONFLICT
        self._records.pop(key, None)
        self._attached.pop(key, None)
        self._revision += 1
        self._end_write()
        return SwapOutcome.SWAPPED

    async def grant_lease(self, duration: timedelta) -> int:
        """Returns the id of a new lease."""
        self._begin_call()
        self._revision += 1
        self._leases[self._revision] = (
            self._clock.elapsed() + duration,
            duration,
        )
        return self._revision

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has lapsed."""
        self._begin_call()
        if lease not in self._leases:
            return False
        duration = self._leases[lease][1]
        self._leases[lease] = (self._clock.elapsed() + duration, duration)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys attached to it."""
        self._begin_call()
        self._end_lease(lease)

    async def watch(self, key: str) -> AsyncIterator[Record]:
        """Yields the record each time it changes."""
        self._begin_call()
        seen = self._get_revision(key)
        while True:
            changed = self._changed
            if not self.available:
                raise StoreError("the store is down", Verdict.NOT_RUN)
            record = self._records.get(key)
            if record is not None and record.revision != seen:
                seen = record.revision
                yield record
                continue
            await changed.wait()
