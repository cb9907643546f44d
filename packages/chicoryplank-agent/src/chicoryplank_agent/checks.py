"""Validation of requests from entries before they reach the backend server.

The agent does not rely on the checks of the entry, since any process that can
connect to its port can send a request.
"""

import re
from datetime import UTC, datetime, timedelta

from chicoryplank.configuration import RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank_wire import relay_pb2

_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
# Excludes ";" and "#": the HTTP client drops path parameters and fragments.
_PATH = re.compile(r"""/[!"$-:<->@-~]*(\?[!"$-~]*)?""")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
# Headers that the agent and its HTTP client set themselves.
_RESERVED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
# The year 3000; arithmetic on much later times overflows.
_MAX_UNIX_MS = 32_503_680_000_000


def check_start(start: relay_pb2.Start, limits: RequestLimits) -> None:
    """Checks the method, path, headers and body of a request.

    Raises:
        ChicoryplankError: With MALFORMED_REQUEST or REQUEST_TOO_LARGE and
            verdict NOT_RUN.
    """
    if start.method not in _METHODS:
        raise _make_error(f"unsupported method {start.method[:20]!r}")
    if _PATH.fullmatch(start.path) is None:
        raise _make_error(f"malformed path {start.path[:60]!r}")
    size = len(start.path)
    names = set()
    for header in start.headers:
        name = header.name.lower()
        if (
            _HEADER_NAME.fullmatch(name) is None
            or name in _RESERVED_HEADERS
            or name in names
        ):
            raise _make_error(
                f"malformed, reserved or repeated header {header.name[:60]!r}"
            )
        if _HEADER_VALUE.fullmatch(header.value) is None:
            raise _make_error(f"control character in header {name}")
        names.add(name)
        size += len(header.name) + len(header.value)
    if size > limits.max_header_bytes:
        raise _make_error(f"path and headers of {size} bytes exceed the limit")
    if len(start.body) > limits.max_body_bytes:
        raise ChicoryplankError(
            ErrorCode.REQUEST_TOO_LARGE,
            f"request body larger than {limits.max_body_bytes} bytes",
        )


def read_deadline(start: relay_pb2.Start) -> datetime:
    """Returns the wall-clock deadline of a request, at most the year 3000."""
    unix_ms = min(start.deadline_unix_ms, _MAX_UNIX_MS)
    return datetime.fromtimestamp(unix_ms / 1000, UTC)


def read_budget(start: relay_pb2.Start, limits: RequestLimits) -> timedelta:
    """Returns the time left for a request, at most `limits.max_timeout`."""
    return min(timedelta(milliseconds=start.budget_ms), limits.max_timeout)


def _make_error(detail: str) -> ChicoryplankError:
    return ChicoryplankError(
        ErrorCode.MALFORMED_REQUEST, f"request rejected by the agent: {detail}"
    )
