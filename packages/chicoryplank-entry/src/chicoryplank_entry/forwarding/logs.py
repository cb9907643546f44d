"""Structured log lines on standard output that never block the process."""

import asyncio
import collections
import json
import os
from collections.abc import Callable
from datetime import datetime

import logbook

from chicoryplank.events import Event

# Lines that wait for the output; further ones are counted and dropped.
_MAX_WAITING = 4_000
_FLUSH_S = 0.2
_STANDARD_OUTPUT = 1
# Bytes of one write; pipes take at least as much once they are drained.
_WRITE_BYTES = 65_536


class LineWriter(logbook.Handler):
    """Writes each event as one JSON object.

    Args:
        now: Returns the wall-clock time.
        name: Name of this process in each line.
        descriptor: File descriptor of the output.
    """

    def __init__(
        self,
        now: Callable[[], datetime],
        name: str,
        descriptor: int = _STANDARD_OUTPUT,
    ) -> None:
        super().__init__(level=logbook.INFO)
        self._now = now
        self._name = name
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._dropped = 0
        self._task: asyncio.Task | None = None

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues one line, or counts it if too many wait."""
        if len(self._lines) >= _MAX_WAITING:
            self._dropped += 1
            return
        moment: datetime = self._now()
        fields = {
            "time": moment.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "process": self._name,
            "event": record.extra.get("event"),
        }
        details = record.extra.get("fields")
        if details:
            fields.update(details)
        else:
            fields["message"] = record.message
        line = json.dumps(fields, default=str, separators=(",", ":"))
        self._lines.append(line.encode() + b"\n")

    async def start(self) -> None:
        """Begins to write in the background."""
        os.set_blocking(self._descriptor, False)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Writes what the output takes and ends."""
        if self._task is not None:
            self._task.cancel()
        self.flush()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Writes waiting lines as far as the output takes them at once."""
        if self._dropped:
            notice = {
                "process": self._name,
                "event": Event.LINES_DROPPED.number,
                "count": self._dropped,
            }
            self._dropped = 0
            self._lines.append(json.dumps(notice).encode() + b"\n")
        while self._lines or self._rest:
            if len(self._rest) < _WRITE_BYTES and self._lines:
                self._rest += b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._rest[:_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; there is nowhere to report it.
                self._rest = b""
                return
            self._rest = self._rest[written:]
