"""Coalescing of stream output: many readers are woken at the same time."""

import asyncio

from chicoryplank.attempts import Attempt

# A write to a caller takes about 30 us, so 8,000 writes per second use a
# quarter of a core. At higher token rates, several tokens share one write.
_MAX_WRITES_PER_S = 8_000
# Half of the 40 ms that are permitted between two tokens of a stream.
_MAX_DELAY_S = 0.02
# With a shorter delay, too few streams are woken together to save processor
# time.
_MIN_DELAY_S = 0.002


class OutputPacer:
    """Delays the wake-up of readers in proportion to the number of streams.

    Args:
        count_streams: Returns the number of attempts in progress.
    """

    def __init__(self, count_streams) -> None:
        self._count_streams = count_streams
        self._delayed: list[Attempt] = []

    def wake(self, attempt: Attempt) -> None:
        """Wakes the reader of an attempt, at once or with the next batch."""
        delay_s = self._count_streams() / _MAX_WRITES_PER_S
        if delay_s < _MIN_DELAY_S:
            attempt.wake()
            return
        if not self._delayed:
            loop = asyncio.get_running_loop()
            loop.call_later(min(delay_s, _MAX_DELAY_S), self._wake_all)
        self._delayed.append(attempt)

    def _wake_all(self) -> None:
        delayed, self._delayed = self._delayed, []
        for attempt in delayed:
            attempt.wake()
