"""Tests of the relay port against malformed and excessive messages."""

import asyncio
import random
from datetime import timedelta

import testtools
from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from chicoryplank.attempts import AgentAttemptTable
from chicoryplank.clock import SystemClock
from chicoryplank.configuration import (
    AgentSettings,
    RequestLimits,
    StoreSettings,
)
from chicoryplank.ids import Incarnation, InstanceId, ZoneId
from chicoryplank_agent.backend import BackendResponse
from chicoryplank_agent.relay import MAX_BATCH_BODIES, RelayService
from chicoryplank_wire import relay_pb2
from chicoryplank_wire.peers import make_server
from chicoryplank_wire.relay_grpc import RelayStub

_TIMEOUT_S = 10
_MAX_UINT64 = 2**64 - 1


class _Backend:
    """Fake backend server that records the requests."""

    def __init__(self):
        self.requests = []

    async def send(self, request):
        self.requests.append(request)
        return BackendResponse(200, (), self._read())

    async def _read(self):
        yield b"done"

    async def cancel(self, request_id):
        del request_id


class _Relay:
    """Relay service of an agent, listening on a free port."""

    def __init__(self, limits):
        settings = AgentSettings(
            InstanceId("agent-1"),
            ZoneId("toolroom"),
            "toolroom-llm",
            "127.0.0.1:1",
            "127.0.0.1:2",
            StoreSettings("127.0.0.1:3"),
            limits=limits,
            flush_interval=timedelta(milliseconds=1),
            grace_period=timedelta(milliseconds=10),
        )
        clock = SystemClock()
        self.table = AgentAttemptTable(clock, limits, timedelta())
        self.backend = _Backend()
        self.service = RelayService(
            settings,
            Incarnation("agent-1-a"),
            clock,
            self.table,
            self.backend,
        )
        self._server = make_server(
            [self.service], MAX_BATCH_BODIES * limits.max_body_bytes
        )
        self._channels = []

    async def start(self):
        """Starts to listen."""
        await self._server.start("127.0.0.1", 0)

    @property
    def port(self):
        """Port on which the service listens."""
        return self._server._server.sockets[0].getsockname()[1]

    def connect(self):
        """Returns a client with a new connection."""
        channel = Channel("127.0.0.1", self.port)
        self._channels.append(channel)
        return RelayStub(channel)

    async def close(self):
        """Closes all connections and stops the server."""
        for channel in self._channels:
            channel.close()
        self._server.close()
        await self._server.wait_closed()


def _run_with_relay(work, **limits):
    async def run():
        relay = _Relay(RequestLimits(**limits))
        await relay.start()
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await work(relay)
        finally:
            await relay.close()

    return asyncio.run(run())


def _make_start(attempt, **changes):
    values = {
        "attempt": attempt,
        "account": "estimating",
        "group": "toolroom-llm",
        "budget_ms": 60_000,
        "deadline_unix_ms": 2**42,
        "method": "POST",
        "path": "/v1/completions",
        "repeatable": True,
    }
    return relay_pb2.Start(**(values | changes))


def _make_batch(**fields):
    return relay_pb2.EntryBatch(
        entry="entry-1", incarnation="entry-1-a", **fields
    )


async def _exchange(relay, *starts):
    """Returns the codes of rejected attempts and the set of ended ones."""
    codes = {}
    ended = set()
    async with relay.connect().Exchange.open() as stream:
        await stream.send_message(_make_batch(starts=starts))
        while len(codes) + len(ended) < len(starts):
            batch = await stream.recv_message()
            codes |= {item.attempt: item.code for item in batch.refused}
            ended |= {item.attempt for item in batch.ends}
        await stream.cancel()
    return codes, ended


async def _get_stream_status(relay, send):
    """Returns the gRPC status with which the agent ends a stream."""
    try:
        async with relay.connect().Exchange.open() as stream:
            await send(stream)
            while await stream.recv_message() is not None:
                continue
    except GRPCError as error:
        return error.status.name
    return None


