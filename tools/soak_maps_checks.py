"""Checks of the engines' records after a run of soak_maps.py."""

import pathlib
import statistics
from collections.abc import Mapping, Set
from typing import Any

Records = Mapping[str, Mapping[str, Any]]


def check_engines(records: Records, stale_ids: Set[str]) -> list[str]:
    """Returns what the records of the engines violate."""
    found = []
    for engine, document in records.items():
        if document["mixed_steps"]:
            found.append(f"{engine}: {document['mixed_steps']} mixed steps")
        found += _check_orders(engine, document, stale_ids)
    first, *others = records
    for other in others:
        found += _compare_maps(
            f"{first} and {other}",
            records[first]["map_steps"],
            records[other]["map_steps"],
        )
    return found


def _check_orders(
    engine: str, document: Mapping[str, Any], stale_ids: Set[str]
) -> list[str]:
    found = []
    highest = 0
    for order in document["orders"]:
        if order["order_id"] in stale_ids:
            found.append(f"{engine}: old order {order} took effect")
        if order["token"] < highest:
            found.append(f"{engine}: {order} came after token {highest}")
        highest = max(highest, order["token"])
    if "stale" in (document["role"], document["version"]):
        found.append(f"{engine}: an old order changed role or version")
    return found


def _compare_maps(
    name: str, left: list[dict[str, Any]], right: list[dict[str, Any]]
) -> list[str]:
    """Compares the maps of two engines in all steps that both have run."""
    found = []
    one = other = 0
    while one < len(left) and other < len(right):
        first, second = left[one], right[other]
        start = max(first["first_step"], second["first_step"])
        end = min(first["last_step"], second["last_step"])
        maps = set(first["digests"]) | set(second["digests"])
        if start <= end and len(maps) > 1:
            found.append(f"{name}: steps {start} to {end} have maps {maps}")
        if first["last_step"] <= second["last_step"]:
            one += 1
        else:
            other += 1
    return found


def check_logs(folder: pathlib.Path) -> list[str]:
    """Returns violated invariants and unhandled exceptions in the logs."""
    found = []
    for path in sorted(folder.glob("*.log")):
        if not path.name.startswith(("agent-", "entry-")):
            continue
        for line in path.read_text(errors="replace").splitlines():
            if "invariant" in line or "Traceback" in line:
                found.append(f"{path.name}: {line[:200]}")
    return found


def measure_stops(records: Records, step_s: float) -> dict[str, Any]:
    """Returns how many steps the group lost at switches and aborts.

    All engines step together, so a step is as late as on the latest one.
    """
    gaps: dict[tuple[int, bool], float] = {}
    for document in records.values():
        for stop in document["stops"]:
            key = (stop["step"], stop["switches"])
            gaps[key] = max(gaps.get(key, 0.0), stop["gap_s"])
    lost: dict[bool, list[float]] = {True: [], False: []}
    for (_, switches), gap_s in gaps.items():
        lost[switches].append(max(0.0, gap_s / step_s - 1))
    steps = min(
        document["map_steps"][-1]["last_step"] if document["map_steps"] else 0
        for document in records.values()
    )
    return {
        "steps": steps,
        "switches": len(lost[True]),
        "steps_lost_by_switch": _summarize(lost[True]),
        "stops_without_switch": len(lost[False]),
        "steps_lost_by_stop": _summarize(lost[False]),
    }


def _summarize(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        "median": round(statistics.median(values), 1),
        "mean": round(statistics.fmean(values), 1),
        "max": round(max(values), 1),
    }
