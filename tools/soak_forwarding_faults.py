"""External faults for the soak test of the forwarding entries."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

from fleet import Fleet, TcpProxy, wait_for_http
from soak_records import Interval, Timeline

from chicoryplank_platform.names import (
    EVACUATION_PREFIX,
    READY_PATH,
    REPLICA_PREFIX,
)
from chicoryplank_platform.tests.simulated_replica import (
    ReplicaFault,
    SimulatedReplica,
)
from chicoryplank_platform.tests.simulated_store import SimulatedStore

# Delay before the simulated platform restarts a process, in seconds.
RESTART_DELAY_S = 0.3
STOP_GRACE_S = 8.0
START_TIMEOUT_S = 15.0
# Longest time for which a draining replica serves after the bound of 2 s.
_MAX_DRAIN_EXTRA_S = 2.5
_FALSE_REJECTIONS = (
    ReplicaFault.REPEATS,
    ReplicaFault.DELAYS_COPY,
    ReplicaFault.ANONYMOUS,
    ReplicaFault.UNSTATED,
)
_STORE = "store"
# Zones of the replicas. No entry is in them, so that entries do not prefer some
# of the replicas.
REPLICA_ZONES = ("hall-c", "hall-d")
# Signals that an entry may get while it stops.
_STOP_SIGNALS = (
    signal.SIGHUP,
    signal.SIGHUP,
    signal.SIGTERM,
    signal.SIGSTOP,
    signal.SIGKILL,
)


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """Process of an entry with its settings and links.

    Attributes:
        name: Name of the process.
        settings_path: Settings file.
        valid_text: Valid content of the settings file.
        address: Address for callers, which `caller_link` forwards to.
        ready_address: Address of the readiness check.
        directory_address: Address of the list of entry addresses.
        caller_link: TCP proxy from callers to the entry.
        store_link: TCP proxy from the entry to the store.
    """

    name: str
    settings_path: pathlib.Path
    valid_text: str
    address: str
    ready_address: str
    directory_address: str
    caller_link: TcpProxy
    store_link: TcpProxy

    async def wait_ready(self) -> None:
        """Waits until the entry reports that it is ready."""
        await wait_for_http(self.ready_address, READY_PATH, START_TIMEOUT_S)


@dataclasses.dataclass(slots=True)
class FaultContext:
    """Objects that faults act on.

    Attributes:
        fleet: Starts, pauses and ends the entries.
        store: Simulated store.
        entry_processes: Entries by name.
        replicas: Simulated replicas by name.
        replica_links: TCP proxies to the replicas by name.
        timeline: Records the interval of each fault.
        rng: Source of random numbers.
        record_drain: Called with a replica after the store has acknowledged
            its drain.
        record_limit: Called with a replica, the limit that it named until now,
            and the Unix time in seconds since which it named it.
        evacuated_since: Unix time at which the store acknowledged the
            evacuation of each zone that is evacuated now.
        reserved: Names of the entries and replicas that a fault restarts or
            pauses, so that no other such fault uses them.
        link_faults: Interval of the current fault of each replica link.
        run_harm: Sends requests that crash replicas for a while.
    """

    fleet: Fleet
    store: SimulatedStore
    entry_processes: dict[str, EntryProcess]
    replicas: dict[str, SimulatedReplica]
    replica_links: dict[str, TcpProxy]
    timeline: Timeline
    rng: random.Random
    record_drain: Callable[[SimulatedReplica], None]
    record_limit: Callable[[str, float, float], None]
    evacuated_since: dict[str, float]
    reserved: set[str] = dataclasses.field(default_factory=set)
    link_faults: dict[TcpProxy, Interval] = dataclasses.field(
        default_factory=dict
    )
    run_harm: Callable[["FaultContext"], Awaitable[None]] | None = None

    def choose_unreserved(self, items: dict[str, object]) -> str | None:
        """Returns a random name that is not in `reserved`, or None."""
        free = [name for name in items if name not in self.reserved]
        return self.rng.choice(free) if free else None

    def observe_restart(self, name: str) -> None:
        """Extends a fault of the link of a replica to its current id."""
        interval = self.link_faults.get(self.replica_links[name])
        if interval is not None:
            interval.targets |= {self.replicas[name].name}

    @contextlib.contextmanager
    def record_fault(self, kind: str, *names: str) -> Iterator[None]:
        """Records a fault of entries, which are reserved for its duration."""
        self.reserved.update(names)
        interval = self.timeline.begin(kind, *names)
        try:
            yield
        finally:
            self.timeline.end(interval)
            self.reserved.difference_update(names)

    def draw_duration_s(self, min_s: float, max_s: float) -> float:
        """Returns a random duration in seconds."""
        return self.rng.uniform(min_s, max_s)


async def _restart(context: FaultContext, name: str) -> None:
    """Restarts an entry until it is ready.

    Several starts may be necessary, because the entry exits while another fault
    has damaged its settings file.
    """
    ready = asyncio.create_task(context.entry_processes[name].wait_ready())
    try:
        while not ready.done():
            await asyncio.sleep(RESTART_DELAY_S)
            if not context.fleet.members[name].is_running:
                context.fleet.restart(name)
    finally:
        ready.cancel()
    await ready


async def kill_entry(context: FaultContext) -> None:
    """Kills an entry and restarts it as the platform does."""
    if name := context.choose_unreserved(context.entry_processes):
        with context.record_fault("kill", name):
            context.fleet.kill(name)
            await _restart(context, name)


async def kill_all(context: FaultContext) -> None:
    """Kills all entries at once and restarts them."""
    names = [
        name for name in context.entry_processes if name not in context.reserved
    ]
    with context.record_fault("kill_all", *names):
        for name in names:
            context.fleet.kill(name)
        await asyncio.gather(*(_restart(context, name) for name in names))


async def stop_entry(context: FaultContext) -> None:
    """Stops an entry with SIGTERM, as for maintenance, and restarts it."""
    if name := context.choose_unreserved(context.entry_processes):
        with context.record_fault("stop", name):
            context.fleet.terminate(name)
            await context.fleet.wait_for_end(name, STOP_GRACE_S)
            await _restart(context, name)


async def disturb_stop(context: FaultContext) -> None:
    """Sends an entry that is stopping further signals and new settings."""
    name = context.choose_unreserved(context.entry_processes)
    if name is None:
        return
    entry_process = context.entry_processes[name]
    with context.record_fault("disturbed_stop", name):
        context.fleet.terminate(name)
        end_s = time.monotonic() + STOP_GRACE_S
        member = context.fleet.members[name]
        while member.is_running and time.monotonic() < end_s:
            signal_number = context.rng.choice(_STOP_SIGNALS)
            entry_process.settings_path.write_text(
                f"{entry_process.valid_text}bounds.retry-budget-extra=85\n"
            )
            context.fleet.send(name, signal_number)
            await asyncio.sleep(context.draw_duration_s(0.05, 1.2))
            context.fleet.resume(name)
            await asyncio.sleep(context.draw_duration_s(0.05, 1.2))
        context.fleet.kill(name)
        entry_process.settings_path.write_text(entry_process.valid_text)
        await _restart(context, name)


async def pause_entry(context: FaultContext) -> None:
    """Pauses an entry for up to 3 s."""
    if name := context.choose_unreserved(context.entry_processes):
        with context.record_fault("pause", name):
            context.fleet.pause(name)
            await asyncio.sleep(context.draw_duration_s(0.3, 3.0))
            context.fleet.resume(name)


async def reload_entry(context: FaultContext) -> None:
    """Changes or damages the settings file of an entry; may send SIGHUP."""
    name = context.choose_unreserved(context.entry_processes)
    if name is None:
        return
    path, valid_text = (
        context.entry_processes[name].settings_path,
        context.entry_processes[name].valid_text,
    )
    interval = context.timeline.begin("reload", "settings")
    retry_budget_extra = context.rng.randrange(80, 90)
    changed_text = (
        f"{valid_text}bounds.retry-budget-extra={retry_budget_extra}\n"
    )
    path.write_text(context.rng.choice((changed_text, "no settings\n", "")))
    if context.rng.random() < 0.5:
        context.fleet.send(name, signal.SIGHUP)
    await asyncio.sleep(context.draw_duration_s(0.1, 3.0))
    path.write_text(valid_text)
    context.timeline.end(interval)


async def _disturb_link(
    context: FaultContext, link: TcpProxy, kind: str, target: str
) -> None:
    """Injects a random fault into a link and removes it after a time."""
    mode = context.rng.choice(
        ("delay", "reset", "towards", "back", "silence", "refuse", "break")
    )
    interval = context.timeline.begin(f"{kind}_{mode}", target)
    if mode == "delay":
        link.delay_s = context.draw_duration_s(0.02, 0.4)
    elif mode in ("towards", "back"):
        link.block((mode == "towards",))
    elif mode == "silence":
        link.block()
    elif mode == "refuse":
        link.accepts_connections = False
    elif mode == "break":
        link.break_after_bytes[False] = context.rng.randrange(2_000)
    await asyncio.sleep(context.draw_duration_s(0.2, 2.5))
    if mode in ("reset", "refuse"):
        link.cut()
    link.delay_s = 0.0
    link.accepts_connections = True
    link.break_after_bytes.clear()
    link.unblock()
    context.timeline.end(interval)


async def disturb_callers(context: FaultContext) -> None:
    """Injects a fault into the link between callers and an entry."""
    name = context.rng.choice(list(context.entry_processes))
    link = context.entry_processes[name].caller_link
    await _disturb_link(context, link, "caller_link", name)


async def disturb_store_link(context: FaultContext) -> None:
    """Injects a fault into the link between an entry and the store."""
    name = context.rng.choice(list(context.entry_processes))
    link = context.entry_processes[name].store_link
    await _disturb_link(context, link, "store_link", name)


async def disturb_replica_link(context: FaultContext) -> None:
    """Injects a fault into the link between all entries and a replica."""
    name = context.rng.choice(list(context.replicas))
    link = context.replica_links[name]
    if link in context.link_faults:
        return
    interval = context.timeline.begin("link", context.replicas[name].name)
    context.link_faults[link] = interval
    await _disturb_link(context, link, "replica_link", name)
    context.timeline.end(interval)
    del context.link_faults[link]


async def disturb_store(context: FaultContext) -> None:
    """Injects a random fault into the store and removes it after a time."""
    store = context.store
    mode = context.rng.choice(
        ("down", "slow", "mute", "lost_answers", "history", "leases", "item")
    )
    interval = context.timeline.begin(f"store_{mode}", _STORE)
    if mode == "down":
        store.forced_status = 503
    elif mode == "slow":
        store.delay_s = context.draw_duration_s(0.1, 0.8)
    elif mode == "mute":
        store.is_unresponsive = True
    elif mode == "lost_answers":
        store.lost_responses = 3
    elif mode == "history":
        store.oldest_revision = store.revision
    elif mode == "leases":
        for lease in list(store.leases):
            store.end_lease(lease)
    else:
        value = context.rng.choice(
            (b"\xff\x00", b"[]", b"null", b'{"service":4}', b"{}")
        )
        store.put("servers/of-another-writer", value)
    await asyncio.sleep(context.draw_duration_s(0.3, 3.0))
    store.forced_status = 0
    store.delay_s = 0.0
    store.is_unresponsive = False
    store.lost_responses = 0
    context.timeline.end(interval)


async def crash_replica(context: FaultContext) -> None:
    """Crashes a replica and restarts it under its own or a new name."""
    name = context.choose_unreserved(context.replicas)
    if name is None:
        return
    context.reserved.add(name)
    replica = context.replicas[name]
    interval = context.timeline.begin("crash", name, replica.name)
    port = replica.port
    await replica.crash()
    await asyncio.sleep(context.draw_duration_s(0.1, 2.0))
    renames = context.rng.random() < 0.5
    if renames:
        replica.unregister()
    await replica.start(port, renames)
    context.observe_restart(name)
    replica.register()
    context.timeline.end(interval)
    context.reserved.discard(name)


async def drain_replica(context: FaultContext) -> None:
    """Drains or unregisters a replica and then replaces it."""
    name = context.choose_unreserved(context.replicas)
    if name is None:
        return
    context.reserved.add(name)
    replica = context.replicas[name]
    port = replica.port
    if context.rng.random() < 0.7:
        replica.register("draining")
    else:
        replica.unregister()
    context.record_drain(replica)
    await asyncio.sleep(context.draw_duration_s(2.0, 2.0 + _MAX_DRAIN_EXTRA_S))
    interval = context.timeline.begin("crash", name, replica.name)
    replica.unregister()
    await replica.crash()
    await replica.start(port, changes_name=True)
    context.observe_restart(name)
    replica.register()
    context.timeline.end(interval)
    context.reserved.discard(name)


async def swap_addresses(context: FaultContext) -> None:
    """Crashes a replica of each service; each returns at the other's address.

    The old registrations remain for a while.
    """
    by_service: dict[str, list[str]] = {}
    for name, replica in context.replicas.items():
        if name not in context.reserved:
            by_service.setdefault(replica.service, []).append(name)
    if len(by_service) < 2:
        return
    names = [context.rng.choice(free) for free in by_service.values()]
    replicas = [context.replicas[name] for name in names]
    links = [context.replica_links[name] for name in names]
    ports = [replica.port for replica in replicas]
    outdated = [replica.name for replica in replicas]
    with context.record_fault("crash", *names, *outdated):
        for replica in replicas:
            await replica.crash()
        await asyncio.sleep(context.draw_duration_s(0.05, 1.0))
        for replica, port, name, link in zip(
            replicas, reversed(ports), names, reversed(links), strict=True
        ):
            await replica.start(port, changes_name=True)
            replica.advertised_address = link.address
            context.replica_links[name] = link
            context.observe_restart(name)
            replica.register()
        await asyncio.sleep(context.draw_duration_s(0.0, 2.0))
        for name in outdated:
            context.store.remove(REPLICA_PREFIX + name)


async def inject_replica_fault(context: FaultContext) -> None:
    """Makes the responses of a replica wrong, late or absent for a time."""
    name = context.rng.choice(list(context.replicas))
    await _spoil_replicas(context, [name], list(ReplicaFault)[1:])


def _choose_service_replicas(context: FaultContext) -> list[str]:
    """Returns the names of all replicas of a random service."""
    service = context.rng.choice(list(context.replicas.values())).service
    return [
        name
        for name, replica in context.replicas.items()
        if replica.service == service
    ]


async def inject_false_rejections(context: FaultContext) -> None:
    """Makes responses of all replicas of a service look like rejections."""
    names = _choose_service_replicas(context)
    await _spoil_replicas(context, names, _FALSE_REJECTIONS)


async def shed_requests(context: FaultContext) -> None:
    """Makes all replicas of a service reject most requests."""
    names = _choose_service_replicas(context)
    await _spoil_replicas(context, names, [ReplicaFault.SHEDS])


async def limit_replica(context: FaultContext) -> None:
    """Makes a replica name a limit for some seconds, and maybe change it."""
    name = context.choose_unreserved(context.replicas)
    if name is None:
        return
    replica = context.replicas[name]
    with context.record_fault("limit", name, replica.name):
        for _ in range(context.rng.choice((1, 1, 2))):
            limit = context.rng.choice((0.0, 0.5, 1.0, 2.5, 6.0))
            replica.server_limit = f"{limit:g}"
            begun_s = time.time()
            await asyncio.sleep(context.draw_duration_s(5.0, 9.0))
            context.record_limit(replica.name, limit, begun_s)
        # A malformed limit changes nothing.
        replica.server_limit = context.rng.choice(("", "many", "-1"))
        await asyncio.sleep(context.draw_duration_s(0.0, 0.5))
        replica.server_limit = ""


async def evacuate_zone(context: FaultContext) -> None:
    """Evacuates a zone of replicas for longer than the bound of 5 s."""
    zones = dict.fromkeys(REPLICA_ZONES)
    zone = context.choose_unreserved(zones)
    if zone is None or context.evacuated_since:
        return
    with context.record_fault("evacuate", zone):
        context.store.put(EVACUATION_PREFIX + zone, b"")
        context.evacuated_since[zone] = time.time()
        await asyncio.sleep(context.draw_duration_s(6.0, 8.0))
        del context.evacuated_since[zone]
        context.store.remove(EVACUATION_PREFIX + zone)


async def send_harmful_requests(context: FaultContext) -> None:
    """Lets callers send requests that crash replicas."""
    await context.run_harm(context)


async def _spoil_replicas(
    context: FaultContext, names: list[str], faults: Sequence[ReplicaFault]
) -> None:
    replicas = [context.replicas[name] for name in names]
    fault = context.rng.choice(faults)
    intervals = [
        context.timeline.begin(f"replica_{fault.value}", *names),
        context.timeline.begin("spoilt", *(item.name for item in replicas)),
    ]
    for replica in replicas:
        replica.fault = fault
    await asyncio.sleep(context.draw_duration_s(0.3, 2.5))
    for replica in replicas:
        replica.fault = ReplicaFault.NONE
    for interval in intervals:
        context.timeline.end(interval)


FAULTS: dict[str, Callable[[FaultContext], Awaitable[None]]] = {
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
    "swap": swap_addresses,
    "spoil": inject_replica_fault,
    "false_rejections": inject_false_rejections,
    "disturbed_stop": disturb_stop,
    "shed": shed_requests,
    "limit": limit_replica,
    "harm": send_harmful_requests,
    "evacuate": evacuate_zone,
}


async def run_faults(
    context: FaultContext, kinds: list[str], seconds: float, concurrency: int
) -> None:
    """Injects faults in several concurrent loops.

    Args:
        context: Objects that the faults act on.
        kinds: Kinds of faults.
        seconds: Time in which faults start.
        concurrency: Number of concurrent loops, each with one fault at a time.
    """
    end_s = time.monotonic() + seconds

    async def inject_repeatedly() -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(context.draw_duration_s(0.1, 1.2))
            kind = context.rng.choice(kinds)
            for _ in range(context.rng.choice((1, 1, 1, 2, 3))):
                await FAULTS[kind](context)

    await asyncio.gather(*(inject_repeatedly() for _ in range(concurrency)))
