"""What the entry reads from HTTP requests, checked at the boundary."""

import asyncio
import dataclasses
import hashlib
import json
import re
import urllib.parse
from datetime import timedelta

from starlette.requests import Request

from chicoryplank.configuration import EntrySettings, Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode

_MAX_KEY_LENGTH = 255
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
# Backend servers may parse recursively.
_MAX_DEPTH = 100
_MAX_TOKENS = 1_000_000
# Assumed where the request states no bound.
_DEFAULT_TOKENS = 256
_PREFIX_CHARACTERS = 512
_PRIORITIES = {
    "urgent": Priority.URGENT,
    "normal": Priority.NORMAL,
    "bulk": Priority.BULK,
}


def read_single(request: Request, name: str) -> str | None:
    """Returns a header that must not be repeated; None if it is absent.

    Raises:
        ChicoryplankError: If there are several. The backend server might use
            another one than the one that was checked.
    """
    values = request.headers.getlist(name)
    if len(values) > 1:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, f"the header {name} is repeated"
        )
    return values[0] if values else None


def read_token(request: Request) -> str:
    """Returns the bearer token.

    Raises:
        ChicoryplankError: With UNKNOWN_ACCOUNT if there is none.
    """
    header = read_single(request, "authorization") or ""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_ACCOUNT,
            "the header Authorization: Bearer <token> is missing",
        )
    return token


def read_timeout(request: Request, settings: EntrySettings) -> timedelta:
    """Returns the time until the caller's deadline, bounded by the settings.

    Raises:
        ChicoryplankError: If the header is malformed or 0.
    """
    text = read_single(request, "x-request-timeout-ms")
    if text is None:
        return settings.limits.default_timeout
    max_ms = int(settings.limits.max_timeout.total_seconds() * 1000)
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"X-Request-Timeout-Ms must be 1 to {max_ms}, not {text[:40]!r}",
        )
    timeout_ms = int(text)
    if timeout_ms == 0:
        raise ChicoryplankError(
            ErrorCode.DEADLINE_EXCEEDED, "X-Request-Timeout-Ms is 0"
        )
    return timedelta(milliseconds=min(timeout_ms, max_ms))


def read_priority(request: Request) -> Priority | None:
    """Returns the priority class that the caller asked for, if any.

    Raises:
        ChicoryplankError: If the header names no class.
    """
    text = read_single(request, "x-priority")
    if text is None:
        return None
    if text not in _PRIORITIES:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"X-Priority must be one of {', '.join(_PRIORITIES)}, "
            f"not {text[:40]!r}",
        )
    return _PRIORITIES[text]


def read_service_path(request: Request) -> tuple[str, str]:
    """Returns the path and query as the caller sent them, and decoded.

    Raises:
        ChicoryplankError: If the path has empty or dot segments, or encoded
            separators before it. The service might resolve them to another
            path than the one that decides whether the call is idempotent.
    """
    decoded = "/" + request.path_params["path"]
    raw = request.scope["raw_path"].decode("ascii", "replace")
    # The route was found by the decoded path, so that an encoded separator
    # moves the start of the service's path.
    parts = raw.split("/", 4)
    if len(parts) < 5 or "/" + urllib.parse.unquote(parts[4]) != decoded:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the path must not contain encoded separators before the path "
            "of the service",
        )
    if ";" in parts[4]:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the path must not contain ';'; write %3B",
        )
    segments = decoded.split("/")[1:]
    if "" in segments[:-1] or {".", ".."} & set(segments):
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the path must not contain empty, . or .. segments",
        )
    path = "/" + parts[4]
    query = request.scope["query_string"].decode("ascii", "replace")
    return (f"{path}?{query}" if query else path), decoded


def read_key(request: Request) -> str:
    """Returns the idempotency key, or an empty string.

    Raises:
        ChicoryplankError: If the key is too long or not printable.
    """
    key = read_single(request, "idempotency-key") or ""
    printable = key.isascii() and (not key or key.isprintable())
    if not printable or len(key) > _MAX_KEY_LENGTH:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"Idempotency-Key must be up to {_MAX_KEY_LENGTH} printable ASCII "
            "characters",
        )
    return key


