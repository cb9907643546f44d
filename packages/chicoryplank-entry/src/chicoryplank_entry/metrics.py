"""Metrics of the entry.

Labels are either the client account or the class and model, never both: 900
accounts by 16 models by 12 buckets would be 172,800 series for a histogram.
"""

import prometheus_client

from chicoryplank.configuration import Priority
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import AccountId

_MAX_ACCOUNTS = 1_000
_OTHER = "other"
_FIRST_TOKEN_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10)
_GAP_S = (0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.25, 0.5, 1, 5)
_TOTAL_S = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300)

FIRST_TOKEN = prometheus_client.Histogram(
    "chicoryplank_first_token_seconds",
    "Time to the first output by client account.",
    ["account"],
    buckets=_FIRST_TOKEN_S,
)
TOTAL = prometheus_client.Histogram(
    "chicoryplank_request_seconds",
    "Time to the end of the response by client account.",
    ["account"],
    buckets=_TOTAL_S,
)
BETWEEN_TOKENS = prometheus_client.Histogram(
    "chicoryplank_between_tokens_seconds",
    "Time between outputs of a stream by class and target.",
    ["priority", "target"],
    buckets=_GAP_S,
)
QUEUEING = prometheus_client.Histogram(
    "chicoryplank_queueing_seconds",
    "Time in the admission queue by class and target.",
    ["priority", "target"],
    buckets=_FIRST_TOKEN_S,
)
REFUSALS = prometheus_client.Counter(
    "chicoryplank_refusals_total",
    "Refused or failed requests by error code and verdict.",
    ["code", "verdict"],
)
ATTEMPTS = prometheus_client.Counter(
    "chicoryplank_attempts_total",
    "Attempts by target.",
    ["target"],
)
IN_PROGRESS = prometheus_client.Gauge(
    "chicoryplank_requests_in_progress",
    "Requests in progress.",
)

STEP_SKEW = prometheus_client.Gauge(
    "chicoryplank_step_skew",
    "Load of the slowest rank over the mean, at the group's controller.",
    ["group"],
)
MOVED_BYTES = prometheus_client.Counter(
    "chicoryplank_moved_bytes_total",
    "Bytes of expert weights moved by finished changes.",
    ["group"],
)
MAP_CHANGES = prometheus_client.Counter(
    "chicoryplank_map_changes_total",
    "Changes of an expert map by outcome.",
    ["group", "outcome"],
)
ORDERS_FAILED = prometheus_client.Counter(
    "chicoryplank_orders_failed_total",
    "Orders that an agent refused or did not answer, by error code.",
    ["code"],
)

_accounts: set[AccountId] = set()


def label_account(account: AccountId) -> str:
    """Returns the label of an account; late ones share one label."""
    if account in _accounts:
        return account
    if len(_accounts) >= _MAX_ACCOUNTS:
        return _OTHER
    _accounts.add(account)
    return account


def label_priority(priority: Priority) -> str:
    """Returns the label of a priority class."""
    return priority.name.lower()


def count_refusal(code: ErrorCode, verdict: str) -> None:
    """Counts a refused or failed request."""
    REFUSALS.labels(code.value, verdict).inc()
