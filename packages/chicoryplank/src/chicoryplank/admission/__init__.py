"""Admission control by the free slots of replicas.

Each module handles one overload pattern; its docstring names the pattern.
"""

from chicoryplank.admission._circuit_breaker import CircuitBreaker
from chicoryplank.admission._client_memory import (
    HEADER_BYTES,
    RECEIVE_BUFFER_BYTES,
    SMALL_BODY_BYTES,
    WAITING_CHECK_S,
    Activity,
    ClientMemory,
    ClientMemoryLimits,
    ClientUsage,
    ShedReason,
    compute_client_limits,
    compute_max_body_bytes,
)
from chicoryplank.admission._cold_replicas import (
    PERMIT_VALIDITY_S,
    ColdBoundParameters,
    ColdReplicas,
    compute_issue_rate,
)
from chicoryplank.admission._entry_count import EntryCount
from chicoryplank.admission._occupancy import Occupancy
from chicoryplank.admission._output_times import OutputTimes
from chicoryplank.admission._replica_holds import (
    UNUSABLE,
    WITHDRAWN,
    WITHOUT_RETURN,
    HoldReason,
    MalformedPauseError,
    ReplicaHolds,
    parse_pause,
    read_pause,
)
from chicoryplank.admission._replica_pace import (
    PaceOutcome,
    PaceState,
    ReplicaPace,
)
from chicoryplank.admission._retry_after import RetryAfterJitter
from chicoryplank.admission._retry_budget import (
    RetryBudget,
    RetryBudgetParameters,
)
from chicoryplank.admission._returning_replicas import ReturningReplicas
from chicoryplank.admission._server_limits import (
    LimitReport,
    LimitSource,
    MalformedLimitError,
    RateBucket,
    ServerLimits,
    parse_limit,
)
from chicoryplank.admission._service_times import ServiceTimes
from chicoryplank.admission._slot_queue import SlotQueue, Waiter
from chicoryplank.admission._slow_groups import SlowReplicas, find_slow_replicas

__all__ = [
    "HEADER_BYTES",
    "PERMIT_VALIDITY_S",
    "RECEIVE_BUFFER_BYTES",
    "SMALL_BODY_BYTES",
    "UNUSABLE",
    "WAITING_CHECK_S",
    "WITHDRAWN",
    "WITHOUT_RETURN",
    "Activity",
    "CircuitBreaker",
    "ClientMemory",
    "ClientMemoryLimits",
    "ClientUsage",
    "ColdBoundParameters",
    "ColdReplicas",
    "EntryCount",
    "HoldReason",
    "LimitReport",
    "LimitSource",
    "MalformedLimitError",
    "MalformedPauseError",
    "Occupancy",
    "OutputTimes",
    "PaceOutcome",
    "PaceState",
    "RateBucket",
    "ReplicaHolds",
    "ReplicaPace",
    "RetryAfterJitter",
    "RetryBudget",
    "RetryBudgetParameters",
    "ReturningReplicas",
    "ServerLimits",
    "ServiceTimes",
    "ShedReason",
    "SlotQueue",
    "SlowReplicas",
    "Waiter",
    "compute_client_limits",
    "compute_issue_rate",
    "compute_max_body_bytes",
    "find_slow_replicas",
    "parse_limit",
    "parse_pause",
    "read_pause",
]
