"""Admission control by the free slots of replicas.

Each module handles one overload pattern; its docstring names the pattern.
"""

from chicoryplank.admission._circuit_breaker import CircuitBreaker
from chicoryplank.admission._class_admission import (
    ClassAdmission,
    ClassCount,
)
from chicoryplank.admission._entry_count import EntryCount
from chicoryplank.admission._occupancy import Occupancy
from chicoryplank.admission._output_times import OutputTimes
from chicoryplank.admission._replica_holds import (
    UNUSABLE,
    WITHDRAWN,
    HoldReason,
    MalformedPauseError,
    ReplicaHolds,
    parse_pause,
    read_pause,
)
from chicoryplank.admission._retry_after import RetryAfterJitter
from chicoryplank.admission._retry_budget import (
    RetryBudget,
    RetryBudgetParameters,
)
from chicoryplank.admission._server_limits import (
    LimitReport,
    LimitSource,
    MalformedLimitError,
    RateBucket,
    ServerLimits,
    parse_limit,
)
from chicoryplank.admission._slot_queue import SlotQueue, Waiter
from chicoryplank.admission._slow_groups import SlowReplicas, find_slow_replicas

__all__ = [
    "UNUSABLE",
    "WITHDRAWN",
    "CircuitBreaker",
    "ClassAdmission",
    "ClassCount",
    "EntryCount",
    "HoldReason",
    "Occupancy",
    "OutputTimes",
    "LimitReport",
    "LimitSource",
    "MalformedLimitError",
    "MalformedPauseError",
    "RateBucket",
    "ReplicaHolds",
    "RetryAfterJitter",
    "RetryBudget",
    "RetryBudgetParameters",
    "ServerLimits",
    "SlotQueue",
    "SlowReplicas",
    "Waiter",
    "find_slow_replicas",
    "parse_limit",
    "parse_pause",
    "read_pause",
]
