"""Passes the answer of a replica on to the caller, byte for byte."""

import asyncio

from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.attempts import Attempt
from chicoryplank_entry.forwarding.calls import Call
from chicoryplank_entry.forwarding.events_stream import (
    EventSplitter,
    EventTooLongError,
    find_event_number,
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

# Answers up to this size are read whole before the caller gets a byte, so
# that one that breaks off can be tried again.
_MAX_HELD_BYTES = 262_144
_EVENT_STREAM = "text/event-stream"
_SUCCESS = range(200, 300)
# Time within which other replicas must have produced output for the silence
# of one to be its own fault, in seconds.
_PROGRESS_S = 0.4


class AnswerRelay:
    """Writes one answer, possibly from several runs of a stream.

    Args:
        state: What this entry believes.
        names: Header names.
        parameters: Bounds on waiting.
        call: The request.

    Attributes:
        replica: Replica whose head the caller got.
        status: Status that the caller got.
        last_id: Last event of a stream that the caller got.
        first_s: Time from the request to the first output, in seconds.
    """

    def __init__(
        self,
        state: EntryState,
        names: HeaderNames,
        parameters: ExchangeParameters,
        call: Call,
    ) -> None:
        self._state = state
        self._names = names
        self._parameters = parameters
        self._call = call
        self._splitter = EventSplitter()
        self.replica = InstanceId("")
        self.status = 0
        self.last_id = ""
        self.first_s = 0.0

    async def wait_head(self, attempt: Attempt) -> None:
        """Waits for the head of an answer.

        Raises:
            ConnectionBrokenError: If it does not come, or if this replica is
                silent for long and another one may do better.
        """
        call = self._call
        if not call.route.repeatable:
            await attempt.response.wait_head()
            return
        if call.is_stream:
            await self._watch(
                attempt.response.wait_head,
                attempt,
                self._parameters.first_silence_s,
            )
            return
        left_s = call.deadline_s - self._state.now_s()
        if call.runs + 1 < call.route.max_runs and len(call.state.slots) > 1:
            left_s *= self._parameters.first_share
        try:
            async with asyncio.timeout(left_s):
                await attempt.response.wait_head()
        except TimeoutError as error:
            attempt.connection.abort()
            raise ConnectionBrokenError(
                BreakReason.TIMED_OUT, "no head"
            ) from error

    async def _watch(self, read, attempt: Attempt, silence_s: float):
        """Awaits output; gives up if only this replica is silent.

        A lock-step group stalls as a whole, and another replica of it would
        not answer sooner.
        """
        while True:
            task = asyncio.timeout(silence_s)
            try:
                async with task:
                    return await read()
            except TimeoutError as error:
                if not task.expired():
                    raise
                if self._is_alone_silent(attempt) and self._may_move():
                    attempt.connection.abort()
                    raise ConnectionBrokenError(
                        BreakReason.TIMED_OUT, "the replica is silent"
                    ) from error

    def _is_alone_silent(self, attempt: Attempt) -> bool:
        """Whether others produce output while this replica does not."""
        now_s = self._state.now_s()
        service = self._call.state
        if now_s - service.progress_s > _PROGRESS_S:
            return False
        own_s = service.replica_progress_s.get(attempt.replica.instance)
        return own_s is None or now_s - own_s > self._parameters.silence_s

    def _may_move(self) -> bool:
        call = self._call
        return (
            call.route.repeatable
            and call.runs + 1 < call.route.max_runs
            and len(call.state.slots) > 1
        )

    async def pass_on(self, attempt: Attempt, reply: Reply) -> None:
        """Writes the answer.

        Raises:
            ConnectionBrokenError: If the replica did not end it. Unless the
                reply has been started, the caller has received nothing.
        """
        response = attempt.response
        kind = response.get("content-type") or ""
        is_events = kind.startswith(_EVENT_STREAM)
        if reply.started and response.status not in _SUCCESS:
            raise ConnectionBrokenError(
                BreakReason.MALFORMED, f"resumed with status {response.status}"
            )
        if is_events and response.status in _SUCCESS:
            await self._pass_events(attempt, reply)
        else:
            await self._pass_body(attempt, reply)

    def _start(
        self, attempt: Attempt, reply: Reply, content_length: int | None
    ) -> None:
        response = attempt.response
        self.replica = attempt.replica.instance
        self.status = response.status
        if not self.first_s:
            self._observe_first()
        reply.start(response.status, _list_headers(response), content_length)

    def _observe_first(self) -> None:
        self.first_s = self._state.now_s() - self._call.request.received_s
        METRICS.observe_first(self._call.route.name, self.first_s)

    async def _pass_body(self, attempt: Attempt, reply: Reply) -> None:
        response = attempt.response
        held: list[bytes] = []
        size = 0
        while data := await response.read():
            if reply.started:
                reply.write(data)
                await reply.drain()
                continue
            held.append(data)
            size += len(data)
            if size > _MAX_HELD_BYTES:
                self._start(attempt, reply, response.content_length)
                reply.write(b"".join(held))
                held.clear()
        now_s = self._state.now_s()
        self._state.observe_progress(
            self._call.state, attempt.replica.instance, now_s
        )
        if reply.started:
            reply.end()
            return
        self._start(attempt, reply, size)
        reply.write(b"".join(held))
        reply.ended = True

    async def _pass_events(self, attempt: Attempt, reply: Reply) -> None:
        splitter = self._splitter
        splitter.drop_rest()
        instance = attempt.replica.instance
        silence_s = self._parameters.silence_s
        while data := await self._watch(
            attempt.response.read, attempt, silence_s
        ):
            now_s = self._state.now_s()
            self._state.observe_progress(self._call.state, instance, now_s)
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise ConnectionBrokenError(
                    BreakReason.MALFORMED, "event too long"
                ) from error
            events = self._select_new(events)
            if not events:
                continue
            if not reply.started:
                self._start(attempt, reply, None)
            reply.write(b"".join(events))
            self.last_id = splitter.last_id or self.last_id
            await reply.drain()
        if splitter.has_rest:
            raise ConnectionBrokenError(BreakReason.CLOSED, "in an event")
        if not reply.started:
            self._start(attempt, reply, None)
        reply.end()

    def _select_new(self, events: list[bytes]) -> list[bytes]:
        """Returns the events that the caller does not have.

        Raises:
            ConnectionBrokenError: If an event is missing between them.
        """
        if not self._call.resume_after or not self.last_id.isdigit():
            return events
        last = int(self.last_id)
        selected = []
        for event in events:
            number = find_event_number(event)
            if number is None:
                selected.append(event)
                continue
            if number <= last:
                continue
            if number != last + 1:
                raise ConnectionBrokenError(
                    BreakReason.MALFORMED, f"event {number} follows {last}"
                )
            selected.append(event)
            last = number
        return selected


def _list_headers(response: Response) -> list[tuple[str, str]]:
    """Returns the end-to-end headers of a response."""
    dropped = HOP_BY_HOP | list_connection_headers(response.get("connection"))
    return [
        (name, value) for name, value in response.headers if name not in dropped
    ]
