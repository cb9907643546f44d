"""Controllers of model groups, elected among the entries by a lease."""

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
from chicoryplank_entry.group_reports import Reports, record_order_failure
from chicoryplank_entry.map_control import MapController

# Shortest interval between rounds without a change in progress, and between
# reads of the expert loads.
_ROUND_INTERVAL = timedelta(seconds=5)
# Shortest interval between rounds while a map or version change is in progress.
_BUSY_INTERVAL = timedelta(milliseconds=250)
# Control traffic may use 35 calls per second; a controller uses at most about
# half of that.
_CALLS_PER_S = 20
# Each candidate reads the lease key every few seconds. More candidates would
# only add reads, since a failed one soon drops out of the instance list and is
# replaced.
_MAX_CANDIDATES = 3
_RETRY_INTERVAL = timedelta(milliseconds=500)
# Size of the weights of one expert. The policy depends only on ratios of sizes.
_EXPERT_BYTES = 44_000_000


def choose_candidates(
    group: ModelGroupId, instances: tuple[Instance, ...]
) -> set[str]:
    """Returns the entries that compete for the lease: one each in a few zones.

    All other entries make no store calls for the group.
    """
    entries_by_zone: dict[str, list[str]] = {}
    for item in instances:
        if item.role == "entry" and not item.leaving:
            entries_by_zone.setdefault(item.zone, []).append(item.instance)
    key = f"controller/{group}"
    zones = rank_members(key, entries_by_zone)[:_MAX_CANDIDATES]
    return {rank_members(key, entries_by_zone[zone])[0] for zone in zones}


def choose_outdated_engine(
    configuration: GroupConfiguration, agent_count: int, reports: Reports
) -> EngineReport | None:
    """Returns the next engine to change to the configured version, if any.

    A replica without a report counts as lost capacity. While one is missing,
    an engine is returned only if the remaining replicas suffice without it.

    Args:
        configuration: Configuration of the group.
        agent_count: Number of the group's agents in the instance list.
        reports: Reports of the engines that responded.
    """
    outdated = [
        report
        for name, report in sorted(reports.items())
        if report.ready and report.version not in ("", configuration.version)
    ]
    if not outdated:
        return None
    can_spare_one = len(reports) - 1 >= configuration.replicas
    return outdated[0] if can_spare_one or len(reports) == agent_count else None


