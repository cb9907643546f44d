"""A caller interface on the loopback interface with a recording dispatcher."""

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
from chicoryplank_entry.requests import find_route
from chicoryplank_entry.responses import CallerResponse

GROUP = ModelGroupId("toolroom-llm")
SERVICE = ServiceId("quotes")
MODEL_BODY = b'{"model": "drawing"}'
_LIMIT_S = 5
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
    """Answers each request that has a route; keeps the requests."""

    def __init__(self, snapshot):
        self.requests = []
        self.body = b"{}"
        self.status = 200
        self.headers = (("content-type", "application/json"),)
        self.fault = None
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self._snapshot = snapshot

    def check_ready(self):
        """Is always ready."""

    async def dispatch(self, request):
        """Answers when `release` is set."""
        find_route(self._snapshot, request)
        self.requests.append(request)
        if self.fault is not None:
            raise self.fault
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return CallerResponse(self.status, self.headers, self.body)


@dataclasses.dataclass(frozen=True)
class Answer:
    """A parsed response."""

    status: int
    headers: dict
    body: bytes

    @property
    def error(self):
        """Code of the error, as the body says."""
        return json.loads(self.body)["error"]["code"]


class Caller:
    """A connection that sends raw bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        """Sends bytes without waiting."""
        self.writer.write(data)

    async def read(self, method="POST"):
        """Returns the next response; None if the connection ended."""
        async with asyncio.timeout(_LIMIT_S):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
            first, *lines = head.decode().strip().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            size = int(headers.get("content-length", 0))
            body = b""
            if method != "HEAD":
                body = await self.reader.readexactly(size)
        return Answer(int(first.split()[1]), headers, body)

    async def ask(self, data, method="POST"):
        """Sends bytes and returns the response."""
        self.send(data)
        return await self.read(method)

    async def is_closed(self):
        """Waits until the server ends the connection."""
        async with asyncio.timeout(_LIMIT_S):
            with contextlib.suppress(ConnectionError):
                return await self.reader.read(1) == b""
            return True


class ServedSite:
    """The caller interface, its dispatcher and its server."""

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
        self._callers = []
        self._task = None

    @property
    def connections(self):
        """Number of connections that the server holds."""
        return len(self.server.server_state.connections)

    async def start(self):
        """Listens on a free port."""
        self._task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0.005)

    async def connect(self):
        """Returns a new connection."""
        address = self.server.servers[0].sockets[0].getsockname()
        caller = Caller(*await asyncio.open_connection(*address[:2]))
        self._callers.append(caller)
        return caller

    async def close(self):
        """Breaks the connections and stops the server."""
        self.dispatcher.release.set()
        for caller in self._callers:
            caller.writer.transport.abort()
        self.server.should_exit = True
        await self._task


def run_site(work, **limits):
    """Runs `work(site)` and returns its result."""

    async def run():
        site = ServedSite(RequestLimits(**limits))
        await site.start()
        try:
            async with asyncio.timeout(2 * _LIMIT_S):
                return await work(site)
        finally:
            await site.close()

    return asyncio.run(run())


def make_call(path, body=b"", method="POST", token="secret", **headers):  # noqa: S107
    """Returns a request as bytes; `x_priority` names `X-Priority`."""
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


def make_completion(body=MODEL_BODY, **headers):
    """Returns a request for a completion as bytes."""
    return make_call("/v1/completions", body, **headers)
