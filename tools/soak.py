"""Runs a site under traffic and seeded faults and checks every promise.

Prints one JSON summary as the last line and ends with 0 only if nothing was
violated. Leaves no process behind.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import time
from typing import Any

import soak_checks
from fleet import Fleet, FleetError, request_json
from layout import Site, SiteOptions, make_intent
from soak_callers import Addresses, Callers
from soak_command import report, run_command
from soak_faults import FAULTS, World, run_faults
from soak_operators import Operators
from soak_records import Ending, Timeline, Try, Violations

from chicoryplank_standins.calls import Target

TOKEN = "soak-token"
MODEL_RATE = 22
SERVICE_RATE = 18
MAX_TOKENS = 128
# The last changes must have time to reach all entries.
SETTLE_S = 8.0
# Traffic after the last fault, which every backend must serve again.
RECOVERY_S = 4.0


def make_options() -> SiteOptions:
    """Returns a site whose planned stops take seconds."""
    drain = {"drain_timeout_s": 30}
    return SiteOptions(
        entries=4,
        engines=4,
        services=2,
        has_links=True,
        keeps_records=True,
        service_arguments=("--delay-ms", "30"),
        entry_settings={**drain, "address_ttl_s": 1},
        agent_settings=drain,
    )


def make_first_intent(options: SiteOptions) -> dict[str, Any]:
    """Returns an intent that leaves room to drain an engine."""
    intent = make_intent(options, TOKEN)
    for group in intent["groups"]["add"].values():
        group |= {"replicas": 2, "tokens_per_s": 5_000}
    return intent


class Soak:
    """One run.

    Args:
        fleet: Processes.
        folder: Folder for settings, records and logs.
        options: Command line.
    """

    def __init__(
        self, fleet: Fleet, folder: pathlib.Path, options: argparse.Namespace
    ) -> None:
        self.tries: list[Try] = []
        self.timeline = Timeline()
        self.violations = Violations()
        self._healed_s = 0.0
        self._options = options
        self._folder = folder
        self._fleet = fleet
        self._site = Site(fleet, folder, make_options())
        self._operators = Operators(fleet, self._site, folder)

    async def run(self) -> dict[str, Any]:
        """Starts the site, runs traffic and faults, and checks."""
        try:
            return await self._run()
        finally:
            await self._site.close()

    async def _run(self) -> dict[str, Any]:
        site, options = self._site, self._options
        await site.start()
        intent = make_first_intent(site.options)
        if not await self._operators.change(intent, "soak"):
            raise FleetError(f"no configuration: {self._operators.failures}")
        await site.wait_until_ready()
        names = {
            address: name
            for name, address in site.addresses.items()
            if name.startswith("entry-")
        }
        target = Target(
            TOKEN, site.options.model, site.options.service, 8_000, MAX_TOKENS
        )
        addresses = Addresses(names, TOKEN)
        callers = Callers(target, addresses, self.tries.append)
        world = World(
            self._fleet,
            site,
            self.timeline,
            operators=self._operators,
            callers=callers,
            target=target,
        )
        helpers = [
            asyncio.create_task(addresses.refresh()),
            asyncio.create_task(self._operators.watch_versions()),
        ]
        report(f"{options.seconds:g} s of traffic, seed {options.seed}")
        start_s = time.time()
        await self._run_traffic(world, callers, target)
        for helper in helpers:
            helper.cancel()
        failed = [
            task.exception()
            for task in helpers
            if task.done() and not task.cancelled() and task.exception()
        ]
        if failed:
            raise failed[0]
        return await self._check(world, callers, start_s)

    async def _run_traffic(
        self, world: World, callers: Callers, target: Target
    ) -> None:
        seconds, seed = self._options.seconds, self._options.seed
        kinds = self._options.faults
        services = Target(TOKEN, "", target.service, 8_000)
        faults = asyncio.create_task(
            run_faults(world, kinds, seconds - 1, f"{seed}/faults")
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(
                callers.run(target, MODEL_RATE, seconds, f"{seed}/model")
            )
            group.create_task(
                callers.run(services, SERVICE_RATE, seconds, f"{seed}/service")
            )
            group.create_task(
                self._operators.run(seconds, random.Random(f"{seed}/operator"))
            )
        report("traffic ends; waiting for the last faults and answers")
        await faults
        await callers.finish()
        await asyncio.sleep(SETTLE_S)
        self._healed_s = time.time()
        await asyncio.gather(
            callers.run(target, MODEL_RATE, RECOVERY_S, f"{seed}/last"),
            callers.run(services, SERVICE_RATE, RECOVERY_S, f"{seed}/last"),
        )
        await callers.finish()

    async def _read_records(self) -> dict[str, list[dict[str, Any]]]:
        records = {}
        for name, address in self._site.addresses.items():
            if not name.startswith(("engine-", "service-")):
                continue
            status, answer = await request_json(address, "/records")
            if status != 200:
                raise FleetError(f"{name} shows no records")
            records[name] = answer["records"]
        return records

    async def _check(
        self, world: World, callers: Callers, start_s: float
    ) -> dict[str, Any]:
        violations = self.violations
        for name in self._fleet.find_ended():
            violations.add("process_ended", name)
        records = await self._read_records()
        for item in self.tries:
            soak_checks.check_answer(item, self.timeline, violations, start_s)
        judged = soak_checks.check_runs(
            self.tries, records, violations, start_s
        )
        judged["beside_planned_stops"] = soak_checks.check_planned(
            self.tries, self.timeline, violations, start_s
        )
        judged["leaving"] = soak_checks.check_leaving(
            records, self.timeline, violations, start_s
        )
        soak_checks.check_recovery(
            self.tries, records, self._healed_s, violations, start_s
        )
        judged["versions"] = soak_checks.check_versions(
            self._operators, self.timeline, violations, time.time()
        )
        soak_checks.check_races(self._operators, violations)
        for error in world.errors:
            violations.add("fault", error)
        events = soak_checks.read_logs(self._folder, violations)
        if violations.counts:
            for item in self.timeline.intervals:
                report(
                    f"{item.kind} {sorted(item.targets)} "
                    f"{item.start_s - start_s:.2f} to "
                    f"{item.end_s - start_s:.2f} s"
                )
        return self._summarise(callers, judged, events)

    def _summarise(
        self, callers: Callers, judged: dict[str, int], events: dict[str, int]
    ) -> dict[str, Any]:
        tries = self.tries
        answered = [item for item in tries if item.ending is Ending.ANSWERED]
        return {
            "seed": self._options.seed,
            "seconds": self._options.seconds,
            "requests": sum(item.is_first for item in tries),
            "repeats": sum(not item.is_first for item in tries),
            "kinds": _count(item.call.kind.value for item in tries),
            "endings": _count(item.ending.value for item in tries),
            "right": sum(item.outcome.is_correct for item in answered),
            "refusals": _count(
                f"{item.outcome.refusal} {item.outcome.verdict}"
                for item in answered
                if item.outcome.refusal
            ),
            "not_sent": callers.not_sent,
            "confirmed": len(self._operators.confirmed),
            "races": len(self._operators.races),
            "faults": self.timeline.count(),
            "judged": judged,
            "events": events,
            "violations": dict(self.violations.counts),
            "examples": self.violations.examples,
        }


def _count(names: Any) -> dict[str, int]:
    return dict(sorted(collections.Counter(names).items()))


def main() -> int:
    """Runs the soak and returns the exit code."""
    return run_command(__doc__, FAULTS, Soak, seconds=60)


if __name__ == "__main__":
    sys.exit(main())
