"""Fixture of an entry between scripted replicas and a raw caller."""

import asyncio
import random
from datetime import timedelta

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import SystemClock
from chicoryplank.ids import (
    AccountId,
    ConfigVersion,
    InstanceId,
    ServiceId,
    ZoneId,
)
from chicoryplank.traffic import (
    ClientLimits,
    EngineProfile,
    ReplicaRecord,
    ReplicaState,
    RequestKind,
    Route,
    Service,
    Share,
    TrafficConfiguration,
)
from chicoryplank_entry.forwarding.backends import BackendPool
from chicoryplank_entry.forwarding.exchange import Exchange
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.permits import Permits
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_wire.server_connection import CallerConnection, ListenerHooks

NAMES = HeaderNames(
    request_id="x-id",
    time_left="x-left-ms",
    expected_instance="x-expected",
    account="x-account",
    not_run="x-not-run",
    proof="x-proof",
    urgency="x-urgency",
    at_fault="x-at-fault",
)
SERVICE = ServiceId("llm")


def make_replica_pair(*scripts):
    """Returns two replicas that share one list of scripts."""
    pair = [Replica(), Replica()]
    shared = list(scripts)
    for replica in pair:
        replica.scripts = shared
    return pair


class RecordedRequest:
    """Request as received by a replica."""

    def __init__(self, head, body):
        lines = head.decode().split("\r\n")
        self.method, self.target, _ = lines[0].split(" ")
        self.headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(": ")
            if separator:
                self.headers[name.lower()] = value
        self.body = body


class Replica:
    """Server that responds to each request with the next script.

    A script is an asynchronous function of the request and the writer. It
    returns True to keep the connection open. The last script is used for all
    further requests.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.closed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                recorded = RecordedRequest(head, b"")
                length = int(recorded.headers.get("content-length", 0))
                recorded.body = await reader.readexactly(length)
                self.requests.append(recorded)
                script = self.scripts[0]
                if len(self.scripts) > 1:
                    self.scripts.pop(0)
                if not await script(recorded, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


def make_head(recorded, status="200 OK", *, proof=True, extra=()):
    """Returns the status line and headers of a response without framing."""
    lines = [f"HTTP/1.1 {status}", f"X-Id: {recorded.headers.get('x-id', '')}"]
    if proof:
        lines.append("X-Proof: signed")
    lines.extend(extra)
    return lines


def write_response(writer, lines, body=b"", *, length=None):
    """Writes a response with a Content-Length header."""
    size = len(body) if length is None else length
    lines = [*lines, f"Content-Length: {size}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)


def respond(body=b"done", status="200 OK", *, proof=True, extra=()):
    """Returns a script that sends a complete response."""

    async def script(recorded, writer):
        write_response(
            writer, make_head(recorded, status, proof=proof, extra=extra), body
        )
        await writer.drain()
        return True

    return script


def reject(status="503 Service Unavailable", extra=()):
    """Returns a script that reports that the request did not run."""
    return respond(b"", status, proof=False, extra=("X-Not-Run: 1", *extra))


def drop():
    """Returns a script that closes the connection without a response."""

    async def script(recorded, writer):
        return False

    return script


def hang():
    """Returns a script that never responds."""

    async def script(recorded, writer):
        await asyncio.sleep(60)
        return False

    return script


def stream(events, *, ends=True, rest=b""):
    """Returns a script that streams events in chunks."""

    async def script(recorded, writer):
        lines = make_head(
            recorded,
            extra=(
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "",
                "",
            ),
        )
        writer.write("\r\n".join(lines).encode())
        for event in [*events, *([rest] if rest else [])]:
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.002)
        if ends:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return ends

    return script


def make_event(number):
    """Returns a server-sent event."""
    return b"id: %d\ndata: word %d\n\n" % (number, number)


def make_route(kind, **fields):
    """Returns the only route of the configuration."""
    values = {
        "timeout": timedelta(seconds=2),
        "target": timedelta(milliseconds=400),
        "max_runs": 2,
        "resumable": kind is RequestKind.STREAMING,
    }
    values.update(fields)
    return Route(
        "route", "shop.example", "/", kind, (Share(SERVICE, 1.0),), **values
    )


class EntryFixture:
    """Entry that forwards requests to scripted replicas."""

    def __init__(
        self,
        *replicas,
        kind=RequestKind.IDEMPOTENT,
        parameters=None,
        engine=None,
        is_configured=True,
        pacing=None,
        **route,
    ):
        self.replicas = replicas
        self.state = EntryState(
            SystemClock(),
            ZoneId("hall-a"),
            random.Random(1),
            RetryBudgetParameters(1.0, 100),
            registration_grace_s=2.0,
        )
        # The entry has run long enough to retry requests.
        self.state.started_s -= 60.0
        self.pool = BackendPool(NAMES.request_id, self.state.now_s)
        own = InstanceId("entry")
        self.members = [own]
        self.permits = Permits(
            own, self.state, lambda: self.members, lambda *message: None
        )
        self.exchange = Exchange(
            self.state,
            NAMES,
            self.pool,
            self.permits,
            parameters or ExchangeParameters(),
            pacing=pacing,
        )
        service = Service(SERVICE, engine=engine)
        self.configuration = TrafficConfiguration(
            ConfigVersion(1),
            (make_route(kind, **route),),
            {SERVICE: service},
            ClientLimits(max_head_bytes=4096, max_body_bytes=10_000),
            {"key-1": AccountId("quotes")},
            {},
            requires_api_key=True,
        )
        if is_configured:
            self.state.activate(self.configuration)
        self._server = None
        self._connections = set()
        self.port = 0

    async def __aenter__(self):
        self.state.registry.observe_recovery(0.0)
        for number, replica in enumerate(self.replicas):
            self.state.registry.put(
                ReplicaRecord(
                    InstanceId(f"replica-{number}"),
                    SERVICE,
                    await replica.start(),
                    ZoneId("hall-a"),
                    2,
                    ReplicaState.READY,
                )
            )
        self.state.refresh_candidates()
        hooks = ListenerHooks(
            self.exchange.handle,
            self.state.get_limits,
            self.state.now_s,
            lambda: self.state.is_draining,
            self._connections,
        )
        loop = asyncio.get_running_loop()
        self._checks = loop.create_task(self.state.run_checks())
        self._server = await loop.create_server(
            lambda: CallerConnection(hooks), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *details):
        self._server.close()
        self._checks.cancel()
        self.pool.close()
        for replica in self.replicas:
            await replica.stop()

    async def connect(self):
        """Connects a caller and returns its reader and writer."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send_request(self, **fields):
        """Sends one request and returns status, headers and body."""
        reader, writer = await self.connect()
        try:
            writer.write(make_request(**fields))
            return await read_response(reader)
        finally:
            writer.close()


def make_request(
    method="GET",
    target="/cards/1",
    body=b"",
    left_ms=1500,
    key="key-1",
    *,
    request_id="77",
    **more,
):
    """Returns the bytes of a caller's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: shop.example",
        f"X-Id: {request_id}",
        f"X-Left-Ms: {left_ms}",
        f"Authorization: Bearer {key}",
    ]
    lines.extend(f"{name}: {value}" for name, value in more.items())
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_response(reader):
    """Returns status, headers and body; the body is None if incomplete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = dict(
        line.lower().split(": ", 1) for line in head[1:] if ": " in line
    )
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return status, headers, body
    body = b""
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return status, headers, None
        if not size:
            return status, headers, body
        body += data[:-2]


LOCKSTEP_ENGINE = EngineProfile(slots=2, experts=4)
