"""Attempt tables of the entry and of the agent of a relay connection."""

from chicoryplank.attempts._agent_table import (
    AgentAttemptTable,
    AttemptKey,
    AttemptRecord,
    RunState,
)
from chicoryplank.attempts._entry_table import (
    Attempt,
    AttemptState,
    EntryAttemptTable,
)

__all__ = [
    "AgentAttemptTable",
    "Attempt",
    "AttemptKey",
    "AttemptRecord",
    "AttemptState",
    "EntryAttemptTable",
    "RunState",
]
