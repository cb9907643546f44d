"""HTTP client of the agent for its backend server."""

import asyncio
import dataclasses
import json
import re
from collections.abc import AsyncIterator
from datetime import timedelta

import aiosonic
from aiosonic.exceptions import ConnectTimeout
from aiosonic.timeout import Timeouts

from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_agent.backend_limit import BackendLimit
from chicoryplank_wire.client_connection import (
    BreakReason,
    ConnectionBrokenError,
    connect,
)
from chicoryplank_wire.http import HTTP_FAILURES, make_client, read_content

EVENT_STREAM = "text/event-stream"
_CONNECT_TIMEOUT_S = 1.0
# Time in seconds before a connection is tried after a break, since a process
# that ends closes its sockets one after the other.
_CRASH_CHECK_DELAY_S = 0.02
_HTTP_OK = 200
# Statuses of complete responses that HTTP defines.
_FINAL_STATUSES = range(200, 600)
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_EVENT_ID = re.compile(rb"^id: ?(\S+)", re.MULTILINE)
_END_MARKER = b"data: [DONE]"
_MAX_RESUMES = 3
# Largest event of a stream, and largest JSON document, in bytes.
_MAX_EVENT_BYTES = 1_048_576
_MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# Time in seconds in which a cancellation or a JSON document is answered.
_CALL_TIMEOUT_S = 10.0
_CLOSE = {"Connection": "close"}
_RESPONSE_HEADERS = frozenset({"content-type", "retry-after"})


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """Request to the backend server.

    Attributes:
        request_id: Id under which the response can be resumed or the request
            cancelled.
        method: HTTP method.
        path: Path and query string.
        headers: Headers as (name, value).
        body: Request body.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendResponse:
    """Response of the backend server, whose body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed on, as (lower-case name, value).
        body: Chunks of the body. If the body is an event stream, each chunk
            consists of complete events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]


