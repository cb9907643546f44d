"""A request of a caller, and its body while it is being received."""

import dataclasses

# Size up to which parts of a body are joined as they arrive.
_BLOCK_BYTES = 65_536


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
    """Parts of a body, joined so that small ones take no more than their size.

    Attributes:
        size: Number of bytes received.
    """

    def __init__(self) -> None:
        self._whole: bytearray | None = None
        self._blocks: list[bytearray] = []
        self.size = 0

    def append(self, data: bytes) -> None:
        """Appends a part."""
        start = self.size
        self.size += len(data)
        if self._whole is not None:
            self._whole[start : self.size] = data
        elif self._blocks and (
            len(self._blocks[-1]) + len(data) <= _BLOCK_BYTES
        ):
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))

    def allocate(self, size_bytes: int) -> None:
        """Allocates a large body at once, which leaves no gaps in the heap."""
        if self._whole is not None:
            return
        whole = bytearray(size_bytes)
        start = 0
        for block in self._blocks:
            whole[start : start + len(block)] = block
            start += len(block)
        self._whole, self._blocks = whole, []

    def take(self) -> bytes | bytearray:
        """Returns the complete body and discards it."""
        whole, self._whole = self._whole, None
        blocks, self._blocks = self._blocks, []
        size, self.size = self.size, 0
        if whole is None:
            return b"".join(blocks)
        return whole if len(whole) == size else bytes(memoryview(whole)[:size])


__all__ = ["BodyBuffer", "ReceivedRequest"]
