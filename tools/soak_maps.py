"""Changes the expert map of a group under seeded faults and checks its steps.

One group has its ranks on four engine processes. Prints one JSON summary as
the last line and ends with 0 only if nothing was violated.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from fleet import (
    Fleet,
    FleetError,
    request_json,
    wait_for_http,
    wait_for_port,
)
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from layout import Site, SiteOptions, make_intent
from soak_maps_checks import check_engines, check_logs, measure_stops
from soak_operators import Operators

from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import ModelGroupId
from chicoryplank.orders import (
    MapDocument,
    Phase,
    get_lease_key,
    read_document,
)
from chicoryplank.rebalance import make_map
from chicoryplank.store import StoreError
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import OrdersStub
from chicoryplank_wire.store import EtcdStore

EXPERTS, SPARE_SLOTS = 32, 8
ENGINES, RANKS_PER_ENGINE = 4, 2
STEP_MS = 20
LEASE_S = 4
POLL_S = 0.02
PHASE_LIMIT_S = 12
SETTLE_LIMIT_S = 60
GROUP = ModelGroupId("toolroom-llm")


def report(text: str) -> None:
    """Prints what happens on standard error."""
    print(f"soak-maps: {text}", file=sys.stderr, flush=True)


def make_options(seed: int) -> SiteOptions:
    """Returns a site with one group on four engines."""
    ranks = ENGINES * RANKS_PER_ENGINE
    digest = make_map(EXPERTS, ranks, SPARE_SLOTS).digest
    return SiteOptions(
        entries=3,
        engines=ENGINES,
        services=1,
        has_links=True,
        ranks_per_engine=RANKS_PER_ENGINE,
        engine_arguments=(
            *("--step-ms", str(STEP_MS)),
            *("--experts", str(EXPERTS)),
            *("--spare-slots", str(SPARE_SLOTS)),
            *("--map-digest", digest),
            *("--seed", str(seed)),
        ),
        entry_settings={"controller_lease_s": LEASE_S, "drain_timeout_s": 5},
        agent_settings={"drain_timeout_s": 5},
    )


class Group:
    """The group as the test sees it from outside.

    Args:
        fleet: Processes.
        site: Addresses and links.
    """

    def __init__(self, fleet: Fleet, site: Site) -> None:
        self.fleet = fleet
        self.site = site
        self.stale_ids: set[str] = set()
        self.earlier: list[dict[str, Any]] = []
        self.tally: collections.Counter[str] = collections.Counter()
        self._store = EtcdStore(
            site.addresses["store"], timedelta(milliseconds=500)
        )

    async def close(self) -> None:
        """Closes the connection to the store."""
        await self._store.close()

    def list_engines(self) -> list[str]:
        """Returns the names of the engines."""
        return [f"engine-{number}" for number in range(1, ENGINES + 1)]

    async def read_map(self) -> MapDocument | None:
        """Returns the recorded document, or None if it cannot be read."""
        try:
            return (await read_document(self._store, GROUP))[0]
        except ChicoryplankError:
            return None

    async def find_controller(self) -> str | None:
        """Returns the entry that holds the lease."""
        try:
            record = await self._store.read(get_lease_key(GROUP))
        except StoreError:
            return None
        return None if record is None else record.value.decode().split()[0]

    async def wait_for_phase(self, *phases: Phase) -> bool:
        """Waits until a change is in a phase; returns False if none comes."""
        deadline_s = time.monotonic() + PHASE_LIMIT_S
        while time.monotonic() < deadline_s:
            document = await self.read_map()
            if document is not None and document.phase in phases:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def read_records(self, engine: str) -> dict[str, Any]:
        """Returns the records of an engine; it must answer."""
        address = self.site.addresses[engine]
        for _ in range(10):
            status, document = await request_json(address, "/records")
            if status == 200:
                return document
        raise FleetError(f"{engine} does not answer")

    async def place_stale_order(
        self, random_source: random.Random, engine: str
    ) -> None:
        """Places an order under a token below one that the engine has seen."""
        records = await self.read_records(engine)
        tokens = [order["token"] for order in records["orders"]]
        if not tokens:
            return
        agent = f"agent-{engine}"
        host, port = self.site.addresses[agent].rsplit(":", 1)
        channel = Channel(host, int(port))
        name = f"stale-{random_source.getrandbits(64):x}"
        self.stale_ids.add(name)
        kinds = {
            "set_role": {"role": "stale"},
            "set_version": {"version": "stale"},
            "prepare_map": {"digest": "stale", "stop_step": 10**9},
        }
        kind = random_source.choice(sorted(kinds))
        content = json.dumps({"kind": kind, "arguments": kinds[kind]})
        try:
            async with asyncio.timeout(3):
                stub = OrdersStub(channel)
                known = await stub.ReadEngine(control_pb2.EngineRequest())
                reply = await stub.PlaceOrder(
                    control_pb2.OrderRequest(
                        fencing_token=max(tokens) - 1,
                        order_id=name,
                        sequence=10**9,
                        incarnation=known.incarnation,
                        content=content.encode(),
                    )
                )
            self.tally[f"stale_order_{reply.code or 'accepted'}"] += 1
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
            self.tally["stale_order_unanswered"] += 1
        finally:
            channel.close()

    async def is_settled(self) -> bool:
        """Whether no change is in progress and all run the recorded map."""
        document = await self.read_map()
        if document is None or document.phase is not Phase.IDLE:
            return False
        for engine in self.list_engines():
            address = self.site.addresses[engine]
            _, state = await request_json(address, "/ranks")
            if state is None:
                return False
            for rank in state["ranks"]:
                if rank["prepared"]:
                    return False
                if rank["digest"] != document.in_force.digest:
                    return False
        return True


Fault = Callable[[Group, random.Random], Coroutine[None, None, None]]


async def _wait_somewhere(group: Group, source: random.Random) -> None:
    """Waits for a phase of a change, or for none in particular."""
    phases = source.choice(
        [(Phase.PREPARING, Phase.READY)] * 2 + [(Phase.DECIDED,), ()]
    )
    if phases and not await group.wait_for_phase(*phases):
        group.tally["phase_not_met"] += 1
    await asyncio.sleep(source.uniform(0, 0.3))


async def kill_controller(group: Group, source: random.Random) -> None:
    """Kills the entry that holds the lease."""
    await _wait_somewhere(group, source)
    name = await group.find_controller()
    if name is not None:
        group.fleet.kill(name)
        await asyncio.sleep(source.uniform(0, 2))
        group.fleet.restart(name)


async def pause_controller(group: Group, source: random.Random) -> None:
    """Pauses the holder for longer than its lease."""
    await _wait_somewhere(group, source)
    name = await group.find_controller()
    if name is not None:
        await _pause(group, name, LEASE_S + source.uniform(1, 5))


async def _pause(group: Group, name: str, seconds: float) -> None:
    group.fleet.pause(name)
    try:
        await asyncio.sleep(seconds)
    finally:
        group.fleet.resume(name)


async def kill_agent(group: Group, source: random.Random) -> None:
    """Kills an agent between prepare and decision."""
    if not await group.wait_for_phase(Phase.PREPARING, Phase.READY):
        group.tally["phase_not_met"] += 1
    await asyncio.sleep(source.uniform(0, 0.5))
    name = f"agent-{source.choice(group.list_engines())}"
    group.fleet.kill(name)
    await asyncio.sleep(source.uniform(0, 2))
    group.fleet.restart(name)
    await wait_for_port(group.site.addresses[name], 20)


async def stall_engine(group: Group, source: random.Random) -> None:
    """Stops an engine while it prepares or switches."""
    await _wait_somewhere(group, source)
    name = source.choice(group.list_engines())
    await _pause(group, name, source.uniform(0.3, 5))


async def kill_engine(group: Group, source: random.Random) -> None:
    """Replaces an engine; its successor starts from the recorded map."""
    await _wait_somewhere(group, source)
    name = source.choice(group.list_engines())
    with contextlib.suppress(FleetError):
        group.earlier.append({name: await group.read_records(name)})
    group.fleet.kill(name)
    await asyncio.sleep(source.uniform(0, 2))
    group.fleet.restart(name)
    address = group.site.addresses[name]
    await wait_for_http(address, "/records", 20)
    fields = {"prepare_delay_ms": source.uniform(100, 600)}
    await request_json(address, "/faults", "POST", fields)


async def stop_store(group: Group, source: random.Random) -> None:
    """Lets the store fail, or its answers be lost or late."""
    await _wait_somewhere(group, source)
    address = group.site.addresses["store"]
    kind = source.choice(["down", "lose", "slow"])
    fields = {
        "down": {"down": True, "mode": source.choice(["hang", "refuse"])},
        "lose": {"lose_answers": source.randint(1, 6)},
        "slow": {"delay_ms": source.uniform(100, 450)},
    }
    await request_json(address, "/faults", "POST", fields[kind])
    await asyncio.sleep(source.uniform(1, 8))
    cleared = {"down": False, "lose_answers": 0, "delay_ms": 0}
    await request_json(address, "/faults", "POST", cleared)


async def block_agent(group: Group, source: random.Random) -> None:
    """Holds back the orders to an agent or its answers."""
    await _wait_somewhere(group, source)
    link = group.site.links[f"agent-{source.choice(group.list_engines())}"]
    link.block(source.choice([(True,), (False,), (True, False)]))
    await asyncio.sleep(source.uniform(0.5, 5))
    if source.random() < 0.5:
        link.cut()
    link.unblock()


async def place_stale_orders(group: Group, source: random.Random) -> None:
    """Places old orders at each agent."""
    for engine in group.list_engines():
        with contextlib.suppress(FleetError):
            await group.place_stale_order(source, engine)


FAULTS: tuple[Fault, ...] = (
    kill_controller,
    pause_controller,
    kill_agent,
    stall_engine,
    kill_engine,
    stop_store,
    block_agent,
    place_stale_orders,
)


async def run_faults(
    group: Group, source: random.Random, seconds: float
) -> None:
    """Runs faults one after the other, in an order that the seed decides."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        for fault in source.sample(FAULTS, len(FAULTS)):
            if time.monotonic() > deadline_s:
                return
            name = fault.__name__
            report(name)
            group.tally[name] += 1
            await fault(group, random.Random(source.random()))
            await place_stale_orders(group, source)
            await asyncio.sleep(source.uniform(0, 3))


