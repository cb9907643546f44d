"""Runs non-idempotent requests under a claim, at most once for a key."""

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

# Responses kept for replay take at most this much memory.
_MAX_KEPT_BYTES = 4 * 1024 * 1024
_RETRY_SOON = timedelta(seconds=1)

Collect = Callable[
    [relay_pb2.Start],
    Awaitable[tuple[int, tuple[tuple[str, str], ...], bytes]],
]


@dataclasses.dataclass(slots=True)
class _Run:
    """Attempts that wait for one execution."""

    execution: Execution
    records: list[AttemptRecord]
    sent: bool = False


class ClaimedRuns:
    """Executions of one agent and the attempts that wait for them.

    An execution does not end with the attempt that caused it: when a caller
    goes away, the run goes on and its response is kept for the retry.

    Args:
        incarnation: Incarnation of the agent; makes attempt names unique.
        registry: Claims in the store.
        table: Attempts of the agent.
        limits: Bounds on time.
        collect: Sends a request to the backend server and returns status,
            headers and body of the whole response.
    """

    def __init__(
        self,
        incarnation: str,
        registry: ClaimRegistry,
        table: AgentAttemptTable,
        *,
        limits: RequestLimits,
        collect: Collect,
    ) -> None:
        self._incarnation = incarnation
        self._registry = registry
        self._table = table
        self._limits = limits
        self._collect = collect
        self._executions = ExecutionTable(_MAX_KEPT_BYTES)
        self._runs: dict[str, _Run] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def in_progress(self) -> int:
        """Number of executions that have not ended."""
        return len(self._runs)

    async def run(
        self, record: AttemptRecord, start: relay_pb2.Start
    ) -> Execution:
        """Returns the finished execution of a request.

        Raises:
            ChicoryplankError: If there is no response; the verdict says
                whether the request may have run.
        """
        key = digest_key(AccountId(start.account), start.idempotency_key)
        body = digest_body(start.method, start.path, start.body)
        execution = self._executions.find(key, body)
        if execution is None:
            self._check_bound()
            execution = self._executions.begin(key, body)
            run = _Run(execution, [record])
            self._runs[key] = run
            task = asyncio.create_task(self._execute(run, record, start))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._join(key, record)
        await execution.wait()
        return execution

    def _check_bound(self) -> None:
        """Rejects a new run beyond the limit.

        The bound on attempts does not bound the runs, because a run goes on
        after its attempt was cancelled.
        """
        if len(self._runs) >= self._limits.max_requests:
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{len(self._runs)} runs are in progress",
                retry_after=_RETRY_SOON,
            )

    def _join(self, key: str, record: AttemptRecord) -> None:
        run = self._runs.get(key)
        if run is None or run.sent:
            self._table.start(record)
        else:
            run.records.append(record)

    async def _execute(
        self, run: _Run, record: AttemptRecord, start: relay_pb2.Start
    ) -> None:
        execution = run.execution
        name = (
            f"{self._incarnation}/{record.key.incarnation}"
            f"-{record.key.sequence}"
        )
        claimed = False
        try:
            await self._registry.admit(execution.key, execution.body, name)
            claimed = True
            self._start_records(run)
            timeout_s = self._limits.max_timeout.total_seconds()
            async with asyncio.timeout(timeout_s):
                response = await self._collect(start)
            execution.finish(*response)
        except ChicoryplankError as error:
            execution.fail(error)
            if claimed and error.verdict is Verdict.NOT_RUN:
                await self._registry.release(execution.key, name)
        except BaseException as error:
            execution.fail(
                ChicoryplankError(
                    ErrorCode.OUTCOME_UNKNOWN,
                    f"the run was interrupted: {error!r}",
                    Verdict.MAY_HAVE_RUN,
                )
            )
            if not isinstance(error, Exception):
                raise
        finally:
            self._runs.pop(execution.key, None)
            self._executions.end(execution)

    def _start_records(self, run: _Run) -> None:
        """Starts the waiting attempts that were not settled meanwhile.

        Raises:
            ChicoryplankError: If none is left; the request must not run,
                because its entry was told that it has not.
        """
        started = 0
        failure: ChicoryplankError | None = None
        for record in run.records:
            try:
                self._table.start(record)
                started += 1
            except ChicoryplankError as error:
                failure = error
        if not started and failure is not None:
            raise failure
        run.sent = True
