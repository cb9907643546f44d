"""Crowds of clients that do not behave, and what a process holds for them."""

import asyncio
import contextlib
import os
import pathlib
import threading
import time

# Time for which a crowd keeps sending, in seconds. Its clients then stay
# connected without sending anything.
PRESS_S = 4.0
# Longest time in which a process must answer an ordinary request, in seconds.
ANSWER_LIMIT_S = 60.0
_RECONNECT_DELAY_S = 0.2
_SAMPLE_INTERVAL_S = 0.02
_LISTENING = "0A"
_OK = 200


class ProcessWatch:
    """Samples the memory and the open descriptors of a process.

    Bytes that the kernel has received and the process has not read count as
    memory of the process.

    Args:
        pid: Process id.
        addresses: Addresses, as host and port, that the process listens on.

    Attributes:
        peak_bytes: Greatest memory seen.
        peak_descriptors: Greatest number of open descriptors seen.
    """

    def __init__(self, pid, addresses):
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._folder = pathlib.Path(f"/proc/{pid}")
        self._addresses = frozenset(map(_encode_address, addresses))
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        with contextlib.suppress(OSError):  # The process has ended.
            while not self._stopped.wait(_SAMPLE_INTERVAL_S):
                self._sample()

    def _sample(self):
        sizes = {}
        for line in (self._folder / "status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in ("VmHWM", "VmRSS"):
                sizes[name] = int(value.split()[0]) * 1024
        unread = self._count_unread()
        self.peak_bytes = max(
            self.peak_bytes,
            sizes.get("VmHWM", 0),
            sizes.get("VmRSS", 0) + unread,
        )
        self.peak_descriptors = max(
            self.peak_descriptors, len(os.listdir(self._folder / "fd"))
        )

    def _count_unread(self):
        unread = 0
        for line in (self._folder / "net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] in self._addresses and fields[3] != _LISTENING:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


def _encode_address(address):
    """Returns an IPv4 address as the kernel lists it."""
    host, _, port = address.rpartition(":")
    parts = [int(part) for part in host.split(".")]
    text = "".join(f"{part:02X}" for part in reversed(parts))
    return f"{text}:{int(port):04X}"


class Crowd:
    """Clients that send the same bytes and stay connected.

    A client whose connection ends connects again, for as long as the crowd
    presses.

    Args:
        address: Address to connect to.
        clients: Number of clients.
        parts: Parts to send, in order.
    """

    def __init__(self, address, clients, parts):
        self._address = address
        self._clients = clients
        self._parts = parts
        self._end_s = 0.0
        self._tasks = []

    async def __aenter__(self):
        self._end_s = time.monotonic() + PRESS_S
        self._tasks = [
            asyncio.create_task(self._press()) for _ in range(self._clients)
        ]
        await asyncio.sleep(PRESS_S)
        return self

    async def __aexit__(self, *details):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _press(self):
        while time.monotonic() < self._end_s:
            with contextlib.suppress(OSError):
                await self._send()
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _send(self):
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for part in self._parts:
                writer.write(part)
                await writer.drain()
            while await reader.read(65_536):
                pass  # Stays connected until the process closes.
        finally:
            writer.transport.abort()


def split_chunked(body, chunk_bytes):
    """Returns a body in chunks, without the last one, in large parts."""
    chunks = []
    for start in range(0, len(body), chunk_bytes):
        data = body[start : start + chunk_bytes]
        chunks.append(b"%x\r\n%b\r\n" % (len(data), data))
    return [
        b"".join(chunks[start : start + 4_096])
        for start in range(0, len(chunks), 4_096)
    ]


async def send_request(address, data):
    """Sends a request on a new connection and returns the status.

    Returns:
        0 if there is no response.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1])
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()


async def wait_for_answer(address, make_data):
    """Sends a request until it is answered with 200, as clients do.

    Args:
        address: Address of the process.
        make_data: Returns the bytes of a new request.

    Returns:
        The last status; 0 for none.
    """
    end_s = time.monotonic() + ANSWER_LIMIT_S
    status = 0
    while status != _OK and time.monotonic() < end_s:
        status = await send_request(address, make_data())
        if status != _OK:
            await asyncio.sleep(_RECONNECT_DELAY_S)
    return status
