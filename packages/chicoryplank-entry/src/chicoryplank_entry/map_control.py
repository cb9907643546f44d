"""Control rounds that change the expert map of a model group."""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import (
    Incarnation,
    InstanceId,
    ModelGroupId,
    OperationId,
)
from chicoryplank.orders import (
    MapChange,
    MapDocument,
    Phase,
    Prepared,
    TokenSource,
    create_document,
    join_group,
)
from chicoryplank.rebalance import Decision, Policy, make_map, run_cooperatively
from chicoryplank.store import Store
from chicoryplank_entry import metrics
from chicoryplank_entry.engines import EngineClient, EngineReport
from chicoryplank_entry.group_reports import (
    Reports,
    get_active_digests,
    get_members,
    get_next_step,
    get_unjoined_engines,
    make_join_arguments,
    record_order_failure,
    sum_loads,
)


@dataclasses.dataclass(frozen=True, slots=True)
class MapTimes:
    """Timing parameters of an expert map change.

    Attributes:
        lead_time: Expected time from the start of a change to its stop step.
            Ranks that have prepared and know the decision by then do not wait.
        max_lead_time: Upper bound of the lead time, which each aborted change
            doubles.
        decision_timeout: Time after the lead time until an undecided change
            is aborted, since prepared ranks wait at the stop step.
        min_lead_steps: Minimum number of steps to the stop step; also used
            while the step rate is unknown.
        abort_backoff: Time after an aborted change without a new change.
    """

    lead_time: timedelta = timedelta(seconds=1.5)
    max_lead_time: timedelta = timedelta(seconds=12)
    decision_timeout: timedelta = timedelta(seconds=0.5)
    min_lead_steps: int = 50
    abort_backoff: timedelta = timedelta(seconds=5)


