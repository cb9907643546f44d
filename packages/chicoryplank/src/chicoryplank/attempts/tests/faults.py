"""Clock and store of a modelled process, whose faults the model decides."""

import asyncio
import dataclasses
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from chicoryplank.clock import ManualClock
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict

if TYPE_CHECKING:
    from chicoryplank.attempts.tests.processes import Agent
    from chicoryplank.attempts.tests.world import World


class InvariantError(AssertionError):
    """An invariant does not hold."""


class SkewedClock:
    """Wall clock with an offset; the time since boot is the shared one."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.offset = timedelta()

    def now(self) -> datetime:
        """Returns the skewed wall-clock time."""
        return self._clock.now() + self.offset

    def elapsed(self) -> timedelta:
        """Returns the time since boot."""
        return self._clock.elapsed()

    async def sleep(self, duration: timedelta) -> None:
        """Waits until the shared clock has advanced."""
        await self._clock.sleep(duration)


@dataclasses.dataclass(eq=False)
class Gate:
    """A point at which a call to the store waits for the model."""

    agent: "Agent"
    future: asyncio.Future
    is_answer: bool
    is_write: bool


class GatedStore:
    """The store as one agent reaches it; each call waits at two gates."""

    def __init__(self, world: "World", agent: "Agent") -> None:
        self._world = world
        self._agent = agent

    async def _wait(self, is_answer: bool, is_write: bool) -> str:
        future = self._agent.loop.create_future()
        gate = Gate(self._agent, future, is_answer, is_write)
        self._world.gates.append(gate)
        return await future

    async def _call(self, name: str, *args, is_write: bool) -> object:
        store = self._world.store
        fault = await self._wait(False, is_write)
        store.available = fault != "down" and not self._world.store_down
        store.delay_writes = int(fault == "late")
        try:
            result = await getattr(store, name)(*args)
        finally:
            store.available = True
            store.delay_writes = 0
        if await self._wait(True, is_write) == "lost":
            verdict = Verdict.MAY_HAVE_RUN if is_write else Verdict.NOT_RUN
            raise StoreError("the answer was lost", verdict)
        return result

    async def read(self, key):
        """Reads a key."""
        return await self._call("read", key, is_write=False)

    async def read_prefix(self, prefix):
        """Reads the keys with a prefix."""
        return await self._call("read_prefix", prefix, is_write=False)

    async def swap(self, key, value, expected_revision, lease=0):
        """Writes a key by compare-and-swap."""
        return await self._call(
            "swap", key, value, expected_revision, lease, is_write=True
        )

    async def delete(self, key, expected_revision):
        """Deletes a key by compare-and-swap."""
        return await self._call("delete", key, expected_revision, is_write=True)
