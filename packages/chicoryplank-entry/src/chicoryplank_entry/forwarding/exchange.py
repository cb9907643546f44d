"""Forwards requests of callers to replicas and relays the responses."""

import asyncio
from datetime import timedelta

from chicoryplank.admission import WITHDRAWN, HoldReason
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.traffic import ReplicaRecord
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.admission import CallAdmission
from chicoryplank_entry.forwarding.answers import ResponseRelay
from chicoryplank_entry.forwarding.attempt_log import AttemptLog
from chicoryplank_entry.forwarding.attempts import (
    SUCCESS,
    Attempt,
    Outcome,
    classify,
    is_idle_connection_closed,
)
from chicoryplank_entry.forwarding.backends import (
    BackendAddress,
    BackendPool,
    make_backend_address,
)
from chicoryplank_entry.forwarding.calls import Call, make_call
from chicoryplank_entry.forwarding.crashes import Condition, CrashDetector
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.pace_reports import PaceReports
from chicoryplank_entry.forwarding.pacing import Pacing
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.permits import Permit, Permits
from chicoryplank_entry.forwarding.refusals import send_error
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.quarantine import QuarantineCheck, Trials
from chicoryplank_wire.client_connection import (
    BreakReason,
    ClientConnection,
    ConnectionBrokenError,
)
from chicoryplank_wire.server_connection import (
    ReceivedRequest,
    Reply,
)

# Longest wait of a request for the first configuration after the start of the
# entry, in seconds.
_CONFIGURATION_TIMEOUT_S = 0.8
# Retry-After delay of an entry that shuts down; other entries are available.
_DRAINING_RETRY_AFTER = timedelta(milliseconds=30)
# Delay before a replica that can't be reached is tried again, if no other one
# is left, in seconds.
_CONNECTION_RETRY_DELAY_S = 0.05
# Time in seconds for which a slow caller may keep a response unread until the
# end of its connection is no longer held against the replica. Replicas cut off
# such responses after some seconds.
_MAX_CALLER_WAIT_S = 1.0
_UNAVAILABLE = 503
_RETRY_AFTER = "retry-after"
_IS_LEAVING = "1"


