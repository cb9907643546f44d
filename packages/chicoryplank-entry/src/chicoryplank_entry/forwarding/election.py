"""Decides which entry controls the groups of a service."""

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
    """Takes part in who controls the groups of each service.

    Args:
        make_controller: Returns the controller of a service.
        state: What this entry believes.
        list_members: Returns the live entries, this one included, in order.
        owner: This instance.
        clock: Source of time.
        find_holder: Returns the holder of a service's lease, as far as known.
    """

    # Time between two looks for a lease that has lapsed, and the advance of
    # each entry over the next one, in seconds.
    _LOOK_S = 0.2
    _TURN_S = 0.1

    def __init__(
        self,
        make_controller: Callable[[ModelGroupId], MapController],
        state: EntryState,
        *,
        list_members: Callable[[], list[InstanceId]],
        owner: InstanceId,
        clock: Clock,
        find_holder: Callable[[ModelGroupId], InstanceId | None],
    ) -> None:
        self._make_controller = make_controller
        self._state = state
        self._list_members = list_members
        self._owner = owner
        self._clock = clock
        self._find_holder = find_holder
        self._tasks: dict[ModelGroupId, asyncio.Task] = {}
        self._controllers: dict[ModelGroupId, MapController] = {}
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begins to take part."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Gives all leases up."""
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
            await self._clock.sleep(timedelta(seconds=self._LOOK_S))

    async def _control(self, name: ModelGroupId) -> None:
        """Controls one service for as long as the lease allows."""
        if self._state.is_draining:
            return
        holder = self._find_holder(name)
        if holder is None:
            # Entries try one after the other, so that most need no call.
            members = self._list_members()
            turn = members.index(self._owner) if self._owner in members else 0
            await self._clock.sleep(timedelta(seconds=turn * self._TURN_S))
            holder = self._find_holder(name)
        # A lease of this instance is that of an earlier process.
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
