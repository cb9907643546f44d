"""Checks of a soak run against the records of engines and services."""

import collections
import json
import pathlib
import re
from collections.abc import Iterable
from typing import Any

from soak_operators import Operators
from soak_records import Ending, Timeline, Try, Violations

from chicoryplank_standins.calls import CallKind

LEAVING_LIMIT_S = 5.0
VERSION_LIMIT_S = 7.0
_POLL_SLACK_S = 0.5
# An agent asks its backend server for the load; plain services record that.
_PROBE = "/load"
_CODE = re.compile(r"CP\d{4}")
_VERDICTS = frozenset({"not_run", "may_have_run", "ran"})
_TRUNCATED = frozenset(
    {
        "the stream ended before the [DONE] event",
        "the response has an unexpected structure",
    }
)
_DEAD = "kill zone"
_SILENT = "kill zone pause"
# Faults that may make a version late at an entry.
_STORE = "store_down store_slow store_loses_answers"
# Operations that must not break any request.
_HARMLESS = frozenset(
    {
        "leaving",
        "draining",
        "stop_entry",
        "stop_agent",
        "replace_entries",
        "instances_lag",
    }
)
_PLANNED = "leaving draining stop_entry stop_agent replace_entries"


def _describe(item: Try, start_s: float) -> str:
    outcome = item.outcome
    return (
        f"{item.call.kind.value} at {item.sent_s - start_s:.2f} to "
        f"{item.ended_s - start_s:.2f} s through {item.entry}, "
        f"first {item.is_first}: {item.ending.value} {outcome.refusal} "
        f"{outcome.verdict} {outcome.defect}, "
        f"{item.call.headers.get('Idempotency-Key', '')}"
    )


def check_answer(
    item: Try, timeline: Timeline, violations: Violations, start_s: float
) -> None:
    """Every answer is the caller's own and whole, or a coded error."""
    outcome = item.outcome
    about = _describe(item, start_s)
    span = (item.sent_s, item.ended_s, item.entry)
    is_dead = bool(timeline.find(*span, kinds=_DEAD))
    if item.ending is Ending.BROKEN and not is_dead:
        violations.add("broken", about)
    if item.ending is Ending.TIMED_OUT and not timeline.find(
        *span, kinds=_SILENT
    ):
        violations.add("no_answer", about)
    if outcome.defect and not (is_dead and outcome.defect in _TRUNCATED):
        violations.add("wrong_answer", about)
    if outcome.refusal and not (
        _CODE.fullmatch(outcome.refusal) and outcome.verdict in _VERDICTS
    ):
        violations.add("uncoded_error", about)


def check_planned(
    tries: Iterable[Try],
    timeline: Timeline,
    violations: Violations,
    start_s: float,
) -> int:
    """A planned stop breaks no request; returns the requests judged.

    Judged are first tries beside a planned stop and away from every fault.
    """
    judged = 0
    for item in tries:
        if not item.is_first or item.ending in (Ending.GONE, Ending.LATE):
            continue
        if not timeline.find(item.sent_s, item.ended_s, kinds=_PLANNED):
            continue
        near = timeline.find(item.sent_s - 2, item.ended_s)
        if any(other.kind not in _HARMLESS for other in near):
            continue
        judged += 1
        if item.ending is Ending.UNREACHED or not item.outcome.is_correct:
            violations.add("planned_stop", _describe(item, start_s))
    return judged


