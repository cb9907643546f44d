"""Decides whether a call waits, is sent once more or is refused."""

import asyncio
from datetime import timedelta

from chicoryplank.admission import RetryAfterJitter
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.state import EntryState

# Sends of one request, whatever became of them.
_MAX_SENDS = 6
# Time left below which another send cannot bring an answer, in seconds.
_LEAST_LEFT_S = 0.02


class CallAdmission:
    """Places, repeats and refusals of calls.

    Args:
        state: What this entry believes.
        parameters: Bounds on waiting.
    """

    def __init__(
        self, state: EntryState, parameters: ExchangeParameters
    ) -> None:
        self._state = state
        self._parameters = parameters
        self._returns = RetryAfterJitter(state.source)

    def check_repeat(self, call: Call, now_s: float) -> None:
        """Rejects a further send that is not allowed or not worthwhile.

        Raises:
            ChicoryplankError: With the verdict on all attempts so far.
        """
        if call.sends == 0:
            return
        if call.verdict is not Verdict.NOT_RUN and not call.route.repeatable:
            raise self.make_refusal(
                call, ErrorCode.OUTCOME_UNKNOWN, "the request may have run"
            )
        if (
            call.sends >= _MAX_SENDS
            or call.runs >= call.route.max_runs
            or call.deadline_s - now_s < _LEAST_LEFT_S
        ):
            raise self.make_refusal(
                call, ErrorCode.BACKEND_FAILED, "no further try is allowed"
            )
        if not call.state.repeats.try_spend(self._state.entries, now_s):
            raise self.make_refusal(
                call,
                ErrorCode.RETRY_BUDGET_EXHAUSTED,
                "the budget of repeats is used up",
            )

    async def wait_place(self, call: Call, must_wait: bool) -> None:
        """Waits for a place at any replica, if one will come soon enough.

        Args:
            call: The request.
            must_wait: Whether a place that seemed free was not.

        Raises:
            ChicoryplankError: If there is none in time.
        """
        state = self._state
        now_s = state.now_s()
        if not must_wait and self._has_place(call, now_s):
            return
        patience_s = self._find_patience(call, now_s)
        wait_s = state.estimate_wait(call.state)
        if wait_s > patience_s:
            raise self.make_refusal(
                call, ErrorCode.QUEUE_FULL, f"a place takes {wait_s:.1f} s"
            )
        granted = asyncio.get_running_loop().create_future()
        target_s = call.route.target.total_seconds()
        waiter = call.state.places.add(
            call.priority,
            call.request.received_s + target_s * self._parameters.fresh_share,
            lambda: _resolve(granted),
            call.sends,
        )
        if waiter is not None:
            try:
                async with asyncio.timeout(patience_s) as limit:
                    await granted
                return
            except TimeoutError:
                if not limit.expired():
                    raise
            finally:
                call.state.places.withdraw(waiter)
        raise self.make_refusal(
            call,
            ErrorCode.NO_REPLICA,
            f"none of {len(call.state.slots)} replicas has a place",
        )

    def _has_place(self, call: Call, now_s: float) -> bool:
        service = call.state
        if service.outage.is_open:
            return service.outage.try_probe(now_s)
        if service.places.has_request_on_time(now_s):
            return False
        allowance = self._parameters.queue_allowance
        full = self._state.find_full(service, allowance, now_s)
        return len(full) < len(service.slots)

    def _find_patience(self, call: Call, now_s: float) -> float:
        """Returns how long a request may wait for a place, in seconds."""
        left_s = call.client_deadline_s - now_s
        waited_s = now_s - call.request.received_s
        return max(
            0.0,
            min(
                left_s * self._parameters.patience_share,
                self._parameters.patience_s - waited_s,
            ),
        )

    def make_refusal(
        self, call: Call, code: ErrorCode, message: str
    ) -> ChicoryplankError:
        """Returns the final error of a call, with when to come back."""
        retry_after = None
        if call.verdict is Verdict.NOT_RUN:
            left_s = call.client_deadline_s - self._state.now_s()
            retry_after = self._returns.draw(timedelta(seconds=max(0, left_s)))
        return ChicoryplankError(code, message, call.verdict, retry_after)

    def is_worth_repeat(self, call: Call) -> bool:
        """Whether a failure of a replica may be tried again elsewhere."""
        now_s = self._state.now_s()
        return (
            call.route.repeatable
            and call.runs + 1 < call.route.max_runs
            and call.sends < _MAX_SENDS
            and call.deadline_s - now_s > _LEAST_LEFT_S
            and len(call.state.slots) > 1
            and call.state.repeats.can_spend(self._state.entries, now_s)
        )


def _resolve(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)
