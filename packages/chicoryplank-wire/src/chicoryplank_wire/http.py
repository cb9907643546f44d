"""Construction of HTTP clients that handle broken connections safely."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig

# Exceptions that a call raises if no complete response arrived.
HTTP_FAILURES = (OSError, EOFError, ValueError, TimeoutError, AiosonicError)


class _ClosingConnection(Connection):
    """Connection that is never reused after an incomplete call.

    aiosonic 1.3.3 returns a reused connection to its pool even if a call on it
    is cancelled or times out. The next call would then read the response to
    the previous call, which may belong to another caller.
    """

    def reuse(self, urlparsed, verify) -> bool:
        """Rejects reuse of a connection that the server has closed.

        A request on such a connection fails without reaching the server, yet
        its outcome would have to be reported as unknown.
        """
        if self.reader is not None and self.reader.at_eof():
            self.close()
            return False
        return super().reuse(urlparsed, verify)

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
