"""Tests of the backend client against a server on the loopback interface."""

import asyncio

import testtools

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_agent import backend
from chicoryplank_agent.backend import BackendClient, BackendRequest

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


def _make_request(path, method="GET", repeatable=True):
    return BackendRequest(path, method, path, (), b"", repeatable)


class _Server:
    """Answers a path with itself; remembers every request that arrives."""

    def __init__(self):
        self.paths = []
        self.arrived = asyncio.Event()
        self.release = asyncio.Event()
        self.closes_on = b""
        self.stops_on = b""
        self._closed = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()
        self.release.set()
        for closed in self._closed:
            await closed.wait()

    async def _answer(self, reader, writer):
        closed = asyncio.Event()
        self._closed.append(closed)
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
            writer.write(_HEAD % (len(path), path))
        writer.close()
        closed.set()


async def _read(client, request):
    response = await client.send(request)
    return b"".join([data async for data in response.body])


class TestBackendClient(testtools.TestCase):
    """One request gets its own response and is sent once."""

    def _run(self, work):
        async def run():
            server = _Server()
            client = BackendClient(await server.start(), 1)
            try:
                return await work(server, client)
            finally:
                await client.close()
                await server.close()

        return asyncio.run(run())

    def test_cancelled_request_leaves_no_answer_behind(self):
        """Guards against answering a caller with another caller's answer."""

        async def work(server, client):
            await _read(client, _make_request("/first"))
            slow = asyncio.create_task(_read(client, _make_request("/slow")))
            await server.arrived.wait()
            slow.cancel()
            await asyncio.wait((slow,))
            server.release.set()
            return await _read(client, _make_request("/last"))

        self.assertEqual(b"/last", self._run(work))

    def test_non_repeatable_request_is_sent_once(self):
        """Guards against a resend when a kept connection breaks."""

        async def work(server, client):
            await _read(client, _make_request("/first"))
            await _read(client, _make_request("/second", "PUT", False))
            server.closes_on = b"/quotes"
            request = _make_request("/quotes", "PUT", repeatable=False)
            try:
                await _read(client, request)
            except ChicoryplankError:
                pass
            return server.paths.count("/quotes")

        self.assertEqual(1, self._run(work))

    def test_refused_resend_is_not_called_not_run(self):
        """Guards against "not run" for a request that a server received.

        The HTTP client sends a GET again when a kept connection breaks; that
        the second connection is refused says nothing about the first send.
        """

        async def work(server, client):
            await _read(client, _make_request("/first"))
            server.stops_on = b"/cards"
            try:
                await _read(client, _make_request("/cards"))
            except ChicoryplankError as error:
                return server.paths.count("/cards"), error.verdict
            return None

        self.assertEqual((1, Verdict.MAY_HAVE_RUN), self._run(work))


class TestBodiless(testtools.TestCase):
    """Responses that have no body by the rules of HTTP."""

    def _ask(self, method, answer):
        """Returns the status and body of two requests in a row."""

        async def run():
            served = []

            async def serve(reader, writer):
                served.append(asyncio.current_task())
                while await reader.readline():
                    while (await reader.readline()).strip():
                        continue
                    writer.write(answer)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = BackendClient(f"127.0.0.1:{port}", 1)
            found = []
            try:
                async with asyncio.timeout(5):
                    for _ in range(2):
                        request = _make_request("/a", method)
                        response = await client.send(request)
                        body = b"".join([data async for data in response.body])
                        found.append((response.status, body))
            finally:
                await client.close()
                server.close()
                await asyncio.gather(*served)
            return found

        return asyncio.run(run())

    def test_head_has_no_body(self):
        """Guards against a wait for the body that Content-Length announces."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
        self.assertEqual([(200, b"")] * 2, self._ask("HEAD", answer))
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual([(200, b"")] * 2, self._ask("HEAD", answer))

    def test_some_statuses_have_no_body(self):
        """Guards against a wait for the body of 204 and 304."""
        answer = b"HTTP/1.1 204 No Content\r\n\r\n"
        self.assertEqual([(204, b"")] * 2, self._ask("GET", answer))
        self.assertEqual([(204, b"")] * 2, self._ask("POST", answer))
        answer = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
        self.assertEqual([(304, b"")] * 2, self._ask("GET", answer))

    def test_body_may_be_empty(self):
        """Guards against a wait for the body of an empty response."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual([(200, b"")] * 2, self._ask("GET", answer))

    def test_body_without_length_is_a_failure(self):
        """Guards against an empty success where a body was not read."""
        answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome text"
        error = self.assertRaises(ChicoryplankError, self._ask, "GET", answer)
        self.assertEqual(ErrorCode.BACKEND_FAILED, error.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)


class TestEvents(testtools.TestCase):
    """End marker and ids among generated text."""

    def test_generated_text_is_no_end_marker(self):
        """Guards against a stream that ends where a model quotes the marker."""
        text = b'id: 4\ndata: {"text":"data: [DONE] id: 9"}\n\n'
        self.assertFalse(backend._is_end(text))
        self.assertTrue(backend._is_end(text + b"data: [DONE]\n\n"))
        self.assertTrue(backend._is_end(b"data: [DONE]\n\n"))

    def test_generated_text_is_no_event_id(self):
        """Guards against resuming a stream at an id that a model wrote."""
        text = b'id: 4\ndata: {"text":"id: 9"}\n\n'
        self.assertEqual(b"4", backend._find_last_id(text, b""))
