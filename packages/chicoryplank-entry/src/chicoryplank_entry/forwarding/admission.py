"""Decides whether a request waits for a slot, is retried or is refused."""

import asyncio
from datetime import timedelta

from chicoryplank.admission import RetryAfterJitter
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.state import EntryState

# Maximum number of attempts of one request, including those that did not run.
_MAX_ATTEMPTS = 6
# Time to the deadline, in seconds, below which another attempt cannot complete.
_MIN_TIME_LEFT_S = 0.02
# A request in quarantine is not worth repeating while its caller waits.
_QUARANTINE_RETRY_AFTER = timedelta(seconds=60)


class CallAdmission:
    """Decides on slots, retries and refusals of requests.

    Args:
        state: Shared state of this entry.
        parameters: Time limits.
    """

    def __init__(
        self, state: EntryState, parameters: ExchangeParameters
    ) -> None:
        self._state = state
        self._parameters = parameters
        self._retry_after_jitter = RetryAfterJitter(state.rng)

    def check_retry(self, call: Call) -> None:
        """Refuses a retry that is not allowed or cannot succeed.

        Raises:
            ChicoryplankError: With the verdict on all attempts so far.
        """
        if call.attempts == 0:
            return
        now_s = self._state.now_s()
        if call.verdict is not Verdict.NOT_RUN and not call.route.repeatable:
            raise self.make_refusal(
                call, ErrorCode.OUTCOME_UNKNOWN, "the request may have run"
            )
        if (
            call.attempts >= _MAX_ATTEMPTS
            or call.is_trial
            or call.possible_runs >= call.route.max_runs
            or call.deadline_s - now_s < _MIN_TIME_LEFT_S
        ):
            raise self.make_refusal(
                call, ErrorCode.BACKEND_FAILED, "no further attempt is allowed"
            )

    def spend_retry(self, call: Call) -> None:
        """Charges the next attempt to the retry budget unless it is the first.

        An attempt for which no connection could be made has been charged
        already.

        Raises:
            ChicoryplankError: If the budget is exhausted.
        """
        if not call.attempts or call.is_retry_charged:
            return
        if not self._try_spend_retry(call):
            raise self.make_refusal(
                call,
                ErrorCode.RETRY_BUDGET_EXHAUSTED,
                "the retry budget is exhausted",
            )
        call.is_retry_charged = True

    def _try_spend_retry(self, call: Call) -> bool:
        now_s = self._state.now_s()
        entries = self._state.entry_bound.get_bound(now_s)
        return call.service_state.retry_budget.try_spend(entries, now_s)

    async def wait_for_slot(self, call: Call, must_wait: bool) -> None:
        """Waits for a slot at any replica, if one is expected in time.

        Args:
            call: The request.
            must_wait: Whether to wait although a slot seems to be free,
                since no replica could be chosen for it.

        Raises:
            ChicoryplankError: If no slot becomes free in time.
        """
        state = self._state
        now_s = state.now_s()
        if state.is_evacuated(call.service_state, now_s):
            raise self._make_evacuation_refusal(call)
        self._admit_class(call, now_s)
        if not must_wait and self._has_free_slot(call, now_s):
            return
        max_wait_s = self._get_max_wait(call, now_s)
        wait_s = state.estimate_wait_s(call.service_state)
        if wait_s > max_wait_s:
            raise self._make_wait_refusal(call, wait_s)
        granted = asyncio.get_running_loop().create_future()
        target_s = call.route.target.total_seconds()
        waiter = call.service_state.slot_queue.add(
            call.priority if call.classes is None else call.class_priority,
            call.request.received_s + target_s * self._parameters.on_time_share,
            lambda: _resolve(granted, True),
            call.attempts,
            gives_up_s=now_s + max_wait_s,
            on_reject=lambda: _resolve(granted, False),
        )
        if waiter is not None:
            self._count_wait(call, True)
            try:
                async with asyncio.timeout(max_wait_s) as limit:
                    if await granted:
                        return
                if state.is_evacuated(call.service_state, state.now_s()):
                    raise self._make_evacuation_refusal(call)
                raise self._make_wait_refusal(
                    call, state.estimate_wait_s(call.service_state)
                )
            except TimeoutError:
                if not limit.expired():
                    raise
            finally:
                call.service_state.slot_queue.withdraw(waiter)
                self._count_wait(call, False)
        raise self.make_refusal(
            call,
            ErrorCode.NO_REPLICA,
            f"none of {len(call.service_state.slots)} replicas has a free slot",
        )

    def _admit_class(self, call: Call, now_s: float) -> None:
        """Decides once on a request to a service with several priorities.

        Raises:
            ChicoryplankError: If the class of the request has no capacity.
        """
        service = call.service_state
        classes = service.classes
        if classes is None or call.class_priority is not None:
            return
        priority = classes.classify(call.priority)
        # While the group is down, the circuit breaker decides. A request that
        # was sent before its service had classes is not decided again.
        is_decided = service.circuit_breaker.is_open or call.attempts > 0
        if not is_decided and not classes.try_admit(priority, now_s):
            duration_s = service.slot_queue.mean_duration_s or 0.0
            delay_s = classes.schedule_return_s(priority, duration_s, now_s)
            raise self.make_refusal(
                call,
                ErrorCode.QUEUE_FULL,
                f"no capacity for class {priority}: {classes.describe(now_s)}",
                min_delay=timedelta(seconds=delay_s),
            )
        call.class_priority = priority
        call.classes = classes
        classes.begin(priority)

    def _count_wait(self, call: Call, is_beginning: bool) -> None:
        if call.classes is None:
            return
        if is_beginning:
            call.classes.begin_wait(call.class_priority)
        else:
            call.classes.end_wait(call.class_priority)

    def release(self, call: Call) -> None:
        """Ends the count of a request by class, at its end."""
        if call.classes is not None:
            call.classes.end(call.class_priority)
            call.classes = None

    def _has_free_slot(self, call: Call, now_s: float) -> bool:
        service = call.service_state
        if service.circuit_breaker.is_open:
            return service.circuit_breaker.try_probe(now_s)
        if service.slot_queue.has_request_on_time(now_s):
            return False
        allowance = self._parameters.queue_allowance
        full = self._state.list_full_replicas(service, allowance, now_s)
        return len(full) < len(service.slots)

    def _get_max_wait(self, call: Call, now_s: float) -> float:
        """Returns how long a request may still wait for a slot, in seconds."""
        left_s = call.caller_deadline_s - now_s
        waited_s = now_s - call.request.received_s
        return max(
            0.0,
            min(
                left_s * self._parameters.max_wait_share,
                self._parameters.max_wait_s - waited_s,
            ),
        )

    def _make_wait_refusal(
        self, call: Call, wait_s: float
    ) -> ChicoryplankError:
        return self.make_refusal(
            call,
            ErrorCode.QUEUE_FULL,
            f"the expected wait for a slot is {wait_s:.1f} s",
            min_delay=timedelta(seconds=wait_s),
        )

    def _make_evacuation_refusal(self, call: Call) -> ChicoryplankError:
        return self.make_refusal(
            call,
            ErrorCode.NO_REPLICA,
            f"all {len(call.service_state.slots)} replicas are in evacuated "
            f"zones or leaving",
        )

    def make_refusal(
        self,
        call: Call,
        code: ErrorCode,
        message: str,
        *,
        min_delay: timedelta = timedelta(),
    ) -> ChicoryplankError:
        """Returns the final error; with a Retry-After delay if not run.

        Args:
            call: The request.
            code: Code of the error.
            message: Why the request is refused.
            min_delay: Expected time until a slot is free, if known.
        """
        retry_after = None
        if call.verdict is Verdict.NOT_RUN:
            now_s = self._state.now_s()
            left_s = call.caller_deadline_s - now_s
            breaker = call.service_state.circuit_breaker
            return_s = breaker.estimate_return_s(now_s)
            min_delay = max(min_delay, timedelta(seconds=return_s))
            retry_after = self._retry_after_jitter.draw(
                timedelta(seconds=max(0, left_s)), min_delay
            )
        return ChicoryplankError(code, message, call.verdict, retry_after)

    def make_quarantine_refusal(
        self, call: Call, message: str
    ) -> ChicoryplankError:
        """Returns the error of a request in quarantine."""
        error = self.make_refusal(call, ErrorCode.QUARANTINED, message)
        if error.retry_after is not None:
            error.retry_after = _QUARANTINE_RETRY_AFTER
        return error

    def is_worth_retrying(self, call: Call) -> bool:
        """Returns whether a failed request may be retried elsewhere."""
        now_s = self._state.now_s()
        return (
            call.route.repeatable
            and not call.is_trial
            and call.possible_runs + 1 < call.route.max_runs
            and call.attempts < _MAX_ATTEMPTS
            and call.deadline_s - now_s > _MIN_TIME_LEFT_S
            and len(call.service_state.slots) > 1
            and call.service_state.retry_budget.can_spend(
                self._state.entry_bound.get_bound(now_s), now_s
            )
        )


def _resolve(future: asyncio.Future, is_granted: bool) -> None:
    if not future.done():
        future.set_result(is_granted)
