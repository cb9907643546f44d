"""Tasks of the entry that keep the process state up to date."""

import asyncio
import collections
import dataclasses
from datetime import timedelta

import aiosonic

from chicoryplank.clock import Clock
from chicoryplank.configuration import InstanceListSettings
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank.limits import Limiter, QueueParameters
from chicoryplank.process_state import (
    Instance,
    ProcessState,
    follow_observables,
)
from chicoryplank_entry.relays import RelayPool
from chicoryplank_entry.selection import (
    choose_agents,
    choose_announcers,
    get_service_deployments,
)
from chicoryplank_wire.instance_list import fetch_instances

_SILENCE_INTERVAL = timedelta(seconds=1)
# Batches of about this size keep an engine busy; the limit adapts from here.
_REQUESTS_PER_REPLICA = 64


async def follow_instances(
    settings: InstanceListSettings,
    client: aiosonic.HTTPClient,
    process_state: ProcessState,
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
            if instances != process_state.instances.value:
                process_state.instances.write(instances)
        await clock.sleep(settings.poll_interval)


async def choose_relays(
    process_state: ProcessState, pool: RelayPool, own: Instance
) -> None:
    """Connects to the agents that fall to this entry after each change."""
    seen: tuple[object, object] = (None, None)
    sections = (process_state.instances, process_state.snapshot)
    async for instances, snapshot in follow_observables(*sections):
        # Most configuration changes leave the services as they are, and a
        # choice among 12,000 agents blocks the event loop.
        services = get_service_deployments(snapshot)
        if seen[0] is instances and seen[1] == services:
            continue
        seen = (instances, services)
        wanted = choose_agents(own, instances, services)
        await pool.update(instances, wanted)


async def announce_configuration(
    process_state: ProcessState, pool: RelayPool, own: InstanceId
) -> None:
    """Tells agents of a new version where this entry is one of their sources.

    Every message carries the version anyway. Agents that begin or cease to
    leave are told by all their entries at once.
    """
    leaving = process_state.snapshot.value.leaving
    while True:
        snapshot = await process_state.snapshot.wait_change()
        changed = snapshot.leaving ^ leaving
        leaving = snapshot.leaving
        entries = [
            item
            for item in process_state.instances.value
            if item.role == "entry"
        ]
        is_listed = any(item.instance == own for item in entries)
        for agent, relay in pool.relays.items():
            if (
                agent in changed
                or not is_listed
                or own in choose_announcers(relay.instance, entries)
            ):
                relay.request_send()


async def watch_silence(pool: RelayPool, clock: Clock) -> None:
    """Marks agents as stalled that were not heard for too long."""
    while True:
        await clock.sleep(_SILENCE_INTERVAL)
        for relay in pool.relays.values():
            relay.check_stalled()
        await asyncio.sleep(0)


def count_entries(instances: tuple[Instance, ...]) -> int:
    """Returns the number of entries that the instance list shows."""
    return max(1, sum(item.role == "entry" for item in instances))


async def configure_limits(
    limiter: Limiter, process_state: ProcessState, clock: Clock
) -> None:
    """Tells the limiter of each change of accounts, entries and replicas."""
    sections = (process_state.instances, process_state.snapshot)
    async for instances, snapshot in follow_observables(*sections):
        entries = count_entries(instances)
        limiter.configure(snapshot.accounts, entries, clock.now())
        replicas = collections.Counter(
            item.deployment for item in instances if item.role == "backend"
        )
        for deployment, count in replicas.items():
            limiter.configure_group(
                deployment, _make_queue_parameters(count, entries)
            )


def _make_queue_parameters(replicas: int, entries: int) -> QueueParameters:
    """Returns parameters whose first limit fills this entry's share."""
    share = _REQUESTS_PER_REPLICA * replicas // entries
    default = QueueParameters()
    first = min(max(default.initial_limit, share), default.max_limit)
    return dataclasses.replace(default, initial_limit=first)
