"""Processes of a whole site on the loopback interface.

`Fleet` starts, pauses and ends processes, `Forwarder` is a TCP link that can
be cut, and `Site` starts the stand-ins, the agents and the entries.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import aiosonic

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.05
FORWARD_BYTES = 65_536


class FleetError(Exception):
    """A process ended or did not become ready."""


@dataclasses.dataclass(slots=True)
class Member:
    """A process of the fleet.

    Attributes:
        arguments: Module and arguments, as after `python -m`.
        log: File that takes what the process prints.
        process: The running process; None after it was ended.
    """

    name: str
    arguments: tuple[str, ...]
    log: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Tells whether the process runs, possibly paused."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Starts processes and leaves none behind.

    Each process has a process group of its own, so that an interrupt at the
    terminal reaches only the parent, which ends the others in order.

    Args:
        folder: Folder for logs.

    Example:
        >>> with Fleet(pathlib.Path("/tmp/demo")) as fleet:
        ...     fleet.start("store", "chicoryplank_standins.store", "--help")
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.members: dict[str, Member] = {}
        self._folder = folder
        paths = sorted(str(path) for path in ROOT.glob("packages/*/src"))
        self._environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self, name: str, module: str, *arguments: str) -> Member:
        """Starts `python -m module arguments` under a name."""
        if name in self.members and self.members[name].is_running:
            raise FleetError(f"{name} runs already")
        log = self._folder / f"{name}.log"
        member = Member(name, (module, *arguments), log)
        with log.open("ab") as output:
            member.process = subprocess.Popen(
                (sys.executable, "-m", *member.arguments),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self._environment,
                cwd=ROOT,
                process_group=0,
            )
        self.members[name] = member
        return member

    def restart(self, name: str) -> Member:
        """Starts a process that has ended with its former arguments."""
        return self.start(name, *self.members[name].arguments)

    async def call(
        self, module: str, *arguments: str, limit_s: float = 60
    ) -> tuple[int, str]:
        """Runs a command to its end.

        Returns:
            Exit code and standard output; standard error is passed through.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            env=self._environment,
            cwd=ROOT,
            process_group=0,
        )
        try:
            async with asyncio.timeout(limit_s):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return process.returncode, output.decode()

    def kill(self, name: str) -> None:
        """Ends a process at once, even if it is paused."""
        process = self.members[name].process
        if process is not None:
            process.kill()
            process.wait()

    def terminate(self, name: str) -> None:
        """Asks a process to stop; `wait_for_end` waits for it."""
        self._send(name, signal.SIGTERM)

    def pause(self, name: str) -> None:
        """Stops a process without ending it."""
        self._send(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continues a paused process."""
        self._send(name, signal.SIGCONT)

    async def wait_for_end(self, name: str, limit_s: float) -> int:
        """Waits for the end of a process and returns its exit code."""
        await wait_until(
            lambda: not self.members[name].is_running, limit_s, f"{name} ends"
        )
        return self.members[name].process.returncode

    def find_ended(self) -> list[str]:
        """Returns the names of the processes that no longer run."""
        return [
            name
            for name, member in self.members.items()
            if not member.is_running
        ]

    def read_log(self, name: str, lines: int = 20) -> str:
        """Returns the last lines that a process printed."""
        text = self.members[name].log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def close(self, limit_s: float = 5) -> None:
        """Terminates all processes, and kills those that do not stop."""
        running = [
            member for member in self.members.values() if member.is_running
        ]
        for member in running:
            self._send(member.name, signal.SIGTERM)
            self._send(member.name, signal.SIGCONT)
        deadline_s = time.monotonic() + limit_s
        for member in running:
            left_s = max(0.0, deadline_s - time.monotonic())
            try:
                member.process.wait(left_s)
            except subprocess.TimeoutExpired:
                member.process.kill()
                member.process.wait()

    def _send(self, name: str, number: signal.Signals) -> None:
        process = self.members[name].process
        if process is not None:
            process.send_signal(number)


class Forwarder:
    """TCP link to a target that can be cut, blocked and delayed.

    Args:
        port: Port to listen on.
        target: Address to connect to.

    Attributes:
        delay_s: Added to each piece of data.
        accepts: Whether new connections are forwarded; if not, they are
            closed at once.
    """

    def __init__(self, port: int, target: str) -> None:
        self.address = f"{HOST}:{port}"
        self.delay_s = 0.0
        self.accepts = True
        self._port = port
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens for connections."""
        self._server = await asyncio.start_server(
            self._forward, HOST, self._port
        )

    async def close(self) -> None:
        """Stops listening and breaks all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def cut(self) -> None:
        """Breaks all connections; data under way is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    def block(self) -> None:
        """Holds all data back; connections stay open."""
        self._open.clear()

    def unblock(self) -> None:
        """Lets the data pass again."""
        self._open.set()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.accepts:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except OSError:
            pass
        finally:
            for item in (writer, far_writer):
                item.transport.abort()
                self._writers.discard(item)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(FORWARD_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._open.wait()
            writer.write(data)
            await writer.drain()
        writer.write_eof()


def choose_ports(count: int) -> list[int]:
    """Returns free ports of the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]


async def wait_until(
    is_met: Callable[[], bool], limit_s: float, name: str
) -> None:
    """Waits for a condition.

    Raises:
        FleetError: If it is not met in time.
    """
    deadline_s = time.monotonic() + limit_s
    while not is_met():
        if time.monotonic() > deadline_s:
            raise FleetError(f"not within {limit_s:g} s: {name}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def request_json(
    address: str, path: str, method: str = "GET", body: Any = None
) -> tuple[int, Any]:
    """Makes a call; returns status and JSON, or status 0 if it failed."""
    async with aiosonic.HTTPClient() as client:
        try:
            async with asyncio.timeout(2):
                response = await client.request(
                    f"http://{address}{path}", method, json=body
                )
                content = await response.content()
        except (
            OSError,
            TimeoutError,
            EOFError,
            aiosonic.exceptions.AiosonicError,
        ):
            return 0, None
    try:
        return response.status_code, json.loads(content)
    except ValueError:
        return response.status_code, None


async def wait_for_http(address: str, path: str, limit_s: float) -> None:
    """Waits until a path is answered with 200."""
    deadline_s = time.monotonic() + limit_s
    while (await request_json(address, path))[0] != 200:
        if time.monotonic() > deadline_s:
            raise FleetError(f"{address}{path} not ready in {limit_s:g} s")
        await asyncio.sleep(POLL_INTERVAL_S)


async def wait_for_port(address: str, limit_s: float) -> None:
    """Waits until an address accepts connections."""
    host, _, port = address.rpartition(":")
    deadline_s = time.monotonic() + limit_s
    while True:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            if time.monotonic() > deadline_s:
                raise FleetError(
                    f"{address} not open in {limit_s:g} s"
                ) from None
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        writer.close()
        return


@dataclasses.dataclass(frozen=True, slots=True)
class SiteOptions:
    """Size of a site.

    Attributes:
        has_links: Whether forwarders stand between entries and agents, and
            between daemons and the store.
        engine_arguments: Further arguments of each engine.
        entry_settings: Further settings of each entry.
        agent_settings: Further settings of each agent.
    """

    entries: int = 3
    engines: int = 3
    services: int = 1
    zones: tuple[str, ...] = ("toolroom", "press-hall", "front-office")
    model: str = "toolroom"
    engine_deployment: str = "toolroom-llm"
    service_deployment: str = "press-tablets"
    service: str = "tablets"
    has_links: bool = False
    engine_arguments: tuple[str, ...] = ()
    entry_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    agent_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)


def make_intent(options: SiteOptions, token: str) -> dict[str, Any]:
    """Returns an intent by which one account may use the whole site."""
    account = {
        "token_sha256": hashlib.sha256(token.encode()).hexdigest(),
        "requests_per_s": 500,
        "tokens_per_s": 2_000 * options.engines,
        "priority": "urgent",
        "groups": [options.engine_deployment],
        "services": [options.service],
    }
    group = {
        "models": [options.model],
        "version": "v1",
        "replicas": options.engines,
        "tokens_per_s": 2_500,
    }
    service = {
        "deployment": options.service_deployment,
        "non_repeatable_paths": ["/quotes"],
    }
    return {
        "accounts": {"add": {"shop-floor": account}},
        "groups": {"add": {options.engine_deployment: group}},
        "services": {"add": {options.service: service}},
    }


class Site:
    """Stand-ins, agents and entries of one site.

    Args:
        fleet: Runs the processes.
        folder: Folder for the settings.
        options: Size of the site.

    Attributes:
        addresses: Address by process name; an entry's is its caller address.
        links: Forwarders by name: the agent's for entries that connect to it,
            `store-<daemon>` for a daemon's calls of the store.
    """

    def __init__(
        self, fleet: Fleet, folder: pathlib.Path, options: SiteOptions
    ) -> None:
        self.options = options
        self.addresses: dict[str, str] = {}
        self.links: dict[str, Forwarder] = {}
        self._fleet = fleet
        self._folder = folder
        backends = options.engines + options.services
        self._ports = choose_ports(2 + 4 * backends + 3 * options.entries)

    @property
    def entries(self) -> list[str]:
        """Returns the caller addresses of the entries."""
        return self._select("entry-")

    @property
    def backends(self) -> list[str]:
        """Returns the addresses of engines and services."""
        return self._select("engine-") + self._select("service-")

    async def start(self, limit_s: float = 20) -> None:
        """Starts everything and waits until it accepts connections."""
        for name in ("store", "instances"):
            self._start_standin(name, name)
        await wait_for_http(self.addresses["store"], "/calls", limit_s)
        await wait_for_http(self.addresses["instances"], "/instances", limit_s)
        for number in range(1, self.options.engines + 1):
            arguments = ("--models", self.options.model)
            arguments += self.options.engine_arguments
            self._start_standin(f"engine-{number}", "engine", *arguments)
        for number in range(1, self.options.services + 1):
            self._start_standin(f"service-{number}", "service")
        for name in [*self._find("engine-"), *self._find("service-")]:
            await wait_for_http(self.addresses[name], "/records", limit_s)
            await self._start_agent(name)
        for number in range(1, self.options.entries + 1):
            await self._start_entry(f"entry-{number}", number)
        for name in self._find("agent-"):
            await wait_for_port(self.addresses[name], limit_s)
        for address in self.entries:
            await wait_for_http(address, "/healthz", limit_s)

    async def wait_until_ready(self, limit_s: float = 20) -> None:
        """Waits until every entry serves."""
        for address in self.entries:
            await wait_for_http(address, "/readyz", limit_s)

    async def register(self, instance: Mapping[str, Any]) -> None:
        """Adds an instance to the instance list."""
        status, _ = await request_json(
            self.addresses["instances"], "/instances", "POST", dict(instance)
        )
        if status != 200:
            raise FleetError(f"the instance list answered {status}")

    async def close(self) -> None:
        """Closes the links; the fleet ends the processes."""
        for link in self.links.values():
            await link.close()

    def _find(self, prefix: str) -> list[str]:
        return [name for name in self.addresses if name.startswith(prefix)]

    def _select(self, prefix: str) -> list[str]:
        return [self.addresses[name] for name in self._find(prefix)]

    def _take_address(self) -> str:
        return f"{HOST}:{self._ports.pop()}"

    def _start_standin(self, name: str, kind: str, *arguments: str) -> None:
        address = self.addresses[name] = self._take_address()
        module = f"chicoryplank_standins.{kind}"
        self._fleet.start(name, module, "--listen", address, *arguments)

    async def _link(self, name: str, target: str) -> str:
        if not self.options.has_links:
            return target
        link = Forwarder(self._ports.pop(), target)
        await link.start()
        self.links[name] = link
        return link.address

    async def _start_agent(self, backend: str) -> None:
        name = f"agent-{backend}"
        zones = self.options.zones
        zone = zones[len(self._find("agent-")) % len(zones)]
        is_engine = backend.startswith("engine-")
        deployment = (
            self.options.engine_deployment
            if is_engine
            else self.options.service_deployment
        )
        address = self.addresses[name] = self._take_address()
        store = await self._link(f"store-{name}", self.addresses["store"])
        settings = {
            "instance": name,
            "zone": zone,
            "deployment": deployment,
            "listen_address": address,
            "backend_address": self.addresses[backend],
            "store": {"address": store, "timeout_ms": 500},
            **self.options.agent_settings,
        }
        self._start_daemon(name, "chicoryplank_agent.cli", (), settings)
        await self.register(
            {
                "instance": name,
                "role": "backend",
                "zone": zone,
                "address": await self._link(name, address),
                "deployment": deployment,
            }
        )

    async def _start_entry(self, name: str, number: int) -> None:
        zone = self.options.zones[number % len(self.options.zones)]
        caller = self.addresses[name] = self._take_address()
        control = self._take_address()
        store = await self._link(f"store-{name}", self.addresses["store"])
        settings = {
            "instance": name,
            "zone": zone,
            "caller_address": caller,
            "control_address": control,
            "store": {"address": store, "timeout_ms": 500},
            "instance_list": {
                "address": self.addresses["instances"],
                "poll_interval_ms": 1_000,
            },
            **self.options.entry_settings,
        }
        arguments = ("serve",)
        self._start_daemon(name, "chicoryplank_entry.cli", arguments, settings)
        await self.register(
            {
                "instance": name,
                "role": "entry",
                "zone": zone,
                "address": control,
                "caller_address": caller,
            }
        )

    def _start_daemon(
        self,
        name: str,
        module: str,
        arguments: Iterable[str],
        settings: Mapping[str, Any],
    ) -> None:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self._fleet.start(name, module, *arguments, "--settings", str(path))
