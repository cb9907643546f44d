"""Tasks of the entry that keep the blackboard up to date."""

import asyncio
import collections
import dataclasses
from datetime import timedelta

import aiosonic

from chicoryplank.blackboard import Blackboard, Instance, Section
from chicoryplank.clock import Clock
from chicoryplank.configuration import InstanceListSettings
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank.limits import Limiter, QueueParameters
from chicoryplank.membership import choose_sources
from chicoryplank_entry.relays import RelayPool
from chicoryplank_entry.selection import choose_agents
from chicoryplank_wire.instance_list import fetch_instances

# Two, so that an agent hears of a version if one of them has failed.
_SOURCES = 2
_MAX_WAIT_S = 1.0
_SILENCE_INTERVAL = timedelta(seconds=1)
# Batches of about this size keep an engine busy; the limit adapts from here.
_REQUESTS_PER_REPLICA = 64


async def follow_instances(
    settings: InstanceListSettings,
    client: aiosonic.HTTPClient,
    blackboard: Blackboard,
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
        await clock.sleep(settings.poll_interval)


async def choose_relays(
    blackboard: Blackboard, pool: RelayPool, own: Instance
) -> None:
    """Connects to the agents that fall to this entry after each change."""
    seen: tuple[object, object] = (None, None)
    while True:
        instances = blackboard.instances.value
        snapshot = blackboard.snapshot.value
        if seen[0] is not instances or seen[1] is not snapshot:
            seen = (instances, snapshot)
            wanted = choose_agents(own, instances, snapshot)
            await pool.observe(instances, wanted)
        await _wait_any_change(blackboard.snapshot, blackboard.instances)


async def announce_configuration(
    blackboard: Blackboard, pool: RelayPool, own: InstanceId
) -> None:
    """Tells agents of a new version where this entry is one of their sources.

    Every message carries the version anyway. Agents that begin or cease to
    leave are told by all their entries at once.
    """
    leaving = blackboard.snapshot.value.leaving
    while True:
        snapshot = await blackboard.snapshot.wait_change()
        changed = snapshot.leaving ^ leaving
        leaving = snapshot.leaving
        entries = [
            item.instance
            for item in blackboard.instances.value
            if item.role == "entry"
        ]
        for agent, relay in pool.relays.items():
            sources = choose_sources(agent, entries, count=_SOURCES)
            if agent in changed or own in sources or own not in entries:
                relay.wake()


async def watch_silence(pool: RelayPool, clock: Clock) -> None:
    """Marks agents as stalled that were not heard for too long."""
    while True:
        await clock.sleep(_SILENCE_INTERVAL)
        for relay in pool.relays.values():
            relay.check_silence()
        await asyncio.sleep(0)


def count_entries(instances: tuple[Instance, ...]) -> int:
    """Returns the number of entries that the instance list shows."""
    return max(1, sum(item.role == "entry" for item in instances))


async def configure_limits(
    limiter: Limiter, blackboard: Blackboard, clock: Clock
) -> None:
    """Tells the limiter of each change of accounts, entries and replicas."""
    while True:
        instances = blackboard.instances.value
        entries = count_entries(instances)
        limiter.configure(
            blackboard.snapshot.value.accounts, entries, clock.now()
        )
        replicas = collections.Counter(
            item.deployment for item in instances if item.role == "backend"
        )
        for deployment, count in replicas.items():
            limiter.configure_group(
                deployment, _make_queue_parameters(count, entries)
            )
        await _wait_any_change(blackboard.snapshot, blackboard.instances)


def _make_queue_parameters(replicas: int, entries: int) -> QueueParameters:
    """Returns parameters whose first limit fills this entry's share."""
    share = _REQUESTS_PER_REPLICA * replicas // entries
    default = QueueParameters()
    first = min(max(default.initial_limit, share), default.max_limit)
    return dataclasses.replace(default, initial_limit=first)


async def _wait_any_change(*sections: Section) -> None:
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
