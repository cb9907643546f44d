"""HTTP clients that handle broken connections and endless responses safely."""

import asyncio

import aiosonic
from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig

# Number of bytes in which a head must end, or a part of a body must arrive.
_MAX_HEAD_BYTES = 65_536
_MAX_CHUNK_BYTES = 8 * 1024 * 1024
_UNFRAMED_READ_BYTES = 65_536
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
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


class _UnframedConnection(_ClosingConnection):
    """Connection that also reads bodies which end with the connection.

    aiosonic 1.3.3 reads bodies with a length or in chunks only. A body with
    neither is passed to it as chunks.
    """

    _reads_head = False
    _is_framed = True
    _data = b""

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Reads a status line, with which a new response begins."""
        self._reads_head = True
        self._is_framed = False
        return await super().readuntil(separator)

    async def readline(self) -> bytes:
        """Reads a line of a head, or of the chunks that a body is passed as."""
        if not self._reads_head and not self._is_framed:
            self._data = await self.read(_UNFRAMED_READ_BYTES)
            return b"%x\r\n" % len(self._data)
        line = await super().readline()
        if self._reads_head:
            name, separator, _ = line.partition(b":")
            self._is_framed |= name.strip().lower() in _FRAMING_HEADERS
            self._reads_head = bool(separator)
            if not separator and not self._is_framed:
                self.block_until_read_chunks()
        return line

    async def readexactly(self, size: int) -> bytes:
        """Reads a chunk and its end."""
        if self._is_framed:
            return await super().readexactly(size)
        return self._data + b"\r\n"


def make_client(
    max_connections: int,
    max_requests: int | None = None,
    *,
    reads_unframed: bool = False,
) -> aiosonic.HTTPClient:
    """Returns an HTTP client that never returns the response to another call.

    Args:
        max_connections: Maximum number of concurrent connections per address.
        max_requests: Maximum number of requests per connection; None for no
            limit.
        reads_unframed: Whether `read_chunks` also reads bodies with neither a
            length nor chunks. The caller must read or close each response.
    """
    pool = PoolConfig(size=max_connections, max_conn_requests=max_requests)
    connector = aiosonic.TCPConnector(
        pool_configs={":default": pool},
        connection_cls=(
            _UnframedConnection if reads_unframed else _ClosingConnection
        ),
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
