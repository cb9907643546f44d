"""Observable state that the controllers of one process share."""

import asyncio
import dataclasses
import operator
from collections.abc import AsyncIterator
from typing import Generic, TypeVar

from chicoryplank.configuration import Snapshot
from chicoryplank.ids import ConfigVersion, InstanceId, ZoneId

Value = TypeVar("Value")

# Bounds the delay after a write that happens before the tasks that wait for
# it have started, since they do not see that write.
_MAX_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An entry of the platform's instance list.

    Attributes:
        instance: Id of the instance.
        role: "entry" or "backend".
        zone: Availability zone.
        address: Host and port for connections from other instances.
        caller_address: Host and port for connections from callers; empty
            except for entries.
        deployment: Model group or service that the instance runs; empty
            except for backend servers.
        leaving: Whether the platform is about to stop the instance.
    """

    instance: InstanceId
    role: str
    zone: ZoneId
    address: str
    caller_address: str = ""
    deployment: str = ""
    leaving: bool = False


class Observable(Generic[Value]):
    """Value whose changes can be awaited.

    Args:
        value: Initial value.

    Example:
        >>> observable = Observable(0)
        >>> observable.write(5)
        >>> observable.value
        5
    """

    def __init__(self, value: Value) -> None:
        self.value = value
        self._changed = asyncio.Event()

    def write(self, value: Value) -> None:
        """Replaces the value and wakes all tasks that wait for a change."""
        self.value = value
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_change(self) -> Value:
        """Waits for the next write and returns the current value."""
        await self._changed.wait()
        return self.value


async def follow_observables(
    *observables: Observable,
) -> AsyncIterator[tuple[object, ...]]:
    """Yields the current values at once and again after each change.

    Args:
        *observables: Observables to follow. Values are compared by identity, so
            writing a new object that is equal counts as a change.
    """
    last: tuple[object, ...] | None = None
    while True:
        values = tuple(observable.value for observable in observables)
        if last is None or any(map(operator.is_not, values, last)):
            last = values
            yield values
        else:
            await _wait_any_change(observables)


async def _wait_any_change(observables: tuple[Observable, ...]) -> None:
    """Waits for a write to any observable, at most _MAX_WAIT_S."""
    waiters = [
        asyncio.create_task(observable.wait_change())
        for observable in observables
    ]
    try:
        await asyncio.wait(
            waiters,
            timeout=_MAX_WAIT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for waiter in waiters:
            waiter.cancel()


class ProcessState:
    """State shared by the controllers of one process.

    Attributes:
        snapshot: Active configuration. Version 0 is the empty configuration
            before the first one is read.
        instances: Latest known instance list, which may be out of date.
        leaving: Whether this process is about to stop and directs callers to
            other entries.
        draining: Whether this process refuses new requests.
        synchronized: Whether the configuration has at some time been as recent
            as that of every peer that reported its version.
        isolated: Whether neither the store nor any peer has responded for
            longer than the permitted isolation time.
    """

    def __init__(self) -> None:
        empty = Snapshot(ConfigVersion(0), {}, {}, {})
        self.snapshot: Observable[Snapshot] = Observable(empty)
        self.instances: Observable[tuple[Instance, ...]] = Observable(())
        self.leaving: Observable[bool] = Observable(False)
        self.draining: Observable[bool] = Observable(False)
        self.synchronized: Observable[bool] = Observable(False)
        self.isolated: Observable[bool] = Observable(False)