def _make_size_error(limit: int) -> ChicoryplankError:
    return ChicoryplankError(
        ErrorCode.REQUEST_TOO_LARGE, f"the body is larger than {limit} bytes"
    )


async def read_body(request: Request, settings: EntrySettings) -> bytes:
    """Returns the whole body within the limits on size and time.

    Raises:
        ChicoryplankError: If the body is too large or late.
    """
    limit = settings.limits.max_body_bytes
    announced = request.headers.get("content-length", "0")
    if int(announced) > limit:
        raise _make_size_error(limit)
    pieces = []
    size = 0
    try:
        async with asyncio.timeout(
            settings.limits.body_timeout.total_seconds()
        ):
            async for data in request.stream():
                size += len(data)
                if size > limit:
                    raise _make_size_error(limit)
                pieces.append(data)
    except TimeoutError as error:
        raise ChicoryplankError(
            ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"
        ) from error
    return b"".join(pieces)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelBody:
    """What the entry needs to know of a request to a model."""

    model: str
    stream: bool
    max_tokens: int
    prefix: bytes


def _read_max_tokens(document: dict) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = document.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise ChicoryplankError(
                ErrorCode.MALFORMED_REQUEST,
                f"{name} must be a positive integer",
            )
        return min(value, _MAX_TOKENS)
    return _DEFAULT_TOKENS


def _digest_prefix(document: dict) -> bytes:
    """Returns a digest of the start of the prompt, which caches share."""
    messages = document.get("messages")
    if isinstance(messages, list) and messages:
        start = json.dumps(messages[0])[:_PREFIX_CHARACTERS]
    else:
        start = str(document.get("prompt", ""))[:_PREFIX_CHARACTERS]
    return hashlib.blake2b(
        start.encode(errors="replace"), digest_size=8
    ).digest()


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _parse_json(body: bytes) -> object:
    """Parses a body that the backend server must read in the same way."""
    repeated = False

    def collect(pairs: list[tuple[str, object]]) -> dict[str, object]:
        # The outermost object is the last one.
        nonlocal repeated
        collected = dict(pairs)
        repeated = len(collected) != len(pairs)
        return collected

    try:
        document = json.loads(
            body.decode(),
            parse_constant=_refuse_constant,
            object_pairs_hook=collect,
        )
    except (ValueError, RecursionError) as error:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "the body is not JSON in UTF-8"
        ) from error
    if repeated:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "the body repeats a name"
        )
    _check_depth(document)
    if _SURROGATE.search(body):
        _check_text(document)
    return document


def _check_text(document: object) -> None:
    """Rejects half characters, which cannot be written as UTF-8."""
    try:
        json.dumps(document, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "the body has an unpaired surrogate"
        ) from error


def _check_depth(document: object) -> None:
    level = [document] if isinstance(document, dict | list) else []
    depth = 0
    while level:
        depth += 1
        if depth > _MAX_DEPTH:
            raise ChicoryplankError(
                ErrorCode.MALFORMED_REQUEST,
                f"the body is nested deeper than {_MAX_DEPTH}",
            )
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]


def parse_model_body(body: bytes) -> ModelBody:
    """Returns what the entry needs of a completion request.

    Raises:
        ChicoryplankError: If the body is malformed.
    """
    document = _parse_json(body)
    if not isinstance(document, dict):
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "the body is not a JSON object"
        )
    model = document.get("model")
    stream = document.get("stream", False)
    if not isinstance(model, str) or not model:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "model must be a non-empty string"
        )
    if stream is None:
        stream = False
    if not isinstance(stream, bool):
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "stream must be true or false"
        )
    return ModelBody(
        model, stream, _read_max_tokens(document), _digest_prefix(document)
    )
