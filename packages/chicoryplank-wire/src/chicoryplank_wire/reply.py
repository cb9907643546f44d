"""Writer of an HTTP/1.1 response to a caller."""

import http
import typing
from collections.abc import Iterable

if typing.TYPE_CHECKING:
    from chicoryplank_wire.server_connection import CallerConnection


class Reply:
    """Writer of the response to one request, in parts or at once.

    Args:
        connection: Connection to the caller.
        keep_alive: Whether the caller can reuse the connection.
        supports_chunked: Whether the caller supports chunked encoding.

    Attributes:
        keep_alive: Whether the connection stays open after the response.
        started: Whether the head has been written.
        ended: Whether the response is complete.
    """

    def __init__(
        self,
        connection: "CallerConnection",
        keep_alive: bool,
        supports_chunked: bool,
    ) -> None:
        self._connection = connection
        self._supports_chunked = supports_chunked
        self._chunked = False
        self.keep_alive = keep_alive
        self.started = False
        self.ended = False

    def start(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        content_length: int | None,
    ) -> None:
        """Writes the status line and the headers.

        Args:
            status: Status code.
            headers: End-to-end headers.
            content_length: Length of the body in bytes; None if unknown.
        """
        self.started = True
        self.keep_alive = (
            self.keep_alive and not self._connection.closes_after_response()
        )
        lines = [f"HTTP/1.1 {status} {_get_reason_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if content_length is not None:
            lines.append(f"content-length: {content_length}")
        elif self._supports_chunked:
            self._chunked = True
            lines.append("transfer-encoding: chunked")
        else:
            self.keep_alive = False
        if not self.keep_alive:
            lines.append("connection: close")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self._connection.write(head.encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def end(self) -> None:
        """Completes the response."""
        self.ended = True
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")

    def send(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Writes a complete response."""
        self.start(status, headers, len(body))
        self._connection.write(body)
        self.ended = True

    async def drain(self) -> None:
        """Waits until the write buffer has room, if the caller reads slowly."""
        await self._connection.drain()


def _get_reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


__all__ = ["Reply"]
