"""What the stand-ins share: the server, faults and waiting for a change."""

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
    """HTTP protocol whose requests can close their connection unanswered."""

    def on_message_begin(self) -> None:
        """Puts the abort function into the state of the request."""
        super().on_message_begin()
        self.scope["state"]["abort"] = self.transport.abort


class Signal:
    """Wakes every task that waits for the next change."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future] = set()

    def notify(self) -> None:
        """Wakes the waiting tasks."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    def wait(self) -> asyncio.Future[None]:
        """Returns a future of the next call of notify.

        The caller is registered at once, also if it awaits the future later.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        waiter.add_done_callback(self._waiters.discard)
        return waiter


async def abort_connection(request: Request) -> Response:
    """Closes the connection of a request without an answer."""
    request.state.abort()
    await wait_for_disconnect(request)
    return Response(status_code=503)


async def wait_for_disconnect(request: Request) -> None:
    """Returns when the client has gone; the body must have been read."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def answer_error(
    status: int, code: str, message: str, **details: Any
) -> JSONResponse:
    """Returns an error in the form of the OpenAI interface."""
    error = {"code": code, "message": message, "type": code, **details}
    return JSONResponse({"error": error}, status)


async def read_json(request: Request) -> dict[str, Any] | None:
    """Returns the JSON object in the body, or None if it holds none."""
    try:
        value = json.loads(await request.body())
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def parse_address(address: str) -> tuple[str, int]:
    """Splits a host and port."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address must be host:port, not {address!r}")
    return host, int(port)


def serve(make_application: Callable[[], Starlette], listen: str) -> None:
    """Serves an application until SIGTERM or SIGINT.

    Args:
        make_application: Called inside the event loop.
        listen: Host and port.
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
