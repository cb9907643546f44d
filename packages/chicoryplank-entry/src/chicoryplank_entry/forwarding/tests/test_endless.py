"""Tests of replicas that send bytes without end, on loopback."""

import asyncio
import contextlib

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    make_head,
    make_request,
    respond,
)
from chicoryplank_entry.forwarding.tests.test_exchange import ExchangeCase

_TIMEOUT_S = 5.0


def send_endlessly(*lines, part, extra=(), status="200 OK", proof=True):
    """Returns a script that sends a prefix and then bytes without end."""

    async def script(recorded, writer):
        head = make_head(recorded, status, proof=proof, extra=extra)
        writer.write("\r\n".join([*head, *lines]).encode())
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(part)
                await writer.drain()
        return False

    return script


_CHUNKED = "Transfer-Encoding: chunked"
_CHUNK = b"1000\r\n" + b"a" * 4096 + b"\r\n"
_ENDLESS_HEAD = send_endlessly("X-A: ", part=b"a" * 4096)
_ENDLESS_BODY = send_endlessly("", "", part=_CHUNK, extra=(_CHUNKED,))
_ENDLESS_EVENT = send_endlessly(
    "",
    "",
    part=_CHUNK,
    extra=(_CHUNKED, "Content-Type: text/event-stream"),
)
_ENDLESS_REJECTION = send_endlessly(
    "",
    "",
    part=_CHUNK,
    extra=(_CHUNKED, "X-Not-Run: 1"),
    status="503 Service Unavailable",
    proof=False,
)


class TestEndlessResponses(ExchangeCase):
    """The entry closes the connection and tries another replica if it may."""

    def _send(self, script, kind, **arguments):
        """Returns the response, and waits for the end of the connection."""

        async def run():
            replicas = [Replica(script), Replica(script), Replica(respond())]
            async with EntryFixture(*replicas, kind=kind, **arguments) as entry:
                async with asyncio.timeout(_TIMEOUT_S):
                    result = await entry.send_request()
                    # Each script ends once its connection is closed.
                    for replica in replicas[:2]:
                        await asyncio.gather(*replica._tasks)
                return result

        return asyncio.run(run())

    def test_head(self):
        """Guards against a request that waits for the end of a head."""
        status, _, body = self._send(
            _ENDLESS_HEAD, RequestKind.IDEMPOTENT, max_runs=3
        )
        self.assertEqual((200, b"done"), (status, body))

    def test_head_of_a_non_idempotent_request(self):
        """Guards against running a request twice after an endless head."""

        async def run():
            replica = Replica(_ENDLESS_HEAD)
            async with EntryFixture(
                replica, kind=RequestKind.NON_IDEMPOTENT
            ) as entry:
                async with asyncio.timeout(_TIMEOUT_S):
                    return await entry.send_request(), len(replica.requests)

        (status, _, body), runs = asyncio.run(run())
        self.assertEqual(
            (502, "may_have_run", 1), (status, self.get_verdict(body), runs)
        )

    def test_event(self):
        """Guards against an event that is collected until memory runs out."""
        status, _, body = self._send(
            _ENDLESS_EVENT, RequestKind.STREAMING, max_runs=3
        )
        self.assertEqual((200, b"done"), (status, body))

    def test_body_of_a_rejection(self):
        """Guards against reading the body of a response that is not relayed."""
        status, _, body = self._send(
            _ENDLESS_REJECTION, RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual((200, b"done"), (status, body))

    def test_body_ends_at_the_deadline(self):
        """Guards against relaying a body for ever, or ending it as complete."""

        async def run():
            replica = Replica(_ENDLESS_BODY)
            async with EntryFixture(replica) as entry:
                reader, writer = await entry.connect()
                writer.write(make_request(left_ms=300))
                size = 0
                data = b""
                async with asyncio.timeout(_TIMEOUT_S):
                    with contextlib.suppress(ConnectionError):
                        while part := await reader.read(65_536):
                            size += len(part)
                            data = part
                    await asyncio.gather(*replica._tasks)
                writer.close()
                return size, data

        size, data = asyncio.run(run())
        self.assertGreater(size, 0)
        self.assertFalse(data.endswith(b"0\r\n\r\n"))
