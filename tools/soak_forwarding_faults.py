"""Faults from outside for the soak of the forwarding entries."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from fleet import Fleet, Forwarder, wait_for_http
from soak_records import Timeline

from chicoryplank_platform.names import READY_PATH
from chicoryplank_platform.tests.simulated_replica import (
    ReplicaFault,
    SimulatedReplica,
)
from chicoryplank_platform.tests.simulated_store import SimulatedStore

# Delay after which the platform restarts a process, in seconds.
RESTART_S = 0.3
STOP_GRACE_S = 8.0
START_LIMIT_S = 15.0
# Time for which a leaving replica goes on, beyond the bound, in seconds.
_LINGER_S = 2.5
_STORE = "store"


@dataclasses.dataclass(slots=True)
class Place:
    """An entry with its settings and links.

    Attributes:
        settings: Settings file.
        text: Valid content of that file.
        address: Where callers connect, behind the link.
        ready_address: Where the platform asks whether it is ready.
        caller_link: Link from callers to the entry.
        store_link: Link from the entry to the store.
    """

    name: str
    settings: pathlib.Path
    text: str
    address: str
    ready_address: str
    directory_address: str
    caller_link: Forwarder
    store_link: Forwarder

    async def wait_ready(self) -> None:
        """Waits until the entry is ready."""
        await wait_for_http(self.ready_address, READY_PATH, START_LIMIT_S)


@dataclasses.dataclass(slots=True)
class World:
    """What faults act on.

    Attributes:
        busy: Processes and replicas that a fault restarts just now.
        mark_leaving: Called with a replica whose leaving was acknowledged.
    """

    fleet: Fleet
    store: SimulatedStore
    places: dict[str, Place]
    replicas: dict[str, SimulatedReplica]
    replica_links: dict[str, Forwarder]
    timeline: Timeline
    source: random.Random
    mark_leaving: Callable[[SimulatedReplica], None]
    busy: set[str] = dataclasses.field(default_factory=set)

    def choose(self, items: dict[str, object]) -> str | None:
        """Returns a name that no other restart concerns, or None."""
        free = [name for name in items if name not in self.busy]
        return self.source.choice(free) if free else None

    @contextlib.contextmanager
    def occupy(self, kind: str, *names: str) -> Iterator[None]:
        """Marks entries as concerned by a fault and busy with a restart."""
        self.busy.update(names)
        interval = self.timeline.begin(kind, *names)
        try:
            yield
        finally:
            self.timeline.end(interval)
            self.busy.difference_update(names)

    def draw_s(self, least: float, most: float) -> float:
        """Returns a time in seconds."""
        return self.source.uniform(least, most)


async def _restart(world: World, name: str) -> None:
    """Restarts an entry until it is ready; damaged settings end it again."""
    ready = asyncio.create_task(world.places[name].wait_ready())
    try:
        while not ready.done():
            await asyncio.sleep(RESTART_S)
            if not world.fleet.members[name].is_running:
                world.fleet.restart(name)
    finally:
        ready.cancel()
    await ready


async def kill_entry(world: World) -> None:
    """Kills an entry, which the platform restarts."""
    if name := world.choose(world.places):
        with world.occupy("kill", name):
            world.fleet.kill(name)
            await _restart(world, name)


async def kill_all(world: World) -> None:
    """Kills all entries at once."""
    names = [name for name in world.places if name not in world.busy]
    with world.occupy("kill_all", *names):
        for name in names:
            world.fleet.kill(name)
        await asyncio.gather(*(_restart(world, name) for name in names))


async def stop_entry(world: World) -> None:
    """Stops an entry as planned work does, and starts it again."""
    if name := world.choose(world.places):
        with world.occupy("stop", name):
            world.fleet.terminate(name)
            await world.fleet.wait_for_end(name, STOP_GRACE_S)
            await _restart(world, name)


async def pause_entry(world: World) -> None:
    """Freezes an entry."""
    if name := world.choose(world.places):
        with world.occupy("pause", name):
            world.fleet.pause(name)
            await asyncio.sleep(world.draw_s(0.3, 3.0))
            world.fleet.resume(name)


async def reload_entry(world: World) -> None:
    """Changes the settings of an entry, or damages them, and signals it."""
    name = world.choose(world.places)
    if name is None:
        return
    path, text = world.places[name].settings, world.places[name].text
    interval = world.timeline.begin("reload", "settings")
    extra = world.source.randrange(80, 90)
    changed = f"{text}bounds.retry-budget-extra={extra}\n"
    path.write_text(world.source.choice((changed, "no settings\n", "")))
    if world.source.random() < 0.5:
        world.fleet.send(name, signal.SIGHUP)
    await asyncio.sleep(world.draw_s(0.1, 3.0))
    path.write_text(text)
    world.timeline.end(interval)


async def _disturb_link(
    world: World, link: Forwarder, kind: str, target: str
) -> None:
    """Delays, resets, silences or cuts a link in one direction."""
    how = world.source.choice(
        ("delay", "reset", "towards", "back", "silence", "refuse", "break")
    )
    interval = world.timeline.begin(f"{kind}_{how}", target)
    if how == "delay":
        link.delay_s = world.draw_s(0.02, 0.4)
    elif how in ("towards", "back"):
        link.block((how == "towards",))
    elif how == "silence":
        link.block()
    elif how == "refuse":
        link.accepts = False
    elif how == "break":
        link.break_after[False] = world.source.randrange(2_000)
    await asyncio.sleep(world.draw_s(0.2, 2.5))
    if how in ("reset", "refuse"):
        link.cut()
    link.delay_s = 0.0
    link.accepts = True
    link.break_after.clear()
    link.unblock()
    world.timeline.end(interval)


async def disturb_callers(world: World) -> None:
    """Disturbs the link between callers and an entry."""
    name = world.source.choice(list(world.places))
    link = world.places[name].caller_link
    await _disturb_link(world, link, "caller_link", name)


async def disturb_store_link(world: World) -> None:
    """Disturbs the link between an entry and the store."""
    name = world.source.choice(list(world.places))
    link = world.places[name].store_link
    await _disturb_link(world, link, "store_link", name)


async def disturb_replica_link(world: World) -> None:
    """Disturbs the link between all entries and a replica."""
    name = world.source.choice(list(world.replicas))
    link = world.replica_links[name]
    interval = world.timeline.begin("link", world.replicas[name].name)
    await _disturb_link(world, link, "replica_link", name)
    world.timeline.end(interval)


async def disturb_store(world: World) -> None:
    """Makes the store slow, silent, absent, or forgetful."""
    store = world.store
    how = world.source.choice(
        ("down", "slow", "mute", "lost_answers", "history", "leases", "item")
    )
    interval = world.timeline.begin(f"store_{how}", _STORE)
    if how == "down":
        store.forced_status = 503
    elif how == "slow":
        store.delay_s = world.draw_s(0.1, 0.8)
    elif how == "mute":
        store.is_unresponsive = True
    elif how == "lost_answers":
        store.lost_responses = 3
    elif how == "history":
        store.oldest_revision = store.revision
    elif how == "leases":
        for lease in list(store.leases):
            store.end_lease(lease)
    else:
        value = world.source.choice(
            (b"\xff\x00", b"[]", b"null", b'{"service":4}', b"{}")
        )
        store.put("servers/of-another-writer", value)
    await asyncio.sleep(world.draw_s(0.3, 3.0))
    store.forced_status = 0
    store.delay_s = 0.0
    store.is_unresponsive = False
    store.lost_responses = 0
    world.timeline.end(interval)


async def crash_replica(world: World) -> None:
    """Crashes a replica, which returns under its id or a new one."""
    name = world.choose(world.replicas)
    if name is None:
        return
    world.busy.add(name)
    replica = world.replicas[name]
    interval = world.timeline.begin("crash", name, replica.name)
    port = replica.port
    await replica.crash()
    await asyncio.sleep(world.draw_s(0.1, 2.0))
    renames = world.source.random() < 0.5
    if renames:
        replica.unregister()
    await replica.start(port, renames)
    replica.register()
    world.timeline.end(interval)
    world.busy.discard(name)


async def drain_replica(world: World) -> None:
    """Lets a replica leave, with or without notice, and replaces it."""
    name = world.choose(world.replicas)
    if name is None:
        return
    world.busy.add(name)
    replica = world.replicas[name]
    port = replica.port
    if world.source.random() < 0.7:
        replica.register("draining")
    else:
        replica.unregister()
    world.mark_leaving(replica)
    await asyncio.sleep(world.draw_s(2.0, 2.0 + _LINGER_S))
    interval = world.timeline.begin("crash", name, replica.name)
    replica.unregister()
    await replica.crash()
    await replica.start(port, changes_name=True)
    replica.register()
    world.timeline.end(interval)
    world.busy.discard(name)


async def spoil_replica(world: World) -> None:
    """Makes the answers of a replica bad, late or absent."""
    name = world.source.choice(list(world.replicas))
    replica = world.replicas[name]
    fault = world.source.choice(list(ReplicaFault)[1:])
    interval = world.timeline.begin(f"replica_{fault.value}", name)
    spoilt = world.timeline.begin("spoilt", replica.name)
    replica.fault = fault
    await asyncio.sleep(world.draw_s(0.3, 2.5))
    replica.fault = ReplicaFault.NONE
    world.timeline.end(interval)
    world.timeline.end(spoilt)


FAULTS: dict[str, Callable[[World], Awaitable[None]]] = {
    "kill": kill_entry,
    "kill_all": kill_all,
    "stop": stop_entry,
    "pause": pause_entry,
    "reload": reload_entry,
    "caller_link": disturb_callers,
    "store_link": disturb_store_link,
    "replica_link": disturb_replica_link,
    "store": disturb_store,
    "crash": crash_replica,
    "drain": drain_replica,
    "spoil": spoil_replica,
}


async def run_faults(
    world: World, kinds: list[str], seconds: float, lanes: int
) -> None:
    """Runs faults in several lanes, which overlap each other.

    Args:
        world: What they act on.
        kinds: Names of faults.
        seconds: Time in which faults begin.
        lanes: Faults at the same time.
    """
    end_s = time.monotonic() + seconds

    async def run_lane() -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(world.draw_s(0.1, 1.2))
            kind = world.source.choice(kinds)
            for _ in range(world.source.choice((1, 1, 1, 2, 3))):
                await FAULTS[kind](world)

    await asyncio.gather(*(run_lane() for _ in range(lanes)))
