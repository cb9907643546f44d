"""Measures configuration changes, draining and a store outage at a site.

Starts 8 entries and 19 agents with their backend servers as real processes.
Prints the time from the confirmation of a change until every entry serves the
new version, the time from the start of draining ("leaving") until the last new
request at that backend server, and the share of requests that are served while
the key-value store is down.
"""

import argparse
import asyncio
import collections
import datetime
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time

import aiosonic

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import fleet as fleets  # noqa: E402
import layout  # noqa: E402

from chicoryplank.configuration import (  # noqa: E402
    SnapshotReader,
    confirm_plan,
    create_plan,
    parse_intent,
)
from chicoryplank.ids import OperationId  # noqa: E402
from chicoryplank_wire.store import EtcdStore  # noqa: E402

_TOKEN = "bench"
_TARGET_S = 7.0


class Operator:
    """Plans and confirms configuration changes in the site's store."""

    def __init__(self, address: str) -> None:
        self._store = EtcdStore(address, datetime.timedelta(seconds=2))
        self._reader = SnapshotReader()
        self._count = 0

    async def change(self, intent: dict) -> int:
        """Plans and confirms an intent; returns the new version."""
        self._count += 1
        await self._reader.refresh(self._store)
        plan = create_plan(
            self._reader.snapshot, parse_intent(json.dumps(intent)), None
        )
        confirmed = await confirm_plan(
            self._store, plan, "bench", OperationId(f"bench-{self._count}")
        )
        return confirmed.version

    async def close(self) -> None:
        """Closes the connection to the store."""
        await self._store.close()


async def wait_for_version(
    address: str, version: int, started_s: float
) -> float:
    """Waits until an entry serves a version; returns the elapsed seconds."""
    async with aiosonic.HTTPClient() as client:
        while True:
            response = await client.get(f"http://{address}/readyz")
            document = json.loads(await response.content())
            if document.get("config_version", 0) >= version:
                return time.monotonic() - started_s
            await asyncio.sleep(0.02)


async def measure_activation(site, operator: Operator, changes: int) -> None:
    """Prints the time until changes are active at every entry."""
    delays_s = []
    for number in range(changes):
        intent = {
            "accounts": {
                "change": {"shop-floor": {"requests_per_s": 5_001 + number}}
            }
        }
        started_s = time.monotonic()
        version = await operator.change(intent)
        times = await asyncio.gather(
            *(
                wait_for_version(address, version, started_s)
                for address in site.entries
            )
        )
        delays_s.append(max(times))
        await asyncio.sleep(0.3)
    delays_s.sort()
    print(
        f"configuration active at {len(site.entries)} entries after a "
        f"confirm, {changes} changes: p50 {statistics.median(delays_s):.2f} "
        f"s, worst {delays_s[-1]:.2f} s (target {_TARGET_S:.0f} s)"
    )


async def send_call(client, address: str, path: str, key: str = "") -> str:
    """Sends a request; returns its outcome.

    The outcome is "ok", the error code of the response, or "lost" if there was
    no complete response within 10 s.
    """
    headers = {"Authorization": f"Bearer {_TOKEN}"}
    method = "GET"
    body = None
    if path.startswith("/v1/completions"):
        method = "POST"
        body = json.dumps(
            {"model": "toolroom", "prompt": f"p {key}", "max_tokens": 4}
        )
        headers["Content-Type"] = "application/json"
    elif key:
        method = "POST"
        body = key
        headers["Idempotency-Key"] = key
    try:
        async with asyncio.timeout(10):
            response = await client.request(
                f"http://{address}{path}", method, headers=headers, data=body
            )
            content = await response.content()
    except (OSError, TimeoutError, aiosonic.exceptions.AiosonicError):
        return "lost"
    if response.status_code < 400:
        return "ok"
    try:
        return json.loads(content)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return str(response.status_code)


