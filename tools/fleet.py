"""Child processes and TCP proxies for runs on the loopback interface.

`Fleet` starts, pauses and ends processes. `TcpProxy` forwards connections and
can break, block and delay them.
"""

import asyncio
import contextlib
import ctypes
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import aiosonic

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.05
READ_CHUNK_BYTES = 65_536
# Option of prctl(2) that sets the signal a process gets when its parent ends.
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


def _end_with_parent() -> None:
    """Makes the kernel kill the child process when its parent is killed.

    This runs between fork and exec. It calls only prctl, because locks that
    other threads of the parent hold would never be released in the child.
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class FleetError(Exception):
    """A process failed, or an operation of the fleet did not finish in time."""


@dataclasses.dataclass(slots=True)
class Member:
    """A process of the fleet.

    Attributes:
        name: Name of the process in the fleet.
        command: Program, as `make_command` takes it, and its arguments.
        log: File to which standard output and standard error are appended.
        process: The process that was started last; None before the first.
    """

    name: str
    command: tuple[str, ...]
    log: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Tells whether the process exists; a paused process does."""
        return self.process is not None and self.process.poll() is None


def make_command(program: str) -> tuple[str, ...]:
    """Returns the command line that starts a program.

    Args:
        program: Name of a script in the folder of the Python interpreter, such
            as `chicoryplank`, or else of a module.
    """
    script = pathlib.Path(sys.executable).parent / program
    if script.exists():
        return (sys.executable, str(script))
    return (sys.executable, "-m", program)


class Fleet:
    """Starts processes and ends all of them when it is closed.

    Each process has its own process group, so that an interrupt at the
    terminal reaches only the parent, which then ends the children in order.
    Use it from the main thread: the kernel kills the processes when the thread
    that started them ends.

    Args:
        folder: Folder for the log files.

    Example:
        >>> with Fleet(pathlib.Path("/tmp/demo")) as fleet:
        ...     fleet.start("store", "chicoryplank_standins.store", "--help")
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.members: dict[str, Member] = {}
        self._folder = folder
        paths = sorted(str(path) for path in ROOT.glob("packages/*/src"))
        paths.append(str(ROOT / "platform"))
        self._environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self, name: str, program: str, *arguments: str) -> Member:
        """Starts a program under a name; see `make_command`."""
        if name in self.members and self.members[name].is_running:
            raise FleetError(f"{name} is already running")
        log = self._folder / f"{name}.log"
        member = Member(name, (program, *arguments), log)
        with log.open("ab") as output:
            member.process = subprocess.Popen(
                (*make_command(program), *arguments),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self._environment,
                cwd=ROOT,
                process_group=0,
                preexec_fn=_end_with_parent,  # noqa: PLW1509
            )
        self.members[name] = member
        return member

    def restart(self, name: str) -> Member:
        """Starts an ended process again with the same arguments."""
        return self.start(name, *self.members[name].command)

    async def call(
        self, program: str, *arguments: str, limit_s: float = 60
    ) -> tuple[int, str]:
        """Runs a command and waits until it exits.

        Returns:
            Exit code and standard output; standard error is passed through.
        """
        process = await asyncio.create_subprocess_exec(
            *make_command(program),
            *arguments,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            env=self._environment,
            cwd=ROOT,
            process_group=0,
            preexec_fn=_end_with_parent,  # noqa: PLW1509
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
        """Kills a process, even if it is paused, and waits for its end."""
        process = self.members[name].process
        if process is not None:
            process.kill()
            process.wait()

    def terminate(self, name: str) -> None:
        """Sends SIGTERM; `wait_for_end` waits for the end of the process."""
        self.send(name, signal.SIGTERM)

    def pause(self, name: str) -> None:
        """Pauses a process with SIGSTOP."""
        self.send(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process with SIGCONT."""
        self.send(name, signal.SIGCONT)

    async def wait_for_end(self, name: str, limit_s: float) -> int:
        """Waits for the end of a process and returns its exit code."""
        await wait_until(
            lambda: not self.members[name].is_running, limit_s, f"end of {name}"
        )
        return self.members[name].process.returncode

    def list_ended(self) -> list[str]:
        """Returns the names of the processes that have ended."""
        return [
            name
            for name, member in self.members.items()
            if not member.is_running
        ]

    def read_log(self, name: str, lines: int = 20) -> str:
        """Returns the last lines of the log of a process."""
        text = self.members[name].log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def close(self, limit_s: float = 5) -> None:
        """Terminates all processes and kills those that outlast the limit."""
        running = [
            member for member in self.members.values() if member.is_running
        ]
        for member in running:
            self.send(member.name, signal.SIGTERM)
            self.send(member.name, signal.SIGCONT)
        deadline_s = time.monotonic() + limit_s
        for member in running:
            remaining_s = max(0.0, deadline_s - time.monotonic())
            try:
                member.process.wait(remaining_s)
            except subprocess.TimeoutExpired:
                member.process.kill()
                member.process.wait()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        process = self.members[name].process
        if process is not None:
            process.send_signal(number)


