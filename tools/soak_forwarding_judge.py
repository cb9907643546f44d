"""Checks guarantees to callers and replicas during a soak test."""

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

# Bounds of the acceptance rules, in seconds.
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
CONFIG_APPLY_BOUND_S = 2.0
TIMEOUT_SLACK_S = 0.5
REMAINING_TIME_SLACK_S = 0.5
CALLER_LEFT_BOUND_S = 0.5
# Time after a fault at a process or link in which time bounds do not apply.
FAULT_EFFECT_S = 3.0
MIN_SERVED_SHARE = 0.95
# Violations that the acceptance rules allow in a day, by kind.
ALLOWED_VIOLATIONS = {
    "left_requests_sent": 3,
    "work_for_nobody": 3,
    "lost_on_kept_connection": 3,
}
MAX_EXECUTIONS = 2
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_EXTRA = 90
RETRY_BUDGET_WINDOW_S = 10.0
# Bound on the requests at a replica that names a limit: a multiple of the limit
# and a number of further requests in a window, from a time after it was named.
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_WINDOW_S = 4.0
LIMIT_NOTICE_S = 3.0
# Time for which an entry must have known a limit to be bound by it.
LIMIT_LEARNING_S = 0.5
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_NOT_FOUND = 404
_DENIED_STATUSES = frozenset({400, 401, 403, 404})
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
_LOG_PROBLEM = re.compile(r"Traceback|never retrieved|was never awaited")


