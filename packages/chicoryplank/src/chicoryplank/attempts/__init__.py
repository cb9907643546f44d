"""Records of attempts at both ends of a relay connection."""

from chicoryplank.attempts._ledger import (
    Attempt,
    AttemptLedger,
    AttemptState,
)
from chicoryplank.attempts._table import (
    AttemptKey,
    AttemptRecord,
    AttemptTable,
    RunState,
)

__all__ = [
    "Attempt",
    "AttemptKey",
    "AttemptLedger",
    "AttemptRecord",
    "AttemptState",
    "AttemptTable",
    "RunState",
]
