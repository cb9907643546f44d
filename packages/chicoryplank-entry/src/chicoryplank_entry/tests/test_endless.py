"""Tests of callers that send bytes without end to the caller server."""

import asyncio
import contextlib

import testtools

from chicoryplank_entry.tests.harness import (
    make_completion_request,
    run_with_harness,
)

_HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
_CHUNKED = make_completion_request(b"", Transfer_Encoding="chunked").replace(
    b"Content-Length: 0\r\n", b""
)
_REQUESTS = {
    "target": (b"GET /", b"a" * 1024),
    "header": (_HEAD + b"X-A: ", b"a" * 1024),
    "headers": (_HEAD, b"X-A: a\r\n" * 128),
    "body": (_CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    "chunk extension": (_CHUNKED + b"5;", b"a" * 1024),
    "trailer": (_CHUNKED + b"0\r\nX-A: ", b"a" * 1024),
    "trailers": (_CHUNKED + b"0\r\n", b"X-A: a\r\n" * 128),
}
_MAX_SENT_BYTES = 64 * 1024 * 1024
_REFUSED_WITHIN_S = 3.0


class TestEndlessRequests(testtools.TestCase):
    """A request without end is refused, and others are served."""

    async def _send(self, harness, prefix, part):
        """Returns how many bytes the caller sent before it was refused."""
        connection = await harness.connect()
        connection.send(prefix)
        sent_bytes = 0
        with contextlib.suppress(ConnectionError):
            while not connection.reader.at_eof():
                connection.send(part)
                sent_bytes += len(part)
                await connection.writer.drain()
                await asyncio.sleep(0)
                if connection.reader._buffer:
                    break
        connection.writer.transport.abort()
        return sent_bytes

    def test_endless_requests(self):
        """Guards against callers that exhaust the memory of the entry."""

        async def scenario(harness):
            sent = {}
            for name, (prefix, part) in _REQUESTS.items():
                async with asyncio.timeout(_REFUSED_WITHIN_S):
                    sent[name] = await self._send(harness, prefix, part)
            connection = await harness.connect()
            response = await connection.request(make_completion_request())
            return sent, response.status, harness.dispatcher.requests

        sent, status, requests = run_with_harness(scenario)
        self.assertEqual((200, 1), (status, len(requests)))
        self.assertLess(max(sent.values()), _MAX_SENT_BYTES, sent)
