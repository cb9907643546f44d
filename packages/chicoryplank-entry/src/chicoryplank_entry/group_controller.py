"""Controllers of model groups: one entry at a time holds a group's lease."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.configuration import (
    EntrySettings,
    GroupConfiguration,
)
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import ModelGroupId
from chicoryplank.orders import ControllerLease, get_lease_key, record_token
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank.rebalance import IncrementalPolicy, make_settings
from chicoryplank.rendezvous import rank_members
from chicoryplank.store import Store, StoreError
from chicoryplank_entry.engines import EngineClient, EngineReport
from chicoryplank_entry.group_reports import Reports, report_failure
from chicoryplank_entry.map_control import MapController

# At most one report of loads in this time from each agent.
_ROUND_INTERVAL = timedelta(seconds=5)
_BUSY_INTERVAL = timedelta(milliseconds=250)
# Control may take 35 calls a second; a controller uses at most about half.
_CALLS_PER_S = 20
# Candidates read the lease key every few seconds; more of them would only add
# reads, since the instance list soon replaces one that has failed.
_MAX_CANDIDATES = 3
_RETRY_INTERVAL = timedelta(milliseconds=500)
# Weights of one expert; only ratios matter to the policy.
_EXPERT_BYTES = 44_000_000


def choose_candidates(
    group: ModelGroupId, instances: tuple[Instance, ...]
) -> set[str]:
    """Returns the entries that try to hold the lease: one in a few zones.

    All other entries make no calls of the store for the group.
    """
    zones: dict[str, list[str]] = {}
    for item in instances:
        if item.role == "entry" and not item.leaving:
            zones.setdefault(item.zone, []).append(item.instance)
    key = f"controller/{group}"
    chosen = rank_members(key, zones)[:_MAX_CANDIDATES]
    return {rank_members(key, zones[zone])[0] for zone in chosen}


def choose_replica(
    configuration: GroupConfiguration, agents: int, reports: Reports
) -> EngineReport | None:
    """Returns the next engine whose version has to change, if any.

    A silent replica counts as lost capacity. Then another one changes only
    if enough are left.
    """
    behind = [
        report
        for name, report in sorted(reports.items())
        if report.ready and report.version not in ("", configuration.version)
    ]
    if not behind:
        return None
    spare = len(reports) - 1 >= configuration.replicas
    return behind[0] if spare or len(reports) == agents else None


class GroupController:
    """Tries to hold the lease of a group and controls it while it does.

    Args:
        group: Model group.
        settings: Settings of the entry.
        store: Key-value service.
        process_state: Source of configuration and instances.
        clock: Source of time.
        random_source: Jitter.
    """

    def __init__(
        self,
        group: ModelGroupId,
        settings: EntrySettings,
        store: Store,
        process_state: ProcessState,
        clock: Clock,
        *,
        random_source: random.Random,
    ) -> None:
        self._group = group
        self._own = settings.instance
        self._secret = settings.shared_secret
        self._duration = settings.controller_lease
        self._store = store
        self._process_state = process_state
        self._clock = clock
        self._random = random_source
        self._lease = ControllerLease(
            store,
            clock,
            group,
            settings.instance,
            duration=self._duration,
            margin=self._duration / 5,
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            jitter = self._random.uniform(0.5, 1)
            await self._clock.sleep(self._duration / 3 * jitter)
            try:
                if await self._try_acquire():
                    await self._hold()
            except StoreError as error:
                self._report_failure(error.message)
            except Exception as error:  # noqa: BLE001
                # The lease is released by then; another entry or a later
                # try goes on from the recorded state.
                self._report_failure(repr(error))

    async def _try_acquire(self) -> bool:
        instances = self._process_state.instances.value
        if self._own not in choose_candidates(self._group, instances):
            return False
        if not self._may_control():
            return False
        if await self._store.read(get_lease_key(self._group)) is not None:
            return False
        return await self._lease.acquire()

    def _may_control(self) -> bool:
        process_state = self._process_state
        return (
            not process_state.leaving.value
            and self._group in process_state.snapshot.value.groups
        )

    async def _hold(self) -> None:
        calls = EngineClient(self._lease, self._secret)
        objective = self._get_configuration().objective
        maps = MapController(
            self._group,
            self._store,
            self._lease,
            calls,
            self._clock,
            policy=IncrementalPolicy(make_settings(objective, _EXPERT_BYTES)),
        )
        renewal = asyncio.create_task(self._renew())
        try:
            await self._control(calls, maps, objective)
        finally:
            renewal.cancel()
            calls.close()
            with contextlib.suppress(ChicoryplankError):
                await self._lease.release()

    async def _control(
        self, calls: EngineClient, maps: MapController, objective: object
    ) -> None:
        is_recorded = False
        loads_due = self._clock.elapsed()
        while (token := self._lease.get_token()) and self._may_control():
            if self._get_configuration().objective is not objective:
                return
            try:
                if not is_recorded:
                    await record_token(self._store, self._group, token)
                    is_recorded = True
                instances = self._list_agents()
                now = self._clock.elapsed()
                with_loads = now >= loads_due
                if with_loads:
                    loads_due = now + self._get_interval(len(instances))
                reports = await calls.read_engines(instances, with_loads)
                is_changed = await self._order_version(
                    calls, len(instances), reports
                )
                is_busy = await maps.run_round(len(instances), reports)
            except ChicoryplankError as error:
                self._report_failure(error.message)
                maps.forget()
                await self._clock.sleep(_RETRY_INTERVAL)
                continue
            await self._clock.sleep(
                max(_BUSY_INTERVAL, timedelta(seconds=len(instances) / 40))
                if is_busy or is_changed
                else self._get_interval(len(instances))
            )

    def _get_interval(self, agents: int) -> timedelta:
        return max(_ROUND_INTERVAL, timedelta(seconds=agents / _CALLS_PER_S))

    async def _order_version(
        self, calls: EngineClient, agents: int, reports: Reports
    ) -> bool:
        """Changes the version of one replica; returns whether it was done."""
        configuration = self._get_configuration()
        report = choose_replica(configuration, agents, reports)
        if report is None:
            return False
        version = configuration.version
        emit(
            Event.VERSION_ORDERED,
            agent=report.agent,
            group=self._group,
            version=version,
        )
        try:
            await calls.place_order(report, "set_version", {"version": version})
        except ChicoryplankError as error:
            report_failure(report, "set_version", error)
            return False
        return True

    async def _renew(self) -> None:
        """Renews at a third of the duration, so that two tries may fail."""
        interval = self._duration / 3
        while True:
            await self._clock.sleep(interval)
            interval = self._duration / 3
            try:
                if not await self._lease.renew():
                    return
            except StoreError as error:
                self._report_failure(error.message)
                interval = _RETRY_INTERVAL

    def _get_configuration(self) -> GroupConfiguration:
        return self._process_state.snapshot.value.groups[self._group]

    def _list_agents(self) -> list[Instance]:
        return [
            item
            for item in self._process_state.instances.value
            if item.role == "backend" and item.deployment == self._group
        ]

    def _report_failure(self, error: ChicoryplankError) -> None:
        emit(Event.CONTROL_ROUND_FAILED, group=self._group, error=error)


async def follow_groups(
    process_state: ProcessState,
    make_controller: Callable[[ModelGroupId], GroupController],
) -> None:
    """Runs a controller for each configured group."""
    tasks: dict[ModelGroupId, asyncio.Task] = {}
    try:
        while True:
            groups = set(process_state.snapshot.value.groups)
            for group in set(tasks) - groups:
                tasks.pop(group).cancel()
            for group in groups - set(tasks):
                tasks[group] = asyncio.create_task(make_controller(group).run())
            await process_state.snapshot.wait_change()
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
