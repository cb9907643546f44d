"""HTTP client of the load generator."""

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

CONNECT_TIMEOUT_S = 2.0


class ClosingConnection(Connection):
    """Connection that is closed after a cancelled or failed call.

    aiosonic 1.3.3 returns a persistent connection to its pool when a call on
    it is cancelled or times out. The next call to the same address would then
    read the response to the previous call.
    """

    async def __aexit__(self, exc_type, exc, tb) -> None:
        """Closes the connection if the call raised an exception."""
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


def make_client(max_connections: int) -> aiosonic.HTTPClient:
    """Creates a client that limits only the time to connect.

    The code that makes a call limits its total time.
    """
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
