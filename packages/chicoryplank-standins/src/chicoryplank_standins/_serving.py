"""HTTP server and request helpers that the simulated servers share."""

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


class AbortableProtocol(HttpToolsProtocol):
    """HTTP protocol whose handlers can abort the connection."""

    def on_message_begin(self) -> None:
        """Stores the abort function of the transport in the request state."""
        super().on_message_begin()
        self.scope["state"]["abort"] = self.transport.abort


class Notifier:
    """Notifies all waiting tasks of a change."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future] = set()

    def notify(self) -> None:
        """Wakes all waiting tasks."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    def wait(self) -> asyncio.Future[None]:
        """Returns a future that completes at the next call of `notify`.

        The caller is registered immediately, so no notification between this
        call and a later `await` is missed.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        waiter.add_done_callback(self._waiters.discard)
        return waiter


async def abort_connection(request: Request) -> Response:
    """Aborts the connection of a request without a response."""
    request.state.abort()
    await wait_for_disconnect(request)
    return Response(status_code=503)


async def wait_for_disconnect(request: Request) -> None:
    """Waits until the client disconnects; the body must have been read."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def make_error_response(
    status: int, code: str, message: str, **details: Any
) -> JSONResponse:
    """Creates an error response in the format of the OpenAI API."""
    error = {"code": code, "message": message, "type": code, **details}
    return JSONResponse({"error": error}, status)


async def read_json(request: Request) -> dict[str, Any] | None:
    """Returns the JSON object in the body, or None if it contains none."""
    try:
        value = json.loads(await request.body())
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def parse_address(address: str) -> tuple[str, int]:
    """Splits an address of the form `host:port`."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address must be host:port, not {address!r}")
    return host, int(port)


def serve(make_application: Callable[[], Starlette], listen: str) -> None:
    """Serves an application until SIGTERM or SIGINT.

    Args:
        make_application: Creates the application; called in the event loop.
        listen: Address of the form `host:port`.
    """
    asyncio.run(_serve(make_application, listen))


async def _serve(
    make_application: Callable[[], Starlette], listen: str
) -> None:
    host, port = parse_address(listen)
    config = uvicorn.Config(
        make_application(),
        host=host,
        port=port,
        loop="asyncio",
        http=AbortableProtocol,
        ws="none",
        lifespan="on",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=1,
        timeout_keep_alive=75,
        backlog=socket.SOMAXCONN,
    )
    await uvicorn.Server(config).serve()
