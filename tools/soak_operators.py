"""Operators of the soak run: configuration changes, races and versions."""

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

_LOST = 3
_UNAVAILABLE = 4
_MAX_REPEATS = 40
_STORE_TIMEOUT = timedelta(milliseconds=500)
_POLL_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """A change that was confirmed at a Unix time."""

    version: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """Version that an entry served at a Unix time."""

    entry: str
    version: int
    asked_s: float
    at_s: float


class Operators:
    """Runs the operator commands and remembers their results.

    Args:
        fleet: Runs the commands.
        site: The site.
        folder: Folder for intents and plans.

    Attributes:
        confirmed: Changes in the order of the answers.
        races: Results of racing operators, by exit code.
        sightings: Versions seen at the entries.
        failures: Commands that neither succeeded nor lost a race.
    """

    def __init__(self, fleet: Fleet, site: Site, folder: pathlib.Path) -> None:
        self.confirmed: list[Confirmed] = []
        self.races: list[tuple[int, ...]] = []
        self.sightings: list[Sighting] = []
        self.failures: list[str] = []
        self.unavailable = 0
        self._fleet = fleet
        self._site = site
        self._folder = folder
        self._numbers = itertools.count(1)
        self._lock = asyncio.Lock()

    async def change(self, intent: dict[str, Any], *names: str) -> bool:
        """Plans an intent and lets one or more operators confirm it.

        Returns:
            Whether the change is in force.
        """
        # A further operator could win against all racing ones.
        async with self._lock:
            plans = await asyncio.gather(
                *(self._plan(intent, number) for number in range(len(names)))
            )
            if None in plans:
                return False
            act = self._confirm if len(names) == 1 else self._confirm_now
            codes = await asyncio.gather(*map(act, plans, names))
        if len(codes) > 1 and _UNAVAILABLE not in codes:
            self.races.append(codes)
        return 0 in codes

    async def _plan(
        self, intent: dict[str, Any], number: int
    ) -> pathlib.Path | None:
        name = f"plan-{next(self._numbers)}"
        source = self._folder / f"{name}.intent.json"
        target = self._folder / f"{name}.json"
        intent = _distinguish(intent, number)
        source.write_text(json.dumps(intent))
        arguments = ("--output", str(target), str(source))
        code, output = await self._call("plan", *arguments)
        if code == 0:
            return target
        if code != _UNAVAILABLE:
            self.failures.append(f"plan ended with {code}: {output}")
        return None

    async def _confirm(self, path: pathlib.Path, name: str) -> int:
        """Repeats a confirmation until its outcome is known."""
        code = _UNAVAILABLE
        for _ in range(_MAX_REPEATS):
            code, output = await self._call(
                "confirm", "--operator", name, str(path)
            )
            if code == 0:
                version = json.loads(output)["version"]
                self.confirmed.append(Confirmed(version, time.time()))
            if code != _UNAVAILABLE:
                break
            self.unavailable += 1
            await asyncio.sleep(0.3)
        if code not in (0, _LOST, _UNAVAILABLE):
            self.failures.append(f"confirm ended with {code}: {output}")
        return code

    async def _confirm_now(self, path: pathlib.Path, name: str) -> int:
        """Confirms without a command, so that racing writes really meet.

        The start of a command takes longer than its calls of the store.
        """
        made = decode_plan(path.read_text())
        operation = OperationId(f"{made.digest}-{name}")
        store = EtcdStore(self._site.addresses["store"], _STORE_TIMEOUT)
        try:
            for _ in range(_MAX_REPEATS):
                try:
                    done = await confirm_plan(store, made, name, operation)
                except PlanSupersededError:
                    return _LOST
                except ChicoryplankError as error:
                    if error.code is not ErrorCode.STORE_UNAVAILABLE:
                        self.failures.append(f"confirm: {error!r}")
                        return 1
                    self.unavailable += 1
                    await asyncio.sleep(0.3)
                    continue
                self.confirmed.append(Confirmed(done.version, time.time()))
                return 0
            return _UNAVAILABLE
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

    async def run(self, seconds: float, random_source: random.Random) -> None:
        """Changes the configuration again and again; a third are races."""
        end_s = time.monotonic() + seconds
        for number in itertools.count(1):
            if time.monotonic() > end_s:
                return
            # Each change and each racing operator asks for another value.
            tokens = 8_000 + 2 * number
            change = {"shop-floor": {"tokens_per_s": tokens}}
            names = (
                ("ann", "bob") if random_source.random() < 1 / 3 else ("ann",)
            )
            await self.change({"accounts": {"change": change}}, *names)
            await asyncio.sleep(random_source.uniform(0.5, 2.5))

    async def watch_versions(self) -> None:
        """Asks every entry for its version until cancelled."""
        await asyncio.gather(
            *(
                self._watch(name)
                for name in self._site.addresses
                if name.startswith("entry-")
            )
        )

    async def _watch(self, name: str) -> None:
        while True:
            asked_s = time.time()
            status, answer = await request_json(
                self._site.addresses[name], "/readyz"
            )
            if status == 200 and answer:
                version = answer["config_version"]
                self.sightings.append(
                    Sighting(name, version, asked_s, time.time())
                )
            await asyncio.sleep(_POLL_INTERVAL_S)


def _distinguish(intent: dict[str, Any], number: int) -> dict[str, Any]:
    """Makes the intents of racing operators differ."""
    text = json.dumps(intent)
    copy = json.loads(text)
    for fields in copy.get("accounts", {}).get("change", {}).values():
        fields["tokens_per_s"] += number
    return copy
