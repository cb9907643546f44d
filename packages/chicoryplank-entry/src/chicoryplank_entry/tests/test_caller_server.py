"""Tests of the HTTP server against slow, excessive and malformed callers."""

import asyncio
from datetime import timedelta

import testtools

from chicoryplank_entry.tests.site import (
    make_call,
    make_completion,
    run_site,
)

_SOON = timedelta(milliseconds=100)
_HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"


def _ask_each(inputs, **limits):
    """Returns (status, code) of each input on a connection of its own."""

    async def work(site):
        answers = []
        for data in inputs:
            caller = await site.connect()
            answer = await caller.ask(data)
            answers.append((answer.status, answer.error))
        caller = await site.connect()
        assert (await caller.ask(make_completion())).status == 200
        return answers

    return run_site(work, **limits)


class TestMalformedHead(testtools.TestCase):
    """Requests that are not HTTP, or too large."""

    def test_malformed_requests_get_a_code(self):
        """Guards against errors without a code, and against smuggling."""
        length = b"Content-Length: 5\r\n"
        answers = _ask_each(
            [
                b"\x00\x01\x02\x03\r\n\r\n",
                b"GET /healthz HTTP/9.9\r\n\r\n",
                b"GET nowhere HTTP/1.1\r\n\r\n",
                b"GET /\xff HTTP/1.1\r\n\r\n",
                b"CONNECT host:1 HTTP/1.1\r\n\r\n",
                _HEAD + b"Name with space: 1\r\n\r\n",
                _HEAD + b"Content-Length: -1\r\n\r\n",
                _HEAD + length + b"Content-Length: 6\r\n\r\n",
                _HEAD + length + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ]
        )
        self.assertEqual([(400, "CP1201")] * 9, answers)

    def test_malformed_chunk_gets_a_code(self):
        """Guards against a request that waits for the rest of its body."""

        async def work(site):
            caller = await site.connect()
            head = make_completion(b"", Transfer_Encoding="chunked")
            head = head.replace(b"Content-Length: 0\r\n", b"")
            answer = await caller.ask(head + b"xyz\r\n")
            return answer.status, answer.error, site.dispatcher.requests

        self.assertEqual((400, "CP1201", []), run_site(work))

    def test_header_floods_are_rejected(self):
        """Guards against memory for headers without bound."""
        answers = _ask_each(
            [
                _HEAD + b"A: b\r\n" * 200 + b"\r\n",
                _HEAD + b"A: " + b"b" * 3000 + b"\r\n\r\n",
                _HEAD + b"A: " + b"b" * 3000,
                b"GET /" + b"a" * 3000 + b" HTTP/1.1\r\n\r\n",
                b"\r\n" * 1500,
            ],
            max_header_bytes=2048,
            max_headers=100,
        )
        too_large = (431, "CP1202")
        expected = [too_large] * 3 + [(414, "CP1202"), too_large]
        self.assertEqual(expected, answers)

    def test_bodies_do_not_count_as_headers(self):
        """Guards against rejecting requests that share a packet."""

        async def work(site):
            caller = await site.connect()
            call = make_completion(b" " * 900 + b'{"model": "drawing"}')
            caller.send(call * 6)
            return [(await caller.read()).status for _ in range(6)]

        self.assertEqual([200] * 6, run_site(work, max_header_bytes=2048))

    def test_trailers_are_no_headers(self):
        """Guards against headers that arrive after their checks."""

        async def work(site):
            caller = await site.connect()
            head = make_call("/v1/services/quotes/send", method="PUT")
            head = head.replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            answer = await caller.ask(
                head + b"1\r\nx\r\n0\r\nIdempotency-Key: late\r\n\r\n"
            )
            return answer.status, answer.error

        self.assertEqual((400, "CP1215"), run_site(work))

    def test_offer_to_upgrade_is_ignored(self):
        """Guards against losing the request behind an offered upgrade."""

        async def work(site):
            caller = await site.connect()
            call = make_completion(Connection="Upgrade", Upgrade="h2c")
            caller.send(call + make_completion())
            return [(await caller.read()).status for _ in range(2)]

        self.assertEqual([200, 200], run_site(work))


