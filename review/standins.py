"""Stand-ins for the platform, its replicas and its clients, and the test bench.

Only the standard library is used. Everything listens on loopback addresses: a
machine is one address in 127.0.0.0/8, drawn at random, so that the fixed ports
of the programs are free.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONE = "toolroom"
REGION = "kwinana"
HOST_NAME = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
_SETTINGS = """\
node-name={name}
role={role}
machine-class={machine_class}
serves={serves}
ip={host}
zone={zone}
region={region}
zones.{zone}={region}
port-range={first_port},{last_port}
seed-nodes=
bootstrap=true
in-tolerance=false
limits.cpu-share=0.537
limits.cpu-cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=directory
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts
fault-tolerance.machines=1
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.contact-ms=3000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.revoke-fail-closed=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-extra=90
bounds.recovery-s=12
bounds.pass-ms=120
bounds.retry-after-s=0
bounds.stall_ms=1500
bounds.require-fencing=true
bounds.ttl_max_s=5
provider.address={store}
provider.form=kv
provider.writes-per-s=400
provider.reads-per-s=2000
provider.history-s=20
provider.value-bytes=1048576
provider.ttl-min-ms=1000
"""


class Record:
    """Record of what was sent, answered and run, also printed.

    Args:
        folder: Folder of the case; the record is its record.txt.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line with the time since the start, in seconds."""
        elapsed_s = time.monotonic() - self._started_s
        line = f"{elapsed_s:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self, text: str) -> None:
        """Adds a last line, prints it too, and closes the file."""
        self.add(text)
        print(text)
        self._file.close()


@dataclasses.dataclass(slots=True)
class Message:
    """An HTTP request or response.

    Attributes:
        first: Words of its first line.
        headers: Headers by lower-case name.
        body: Body without its transfer encoding.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a first line and headers.

    Raises:
        asyncio.IncompleteReadError: If the channel ends before.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a whole request or response; without a length, to the end.

    Raises:
        asyncio.IncompleteReadError: If the channel ends before.
    """
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return message
            message.body += part[:-2]
    length = message.headers.get("content-length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    return message


def encode(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Encodes a request or response with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """HTTP/1.1 server that can be stopped and started at one address.

    Args:
        address: Host and port.
        handle: Answers a request; returns whether the channel stays open.
    """

    def __init__(self, address: str, handle: Handler) -> None:
        self.address = address
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listens."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 22
        )

    def stop(self) -> None:
        """Closes the port and resets all channels, as a crash does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            while await self._answer_or_leave(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(asyncio.current_task())

    async def _answer_or_leave(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one request; drops it when its channel closes."""
        request = await read_message(reader)
        work = asyncio.ensure_future(self._handle(request, writer))
        closed = asyncio.ensure_future(self._wait_closed(reader))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            return work.done() and work.result()
        finally:
            work.cancel()
            closed.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def _wait_closed(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it.

    Args:
        address: Host and port.

    Attributes:
        items: Items by key.
        revision: Revision of the last change.
        delay_s: Time of an answer, in seconds.
    """

    def __init__(self, address: str) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 400
        self.delay_s = 0.004
        self._history: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._granted = 0
        self._changed = asyncio.Event()
        self.server = Server(address, self._handle)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens, and ends leases that were not renewed."""
        await self.server.start()
        self._task = asyncio.ensure_future(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, (_, end_s) in list(self._leases.items()):
                if now_s >= end_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Writes an item; a value that is not bytes is written as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create-rev": known["create-rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Removes an item, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        path, _, query = request.first[1].partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        await asyncio.sleep(self.delay_s)
        status, document = await self._execute(path, fields, body)
        data = json.dumps(document).encode()
        head = {"Content-Type": "application/json"}
        writer.write(encode(f"HTTP/1.1 {status} X", head, data))
        return True

    async def _execute(
        self, path: str, fields: dict, body: dict
    ) -> tuple[int, dict]:
        name, _, number = path.removeprefix("/api/kv-").partition("/")
        if name == "watch":
            return await self._watch(fields)
        if name in ("keep", "lease-end"):
            return self._change_lease(name, int(number))
        calls = {
            "key": lambda: self._read(fields),
            "range": lambda: self._read_range(fields),
            "txn": lambda: self._write(body),
            "lease": lambda: self._grant(body["ttl-ms"]),
        }
        return calls[name]()

    def _read(self, fields: dict) -> tuple[int, dict]:
        item = self.items.get(fields["key"])
        if item is None:
            return 404, {}
        return 200, {**item, "current-rev": self.revision}

    def _grant(self, duration_ms: int) -> tuple[int, dict]:
        self._granted += 1
        lease = 70_000 + self._granted
        duration_s = duration_ms / 1000
        self._leases[lease] = duration_s, time.monotonic() + duration_s
        return 200, {"lease": lease, "ttl-ms": duration_ms}

    def _change_lease(self, name: str, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        if name == "keep":
            duration_s = self._leases[lease][0]
            self._leases[lease] = duration_s, time.monotonic() + duration_s
            return 200, {"ttl-ms": int(duration_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _read_range(self, fields: dict) -> tuple[int, dict]:
        after = fields.get("after", "")
        prefix = fields.get("path-prefix", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:500]]
        return 200, {
            "items": page,
            "more-pages": len(keys) > len(page),
            "current-rev": self.revision,
        }

    async def _watch(self, fields: dict) -> tuple[int, dict]:
        after = int(fields["after"])
        prefix = fields.get("path-prefix", "")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields["wait-ms"]) / 1000):
                while not self._find(prefix, after):
                    await self._changed.wait()
        return 200, {
            "events": self._find(prefix, after),
            "current-rev": self.revision,
        }

    def _find(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _write(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item] if item else []}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            self.put(write["key"], base64.b64decode(write["value"]), lease)
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client saw of one request.

    Attributes:
        request_id: Id of the request.
        sent_s: Time at which it was sent, in seconds.
        ended_s: Time of the end of its answer; None if there was none in time.
        status: Status; 0 if there was none.
        headers: Headers by lower-case name.
        body: Body, as far as it arrived.
        end: How it ended: complete, closed, reset, none.
    """

    request_id: str
    sent_s: float
    ended_s: float | None = None
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    end: str = "none"


async def send_request(
    address: str,
    method: str,
    path: str,
    *,
    deadline_ms: int,
    wait_s: float,
    headers: dict[str, object] | None = None,
    body: bytes = b"",
) -> Answer:
    """Sends a request on a new channel and waits for its answer.

    Args:
        address: Entry to connect to.
        method: HTTP method.
        path: Path and query.
        deadline_ms: How long the client says that it waits, in ms.
        wait_s: How long it does wait, in seconds.
        headers: Further headers.
        body: Body.

    Returns:
        What the client saw; it never raises for a broken channel.
    """
    request_id = f"{random.getrandbits(64):016x}"
    answer = Answer(request_id, time.monotonic())
    fields = {
        "Host": HOST_NAME,
        "Chicoryplank-Request-Id": request_id,
        "Chicoryplank-Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {KEY}",
        **(headers or {}),
    }
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            head = await read_head(reader)
            answer.status, answer.headers = head.status, head.headers
            await _read_body(reader, answer)
            answer.end = "complete"
    except TimeoutError:
        return answer
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        answer.end = "closed"
    except OSError:
        answer.end = "reset"
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.ended_s = time.monotonic()
    return answer


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return
            answer.body += part[:-2]
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(length)
    else:
        answer.body = await reader.read()


class Bench:
    """Starts the project's programs on loopback machines, and ends them.

    Args:
        record: Record of the case.

    Attributes:
        programs: Running programs by name.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.programs: dict[str, subprocess.Popen] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._logs: list = []
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        self._hosts = iter(range(1, 250))
        self.first_port = random.randrange(20_000, 28_000)

    def make_host(self) -> str:
        """Returns an unused loopback address without a port."""
        return f"{self._net}.{next(self._hosts)}"

    def make_address(self, host: str) -> str:
        """Returns a free address of a host."""
        with socket.socket() as sock:
            sock.bind((host, 0))
            return f"{host}:{sock.getsockname()[1]}"

    def start_entry(self, name: str, host: str, store: str) -> dict[str, str]:
        """Starts an entry with the command of the deploy file.

        Returns:
            Its addresses: front, ready, directory.
        """
        addresses = {
            role: self.make_address(host)
            for role in ("front", "ready", "directory")
        }
        text = self._make_settings(name, "entry", "front", host, store)
        for role, address in addresses.items():
            text += f"listen.{role}={address}\n"
        self._start(name, "entry", text)
        return addresses

    def start_agent(self, name: str, host: str, store: str, app: str) -> None:
        """Starts the agent beside the replica at the address `app`."""
        text = self._make_settings(name, "agent", "side", host, store)
        self._start(name, "agent", f"{text}app={app}\n")

    def _make_settings(
        self, name: str, role: str, machine_class: str, host: str, store: str
    ) -> str:
        return _SETTINGS.format(
            name=name,
            role=role,
            machine_class=machine_class,
            serves="front,directory" if role == "entry" else "side",
            host=host,
            zone=ZONE,
            region=REGION,
            first_port=self.first_port,
            last_port=self.first_port + 15,
            store=store,
        )

    def _start(self, name: str, role: str, text: str) -> None:
        path = pathlib.Path(self._folder.name) / f"{name}.conf"
        path.write_text(text, encoding="utf-8")
        self.restart(name, role)

    def restart(self, name: str, role: str = "entry") -> None:
        """Starts a program, again with the settings that it had."""
        folder = pathlib.Path(self._folder.name)
        log = (folder / f"{name}.log").open("ab")
        self._logs.append(log)
        self.programs[name] = subprocess.Popen(
            ["python3", "-m", "chicoryplank_platform.daemon", role],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "LANG": os.environ.get("LANG", ""),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "CHICORYPLANK_CONFIG": str(folder / f"{name}.conf"),
            },
        )
        self.record.add(f"start {name}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a program that this bench started."""
        self.record.add(f"signal {number.name} to {name}")
        self.programs[name].send_signal(number)

    def read_log(self, name: str) -> str:
        """Returns the output of a program."""
        path = pathlib.Path(self._folder.name) / f"{name}.log"
        return path.read_text(errors="replace")

    def measure_cpu_s(self, name: str) -> float:
        """Returns the processor time of a program, in seconds."""
        pid = self.programs[name].pid
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def close(self) -> None:
        """Ends all programs and removes the temporary folder."""
        for program in self.programs.values():
            if program.poll() is None:
                program.send_signal(signal.SIGCONT)
                program.kill()
            program.wait()
        for log in self._logs:
            log.close()
        self._folder.cleanup()


async def ask_ready(address: str) -> bool:
    """Returns whether a readiness check is answered 200 within a second."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(encode("GET /api/ready HTTP/1.1", {"Host": host}))
                return (await read_message(reader)).status == 200
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return False


async def wait_ready(address: str, limit_s: float = 15.0) -> None:
    """Waits until an entry is ready.

    Raises:
        CannotRunError: If it is not ready within the limit, in seconds.
    """
    end_s = time.monotonic() + limit_s
    while not await ask_ready(address):
        if time.monotonic() > end_s:
            raise CannotRunError(f"{address} does not become ready")
        await asyncio.sleep(0.1)


class CannotRunError(Exception):
    """The case could not be run."""


def _stop(number: int, frame: object) -> None:
    """Ends the case on a signal, with its programs."""
    del frame
    raise CannotRunError(f"signal {number}")


def run_case(
    folder: pathlib.Path, main: Callable[[Bench, bool], Awaitable[str | None]]
) -> None:
    """Runs a case and exits with 1 if the rule was broken.

    Args:
        folder: Folder of the case.
        main: Runs the case, with the disruption if its second argument is
            true; returns what broke the rule, or None if it held.

    The exit code is 0 if the rule held, and 2 if the case cannot run.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"TROUBLE={int(has_trouble)}")
    bench = Bench(record)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _stop)
    code, result = 2, "cannot run"
    try:
        broken = asyncio.run(_run_limited(main, bench, has_trouble))
        code = 0 if broken is None else 1
        result = "HELD" if broken is None else f"BROKEN: {broken}"
    except (CannotRunError, TimeoutError) as error:
        result = f"cannot run: {error!r}"
    except OSError as error:
        result = f"cannot run: {error!r}"
    finally:
        bench.close()
        record.close(result)
    sys.stdout.flush()
    # Without the clean-up of tasks that wait for channels.
    os._exit(code)


async def _run_limited(
    main: Callable[[Bench, bool], Awaitable[str | None]],
    bench: Bench,
    has_trouble: bool,
) -> str | None:
    async with asyncio.timeout(110):
        return await main(bench, has_trouble)