class Exchange:
    """Forwards the requests of callers and retries them at other replicas.

    Args:
        state: Shared state of this entry.
        names: Header names.
        pool: Connections to replicas.
        permits: Permits for requests to replicas with a limit.
        parameters: Time limits.
        trials: Grants trials of requests in quarantine; None for no trials.
        pacing: Ramps of replicas; None if no replica ramps.

    Attributes:
        crashes: Tells crashes of replicas from broken connections.
        in_progress: Number of requests in progress.
        refuses_all: Whether all new requests are refused, during shutdown.
    """

    def __init__(
        self,
        state: EntryState,
        names: HeaderNames,
        pool: BackendPool,
        permits: Permits,
        parameters: ExchangeParameters | None = None,
        *,
        trials: Trials | None = None,
        pacing: Pacing | None = None,
    ) -> None:
        self._state = state
        self._names = names
        self._pool = pool
        self._permits = permits
        self._pace_reports = PaceReports(pacing, permits, state.now_s)
        self._parameters = parameters or ExchangeParameters()
        self._admission = CallAdmission(state, self._parameters)
        self._log = AttemptLog(names, state.now_s)
        self._quarantine = QuarantineCheck(
            state.quarantine,
            trials,
            now_s=state.now_s,
            list_versions=state.list_versions,
            make_refusal=self._admission.make_quarantine_refusal,
            count=METRICS.count_quarantined,
            has_probation=lambda service: (
                state.get_service(service).is_lockstep
            ),
        )
        self.crashes = CrashDetector(state, pool)
        self.in_progress = 0
        self.refuses_all = False

    async def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Responds to one request; aborts a response that breaks midway."""
        self.in_progress += 1
        call = None
        try:
            if self.refuses_all:
                raise ChicoryplankError(
                    ErrorCode.SHUTTING_DOWN,
                    "this entry is shutting down; use another address",
                    retry_after=_DRAINING_RETRY_AFTER,
                )
            await self._state.wait_for_configuration(_CONFIGURATION_TIMEOUT_S)
            call = make_call(self._state, self._names, request)
            call.service_state.retry_budget.observe_request()
            await self._forward(call, reply)
        except ChicoryplankError as error:
            self._refuse(call, request, reply, error)
        except asyncio.CancelledError:
            if call is not None:
                emit(
                    Event.CALLER_LEFT,
                    request=call.request_id,
                    route=call.route.name,
                    sends=call.attempts,
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
                    ErrorCode.INTERNAL_ERROR, "internal error", verdict
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
        """Sends an error response, unless a response has already begun."""
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
            sends=0 if call is None else call.attempts,
            after_ms=self._get_elapsed_ms(request),
            detail=error.message,
        )

    def _get_elapsed_ms(self, request: ReceivedRequest) -> int:
        return round((self._state.now_s() - request.received_s) * 1000)

    async def _forward(self, call: Call, reply: Reply) -> None:
        """Tries replicas until the response is complete.

        Raises:
            ChicoryplankError: If no attempt yields a complete response.
        """
        relay = ResponseRelay(
            self._state,
            self._names,
            self._parameters,
            call,
            self._check_unframed_end,
        )
        loop = asyncio.get_running_loop()
        left_s = call.deadline_s - self._state.now_s()
        try:
            async with asyncio.timeout_at(loop.time() + left_s):
                while True:
                    attempt = await self._send_attempt(call)
                    if await self._try_relay(call, relay, attempt, reply):
                        break
        except TimeoutError as error:
            raise ChicoryplankError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline of this request has passed",
                call.verdict,
            ) from error
        METRICS.observe_response(
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
            sends=call.attempts,
            version=self._state.configuration.version,
            sent_ms=round(call.sent_after_s * 1000),
            first_ms=round(relay.first_output_s * 1000),
            gap_ms=round(relay.longest_gap_s * 1000),
            total_ms=self._get_elapsed_ms(call.request),
        )

    async def _send_attempt(self, call: Call) -> Attempt:
        """Sends the request to a replica with a free slot.

        Raises:
            ChicoryplankError: If the request is refused.
        """
        must_wait = False
        connection_failed = False
        while True:
            self._admission.check_retry(call)
            self._quarantine.check(call)
            await self._admission.wait_for_slot(call, must_wait)
            self._admission.check_retry(call)
            await self._quarantine.acquire_trial(call)
            self._quarantine.check(call)
            self._admission.spend_retry(call)
            now_s = self._state.now_s()
            allowance = self._parameters.queue_allowance
            full = self._state.list_full_replicas(
                call.service_state, allowance, now_s
            )
            replica = self._state.choose_replica(
                call.service_state, full | call.tried_replicas, now_s
            )
            if replica is None and connection_failed:
                # All replicas were tried, and the last one can't be reached.
                await asyncio.sleep(_CONNECTION_RETRY_DELAY_S)
                connection_failed = False
                continue
            if replica is None:
                replica = self._state.choose_replica(
                    call.service_state, full, now_s
                )
            must_wait = replica is None
            if replica is None:
                continue
            backend = make_backend_address(replica)
            self._state.begin_request(
                call.service_state, replica.instance, now_s
            )
            try:
                permit = await self._pace_reports.acquire_permit(
                    replica.instance
                )
                if permit is None:
                    self._end_attempt(call, replica, None)
                    continue
                connection = await self._connect(call, backend)
                if not self._may_write(call, replica, permit):
                    self._pool.release(backend, connection)
                    self._end_attempt(call, replica, None)
                    continue
                return self._write_request(call, replica, backend, connection)
            except ConnectionBrokenError as error:
                self._end_attempt(call, replica, False)
                call.tried_replicas.add(replica.instance)
                self._log.record_connection_failure(call, backend, error)
                self._pace_reports.observe_connection_failure(
                    call, replica.instance
                )
                connection_failed = True
                if error.reason is BreakReason.REFUSED:
                    self.crashes.observe_refusal(replica)
                continue
            except BaseException:
                self._end_attempt(call, replica, None)
                raise

    def _may_write(
        self, call: Call, replica: ReplicaRecord, permit: Permit
    ) -> bool:
        """Returns whether a replica to which a connection was made is used."""
        if self._has_withdrawn(replica):
            return False
        if not self._permits.is_usable(replica.instance, permit):
            call.tried_replicas.add(replica.instance)
            return False
        return True

    def _has_withdrawn(self, replica: ReplicaRecord) -> bool:
        """Returns whether a chosen replica takes no request any more.

        It may have said so while the connection to it was being made.
        """
        return self._state.holds.is_held(
            replica.instance, self._state.now_s(), WITHDRAWN
        )

    async def _connect(
        self, call: Call, backend: BackendAddress
    ) -> ClientConnection:
        """Returns a connection that has not carried the request.

        Raises:
            ConnectionBrokenError: If no connection can be made.
        """
        if call.needs_new_connection:
            return await self._pool.open(backend)
        return await self._pool.acquire(
            backend,
            call.route.repeatable,
            call.used_connections,
            call.request_id,
        )

    def _write_request(
        self,
        call: Call,
        replica: ReplicaRecord,
        backend: BackendAddress,
        connection: ClientConnection,
    ) -> Attempt:
        now_s = self._state.now_s()
        if not call.attempts:
            call.sent_after_s = now_s - call.request.received_s
        is_connection_reused = connection.requests_sent > 0
        has_carried_call = connection in call.used_connections
        earlier_verdict = call.verdict
        head = call.encode_head(self._names, replica.instance, now_s)
        # From now on the request counts as not run only if the replica says so.
        call.verdict = Verdict.MAY_HAVE_RUN
        call.attempts += 1
        call.is_retry_charged = False
        call.tried_replicas.add(replica.instance)
        call.used_connections.append(connection)
        return Attempt(
            replica,
            backend,
            connection,
            connection.send(head, call.request_id, call.request.body),
            now_s,
            is_connection_reused,
            has_carried_call,
            earlier_verdict,
        )

    async def _try_relay(
        self,
        call: Call,
        relay: ResponseRelay,
        attempt: Attempt,
        reply: Reply,
    ) -> bool:
        """Relays the response; returns False if another attempt is needed."""
        succeeded = None
        try:
            await relay.wait_head(attempt)
            outcome = classify(self._names, attempt.response, call.request_id)
            if outcome not in (Outcome.UNPROVEN, Outcome.MISDIRECTED):
                self._read_replica_headers(attempt)
            if outcome is Outcome.FINAL or (
                outcome is Outcome.FAILURE
                and not self._admission.is_worth_retrying(call)
            ):
                call.verdict = Verdict.RAN
                if attempt.response.status in SUCCESS:
                    attempt.first_output_s = self._state.now_s()
                self._pace_reports.observe_head(call, attempt, outcome)
                await relay.relay_response(attempt, reply)
                self._pace_reports.observe_complete(attempt)
                self._state.observe_survival(
                    call.service_state,
                    attempt.replica.instance,
                    attempt.started_s,
                    self._state.now_s(),
                )
                if attempt.response.ends_at_close:
                    self.crashes.observe_break(call, attempt, None)
                elif attempt.first_output_s is not None:
                    self.crashes.observe_success(
                        call, attempt.started_s, is_complete=True
                    )
                call.service_state.slot_queue.observe_duration(
                    self._state.now_s() - attempt.started_s
                )
                succeeded = outcome is Outcome.FINAL
                return True
            self._pace_reports.observe_head(call, attempt, outcome)
            succeeded = self._handle_failure_response(call, attempt, outcome)
        except ConnectionBrokenError as error:
            # A replica cuts off a response that stays unread, which says
            # nothing about the replica.
            if attempt.caller_wait_s < _MAX_CALLER_WAIT_S:
                succeeded = False
            self._pace_reports.observe_break(attempt, error)
            self._handle_broken_connection(call, attempt, error)
            if reply.started:
                self._prepare_resume(call, relay, error)
        finally:
            self._log.record_skipped_responses(call, attempt)
            self._pool.release(attempt.backend, attempt.connection)
            self._pace_reports.report(call, attempt)
            self._end_attempt(call, attempt.replica, succeeded)
        return False

    async def _check_unframed_end(self, call: Call, attempt: Attempt) -> None:
        """Checks that a response which ended with its connection is complete.

        Raises:
            ConnectionBrokenError: If the replica has crashed; or if that is
                unknown and the request may run again.
        """
        if not self.crashes.is_in_service(attempt.replica):
            return  # It may end as planned right after its last response.
        condition = await self.crashes.probe(attempt.replica)
        if condition is Condition.CRASHED or (
            condition is Condition.UNKNOWN and call.route.repeatable
        ):
            raise ConnectionBrokenError(
                BreakReason.CLOSED,
                f"the response has no length and its replica is "
                f"{condition.value}",
            )

    def _read_replica_headers(self, attempt: Attempt) -> None:
        """Records what the replica says of itself in its response."""
        response = attempt.response
        instance = attempt.replica.instance
        if self._state.server_limits.read(
            instance,
            response.get(self._names.server_limit),
            attempt.started_s,
            self._state.now_s(),
        ):
            self._state.holds.release(instance, HoldReason.LIMIT)
        if response.get(self._names.leaving) == _IS_LEAVING:
            self._state.replica_words.observe_leaving(attempt.replica)
        pause = response.get(_RETRY_AFTER)
        if response.status == _UNAVAILABLE and pause is not None:
            self._state.replica_words.observe_pause(attempt.replica, pause)

    def _handle_failure_response(
        self, call: Call, attempt: Attempt, outcome: Outcome
    ) -> bool | None:
        """Records a response that is not relayed to the caller.

        Returns:
            Whether the replica succeeded, for the routing policy; None if the
            request did not run there.
        """
        status = attempt.response.status
        at_fault = attempt.response.get(self._names.at_fault)
        if outcome in (Outcome.MISDIRECTED, Outcome.FULL):
            call.verdict = attempt.earlier_verdict
            self._log.record_rejection(call, attempt)
        self._log.record_failure(
            call,
            attempt,
            outcome.value,
            f"status {status}, at fault {at_fault}",
        )
        if outcome is Outcome.UNPROVEN:
            # The response to this request may still follow.
            attempt.connection.abort()
        if outcome is Outcome.MISDIRECTED:
            replica = attempt.replica
            if at_fault in (None, replica.instance, replica.address):
                self._state.replica_words.observe_misdirected(replica)
            return None
        if outcome is Outcome.FULL:
            now_s = self._state.now_s()
            self._state.replica_words.observe_full(attempt.replica)
            if call.service_state.is_lockstep and at_fault is not None:
                self._pace_reports.observe_group_down(attempt, at_fault)
                emit(Event.SERVICE_DOWN, replica=at_fault)
                call.service_state.circuit_breaker.observe_outage(now_s)
            return None
        call.possible_runs += 1
        return False

    def _handle_broken_connection(
        self, call: Call, attempt: Attempt, error: ConnectionBrokenError
    ) -> None:
        """Records a response that is missing or incomplete."""
        call.verdict = Verdict.MAY_HAVE_RUN
        call.possible_runs += 1
        self._log.record_failure(call, attempt, "break", str(error))
        self.crashes.observe_break(call, attempt, error)
        if is_idle_connection_closed(attempt, error):
            # Most likely the replica closed an idle connection before it read
            # the request, so the same replica may be chosen again. Its other
            # idle connections may be closed as well.
            call.tried_replicas.discard(attempt.replica.instance)
            call.needs_new_connection = True

    def _prepare_resume(
        self, call: Call, relay: ResponseRelay, error: ConnectionBrokenError
    ) -> None:
        """Makes the next attempt resume the stream after the last event.

        Raises:
            ChicoryplankError: If the stream cannot be resumed.
        """
        if (
            not call.is_stream
            or not call.route.resumable
            or not relay.last_event_id
        ):
            raise ChicoryplankError(
                ErrorCode.ANSWER_TRUNCATED,
                f"the response is incomplete: {error}",
                Verdict.MAY_HAVE_RUN,
            ) from error
        call.resume_after = relay.last_event_id
        emit(
            Event.STREAM_RESUMED,
            request=call.request_id,
            after=call.resume_after,
            error=str(error),
        )

    def _end_attempt(
        self, call: Call, replica: ReplicaRecord, succeeded: bool | None
    ) -> None:
        self._state.end_request(
            call.service_state,
            replica.instance,
            succeeded,
            self._state.now_s(),
            started_ms=replica.started_ms,
        )
