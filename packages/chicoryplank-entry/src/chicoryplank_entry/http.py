"""HTTP interface for callers."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import re
import urllib.parse
from collections.abc import Awaitable, Callable
from datetime import timedelta

import prometheus_client
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chicoryplank.blackboard import Blackboard
from chicoryplank.configuration import EntrySettings, Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.verdict import Verdict
from chicoryplank_entry import metrics
from chicoryplank_entry.dispatch import Dispatcher
from chicoryplank_entry.requests import CallerRequest, Kind, find_account
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
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.ANSWER_TRUNCATED: 502,
    ErrorCode.INVARIANT_VIOLATED: 500,
    ErrorCode.INTERNAL_ERROR: 500,
}
_DEFAULT_STATUS = 503
_METHOD_NOT_ALLOWED = 405
_PASSED_HEADERS = ("content-type", "accept", "idempotency-key")
_MAX_KEY_LENGTH = 255
_FINAL_STATUSES = range(200, 600)
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Characters that Latin-1 has, without control characters.
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
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


def make_error_response(
    error: ChicoryplankError, status: int | None = None
) -> Response:
    """Returns the HTTP response of an error.

    Args:
        error: The error.
        status: HTTP status if it does not follow from the code.
    """
    headers = {"X-Verdict": error.verdict.value}
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after.total_seconds()))
        headers["Retry-After"] = str(seconds)
    return Response(
        format_error(error),
        status or _STATUS_OF_CODE.get(error.code, _DEFAULT_STATUS),
        headers,
        "application/json",
    )


class EventResponse(Response):
    """Sends the events of a response as they arrive.

    A response that breaks off ends with an error event and without the end
    marker, so that it never looks whole.
    """

    def __init__(self, response: CallerResponse) -> None:
        super().__init__(b"", response.status, dict(response.headers))
        del self.headers["content-length"]
        self._stream: ResponseStream = response.body

    async def __call__(self, scope, receive, send) -> None:
        """Sends the response; the stream is closed in any case."""
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
            # The caller went away; nothing is left to send.
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
            last = b""
        except ChicoryplankError as error:
            metrics.count_refusal(error.code, error.verdict.value)
            last = b"data: " + format_error(error) + b"\n\n"
        await send({"type": "http.response.body", "body": last})


def _check_head(response: CallerResponse) -> None:
    """Rejects a response head that the HTTP server cannot write.

    Raises:
        ChicoryplankError: With BACKEND_FAILED; the request may have run.
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


def _read_single(request: Request, name: str) -> str | None:
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


def _read_token(request: Request) -> str:
    header = _read_single(request, "authorization") or ""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise ChicoryplankError(
            ErrorCode.UNKNOWN_ACCOUNT,
            "the header Authorization: Bearer <token> is missing",
        )
    return token


def _read_timeout(request: Request, settings: EntrySettings) -> timedelta:
    text = _read_single(request, "x-request-timeout-ms")
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


def _read_priority(request: Request) -> Priority | None:
    text = _read_single(request, "x-priority")
    if text is None:
        return None
    if text not in _PRIORITIES:
        raise ChicoryplankError(
            ErrorCode.MALFORMED_REQUEST,
            f"X-Priority must be one of {', '.join(_PRIORITIES)}, "
            f"not {text[:40]!r}",
        )
    return _PRIORITIES[text]


def _read_service_path(request: Request) -> tuple[str, str]:
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


def _read_key(request: Request) -> str:
    key = _read_single(request, "idempotency-key") or ""
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


async def _read_body(request: Request, settings: EntrySettings) -> bytes:
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
class _ModelBody:
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


def _parse_model_body(body: bytes) -> _ModelBody:
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
    return _ModelBody(
        model, stream, _read_max_tokens(document), _digest_prefix(document)
    )


def _answer_fault(request: Request, error: Exception) -> Response:
    """Returns the error of an unexpected fault, after which all goes on."""
    emit(
        Event.REQUEST_FAILED,
        method=request.method,
        path=request.url.path[:100],
        error=repr(error),
    )
    failure = ChicoryplankError(
        ErrorCode.INTERNAL_ERROR,
        "the entry failed to serve the request",
        Verdict.MAY_HAVE_RUN,
    )
    metrics.count_refusal(failure.code, failure.verdict.value)
    return make_error_response(failure)


async def _answer_unrouted(request: Request, error: HTTPException) -> Response:
    """Returns the error of a path or method that has no handler."""
    shown = f"{request.method} {request.url.path[:100]}"
    if error.status_code == _METHOD_NOT_ALLOWED:
        code = ErrorCode.METHOD_NOT_ALLOWED
        message = f"the path does not take the method: {shown}"
    else:
        code = ErrorCode.UNKNOWN_PATH
        message = f"the path is unknown: {shown}"
    failure = ChicoryplankError(code, message)
    metrics.count_refusal(failure.code, failure.verdict.value)
    response = make_error_response(failure)
    response.headers.update(error.headers or {})
    return response


Handler = Callable[[Request], Awaitable[Response]]


