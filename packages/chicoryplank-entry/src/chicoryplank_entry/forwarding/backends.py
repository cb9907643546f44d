"""Kept connections to replicas."""

import dataclasses
from collections.abc import Callable

from chicoryplank.ids import InstanceId
from chicoryplank_wire.client_connection import (
    ClientConnection,
    ConnectionBrokenError,
    connect,
)

# Longest wait for a new connection, in seconds. Links take a few ms, so a
# connection that is not there by then will likely never be.
_CONNECT_TIMEOUT_S = 0.35
# Idle time after which a kept connection is not used, if the replica does not
# say how long it keeps one, in seconds.
_DEFAULT_IDLE_S = 4.0
# Part of the idle time announced by a replica that is used.
_IDLE_SHARE = 0.6
# Idle time within which a connection is also used for requests that must not
# run twice, in seconds; a break on it leaves the outcome unknown.
_FRESH_S = 1.0
_MAX_IDLE_PER_REPLICA = 64


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAddress:
    """A replica and where it listens."""

    instance: InstanceId
    address: str


class BackendPool:
    """Connections to replicas, each used by one request at a time.

    Args:
        request_id_header: Header that tells to which request an answer
            belongs.
        now_s: Returns the current time in seconds.
    """

    def __init__(
        self, request_id_header: str, now_s: Callable[[], float]
    ) -> None:
        self._request_id_header = request_id_header
        self._now_s = now_s
        self._idle: dict[BackendAddress, list[ClientConnection]] = {}

    async def acquire(
        self, backend: BackendAddress, repeatable: bool
    ) -> ClientConnection:
        """Returns a connection, a kept one if it is likely still open.

        Raises:
            ConnectionBrokenError: If no connection can be made.
        """
        kept = self._take(backend, repeatable)
        if kept is not None:
            return kept
        return await self.open(backend)

    async def open(self, backend: BackendAddress) -> ClientConnection:
        """Returns a new connection.

        Raises:
            ConnectionBrokenError: If it is not there in time.
        """
        return await connect(
            backend.address, _CONNECT_TIMEOUT_S, self._request_id_header
        )

    def _take(
        self, backend: BackendAddress, repeatable: bool
    ) -> ClientConnection | None:
        now_s = self._now_s()
        connections = self._idle.get(backend, [])
        while connections:
            connection = connections.pop()
            allowed_s = _DEFAULT_IDLE_S
            if connection.idle_timeout_s is not None:
                allowed_s = connection.idle_timeout_s * _IDLE_SHARE
            if not repeatable:
                allowed_s = min(allowed_s, _FRESH_S)
            idle_s = now_s - connection.idle_since_s
            if connection.is_reusable and idle_s <= allowed_s:
                return connection
            connection.abort()
        return None

    def release(
        self, backend: BackendAddress, connection: ClientConnection
    ) -> None:
        """Keeps a connection whose answer is complete, or closes it."""
        connections = self._idle.setdefault(backend, [])
        if connection.is_reusable and len(connections) < _MAX_IDLE_PER_REPLICA:
            connection.idle_since_s = self._now_s()
            connections.append(connection)
        else:
            connection.abort()

    def retain(self, backends: set[BackendAddress]) -> None:
        """Closes the idle connections of all other replicas."""
        for backend in list(self._idle):
            if backend not in backends:
                self._discard(backend)

    def close(self) -> None:
        """Closes all idle connections."""
        self.retain(set())

    def _discard(self, backend: BackendAddress) -> None:
        for connection in self._idle.pop(backend, []):
            connection.abort()


__all__ = ["BackendAddress", "BackendPool", "ConnectionBrokenError"]
