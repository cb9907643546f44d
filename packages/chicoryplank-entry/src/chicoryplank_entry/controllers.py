"""Tasks of the entry that keep the blackboard up to date."""

import asyncio
from datetime import timedelta

import aiosonic

from chicoryplank.blackboard import Blackboard
from chicoryplank.clock import Clock
from chicoryplank.configuration import InstanceListSettings, SnapshotReader
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.store import Store
from chicoryplank_entry.relays import RelayPool
from chicoryplank_wire.instance_list import fetch_instances

_CONFIGURATION_INTERVAL = timedelta(seconds=1)
_SILENCE_INTERVAL = timedelta(seconds=1)


async def follow_instances(
    settings: InstanceListSettings,
    client: aiosonic.HTTPClient,
    blackboard: Blackboard,
    pool: RelayPool,
    clock: Clock,
) -> None:
    """Reads the instance list again and again; keeps the last one."""
    while True:
        try:
            instances = await fetch_instances(
                settings.address, settings.timeout, client
            )
        except ChicoryplankError as error:
            emit(Event.INSTANCE_LIST_UNAVAILABLE, error=error.message)
        else:
            if instances != blackboard.instances.value:
                blackboard.instances.write(instances)
                await pool.observe(instances)
        await clock.sleep(settings.poll_interval)


async def follow_configuration(
    store: Store, blackboard: Blackboard, pool: RelayPool, clock: Clock
) -> None:
    """Applies each newer configuration version of the store."""
    reader = SnapshotReader()
    while True:
        try:
            applied = await reader.refresh(store)
        except ChicoryplankError as error:
            emit(Event.CONFIGURATION_UNAVAILABLE, error=error.message)
        else:
            if applied:
                blackboard.snapshot.write(reader.snapshot)
                emit(
                    Event.CONFIGURATION_APPLIED,
                    version=reader.snapshot.version,
                )
                for relay in pool.relays.values():
                    relay.wake()
        await clock.sleep(_CONFIGURATION_INTERVAL)


async def watch_silence(pool: RelayPool, clock: Clock) -> None:
    """Marks agents as stalled that were not heard for too long."""
    while True:
        await clock.sleep(_SILENCE_INTERVAL)
        for relay in pool.relays.values():
            relay.check_silence()
        await asyncio.sleep(0)
