"""HTTP server for callers: bounds on connections, heads and waiting times."""

import asyncio
import collections
import contextlib
import enum
import functools
from collections.abc import Iterator
from datetime import timedelta

import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from chicoryplank.configuration import EntrySettings, RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank_entry import metrics
from chicoryplank_entry.http_responses import make_error_response

_IDLE_TIMEOUT_S = 30
# A caller that still sends may otherwise get a reset instead of the error.
_LINGER_S = 1.0
# Requests of one connection that wait for the response before them.
_MAX_PIPELINED = 16
_RETRY_SOON = timedelta(seconds=1)
_URI_TOO_LONG = 414
_HEADERS_TOO_LARGE = 431


class CallerServer(uvicorn.Server):
    """HTTP server that leaves signals to the application object."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


def make_server(application, settings: EntrySettings) -> CallerServer:
    """Returns the server of an ASGI application.

    Args:
        application: ASGI application.
        settings: Address and limits.
    """
    host, port = settings.caller_address.rsplit(":", 1)
    return CallerServer(
        uvicorn.Config(
            application,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http=functools.partial(CallerProtocol, limits=settings.limits),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            timeout_keep_alive=_IDLE_TIMEOUT_S,
            timeout_graceful_shutdown=5,
        )
    )


class _Phase(enum.Enum):
    """Part of a request that is being read."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class CallerProtocol(HttpToolsProtocol):
    """Connection of a caller with bounds that uvicorn lacks.

    Errors are JSON with a code. An error in a pipelined request is sent after
    the responses before it, so that it cannot damage them.

    Args:
        limits: Bounds on size, time and count.
    """

    def __init__(self, *arguments, limits: RequestLimits, **options) -> None:
        super().__init__(*arguments, **options)
        self._limits = limits
        self._phase = _Phase.IDLE
        self._cycles: collections.deque[RequestResponseCycle] = (
            collections.deque()
        )
        self._head_bytes = 0
        self._head_ended = False
        self._field_bytes = 0
        self._field_count = 0
        self._rejection: tuple[ChicoryplankError, int | None] | None = None
        self._deferred: tuple[ChicoryplankError, int | None] | None = None
        self._ended = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._body_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._end_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts the connection, unless there are too many."""
        super().connection_made(transport)
        limit = self._limits.max_connections
        if len(self.connections) > 2 * limit:
            # Connections that still read their rejection are bounded, too.
            transport.abort()
        elif len(self.connections) > limit:
            self._end(
                ChicoryplankError(
                    ErrorCode.TOO_MANY_REQUESTS,
                    f"{limit} connections are open",
                    retry_after=_RETRY_SOON,
                )
            )
        else:
            self._await_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells every request of the connection, not only the last one."""
        for cycle in self._cycles:
            if not cycle.response_complete:
                cycle.disconnected = True
            cycle.message_event.set()
        self._cycles.clear()
        self.pipeline.clear()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        for timer in (
            self._head_timer,
            self._body_timer,
            self._write_timer,
            self._end_timer,
        ):
            if timer is not None:
                timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses input; input after a rejection is dropped."""
        if self._ended or self._deferred is not None:
            return
        self._unset_keepalive_if_required()
        began_in_head = self._phase is not _Phase.BODY
        self._head_ended = False
        rest = data
        while rest:
            try:
                self.parser.feed_data(rest)
                rest = b""
            except httptools.HttpParserUpgrade as upgrade:
                rest = self._decline_upgrade() + rest[upgrade.args[0] :]
            except httptools.HttpParserError:
                self._reject_unparsed()
                return
        if began_in_head and not self._head_ended:
            self._head_bytes += len(data)
        if self._head_bytes > self._limits.max_header_bytes:
            self._set_head_rejection(_HEADERS_TOO_LARGE)
            self._reject_unparsed()
        elif self._phase is _Phase.IDLE and not self._find_open():
            self._await_next()

    def on_message_begin(self) -> None:
        """Starts the time limit for the head."""
        super().on_message_begin()
        self._phase = _Phase.HEAD
        self._field_bytes = 0
        self._field_count = 0
        self._await_head()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the request target."""
        super().on_url(url)
        self._count_head(len(url), _URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers are counted and dropped."""
        self._field_count += 1
        self._count_head(len(name) + len(value) + 4, _HEADERS_TOO_LARGE)
        if self._phase is not _Phase.BODY:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the request or queues it behind the one before."""
        self._stop_head_timer()
        self._head_bytes = 0
        self._head_ended = True
        if self._is_upgrade():
            return
        if len(self.pipeline) >= _MAX_PIPELINED:
            error = ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{_MAX_PIPELINED} requests wait on this connection",
                retry_after=_RETRY_SOON,
            )
            self._rejection = (error, None)
            raise error
        super().on_headers_complete()
        self._phase = _Phase.BODY
        self._find_open()
        self._cycles.append(self.cycle)

    def on_message_complete(self) -> None:
        """Ends the body."""
        if self._is_upgrade():
            return
        super().on_message_complete()
        self._phase = _Phase.IDLE
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def on_response_complete(self) -> None:
        """Starts the next request, or waits for it for a limited time."""
        super().on_response_complete()
        if self.transport.is_closing():
            self._abort_later(self._limits.write_timeout.total_seconds())
            return
        if self._find_open():
            return
        if self._deferred is not None:
            self._end(*self._deferred)
        elif self._phase is _Phase.BODY:
            # The rest of the body is dropped.
            self._unset_keepalive_if_required()
            self._body_timer = self.loop.call_later(
                self._limits.body_timeout.total_seconds(), self.transport.abort
            )

    def pause_writing(self) -> None:
        """Breaks the connection if the caller reads nothing for too long."""
        super().pause_writing()
        self._watch_writing(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Ends the watch of `pause_writing`."""
        super().resume_writing()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, even if output was never read."""
        super().timeout_keep_alive_handler()
        self._abort_later(self._limits.write_timeout.total_seconds())

    def send_400_response(self, msg: str) -> None:
        """Rejects a request that cannot be parsed."""
        self._reject(ChicoryplankError(ErrorCode.MALFORMED_REQUEST, msg))

    def _is_upgrade(self) -> bool:
        return (
            self.parser.should_upgrade()
            and self.parser.get_method() != b"CONNECT"
        )

    def _decline_upgrade(self) -> bytes:
        """Returns the head that was read, without the offer to upgrade.

        httptools skips the body of a request that offers to switch protocols.
        Some HTTP clients offer HTTP/2 with every first request.
        """
        method = self.parser.get_method()
        version = self.parser.get_http_version().encode()
        lines = [method + b" " + self.url + b" HTTP/" + version]
        for name, value in self.headers:
            kept = value
            if name == b"connection":
                tokens = [token.strip() for token in value.lower().split(b",")]
                kept = b", ".join(
                    token for token in tokens if token != b"upgrade"
                )
            if kept and name != b"upgrade":
                lines.append(name + b": " + kept)
        self.parser = httptools.HttpRequestParser(self)
        return b"\r\n".join((*lines, b"", b""))

    def _find_open(self) -> RequestResponseCycle | None:
        """Returns the request that is being served, if any."""
        while self._cycles and self._cycles[0].response_complete:
            self._cycles.popleft()
        return self._cycles[0] if self._cycles else None

    def _count_head(self, count: int, status: int) -> None:
        self._field_bytes += count
        if (
            self._field_bytes > self._limits.max_header_bytes
            or self._field_count > self._limits.max_headers
        ):
            self._set_head_rejection(status)
            raise self._rejection[0]

    def _set_head_rejection(self, status: int) -> None:
        limits = self._limits
        error = ChicoryplankError(
            ErrorCode.REQUEST_TOO_LARGE,
            f"the request line and headers exceed {limits.max_header_bytes} "
            f"bytes or {limits.max_headers} headers",
        )
        self._rejection = (error, status)

    def _reject_unparsed(self) -> None:
        rejection, self._rejection = self._rejection, None
        if rejection is None:
            error = ChicoryplankError(
                ErrorCode.MALFORMED_REQUEST, "the request is not HTTP/1.1"
            )
            rejection = (error, None)
        self._reject(*rejection)

    def _reject(
        self, error: ChicoryplankError, status: int | None = None
    ) -> None:
        """Rejects what is being read, after the responses before it."""
        own = self.cycle if self._phase is _Phase.BODY else None
        if own is not None and self.pipeline:
            # The request in question waits behind another one.
            self.pipeline.popleft()
            self._cycles.pop()
            self.cycle = self._cycles[-1]
        elif own is not None and not own.response_started:
            own.disconnected = True
            own.message_event.set()
            self._cycles.clear()
        elif own is not None and own.response_complete:
            self.transport.abort()
            return
        self._stop_head_timer()
        if self._find_open():
            self._deferred = (error, status)
            # The end of the connection is noticed only while reading.
            self.flow.resume_reading()
        else:
            self._end(error, status)

    def _end(self, error: ChicoryplankError, status: int | None = None) -> None:
        """Sends an error, then closes the connection."""
        self._ended = True
        self._unset_keepalive_if_required()
        metrics.count_refusal(error.code, error.verdict.value)
        response = make_error_response(error, status)
        lines = [STATUS_LINE[response.status_code], b"connection: close\r\n"]
        for name, value in response.raw_headers:
            lines += [name, b": ", value, b"\r\n"]
        self.transport.write(b"".join((*lines, b"\r\n", response.body)))
        self.transport.write_eof()
        self.flow.resume_reading()
        self._abort_later(_LINGER_S)

    def _abort_later(self, delay_s: float) -> None:
        if self._end_timer is None:
            self._end_timer = self.loop.call_later(
                delay_s, self.transport.abort
            )

    def _await_next(self) -> None:
        """Limits the time to the next request."""
        if self._head_timer is None and self.timeout_keep_alive_task is None:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _await_head(self) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            self._limits.header_timeout.total_seconds(), self._expire_head
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _expire_head(self) -> None:
        self._head_timer = None
        if self.flow.read_paused:
            # The head waits in the kernel, not at the caller.
            self._await_head()
        elif self._phase is _Phase.IDLE:
            self.transport.abort()
        else:
            self._reject(
                ChicoryplankError(
                    ErrorCode.REQUEST_TIMEOUT,
                    "the headers did not arrive in time",
                )
            )

    def _watch_writing(self, size: int) -> None:
        self._write_timer = self.loop.call_later(
            self._limits.write_timeout.total_seconds(), self._check_write, size
        )

    def _check_write(self, size: int) -> None:
        left = self.transport.get_write_buffer_size()
        if left < size:
            self._watch_writing(left)
        else:
            self.transport.abort()
