"""Tests of streams that break off, and whose next replica gives no stream."""

import asyncio

import testtools

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    drop,
    make_event,
    make_head,
    make_replica_pair,
    make_request,
    reject,
    respond,
    stream,
)

_EVENTS = [make_event(number) for number in (1, 2, 3, 4, 5)]
_JSON = ("Content-Type: application/json",)
_EVENT_STREAM = "Content-Type: text/event-stream"
_ERROR = b'{"error": "gone"}\n\n'


def begin_stream(count, *, rest=b""):
    """Returns a script whose stream breaks off after some events."""
    return stream(_EVENTS[:count], ends=False, rest=rest)


def send_raw(head_lines, data, *, status="200 OK", proof=True):
    """Returns a script that sends a head and bytes, and closes."""

    async def script(recorded, writer):
        head = make_head(
            recorded, status, proof=proof, extra=(*head_lines, "", "")
        )
        writer.write("\r\n".join(head).encode() + data)
        await writer.drain()
        return False

    return script


def list_errors():
    """Returns scripts of replicas that do not go on with a stream."""
    chunked = b"%x\r\n%b\r\n0\r\n\r\n" % (len(_ERROR), _ERROR)
    errors = {
        f"{status} with a length": respond(_ERROR, status, extra=_JSON)
        for status in (
            "200 OK",
            "201 Created",
            "206 Partial Content",
            "302 Found",
            "400 Bad Request",
            "404 Not Found",
            "408 Request Timeout",
            "410 Gone",
            "421 Misdirected Request",
            "429 Too Many Requests",
            "500 Internal Server Error",
            "503 Service Unavailable",
        )
    }
    errors |= {
        "200 without a type": respond(_ERROR),
        "200 of no length": respond(b"", extra=_JSON),
        "204": send_raw((), b"", status="204 No Content"),
        "204 of a stream": send_raw(
            (_EVENT_STREAM,), b"", status="204 No Content"
        ),
        "205 of a stream": respond(
            b"", "205 Reset Content", extra=(_EVENT_STREAM,)
        ),
        "206 of a stream": respond(
            _EVENTS[0], "206 Partial Content", extra=(_EVENT_STREAM,)
        ),
        "chunked 200": send_raw(
            (*_JSON, "Transfer-Encoding: chunked"), chunked
        ),
        "chunked 500": send_raw(
            (*_JSON, "Transfer-Encoding: chunked"),
            chunked,
            status="500 Internal Server Error",
        ),
        "unframed 200": send_raw(_JSON, _ERROR),
        "unframed 500": send_raw(
            _JSON, _ERROR, status="500 Internal Server Error"
        ),
        "unframed stream without events": send_raw((_EVENT_STREAM,), b""),
        "stream without proof": send_raw(
            (_EVENT_STREAM,), b"".join(_EVENTS), proof=False
        ),
        "not run": reject(),
        "not run, of a stream": reject(extra=(_EVENT_STREAM,)),
        "success that says not run": reject("200 OK", (_EVENT_STREAM,)),
        "closed": drop(),
    }
    return errors