class TcpProxy:
    """TCP proxy whose connections can be broken, blocked and delayed.

    Args:
        port: Port to listen on.
        target: Address to which connections are forwarded.

    Attributes:
        delay_s: Delay in seconds before each chunk of data is forwarded.
        accepts_connections: Whether new connections are forwarded; if not,
            they are closed at once.
        break_after_bytes: Number of bytes, by direction, after which the
            connection that carries them is broken; True is towards the
            target. The bytes before the break are delivered, so that the
            received data may end within a frame.
    """

    def __init__(self, port: int, target: str) -> None:
        self.address = f"{HOST}:{port}"
        self.delay_s = 0.0
        self.accepts_connections = True
        self.break_after_bytes: dict[bool, int] = {}
        self._port = port
        self._target = target
        self._gates = {True: asyncio.Event(), False: asyncio.Event()}
        self.unblock()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._is_closed = False

    async def start(self) -> None:
        """Starts to listen for connections."""
        self._server = await asyncio.start_server(
            self._forward, HOST, self._port
        )

    def refuse(self) -> None:
        """Closes the port and breaks all connections, until `start`."""
        self._server.close()
        self.cut()

    async def close(self) -> None:
        """Stops listening and breaks all connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        self.unblock()
        self.cut()
        await wait_until(
            lambda: not self._writers,
            1,
            f"end of the connections through {self.address}",
        )

    def cut(self) -> None:
        """Aborts all connections; data in transit is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    def block(self, directions: tuple[bool, ...] = (True, False)) -> None:
        """Stops forwarding data; connections stay open.

        Args:
            directions: Directions to block; True is towards the target.
        """
        for direction in directions:
            self._gates[direction].clear()

    def unblock(self) -> None:
        """Forwards data again in both directions."""
        for is_open in self._gates.values():
            is_open.set()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.accepts_connections:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        if self._is_closed:
            writer.transport.abort()
            target_writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, True),
                self._pump(target_reader, writer, False),
            )
        except OSError:
            pass
        finally:
            for item in (writer, target_writer):
                item.transport.abort()
                self._writers.discard(item)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: bool,
    ) -> None:
        while data := await reader.read(READ_CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._gates[direction].wait()
            limit = self.break_after_bytes.get(direction)
            if limit is not None and len(data) > limit:
                del self.break_after_bytes[direction]
                writer.write(data[:limit])
                await writer.drain()
                raise ConnectionResetError(
                    "connection broken by an injected fault"
                )
            if limit is not None:
                self.break_after_bytes[direction] = limit - len(data)
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
    """Waits until a condition is met.

    Args:
        is_met: The condition, which is polled.
        limit_s: Longest time to wait, in seconds.
        name: Name of the condition in the error message.

    Raises:
        FleetError: If the condition is not met in time.
    """
    deadline_s = time.monotonic() + limit_s
    while not is_met():
        if time.monotonic() > deadline_s:
            raise FleetError(f"not reached within {limit_s:g} s: {name}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def request_json(
    address: str, path: str, method: str = "GET", body: Any = None
) -> tuple[int, Any]:
    """Sends a request and returns the status and the JSON body.

    The status is 0 if there is no response. The body is None if it is not JSON.
    """
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
    """Waits until a GET request for a path gets status 200."""
    deadline_s = time.monotonic() + limit_s
    while (await request_json(address, path))[0] != 200:
        if time.monotonic() > deadline_s:
            raise FleetError(f"{address}{path} not ready within {limit_s:g} s")
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
                    f"{address} accepts no connections after {limit_s:g} s"
                ) from None
            await asyncio.sleep(POLL_INTERVAL_S)
            continue
        writer.close()
        return
