"""Frames that wait for the next message to an entry."""

import asyncio
from datetime import timedelta

from chicoryplank.attempts import AttemptRecord
from chicoryplank.errors import ChicoryplankError
from chicoryplank_wire import relay_pb2


class Outbox:
    """Collects frames and tells the writer when to send them.

    Output of many attempts shares one message. A response head, an end and
    a rejection are urgent; further output waits for the flush interval.

    Args:
        flush_interval: Longest wait of output that is not urgent.

    Attributes:
        attached: Attempts whose output goes to this connection. After a
            reconnect an attempt is attached once the entry resumed it, so
            that no output overtakes the replay.
    """

    def __init__(self, flush_interval: timedelta) -> None:
        self.attached: set[int] = set()
        self._interval_s = flush_interval.total_seconds()
        self._batch = relay_pb2.AgentBatch()
        self._ready = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    def add_accepted(self, record: AttemptRecord) -> None:
        """Queues the head of a response."""
        frame = self._batch.accepted.add()
        frame.attempt = record.key.sequence
        frame.status = record.status
        for name, value in record.headers:
            frame.headers.add(name=name, value=value)
        self._ready.set()

    def carries(self, record: AttemptRecord) -> bool:
        """Tells whether output of an attempt goes to this connection."""
        return record.key.sequence in self.attached

    def add_chunk(
        self, record: AttemptRecord, offset: int, data: bytes
    ) -> None:
        """Queues output; the first output of an attempt is urgent."""
        self._batch.chunks.add(
            attempt=record.key.sequence, offset=offset, data=data
        )
        if offset == 0:
            self._ready.set()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._interval_s, self._ready.set)

    def add_end(self, record: AttemptRecord) -> None:
        """Queues the end marker of a response."""
        self._batch.ends.add(
            attempt=record.key.sequence, total_bytes=record.total_bytes
        )
        self.attached.discard(record.key.sequence)
        self._ready.set()

    def add_refused(self, sequence: int, error: ChicoryplankError) -> None:
        """Queues a rejection or a failure."""
        retry_after = error.retry_after
        self.attached.discard(sequence)
        self._batch.refused.add(
            attempt=sequence,
            code=error.code.value,
            message=error.message,
            verdict=error.verdict.value,
            retry_after_ms=(
                0
                if retry_after is None
                else max(1, round(retry_after.total_seconds() * 1000))
            ),
        )
        self._ready.set()

    def add_settled(self, sequence: int, started: bool) -> None:
        """Queues the answer to a settle frame."""
        self._batch.settled.add(attempt=sequence, started=started)
        self._ready.set()

    def wake(self) -> None:
        """Makes the writer send a message even if no frame waits."""
        self._ready.set()

    async def take(self) -> relay_pb2.AgentBatch:
        """Waits until a message is due and returns it."""
        await self._ready.wait()
        self._ready.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch, self._batch = self._batch, relay_pb2.AgentBatch()
        return batch
