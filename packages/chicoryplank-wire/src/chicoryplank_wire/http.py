"""What the HTTP clients of the system share."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig

# Everything that means that no whole response arrived.
HTTP_FAILURES = (OSError, EOFError, ValueError, TimeoutError, AiosonicError)


class _ClosingConnection(Connection):
    """Connection that is not used again after a call broke off.

    aiosonic 1.3.3 puts a reused connection back into its pool when a call on
    it is cancelled or times out. The next call then reads the answer to the
    call before, which belongs to another caller.
    """

    def reuse(self, urlparsed, verify) -> bool:
        """Refuses a connection that the server has closed.

        A request on it would fail although it never reached the server, and
        the outcome would count as unknown.
        """
        if self.reader is not None and self.reader.at_eof():
            self.close()
            return False
        return super().reuse(urlparsed, verify)

    async def __aexit__(self, exc_type, exc, tb) -> None:
        """Closes the connection if the call did not end regularly."""
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


def make_client(
    max_connections: int, max_requests: int | None = None
) -> aiosonic.HTTPClient:
    """Returns an HTTP client that never mixes up answers.

    Args:
        max_connections: Connections at once to one address.
        max_requests: How often a connection is used again; None for no bound.
    """
    pool = PoolConfig(size=max_connections, max_conn_requests=max_requests)
    connector = aiosonic.TCPConnector(
        pool_configs={":default": pool}, connection_cls=_ClosingConnection
    )
    return aiosonic.HTTPClient(connector)
