"""Tests of connections whose peers send bytes without end.

The socket buffers of the loopback hold several megabytes, so the tests bound
the bytes that a server could send, not those that a client has read.
"""

import asyncio
import tracemalloc
from datetime import timedelta

import testtools

from chicoryplank.traffic import ClientLimits
from chicoryplank_wire.calls import CallClient
from chicoryplank_wire.client_connection import ConnectionBrokenError
from chicoryplank_wire.http import HTTP_FAILURES, make_client, read_content
from chicoryplank_wire.server_connection import CallerConnection, ListenerHooks
from chicoryplank_wire.tests.endless import (
    ENDLESS_BODY,
    ENDLESS_HEADS,
    INTERIM_RESPONSES,
    NOISE,
    EndlessServer,
)

_MAX_MEMORY_BYTES = 8 * 1024 * 1024
_TIMEOUT_S = 5.0


async def _measure(work):
    """Returns the result of some work and the memory that it needed."""
    tracemalloc.start()
    try:
        result = await work
        return result, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class TestClientConnection(testtools.TestCase):
    """A client closes the connection instead of reading for ever."""

    def _call(self, prefix, part, match_header=""):
        async def run():
            async with EndlessServer(prefix, part) as server:
                client = CallClient(
                    server.address, 60.0, lambda: 0.0, 1024 * 1024
                )

                async def call():
                    try:
                        await client.call("GET", "/")
                    except ConnectionBrokenError as error:
                        return error
                    return None

                async with asyncio.timeout(_TIMEOUT_S):
                    error, memory_bytes = await _measure(call())
                    await server.closed.wait()
                return error, memory_bytes

        return asyncio.run(run())

    def test_endless_heads(self):
        """Guards against a head that is collected until memory runs out."""
        for name, (prefix, part) in ENDLESS_HEADS.items():
            error, memory_bytes = self._call(prefix, part)
            self.assertIsInstance(error, ConnectionBrokenError, name)
            self.assertLess(memory_bytes, _MAX_MEMORY_BYTES, name)

    def test_endless_body(self):
        """Guards against a body that is collected until memory runs out."""
        error, memory_bytes = self._call(*ENDLESS_BODY)
        self.assertIsInstance(error, ConnectionBrokenError)
        self.assertLess(memory_bytes, _MAX_MEMORY_BYTES)

    def test_endless_interim_responses(self):
        """Guards against a wait for a response after endless interim ones."""
        error, _ = self._call(*INTERIM_RESPONSES)
        self.assertIsInstance(error, ConnectionBrokenError)

    def test_noise(self):
        """Guards against reading on after bytes that are no response."""
        error, _ = self._call(*NOISE)
        self.assertIsInstance(error, ConnectionBrokenError)


class TestHttpClient(testtools.TestCase):
    """The HTTP client of agents and of the store has the same bounds."""

    def _call(self, prefix, part):
        async def run():
            async with EndlessServer(prefix, part) as server:
                client = make_client(1, max_requests=0)

                async def call():
                    try:
                        response = await client.request(
                            f"http://{server.address}/", "GET", stream=True
                        )
                        await read_content(response, 1024 * 1024)
                    except HTTP_FAILURES as error:
                        return error
                    return None

                try:
                    async with asyncio.timeout(_TIMEOUT_S):
                        error, memory_bytes = await _measure(call())
                        await server.closed.wait()
                finally:
                    await client.aclose()
                return error, memory_bytes

        return asyncio.run(run())

    def test_endless_heads(self):
        """Guards against a head that is collected until memory runs out."""
        for name, (prefix, part) in ENDLESS_HEADS.items():
            error, memory_bytes = self._call(prefix, part)
            # The body before endless trailers is complete.
            self.assertEqual(name == "trailers", error is None, name)
            self.assertLess(memory_bytes, _MAX_MEMORY_BYTES, name)

    def test_endless_body(self):
        """Guards against a body that is collected until memory runs out."""
        error, memory_bytes = self._call(*ENDLESS_BODY)
        self.assertIsInstance(error, ValueError)
        self.assertLess(memory_bytes, _MAX_MEMORY_BYTES)

    def test_endless_chunk(self):
        """Guards against a chunk that is collected until memory runs out."""
        prefix = ENDLESS_BODY[0] + b"ffffffffff\r\n"
        error, memory_bytes = self._call(prefix, b"a" * 4096)
        self.assertIsNotNone(error)
        self.assertLess(memory_bytes, _MAX_MEMORY_BYTES)


class TestCallerConnection(testtools.TestCase):
    """A caller whose request does not end is rejected."""

    def _send(self, prefix, part):
        """Returns the status, and how many bytes the caller could send."""

        async def run():
            async def handle(request, reply):
                reply.send(200, (), b"")

            limits = ClientLimits(4096, 10_000, timedelta(seconds=60))
            hooks = ListenerHooks(
                handle, lambda: limits, lambda: 0.0, lambda: False, set()
            )
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: CallerConnection(hooks), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)

            async def write():
                writer.write(prefix)
                while True:
                    writer.write(part)
                    await writer.drain()

            task = asyncio.create_task(write())
            try:
                async with asyncio.timeout(_TIMEOUT_S):
                    line = await reader.readline()
            except ConnectionError:
                line = b""
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                writer.transport.abort()
                server.close()
            return line.split(b" ")[1:2]

        return asyncio.run(run())

    def test_endless_requests(self):
        """Guards against callers that exhaust the memory of the entry."""
        chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        for name, prefix, part, status in (
            ("target", b"GET /", b"a" * 64, b"431"),
            ("header", b"GET / HTTP/1.1\r\nX-A: ", b"a" * 64, b"431"),
            ("headers", b"GET / HTTP/1.1\r\n", b"X-A: a\r\n" * 8, b"431"),
            ("extension", chunked + b"5;", b"a" * 64, b"431"),
            ("trailers", chunked + b"0\r\n", b"X-A: a\r\n" * 8, b"431"),
            ("body", chunked, b"40\r\n" + b"a" * 64 + b"\r\n", b"413"),
        ):
            # A caller that goes on sending may see a reset instead of the
            # status.
            self.assertIn(self._send(prefix, part), ([status], []), name)
