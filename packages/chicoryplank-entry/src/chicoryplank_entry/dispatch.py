"""Dispatch of requests: admission, attempts, retries and hedges."""

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
from chicoryplank_entry.exchange import AttemptRunner, Lead
from chicoryplank_entry.requests import Call, CallerRequest, find_route
from chicoryplank_entry.responses import CallerResponse, ResponseStream

_RETRY_SOON = timedelta(seconds=1)
# Time for the error event of an expired stream to reach a caller that reads.
_ABORT_DELAY_S = 1.0
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens":\s*(\d{1,9})')


class Dispatcher:
    """Takes callers' requests and returns their responses.

    Args:
        settings: Settings of the entry.
        clock: Measures deadlines.
        process_state: Configuration in force.
        runner: Sends single attempts.
        gate: Admission.
        retries: Decides on retries and hedges.
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
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._process_state = process_state
        self._runner = runner
        self._gate = gate
        self._retries = retries
        self._numbers = itertools.count(1)
        self.in_progress = 0

    def check_ready(self) -> None:
        """Rejects if this entry must not take new requests.

        Raises:
            ChicoryplankError: With SHUTTING_DOWN, NOT_READY or
                TOO_MANY_REQUESTS.
        """
        if self._process_state.draining.value:
            raise ChicoryplankError(
                ErrorCode.SHUTTING_DOWN,
                "this entry is shutting down; use another address",
                retry_after=_RETRY_SOON,
            )
        if not self._process_state.synchronized.value:
            raise ChicoryplankError(
                ErrorCode.NOT_READY,
                "this entry has no current configuration yet",
                retry_after=_RETRY_SOON,
            )
        if self._process_state.isolated.value:
            raise ChicoryplankError(
                ErrorCode.NOT_READY,
                "this entry reaches neither the store nor any other entry",
                retry_after=_RETRY_SOON,
            )
        if self.in_progress >= self._settings.limits.max_requests:
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_REQUESTS,
                f"{self.in_progress} requests are in progress",
                retry_after=_RETRY_SOON,
            )

    async def dispatch(self, request: CallerRequest) -> CallerResponse:
        """Returns the response to a request.

        Raises:
            ChicoryplankError: If no response can be given; the verdict says
                whether the request may have run.
        """
        self.check_ready()
        route = find_route(self._process_state.snapshot.value, request)
        started = self._clock.elapsed()
        call = Call(
            next(self._numbers),
            request,
            route,
            started,
            started + request.timeout,
            self._clock.now() + request.timeout,
        )
        self.in_progress += 1
        metrics.IN_PROGRESS.inc()
        try:
            await self._enter(call)
        except BaseException:
            self._end_call(call)
            raise
        streaming = False
        succeeded = False
        try:
            response = await self._try_all(call)
            streaming = isinstance(response.body, ResponseStream)
            succeeded = True
            return response
        finally:
            if not streaming:
                self._leave(call, succeeded)

    async def _enter(self, call: Call) -> None:
        """Waits for admission; the limiter refuses what would be late."""
        queued_at = self._clock.elapsed()
        try:
            async with asyncio.timeout(self._runner.get_left_s(call)):
                await self._gate.enter(
                    AdmissionRequest(
                        call.name,
                        call.route.account,
                        call.route.deployment,
                        call.route.priority,
                        call.deadline_wall,
                        call.request.max_tokens,
                    )
                )
        except TimeoutError as error:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed in the admission queue",
                retry_after=_RETRY_SOON,
            ) from error
        waited = self._clock.elapsed() - queued_at
        metrics.QUEUEING.labels(
            metrics.label_priority(call.route.priority), call.route.deployment
        ).observe(waited.total_seconds())
        self._retries.observe(Arrival(call.route.account), self._clock.now())

    def _leave(self, call: Call, succeeded: bool) -> None:
        self._gate.leave(call.name, call.tokens, succeeded)
        self._end_call(call)

    def _end_call(self, call: Call) -> None:
        self.in_progress -= 1
        metrics.IN_PROGRESS.dec()
        total = self._clock.elapsed() - call.started
        metrics.TOTAL.labels(metrics.label_account(call.route.account)).observe(
            total.total_seconds()
        )

    async def _try_all(self, call: Call) -> CallerResponse:
        """Makes attempts until one succeeds or no more are allowed."""
        retries = 0
        while True:
            try:
                return await self._try_once(call)
            except ChicoryplankError as error:
                delay = self._ask_retry(call, error, retries)
            retries += 1
            await self._clock.sleep(delay)

    def _ask_retry(
        self, call: Call, error: ChicoryplankError, retries: int
    ) -> timedelta:
        """Returns when to try again.

        Raises:
            ChicoryplankError: The final error, if there is no further try.
        """
        permission = self._retries.admit(
            Failure(
                call.route.account,
                call.route.deployment,
                error,
                call.route.repeatable,
                call.deadline_wall,
                retries=retries,
                earlier=call.earlier,
            ),
            self._clock.now(),
        )
        if error.verdict is Verdict.MAY_HAVE_RUN:
            call.earlier = Verdict.MAY_HAVE_RUN
        if permission.allowed:
            return permission.delay
        final = permission.error or error
        may_repeat = final.verdict is Verdict.NOT_RUN or call.route.repeatable
        if final.retry_after is None and may_repeat:
            final.retry_after = _RETRY_SOON
        raise final

    async def _try_once(self, call: Call) -> CallerResponse:
        lead = await self._find_lead(call)
        handed_over = False
        try:
            self._observe_first(call, lead)
            attempt = lead.attempt
            if call.request.stream:
                stream = self._make_stream(call, lead)
                handed_over = True
                return CallerResponse(attempt.status, attempt.headers, stream)
            whole = await self._runner.read_whole(call, lead)
            found = _COMPLETION_TOKENS.search(whole)
            call.tokens = int(found[1]) if found else 0
            return CallerResponse(attempt.status, attempt.headers, whole)
        finally:
            if not handed_over:
                self._runner.release(lead)

    async def _find_lead(self, call: Call) -> Lead:
        """Returns the attempt that yields output first, of one or two.

        Raises:
            ChicoryplankError: If no attempt yields output.
        """
        lead = self._runner.launch(call)
        delay = self._find_hedge_delay(call)
        if delay is None:
            try:
                await self._runner.await_first(call, lead)
            except BaseException:
                self._runner.release(lead)
                raise
            return lead
        return await self._race(call, lead, delay)

    def _find_hedge_delay(self, call: Call) -> timedelta | None:
        if not call.route.repeatable:
            return None
        return self._retries.get_hedge_delay(_name_latency(call))

    async def _race(self, call: Call, lead: Lead, delay: timedelta) -> Lead:
        """Sends a second attempt if the first is slow; the faster one wins."""
        tasks = {
            asyncio.create_task(self._runner.await_first(call, lead)): lead
        }
        winner = None
        error: BaseException | None = None
        try:
            await asyncio.wait(tasks, timeout=delay.total_seconds())
            if not any(task.done() for task in tasks):
                self._launch_hedge(call, lead, tasks)
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
                        error = _choose_error(error, failure)
        finally:
            for task, item in tasks.items():
                task.cancel()
                if item is not winner:
                    self._runner.release(item)
        if winner is None:
            raise error
        return winner

    def _launch_hedge(self, call: Call, lead: Lead, tasks: dict) -> None:
        permission = self._retries.admit(
            Hedge(
                call.route.account,
                _name_latency(call),
                call.route.repeatable,
                call.deadline_wall,
                self._clock.elapsed() - lead.sent_at,
            ),
            self._clock.now(),
        )
        if not permission.allowed:
            return
        with contextlib.suppress(ChicoryplankError):
            hedge = self._runner.launch(call)
            task = asyncio.create_task(self._runner.await_first(call, hedge))
            tasks[task] = hedge

    def _observe_first(self, call: Call, lead: Lead) -> None:
        now = self._clock.elapsed()
        # The first byte of a whole response comes with its last token and
        # says nothing about the time to the first one.
        if call.request.stream:
            self._retries.observe(
                FirstToken(_name_latency(call), now - lead.sent_at),
                self._clock.now(),
            )
        metrics.FIRST_TOKEN.labels(
            metrics.label_account(call.route.account)
        ).observe((now - call.started).total_seconds())

    def _make_stream(self, call: Call, lead: Lead) -> ResponseStream:
        attempt = lead.attempt
        call.tokens = _count_events(lead.first)
        gaps = metrics.BETWEEN_TOKENS.labels(
            metrics.label_priority(call.route.priority), call.route.deployment
        )
        read_at = self._clock.elapsed()

        def expire() -> None:
            self._runner.expire(lead)
            loop.call_later(_ABORT_DELAY_S, stream.abort)

        def end_read(data: bytes) -> None:
            nonlocal read_at
            now = self._clock.elapsed()
            gaps.observe((now - read_at).total_seconds())
            read_at = now
            call.tokens += _count_events(data)
            lead.relay.acknowledge(attempt)

        def close() -> None:
            timer.cancel()
            self._runner.release(lead)
            self._leave(call, attempt.state is AttemptState.ENDED)

        # One timer for the whole stream; a timeout for each read would cost
        # an eighth of the relay's processor time.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._runner.get_left_s(call), expire)
        stream = ResponseStream(attempt, lead.first, end_read, close)
        return stream


def _name_latency(call: Call) -> str:
    """Returns the group whose first-token times a call is compared with."""
    kind = "stream" if call.request.stream else "whole"
    return f"{call.route.deployment}/{kind}"


def _choose_error(
    first: BaseException | None, second: BaseException
) -> BaseException:
    """Returns the error that says that the request may have run, if any."""
    if (
        isinstance(first, ChicoryplankError)
        and first.verdict is not Verdict.NOT_RUN
    ):
        return first
    return second


def _count_events(data: bytes) -> int:
    # Generated text may contain the same words, but not at a line start.
    return data.count(b"\ndata: ") + data.startswith(b"data: ")
