"""Promises to callers and replicas, checked while the soak runs."""

import collections
import dataclasses
import enum
import json
import re
import time

from soak_records import Timeline, Violations

from chicoryplank_platform.names import HEADERS
from chicoryplank_platform.tests.simulated_caller import Kind, Request, Response
from chicoryplank_platform.tests.simulated_replica import (
    EVENT_COUNT,
    Arrival,
    make_body,
    make_event,
    make_proof,
)

# Bounds of the users' rules, in seconds.
DRAIN_S = 2.0
CONFIG_S = 2.0
TIMEOUT_SLACK_S = 0.5
LEFT_SLACK_S = 0.5
GONE_S = 0.5
# Time after a fault at a process or link in which bounds on time do not hold.
CONTACT_S = 3.0
RECOVERED_SHARE = 0.95
# The rules allow this many of these in a day before they count.
ALLOWED = {
    "left_requests_sent": 3,
    "work_for_nobody": 3,
    "lost_on_kept_connection": 3,
}
MAX_RUNS = 2
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 90
BUDGET_WINDOW_S = 10.0
_NOT_RUN = frozenset({408, 421, 429, 503})
_NOT_FOUND = 404
_DENIED = frozenset({400, 401, 403, 404})
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
_PROBLEM = re.compile(r"Traceback|never retrieved|was never awaited")


class Expectation(enum.Enum):
    """How the configuration treats a request."""

    SERVED = "served"
    # Sent on a route that is added or removed.
    CHANGING = "changing"


@dataclasses.dataclass(slots=True)
class Sent:
    """A request with all that is known of it.

    Attributes:
        entry: Name of the entry that got it.
        was_kept: Whether the connection had carried a request before.
        sent_s: Unix time.
        left_s: Unix time at which the caller went away; 0 if it stayed.
        arrivals: Where it arrived.
        answer: What the caller got.
        ended_s: Unix time of the end of the answer.
    """

    request: Request
    entry: str
    account: str
    expectation: Expectation
    was_kept: bool
    sent_s: float
    left_s: float = 0.0
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    answer: Response | None = None
    ended_s: float = 0.0

    @property
    def runs(self) -> list[Arrival]:
        """Arrivals on which a replica worked."""
        return [item for item in self.arrivals if item.is_executed]


