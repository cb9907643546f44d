"""Idempotency-key claims, stored in the key-value service.

A claim allows one attempt to run a non-idempotent request.
"""

from chicoryplank.idempotency._claims import (
    Claim,
    Segment,
    choose_shard,
    digest_body,
    digest_key,
)
from chicoryplank.idempotency._executions import Execution, ExecutionTable
from chicoryplank.idempotency._registry import ClaimRegistry, ClaimSettings
from chicoryplank.idempotency._shard import ClaimShard

__all__ = [
    "Claim",
    "ClaimRegistry",
    "ClaimSettings",
    "ClaimShard",
    "Execution",
    "ExecutionTable",
    "Segment",
    "choose_shard",
    "digest_body",
    "digest_key",
]
