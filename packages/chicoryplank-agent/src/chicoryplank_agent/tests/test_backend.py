"""Tests of the backend client with a server on the loopback interface."""

import asyncio
import socket
import struct

import testtools

from chicoryplank.clock import SystemClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_agent import backend
from chicoryplank_agent.backend import BackendClient, BackendRequest
from chicoryplank_wire.tests.status_server import serve_status

_ANSWER_LIMIT_S = 10
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


def _make_request(path, method="GET"):
    return BackendRequest(path, method, path, (), b"")


class _Server:
    """Server that responds with the path of the request and records it.

    Attributes:
        paths: Paths of the received requests.
        arrived: Set when a request for /slow has arrived.
        release: Lets the response to /slow be sent when set.
        repeats: Whether the server sends a second copy of each response before
            the next one on the same connection.
        closes_on: Path at which the server closes the connection.
        stops_on: Path at which the server stops listening and closes the
            connection.
    """

    def __init__(self):
        self.paths = []
        self.arrived = asyncio.Event()
        self.release = asyncio.Event()
        self.repeats = False
        self.closes_on = b""
        self.stops_on = b""
        self._closed = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()
        self.release.set()
        for closed in self._closed:
            await closed.wait()

    async def _handle_connection(self, reader, writer):
        closed = asyncio.Event()
        self._closed.append(closed)
        late = b""
        while head := await reader.readline():
            path = head.split()[1]
            self.paths.append(path.decode())
            while (await reader.readline()).strip():
                continue
            if path == b"/slow":
                self.arrived.set()
                await self.release.wait()
            if path == self.stops_on:
                self._server.close()
                break
            if path == self.closes_on:
                break
            writer.write(late + _HEAD % (len(path), path))
            if self.repeats:
                late = _HEAD % (len(path), path)
        writer.close()
        closed.set()


async def _read(client, request):
    response = await client.send(request)
    return b"".join([data async for data in response.body])


class TestBackendClient(testtools.TestCase):
    """Tests that a request gets its own response and when it is resent."""

    def _run(self, work):
        async def run():
            server = _Server()
            client = BackendClient(await server.start(), 1, SystemClock())
            try:
                return await work(server, client)
            finally:
                await client.close()
                await server.close()

        return asyncio.run(run())

    def test_response_to_a_cancelled_request_is_dropped(self):
        """Guards against a request that gets the response to another one."""

        async def work(server, client):
            await _read(client, _make_request("/first"))
            slow = asyncio.create_task(_read(client, _make_request("/slow")))
            await server.arrived.wait()
            slow.cancel()
            await asyncio.wait((slow,))
            server.release.set()
            return await _read(client, _make_request("/last"))

        self.assertEqual(b"/last", self._run(work))

    def test_late_copy_of_a_response_is_not_a_response(self):
        """Guards against a request that gets the response to another one."""

        async def work(server, client):
            server.repeats = True
            paths = ("/first", "/second", "/third")
            return [await _read(client, _make_request(path)) for path in paths]

        self.assertEqual([b"/first", b"/second", b"/third"], self._run(work))

    def test_status_that_http_does_not_define(self):
        """Guards against passing on a response that is no response."""

        async def run(status):
            async with serve_status(status, b"no") as address:
                client = BackendClient(address, 1, SystemClock())
                try:
                    async with asyncio.timeout(_ANSWER_LIMIT_S):
                        await _read(client, _make_request("/first"))
                    return None
                except ChicoryplankError as error:
                    return error.code, error.verdict
                finally:
                    await client.close()

        expected = (ErrorCode.BACKEND_FAILED, Verdict.MAY_HAVE_RUN)
        for status in (b"000", b"099", b"600", b"999", b"20"):
            self.assertEqual(expected, asyncio.run(run(status)), status)

    def test_non_idempotent_request_is_sent_once(self):
        """Guards against a resend if a persistent connection breaks."""

        async def work(server, client):
            await _read(client, _make_request("/first"))
            await _read(client, _make_request("/second", "PUT"))
            server.closes_on = b"/quotes"
            try:
                await _read(client, _make_request("/quotes", "PUT"))
            except ChicoryplankError:
                pass
            return server.paths.count("/quotes")

        self.assertEqual(1, self._run(work))

    def test_refused_resend_is_reported_as_may_have_run(self):
        """Guards against NOT_RUN for a request that the server received."""

        async def work(server, client):
            await _read(client, _make_request("/first"))
            server.stops_on = b"/cards"
            try:
                await _read(client, _make_request("/cards"))
            except ChicoryplankError as error:
                return server.paths.count("/cards"), error.verdict
            return None

        self.assertEqual((1, Verdict.MAY_HAVE_RUN), self._run(work))


