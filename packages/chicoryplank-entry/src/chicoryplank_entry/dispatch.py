"""Dispatch of requests: admission, attempts, retries and hedging."""

import asyncio
import contextlib
import itertools
import re
from datetime import timedelta

from chicoryplank.attempts import AttemptState
from chicoryplank.clock import Clock
from chicoryplank.configuration import EntrySettings
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.limits import Request as AdmissionRequest
from chicoryplank.process_state import ProcessState
from chicoryplank.retry import (
    Arrival,
    Failure,
    FirstToken,
    Hedge,
    RetryPolicy,
)
from chicoryplank.verdict import Verdict
from chicoryplank_entry import metrics
from chicoryplank_entry.admission import AdmissionGate
from chicoryplank_entry.exchange import AttemptRunner, SentAttempt
from chicoryplank_entry.quarantine import QuarantineCheck
from chicoryplank_entry.requests import Call, CallerRequest, choose_route
from chicoryplank_entry.responses import CallerResponse, ResponseStream

_RETRY_AFTER = timedelta(seconds=1)
# A request in quarantine is not worth repeating while its caller waits.
_QUARANTINE_RETRY_AFTER = timedelta(seconds=60)
# Time in which the error event of an expired stream can be sent before the
# connection of a caller that does not read is aborted.
_ABORT_DELAY_S = 1.0
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens":\s*(\d{1,9})')


