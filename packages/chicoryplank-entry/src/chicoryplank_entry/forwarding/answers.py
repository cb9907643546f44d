"""Relays the response of a replica to the caller, with the body unchanged."""

import asyncio
from collections.abc import Awaitable, Callable

from chicoryplank.admission import OutputTimes
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.attempts import SUCCESS, Attempt
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.events_stream import (
    EventSplitter,
    EventTooLongError,
    parse_event_number,
)
from chicoryplank_entry.forwarding.fields import (
    HOP_BY_HOP,
    HeaderNames,
    list_connection_headers,
)
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_wire.client_connection import (
    BreakReason,
    ConnectionBrokenError,
    Response,
)
from chicoryplank_wire.server_connection import Reply

# Responses up to this size are buffered completely before any byte is sent to
# the caller, so that the request can be retried if the response is incomplete.
_MAX_BUFFERED_BYTES = 262_144
_EVENT_STREAM = "text/event-stream"
# Maximum time in seconds since the last output of any replica. If the service
# made no progress within it, the silence of one replica is not its own fault.
_MAX_PROGRESS_AGE_S = 0.4
# Time in seconds from the first output of a stream after which the request has
# most likely not crashed its replica.
_SURVIVAL_S = 0.1


class ResponseRelay:
    """Relays one response; a stream may come from several attempts.

    Args:
        state: Shared state of this entry.
        names: Header names.
        parameters: Time limits.
        call: The request.
        check_unframed_end: Called at the end of a response with neither a
            length nor chunks; raises ConnectionBrokenError if it is incomplete.

    Attributes:
        replica: Replica whose status and headers were sent to the caller.
        status: Status sent to the caller.
        last_event_id: Id of the last event sent to the caller.
        first_output_s: Time from the request to the first output, in seconds.
        longest_gap_s: Longest time between two events of a stream, in seconds.
    """

    def __init__(
        self,
        state: EntryState,
        names: HeaderNames,
        parameters: ExchangeParameters,
        call: Call,
        check_unframed_end: Callable[[Call, Attempt], Awaitable[None]],
    ) -> None:
        self._check_unframed_end = check_unframed_end
        self._state = state
        self._names = names
        self._parameters = parameters
        self._call = call
        self._splitter = EventSplitter()
        self.replica = InstanceId("")
        self.status = 0
        self.last_event_id = ""
        self.first_output_s = 0.0
        self.longest_gap_s = 0.0
        self._last_event_s: float | None = None
        # Whether a resumed stream has repeated events, but not yet the last one
        # that the caller has received.
        self._is_behind = False

    async def wait_head(self, attempt: Attempt) -> None:
        """Waits for the status and headers of the response.

        Raises:
            ConnectionBrokenError: If they do not arrive, or if only this
                replica is silent and the request can be tried elsewhere.
        """
        call = self._call
        if not call.route.repeatable:
            await attempt.response.wait_head()
            return
        if call.is_stream:
            await self._await_output(
                attempt.response.wait_head,
                attempt,
                self._parameters.first_output_timeout_s,
                call.service_state.first_output_times,
            )
            return
        left_s = call.deadline_s - self._state.now_s()
        if (
            call.possible_runs + 1 < call.route.max_runs
            and len(call.service_state.slots) > 1
        ):
            left_s *= self._parameters.first_attempt_share
        try:
            async with asyncio.timeout(left_s):
                await attempt.response.wait_head()
        except TimeoutError as error:
            attempt.connection.abort()
            raise ConnectionBrokenError(
                BreakReason.TIMED_OUT,
                "timeout while waiting for the response headers",
            ) from error

    async def _await_output(
        self, read, attempt: Attempt, min_timeout_s: float, times: OutputTimes
    ):
        """Waits for output; aborts if only this replica is silent.

        A lock-step group stalls as a whole, so another replica of it would not
        respond sooner.

        Args:
            read: Reads the output.
            attempt: The attempt.
            min_timeout_s: Smallest timeout in seconds.
            times: Recent times until such an output of the service.
        """
        started_s = self._state.now_s()
        while True:
            timeout = asyncio.timeout(
                times.get_timeout_s(
                    min_timeout_s, self._parameters.max_silence_timeout_s
                )
            )
            try:
                async with timeout:
                    output = await read()
                times.observe(self._state.now_s() - started_s)
                return output
            except TimeoutError as error:
                if not timeout.expired():
                    raise
                if (
                    self._is_only_replica_silent(attempt)
                    and self._can_try_elsewhere()
                ):
                    times.observe(self._state.now_s() - started_s)
                    attempt.connection.abort()
                    raise ConnectionBrokenError(
                        BreakReason.TIMED_OUT,
                        "no output from the replica within the timeout",
                    ) from error

    def _is_only_replica_silent(self, attempt: Attempt) -> bool:
        """Returns whether other replicas make progress but not this one."""
        now_s = self._state.now_s()
        service = self._call.service_state
        if now_s - service.last_progress_s > _MAX_PROGRESS_AGE_S:
            return False
        own_s = service.replica_last_progress_s.get(attempt.replica.instance)
        return own_s is None or now_s - own_s > service.gap_times.get_timeout_s(
            self._parameters.silence_timeout_s,
            self._parameters.max_silence_timeout_s,
        )

    def _can_try_elsewhere(self) -> bool:
        call = self._call
        return (
            call.route.repeatable
            and call.possible_runs + 1 < call.route.max_runs
            and len(call.service_state.slots) > 1
        )

    async def relay_response(self, attempt: Attempt, reply: Reply) -> None:
        """Relays the response to the caller.

        Raises:
            ConnectionBrokenError: If the response is incomplete. Unless the
                reply has been started, the caller has received nothing.
        """
        response = attempt.response
        kind = (response.get("content-type") or "").lower()
        is_events = kind.startswith(_EVENT_STREAM)
        if reply.started and (response.status != self.status or not is_events):
            raise ConnectionBrokenError(
                BreakReason.MALFORMED,
                f"replica resumed a stream with status {response.status} and "
                f"content type {kind!r:.50}",
            )
        if is_events and response.status in SUCCESS:
            await self._relay_events(attempt, reply)
        else:
            await self._relay_body(attempt, reply)

    def _start_reply(
        self, attempt: Attempt, reply: Reply, content_length: int | None
    ) -> None:
        response = attempt.response
        self.replica = attempt.replica.instance
        self.status = response.status
        if not self.first_output_s:
            self._record_first_output()
        reply.start(
            response.status, _list_end_to_end_headers(response), content_length
        )

    def _record_first_output(self) -> None:
        self.first_output_s = (
            self._state.now_s() - self._call.request.received_s
        )
        METRICS.observe_first_output(self._call.route.name, self.first_output_s)

    async def _wait_for_caller(self, attempt: Attempt, reply: Reply) -> None:
        """Waits until the caller has read enough of the response."""
        started_s = self._state.now_s()
        await reply.drain()
        attempt.caller_wait_s += self._state.now_s() - started_s

    async def _relay_body(self, attempt: Attempt, reply: Reply) -> None:
        response = attempt.response
        buffered: list[bytes] = []
        size = 0
        while data := await response.read():
            if reply.started:
                reply.write(data)
                await self._wait_for_caller(attempt, reply)
                continue
            buffered.append(data)
            size += len(data)
            if size > _MAX_BUFFERED_BYTES:
                self._start_reply(attempt, reply, response.content_length)
                reply.write(b"".join(buffered))
                buffered.clear()
                await self._wait_for_caller(attempt, reply)
        if response.ends_at_close:
            await self._check_unframed_end(self._call, attempt)
        now_s = self._state.now_s()
        self._state.observe_progress(
            self._call.service_state, attempt.replica.instance, now_s
        )
        if reply.started:
            reply.end()
            return
        self._start_reply(attempt, reply, size)
        reply.write(b"".join(buffered))
        reply.ended = True

    async def _relay_events(self, attempt: Attempt, reply: Reply) -> None:
        splitter = self._splitter
        splitter.restart()
        self._is_behind = False
        has_events = False
        instance = attempt.replica.instance
        while data := await self._await_output(
            attempt.response.read,
            attempt,
            self._parameters.silence_timeout_s,
            self._call.service_state.gap_times,
        ):
            now_s = self._state.now_s()
            self._state.observe_progress(
                self._call.service_state, instance, now_s
            )
            self._observe_survival(attempt, now_s)
            if self._last_event_s is not None:
                gap_s = now_s - self._last_event_s
                self.longest_gap_s = max(self.longest_gap_s, gap_s)
            self._last_event_s = now_s
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise ConnectionBrokenError(
                    BreakReason.MALFORMED, "event exceeds the size limit"
                ) from error
            has_events = has_events or bool(events)
            events = self._select_new_events(events)
            if not events:
                continue
            if not reply.started:
                self._start_reply(attempt, reply, None)
            reply.write(b"".join(events))
            self.last_event_id = splitter.last_event_id or self.last_event_id
            await self._wait_for_caller(attempt, reply)
        if splitter.has_partial_event:
            raise ConnectionBrokenError(
                BreakReason.CLOSED, "stream ended in the middle of an event"
            )
        if attempt.response.ends_at_close:
            if not has_events:
                raise ConnectionBrokenError(
                    BreakReason.CLOSED, "stream ended before its first event"
                )
            await self._check_unframed_end(self._call, attempt)
        if self._is_behind:
            raise ConnectionBrokenError(
                BreakReason.MALFORMED,
                f"resumed stream ended before event {self.last_event_id}",
            )
        if not reply.started:
            self._start_reply(attempt, reply, None)
        reply.end()

    def _observe_survival(self, attempt: Attempt, now_s: float) -> None:
        """Records that the replica runs on some time after its first output."""
        if (
            attempt.first_output_s is not None
            and now_s - attempt.first_output_s >= _SURVIVAL_S
        ):
            self._state.observe_survival(
                self._call.service_state,
                attempt.replica.instance,
                attempt.started_s,
                now_s,
            )

    def _select_new_events(self, events: list[bytes]) -> list[bytes]:
        """Returns the events that the caller has not received yet.

        Raises:
            ConnectionBrokenError: If an event is missing.
        """
        if not self._call.resume_after or not self.last_event_id.isdecimal():
            return events
        last = int(self.last_event_id)
        selected = []
        for event in events:
            number = parse_event_number(event)
            if number is None:
                selected.append(event)
                continue
            self._is_behind = number < last
            if number <= last:
                continue
            if number != last + 1:
                raise ConnectionBrokenError(
                    BreakReason.MALFORMED, f"event {number} follows {last}"
                )
            selected.append(event)
            last = number
        return selected


def _list_end_to_end_headers(response: Response) -> list[tuple[str, str]]:
    """Returns the end-to-end headers of a response."""
    dropped = HOP_BY_HOP | list_connection_headers(response.get("connection"))
    return [
        (name, value) for name, value in response.headers if name not in dropped
    ]
