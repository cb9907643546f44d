"""Rebalances the expert maps of lock-step groups by the measured demand."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from chicoryplank.admission import find_slow_replicas
from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ModelGroupId, RankId
from chicoryplank.orders import (
    VERSIONS_PER_TOKEN,
    ControllerLease,
    GroupSwitch,
    RankCounts,
    RankPort,
    RankState,
    RankUnreachableError,
    SwitchParameters,
    SwitchResult,
)
from chicoryplank.rebalance import (
    JointDecision,
    compute_joint_skew,
)
from chicoryplank.store import Store, StoreError
from chicoryplank.traffic import EngineProfile, ReplicaRecord
from chicoryplank_entry.forwarding.change_history import (
    ChangeHistory,
    DemandLifetime,
    is_shift,
)
from chicoryplank_entry.forwarding.demand import Demand
from chicoryplank_entry.forwarding.group_view import (
    GroupMembers,
    GroupView,
    RankPorts,
    compute_step_duration_s,
    group_ranks,
    has_uniform_map,
    is_complete,
    list_paces,
    make_view,
    read_counts,
    read_states,
    search_map,
)
from chicoryplank_entry.forwarding.map_parameters import MapParameters
from chicoryplank_entry.forwarding.state import EntryState

# Short, since a group that is held by a failed controller stalls until a
# successor releases it, and callers abandon a stream after 2 s without output.
# The frequent renewals are affordable: one costs a tenth of a read.
_LEASE_DURATION = timedelta(seconds=1)
_LEASE_MARGIN = timedelta(milliseconds=150)
# Time between the starts of two renewals, in seconds.
_RENEWAL_INTERVAL_S = 0.25
# Minimum interval of reading the ranks for each of them, in seconds; it bounds
# the processor time of the controller.
_POLL_S_PER_RANK = 0.002


RankPortFactory = Callable[[ReplicaRecord], RankPort]


class MapController:
    """Controls the maps of the groups of one service, under a lease.

    Args:
        store: Store, for the lease.
        clock: Source of time.
        state: Shared state of this entry.
        service: Service whose replicas are ranks.
        owner: Id of this instance.
        make_rank_port: Creates the connection to a rank.
        parameters: Conditions and intervals of map changes.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: EntryState,
        *,
        service: ModelGroupId,
        owner: InstanceId,
        make_rank_port: RankPortFactory,
        parameters: MapParameters | None = None,
    ) -> None:
        self._clock = clock
        self._state = state
        self._service = service
        self._make_rank_port = make_rank_port
        self._parameters = parameters or MapParameters()
        self.lease = ControllerLease(
            store,
            clock,
            service,
            owner,
            duration=_LEASE_DURATION,
            margin=_LEASE_MARGIN,
        )
        self._ports: dict[InstanceId, tuple[str, RankPort]] = {}
        self._demands: dict[str, Demand] = {}
        self._views: dict[str, GroupView] = {}
        self._lifetimes: dict[str, DemandLifetime] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._version_count = 0
        self._version_token = 0
        self._history = ChangeHistory()
        self._urgent_until_s = float("-inf")

    def reset(self) -> None:
        """Discards state that another controller may have invalidated."""
        self._views.clear()
        for demand in self._demands.values():
            demand.reset_counts()

    async def run(self) -> None:
        """Controls the groups until the lease is lost."""
        self.reset()
        renewal = asyncio.get_running_loop().create_task(self._keep_lease())
        try:
            while self.lease.get_token() is not None:
                started_s = self._now_s()
                await self._poll_ranks()
                interval_s = self._parameters.poll_interval_s
                if started_s < self._urgent_until_s:
                    interval_s = self._parameters.urgent_poll_interval_s
                interval_s = max(
                    interval_s, len(self._ports) * _POLL_S_PER_RANK
                )
                left_s = interval_s - (self._now_s() - started_s)
                await self._clock.sleep(timedelta(seconds=max(0.05, left_s)))
            # A change that has begun is completed or withdrawn, also after the
            # lease has expired.
            await asyncio.gather(*self._tasks.values())
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()
            renewal.cancel()

    async def _keep_lease(self) -> None:
        started_s = self._now_s()
        while True:
            # A slow store must not delay the next renewal.
            pause_s = max(0.01, started_s + _RENEWAL_INTERVAL_S - self._now_s())
            await self._clock.sleep(timedelta(seconds=pause_s))
            started_s = self._now_s()
            try:
                if not await self.lease.renew():
                    return
            except StoreError as error:
                emit(
                    Event.CONTROL_ROUND_FAILED,
                    group=self._service,
                    error=error.message,
                )

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()

    def _list_ports(self) -> dict[InstanceId, RankPort]:
        records = self._state.registry.list_service(self._service)
        known = {}
        for record in records:
            address, port = self._ports.get(record.instance, ("", None))
            if port is None or address != record.address:
                port = self._make_rank_port(record)
            known[record.instance] = (record.address, port)
        self._ports = known
        return {name: port for name, (_, port) in known.items()}

    async def _poll_ranks(self) -> None:
        """Reads all ranks and controls each complete group."""
        configuration = self._state.configuration
        service = None
        if configuration is not None:
            service = configuration.services.get(self._service)
        if service is None or service.engine is None:
            return
        ports = self._list_ports()
        busy = {name for name, task in self._tasks.items() if not task.done()}
        states = await read_states(ports)
        groups = group_ranks(states, ports)
        self._report_slow_replicas(groups)
        for name, members in groups.items():
            if not is_complete(members):
                # Demand is measured by differences, so counts are also read
                # before the group opens.
                await self._observe_demand(name, members)
            else:
                await self._observe_group(
                    name, members, service.engine, name in busy
                )

    def _report_slow_replicas(self, groups: Mapping[str, GroupMembers]) -> None:
        paces = {
            name: {state.instance: state.pace for state, _ in members.values()}
            for name, members in groups.items()
        }
        self._state.slow_replicas.observe(
            find_slow_replicas(paces), self._now_s()
        )

    async def _observe_group(
        self,
        name: str,
        members: GroupMembers,
        engine: EngineProfile,
        was_busy: bool,
    ) -> None:
        """Updates the view of a group, and controls it unless it is busy.

        Groups are controlled by separate tasks, so that none waits for the
        change of another. States that were read during a change are outdated
        when it ends.
        """
        states = {rank: state for rank, (state, _) in members.items()}
        epoch = next(iter(states.values())).epoch
        view = self._views.get(name)
        is_new = view is None or view.epoch != epoch
        counts = await self._observe_demand(name, members, is_new)
        now_s = self._now_s()
        task = self._tasks.get(name)
        if task is not None and task.done():
            del self._tasks[name]
            task.result()
            task = None
        if task is None and not was_busy and is_new:
            view = make_view(epoch, states, counts, engine)
            if view is None:
                return
            self._urgent_until_s = now_s + self._parameters.max_urgent_s
            self._views[name] = view
        if view is not None and view.epoch == epoch:
            step = max(state.step for state in states.values())
            view.step_samples.append((now_s, step))
            view.paces = list_paces(states)
        if task is not None:
            self._check_pending_map(view, self._demands[name], engine)
        if task is not None or was_busy:
            return
        self._tasks[name] = asyncio.get_running_loop().create_task(
            self._control_group(name, members, engine)
        )

    def _check_pending_map(
        self, view: GroupView | None, demand: Demand, engine: EngineProfile
    ) -> None:
        """Marks the pending map as outdated if it no longer helps.

        The demand may have shifted since the map was chosen. A map that still
        balances the experts better than the active one is completed, since its
        copies have been paid for.
        """
        if view is None or view.pending_version is None:
            return
        loads = demand.list_loads(engine.layer_sets)
        skew = compute_joint_skew(view.pending_slots, loads, view.paces)
        active_skew = compute_joint_skew(view.slots, loads, view.paces)
        view.is_pending_outdated = is_shift(
            skew, view.pending_skew
        ) and not is_shift(active_skew, skew)

    async def _control_group(
        self,
        name: str,
        members: GroupMembers,
        engine: EngineProfile,
    ) -> None:
        states = {rank: state for rank, (state, _) in members.items()}
        ports = {rank: port for rank, (_, port) in members.items()}
        view = self._views[name]
        try:
            if any(state.held_step is not None for state in states.values()):
                await self._recover(name, view, ports, states)
                return
            if not has_uniform_map(states):
                return
            version = next(iter(states.values())).map_version
            if version != view.version:
                if version != view.pending_version:
                    # A map of a previous controller has become active.
                    del self._views[name]
                    return
                view.version, view.slots = version, view.pending_slots
                view.pending_version = None
            await self._rebalance(name, view, ports, states, engine=engine)
        except RankUnreachableError as error:
            emit(Event.CONTROL_ROUND_FAILED, group=name, error=str(error))

    async def _observe_demand(
        self,
        name: str,
        members: GroupMembers,
        with_experts: bool = False,
    ) -> dict[RankId, RankCounts]:
        """Reads the counts of a group's ranks and adds them to its demand."""
        ports = {rank: port for rank, (_, port) in members.items()}
        counts = await read_counts(ports, with_experts)
        demand = self._demands.setdefault(
            name, Demand(self._parameters.decay_time_s)
        )
        demand.observe(
            {
                members[rank][0].instance: item.counts
                for rank, item in counts.items()
            },
            self._now_s(),
        )
        return counts

    def _make_version(self, states: Mapping[RankId, RankState]) -> int:
        """Reserves two successive unused versions; returns the first."""
        token = self.lease.get_token() or 0
        if token != self._version_token:
            self._version_token = token
            self._version_count = 0
        self._version_count += 2
        version = token * VERSIONS_PER_TOKEN + self._version_count
        seen = max(
            max(
                state.map_version,
                state.prepared_version or 0,
                state.armed_version or 0,
            )
            for state in states.values()
        )
        return max(version, seen + 1)

    def _make_switch(self, ports: RankPorts, epoch: int) -> GroupSwitch:
        lead_s = self._history.get_hold_lead_s(len(ports))
        return GroupSwitch(
            ports,
            epoch,
            self.lease.get_token,
            self._clock,
            SwitchParameters(hold_lead_time_s=lead_s),
        )

    async def _recover(
        self,
        name: str,
        view: GroupView,
        ports: RankPorts,
        states: Mapping[RankId, RankState],
    ) -> None:
        emit(Event.MAP_LEFTOVER, group=name, epoch=view.epoch)
        switch = self._make_switch(ports, view.epoch)
        await switch.recover(view.slots, self._make_version(states))
        del self._views[name]

    async def _rebalance(
        self,
        name: str,
        view: GroupView,
        ports: RankPorts,
        states: Mapping[RankId, RankState],
        *,
        engine: EngineProfile,
    ) -> None:
        parameters = self._parameters
        now_s = self._now_s()
        demand = self._demands[name]
        if demand.total < parameters.min_choices:
            return
        loads = demand.list_loads(engine.layer_sets)
        skew = compute_joint_skew(view.slots, loads, view.paces)
        lifetime = self._lifetimes.setdefault(name, DemandLifetime())
        lifetime.observe(skew, view.predicted_skew, now_s)
        self._check_prediction(view, skew, now_s)
        if now_s - view.last_change_s < parameters.min_change_interval_s:
            return
        if (skew - 1.0) * engine.expert_share < parameters.min_gain:
            return
        if (
            compute_step_duration_s(view)
            < parameters.min_step_share * self._get_gap_target_s()
        ):
            return
        decision = await search_map(
            view.slots,
            loads,
            engine,
            fixed_s=self._history.fixed_s,
            lasting_s=lifetime.estimate_remaining_s(now_s),
            skew_error=self._history.skew_error,
            paces=view.paces,
        )
        if decision.gain < parameters.min_gain:
            return
        await self._change(name, view, ports, states, decision)

    def _check_prediction(
        self, view: GroupView, skew: float, now_s: float
    ) -> None:
        """Learns from the first measured skew after a change."""
        if (
            view.is_prediction_checked
            or now_s - view.last_change_s < self._parameters.decay_time_s
        ):
            return
        view.is_prediction_checked = True
        self._history.observe_skew(skew, view.predicted_skew)

    def _get_gap_target_s(self) -> float:
        """Returns the smallest target gap between events of a stream."""
        target = self._state.configuration.find_gap_target(self._service)
        return 0.0 if target is None else target.total_seconds()

    async def _change(
        self,
        name: str,
        view: GroupView,
        ports: RankPorts,
        states: Mapping[RankId, RankState],
        decision: JointDecision,
    ) -> None:
        version = self._make_version(states)
        started_s = self._now_s()
        emit(
            Event.MAP_CHANGE_BEGUN,
            group=name,
            change=version,
            moves=decision.copies,
            skew=f"{decision.current_skew:.2f} to "
            f"{decision.predicted_skew:.2f}",
        )
        view.pending_version = version
        view.pending_slots = decision.slots
        view.pending_skew = decision.predicted_skew
        view.is_pending_outdated = False
        switch = self._make_switch(ports, view.epoch)
        result = await switch.change(
            decision.slots,
            view.slots,
            version,
            compute_step_duration_s(view),
            is_outdated=lambda: view.is_pending_outdated,
        )
        view.last_change_s = self._now_s()
        took_s = view.last_change_s - started_s
        took_ms = round(took_s * 1000)
        self._urgent_until_s = float("-inf")
        if result is SwitchResult.SWITCHED:
            view.predicted_skew = decision.predicted_skew
            view.is_prediction_checked = False
            if switch.held_s is not None:
                self._history.observe_held(switch.held_s)
            self._history.observe_duration(took_s, decision.copying_s)
            emit(Event.MAP_ARMED, group=name, change=version, took_ms=took_ms)
        else:
            emit(
                Event.MAP_CHANGE_WITHDRAWN,
                group=name,
                change=version,
                result=result.value,
                took_ms=took_ms,
            )
            if result is not SwitchResult.ABANDONED:
                self._views.pop(name, None)
