"""Executes non-idempotent requests at most once per idempotency key.

The agent claims the key in the store before it sends the request.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from datetime import timedelta

from chicoryplank.attempts import AgentAttemptTable, AttemptRecord
from chicoryplank.configuration import RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.idempotency import (
    ClaimRegistry,
    Execution,
    ExecutionTable,
    digest_body,
    digest_key,
)
from chicoryplank.ids import AccountId
from chicoryplank.verdict import Verdict
from chicoryplank_wire import relay_pb2

# Maximum memory for the responses that are stored for retries.
_MAX_STORED_BYTES = 4 * 1024 * 1024
_RETRY_AFTER = timedelta(seconds=1)

FetchResponse = Callable[
    [relay_pb2.Start],
    Awaitable[tuple[int, tuple[tuple[str, str], ...], bytes]],
]


@dataclasses.dataclass(slots=True)
class _PendingExecution:
    """An execution that has not ended and the attempts that wait for it.

    Attributes:
        execution: The execution.
        records: Attempts that waited for it before the request was sent.
        sent: Whether the request may have been sent to the backend server.
    """

    execution: Execution
    records: list[AttemptRecord]
    sent: bool = False


class ClaimedExecutions:
    """Executions of non-idempotent requests at one agent.

    An execution does not end with the attempt that started it: if the caller
    disconnects, the execution continues and its response is stored for a retry.

    Args:
        incarnation: Incarnation of the agent; makes the owner name of a claim
            unique.
        registry: Claims in the store.
        table: Attempts of the agent.
        limits: Limits on the number and the duration of executions.
        fetch_response: Sends a request to the backend server and returns the
            status, headers and body of the complete response.
    """

    def __init__(
        self,
        incarnation: str,
        registry: ClaimRegistry,
        table: AgentAttemptTable,
        *,
        limits: RequestLimits,
        fetch_response: FetchResponse,
    ) -> None:
        self._incarnation = incarnation
        self._registry = registry
        self._table = table
        self._limits = limits
        self._fetch_response = fetch_response
        self._executions = ExecutionTable(_MAX_STORED_BYTES)
        self._pending: dict[str, _PendingExecution] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def in_progress(self) -> int:
        """Number of executions that have not ended."""
        return len(self._pending)

    async def run(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> Execution:
        """Returns the finished execution of a request, starting it if needed.

        Raises:
            ChicoryplankError: If the execution failed; the verdict says whether
                the request may have run.
        """
        key = digest_key(AccountId(start.account), start.idempotency_key)
        body = digest_body(start.method, start.path, start.body)
        execution = self._executions.find(key, body)
        if execution is None:
            self._check_limit()
            execution = self._executions.begin(key, body)
            pending = _PendingExecution(execution, [record])
            self._pending[key] = pending
            task = asyncio.create_task(self._execute(pending, record, start))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._add_waiter(key, record)
        await execution.wait()
        return execution

    def _check_limit(self) -> None:
        """Rejects a new execution if too many are in progress.

        The limit on attempts does not limit the executions, because an
        execution continues after its attempt was cancelled.
        """
        if len(self._pending) >= self._limits.max_requests:
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{len(self._pending)} executions are in progress",
                retry_after=_RETRY_AFTER,
            )

    def _add_waiter(self, key: str, record: AttemptRecord) -> None:
        pending = self._pending.get(key)
        if pending is None or pending.sent:
            self._table.start(record)
        else:
            pending.records.append(record)

    async def _execute(
        self,
        pending: _PendingExecution,
        record: AttemptRecord,
        start: relay_pb2.Start,
    ) -> None:
        execution = pending.execution
        claim_owner = (
            f"{self._incarnation}/{record.key.incarnation}"
            f"-{record.key.sequence}"
        )
        claimed = False
        try:
            await self._registry.admit(
                execution.key, execution.body, claim_owner
            )
            claimed = True
            self._start_attempts(pending)
            timeout_s = self._limits.max_timeout.total_seconds()
            async with asyncio.timeout(timeout_s):
                response = await self._fetch_response(start)
            execution.finish(*response)
        except ChicoryplankError as error:
            execution.fail(error)
            if claimed and error.verdict is Verdict.NOT_RUN:
                await self._registry.release(execution.key, claim_owner)
        except BaseException as error:
            execution.fail(
                ChicoryplankError(
                    ErrorCode.OUTCOME_UNKNOWN,
                    f"the execution was interrupted: {error!r}",
                    Verdict.MAY_HAVE_RUN,
                )
            )
            if not isinstance(error, Exception):
                raise
        finally:
            self._pending.pop(execution.key, None)
            self._executions.end(execution)

    def _start_attempts(self, pending: _PendingExecution) -> None:
        """Marks the waiting attempts as started.

        An attempt that was abandoned meanwhile is skipped.

        Raises:
            ChicoryplankError: If no attempt could be started. The request must
                then not run, because its entry was told that it did not run.
        """
        started = 0
        failure: ChicoryplankError | None = None
        for record in pending.records:
            try:
                self._table.start(record)
                started += 1
            except ChicoryplankError as error:
                failure = error
        if not started and failure is not None:
            raise failure
        pending.sent = True