class TestResponsesWithoutBody(testtools.TestCase):
    """Tests of responses that have no body according to HTTP."""

    def _send_twice(self, method, raw_response):
        """Returns the statuses and bodies of two successive responses."""

        async def run():
            handlers = []

            async def handle_connection(reader, writer):
                handlers.append(asyncio.current_task())
                while await reader.readline():
                    while (await reader.readline()).strip():
                        continue
                    writer.write(raw_response)
                writer.close()

            server = await asyncio.start_server(
                handle_connection, "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            client = BackendClient(f"127.0.0.1:{port}", 1, SystemClock())
            results = []
            try:
                async with asyncio.timeout(5):
                    for _ in range(2):
                        request = _make_request("/a", method)
                        response = await client.send(request)
                        body = b"".join([data async for data in response.body])
                        results.append((response.status, body))
            finally:
                await client.close()
                server.close()
                await asyncio.gather(*handlers)
            return results

        return asyncio.run(run())

    def test_head_has_no_body(self):
        """Guards against waiting for the body that Content-Length announces."""
        raw_response = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
        self.assertEqual(
            [(200, b"")] * 2, self._send_twice("HEAD", raw_response)
        )
        raw_response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(
            [(200, b"")] * 2, self._send_twice("HEAD", raw_response)
        )

    def test_some_statuses_have_no_body(self):
        """Guards against waiting for the body of a 204 or 304 response."""
        raw_response = b"HTTP/1.1 204 No Content\r\n\r\n"
        self.assertEqual(
            [(204, b"")] * 2, self._send_twice("GET", raw_response)
        )
        self.assertEqual(
            [(204, b"")] * 2, self._send_twice("POST", raw_response)
        )
        raw_response = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
        self.assertEqual(
            [(304, b"")] * 2, self._send_twice("GET", raw_response)
        )

    def test_body_may_be_empty(self):
        """Guards against waiting for a body of length 0."""
        raw_response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(
            [(200, b"")] * 2, self._send_twice("GET", raw_response)
        )

    def test_body_without_length_ends_with_the_connection(self):
        """Guards against a body that is dropped, or read as the next one."""
        raw_response = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome text"
        self.assertEqual((200, b"some text"), send_unframed(raw_response))

    def test_body_without_length_that_is_reset(self):
        """Guards against a success with a truncated body."""
        raw_response = b"HTTP/1.1 200 OK\r\n\r\nsome te"
        error = send_unframed(raw_response, resets=True)
        self.assertEqual(ErrorCode.BACKEND_FAILED, error.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)


_EVENTS = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def send_unframed(*raw_responses, resets=False, crashes=False, received=None):
    """Returns status and body, or the error, of a response without framing.

    Args:
        raw_responses: Responses to one connection after the other.
        resets: Whether connections are reset instead of closed.
        crashes: Whether the port is closed before the first connection.
        received: List to which the parts of the body are appended.
    """
    received = [] if received is None else received

    async def run():
        responses = list(raw_responses)

        async def handle_connection(reader, writer):
            if not await reader.readline():
                return
            while (await reader.readline()).strip():
                continue
            writer.write(responses.pop(0) if responses else b"")
            await writer.drain()
            await asyncio.sleep(0.02)
            if crashes:
                server.close()
            if resets:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient(f"127.0.0.1:{port}", 2, SystemClock())
        try:
            async with asyncio.timeout(5):
                response = await client.send(_make_request("/a"))
                async for data in response.body:
                    received.append(data)
                return response.status, b"".join(received)
        except ChicoryplankError as error:
            return error
        finally:
            await client.close()
            server.close()

    return asyncio.run(run())


class TestStreamsWithoutLength(testtools.TestCase):
    """Streams with neither a length nor chunks, which end with a connection."""

    _FIRST = b"id: 1\ndata: a\n\n"
    _LAST = b"data: [DONE]\n\n"

    def test_end_after_the_marker_is_complete(self):
        """Guards against losing a stream that ends as the protocol allows."""
        result = send_unframed(_EVENTS + self._FIRST + self._LAST)
        self.assertEqual((200, self._FIRST + self._LAST), result)

    def test_end_after_an_event_is_resumed(self):
        """Guards against a stream that looks complete without its marker."""
        result = send_unframed(_EVENTS + self._FIRST, _EVENTS + self._LAST)
        self.assertEqual((200, self._FIRST + self._LAST), result)

    def test_end_inside_an_event_is_resumed(self):
        """Guards against passing on a part of an event."""
        result = send_unframed(
            _EVENTS + self._FIRST + b"id: 2\nda", _EVENTS + self._LAST
        )
        self.assertEqual((200, self._FIRST + self._LAST), result)

    def test_error_instead_of_the_rest(self):
        """Guards against the text of an error in the middle of a stream."""
        text = b'{"error": "gone"}\n\ndata: [DONE]\n\n'
        ends_at_close = b"Connection: close"
        with_length = b"Content-Length: %d" % len(text)
        for status in (b"200 OK", b"404 Not Found", b"503 Unavailable"):
            for kind in (b"Content-Type: application/json", b"Server: x"):
                for framing in (ends_at_close, with_length):
                    lines = (b"HTTP/1.1 " + status, kind, framing, b"", text)
                    error = b"\r\n".join(lines)
                    received = []
                    result = send_unframed(
                        _EVENTS + self._FIRST, error, received=received
                    )
                    self.assertEqual(ErrorCode.BACKEND_FAILED, result.code)
                    self.assertEqual([self._FIRST], received, error)

    def test_ends_with_a_crash(self):
        """Guards against a crash that hides behind the end of a stream."""
        for data in (b"", self._FIRST, self._FIRST + b"id: 2\nda"):
            error = send_unframed(_EVENTS + data, crashes=True)
            self.assertEqual(ErrorCode.BACKEND_CRASHED, error.code, data)
            self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict, data)


class TestEventStream(testtools.TestCase):
    """Tests of end markers and event ids inside generated text."""

    def test_end_marker_in_generated_text_is_ignored(self):
        """Guards against a stream that ends at a marker inside its text."""
        text = b'id: 4\ndata: {"text":"data: [DONE] id: 9"}\n\n'
        self.assertFalse(backend._ends_with_marker(text))
        self.assertTrue(backend._ends_with_marker(text + b"data: [DONE]\n\n"))
        self.assertTrue(backend._ends_with_marker(b"data: [DONE]\n\n"))

    def test_event_id_in_generated_text_is_ignored(self):
        """Guards against resuming a stream at an id from the generated text."""
        text = b'id: 4\ndata: {"text":"id: 9"}\n\n'
        self.assertEqual(b"4", backend._get_last_event_id(text, b""))
