"""Routes and handlers of the HTTP interface for callers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import prometheus_client
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chicoryplank.configuration import EntrySettings
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.process_state import ProcessState
from chicoryplank.verdict import Verdict
from chicoryplank_entry import metrics
from chicoryplank_entry.client_memory import (
    check_parsed_size,
    compute_max_parsed_bytes,
)
from chicoryplank_entry.dispatch import Dispatcher
from chicoryplank_entry.http_inputs import (
    parse_completion_body,
    read_body,
    read_idempotency_key,
    read_priority,
    read_service_path,
    read_single_header,
    read_timeout,
    read_token,
)
from chicoryplank_entry.http_responses import (
    make_backend_response,
    make_error_response,
)
from chicoryplank_entry.requests import CallerRequest, RequestKind, find_account

_METHOD_NOT_ALLOWED = 405
_FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")


def _handle_unexpected_error(request: Request, error: Exception) -> Response:
    """Logs an unexpected exception of a handler and responds with an error.

    The verdict is MAY_HAVE_RUN, since the handler may have sent the request.
    """
    emit(
        Event.REQUEST_FAILED,
        method=request.method,
        path=request.url.path[:100],
        error=repr(error),
    )
    response_error = ChicoryplankError(
        ErrorCode.INTERNAL_ERROR,
        "the entry failed to serve the request",
        Verdict.MAY_HAVE_RUN,
    )
    metrics.count_refusal(response_error.code, response_error.verdict.value)
    return make_error_response(response_error)


async def _handle_routing_error(
    request: Request, error: HTTPException
) -> Response:
    """Responds with an error to a path or method without a handler."""
    method_and_path = f"{request.method} {request.url.path[:100]}"
    if error.status_code == _METHOD_NOT_ALLOWED:
        code = ErrorCode.METHOD_NOT_ALLOWED
        message = f"method not allowed for this path: {method_and_path}"
    else:
        code = ErrorCode.UNKNOWN_PATH
        message = f"unknown path: {method_and_path}"
    response_error = ChicoryplankError(code, message)
    metrics.count_refusal(response_error.code, response_error.verdict.value)
    response = make_error_response(response_error)
    response.headers.update(error.headers or {})
    return response


Handler = Callable[[Request], Awaitable[Response]]


class CallerInterface:
    """Handlers of the HTTP interface for callers.

    Args:
        settings: Settings of the entry.
        process_state: Source of the active configuration.
        dispatcher: Runs the requests.
        choose_addresses: Returns the entry addresses that a caller should
            use, given its Authorization header or its host.
    """

    def __init__(
        self,
        settings: EntrySettings,
        process_state: ProcessState,
        dispatcher: Dispatcher,
        choose_addresses: Callable[[str], list[str]],
    ) -> None:
        self._settings = settings
        self._max_parsed_bytes = compute_max_parsed_bytes(settings.limits)
        self._process_state = process_state
        self._dispatcher = dispatcher
        self._choose_addresses = choose_addresses

    def make_application(self) -> Starlette:
        """Creates the ASGI application with all routes."""
        post = ["POST"]
        methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
        application = Starlette(
            routes=[
                self._route(
                    "/v1/chat/completions", self._serve_completion, post
                ),
                self._route("/v1/completions", self._serve_completion, post),
                self._route("/v1/models", self._list_models),
                self._route(
                    "/v1/services/{service}/{path:path}",
                    self._call_service,
                    methods,
                ),
                self._route("/v1/addresses", self._list_addresses),
                self._route("/healthz", self._check_health),
                self._route("/readyz", self._check_ready),
                self._route("/metrics", self._get_metrics),
            ],
            exception_handlers={HTTPException: _handle_routing_error},
        )
        # Following a redirect, a caller would send a non-idempotent request
        # a second time.
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
                return _handle_unexpected_error(request, error)

        return Route(path, handle, methods=methods or ["GET"])

    async def _dispatch(
        self, request: Request, caller_request: CallerRequest
    ) -> Response:
        dispatch_task = asyncio.create_task(
            self._dispatcher.dispatch(caller_request)
        )
        disconnect_task = asyncio.create_task(_wait_disconnect(request))
        try:
            await asyncio.wait(
                (dispatch_task, disconnect_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not dispatch_task.done():
                dispatch_task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await dispatch_task
                return Response(status_code=499)
            response = await dispatch_task
        except asyncio.CancelledError:
            dispatch_task.cancel()
            raise
        finally:
            disconnect_task.cancel()
        return make_backend_response(response)

    async def _serve_completion(self, request: Request) -> Response:
        token = read_token(request)
        self._dispatcher.check_ready()
        find_account(self._process_state.snapshot.value, token)
        timeout = read_timeout(request, self._settings)
        priority = read_priority(request)
        body = await read_body(request, self._settings)
        check_parsed_size(body, self._max_parsed_bytes)
        parsed = parse_completion_body(body)
        return await self._dispatch(
            request,
            CallerRequest(
                RequestKind.MODEL,
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
        token = read_token(request)
        self._dispatcher.check_ready()
        find_account(self._process_state.snapshot.value, token)
        timeout = read_timeout(request, self._settings)
        priority = read_priority(request)
        key = read_idempotency_key(request)
        body = await read_body(request, self._settings)
        path, decoded_path = read_service_path(request)
        headers = tuple(
            (name, value)
            for name in _FORWARDED_HEADERS
            if (value := read_single_header(request, name)) is not None
        )
        return await self._dispatch(
            request,
            CallerRequest(
                RequestKind.SERVICE,
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
        snapshot = self._process_state.snapshot.value
        _, account = find_account(snapshot, read_token(request))
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
        version = self._process_state.snapshot.value.version
        return JSONResponse({"config_version": version})

    async def _get_metrics(self, request: Request) -> Response:
        del request
        return Response(
            prometheus_client.generate_latest(),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )


async def _wait_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        continue
