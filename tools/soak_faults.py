"""Faults of the soak run and the schedule that a seed decides."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator

from fleet import (
    Fleet,
    FleetError,
    Forwarder,
    request_json,
    wait_for_http,
    wait_for_port,
)
from layout import Site
from soak_callers import Callers
from soak_operators import Operators
from soak_records import Timeline

from chicoryplank_standins.calls import Call, CallKind, Target, make_calls

START_LIMIT_S = 20
# What a fault did to requests may show a little after its end.
MARGIN_S = 1.0
LEAVING_HOLD_S = 7.0
STOP_LIMIT_S = 40


class World:
    """Everything that a fault may touch.

    Args:
        fleet: Processes.
        site: Addresses and links.
        timeline: Takes the interval of each fault.
        operators: Confirm drains.
        callers: Make the calls of faults that need some of their own.
        target: What these calls are sent to.
    """

    def __init__(
        self,
        fleet: Fleet,
        site: Site,
        timeline: Timeline,
        *,
        operators: Operators,
        callers: Callers,
        target: Target,
    ) -> None:
        self.fleet = fleet
        self.site = site
        self.timeline = timeline
        self.operators = operators
        self.callers = callers
        self.target = target
        self.errors: list[str] = []
        # Held by whatever must be, or must not be, beside a planned stop.
        self.stage = asyncio.Lock()
        self._busy: set[str] = set()

    @contextlib.contextmanager
    def take(
        self, random_source: random.Random, prefix: str, count: int = 1
    ) -> Iterator[list[str]]:
        """Reserves processes for a fault; may find fewer than asked for."""
        names = [
            name
            for name in self.site.addresses
            if name.startswith(prefix) and name not in self._busy
        ]
        taken = random_source.sample(names, min(count, len(names)))
        with self.reserve(taken):
            yield taken

    @contextlib.contextmanager
    def reserve(self, names: list[str]) -> Iterator[None]:
        """Keeps other faults away from processes."""
        added = set(names) - self._busy
        self._busy |= added
        try:
            yield
        finally:
            self._busy -= added

    def is_free(self, name: str) -> bool:
        """Whether no fault holds a process."""
        return name not in self._busy

    @contextlib.asynccontextmanager
    async def record(
        self, kind: str, *targets: str, margin_s: float = MARGIN_S
    ) -> AsyncIterator[None]:
        """Records the interval of a fault."""
        interval = self.timeline.begin(kind, *targets)
        try:
            yield
        finally:
            self.timeline.end(interval, margin_s)

    async def set_faults(self, name: str, **fields: object) -> None:
        """Changes the faults of a stand-in."""
        address = self.site.addresses[name]
        await request_json(address, "/faults", "POST", fields)

    async def restart(self, name: str) -> None:
        """Starts a process again and waits until it answers."""
        self.fleet.restart(name)
        address = self.site.addresses[name]
        if name.startswith("agent-"):
            await wait_for_port(address, START_LIMIT_S)
        elif name.startswith("entry-"):
            await wait_for_http(address, "/healthz", START_LIMIT_S)
        else:
            await wait_for_http(address, "/records", START_LIMIT_S)

    async def stop_and_replace(self, name: str) -> None:
        """Replaces an entry or agent as the platform does."""
        await self.mark_leaving(name)
        self.fleet.terminate(name)
        code = await self.fleet.wait_for_end(name, STOP_LIMIT_S)
        if code != 0:
            self.errors.append(f"{name} ended with {code} after SIGTERM")
        await self.restart(name)
        await self.site.register(self.site.instances[name])

    async def mark_leaving(self, name: str) -> None:
        """Marks an instance as leaving in the instance list."""
        address = self.site.addresses["instances"]
        await request_json(address, "/leave", "POST", {"instance": name})


Fault = Callable[[World, random.Random], Coroutine[None, None, None]]


def _make_kill(prefix: str) -> Fault:
    async def kill(world: World, random_source: random.Random) -> None:
        with world.take(random_source, prefix) as names:
            for name in names:
                async with world.record("kill", name):
                    world.fleet.kill(name)
                    await asyncio.sleep(random_source.uniform(0, 2))
                    await world.restart(name)

    return kill


def _make_pause(prefix: str) -> Fault:
    async def pause(world: World, random_source: random.Random) -> None:
        with world.take(random_source, prefix) as names:
            for name in names:
                async with world.record("pause", name):
                    world.fleet.pause(name)
                    try:
                        await asyncio.sleep(random_source.uniform(0.5, 8))
                    finally:
                        world.fleet.resume(name)

    return pause


def _pick_link(
    world: World, random_source: random.Random, prefix: str
) -> tuple[str, Forwarder]:
    names = [name for name in world.site.links if name.startswith(prefix)]
    name = random_source.choice(names)
    return name, world.site.links[name]


async def cut_link(world: World, random_source: random.Random) -> None:
    """Breaks connections within a frame, again and again."""
    name, link = _pick_link(world, random_source, "agent-")
    async with world.record("cut_link", name):
        for _ in range(random_source.randint(1, 6)):
            direction = random_source.random() < 0.5
            link.break_after[direction] = random_source.randint(0, 4_000)
            await asyncio.sleep(random_source.uniform(0.1, 0.6))
        link.break_after.clear()
        if random_source.random() < 0.5:
            link.cut()


async def block_link(world: World, random_source: random.Random) -> None:
    """Holds back data in one direction or in both."""
    name, link = _pick_link(world, random_source, "agent-")
    directions = random_source.choice([(True,), (False,), (True, False)])
    async with world.record("block_link", name):
        link.block(directions)
        await asyncio.sleep(random_source.uniform(0.5, 8))
        if random_source.random() < 0.5:
            link.cut()
        link.unblock()


async def delay_link(world: World, random_source: random.Random) -> None:
    """Delays data on a link and then cuts it."""
    name, link = _pick_link(world, random_source, "agent-")
    async with world.record("delay_link", name):
        link.delay_s = random_source.uniform(0.02, 0.8)
        await asyncio.sleep(random_source.uniform(1, 5))
        if random_source.random() < 0.5:
            link.cut()
        link.delay_s = 0


def _make_link_fault(kind: str, prefix: str) -> Fault:
    async def disturb(world: World, random_source: random.Random) -> None:
        name, link = _pick_link(world, random_source, prefix)
        async with world.record(kind, name):
            if random_source.random() < 0.5:
                link.block(random_source.choice([(True,), (False,)]))
                await asyncio.sleep(random_source.uniform(0.5, 5))
            else:
                link.accepts = False
                link.cut()
                await asyncio.sleep(random_source.uniform(0.5, 3))
            link.accepts = True
            link.unblock()

    return disturb


def _make_store_fault(kind: str) -> Fault:
    async def disturb(world: World, random_source: random.Random) -> None:
        if not world.is_free("store"):
            return
        fields: dict[str, object] = {
            "store_down": {
                "down": True,
                "mode": random_source.choice(["hang", "refuse"]),
            },
            "store_slow": {"delay_ms": random_source.uniform(100, 1_200)},
            "store_loses_answers": {
                "lose_answers": random_source.randint(5, 30)
            },
        }[kind]
        with world.reserve(["store"]):
            async with world.record(kind, "store"):
                await world.set_faults("store", **fields)
                await asyncio.sleep(random_source.uniform(2, 6))
                await world.set_faults(
                    "store", down=False, delay_ms=0, lose_answers=0
                )

    return disturb


async def lag_instances(world: World, random_source: random.Random) -> None:
    """Lets the instance list lag for a while."""
    lag_ms = random_source.uniform(500, 2_000)
    await world.set_faults("instances", lag_ms=lag_ms)
    async with world.record("instances_lag", "instances"):
        await asyncio.sleep(random_source.uniform(3, 6))
    await world.set_faults("instances", lag_ms=0)


async def restart_between_tries(
    world: World, random_source: random.Random
) -> None:
    """Kills the agent that ran a key before the key is tried again."""
    with world.take(random_source, "agent-service-", 2) as names:
        if len(names) < 2:
            return
        call = _make_write(world, random_source)
        turn = random_source.randrange(8)
        await world.callers.send(call, turn, True)
        agents = names if random_source.random() < 0.3 else names[:1]
        await _kill_together(world, "restart_between_tries", agents)
        for number in range(1, 4):
            await world.callers.send(call, turn + number, False)
            await asyncio.sleep(random_source.uniform(0, 1))


def _make_write(world: World, random_source: random.Random) -> Call:
    calls = make_calls(world.target, 1, 1e9, random_source)
    return next(call for call in calls if call.kind is CallKind.WRITE)


async def _kill_together(world: World, kind: str, names: list[str]) -> None:
    async with world.record(kind, *names), world.record("kill", *names):
        for name in names:
            world.fleet.kill(name)
        await asyncio.gather(*map(world.restart, names))


async def lose_zone(world: World, random_source: random.Random) -> None:
    """Ends everything in one availability zone for some seconds."""
    zone = random_source.choice(world.site.options.zones)
    names = [
        name
        for name, fields in world.site.instances.items()
        if fields["zone"] == zone
    ]
    names += [
        name.removeprefix("agent-")
        for name in names
        if name.startswith("agent-")
    ]
    names = [name for name in names if world.is_free(name)]
    with world.reserve(names):
        async with world.record("zone", *names):
            for name in names:
                world.fleet.kill(name)
            await asyncio.sleep(random_source.uniform(2, 5))
            await asyncio.gather(*map(world.restart, names))


async def mark_leaving(world: World, random_source: random.Random) -> None:
    """Lets the platform mark an instance, and replaces it at the end."""
    with world.take(random_source, "agent-") as names:
        for name in names:
            backend = name.removeprefix("agent-")
            with world.reserve([backend]):
                async with world.record("leaving", backend, margin_s=0):
                    await world.mark_leaving(name)
                    await asyncio.sleep(LEAVING_HOLD_S)
                async with world.record("stop_agent", name):
                    await world.stop_and_replace(name)


async def drain(world: World, random_source: random.Random) -> None:
    """Lets an operator drain an instance and take it back."""
    with world.take(random_source, "agent-") as names:
        for name in names:
            intent = {"leaving": {"add": [name]}}
            if not await world.operators.change(intent, "cyd"):
                continue
            backend = name.removeprefix("agent-")
            async with world.record("draining", backend, margin_s=0):
                await asyncio.sleep(LEAVING_HOLD_S)
            undo = {"leaving": {"remove": [name]}}
            end_s = time.monotonic() + 30
            while not await world.operators.change(undo, "cyd"):
                if time.monotonic() > end_s:
                    world.errors.append(f"{name} could not be taken back")
                    return
                await asyncio.sleep(0.5)


def _make_stop(kind: str, prefix: str, count: int) -> Fault:
    async def stop(world: World, random_source: random.Random) -> None:
        with world.take(random_source, prefix, count) as names:
            async with world.record(kind, *names):
                await asyncio.gather(*map(world.stop_and_replace, names))

    return stop


FAULTS: dict[str, Fault] = {
    "kill_entry": _make_kill("entry-"),
    "kill_agent": _make_kill("agent-"),
    "kill_engine": _make_kill("engine-"),
    "kill_service": _make_kill("service-"),
    "pause_entry": _make_pause("entry-"),
    "pause_agent": _make_pause("agent-"),
    "pause_engine": _make_pause("engine-"),
    "pause_service": _make_pause("service-"),
    "cut_link": cut_link,
    "block_link": block_link,
    "delay_link": delay_link,
    "store_link": _make_link_fault("store_link", "store-"),
    "control_link": _make_link_fault("control_link", "control-"),
    "store_down": _make_store_fault("store_down"),
    "store_slow": _make_store_fault("store_slow"),
    "store_loses_answers": _make_store_fault("store_loses_answers"),
    "instances_lag": lag_instances,
    "restart_between_tries": restart_between_tries,
    "lose_zone": lose_zone,
    "mark_leaving": mark_leaving,
    "drain": drain,
    "stop_entry": _make_stop("stop_entry", "entry-", 1),
    "stop_agent": _make_stop("stop_agent", "agent-", 1),
    "replace_entries": _make_stop("replace_entries", "entry-", 2),
}
# They must break nothing, so half of the time nothing else is going on.
PLANNED = frozenset(
    {"mark_leaving", "drain", "stop_entry", "stop_agent", "replace_entries"}
)
# Short faults of one process or link, which run beside the others.
SIMPLE = frozenset(
    {
        "kill_entry",
        "kill_agent",
        "kill_engine",
        "kill_service",
        "pause_entry",
        "pause_agent",
        "pause_engine",
        "pause_service",
        "cut_link",
        "block_link",
        "delay_link",
        "store_link",
        "control_link",
    }
)
_PAIR_SHARE = 0.5
_GAP_S = (0.3, 1.0)
_QUIET_S = 2.5


def make_rounds(
    kinds: list[str], random_source: random.Random
) -> Iterator[tuple[str, ...]]:
    """Yields faults, alone or in pairs, each kind equally often."""
    deck: list[str] = []
    while True:
        while len(deck) < 2:
            fresh = list(kinds)
            random_source.shuffle(fresh)
            deck = fresh + deck
        size = 2 if random_source.random() < _PAIR_SHARE else 1
        yield tuple(deck.pop() for _ in range(size))


async def run_faults(
    world: World, kinds: list[str], seconds: float, seed: str
) -> None:
    """Injects faults for a time and heals each."""
    end_s = time.monotonic() + seconds
    single = [kind for kind in kinds if kind in SIMPLE]
    lanes = [_run_rounds(world, kinds, end_s, f"{seed}/rounds")]
    if single:
        lanes.append(_run_singles(world, single, end_s, f"{seed}/singles"))
    await asyncio.gather(*lanes)


async def _run_rounds(
    world: World, kinds: list[str], end_s: float, seed: str
) -> None:
    """Runs faults alone and in pairs, some of them undisturbed."""
    random_source = random.Random(seed)
    for number, names in enumerate(make_rounds(kinds, random_source)):
        if time.monotonic() > end_s:
            return
        if len(names) == 1 and names[0] in PLANNED:
            async with world.stage:
                await asyncio.sleep(_QUIET_S)
                await _run_round(world, names, f"{seed}/{number}")
            continue
        await asyncio.sleep(random_source.uniform(*_GAP_S))
        await _run_round(world, names, f"{seed}/{number}")


async def _run_singles(
    world: World, kinds: list[str], end_s: float, seed: str
) -> None:
    """Runs simple faults beside the rounds."""
    random_source = random.Random(seed)
    number = 0
    while time.monotonic() < end_s:
        number += 1
        async with world.stage:
            names = (random_source.choice(kinds),)
            await _run_round(world, names, f"{seed}/{number}")
        await asyncio.sleep(random_source.uniform(*_GAP_S))


async def _run_round(world: World, names: tuple[str, ...], seed: str) -> None:
    results = await asyncio.gather(
        *(
            FAULTS[name](world, random.Random(f"{seed}/{name}"))
            for name in names
        ),
        return_exceptions=True,
    )
    for name, result in zip(names, results, strict=True):
        if isinstance(result, FleetError):
            world.errors.append(f"{name}: {result}")
        elif isinstance(result, BaseException):
            raise result
