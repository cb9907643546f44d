"""Executions of one agent, so that a repeated request is answered again."""

import asyncio
import collections
import dataclasses

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(slots=True)
class Execution:
    """One run of a non-idempotent request.

    Attributes:
        key: Digest of client account and idempotency key.
        body: Digest of method, path and body.
        status: HTTP status once the response is whole.
        headers: Response headers.
        content: Response body.
        error: Why there is no response.
        ended: Set when the response or the error is final.
    """

    key: str
    body: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    content: bytes = b""
    error: ChicoryplankError | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def wait(self) -> None:
        """Waits for the end of the run.

        Raises:
            ChicoryplankError: If the run gave no whole response.
        """
        await self.ended.wait()
        if self.error is not None:
            raise self.error

    def finish(
        self, status: int, headers: tuple[tuple[str, str], ...], content: bytes
    ) -> None:
        """Keeps the whole response."""
        self.status = status
        self.headers = headers
        self.content = content
        self.ended.set()

    def fail(self, error: ChicoryplankError) -> None:
        """Keeps the error of the run."""
        self.error = error
        self.ended.set()


class ExecutionTable:
    """Runs in progress and the latest finished ones.

    Dropping a finished run is safe: its claim stays in the store, and a later
    retry is rejected as MAY_HAVE_RUN instead of answered again.

    Args:
        max_bytes: Bound on the kept response bodies.

    Example:
        >>> table = ExecutionTable(max_bytes=1024)
        >>> table.find("key", "body") is None
        True
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._executions: collections.OrderedDict[str, Execution] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._executions)

    def find(self, key: str, body: str) -> Execution | None:
        """Returns the run of a key.

        Raises:
            ChicoryplankError: With KEY_REUSED if the run was for another
                request.
        """
        execution = self._executions.get(key)
        if execution is not None and execution.body != body:
            raise ChicoryplankError(
                ErrorCode.KEY_REUSED,
                "the idempotency key was used with another request",
            )
        return execution

    def begin(self, key: str, body: str) -> Execution:
        """Records a new run."""
        execution = Execution(key, body)
        self._executions[key] = execution
        return execution

    def end(self, execution: Execution) -> None:
        """Accounts for a finished run; a run that did not run is forgotten."""
        error = execution.error
        if error is not None and error.verdict is Verdict.NOT_RUN:
            self._executions.pop(execution.key, None)
            return
        self._bytes += self._measure(execution)
        for key in list(self._executions):
            if self._bytes <= self._max_bytes:
                return
            oldest = self._executions[key]
            if oldest.ended.is_set():
                del self._executions[key]
                self._bytes -= self._measure(oldest)

    def _measure(self, execution: Execution) -> int:
        # Bookkeeping of an execution takes about 500 bytes.
        return len(execution.content) + 500
