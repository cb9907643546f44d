"""Command line that the soak runs share."""

import argparse
import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Callable, Collection
from typing import Any

from fleet import Fleet, FleetError

INTERRUPTED = 130


def report(text: str) -> None:
    """Prints what happens on standard error."""
    print(f"soak: {text}", file=sys.stderr, flush=True)


MakeSoak = Callable[[Fleet, pathlib.Path, argparse.Namespace], Any]


async def _run(
    make_soak: MakeSoak, options: argparse.Namespace
) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory(prefix="chicoryplank-soak-") as name:
        folder = pathlib.Path(options.folder or name)
        folder.mkdir(parents=True, exist_ok=True)
        with Fleet(folder) as fleet:
            try:
                return await make_soak(fleet, folder, options).run()
            except FleetError:
                for ended in fleet.find_ended():
                    report(f"{ended} has ended:\n{fleet.read_log(ended)}")
                raise


def run_command(
    description: str,
    faults: Collection[str],
    make_soak: MakeSoak,
    seconds: float,
) -> int:
    """Runs a soak, prints its summary and returns the exit code.

    Args:
        description: Help text.
        faults: Names of the faults that can be chosen.
        make_soak: Returns the run of a fleet, a folder and the options; its
            `run` returns the summary with `violations`.
        seconds: Length of a run if none is given.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--folder", help="Keep settings, records and logs.")
    parser.add_argument(
        "--faults",
        type=lambda text: text.split(","),
        default=list(faults),
        help=f"By comma, of {', '.join(faults)}.",
    )
    options = parser.parse_args()
    if unknown := set(options.faults) - set(faults):
        parser.error(f"unknown faults: {', '.join(sorted(unknown))}")
    try:
        summary = asyncio.run(_run(make_soak, options))
    except asyncio.CancelledError:
        report("interrupted")
        return INTERRUPTED
    except FleetError as error:
        print(json.dumps({"ok": False, "error": str(error)}))
        return 1
    is_ok = not summary["violations"]
    print(json.dumps({"ok": is_ok, **summary}))
    return 0 if is_ok else 1
