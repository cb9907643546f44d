"""Runs a site under traffic and seeded faults and checks every guarantee.

Prints a JSON summary as the last line. Exits with 0 only if no guarantee was
violated. Ends all processes that it has started.
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
from soak_callers import AddressCache, CallerSimulator
from soak_command import report, run_command
from soak_faults import FAULTS, FaultContext, run_faults
from soak_operators import Operators
from soak_records import CallerAttempt, EndReason, Timeline, Violations

from chicoryplank_standins.calls import Target

TOKEN = "soak-token"
# Mean number of calls per second.
MODEL_RATE = 22
SERVICE_RATE = 18
MAX_TOKENS = 128
# Time for the last configuration changes to reach all entries.
SETTLE_TIME_S = 8.0
# Duration of the traffic after the last fault, when every backend server must
# serve again.
RECOVERY_TIME_S = 4.0


def make_options() -> SiteOptions:
    """Returns a site whose daemons may take 30 s to drain."""
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


def make_initial_intent(options: SiteOptions) -> dict[str, Any]:
    """Returns an intent with spare capacity, so that an engine can drain."""
    intent = make_intent(options, TOKEN)
    for group in intent["groups"]["add"].values():
        group |= {"replicas": 2, "tokens_per_s": 5_000}
    return intent


class SoakRun:
    """Soak test of a whole site.

    Args:
        fleet: Starts the processes.
        folder: Folder for settings, records and logs.
        options: Options of the command line.

    Attributes:
        attempts: Attempts of the callers that have ended.
        timeline: Intervals of the injected faults.
        violations: Violations found so far.
    """

    def __init__(
        self, fleet: Fleet, folder: pathlib.Path, options: argparse.Namespace
    ) -> None:
        self.attempts: list[CallerAttempt] = []
        self.timeline = Timeline()
        self.violations = Violations()
        self._recovery_start_s = 0.0
        self._options = options
        self._folder = folder
        self._fleet = fleet
        self._site = Site(fleet, folder, make_options())
        self._operators = Operators(fleet, self._site, folder)

    async def run(self) -> dict[str, Any]:
        """Runs the site under traffic and faults and returns the summary."""
        try:
            return await self._run()
        finally:
            await self._site.close()

    async def _run(self) -> dict[str, Any]:
        site, options = self._site, self._options
        await site.start()
        intent = make_initial_intent(site.options)
        if not await self._operators.change(intent, "soak"):
            raise FleetError(
                f"configuration not confirmed: {self._operators.failures}"
            )
        await site.wait_until_ready()
        entry_names = {
            address: name
            for name, address in site.addresses.items()
            if name.startswith("entry-")
        }
        target = Target(
            TOKEN, site.options.model, site.options.service, 8_000, MAX_TOKENS
        )
        addresses = AddressCache(entry_names, TOKEN)
        callers = CallerSimulator(target, addresses, self.attempts.append)
        context = FaultContext(
            self._fleet,
            site,
            self.timeline,
            operators=self._operators,
            callers=callers,
            target=target,
        )
        background_tasks = [
            asyncio.create_task(addresses.refresh()),
            asyncio.create_task(self._operators.watch_versions()),
        ]
        report(f"{options.seconds:g} s of traffic, seed {options.seed}")
        start_s = time.time()
        await self._run_traffic(context, callers, target)
        for background_task in background_tasks:
            background_task.cancel()
        failed = [
            task.exception()
            for task in background_tasks
            if task.done() and not task.cancelled() and task.exception()
        ]
        if failed:
            raise failed[0]
        return await self._check(context, callers, start_s)

    async def _run_traffic(
        self, context: FaultContext, callers: CallerSimulator, target: Target
    ) -> None:
        seconds, seed = self._options.seconds, self._options.seed
        kinds = self._options.faults
        service_target = Target(TOKEN, "", target.service, 8_000)
        faults = asyncio.create_task(
            run_faults(context, kinds, seconds - 1, f"{seed}/faults")
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(
                callers.run(target, MODEL_RATE, seconds, f"{seed}/model")
            )
            group.create_task(
                callers.run(
                    service_target, SERVICE_RATE, seconds, f"{seed}/service"
                )
            )
            group.create_task(
                self._operators.run(seconds, random.Random(f"{seed}/operator"))
            )
        report("traffic ended; waiting for the last faults and responses")
        await faults
        await callers.finish()
        await asyncio.sleep(SETTLE_TIME_S)
        self._recovery_start_s = time.time()
        await asyncio.gather(
            callers.run(target, MODEL_RATE, RECOVERY_TIME_S, f"{seed}/last"),
            callers.run(
                service_target, SERVICE_RATE, RECOVERY_TIME_S, f"{seed}/last"
            ),
        )
        await callers.finish()

    async def _read_records(self) -> dict[str, list[dict[str, Any]]]:
        records = {}
        for name, address in self._site.addresses.items():
            if not name.startswith(("engine-", "service-")):
                continue
            status, document = await request_json(address, "/records")
            if status != 200:
                raise FleetError(f"the records of {name} cannot be read")
            records[name] = document["records"]
        return records

    async def _check(
        self, context: FaultContext, callers: CallerSimulator, start_s: float
    ) -> dict[str, Any]:
        violations = self.violations
        for name in self._fleet.list_ended():
            violations.add("process_ended", name)
        records = await self._read_records()
        for item in self.attempts:
            soak_checks.check_response(item, self.timeline, violations, start_s)
        checked_counts = soak_checks.check_executions(
            self.attempts, records, violations, start_s
        )
        checked_counts["beside_planned_stops"] = (
            soak_checks.check_planned_stops(
                self.attempts, self.timeline, violations, start_s
            )
        )
        checked_counts["leaving"] = soak_checks.check_leaving_backends(
            records, self.timeline, violations, start_s
        )
        soak_checks.check_recovery(
            self.attempts, records, self._recovery_start_s, violations, start_s
        )
        checked_counts["versions"] = soak_checks.check_versions(
            self._operators, self.timeline, violations, time.time()
        )
        soak_checks.check_races(self._operators, violations)
        for error in context.errors:
            violations.add("fault", error)
        events = soak_checks.read_logs(self._folder, violations)
        if violations.counts:
            for item in self.timeline.intervals:
                report(
                    f"{item.kind} {sorted(item.targets)} "
                    f"{item.start_s - start_s:.2f} to "
                    f"{item.end_s - start_s:.2f} s"
                )
        return self._summarize(callers, checked_counts, events)

    def _summarize(
        self,
        callers: CallerSimulator,
        checked_counts: dict[str, int],
        events: dict[str, int],
    ) -> dict[str, Any]:
        attempts = self.attempts
        with_response = [
            item
            for item in attempts
            if item.end_reason is EndReason.RESPONSE_RECEIVED
        ]
        return {
            "seed": self._options.seed,
            "seconds": self._options.seconds,
            "requests": sum(item.is_first for item in attempts),
            "repeats": sum(not item.is_first for item in attempts),
            "kinds": _count_by_name(item.call.kind.value for item in attempts),
            "endings": _count_by_name(
                item.end_reason.value for item in attempts
            ),
            "right": sum(item.outcome.is_correct for item in with_response),
            "refusals": _count_by_name(
                f"{item.outcome.refusal} {item.outcome.verdict}"
                for item in with_response
                if item.outcome.refusal
            ),
            "not_sent": callers.not_sent,
            "confirmed": len(self._operators.confirmed),
            "races": len(self._operators.races),
            "faults": self.timeline.count(),
            "judged": checked_counts,
            "events": events,
            "violations": dict(self.violations.counts),
            "examples": self.violations.examples,
        }


def _count_by_name(names: Any) -> dict[str, int]:
    return dict(sorted(collections.Counter(names).items()))


def main() -> int:
    """Runs the soak test and returns the exit code."""
    return run_command(__doc__, FAULTS, SoakRun, seconds=60)


if __name__ == "__main__":
    sys.exit(main())
