"""Clock interface, so that tests and benchmarks can control time."""

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Wall-clock time, time since boot, and sleep."""

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""

    def elapsed(self) -> timedelta:
        """Returns the time since boot, which includes suspended time."""

    async def sleep(self, duration: timedelta) -> None:
        """Suspends the calling task for a duration."""


class SystemClock:
    """Clock of the operating system.

    Elapsed time is read from the boot-time clock: the monotonic clock may stop
    while an instance is suspended, which would extend its leases.
    """

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Returns the time since boot, which includes suspended time."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        """Suspends the calling task for a duration."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """Clock that advances only on request, for tests and benchmarks.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(timedelta(seconds=2))
        >>> clock.elapsed()
        datetime.timedelta(seconds=2)
    """

    def __init__(
        self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)
    ) -> None:
        self._start = start
        self._elapsed = timedelta()
        self._sequence = itertools.count()
        self._waiting: list[tuple[timedelta, int, asyncio.Future]] = []

    def now(self) -> datetime:
        """Returns the start time plus the time advanced so far."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Returns the time advanced so far."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Suspends the task until the clock has advanced by the duration."""
        future = asyncio.get_running_loop().create_future()
        entry = (self._elapsed + duration, next(self._sequence), future)
        heapq.heappush(self._waiting, entry)
        await future

    def advance(self, duration: timedelta) -> None:
        """Advances the time and wakes the tasks whose sleep has ended."""
        if duration < timedelta():
            raise ValueError(f"duration must not be negative: {duration}")
        self._elapsed += duration
        while self._waiting and self._waiting[0][0] <= self._elapsed:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():
                future.set_result(None)
