"""Short HTTP calls to one server over kept connections."""

import asyncio
from collections.abc import Callable, Mapping

from chicoryplank_wire.raw_http import (
    Broken,
    ClientConnection,
    ConnectionBrokenError,
    connect,
    encode_request,
)


class CallClient:
    """Client for short calls to one server, with kept connections.

    Args:
        address: Host and port.
        timeout_s: Longest wait for connection and answer, in seconds.
        max_answer_bytes: Largest answer that is accepted.
        now_s: Returns the current time in seconds.
    """

    # A kept connection idle for longer may have been closed by the server.
    _MAX_IDLE_S = 4.0

    def __init__(
        self,
        address: str,
        timeout_s: float,
        now_s: Callable[[], float],
        max_answer_bytes: int = 8 * 1024 * 1024,
    ) -> None:
        self.address = address
        self._timeout_s = timeout_s
        self._now_s = now_s
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[ClientConnection] = []

    def close(self) -> None:
        """Closes the kept connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Returns status and body of the answer.

        Raises:
            ConnectionBrokenError: If there is no whole answer. A call that
                was sent may have been executed.
        """
        limit_s = timeout_s or self._timeout_s
        connection = self._take_idle()
        if connection is None:
            connection = await connect(self.address, limit_s)
        keep = False
        try:
            async with asyncio.timeout(limit_s):
                fields = [("Host", self.address)]
                fields.extend((headers or {}).items())
                response = connection.send(
                    encode_request(method, target, fields, body)
                )
                await response.wait_head()
                content = await response.read_all(self._max_answer_bytes)
                keep = connection.is_reusable
                return response.status, content
        except TimeoutError as error:
            raise ConnectionBrokenError(Broken.TIMED_OUT, target) from error
        finally:
            if keep:
                connection.idle_since_s = self._now_s()
                self._idle.append(connection)
            else:
                connection.abort()

    def _take_idle(self) -> ClientConnection | None:
        now_s = self._now_s()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.is_reusable and idle_s < self._MAX_IDLE_S:
                return connection
            connection.abort()
        return None