class MapController:
    """Changes the expert map of one group by one transition per round.

    The progress of a change is kept only in the stored document, so that a
    new controller continues the change of an earlier one.

    Args:
        group: Model group.
        store: Key-value store of the platform.
        lease: Source of the fencing token.
        engine_client: Client of the agents.
        clock: Source of time.
        policy: Policy that decides which experts to move.
        times: Timing parameters; default values if None.
    """

    def __init__(
        self,
        group: ModelGroupId,
        store: Store,
        lease: TokenSource,
        engine_client: EngineClient,
        clock: Clock,
        *,
        policy: Policy,
        times: MapTimes | None = None,
    ) -> None:
        self._group = group
        self._store = store
        self._engine_client = engine_client
        self._clock = clock
        self._policy = policy
        self._times = times or MapTimes()
        self._change = MapChange(store, group, lease, _make_operation_id)
        self._is_document_loaded = False
        self._lead_time = self._times.lead_time
        # Number of the change being prepared, and when preparation started.
        self._prepare_started: tuple[int, timedelta] = (0, timedelta())
        self._backoff_end = timedelta()
        # Step and time of the last measurement of the step rate.
        self._last_progress: tuple[int, timedelta] | None = None
        self._steps_per_s = 0.0
        self._moved_bytes = 0
        # Steps in the previous round of the engines that have joined.
        self._previous_steps: dict[InstanceId, int] | None = None

    def invalidate_document(self) -> None:
        """Makes the next round read the document from the store again."""
        self._is_document_loaded = False

    async def run_round(self, agent_count: int, reports: Reports) -> bool:
        """Makes the next transition of the group.

        Args:
            agent_count: Number of the group's agents in the instance list.
            reports: Reports of the engines that responded.

        Returns:
            Whether a change or the join of a replacement is in progress.

        Raises:
            ChicoryplankError: If a transition could not be recorded. The
                caller invalidates the document and runs the next round.
        """
        members = get_members(reports)
        if not members:
            return False
        self._measure_step_rate(reports)
        if not self._is_document_loaded:
            try:
                await self._change.load()
            except ChicoryplankError as error:
                if error.code is not ErrorCode.MAP_CHANGE_CONFLICT:
                    raise
                await self._create_document(agent_count, reports)
                return False
            self._is_document_loaded = True
        if get_unjoined_engines(self._change.document, reports):
            await self._join_replacements(agent_count, reports)
            self.invalidate_document()
            return True
        phase = self._change.document.phase
        handler = {
            Phase.IDLE: self._begin,
            Phase.PREPARING: self._prepare,
            Phase.READY: self._decide,
            Phase.DECIDED: self._finish,
        }[phase]
        await handler(reports)
        is_changing = self._change.document.phase is not Phase.IDLE
        if not is_changing:
            self.invalidate_document()
        return is_changing

    def _measure_step_rate(self, reports: Reports) -> None:
        step, now = get_next_step(reports), self._clock.elapsed()
        if self._last_progress is not None:
            previous_step, previous_time = self._last_progress
            seconds = (now - previous_time).total_seconds()
            if seconds < 1:
                return
            self._steps_per_s = max(0, step - previous_step) / seconds
        self._last_progress = (step, now)

    async def _create_document(
        self, agent_count: int, reports: Reports
    ) -> None:
        """Stores the first document once all ranks report the initial map."""
        members = get_members(reports)
        first_report = next(
            report for report in reports.values() if report.experts
        )
        if set(members) != set(range(first_report.total_ranks)):
            detail = (
                f"{len(members)} of {first_report.total_ranks} ranks responded"
            )
            emit(Event.GROUP_INCOMPLETE, group=self._group, detail=detail)
            return
        expert_map = make_map(
            first_report.experts,
            first_report.total_ranks,
            first_report.spare_slots,
        )
        if get_active_digests(reports) != {expert_map.digest}:
            detail = f"{agent_count} engines do not all run the initial map"
            emit(Event.GROUP_INCOMPLETE, group=self._group, detail=detail)
            return
        await create_document(self._store, self._group, expert_map, members)

    async def _join_replacements(
        self, agent_count: int, reports: Reports
    ) -> None:
        """Records replacement engines as members and starts them.

        The group cannot run steps without them, so it stops. It has stopped
        when the other engines report the same steps in two rounds. The
        replacements start at the highest step among them.
        """
        joined_steps = {
            name: item.step for name, item in reports.items() if item.joined
        }
        is_stopped = self._previous_steps == joined_steps
        self._previous_steps = joined_steps
        if len(reports) != agent_count or not is_stopped:
            return
        step = max(joined_steps.values(), default=0)
        for report in get_unjoined_engines(self._change.document, reports):
            if not report.ready:
                continue
            for rank in report.ranks:
                document, _ = await join_group(
                    self._store,
                    self._group,
                    rank,
                    report.engine_incarnation,
                    _make_operation_id,
                )
            if not report.joined:
                arguments = make_join_arguments(document, step)
                await self._place_orders([report], "join_map", arguments)
        self._previous_steps = None

    async def _begin(self, reports: Reports) -> None:
        document = self._change.document
        await self._withdraw_stale_votes(reports)
        loads = sum_loads(reports)
        if not loads or not self._may_change(document, reports):
            return
        now = self._clock.now()
        self._policy.observe(loads, now)
        decision = await run_cooperatively(
            self._policy.choose_cooperatively(document.in_force, now)
        )
        metrics.STEP_SKEW.labels(self._group).set(decision.current_skew)
        if not decision.moves or self._clock.elapsed() < self._backoff_end:
            return
        lead_steps = max(
            self._times.min_lead_steps,
            round(self._steps_per_s * self._lead_time.total_seconds()),
        )
        await self._change.begin(
            decision.expert_map, get_next_step(reports) + lead_steps
        )
        self._record_begun(decision)
        await self._prepare(reports)

    def _record_begun(self, decision: Decision) -> None:
        self._moved_bytes = decision.moved_bytes
        emit(
            Event.MAP_CHANGE_BEGUN,
            group=self._group,
            change=self._change.document.next_map.change,
            moves=len(decision.moves),
            skew=f"{decision.current_skew:.3f}",
        )

    def _may_change(self, document: MapDocument, reports: Reports) -> bool:
        """Returns whether all recorded ranks respond and run the active map."""
        return (
            get_members(reports) == dict(document.members)
            and get_active_digests(reports) == {document.in_force.digest}
            and all(report.ready for report in reports.values())
        )

    async def _withdraw_stale_votes(self, reports: Reports) -> None:
        """Aborts prepared maps that an aborted change left at ranks."""
        for report in reports.values():
            digests = {
                rank.prepared
                for rank in report.ranks.values()
                if rank.prepared and rank.first_step is None
            }
            for digest in digests:
                await self._place_orders(
                    [report], "abort_map", {"digest": digest}
                )

    async def _prepare(self, reports: Reports) -> None:
        document = self._change.document
        next_map = document.next_map
        if self._prepare_started[0] != next_map.change:
            self._prepare_started = (next_map.change, self._clock.elapsed())
        unprepared = [
            report
            for report in reports.values()
            if report.experts
            and not set(report.ranks) <= set(document.prepared)
        ]
        arguments = {
            "digest": next_map.expert_map.digest,
            "stop_step": next_map.stop_step,
        }
        completed = await self._place_orders(
            unprepared,
            "prepare_map",
            arguments,
            lambda report: {
                "slots": {
                    rank: next_map.expert_map.slots[rank]
                    for rank in report.ranks
                }
            },
        )
        votes = [
            Prepared(next_map.change, rank, incarnation)
            for report, incarnation in completed
            for rank in report.ranks
        ]
        if votes:
            await self._change.record_prepared(votes)
        if self._change.document.phase is Phase.READY:
            await self._decide(reports)
            return
        waited = self._clock.elapsed() - self._prepare_started[1]
        has_passed_stop_step = get_next_step(reports) > next_map.stop_step
        if (
            has_passed_stop_step
            or waited > self._lead_time + self._times.decision_timeout
        ):
            await self._abort(reports)

    async def _abort(self, reports: Reports) -> None:
        digest = self._change.document.next_map.expert_map.digest
        await self._change.abort()
        metrics.MAP_CHANGES.labels(self._group, "aborted").inc()
        self._lead_time = min(2 * self._lead_time, self._times.max_lead_time)
        self._backoff_end = self._clock.elapsed() + self._times.abort_backoff
        await self._place_orders(
            reports.values(), "abort_map", {"digest": digest}
        )

    async def _decide(self, reports: Reports) -> None:
        await self._change.decide()
        await self._finish(reports)

    async def _finish(self, reports: Reports) -> None:
        document = self._change.document
        decision, members = document.decision, document.members
        next_steps = {
            rank: report.step
            for report in reports.values()
            for rank in report.ranks
            if report.engine_incarnation == members.get(rank)
        }
        if next_steps.keys() == members.keys() and all(
            step > decision.first_step for step in next_steps.values()
        ):
            await self._change.finish(next_steps)
            self._record_finished()
            return
        uninformed = [
            report
            for report in reports.values()
            if any(
                rank.digest != decision.digest and rank.first_step is None
                for rank in report.ranks.values()
            )
        ]
        arguments = dataclasses.asdict(decision)
        await self._place_orders(uninformed, "decide_map", arguments)

    def _record_finished(self) -> None:
        change = self._change.document.in_force_change
        emit(Event.MAP_CHANGE_FINISHED, group=self._group, change=change)
        metrics.MAP_CHANGES.labels(self._group, "finished").inc()
        metrics.MOVED_BYTES.labels(self._group).inc(self._moved_bytes)
        self._moved_bytes = 0
        self._lead_time = self._times.lead_time

    async def _place_orders(
        self,
        reports: Iterable[EngineReport],
        kind: str,
        arguments: Mapping[str, object],
        make_extra: Callable[
            [EngineReport], Mapping[str, object]
        ] = lambda _: {},
    ) -> list[tuple[EngineReport, Incarnation]]:
        """Places an order at several agents concurrently.

        Args:
            reports: Reports of the engines that the order is for.
            kind: Kind of the order.
            arguments: Arguments that are the same for all engines.
            make_extra: Returns the further arguments of one engine.

        Returns:
            Reports of the engines that carried out the order, each with the
            incarnation of the engine at that time.
        """
        reports = list(reports)
        outcomes = await asyncio.gather(
            *(
                self._engine_client.place_order(
                    report, kind, {**arguments, **make_extra(report)}
                )
                for report in reports
            ),
            return_exceptions=True,
        )
        completed = []
        for report, outcome in zip(reports, outcomes, strict=True):
            if isinstance(outcome, str):
                completed.append((report, Incarnation(outcome)))
            elif isinstance(outcome, ChicoryplankError):
                record_order_failure(report, kind, outcome)
            else:
                raise outcome
        return completed


def _make_operation_id() -> OperationId:
    return OperationId(uuid.uuid4().hex)
