"""Faults of the soak test and their schedule, which a seed determines."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator

from fleet import (
    Fleet,
    FleetError,
    TcpProxy,
    request_json,
    wait_for_http,
    wait_for_port,
)
from layout import Site
from soak_callers import CallerSimulator
from soak_operators import Operators
from soak_records import Timeline

from chicoryplank_standins.calls import (
    Call,
    CallKind,
    Target,
    make_calls,
    make_client,
)
from chicoryplank_standins.service import HARMFUL_MARK

START_TIMEOUT_S = 20
# A request may fail because of a fault up to this time after its end.
END_MARGIN_S = 1.0
LEAVING_DURATION_S = 7.0
STOP_TIMEOUT_S = 40


# Bound on the requests at a service that names a limit: a multiple of the limit
# and a number of further requests in a window, from a time after it was named.
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA = 5
_LIMIT_WINDOW_S = 4.0
_LIMIT_NOTICE_S = 1.0
# Bounds on the crashes under one call: the crashes after which all entries must
# know it, the time in seconds until they do, and the later ones that are
# allowed.
_HARMFUL_CRASHES = 3
_HARMFUL_NOTICE_S = 3.0
_MAX_LATE_CRASHES = 3
_HARMFUL_DURATION_S = 14.0
_HARMFUL_RATE_PER_S = 1.5
_MAX_DOWN_S = 1.5


class FaultContext:
    """Objects that faults act on, with the reservations of processes.

    Args:
        fleet: Starts, pauses and ends the processes.
        site: Addresses and links of the processes.
        timeline: Records the interval of each fault.
        operators: Operators, who confirm drains.
        callers: Sends the calls of faults that need calls of their own.
        target: Model and service that these calls address.

    Attributes:
        errors: Descriptions of faults that could not be injected or removed.
        planned_stop_lock: Held during an undisturbed planned stop and during
            each short fault, so that they do not overlap.
    """

    def __init__(
        self,
        fleet: Fleet,
        site: Site,
        timeline: Timeline,
        *,
        operators: Operators,
        callers: CallerSimulator,
        target: Target,
    ) -> None:
        self.fleet = fleet
        self.site = site
        self.timeline = timeline
        self.operators = operators
        self.callers = callers
        self.target = target
        self.errors: list[str] = []
        self.planned_stop_lock = asyncio.Lock()
        self._reserved: set[str] = set()

    @contextlib.contextmanager
    def reserve_random(
        self, rng: random.Random, prefix: str, count: int = 1
    ) -> Iterator[list[str]]:
        """Reserves random processes for a fault; fewer if not enough are free.

        Args:
            rng: Source of random numbers.
            prefix: Prefix of the names of the processes.
            count: Number of processes to reserve.
        """
        names = [
            name
            for name in self.site.addresses
            if name.startswith(prefix) and name not in self._reserved
        ]
        chosen = rng.sample(names, min(count, len(names)))
        with self.reserve(chosen):
            yield chosen

    @contextlib.contextmanager
    def reserve(self, names: list[str]) -> Iterator[None]:
        """Reserves processes, so that no other fault uses them."""
        added = set(names) - self._reserved
        self._reserved |= added
        try:
            yield
        finally:
            self._reserved -= added

    def is_free(self, name: str) -> bool:
        """Tells whether no fault has reserved a process."""
        return name not in self._reserved

    @contextlib.asynccontextmanager
    async def record_fault(
        self, kind: str, *targets: str, margin_s: float = END_MARGIN_S
    ) -> AsyncIterator[None]:
        """Records the interval of a fault on the timeline."""
        interval = self.timeline.begin(kind, *targets)
        try:
            yield
        finally:
            self.timeline.end(interval, margin_s)

    async def set_faults(self, name: str, **fields: object) -> None:
        """Sets the injected faults of a simulated server."""
        address = self.site.addresses[name]
        await request_json(address, "/faults", "POST", fields)

    async def restart(self, name: str) -> None:
        """Starts an ended process again and waits until it responds."""
        self.fleet.restart(name)
        address = self.site.addresses[name]
        if name.startswith("agent-"):
            await wait_for_port(address, START_TIMEOUT_S)
        elif name.startswith("entry-"):
            await wait_for_http(address, "/healthz", START_TIMEOUT_S)
        else:
            await wait_for_http(address, "/records", START_TIMEOUT_S)

    async def stop_and_replace(self, name: str) -> None:
        """Stops an entry or agent as the platform does and starts it again."""
        await self.mark_leaving(name)
        self.fleet.terminate(name)
        code = await self.fleet.wait_for_end(name, STOP_TIMEOUT_S)
        if code != 0:
            self.errors.append(f"{name} exited with code {code} after SIGTERM")
        await self.restart(name)
        await self.site.register(self.site.instances[name])

    async def mark_leaving(self, name: str) -> None:
        """Marks an instance as leaving in the instance list."""
        address = self.site.addresses["instances"]
        await request_json(address, "/leave", "POST", {"instance": name})


Fault = Callable[[FaultContext, random.Random], Coroutine[None, None, None]]


def _make_kill(prefix: str) -> Fault:
    async def kill(context: FaultContext, rng: random.Random) -> None:
        with context.reserve_random(rng, prefix) as names:
            for name in names:
                async with context.record_fault("kill", name):
                    context.fleet.kill(name)
                    await asyncio.sleep(rng.uniform(0, 2))
                    await context.restart(name)

    return kill


def _make_pause(prefix: str) -> Fault:
    async def pause(context: FaultContext, rng: random.Random) -> None:
        with context.reserve_random(rng, prefix) as names:
            for name in names:
                async with context.record_fault("pause", name):
                    context.fleet.pause(name)
                    try:
                        await asyncio.sleep(rng.uniform(0.5, 8))
                    finally:
                        context.fleet.resume(name)

    return pause


def _choose_link(
    context: FaultContext, rng: random.Random, prefix: str
) -> tuple[str, TcpProxy]:
    names = [name for name in context.site.links if name.startswith(prefix)]
    name = rng.choice(names)
    return name, context.site.links[name]


async def cut_link(context: FaultContext, rng: random.Random) -> None:
    """Breaks connections repeatedly, at an arbitrary byte of a frame."""
    name, link = _choose_link(context, rng, "agent-")
    async with context.record_fault("cut_link", name):
        for _ in range(rng.randint(1, 6)):
            direction = rng.random() < 0.5
            link.break_after_bytes[direction] = rng.randint(0, 4_000)
            await asyncio.sleep(rng.uniform(0.1, 0.6))
        link.break_after_bytes.clear()
        if rng.random() < 0.5:
            link.cut()


async def block_link(context: FaultContext, rng: random.Random) -> None:
    """Blocks a link in one direction or in both."""
    name, link = _choose_link(context, rng, "agent-")
    directions = rng.choice([(True,), (False,), (True, False)])
    async with context.record_fault("block_link", name):
        link.block(directions)
        await asyncio.sleep(rng.uniform(0.5, 8))
        if rng.random() < 0.5:
            link.cut()
        link.unblock()


async def delay_link(context: FaultContext, rng: random.Random) -> None:
    """Delays data on a link and, half of the time, then breaks it."""
    name, link = _choose_link(context, rng, "agent-")
    async with context.record_fault("delay_link", name):
        link.delay_s = rng.uniform(0.02, 0.8)
        await asyncio.sleep(rng.uniform(1, 5))
        if rng.random() < 0.5:
            link.cut()
        link.delay_s = 0


def _make_link_fault(kind: str, prefix: str) -> Fault:
    async def inject(context: FaultContext, rng: random.Random) -> None:
        name, link = _choose_link(context, rng, prefix)
        async with context.record_fault(kind, name):
            if rng.random() < 0.5:
                link.block(rng.choice([(True,), (False,)]))
                await asyncio.sleep(rng.uniform(0.5, 5))
            else:
                link.accepts_connections = False
                link.cut()
                await asyncio.sleep(rng.uniform(0.5, 3))
            link.accepts_connections = True
            link.unblock()

    return inject


def _make_store_fault(kind: str) -> Fault:
    async def inject(context: FaultContext, rng: random.Random) -> None:
        if not context.is_free("store"):
            return
        fields: dict[str, object] = {
            "store_down": {
                "down": True,
                "mode": rng.choice(["hang", "refuse"]),
            },
            "store_slow": {"delay_ms": rng.uniform(100, 1_200)},
            "store_loses_answers": {"lose_answers": rng.randint(5, 30)},
        }[kind]
        with context.reserve(["store"]):
            async with context.record_fault(kind, "store"):
                await context.set_faults("store", **fields)
                await asyncio.sleep(rng.uniform(2, 6))
                await context.set_faults(
                    "store", down=False, delay_ms=0, lose_answers=0
                )

    return inject


async def delay_instance_list(
    context: FaultContext, rng: random.Random
) -> None:
    """Makes the instance list lag behind for some seconds."""
    lag_ms = rng.uniform(500, 2_000)
    await context.set_faults("instances", lag_ms=lag_ms)
    async with context.record_fault("instances_lag", "instances"):
        await asyncio.sleep(rng.uniform(3, 6))
    await context.set_faults("instances", lag_ms=0)


async def restart_between_tries(
    context: FaultContext, rng: random.Random
) -> None:
    """Kills an agent between two attempts with the same idempotency key."""
    with context.reserve_random(rng, "agent-service-", 2) as names:
        if len(names) < 2:
            return
        call = _make_write(context, rng)
        entry_index = rng.randrange(8)
        await context.callers.send(call, entry_index, True)
        agents = names if rng.random() < 0.3 else names[:1]
        await _kill_together(context, "restart_between_tries", agents)
        for number in range(1, 4):
            await context.callers.send(call, entry_index + number, False)
            await asyncio.sleep(rng.uniform(0, 1))


async def limit_service(context: FaultContext, rng: random.Random) -> None:
    """Makes a service name a limit and checks that it is kept."""
    with context.reserve_random(rng, "service-") as names:
        for name in names:
            limit = rng.choice((0.5, 1.0, 2.0, 4.0))
            agent = f"agent-{name}"
            with context.reserve([agent]):
                async with context.record_fault("limit_service", name, agent):
                    await context.set_faults(name, server_limit=limit)
                    await asyncio.sleep(_LIMIT_NOTICE_S)
                    begun_s = time.time()
                    await asyncio.sleep(rng.uniform(4.5, 7.0))
                    await _check_limit(context, name, limit, begun_s)
                    await context.set_faults(name, server_limit=None)


async def _check_limit(
    context: FaultContext, name: str, limit: float, begun_s: float
) -> None:
    """Checks the executions of a service since a Unix time in seconds."""
    _, document = await request_json(context.site.addresses[name], "/records")
    if document is None:
        context.errors.append(f"{name} did not return its records")
        return
    times = sorted(
        at_s
        for record in document["records"]
        for at_s in record["times_s"]
        if at_s >= begun_s
    )
    allowed = _LIMIT_FACTOR * _LIMIT_WINDOW_S * limit + _LIMIT_EXTRA
    for index, start_s in enumerate(times):
        count = sum(at_s < start_s + _LIMIT_WINDOW_S for at_s in times[index:])
        if count > allowed:
            context.errors.append(
                f"{name} got {count} requests in {_LIMIT_WINDOW_S} s, "
                f"{allowed:g} allowed"
            )
            return


async def send_harmful_call(context: FaultContext, rng: random.Random) -> None:
    """Repeats a call under which services crash, and checks that it ends.

    Nothing else disturbs the services meanwhile, so that each arrival at a
    service is a crash.
    """
    services = [
        name for name in context.site.addresses if name.startswith("service-")
    ]
    names = [*services, *(f"agent-{name}" for name in services)]
    if not all(map(context.is_free, names)):
        return
    with context.reserve(names):
        async with context.record_fault("harmful_call", *names):
            crash_times: list[float] = []
            restarts = [
                asyncio.create_task(
                    _restart_after_crashes(context, name, rng, crash_times)
                )
                for name in services
            ]
            try:
                await _repeat_harmful_call(context, rng)
                await asyncio.sleep(_MAX_DOWN_S)
            finally:
                for task in restarts:
                    task.cancel()
                await asyncio.gather(*restarts, return_exceptions=True)
            for name in services:
                if not context.fleet.members[name].is_running:
                    await context.restart(name)
    crash_times.sort()
    known_s = [*crash_times, *[float("inf")] * _HARMFUL_CRASHES][
        _HARMFUL_CRASHES - 1
    ] + _HARMFUL_NOTICE_S
    late = [at_s - known_s for at_s in crash_times if at_s > known_s]
    if len(late) > _MAX_LATE_CRASHES:
        context.errors.append(f"harmful call sent after its crashes: {late}")


async def _restart_after_crashes(
    context: FaultContext,
    name: str,
    rng: random.Random,
    crash_times: list[float],
) -> None:
    """Restarts a service some time after each crash, until cancelled."""
    while True:
        await asyncio.sleep(0.02)
        if context.fleet.members[name].is_running:
            continue
        crash_times.append(time.monotonic())
        await asyncio.sleep(rng.uniform(0.3, _MAX_DOWN_S))
        await context.restart(name)


async def _repeat_harmful_call(
    context: FaultContext, rng: random.Random
) -> None:
    calls = make_calls(context.target, 1, 1e9, rng)
    call = next(call for call in calls if call.kind is CallKind.READ)
    path = call.path.rpartition("/")[0] + f"/{HARMFUL_MARK}{rng.random()}"
    entries = [
        address
        for name, address in context.site.addresses.items()
        if name.startswith("entry-")
    ]

    async def send(client) -> None:
        # A failure is the expected end of such a call.
        with contextlib.suppress(TimeoutError, OSError, EOFError):
            async with asyncio.timeout(3):
                response = await client.get(
                    f"http://{rng.choice(entries)}{path}", headers=call.headers
                )
                await response.content()

    end_s = time.monotonic() + _HARMFUL_DURATION_S
    client = make_client(64)
    tasks = []
    while time.monotonic() < end_s:
        tasks.append(asyncio.create_task(send(client)))
        await asyncio.sleep(rng.expovariate(_HARMFUL_RATE_PER_S))
    await asyncio.gather(*tasks, return_exceptions=True)
    await client.aclose()


def _make_write(context: FaultContext, rng: random.Random) -> Call:
    calls = make_calls(context.target, 1, 1e9, rng)
    return next(call for call in calls if call.kind is CallKind.WRITE)


async def _kill_together(
    context: FaultContext, kind: str, names: list[str]
) -> None:
    async with (
        context.record_fault(kind, *names),
        context.record_fault("kill", *names),
    ):
        for name in names:
            context.fleet.kill(name)
        await asyncio.gather(*map(context.restart, names))


async def lose_zone(context: FaultContext, rng: random.Random) -> None:
    """Kills all processes of one availability zone for some seconds."""
    zone = rng.choice(context.site.options.zones)
    names = [
        name
        for name, fields in context.site.instances.items()
        if fields["zone"] == zone
    ]
    names += [
        name.removeprefix("agent-")
        for name in names
        if name.startswith("agent-")
    ]
    names = [name for name in names if context.is_free(name)]
    with context.reserve(names):
        async with context.record_fault("zone", *names):
            for name in names:
                context.fleet.kill(name)
            await asyncio.sleep(rng.uniform(2, 5))
            await asyncio.gather(*map(context.restart, names))


async def mark_leaving(context: FaultContext, rng: random.Random) -> None:
    """Marks an instance as leaving, as the platform does, then replaces it."""
    with context.reserve_random(rng, "agent-") as names:
        for name in names:
            backend = name.removeprefix("agent-")
            with context.reserve([backend]):
                async with context.record_fault("leaving", backend, margin_s=0):
                    await context.mark_leaving(name)
                    await asyncio.sleep(LEAVING_DURATION_S)
                async with context.record_fault("stop_agent", name):
                    await context.stop_and_replace(name)


async def drain(context: FaultContext, rng: random.Random) -> None:
    """Drains an instance by an operator change and then reverts the change."""
    with context.reserve_random(rng, "agent-") as names:
        for name in names:
            intent = {"leaving": {"add": [name]}}
            if not await context.operators.change(intent, "cyd"):
                continue
            backend = name.removeprefix("agent-")
            async with context.record_fault("draining", backend, margin_s=0):
                await asyncio.sleep(LEAVING_DURATION_S)
            reverse_intent = {"leaving": {"remove": [name]}}
            end_s = time.monotonic() + 30
            while not await context.operators.change(reverse_intent, "cyd"):
                if time.monotonic() > end_s:
                    context.errors.append(
                        f"the drain of {name} could not be reverted"
                    )
                    return
                await asyncio.sleep(0.5)


def _make_stop(kind: str, prefix: str, count: int) -> Fault:
    async def stop(context: FaultContext, rng: random.Random) -> None:
        with context.reserve_random(rng, prefix, count) as names:
            async with context.record_fault(kind, *names):
                await asyncio.gather(*map(context.stop_and_replace, names))

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
    "instances_lag": delay_instance_list,
    "restart_between_tries": restart_between_tries,
    "lose_zone": lose_zone,
    "mark_leaving": mark_leaving,
    "drain": drain,
    "limit_service": limit_service,
    "harmful_call": send_harmful_call,
    "stop_entry": _make_stop("stop_entry", "entry-", 1),
    "stop_agent": _make_stop("stop_agent", "agent-", 1),
    "replace_entries": _make_stop("replace_entries", "entry-", 2),
}
# Planned stops must not make any request fail. Half of them run without other
# faults, so that each failed request can be attributed to them.
PLANNED_STOPS = frozenset(
    {"mark_leaving", "drain", "stop_entry", "stop_agent", "replace_entries"}
)
# Short faults of one process or link, which run concurrently with the others.
SHORT_FAULTS = frozenset(
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
_PAIR_PROBABILITY = 0.5
# Pause before a fault.
_GAP_RANGE_S = (0.3, 1.0)
# Time without short faults before an undisturbed planned stop.
_UNDISTURBED_LEAD_S = 2.5


def generate_rounds(
    kinds: list[str], rng: random.Random
) -> Iterator[tuple[str, ...]]:
    """Yields kinds of faults, alone or in pairs, each kind equally often."""
    remaining_kinds: list[str] = []
    while True:
        while len(remaining_kinds) < 2:
            shuffled_kinds = list(kinds)
            rng.shuffle(shuffled_kinds)
            remaining_kinds = shuffled_kinds + remaining_kinds
        size = 2 if rng.random() < _PAIR_PROBABILITY else 1
        yield tuple(remaining_kinds.pop() for _ in range(size))


async def run_faults(
    context: FaultContext, kinds: list[str], seconds: float, seed: str
) -> None:
    """Injects faults for a time and removes each of them."""
    end_s = time.monotonic() + seconds
    short_kinds = [kind for kind in kinds if kind in SHORT_FAULTS]
    loops = [_run_rounds(context, kinds, end_s, f"{seed}/rounds")]
    if short_kinds:
        loops.append(
            _run_short_faults(context, short_kinds, end_s, f"{seed}/singles")
        )
    await asyncio.gather(*loops)


async def _run_rounds(
    context: FaultContext, kinds: list[str], end_s: float, seed: str
) -> None:
    """Injects faults alone and in pairs; planned stops run undisturbed."""
    rng = random.Random(seed)
    for number, names in enumerate(generate_rounds(kinds, rng)):
        if time.monotonic() > end_s:
            return
        if len(names) == 1 and names[0] in PLANNED_STOPS:
            async with context.planned_stop_lock:
                await asyncio.sleep(_UNDISTURBED_LEAD_S)
                await _run_round(context, names, f"{seed}/{number}")
            continue
        await asyncio.sleep(rng.uniform(*_GAP_RANGE_S))
        await _run_round(context, names, f"{seed}/{number}")


async def _run_short_faults(
    context: FaultContext, kinds: list[str], end_s: float, seed: str
) -> None:
    """Injects short faults concurrently with the rounds."""
    rng = random.Random(seed)
    number = 0
    while time.monotonic() < end_s:
        number += 1
        async with context.planned_stop_lock:
            names = (rng.choice(kinds),)
            await _run_round(context, names, f"{seed}/{number}")
        await asyncio.sleep(rng.uniform(*_GAP_RANGE_S))


async def _run_round(
    context: FaultContext, names: tuple[str, ...], seed: str
) -> None:
    results = await asyncio.gather(
        *(
            FAULTS[name](context, random.Random(f"{seed}/{name}"))
            for name in names
        ),
        return_exceptions=True,
    )
    for name, result in zip(names, results, strict=True):
        if isinstance(result, FleetError):
            context.errors.append(f"{name}: {result}")
        elif isinstance(result, BaseException):
            raise result
