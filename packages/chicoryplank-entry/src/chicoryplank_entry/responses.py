"""Responses to callers."""

import dataclasses
import json
from collections.abc import Callable

from chicoryplank.attempts import Attempt
from chicoryplank.errors import ChicoryplankError


class ResponseStream:
    """Events of a response as they arrive; must be closed.

    Args:
        attempt: Attempt that produces the events.
        first: Output that was already read.
        end_read: Called with each further piece of output.
        on_close: Called once when the stream is closed.

    Attributes:
        on_abort: Called when a caller that does not read must be cut off.
    """

    def __init__(
        self,
        attempt: Attempt,
        first: bytes,
        end_read: Callable[[bytes], None],
        on_close: Callable[[], None],
    ) -> None:
        self._attempt = attempt
        self._first = first
        self._end_read = end_read
        self._on_close: Callable[[], None] | None = on_close
        self.on_abort: Callable[[], object] = lambda: None

    async def read(self) -> bytes:
        """Returns the next output, or empty bytes at the end.

        Raises:
            ChicoryplankError: If the response is not whole.
        """
        if self._first:
            data, self._first = self._first, b""
            return data
        data = await self._attempt.read()
        self._end_read(data)
        return data

    def abort(self) -> None:
        """Breaks the caller's connection if it takes no output."""
        if self._on_close is not None:
            self.on_abort()

    def close(self) -> None:
        """Releases the attempt; cancels it if it is still open."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response to a caller: a whole body, or a stream of events."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | ResponseStream


def format_error(error: ChicoryplankError) -> bytes:
    """Returns the JSON body of an error."""
    retry_after = error.retry_after
    document = {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "type": error.code.name.lower(),
            "verdict": error.verdict.value,
            "retry_after_s": (
                None if retry_after is None else retry_after.total_seconds()
            ),
        }
    }
    return json.dumps(document).encode()
