"""Responses to callers: complete bodies, event streams and errors."""

import dataclasses
import json
from collections.abc import Callable

from chicoryplank.attempts import Attempt
from chicoryplank.errors import ChicoryplankError


class ResponseStream:
    """Server-sent events of a response, read as they arrive.

    The stream must be closed after use.

    Args:
        attempt: Attempt that produces the events.
        first_output: Output that was already read from the attempt.
        on_output: Called with each further chunk of output.
        on_close: Called once when the stream is closed.

    Attributes:
        on_abort: Called to end the connection of a caller that does not read.
    """

    def __init__(
        self,
        attempt: Attempt,
        first_output: bytes,
        on_output: Callable[[bytes], None],
        on_close: Callable[[], None],
    ) -> None:
        self._attempt = attempt
        self._first_output = first_output
        self._on_output = on_output
        self._on_close: Callable[[], None] | None = on_close
        self.on_abort: Callable[[], object] = lambda: None

    async def read(self) -> bytes:
        """Returns the next output, or empty bytes at the end.

        Raises:
            ChicoryplankError: If the response is incomplete.
        """
        if self._first_output:
            data, self._first_output = self._first_output, b""
            return data
        data = await self._attempt.read()
        self._on_output(data)
        return data

    def abort(self) -> None:
        """Ends the caller's connection if the stream is still open.

        It is closed by then if the caller has read the error event.
        """
        if self._on_close is not None:
            self.on_abort()

    def close(self) -> None:
        """Closes the stream; its attempt is cancelled if it has not ended."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response to a caller, with a complete body or a stream of events."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | ResponseStream


def format_error(error: ChicoryplankError) -> bytes:
    """Returns the JSON body of an error response."""
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