class TestStart(testtools.TestCase):
    """Tests of start frames that a correct entry would not send."""

    def _assert_rejected(self, code, *changes):
        async def work(relay):
            starts = [
                _make_start(number, **item)
                for number, item in enumerate(changes)
            ]
            codes, ended = await _exchange(
                relay, *starts, _make_start(len(starts))
            )
            return codes, ended, len(relay.backend.requests)

        codes, ended, count = _run_with_relay(work)
        self.assertEqual(dict.fromkeys(range(len(changes)), code), codes)
        self.assertEqual(({len(changes)}, 1), (ended, count))

    def test_injected_lines_are_rejected(self):
        """Guards against header injection and request smuggling."""
        pairs = [
            ("X-Note", "a\r\nX-Client-Account: other"),
            ("X-Note", "a\nb"),
            ("X-Note", "a\0b"),
            ("X-Note", "\udcff".encode(errors="replace").decode() + "\x7f"),
            ("X-Note: a\r\nX", "b"),
            ("X Note", "b"),
            ("", "b"),
            ("X-N\xf6te", "b"),
        ]
        self._assert_rejected(
            "CP1201",
            *(
                {"headers": [relay_pb2.Header(name=name, value=value)]}
                for name, value in pairs
            ),
        )

    def test_connection_headers_are_rejected(self):
        """Guards against headers that contradict those of the agent.

        A second Content-Length, for example, would move the end of the body.
        """
        self._assert_rejected(
            "CP1201",
            *(
                {"headers": [relay_pb2.Header(name=name, value="1")]}
                for name in (
                    "Content-Length",
                    "transfer-encoding",
                    "Connection",
                    "HOST",
                    "X-Request-Id",
                )
            ),
        )

    def test_wrong_paths_and_methods_are_rejected(self):
        """Guards against requests to another host or with two request lines."""
        paths = [
            "",
            "relative",
            "@127.0.0.1:9/",
            "/a b",
            "/a HTTP/1.1\r\nX: y",
            "/a\n",
            "/\u00e4",
            "/" + "a" * 100_000,
        ]
        methods = ["", "GET /x", "GET\r\n", "CONNECT", "get", "TRACE"]
        self._assert_rejected(
            "CP1201",
            *({"path": path} for path in paths),
            *({"method": method} for method in methods),
        )

    def test_large_bodies_are_rejected(self):
        """Guards against a request that exceeds the memory limit."""
        self._assert_rejected("CP1202", {"body": b"x" * 1_048_577})

    def test_out_of_range_deadlines_do_not_end_the_stream(self):
        """Guards against one request that ends the stream of many others."""

        async def work(relay):
            return await _exchange(
                relay,
                _make_start(1, deadline_unix_ms=_MAX_UINT64),
                _make_start(2, deadline_unix_ms=0),
                _make_start(_MAX_UINT64, budget_ms=2**32 - 1),
                _make_start(4, priority=2**32 - 1),
            )

        self.assertEqual(
            ({2: "CP1205"}, {1, _MAX_UINT64, 4}), _run_with_relay(work)
        )

    def test_budget_is_bounded(self):
        """Guards against attempts that stay in the table for weeks."""

        async def work(relay):
            relay.backend.send = _wait_forever
            async with relay.connect().Exchange.open() as stream:
                start = _make_start(1, budget_ms=2**32 - 1)
                await stream.send_message(_make_batch(starts=[start]))
                while not len(relay.table):
                    await asyncio.sleep(0.01)
                (record,) = relay.table.list_records()
                await stream.cancel()
            return record.deadline - SystemClock().elapsed()

        self.assertLessEqual(_run_with_relay(work), RequestLimits().max_timeout)


async def _wait_forever(request):
    del request
    await asyncio.Event().wait()


class TestStreams(testtools.TestCase):
    """Tests of random bytes, random frames and excessive streams."""

    def test_random_bytes_end_only_their_connection(self):
        """Guards against malformed input that affects other connections."""
        rng = random.Random(7)

        async def work(relay):
            preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
            for head in (b"", preface, preface + b"\0\0\0\4\0\0\0\0\0"):
                for _ in range(20):
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", relay.port
                    )
                    writer.write(head + rng.randbytes(300))
                    await asyncio.sleep(0)
                    writer.close()
            return await _exchange(relay, _make_start(1))

        self.assertEqual(({}, {1}), _run_with_relay(work))

    def test_random_messages_end_at_most_their_stream(self):
        """Guards against a message that stops the agent or another stream."""
        rng = random.Random(11)

        def draw():
            return rng.choice((0, 1, 2, 3, 2**31, 2**63, _MAX_UINT64))

        def draw_batch():
            position = relay_pb2.Position(attempt=draw(), offset=draw())
            start = _make_start(
                draw(),
                deadline_unix_ms=draw(),
                budget_ms=draw() % 2**32,
                repeatable=rng.random() < 0.5,
                path=rng.choice(("/a", "b", "/\r\n")),
            )
            return relay_pb2.EntryBatch(
                entry="noise",
                incarnation="noise",
                starts=[start, start],
                resumes=[position],
                settles=[draw(), draw()],
                acknowledges=[position, position],
                cancels=[draw()],
            )

        async def work(relay):
            stub = relay.connect()
            async with stub.Exchange.open() as stream:
                for _ in range(200):
                    await stream.send_message(draw_batch())
                while (batch := await stream.recv_message()) is not None:
                    if batch.refused:
                        break
                await stream.cancel()
            return await _exchange(relay, _make_start(1))

        self.assertEqual(({}, {1}), _run_with_relay(work))

    def test_large_message_ends_only_its_stream(self):
        """Guards against a message that uses unbounded memory."""

        async def work(relay):
            async def send(stream):
                await stream.send_message(_make_batch())
                await stream.send_message(
                    _make_batch(settles=[_MAX_UINT64] * 20_000)
                )

            status = await _get_stream_status(relay, send)
            found = await _exchange(relay, _make_start(1))
            return status, found

        self.assertEqual(
            ("RESOURCE_EXHAUSTED", ({}, {1})),
            _run_with_relay(work, max_body_bytes=1024),
        )

    def test_streams_are_bounded(self):
        """Guards against a peer that opens an unbounded number of streams."""

        async def work(relay):
            stub = relay.connect()
            open_streams = []
            for number in range(2):
                stream = stub.Exchange.open()
                await stream.__aenter__()
                await stream.send_message(
                    relay_pb2.EntryBatch(
                        entry="entry-1", incarnation=f"entry-{number}"
                    )
                )
                await stream.recv_message()
                open_streams.append(stream)
            status = await _get_stream_status(
                relay, lambda stream: stream.send_message(_make_batch())
            )
            for stream in open_streams:
                await stream.cancel()
            while relay.service.stream_count:
                await asyncio.sleep(0.01)
            return status, await _exchange(relay, _make_start(1))

        self.assertEqual(
            ("RESOURCE_EXHAUSTED", ({}, {1})),
            _run_with_relay(work, max_connections=2),
        )

    def test_silent_stream_is_ended(self):
        """Guards against streams that stay open without a first message."""

        async def work(relay):
            return await _get_stream_status(
                relay, lambda stream: stream.send_request()
            )

        limit = timedelta(milliseconds=50)
        self.assertEqual(
            "DEADLINE_EXCEEDED", _run_with_relay(work, header_timeout=limit)
        )
