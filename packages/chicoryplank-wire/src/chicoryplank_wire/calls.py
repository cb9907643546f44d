"""Client for short HTTP calls over persistent connections."""

import asyncio
from collections.abc import Callable, Mapping

from chicoryplank_wire.client_connection import (
    BreakReason,
    ClientConnection,
    ConnectionBrokenError,
    Response,
    connect,
    encode_head,
)


class CallClient:
    """Client for short calls to one server, with a pool of idle connections.

    Args:
        address: Host and port of the server.
        timeout_s: Maximum time, in seconds, to connect and again to receive the
            response.
        now_s: Returns the current time in seconds.
        max_response_bytes: Maximum size of a response body.
    """

    # The server may have closed a connection that was idle for longer.
    _MAX_IDLE_S = 4.0

    def __init__(
        self,
        address: str,
        timeout_s: float,
        now_s: Callable[[], float],
        max_response_bytes: int = 8 * 1024 * 1024,
    ) -> None:
        self.address = address
        self._timeout_s = timeout_s
        self._now_s = now_s
        self._max_response_bytes = max_response_bytes
        self._idle: list[ClientConnection] = []

    def close(self) -> None:
        """Closes the idle connections."""
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
        *,
        on_new_connection: bool = False,
    ) -> tuple[int, bytes]:
        """Sends a request and returns the status and body of the response.

        Args:
            method: HTTP method.
            target: Request target.
            body: Request body.
            headers: Headers in addition to Host.
            timeout_s: Replaces the timeout of the client if given.
            on_new_connection: Whether to send the request on a new connection,
                where no late response to an earlier request can arrive.

        Raises:
            ConnectionBrokenError: If there is no complete response. A request
                that was sent may nevertheless have been executed.
        """
        response, content = await self.exchange(
            method,
            target,
            body,
            headers,
            timeout_s,
            on_new_connection=on_new_connection,
        )
        return response.status, content

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        *,
        on_new_connection: bool = False,
    ) -> tuple[Response, bytes]:
        """Same as `call`, but returns the response with its headers.

        Raises:
            ConnectionBrokenError: If there is no complete response.
        """
        effective_timeout_s = timeout_s or self._timeout_s
        connection = None if on_new_connection else self._pop_idle()
        if connection is None:
            connection = await connect(self.address, effective_timeout_s)
        can_reuse = False
        try:
            async with asyncio.timeout(effective_timeout_s):
                fields = [("Host", self.address)]
                fields.extend((headers or {}).items())
                response = connection.send(
                    encode_head(method, target, fields, len(body)), body=body
                )
                await response.wait_head()
                content = await response.read_all(self._max_response_bytes)
                can_reuse = connection.is_reusable
                return response, content
        except TimeoutError as error:
            raise ConnectionBrokenError(
                BreakReason.TIMED_OUT, target
            ) from error
        finally:
            if can_reuse:
                connection.idle_since_s = self._now_s()
                self._idle.append(connection)
            else:
                connection.abort()

    def _pop_idle(self) -> ClientConnection | None:
        now_s = self._now_s()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.is_reusable and idle_s < self._MAX_IDLE_S:
                return connection
            connection.abort()
        return None
