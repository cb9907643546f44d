"""HTTP/1.1 connections of callers: whole requests in, streamed answers out."""

import asyncio
import collections
import dataclasses
import http
from collections.abc import Awaitable, Callable, Iterable

import httptools

from chicoryplank.traffic import ClientLimits
from chicoryplank_wire.raw_http import set_socket_options

# Requests that a caller may send ahead on one connection.
_MAX_PIPELINED = 16
# Extra time before an idle connection is closed, so that a request that a
# caller sends at the limit still arrives.
_IDLE_SLACK_S = 1.0
_KEEP_ALIVE_VERSION = "1.1"


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A whole request of a caller.

    Attributes:
        method: Method.
        target: Path and query, as received.
        headers: Names as received and values, in order.
        body: Decoded body.
        received_s: Time at which the head began, in seconds of the clock.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_s: float

    def get(self, name: str) -> str | None:
        """Returns the value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Reply:
    """The answer to one request, written as it becomes known.

    Args:
        connection: Connection of the caller.
        keep: Whether the caller can use the connection again.
        chunkable: Whether the caller understands chunks.
    """

    def __init__(
        self, connection: "CallerConnection", keep: bool, chunkable: bool
    ) -> None:
        self._connection = connection
        self._chunkable = chunkable
        self._chunked = False
        self.keep = keep
        self.started = False
        self.ended = False

    def start(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        content_length: int | None,
    ) -> None:
        """Writes the head.

        Args:
            status: Status code.
            headers: End-to-end headers.
            content_length: Length of the body; None if it is not known yet.
        """
        self.started = True
        self.keep = self.keep and not self._connection.is_closing_soon()
        lines = [f"HTTP/1.1 {status} {_find_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if content_length is not None:
            lines.append(f"content-length: {content_length}")
        elif self._chunkable:
            self._chunked = True
            lines.append("transfer-encoding: chunked")
        else:
            self.keep = False
        if not self.keep:
            lines.append("connection: close")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self._connection.write(head.encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def end(self) -> None:
        """Ends the answer as complete."""
        self.ended = True
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")

    def send(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Writes a whole answer."""
        self.start(status, headers, len(body))
        self._connection.write(body)
        self.ended = True

    async def drain(self) -> None:
        """Waits while the caller reads slower than the answer arrives."""
        await self._connection.drain()


Handler = Callable[[ReceivedRequest, Reply], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerHooks:
    """What a listener needs from the application.

    Attributes:
        handle: Answers a request; an answer that it does not end is cut.
        find_limits: Returns the bounds in force.
        now_s: Returns the current time in seconds.
        is_draining: Whether connections close after their next answer.
        connections: All open connections, for the shutdown.
    """

    handle: Handler
    find_limits: Callable[[], ClientLimits]
    now_s: Callable[[], float]
    is_draining: Callable[[], bool]
    connections: set["CallerConnection"]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Args:
        hooks: Functions of the application.
    """

    def __init__(self, hooks: ListenerHooks) -> None:
        self._hooks = hooks
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[tuple[ReceivedRequest, Reply]] = (
            collections.deque()
        )
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write: asyncio.Future | None = None
        self._closed = False
        self._refused = False
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._began_s: float | None = None
        self._last_active_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is received, waits or is being answered."""
        return (
            self._task is None and not self._waiting and self._began_s is None
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection and starts its timer."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            set_socket_options(raw)
        self._hooks.connections.add(self)
        self._last_active_s = self._hooks.now_s()
        self._schedule_check()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work for a caller that has left."""
        self._closed = True
        self._hooks.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()
        self.resume_writing()

    def eof_received(self) -> bool:
        """Treats the end of the caller's side as its departure."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses what arrived."""
        if self._refused or self._closed:
            return
        now_s = self._hooks.now_s()
        self._last_active_s = now_s
        if self._began_s is None:
            self._begin(now_s)
        if not self._body_bytes:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.refuse(http.HTTPStatus.BAD_REQUEST)

    def _begin(self, now_s: float) -> None:
        self._began_s = now_s
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        if self._began_s is None:
            self._begin(self._hooks.now_s())

    def on_url(self, url: bytes) -> None:
        """Keeps a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header within the bound on the head."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        size = len(self._target) + sum(
            len(key) + len(text) + 4 for key, text in self._headers
        )
        if size > self._hooks.find_limits().max_head_bytes:
            self.refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Answers a caller that waits before it sends a body."""
        for name, value in self._headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Keeps a part of the body within its bound."""
        self._body_bytes += len(data)
        if self._body_bytes > self._hooks.find_limits().max_body_bytes:
            self.refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._refused:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Queues the whole request."""
        if self._refused or self._began_s is None:
            return
        request = ReceivedRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            b"".join(self._body),
            self._began_s,
        )
        reply = Reply(
            self,
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == _KEEP_ALIVE_VERSION,
        )
        self._began_s = None
        self._waiting.append((request, reply))
        if len(self._waiting) > _MAX_PIPELINED:
            self.refuse(http.HTTPStatus.BAD_REQUEST)
        elif self._task is None:
            self._start_next()

    def _start_next(self) -> None:
        request, reply = self._waiting.popleft()
        self._task = asyncio.get_running_loop().create_task(
            self._answer(request, reply)
        )

    async def _answer(self, request: ReceivedRequest, reply: Reply) -> None:
        try:
            await self._hooks.handle(request, reply)
        finally:
            self._task = None
            self._last_active_s = self._hooks.now_s()
            if not self._closed:
                self._settle(reply)

    def _settle(self, reply: Reply) -> None:
        """Closes the connection or goes on with the next request."""
        if not reply.ended:
            self._transport.abort()
        elif not reply.keep:
            self._transport.close()
        elif self._waiting:
            self._start_next()

    def refuse(self, status: http.HTTPStatus) -> None:
        """Answers a request that cannot be read, and closes."""
        if self._refused or self._closed:
            return
        self._refused = True
        self._waiting.clear()
        if self._task is None:
            Reply(self, False, True).send(status, (), b"")
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Writes bytes unless the caller has left."""
        if not self._closed:
            self._transport.write(data)

    def pause_writing(self) -> None:
        """Makes drain wait."""
        if self._can_write is None:
            self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Ends the wait of drain."""
        waiter, self._can_write = self._can_write, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def drain(self) -> None:
        """Waits until the caller has read enough."""
        if self._can_write is not None:
            await asyncio.shield(self._can_write)

    def is_closing_soon(self) -> bool:
        """Whether the next answer announces the end of the connection."""
        return self._hooks.is_draining()

    def close_if_idle(self) -> None:
        """Closes a connection on which nothing is in progress."""
        if self.is_idle and not self._closed:
            self._transport.close()

    def _schedule_check(self) -> None:
        limits = self._hooks.find_limits()
        delay_s = limits.head_timeout.total_seconds() / 2
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._check_time
        )

    def _check_time(self) -> None:
        if self._closed:
            return
        limits = self._hooks.find_limits()
        now_s = self._hooks.now_s()
        idle_s = limits.idle_timeout.total_seconds()
        if self._began_s is not None and self._task is None:
            allowed_s = limits.head_timeout.total_seconds()
            if self._body_bytes:
                allowed_s = idle_s
            if now_s - self._last_active_s > allowed_s:
                self.refuse(http.HTTPStatus.REQUEST_TIMEOUT)
                return
        elif self.is_idle and now_s - self._last_active_s > (
            idle_s + _IDLE_SLACK_S
        ):
            self._transport.close()
            return
        self._schedule_check()


def _find_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
