"""HTTP server for callers, with limits on connections, sizes and timeouts."""

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

from chicoryplank.admission import (
    HEADER_BYTES,
    Activity,
    ClientMemory,
    ClientUsage,
    ShedReason,
)
from chicoryplank.clock import Clock, SystemClock
from chicoryplank.configuration import EntrySettings, RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank_entry import metrics
from chicoryplank_entry.client_memory import (
    SCOPE_KEY,
    RequestMemory,
    compute_limits,
    make_client_memory,
    make_shed_error,
)
from chicoryplank_entry.http_responses import make_error_response
from chicoryplank_wire.server_connection import limit_receive_buffer

_IDLE_TIMEOUT_S = 30
# Time between an error response and the close of its connection. If the caller
# is still sending, closing at once resets the connection, and the caller may
# lose the error response.
_ERROR_LINGER_S = 1.0
# Maximum number of requests of one connection that are queued behind the
# request being served.
_MAX_PIPELINED_REQUESTS = 16
_RETRY_AFTER = timedelta(seconds=1)
_URI_TOO_LONG = 414
_HEADERS_TOO_LARGE = 431
# Memory of a request without its head and body.
_REQUEST_BYTES = 16_384
_MAX_BACKLOG = 2_048


class CallerServer(uvicorn.Server):
    """HTTP server without signal handlers.

    The application object shuts the server down.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


def make_server(
    application, settings: EntrySettings, clock: Clock | None = None
) -> CallerServer:
    """Creates the HTTP server for an ASGI application.

    Args:
        application: ASGI application to serve.
        settings: Settings with the listening address and the request limits.
        clock: Source of time; None for the clock of the system.
    """
    host, port = settings.caller_address.rsplit(":", 1)
    bounds = compute_limits(settings.limits)
    memory = make_client_memory(bounds, clock or SystemClock())
    return CallerServer(
        uvicorn.Config(
            application,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http=functools.partial(
                CallerProtocol, limits=settings.limits, memory=memory
            ),
            # So many may be accepted at once before the first is counted.
            backlog=min(_MAX_BACKLOG, bounds.max_connections),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            timeout_keep_alive=_IDLE_TIMEOUT_S,
            timeout_graceful_shutdown=5,
        )
    )


class _ReadPhase(enum.Enum):
    """Part of the request that the parser currently reads."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class CallerProtocol(HttpToolsProtocol):
    """HTTP/1.1 connection of a caller, with limits that uvicorn lacks.

    Errors are sent as JSON with an error code. If a pipelined request is
    malformed, the error response is sent after the responses to the preceding
    requests, so that it is not written into the middle of one of them.

    Args:
        *arguments: Positional arguments of uvicorn's protocol class.
        limits: Limits on request sizes, timeouts and number of connections.
        memory: Bound on the memory of all callers.
        **options: Keyword arguments of uvicorn's protocol class.
    """

    def __init__(
        self,
        *arguments,
        limits: RequestLimits,
        memory: ClientMemory,
        **options,
    ) -> None:
        super().__init__(*arguments, **options)
        self._limits = limits
        self._memory = memory
        self._usage: ClientUsage | None = None
        # Parts of a body since the last one that was passed on.
        self._parsed_body = bytearray()
        self._read_phase = _ReadPhase.IDLE
        self._cycles: collections.deque[RequestResponseCycle] = (
            collections.deque()
        )
        self._bytes_outside_body = 0
        self._parsed_head_bytes = 0
        self._header_count = 0
        self._refusal: tuple[ChicoryplankError, int | None] | None = None
        self._deferred_refusal: tuple[ChicoryplankError, int | None] | None = (
            None
        )
        self._error_sent = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._body_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._abort_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts the connection if the number of connections permits it."""
        super().connection_made(transport)
        self._usage = self._memory.open(self._shed)
        if self._usage is None:
            transport.abort()
            return
        limit_receive_buffer(transport.get_extra_info("socket"))
        limit = self._limits.max_connections
        if len(self.connections) > 2 * limit:
            # Refused connections stay open until the error response is sent,
            # so their number is limited, too.
            transport.abort()
        elif len(self.connections) > limit:
            self._send_error_and_close(
                ChicoryplankError(
                    ErrorCode.TOO_MANY_REQUESTS,
                    f"{limit} connections are open",
                    retry_after=_RETRY_AFTER,
                )
            )
        else:
            self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies all requests of the connection, including queued ones.

        Uvicorn notifies the latest request only.
        """
        for cycle in self._cycles:
            if not cycle.response_complete:
                cycle.disconnected = True
            cycle.message_event.set()
        self._cycles.clear()
        self.pipeline.clear()
        if self._usage is not None:
            self._memory.close(self._usage)
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        for timer in (
            self._head_timer,
            self._body_timer,
            self._write_timer,
            self._abort_timer,
        ):
            if timer is not None:
                timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; bytes after a refused request are dropped."""
        if self._error_sent or self._deferred_refusal is not None:
            return
        self._parse(data)
        self._report_usage(len(data))

    def _parse(self, data: bytes) -> None:
        self._unset_keepalive_if_required()
        self._bytes_outside_body += len(data)
        unparsed = data
        while unparsed:
            try:
                self.parser.feed_data(unparsed)
                unparsed = b""
            except httptools.HttpParserUpgrade as upgrade:
                unparsed = self._decline_upgrade() + unparsed[upgrade.args[0] :]
            except httptools.HttpParserError:
                self._parsed_body.clear()
                self._refuse_unparsable()
                return
        self._pass_body()
        # The parser collects a header or trailer until its end, and skips chunk
        # extensions of any length.
        if self._bytes_outside_body > self._limits.max_header_bytes:
            self._set_head_too_large(_HEADERS_TOO_LARGE)
            self._refuse_unparsable()
        elif (
            self._read_phase is _ReadPhase.IDLE and not self._get_active_cycle()
        ):
            self._start_keep_alive_timer()

    def on_message_begin(self) -> None:
        """Starts the timeout for the request line and headers."""
        super().on_message_begin()
        self._read_phase = _ReadPhase.HEAD
        self._parsed_head_bytes = 0
        self._header_count = 0
        self._start_head_timer()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target and checks the size limit."""
        super().on_url(url)
        self._add_to_head_size(len(url), _URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header; trailers only count towards the limits."""
        self._header_count += 1
        self._add_to_head_size(len(name) + len(value) + 4, _HEADERS_TOO_LARGE)
        if self._read_phase is not _ReadPhase.BODY:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts the request, or queues it behind the preceding request."""
        self._stop_head_timer()
        self._bytes_outside_body = 0
        if self._is_upgrade():
            return
        if len(self.pipeline) >= _MAX_PIPELINED_REQUESTS:
            error = ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{_MAX_PIPELINED_REQUESTS} requests are queued on this "
                "connection",
                retry_after=_RETRY_AFTER,
            )
            self._refusal = (error, None)
            raise error
        self.scope[SCOPE_KEY] = RequestMemory(
            self._memory,
            self._usage,
            _REQUEST_BYTES + self._measure_head(),
            self._report_usage,
        )
        super().on_headers_complete()
        self._read_phase = _ReadPhase.BODY
        self._get_active_cycle()
        self._cycles.append(self.cycle)

    def on_body(self, body: bytes) -> None:
        """Collects the parts of a body that were received together.

        Passing each of them on would copy the body once for each.
        """
        self._bytes_outside_body = 0
        self._parsed_body += body

    def _pass_body(self) -> None:
        if self._parsed_body:
            body = bytes(self._parsed_body)
            self._parsed_body.clear()
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Marks the request body as complete and stops its timeout."""
        if self._is_upgrade():
            return
        self._pass_body()
        super().on_message_complete()
        self._bytes_outside_body = 0
        self._read_phase = _ReadPhase.IDLE
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def on_response_complete(self) -> None:
        """Continues with the next request, a pending refusal or the body.

        The rest of a request body that the handler did not read is received
        and dropped within the body timeout.
        """
        self._memory.release(self._usage)
        super().on_response_complete()
        self._report_usage()
        if self.transport.is_closing():
            self._abort_later(self._limits.write_timeout.total_seconds())
            return
        if self._get_active_cycle():
            return
        if self._deferred_refusal is not None:
            self._send_error_and_close(*self._deferred_refusal)
        elif self._read_phase is _ReadPhase.BODY:
            # The response was sent before the body had arrived completely.
            self._unset_keepalive_if_required()
            self._body_timer = self.loop.call_later(
                self._limits.body_timeout.total_seconds(), self.transport.abort
            )

    def pause_writing(self) -> None:
        """Starts the timeout that aborts a connection without progress."""
        super().pause_writing()
        self._memory.observe_unread(
            self._usage, self.transport.get_write_buffer_size()
        )
        self._start_write_timer(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Stops the timeout that `pause_writing` started."""
        super().resume_writing()
        self._memory.observe_unread(self._usage, 0)
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection.

        The connection is aborted after the write timeout, because a close
        does not complete while the caller leaves output unread.
        """
        super().timeout_keep_alive_handler()
        self._abort_later(self._limits.write_timeout.total_seconds())

    def send_400_response(self, msg: str) -> None:
        """Refuses a malformed request with a JSON error in place of text."""
        self._refuse(ChicoryplankError(ErrorCode.MALFORMED_REQUEST, msg))

    def _is_upgrade(self) -> bool:
        return (
            self.parser.should_upgrade()
            and self.parser.get_method() != b"CONNECT"
        )

    def _decline_upgrade(self) -> bytes:
        """Restarts parsing without the protocol upgrade that a request offers.

        httptools does not parse the body of a request with an Upgrade header.
        Some HTTP clients offer an upgrade to HTTP/2 in the first request of
        each connection.

        Returns:
            The request line and headers, without the upgrade, to parse again.
        """
        method = self.parser.get_method()
        version = self.parser.get_http_version().encode()
        lines = [method + b" " + self.url + b" HTTP/" + version]
        for name, value in self.headers:
            new_value = value
            if name == b"connection":
                tokens = [token.strip() for token in value.lower().split(b",")]
                new_value = b", ".join(
                    token for token in tokens if token != b"upgrade"
                )
            if new_value and name != b"upgrade":
                lines.append(name + b": " + new_value)
        self.parser = httptools.HttpRequestParser(self)
        return b"\r\n".join((*lines, b"", b""))

    def _get_active_cycle(self) -> RequestResponseCycle | None:
        """Returns the oldest request without a complete response, if any."""
        while self._cycles and self._cycles[0].response_complete:
            self._cycles.popleft()
        return self._cycles[0] if self._cycles else None

    def _add_to_head_size(self, length: int, status: int) -> None:
        self._parsed_head_bytes += length
        if (
            self._parsed_head_bytes > self._limits.max_header_bytes
            or self._header_count > self._limits.max_headers
        ):
            self._set_head_too_large(status)
            raise self._refusal[0]

    def _set_head_too_large(self, status: int) -> None:
        limits = self._limits
        error = ChicoryplankError(
            ErrorCode.REQUEST_TOO_LARGE,
            f"the request line and headers exceed {limits.max_header_bytes} "
            f"bytes or {limits.max_headers} headers",
        )
        self._refusal = (error, status)

    def _measure_head(self) -> int:
        return self._parsed_head_bytes + self._header_count * HEADER_BYTES

    def _report_usage(self, received_bytes: int = 0) -> None:
        """Reports what this connection holds, which may shed connections."""
        self._get_active_cycle()
        held_bytes = self._bytes_outside_body
        if self._read_phase is _ReadPhase.HEAD:
            held_bytes += self._measure_head()
        for cycle in self._cycles:
            held_bytes += cycle.scope[SCOPE_KEY].held_bytes + len(cycle.body)
        if self._read_phase is not _ReadPhase.IDLE or self.pipeline:
            activity = Activity.RECEIVING
        else:
            activity = Activity.BUSY if self._cycles else Activity.IDLE
        self._memory.set_activity(self._usage, activity)
        self._memory.observe(
            self._usage,
            held_bytes,
            received_bytes,
            is_paused=self.flow.read_paused,
        )

    def _shed(self, reason: ShedReason) -> int | None:
        """Ends this connection, or what is not in progress on it.

        Returns:
            Memory of the request in progress, in bytes; None if there is none.
        """
        active = self._get_active_cycle()
        is_idle = active is None and self._read_phase is _ReadPhase.IDLE
        if reason is ShedReason.UNREAD or is_idle or self._error_sent:
            self.transport.abort()
            return None
        self._drop_queued()
        self._parsed_body.clear()
        self._refuse(make_shed_error())
        if self._error_sent:
            # The error is sent; a caller that sends on is not waited for.
            self.loop.call_soon(self.transport.abort)
        if self._error_sent or active is None:
            return None
        return active.scope[SCOPE_KEY].held_bytes

    def _drop_queued(self) -> None:
        """Removes the requests behind the one in progress."""
        while self.pipeline:
            self.pipeline.popleft()
            self.cycle = self._cycles[-2]
            self._cycles.pop()
            self._read_phase = _ReadPhase.IDLE

    def _refuse_unparsable(self) -> None:
        refusal, self._refusal = self._refusal, None
        if refusal is None:
            error = ChicoryplankError(
                ErrorCode.MALFORMED_REQUEST,
                "the request is not valid HTTP/1.1",
            )
            refusal = (error, None)
        self._refuse(*refusal)

    def _refuse(
        self, error: ChicoryplankError, status: int | None = None
    ) -> None:
        """Refuses the request being read, after the preceding responses."""
        current = self.cycle if self._read_phase is _ReadPhase.BODY else None
        if current is not None and self.pipeline:
            # The refused request is queued behind another one; it is removed
            # from the queue.
            self.pipeline.popleft()
            self._cycles.pop()
            self.cycle = self._cycles[-1]
        elif current is not None and not current.response_started:
            current.disconnected = True
            current.message_event.set()
            self._cycles.clear()
        elif current is not None and current.response_complete:
            self.transport.abort()
            return
        self._stop_head_timer()
        if self._get_active_cycle():
            self._deferred_refusal = (error, status)
            # A disconnect is detected only while the transport is reading.
            self.flow.resume_reading()
        else:
            self._send_error_and_close(error, status)

    def _send_error_and_close(
        self, error: ChicoryplankError, status: int | None = None
    ) -> None:
        """Sends an error response and closes the connection."""
        self._error_sent = True
        self._unset_keepalive_if_required()
        metrics.count_refusal(error.code, error.verdict.value)
        response = make_error_response(error, status)
        lines = [STATUS_LINE[response.status_code], b"connection: close\r\n"]
        for name, value in response.raw_headers:
            lines += [name, b": ", value, b"\r\n"]
        self.transport.write(b"".join((*lines, b"\r\n", response.body)))
        self.transport.write_eof()
        self.flow.resume_reading()
        self._abort_later(_ERROR_LINGER_S)

    def _abort_later(self, delay_s: float) -> None:
        if self._abort_timer is None:
            self._abort_timer = self.loop.call_later(
                delay_s, self.transport.abort
            )

    def _start_keep_alive_timer(self) -> None:
        """Starts the idle timeout unless a timeout for the head is running."""
        if self._head_timer is None and self.timeout_keep_alive_task is None:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _start_head_timer(self) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            self._limits.header_timeout.total_seconds(),
            self._handle_head_timeout,
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        self._head_timer = None
        if self.flow.read_paused:
            # While reading is paused, the head may be waiting in the socket
            # buffer, so the caller is not at fault.
            self._start_head_timer()
        elif self._read_phase is _ReadPhase.IDLE:
            self.transport.abort()
        else:
            self._refuse(
                ChicoryplankError(
                    ErrorCode.REQUEST_TIMEOUT,
                    "the headers did not arrive in time",
                )
            )

    def _start_write_timer(self, size: int) -> None:
        self._write_timer = self.loop.call_later(
            self._limits.write_timeout.total_seconds(),
            self._check_write_progress,
            size,
        )

    def _check_write_progress(self, size: int) -> None:
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes < size:
            self._start_write_timer(unsent_bytes)
        else:
            self.transport.abort()
