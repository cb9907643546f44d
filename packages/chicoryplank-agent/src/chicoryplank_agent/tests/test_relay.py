"""Tests of the relay service with a fake connection and backend."""

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
from chicoryplank_agent.relay import Drain, RelayService
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
    """Backend server whose output the test provides piece by piece."""

    def __init__(self):
        self.pieces = asyncio.Queue()

    async def send(self, request):
        del request
        return BackendResponse(200, (), self._read())

    async def _read(self):
        while piece := await self.pieces.get():
            yield piece

    async def cancel(self, request_id):
        del request_id


class _Stream:
    """Connection of an entry."""

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

    def cut(self):
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


async def _settle():
    for _ in range(5):
        await asyncio.sleep(0.005)


class TestRelayService(testtools.TestCase):
    """Replay after a reconnect and refusal while draining."""

    def _make_service(self, backend):
        clock = SystemClock()
        table = AgentAttemptTable(clock, RequestLimits(), timedelta())
        return RelayService(
            _SETTINGS, Incarnation("agent-1-a"), clock, table, backend
        )

    def test_output_does_not_overtake_the_replay(self):
        """Guards against a gap when output arrives before the resume."""

        async def run():
            backend = _Backend()
            service = self._make_service(backend)
            first = _Stream()
            first.send(starts=[_make_start(1)])
            connection = asyncio.create_task(service.Exchange(first))
            backend.pieces.put_nowait(b"abc")
            await _settle()
            first.cut()
            await connection
            backend.pieces.put_nowait(b"def")
            await _settle()
            second = _Stream()
            second.send()
            connection = asyncio.create_task(service.Exchange(second))
            await _settle()
            backend.pieces.put_nowait(b"ghi")
            await _settle()
            early = second.read_chunks()
            second.send(resumes=[relay_pb2.Position(attempt=1, offset=3)])
            await _settle()
            backend.pieces.put_nowait(b"jkl")
            await _settle()
            second.cut()
            await connection
            return early, second.read_chunks()

        early, chunks = asyncio.run(run())
        self.assertEqual([], early)
        self.assertEqual([(3, b"defghi"), (9, b"jkl")], chunks)

    def test_late_first_message_does_not_replace_a_connection(self):
        """Guards against output that goes to a connection that was given up."""

        async def run():
            backend = _Backend()
            service = self._make_service(backend)
            newer = _Stream()
            newer.send(connection=2, starts=[_make_start(1)])
            connection = asyncio.create_task(service.Exchange(newer))
            await _settle()
            older = _Stream()
            older.send(connection=1)
            rejected = asyncio.create_task(service.Exchange(older))
            await _settle()
            older.cut()
            await asyncio.gather(rejected, return_exceptions=True)
            backend.pieces.put_nowait(b"abc")
            await _settle()
            newer.cut()
            await connection
            return newer.read_chunks()

        self.assertEqual([(0, b"abc")], asyncio.run(run()))

    def test_leaving_instance_refuses_new_work(self):
        """Guards against new work after the entry said that it leaves."""

        async def run():
            service = self._make_service(_Backend())
            stream = _Stream()
            stream.send(config_version=3, leaving=True)
            stream.send(config_version=2, leaving=False)
            stream.send(config_version=2, starts=[_make_start(1)])
            connection = asyncio.create_task(service.Exchange(stream))
            await _settle()
            stream.cut()
            await connection
            return [
                (frame.code, frame.verdict)
                for batch in stream.batches
                for frame in batch.refused
            ]

        self.assertEqual([("CP1208", "not_run")], asyncio.run(run()))


class TestDrain(testtools.TestCase):
    """When an agent rejects new work."""

    def _observe(self, drain, entry, stopping):
        batch = relay_pb2.EntryBatch(entry=entry, stopping=stopping)
        drain.observe(Incarnation(entry), batch)
        return drain.is_active

    def test_lagging_list_does_not_keep_a_successor_out(self):
        """Guards against a replaced agent that rejects work for ever."""
        drain = Drain()
        states = [
            self._observe(drain, "entry-1", True),
            self._observe(drain, "entry-1", False),
        ]
        self.assertEqual([True, False], states)

    def test_one_entry_that_knows_is_enough(self):
        """Guards against new work through entries with an older list."""
        drain = Drain()
        states = [
            self._observe(drain, "entry-1", True),
            self._observe(drain, "entry-2", False),
            self._observe(drain, "entry-1", False),
        ]
        self.assertEqual([True, True, False], states)
