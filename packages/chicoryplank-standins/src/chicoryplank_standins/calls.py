"""Public interface to the calls of the load generator and their checks."""

from chicoryplank_standins._checks import (
    Outcome,
    StreamVerifier,
    check_complete_response,
    parse_error_response,
)
from chicoryplank_standins._client import make_client
from chicoryplank_standins._traffic import (
    Call,
    CallKind,
    RetryTiming,
    Target,
    make_calls,
)

__all__ = [
    "Call",
    "CallKind",
    "Outcome",
    "RetryTiming",
    "StreamVerifier",
    "Target",
    "check_complete_response",
    "make_calls",
    "make_client",
    "parse_error_response",
]
