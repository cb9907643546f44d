"""HTTP/1.1 server connections: buffered requests and streamed responses."""

import asyncio
import collections
import dataclasses
import http
import random
import socket
from collections.abc import Awaitable, Callable, Iterable

import httptools

from chicoryplank.admission import (
    HEADER_BYTES,
    RECEIVE_BUFFER_BYTES,
    SMALL_BODY_BYTES,
    WAITING_CHECK_S,
    Activity,
    ClientMemory,
    ClientMemoryLimits,
    ClientUsage,
    ShedReason,
)
from chicoryplank.traffic import ClientLimits
from chicoryplank_wire.client_connection import set_socket_options
from chicoryplank_wire.received_request import BodyBuffer, ReceivedRequest
from chicoryplank_wire.reply import Reply

# Bytes of a head beside target and headers: method, version, line ends.
_REQUEST_LINE_BYTES = 1_024
# Number of pipelined requests that may be queued on one connection.
_MAX_PIPELINED = 16
# Bytes of their bodies above which reading pauses until the request in progress
# has ended.
_MAX_QUEUED_BYTES = 65_536
# Unread bytes above which a caller counts as reading slowly.
_SLOW_CALLER_BYTES = 16_384
# Memory of a request without its head and body.
_REQUEST_BYTES = 8_192
# Range of the time in seconds after which a client that was shed may return.
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 1.0
# Additional time before an idle connection is closed, so that a request sent
# just before the idle timeout still arrives.
_IDLE_SLACK_S = 1.0
_KEEP_ALIVE_VERSION = "1.1"


