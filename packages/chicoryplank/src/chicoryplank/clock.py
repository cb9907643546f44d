"""The clock as an interface, so that tests and benchmarks drive time."""

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock time, boot time and sleep."""

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""

    def elapsed(self) -> timedelta:
        """Returns the time since boot, which includes suspended time."""

    async def sleep(self, duration: timedelta) -> None:
        """Waits for a duration."""


class SystemClock:
    """Clock of the operating system.

    Leases are measured with the boot-time clock, because the monotonic clock
    may stop while an instance is suspended.
    """

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Returns the time since boot, which includes suspended time."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        """Waits for a duration."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """Clock that moves only when told to.

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
        self._order = itertools.count()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future]] = []

    def now(self) -> datetime:
        """Returns the start time plus the time advanced so far."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Returns the time advanced so far."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Waits until the clock has been advanced by the duration."""
        future = asyncio.get_running_loop().create_future()
        entry = (self._elapsed + duration, next(self._order), future)
        heapq.heappush(self._sleepers, entry)
        await future

    def advance(self, duration: timedelta) -> None:
        """Moves the clock forward and wakes the sleepers that are due."""
        if duration < timedelta():
            raise ValueError(f"duration must not be negative: {duration}")
        self._elapsed += duration
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            future = heapq.heappop(self._sleepers)[2]
            if not future.done():
                future.set_result(None)
