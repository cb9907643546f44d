"""Tests of backend servers that send bytes without end, on loopback."""

import asyncio
from datetime import timedelta

import testtools

from chicoryplank.clock import SystemClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend import BackendClient, BackendRequest
from chicoryplank_wire.tests.endless import (
    ENDLESS_BODY,
    ENDLESS_HEADS,
    EndlessServer,
)

_TIMEOUT_S = 5.0
_EVENTS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class TestEndlessResponses(testtools.TestCase):
    """The agent closes the connection and reports an unknown outcome."""

    def _run(self, prefix, part, work):
        async def run():
            async with EndlessServer(prefix, part) as server:
                client = BackendClient(server.address, 4, SystemClock())
                try:
                    async with asyncio.timeout(_TIMEOUT_S):
                        result = await work(client)
                        await server.closed.wait()
                        return result
                finally:
                    await client.close()

        return asyncio.run(run())

    async def _send(self, client):
        request = BackendRequest("r-1", "POST", "/v1/completions", (), b"{}")
        try:
            response = await client.send(request)
            return [part async for part in response.body]
        except ChicoryplankError as error:
            return error

    def test_heads(self):
        """Guards against a head that is collected until memory runs out."""
        for name, (prefix, part) in ENDLESS_HEADS.items():
            result = self._run(prefix, part, self._send)
            if name == "trailers":
                self.assertEqual([], result)
                continue
            self.assertEqual(
                (ErrorCode.BACKEND_FAILED, Verdict.MAY_HAVE_RUN),
                (result.code, result.verdict),
                name,
            )

    def test_event(self):
        """Guards against an event that is collected until memory runs out."""
        result = self._run(_EVENTS, ENDLESS_BODY[1], self._send)
        self.assertEqual(ErrorCode.BACKEND_FAILED, result.code)

    def test_documents(self):
        """Guards against reports and orders that are read without end."""

        async def post(client):
            try:
                await client.post_json("/order", b"{}", timedelta(seconds=5))
            except ChicoryplankError as error:
                return error.code

        async def fetch(client):
            return await client.fetch_json("/report")

        async def cancel(client):
            await client.cancel("r-1")

        for work, expected in (
            (post, ErrorCode.BACKEND_FAILED),
            (fetch, None),
            (cancel, None),
        ):
            self.assertEqual(expected, self._run(*ENDLESS_BODY, work))
