"""Tests of responses with a status that HTTP does not define, on loopback."""

import asyncio
import itertools

import testtools

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    make_event,
    make_head,
    make_replica_pair,
    respond,
    stream,
)

_STATUSES = ("000", "007", "042", "099", "600", "999", "20", "2000", "abc")
_FRAMINGS = ("length", "chunks", "close", "nothing")
_DEADLINE_STATUS = 504
_TIMEOUT_S = 30.0


def _send(status, framing, body=b"failed", extra=()):
    """Returns a script that responds with a status and keeps the connection.

    Args:
        status: Status, as text.
        framing: How the end of the body is marked; nothing for no body.
        body: Body, unless the framing is nothing.
        extra: Further header lines.
    """

    async def script(recorded, writer):
        lines = make_head(recorded, f"{status} X", extra=extra)
        data = b""
        if framing == "length":
            lines.append(f"Content-Length: {len(body)}")
            data = body
        elif framing == "chunks":
            lines.append("Transfer-Encoding: chunked")
            data = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif framing == "close":
            data = body
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        await writer.drain()
        return framing != "close"

    return script


class TestUndefinedStatus(testtools.TestCase):
    """Callers get neither such a response nor silence until their deadline."""

    def _request(self, *scripts, **route):
        """Returns the status, the body and the number of arrivals."""

        async def run():
            pair = make_replica_pair(*scripts)
            async with EntryFixture(*pair, **route) as entry:
                status, _, body = await entry.send_request()
                return status, body, sum(len(item.requests) for item in pair)

        return asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S))

    def _check_all(self, expected, good, **route):
        for status, framing in itertools.product(_STATUSES, _FRAMINGS):
            extra = ()
            if route["kind"] is RequestKind.STREAMING:
                extra = ("Content-Type: text/event-stream",)
            script = _send(status, framing, make_event(1), extra)
            answered, body, _ = self._request(script, good, **route)
            case = f"{status} with {framing}: {body!r}"
            self.assertEqual(expected, answered, case)

    def test_idempotent_requests_are_retried(self):
        """Guards against an undefined status where a retry is possible."""
        self._check_all(200, respond(), kind=RequestKind.IDEMPOTENT)

    def test_requests_without_retries(self):
        """Guards against an undefined status as the last response."""
        self._check_all(502, respond(), kind=RequestKind.IDEMPOTENT, max_runs=1)

    def test_non_idempotent_requests_fail(self):
        """Guards against a second run, and against "not run"."""
        self._check_all(502, respond(), kind=RequestKind.NON_IDEMPOTENT)
        _, _, arrivals = self._request(
            _send("000", "length"), kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual(1, arrivals)

    def test_streams_that_can_be_resumed(self):
        """Guards against an undefined status in place of a stream."""
        self._check_all(
            200, stream([make_event(1)]), kind=RequestKind.STREAMING
        )

    def test_streams_that_cannot_be_resumed(self):
        """Guards against an undefined status in place of a stream."""
        self._check_all(
            502,
            stream([make_event(1)]),
            kind=RequestKind.STREAMING,
            resumable=False,
            max_runs=1,
        )

    def test_resumed_stream(self):
        """Guards against an undefined status in the middle of a response."""
        first = stream([make_event(1)], ends=False)
        last = stream([make_event(2)])
        for status, framing in itertools.product(_STATUSES, _FRAMINGS):
            answered, body, _ = self._request(
                first,
                _send(status, framing),
                last,
                kind=RequestKind.STREAMING,
                max_runs=3,
            )
            self.assertEqual(
                (200, make_event(1) + make_event(2)),
                (answered, body),
                f"{status} with {framing}",
            )

    def test_undefined_status_that_states_not_run(self):
        """Guards against a statement in a response that is no response."""

        async def run():
            script = _send("000", "length", extra=("X-Not-Run: 1",))
            replica = Replica(script)
            async with EntryFixture(
                replica, kind=RequestKind.NON_IDEMPOTENT
            ) as entry:
                return (await entry.send_request())[0]

        status = asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S))
        self.assertEqual(502, status)
        self.assertNotEqual(_DEADLINE_STATUS, status)
