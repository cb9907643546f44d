"""Prometheus metrics of the entry.

A metric is labelled either by client account, or by priority class and target,
but never by both: 900 accounts, 16 models and 12 buckets would give 172,800
time series for one histogram.
"""

import prometheus_client

from chicoryplank.configuration import Priority
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import AccountId

# Bounds the number of time series; further accounts share one label.
_MAX_LABELLED_ACCOUNTS = 1_000
_OTHER_ACCOUNTS = "other"
# Upper bounds of the histogram buckets, in seconds.
_FIRST_TOKEN_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10)
_INTER_TOKEN_S = (0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.25, 0.5, 1, 5)
_REQUEST_S = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300)

FIRST_TOKEN_LATENCY = prometheus_client.Histogram(
    "chicoryplank_first_token_seconds",
    "Time to the first output by client account.",
    ["account"],
    buckets=_FIRST_TOKEN_S,
)
REQUEST_LATENCY = prometheus_client.Histogram(
    "chicoryplank_request_seconds",
    "Time to the end of the response by client account.",
    ["account"],
    buckets=_REQUEST_S,
)
INTER_TOKEN_LATENCY = prometheus_client.Histogram(
    "chicoryplank_between_tokens_seconds",
    "Time between outputs of a stream by class and target.",
    ["priority", "target"],
    buckets=_INTER_TOKEN_S,
)
QUEUEING_TIME = prometheus_client.Histogram(
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
QUARANTINED = prometheus_client.Counter(
    "chicoryplank_quarantined_total",
    "Requests with a feature in quarantine, by result.",
    ["result"],
)
EVACUATED_ZONES = prometheus_client.Gauge(
    "chicoryplank_evacuated_zones",
    "Zones whose replicas get no new requests by order of the operator.",
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

_labelled_accounts: set[AccountId] = set()


def get_account_label(account: AccountId) -> str:
    """Returns the metric label of a client account.

    The number of labels is limited: accounts seen after the limit is reached
    share one label.
    """
    if account in _labelled_accounts:
        return account
    if len(_labelled_accounts) >= _MAX_LABELLED_ACCOUNTS:
        return _OTHER_ACCOUNTS
    _labelled_accounts.add(account)
    return account


def get_priority_label(priority: Priority) -> str:
    """Returns the metric label of a priority class."""
    return priority.name.lower()


def count_refusal(code: ErrorCode, verdict: str) -> None:
    """Counts a refused or failed request.

    Args:
        code: Error code of the response.
        verdict: Value of the error's verdict.
    """
    REFUSALS.labels(code.value, verdict).inc()
