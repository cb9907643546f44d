"""Outcomes of the attempts of this entry, for the ramps of replicas."""

from collections.abc import Callable

from chicoryplank.admission import PaceOutcome
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.attempts import (
    Attempt,
    Outcome,
    is_idle_connection_closed,
)
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.pacing import Pacing
from chicoryplank_entry.forwarding.permits import Permit, Permits
from chicoryplank_wire.client_connection import (
    BreakReason,
    ConnectionBrokenError,
)

_REJECTIONS = frozenset({Outcome.FULL, Outcome.FAILURE})


class PaceReports:
    """Reports the outcome of each attempt once.

    Args:
        pacing: Ramps of replicas; None if no replica ramps.
        permits: Permits for requests to replicas with a limit.
        now_s: Returns the current time in seconds.
    """

    def __init__(
        self,
        pacing: Pacing | None,
        permits: Permits,
        now_s: Callable[[], float],
    ) -> None:
        self._pacing = pacing
        self._permits = permits
        self._now_s = now_s

    async def acquire_permit(self, instance: InstanceId) -> Permit | None:
        """Returns a permit for a request that is counted as in progress.

        Returns:
            None if there is none.
        """
        if self._pacing is None:
            return await self._permits.acquire(instance)
        self._pacing.begin_question(instance)
        try:
            return await self._permits.acquire(instance)
        finally:
            self._pacing.end_question(instance)

    def observe_connection_failure(
        self, call: Call, instance: InstanceId
    ) -> None:
        """Reports that no connection to a replica could be made."""
        if self._pacing is not None:
            self._pacing.report(call.service, instance, PaceOutcome.BROKEN, 0.0)

    def observe_head(
        self, call: Call, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Records the status of a response.

        Of a stream, the time to its first output counts. Responses that say
        nothing about the load of the replica, like those to faulty requests,
        are not reported.
        """
        if outcome in _REJECTIONS:
            attempt.pace_outcome = PaceOutcome.REJECTED
        elif attempt.first_output_s is None:
            attempt.pace_outcome = None
        elif call.is_stream:
            attempt.pace_outcome = PaceOutcome.RESPONSE
            self.report(call, attempt, has_ended=False)

    def observe_group_down(self, attempt: Attempt, at_fault: str) -> None:
        """Records that a rank rejected a request since another one is down."""
        if at_fault not in (attempt.replica.instance, attempt.replica.address):
            attempt.pace_outcome = None

    def observe_complete(self, attempt: Attempt) -> None:
        """Records that a response is complete."""
        if attempt.pace_outcome is PaceOutcome.UNFINISHED:
            attempt.pace_outcome = PaceOutcome.RESPONSE

    def observe_break(
        self, attempt: Attempt, error: ConnectionBrokenError
    ) -> None:
        """Records that a response is missing or incomplete."""
        if error.reason is BreakReason.TIMED_OUT:
            attempt.pace_outcome = PaceOutcome.TIMEOUT
        elif is_idle_connection_closed(attempt, error):
            attempt.pace_outcome = None
        else:
            attempt.pace_outcome = PaceOutcome.BROKEN

    def report(
        self, call: Call, attempt: Attempt, *, has_ended: bool = True
    ) -> None:
        """Reports the outcome of an attempt, unless it was reported."""
        outcome, attempt.pace_outcome = attempt.pace_outcome, None
        if outcome is None or self._pacing is None:
            return
        elapsed_s = self._now_s() - attempt.started_s
        if outcome is PaceOutcome.BROKEN:
            elapsed_s = 0.0
        self._pacing.report(
            call.service,
            attempt.replica.instance,
            outcome,
            elapsed_s,
            has_ended=has_ended,
        )
