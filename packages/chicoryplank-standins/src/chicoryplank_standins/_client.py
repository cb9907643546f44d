"""HTTP client of the load tool."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

CONNECT_TIMEOUT_S = 2.0


class ClosingConnection(Connection):
    """Connection that is not used again after a call broke off.

    aiosonic 1.3.3 puts a reused connection back into its pool when a call on
    it is cancelled or times out. The next call to the same address then reads
    the answer to the call before.
    """

    async def __aexit__(self, exc_type, exc, tb) -> None:
        """Closes the connection if the call did not end regularly."""
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


def make_client(max_connections: int) -> aiosonic.HTTPClient:
    """Returns a client whose calls have no time limits of their own."""
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=max_connections)},
        timeouts=Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None,
            request_timeout=None,
        ),
        connection_cls=ClosingConnection,
    )
    return aiosonic.HTTPClient(connector)
