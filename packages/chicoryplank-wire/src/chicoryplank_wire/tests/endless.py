"""Peers that send bytes without end, for tests on loopback."""

import asyncio
import contextlib


class EndlessServer:
    """Server that answers each request with a prefix and endless bytes.

    Args:
        prefix: Bytes that are sent once.
        part: Bytes that are sent again and again until the client closes.

    Attributes:
        sent_bytes: Number of bytes sent.
        closed: Set once a client has closed its connection.
    """

    def __init__(self, prefix, part):
        self._prefix = prefix
        self._part = part
        self._server = None
        self._tasks = set()
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *details):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def address(self):
        """Host and port of the server."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._prefix)
            while True:
                writer.write(self._part)
                self.sent_bytes += len(self._part)
                await writer.drain()
        self.closed.set()
        writer.transport.abort()


# Responses that never end outside of a body: prefix and repeated part.
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"o" * 4096),
    "header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n" * 512),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        b"a" * 4096,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: a\r\n" * 512,
    ),
}
ENDLESS_BODY = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1000\r\n" + b"a" * 4096 + b"\r\n",
)
INTERIM_RESPONSES = (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
NOISE = (b"", b"\x00\xff\x80" * 1024)
