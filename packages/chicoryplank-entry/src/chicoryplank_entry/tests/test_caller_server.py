"""Tests of the HTTP server with slow, excessive and malformed requests."""

import asyncio
from datetime import timedelta

import testtools

from chicoryplank_entry.tests.harness import (
    make_completion_request,
    make_request,
    run_with_harness,
)

_SHORT_TIMEOUT = timedelta(milliseconds=100)
_REQUEST_HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"


def _request_each(inputs, **limits):
    """Returns (status, code) for each input, sent on a separate connection.

    A valid request must succeed afterwards.
    """

    async def scenario(harness):
        responses = []
        for data in inputs:
            connection = await harness.connect()
            response = await connection.request(data)
            responses.append((response.status, response.error))
        connection = await harness.connect()
        assert (
            await connection.request(make_completion_request())
        ).status == 200
        return responses

    return run_with_harness(scenario, **limits)


class TestMalformedHead(testtools.TestCase):
    """Request heads that are malformed or too large."""

    def test_malformed_requests_have_an_error_code(self):
        """Guards against errors without a code and request smuggling."""
        length = b"Content-Length: 5\r\n"
        responses = _request_each(
            [
                b"\x00\x01\x02\x03\r\n\r\n",
                b"GET /healthz HTTP/9.9\r\n\r\n",
                b"GET nowhere HTTP/1.1\r\n\r\n",
                b"GET /\xff HTTP/1.1\r\n\r\n",
                b"CONNECT host:1 HTTP/1.1\r\n\r\n",
                _REQUEST_HEAD + b"Name with space: 1\r\n\r\n",
                _REQUEST_HEAD + b"Content-Length: -1\r\n\r\n",
                _REQUEST_HEAD + length + b"Content-Length: 6\r\n\r\n",
                _REQUEST_HEAD
                + length
                + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ]
        )
        self.assertEqual([(400, "CP1201")] * 9, responses)

    def test_malformed_chunk_has_an_error_code(self):
        """Guards against a request that stays open after a malformed chunk."""

        async def scenario(harness):
            connection = await harness.connect()
            head = make_completion_request(b"", Transfer_Encoding="chunked")
            head = head.replace(b"Content-Length: 0\r\n", b"")
            response = await connection.request(head + b"xyz\r\n")
            return response.status, response.error, harness.dispatcher.requests

        self.assertEqual((400, "CP1201", []), run_with_harness(scenario))

    def test_oversized_heads_are_refused(self):
        """Guards against unbounded memory use by headers."""
        responses = _request_each(
            [
                _REQUEST_HEAD + b"A: b\r\n" * 200 + b"\r\n",
                _REQUEST_HEAD + b"A: " + b"b" * 3000 + b"\r\n\r\n",
                _REQUEST_HEAD + b"A: " + b"b" * 3000,
                b"GET /" + b"a" * 3000 + b" HTTP/1.1\r\n\r\n",
                b"\r\n" * 1500,
            ],
            max_header_bytes=2048,
            max_headers=100,
        )
        too_large = (431, "CP1202")
        expected = [too_large] * 3 + [(414, "CP1202"), too_large]
        self.assertEqual(expected, responses)

    def test_bodies_do_not_count_as_headers(self):
        """Guards against refusing pipelined requests in a single packet.

        Together they exceed the header limit, but no single head does.
        """

        async def scenario(harness):
            connection = await harness.connect()
            request_bytes = make_completion_request(
                b" " * 900 + b'{"model": "drawing"}'
            )
            connection.send(request_bytes * 6)
            return [(await connection.read()).status for _ in range(6)]

        self.assertEqual(
            [200] * 6, run_with_harness(scenario, max_header_bytes=2048)
        )

    def test_trailers_are_not_headers(self):
        """Guards against trailers that take effect after header validation."""

        async def scenario(harness):
            connection = await harness.connect()
            head = make_request("/v1/services/quotes/send", method="PUT")
            head = head.replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            response = await connection.request(
                head + b"1\r\nx\r\n0\r\nIdempotency-Key: late\r\n\r\n"
            )
            return response.status, response.error

        self.assertEqual((400, "CP1215"), run_with_harness(scenario))

    def test_protocol_upgrade_is_ignored(self):
        """Guards against losing a request body after an offered upgrade."""

        async def scenario(harness):
            connection = await harness.connect()
            request_bytes = make_completion_request(
                Connection="Upgrade", Upgrade="h2c"
            )
            connection.send(request_bytes + make_completion_request())
            return [(await connection.read()).status for _ in range(2)]

        self.assertEqual([200, 200], run_with_harness(scenario))