class TestSlowCallers(testtools.TestCase):
    """Connections that send or read nothing."""

    def _assert_released(self, data, expected, **limits):
        async def work(site):
            caller = await site.connect()
            caller.send(data)
            answer = await caller.read()
            closed = await caller.is_closed()
            while site.connections:
                await asyncio.sleep(0.01)
            return closed, answer and (answer.status, answer.error)

        self.assertEqual((True, expected), run_site(work, **limits))

    def test_silent_connection_is_closed(self):
        """Guards against connections that nobody uses."""
        self._assert_released(b"", None, header_timeout=_SOON)

    def test_slow_headers_are_rejected(self):
        """Guards against a head that never ends."""
        self._assert_released(_HEAD, (408, "CP1218"), header_timeout=_SOON)

    def test_slow_body_is_rejected(self):
        """Guards against a body that never ends."""
        self._assert_released(
            make_completion()[:-1], (408, "CP1218"), body_timeout=_SOON
        )

    def test_rest_of_a_rejected_body_has_a_time_limit(self):
        """Guards against a body that goes on after its rejection."""
        call = make_call("/v1/completions", b"x" * 9, token="guess")
        self._assert_released(call[:-5], (401, "CP1203"), body_timeout=_SOON)

    def test_unread_response_breaks_the_connection(self):
        """Guards against output that waits for ever for its caller."""

        async def work(site):
            site.dispatcher.body = b"x" * 32_000_000
            caller = await site.connect()
            caller.writer.transport.pause_reading()
            caller.send(make_completion())
            while not site.dispatcher.requests:
                await asyncio.sleep(0.01)
            while site.connections:
                await asyncio.sleep(0.01)
            return site.connections

        self.assertEqual(0, run_site(work, write_timeout=_SOON))

    def test_connections_are_bounded(self):
        """Guards against running out of file descriptors."""

        async def work(site):
            first = await site.connect()
            await first.ask(make_completion())
            answer = await (await site.connect()).read()
            again = await first.ask(make_completion())
            return (
                (answer.status, answer.error),
                answer.headers["retry-after"],
                answer.headers["x-verdict"],
                again.status,
            )

        self.assertEqual(
            ((429, "CP1213"), "1", "not_run", 200),
            run_site(work, max_connections=1),
        )


class TestPipelining(testtools.TestCase):
    """Several requests on one connection at once."""

    def test_responses_keep_the_order(self):
        """Guards against a response to another request."""

        async def work(site):
            caller = await site.connect()
            caller.send(
                make_completion()
                + make_call("/healthz", method="GET")
                + make_call("/nowhere", method="GET")
            )
            return [(await caller.read()).status for _ in range(3)]

        self.assertEqual([200, 200, 404], run_site(work))

    def test_noise_does_not_damage_the_response_before_it(self):
        """Guards against an error in the midst of another response."""

        async def work(site):
            site.dispatcher.release.clear()
            caller = await site.connect()
            caller.send(make_completion() + b"\x00noise\r\n\r\n")
            while not site.dispatcher.requests:
                await asyncio.sleep(0.01)
            site.dispatcher.release.set()
            answers = [await caller.read(), await caller.read()]
            return [item.status for item in answers], answers[1].error

        self.assertEqual(([200, 400], "CP1201"), run_site(work))

    def test_number_of_waiting_requests_is_bounded(self):
        """Guards against a queue without bound on one connection."""

        async def work(site):
            site.dispatcher.release.clear()
            caller = await site.connect()
            caller.send(make_completion() * 50)
            while not site.dispatcher.requests:
                await asyncio.sleep(0.01)
            site.dispatcher.release.set()
            answers = []
            while (answer := await caller.read()) is not None:
                answers.append(answer.status)
            return answers

        self.assertEqual([200] * 17 + [429], run_site(work))

    def test_broken_connection_ends_the_request_in_progress(self):
        """Guards against serving a caller that went away."""

        async def work(site):
            site.dispatcher.release.clear()
            caller = await site.connect()
            caller.send(make_completion())
            while not site.dispatcher.requests:
                await asyncio.sleep(0.01)
            caller.send(b"\x00\r\n\r\n")
            caller.writer.transport.abort()
            while not site.dispatcher.cancelled:
                await asyncio.sleep(0.01)
            return site.dispatcher.cancelled

        self.assertEqual(1, run_site(work))
