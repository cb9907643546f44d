"""Generates the calls of the load generator, reproducibly from a seed."""

import dataclasses
import enum
import hashlib
import json
import random
from collections.abc import Iterator


class CallKind(enum.Enum):
    """Kinds of calls: two of completions and two of service requests."""

    STREAM = "stream"
    NON_STREAMING = "whole"
    READ = "read"
    WRITE = "write"


class RetryTiming(enum.Enum):
    """When a write is sent again, with the same key, to another entry.

    DURING sends it while the first attempt is in progress, AFTERWARDS once the
    first attempt has ended.
    """

    NEVER = "never"
    DURING = "during"
    AFTERWARDS = "afterwards"


_KIND_WEIGHTS = {
    CallKind.STREAM: 45,
    CallKind.NON_STREAMING: 15,
    CallKind.READ: 25,
    CallKind.WRITE: 15,
}
_RETRY_TIMING_WEIGHTS = {
    RetryTiming.NEVER: 70,
    RetryTiming.DURING: 15,
    RetryTiming.AFTERWARDS: 15,
}
# Prompts share a few long prefixes, as requests with the same system prompt do.
_PREFIX_COUNT = 8
_PREFIX_CHARACTERS = 640
_MIN_OUTPUT_TOKENS = 8
_PRIORITIES = ("urgent", "normal", "normal", "bulk")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Client account, model and service that the calls use.

    Attributes:
        token: Bearer token of the client account.
        model: Model of the completions; empty for no completions.
        service: Plain service of reads and writes; empty for neither.
        timeout_ms: Timeout of each call.
        max_tokens: Maximum number of tokens of a completion.
    """

    token: str
    model: str
    service: str
    timeout_ms: int = 30_000
    max_tokens: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call with the data that determines its correct response.

    Attributes:
        at_s: Time of the call in seconds since the start of the traffic.
        service_path: Path that the service receives; empty for completions.
        retry_timing: When the call is sent a second time, if at all.
        choice: Random number that selects the entry.
    """

    at_s: float
    kind: CallKind
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    service_path: str = ""
    prompt: str = ""
    max_tokens: int = 0
    retry_timing: RetryTiming = RetryTiming.NEVER
    choice: int = 0

    @property
    def record_key(self) -> str:
        """Returns the path or body digest by which records list the call."""
        if self.kind is CallKind.READ:
            return self.service_path
        return hashlib.sha256(self.body).hexdigest()


def make_calls(
    target: Target, rate: float, seconds: float, rng: random.Random
) -> Iterator[Call]:
    """Yields the calls of a Poisson process.

    Args:
        target: Client account, model and service of the calls.
        rate: Mean number of calls per second.
        seconds: Duration of the traffic.
        rng: Random number generator for the intervals, kinds and contents.
    """
    kinds = [
        kind
        for kind in CallKind
        if (
            target.model
            if kind in (CallKind.STREAM, CallKind.NON_STREAMING)
            else target.service
        )
    ]
    weights = [_KIND_WEIGHTS[kind] for kind in kinds]
    run_id = f"{rng.getrandbits(64):016x}"
    at_s, number = 0.0, 0
    while True:
        at_s += rng.expovariate(rate)
        if at_s > seconds:
            return
        number += 1
        kind = rng.choices(kinds, weights)[0]
        nonce = f"{run_id}-{number}"
        if kind in (CallKind.STREAM, CallKind.NON_STREAMING):
            yield _make_completion(target, at_s, kind, nonce, rng)
        else:
            yield _make_service_call(target, at_s, kind, nonce, rng)


def _make_headers(target: Target) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {target.token}",
        "Content-Type": "application/json",
        "X-Request-Timeout-Ms": str(target.timeout_ms),
    }


def _make_completion(
    target: Target,
    at_s: float,
    kind: CallKind,
    nonce: str,
    rng: random.Random,
) -> Call:
    prefix = f"system {rng.randrange(_PREFIX_COUNT)} "
    prefix = (prefix * _PREFIX_CHARACTERS)[:_PREFIX_CHARACTERS]
    content = f"{prefix}{nonce}"
    max_tokens = rng.randint(_MIN_OUTPUT_TOKENS, target.max_tokens)
    fields = {"model": target.model, "max_tokens": max_tokens}
    if kind is CallKind.STREAM:
        path = "/v1/chat/completions"
        prompt = f"user: {content}"
        fields["messages"] = [{"role": "user", "content": content}]
        fields["stream"] = True
    else:
        path = "/v1/completions"
        prompt = fields["prompt"] = content
    headers = _make_headers(target)
    headers["X-Priority"] = rng.choice(_PRIORITIES)
    return Call(
        at_s,
        kind,
        "POST",
        path,
        json.dumps(fields).encode(),
        headers,
        prompt=prompt,
        max_tokens=max_tokens,
        choice=rng.getrandbits(32),
    )


def _make_service_call(
    target: Target,
    at_s: float,
    kind: CallKind,
    nonce: str,
    rng: random.Random,
) -> Call:
    headers = _make_headers(target)
    retry_timing = RetryTiming.NEVER
    method, body = "GET", b""
    service_path = f"/cards/{nonce}"
    if kind is CallKind.WRITE:
        method, service_path = "POST", "/quotes"
        body = json.dumps({"quote": nonce}).encode()
        headers["Idempotency-Key"] = f"key-{nonce}"
        retry_timing = rng.choices(
            list(_RETRY_TIMING_WEIGHTS), list(_RETRY_TIMING_WEIGHTS.values())
        )[0]
    return Call(
        at_s,
        kind,
        method,
        f"/v1/services/{target.service}{service_path}",
        body,
        headers,
        service_path=service_path,
        retry_timing=retry_timing,
        choice=rng.getrandbits(32),
    )
