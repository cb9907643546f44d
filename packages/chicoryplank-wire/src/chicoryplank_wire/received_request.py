"""A request of a caller, and its body while it is being received."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request from a caller.

    Attributes:
        method: HTTP method.
        target: Path and query, as received.
        headers: Header names and values, as received and in received order.
        body: Body without its transfer encoding; not to be changed.
        received_s: Clock time, in seconds, at which the head began to arrive.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    received_s: float

    def get(self, name: str) -> str | None:
        """Returns the value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class BodyBuffer:
    """Body that is being received, in parts of any size.

    Attributes:
        size: Number of bytes received.
    """

    def __init__(self) -> None:
        # Longer than what has been received once it is allocated.
        self._data = bytearray()
        self.size = 0

    def append(self, data: bytes) -> None:
        """Appends a part."""
        end = self.size + len(data)
        self._data[self.size : end] = data
        self.size = end

    def allocate(self, size_bytes: int) -> None:
        """Allocates a large body at once, which leaves no gaps in the heap."""
        if len(self._data) < size_bytes:
            whole = bytearray(size_bytes)
            whole[: self.size] = self._data
            self._data = whole

    def take(self) -> bytes | bytearray:
        """Returns the complete body and discards it."""
        data, self._data = self._data, bytearray()
        size, self.size = self.size, 0
        return data if len(data) == size else bytes(memoryview(data)[:size])


__all__ = ["BodyBuffer", "ReceivedRequest"]
