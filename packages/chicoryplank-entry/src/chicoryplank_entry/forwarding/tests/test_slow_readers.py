"""Tests of the bytes that an entry holds for peers that do not read.

Load pattern: callers that stop reading, alone or many at once, and replicas
that do not read the body of a request. Counted are the bytes in this process;
the kernel bounds its own buffers.
"""

import asyncio
import contextlib
import dataclasses
import socket
from datetime import timedelta

import testtools

from chicoryplank.ids import ConfigVersion
from chicoryplank.traffic import ClientLimits, RequestKind
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    hang,
    make_head,
    make_request,
    respond,
)

_BODY = b"a" * 250_000
_CHUNK = b"10000\r\n" + b"a" * 65_536 + b"\r\n"
_TIMEOUT_S = 20.0
# The two largest parts of a response that are written at once.
_MAX_BYTES_PER_CALLER = 1_100_000
# These, and the part that the replica has sent in the meantime.
_MAX_BYTES_PER_RESPONSE = 1_400_000
# At 4,100 descriptors, the callers of a small entry leave it a third of its
# 200 MB.
_MAX_BYTES = 66_000_000


async def _send_endlessly(recorded, writer):
    """Sends a body in chunks until the connection is closed."""
    head = make_head(recorded, extra=("Transfer-Encoding: chunked",))
    writer.write("\r\n".join([*head, "", ""]).encode())
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(_CHUNK)
            await writer.drain()
    return False


