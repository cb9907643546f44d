"""Retry policy: budgets, safety rules, backoff and hedging."""

from chicoryplank.retry._messages import (
    Arrival,
    Failure,
    FirstToken,
    Hedge,
    RetryDecision,
)
from chicoryplank.retry._parameters import RetryParameters
from chicoryplank.retry._policy import RetryPolicy

__all__ = [
    "Arrival",
    "Failure",
    "FirstToken",
    "Hedge",
    "RetryDecision",
    "RetryParameters",
    "RetryPolicy",
]
