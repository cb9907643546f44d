"""Election of the entry that controls the groups of a service."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ModelGroupId
from chicoryplank_entry.forwarding.maps import MapController
from chicoryplank_entry.forwarding.state import EntryState


class Election:
    """Competes for the controller lease of each service with experts.

    Args:
        make_controller: Creates the controller of a service.
        state: Shared state of this entry.
        list_live_members: Returns the sorted ids of the live entries, with this
            one.
        owner: Id of this instance.
        clock: Source of time.
        get_lease_holder: Returns the known holder of the lease of a service;
            None if there is none.
    """

    # Interval of checks for expired leases, and the delay by which each entry
    # tries after the previous one, in seconds.
    _POLL_INTERVAL_S = 0.2
    _STAGGER_S = 0.1

    def __init__(
        self,
        make_controller: Callable[[ModelGroupId], MapController],
        state: EntryState,
        *,
        list_live_members: Callable[[], list[InstanceId]],
        owner: InstanceId,
        clock: Clock,
        get_lease_holder: Callable[[ModelGroupId], InstanceId | None],
    ) -> None:
        self._make_controller = make_controller
        self._state = state
        self._list_live_members = list_live_members
        self._owner = owner
        self._clock = clock
        self._get_lease_holder = get_lease_holder
        self._tasks: dict[ModelGroupId, asyncio.Task] = {}
        self._controllers: dict[ModelGroupId, MapController] = {}
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to check for free leases."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops all controllers and releases their leases."""
        tasks = [*self._tasks.values()]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for controller in self._controllers.values():
            await controller.lease.release()

    async def _run(self) -> None:
        while True:
            configuration = self._state.configuration
            if configuration is not None:
                for service in configuration.services.values():
                    if service.engine is None or not service.engine.experts:
                        continue
                    name = ModelGroupId(service.name)
                    task = self._tasks.get(name)
                    if task is None or task.done():
                        self._tasks[name] = asyncio.create_task(
                            self._control(name)
                        )
            await self._clock.sleep(timedelta(seconds=self._POLL_INTERVAL_S))

    async def _control(self, name: ModelGroupId) -> None:
        """Controls one service until the lease is lost, if it is free."""
        if self._state.is_draining:
            return
        holder = self._get_lease_holder(name)
        if holder is None:
            # Entries try one after the other, so that most of them see the new
            # holder and need not call the store.
            members = self._list_live_members()
            position = (
                members.index(self._owner) if self._owner in members else 0
            )
            await self._clock.sleep(
                timedelta(seconds=position * self._STAGGER_S)
            )
            holder = self._get_lease_holder(name)
        # A lease held by this instance belongs to a previous process.
        if self._state.is_draining or holder not in (None, self._owner):
            return
        await self._acquire(name)

    async def _acquire(self, name: ModelGroupId) -> None:
        controller = self._controllers.get(name)
        if controller is None:
            controller = self._make_controller(name)
            self._controllers[name] = controller
        try:
            if await controller.lease.acquire():
                await controller.run()
        except ChicoryplankError as error:
            emit(Event.CONTROL_ROUND_FAILED, group=name, error=error.message)
