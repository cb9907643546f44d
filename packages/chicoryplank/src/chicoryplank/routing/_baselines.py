"""Simple routing policies, as baselines for the balanced policy."""

from datetime import datetime

from chicoryplank.ids import InstanceId
from chicoryplank.routing._types import (
    Candidate,
    LoadReport,
    Policy,
    Report,
    RoutingRequest,
    is_eligible,
)


def _ignore_report(report: Report) -> None:
    pass


def _ignore_begin(instance: InstanceId, cost: float, now: datetime) -> None:
    pass


def _ignore_end(
    instance: InstanceId, cost: float, now: datetime, succeeded: bool | None
) -> None:
    pass


def make_round_robin_policy(start: int = 0) -> Policy:
    """Returns a policy that chooses the eligible candidates in turn.

    Args:
        start: Position of the first choice. Different positions keep entries
            from choosing the same replica at the same time.
    """
    position = start

    def choose(
        request: RoutingRequest,
        candidates: tuple[Candidate, ...],
        now: datetime,
    ) -> InstanceId | None:
        nonlocal position
        for _ in candidates:
            candidate = candidates[position % len(candidates)]
            position += 1
            if is_eligible(request, candidate):
                return candidate.instance
        return None

    return Policy(choose, _ignore_report, _ignore_begin, _ignore_end)


def make_least_load_policy() -> Policy:
    """Returns a policy that chooses the lowest load in the last reports.

    All requests between two reports go to one replica, and all entries with
    the same reports choose the same one.
    """
    loads: dict[InstanceId, int] = {}
    known: tuple[Candidate, ...] = ()

    def choose(
        request: RoutingRequest,
        candidates: tuple[Candidate, ...],
        now: datetime,
    ) -> InstanceId | None:
        nonlocal known
        if candidates is not known:
            known = candidates
            names = {candidate.instance for candidate in candidates}
            for name in loads.keys() - names:
                del loads[name]
        eligible = [
            candidate.instance
            for candidate in candidates
            if is_eligible(request, candidate)
        ]
        return min(eligible, key=lambda name: loads.get(name, 0), default=None)

    def observe(report: Report) -> None:
        if isinstance(report, LoadReport):
            loads[report.instance] = report.running + report.queued

    return Policy(choose, observe, _ignore_begin, _ignore_end)
