"""Changes the expert map of a group under seeded faults and checks its steps.

The ranks of the group are spread over four engine processes. Prints a JSON
summary as the last line. Exits with 0 only if there were no violations.
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
from soak_maps_checks import check_engines, check_logs, measure_lost_steps
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
LEASE_DURATION_S = 4
POLL_INTERVAL_S = 0.02
PHASE_TIMEOUT_S = 12
SETTLE_TIMEOUT_S = 60
GROUP_ID = ModelGroupId("toolroom-llm")


def report(text: str) -> None:
    """Prints a progress message to standard error."""
    print(f"soak-maps: {text}", file=sys.stderr, flush=True)


def make_options(seed: int) -> SiteOptions:
    """Returns the options of a site with one group on four engines."""
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
        entry_settings={
            "controller_lease_s": LEASE_DURATION_S,
            "drain_timeout_s": 5,
        },
        agent_settings={"drain_timeout_s": 5},
    )


class GroupObserver:
    """Reads the state of the group and sends stale orders to its engines.

    Args:
        fleet: Starts, pauses and ends the processes.
        site: Addresses and links of the processes.

    Attributes:
        stale_order_ids: Ids of the orders sent under an outdated token.
        earlier_records: Records of engines read before they were killed.
        counts: Number of injected faults and of results of stale orders.
    """

    def __init__(self, fleet: Fleet, site: Site) -> None:
        self.fleet = fleet
        self.site = site
        self.stale_order_ids: set[str] = set()
        self.earlier_records: list[dict[str, Any]] = []
        self.counts: collections.Counter[str] = collections.Counter()
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
        """Returns the map document of the store, or None if unreadable."""
        try:
            return (await read_document(self._store, GROUP_ID))[0]
        except ChicoryplankError:
            return None

    async def get_controller(self) -> str | None:
        """Returns the entry that holds the controller lease, or None."""
        try:
            record = await self._store.read(get_lease_key(GROUP_ID))
        except StoreError:
            return None
        return None if record is None else record.value.decode().split()[0]

    async def wait_for_phase(self, *phases: Phase) -> bool:
        """Waits until a change is in one of the phases.

        Returns:
            False if no change reaches them within `PHASE_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + PHASE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            document = await self.read_map()
            if document is not None and document.phase in phases:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def read_records(self, engine: str) -> dict[str, Any]:
        """Returns the records of an engine.

        Raises:
            FleetError: If the engine does not respond in ten attempts.
        """
        address = self.site.addresses[engine]
        for _ in range(10):
            status, document = await request_json(address, "/records")
            if status == 200:
                return document
        raise FleetError(f"{engine} did not respond in ten attempts")

    async def place_stale_order(self, rng: random.Random, engine: str) -> None:
        """Sends an order whose token is lower than one the engine has seen."""
        records = await self.read_records(engine)
        tokens = [order["token"] for order in records["orders"]]
        if not tokens:
            return
        agent = f"agent-{engine}"
        host, port = self.site.addresses[agent].rsplit(":", 1)
        channel = Channel(host, int(port))
        name = f"stale-{rng.getrandbits(64):x}"
        self.stale_order_ids.add(name)
        arguments_by_kind = {
            "set_role": {"role": "stale"},
            "set_version": {"version": "stale"},
            "prepare_map": {"digest": "stale", "stop_step": 10**9},
        }
        kind = rng.choice(sorted(arguments_by_kind))
        content = json.dumps(
            {"kind": kind, "arguments": arguments_by_kind[kind]}
        )
        try:
            async with asyncio.timeout(3):
                stub = OrdersStub(channel)
                engine_state = await stub.ReadEngine(
                    control_pb2.EngineRequest()
                )
                reply = await stub.PlaceOrder(
                    control_pb2.OrderRequest(
                        fencing_token=max(tokens) - 1,
                        order_id=name,
                        sequence=10**9,
                        incarnation=engine_state.incarnation,
                        content=content.encode(),
                    )
                )
            self.counts[f"stale_order_{reply.code or 'accepted'}"] += 1
        except (OSError, GRPCError, StreamTerminatedError, TimeoutError):
            self.counts["stale_order_unanswered"] += 1
        finally:
            channel.close()

    async def is_settled(self) -> bool:
        """Tells whether no change is pending and ranks run the active map."""
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


Fault = Callable[[GroupObserver, random.Random], Coroutine[None, None, None]]


async def _wait_for_random_phase(
    group: GroupObserver, rng: random.Random
) -> None:
    """Waits for a random phase of a change, or only for a short random time."""
    phases = rng.choice(
        [(Phase.PREPARING, Phase.READY)] * 2 + [(Phase.DECIDED,), ()]
    )
    if phases and not await group.wait_for_phase(*phases):
        group.counts["phase_not_met"] += 1
    await asyncio.sleep(rng.uniform(0, 0.3))


async def kill_controller(group: GroupObserver, rng: random.Random) -> None:
    """Kills the entry that holds the controller lease and restarts it."""
    await _wait_for_random_phase(group, rng)
    name = await group.get_controller()
    if name is not None:
        group.fleet.kill(name)
        await asyncio.sleep(rng.uniform(0, 2))
        group.fleet.restart(name)


async def pause_controller(group: GroupObserver, rng: random.Random) -> None:
    """Pauses the holder of the controller lease until the lease has expired."""
    await _wait_for_random_phase(group, rng)
    name = await group.get_controller()
    if name is not None:
        await _pause(group, name, LEASE_DURATION_S + rng.uniform(1, 5))


async def _pause(group: GroupObserver, name: str, seconds: float) -> None:
    group.fleet.pause(name)
    try:
        await asyncio.sleep(seconds)
    finally:
        group.fleet.resume(name)


async def kill_agent(group: GroupObserver, rng: random.Random) -> None:
    """Kills an agent between the prepare phase and the decision."""
    if not await group.wait_for_phase(Phase.PREPARING, Phase.READY):
        group.counts["phase_not_met"] += 1
    await asyncio.sleep(rng.uniform(0, 0.5))
    name = f"agent-{rng.choice(group.list_engines())}"
    group.fleet.kill(name)
    await asyncio.sleep(rng.uniform(0, 2))
    group.fleet.restart(name)
    await wait_for_port(group.site.addresses[name], 20)


async def stall_engine(group: GroupObserver, rng: random.Random) -> None:
    """Pauses an engine, most of the time while it prepares or switches."""
    await _wait_for_random_phase(group, rng)
    name = rng.choice(group.list_engines())
    await _pause(group, name, rng.uniform(0.3, 5))


async def kill_engine(group: GroupObserver, rng: random.Random) -> None:
    """Kills an engine and restarts it; it must start with the active map."""
    await _wait_for_random_phase(group, rng)
    name = rng.choice(group.list_engines())
    with contextlib.suppress(FleetError):
        group.earlier_records.append({name: await group.read_records(name)})
    group.fleet.kill(name)
    await asyncio.sleep(rng.uniform(0, 2))
    group.fleet.restart(name)
    address = group.site.addresses[name]
    await wait_for_http(address, "/records", 20)
    fields = {"prepare_delay_ms": rng.uniform(100, 600)}
    await request_json(address, "/faults", "POST", fields)


async def stop_store(group: GroupObserver, rng: random.Random) -> None:
    """Makes the store unavailable or slow, or drops some of its responses."""
    await _wait_for_random_phase(group, rng)
    address = group.site.addresses["store"]
    kind = rng.choice(["down", "lose", "slow"])
    fields = {
        "down": {"down": True, "mode": rng.choice(["hang", "refuse"])},
        "lose": {"lose_answers": rng.randint(1, 6)},
        "slow": {"delay_ms": rng.uniform(100, 450)},
    }
    await request_json(address, "/faults", "POST", fields[kind])
    await asyncio.sleep(rng.uniform(1, 8))
    disabled_faults = {"down": False, "lose_answers": 0, "delay_ms": 0}
    await request_json(address, "/faults", "POST", disabled_faults)


async def block_agent(group: GroupObserver, rng: random.Random) -> None:
    """Blocks the orders to an agent, its responses or both."""
    await _wait_for_random_phase(group, rng)
    link = group.site.links[f"agent-{rng.choice(group.list_engines())}"]
    link.block(rng.choice([(True,), (False,), (True, False)]))
    await asyncio.sleep(rng.uniform(0.5, 5))
    if rng.random() < 0.5:
        link.cut()
    link.unblock()


async def place_stale_orders(group: GroupObserver, rng: random.Random) -> None:
    """Sends a stale order to each engine through its agent."""
    for engine in group.list_engines():
        with contextlib.suppress(FleetError):
            await group.place_stale_order(rng, engine)


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
    group: GroupObserver, rng: random.Random, seconds: float
) -> None:
    """Injects faults one after the other in a random order."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        for fault in rng.sample(FAULTS, len(FAULTS)):
            if time.monotonic() > deadline_s:
                return
            name = fault.__name__
            report(name)
            group.counts[name] += 1
            await fault(group, random.Random(rng.random()))
            await place_stale_orders(group, rng)
            await asyncio.sleep(rng.uniform(0, 3))


async def _wait_until_settled(group: GroupObserver, change: int) -> bool:
    """Waits until a change later than the given one is finished."""
    deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        document = await group.read_map()
        is_later = document is not None and document.in_force_change > change
        if is_later and await group.is_settled():
            return True
        await asyncio.sleep(0.2)
    return False


async def _change_version(
    group: GroupObserver, operators: Operators
) -> tuple[float, list[str]]:
    """Changes the version of the group.

    Returns:
        Time in seconds until all engines run the version, and violations.
    """
    change = {"groups": {"change": {GROUP_ID: {"version": "v2"}}}}
    if not await operators.change(change, "soak"):
        return 0.0, [f"the version was not changed: {operators.failures}"]
    start_s = time.monotonic()
    while time.monotonic() < start_s + SETTLE_TIMEOUT_S:
        versions = {
            (await group.read_records(engine))["version"]
            for engine in group.list_engines()
        }
        if versions == {"v2"}:
            return time.monotonic() - start_s, []
        await asyncio.sleep(0.2)
    return 0.0, [f"versions after {SETTLE_TIMEOUT_S} s: {sorted(versions)}"]


async def run(
    fleet: Fleet, folder: pathlib.Path, options: argparse.Namespace
) -> dict[str, Any]:
    """Runs the group under faults and returns the summary."""
    rng = random.Random(options.seed)
    site = Site(fleet, folder, make_options(options.seed))
    await site.start()
    operators = Operators(fleet, site, folder)
    intent = make_intent(site.options, "soak-maps-token")
    if not await operators.change(intent, "soak"):
        raise FleetError(f"configuration not confirmed: {operators.failures}")
    await site.wait_until_ready()
    group = GroupObserver(fleet, site)
    for engine in group.list_engines():
        fields = {"prepare_delay_ms": rng.uniform(100, 600)}
        address = site.addresses[engine]
        await request_json(address, "/faults", "POST", fields)
    violations = []
    if not await _wait_until_settled(group, 0):
        violations.append("no first change was finished")
    first_document = await group.read_map()
    if options.no_faults:
        await asyncio.sleep(options.seconds)
    else:
        await run_faults(group, rng, options.seconds)
    report("faults ended")
    last_document = await group.read_map()
    faults_ended_s = time.monotonic()
    if not await _wait_until_settled(group, last_document.in_force_change):
        violations.append(f"no change finished in {SETTLE_TIMEOUT_S} s")
    settle_s = time.monotonic() - faults_ended_s
    version_s, version_violations = await _change_version(group, operators)
    violations += version_violations
    records = {
        engine: await group.read_records(engine)
        for engine in group.list_engines()
    }
    violations += check_engines(records, group.stale_order_ids)
    for earlier_records in group.earlier_records:
        violations += check_engines(
            records | earlier_records, group.stale_order_ids
        )
    violations += check_logs(folder)
    final_document = await group.read_map()
    _, store_calls = await request_json(site.addresses["store"], "/calls")
    await group.close()
    await site.close()
    return {
        "seed": options.seed,
        "seconds": options.seconds,
        "violations": violations,
        "tally": dict(sorted(group.counts.items())),
        "changes_begun": final_document.last_change
        - first_document.last_change,
        "last_change": final_document.last_change,
        "settle_s": round(settle_s, 1),
        "version_s": round(version_s, 1),
        "store_calls_per_s": round(
            store_calls["total"] / store_calls["elapsed_s"], 1
        ),
        **measure_lost_steps(records, STEP_MS / 1_000),
    }


def main() -> int:
    """Runs the soak test and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--no-faults", action="store_true")
    parser.add_argument(
        "--keep", action="store_true", help="Keep the folder of the logs."
    )
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
