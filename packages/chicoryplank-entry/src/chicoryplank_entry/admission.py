"""Asynchronous interface of the limiter: queued requests await a slot."""

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

_TICK_INTERVAL = timedelta(milliseconds=100)


class AdmissionGate:
    """Suspends each request until the limiter admits or refuses it.

    Args:
        limiter: Decides which requests are admitted, queued or refused.
        clock: Source of the time passed to the limiter.
    """

    def __init__(self, limiter: Limiter, clock: Clock) -> None:
        self.limiter = limiter
        self._clock = clock
        self._queued: dict[AttemptId, asyncio.Future] = {}

    async def acquire(self, request: Request) -> None:
        """Waits until the request is admitted.

        Raises:
            ChicoryplankError: If the limiter refuses the request, which was
                not sent to any agent.
        """
        admission = self.limiter.admit(request, self._clock.now())
        if admission.outcome is Outcome.QUEUED:
            admission = await self._wait(request)
        if admission.error is not None:
            raise admission.error

    async def _wait(self, request: Request) -> Admission:
        future = asyncio.get_running_loop().create_future()
        self._queued[request.attempt] = future
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # The request was admitted before the cancellation arrived,
                # so its slot is released.
                self.release(request.attempt, 0, False)
            else:
                self._apply_decisions(
                    self.limiter.observe(
                        Withdrawal(request.attempt), self._clock.now()
                    )
                )
            raise
        finally:
            self._queued.pop(request.attempt, None)

    def release(self, attempt: AttemptId, tokens: int, succeeded: bool) -> None:
        """Releases the slot of an admitted request.

        Args:
            attempt: Identifier of the request at the limiter.
            tokens: Number of tokens the request generated.
            succeeded: Whether the request succeeded.
        """
        completion = Completion(attempt, tokens, succeeded)
        self._apply_decisions(
            self.limiter.observe(completion, self._clock.now())
        )

    async def run_ticks(self) -> None:
        """Periodically refuses queued requests that would miss their deadline.

        Runs until cancelled.
        """
        while True:
            await self._clock.sleep(_TICK_INTERVAL)
            if self._queued:
                self._apply_decisions(
                    self.limiter.observe(Tick(), self._clock.now())
                )

    def _apply_decisions(self, decisions: list[Admission]) -> None:
        for admission in decisions:
            future = self._queued.get(admission.request.attempt)
            if future is not None and not future.done():
                future.set_result(admission)
            elif admission.outcome is Outcome.ADMITTED:
                self.release(admission.request.attempt, 0, False)
