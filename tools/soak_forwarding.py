"""Runs forwarding entries under traffic and seeded faults from outside.

The entries are the real programs as separate processes. Store, replicas and
callers are stand-ins in this process, and the links between them can be
disturbed. Prints one JSON summary as the last line and ends with 0 only if no
promise was broken. Leaves no process behind.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import sys
import time
from typing import Any

from fleet import Fleet, FleetError, Forwarder, choose_ports
from soak_command import report, run_command
from soak_forwarding_faults import (
    FAULTS,
    STOP_GRACE_S,
    Place,
    World,
    run_faults,
)
from soak_forwarding_judge import (
    BUDGET_EXTRA,
    BUDGET_RATIO,
    BUDGET_WINDOW_S,
    CONFIG_S,
    DRAIN_S,
    MAX_RUNS,
    Expectation,
    Judge,
    Sent,
)
from soak_records import Timeline

from chicoryplank_platform.names import CONFIGURATION_KEY
from chicoryplank_platform.tests import simulated_caller
from chicoryplank_platform.tests.simulated_caller import (
    HOST,
    CallerConnection,
    Kind,
    Request,
)
from chicoryplank_platform.tests.simulated_replica import (
    STREAM_SERVICE,
    SimulatedReplica,
)
from chicoryplank_platform.tests.simulated_store import SimulatedStore

ENTRIES = 4
# Faults at the same time, drawn for each run.
LANES = (1, 2, 3)
ZONES = ("hall-a", "hall-b")
# Requests a second, by kind.
RATES = {Kind.ONCE: 12.0, Kind.REPEATABLE: 14.0, Kind.STREAM: 8.0}
DEADLINES_MS = {Kind.ONCE: 1_540, Kind.REPEATABLE: 1_536, Kind.STREAM: 8_100}
TIMEOUTS_S = {kind: ms / 1000 for kind, ms in DEADLINES_MS.items()}
# Share of callers that go away early, and of requests on a changing route.
LEAVING_SHARE = 0.03
CHANGING_SHARE = 0.05
ADDRESS_LIFETIME_S = 2.0
CONFIG_INTERVAL_S = 2.5
# Traffic after the last fault, once everything had time to settle.
SETTLE_S = 6.0
RECOVERY_S = 4.0


class Operator:
    """Writes configurations that add and remove routes and keys.

    Args:
        store: Store.
        judge: Learns which routes are gone.
        source: Random numbers.
    """

    def __init__(
        self, store: SimulatedStore, judge: Judge, source: random.Random
    ) -> None:
        self.keys = {"key-1": "quotes", "key-2": "design"}
        self.changing: list[str] = []
        self._store = store
        self._judge = judge
        self._source = source
        self._version = 0
        self._added = 0

    def write(self) -> None:
        """Writes the next version."""
        self._version += self._source.randint(1, 3)
        routes = [
            self._make_route(kind.name, kind.value, kind) for kind in Kind
        ]
        routes += [
            self._make_route(path, path, Kind.REPEATABLE)
            for path in self.changing
        ]
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": "cards", "health-check": "/health"},
                {"name": STREAM_SERVICE, "health-check": "/health"},
            ],
            "limits": {},
            "tenants": [
                {"name": name, "api-keys": [key]}
                for key, name in self.keys.items()
            ],
        }
        value = json.dumps(document).encode()
        self._store.put(CONFIGURATION_KEY, value)

    def _make_route(self, name: str, path: str, kind: Kind) -> dict[str, Any]:
        kinds = {
            Kind.ONCE: "non_idempotent",
            Kind.REPEATABLE: "idempotent",
            Kind.STREAM: "streaming",
        }
        is_stream = kind is Kind.STREAM
        return {
            "name": name,
            "hostname": HOST,
            "path-prefix": path,
            "service": STREAM_SERVICE if is_stream else "cards",
            "kind": kinds[kind],
            "timeout-ms": DEADLINES_MS[kind],
            "target-latency-ms": 400,
            "priority": 0,
            "max-attempts": MAX_RUNS,
            "stream-resume": is_stream,
        }

    async def run(self) -> None:
        """Adds and removes routes again and again."""
        while True:
            await asyncio.sleep(CONFIG_INTERVAL_S)
            if self.changing and self._source.random() < 0.5:
                path = self.changing.pop(0)
                self.write()
                self._judge.removed[path] = time.time()
            else:
                self._added += 1
                path = f"/added-{self._added}/"
                self.changing.append(path)
                self.write()
                self._judge.added[path] = time.time()


class Callers:
    """Callers that ask for addresses and keep connections.

    Args:
        places: Entries, by name.
        operator: Keys and routes in force.
        judge: Sees what is sent and answered.
        source: Random numbers.
    """

    def __init__(
        self,
        places: dict[str, Place],
        operator: Operator,
        judge: Judge,
        source: random.Random,
    ) -> None:
        self.unreached = 0
        self._places = {place.address: place for place in places.values()}
        self._operator = operator
        self._judge = judge
        self._source = source
        self._addresses: list[str] = []
        self._idle: dict[str, list[CallerConnection]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._count = 0

    async def refresh(self) -> None:
        """Asks for addresses again and again."""
        while True:
            places = list(self._places.values())
            self._source.shuffle(places)
            for place in places[:3]:
                addresses = await simulated_caller.fetch_addresses(
                    place.directory_address, self._source.choice(ZONES)
                )
                if addresses:
                    self._addresses = addresses
                    break
            await asyncio.sleep(ADDRESS_LIFETIME_S)

    async def run(self, seconds: float) -> None:
        """Sends requests of all kinds."""
        async with asyncio.TaskGroup() as group:
            for kind, rate in RATES.items():
                group.create_task(self._send_kind(kind, rate, seconds))

    async def _send_kind(self, kind: Kind, rate: float, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await asyncio.sleep(self._source.expovariate(rate))
            self._tasks.add(asyncio.create_task(self._ask_and_retry(kind)))

    async def finish(self) -> None:
        """Waits for the answers to what was sent."""
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    def _make_request(self, kind: Kind) -> tuple[Request, Expectation]:
        self._count += 1
        request_id = f"{self._count:016x}"
        path, expectation = kind.value, Expectation.SERVED
        changing = [*self._operator.changing, *self._judge.removed]
        if (
            kind is Kind.REPEATABLE
            and changing
            and self._source.random() < CHANGING_SHARE
        ):
            path = self._source.choice(changing)
            expectation = Expectation.CHANGING
        body = b""
        if kind is not Kind.REPEATABLE:
            body = self._source.randbytes(self._source.randrange(1, 4000))
        request = Request(
            request_id,
            kind,
            f"{path}{request_id}?a=%20b",
            body,
            self._source.choice(list(self._operator.keys)),
            DEADLINES_MS[kind],
        )
        return request, expectation

    async def _ask_and_retry(self, kind: Kind) -> None:
        request, expectation = self._make_request(kind)
        sent = await self._ask(request, expectation)
        if sent is None or sent.answer is None or sent.left_s:
            return
        status = sent.answer.status
        promised = status in (408, 421, 429, 503)
        broken = not status or not sent.answer.is_complete or status >= 500
        if promised or (broken and kind is Kind.REPEATABLE):
            delay_s = float(sent.answer.headers.get("retry-after") or 0)
            await asyncio.sleep(min(delay_s, request.timeout_ms / 3000))
            request, expectation = self._make_request(kind)
            await self._ask(request, expectation)

    async def _connect(self) -> tuple[Place, CallerConnection] | None:
        addresses = list(self._addresses)
        self._source.shuffle(addresses)
        for address in addresses[:3]:
            place = self._places[address]
            idle = self._idle.setdefault(address, [])
            while idle and self._source.random() < 0.7:
                connection = idle.pop()
                if connection.is_open:
                    return place, connection
            connection = await simulated_caller.connect(
                place.caller_link.address
            )
            if connection is not None:
                return place, connection
        return None

    async def _ask(
        self, request: Request, expectation: Expectation
    ) -> Sent | None:
        found = await self._connect()
        if found is None:
            self.unreached += 1
            return None
        place, connection = found
        sent = Sent(
            request,
            place.name,
            self._operator.keys[request.key],
            expectation,
            connection.requests_sent > 0,
            time.time(),
        )
        self._judge.sent[request.request_id] = sent
        asking = asyncio.create_task(connection.send(request))
        if self._source.random() < LEAVING_SHARE:
            await asyncio.wait({asking}, timeout=self._source.uniform(0, 0.3))
            if not asking.done():
                connection.close()
                sent.left_s = time.time()
        answer = await asking
        self._judge.observe_answer(sent, answer, time.time())
        if connection.is_open:
            self._idle[place.address].append(connection)
        return sent


class Soak:
    """One run.

    Args:
        fleet: Processes.
        folder: Folder for settings and logs.
        options: Command line.
    """

    def __init__(
        self, fleet: Fleet, folder: pathlib.Path, options: argparse.Namespace
    ) -> None:
        seed = options.seed
        self._fleet = fleet
        self._folder = folder
        self._options = options
        self._timeline = Timeline()
        self._judge = Judge(self._timeline, TIMEOUTS_S)
        self._store = SimulatedStore()
        self._places: dict[str, Place] = {}
        self._replicas: dict[str, SimulatedReplica] = {}
        self._replica_links: dict[str, Forwarder] = {}
        self._operator = Operator(
            self._store, self._judge, random.Random(f"{seed}/operator")
        )

    async def run(self) -> dict[str, Any]:
        """Starts everything, runs traffic and faults, and judges."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            return await self._run()

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        store_address = await self._store.start()
        stack.push_async_callback(self._store.stop)
        self._operator.write()
        for number in range(6):
            is_stream = number >= 2
            replica = SimulatedReplica(
                self._store,
                f"replica-{number}",
                STREAM_SERVICE if is_stream else "cards",
                5 if is_stream else 6,
                observe=self._judge.observe_arrival,
                observe_end=self._judge.observe_end,
            )
            await replica.start()
            stack.push_async_callback(replica.crash)
            link = await self._open_link(stack, replica.address)
            replica.advertised_address = link.address
            replica.register()
            self._replicas[replica.name] = replica
            self._replica_links[replica.name] = link
        # Each machine has an address of its own on the loopback network.
        network = f"127.{os.getpid() % 200 + 10}.{os.getpid() // 200 % 250}"
        for number in range(ENTRIES):
            await self._add_entry(
                stack,
                f"entry-{number}",
                f"{network}.{number + 1}",
                store_address,
            )
        for name, place in self._places.items():
            self._fleet.start(
                name,
                "chicoryplank_platform",
                "entry",
                "--settings",
                str(place.settings),
            )
        for place in self._places.values():
            await place.wait_ready()

    async def _open_link(
        self, stack: contextlib.AsyncExitStack, target: str
    ) -> Forwarder:
        link = Forwarder(choose_ports(1)[0], target)
        await link.start()
        stack.push_async_callback(link.close)
        return link

    async def _add_entry(
        self,
        stack: contextlib.AsyncExitStack,
        name: str,
        host: str,
        store_address: str,
    ) -> None:
        store_link = await self._open_link(stack, store_address)
        address = f"{host}:8227"
        zone = ZONES[len(self._places) % len(ZONES)]
        lines = [
            f"node-name={name}",
            f"ip={host}",
            f"zone={zone}",
            "serves=front,directory",
            f"listen.front={address}",
            f"listen.ready={host}:8220",
            f"listen.directory={host}:8224",
            "port-range=7340,7355",
            f"provider.address={store_link.address}",
            f"bounds.grace-s={STOP_GRACE_S}",
            f"bounds.drain-ms={DRAIN_S * 1000}",
            f"bounds.config-apply-ms={CONFIG_S * 1000}",
            f"bounds.retry-budget-ratio={BUDGET_RATIO}",
            f"bounds.retry-budget-extra={BUDGET_EXTRA}",
            f"bounds.budget-window-s={BUDGET_WINDOW_S}",
        ]
        path = self._folder / f"{name}.conf"
        text = "\n".join(lines) + "\n"
        path.write_text(text)
        self._places[name] = Place(
            name,
            path,
            text,
            address,
            f"{host}:8220",
            f"{host}:8224",
            await self._open_link(stack, address),
            store_link,
        )

    def _mark_leaving(self, replica: SimulatedReplica) -> None:
        lifetime = f"{replica.name}/{replica.started_ms}"
        self._judge.draining[lifetime] = time.time()

    async def _run(self) -> dict[str, Any]:
        options = self._options
        source = random.Random(f"{options.seed}/callers")
        callers = Callers(self._places, self._operator, self._judge, source)
        world = World(
            self._fleet,
            self._store,
            self._places,
            self._replicas,
            self._replica_links,
            self._timeline,
            random.Random(f"{options.seed}/faults"),
            self._mark_leaving,
        )
        lanes = world.source.choice(LANES)
        helpers = [
            asyncio.create_task(callers.refresh()),
            asyncio.create_task(self._operator.run()),
        ]
        await asyncio.sleep(0.2)
        report(f"{options.seconds:g} s of traffic, seed {options.seed}")
        try:
            await asyncio.gather(
                callers.run(options.seconds),
                run_faults(world, options.faults, options.seconds, lanes),
            )
            await callers.finish()
            await asyncio.sleep(SETTLE_S)
            healed_s = time.time()
            await callers.run(RECOVERY_S)
            await callers.finish()
        finally:
            for helper in helpers:
                helper.cancel()
        for result in await asyncio.gather(*helpers, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise FleetError(f"a helper of the soak ended: {result!r}")
        return self._summarise(callers, healed_s)

    def _summarise(self, callers: Callers, healed_s: float) -> dict[str, Any]:
        judge = self._judge
        judge.check_budget()
        judge.check_recovery(healed_s)
        for name in self._fleet.find_ended():
            judge.add("process_ended", name)
        for name in self._places:
            log = self._folder / f"{name}.log"
            judge.check_log(name, log.read_text(errors="replace"))
        sent = judge.sent.values()
        statuses = collections.Counter(
            str(item.answer.status) for item in sent if item.answer
        )
        return {
            "seed": self._options.seed,
            "seconds": self._options.seconds,
            "requests": len(sent),
            "unreached": callers.unreached,
            "statuses": dict(sorted(statuses.items())),
            "repeats": sum(max(0, len(item.arrivals) - 1) for item in sent),
            "faults": self._timeline.count(),
            "allowed": {
                key: count
                for key, count in judge.counts.items()
                if key not in judge.find_violations()
            },
            "violations": judge.find_violations(),
            "examples": judge.examples,
        }


def main() -> int:
    """Runs the soak and returns the exit code."""
    return run_command(__doc__, FAULTS, Soak, seconds=30)


if __name__ == "__main__":
    sys.exit(main())