def check_runs(
    tries: Iterable[Try],
    records: dict[str, list[dict[str, Any]]],
    violations: Violations,
    start_s: float,
) -> dict[str, int]:
    """Compares what ran with what the callers were told."""
    runs: collections.Counter[str] = collections.Counter()
    key_runs: collections.Counter[str] = collections.Counter()
    for record in (item for found in records.values() for item in found):
        is_read = record.get("method") == "GET"
        runs[record["path" if is_read else "body_sha256"]] += record["count"]
        if key := record.get("idempotency_key"):
            key_runs[key] += record["count"]
    for key, count in key_runs.items():
        if count > 1:
            violations.add("ran_twice", f"{key} ran {count} times")
    by_call: dict[str, list[Try]] = collections.defaultdict(list)
    for item in tries:
        by_call[item.call.record_key].append(item)
    counts = collections.Counter(keys=len(key_runs))
    for key, items in by_call.items():
        about = "; ".join(_describe(item, start_s) for item in items)
        possible = sum(item.may_have_run for item in items)
        is_bounded = items[0].call.kind is CallKind.WRITE or not possible
        counts["not_run_judged"] += not possible
        if is_bounded and runs[key] > possible:
            violations.add("not_run_ran", f"ran {runs[key]} times: {about}")
        if not runs[key] and any(item.outcome.is_correct for item in items):
            violations.add("unrecorded", about)
    return dict(counts)


def check_leaving(
    records: dict[str, list[dict[str, Any]]],
    timeline: Timeline,
    violations: Violations,
    start_s: float,
) -> int:
    """A leaving backend gets nothing new; returns the intervals judged."""
    judged = 0
    for interval in timeline.intervals:
        if interval.kind not in ("leaving", "draining"):
            continue
        (backend,) = interval.targets
        first_s = interval.start_s + LEAVING_LIMIT_S
        if interval.kind == "draining" and timeline.find(
            interval.start_s, first_s, kinds=_STORE
        ):
            # The drain cannot be read while the store is not up.
            continue
        judged += 1
        for record in records[backend]:
            if record["path"] == _PROBE:
                continue
            for time_s in record["times_s"]:
                if not first_s < time_s < interval.end_s:
                    continue
                # A paused process works off what it had accepted before.
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
    return judged


def check_recovery(
    tries: Iterable[Try],
    records: dict[str, list[dict[str, Any]]],
    healed_s: float,
    violations: Violations,
    start_s: float,
) -> None:
    """After the last fault every request is served, by every backend."""
    for item in tries:
        if item.sent_s < healed_s or item.ending in (Ending.GONE, Ending.LATE):
            continue
        if item.is_first and not item.outcome.is_correct:
            violations.add("not_recovered", _describe(item, start_s))
    for backend, found in records.items():
        works = any(
            time_s > healed_s
            for record in found
            if record["path"] != _PROBE
            for time_s in record["times_s"]
        )
        if not works:
            violations.add("idle_backend", backend)


def check_versions(
    operators: Operators,
    timeline: Timeline,
    violations: Violations,
    end_s: float,
) -> int:
    """Versions grow and spread in time; returns the cases judged."""
    by_entry = collections.defaultdict(list)
    for sighting in operators.sightings:
        by_entry[sighting.entry].append(sighting)
    judged = 0
    for entry, seen in by_entry.items():
        for before, after in zip(seen, seen[1:], strict=False):
            if after.version < before.version:
                violations.add(
                    "version_went_back",
                    f"{entry}: {before.version} then {after.version}",
                )
        for change in operators.confirmed:
            due_s = change.at_s + VERSION_LIMIT_S
            span = (change.at_s, due_s)
            if due_s > end_s or timeline.find(*span, kinds=_STORE):
                continue
            if timeline.find(
                *span, entry, f"store-{entry}", f"control-{entry}"
            ):
                continue
            judged += 1
            in_time = any(
                sighting.version >= change.version
                for sighting in seen
                if sighting.asked_s <= due_s + _POLL_SLACK_S
            )
            if not in_time:
                violations.add(
                    "version_late", f"{entry} misses {change.version}"
                )
    return judged


def check_races(operators: Operators, violations: Violations) -> None:
    """Exactly one of racing confirmations wins."""
    for codes in operators.races:
        if codes.count(0) != 1:
            violations.add("race", f"exit codes {codes}")
    versions = [item.version for item in operators.confirmed]
    if len(versions) != len(set(versions)):
        violations.add("race", "two confirmations got the same version")
    for failure in operators.failures:
        violations.add("operator", failure[:300])


def read_logs(folder: pathlib.Path, violations: Violations) -> dict[str, int]:
    """Finds violated invariants in the logs; returns events by number."""
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
