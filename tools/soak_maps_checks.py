"""Checks of the engine records and logs after a run of soak_maps.py."""

import pathlib
import statistics
from collections.abc import Mapping, Set
from typing import Any

Records = Mapping[str, Mapping[str, Any]]


def check_engines(records: Records, stale_order_ids: Set[str]) -> list[str]:
    """Returns the violations that the records of the engines show.

    Args:
        records: Records of each engine by name.
        stale_order_ids: Ids of the orders sent under an outdated token.
    """
    violations = []
    for engine, document in records.items():
        if document["mixed_steps"]:
            violations.append(
                f"{engine}: {document['mixed_steps']} mixed steps"
            )
        violations += _check_orders(engine, document, stale_order_ids)
    first, *others = records
    for other in others:
        violations += _compare_maps(
            f"{first} and {other}",
            records[first]["map_steps"],
            records[other]["map_steps"],
        )
    return violations


def _check_orders(
    engine: str, document: Mapping[str, Any], stale_order_ids: Set[str]
) -> list[str]:
    violations = []
    highest_token = 0
    for order in document["orders"]:
        if order["order_id"] in stale_order_ids:
            violations.append(f"{engine}: stale order {order} took effect")
        if order["token"] < highest_token:
            violations.append(
                f"{engine}: {order} came after token {highest_token}"
            )
        highest_token = max(highest_token, order["token"])
    if "stale" in (document["role"], document["version"]):
        violations.append(f"{engine}: a stale order changed role or version")
    return violations


def _compare_maps(
    name: str, left: list[dict[str, Any]], right: list[dict[str, Any]]
) -> list[str]:
    """Compares the expert maps of two engines in all steps that both ran."""
    violations = []
    left_index = right_index = 0
    while left_index < len(left) and right_index < len(right):
        left_entry, right_entry = left[left_index], right[right_index]
        start = max(left_entry["first_step"], right_entry["first_step"])
        end = min(left_entry["last_step"], right_entry["last_step"])
        maps = set(left_entry["digests"]) | set(right_entry["digests"])
        if start <= end and len(maps) > 1:
            violations.append(
                f"{name}: steps {start} to {end} have maps {maps}"
            )
        if left_entry["last_step"] <= right_entry["last_step"]:
            left_index += 1
        else:
            right_index += 1
    return violations


def check_logs(folder: pathlib.Path) -> list[str]:
    """Returns the log lines about violated invariants and tracebacks."""
    violations = []
    for path in sorted(folder.glob("*.log")):
        if not path.name.startswith(("agent-", "entry-")):
            continue
        for line in path.read_text(errors="replace").splitlines():
            if "invariant" in line or "Traceback" in line:
                violations.append(f"{path.name}: {line[:200]}")
    return violations


def measure_lost_steps(records: Records, step_s: float) -> dict[str, Any]:
    """Returns statistics of the steps lost at switches and other stops.

    The engines run in lock-step, so the longest gap of any engine at a step is
    the gap of the group. The lost steps are the steps of normal duration that
    would have fitted into the gap, less the one that was run.

    Args:
        records: Records of each engine by name.
        step_s: Normal duration of a step in seconds.
    """
    gaps: dict[tuple[int, bool], float] = {}
    for document in records.values():
        for stop in document["stops"]:
            key = (stop["step"], stop["switches"])
            gaps[key] = max(gaps.get(key, 0.0), stop["gap_s"])
    lost_steps: dict[bool, list[float]] = {True: [], False: []}
    for (_, switches), gap_s in gaps.items():
        lost_steps[switches].append(max(0.0, gap_s / step_s - 1))
    steps = min(
        document["map_steps"][-1]["last_step"] if document["map_steps"] else 0
        for document in records.values()
    )
    return {
        "steps": steps,
        "switches": len(lost_steps[True]),
        "steps_lost_by_switch": _summarize(lost_steps[True]),
        "stops_without_switch": len(lost_steps[False]),
        "steps_lost_by_stop": _summarize(lost_steps[False]),
    }


def _summarize(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        "median": round(statistics.median(values), 1),
        "mean": round(statistics.fmean(values), 1),
        "max": round(max(values), 1),
    }
