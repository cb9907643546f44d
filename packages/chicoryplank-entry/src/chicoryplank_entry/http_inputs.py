"""Parsing and validation of the headers, paths and bodies of HTTP requests."""

import asyncio
import dataclasses
import hashlib
import json
import re
import urllib.parse
from datetime import timedelta

from starlette.requests import Request

from chicoryplank.admission import SMALL_BODY_BYTES
from chicoryplank.configuration import EntrySettings, Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank_entry.client_memory import SCOPE_KEY, RequestMemory

_MAX_KEY_LENGTH = 255
_ESCAPED_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
# Bounds the recursion of backend servers that parse JSON recursively.
_MAX_NESTING_DEPTH = 100
_MAX_TOKENS = 1_000_000
# Token count assumed for admission if the request states no maximum.
_DEFAULT_TOKENS = 256
# Length of the start of the prompt that determines cache affinity.
_PREFIX_CHARACTERS = 512
_PRIORITIES = {
    "urgent": Priority.URGENT,
    "normal": Priority.NORMAL,
    "bulk": Priority.BULK,
}


def read_single_header(request: Request, name: str) -> str | None:
    """Returns the value of a header, or None if the header is absent.

    Raises:
        ChicoryplankError: If the header occurs more than once. The backend
            server might use another occurrence than the validated one.
    """
    values = request.headers.getlist(name)
    if len(values) > 1:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"the header {name} occurs more than once",
        )
    return values[0] if values else None


def read_token(request: Request) -> str:
    """Returns the bearer token of a request.

    Raises:
        ChicoryplankError: With UNKNOWN_ACCOUNT if there is none.
    """
    header = read_single_header(request, "authorization") or ""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_ACCOUNT,
            "the header Authorization: Bearer <token> is missing",
        )
    return token


def read_timeout(request: Request, settings: EntrySettings) -> timedelta:
    """Returns the request timeout, limited to the configured maximum.

    The configured default applies if the header X-Request-Timeout-Ms is absent.

    Raises:
        ChicoryplankError: If the header is malformed or 0.
    """
    text = read_single_header(request, "x-request-timeout-ms")
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
    """Returns the priority class in the header X-Priority, if present.

    Raises:
        ChicoryplankError: If the header is not the name of a priority class.
    """
    text = read_single_header(request, "x-priority")
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
    """Returns the path at the service, as sent by the caller and decoded.

    Returns:
        The path and query as sent, and the percent-decoded path.

    Raises:
        ChicoryplankError: If the path has path parameters, empty or dot
            segments, or if an encoded separator precedes it. The service might
            resolve such a path differently from the entry, which decides by
            the path whether the request is idempotent.
    """
    decoded = "/" + request.path_params["path"]
    raw = request.scope["raw_path"].decode("ascii", "replace")
    # Routes are matched against the decoded path, so an encoded separator
    # would shift the position at which the service's path starts.
    raw_parts = raw.split("/", 4)
    if (
        len(raw_parts) < 5
        or "/" + urllib.parse.unquote(raw_parts[4]) != decoded
    ):
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the path must not contain encoded separators before the path "
            "of the service",
        )
    if ";" in raw_parts[4]:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the path must not contain ';'; encode it as %3B",
        )
    segments = decoded.split("/")[1:]
    if "" in segments[:-1] or {".", ".."} & set(segments):
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the path must not contain empty, . or .. segments",
        )
    path = "/" + raw_parts[4]
    query = request.scope["query_string"].decode("ascii", "replace")
    return (f"{path}?{query}" if query else path), decoded


def read_idempotency_key(request: Request) -> str:
    """Returns the idempotency key, or an empty string if there is none.

    Raises:
        ChicoryplankError: If the key is too long or not printable.
    """
    key = read_single_header(request, "idempotency-key") or ""
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
    """Returns the complete request body.

    Raises:
        ChicoryplankError: If the body exceeds the size limit, does not arrive
            within the body timeout, or there is no memory for it.
    """
    memory: RequestMemory = request.scope[SCOPE_KEY]
    limit = min(settings.limits.max_body_bytes, memory.max_body_bytes)
    announced = request.headers.get("content-length")
    if announced is not None and int(announced) > limit:
        raise _make_size_error(limit)
    body = bytearray()
    try:
        async with asyncio.timeout(
            settings.limits.body_timeout.total_seconds()
        ):
            await memory.reserve(int(announced or 0))
            async for data in request.stream():
                body += data
                if len(body) > limit:
                    raise _make_size_error(limit)
                memory.observe_body(len(body))
                if len(body) > SMALL_BODY_BYTES:
                    await memory.reserve(limit)
    except TimeoutError as error:
        raise ChicoryplankError(
            ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"
        ) from error
    memory.settle(len(body))
    return bytes(body)


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionBody:
    """Fields of a completion request that the entry uses.

    Attributes:
        model: Model name.
        stream: Whether the caller requests server-sent events.
        max_tokens: Maximum number of generated tokens, or the default.
        prefix: Digest of the start of the prompt, for cache affinity.
    """

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
    """Returns a digest of the start of the prompt.

    Requests with the same digest can share a prefix in the engine's cache.
    """
    messages = document.get("messages")
    if isinstance(messages, list) and messages:
        prompt_start = json.dumps(messages[0])[:_PREFIX_CHARACTERS]
    else:
        prompt_start = str(document.get("prompt", ""))[:_PREFIX_CHARACTERS]
    return hashlib.blake2b(
        prompt_start.encode(errors="replace"), digest_size=8
    ).digest()


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not valid JSON")


def _parse_json(body: bytes) -> object:
    """Parses a JSON body strictly.

    Documents that JSON parsers read differently are rejected, so that the
    backend server sees the same values as the entry.

    Raises:
        ChicoryplankError: If the body is invalid JSON, repeats a name of the
            outermost object, is nested too deeply or has unpaired surrogates.
    """
    has_duplicates = False

    def build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        # Called for the outermost object last, so the result for that object
        # is kept.
        nonlocal has_duplicates
        members = dict(pairs)
        has_duplicates = len(members) != len(pairs)
        return members

    try:
        document = json.loads(
            body.decode(),
            parse_constant=_reject_constant,
            object_pairs_hook=build_object,
        )
    except (ValueError, RecursionError) as error:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "the body is not UTF-8-encoded JSON"
        ) from error
    if has_duplicates:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST, "the JSON object has duplicate names"
        )
    _check_depth(document)
    if _ESCAPED_SURROGATE.search(body):
        _check_surrogates(document)
    return document


def _check_surrogates(document: object) -> None:
    """Rejects unpaired surrogates, which cannot be encoded as UTF-8."""
    try:
        json.dumps(document, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            "the body contains an unpaired surrogate",
        ) from error


def _check_depth(document: object) -> None:
    level = [document] if isinstance(document, dict | list) else []
    depth = 0
    while level:
        depth += 1
        if depth > _MAX_NESTING_DEPTH:
            raise ChicoryplankError(
                ErrorCode.MALFORMED_REQUEST,
                f"the body is nested deeper than {_MAX_NESTING_DEPTH} levels",
            )
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]


def parse_completion_body(body: bytes) -> CompletionBody:
    """Parses the body of a completion request.

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
    return CompletionBody(
        model, stream, _read_max_tokens(document), _digest_prefix(document)
    )
