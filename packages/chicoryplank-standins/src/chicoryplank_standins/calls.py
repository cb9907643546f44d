"""Calls of the load tool and their checks, for other tools."""

from chicoryplank_standins._checks import (
    Outcome,
    StreamCheck,
    check_whole,
    read_refusal,
)
from chicoryplank_standins._client import make_client
from chicoryplank_standins._traffic import (
    Call,
    CallKind,
    Repetition,
    Target,
    make_calls,
)

__all__ = [
    "Call",
    "CallKind",
    "Outcome",
    "Repetition",
    "StreamCheck",
    "Target",
    "check_whole",
    "make_calls",
    "make_client",
    "read_refusal",
]
