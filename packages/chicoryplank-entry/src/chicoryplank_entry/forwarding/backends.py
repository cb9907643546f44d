"""Pool of persistent connections to replicas."""

import dataclasses
from collections.abc import Callable, Collection

from chicoryplank.ids import InstanceId
from chicoryplank.traffic import ReplicaRecord
from chicoryplank_wire.client_connection import (
    ClientConnection,
    ConnectionBrokenError,
    connect,
)

# Longest wait for a new connection, in seconds. The network delay is a few
# milliseconds, so a connection that takes longer will most likely fail.
_CONNECT_TIMEOUT_S = 0.35
# Idle time in seconds after which a connection is not reused, if the replica
# does not announce its idle timeout.
_DEFAULT_MAX_IDLE_S = 4.0
# Fraction of the idle timeout announced by a replica within which a connection
# is reused.
_USED_IDLE_SHARE = 0.6
# Idle time in seconds within which a connection is reused for requests that
# must not be retried. The outcome is unknown if the connection breaks, so they
# need one that is most likely still open.
_NON_REPEATABLE_IDLE_S = 1.0
_MAX_IDLE_PER_REPLICA = 64


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAddress:
    """A replica and its address.

    Attributes:
        instance: Id of the replica.
        address: Host and port.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
            Idle connections to a process that has ended are not used.
    """

    instance: InstanceId
    address: str
    started_ms: int = 0


def make_backend_address(replica: ReplicaRecord) -> BackendAddress:
    """Returns the address of a registered replica."""
    return BackendAddress(replica.instance, replica.address, replica.started_ms)


class BackendPool:
    """Pool of connections to replicas, each used by one request at a time.

    Args:
        request_id_header: Header that contains the id of the request of a
            response.
        now_s: Returns the current time in seconds.
    """

    def __init__(
        self, request_id_header: str, now_s: Callable[[], float]
    ) -> None:
        self._request_id_header = request_id_header
        self._now_s = now_s
        self._idle: dict[BackendAddress, list[ClientConnection]] = {}

    async def acquire(
        self,
        backend: BackendAddress,
        repeatable: bool,
        excluded: Collection[ClientConnection] = (),
        request_id: str = "",
    ) -> ClientConnection:
        """Returns an idle connection that is likely still open, or a new one.

        Args:
            backend: Replica to connect to.
            repeatable: Whether the request may be executed more than once.
            excluded: Connections that carried an earlier attempt of the
                request. The request id does not distinguish attempts, so a late
                response to that attempt would be taken for one to the next.
            request_id: Id of the request. A caller may use it again for a
                further request, with the same consequence.

        Raises:
            ConnectionBrokenError: If no connection can be made.
        """
        idle = self._take_idle(backend, repeatable, excluded, request_id)
        if idle is not None:
            return idle
        return await self.open(backend)

    async def open(self, backend: BackendAddress) -> ClientConnection:
        """Returns a new connection.

        Raises:
            ConnectionBrokenError: If it is not established in time.
        """
        return await connect(
            backend.address, _CONNECT_TIMEOUT_S, self._request_id_header
        )

    def _take_idle(
        self,
        backend: BackendAddress,
        repeatable: bool,
        excluded: Collection[ClientConnection],
        request_id: str,
    ) -> ClientConnection | None:
        """Removes and returns the connection that was used last, if any."""
        connections = self._idle.get(backend, [])
        for index in range(len(connections) - 1, -1, -1):
            connection = connections[index]
            if connection in excluded or connection.has_carried(request_id):
                continue
            del connections[index]
            if self._is_likely_open(connection, repeatable):
                return connection
            connection.abort()
        return None

    def _is_likely_open(
        self, connection: ClientConnection, repeatable: bool
    ) -> bool:
        allowed_s = _DEFAULT_MAX_IDLE_S
        if connection.idle_timeout_s is not None:
            allowed_s = connection.idle_timeout_s * _USED_IDLE_SHARE
        if not repeatable:
            allowed_s = min(allowed_s, _NON_REPEATABLE_IDLE_S)
        idle_s = self._now_s() - connection.idle_since_s
        return connection.is_reusable and idle_s <= allowed_s

    def release(
        self, backend: BackendAddress, connection: ClientConnection
    ) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        connections = self._idle.setdefault(backend, [])
        if connection.is_reusable and len(connections) < _MAX_IDLE_PER_REPLICA:
            connection.idle_since_s = self._now_s()
            connections.append(connection)
        else:
            connection.abort()

    def retain(self, backends: set[BackendAddress]) -> None:
        """Closes the idle connections to all other replicas."""
        for backend in list(self._idle):
            if backend not in backends:
                self._close_idle(backend)

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain(set())

    def _close_idle(self, backend: BackendAddress) -> None:
        for connection in self._idle.pop(backend, []):
            connection.abort()


__all__ = [
    "BackendAddress",
    "BackendPool",
    "ConnectionBrokenError",
    "make_backend_address",
]
