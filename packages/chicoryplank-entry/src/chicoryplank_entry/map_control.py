"""Rounds of a controller that bring a group to a better expert map."""

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
    find_digests,
    find_members,
    find_new,
    find_step,
    make_start,
    report_failure,
    sum_loads,
)


@dataclasses.dataclass(frozen=True, slots=True)
class MapTimes:
    """Times of a change.

    Attributes:
        lead: Time from the begin of a change to its stop step. Ranks that
            have prepared and learnt the decision by then do not wait.
        max_lead: Longest lead; each aborted change doubles it.
        patience: Time after the stop step until an undecided change is
            aborted, since prepared ranks wait meanwhile.
        min_steps: Steps to the stop step while the speed is unknown.
        order_patience: Pause after an aborted change.
    """

    lead: timedelta = timedelta(seconds=1.5)
    max_lead: timedelta = timedelta(seconds=12)
    patience: timedelta = timedelta(seconds=0.5)
    min_steps: int = 50
    order_patience: timedelta = timedelta(seconds=5)


class MapController:
    """Changes the expert map of one group, a transition in each round.

    The progress of a change is in the recorded document only, so a new
    controller goes on with a change that another one has left.

    Args:
        group: Model group.
        store: Key-value service.
        lease: Source of the fencing token.
        calls: Calls to the agents.
        clock: Measures time.
        policy: Decides which experts to move.
        times: Times of a change.
    """

    def __init__(
        self,
        group: ModelGroupId,
        store: Store,
        lease: TokenSource,
        calls: EngineClient,
        clock: Clock,
        *,
        policy: Policy,
        times: MapTimes | None = None,
    ) -> None:
        self._group = group
        self._store = store
        self._calls = calls
        self._clock = clock
        self._policy = policy
        self._times = times or MapTimes()
        self._change = MapChange(store, group, lease, _make_operation_id)
        self._is_loaded = False
        self._lead = self._times.lead
        self._seen: tuple[int, timedelta] = (0, timedelta())
        self._pause_end = timedelta()
        self._speed: tuple[int, timedelta] | None = None
        self._steps_per_s = 0.0
        self._moved_bytes = 0
        self._blocked_steps: dict[InstanceId, int] | None = None

    def forget(self) -> None:
        """Reads the document again before the next transition."""
        self._is_loaded = False

    async def run_round(self, agents: int, reports: Reports) -> bool:
        """Makes the next transition; returns whether a change is going on.

        Args:
            agents: Number of agents that the instance list shows.
            reports: Reports of the engines that answered.

        Raises:
            ChicoryplankError: If a transition could not be recorded; call
                forget and go on in the next round.
        """
        members = find_members(reports)
        if not members:
            return False
        self._measure_speed(reports)
        if not self._is_loaded:
            try:
                await self._change.load()
            except ChicoryplankError as error:
                if error.code is not ErrorCode.MAP_CHANGE_CONFLICT:
                    raise
                await self._create(agents, reports)
                return False
            self._is_loaded = True
        if find_new(self._change.document, reports):
            await self._join(agents, reports)
            self.forget()
            return True
        phase = self._change.document.phase
        handle = {
            Phase.IDLE: self._begin,
            Phase.PREPARING: self._prepare,
            Phase.READY: self._decide,
            Phase.DECIDED: self._finish,
        }[phase]
        await handle(reports)
        is_changing = self._change.document.phase is not Phase.IDLE
        if not is_changing:
            self.forget()
        return is_changing

    def _measure_speed(self, reports: Reports) -> None:
        step, now = find_step(reports), self._clock.elapsed()
        if self._speed is not None:
            before, start = self._speed
            seconds = (now - start).total_seconds()
            if seconds < 1:
                return
            self._steps_per_s = max(0, step - before) / seconds
        self._speed = (step, now)

    async def _create(self, agents: int, reports: Reports) -> None:
        """Records the map that all ranks report from their start."""
        members = find_members(reports)
        first = next(report for report in reports.values() if report.experts)
        if set(members) != set(range(first.total_ranks)):
            detail = f"{len(members)} of {first.total_ranks} ranks answer"
            emit(Event.GROUP_INCOMPLETE, group=self._group, detail=detail)
            return
        expert_map = make_map(
            first.experts, first.total_ranks, first.spare_slots
        )
        if find_digests(reports) != {expert_map.digest}:
            detail = f"{agents} engines do not start with the initial map"
            emit(Event.GROUP_INCOMPLETE, group=self._group, detail=detail)
            return
        await create_document(self._store, self._group, expert_map, members)

    async def _join(self, agents: int, reports: Reports) -> None:
        """Records replacements and starts them where the group stands.

        The group cannot go on without them. It stands when all others report
        the same steps twice; the one that is ahead has the step to start at.
        """
        started = {
            name: item.step for name, item in reports.items() if item.joined
        }
        is_steady = self._blocked_steps == started
        self._blocked_steps = started
        if len(reports) != agents or not is_steady:
            return
        step = max(started.values(), default=0)
        for report in find_new(self._change.document, reports):
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
                arguments = make_start(document, step)
                await self._place([report], "join_map", arguments)
        self._blocked_steps = None

    async def _begin(self, reports: Reports) -> None:
        document = self._change.document
        await self._drop_old_promises(reports)
        loads = sum_loads(reports)
        if not loads or not self._may_change(document, reports):
            return
        now = self._clock.now()
        self._policy.observe(loads, now)
        decision = await run_cooperatively(
            self._policy.choose_cooperatively(document.in_force, now)
        )
        metrics.STEP_SKEW.labels(self._group).set(decision.current_skew)
        if not decision.moves or self._clock.elapsed() < self._pause_end:
            return
        margin = max(
            self._times.min_steps,
            round(self._steps_per_s * self._lead.total_seconds()),
        )
        await self._change.begin(
            decision.expert_map, find_step(reports) + margin
        )
        self._announce(decision)
        await self._prepare(reports)

    def _announce(self, decision: Decision) -> None:
        self._moved_bytes = decision.moved_bytes
        emit(
            Event.MAP_CHANGE_BEGUN,
            group=self._group,
            change=self._change.document.next_map.change,
            moves=len(decision.moves),
            skew=f"{decision.current_skew:.3f}",
        )

    def _may_change(self, document: MapDocument, reports: Reports) -> bool:
        """Whether every recorded rank answers and runs the map in force."""
        return (
            find_members(reports) == dict(document.members)
            and find_digests(reports) == {document.in_force.digest}
            and all(report.ready for report in reports.values())
        )

    async def _drop_old_promises(self, reports: Reports) -> None:
        """Frees ranks that an aborted change left prepared."""
        for report in reports.values():
            digests = {
                rank.prepared
                for rank in report.ranks.values()
                if rank.prepared and rank.first_step is None
            }
            for digest in digests:
                await self._place([report], "abort_map", {"digest": digest})

    async def _prepare(self, reports: Reports) -> None:
        document = self._change.document
        following = document.next_map
        if self._seen[0] != following.change:
            self._seen = (following.change, self._clock.elapsed())
        missing = [
            report
            for report in reports.values()
            if report.experts
            and not set(report.ranks) <= set(document.prepared)
        ]
        arguments = {
            "digest": following.expert_map.digest,
            "stop_step": following.stop_step,
        }
        done = await self._place(
            missing,
            "prepare_map",
            arguments,
            lambda report: {
                "slots": {
                    rank: following.expert_map.slots[rank]
                    for rank in report.ranks
                }
            },
        )
        promises = [
            Prepared(following.change, rank, incarnation)
            for report, incarnation in done
            for rank in report.ranks
        ]
        if promises:
            await self._change.record_prepared(promises)
        if self._change.document.phase is Phase.READY:
            await self._decide(reports)
            return
        waited = self._clock.elapsed() - self._seen[1]
        has_passed = find_step(reports) > following.stop_step
        if has_passed or waited > self._lead + self._times.patience:
            await self._abort(reports)

    async def _abort(self, reports: Reports) -> None:
        digest = self._change.document.next_map.expert_map.digest
        await self._change.abort()
        metrics.MAP_CHANGES.labels(self._group, "aborted").inc()
        self._lead = min(2 * self._lead, self._times.max_lead)
        self._pause_end = self._clock.elapsed() + self._times.order_patience
        await self._place(reports.values(), "abort_map", {"digest": digest})

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
            self._count_finished()
            return
        behind = [
            report
            for report in reports.values()
            if any(
                rank.digest != decision.digest and rank.first_step is None
                for rank in report.ranks.values()
            )
        ]
        arguments = dataclasses.asdict(decision)
        await self._place(behind, "decide_map", arguments)

    def _count_finished(self) -> None:
        change = self._change.document.in_force_change
        emit(Event.MAP_CHANGE_FINISHED, group=self._group, change=change)
        metrics.MAP_CHANGES.labels(self._group, "finished").inc()
        metrics.MOVED_BYTES.labels(self._group).inc(self._moved_bytes)
        self._moved_bytes = 0
        self._lead = self._times.lead

    async def _place(
        self,
        reports: Iterable[EngineReport],
        kind: str,
        arguments: Mapping[str, object],
        add: Callable[[EngineReport], Mapping[str, object]] = lambda _: {},
    ) -> list[tuple[EngineReport, Incarnation]]:
        """Places an order at several agents.

        Returns:
            Reports of the engines that carried it out, and which incarnation
            of the engine it was.
        """
        reports = list(reports)
        outcomes = await asyncio.gather(
            *(
                self._calls.place_order(
                    report, kind, {**arguments, **add(report)}
                )
                for report in reports
            ),
            return_exceptions=True,
        )
        done = []
        for report, outcome in zip(reports, outcomes, strict=True):
            if isinstance(outcome, str):
                done.append((report, Incarnation(outcome)))
            elif isinstance(outcome, ChicoryplankError):
                report_failure(report, kind, outcome)
            else:
                raise outcome
        return done


def _make_operation_id() -> OperationId:
    return OperationId(uuid.uuid4().hex)