async def send_traffic(
    site, paths: dict[str, str], rate: float, stop: asyncio.Event, seed: int
) -> dict[str, collections.Counter]:
    """Sends calls to each path at a rate until stopped; counts outcomes."""
    rng = random.Random(seed)
    results = {name: collections.Counter() for name in paths}
    pending = set()
    number = 0
    async with aiosonic.HTTPClient() as client:

        async def send_one(name: str, key: str) -> None:
            address = rng.choice(site.entries)
            outcome = await send_call(client, address, paths[name], key)
            results[name][outcome] += 1

        while not stop.is_set():
            number += 1
            for name in paths:
                key = "" if name == "reads" else f"{name}-{seed}-{number}"
                task = asyncio.create_task(send_one(name, key))
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.sleep(1 / rate)
        if pending:
            await asyncio.wait(pending)
    return results


async def measure_draining(site, operator: Operator, names: list[str]) -> None:
    """Prints the time of the last new request at draining backend servers."""
    stop = asyncio.Event()
    traffic = asyncio.create_task(
        send_traffic(
            site, {"completions": "/v1/completions"}, 100, stop, seed=7
        )
    )
    await asyncio.sleep(2)
    delays = []
    for name in names:
        marked_at = time.time()
        await operator.change({"leaving": {"add": [f"agent-{name}"]}})
        await asyncio.sleep(3)
        _, document = await fleets.request_json(
            site.addresses[name], "/records"
        )
        times = [
            moment
            for record in document["records"]
            if "completions" in record["path"]
            for moment in record["times_s"]
        ]
        if not times:
            raise RuntimeError(f"{name} recorded no completion")
        delays.append(max(times) - marked_at)
    stop.set()
    results = await traffic
    print(
        "last new request, from the start of the confirm of 'leaving': "
        f"{', '.join(f'{delay:.2f}' for delay in delays)} s; calls meanwhile "
        f"{dict(results['completions'])}"
    )


async def measure_outage(site, seconds: float) -> None:
    """Prints the share of calls that are served while the store is down."""
    status, _ = await fleets.request_json(
        site.addresses["store"], "/faults", "POST", {"down": True}
    )
    if status >= 400:
        raise RuntimeError(f"store returned status {status}")
    stop = asyncio.Event()
    paths = {
        "completions": "/v1/completions",
        "reads": f"/v1/services/{site.options.service}/cards",
        "quotes": f"/v1/services/{site.options.service}/quotes",
    }
    traffic = asyncio.create_task(send_traffic(site, paths, 10, stop, seed=9))
    await asyncio.sleep(seconds)
    stop.set()
    results = await traffic
    await fleets.request_json(
        site.addresses["store"], "/faults", "POST", {"down": False}
    )
    for name, counts in results.items():
        total = sum(counts.values())
        print(
            f"store down for {seconds:.0f} s, {name}: "
            f"{100 * counts['ok'] / total:.1f} % of {total} served, "
            f"{dict(counts)}"
        )


async def measure(options: argparse.Namespace) -> None:
    """Starts a site and runs all measurements on it."""
    site_options = layout.SiteOptions(
        entries=options.entries,
        engines=options.engines,
        services=options.services,
        engine_arguments=("--step-ms", "12"),
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with fleets.Fleet(folder) as fleet:
            site = layout.Site(fleet, folder, site_options)
            await site.start(limit_s=60)
            operator = Operator(site.addresses["store"])
            intent = layout.make_intent(site.options, _TOKEN)
            for account in intent["accounts"]["add"].values():
                account["requests_per_s"] = 5_000
                account["tokens_per_s"] = 1_000_000
            await operator.change(intent)
            await site.wait_until_ready()
            await asyncio.sleep(3)
            await measure_activation(site, operator, options.changes)
            await measure_outage(site, options.outage_s)
            await asyncio.sleep(3)
            await measure_draining(
                site, operator, ["engine-1", "engine-2", "engine-3"]
            )
            status, calls = await fleets.request_json(
                site.addresses["store"], "/calls"
            )
            if status == 200:
                rate = calls["total"] / calls["elapsed_s"]
                print(
                    f"store: {rate:.1f} calls/s over the run, "
                    f"{calls['pending_watches']} pending watches"
                )
            await operator.close()


def main() -> None:
    """Reads the options and runs the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--engines", type=int, default=16)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--outage-s", type=float, default=60)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
