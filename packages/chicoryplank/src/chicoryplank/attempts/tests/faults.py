"""Clock and store of a simulated process, with faults that tests inject."""

import asyncio
import dataclasses
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from chicoryplank.clock import ManualClock
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict

if TYPE_CHECKING:
    from chicoryplank.attempts.tests.processes import Agent
    from chicoryplank.attempts.tests.simulation import Simulation


class InvariantError(AssertionError):
    """An invariant of the simulated system does not hold."""


class SkewedClock:
    """Clock whose wall-clock time is offset; the time since boot is shared."""

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
    """A store call that is suspended until the simulation resumes it.

    Attributes:
        agent: Agent that made the call.
        future: Resumes the call; its result is the fault to inject, or "".
        is_response: Whether the store has processed the call, so that only the
            response is outstanding.
        is_write: Whether the call is a write.
    """

    agent: "Agent"
    future: asyncio.Future
    is_response: bool
    is_write: bool


class GatedStore:
    """Store used by one agent, with injected faults.

    Each call is suspended twice: before it reaches the store and before its
    response reaches the agent.
    """

    def __init__(self, simulation: "Simulation", agent: "Agent") -> None:
        self._simulation = simulation
        self._agent = agent

    async def _wait(self, is_response: bool, is_write: bool) -> str:
        future = self._agent.loop.create_future()
        gate = Gate(self._agent, future, is_response, is_write)
        self._simulation.gates.append(gate)
        return await future

    async def _call(self, name: str, *args, is_write: bool) -> object:
        store = self._simulation.store
        fault = await self._wait(False, is_write)
        store.available = fault != "down" and not self._simulation.store_down
        store.delay_writes = int(fault == "late")
        try:
            result = await getattr(store, name)(*args)
        finally:
            store.available = True
            store.delay_writes = 0
        if await self._wait(True, is_write) == "lost":
            verdict = Verdict.MAY_HAVE_RUN if is_write else Verdict.NOT_RUN
            raise StoreError("the response was lost", verdict)
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
