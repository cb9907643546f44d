"""HTTP/1.1 client connections that report exactly how far a request got.

To report a request as not run, the load balancer must know whether any byte of
it was written to a connection, and whether a response was delimited by its
length or chunks, by the end of the connection or by a reset. HTTP clients with
connection pools hide this, so this module uses only an HTTP parser.
"""

import asyncio
import collections
import dataclasses
import enum
import socket
from collections.abc import Iterable

import httptools

# Number of unread response bytes above which reading from the socket pauses.
_MAX_BUFFERED_BYTES = 262_144
# Size of the parts in which a request body is written, so that a server that
# does not read it causes no copy of the whole.
_WRITE_BYTES = 65_536
# Number of responses to other requests that are skipped before the connection
# is closed.
_MAX_MISMATCHED_RESPONSES = 3
# Number of its last requests whose ids a connection remembers.
_MAX_REMEMBERED_IDS = 64
# Size of their bodies, in bytes, above which the connection is closed.
_MAX_SKIPPED_BYTES = 1_048_576
# Number of interim responses (1xx) before a response above which the connection
# is closed.
_MAX_INTERIM_RESPONSES = 8
# Number of bytes in which a head must end, or a part of a body must arrive: the
# parser collects incomplete headers, and bytes outside of the body such as
# chunk extensions and trailers may come without end.
_MAX_HEAD_BYTES = 65_536
# Time without TCP acknowledgement after which the kernel closes a connection to
# an unreachable peer.
_USER_TIMEOUT_MS = 4_000
_FIRST_FINAL_STATUS = 200
# Statuses that HTTP defines (RFC 9110, section 15).
_DEFINED_STATUSES = range(100, 600)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})

HeaderList = tuple[tuple[str, str], ...]


class BreakReason(enum.Enum):
    """Reason why a response is incomplete.

    Attributes:
        CLOSED: The connection was closed without a transport error.
        RESET: The connection could not be opened or was reset.
        REFUSED: No process listens at the address.
        MALFORMED: The response violates HTTP or the expected format.
        TIMED_OUT: No response arrived in time.
        MISMATCHED: Too many responses to other requests arrived.
    """

    CLOSED = "closed"
    RESET = "reset"
    REFUSED = "refused"
    MALFORMED = "malformed"
    TIMED_OUT = "timed out"
    MISMATCHED = "responses belong to other requests"


class ConnectionBrokenError(Exception):
    """The response is incomplete or invalid, or there is no connection.

    Args:
        reason: Kind of failure.
        detail: Further description for the message.

    Attributes:
        reason: Kind of failure.
    """

    def __init__(self, reason: BreakReason, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}".strip())
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class SkippedResponse:
    """A response that was skipped, since it belongs to another request.

    Attributes:
        status: Status code.
        match_id: Value of the match header; None if it is missing.
    """

    status: int
    match_id: str | None