class BackendClient:
    """Client of one backend server.

    Each request is sent on a connection of its own. On a persistent connection
    the HTTP client may send a request a second time when the connection breaks,
    and a late response to an earlier request cannot be told from the response
    to the next one, since backend servers need not send a request id.

    Args:
        address: Host and port of the backend server.
        max_connections: Maximum number of concurrent requests.
        clock: Source of time.

    Attributes:
        limit: Limit that the backend server names for all its requests.
    """

    def __init__(
        self, address: str, max_connections: int, clock: Clock
    ) -> None:
        self.limit = BackendLimit(address, clock)
        self._address = address
        self._url = f"http://{address}"
        self._client = make_client(
            max_connections, max_requests=0, reads_unframed=True
        )

    async def close(self) -> None:
        """Closes all connections to the backend server."""
        await self._client.aclose()

    async def send(self, request: BackendRequest) -> BackendResponse:
        """Sends a request and returns its response, with an unread body.

        Raises:
            ChicoryplankError: With verdict NOT_RUN if the limit of the backend
                server is used up or no connection was made, otherwise
                MAY_HAVE_RUN.
        """
        self.limit.check()
        headers = dict(request.headers)
        headers["X-Request-Id"] = request.request_id
        response = await self._send_request(
            request.method, request.path, headers, request.body
        )
        response_headers = tuple(
            (name.lower(), value)
            for name, value in response.headers.items()
            if name.lower() in _RESPONSE_HEADERS
        )
        if not _has_body(request.method, response):
            await response.aclose()
            body = _read_empty_body()
        elif _has_event_type(response):
            body = self._read_events(request.request_id, response)
        else:
            body = self._read_body(response)
        return BackendResponse(response.status_code, response_headers, body)

    async def cancel(self, request_id: str) -> None:
        """Asks the backend server to cancel a request; ignores failures."""
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                await self.limit.wait()
                path = f"/v1/streams/{request_id}"
                response = await self._send_request("DELETE", path, {}, b"")
                await response.aclose()
        except (ChicoryplankError, *HTTP_FAILURES):
            return

    async def fetch_json(self, path: str) -> dict | None:
        """Returns a JSON document, or None if it cannot be fetched."""
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                await self.limit.wait()
                response = await self._send_request("GET", path, {}, b"")
                if response.status_code != _HTTP_OK:
                    await response.aclose()
                    return None
                content = await read_content(response, _MAX_DOCUMENT_BYTES)
            return json.loads(content)
        except (ChicoryplankError, *HTTP_FAILURES):
            return None

    async def post_json(
        self, path: str, body: bytes, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Sends a JSON document and returns the response status and body.

        Raises:
            ChicoryplankError: With verdict NOT_RUN if no connection was made,
                otherwise MAY_HAVE_RUN.
        """
        headers = {"Content-Type": "application/json"}
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self.limit.wait()
                response = await self._send_request("POST", path, headers, body)
                content = await read_content(response, _MAX_DOCUMENT_BYTES)
        except HTTP_FAILURES as error:
            raise _make_response_error(error) from error
        return response.status_code, content

    async def _send_request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> aiosonic.HttpResponse:
        timeouts = Timeouts(
            sock_connect=_CONNECT_TIMEOUT_S,
            sock_read=None,
            request_timeout=None,
        )
        sent_s = self.limit.get_now_s()
        try:
            response = await self._client.request(
                self._url + path,
                method,
                headers=headers | _CLOSE,
                data=body or None,
                stream=True,
                timeouts=timeouts,
            )
        except (ConnectionRefusedError, ConnectTimeout) as error:
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED,
                "cannot connect to the backend server",
                Verdict.NOT_RUN,
            ) from error
        except HTTP_FAILURES as error:
            raise await self._make_break_error(error) from error
        if response.status_code not in _FINAL_STATUSES:
            await response.aclose()
            raise ChicoryplankError(
                ErrorCode.BACKEND_FAILED,
                f"status {response.status_code} of the backend server is "
                "invalid",
                Verdict.MAY_HAVE_RUN,
            )
        self.limit.observe(response.status_code, response.headers, sent_s)
        return response

    async def _read_events(
        self, request_id: str, response: aiosonic.HttpResponse
    ) -> AsyncIterator[bytes]:
        """Yields complete events and resumes the stream when it breaks."""
        last_event_id = b""
        for _ in range(_MAX_RESUMES + 1):
            failure = None
            buffer = b""
            ended = False
            try:
                async for data in response.read_chunks():
                    buffer += data
                    boundary = buffer.rfind(b"\n\n") + 2
                    if boundary < 2:
                        if len(buffer) > _MAX_EVENT_BYTES:
                            raise ValueError("event exceeds the size limit")
                        continue
                    events, buffer = buffer[:boundary], buffer[boundary:]
                    ended = _ends_with_marker(events)
                    last_event_id = _get_last_event_id(events, last_event_id)
                    yield events
            except HTTP_FAILURES as error:
                failure = error
            finally:
                await response.aclose()
            if ended:
                return
            if not last_event_id:
                raise await self._make_break_error(failure)
            await self.limit.wait()
            try:
                response = await self._send_request(
                    "GET",
                    f"/v1/streams/{request_id}",
                    {"Last-Event-ID": last_event_id.decode()},
                    b"",
                )
            except ChicoryplankError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    raise
                raise await self._make_break_error(error) from error
            if not _is_event_stream(response):
                await response.aclose()
                raise _make_response_error(failure)
        raise _make_response_error(failure)

    async def _read_body(
        self, response: aiosonic.HttpResponse
    ) -> AsyncIterator[bytes]:
        try:
            async for data in response.read_chunks():
                yield data
        except HTTP_FAILURES as error:
            raise await self._make_break_error(error) from error
        finally:
            await response.aclose()

    async def _make_break_error(
        self, error: BaseException | None
    ) -> ChicoryplankError:
        """Returns the error of a response that is missing or incomplete.

        A backend server that refuses connections right after one has broken
        has crashed; a broken connection alone does not show that.
        """
        if await self._refuses_connections():
            return ChicoryplankError(
                ErrorCode.BACKEND_CRASHED,
                "the backend server crashed while it processed the request",
                Verdict.MAY_HAVE_RUN,
            )
        return _make_response_error(error)

    async def _refuses_connections(self) -> bool:
        await asyncio.sleep(_CRASH_CHECK_DELAY_S)
        try:
            connection = await connect(self._address, _CONNECT_TIMEOUT_S)
        except ConnectionBrokenError as error:
            return error.reason is BreakReason.REFUSED
        connection.abort()
        return False


def _has_body(method: str, response: aiosonic.HttpResponse) -> bool:
    """Tells whether a response has a body.

    The HTTP client returns the connection of a response without a body to its
    pool, but would still wait for a chunk on it if the body were read.
    """
    if method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return False
    if response.chunked:
        return True
    length = response.headers.get("content-length")
    return length is None or int(length) > 0


def _has_event_type(response: aiosonic.HttpResponse) -> bool:
    """Tells whether the content type of a response is an event stream."""
    content_type = response.headers.get("content-type", "")
    return content_type.lower().startswith(EVENT_STREAM)


def _is_event_stream(response: aiosonic.HttpResponse) -> bool:
    """Tells whether a response goes on with a stream, and is no error."""
    return (
        response.status_code == _HTTP_OK
        and _has_body("GET", response)
        and _has_event_type(response)
    )


async def _read_empty_body() -> AsyncIterator[bytes]:
    return
    yield


def _ends_with_marker(events: bytes) -> bool:
    """Tells whether the last of some events is the end marker.

    Generated text may contain the marker, but never at the start of a line,
    since JSON escapes line breaks.
    """
    last = events[events.rfind(b"\n\n", 0, -2) + 1 :]
    return _END_MARKER in last.split(b"\n")


def _get_last_event_id(events: bytes, default: bytes) -> bytes:
    found = _EVENT_ID.findall(events)
    return found[-1] if found else default


def _make_response_error(error: BaseException | None) -> ChicoryplankError:
    reason = "end marker missing" if error is None else repr(error)
    return ChicoryplankError(
        ErrorCode.BACKEND_FAILED,
        f"incomplete response of the backend server: {reason}",
        Verdict.MAY_HAVE_RUN,
    )
