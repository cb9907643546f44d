"""A small site on loopback: real daemons, and stand-ins of the rest.

build-2.sh copies this file to target/review-2, from where it is used. A scene
starts the store in this process, replicas and daemons as processes of
their own, and ends all of them when it is left. Each daemon is started with
the command of deploy/system.toml and finds its libraries in target/deps.
"""

import asyncio
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
import tomllib

from caller import HOST, ask
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Exit codes of a case; run.sh turns them into 0, 1 and 2, and all others, as
# that of an error in the case itself, into 2.
HELD = 0
BROKEN = 10
NOT_RUN = 11
_READY = 200
_STAGE = pathlib.Path(__file__).resolve().parent
_START_LIMIT_S = 20.0
# A case runs for 120 seconds at most.
_LIMIT_S = 105.0
_BOUNDS = {
    "contact-ms": 3000,
    "config-apply-ms": 2000,
    "drain-ms": 2000,
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-extra": 90,
    "ttl_max_s": 5,
    "require-fencing": "true",
}


class SceneError(Exception):
    """The case could not run."""


class Child:
    """A process of the scene.

    Args:
        name: Name of the process.
        process: The process.

    Attributes:
        lines: JSON lines that a stand-in has printed.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.lines: list[dict] = []
        self.reader: asyncio.Task | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.is_running:
            self.process.send_signal(number)


class Replica(Child):
    """A replica process and what it is registered with."""

    address = ""
    service = ""
    born = 0


class Entry(Child):
    """An entry process, its addresses and the memory of its machine in MB."""

    address = ""
    ready_address = ""
    memory_mb = 0


class Scene:
    """The site of one case.

    Args:
        folder: Folder of the case, for record.txt.
        is_troubled: Whether the disruption is to happen.

    Attributes:
        store: The store.
        is_troubled: Whether the disruption is to happen.
    """

    def __init__(self, folder: pathlib.Path, *, is_troubled: bool) -> None:
        self.store = Store()
        self.is_troubled = is_troubled
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._folder = tempfile.TemporaryDirectory()
        self._children: list[Child] = []
        self._started_s = time.time()
        self._version = 0
        self._sequence = 0

    async def __aenter__(self) -> "Scene":
        await self.store.start()
        self.record(f"trouble: {self.is_troubled}")
        return self

    async def __aexit__(self, *_: object) -> None:
        for child in self._children:
            child.send(signal.SIGKILL)
        for child in self._children:
            await child.process.wait()
            if child.reader is not None:
                await child.reader
        for child in self._children:
            self._record_runs(child)
        self.store.close()
        self._folder.cleanup()
        self._record.close()

    def _record_runs(self, child: Child) -> None:
        """Records the requests that a replica began to run."""
        for line in child.lines:
            if "runs" in line:
                passed_s = line["at"] - self._started_s
                self.record(
                    f"{child.name} ran {line['runs']} at {passed_s:.3f} s: "
                    f"{line['method']} {line['target']}, "
                    f"{line['body_bytes']} bytes, after {line['after']!r}"
                )

    def record(self, text: str) -> None:
        """Writes a line with the time since the start to record.txt."""
        passed_s = time.time() - self._started_s
        self._record.write(f"{passed_s:8.3f} s  {text}\n")
        self._record.flush()

    async def start_replica(
        self, name: str, service: str, *options: str, slots: int = 6
    ) -> Replica:
        """Starts a replica and registers it as ready."""
        replica = Replica(
            name,
            await _start_stand_in(
                "replica.py", "--id", name, "--slots", str(slots), *options
            ),
        )
        await self._follow(replica)
        replica.address = replica.lines[0]["listens"]
        replica.service = service
        replica.born = int(time.time() * 1000)
        self.register(replica, slots=slots)
        return replica

    async def start_load(
        self, address: str, kind: str, interval_s: float, length_s: float
    ) -> Child:
        """Starts clients in a process of their own; see load.py."""
        load = Child(
            kind,
            await _start_stand_in(
                "load.py", address, kind, str(interval_s), str(length_s)
            ),
        )
        await self._follow(load)
        return load

    async def _follow(self, child: Child) -> None:
        """Reads the lines of a process, and waits for the first one."""
        self._children.append(child)
        child.reader = asyncio.create_task(_read_lines(child))
        await _wait_until(lambda: bool(child.lines), f"start of {child.name}")

    def register(
        self, replica: Replica, state: str = "ready", *, slots: int = 6
    ) -> None:
        """Writes the registration of a replica, as the replica does."""
        self._sequence += 1
        self.store.put(
            f"servers/{replica.name}",
            {
                "service": replica.service,
                "address": replica.address,
                "zone": "hall-a",
                "version": 1,
                "slots": slots,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": replica.born,
            },
        )
        self.record(f"{replica.name} is registered: {state}")

    def configure(self, routes: list[dict], **limits: int) -> None:
        """Writes the next version of the config as the operator."""
        self._version += 3
        services = sorted({route["service"] for route in routes})
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": [{"hostname": HOST, **route} for route in routes],
                "services": [
                    {"name": name, "health-check": "/health"}
                    for name in services
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 4194304,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                    **limits,
                },
                "tenants": [{"name": "quotes", "api-keys": ["key-1"]}],
            },
        )
        self.record(f"config version {self._version} is acknowledged")

    async def start_entry(
        self, name: str, *, memory_mb: int = 300, waits: bool = True
    ) -> Entry:
        """Starts an entry; waits until it is ready unless told otherwise."""
        host = _choose_host()
        front, ready, directory, peer = _choose_ports(host, 4)
        settings = {
            "node-name": name,
            "role": "entry",
            "machine-class": "front",
            "serves": "front,directory",
            "ip": host,
            "zone": "hall-a",
            "region": "ebene",
            "listen.front": f"{host}:{front}",
            "listen.ready": f"{host}:{ready}",
            "listen.directory": f"{host}:{directory}",
            "port-range": f"{peer},{peer}",
            "limits.memory-mb": memory_mb,
            "provider.address": self.store.address,
            "provider.form": "kv",
            "provider.ttl-min-ms": 1000,
            **{f"bounds.{key}": value for key, value in _BOUNDS.items()},
        }
        path = pathlib.Path(self._folder.name) / f"{name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        entry = Entry(name, await self._start_daemon("entry", name, path))
        entry.address = f"{host}:{front}"
        entry.ready_address = f"{host}:{ready}"
        entry.memory_mb = memory_mb
        self._children.append(entry)
        self.record(f"{name} is started as process {entry.process.pid}")
        if waits:
            await self.wait_ready(entry)
        return entry

    async def _start_daemon(
        self, role: str, name: str, path: pathlib.Path
    ) -> asyncio.subprocess.Process:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        log = pathlib.Path(self._folder.name) / f"{name}.log"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self._folder.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CHICORYPLANK_CONFIG": str(path),
        }
        with log.open("ab") as output:
            return await asyncio.create_subprocess_exec(
                *deploy["roles"][role]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, entry: Entry) -> None:
        """Waits until an entry answers its readiness check with 200.

        Raises:
            SceneError: If it does not in time.
        """
        deadline_s = time.time() + _START_LIMIT_S
        while await ask(entry.ready_address, "/api/ready") != _READY:
            if time.time() > deadline_s or not entry.is_running:
                raise SceneError(f"{entry.name} is not ready")
            await asyncio.sleep(0.05)
        self.record(f"{entry.name} is ready")

    def read_peak_mb(self, entry: Entry) -> float:
        """Returns the greatest memory of a process so far, in MB; 0 if ended.

        This is what is resident, as the platform counts it.
        """
        try:
            path = pathlib.Path(f"/proc/{entry.process.pid}/status")
            text = path.read_text(encoding="utf-8")
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self, name: str) -> str:
        """Returns what a daemon has written."""
        path = pathlib.Path(self._folder.name) / f"{name}.log"
        return path.read_text(errors="replace")


async def _start_stand_in(
    file: str, *arguments: str
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(_STAGE / file),
        *arguments,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
    )


async def _read_lines(child: Child) -> None:
    while line := await child.process.stdout.readline():
        child.lines.append(json.loads(line))


async def _wait_until(is_met, name: str) -> None:
    deadline_s = time.time() + _START_LIMIT_S
    while not is_met():
        if time.time() > deadline_s:
            raise SceneError(f"not reached: {name}")
        await asyncio.sleep(0.02)


def _choose_host() -> str:
    """Returns a loopback address of its own for a machine.

    The port of the metrics is the same on all machines of a site.
    """
    parts = [random.randrange(1, 255) for _ in range(3)]
    return "127." + ".".join(map(str, parts))


def _choose_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def run(play, file: str, *, is_troubled: bool) -> None:
    """Plays a case and exits with BROKEN, HELD or NOT_RUN.

    Args:
        play: Coroutine function that takes a scene and returns the breaches of
            the rule, a line each.
        file: File of the case, whose folder gets record.txt.
        is_troubled: Whether the disruption is to happen.
    """

    async def play_in_scene() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        folder = pathlib.Path(file).resolve().parent
        async with Scene(folder, is_troubled=is_troubled) as scene:
            try:
                if not (ROOT / "target/deps").is_dir():
                    raise SceneError("target/deps is not built")
                async with asyncio.timeout(_LIMIT_S):
                    breaches = await play(scene)
            except Exception as error:
                scene.record(f"the case could not run: {error!r}")
                return NOT_RUN
            for line in breaches:
                scene.record(f"BROKEN: {line}")
            scene.record(f"{len(breaches)} breaches")
            return BROKEN if breaches else HELD

    sys.exit(asyncio.run(play_in_scene()))