class Expectation(enum.Enum):
    """Whether the route of a request exists throughout the run."""

    SERVED = "served"
    # The route is added or removed during the run.
    CHANGING = "changing"


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request with its arrivals at replicas and its response.

    Attributes:
        request: The request.
        entry: Name of the entry to which it was sent.
        account: Account of the API key of the request.
        expectation: Whether its route exists throughout the run.
        is_connection_reused: Whether the connection had carried a request
            before.
        sent_s: Unix time at which it was sent.
        caller_left_s: Unix time at which the caller closed the connection; 0
            if it waited for the response.
        arrivals: Arrivals at replicas.
        response: Response that the caller received.
        ended_s: Unix time of the end of the response.
    """

    request: Request
    entry: str
    account: str
    expectation: Expectation
    is_connection_reused: bool
    sent_s: float
    caller_left_s: float = 0.0
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    response: Response | None = None
    ended_s: float = 0.0

    @property
    def executions(self) -> list[Arrival]:
        """Arrivals that a replica executed."""
        return [item for item in self.arrivals if item.is_executed]


class GuaranteeChecker(Violations):
    """Checks the arrivals and responses of all requests.

    Args:
        timeline: Intervals of the injected faults.
        route_timeouts: Timeout of the route in seconds, by kind of request.
    """

    def __init__(
        self, timeline: Timeline, route_timeouts: dict[Kind, float]
    ) -> None:
        super().__init__()
        self.sent: dict[str, SentRequest] = {}
        # Unix time at which the store acknowledged each added route, by path.
        self.added_routes: dict[str, float] = {}
        # Unix time at which the store acknowledged each removal, by path.
        self.removed_routes: dict[str, float] = {}
        # Replica, limit, and Unix times between which it named the limit.
        self._named_limits: list[tuple[str, float, float, float]] = []
        # Unix time at which the store acknowledged the drain of each replica.
        self.draining_since: dict[str, float] = {}
        # Unix time at which the store acknowledged the evacuation of each zone
        # that is evacuated now.
        self.evacuated_since: dict[str, float] = {}
        self._timeline = timeline
        self._timeouts = route_timeouts

    def get_violations(self) -> dict[str, int]:
        """Returns the kinds of violations that exceed their allowed number."""
        return {
            violation: count
            for violation, count in sorted(self.counts.items())
            if count > ALLOWED_VIOLATIONS.get(violation, 0)
        }

    def is_undisturbed(
        self, start_s: float, end_s: float, *targets: str
    ) -> bool:
        """Tells whether no fault affected the store or a given target."""
        return not self._timeline.find(
            start_s - FAULT_EFFECT_S, end_s, *targets, "store"
        )

    # Checks of arrivals at replicas.

    def observe_arrival(self, arrival: Arrival) -> None:
        """Checks a request that arrived at a replica."""
        sent = self.sent.get(arrival.request_id)
        if sent is None:
            self.add("request_of_nobody", f"{arrival.request_id!r}")
            return
        self._check_content(sent, arrival)
        self._check_times(sent, arrival)
        sent.arrivals.append(arrival)
        if arrival.is_executed:
            self._check_executions(sent, arrival)

    def observe_execution_end(self, request_id: str) -> None:
        """Checks that no replica goes on executing for a caller that left."""
        sent = self.sent.get(request_id)
        now_s = time.time()
        if (
            sent is not None
            and sent.caller_left_s
            and now_s > sent.caller_left_s + CALLER_LEFT_BOUND_S
            and self.is_undisturbed(sent.sent_s, now_s, sent.entry)
        ):
            self.add("work_for_nobody", f"{request_id} at {sent.entry}")

    def _check_content(self, sent: SentRequest, arrival: Arrival) -> None:
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

    def _check_times(self, sent: SentRequest, arrival: Arrival) -> None:
        request, now_s = sent.request, arrival.arrived_at_s
        remaining_ms = float(arrival.headers.get(HEADERS.time_left) or "inf")
        allowed_s = (
            sent.sent_s + request.timeout_ms / 1000 + REMAINING_TIME_SLACK_S
        )
        # A fault of the link to the replica may delay a request after the entry
        # has sent it.
        link_faults = self._timeline.find(
            now_s - FAULT_EFFECT_S, now_s, arrival.replica, kinds="link"
        )
        undisturbed = not link_faults and self.is_undisturbed(
            sent.sent_s, now_s, sent.entry
        )
        if undisturbed and now_s + remaining_ms / 1000 > allowed_s:
            self.add(
                "too_much_time_left", f"{request.request_id} {remaining_ms} ms"
            )
        if (
            undisturbed
            and sent.caller_left_s
            and now_s > sent.caller_left_s + CALLER_LEFT_BOUND_S
        ):
            self.add("left_requests_sent", request.request_id)
        since_s = self.draining_since.get(
            f"{arrival.replica}/{arrival.started_ms}"
        )
        if (
            undisturbed
            and since_s
            and arrival.is_executed
            and now_s > since_s + DRAIN_BOUND_S
        ):
            late_s = now_s - since_s
            self.add(
                "sent_to_leaving_replica",
                f"{request.request_id} {late_s:.1f} s after the drain, "
                f"{sent.entry}",
            )

        since_s = self.evacuated_since.get(arrival.zone, now_s)
        # A replica rejects a request that is meant for another one.
        is_misdirected = (
            arrival.headers.get(HEADERS.expected_instance) != arrival.replica
        )
        if (
            undisturbed
            and not is_misdirected
            and now_s > since_s + EVACUATION_BOUND_S
        ):
            self.add(
                "sent_to_evacuated_zone",
                f"{request.request_id} {now_s - since_s:.1f} s after the "
                f"evacuation, {sent.entry}",
            )

    def _check_executions(self, sent: SentRequest, arrival: Arrival) -> None:
        request = sent.request
        executions = sent.executions
        if request.kind is Kind.ONCE and len(executions) > 1:
            self.add("ran_twice", f"{request.request_id} {sent.entry}")
        uncrashed_executions = [
            item
            for item in executions
            if not self._timeline.find(
                item.arrived_at_s,
                arrival.arrived_at_s,
                item.replica,
                kinds="crash",
            )
        ]
        if len(uncrashed_executions) > MAX_EXECUTIONS:
            self.add("too_many_runs", request.request_id)
        if (
            sent.response is not None
            and sent.response.status in _NOT_RUN_STATUSES
        ):
            self.add("ran_after_not_run", request.request_id)
        removed_s = self.removed_routes.get(request.path)
        if (
            removed_s
            and sent.sent_s > removed_s + CONFIG_APPLY_BOUND_S
            and self.is_undisturbed(
                sent.sent_s, arrival.arrived_at_s, sent.entry
            )
        ):
            self.add("ran_on_removed_route", request.request_id)

    # Checks of responses to callers.

    def observe_response(
        self, sent: SentRequest, response: Response, now_s: float
    ) -> None:
        """Checks a response that a caller received."""
        sent.response = response
        sent.ended_s = now_s
        request = sent.request
        detail = f"{request.request_id} {response.status} at {sent.entry}"
        if (
            response.status in _NOT_RUN_STATUSES
            and sent.executions
            and response.is_complete
        ):
            self.add("false_not_run", detail)
        if (
            response.status in _DENIED_STATUSES
            and sent.expectation is Expectation.SERVED
        ):
            self.add("proper_request_denied", detail)
        added_s = self.added_routes.get(request.path, now_s)
        if (
            response.status == _NOT_FOUND
            and request.path not in self.removed_routes
            and sent.sent_s > added_s + CONFIG_APPLY_BOUND_S
            and self.is_undisturbed(sent.sent_s, now_s, sent.entry)
        ):
            self.add("new_route_denied", detail)
        if HEADERS.proof in response.headers:
            self._check_proof(sent, response, detail)
        elif 200 <= response.status < 300:
            self.add("success_without_proof", detail)
        if request.kind is Kind.STREAM and response.status == 200:
            self._check_events(sent, response, detail)
        self._check_end(sent, response, detail)

    def _check_proof(
        self, sent: SentRequest, response: Response, detail: str
    ) -> None:
        request_id = sent.request.request_id
        proofs = {
            make_proof(item.replica, request_id) for item in sent.executions
        }
        if response.headers[HEADERS.proof] not in proofs:
            self.add("proof_of_another", detail)
        if not response.is_complete or sent.request.kind is Kind.STREAM:
            return
        expected = make_body(request_id)
        if response.status != 200:
            expected = b"failed"
        if response.body != expected:
            self.add("body_changed", f"{detail} {len(response.body)} bytes")

    def _check_events(
        self, sent: SentRequest, response: Response, detail: str
    ) -> None:
        request = sent.request
        first = int(request.last_event_id or -1) + 1
        complete_body = b"".join(
            make_event(request.request_id, number)
            for number in range(first, EVENT_COUNT)
        )
        if response.is_complete and response.body != complete_body:
            numbers = [int(item) for item in _EVENT_ID.findall(response.body)]
            self.add("events_changed", f"{detail} {numbers}")
        elif not complete_body.startswith(response.body):
            self.add("events_changed", f"{detail} in an incomplete response")

    def _check_end(
        self, sent: SentRequest, response: Response, detail: str
    ) -> None:
        if sent.caller_left_s:
            return
        duration_s = sent.ended_s - sent.sent_s
        undisturbed = self.is_undisturbed(sent.sent_s, sent.ended_s, sent.entry)
        limit_s = self._timeouts[sent.request.kind] + TIMEOUT_SLACK_S
        if undisturbed and duration_s > limit_s:
            self.add("late_final_answer", f"{detail} after {duration_s:.1f} s")
        replicas = [item.replica for item in sent.arrivals]
        if (
            undisturbed
            and sent.is_connection_reused
            and not response.status
            and not response.timed_out
            and replicas
            and self.is_undisturbed(sent.sent_s, sent.ended_s, *replicas)
        ):
            self.add("lost_on_kept_connection", detail)

    # Checks after the run.

    def check_retry_budget(self) -> None:
        """Checks that the retries in each window are within the budget."""
        first_sent_times = sorted(item.sent_s for item in self.sent.values())
        retry_times = sorted(
            arrival.arrived_at_s
            for item in self.sent.values()
            for arrival in item.arrivals[1:]
        )
        for index, start_s in enumerate(retry_times):
            end_s = start_s + RETRY_BUDGET_WINDOW_S
            count = sum(1 for at_s in retry_times[index:] if at_s < end_s)
            offered = sum(
                1 for at_s in first_sent_times if start_s <= at_s < end_s
            )
            before = sum(
                1
                for at_s in first_sent_times
                if start_s - RETRY_BUDGET_WINDOW_S <= at_s < start_s
            )
            allowed = (
                RETRY_BUDGET_RATIO * max(offered, before) + RETRY_BUDGET_EXTRA
            )
            if count > allowed:
                self.add(
                    "budget_exceeded", f"{count} retries, {allowed:.0f} allowed"
                )
                return

    def record_limit(self, replica: str, limit: float, begun_s: float) -> None:
        """Records a limit that a replica has named since a time until now."""
        self._named_limits.append((replica, limit, begun_s, time.time()))

    def check_server_limits(self) -> None:
        """Checks the requests of all entries at replicas that name limits.

        Requests of processes that have not passed on a response with the limit
        do not count, since a process that starts cannot know it.
        """
        for replica, limit, begun_s, ended_s in self._named_limits:
            arrivals = sorted(
                (arrival.arrived_at_s, sent.entry)
                for sent in self.sent.values()
                for arrival in sent.arrivals
                if arrival.replica == replica
                and begun_s <= arrival.arrived_at_s <= ended_s
            )
            counted = [
                (at_s, entry)
                for at_s, entry in arrivals
                if at_s >= begun_s + LIMIT_NOTICE_S
                and self._get_known_s(arrivals, at_s, entry) >= LIMIT_LEARNING_S
            ]
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_EXTRA
            for index, (start_s, _) in enumerate(counted):
                window = [
                    f"{entry} {at_s - start_s:.2f} s"
                    for at_s, entry in counted[index:]
                    if at_s < start_s + LIMIT_WINDOW_S
                ]
                if len(window) > allowed:
                    self.add(
                        "limit_exceeded",
                        f"{replica}: {len(window)} requests, {allowed:.0f} "
                        f"allowed: {'; '.join(window)}",
                    )
                    break

    def _get_known_s(
        self, arrivals: list[tuple[float, str]], at_s: float, entry: str
    ) -> float:
        """Returns for how long the process of an entry has known a limit.

        Args:
            arrivals: Unix times of requests at a replica that names a limit,
                and the entries that sent them.
            at_s: Unix time in seconds.
            entry: Name of the entry.
        """
        restarts = self._timeline.find(
            0.0, at_s, entry, kinds="kill kill_all stop disturbed_stop"
        )
        # The old process ends before the interval of its restart does.
        started_s = max(
            (min(at_s, item.end_s) for item in restarts), default=0.0
        )
        learned_s = min(
            (
                earlier_s
                for earlier_s, name in arrivals
                if name == entry and started_s < earlier_s < at_s
            ),
            default=at_s,
        )
        return at_s - learned_s

    def check_recovery(self, recovery_start_s: float) -> None:
        """Checks the share of requests served after the last fault."""
        recovery_requests = [
            item
            for item in self.sent.values()
            if item.sent_s > recovery_start_s
            and not item.caller_left_s
            and item.expectation is Expectation.SERVED
        ]
        served = sum(
            item.response is not None
            and item.response.status == 200
            and item.response.is_complete
            for item in recovery_requests
        )
        if not recovery_requests or served < MIN_SERVED_SHARE * len(
            recovery_requests
        ):
            failed = collections.Counter(
                (
                    item.entry,
                    item.request.kind.name,
                    item.response.status,
                    len(item.response.body),
                    len(item.arrivals),
                )
                for item in recovery_requests
                if item.response and not item.response.is_complete
            )
            self.add(
                "not_recovered",
                f"{served} of {len(recovery_requests)} served, {failed}",
            )

    def check_log(self, name: str, text: str) -> None:
        """Checks the log of a process for tracebacks and malformed lines."""
        for line in text.splitlines():
            if _LOG_PROBLEM.search(line):
                self.add("traceback", f"{name}: {line[:200]}")
            elif line.startswith("{"):
                try:
                    json.loads(line)
                except ValueError:
                    self.add("malformed_log_line", f"{name}: {line[:200]}")
