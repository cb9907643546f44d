"""Outgoing frames that are batched into messages to an entry."""

import asyncio
from datetime import timedelta

from chicoryplank.attempts import AttemptRecord
from chicoryplank.errors import ChicoryplankError
from chicoryplank_wire import relay_pb2


class Outbox:
    """Queue of outgoing frames of one connection.

    One message carries the output of many attempts. The head, the first output
    and the end of a response and a rejection are sent at once; other output
    waits for the flush interval.

    Args:
        flush_interval: Maximum delay of output that is not sent at once.

    Attributes:
        attached: Numbers of the attempts whose output is sent on this
            connection. After a reconnect, an attempt is attached when the entry
            resumes it, so that new output is not sent before the replayed
            output.
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

    def is_attached(self, record: AttemptRecord) -> bool:
        """Tells whether the output of an attempt is sent on this connection."""
        return record.key.sequence in self.attached

    def add_chunk(
        self, record: AttemptRecord, offset: int, data: bytes
    ) -> None:
        """Queues output; the first output of an attempt is sent at once."""
        self._batch.chunks.add(
            attempt=record.key.sequence, offset=offset, data=data
        )
        if offset == 0:
            self._ready.set()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._interval_s, self._ready.set)

    def add_end(self, record: AttemptRecord) -> None:
        """Queues the end frame of a response."""
        self._batch.ends.add(
            attempt=record.key.sequence, total_bytes=record.total_bytes
        )
        self.attached.discard(record.key.sequence)
        self._ready.set()

    def add_refused(self, sequence: int, error: ChicoryplankError) -> None:
        """Queues the rejection or the failure of an attempt."""
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
        """Queues the response to a settle frame."""
        self._batch.settled.add(attempt=sequence, started=started)
        self._ready.set()

    def request_send(self) -> None:
        """Makes the next message due at once, even if it contains no frame."""
        self._ready.set()

    async def take_batch(self) -> relay_pb2.AgentBatch:
        """Waits until the next message is due and returns it."""
        await self._ready.wait()
        self._ready.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch, self._batch = self._batch, relay_pb2.AgentBatch()
        return batch