class TestErrorAfterTheBeginning(testtools.TestCase):
    """The caller gets events only, and no end that looks complete."""

    def send(self, *scripts, earlier=0, **route):
        """Returns the events, and whether the stream ended as complete."""

        async def run():
            replicas = make_replica_pair(
                *(respond(b"warm") for _ in range(earlier)), *scripts
            )
            async with EntryFixture(
                *replicas, kind=RequestKind.STREAMING, max_runs=4, **route
            ) as fixture:
                for number in range(earlier):
                    await fixture.send_request(request_id=f"e{number}")
                reader, writer = await fixture.connect()
                writer.write(
                    make_request(request_id="stream", Connection="close")
                )
                received = await reader.read()
                writer.close()
                return received

        received = asyncio.run(run())
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b"200", head.split(b"\r\n")[0])
        return parse_chunks(body)

    def test_error_instead_of_the_rest(self):
        """Guards against the text of an error in the middle of a stream."""
        for name, error in list_errors().items():
            for earlier in (0, 4):
                events, is_complete = self.send(
                    begin_stream(2), error, error, error, earlier=earlier
                )
                self.assertEqual(b"".join(_EVENTS[:2]), events, name)
                self.assertFalse(is_complete, name)

    def test_error_after_a_break_inside_an_event(self):
        """Guards against the rest of an event joined with an error."""
        for rest in (b"i", b"id: 3\nda", b"id: 3\ndata: word 3\n"):
            for name, error in list_errors().items():
                events, is_complete = self.send(
                    begin_stream(2, rest=rest), error, error, error
                )
                self.assertEqual(b"".join(_EVENTS[:2]), events, name)
                self.assertFalse(is_complete, name)

    def test_stream_goes_on_after_an_error(self):
        """Guards against a stream given up, or joined, after one error."""
        for name, error in list_errors().items():
            events, is_complete = self.send(
                begin_stream(2), error, stream(_EVENTS[2:])
            )
            self.assertEqual(b"".join(_EVENTS), events, name)
            self.assertTrue(is_complete, name)

    def test_head_inside_the_stream(self):
        """Guards against a head that a replica writes where a chunk is due."""

        async def script(recorded, writer):
            head = make_head(
                recorded,
                extra=(_EVENT_STREAM, "Transfer-Encoding: chunked", "", ""),
            )
            writer.write("\r\n".join(head).encode())
            event = _EVENTS[0]
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await respond(_ERROR, "500 Internal Server Error")(recorded, writer)
            return False

        events, is_complete = self.send(script, drop())
        self.assertEqual(_EVENTS[0], events)
        self.assertFalse(is_complete)

    def test_nothing_is_left_to_send(self):
        """Guards against failing a stream that broke after its last event."""
        events, is_complete = self.send(begin_stream(5), stream([]))
        self.assertEqual(b"".join(_EVENTS), events)
        self.assertTrue(is_complete)

    def test_repeated_events_that_end_too_early(self):
        """Guards against an end as complete before the events that are due."""
        for again in (_EVENTS[:1], _EVENTS[:2]):
            events, is_complete = self.send(
                begin_stream(3), stream(again), stream(again), drop()
            )
            self.assertEqual(b"".join(_EVENTS[:3]), events)
            self.assertFalse(is_complete)

    def test_ids_that_are_no_numbers(self):
        """Guards against a fault at ids whose order is not known."""
        odd = b"id: x7\ndata: x\n\n"
        for first, rest in (
            ([odd], [_EVENTS[0]]),
            (_EVENTS[:2], [_EVENTS[2], odd]),
        ):
            events, is_complete = self.send(
                stream(first, ends=False), stream(rest)
            )
            self.assertEqual(b"".join([*first, *rest]), events)
            self.assertTrue(is_complete)

    def test_type_in_another_case(self):
        """Guards against a stream that is held back until its end."""
        head = ("Content-Type: Text/Event-Stream",)
        events, is_complete = self.send(
            begin_stream(2), respond(b"".join(_EVENTS[2:]), extra=head)
        )
        self.assertEqual(b"".join(_EVENTS), events)
        self.assertTrue(is_complete)

    def test_gap_before_events_without_id(self):
        """Guards against a missing event after a stream that was given up."""
        comment = b": ping\n\n"
        events, is_complete = self.send(
            begin_stream(2),
            stream([_EVENTS[3]]),
            stream([comment], ends=False),
            stream([_EVENTS[4]]),
        )
        self.assertEqual(b"".join(_EVENTS[:2]) + comment, events)
        self.assertFalse(is_complete)


def parse_chunks(data):
    """Returns the content of chunks, and whether the last one has arrived.

    Raises:
        ValueError: If there are other bytes.
    """
    content = b""
    while data:
        size, separator, data = data.partition(b"\r\n")
        if not separator:
            return content, False
        length = int(size, 16)
        if not length:
            if data != b"\r\n":
                raise ValueError(f"{data!r} behind the last chunk")
            return content, True
        if len(data) < length + 2:
            return content, False
        content += data[:length]
        data = data[length + 2 :]
    return content, False
