"""What the reports of a group's engines say together."""

from collections.abc import Mapping

from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import Incarnation, InstanceId, RankId
from chicoryplank.orders import MapDocument
from chicoryplank_entry import metrics
from chicoryplank_entry.engines import EngineReport

Reports = Mapping[InstanceId, EngineReport]


def report_failure(
    report: EngineReport, kind: str, error: ChicoryplankError
) -> None:
    """Counts and logs an order that an agent did not carry out."""
    metrics.ORDERS_FAILED.labels(error.code.value).inc()
    emit(Event.ORDER_FAILED, kind=kind, agent=report.agent, error=error.message)


def make_start(document: MapDocument, step: int) -> dict[str, object]:
    """Returns the arguments that start a replacement at a step.

    The decision is part of the order. Otherwise the replacement could pass
    the first step of the new map before it hears of it.
    """
    decision = document.decision
    in_force = document.in_force.digest
    if decision is None:
        return {"digest": in_force, "step": step}
    if step >= decision.first_step:
        return {"digest": decision.digest, "step": step}
    return {
        "digest": in_force,
        "step": step,
        "next_digest": decision.digest,
        "first_step": decision.first_step,
    }


def find_members(reports: Reports) -> dict[RankId, Incarnation]:
    """Returns the incarnation of the engine of each rank."""
    return {
        rank: report.engine_incarnation
        for report in reports.values()
        if report.experts
        for rank in report.ranks
    }


def find_digests(reports: Reports) -> set[str]:
    """Returns the maps that ranks run."""
    return {
        rank.digest
        for report in reports.values()
        if report.experts
        for rank in report.ranks.values()
    }


def find_step(reports: Reports) -> int:
    """Returns the next step of the engine that is ahead."""
    return max(report.step for report in reports.values())


def sum_loads(reports: Reports) -> list[float]:
    """Returns the load of each expert; empty unless every engine told it.

    A sum without one engine would look like a change of the loads.
    """
    columns = [report.loads for report in reports.values() if report.experts]
    if not columns or any(len(item) != len(columns[0]) for item in columns):
        return []
    return [float(sum(counts)) for counts in zip(*columns, strict=True)]


def find_new(document: MapDocument, reports: Reports) -> list[EngineReport]:
    """Returns engines that are not recorded or have not started."""
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
