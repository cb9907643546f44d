"""Tests of the relay service with a fake connection and backend server."""

import asyncio
from datetime import timedelta

import testtools

from chicoryplank.attempts import AgentAttemptTable
from chicoryplank.clock import SystemClock
from chicoryplank.configuration import (
    AgentSettings,
    RequestLimits,
    StoreSettings,
)
from chicoryplank.ids import Incarnation, InstanceId, ZoneId
from chicoryplank_agent.backend import BackendResponse
from chicoryplank_agent.relay import DrainState, RelayService
from chicoryplank_wire import relay_pb2

_SETTINGS = AgentSettings(
    InstanceId("agent-1"),
    ZoneId("toolroom"),
    "toolroom-llm",
    "127.0.0.1:1",
    "127.0.0.1:2",
    StoreSettings("127.0.0.1:3"),
    flush_interval=timedelta(milliseconds=1),
)


class _Backend:
    """Fake backend server whose output the test provides in chunks."""

    def __init__(self):
        self.chunks = asyncio.Queue()

    async def send(self, request):
        del request
        return BackendResponse(200, (), self._read())

    async def _read(self):
        while chunk := await self.chunks.get():
            yield chunk

    async def cancel(self, request_id):
        del request_id


class _Stream:
    """Fake connection of an entry."""

    def __init__(self):
        self.to_agent = asyncio.Queue()
        self.batches = []

    async def recv_message(self):
        return await self.to_agent.get()

    async def send_message(self, batch):
        self.batches.append(batch)

    def send(self, **fields):
        batch = relay_pb2.EntryBatch(
            entry="entry-1", incarnation="entry-1-a", **fields
        )
        self.to_agent.put_nowait(batch)

    def disconnect(self):
        self.to_agent.put_nowait(None)

    def read_chunks(self):
        return [
            (chunk.offset, chunk.data)
            for batch in self.batches
            for chunk in batch.chunks
        ]


def _make_start(attempt):
    return relay_pb2.Start(
        attempt=attempt,
        account="estimating",
        group="toolroom-llm",
        budget_ms=60_000,
        deadline_unix_ms=2**42,
        method="POST",
        path="/v1/completions",
        repeatable=True,
    )


async def _wait_for_delivery():
    for _ in range(5):
        await asyncio.sleep(0.005)


class TestRelayService(testtools.TestCase):
    """Tests of replay after a reconnect and of rejection while draining."""

    def _make_service(self, backend):
        clock = SystemClock()
        table = AgentAttemptTable(clock, RequestLimits(), timedelta())
        return RelayService(
            _SETTINGS, Incarnation("agent-1-a"), clock, table, backend
        )

    def test_new_output_is_not_sent_before_the_replay(self):
        """Guards against a gap if output arrives before the resume frame."""

        async def run():
            backend = _Backend()
            service = self._make_service(backend)
            first = _Stream()
            first.send(starts=[_make_start(1)])
            connection = asyncio.create_task(service.Exchange(first))
            backend.chunks.put_nowait(b"abc")
            await _wait_for_delivery()
            first.disconnect()
            await connection
            backend.chunks.put_nowait(b"def")
            await _wait_for_delivery()
            second = _Stream()
            second.send()
            connection = asyncio.create_task(service.Exchange(second))
            await _wait_for_delivery()
            backend.chunks.put_nowait(b"ghi")
            await _wait_for_delivery()
            chunks_before_resume = second.read_chunks()
            second.send(resumes=[relay_pb2.Position(attempt=1, offset=3)])
            await _wait_for_delivery()
            backend.chunks.put_nowait(b"jkl")
            await _wait_for_delivery()
            second.disconnect()
            await connection
            return chunks_before_resume, second.read_chunks()

        chunks_before_resume, chunks = asyncio.run(run())
        self.assertEqual([], chunks_before_resume)
        self.assertEqual([(3, b"defghi"), (9, b"jkl")], chunks)

    def test_late_first_message_does_not_replace_a_connection(self):
        """Guards against output sent to an abandoned connection.

        The first message of an older connection may arrive after that of a
        newer one.
        """

        async def run():
            backend = _Backend()
            service = self._make_service(backend)
            newer = _Stream()
            newer.send(connection=2, starts=[_make_start(1)])
            connection = asyncio.create_task(service.Exchange(newer))
            await _wait_for_delivery()
            older = _Stream()
            older.send(connection=1)
            rejected = asyncio.create_task(service.Exchange(older))
            await _wait_for_delivery()
            older.disconnect()
            await asyncio.gather(rejected, return_exceptions=True)
            backend.chunks.put_nowait(b"abc")
            await _wait_for_delivery()
            newer.disconnect()
            await connection
            return newer.read_chunks()

        self.assertEqual([(0, b"abc")], asyncio.run(run()))

    def test_draining_instance_rejects_new_work(self):
        """Guards against new work at an instance that is draining."""

        async def run():
            service = self._make_service(_Backend())
            stream = _Stream()
            stream.send(config_version=3, leaving=True)
            stream.send(config_version=2, leaving=False)
            stream.send(config_version=2, starts=[_make_start(1)])
            connection = asyncio.create_task(service.Exchange(stream))
            await _wait_for_delivery()
            stream.disconnect()
            await connection
            return [
                (frame.code, frame.verdict)
                for batch in stream.batches
                for frame in batch.refused
            ]

        self.assertEqual([("CP1208", "not_run")], asyncio.run(run()))


class TestDrainState(testtools.TestCase):
    """Tests of when an agent rejects new work."""

    def _observe(self, drain, entry, stopping):
        batch = relay_pb2.EntryBatch(entry=entry, stopping=stopping)
        drain.observe(Incarnation(entry), batch)
        return drain.is_active

    def test_delayed_list_does_not_block_the_successor(self):
        """Guards against a successor that rejects work for good.

        An entry with a delayed instance list reports that the instance is about
        to stop, because the list still shows its predecessor.
        """
        drain = DrainState()
        states = [
            self._observe(drain, "entry-1", True),
            self._observe(drain, "entry-1", False),
        ]
        self.assertEqual([True, False], states)

    def test_one_entry_is_enough_to_start_draining(self):
        """Guards against new work sent by entries with an older list."""
        drain = DrainState()
        states = [
            self._observe(drain, "entry-1", True),
            self._observe(drain, "entry-2", False),
            self._observe(drain, "entry-1", False),
        ]
        self.assertEqual([True, True, False], states)