class Response:
    """Response to one request, readable while it arrives.

    Attributes:
        status: Status code; 0 until the head has arrived.
        headers: Header names in lower case and values, in received order.
        content_length: Body length from the headers, or None.
        complete: Whether the complete response has arrived.
        ends_at_close: Whether the end of the connection ends the body, since it
            has neither a length nor chunks.
        error: Error that ended the response early, or None.
        skipped: Responses to other requests that arrived before this one.
    """

    def __init__(self, connection: "ClientConnection") -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.content_length: int | None = None
        self.complete = False
        self.ends_at_close = False
        self.error: ConnectionBrokenError | None = None
        self.skipped: list[SkippedResponse] = []
        self._connection = connection
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._waiter: asyncio.Future | None = None

    def get(self, name: str) -> str | None:
        """Returns the value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def wait_head(self) -> None:
        """Waits for the status line and the headers.

        Raises:
            ConnectionBrokenError: If the response fails before they arrive.
        """
        while not self.status:
            if self.error is not None:
                raise self.error
            await self._wait()

    async def read(self) -> bytes:
        """Waits for the next part of the body; returns empty bytes at its end.

        Raises:
            ConnectionBrokenError: If the response fails before its end.
        """
        while True:
            if self._chunks:
                data = b"".join(self._chunks)
                self._chunks.clear()
                if self._buffered > _MAX_BUFFERED_BYTES:
                    self._connection.resume_reading()
                self._buffered = 0
                return data
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            await self._wait()

    async def read_all(self, limit_bytes: int) -> bytes:
        """Waits for the complete body and returns it.

        Raises:
            ConnectionBrokenError: If the body is incomplete or exceeds the
                limit.
        """
        parts = []
        size = 0
        while data := await self.read():
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                raise ConnectionBrokenError(
                    BreakReason.MALFORMED, "body exceeds the size limit"
                )
        return b"".join(parts)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def wake(self) -> None:
        """Wakes the task that waits for more of the response."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def feed(self, data: bytes) -> None:
        """Buffers a part of the body until it is read."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > _MAX_BUFFERED_BYTES:
            self._connection.pause_reading()
        self.wake()

    def fail(self, error: ConnectionBrokenError) -> None:
        """Marks an incomplete response as failed."""
        if not self.complete and self.error is None:
            self.error = error
        self.wake()


class ClientConnection(asyncio.Protocol):
    """Connection to a server that carries one request at a time.

    Args:
        match_header: Name, in lower case, of the response header that
            identifies the request; empty if responses have no such header.
            Responses that may belong to another request are skipped.

    Attributes:
        idle_timeout_s: Idle timeout in seconds that the server announced in a
            Keep-Alive header; None if unknown.
        requests_sent: Number of requests sent on this connection.
        idle_since_s: Time at which the owner put the connection into its pool.
    """

    def __init__(self, match_header: str = "") -> None:
        self._match_header = match_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: Response | None = None
        self._expected_id = ""
        self._sent_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_REMEMBERED_IDS
        )
        self._headers: list[tuple[str, str]] = []
        self._reads_head = False
        self._skipping = False
        self._skipped_bytes = 0
        self._interim_responses = 0
        self._bytes_outside_body = 0
        self._ends_at_close = False
        self._keep_alive = False
        self._closed = False
        self._unsent = memoryview(b"")
        self._is_writing_paused = False
        self.idle_timeout_s: float | None = None
        self.requests_sent = 0
        self.idle_since_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is free and can carry another request."""
        return (
            not self._closed
            and self._keep_alive
            and self._response is None
            and self._transport is not None
            and not self._transport.is_closing()
            and not self._unsent
            and not self._transport.get_write_buffer_size()
        )

    @property
    def is_closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self._closed or self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and sets the socket options."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    def send(
        self, head: bytes, expected: str = "", body: bytes = b""
    ) -> Response:
        """Writes a request and returns its response, which is still pending.

        Args:
            head: Encoded head.
            expected: Value of the match header in the response to this request.
            body: Body, of which the connection makes no copy.
        """
        self._expected_id = expected
        if expected:
            self._sent_ids.append(expected)
        self.requests_sent += 1
        self._skipped_bytes = 0
        self._interim_responses = 0
        self._bytes_outside_body = 0
        self._response = Response(self)
        if self._closed or self._transport.is_closing():
            self._response.fail(ConnectionBrokenError(BreakReason.CLOSED))
        else:
            self._unsent = memoryview(body)[_WRITE_BYTES:]
            self._transport.write(head + body[:_WRITE_BYTES])
            self._write_unsent()
        return self._response

    def _write_unsent(self) -> None:
        """Writes further parts of the body while the server reads them."""
        while self._unsent and not self._is_writing_paused:
            part = self._unsent[:_WRITE_BYTES]
            self._unsent = self._unsent[_WRITE_BYTES:]
            self._transport.write(part)

    def pause_writing(self) -> None:
        """Stops writing the body, as the write buffer is full."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Continues to write the body."""
        self._is_writing_paused = False
        if not self._closed and not self._transport.is_closing():
            self._write_unsent()

    def has_carried(self, expected: str) -> bool:
        """Returns whether one of the last requests had an id.

        A late copy of the response to it would match a further request with
        the same id.
        """
        return expected in self._sent_ids

    def abort(self) -> None:
        """Closes the connection immediately and discards unsent data."""
        self._closed = True
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Pauses reading from the socket until buffered data has been read."""
        if not self._closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""
        if not self._closed:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parses received data; closes the connection if none is expected."""
        if self._closed:
            return
        if self._response is None:
            self.abort()
            return
        self._bytes_outside_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break(BreakReason.MALFORMED, repr(error))
        if self._bytes_outside_body > _MAX_HEAD_BYTES:
            self._break(
                BreakReason.MALFORMED,
                f"no end of the head within {_MAX_HEAD_BYTES} bytes",
            )

    def _break(self, reason: BreakReason, detail: str = "") -> None:
        """Fails the pending response and closes the connection."""
        self._fail(ConnectionBrokenError(reason, detail))
        self.abort()

    def eof_received(self) -> bool:
        """Completes a response that ends with the connection."""
        if self._ends_at_close and not self._skipping:
            self._finish()
        self._fail(ConnectionBrokenError(BreakReason.CLOSED))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks a pending response as failed."""
        self._closed = True
        self._unsent = memoryview(b"")
        reason = BreakReason.CLOSED if exc is None else BreakReason.RESET
        self._fail(ConnectionBrokenError(reason, repr(exc) if exc else ""))

    def _fail(self, error: ConnectionBrokenError) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.fail(error)

    def _finish(self) -> None:
        response, self._response = self._response, None
        self._ends_at_close = False
        if response is not None:
            response.complete = True
            response.wake()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts a response; closes the connection if no request is pending."""
        self._headers = []
        self._reads_head = True
        if self._response is None:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores trailers, which must not act as headers."""
        if self._reads_head:
            self._headers.append(
                (name.decode("latin-1").lower(), value.decode("latin-1"))
            )

    def on_headers_complete(self) -> None:
        """Passes the head to the pending response unless it must be skipped.

        Skipped are interim responses (1xx) and responses to other requests.
        """
        self._reads_head = False
        self._bytes_outside_body = 0
        if self._response is None or self._closed:
            return
        status = self._parser.get_status_code()
        if status not in _DEFINED_STATUSES:
            self._break(BreakReason.MALFORMED, f"status {status:03} is invalid")
            return
        if status < _FIRST_FINAL_STATUS:
            self._skipping = True
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                self._break(BreakReason.MALFORMED, "too many interim responses")
            return
        self._keep_alive = self._parser.should_keep_alive()
        values = dict(self._headers)
        response_id = values.get(self._match_header)
        self._skipping = self._is_of_another_request(response_id)
        if self._skipping:
            self._response.skipped.append(SkippedResponse(status, response_id))
            if len(self._response.skipped) > _MAX_MISMATCHED_RESPONSES:
                self._break(BreakReason.MISMATCHED)
            return
        self._parse_keep_alive(values.get("keep-alive"))
        length = values.get("content-length")
        chunked = "chunked" in values.get("transfer-encoding", "").lower()
        response = self._response
        if length is not None and length.isdigit() and not chunked:
            response.content_length = int(length)
        elif not chunked and status not in _STATUSES_WITHOUT_BODY:
            self._ends_at_close = True
            self._keep_alive = False
            response.ends_at_close = True
        response.headers = self._headers
        response.status = status
        response.wake()

    def _is_of_another_request(self, response_id: str | None) -> bool:
        """Tells whether a response may belong to an earlier request.

        Without an id this is possible on a connection that has carried an
        earlier request.
        """
        if not self._match_header:
            return False
        if response_id is None:
            return self.requests_sent > 1
        return response_id != self._expected_id

    def on_body(self, data: bytes) -> None:
        """Passes a part of the body to the pending response."""
        self._bytes_outside_body = 0
        if self._skipping:
            self._skipped_bytes += len(data)
            if self._skipped_bytes > _MAX_SKIPPED_BYTES:
                self._break(BreakReason.MISMATCHED)
        elif self._response is not None:
            self._response.feed(data)

    def on_message_complete(self) -> None:
        """Completes the pending response, or ends a skipped one."""
        self._bytes_outside_body = 0
        if self._skipping:
            self._skipping = False
        else:
            self._finish()

    def _parse_keep_alive(self, value: str | None) -> None:
        if value is None:
            return
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            if name.lower() == "timeout" and number.strip().isdigit():
                self.idle_timeout_s = float(number)


def set_socket_options(sock: socket.socket) -> None:
    """Disables Nagle's algorithm and limits the wait for unreachable peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )


async def connect(
    address: str, timeout_s: float, match_header: str = ""
) -> ClientConnection:
    """Opens a connection to a server.

    Args:
        address: Host and port of the server.
        timeout_s: Maximum time to connect, in seconds.
        match_header: See ClientConnection.

    Raises:
        ConnectionBrokenError: If the connection fails or takes too long.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(match_header),
                host.strip("[]"),
                int(port),
            )
    except TimeoutError as error:
        raise ConnectionBrokenError(BreakReason.TIMED_OUT, address) from error
    except ConnectionRefusedError as error:
        raise ConnectionBrokenError(BreakReason.REFUSED, address) from error
    except (OSError, ValueError) as error:
        raise ConnectionBrokenError(BreakReason.RESET, repr(error)) from error
    return connection


def encode_head(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body_bytes: int = 0,
) -> bytes:
    """Encodes the head of a request.

    Content-Length is added if there is a body or the method usually has one.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body_bytes or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {body_bytes}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1")
