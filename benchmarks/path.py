"""Compares the path through entry and agent with direct connections.

Prints the tokens relayed per second of CPU time at the entry and at the
agents, the additional time to the first token, and the CPU share and memory of
idle processes. Both cases use the same simulated engines in the same run.
"""

import argparse
import asyncio
import collections
import datetime
import json
import multiprocessing
import os
import pathlib
import statistics
import sys
import tempfile
import time

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

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_TOKEN = "bench"
_MODEL = "model"
_PLANNED_TOKENS_PER_S = 32_000


def read_usage(pid: int) -> tuple[float, float]:
    """Returns CPU time in seconds and resident memory in MB of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return cpu_s, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def stream_once(address: str, prompt: str, max_tokens: int) -> tuple:
    """Sends a streaming request; returns the time to first token and events.

    The time is in seconds; each event of the stream carries one token.
    """
    host, port = address.split(":")
    body = json.dumps(
        {
            "model": _MODEL,
            "stream": True,
            "max_tokens": max_tokens,
            "prompt": prompt,
        }
    ).encode()
    started_s = time.perf_counter()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        b"Authorization: Bearer " + _TOKEN.encode() + b"\r\n"
        b"Content-Type: application/json\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body) + body
    )
    first_token_s = None
    events = 0
    tail = b""
    while data := await reader.read(65_536):
        count = (tail + data).count(b"\ndata: ") - tail.count(b"\ndata: ")
        tail = (tail + data)[-64:]
        if count and first_token_s is None:
            first_token_s = time.perf_counter() - started_s
        events += count
    writer.close()
    if b"[DONE]" not in tail:
        raise RuntimeError(f"stream ended without [DONE]; last bytes: {tail!r}")
    return first_token_s, events


async def run_streams(
    addresses: list[str], streams: int, calls: int, max_tokens: int, name: str
) -> tuple[list[float], int]:
    """Runs concurrent streams with consecutive calls on each of them.

    Returns:
        Time to the first token of each call, in seconds, and the number of
        events of all calls.
    """
    first_token_times_s = []
    events = 0

    async def run_connection(number: int) -> None:
        nonlocal events
        for call in range(calls):
            seconds, count = await stream_once(
                addresses[number % len(addresses)],
                f"{name} {number} {call} prompt",
                max_tokens,
            )
            first_token_times_s.append(seconds)
            events += count

    await asyncio.gather(*(run_connection(number) for number in range(streams)))
    return first_token_times_s, events


def run_client(queue, arguments) -> None:
    """Runs streams in a client process and puts the result into the queue."""
    queue.put(asyncio.run(run_streams(*arguments)))


def run_clients(
    processes: int, addresses: list[str], streams: int, calls: int, tokens: int
) -> tuple[list[float], int, float]:
    """Runs streams in several client processes.

    Returns:
        Time to the first token of each call, in seconds; the number of events
        of all calls; the duration of the run in seconds.
    """
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    started_s = time.perf_counter()
    workers = [
        context.Process(
            target=run_client,
            args=(queue, (addresses, streams, calls, tokens, f"c{number}")),
        )
        for number in range(processes)
    ]
    for worker in workers:
        worker.start()
    results = [queue.get() for _ in workers]
    for worker in workers:
        worker.join()
    first_token_times_s = [value for times, _ in results for value in times]
    events = sum(count for _, count in results)
    return first_token_times_s, events, time.perf_counter() - started_s


def compute_percentile_ms(values: list[float], percent: int) -> float:
    """Returns a percentile in milliseconds."""
    cuts = statistics.quantiles(values, n=100)
    return cuts[percent - 1] * 1000


async def confirm_intent(site: layout.Site) -> None:
    """Adds the client account of the benchmark, with high limits."""
    intent = layout.make_intent(site.options, _TOKEN)
    for account in intent["accounts"]["add"].values():
        account["requests_per_s"] = 100_000
        account["tokens_per_s"] = 10_000_000
    store = EtcdStore(site.addresses["store"], datetime.timedelta(seconds=2))
    reader = SnapshotReader()
    await reader.refresh(store)
    plan = create_plan(reader.snapshot, parse_intent(json.dumps(intent)), None)
    await confirm_plan(store, plan, "bench", OperationId("bench-1"))
    await store.close()


async def measure(options: argparse.Namespace) -> None:
    """Starts a site with one entry and runs all measurements on it."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with fleets.Fleet(folder) as fleet:
            site = layout.Site(
                fleet,
                folder,
                layout.SiteOptions(
                    entries=1,
                    engines=options.engines,
                    services=1,
                    model=_MODEL,
                    engine_arguments=(
                        "--step-ms",
                        str(options.step_ms),
                        "--max-batch",
                        "512",
                    ),
                ),
            )
            await site.start()
            await confirm_intent(site)
            await site.wait_until_ready()
            await asyncio.sleep(2)
            await measure_site(options, fleet, site)


