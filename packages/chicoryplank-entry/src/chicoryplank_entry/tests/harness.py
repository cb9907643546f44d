"""Test harness that serves the caller interface with a fake dispatcher."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json

from chicoryplank.configuration import (
    AccountConfiguration,
    EntrySettings,
    GroupConfiguration,
    InstanceListSettings,
    Priority,
    RequestLimits,
    ServiceConfiguration,
    Snapshot,
    StoreSettings,
)
from chicoryplank.ids import (
    AccountId,
    ConfigVersion,
    InstanceId,
    ModelGroupId,
    ServiceId,
    ZoneId,
)
from chicoryplank.process_state import ProcessState
from chicoryplank_entry.caller_server import make_server
from chicoryplank_entry.http import CallerInterface
from chicoryplank_entry.requests import choose_route
from chicoryplank_entry.responses import CallerResponse

GROUP = ModelGroupId("toolroom-llm")
SERVICE = ServiceId("quotes")
MODEL_BODY = b'{"model": "drawing"}'
_TIMEOUT_S = 5
_SETTINGS = EntrySettings(
    InstanceId("entry-1"),
    ZoneId("toolroom"),
    "127.0.0.1:1",
    "127.0.0.1:2",
    StoreSettings("127.0.0.1:3"),
    InstanceListSettings("127.0.0.1:4"),
)


def make_snapshot():
    """Returns one account that may use one group and one service."""
    account = AccountConfiguration(
        hashlib.sha256(b"secret").hexdigest(),
        10,
        1000,
        Priority.NORMAL,
        frozenset({GROUP}),
        frozenset({SERVICE}),
    )
    return Snapshot(
        ConfigVersion(1),
        {AccountId("estimating"): account},
        {GROUP: GroupConfiguration(("drawing",), "v1", 1, 1000.0)},
        {SERVICE: ServiceConfiguration("quotes", ("/send",))},
    )


class RecordingDispatcher:
    """Fake dispatcher, which records requests and returns a fixed response.

    Requests without a route are refused as in the real dispatcher.

    Attributes:
        requests: Requests with a route, in order of arrival.
        body: Body of the response.
        status: Status of the response.
        headers: Headers of the response.
        error_to_raise: Exception raised in place of a response, if any.
        cancelled: Number of requests cancelled before their response.
        release: Responses are returned while this event is set.
    """

    def __init__(self, snapshot):
        self.requests = []
        self.body = b"{}"
        self.status = 200
        self.headers = (("content-type", "application/json"),)
        self.error_to_raise = None
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self._snapshot = snapshot

    def check_ready(self):
        """Accepts all requests."""

    async def dispatch(self, request):
        """Records a request and responds when `release` is set."""
        choose_route(self._snapshot, request)
        self.requests.append(request)
        if self.error_to_raise is not None:
            raise self.error_to_raise
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return CallerResponse(self.status, self.headers, self.body)


@dataclasses.dataclass(frozen=True)
class Response:
    """A parsed HTTP response."""

    status: int
    headers: dict
    body: bytes

    @property
    def error(self):
        """Error code in the body."""
        return json.loads(self.body)["error"]["code"]


class RawConnection:
    """A client connection that sends raw bytes and parses responses."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        """Writes bytes without waiting for a response."""
        self.writer.write(data)

    async def read(self, method="POST"):
        """Returns the next response; None if the connection ended."""
        async with asyncio.timeout(_TIMEOUT_S):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
            status_line, *header_lines = head.decode().strip().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in header_lines)
            size = int(headers.get("content-length", 0))
            body = b""
            if method != "HEAD":
                body = await self.reader.readexactly(size)
        return Response(int(status_line.split()[1]), headers, body)

    async def request(self, data, method="POST"):
        """Writes bytes and returns the next response."""
        self.send(data)
        return await self.read(method)

    async def is_closed(self):
        """Returns whether the server closes the connection without a byte."""
        async with asyncio.timeout(_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                return await self.reader.read(1) == b""
            return True


class ServerHarness:
    """The caller interface, its fake dispatcher and its HTTP server."""

    def __init__(self, limits):
        settings = dataclasses.replace(_SETTINGS, limits=limits)
        process_state = ProcessState()
        process_state.snapshot.write(make_snapshot())
        self.dispatcher = RecordingDispatcher(make_snapshot())
        interface = CallerInterface(
            settings, process_state, self.dispatcher, lambda _: ["127.0.0.1:1"]
        )
        self.server = make_server(interface.make_application(), settings)
        self.server.config.port = 0
        self._opened_connections = []
        self._task = None

    @property
    def connections(self):
        """Number of connections that the server holds."""
        return len(self.server.server_state.connections)

    async def start(self):
        """Starts the server on a free port."""
        self._task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0.005)

    async def connect(self):
        """Opens a connection to the server."""
        address = self.server.servers[0].sockets[0].getsockname()
        connection = RawConnection(*await asyncio.open_connection(*address[:2]))
        self._opened_connections.append(connection)
        return connection

    async def close(self):
        """Aborts all connections and stops the server."""
        self.dispatcher.release.set()
        for connection in self._opened_connections:
            connection.writer.transport.abort()
        self.server.should_exit = True
        await self._task


def run_with_harness(scenario, **limits):
    """Runs `scenario(harness)` and returns its result.

    Args:
        scenario: Coroutine function that receives a started ServerHarness.
        **limits: Fields of RequestLimits that differ from the defaults.
    """

    async def run():
        harness = ServerHarness(RequestLimits(**limits))
        await harness.start()
        try:
            async with asyncio.timeout(2 * _TIMEOUT_S):
                return await scenario(harness)
        finally:
            await harness.close()

    return asyncio.run(run())


def make_request(path, body=b"", method="POST", token="secret", **headers):  # noqa: S107
    """Returns an HTTP request as bytes.

    Underscores in the names of headers are replaced by hyphens.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {token}",
        f"Content-Length: {len(body)}",
    ]
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def make_completion_request(body=MODEL_BODY, **headers):
    """Returns a completion request as bytes."""
    return make_request("/v1/completions", body, **headers)
