"""Checks a soak test against the records of engines and services."""

import collections
import json
import pathlib
import re
from collections.abc import Iterable
from typing import Any

from soak_operators import Operators
from soak_records import CallerAttempt, EndReason, Timeline, Violations

from chicoryplank_standins.calls import CallKind

# Time within which a draining backend server must get no more new requests.
LEAVING_BOUND_S = 5.0
# Time within which every entry must serve a confirmed version.
VERSION_BOUND_S = 7.0
_POLL_TOLERANCE_S = 0.5
# Agents poll the load of their backend servers; services record the requests.
_LOAD_PATH = "/load"
_ERROR_CODE = re.compile(r"CP\d{4}")
_VERDICTS = frozenset({"not_run", "may_have_run", "ran"})
_TRUNCATION_FAULTS = frozenset(
    {
        "the stream ended before the [DONE] event",
        "the response has an unexpected structure",
    }
)
# Faults that may break a connection or leave a request without a response.
_KILLING_KINDS = "kill zone"
_SILENCING_KINDS = "kill zone pause"
# Faults of the store, which may delay a version at an entry.
_STORE_KINDS = "store_down store_slow store_loses_answers"
# Operations that must not make any request fail.
_NON_DISRUPTIVE_KINDS = frozenset(
    {
        "leaving",
        "draining",
        "stop_entry",
        "stop_agent",
        "replace_entries",
        "instances_lag",
    }
)
_PLANNED_STOP_KINDS = "leaving draining stop_entry stop_agent replace_entries"


def _describe(item: CallerAttempt, start_s: float) -> str:
    outcome = item.outcome
    return (
        f"{item.call.kind.value} at {item.sent_s - start_s:.2f} to "
        f"{item.ended_s - start_s:.2f} s through {item.entry}, "
        f"first {item.is_first}: {item.end_reason.value} {outcome.refusal} "
        f"{outcome.verdict} {outcome.defect}, "
        f"{item.call.headers.get('Idempotency-Key', '')}"
    )


def check_response(
    item: CallerAttempt,
    timeline: Timeline,
    violations: Violations,
    start_s: float,
) -> None:
    """Checks that a response is complete and correct or a coded error."""
    outcome = item.outcome
    description = _describe(item, start_s)
    time_span = (item.sent_s, item.ended_s, item.entry)
    is_killed = bool(timeline.find(*time_span, kinds=_KILLING_KINDS))
    if item.end_reason is EndReason.CONNECTION_BROKEN and not is_killed:
        violations.add("broken", description)
    if item.end_reason is EndReason.TIMED_OUT and not timeline.find(
        *time_span, kinds=_SILENCING_KINDS
    ):
        violations.add("no_answer", description)
    if outcome.defect and not (
        is_killed and outcome.defect in _TRUNCATION_FAULTS
    ):
        violations.add("wrong_answer", description)
    if outcome.refusal and not (
        _ERROR_CODE.fullmatch(outcome.refusal) and outcome.verdict in _VERDICTS
    ):
        violations.add("uncoded_error", description)


def check_planned_stops(
    attempts: Iterable[CallerAttempt],
    timeline: Timeline,
    violations: Violations,
    start_s: float,
) -> int:
    """Checks that requests succeed during planned stops.

    An attempt is checked if it is the first of its call, overlaps a planned
    stop, and no fault was in effect during it or in the two seconds before.

    Returns:
        Number of attempts checked.
    """
    checked_count = 0
    for item in attempts:
        if not item.is_first or item.end_reason in (
            EndReason.CALLER_LEFT,
            EndReason.EARLY_RETRY,
        ):
            continue
        if not timeline.find(
            item.sent_s, item.ended_s, kinds=_PLANNED_STOP_KINDS
        ):
            continue
        nearby_faults = timeline.find(item.sent_s - 2, item.ended_s)
        if any(
            other.kind not in _NON_DISRUPTIVE_KINDS for other in nearby_faults
        ):
            continue
        checked_count += 1
        if (
            item.end_reason is EndReason.ENTRY_UNREACHABLE
            or not item.outcome.is_correct
        ):
            violations.add("planned_stop", _describe(item, start_s))
    return checked_count


def check_executions(
    attempts: Iterable[CallerAttempt],
    records: dict[str, list[dict[str, Any]]],
    violations: Violations,
    start_s: float,
) -> dict[str, int]:
    """Compares the recorded executions with the verdicts sent to the callers.

    Returns:
        Number of idempotency keys, and of calls that must not have run.
    """
    execution_counts: collections.Counter[str] = collections.Counter()
    key_execution_counts: collections.Counter[str] = collections.Counter()
    for record in (
        item for backend_records in records.values() for item in backend_records
    ):
        is_read = record.get("method") == "GET"
        execution_counts[record["path" if is_read else "body_sha256"]] += (
            record["count"]
        )
        if key := record.get("idempotency_key"):
            key_execution_counts[key] += record["count"]
    for key, count in key_execution_counts.items():
        if count > 1:
            violations.add("ran_twice", f"{key} was executed {count} times")
    attempts_by_call: dict[str, list[CallerAttempt]] = collections.defaultdict(
        list
    )
    for item in attempts:
        attempts_by_call[item.call.record_key].append(item)
    counts = collections.Counter(keys=len(key_execution_counts))
    for key, items in attempts_by_call.items():
        description = "; ".join(_describe(item, start_s) for item in items)
        possible_executions = sum(item.may_have_run for item in items)
        is_bounded = (
            items[0].call.kind is CallKind.WRITE or not possible_executions
        )
        counts["not_run_judged"] += not possible_executions
        if is_bounded and execution_counts[key] > possible_executions:
            violations.add(
                "not_run_ran",
                f"executed {execution_counts[key]} times: {description}",
            )
        if not execution_counts[key] and any(
            item.outcome.is_correct for item in items
        ):
            violations.add("unrecorded", description)
    return dict(counts)


