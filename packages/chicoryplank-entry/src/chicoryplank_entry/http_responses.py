"""HTTP responses of the entry: error bodies and server-sent events."""

import asyncio
import re

from starlette.responses import Response

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import NOT_RUN_STATUSES, Verdict
from chicoryplank_entry import metrics
from chicoryplank_entry.responses import (
    CallerResponse,
    ResponseStream,
    format_error,
)

_STATUS_OF_CODE = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.KEY_REQUIRED: 400,
    ErrorCode.UNKNOWN_ACCOUNT: 401,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_PATH: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.REQUEST_TIMEOUT: 408,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.TOO_MANY_REQUESTS: 429,
    ErrorCode.RETRY_BUDGET_EXHAUSTED: 429,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.BACKEND_CRASHED: 502,
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.ANSWER_TRUNCATED: 502,
    ErrorCode.INVARIANT_VIOLATED: 500,
    ErrorCode.INTERNAL_ERROR: 500,
}
_DEFAULT_STATUS = 503
_BAD_GATEWAY = 502
_FINAL_STATUSES = range(200, 600)
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Latin-1 without control characters other than the tab.
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def get_status(error: ChicoryplankError) -> int:
    """Returns the HTTP status of an error.

    A status that means "not run" is used only if the request did not run.
    """
    status = _STATUS_OF_CODE.get(error.code, _DEFAULT_STATUS)
    if error.verdict is not Verdict.NOT_RUN and status in NOT_RUN_STATUSES:
        return _BAD_GATEWAY
    return status


def make_error_response(
    error: ChicoryplankError, status: int | None = None
) -> Response:
    """Creates the HTTP response for an error.

    Args:
        error: Error to return to the caller.
        status: HTTP status that replaces the default of the error code.
    """
    headers = {"X-Verdict": error.verdict.value}
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after.total_seconds()))
        headers["Retry-After"] = str(seconds)
    return Response(
        format_error(error),
        status or get_status(error),
        headers,
        "application/json",
    )


class EventStreamResponse(Response):
    """Streams the server-sent events of a response as they arrive.

    A truncated response ends with an error event and without the end marker,
    so that a caller cannot mistake it for a complete response.

    Args:
        response: Response whose body is a stream.
    """

    def __init__(self, response: CallerResponse) -> None:
        super().__init__(b"", response.status, dict(response.headers))
        del self.headers["content-length"]
        self._stream: ResponseStream = response.body

    async def __call__(self, scope, receive, send) -> None:
        """Sends the response and closes the stream, also after an error."""
        del scope
        sender = asyncio.current_task()
        self._stream.on_abort = sender.cancel
        watcher = asyncio.create_task(_cancel_on_disconnect(receive, sender))
        try:
            await send(
                {
                    "type": "http.response.start",
                    "status": self.status_code,
                    "headers": self.raw_headers,
                }
            )
            await self._send_events(send)
        except asyncio.CancelledError:
            # The watcher cancelled this task because the caller disconnected.
            if not watcher.done():
                raise
        finally:
            self._stream.close()
            watcher.cancel()

    async def _send_events(self, send) -> None:
        try:
            while data := await self._stream.read():
                await send(
                    {
                        "type": "http.response.body",
                        "body": data,
                        "more_body": True,
                    }
                )
            last_chunk = b""
        except ChicoryplankError as error:
            metrics.count_refusal(error.code, error.verdict.value)
            last_chunk = b"data: " + format_error(error) + b"\n\n"
        await send({"type": "http.response.body", "body": last_chunk})


def make_backend_response(response: CallerResponse) -> Response:
    """Creates the HTTP response that passes on that of a backend server.

    Raises:
        ChicoryplankError: With BACKEND_FAILED and verdict MAY_HAVE_RUN if the
            status or a header is invalid.
    """
    _validate_head(response)
    if isinstance(response.body, ResponseStream):
        http_response = EventStreamResponse(response)
    else:
        http_response = Response(
            response.body, response.status, dict(response.headers)
        )
    if response.status in NOT_RUN_STATUSES:
        # A backend server may send such a status after it ran the request.
        http_response.headers["X-Verdict"] = Verdict.MAY_HAVE_RUN.value
    return http_response


def _validate_head(response: CallerResponse) -> None:
    """Checks that the HTTP server can send a response head.

    Raises:
        ChicoryplankError: With BACKEND_FAILED and verdict MAY_HAVE_RUN if the
            status or a header is invalid.
    """
    valid = response.status in _FINAL_STATUSES and all(
        _HEADER_NAME.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
        for name, value in response.headers
    )
    if valid:
        return
    if isinstance(response.body, ResponseStream):
        response.body.close()
    raise ChicoryplankError(
        ErrorCode.BACKEND_FAILED,
        f"the response head of status {response.status} is malformed",
        Verdict.MAY_HAVE_RUN,
    )


async def _cancel_on_disconnect(receive, sender: asyncio.Task) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            sender.cancel()
            return