class _Entry(EntryFixture):
    """Entry with the default limits, and callers that do not read."""

    async def __aenter__(self):
        await super().__aenter__()
        (listener,) = self._server.sockets
        # Accepted sockets inherit the size.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.state.activate(
            dataclasses.replace(
                self.configuration,
                version=ConfigVersion(2),
                limits=ClientLimits(),
            )
        )
        return self

    def record_connections(self):
        """Returns a list to which each connection to a replica is added."""
        opened = []
        open_connection = self.pool.open

        async def record(backend):
            opened.append(await open_connection(backend))
            return opened[-1]

        self.pool.open = record
        return opened

    async def connect_idle(self):
        """Returns the transport of a caller that does not read."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        transport, _ = await loop.create_connection(asyncio.Protocol, sock=sock)
        transport.pause_reading()
        return transport

    def count_held(self):
        """Returns the bytes held for each caller."""
        return [
            connection._transport.get_write_buffer_size()
            + sum(len(item.request.body) for item in connection._queued)
            + connection._body.size
            for connection in self._connections
        ]


class TestSlowCallers(testtools.TestCase):
    """A caller that does not read costs a bounded number of bytes."""

    def _hold(self, script, *parts, callers=1, **arguments):
        """Returns the greatest number of bytes for one caller and for all."""

        async def run():
            greatest = total = 0
            async with _Entry(Replica(script), **arguments) as entry:
                transports = [
                    await entry.connect_idle() for _ in range(callers)
                ]
                for part in parts:
                    for transport in transports:
                        transport.write(part)
                    for _ in range(10):
                        await asyncio.sleep(0.02)
                        held = entry.count_held()
                        greatest = max(greatest, *held, 0)
                        total = max(total, sum(held))
                for transport in transports:
                    transport.abort()
            return greatest, total

        return asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S))

    def test_endless_response(self):
        """Guards against collecting a response that is not read."""
        greatest, _ = self._hold(_send_endlessly, make_request(), b"", b"")
        self.assertLess(greatest, _MAX_BYTES_PER_CALLER)

    def test_unread_part_of_a_response(self):
        """Guards against collecting what a replica sends meanwhile."""

        async def run():
            async with _Entry(Replica(_send_endlessly)) as entry:
                opened = entry.record_connections()
                transport = await entry.connect_idle()
                transport.write(make_request())
                greatest = 0
                for _ in range(30):
                    await asyncio.sleep(0.02)
                    held = sum(
                        connection._response._buffered
                        for connection in opened
                        if connection._response is not None
                    )
                    greatest = max(greatest, held + sum(entry.count_held()))
                transport.abort()
                return greatest

        greatest = asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S))
        self.assertGreater(greatest, 0)
        self.assertLess(greatest, _MAX_BYTES_PER_RESPONSE)

    def test_replica_that_cuts_off_an_unread_response(self):
        """Guards against ejecting replicas because of callers."""

        async def cut_off(recorded, writer):
            head = make_head(recorded, extra=("Transfer-Encoding: chunked",))
            writer.write("\r\n".join([*head, "", ""]).encode())
            with contextlib.suppress(TimeoutError):
                while True:
                    writer.write(_CHUNK)
                    await asyncio.wait_for(writer.drain(), 1.2)
            writer.transport.abort()
            return False

        async def run():
            outcomes = []
            async with _Entry(Replica(cut_off)) as entry:
                end_request = entry.state.end_request

                def record(state, instance, succeeded, *arguments, **more):
                    outcomes.append(succeeded)
                    end_request(state, instance, succeeded, *arguments, **more)

                entry.state.end_request = record
                transport = await entry.connect_idle()
                transport.write(make_request(left_ms=5000))
                await asyncio.sleep(1.6)
                transport.resume_reading()
                while not outcomes:
                    await asyncio.sleep(0.02)
                transport.abort()
            return outcomes

        outcomes = asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S))
        self.assertEqual([None], outcomes)

    def test_pipelined_responses(self):
        """Guards against responses that pile up behind an unread one."""
        data = make_request() * 15
        greatest, _ = self._hold(respond(_BODY), *([data] * 8))
        self.assertLess(greatest, _MAX_BYTES_PER_CALLER)

    def test_pipelined_bodies(self):
        """Guards against bodies that pile up behind a slow request."""
        data = make_request("POST", body=b"b" * 1_000_000) * 15
        greatest, _ = self._hold(
            hang(), data, b"", b"", kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertLess(greatest, _MAX_BYTES_PER_CALLER)

    def test_many_callers(self):
        """Guards against slow callers that use up the memory together."""
        _, total = self._hold(
            respond(_BODY), make_request(), *([b""] * 10), callers=400
        )
        self.assertLess(total, _MAX_BYTES)

    def test_connection_without_reads_ends(self):
        """Guards against holding an unread response for ever."""

        async def run():
            async with _Entry(Replica(respond(_BODY))) as entry:
                limits = ClientLimits(idle_timeout=timedelta(seconds=0.2))
                entry.state.activate(
                    dataclasses.replace(
                        entry.configuration,
                        version=ConfigVersion(3),
                        limits=limits,
                    )
                )
                transport = await entry.connect_idle()
                transport.write(make_request() * 2)
                await asyncio.sleep(0.8)
                transport.abort()
                return len(entry._connections)

        self.assertEqual(0, asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S)))


class _IdleReplica(Replica):
    """Replica that accepts connections and reads nothing."""

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(_IdleProtocol, "127.0.0.1", 0)
        (listener,) = self._server.sockets
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        return f"127.0.0.1:{listener.getsockname()[1]}"


class _IdleProtocol(asyncio.Protocol):
    def connection_made(self, transport):
        transport.pause_reading()


class TestSlowReplicas(testtools.TestCase):
    """A replica that does not read costs at most the bodies in its slots."""

    def test_request_bodies(self):
        """Guards against bodies that are held after their requests ended."""
        body = b"b" * 4_000_000

        async def run():
            async with _Entry(
                _IdleReplica(), kind=RequestKind.NON_IDEMPOTENT
            ) as entry:
                opened = entry.record_connections()
                tasks = [
                    asyncio.create_task(
                        entry.send_request(
                            method="POST", body=body, left_ms=800
                        )
                    )
                    for _ in range(6)
                ]
                greatest = 0
                while not all(task.done() for task in tasks):
                    await asyncio.sleep(0.01)
                    greatest = max(greatest, _count_unsent(opened))
                await asyncio.gather(*tasks)
                return greatest, _count_unsent(opened)

        greatest, left = asyncio.run(asyncio.wait_for(run(), _TIMEOUT_S))
        # Two slots.
        self.assertLess(greatest, 2 * (len(body) + 1_000))
        self.assertGreater(greatest, 0)
        self.assertEqual(0, left)


def _count_unsent(connections):
    return sum(
        connection._transport.get_write_buffer_size()
        for connection in connections
    )
