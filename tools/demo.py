"""Starts a small site, sends traffic and verifies every answer.

Prints one JSON summary as the last line and ends with 0 only if every answer
was right. Leaves no process behind.
"""

import argparse
import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any

from fleet import Fleet, FleetError
from layout import Site, SiteOptions, make_intent

TOKEN = "demo-token"
INTERRUPTED = 130
# The load tool waits this long for its last answers.
LOAD_GRACE_S = 60


def report(text: str) -> None:
    """Prints what happens on standard error."""
    print(f"demo: {text}", file=sys.stderr, flush=True)


async def configure(fleet: Fleet, site: Site, folder: pathlib.Path) -> None:
    """Plans and confirms the first configuration."""
    intent = folder / "intent.json"
    planned = folder / "plan.json"
    intent.write_text(json.dumps(make_intent(site.options, TOKEN), indent=2))
    platform = (
        "--store",
        site.addresses["store"],
        "--instance-list",
        site.addresses["instances"],
    )
    commands = (
        ("plan", *platform, "--output", str(planned), str(intent)),
        ("confirm", *platform, "--operator", "demo", str(planned)),
    )
    for command in commands:
        code, output = await fleet.call("chicoryplank", *command)
        sys.stderr.write(output)
        if code != 0:
            raise FleetError(f"chicoryplank {command[0]} ended with {code}")


async def send_traffic(
    fleet: Fleet, site: Site, options: argparse.Namespace
) -> dict[str, Any]:
    """Runs the load tool and returns its summary."""
    code, output = await fleet.call(
        "chicoryplank_standins.load",
        *("--entries", ",".join(site.entries)),
        *("--token", TOKEN),
        *("--model", site.options.model),
        *("--service", site.options.service),
        *("--seconds", str(options.seconds)),
        *("--rate", str(options.rate)),
        *("--seed", str(options.seed)),
        *("--service-records", ",".join(site.backends)),
        "--json",
        limit_s=options.seconds + LOAD_GRACE_S,
    )
    if code != 0 or not output.strip():
        raise FleetError(f"the load tool ended with {code}")
    return json.loads(output.splitlines()[-1])


def is_right(summary: dict[str, Any]) -> bool:
    """Tells whether every call was answered rightly."""
    faults = ("wrong", "doubled", "verdict_violations", "unrecorded")
    return (
        summary["sent"] > 0
        and summary["whole_and_own"] == summary["sent"]
        and not summary["refusals"]
        and not summary["not_sent"]
        and all(summary[name] == 0 for name in faults)
    )


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Runs the demo and returns the summary."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    # The agents and entries of a demo need not wait for slow callers.
    drain = {"drain_timeout_s": 1}
    site_options = SiteOptions(
        entry_settings={**drain, "address_ttl_s": 1}, agent_settings=drain
    )
    with tempfile.TemporaryDirectory(prefix="chicoryplank-demo-") as name:
        folder = pathlib.Path(name)
        with Fleet(folder) as fleet:
            site = Site(fleet, folder, site_options)
            try:
                return await _run_site(fleet, site, folder, options)
            except FleetError:
                for ended in fleet.find_ended():
                    report(f"{ended} has ended:\n{fleet.read_log(ended)}")
                raise
            finally:
                report("stopping the processes")
                # A second signal must not interrupt the end of the processes.
                for number in (signal.SIGINT, signal.SIGTERM):
                    loop.remove_signal_handler(number)
                    signal.signal(number, signal.SIG_IGN)
                await site.close()


async def _run_site(
    fleet: Fleet, site: Site, folder: pathlib.Path, options: argparse.Namespace
) -> dict[str, Any]:
    started_s = time.monotonic()
    report("starting store, instance list, backends, agents and entries")
    await site.start()
    report("planning and confirming the configuration")
    await configure(fleet, site, folder)
    await site.wait_until_ready()
    ready_s = time.monotonic() - started_s
    report(f"ready after {ready_s:.1f} s; {options.seconds:g} s of traffic")
    summary = await send_traffic(fleet, site, options)
    ended = fleet.find_ended()
    if ended:
        raise FleetError(f"ended during the traffic: {', '.join(ended)}")
    return {"ready_s": round(ready_s, 1), **summary}


def main() -> int:
    """Runs the demo and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--rate", type=float, default=20)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    try:
        summary = asyncio.run(run(options))
    except asyncio.CancelledError:
        report("interrupted")
        return INTERRUPTED
    except FleetError as error:
        print(json.dumps({"ok": False, "error": str(error)}))
        return 1
    is_ok = is_right(summary)
    print(json.dumps({"ok": is_ok, **summary}))
    return 0 if is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
