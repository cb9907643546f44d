"""Intents, snapshots and stores for the tests of this subpackage."""

import hashlib
import json

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    Capacity,
    SnapshotReader,
    confirm_plan,
    create_plan,
    parse_intent,
)

CAPACITY = Capacity(
    {
        "llm": frozenset(f"llm-{number}" for number in range(4)),
        "tablets": frozenset({"tablets-0"}),
        "quotes": frozenset({"quotes-0"}),
    }
)


def make_account(name, **fields):
    """Returns the JSON form of an account."""
    return {
        "token_sha256": hashlib.sha256(name.encode()).hexdigest(),
        "requests_per_s": 5,
        "tokens_per_s": 100,
        "priority": "normal",
        "groups": ["llm"],
        **fields,
    }


def make_first_intent(accounts=3):
    """Returns an intent that adds accounts, a group and a service."""
    return parse_intent(
        json.dumps(
            {
                "accounts": {
                    "add": {
                        f"account-{number}": make_account(
                            f"{number}", tokens_per_s=300 / accounts
                        )
                        for number in range(accounts)
                    }
                },
                "groups": {
                    "add": {
                        "llm": {
                            "models": ["m"],
                            "version": "v1",
                            "replicas": 3,
                            "tokens_per_s": 1000,
                        }
                    }
                },
                "services": {
                    "add": {
                        "quotes": {
                            "deployment": "quotes",
                            "non_repeatable_paths": ["/send"],
                        }
                    }
                },
            }
        )
    )


def make_limit_intent(account, tokens_per_s):
    """Returns an intent that changes the token rate limit of one account."""
    change = {account: {"tokens_per_s": tokens_per_s}}
    return parse_intent(json.dumps({"accounts": {"change": change}}))


async def confirm_intent(store, intent, operator="ann", operation="op"):
    """Plans and confirms an intent on the active version."""
    reader = SnapshotReader()
    await reader.refresh(store)
    plan = create_plan(reader.snapshot, intent, CAPACITY)
    return await confirm_plan(
        store,
        plan,
        operator,
        f"{operation}-{plan.base_version}",
        clock=ManualClock(),
    )


async def read_snapshot(store):
    """Returns the snapshot of the active version."""
    reader = SnapshotReader()
    await reader.refresh(store)
    return reader.snapshot
