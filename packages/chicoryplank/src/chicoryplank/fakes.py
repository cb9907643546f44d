"""In-memory store and event loop for tests, benchmarks and embedding."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.eras import (
    join_lease,
    join_revision,
    split_lease,
    split_revision,
)
from chicoryplank.store import Record, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict


class MemoryStore:
    """In-memory store with faults.

    It can be unavailable, lose responses, delay writes and be restored from an
    older copy. Inside, revisions and lease ids are those of the present era.

    Args:
        clock: Clock that determines when leases expire.

    Attributes:
        available: Whether the store responds; while it is False, every call
            fails.
        lose_answers: Number of further writes that take effect but whose
            response is lost.
        delay_writes: Number of further writes that time out and take effect
            only when apply_delayed is called.
        calls: Number of calls received.
        era: Number of times that the store was restored.
    """

    def __init__(self, clock: Clock) -> None:
        self.available = True
        self.lose_answers = 0
        self.delay_writes = 0
        self.calls = 0
        self._delayed: list[Callable[[], object]] = []
        self.era = 0
        self._clock = clock
        self._revision = 0
        self._records: dict[str, Record] = {}
        self._attached: dict[str, int] = {}
        self._leases: dict[int, tuple[timedelta, timedelta]] = {}
        self._changed = asyncio.Event()

    def copy_state(self) -> object:
        """Returns a copy of the content, for `restore`."""
        return (
            self._revision,
            dict(self._records),
            dict(self._attached),
            dict(self._leases),
        )

    def restore(self, state: object) -> None:
        """Replaces the content by an older copy and begins a new era.

        The leases of the copy run for their whole duration again.

        Args:
            state: Result of `copy_state`.
        """
        revision, records, attached, leases = state
        self._revision = revision
        self._records = dict(records)
        self._attached = dict(attached)
        now = self._clock.elapsed()
        self._leases = {
            lease: (now + duration, duration)
            for lease, (_, duration) in leases.items()
        }
        self.era += 1
        self._signal()

    def _begin_call(self) -> None:
        self.calls += 1
        if not self.available:
            raise StoreError("the store is down", Verdict.NOT_RUN)
        elapsed = self._clock.elapsed()
        expired = [
            lease for lease, (end, _) in self._leases.items() if end <= elapsed
        ]
        for lease in expired:
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
            raise StoreError("the response was lost", Verdict.MAY_HAVE_RUN)

    def _get_revision(self, key: str) -> int:
        record = self._records.get(key)
        return 0 if record is None else record.revision

    async def read(self, key: str) -> Record | None:
        """Returns the record of a key, or None if there is none."""
        self._begin_call()
        return self._export(self._records.get(key))

    def _export(self, record: Record | None) -> Record | None:
        """Adds the era to the revision of a record."""
        if record is None:
            return None
        revision = join_revision(self.era, record.revision)
        return dataclasses.replace(record, revision=revision)

    async def read_prefix(self, prefix: str) -> tuple[Record, ...]:
        """Returns the records whose keys start with a prefix, sorted by key."""
        self._begin_call()
        keys = sorted(key for key in self._records if key.startswith(prefix))
        return tuple(self._export(self._records[key]) for key in keys)

    async def swap(
        self, key: str, value: bytes, expected_revision: int, lease: int = 0
    ) -> tuple[SwapOutcome, int]:
        """Writes a value if the key is still at the expected revision."""
        self._begin_call()
        expected_era, expected_number = split_revision(expected_revision)
        lease_era, lease_number = split_lease(lease)
        if (expected_revision and expected_era != self.era) or (
            lease and lease_era != self.era
        ):
            return SwapOutcome.CONFLICT, join_revision(self.era, self._revision)

        def apply() -> tuple[SwapOutcome, int]:
            return self._apply_swap(key, value, expected_number, lease_number)

        self._check_delay(apply)
        outcome, revision = apply()
        if outcome is SwapOutcome.SWAPPED:
            self._end_write()
        return outcome, join_revision(self.era, revision)

    def _apply_swap(
        self, key: str, value: bytes, expected_revision: int, lease: int
    ) -> tuple[SwapOutcome, int]:
        if self._get_revision(key) != expected_revision:
            return SwapOutcome.CONFLICT, self._revision
        if lease and lease not in self._leases:
            return SwapOutcome.CONFLICT, self._revision
        self._revision += 1
        self._records[key] = Record(key, value, self._revision)
        self._attached.pop(key, None)
        if lease:
            self._attached[key] = lease
        return SwapOutcome.SWAPPED, self._revision

    async def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Deletes a key if it is still at the expected revision."""
        self._begin_call()
        era, number = split_revision(expected_revision)
        if era != self.era:
            return SwapOutcome.CONFLICT

        def apply() -> SwapOutcome:
            return self._apply_delete(key, number)

        self._check_delay(apply)
        outcome = apply()
        if outcome is SwapOutcome.SWAPPED:
            self._end_write()
        return outcome

    def _apply_delete(self, key: str, expected_revision: int) -> SwapOutcome:
        if self._get_revision(key) != expected_revision:
            return SwapOutcome.CONFLICT
        self._records.pop(key, None)
        self._attached.pop(key, None)
        self._revision += 1
        return SwapOutcome.SWAPPED

    def _check_delay(self, apply: Callable[[], object]) -> None:
        if self.delay_writes > 0:
            self.delay_writes -= 1
            self._delayed.append(apply)
            raise StoreError("the write timed out", Verdict.MAY_HAVE_RUN)

    @property
    def delayed(self) -> int:
        """Number of timed-out writes that have not yet been applied."""
        return len(self._delayed)

    def apply_delayed(self, index: int) -> None:
        """Applies a timed-out write if its expected revision still matches.

        Args:
            index: Position among the delayed writes, oldest first.
        """
        self._delayed.pop(index)()
        self._signal()

    async def grant_lease(self, duration: timedelta) -> int:
        """Creates a lease and returns its id."""
        self._begin_call()
        self._revision += 1
        self._leases[self._revision] = (
            self._clock.elapsed() + duration,
            duration,
        )
        return join_lease(self.era, self._revision)

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        self._begin_call()
        era, number = split_lease(lease)
        if era != self.era or number not in self._leases:
            return False
        duration = self._leases[number][1]
        self._leases[number] = (self._clock.elapsed() + duration, duration)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys attached to it."""
        self._begin_call()
        era, number = split_lease(lease)
        if era == self.era:
            self._end_lease(number)

    async def watch(self, key: str) -> AsyncIterator[Record]:
        """Yields the record of a key each time it changes."""
        self._begin_call()
        seen = self._get_revision(key)
        while True:
            changed = self._changed
            if not self.available:
                raise StoreError("the store is down", Verdict.NOT_RUN)
            record = self._records.get(key)
            if record is not None and record.revision != seen:
                seen = record.revision
                yield self._export(record)
                continue
            await changed.wait()


class ManualEventLoop(asyncio.BaseEventLoop):
    """Event loop without I/O that takes its time from a given clock.

    Tasks run only inside run_ready, so that a test decides when each simulated
    process makes progress.

    Args:
        clock: Clock that provides the time of the loop.

    Attributes:
        failures: Exceptions that were not handled by any task.

    Example:
        >>> from chicoryplank.clock import ManualClock
        >>> loop = ManualEventLoop(ManualClock())
        >>> loop.run_until_complete(asyncio.sleep(0, "done"))
        'done'
        >>> loop.stop_all()
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        # BaseEventLoop calls select() of its selector in every iteration.
        self._selector = self
        self.failures: list[BaseException] = []
        self.set_exception_handler(self._record_failure)

    def select(self, timeout: float | None) -> list:
        """Returns no events, because there are no sockets."""
        del timeout
        return []

    def _process_events(self, event_list: list) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _record_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict
    ) -> None:
        del loop
        if isinstance(context.get("exception"), BaseException):
            self.failures.append(context["exception"])

    def time(self) -> float:
        """Returns the elapsed time of the clock in seconds."""
        return self._clock.elapsed().total_seconds()

    def run_ready(self, max_iterations: int = 1000) -> None:
        """Runs callbacks and due timers until every task is waiting.

        Args:
            max_iterations: Loop iterations after which the tasks are taken to
                be running endlessly.

        Raises:
            RuntimeError: If tasks are still ready after max_iterations.
        """
        for _ in range(max_iterations):
            self.call_soon(self.stop)
            self.run_forever()
            due = self._scheduled and self._scheduled[0].when() <= self.time()
            if not self._ready and not due:
                return
        raise RuntimeError(
            f"tasks are still ready after {max_iterations} iterations"
        )

    def stop_all(self) -> None:
        """Cancels all tasks and closes the loop."""
        for task in asyncio.all_tasks(self):
            task.cancel()
        self.run_ready()
        self.close()
