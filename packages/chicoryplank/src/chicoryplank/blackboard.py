"""Shared state of a process that its controllers read and write."""

import asyncio
import dataclasses
import operator
from collections.abc import AsyncIterator
from typing import Generic, TypeVar

from chicoryplank.configuration import Snapshot
from chicoryplank.ids import ConfigVersion, InstanceId, ZoneId

Value = TypeVar("Value")

_MAX_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance as the platform's instance list shows it.

    Attributes:
        instance: Id of the instance.
        role: "entry" or "backend".
        zone: Availability zone.
        address: Host and port where other processes of the system connect.
        caller_address: Host and port where callers connect; entries only.
        deployment: Model group or service; backend servers only.
        leaving: Whether the platform is about to stop the instance.
    """

    instance: InstanceId
    role: str
    zone: ZoneId
    address: str
    caller_address: str = ""
    deployment: str = ""
    leaving: bool = False


class Section(Generic[Value]):
    """One subject of the blackboard.

    Args:
        value: Initial value.

    Example:
        >>> section = Section(0)
        >>> section.write(5)
        >>> section.value
        5
    """

    def __init__(self, value: Value) -> None:
        self.value = value
        self._changed = asyncio.Event()

    def write(self, value: Value) -> None:
        """Replaces the value and wakes those who wait for a change."""
        self.value = value
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_change(self) -> Value:
        """Waits for the next write and returns the value."""
        await self._changed.wait()
        return self.value


async def follow_sections(
    *sections: Section,
) -> AsyncIterator[tuple[object, ...]]:
    """Yields the values of sections, at first and after each change.

    Args:
        *sections: Sections to follow; an equal value that was written anew
            counts as a change.
    """
    seen: tuple[object, ...] | None = None
    while True:
        values = tuple(section.value for section in sections)
        if seen is None or any(map(operator.is_not, values, seen)):
            seen = values
            yield values
        else:
            await _wait_any_change(sections)


async def _wait_any_change(sections: tuple[Section, ...]) -> None:
    """Waits for a write, or a second, as one may come before the wait."""
    changes = [
        asyncio.create_task(section.wait_change()) for section in sections
    ]
    try:
        await asyncio.wait(
            changes,
            timeout=_MAX_WAIT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for change in changes:
            change.cancel()


class Blackboard:
    """State that several controllers of one process share.

    Attributes:
        snapshot: Configuration in force; only its version 0 is empty.
        instances: Instance list, possibly lagging.
        leaving: Whether this process is about to stop; callers are sent
            elsewhere.
        draining: Whether this process accepts no new requests.
        synchronized: Whether the configuration was once as new as that of
            every peer heard.
        isolated: Whether neither the store nor a peer was heard for too long.
    """

    def __init__(self) -> None:
        empty = Snapshot(ConfigVersion(0), {}, {}, {})
        self.snapshot: Section[Snapshot] = Section(empty)
        self.instances: Section[tuple[Instance, ...]] = Section(())
        self.leaving: Section[bool] = Section(False)
        self.draining: Section[bool] = Section(False)
        self.synchronized: Section[bool] = Section(False)
        self.isolated: Section[bool] = Section(False)