async def measure_site(options, fleet, site) -> None:
    """Measures idle usage, time to first token and throughput of a site."""
    pids = {name: member.process.pid for name, member in fleet.members.items()}
    agents = [name for name in pids if name.startswith("agent-engine")]
    idle_before = {name: read_usage(pid) for name, pid in pids.items()}
    await asyncio.sleep(options.idle_s)
    idle = {name: read_usage(pid) for name, pid in pids.items()}
    for name in ("entry-1", agents[0]):
        share = (idle[name][0] - idle_before[name][0]) / options.idle_s
        print(
            f"idle {name}: {idle[name][1]:.1f} MB resident, "
            f"{100 * share:.2f} % of a core"
        )
    engines = site._select("engine-")
    rows = collections.OrderedDict()
    loop = asyncio.get_running_loop()
    for label, addresses in (("direct", engines), ("path", site.entries)):
        # The first calls after the start are slow in both cases, so a warm-up
        # run is made first and its result discarded.
        for calls in (options.light_calls // 5, options.light_calls):
            rows[label] = await loop.run_in_executor(
                None, run_clients, 1, addresses, 4, calls, 8
            )
    for percent in (50, 99):
        direct = compute_percentile_ms(rows["direct"][0], percent)
        path = compute_percentile_ms(rows["path"][0], percent)
        print(
            f"first token p{percent}: direct {direct:.1f} ms, "
            f"path {path:.1f} ms, added {path - direct:.1f} ms"
        )
    for label, addresses in (("direct", engines), ("path", site.entries)):
        before = {name: read_usage(pid)[0] for name, pid in pids.items()}
        first_token_times_s, events, seconds = await loop.run_in_executor(
            None,
            run_clients,
            options.clients,
            addresses,
            options.streams // options.clients,
            options.calls,
            options.tokens,
        )
        after = {name: read_usage(pid)[0] for name, pid in pids.items()}
        used = {name: after[name] - before[name] for name in pids}
        print(
            f"{label}: {events} tokens in {seconds:.1f} s, "
            f"{events / seconds:.0f}/s, first token p95 "
            f"{compute_percentile_ms(first_token_times_s, 95):.0f} ms"
        )
        if label == "path":
            entry_s = used["entry-1"]
            agents_s = sum(used[name] for name in agents)
            rate = events / entry_s
            print(
                f"entry: {rate:.0f} tokens per core second, "
                f"{rate / _PLANNED_TOKENS_PER_S:.2f} of the planned "
                f"{_PLANNED_TOKENS_PER_S}; {entry_s:.2f} s used"
            )
            print(f"agents: {events / agents_s:.0f} tokens per core second")
        engines_s = sum(
            value for name, value in used.items() if name.startswith("engine")
        )
        print(
            f"{label} engines: {events / engines_s:.0f} tokens per core second"
        )


def main() -> None:
    """Reads the options and runs the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--streams", type=int, default=128)
    parser.add_argument("--clients", type=int, default=2)
    parser.add_argument("--calls", type=int, default=2)
    parser.add_argument("--tokens", type=int, default=315)
    parser.add_argument("--step-ms", type=float, default=12)
    parser.add_argument("--light-calls", type=int, default=50)
    parser.add_argument("--idle-s", type=float, default=10)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
