"""In-process HTTP client of an ASGI application."""

import asyncio
import dataclasses
import json
from typing import Any


@dataclasses.dataclass
class Call:
    """A call in progress with the part of the response received so far."""

    status: int = 0
    body: bytes = b""
    aborted: bool = False
    disconnected: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    task: asyncio.Task | None = None

    def disconnect(self) -> None:
        """Simulates a disconnect by the client."""
        self.disconnected.set()

    def abort(self) -> None:
        """Simulates an abort of the connection by the server."""
        self.aborted = True
        self.disconnected.set()

    def json(self) -> Any:
        """Parses the response body as JSON."""
        return json.loads(self.body)


def start(
    application: Any,
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Call:
    """Starts a call in a new task."""
    call = Call()
    data = b"" if body is None else json.dumps(body).encode()
    messages = [{"type": "http.request", "body": data, "more_body": False}]

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop()
        await call.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        if call.disconnected.is_set():
            return
        if message["type"] == "http.response.start":
            call.status = message["status"]
        else:
            call.body += message.get("body", b"")

    path, _, query = target.partition("?")
    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "query_string": query.encode(),
        "headers": [
            (name.encode(), value.encode())
            for name, value in (headers or {}).items()
        ],
        "state": {"abort": call.abort},
    }
    call.task = asyncio.ensure_future(application(scope, receive, send))
    return call


async def request(application: Any, *arguments: Any, **fields: Any) -> Call:
    """Makes a call and waits for the complete response."""
    call = start(application, *arguments, **fields)
    await call.task
    return call


async def settle() -> None:
    """Lets other tasks run for 20 iterations of the event loop."""
    for _ in range(20):
        await asyncio.sleep(0)
