"""Measures the cost of an idle entry by the number of connected agents.

One process serves the relay services of all agents, without backend servers;
one entry connects to all of them. Prints the CPU share and the resident memory
of the entry and their increase per agent.
"""

import argparse
import asyncio
import dataclasses
import datetime
import multiprocessing
import os
import pathlib
import socket
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import fleet as fleets  # noqa: E402
import layout  # noqa: E402
from path import confirm_intent, read_usage  # noqa: E402

from chicoryplank.attempts import AgentAttemptTable  # noqa: E402
from chicoryplank.clock import SystemClock  # noqa: E402
from chicoryplank.configuration import (  # noqa: E402
    AgentSettings,
    RequestLimits,
    StoreSettings,
)
from chicoryplank.ids import Incarnation, InstanceId, ZoneId  # noqa: E402
from chicoryplank_agent.backend import BackendClient  # noqa: E402
from chicoryplank_agent.daemon import IDLE_REPORT_INTERVAL  # noqa: E402
from chicoryplank_agent.relay import RelayService  # noqa: E402
from chicoryplank_wire.peers import make_server  # noqa: E402

_MAX_MESSAGE_BYTES = 1_048_576


async def serve_agents(sockets: list[socket.socket]) -> None:
    """Serves one relay service on each socket and sends its idle reports."""
    clock = SystemClock()
    services = []
    for listener in sockets:
        port = listener.getsockname()[1]
        settings = AgentSettings(
            InstanceId(f"agent-{port}"),
            ZoneId("toolroom"),
            "toolroom-llm",
            f"127.0.0.1:{port}",
            "127.0.0.1:1",
            StoreSettings("127.0.0.1:1"),
        )
        table = AgentAttemptTable(clock, RequestLimits(), datetime.timedelta())
        service = RelayService(
            settings,
            Incarnation(f"agent-{port}-a"),
            clock,
            table,
            BackendClient("127.0.0.1:1", 1, SystemClock()),
        )
        server = make_server([service], _MAX_MESSAGE_BYTES)
        await server.start(sock=listener)
        services.append((service, server))
    while True:
        await asyncio.sleep(IDLE_REPORT_INTERVAL.total_seconds())
        for service, _ in services:
            service.request_send_to_all()


def run_agents(count: int, queue: multiprocessing.Queue) -> None:
    """Puts the ports of the agents into the queue, then serves the agents.

    This is the entry point of the process of the agents.
    """
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    queue.put([listener.getsockname()[1] for listener in sockets])
    asyncio.run(serve_agents(sockets))


async def measure_entry(count: int, seconds: float) -> tuple[float, float]:
    """Returns the CPU share (of one core) and memory (MB) of an idle entry.

    Args:
        count: Number of agents that the entry connects to.
        seconds: Duration of the measurement of the CPU share.
    """
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    agents = context.Process(
        target=run_agents, args=(count, queue), daemon=True
    )
    agents.start()
    ports = queue.get()
    options = layout.SiteOptions(entries=1, engines=0, services=0)
    try:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            with fleets.Fleet(folder) as fleet:
                site = layout.Site(fleet, folder, options)
                await site.start()
                site.options = dataclasses.replace(options, engines=count)
                await confirm_intent(site)
                for port in ports:
                    await site.register(
                        {
                            "instance": f"agent-{port}",
                            "role": "backend",
                            "zone": "toolroom",
                            "address": f"127.0.0.1:{port}",
                            "deployment": "toolroom-llm",
                        }
                    )
                await site.wait_until_ready()
                await asyncio.sleep(5)
                pid = fleet.members["entry-1"].process.pid
                before_s, _ = read_usage(pid)
                await asyncio.sleep(seconds)
                after_s, memory_mb = read_usage(pid)
                return (after_s - before_s) / seconds, memory_mb
    finally:
        agents.terminate()
        agents.join()


async def measure(counts: list[int], seconds: float) -> None:
    """Prints a line for each number of agents and the increase per agent."""
    rows = []
    for count in counts:
        cpu_share, memory_mb = await measure_entry(count, seconds)
        rows.append((count, cpu_share, memory_mb))
        print(
            f"{count} agents: {100 * cpu_share:.2f} % of a core, "
            f"{memory_mb:.1f} MB",
            flush=True,
        )
    first, last = rows[0], rows[-1]
    agent_difference = last[0] - first[0]
    cpu_share = 100 * (last[1] - first[1]) / agent_difference
    memory_kb = 1000 * (last[2] - first[2]) / agent_difference
    print(
        f"slope: {cpu_share:.4f} % of a core and {memory_kb:.0f} KB for each "
        f"agent ({os.cpu_count()} cores, load {os.getloadavg()[0]:.1f})"
    )


def main() -> None:
    """Reads the options and runs the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--counts", default="8,64,160")
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    counts = [int(item) for item in options.counts.split(",")]
    asyncio.run(measure(counts, options.seconds))


if __name__ == "__main__":
    main()
