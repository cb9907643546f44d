"""Quarantine of requests that crash the replicas which process them.

A feature is something that several requests may share, such as a part of the
prompt. The modules attribute crashes to features from what all entries report,
and keep the requests with a feature that crashes replicas away from them.
"""

from chicoryplank.quarantine._crash_times import CrashTimes
from chicoryplank.quarantine._features import (
    FeatureId,
    make_part_feature,
    make_request_feature,
)
from chicoryplank.quarantine._ledger import (
    CrashLedger,
    CrashRecord,
    MalformedReportError,
)
from chicoryplank.quarantine._outcomes import Outcomes
from chicoryplank.quarantine._quarantine import Quarantine, SuspectAttempt
from chicoryplank.quarantine._verdicts import QuarantineVerdict

__all__ = [
    "CrashLedger",
    "CrashRecord",
    "CrashTimes",
    "FeatureId",
    "MalformedReportError",
    "Outcomes",
    "Quarantine",
    "QuarantineVerdict",
    "SuspectAttempt",
    "make_part_feature",
    "make_request_feature",
]
