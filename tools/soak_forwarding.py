"""Runs forwarding entries under traffic and seeded external faults.

The entries are the real programs in separate processes. The store, replicas
and callers are simulated in this process, and TCP proxies on the links between
them inject faults. Prints a JSON summary as the last line. Exits with 0 only if
no guarantee was violated. Ends all processes that it has started.
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

from fleet import Fleet, FleetError, TcpProxy, choose_ports
from soak_command import report, run_command
from soak_forwarding_faults import (
    FAULTS,
    REPLICA_ZONES,
    STOP_GRACE_S,
    EntryProcess,
    FaultContext,
    run_faults,
)
from soak_forwarding_harm import HarmfulTraffic
from soak_forwarding_judge import (
    CONFIG_APPLY_BOUND_S,
    DRAIN_BOUND_S,
    MAX_EXECUTIONS,
    RETRY_BUDGET_EXTRA,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_WINDOW_S,
    Expectation,
    GuaranteeChecker,
    SentRequest,
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

DEFAULT_ENTRIES = 4
# Choices for the number of concurrent faults, one of which is drawn for a run.
FAULT_CONCURRENCY_CHOICES = (1, 2, 3)
ZONES = ("hall-a", "hall-b")
# Mean number of requests per second, by kind.
RATES = {Kind.ONCE: 12.0, Kind.REPEATABLE: 14.0, Kind.STREAM: 8.0}
DEADLINES_MS = {Kind.ONCE: 1_540, Kind.REPEATABLE: 1_536, Kind.STREAM: 8_100}
TIMEOUTS_S = {kind: ms / 1000 for kind, ms in DEADLINES_MS.items()}
# Probability that a caller leaves before its response, and that a request uses
# a route that is added or removed during the run.
LEAVE_PROBABILITY = 0.03
# Probability that a caller uses any open connection, also to an entry that is
# no longer listed.
ANY_CONNECTION_PROBABILITY = 0.3
CHANGING_ROUTE_PROBABILITY = 0.05
ADDRESS_LIFETIME_S = 2.0
# Number of prompt parts that streams share.
SHARED_PARTS = 5
# Choices for the time between two changes of the routes.
ROUTE_CHANGE_INTERVALS_S = (0.03, 0.3, 2.5, 2.5)
# Pause after the last fault and duration of the traffic after it.
SETTLE_TIME_S = 6.0
RECOVERY_TIME_S = 4.0


class RouteOperator:
    """Operator who writes configurations with changing routes.

    Args:
        store: Store to which the configuration is written.
        checker: Is told when each route was added or removed.
        rng: Source of random numbers.

    Attributes:
        keys: Account of each API key.
        changing_routes: Path prefixes of the added routes that still exist.
    """

    def __init__(
        self,
        store: SimulatedStore,
        checker: GuaranteeChecker,
        rng: random.Random,
    ) -> None:
        self.keys = {"key-1": "quotes", "key-2": "design"}
        self.changing_routes: list[str] = []
        self._store = store
        self._checker = checker
        self._rng = rng
        self._version = 0
        self._added_count = 0

    def write(self) -> None:
        """Writes the next version of the configuration."""
        self._version += self._rng.randint(1, 3)
        routes = [
            self._make_route(kind.name, kind.value, kind) for kind in Kind
        ]
        routes += [
            self._make_route(path, path, Kind.REPEATABLE)
            for path in self.changing_routes
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
            "max-attempts": MAX_EXECUTIONS,
            "stream-resume": is_stream,
        }

    async def run(self) -> None:
        """Adds and removes routes repeatedly until cancelled."""
        while True:
            await asyncio.sleep(self._rng.choice(ROUTE_CHANGE_INTERVALS_S))
            if self.changing_routes and self._rng.random() < 0.5:
                path = self.changing_routes.pop(0)
                self.write()
                self._checker.removed_routes[path] = time.time()
            else:
                self._added_count += 1
                path = f"/added-{self._added_count}/"
                self.changing_routes.append(path)
                self.write()
                self._checker.added_routes[path] = time.time()


class CallerSimulator:
    """Callers that fetch entry addresses and reuse connections.

    Args:
        entry_processes: Entries by name.
        operator: Provides the current keys and routes.
        checker: Checks the requests and responses.
        rng: Source of random numbers.

    Attributes:
        unreached_count: Number of requests for which no entry accepted a
            connection.
    """

    def __init__(
        self,
        entry_processes: dict[str, EntryProcess],
        operator: RouteOperator,
        checker: GuaranteeChecker,
        rng: random.Random,
    ) -> None:
        self.unreached_count = 0
        self._entry_processes = {
            entry_process.address: entry_process
            for entry_process in entry_processes.values()
        }
        self._operator = operator
        self._checker = checker
        self._rng = rng
        self._addresses: list[str] = []
        self._idle: dict[str, list[CallerConnection]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._request_count = 0

    async def refresh(self) -> None:
        """Fetches the addresses of the entries periodically until cancelled."""
        while True:
            entry_processes = list(self._entry_processes.values())
            self._rng.shuffle(entry_processes)
            for entry_process in entry_processes[:3]:
                addresses = await simulated_caller.fetch_addresses(
                    entry_process.directory_address, self._rng.choice(ZONES)
                )
                if addresses:
                    self._addresses = addresses
                    break
            await asyncio.sleep(ADDRESS_LIFETIME_S)

    async def run(self, seconds: float) -> None:
        """Sends requests of all kinds for a time in seconds."""
        async with asyncio.TaskGroup() as group:
            for kind, rate in RATES.items():
                group.create_task(self._send_kind(kind, rate, seconds))

    async def _send_kind(self, kind: Kind, rate: float, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await asyncio.sleep(self._rng.expovariate(rate))
            self._tasks.add(asyncio.create_task(self._send_and_retry(kind)))

    async def finish(self) -> None:
        """Waits for the responses to all requests."""
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    def make_sound_request(self, kind: Kind) -> Request:
        """Returns a request on a route that exists throughout the run."""
        while True:
            request, expectation = self._make_request(kind)
            if expectation is Expectation.SERVED:
                return request

    async def send_served(self, request: Request) -> SentRequest | None:
        """Sends a request on a route that exists throughout the run."""
        return await self._send_request(request, Expectation.SERVED)

    def _make_request(self, kind: Kind) -> tuple[Request, Expectation]:
        self._request_count += 1
        request_id = f"{self._request_count:016x}"
        path, expectation = kind.value, Expectation.SERVED
        changing_routes = [
            *self._operator.changing_routes,
            *self._checker.removed_routes,
        ]
        if (
            kind is Kind.REPEATABLE
            and changing_routes
            and self._rng.random() < CHANGING_ROUTE_PROBABILITY
        ):
            path = self._rng.choice(changing_routes)
            expectation = Expectation.CHANGING
        body = b""
        if kind is not Kind.REPEATABLE:
            body = self._rng.randbytes(self._rng.randrange(1, 4000))
        request = Request(
            request_id,
            kind,
            f"{path}{request_id}?a=%20b",
            body,
            self._rng.choice(list(self._operator.keys)),
            DEADLINES_MS[kind],
            part=f"part-{self._request_count % SHARED_PARTS}",
        )
        return request, expectation

    async def _send_and_retry(self, kind: Kind) -> None:
        request, expectation = self._make_request(kind)
        sent = await self._send_request(request, expectation)
        if sent is None or sent.response is None or sent.caller_left_s:
            return
        status = sent.response.status
        is_retryable_status = status in (408, 421, 429, 503)
        is_failed = not status or not sent.response.is_complete or status >= 500
        if is_retryable_status or (is_failed and kind is Kind.REPEATABLE):
            delay_s = float(sent.response.headers.get("retry-after") or 0)
            await asyncio.sleep(min(delay_s, request.timeout_ms / 3000))
            request, expectation = self._make_request(kind)
            await self._send_request(request, expectation)

    async def _connect(self) -> tuple[EntryProcess, CallerConnection] | None:
        addresses = list(self._addresses)
        if self._rng.random() < ANY_CONNECTION_PROBABILITY:
            idle_addresses = [
                address for address, idle in self._idle.items() if idle
            ]
            addresses = idle_addresses or addresses
        self._rng.shuffle(addresses)
        for address in addresses[:3]:
            entry_process = self._entry_processes[address]
            idle = self._idle.setdefault(address, [])
            while idle and self._rng.random() < 0.7:
                connection = idle.pop()
                if connection.is_open:
                    return entry_process, connection
            connection = await simulated_caller.connect(
                entry_process.caller_link.address
            )
            if connection is not None:
                return entry_process, connection
        return None

    async def _send_request(
        self, request: Request, expectation: Expectation
    ) -> SentRequest | None:
        found = await self._connect()
        if found is None:
            self.unreached_count += 1
            return None
        entry_process, connection = found
        sent = SentRequest(
            request,
            entry_process.name,
            self._operator.keys[request.key],
            expectation,
            connection.requests_sent > 0,
            time.time(),
        )
        self._checker.sent[request.request_id] = sent
        pending_response = asyncio.create_task(connection.send(request))
        if self._rng.random() < LEAVE_PROBABILITY:
            await asyncio.wait(
                {pending_response}, timeout=self._rng.uniform(0, 0.3)
            )
            if not pending_response.done():
                connection.close()
                sent.caller_left_s = time.time()
        response = await pending_response
        self._checker.observe_response(sent, response, time.time())
        if connection.is_open:
            self._idle[entry_process.address].append(connection)
        return sent


class SoakRun:
    """Soak test of the forwarding entries.

    Args:
        fleet: Starts the processes.
        folder: Folder for settings and logs.
        options: Options of the command line.
    """

    def __init__(
        self, fleet: Fleet, folder: pathlib.Path, options: argparse.Namespace
    ) -> None:
        seed = options.seed
        self._fleet = fleet
        self._folder = folder
        self._options = options
        self._timeline = Timeline()
        self._checker = GuaranteeChecker(self._timeline, TIMEOUTS_S)
        self._store = SimulatedStore()
        self._entry_processes: dict[str, EntryProcess] = {}
        self._replicas: dict[str, SimulatedReplica] = {}
        self._replica_links: dict[str, TcpProxy] = {}
        self._operator = RouteOperator(
            self._store, self._checker, random.Random(f"{seed}/operator")
        )
        self._harmful: HarmfulTraffic | None = None
        self._context: FaultContext | None = None

    async def run(self) -> dict[str, Any]:
        """Runs the entries under traffic and faults and returns the summary."""
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
                observe=self._checker.observe_arrival,
                observe_end=self._checker.observe_execution_end,
                crash_under=self._crash_under,
                zone=REPLICA_ZONES[number % len(REPLICA_ZONES)],
            )
            await replica.start()
            stack.push_async_callback(replica.crash)
            link = await self._open_link(stack, replica.address)
            replica.advertised_address = link.address
            replica.register()
            self._replicas[replica.name] = replica
            self._replica_links[replica.name] = link
        # Each entry stands for a machine with its own address in 127.0.0.0/8.
        network = f"127.{os.getpid() % 200 + 10}.{os.getpid() // 200 % 250}"
        for number in range(self._options.entries):
            await self._add_entry(
                stack,
                f"entry-{number}",
                f"{network}.{number + 1}",
                store_address,
            )
        for name, entry_process in self._entry_processes.items():
            self._fleet.start(
                name,
                "chicoryplank_platform",
                "entry",
                "--settings",
                str(entry_process.settings_path),
            )
        for entry_process in self._entry_processes.values():
            await entry_process.wait_ready()

    async def _open_link(
        self, stack: contextlib.AsyncExitStack, target: str
    ) -> TcpProxy:
        link = TcpProxy(choose_ports(1)[0], target)
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
        zone = ZONES[len(self._entry_processes) % len(ZONES)]
        setting_lines = [
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
            f"bounds.drain-ms={DRAIN_BOUND_S * 1000}",
            f"bounds.config-apply-ms={CONFIG_APPLY_BOUND_S * 1000}",
            f"bounds.retry-budget-ratio={RETRY_BUDGET_RATIO}",
            f"bounds.retry-budget-extra={RETRY_BUDGET_EXTRA}",
            f"bounds.budget-window-s={RETRY_BUDGET_WINDOW_S}",
        ]
        path = self._folder / f"{name}.conf"
        text = "\n".join(setting_lines) + "\n"
        path.write_text(text)
        self._entry_processes[name] = EntryProcess(
            name,
            path,
            text,
            address,
            f"{host}:8220",
            f"{host}:8224",
            await self._open_link(stack, address),
            store_link,
        )

    async def _crash_under(self, replica: SimulatedReplica, mark: str) -> None:
        await self._harmful.crash(self._context, replica, mark)

    def _record_drain(self, replica: SimulatedReplica) -> None:
        lifetime = f"{replica.name}/{replica.started_ms}"
        self._checker.draining_since[lifetime] = time.time()

    async def _run(self) -> dict[str, Any]:
        options = self._options
        rng = random.Random(f"{options.seed}/callers")
        callers = CallerSimulator(
            self._entry_processes, self._operator, self._checker, rng
        )
        context = FaultContext(
            self._fleet,
            self._store,
            self._entry_processes,
            self._replicas,
            self._replica_links,
            self._timeline,
            random.Random(f"{options.seed}/faults"),
            self._record_drain,
            self._checker.record_limit,
            self._checker.evacuated_since,
        )
        harmful = HarmfulTraffic(
            self._checker,
            random.Random(f"{options.seed}/harm"),
            callers.make_sound_request,
            callers.send_served,
        )
        self._harmful, self._context = harmful, context
        context.run_harm = harmful.run_harm
        concurrency = context.rng.choice(FAULT_CONCURRENCY_CHOICES)
        background_tasks = [
            asyncio.create_task(callers.refresh()),
            asyncio.create_task(self._operator.run()),
        ]
        await asyncio.sleep(0.2)
        report(f"{options.seconds:g} s of traffic, seed {options.seed}")
        try:
            await asyncio.gather(
                callers.run(options.seconds),
                run_faults(
                    context, options.faults, options.seconds, concurrency
                ),
            )
            await callers.finish()
            await asyncio.sleep(SETTLE_TIME_S)
            recovery_start_s = time.time()
            await callers.run(RECOVERY_TIME_S)
            await callers.finish()
        finally:
            for background_task in background_tasks:
                background_task.cancel()
        for result in await asyncio.gather(
            *background_tasks, return_exceptions=True
        ):
            if not isinstance(result, asyncio.CancelledError):
                raise FleetError(
                    f"a background task of the soak test ended: {result!r}"
                )
        return self._summarize(callers, recovery_start_s)

    def _summarize(
        self, callers: CallerSimulator, recovery_start_s: float
    ) -> dict[str, Any]:
        checker = self._checker
        checker.check_retry_budget()
        checker.check_server_limits()
        checker.check_recovery(recovery_start_s)
        harm = self._harmful.check()
        for name in self._fleet.list_ended():
            checker.add("process_ended", name)
        for name in self._entry_processes:
            log = self._folder / f"{name}.log"
            checker.check_log(name, log.read_text(errors="replace"))
        sent = checker.sent.values()
        statuses = collections.Counter(
            str(item.response.status) for item in sent if item.response
        )
        return {
            "seed": self._options.seed,
            "seconds": self._options.seconds,
            "requests": len(sent),
            "unreached": callers.unreached_count,
            "statuses": dict(sorted(statuses.items())),
            "repeats": sum(max(0, len(item.arrivals) - 1) for item in sent),
            "faults": self._timeline.count(),
            "harm": harm,
            "allowed": {
                key: count
                for key, count in checker.counts.items()
                if key not in checker.get_violations()
            },
            "violations": checker.get_violations(),
            "examples": checker.examples,
        }


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of this soak test."""
    parser.add_argument(
        "--entries",
        type=int,
        default=DEFAULT_ENTRIES,
        help="Number of entry processes, at most 250.",
    )


def main() -> int:
    """Runs the soak test and returns the exit code."""
    return run_command(
        __doc__, FAULTS, SoakRun, seconds=30, add_arguments=add_arguments
    )


if __name__ == "__main__":
    sys.exit(main())