def check_leaving_backends(
    records: dict[str, list[dict[str, Any]]],
    timeline: Timeline,
    violations: Violations,
    start_s: float,
) -> int:
    """Checks that a draining backend server gets no new requests.

    Returns:
        Number of drain intervals checked.
    """
    checked_count = 0
    for interval in timeline.intervals:
        if interval.kind not in ("leaving", "draining"):
            continue
        (backend,) = interval.targets
        first_s = interval.start_s + LEAVING_BOUND_S
        if interval.kind == "draining" and timeline.find(
            interval.start_s, first_s, kinds=_STORE_KINDS
        ):
            # Entries cannot read the drain from the store during its fault.
            continue
        checked_count += 1
        for record in records[backend]:
            if record["path"] == _LOAD_PATH:
                continue
            for time_s in record["times_s"]:
                if not first_s < time_s < interval.end_s:
                    continue
                # A process that was paused still executes the requests that it
                # had accepted before the pause.
                if timeline.find(
                    interval.start_s,
                    time_s,
                    backend,
                    f"agent-{backend}",
                    kinds="pause",
                ):
                    continue
                violations.add(
                    "leaving_got_work",
                    f"{backend} ({interval.kind} at "
                    f"{interval.start_s - start_s:.2f}) at "
                    f"{time_s - start_s:.2f} s: {record['path']}",
                )
    return checked_count


def check_recovery(
    attempts: Iterable[CallerAttempt],
    records: dict[str, list[dict[str, Any]]],
    recovery_start_s: float,
    violations: Violations,
    start_s: float,
) -> None:
    """Checks the requests and backend servers after the last fault.

    All requests must succeed, and each backend server must execute some.
    """
    for item in attempts:
        if item.sent_s < recovery_start_s or item.end_reason in (
            EndReason.CALLER_LEFT,
            EndReason.EARLY_RETRY,
        ):
            continue
        if item.is_first and not item.outcome.is_correct:
            violations.add("not_recovered", _describe(item, start_s))
    for backend, backend_records in records.items():
        has_executed_requests = any(
            time_s > recovery_start_s
            for record in backend_records
            if record["path"] != _LOAD_PATH
            for time_s in record["times_s"]
        )
        if not has_executed_requests:
            violations.add("idle_backend", backend)


def check_versions(
    operators: Operators,
    timeline: Timeline,
    violations: Violations,
    end_s: float,
) -> int:
    """Checks that entries serve rising versions, each within its bound.

    Returns:
        Number of pairs of an entry and a change checked.
    """
    by_entry = collections.defaultdict(list)
    for observed in operators.observed_versions:
        by_entry[observed.entry].append(observed)
    checked_count = 0
    for entry, observed_at_entry in by_entry.items():
        for before, after in zip(
            observed_at_entry, observed_at_entry[1:], strict=False
        ):
            if after.version < before.version:
                violations.add(
                    "version_went_back",
                    f"{entry}: {before.version} then {after.version}",
                )
        for change in operators.confirmed:
            latest_s = change.at_s + VERSION_BOUND_S
            time_span = (change.at_s, latest_s)
            if latest_s > end_s or timeline.find(
                *time_span, kinds=_STORE_KINDS
            ):
                continue
            if timeline.find(
                *time_span, entry, f"store-{entry}", f"control-{entry}"
            ):
                continue
            checked_count += 1
            is_on_time = any(
                observed.version >= change.version
                for observed in observed_at_entry
                if observed.asked_s <= latest_s + _POLL_TOLERANCE_S
            )
            if not is_on_time:
                violations.add(
                    "version_late",
                    f"{entry} did not serve version {change.version} in time",
                )
    return checked_count


def check_races(operators: Operators, violations: Violations) -> None:
    """Checks that exactly one of several concurrent confirmations succeeds."""
    for codes in operators.races:
        if codes.count(0) != 1:
            violations.add("race", f"exit codes {codes}")
    versions = [item.version for item in operators.confirmed]
    if len(versions) != len(set(versions)):
        violations.add("race", "two confirmations created the same version")
    for failure in operators.failures:
        violations.add("operator", failure[:300])


def read_logs(folder: pathlib.Path, violations: Violations) -> dict[str, int]:
    """Finds tracebacks and violated invariants (event 1004) in the logs.

    Returns:
        Number of log lines of each event, by event number.
    """
    events: collections.Counter[str] = collections.Counter()
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith("Traceback") and path.name.startswith(
                ("agent-", "entry-")
            ):
                violations.add("traceback", path.name)
            if not line.startswith('{"time"'):
                continue
            document = json.loads(line)
            events[str(document["event"])] += 1
            if document["event"] == 1004:
                violations.add("event_1004", f"{path.name}: {line[:300]}")
    return dict(sorted(events.items()))