class CallerInterface:
    """Handlers of the HTTP interface for callers.

    Args:
        settings: Settings of the entry.
        blackboard: Configuration in force.
        dispatcher: Sends requests to agents.
        choose_addresses: Returns the addresses that a caller should use.
    """

    def __init__(
        self,
        settings: EntrySettings,
        blackboard: Blackboard,
        dispatcher: Dispatcher,
        choose_addresses: Callable[[str], list[str]],
    ) -> None:
        self._settings = settings
        self._blackboard = blackboard
        self._dispatcher = dispatcher
        self._choose_addresses = choose_addresses

    def make_application(self) -> Starlette:
        """Returns the ASGI application."""
        post = ["POST"]
        methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
        application = Starlette(
            routes=[
                self._route("/v1/chat/completions", self._complete, post),
                self._route("/v1/completions", self._complete, post),
                self._route("/v1/models", self._list_models),
                self._route(
                    "/v1/services/{service}/{path:path}",
                    self._call_service,
                    methods,
                ),
                self._route("/v1/addresses", self._list_addresses),
                self._route("/healthz", self._check_health),
                self._route("/readyz", self._check_ready),
                self._route("/metrics", self._show_metrics),
            ],
            exception_handlers={HTTPException: _answer_unrouted},
        )
        # A redirect would make callers repeat non-idempotent requests.
        application.router.redirect_slashes = False
        return application

    def _route(
        self, path: str, handler: Handler, methods: list[str] | None = None
    ) -> Route:
        async def handle(request: Request) -> Response:
            try:
                return await handler(request)
            except ChicoryplankError as error:
                metrics.count_refusal(error.code, error.verdict.value)
                return make_error_response(error)
            except ClientDisconnect:
                return Response(status_code=400)
            except Exception as error:
                return _answer_fault(request, error)

        return Route(path, handle, methods=methods or ["GET"])

    async def _dispatch(
        self, request: Request, caller_request: CallerRequest
    ) -> Response:
        work = asyncio.create_task(self._dispatcher.dispatch(caller_request))
        gone = asyncio.create_task(_wait_disconnect(request))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
                return Response(status_code=499)
            response = await work
        except asyncio.CancelledError:
            work.cancel()
            raise
        finally:
            gone.cancel()
        _check_head(response)
        if isinstance(response.body, ResponseStream):
            return EventResponse(response)
        return Response(response.body, response.status, dict(response.headers))

    async def _complete(self, request: Request) -> Response:
        token = _read_token(request)
        self._dispatcher.check_ready()
        find_account(self._blackboard.snapshot.value, token)
        timeout = _read_timeout(request, self._settings)
        priority = _read_priority(request)
        body = await _read_body(request, self._settings)
        parsed = _parse_model_body(body)
        return await self._dispatch(
            request,
            CallerRequest(
                Kind.MODEL,
                parsed.model,
                token,
                "POST",
                request.url.path,
                (("Content-Type", "application/json"),),
                body,
                parsed.stream,
                priority,
                timeout,
                prefix=parsed.prefix,
                max_tokens=parsed.max_tokens,
            ),
        )

    async def _call_service(self, request: Request) -> Response:
        token = _read_token(request)
        self._dispatcher.check_ready()
        find_account(self._blackboard.snapshot.value, token)
        timeout = _read_timeout(request, self._settings)
        priority = _read_priority(request)
        key = _read_key(request)
        body = await _read_body(request, self._settings)
        path, decoded_path = _read_service_path(request)
        headers = tuple(
            (name, value)
            for name in _PASSED_HEADERS
            if (value := _read_single(request, name)) is not None
        )
        return await self._dispatch(
            request,
            CallerRequest(
                Kind.SERVICE,
                request.path_params["service"],
                token,
                request.method,
                path,
                headers,
                body,
                False,
                priority,
                timeout,
                key,
                decoded_path=decoded_path,
            ),
        )

    async def _list_models(self, request: Request) -> Response:
        snapshot = self._blackboard.snapshot.value
        _, account = find_account(snapshot, _read_token(request))
        models = sorted(
            model
            for group_id in account.groups
            if group_id in snapshot.groups
            for model in snapshot.groups[group_id].models
        )
        data = [
            {"id": model, "object": "model", "owned_by": "chicoryplank"}
            for model in models
        ]
        return JSONResponse({"object": "list", "data": data})

    async def _list_addresses(self, request: Request) -> Response:
        host = request.client.host if request.client else ""
        caller = request.headers.get("authorization", host)
        return JSONResponse(
            {
                "addresses": self._choose_addresses(caller),
                "ttl_s": self._settings.address_ttl.total_seconds(),
            }
        )

    async def _check_health(self, request: Request) -> Response:
        del request
        return JSONResponse({"instance": self._settings.instance})

    async def _check_ready(self, request: Request) -> Response:
        del request
        self._dispatcher.check_ready()
        version = self._blackboard.snapshot.value.version
        return JSONResponse({"config_version": version})

    async def _show_metrics(self, request: Request) -> Response:
        del request
        return Response(
            prometheus_client.generate_latest(),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )


async def _wait_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        continue
