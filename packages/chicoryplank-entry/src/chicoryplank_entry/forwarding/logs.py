"""Structured log output on standard output that never blocks the process."""

import asyncio
import collections
import json
import os
from collections.abc import Callable
from datetime import datetime

import logbook

from chicoryplank.events import Event

# Maximum number of queued lines; further lines are dropped and counted.
_MAX_QUEUED_LINES = 4_000
_FLUSH_INTERVAL_S = 0.2
_STANDARD_OUTPUT = 1
# Maximum size of one write, in bytes; an empty pipe accepts at least as much.
_MAX_WRITE_BYTES = 65_536


class LineWriter(logbook.Handler):
    """Log handler that writes each event as one JSON object.

    Args:
        now: Returns the wall-clock time.
        name: Process name to include in each line.
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
        self._unwritten = b""
        self._dropped = 0
        self._task: asyncio.Task | None = None

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues one line, or drops and counts it if the queue is full."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
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
        """Starts to write in the background."""
        os.set_blocking(self._descriptor, False)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Writes as many lines as the output accepts and stops."""
        if self._task is not None:
            self._task.cancel()
        self.flush()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Writes queued lines as far as the output accepts them now."""
        if self._dropped:
            notice = {
                "process": self._name,
                "event": Event.LINES_DROPPED.number,
                "count": self._dropped,
            }
            self._dropped = 0
            self._lines.append(json.dumps(notice).encode() + b"\n")
        while self._lines or self._unwritten:
            if len(self._unwritten) < _MAX_WRITE_BYTES and self._lines:
                self._unwritten += b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(
                    self._descriptor, self._unwritten[:_MAX_WRITE_BYTES]
                )
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, and the error cannot be reported
                # elsewhere.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]
