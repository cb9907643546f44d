"""Errors with stable codes; docs/errors.md lists causes and remedies."""

import enum
from datetime import timedelta

from chicoryplank.verdict import Verdict


class ErrorCode(enum.Enum):
    """Stable error codes; the first two digits identify the subject."""

    INVALID_SETTINGS = "CP1001"
    INVALID_INTENT = "CP1101"
    INSUFFICIENT_CAPACITY = "CP1102"
    PLAN_SUPERSEDED = "CP1103"
    INVALID_PLAN = "CP1104"
    INVALID_CONFIGURATION = "CP1105"
    MALFORMED_REQUEST = "CP1201"
    REQUEST_TOO_LARGE = "CP1202"
    UNKNOWN_ACCOUNT = "CP1203"
    UNKNOWN_MODEL = "CP1204"
    DEADLINE_EXCEEDED = "CP1205"
    BACKEND_FAILED = "CP1206"
    OUTCOME_UNKNOWN = "CP1207"
    SHUTTING_DOWN = "CP1208"
    NO_REPLICA = "CP1209"
    CALLER_TOO_SLOW = "CP1210"
    NOT_READY = "CP1211"
    ANSWER_TRUNCATED = "CP1212"
    TOO_MANY_REQUESTS = "CP1213"
    ATTEMPT_ABANDONED = "CP1214"
    KEY_REQUIRED = "CP1215"
    UNKNOWN_PATH = "CP1216"
    METHOD_NOT_ALLOWED = "CP1217"
    REQUEST_TIMEOUT = "CP1218"
    INTERNAL_ERROR = "CP1219"
    BACKEND_CRASHED = "CP1220"
    CLIENT_SHED = "CP1221"
    RATE_LIMITED = "CP1301"
    DEADLINE_UNREACHABLE = "CP1302"
    QUEUE_FULL = "CP1303"
    REPLICA_LIMITED = "CP1304"
    QUARANTINED = "CP1305"
    RETRY_BUDGET_EXHAUSTED = "CP1401"
    STALE_FENCING_TOKEN = "CP1501"
    ORDERS_NOT_READY = "CP1502"
    ORDER_ID_REUSED = "CP1503"
    LEASE_LOST = "CP1504"
    MAP_CHANGE_CONFLICT = "CP1505"
    KEY_REUSED = "CP1601"
    CLAIMED_ELSEWHERE = "CP1602"
    TOO_MANY_CLAIMS = "CP1603"
    MALFORMED_CLAIMS = "CP1604"
    MEMBER_UNREACHABLE = "CP1701"
    INVALID_ROUTING_PARAMETER = "CP1801"
    STORE_UNAVAILABLE = "CP1901"
    INVARIANT_VIOLATED = "CP1999"


class ChicoryplankError(Exception):
    """Base class of all errors that are reported to callers and operators.

    Args:
        code: Stable code of the error.
        message: Description of the fault, including the offending value.
        verdict: Whether the request may have been executed.
        retry_after: Delay after which a retry may succeed; None if a retry
            cannot help.

    Example:
        >>> error = ChicoryplankError(ErrorCode.NO_REPLICA, "no replica is up")
        >>> str(error)
        'CP1209: no replica is up'
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(f"{code.value}: {message}")
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after = retry_after