async def _wait_until_settled(group: Group, change: int) -> bool:
    """Waits until a change after the given one is finished."""
    deadline_s = time.monotonic() + SETTLE_LIMIT_S
    while time.monotonic() < deadline_s:
        document = await group.read_map()
        is_later = document is not None and document.in_force_change > change
        if is_later and await group.is_settled():
            return True
        await asyncio.sleep(0.2)
    return False


async def _change_version(
    group: Group, operators: Operators
) -> tuple[float, list[str]]:
    """Changes the version; returns the time that it took and violations."""
    change = {"groups": {"change": {GROUP: {"version": "v2"}}}}
    if not await operators.change(change, "soak"):
        return 0.0, [f"the version was not changed: {operators.failures}"]
    start_s = time.monotonic()
    while time.monotonic() < start_s + SETTLE_LIMIT_S:
        versions = {
            (await group.read_records(engine))["version"]
            for engine in group.list_engines()
        }
        if versions == {"v2"}:
            return time.monotonic() - start_s, []
        await asyncio.sleep(0.2)
    return 0.0, [f"versions after {SETTLE_LIMIT_S} s: {sorted(versions)}"]


async def run(
    fleet: Fleet, folder: pathlib.Path, options: argparse.Namespace
) -> dict[str, Any]:
    """Runs the group under faults and returns the summary."""
    source = random.Random(options.seed)
    site = Site(fleet, folder, make_options(options.seed))
    await site.start()
    operators = Operators(fleet, site, folder)
    intent = make_intent(site.options, "soak-maps-token")
    if not await operators.change(intent, "soak"):
        raise FleetError(f"no configuration: {operators.failures}")
    await site.wait_until_ready()
    group = Group(fleet, site)
    for engine in group.list_engines():
        fields = {"prepare_delay_ms": source.uniform(100, 600)}
        address = site.addresses[engine]
        await request_json(address, "/faults", "POST", fields)
    violations = []
    if not await _wait_until_settled(group, 0):
        violations.append("no first change was finished")
    start = await group.read_map()
    if options.no_faults:
        await asyncio.sleep(options.seconds)
    else:
        await run_faults(group, source, options.seconds)
    report("faults ended")
    before = await group.read_map()
    ended_s = time.monotonic()
    if not await _wait_until_settled(group, before.in_force_change):
        violations.append(f"no change finished in {SETTLE_LIMIT_S} s")
    settle_s = time.monotonic() - ended_s
    version_s, found = await _change_version(group, operators)
    violations += found
    records = {
        engine: await group.read_records(engine)
        for engine in group.list_engines()
    }
    violations += check_engines(records, group.stale_ids)
    for earlier in group.earlier:
        violations += check_engines(records | earlier, group.stale_ids)
    violations += check_logs(folder)
    end = await group.read_map()
    _, calls = await request_json(site.addresses["store"], "/calls")
    await group.close()
    await site.close()
    return {
        "seed": options.seed,
        "seconds": options.seconds,
        "violations": violations,
        "tally": dict(sorted(group.tally.items())),
        "changes_begun": end.last_change - start.last_change,
        "last_change": end.last_change,
        "settle_s": round(settle_s, 1),
        "version_s": round(version_s, 1),
        "store_calls_per_s": round(calls["total"] / calls["elapsed_s"], 1),
        **measure_stops(records, STEP_MS / 1_000),
    }


def main() -> int:
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--no-faults", action="store_true")
    parser.add_argument("--keep", action="store_true", help="Keep the logs.")
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        if options.keep:
            folder = tempfile.mkdtemp(prefix="soak-maps-")
            report(f"logs in {folder}")
        else:
            folder = stack.enter_context(
                tempfile.TemporaryDirectory(prefix="soak-maps-")
            )
        path = pathlib.Path(folder)
        fleet = stack.enter_context(Fleet(path))
        summary = asyncio.run(run(fleet, path, options))
    print(json.dumps(summary))
    return 1 if summary["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