class Judge(Violations):
    """Checks every arrival and every answer as it is seen.

    Args:
        timeline: Intervals of faults.
        route_timeouts: Longest time of an answer, by kind.
    """

    def __init__(
        self, timeline: Timeline, route_timeouts: dict[Kind, float]
    ) -> None:
        super().__init__()
        self.sent: dict[str, Sent] = {}
        # Unix time at which each new route was acknowledged, by path.
        self.added: dict[str, float] = {}
        # Unix time at which each removed route was acknowledged, by path.
        self.removed: dict[str, float] = {}
        # Unix time at which each leaving replica was acknowledged.
        self.draining: dict[str, float] = {}
        self._timeline = timeline
        self._timeouts = route_timeouts

    def find_violations(self) -> dict[str, int]:
        """Returns the promises that were broken more often than allowed."""
        return {
            promise: count
            for promise, count in sorted(self.counts.items())
            if count > ALLOWED.get(promise, 0)
        }

    def is_calm(self, start_s: float, end_s: float, *targets: str) -> bool:
        """Whether no fault concerned a process or link, or the store."""
        return not self._timeline.find(
            start_s - CONTACT_S, end_s, *targets, "store"
        )

    # Arrivals at replicas.

    def observe_arrival(self, arrival: Arrival) -> None:
        """Checks a request that reached a replica."""
        sent = self.sent.get(arrival.request_id)
        if sent is None:
            self.add("request_of_nobody", f"{arrival.request_id!r}")
            return
        self._check_content(sent, arrival)
        self._check_times(sent, arrival)
        sent.arrivals.append(arrival)
        if arrival.is_executed:
            self._check_runs(sent, arrival)

    def observe_end(self, request_id: str) -> None:
        """Checks that no replica works on for a caller that has left."""
        sent = self.sent.get(request_id)
        now_s = time.time()
        if (
            sent is not None
            and sent.left_s
            and now_s > sent.left_s + GONE_S
            and self.is_calm(sent.sent_s, now_s, sent.entry)
        ):
            self.add("work_for_nobody", f"{request_id} at {sent.entry}")

    def _check_content(self, sent: Sent, arrival: Arrival) -> None:
        request = sent.request
        headers = arrival.headers
        expected = {**request.model_headers, HEADERS.account: sent.account}
        if (
            (arrival.method, arrival.target, arrival.body)
            != (request.method, request.target, request.body)
            or any(headers.get(key) != expected[key] for key in expected)
            or "authorization" in headers
        ):
            self.add("request_changed", f"{request.request_id} {headers}")
        if HEADERS.expected_instance not in headers:
            self.add("no_expected_replica", request.request_id)

    def _check_times(self, sent: Sent, arrival: Arrival) -> None:
        request, now_s = sent.request, arrival.arrived_at_s
        left_ms = float(arrival.headers.get(HEADERS.time_left) or "inf")
        allowed_s = sent.sent_s + request.timeout_ms / 1000 + LEFT_SLACK_S
        # A request that a link holds up arrives late, whatever the entry does.
        held_up = self._timeline.find(
            now_s - CONTACT_S, now_s, arrival.replica, kinds="link"
        )
        calm = not held_up and self.is_calm(sent.sent_s, now_s, sent.entry)
        if calm and now_s + left_ms / 1000 > allowed_s:
            self.add("too_much_time_left", f"{request.request_id} {left_ms}")
        if calm and sent.left_s and now_s > sent.left_s + GONE_S:
            self.add("left_requests_sent", request.request_id)
        since_s = self.draining.get(f"{arrival.replica}/{arrival.started_ms}")
        if (
            calm
            and since_s
            and arrival.is_executed
            and now_s > since_s + DRAIN_S
        ):
            late_s = now_s - since_s
            self.add(
                "sent_to_leaving_replica",
                f"{request.request_id} {late_s:.1f} s after, {sent.entry}",
            )

    def _check_runs(self, sent: Sent, arrival: Arrival) -> None:
        request = sent.request
        runs = sent.runs
        if request.kind is Kind.ONCE and len(runs) > 1:
            self.add("ran_twice", f"{request.request_id} {sent.entry}")
        sound = [
            item
            for item in runs
            if not self._timeline.find(
                item.arrived_at_s,
                arrival.arrived_at_s,
                item.replica,
                kinds="crash",
            )
        ]
        if len(sound) > MAX_RUNS:
            self.add("too_many_runs", request.request_id)
        if sent.answer is not None and sent.answer.status in _NOT_RUN:
            self.add("ran_after_not_run", request.request_id)
        removed_s = self.removed.get(request.path)
        if (
            removed_s
            and sent.sent_s > removed_s + CONFIG_S
            and self.is_calm(sent.sent_s, arrival.arrived_at_s, sent.entry)
        ):
            self.add("ran_on_removed_route", request.request_id)

    # Answers to callers.

    def observe_answer(
        self, sent: Sent, answer: Response, now_s: float
    ) -> None:
        """Checks what a caller got."""
        sent.answer = answer
        sent.ended_s = now_s
        request = sent.request
        detail = f"{request.request_id} {answer.status} at {sent.entry}"
        if answer.status in _NOT_RUN and sent.runs and answer.is_complete:
            self.add("false_not_run", detail)
        if answer.status in _DENIED and sent.expectation is Expectation.SERVED:
            self.add("proper_request_denied", detail)
        added_s = self.added.get(request.path, now_s)
        if (
            answer.status == _NOT_FOUND
            and request.path not in self.removed
            and sent.sent_s > added_s + CONFIG_S
            and self.is_calm(sent.sent_s, now_s, sent.entry)
        ):
            self.add("new_route_denied", detail)
        if HEADERS.proof in answer.headers:
            self._check_proof(sent, answer, detail)
        elif 200 <= answer.status < 300:
            self.add("success_without_proof", detail)
        if request.kind is Kind.STREAM and answer.status == 200:
            self._check_events(sent, answer, detail)
        self._check_ending(sent, answer, detail)

    def _check_proof(self, sent: Sent, answer: Response, detail: str) -> None:
        request_id = sent.request.request_id
        proofs = {make_proof(item.replica, request_id) for item in sent.runs}
        if answer.headers[HEADERS.proof] not in proofs:
            self.add("proof_of_another", detail)
        if not answer.is_complete or sent.request.kind is Kind.STREAM:
            return
        expected = make_body(request_id)
        if answer.status != 200:
            expected = b"failed"
        if answer.body != expected:
            self.add("body_changed", f"{detail} {len(answer.body)} bytes")

    def _check_events(self, sent: Sent, answer: Response, detail: str) -> None:
        request = sent.request
        first = int(request.last_event_id or -1) + 1
        whole = b"".join(
            make_event(request.request_id, number)
            for number in range(first, EVENT_COUNT)
        )
        if answer.is_complete and answer.body != whole:
            numbers = [int(item) for item in _EVENT_ID.findall(answer.body)]
            self.add("events_changed", f"{detail} {numbers}")
        elif not whole.startswith(answer.body):
            self.add("events_changed", f"{detail} in a part")

    def _check_ending(self, sent: Sent, answer: Response, detail: str) -> None:
        if sent.left_s:
            return
        took_s = sent.ended_s - sent.sent_s
        calm = self.is_calm(sent.sent_s, sent.ended_s, sent.entry)
        limit_s = self._timeouts[sent.request.kind] + TIMEOUT_SLACK_S
        if calm and took_s > limit_s:
            self.add("late_final_answer", f"{detail} after {took_s:.1f} s")
        replicas = [item.replica for item in sent.arrivals]
        if (
            calm
            and sent.was_kept
            and not answer.status
            and not answer.timed_out
            and replicas
            and self.is_calm(sent.sent_s, sent.ended_s, *replicas)
        ):
            self.add("lost_on_kept_connection", detail)

    # After the run.

    def check_budget(self) -> None:
        """Checks the repeats in every window."""
        firsts = sorted(item.sent_s for item in self.sent.values())
        repeats = sorted(
            arrival.arrived_at_s
            for item in self.sent.values()
            for arrival in item.arrivals[1:]
        )
        for index, start_s in enumerate(repeats):
            end_s = start_s + BUDGET_WINDOW_S
            count = sum(1 for at_s in repeats[index:] if at_s < end_s)
            offered = sum(1 for at_s in firsts if start_s <= at_s < end_s)
            before = sum(
                1
                for at_s in firsts
                if start_s - BUDGET_WINDOW_S <= at_s < start_s
            )
            allowed = BUDGET_RATIO * max(offered, before) + BUDGET_EXTRA
            if count > allowed:
                self.add("budget_exceeded", f"{count} of {allowed:.0f}")
                return

    def check_recovery(self, healed_s: float) -> None:
        """Checks that requests after the last fault are served."""
        last = [
            item
            for item in self.sent.values()
            if item.sent_s > healed_s
            and not item.left_s
            and item.expectation is Expectation.SERVED
        ]
        served = sum(
            item.answer is not None
            and item.answer.status == 200
            and item.answer.is_complete
            for item in last
        )
        if not last or served < RECOVERED_SHARE * len(last):
            failed = collections.Counter(
                (
                    item.entry,
                    item.request.kind.name,
                    item.answer.status,
                    len(item.answer.body),
                    len(item.arrivals),
                )
                for item in last
                if item.answer and not item.answer.is_complete
            )
            self.add(
                "not_recovered", f"{served} of {len(last)} served, {failed}"
            )

    def check_log(self, name: str, text: str) -> None:
        """Checks what a process printed."""
        for line in text.splitlines():
            if _PROBLEM.search(line):
                self.add("traceback", f"{name}: {line[:200]}")
            elif line.startswith("{"):
                try:
                    json.loads(line)
                except ValueError:
                    self.add("malformed_log_line", f"{name}: {line[:200]}")
