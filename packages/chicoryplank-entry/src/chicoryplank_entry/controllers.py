"""Background tasks that update the process state, relays and limits."""

import asyncio
import collections
import dataclasses
from datetime import timedelta

import aiosonic

from chicoryplank.clock import Clock
from chicoryplank.configuration import InstanceListSettings
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.limits import Limiter, QueueParameters
from chicoryplank.process_state import (
    Instance,
    ProcessState,
    follow_observables,
)
from chicoryplank_entry import metrics
from chicoryplank_entry.relays import RelayPool
from chicoryplank_entry.selection import (
    choose_agents,
    choose_announcers,
    get_service_deployments,
)
from chicoryplank_wire.instance_list import fetch_instances

_STALL_CHECK_INTERVAL = timedelta(seconds=1)
# Initial concurrency limit per replica: batches of about this size keep an
# engine busy. The limit adapts from there.
_REQUESTS_PER_REPLICA = 64


async def poll_instance_list(
    settings: InstanceListSettings,
    client: aiosonic.HTTPClient,
    process_state: ProcessState,
    clock: Clock,
) -> None:
    """Polls the instance list and writes each change to the process state.

    After a failed read the last list stays.
    """
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


async def update_relays(
    process_state: ProcessState, pool: RelayPool, own: Instance
) -> None:
    """Keeps relays to the agents that are assigned to this entry.

    The assignment is computed after each change of the instance list or of
    the services.
    """
    previous: tuple[object, object] = (None, None)
    observables = (process_state.instances, process_state.snapshot)
    async for instances, snapshot in follow_observables(*observables):
        # Most configuration changes do not affect the services, and choosing
        # among 12,000 agents blocks the event loop.
        services = get_service_deployments(snapshot)
        if previous[0] is instances and previous[1] == services:
            continue
        previous = (instances, services)
        chosen = choose_agents(own, instances, services)
        await pool.update(instances, chosen)


async def announce_configuration(
    process_state: ProcessState, pool: RelayPool, own: InstanceId
) -> None:
    """Sends each new version to the agents that this entry announces it to.

    Other agents learn the version from the next message, since each message
    carries it. An agent that starts or stops draining is notified by all its
    entries immediately.
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


async def report_evacuations(process_state: ProcessState) -> None:
    """Logs the beginning and the end of evacuations, and counts the zones.

    Waits for the instance list, which tells whether a zone has replicas.
    """
    reported: frozenset[ZoneId] = frozenset()
    observables = (process_state.instances, process_state.snapshot)
    async for instances, snapshot in follow_observables(*observables):
        metrics.EVACUATED_ZONES.set(len(snapshot.evacuated))
        if not instances or snapshot.evacuated == reported:
            continue
        replicas = collections.Counter(
            item.zone for item in instances if item.role == "backend"
        )
        for zone in sorted(snapshot.evacuated - reported):
            if replicas[zone]:
                emit(Event.ZONE_EVACUATED, zone=zone, replicas=replicas[zone])
            else:
                emit(Event.EVACUATED_ZONE_UNKNOWN, zone=zone)
        for zone in sorted(reported - snapshot.evacuated):
            emit(Event.ZONE_READMITTED, zone=zone, replicas=replicas[zone])
        reported = snapshot.evacuated


async def detect_stalled_agents(pool: RelayPool, clock: Clock) -> None:
    """Marks agents as stalled from which no message came for too long."""
    while True:
        await clock.sleep(_STALL_CHECK_INTERVAL)
        for relay in pool.relays.values():
            relay.check_stalled()
        await asyncio.sleep(0)


def count_entries(instances: tuple[Instance, ...]) -> int:
    """Returns the number of entries in the instance list, at least 1."""
    return max(1, sum(item.role == "entry" for item in instances))


async def configure_limits(
    limiter: Limiter, process_state: ProcessState, clock: Clock
) -> None:
    """Updates the limiter after changes of accounts, entries or replicas."""
    observables = (process_state.instances, process_state.snapshot)
    async for instances, snapshot in follow_observables(*observables):
        entry_count = count_entries(instances)
        limiter.configure(snapshot.accounts, entry_count, clock.now())
        replica_counts = collections.Counter(
            item.deployment for item in instances if item.role == "backend"
        )
        for deployment, count in replica_counts.items():
            limiter.configure_group(
                deployment, _make_queue_parameters(count, entry_count)
            )


def _make_queue_parameters(
    replica_count: int, entry_count: int
) -> QueueParameters:
    """Returns parameters whose initial limit is the share of this entry."""
    share = _REQUESTS_PER_REPLICA * replica_count // entry_count
    default = QueueParameters()
    limit = min(max(default.initial_limit, share), default.max_limit)
    return dataclasses.replace(default, initial_limit=limit)
