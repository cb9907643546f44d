"""Takes requests of callers to replicas and their answers back."""

import asyncio
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank.traffic import ReplicaRecord
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.admission import CallAdmission
from chicoryplank_entry.forwarding.answers import AnswerRelay
from chicoryplank_entry.forwarding.attempts import Attempt, Outcome, classify
from chicoryplank_entry.forwarding.backends import BackendAddress, BackendPool
from chicoryplank_entry.forwarding.calls import Call, make_call
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.refusals import send_error
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_wire.client_connection import (
    BreakReason,
    ClientConnection,
    ConnectionBrokenError,
)
from chicoryplank_wire.server_connection import (
    ReceivedRequest,
    Reply,
)

# Longest wait for the first configuration of a starting entry, in seconds.
_START_S = 0.8
# Delay after which a caller that met a draining entry finds another one.
_RETURN_SOON = timedelta(milliseconds=30)


class Exchange:
    """Answers the requests of callers.

    Args:
        state: What this entry believes.
        names: Header names.
        pool: Connections to replicas.
        parameters: Bounds on waiting.
    """

    def __init__(
        self,
        state: EntryState,
        names: HeaderNames,
        pool: BackendPool,
        parameters: ExchangeParameters | None = None,
    ) -> None:
        self._state = state
        self._names = names
        self._pool = pool
        self._parameters = parameters or ExchangeParameters()
        self._admission = CallAdmission(state, self._parameters)
        self.in_progress = 0
        self.refuses_all = False

    async def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Answers one request, or leaves it cut where it broke midway."""
        self.in_progress += 1
        call = None
        try:
            if self.refuses_all:
                raise ChicoryplankError(
                    ErrorCode.SHUTTING_DOWN,
                    "this entry is shutting down; use another address",
                    retry_after=_RETURN_SOON,
                )
            await self._state.wait_configuration(_START_S)
            call = make_call(self._state, self._names, request)
            call.state.repeats.observe_request(self._state.now_s())
            await self._serve(call, reply)
        except ChicoryplankError as error:
            self._refuse(call, request, reply, error)
        except asyncio.CancelledError:
            if call is not None:
                emit(
                    Event.CALLER_LEFT,
                    request=call.request_id,
                    route=call.route.name,
                    sends=call.sends,
                )
            raise
        except Exception as error:
            emit(
                Event.REQUEST_FAILED,
                method=request.method,
                path=request.target[:100],
                error=repr(error),
            )
            verdict = Verdict.NOT_RUN if call is None else call.verdict
            self._refuse(
                call,
                request,
                reply,
                ChicoryplankError(
                    ErrorCode.INTERNAL_ERROR, "internal fault", verdict
                ),
            )
        finally:
            self.in_progress -= 1

    def _refuse(
        self,
        call: Call | None,
        request: ReceivedRequest,
        reply: Reply,
        error: ChicoryplankError,
    ) -> None:
        """Gives the caller its final answer, or cuts one that had begun."""
        request_id = request.get(self._names.request_id) or ""
        status = 0
        if not reply.started:
            status = send_error(
                reply, error, [(self._names.request_id, request_id)]
            )
        METRICS.count_refusal(error.code, error.verdict)
        emit(
            Event.REQUEST_REFUSED,
            request=request_id,
            route="" if call is None else call.route.name,
            code=error.code.value,
            verdict=error.verdict.value,
            status=status,
            sends=0 if call is None else call.sends,
            after_ms=self._measure_ms(request),
            detail=error.message,
        )

    def _measure_ms(self, request: ReceivedRequest) -> int:
        return round((self._state.now_s() - request.received_s) * 1000)

    async def _serve(self, call: Call, reply: Reply) -> None:
        """Tries replicas until the answer is complete.

        Raises:
            ChicoryplankError: If there is no answer.
        """
        relay = AnswerRelay(self._state, self._names, self._parameters, call)
        loop = asyncio.get_running_loop()
        left_s = call.deadline_s - self._state.now_s()
        try:
            async with asyncio.timeout_at(loop.time() + left_s):
                while True:
                    attempt = await self._send(call)
                    if await self._finish(call, relay, attempt, reply):
                        break
        except TimeoutError as error:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the time for this request has passed",
                call.verdict,
            ) from error
        METRICS.observe_answer(
            call.route.name,
            call.account,
            self._state.now_s() - call.request.received_s,
        )
        emit(
            Event.REQUEST_ANSWERED,
            request=call.request_id,
            route=call.route.name,
            replica=relay.replica,
            status=relay.status,
            sends=call.sends,
            version=self._state.configuration.version,
            first_ms=round(relay.first_s * 1000),
            total_ms=self._measure_ms(call.request),
        )

    async def _send(self, call: Call) -> Attempt:
        """Sends the request to a replica with a place.

        Raises:
            ChicoryplankError: If it can be sent to none.
        """
        must_wait = False
        while True:
            await self._admission.wait_place(call, must_wait)
            now_s = self._state.now_s()
            self._admission.check_repeat(call, now_s)
            allowance = self._parameters.queue_allowance
            full = self._state.find_full(call.state, allowance, now_s)
            replica = self._state.choose(call.state, full | call.tried, now_s)
            if replica is None:
                replica = self._state.choose(call.state, full, now_s)
            must_wait = replica is None
            if replica is None:
                continue
            backend = BackendAddress(replica.instance, replica.address)
            self._state.begin(call.state, replica.instance, now_s)
            try:
                connection = await self._pool.acquire(
                    backend, call.route.repeatable
                )
            except ConnectionBrokenError as error:
                self._end(call, replica.instance, False)
                call.tried.add(replica.instance)
                self._note_failure(call, replica.instance, error, "connect")
                continue
            except BaseException:
                self._end(call, replica.instance, None)
                raise
            return self._write(call, replica, backend, connection)

    def _write(
        self,
        call: Call,
        replica: ReplicaRecord,
        backend: BackendAddress,
        connection: ClientConnection,
    ) -> Attempt:
        now_s = self._state.now_s()
        was_kept = connection.requests_sent > 0
        response = connection.send(
            call.encode(self._names, replica.instance, now_s),
            call.request_id,
        )
        attempt = Attempt(
            replica,
            backend,
            connection,
            response,
            now_s,
            was_kept,
            call.verdict,
        )
        # From here on only the replica can say that the request did not run.
        call.verdict = Verdict.MAY_HAVE_RUN
        call.sends += 1
        call.tried.add(attempt.replica.instance)
        return attempt

    async def _finish(
        self,
        call: Call,
        relay: AnswerRelay,
        attempt: Attempt,
        reply: Reply,
    ) -> bool:
        """Passes an answer on; returns False if another try is needed."""
        succeeded = None
        instance = attempt.replica.instance
        try:
            await relay.wait_head(attempt)
            outcome = classify(self._names, attempt.response, call.request_id)
            if outcome is Outcome.ANSWER or (
                outcome is Outcome.FAILURE
                and not self._admission.is_worth_repeat(call)
            ):
                call.verdict = Verdict.RAN
                await relay.pass_on(attempt, reply)
                call.state.places.observe_duration(
                    self._state.now_s() - attempt.started_s
                )
                succeeded = outcome is Outcome.ANSWER
                return True
            succeeded = self._take_outcome(call, attempt, outcome)
        except ConnectionBrokenError as error:
            succeeded = False
            self._take_break(call, attempt, error)
            if reply.started:
                self._prepare_resume(call, relay, error)
        finally:
            self._pool.release(attempt.backend, attempt.connection)
            self._end(call, instance, succeeded)
        return False

    def _take_outcome(
        self, call: Call, attempt: Attempt, outcome: Outcome
    ) -> bool | None:
        """Records an answer that is not passed on."""
        instance = attempt.replica.instance
        status = attempt.response.status
        at_fault = attempt.response.get(self._names.at_fault)
        self._note_failure(
            call,
            instance,
            f"status {status}, at fault {at_fault}",
            outcome.value,
        )
        if outcome in (Outcome.MISDIRECTED, Outcome.FULL):
            call.verdict = attempt.earlier
        if outcome is Outcome.MISDIRECTED:
            if at_fault in (None, instance):
                self._state.exclude(instance)
            return None
        if outcome is Outcome.FULL:
            now_s = self._state.now_s()
            self._state.occupancy.observe_full(instance, now_s)
            if call.state.is_lockstep and at_fault is not None:
                emit(Event.SERVICE_DOWN, replica=at_fault)
                call.state.outage.observe_outage(now_s)
            return None
        call.runs += 1
        return False

    def _take_break(
        self, call: Call, attempt: Attempt, error: ConnectionBrokenError
    ) -> None:
        """Records an answer that did not arrive or did not end."""
        self._note_failure(call, attempt.replica.instance, error, "break")
        call.verdict = Verdict.MAY_HAVE_RUN
        untouched = (
            attempt.was_kept
            and not attempt.response.status
            and error.reason in (BreakReason.CLOSED, BreakReason.RESET)
        )
        if not untouched:
            call.runs += 1
        else:
            # The replica has closed a kept connection before it read the
            # request, so the same replica is as good as any other.
            call.tried.discard(attempt.replica.instance)

    def _prepare_resume(
        self, call: Call, relay: AnswerRelay, error: ConnectionBrokenError
    ) -> None:
        """Makes the next try go on after the last whole event.

        Raises:
            ChicoryplankError: If the answer cannot be continued.
        """
        if not call.is_stream or not call.route.resumable or not relay.last_id:
            raise ChicoryplankError(
                ErrorCode.ANSWER_TRUNCATED,
                f"the answer broke off: {error}",
                Verdict.MAY_HAVE_RUN,
            ) from error
        call.resume_after = relay.last_id
        emit(
            Event.STREAM_RESUMED,
            request=call.request_id,
            after=call.resume_after,
            error=str(error),
        )

    def _end(
        self, call: Call, instance: InstanceId, succeeded: bool | None
    ) -> None:
        self._state.end(call.state, instance, succeeded, self._state.now_s())

    def _note_failure(
        self, call: Call, instance: InstanceId, detail: object, stage: str
    ) -> None:
        METRICS.count_failure(stage)
        emit(
            Event.ATTEMPT_FAILED,
            request=call.request_id,
            replica=instance,
            stage=stage,
            sends=call.sends,
            after_ms=self._measure_ms(call.request),
            detail=str(detail),
        )