class Dispatcher:
    """Admits requests, sends them to agents and returns the responses.

    Args:
        settings: Settings of the entry.
        clock: Source of time for deadlines.
        process_state: Source of the active configuration and of the entry's
            readiness.
        runner: Sends single attempts to agents.
        gate: Admission control.
        retries: Decides on retries and hedged attempts.
        quarantine: Refuses requests that crash backend servers.

    Attributes:
        in_progress: Number of requests in progress, including queued ones.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        process_state: ProcessState,
        *,
        runner: AttemptRunner,
        gate: AdmissionGate,
        retries: RetryPolicy,
        quarantine: QuarantineCheck,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._process_state = process_state
        self._runner = runner
        self._gate = gate
        self._retries = retries
        self._quarantine = quarantine
        self._call_numbers = itertools.count(1)
        self.in_progress = 0

    def check_ready(self) -> None:
        """Checks that this entry may accept a new request.

        Raises:
            ChicoryplankError: With SHUTTING_DOWN, NOT_READY or
                TOO_MANY_REQUESTS if it may not.
        """
        if self._process_state.draining.value:
            raise ChicoryplankError(
                ErrorCode.SHUTTING_DOWN,
                "this entry is shutting down; use another address",
                retry_after=_RETRY_AFTER,
            )
        if not self._process_state.synchronized.value:
            raise ChicoryplankError(
                ErrorCode.NOT_READY,
                "this entry has not received the active configuration yet",
                retry_after=_RETRY_AFTER,
            )
        if self._process_state.isolated.value:
            raise ChicoryplankError(
                ErrorCode.NOT_READY,
                "this entry can reach neither the store nor another entry",
                retry_after=_RETRY_AFTER,
            )
        if self.in_progress >= self._settings.limits.max_requests:
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{self.in_progress} requests are in progress",
                retry_after=_RETRY_AFTER,
            )

    async def dispatch(self, request: CallerRequest) -> CallerResponse:
        """Runs a request and returns its response.

        Raises:
            ChicoryplankError: If the request is refused or fails; the
                verdict tells whether a backend server may have executed it.
        """
        self.check_ready()
        route = choose_route(self._process_state.snapshot.value, request)
        started_at = self._clock.elapsed()
        call = Call(
            next(self._call_numbers),
            request,
            route,
            started_at,
            started_at + request.timeout,
            self._clock.now() + request.timeout,
        )
        self._quarantine.check(call)
        self.in_progress += 1
        metrics.IN_PROGRESS.inc()
        try:
            await self._acquire_slot(call)
        except BaseException:
            self._end_call(call)
            raise
        streaming = False
        succeeded = False
        try:
            await self._quarantine.acquire_trial(call)
            response = await self._run_with_retries(call)
            streaming = isinstance(response.body, ResponseStream)
            succeeded = True
            return response
        finally:
            if not streaming:
                self._end_admitted_call(call, succeeded)

    async def _acquire_slot(self, call: Call) -> None:
        """Waits until the limiter admits the request.

        Raises:
            ChicoryplankError: If the request is refused, or its deadline
                passes while it is queued.
        """
        queued_at = self._clock.elapsed()
        try:
            async with asyncio.timeout(self._runner.get_remaining_s(call)):
                await self._gate.acquire(
                    AdmissionRequest(
                        call.admission_id,
                        call.route.account,
                        call.route.deployment,
                        call.route.priority,
                        call.wall_clock_deadline,
                        call.request.max_tokens,
                    )
                )
        except TimeoutError as error:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed while the request was queued",
                retry_after=_RETRY_AFTER,
            ) from error
        waited = self._clock.elapsed() - queued_at
        metrics.QUEUEING_TIME.labels(
            metrics.get_priority_label(call.route.priority),
            call.route.deployment,
        ).observe(waited.total_seconds())
        self._retries.observe(Arrival(call.route.account), self._clock.now())

    def _end_admitted_call(self, call: Call, succeeded: bool) -> None:
        self._gate.release(call.admission_id, call.tokens, succeeded)
        self._end_call(call)

    def _end_call(self, call: Call) -> None:
        self.in_progress -= 1
        metrics.IN_PROGRESS.dec()
        total = self._clock.elapsed() - call.started_at
        metrics.REQUEST_LATENCY.labels(
            metrics.get_account_label(call.route.account)
        ).observe(total.total_seconds())

    async def _run_with_retries(self, call: Call) -> CallerResponse:
        """Starts attempts until one succeeds or the policy denies a retry."""
        retries = 0
        while True:
            try:
                return await self._run_once(call)
            except ChicoryplankError as error:
                delay = self._get_retry_delay(call, error, retries)
            retries += 1
            await self._clock.sleep(delay)

    def _get_retry_delay(
        self, call: Call, error: ChicoryplankError, retries: int
    ) -> timedelta:
        """Returns the delay before the next attempt.

        Raises:
            ChicoryplankError: The error to return to the caller, if the policy
                denies a retry.
        """
        if call.is_trial:
            raise error
        decision = self._retries.admit(
            Failure(
                call.route.account,
                call.route.deployment,
                error,
                call.route.repeatable,
                call.wall_clock_deadline,
                retries=retries,
                earlier=call.earlier_verdict,
            ),
            self._clock.now(),
        )
        if error.verdict is Verdict.MAY_HAVE_RUN:
            call.earlier_verdict = Verdict.MAY_HAVE_RUN
        if decision.allowed:
            return decision.delay
        final_error = decision.error or error
        can_retry = (
            final_error.verdict is Verdict.NOT_RUN or call.route.repeatable
        )
        if final_error.retry_after is None and can_retry:
            final_error.retry_after = _RETRY_AFTER
        raise final_error

    async def _run_once(self, call: Call) -> CallerResponse:
        self._quarantine.check(call)
        sent_attempt = await self._start_attempt(call)
        handed_over = False
        try:
            self._record_first_output(call, sent_attempt)
            attempt = sent_attempt.attempt
            if call.request.stream:
                stream = self._make_stream(call, sent_attempt)
                handed_over = True
                return CallerResponse(attempt.status, attempt.headers, stream)
            complete_body = await self._runner.read_complete(call, sent_attempt)
            match = _COMPLETION_TOKENS.search(complete_body)
            call.tokens = int(match[1]) if match else 0
            return CallerResponse(
                attempt.status, attempt.headers, complete_body
            )
        finally:
            if not handed_over:
                self._runner.release(sent_attempt)

    async def _start_attempt(self, call: Call) -> SentAttempt:
        """Starts one attempt, or a second one as a hedge, and awaits output.

        Returns:
            The attempt that produced output first.

        Raises:
            ChicoryplankError: If no attempt produced output.
        """
        sent_attempt = self._runner.launch(call)
        delay = self._get_hedge_delay(call)
        if delay is None:
            try:
                await self._runner.await_first_output(call, sent_attempt)
            except BaseException:
                self._runner.release(sent_attempt)
                raise
            return sent_attempt
        return await self._run_hedged(call, sent_attempt, delay)

    def _get_hedge_delay(self, call: Call) -> timedelta | None:
        if not call.route.repeatable or call.is_trial:
            return None
        return self._retries.get_hedge_delay(_get_latency_key(call))

    async def _run_hedged(
        self, call: Call, sent_attempt: SentAttempt, delay: timedelta
    ) -> SentAttempt:
        """Starts a second attempt if the first has no output after `delay`.

        Returns:
            The attempt that produced output first; the other one is cancelled.
        """
        tasks = {
            asyncio.create_task(
                self._runner.await_first_output(call, sent_attempt)
            ): sent_attempt
        }
        winner = None
        error: BaseException | None = None
        try:
            await asyncio.wait(tasks, timeout=delay.total_seconds())
            if not any(task.done() for task in tasks):
                self._launch_hedge(call, sent_attempt, tasks)
            pending = set(tasks)
            while pending and winner is None:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    failure = task.exception()
                    if failure is None and winner is None:
                        winner = tasks[task]
                    elif failure is not None:
                        error = _choose_final_error(error, failure)
        finally:
            for task, item in tasks.items():
                task.cancel()
                if item is not winner:
                    self._runner.release(item)
        if winner is None:
            raise error
        return winner

    def _launch_hedge(
        self, call: Call, sent_attempt: SentAttempt, tasks: dict
    ) -> None:
        decision = self._retries.admit(
            Hedge(
                call.route.account,
                _get_latency_key(call),
                call.route.repeatable,
                call.wall_clock_deadline,
                self._clock.elapsed() - sent_attempt.sent_at,
            ),
            self._clock.now(),
        )
        if not decision.allowed:
            return
        with contextlib.suppress(ChicoryplankError):
            self._quarantine.check(call)
            hedge = self._runner.launch(call)
            task = asyncio.create_task(
                self._runner.await_first_output(call, hedge)
            )
            tasks[task] = hedge

    def _record_first_output(
        self, call: Call, sent_attempt: SentAttempt
    ) -> None:
        now = self._clock.elapsed()
        # Without streaming, the first byte arrives after the last token and
        # does not measure the time to the first token.
        if call.request.stream:
            self._retries.observe(
                FirstToken(_get_latency_key(call), now - sent_attempt.sent_at),
                self._clock.now(),
            )
        metrics.FIRST_TOKEN_LATENCY.labels(
            metrics.get_account_label(call.route.account)
        ).observe((now - call.started_at).total_seconds())

    def _make_stream(
        self, call: Call, sent_attempt: SentAttempt
    ) -> ResponseStream:
        attempt = sent_attempt.attempt
        call.tokens = _count_events(sent_attempt.first_output)
        inter_token_latency = metrics.INTER_TOKEN_LATENCY.labels(
            metrics.get_priority_label(call.route.priority),
            call.route.deployment,
        )
        last_read_at = self._clock.elapsed()

        def expire() -> None:
            self._runner.expire(sent_attempt)
            loop.call_later(_ABORT_DELAY_S, stream.abort)

        def record_output(data: bytes) -> None:
            nonlocal last_read_at
            now = self._clock.elapsed()
            inter_token_latency.observe((now - last_read_at).total_seconds())
            last_read_at = now
            call.tokens += _count_events(data)
            sent_attempt.relay.acknowledge(attempt)

        def close() -> None:
            timer.cancel()
            self._runner.release(sent_attempt)
            self._end_admitted_call(call, attempt.state is AttemptState.ENDED)

        # A single timer enforces the deadline of the stream. A timeout for
        # each read would use an eighth of the processor time of relaying.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._runner.get_remaining_s(call), expire)
        stream = ResponseStream(
            attempt, sent_attempt.first_output, record_output, close
        )
        return stream


def make_quarantine_refusal(call: Call, message: str) -> ChicoryplankError:
    """Returns the error of a request in quarantine."""
    return ChicoryplankError(
        ErrorCode.QUARANTINED,
        message,
        call.earlier_verdict,
        retry_after=_QUARANTINE_RETRY_AFTER,
    )


def _get_latency_key(call: Call) -> str:
    """Returns the key under which the first-output latency is recorded.

    Streamed and complete responses of a deployment have separate keys.
    """
    kind = "stream" if call.request.stream else "whole"
    return f"{call.route.deployment}/{kind}"


def _choose_final_error(
    first: BaseException | None, second: BaseException
) -> BaseException:
    """Returns the error of two attempts to report to the caller.

    The first error is preferred if its verdict says that the request may have
    run.
    """
    if (
        isinstance(first, ChicoryplankError)
        and first.verdict is not Verdict.NOT_RUN
    ):
        return first
    return second


def _count_events(data: bytes) -> int:
    # Generated text may contain "data: ", but not at the start of a line.
    return data.count(b"\ndata: ") + data.startswith(b"data: ")