class GroupController:
    """Competes for the lease of a group and, while holding it, controls it.

    Args:
        group: Model group.
        settings: Settings of the entry.
        store: Key-value store of the platform.
        process_state: Source of the configuration and the instance list.
        clock: Source of time.
        rng: Random number generator for the delays between attempts to get the
            lease.
    """

    def __init__(
        self,
        group: ModelGroupId,
        settings: EntrySettings,
        store: Store,
        process_state: ProcessState,
        clock: Clock,
        *,
        rng: random.Random,
    ) -> None:
        self._group = group
        self._own = settings.instance
        self._secret = settings.shared_secret
        self._lease_duration = settings.controller_lease
        self._store = store
        self._process_state = process_state
        self._clock = clock
        self._rng = rng
        self._lease = ControllerLease(
            store,
            clock,
            group,
            settings.instance,
            duration=self._lease_duration,
            margin=self._lease_duration / 5,
        )

    async def run(self) -> None:
        """Competes for the lease and runs control rounds until cancelled."""
        while True:
            jitter = self._rng.uniform(0.5, 1)
            await self._clock.sleep(self._lease_duration / 3 * jitter)
            try:
                if await self._try_acquire():
                    await self._run_with_lease()
            except StoreError as error:
                self._emit_failure(error.message)
            except Exception as error:  # noqa: BLE001
                # The lease is released at this point. Another entry or a later
                # attempt continues from the recorded state.
                self._emit_failure(repr(error))

    async def _try_acquire(self) -> bool:
        instances = self._process_state.instances.value
        if self._own not in choose_candidates(self._group, instances):
            return False
        if not self._is_eligible():
            return False
        if await self._store.read(get_lease_key(self._group)) is not None:
            return False
        return await self._lease.acquire()

    def _is_eligible(self) -> bool:
        process_state = self._process_state
        return (
            not process_state.leaving.value
            and self._group in process_state.snapshot.value.groups
        )

    async def _run_with_lease(self) -> None:
        engine_client = EngineClient(self._lease, self._secret)
        objective = self._get_configuration().objective
        map_controller = MapController(
            self._group,
            self._store,
            self._lease,
            engine_client,
            self._clock,
            policy=IncrementalPolicy(make_settings(objective, _EXPERT_BYTES)),
        )
        renewal = asyncio.create_task(self._renew_lease())
        try:
            await self._run_rounds(engine_client, map_controller, objective)
        finally:
            renewal.cancel()
            engine_client.close()
            with contextlib.suppress(ChicoryplankError):
                await self._lease.release()

    async def _run_rounds(
        self,
        engine_client: EngineClient,
        map_controller: MapController,
        objective: object,
    ) -> None:
        is_token_recorded = False
        loads_due = self._clock.elapsed()
        while (token := self._lease.get_token()) and self._is_eligible():
            if self._get_configuration().objective is not objective:
                return
            try:
                if not is_token_recorded:
                    await record_token(self._store, self._group, token)
                    is_token_recorded = True
                instances = self._list_agents()
                now = self._clock.elapsed()
                with_loads = now >= loads_due
                if with_loads:
                    loads_due = now + self._get_round_interval(len(instances))
                reports = await engine_client.read_engines(
                    instances, with_loads
                )
                is_updated = await self._update_one_version(
                    engine_client, len(instances), reports
                )
                is_busy = await map_controller.run_round(
                    len(instances), reports
                )
            except ChicoryplankError as error:
                self._emit_failure(error.message)
                map_controller.invalidate_document()
                await self._clock.sleep(_RETRY_INTERVAL)
                continue
            await self._clock.sleep(
                max(_BUSY_INTERVAL, timedelta(seconds=len(instances) / 40))
                if is_busy or is_updated
                else self._get_round_interval(len(instances))
            )

    def _get_round_interval(self, agent_count: int) -> timedelta:
        return max(
            _ROUND_INTERVAL, timedelta(seconds=agent_count / _CALLS_PER_S)
        )

    async def _update_one_version(
        self, engine_client: EngineClient, agent_count: int, reports: Reports
    ) -> bool:
        """Orders one outdated replica to change its version.

        Returns:
            Whether a replica carried out the order.
        """
        configuration = self._get_configuration()
        report = choose_outdated_engine(configuration, agent_count, reports)
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
            await engine_client.place_order(
                report, "set_version", {"version": version}
            )
        except ChicoryplankError as error:
            record_order_failure(report, "set_version", error)
            return False
        return True

    async def _renew_lease(self) -> None:
        """Renews the lease every third of its duration.

        Two attempts in a row can fail before the lease expires.
        """
        interval = self._lease_duration / 3
        while True:
            await self._clock.sleep(interval)
            interval = self._lease_duration / 3
            try:
                if not await self._lease.renew():
                    return
            except StoreError as error:
                self._emit_failure(error.message)
                interval = _RETRY_INTERVAL

    def _get_configuration(self) -> GroupConfiguration:
        return self._process_state.snapshot.value.groups[self._group]

    def _list_agents(self) -> list[Instance]:
        return [
            item
            for item in self._process_state.instances.value
            if item.role == "backend" and item.deployment == self._group
        ]

    def _emit_failure(self, error: ChicoryplankError) -> None:
        emit(Event.CONTROL_ROUND_FAILED, group=self._group, error=error)


async def run_group_controllers(
    process_state: ProcessState,
    make_controller: Callable[[ModelGroupId], GroupController],
) -> None:
    """Runs one controller for each configured group until cancelled."""
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
