"""Command-line interface shared by the soak tests."""

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

EXIT_INTERRUPTED = 130


def report(text: str) -> None:
    """Prints a progress message to standard error."""
    print(f"soak: {text}", file=sys.stderr, flush=True)


RunFactory = Callable[[Fleet, pathlib.Path, argparse.Namespace], Any]


async def _run(
    create_run: RunFactory, options: argparse.Namespace
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
                return await create_run(fleet, folder, options).run()
            except FleetError:
                for ended in fleet.list_ended():
                    report(f"{ended} has ended, log:\n{fleet.read_log(ended)}")
                raise


def run_command(
    description: str,
    faults: Collection[str],
    create_run: RunFactory,
    seconds: float,
    add_arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> int:
    """Runs a soak test, prints its summary and returns the exit code.

    Args:
        description: Description in the help text.
        faults: Kinds of faults that can be selected.
        create_run: Creates a run from a fleet, a folder and the options. The
            method `run` of the result returns the summary, whose key
            `violations` is empty if the test has passed.
        seconds: Default duration in seconds.
        add_arguments: Adds the options of one soak test to the parser.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--folder",
        help="Folder that keeps settings, records and logs after the run.",
    )
    parser.add_argument(
        "--faults",
        type=lambda text: text.split(","),
        default=list(faults),
        help=f"Comma-separated list of {', '.join(faults)}.",
    )
    if add_arguments is not None:
        add_arguments(parser)
    options = parser.parse_args()
    if unknown := set(options.faults) - set(faults):
        parser.error(f"unknown faults: {', '.join(sorted(unknown))}")
    try:
        summary = asyncio.run(_run(create_run, options))
    except asyncio.CancelledError:
        report("interrupted")
        return EXIT_INTERRUPTED
    except FleetError as error:
        print(json.dumps({"ok": False, "error": str(error)}))
        return 1
    is_ok = not summary["violations"]
    print(json.dumps({"ok": is_ok, **summary}))
    return 0 if is_ok else 1
