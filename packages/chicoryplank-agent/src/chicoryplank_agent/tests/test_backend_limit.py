"""Tests of the limit that a backend server names, on loopback.

Load pattern: a backend server in need gets requests, retries, reports, orders
and cancellations of all entries through its agent.
"""

import asyncio
import time
from datetime import timedelta

import testtools

from chicoryplank.clock import ManualClock, SystemClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend import BackendClient, BackendRequest
from chicoryplank_agent.backend_limit import BackendLimit


class _Server:
    """Server that names limits; the last one is named from then on."""

    def __init__(self, limits):
        self._limits = list(limits)
        self.times_s = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"Content-Length: 2" in head:
            await reader.readexactly(2)
        self.times_s.append(time.monotonic())
        limit = self._limits.pop(0)
        if not self._limits:
            self._limits.append(limit)
        named = b"" if limit is None else b"Server-Limit: %s\r\n" % limit
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + named + b"\r\n{}"
        )
        await writer.drain()
        writer.close()


class TestBackendClient(testtools.TestCase):
    """Requests of all kinds keep the limit together."""

    def _run(self, limits, work):
        async def run():
            server = _Server(limits)
            client = BackendClient(await server.start(), 8, SystemClock())
            try:
                return await work(client), server.times_s
            finally:
                await client.close()
                server.close()

        return asyncio.run(run())

    async def _send(self, client):
        """Returns the error of a request, or None."""
        request = BackendRequest("r-1", "GET", "/cards", (), b"")
        try:
            response = await client.send(request)
            async for _ in response.body:
                pass
        except ChicoryplankError as error:
            return error
        return None

    def test_requests_beyond_the_limit_are_refused(self):
        """Guards against requests beyond the limit, and against holding them.

        The refusal must allow the entry to send the request elsewhere.
        """

        async def work(client):
            errors = []
            for _ in range(40):
                errors.append(await self._send(client))
                await asyncio.sleep(0.025)
            return errors

        errors, times_s = self._run([b"2"], work)
        self.assertLessEqual(len(times_s), 1.5 * 2 + 5)
        refused = [error for error in errors if error is not None]
        self.assertEqual(40, len(refused) + len(times_s))
        self.assertEqual(
            {(ErrorCode.REPLICA_LIMITED, Verdict.NOT_RUN)},
            {(error.code, error.verdict) for error in refused},
        )
        for error in refused:
            self.assertGreater(error.retry_after, timedelta())

    def test_reports_orders_and_cancellations_count(self):
        """Guards against calls of the agent itself beyond the limit."""

        async def work(client):
            async def call_all():
                await client.fetch_json("/load")
                while True:
                    await client.cancel("r-1")
                    await client.post_json(
                        "/order", b"{}", timedelta(seconds=9)
                    )
                    await client.fetch_json("/load")

            tasks = [asyncio.create_task(call_all()) for _ in range(4)]
            await asyncio.sleep(1.0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        _, times_s = self._run([b"2"], work)
        # The first calls of all tasks start before the limit is known.
        self.assertLessEqual(len(times_s), 4 + 1.5 * 2 + 5)

    def test_withdrawn_limit(self):
        """Guards against a limit that outlives the need of the server."""

        async def work(client):
            await self._send(client)
            await client.limit.wait()
            await client.fetch_json("/load")
            return [await self._send(client) for _ in range(20)]

        errors, _ = self._run([b"5", None], work)
        self.assertEqual([None] * 20, errors)

    def test_malformed_and_huge_limits_do_not_bind(self):
        """Guards against refusals because of a value without meaning."""
        for value in (b"", b"-1", b"nan", b"9" * 300, b"9" * 40):

            async def work(client):
                return [await self._send(client) for _ in range(10)]

            errors, _ = self._run([value], work)
            self.assertEqual([None] * 10, errors, value)


class TestBackendLimit(testtools.TestCase):
    """The limit in the newest response counts."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limit = BackendLimit("127.0.0.1:1", self.clock)

    def test_zero_is_probed(self):
        """Guards against a server that is never asked again."""
        self.limit.observe(200, {"Server-Limit": "0"}, 0.0)
        self.assertGreater(self.limit.try_take(), 0)
        self.clock.advance(timedelta(seconds=4))
        self.assertEqual(0, self.limit.try_take())

    def test_late_response_does_not_withdraw(self):
        """Guards against a response of before that ends a limit."""
        self.clock.advance(timedelta(seconds=2))
        self.limit.observe(200, {"server-limit": "1"}, 1.9)
        self.limit.observe(200, {}, 1.0)
        self.assertTrue(self.limit.is_named)
        self.limit.observe(200, {}, 2.1)
        self.assertFalse(self.limit.is_named)


class TestPause(testtools.TestCase):
    """A backend server that asks for a pause gets no request until its end."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limit = BackendLimit("10.0.0.1:1", self.clock)

    def _reject(self, pause):
        self.limit.observe(503, {"Retry-After": pause}, 0.0)

    def test_requests_are_refused_until_the_end(self):
        """Guards against requests in a pause, and against holding them."""
        self._reject("2")
        self.clock.advance(timedelta(seconds=0.5))
        error = self.assertRaises(ChicoryplankError, self.limit.check)
        self.assertEqual(Verdict.NOT_RUN, error.verdict)
        self.assertEqual(timedelta(seconds=1.5), error.retry_after)
        self.clock.advance(timedelta(seconds=1.5))
        self.limit.check()

    def test_pause_of_another_status_is_ignored(self):
        """Guards against a Retry-After that concerns one request only."""
        self.limit.observe(429, {"Retry-After": "2"}, 0.0)
        self.limit.check()

    def test_implausible_pauses(self):
        """Guards against a server that excludes itself for ever."""
        self._reject("soon")
        self.limit.check()
        self._reject("9" * 12)
        self.clock.advance(timedelta(seconds=300))
        self.limit.check()
