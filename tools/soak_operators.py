"""Simulated operators, who change the configuration during a soak test."""

import asyncio
import dataclasses
import itertools
import json
import pathlib
import random
import time
from datetime import timedelta
from typing import Any

from fleet import Fleet, request_json
from layout import Site

from chicoryplank.configuration import (
    PlanSupersededError,
    confirm_plan,
    decode_plan,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import OperationId
from chicoryplank_wire.store import EtcdStore

_EXIT_SUPERSEDED = 3
_EXIT_UNAVAILABLE = 4
_MAX_RETRIES = 40
_STORE_TIMEOUT = timedelta(milliseconds=500)
_POLL_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedChange:
    """A confirmed configuration change and the Unix time of its response."""

    version: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedVersion:
    """Configuration version that an entry reported.

    Attributes:
        entry: Name of the entry.
        version: The version.
        asked_s: Unix time of the request.
        at_s: Unix time of the response.
    """

    entry: str
    version: int
    asked_s: float
    at_s: float


class Operators:
    """Runs the operator commands and records their results.

    Args:
        fleet: Runs the commands.
        site: Site whose configuration is changed.
        folder: Folder for intents and plans.

    Attributes:
        confirmed: Confirmed changes in the order of their responses.
        races: Exit codes of each group of concurrent confirmations.
        observed_versions: Versions that the entries reported.
        failures: Descriptions of the commands that failed for another reason
            than a superseded plan or an unavailable store.
        unavailable_count: Number of confirmations that found the store
            unavailable.
    """

    def __init__(self, fleet: Fleet, site: Site, folder: pathlib.Path) -> None:
        self.confirmed: list[ConfirmedChange] = []
        self.races: list[tuple[int, ...]] = []
        self.observed_versions: list[ObservedVersion] = []
        self.failures: list[str] = []
        self.unavailable_count = 0
        self._fleet = fleet
        self._site = site
        self._folder = folder
        self._numbers = itertools.count(1)
        self._lock = asyncio.Lock()

    async def change(self, intent: dict[str, Any], *names: str) -> bool:
        """Plans an intent and confirms it as one or more operators.

        Args:
            intent: The intent.
            names: Names of the operators, who confirm concurrently.

        Returns:
            Whether the change was confirmed.
        """
        # Another change at the same time could supersede all of these plans.
        async with self._lock:
            plans = await asyncio.gather(
                *(self._plan(intent, number) for number in range(len(names)))
            )
            if None in plans:
                return False
            confirm = (
                self._confirm if len(names) == 1 else self._confirm_in_process
            )
            codes = await asyncio.gather(*map(confirm, plans, names))
        if len(codes) > 1 and _EXIT_UNAVAILABLE not in codes:
            self.races.append(codes)
        return 0 in codes

    async def _plan(
        self, intent: dict[str, Any], number: int
    ) -> pathlib.Path | None:
        name = f"plan-{next(self._numbers)}"
        intent_path = self._folder / f"{name}.intent.json"
        plan_path = self._folder / f"{name}.json"
        intent = _make_distinct_intent(intent, number)
        intent_path.write_text(json.dumps(intent))
        arguments = ("--output", str(plan_path), str(intent_path))
        code, output = await self._call("plan", *arguments)
        if code == 0:
            return plan_path
        if code != _EXIT_UNAVAILABLE:
            self.failures.append(f"plan exited with code {code}: {output}")
        return None

    async def _confirm(self, path: pathlib.Path, name: str) -> int:
        """Retries the confirm command until its outcome is known."""
        code = _EXIT_UNAVAILABLE
        for _ in range(_MAX_RETRIES):
            code, output = await self._call(
                "confirm", "--operator", name, str(path)
            )
            if code == 0:
                version = json.loads(output)["version"]
                self.confirmed.append(ConfirmedChange(version, time.time()))
            if code != _EXIT_UNAVAILABLE:
                break
            self.unavailable_count += 1
            await asyncio.sleep(0.3)
        if code not in (0, _EXIT_SUPERSEDED, _EXIT_UNAVAILABLE):
            self.failures.append(f"confirm exited with code {code}: {output}")
        return code

    async def _confirm_in_process(self, path: pathlib.Path, name: str) -> int:
        """Confirms in this process, so that concurrent writes overlap.

        Starting a command takes longer than its calls to the store, so that
        the writes of two commands would rarely overlap.
        """
        plan = decode_plan(path.read_text())
        operation = OperationId(f"{plan.digest}-{name}")
        store = EtcdStore(self._site.addresses["store"], _STORE_TIMEOUT)
        try:
            for _ in range(_MAX_RETRIES):
                try:
                    confirmation = await confirm_plan(
                        store, plan, name, operation
                    )
                except PlanSupersededError:
                    return _EXIT_SUPERSEDED
                except ChicoryplankError as error:
                    if error.code is not ErrorCode.STORE_UNAVAILABLE:
                        self.failures.append(f"confirm: {error!r}")
                        return 1
                    self.unavailable_count += 1
                    await asyncio.sleep(0.3)
                    continue
                self.confirmed.append(
                    ConfirmedChange(confirmation.version, time.time())
                )
                return 0
            return _EXIT_UNAVAILABLE
        finally:
            await store.close()

    async def _call(self, command: str, *arguments: str) -> tuple[int, str]:
        platform = (
            *("--store", self._site.addresses["store"]),
            *("--instance-list", self._site.addresses["instances"]),
        )
        return await self._fleet.call(
            "chicoryplank", command, *platform, "--json", *arguments
        )

    async def run(self, seconds: float, rng: random.Random) -> None:
        """Changes the configuration repeatedly, one third as races."""
        end_s = time.monotonic() + seconds
        for number in itertools.count(1):
            if time.monotonic() > end_s:
                return
            # Each change sets another value, also among concurrent operators.
            tokens = 8_000 + 2 * number
            change = {"shop-floor": {"tokens_per_s": tokens}}
            names = ("ann", "bob") if rng.random() < 1 / 3 else ("ann",)
            await self.change({"accounts": {"change": change}}, *names)
            await asyncio.sleep(rng.uniform(0.5, 2.5))

    async def watch_versions(self) -> None:
        """Polls the version of every entry until cancelled."""
        await asyncio.gather(
            *(
                self._watch_entry(name)
                for name in self._site.addresses
                if name.startswith("entry-")
            )
        )

    async def _watch_entry(self, name: str) -> None:
        while True:
            asked_s = time.time()
            status, document = await request_json(
                self._site.addresses[name], "/readyz"
            )
            if status == 200 and document:
                version = document["config_version"]
                self.observed_versions.append(
                    ObservedVersion(name, version, asked_s, time.time())
                )
            await asyncio.sleep(_POLL_INTERVAL_S)


def _make_distinct_intent(
    intent: dict[str, Any], number: int
) -> dict[str, Any]:
    """Returns a copy of an intent that differs for each operator."""
    text = json.dumps(intent)
    copy = json.loads(text)
    for fields in copy.get("accounts", {}).get("change", {}).values():
        fields["tokens_per_s"] += number
    return copy
