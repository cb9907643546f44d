"""Log lines and counters of failed attempts, with what a verdict rests on."""

from collections.abc import Callable

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.attempts import Attempt, get_echoed_id
from chicoryplank_entry.forwarding.backends import BackendAddress
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_wire.client_connection import ConnectionBrokenError


class AttemptLog:
    """Recorder of failed attempts and of responses to other requests.

    Args:
        names: Header names.
        now_s: Returns the current time in seconds.
    """

    def __init__(self, names: HeaderNames, now_s: Callable[[], float]) -> None:
        self._names = names
        self._now_s = now_s

    def record_connection_failure(
        self, call: Call, backend: BackendAddress, error: ConnectionBrokenError
    ) -> None:
        """Records that no connection was made, so that nothing was sent."""
        self._record(
            call,
            backend.instance,
            "connect",
            {"detail": str(error), "address": backend.address},
        )

    def record_failure(
        self, call: Call, attempt: Attempt, stage: str, detail: str
    ) -> None:
        """Records a failed attempt, once the verdict on its call is updated."""
        names, response = self._names, attempt.response
        fields: dict[str, object] = {
            "detail": detail,
            "address": attempt.backend.address,
            "reused": attempt.is_connection_reused,
            "carried_before": attempt.has_carried_call,
            "verdict_before": attempt.earlier_verdict.value,
        }
        if response.status:
            echoed_id = get_echoed_id(names, response, call.request_id)
            fields |= {
                "status": response.status,
                "echoed_id": echoed_id.value,
                "states_not_run": response.get(names.not_run) is not None,
                "has_proof": response.get(names.proof) is not None,
                "at_fault": response.get(names.at_fault),
            }
        self._record(call, attempt.replica.instance, stage, fields)

    def _record(
        self,
        call: Call,
        instance: InstanceId,
        stage: str,
        fields: dict[str, object],
    ) -> None:
        METRICS.count_failure(stage)
        elapsed_s = self._now_s() - call.request.received_s
        emit(
            Event.ATTEMPT_FAILED,
            request=call.request_id,
            replica=instance,
            stage=stage,
            sends=call.attempts,
            after_ms=round(elapsed_s * 1000),
            verdict=call.verdict.value,
            **fields,
        )

    def record_rejection(self, call: Call, attempt: Attempt) -> None:
        """Counts a response that is taken as "not run"."""
        echoed_id = get_echoed_id(
            self._names, attempt.response, call.request_id
        )
        METRICS.count_rejection(echoed_id.value, attempt.is_connection_reused)

    def record_skipped_responses(self, call: Call, attempt: Attempt) -> None:
        """Records the responses to other requests that were skipped."""
        for skipped in attempt.response.skipped:
            METRICS.count_skipped_response()
            emit(
                Event.RESPONSE_SKIPPED,
                request=call.request_id,
                replica=attempt.replica.instance,
                status=skipped.status,
                echoed_id=skipped.match_id,
                reused=attempt.is_connection_reused,
            )
