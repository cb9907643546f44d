"""Measures parsing, planning, confirming and reading a configuration.

The default configuration has 900 accounts and 16 models.
"""

import argparse
import asyncio
import hashlib
import json
import random
import statistics
import time
from collections.abc import Callable

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    Capacity,
    Intent,
    SnapshotReader,
    confirm_plan,
    create_plan,
    parse_intent,
    parse_settings,
)
from chicoryplank.fakes import MemoryStore

_SETTINGS = json.dumps(
    {
        "instance": "entry-0",
        "zone": "hall-a",
        "caller_address": "127.0.0.1:8000",
        "control_address": "127.0.0.1:8001",
        "store": {"address": "127.0.0.1:2379"},
        "instance_list": {"address": "127.0.0.1:7000"},
    }
)


def make_intent_text(rng: random.Random, accounts: int, models: int) -> str:
    """Returns a JSON intent that adds all groups and accounts."""
    groups = [f"group-{number}" for number in range(models)]
    return json.dumps(
        {
            "groups": {
                "add": {
                    name: {
                        "models": [f"model-{name}"],
                        "version": "v1",
                        "replicas": 700,
                        "tokens_per_s": 1500,
                    }
                    for name in groups
                }
            },
            "accounts": {
                "add": {
                    f"account-{number}": {
                        "token_sha256": hashlib.sha256(
                            str(number).encode()
                        ).hexdigest(),
                        "requests_per_s": rng.randint(1, 100),
                        "tokens_per_s": rng.randint(100, 9000),
                        "priority": "normal",
                        "groups": rng.sample(groups, min(2, models)),
                    }
                    for number in range(accounts)
                }
            },
        }
    )


def make_change(number: int) -> Intent:
    """Returns an intent that changes one account."""
    change = {"account-7": {"tokens_per_s": 10 + number}}
    return parse_intent(json.dumps({"accounts": {"change": change}}))


def measure(repeat: int, function: Callable[[], object]) -> tuple[float, ...]:
    """Returns the median and maximum run time in milliseconds."""
    times = []
    for _ in range(repeat):
        start = time.perf_counter()
        function()
        times.append((time.perf_counter() - start) * 1000)
    return statistics.median(times), max(times)


async def count_stored_bytes(store: MemoryStore) -> int:
    """Returns the total size of the configuration parts in the store."""
    parts = await store.read_prefix(PART_PREFIX)
    return sum(len(part.value) for part in parts)


async def measure_store(
    first: Intent, capacity: Capacity, repeat: int
) -> dict[str, tuple[float, ...]]:
    """Measures confirming and reading with an in-memory store.

    Prints the sizes and store calls; returns the median and maximum time of
    each operation in milliseconds.
    """
    store = MemoryStore(ManualClock())
    reader = SnapshotReader()
    plan = create_plan(reader.snapshot, first, capacity)
    await confirm_plan(store, plan, "ann", "first", reader=reader)
    full_read_ms, incremental_read_ms, confirm_ms, store_calls = [], [], [], []
    follower = SnapshotReader()
    await follower.refresh(store)
    initial_bytes = await count_stored_bytes(store)
    for number in range(repeat):
        await reader.refresh(store)
        plan = create_plan(reader.snapshot, make_change(number), capacity)
        before, start = store.calls, time.perf_counter()
        await confirm_plan(store, plan, "ann", f"op-{number}", reader=reader)
        confirm_ms.append((time.perf_counter() - start) * 1000)
        store_calls.append(store.calls - before)
        start = time.perf_counter()
        await follower.refresh(store)
        incremental_read_ms.append((time.perf_counter() - start) * 1000)
        start = time.perf_counter()
        await SnapshotReader().refresh(store)
        full_read_ms.append((time.perf_counter() - start) * 1000)
    root = await store.read(ROOT_KEY)
    exported = follower.export_parts(())
    part_sizes = [len(part) for part in exported.parts]
    added_bytes = await count_stored_bytes(store) - initial_bytes
    print(
        f"bytes that each version adds to the store: {added_bytes / repeat:.0f}"
    )
    print(f"store calls of one confirm: {statistics.median(store_calls):.0f}")
    print(f"root: {len(root.value)} bytes")
    print(
        f"parts: {len(part_sizes)}, {sum(part_sizes)} bytes, "
        f"largest {max(part_sizes)}"
    )
    return {
        "confirm one changed account": (
            statistics.median(confirm_ms),
            max(confirm_ms),
        ),
        "read one changed part": (
            statistics.median(incremental_read_ms),
            max(incremental_read_ms),
        ),
        "read everything": (statistics.median(full_read_ms), max(full_read_ms)),
    }


def main() -> None:
    """Runs all measurements and prints a table of their times."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--accounts", type=int, default=900)
    parser.add_argument("--models", type=int, default=16)
    parser.add_argument("--repeat", type=int, default=20)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    text = make_intent_text(rng, options.accounts, options.models)
    print(
        f"seed {options.seed}, {options.accounts} accounts, "
        f"{options.models} models, intent of {len(text)} bytes, "
        f"{options.repeat} repeats"
    )
    capacity = Capacity(
        {
            f"group-{number}": frozenset(
                f"replica-{number}-{replica}" for replica in range(750)
            )
            for number in range(options.models)
        }
    )
    first = parse_intent(text)
    empty = SnapshotReader().snapshot
    results = {
        "parse entry settings": measure(
            options.repeat, lambda: parse_settings(_SETTINGS, "entry")
        ),
        "parse intent that adds everything": measure(
            options.repeat, lambda: parse_intent(text)
        ),
        "plan that adds everything": measure(
            options.repeat, lambda: create_plan(empty, first, capacity)
        ),
    }
    results |= asyncio.run(measure_store(first, capacity, options.repeat))
    print(f"{'step':36} {'median ms':>10} {'max ms':>10}")
    for name, (median, maximum) in results.items():
        print(f"{name:36} {median:10.2f} {maximum:10.2f}")


if __name__ == "__main__":
    main()
