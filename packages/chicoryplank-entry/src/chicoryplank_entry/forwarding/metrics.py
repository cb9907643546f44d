"""Counters and latency histograms of forwarding."""

import prometheus_client

from chicoryplank.errors import ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.verdict import Verdict

_MAX_LABELS = 256
_OTHER = "other"
_LATENCY_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16)

_REFUSALS = prometheus_client.Counter(
    "chicoryplank_forwarding_refusals_total",
    "Requests that got an answer of the entry's own, by code and verdict.",
    ["code", "verdict"],
)
_FAILURES = prometheus_client.Counter(
    "chicoryplank_forwarding_failures_total",
    "Attempts that failed, by stage.",
    ["stage"],
)
_FIRST = prometheus_client.Histogram(
    "chicoryplank_forwarding_first_seconds",
    "Time to the first output by route.",
    ["route"],
    buckets=_LATENCY_S,
)
_TOTAL = prometheus_client.Histogram(
    "chicoryplank_forwarding_seconds",
    "Time to the end of the answer by client account.",
    ["account"],
    buckets=_LATENCY_S,
)
_labels: set[str] = set()


def _bound_label(value: str) -> str:
    """Returns a label; beyond a number of values all share one."""
    if value not in _labels:
        if len(_labels) >= _MAX_LABELS:
            return _OTHER
        _labels.add(value)
    return value


def count_refusal(code: ErrorCode, verdict: Verdict) -> None:
    """Counts an answer of the entry's own."""
    _REFUSALS.labels(code.value, verdict.value).inc()


def count_failure(stage: str) -> None:
    """Counts a failed attempt."""
    _FAILURES.labels(stage).inc()


def observe_first(route: str, elapsed_s: float) -> None:
    """Takes the time to the first output."""
    _FIRST.labels(_bound_label(route)).observe(elapsed_s)


def observe_answer(
    route: str, account: AccountId | None, elapsed_s: float
) -> None:
    """Takes the time to the end of an answer."""
    name = route if account is None else account
    _TOTAL.labels(_bound_label(name)).observe(elapsed_s)