Handler = Callable[[ReceivedRequest, Reply], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedRequest:
    """A complete request and the memory that it takes, in bytes."""

    request: ReceivedRequest
    reply: Reply
    held_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerHooks:
    """Application functions and state that server connections use.

    Attributes:
        handle: Responds to a request. If it leaves the response incomplete,
            the connection is aborted.
        get_limits: Returns the current limits on requests.
        now_s: Returns the current time in seconds.
        is_draining: Whether connections close after their next response.
        connections: All open connections, which a shutdown has to close.
        memory: Bound on what the callers of all listeners take; None for one of
            this listener alone.
        on_shed: Called with the reason and the number of bytes held or unread
            before a connection is shed.
    """

    handle: Handler
    get_limits: Callable[[], ClientLimits]
    now_s: Callable[[], float]
    is_draining: Callable[[], bool]
    connections: set["CallerConnection"]
    memory: ClientMemory | None = None
    on_shed: Callable[[ShedReason, int], None] = lambda reason, size: None

    def __post_init__(self) -> None:
        if self.memory is None:
            memory = ClientMemory(ClientMemoryLimits(), self.now_s)
            object.__setattr__(self, "memory", memory)


class CallerConnection(asyncio.Protocol):
    """Server side of a connection from a caller.

    Pipelined requests are queued and handled one at a time, in order.

    Args:
        hooks: Application functions and state.
    """

    def __init__(self, hooks: ListenerHooks) -> None:
        self._hooks = hooks
        self._memory = hooks.memory
        self._usage: ClientUsage | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queued: collections.deque[_QueuedRequest] = collections.deque()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reservation_timer: asyncio.TimerHandle | None = None
        self._write_resumed: asyncio.Future | None = None
        self._closed = False
        self._rejected = False
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._reads_head = False
        self._bytes_outside_body = 0
        self._body = BodyBuffer()
        self._announced_bytes: int | None = None
        self._awaits_continue = False
        # Memory of the queued requests and of the one in progress.
        self._queued_bytes = 0
        self._current_bytes = 0
        self._is_reading_paused = False
        self._receive_started_s: float | None = None
        self._last_active_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or handled."""
        return (
            self._task is None
            and not self._queued
            and self._receive_started_s is None
        )

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that the caller has not read yet."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection and starts its timeout checks."""
        self._transport = transport
        self._usage = self._memory.open(self._shed)
        if self._usage is None:
            self._closed = True
            transport.abort()
            return
        transport.set_write_buffer_limits(high=_SLOW_CALLER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)
            limit_receive_buffer(sock)
        self._hooks.connections.add(self)
        self._last_active_s = self._hooks.now_s()
        self._schedule_timeout_check()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request of a caller that has disconnected."""
        self._closed = True
        self._hooks.connections.discard(self)
        for timer in (self._timer, self._reservation_timer):
            if timer is not None:
                timer.cancel()
        self._discard_unfinished()
        if self._task is not None:
            self._task.cancel()
        self.resume_writing()
        if self._usage is not None:
            self._memory.close(self._usage)
        # The parser refers to this connection, which would stay until the
        # garbage collector finds the cycle.
        self._parser = None

    def eof_received(self) -> bool:
        """Closes the connection, even if the caller closed only its side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received data and rejects malformed requests."""
        if self._rejected or self._closed:
            return
        now_s = self._hooks.now_s()
        self._last_active_s = now_s
        if self._receive_started_s is None:
            self._start_request(now_s)
        self._bytes_outside_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.reject(http.HTTPStatus.BAD_REQUEST)
        # The parser collects a header until its end, and bytes outside of the
        # body such as chunk extensions and trailers may come without end.
        max_bytes = (
            self._hooks.get_limits().max_head_bytes + _REQUEST_LINE_BYTES
        )
        if self._bytes_outside_body > max_bytes:
            self.reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self._limit_reading()
        self._report_usage(len(data))

    def _start_request(self, now_s: float) -> None:
        self._receive_started_s = now_s
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = BodyBuffer()
        self._announced_bytes = None
        self._awaits_continue = False

    def _discard_unfinished(self) -> None:
        """Discards the request being received and the queued ones."""
        self._queued.clear()
        self._queued_bytes = 0
        self._headers = []
        self._header_bytes = 0
        self._body = BodyBuffer()

    def _report_usage(self, received_bytes: int = 0) -> None:
        """Reports what this connection holds, which may shed connections."""
        if self._closed:
            return
        if self._receive_started_s is not None or self._queued:
            activity = Activity.RECEIVING
        elif self._task is not None:
            activity = Activity.BUSY
        else:
            activity = Activity.IDLE
        self._memory.set_activity(self._usage, activity)
        self._memory.observe(
            self._usage,
            self._measure_unfinished()
            + self._queued_bytes
            + self._current_bytes,
            received_bytes,
            is_paused=self._is_reading_paused,
        )

    def _measure_unfinished(self) -> int:
        return (
            self._bytes_outside_body
            + self._header_bytes
            + len(self._headers) * HEADER_BYTES
            + self._body.size
        )

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts a request unless its first bytes have already done so."""
        self._reads_head = True
        if self._receive_started_s is None:
            self._start_request(self._hooks.now_s())

    def on_url(self, url: bytes) -> None:
        """Stores a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; rejects the request if its head is too large.

        Trailers are ignored, since they must not act as headers (RFC 9110,
        section 6.5.1).
        """
        if not self._reads_head or self._rejected:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._header_bytes += len(name) + len(value) + 4
        size = len(self._target) + self._header_bytes
        if size > self._hooks.get_limits().max_head_bytes:
            self.reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Rejects a body that is too large before it arrives."""
        self._reads_head = False
        self._bytes_outside_body = 0
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == "expect" and value.lower() == "100-continue":
                self._awaits_continue = True
            elif lower_name == "content-length" and value.isdecimal():
                self._announced_bytes = int(value)
        if (self._announced_bytes or 0) > self._get_max_body_bytes():
            self.reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._needs_reservation():
            self._send_continue()

    def _send_continue(self) -> None:
        """Sends 100 Continue if the caller waits for it before the body."""
        if self._awaits_continue:
            self._awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _get_max_body_bytes(self) -> int:
        return min(
            self._hooks.get_limits().max_body_bytes, self._memory.max_body_bytes
        )

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body; rejects the request if it is too large."""
        self._bytes_outside_body = 0
        if self._rejected:
            return
        self._body.append(data)
        if self._body.size > self._get_max_body_bytes():
            self.reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queues the complete request and starts it if none is in progress."""
        self._bytes_outside_body = 0
        if self._rejected or self._receive_started_s is None:
            return
        held_bytes = _REQUEST_BYTES + self._measure_unfinished()
        request = ReceivedRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            self._body.take(),
            self._receive_started_s,
        )
        reply = Reply(
            self,
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == _KEEP_ALIVE_VERSION,
        )
        self._receive_started_s = None
        self._headers = []
        self._header_bytes = 0
        self._queued_bytes += held_bytes
        self._queued.append(_QueuedRequest(request, reply, held_bytes))
        if len(self._queued) > _MAX_PIPELINED:
            self.reject(http.HTTPStatus.BAD_REQUEST)
        elif self._task is None:
            self._start_next()

    def _start_next(self) -> None:
        queued = self._queued.popleft()
        self._queued_bytes -= queued.held_bytes
        self._current_bytes = queued.held_bytes
        self._task = asyncio.get_running_loop().create_task(
            self._handle_request(queued.request, queued.reply)
        )
        self._report_usage()
        self._memory.settle(self._usage)

    def _needs_reservation(self) -> bool:
        if self._usage.reserved_bytes or self._receive_started_s is None:
            return False
        size = max(self._announced_bytes or 0, self._body.size)
        return size > SMALL_BODY_BYTES

    def _limit_reading(self) -> None:
        """Pauses reading while there is no memory for what follows.

        Requests behind the one in progress wait for its end if they are large.
        """
        if self._closed or self._rejected:
            return
        unfinished_bytes = self._queued_bytes + self._measure_unfinished()
        if self._task is not None:
            if unfinished_bytes > _MAX_QUEUED_BYTES:
                self._pause_reading()
        elif self._needs_reservation():
            self._reserve()

    def _reserve(self) -> None:
        if self._memory.reserve(
            self._usage, self._get_expected_bytes(), self._resume_body
        ):
            self._resume_body()
            return
        self._pause_reading()
        self._schedule_reservation_check()

    def _get_expected_bytes(self) -> int:
        """Returns the size of the body, or the largest one if it is unknown."""
        if self._announced_bytes is not None:
            return self._announced_bytes
        return max(self._body.size, self._get_max_body_bytes())

    def _resume_body(self) -> None:
        """Receives a body for which memory has been reserved."""
        self._body.allocate(self._get_expected_bytes())
        self._send_continue()
        self._resume_reading()

    def _schedule_reservation_check(self) -> None:
        self._reservation_timer = asyncio.get_running_loop().call_later(
            WAITING_CHECK_S, self._check_reservation
        )

    def _check_reservation(self) -> None:
        if self._closed or self._rejected or self._usage.reserved_bytes:
            return
        self._memory.check_waiting(self._usage)
        self._schedule_reservation_check()

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and not self._closed:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    async def _wait_until_read(self) -> bool:
        """Waits until the caller has read the response before this one.

        Returns:
            False if it did not within the idle timeout.
        """
        if self._write_resumed is None:
            return True
        limit = self._hooks.get_limits().idle_timeout.total_seconds()
        try:
            async with asyncio.timeout(limit):
                await self.drain()
        except TimeoutError:
            return False
        return True

    async def _handle_request(
        self, request: ReceivedRequest, reply: Reply
    ) -> None:
        try:
            # Without a response, the connection is aborted below.
            if await self._wait_until_read():
                await self._hooks.handle(request, reply)
        finally:
            self._task = None
            self._current_bytes = 0
            self._last_active_s = self._hooks.now_s()
            if not self._closed:
                self._memory.release(self._usage)
                self._finish_response(reply)
                self._report_usage()

    def _finish_response(self, reply: Reply) -> None:
        """Closes the connection or starts the next queued request."""
        if not reply.ended:
            self._transport.abort()
        elif self._rejected or not reply.keep_alive:
            self._transport.close()
        elif self._queued:
            self._start_next()
            if self._queued_bytes + self._body.size <= _MAX_QUEUED_BYTES:
                self._resume_reading()
        elif self._needs_reservation():
            self._reserve()
        else:
            self._resume_reading()

    def _shed(self, reason: ShedReason) -> int | None:
        """Ends this connection, or what is not in progress on it.

        Returns:
            Memory of the request in progress, in bytes; None if there is none.
        """
        self._hooks.on_shed(
            reason, self._usage.held_bytes + self._usage.unread_bytes
        )
        if reason is ShedReason.UNREAD:
            self.abort()
            return None
        if self.is_idle:
            self._end_now()
            return None
        delay_s = random.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)
        self.reject(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            (("retry-after", f"{delay_s:.3f}"),),
        )
        if self._task is not None:
            return self._current_bytes
        self._end_now()
        return None

    def _end_now(self) -> None:
        """Closes the connection without waiting for a caller to read."""
        if self.unread_bytes:
            self._transport.abort()
        else:
            self._transport.close()

    def reject(
        self,
        status: http.HTTPStatus,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Rejects an unreadable request and closes the connection.

        While an earlier request is in progress, nothing is sent, because the
        status would be taken for the response to that request. Data received
        after a rejection is ignored.

        Args:
            status: Status to send.
            headers: Headers to send.
        """
        if self._rejected or self._closed:
            return
        self._rejected = True
        self._discard_unfinished()
        if self._task is None:
            Reply(self, False, True).send(status, headers, b"")
            self._transport.close()
        else:
            # The end of the connection is noticed only while reading.
            self._resume_reading()

    def write(self, data: bytes) -> None:
        """Writes bytes unless the caller has disconnected."""
        if self._closed:
            return
        self._transport.write(data)
        if self._write_resumed is not None:
            self._memory.observe_unread(self._usage, self.unread_bytes)

    def pause_writing(self) -> None:
        """Makes drain wait, as the write buffer is full."""
        if self._write_resumed is None:
            self._write_resumed = asyncio.get_running_loop().create_future()
        self._memory.observe_unread(self._usage, self.unread_bytes)

    def abort(self) -> None:
        """Closes the connection immediately and discards unsent data."""
        self._transport.abort()

    def resume_writing(self) -> None:
        """Wakes the task that waits in drain."""
        if self._usage is not None:
            self._memory.observe_unread(self._usage, 0)
        waiter, self._write_resumed = self._write_resumed, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def drain(self) -> None:
        """Waits while the write buffer is full."""
        if self._write_resumed is not None:
            await asyncio.shield(self._write_resumed)

    def closes_after_response(self) -> bool:
        """Whether the connection closes after the next response."""
        return self._hooks.is_draining()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress."""
        if self.is_idle and not self._closed:
            self._transport.close()

    def _schedule_timeout_check(self) -> None:
        limits = self._hooks.get_limits()
        delay_s = limits.head_timeout.total_seconds() / 2
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        if self._closed:
            return
        limits = self._hooks.get_limits()
        now_s = self._hooks.now_s()
        idle_s = limits.idle_timeout.total_seconds()
        if self._receive_started_s is not None and self._task is None:
            allowed_s = limits.head_timeout.total_seconds()
            if self._body.size:
                allowed_s = idle_s
            if now_s - self._last_active_s > allowed_s:
                self.reject(http.HTTPStatus.REQUEST_TIMEOUT)
                return
        elif self.is_idle and now_s - self._last_active_s > (
            idle_s + _IDLE_SLACK_S
        ):
            self._transport.close()
            return
        self._schedule_timeout_check()


def limit_receive_buffer(sock: socket.socket) -> None:
    """Bounds what the kernel receives before the process reads it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
