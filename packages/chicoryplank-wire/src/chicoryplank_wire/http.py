"""HTTP clients that handle broken connections and endless responses safely."""

import asyncio

import aiosonic
from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig

# Number of bytes in which a head must end, or a part of a body must arrive.
_MAX_HEAD_BYTES = 65_536
_MAX_CHUNK_BYTES = 8 * 1024 * 1024
# Exceptions that a call raises if no complete response arrived.
HTTP_FAILURES = (OSError, EOFError, ValueError, TimeoutError, AiosonicError)


class _ClosingConnection(Connection):
    """Connection that is never reused after an incomplete call.

    aiosonic 1.3.3 returns a reused connection to its pool even if a call on it
    is cancelled or times out. The next call would then read the response to
    the previous call, which may belong to another caller.
    """

    # Bytes of lines since the last part of a body.
    _line_bytes = 0

    def reuse(self, urlparsed, verify) -> bool:
        """Rejects reuse of a connection that the server has closed.

        A request on such a connection fails without reaching the server, yet
        its outcome would have to be reported as unknown.
        """
        if self.reader is not None and self.reader.at_eof():
            self.close()
            return False
        self._line_bytes = 0
        return super().reuse(urlparsed, verify)

    async def readline(self) -> bytes:
        """Reads a line of a head, chunk header or trailer.

        Raises:
            ValueError: If the lines have no end.
        """
        line = await super().readline()
        self._line_bytes += len(line)
        if self._line_bytes > _MAX_HEAD_BYTES:
            raise ValueError(f"no end of the head in {_MAX_HEAD_BYTES} bytes")
        return line

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Reads a status line.

        Raises:
            ValueError: If it has no end.
        """
        self._line_bytes = 0
        try:
            return await super().readuntil(separator)
        except asyncio.LimitOverrunError as error:
            raise ValueError(f"no end of the status line: {error}") from error

    async def read(self, size: int = -1) -> bytes:
        """Reads a part of a body."""
        self._line_bytes = 0
        return await super().read(size)

    async def readexactly(self, size: int) -> bytes:
        """Reads a chunk of a body.

        Raises:
            ValueError: If the chunk is too large.
        """
        if size > _MAX_CHUNK_BYTES:
            raise ValueError(f"chunk of {size} bytes is too large")
        self._line_bytes = 0
        return await super().readexactly(size)

    def ensure_released(self, response_read: bool = True) -> None:
        """Releases the connection; closes it if it carries no other request.

        The client leaves trailers unread, and they may have no end.
        """
        super().ensure_released(response_read)
        limit = self.pool.conf.max_conn_requests
        if limit is not None and self.requests_count > limit:
            self.close()

    async def __aexit__(self, exc_type, exc, tb) -> None:
        """Closes the connection if the call raised an exception."""
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


def make_client(
    max_connections: int, max_requests: int | None = None
) -> aiosonic.HTTPClient:
    """Returns an HTTP client that never returns the response to another call.

    Args:
        max_connections: Maximum number of concurrent connections per address.
        max_requests: Maximum number of requests per connection; None for no
            limit.
    """
    pool = PoolConfig(size=max_connections, max_conn_requests=max_requests)
    connector = aiosonic.TCPConnector(
        pool_configs={":default": pool}, connection_cls=_ClosingConnection
    )
    return aiosonic.HTTPClient(connector)


async def read_content(
    response: aiosonic.HttpResponse, limit_bytes: int
) -> bytes:
    """Returns the body of a response.

    Args:
        response: Response that was requested with `stream=True`.
        limit_bytes: Maximum size of the body.

    Raises:
        ValueError: If the body is larger.
        OSError, EOFError, AiosonicError: If the body is incomplete.
    """
    parts = []
    size = 0
    try:
        async for part in response.read_chunks():
            size += len(part)
            if size > limit_bytes:
                raise ValueError(f"body exceeds {limit_bytes} bytes")
            parts.append(part)
    finally:
        await response.aclose()
    return b"".join(parts)
