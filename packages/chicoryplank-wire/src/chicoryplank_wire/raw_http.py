"""HTTP/1.1 client connections that tell exactly what was sent and received.

A load balancer that promises "not run" has to know whether any byte of a
request reached a connection, and whether an answer ended with its own end
marker, with the end of the connection or with a reset. Pooled clients hide
this, so connections are driven here with the parser library alone.
"""

import asyncio
import collections
import enum
import socket
from collections.abc import Iterable

import httptools

# Unread response bytes at which reading from the connection stops.
_MAX_BUFFERED_BYTES = 262_144
# Answers to earlier requests that are skipped before a connection is given up.
_MAX_FOREIGN_ANSWERS = 3
# Time without acknowledgement, in ms, after which the kernel ends a
# connection whose peer is unreachable.
_USER_TIMEOUT_MS = 4_000
_FIRST_FINAL_STATUS = 200
_BODYLESS = frozenset({204, 304})

HeaderList = tuple[tuple[str, str], ...]


class Broken(enum.Enum):
    """Why a response did not complete."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TIMED_OUT = "timed out"
    FOREIGN = "answers belong to other requests"


class ConnectionBrokenError(Exception):
    """A connection failed before the response was complete.

    Attributes:
        reason: What happened.
    """

    def __init__(self, reason: Broken, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}".strip())
        self.reason = reason


class Response:
    """Response of one request, read as it arrives.

    Attributes:
        status: Status code; 0 before the head arrived.
        headers: Names in lower case and values, in order.
        content_length: Announced length of the body, or None.
    """

    def __init__(self, connection: "ClientConnection") -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.content_length: int | None = None
        self.complete = False
        self.error: ConnectionBrokenError | None = None
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
            ConnectionBrokenError: If they did not arrive.
        """
        while not self.status:
            if self.error is not None:
                raise self.error
            await self._wait()

    async def read(self) -> bytes:
        """Returns the next part of the body, or empty bytes at its end.

        Raises:
            ConnectionBrokenError: If the body is not complete.
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
        """Returns the whole body.

        Raises:
            ConnectionBrokenError: If it is not complete or over the limit.
        """
        parts = []
        size = 0
        while data := await self.read():
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                raise ConnectionBrokenError(Broken.MALFORMED, "body too long")
        return b"".join(parts)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def wake(self) -> None:
        """Wakes the reader after a change."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def feed(self, data: bytes) -> None:
        """Keeps a part of the body for the reader."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > _MAX_BUFFERED_BYTES:
            self._connection.pause_reading()
        self.wake()

    def fail(self, error: ConnectionBrokenError) -> None:
        """Ends the response without completion."""
        if not self.complete and self.error is None:
            self.error = error
        self.wake()


class ClientConnection(asyncio.Protocol):
    """One connection to a server, with one request at a time.

    Args:
        match_header: Header in lower case whose value tells to which request
            an answer belongs; empty if answers carry none.

    Attributes:
        idle_timeout_s: Time after which the server closes the connection when
            idle, as it said; None if unknown.
        used: Requests sent on it.
    """

    def __init__(self, match_header: str = "") -> None:
        self._match_header = match_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: Response | None = None
        self._expected = ""
        self._head: list[tuple[str, str]] = []
        self._skipping = False
        self._skipped = 0
        self._until_close = False
        self._keep = False
        self._closed = False
        self.idle_timeout_s: float | None = None
        self.used = 0
        self.idle_since_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            not self._closed
            and self._keep
            and self._response is None
            and self._transport is not None
            and not self._transport.is_closing()
            and not self._transport.get_write_buffer_size()
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the transport and sets the time limits of the kernel."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            set_socket_options(raw)

    def send(self, request: bytes, expected: str = "") -> Response:
        """Writes a request and returns its response.

        Args:
            request: Head and body.
            expected: Value of the match header that the answer must carry.
        """
        self._expected = expected
        self._skipped = 0
        self.used += 1
        self._response = Response(self)
        if self._closed or self._transport.is_closing():
            self._response.fail(ConnectionBrokenError(Broken.CLOSED))
        else:
            self._transport.write(request)
        return self._response

    def abort(self) -> None:
        """Closes the connection at once."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stops reading until the reader has caught up."""
        if not self._closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Goes on reading."""
        if not self._closed:
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parses what arrived; bytes without a request end the connection."""
        if self._closed:
            return
        if self._response is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionBrokenError(Broken.MALFORMED, repr(error)))
            self.abort()

    def eof_received(self) -> bool:
        """Ends a response that has no length of its own."""
        if self._until_close and not self._skipping:
            self._finish()
        self._fail(ConnectionBrokenError(Broken.CLOSED))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the response that is not complete."""
        self._closed = True
        reason = Broken.CLOSED if exc is None else Broken.RESET
        self._fail(ConnectionBrokenError(reason, repr(exc) if exc else ""))

    def _fail(self, error: ConnectionBrokenError) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.fail(error)

    def _finish(self) -> None:
        response, self._response = self._response, None
        self._until_close = False
        if response is not None:
            response.complete = True
            response.wake()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a head; one without a waiting request is an error."""
        self._head = []
        if self._response is None:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        self._head.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Hands the head to the response that it belongs to."""
        if self._response is None or self._closed:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._skipping = True
            return
        self._keep = self._parser.should_keep_alive()
        values = dict(self._head)
        answered = (
            values.get(self._match_header) if self._match_header else None
        )
        self._skipping = answered is not None and answered != self._expected
        if self._skipping:
            self._skipped += 1
            if self._skipped > _MAX_FOREIGN_ANSWERS:
                self._fail(ConnectionBrokenError(Broken.FOREIGN))
                self.abort()
            return
        self._read_idle_timeout(values.get("keep-alive"))
        length = values.get("content-length")
        chunked = "chunked" in values.get("transfer-encoding", "").lower()
        response = self._response
        if length is not None and length.isdigit() and not chunked:
            response.content_length = int(length)
        elif not chunked and status not in _BODYLESS:
            self._until_close = True
            self._keep = False
        response.headers = self._head
        response.status = status
        response.wake()

    def on_body(self, data: bytes) -> None:
        """Hands a part of the body to the response."""
        if self._response is not None and not self._skipping:
            self._response.feed(data)

    def on_message_complete(self) -> None:
        """Completes the response."""
        if self._skipping:
            self._skipping = False
        else:
            self._finish()

    def _read_idle_timeout(self, value: str | None) -> None:
        if value is None:
            return
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            if name.lower() == "timeout" and number.strip().isdigit():
                self.idle_timeout_s = float(number)


def set_socket_options(raw: socket.socket) -> None:
    """Sends small writes at once and bounds the silence of a dead peer."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )


async def connect(
    address: str, timeout_s: float, match_header: str = ""
) -> ClientConnection:
    """Opens a connection.

    Args:
        address: Host and port.
        timeout_s: Longest wait in seconds.
        match_header: See ClientConnection.

    Raises:
        ConnectionBrokenError: If there is no connection in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(match_header), host, int(port)
            )
    except TimeoutError as error:
        raise ConnectionBrokenError(Broken.TIMED_OUT, address) from error
    except (OSError, ValueError) as error:
        raise ConnectionBrokenError(Broken.RESET, repr(error)) from error
    return connection


def encode_request(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request; a body is sent with its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body
