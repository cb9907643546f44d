"""Error responses of the entry: status, body and Retry-After delay."""

import json
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_wire.server_connection import Reply

_STATUSES = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.UNKNOWN_ACCOUNT: 401,
    ErrorCode.UNKNOWN_PATH: 404,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.RATE_LIMITED: 429,
}
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504


def get_status(error: ChicoryplankError) -> int:
    """Returns the HTTP status of an error.

    Status 503 and the client errors tell the caller that the request did not
    run and will not. They are used only if that is certain.
    """
    if error.verdict is Verdict.NOT_RUN:
        return _STATUSES.get(error.code, _UNAVAILABLE)
    if error.code is ErrorCode.DEADLINE_EXCEEDED:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def send_error(
    reply: Reply, error: ChicoryplankError, headers: list[tuple[str, str]]
) -> int:
    """Sends an error response and returns its status.

    Args:
        reply: Response that has not been started.
        error: Error to report.
        headers: Additional headers.
    """
    status = get_status(error)
    fields = [("content-type", "application/json"), *headers]
    if error.retry_after is not None:
        fields.append(("retry-after", _format_delay(error.retry_after)))
    document = {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "verdict": error.verdict.value,
        }
    }
    reply.send(status, fields, json.dumps(document).encode())
    return status


def _format_delay(delay: timedelta) -> str:
    return f"{max(0.0, delay.total_seconds()):.3f}"
