"""Starts a small site, sends traffic and verifies every response.

Prints a JSON summary as the last line. Exits with 0 only if every response was
complete and correct. Ends all processes that it has started.
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
EXIT_INTERRUPTED = 130
# Time that the load tool may take for its last responses, beyond the traffic.
LOAD_TIMEOUT_MARGIN_S = 60


def report(text: str) -> None:
    """Prints a progress message to standard error."""
    print(f"demo: {text}", file=sys.stderr, flush=True)


async def configure(fleet: Fleet, site: Site, folder: pathlib.Path) -> None:
    """Plans and confirms the first configuration."""
    intent_path = folder / "intent.json"
    plan_path = folder / "plan.json"
    intent_path.write_text(
        json.dumps(make_intent(site.options, TOKEN), indent=2)
    )
    platform = (
        "--store",
        site.addresses["store"],
        "--instance-list",
        site.addresses["instances"],
    )
    commands = (
        ("plan", *platform, "--output", str(plan_path), str(intent_path)),
        ("confirm", *platform, "--operator", "demo", str(plan_path)),
    )
    for command in commands:
        code, output = await fleet.call("chicoryplank", *command)
        sys.stderr.write(output)
        if code != 0:
            raise FleetError(
                f"chicoryplank {command[0]} exited with code {code}"
            )


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
        limit_s=options.seconds + LOAD_TIMEOUT_MARGIN_S,
    )
    if code != 0 or not output.strip():
        raise FleetError(f"the load tool exited with code {code}")
    return json.loads(output.splitlines()[-1])


def is_successful(summary: dict[str, Any]) -> bool:
    """Tells whether every call got its own complete response."""
    failure_counts = ("wrong", "doubled", "verdict_violations", "unrecorded")
    return (
        summary["sent"] > 0
        and summary["whole_and_own"] == summary["sent"]
        and not summary["refusals"]
        and not summary["not_sent"]
        and all(summary[name] == 0 for name in failure_counts)
    )


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Runs the demo and returns the summary."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    # A demo has no slow callers for which the daemons would have to wait.
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
                for ended in fleet.list_ended():
                    report(f"{ended} has ended, log:\n{fleet.read_log(ended)}")
                raise
            finally:
                report("stopping the processes")
                # A second signal must not interrupt the shutdown.
                for number in (signal.SIGINT, signal.SIGTERM):
                    loop.remove_signal_handler(number)
                    signal.signal(number, signal.SIG_IGN)
                await site.close()


async def _run_site(
    fleet: Fleet, site: Site, folder: pathlib.Path, options: argparse.Namespace
) -> dict[str, Any]:
    started_s = time.monotonic()
    report("starting the store, instance list, backends, agents and entries")
    await site.start()
    report("planning and confirming the configuration")
    await configure(fleet, site, folder)
    await site.wait_until_ready()
    ready_s = time.monotonic() - started_s
    report(f"ready after {ready_s:.1f} s; {options.seconds:g} s of traffic")
    summary = await send_traffic(fleet, site, options)
    ended = fleet.list_ended()
    if ended:
        raise FleetError(
            f"processes ended during the traffic: {', '.join(ended)}"
        )
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
        return EXIT_INTERRUPTED
    except FleetError as error:
        print(json.dumps({"ok": False, "error": str(error)}))
        return 1
    is_ok = is_successful(summary)
    print(json.dumps({"ok": is_ok, **summary}))
    return 0 if is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
