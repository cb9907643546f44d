"""Coalesces output: readers of many streams wake at common times."""

import asyncio

from chicoryplank.attempts import Attempt

# A write to a caller costs about 30 us, so this many writes take a quarter of
# a core; the rest of the tokens share writes.
_MAX_WRITES_PER_S = 8_000
# Half of the 40 ms that callers may wait between tokens.
_MAX_WINDOW_S = 0.02
# Shorter waits save nothing, since few streams would share them.
_MIN_WINDOW_S = 0.002


class OutputPacer:
    """Delays the wake-up of readers by a window that grows with load.

    Args:
        count_streams: Returns the number of open attempts.
    """

    def __init__(self, count_streams) -> None:
        self._count_streams = count_streams
        self._waiting: list[Attempt] = []

    def wake(self, attempt: Attempt) -> None:
        """Wakes the reader of an attempt, at once or with the next group."""
        window_s = self._count_streams() / _MAX_WRITES_PER_S
        if window_s < _MIN_WINDOW_S:
            attempt.wake()
            return
        if not self._waiting:
            loop = asyncio.get_running_loop()
            loop.call_later(min(window_s, _MAX_WINDOW_S), self._wake_all)
        self._waiting.append(attempt)

    def _wake_all(self) -> None:
        waiting, self._waiting = self._waiting, []
        for attempt in waiting:
            attempt.wake()
