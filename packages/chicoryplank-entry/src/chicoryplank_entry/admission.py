"""Waits for admission; wakes queued requests when their turn comes."""

import asyncio
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.ids import AttemptId
from chicoryplank.limits import (
    Admission,
    Completion,
    Limiter,
    Outcome,
    Request,
    Tick,
    Withdrawal,
)

_TICK = timedelta(milliseconds=100)


class AdmissionGate:
    """Holds requests until the limiter admits them.

    Args:
        limiter: Makes the decisions.
        clock: Source of time.
    """

    def __init__(self, limiter: Limiter, clock: Clock) -> None:
        self.limiter = limiter
        self._clock = clock
        self._waiting: dict[AttemptId, asyncio.Future] = {}

    async def enter(self, request: Request) -> None:
        """Returns when the request is admitted.

        Raises:
            ChicoryplankError: If the request is refused; it has not run.
        """
        admission = self.limiter.admit(request, self._clock.now())
        if admission.outcome is Outcome.QUEUED:
            admission = await self._wait(request)
        if admission.error is not None:
            raise admission.error

    async def _wait(self, request: Request) -> Admission:
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.attempt] = future
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # Admitted at the moment of cancellation; give the slot back.
                self.leave(request.attempt, 0, False)
            else:
                self._settle(
                    self.limiter.observe(
                        Withdrawal(request.attempt), self._clock.now()
                    )
                )
            raise
        finally:
            self._waiting.pop(request.attempt, None)

    def leave(self, attempt: AttemptId, tokens: int, succeeded: bool) -> None:
        """Frees the slot of an admitted request."""
        completion = Completion(attempt, tokens, succeeded)
        self._settle(self.limiter.observe(completion, self._clock.now()))

    async def run_ticks(self) -> None:
        """Refuses queued requests that would be late, again and again."""
        while True:
            await self._clock.sleep(_TICK)
            if self._waiting:
                self._settle(self.limiter.observe(Tick(), self._clock.now()))

    def _settle(self, decided: list[Admission]) -> None:
        for admission in decided:
            future = self._waiting.get(admission.request.attempt)
            if future is not None and not future.done():
                future.set_result(admission)
            elif admission.outcome is Outcome.ADMITTED:
                self.leave(admission.request.attempt, 0, False)
