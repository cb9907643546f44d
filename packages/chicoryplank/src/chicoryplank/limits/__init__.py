"""Rate limits per client account, and admission queues per replica group."""

from chicoryplank.limits._limiter import Limiter
from chicoryplank.limits._messages import (
    Admission,
    Completion,
    Demand,
    Observation,
    Outcome,
    PeerDemand,
    Request,
    Tick,
    Withdrawal,
)
from chicoryplank.limits._parameters import QueueParameters, ShareParameters

__all__ = [
    "Admission",
    "Completion",
    "Demand",
    "Limiter",
    "Observation",
    "Outcome",
    "PeerDemand",
    "QueueParameters",
    "Request",
    "ShareParameters",
    "Tick",
    "Withdrawal",
]
