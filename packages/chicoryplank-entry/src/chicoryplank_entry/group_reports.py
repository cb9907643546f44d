"""Functions that combine the reports of the engines of one group."""

from collections.abc import Mapping

from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import Incarnation, InstanceId, RankId
from chicoryplank.orders import MapDocument
from chicoryplank_entry import metrics
from chicoryplank_entry.engines import EngineReport

Reports = Mapping[InstanceId, EngineReport]


def record_order_failure(
    report: EngineReport, kind: str, error: ChicoryplankError
) -> None:
    """Counts and logs an order that failed at an agent."""
    metrics.ORDERS_FAILED.labels(error.code.value).inc()
    emit(Event.ORDER_FAILED, kind=kind, agent=report.agent, error=error.message)


def make_join_arguments(document: MapDocument, step: int) -> dict[str, object]:
    """Returns the arguments of the order that starts a replacement engine.

    They include a recorded decision. Otherwise the replacement could run past
    the first step of the new map before it learns of the decision.

    Args:
        document: Recorded state of the group's expert map.
        step: Step that the replacement starts at.
    """
    decision = document.decision
    active_digest = document.in_force.digest
    if decision is None:
        return {"digest": active_digest, "step": step}
    if step >= decision.first_step:
        return {"digest": decision.digest, "step": step}
    return {
        "digest": active_digest,
        "step": step,
        "next_digest": decision.digest,
        "first_step": decision.first_step,
    }


def get_members(reports: Reports) -> dict[RankId, Incarnation]:
    """Returns the engine incarnation of each rank that reports experts."""
    return {
        rank: report.engine_incarnation
        for report in reports.values()
        if report.experts
        for rank in report.ranks
    }


def get_active_digests(reports: Reports) -> set[str]:
    """Returns the digests of the maps that are active at the ranks."""
    return {
        rank.digest
        for report in reports.values()
        if report.experts
        for rank in report.ranks.values()
    }


def get_next_step(reports: Reports) -> int:
    """Returns the highest next step of all engines."""
    return max(report.step for report in reports.values())


def sum_loads(reports: Reports) -> list[float]:
    """Returns the total load of each expert; empty if a report has none.

    A sum that lacks one engine would look like a change of the load.
    """
    load_vectors = [
        report.loads for report in reports.values() if report.experts
    ]
    if not load_vectors or any(
        len(vector) != len(load_vectors[0]) for vector in load_vectors
    ):
        return []
    return [float(sum(counts)) for counts in zip(*load_vectors, strict=True)]


def get_unjoined_engines(
    document: MapDocument, reports: Reports
) -> list[EngineReport]:
    """Returns the engines that are not recorded or do not run steps yet."""
    return [
        report
        for report in reports.values()
        if report.experts
        and (
            not report.joined
            or any(
                document.members.get(rank) != report.engine_incarnation
                for rank in report.ranks
            )
        )
    ]