class TestSlowCallers(testtools.TestCase):
    """Callers that send or read too slowly, and too many connections."""

    def _assert_released(self, data, expected, **limits):
        async def scenario(harness):
            connection = await harness.connect()
            connection.send(data)
            response = await connection.read()
            closed = await connection.is_closed()
            while harness.connections:
                await asyncio.sleep(0.01)
            return closed, response and (response.status, response.error)

        self.assertEqual((True, expected), run_with_harness(scenario, **limits))

    def test_idle_connection_is_closed(self):
        """Guards against connections that stay open without a request."""
        self._assert_released(b"", None, header_timeout=_SHORT_TIMEOUT)

    def test_slow_headers_are_refused(self):
        """Guards against a request head that is never completed."""
        self._assert_released(
            _REQUEST_HEAD, (408, "CP1218"), header_timeout=_SHORT_TIMEOUT
        )

    def test_slow_body_is_refused(self):
        """Guards against a request body that is never completed."""
        self._assert_released(
            make_completion_request()[:-1],
            (408, "CP1218"),
            body_timeout=_SHORT_TIMEOUT,
        )

    def test_remaining_body_of_a_refused_request_times_out(self):
        """Guards against a body still being received after its refusal."""
        request_bytes = make_request("/v1/completions", b"x" * 9, token="guess")
        self._assert_released(
            request_bytes[:-5], (401, "CP1203"), body_timeout=_SHORT_TIMEOUT
        )

    def test_unread_response_closes_the_connection(self):
        """Guards against output that is buffered forever for its caller."""

        async def scenario(harness):
            harness.dispatcher.body = b"x" * 32_000_000
            connection = await harness.connect()
            connection.writer.transport.pause_reading()
            connection.send(make_completion_request())
            while not harness.dispatcher.requests:
                await asyncio.sleep(0.01)
            while harness.connections:
                await asyncio.sleep(0.01)
            return harness.connections

        self.assertEqual(
            0, run_with_harness(scenario, write_timeout=_SHORT_TIMEOUT)
        )

    def test_number_of_connections_is_limited(self):
        """Guards against running out of file descriptors."""

        async def scenario(harness):
            first = await harness.connect()
            await first.request(make_completion_request())
            response = await (await harness.connect()).read()
            again = await first.request(make_completion_request())
            return (
                (response.status, response.error),
                response.headers["retry-after"],
                response.headers["x-verdict"],
                again.status,
            )

        self.assertEqual(
            ((429, "CP1213"), "1", "not_run", 200),
            run_with_harness(scenario, max_connections=1),
        )


class TestPipelining(testtools.TestCase):
    """Several outstanding requests on one connection."""

    def test_responses_are_sent_in_request_order(self):
        """Guards against responses matched with the wrong request."""

        async def scenario(harness):
            connection = await harness.connect()
            connection.send(
                make_completion_request()
                + make_request("/healthz", method="GET")
                + make_request("/nowhere", method="GET")
            )
            return [(await connection.read()).status for _ in range(3)]

        self.assertEqual([200, 200, 404], run_with_harness(scenario))

    def test_malformed_request_does_not_corrupt_preceding_response(self):
        """Guards against an error written into the preceding response."""

        async def scenario(harness):
            harness.dispatcher.release.clear()
            connection = await harness.connect()
            connection.send(make_completion_request() + b"\x00noise\r\n\r\n")
            while not harness.dispatcher.requests:
                await asyncio.sleep(0.01)
            harness.dispatcher.release.set()
            responses = [await connection.read(), await connection.read()]
            return [item.status for item in responses], responses[1].error

        self.assertEqual(([200, 400], "CP1201"), run_with_harness(scenario))

    def test_number_of_pipelined_requests_is_limited(self):
        """Guards against an unbounded request queue on one connection."""

        async def scenario(harness):
            harness.dispatcher.release.clear()
            connection = await harness.connect()
            connection.send(make_completion_request() * 50)
            while not harness.dispatcher.requests:
                await asyncio.sleep(0.01)
            harness.dispatcher.release.set()
            responses = []
            while (response := await connection.read()) is not None:
                responses.append(response.status)
            return responses

        self.assertEqual([200] * 17 + [429], run_with_harness(scenario))

    def test_disconnect_cancels_the_request_in_progress(self):
        """Guards against serving a caller that has disconnected."""

        async def scenario(harness):
            harness.dispatcher.release.clear()
            connection = await harness.connect()
            connection.send(make_completion_request())
            while not harness.dispatcher.requests:
                await asyncio.sleep(0.01)
            connection.send(b"\x00\r\n\r\n")
            connection.writer.transport.abort()
            while not harness.dispatcher.cancelled:
                await asyncio.sleep(0.01)
            return harness.dispatcher.cancelled

        self.assertEqual(1, run_with_harness(scenario))
