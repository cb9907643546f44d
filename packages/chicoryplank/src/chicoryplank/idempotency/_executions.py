"""Executions at one agent, whose responses can be returned to retries."""

import asyncio
import collections
import dataclasses

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(slots=True)
class Execution:
    """One execution of a non-idempotent request.

    Attributes:
        key: Digest of client account and idempotency key.
        body: Digest of method, path and body.
        status: HTTP status of the complete response; 0 before.
        headers: Response headers.
        content: Response body.
        error: Why there is no complete response, if the execution failed.
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
        """Waits for the end of the execution.

        Raises:
            ChicoryplankError: If the execution failed.
        """
        await self.ended.wait()
        if self.error is not None:
            raise self.error

    def finish(
        self, status: int, headers: tuple[tuple[str, str], ...], content: bytes
    ) -> None:
        """Ends the execution with its complete response."""
        self.status = status
        self.headers = headers
        self.content = content
        self.ended.set()

    def fail(self, error: ChicoryplankError) -> None:
        """Ends the execution with an error."""
        self.error = error
        self.ended.set()


class ExecutionTable:
    """Executions in progress and the most recent ended ones.

    The oldest ended executions are dropped to limit the memory. This is safe:
    the claim stays in the store, and a retry is rejected with MAY_HAVE_RUN
    instead of receiving the stored response.

    Args:
        max_bytes: Maximum memory for ended executions and their responses.

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
        """Returns the execution of a key, if the table contains it.

        Raises:
            ChicoryplankError: With KEY_REUSED if the key was used with another
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
        """Adds a new execution."""
        execution = Execution(key, body)
        self._executions[key] = execution
        return execution

    def end(self, execution: Execution) -> None:
        """Records that an execution has ended and drops the oldest if needed.

        An execution that failed with NOT_RUN is removed, so that a retry can
        run.
        """
        error = execution.error
        if error is not None and error.verdict is Verdict.NOT_RUN:
            self._executions.pop(execution.key, None)
            return
        self._bytes += self._estimate_bytes(execution)
        for key in list(self._executions):
            if self._bytes <= self._max_bytes:
                return
            oldest = self._executions[key]
            if oldest.ended.is_set():
                del self._executions[key]
                self._bytes -= self._estimate_bytes(oldest)

    def _estimate_bytes(self, execution: Execution) -> int:
        # The objects of an execution take about 500 bytes beside the content.
        return len(execution.content) + 500
