"""Access of the operator commands to the store and the instance list."""

import contextlib
import dataclasses
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from datetime import timedelta

from chicoryplank.clock import Clock, SystemClock
from chicoryplank.configuration import Capacity, EntrySettings
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.store import Store

# Timeout if no settings file is given. Generous, since an operator would
# otherwise have to repeat the command by hand.
_TIMEOUT = timedelta(seconds=5)


def _open_store(address: str, timeout: timedelta) -> Store:
    from chicoryplank_wire.store import EtcdStore

    return EtcdStore(address, timeout)


async def _fetch_instances(
    address: str, timeout: timedelta
) -> Sequence[object]:
    from chicoryplank_wire.instance_list import fetch_instances

    return await fetch_instances(address, timeout)


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Factories of the clients and the clock, which tests replace.

    Attributes:
        open_store: Returns a store client with an async `close`.
        fetch_instances: Returns the entries of the instance list.
        clock: Source of the timestamps of confirmed versions.
    """

    open_store: Callable[[str, timedelta], Store] = _open_store
    fetch_instances: Callable[[str, timedelta], Awaitable[Sequence[object]]] = (
        _fetch_instances
    )
    clock: Clock = dataclasses.field(default_factory=SystemClock)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """One instance of the instance list, as shown to operators."""

    instance: InstanceId
    role: str
    zone: str
    deployment: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Addresses and timeouts of the site that a command works on.

    Attributes:
        platform: Factories of the clients.
        store_address: Address of the store.
        store_timeout: Timeout of one call to the store.
        list_address: Address of the instance list; None if none was given.
        list_timeout: Timeout of a read of the instance list.
    """

    platform: Platform
    store_address: str
    store_timeout: timedelta = _TIMEOUT
    list_address: str | None = None
    list_timeout: timedelta = _TIMEOUT

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[Store]:
        """Opens a store client and closes it when the context ends."""
        store = self.platform.open_store(self.store_address, self.store_timeout)
        try:
            yield store
        finally:
            close = getattr(store, "close", None)
            if close is not None:
                await close()

    async def fetch_instances(self) -> tuple[InstanceStatus, ...]:
        """Returns the instance list, ordered by id."""
        try:
            entries = await self.platform.fetch_instances(
                self.list_address, self.list_timeout
            )
        except Exception as error:
            # Every failure of the client gets the same code, since the
            # operator has to check the instance list in each case.
            raise ChicoryplankError(
                ErrorCode.MEMBER_UNREACHABLE,
                f"the instance list at {self.list_address} did not respond: "
                f"{error!r}",
            ) from error
        statuses = [
            InstanceStatus(
                **{
                    field.name: _get_field(entry, field.name)
                    for field in dataclasses.fields(InstanceStatus)
                }
            )
            for entry in entries
        ]
        return tuple(sorted(statuses, key=lambda item: item.instance))

    async def fetch_capacity(self) -> Capacity:
        """Returns the instances of each deployment that are not draining."""
        return make_capacity(await self.fetch_instances())


def make_target(platform: Platform, settings: EntrySettings) -> Target:
    """Returns the site that the settings of an entry describe."""
    return Target(
        platform,
        settings.store.address,
        settings.store.timeout,
        settings.instance_list.address,
        settings.instance_list.timeout,
    )


def _get_field(entry: object, name: str) -> object:
    if isinstance(entry, dict):
        return entry.get(name)
    return getattr(entry, name, None)


def make_capacity(instances: Sequence[InstanceStatus]) -> Capacity:
    """Returns the instances of each deployment that are not draining."""
    live: dict[str, set[InstanceId]] = defaultdict(set)
    zones = {}
    for item in instances:
        if item.deployment and not item.leaving:
            live[item.deployment].add(item.instance)
            zones[item.instance] = ZoneId(item.zone)
    return Capacity({name: frozenset(live[name]) for name in live}, zones)
