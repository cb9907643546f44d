"""Calls that the load tool makes, drawn from a seeded random source."""

import dataclasses
import enum
import hashlib
import json
import random
from collections.abc import Iterator


class CallKind(enum.Enum):
    """Kinds of calls."""

    STREAM = "stream"
    WHOLE = "whole"
    READ = "read"
    WRITE = "write"


class Repetition(enum.Enum):
    """When a non-repeatable call is sent again through another entry."""

    NEVER = "never"
    DURING = "during"
    AFTERWARDS = "afterwards"


_WEIGHTS = {
    CallKind.STREAM: 45,
    CallKind.WHOLE: 15,
    CallKind.READ: 25,
    CallKind.WRITE: 15,
}
_REPETITIONS = {
    Repetition.NEVER: 70,
    Repetition.DURING: 15,
    Repetition.AFTERWARDS: 15,
}
# Prompts share a few long prefixes, as the callers' system prompts do.
_PREFIXES = 8
_PREFIX_CHARACTERS = 640
_MIN_TOKENS = 8
_PRIORITIES = ("urgent", "normal", "normal", "bulk")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What the calls are sent to.

    Attributes:
        token: Bearer token of the client account.
        model: Model of the completions; empty for none.
        service: Plain service of reads and writes; empty for none.
        timeout_ms: Deadline of each call.
        max_tokens: Most tokens of a completion.
    """

    token: str
    model: str
    service: str
    timeout_ms: int = 30_000
    max_tokens: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call and what its right answer depends on.

    Attributes:
        at_s: Time of the call after the start.
        service_path: Path that the service sees; empty for completions.
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
    repetition: Repetition = Repetition.NEVER
    choice: int = 0

    @property
    def record_key(self) -> str:
        """Returns what identifies the call in the records of a backend."""
        if self.kind is CallKind.READ:
            return self.service_path
        return hashlib.sha256(self.body).hexdigest()


def make_calls(
    target: Target, rate: float, seconds: float, random_source: random.Random
) -> Iterator[Call]:
    """Yields calls with exponential gaps.

    Args:
        target: What the calls are sent to.
        rate: Mean number of calls a second.
        seconds: Time of the last call.
        random_source: Decides gaps, kinds and contents.
    """
    kinds = [
        kind
        for kind in CallKind
        if (
            target.model
            if kind in (CallKind.STREAM, CallKind.WHOLE)
            else target.service
        )
    ]
    weights = [_WEIGHTS[kind] for kind in kinds]
    run = f"{random_source.getrandbits(64):016x}"
    at_s, number = 0.0, 0
    while True:
        at_s += random_source.expovariate(rate)
        if at_s > seconds:
            return
        number += 1
        kind = random_source.choices(kinds, weights)[0]
        nonce = f"{run}-{number}"
        if kind in (CallKind.STREAM, CallKind.WHOLE):
            yield _make_completion(target, at_s, kind, nonce, random_source)
        else:
            yield _make_service_call(target, at_s, kind, nonce, random_source)


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
    random_source: random.Random,
) -> Call:
    prefix = f"system {random_source.randrange(_PREFIXES)} "
    prefix = (prefix * _PREFIX_CHARACTERS)[:_PREFIX_CHARACTERS]
    content = f"{prefix}{nonce}"
    max_tokens = random_source.randint(_MIN_TOKENS, target.max_tokens)
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
    headers["X-Priority"] = random_source.choice(_PRIORITIES)
    return Call(
        at_s,
        kind,
        "POST",
        path,
        json.dumps(fields).encode(),
        headers,
        prompt=prompt,
        max_tokens=max_tokens,
        choice=random_source.getrandbits(32),
    )


def _make_service_call(
    target: Target,
    at_s: float,
    kind: CallKind,
    nonce: str,
    random_source: random.Random,
) -> Call:
    headers = _make_headers(target)
    repetition = Repetition.NEVER
    method, body = "GET", b""
    service_path = f"/cards/{nonce}"
    if kind is CallKind.WRITE:
        method, service_path = "POST", "/quotes"
        body = json.dumps({"quote": nonce}).encode()
        headers["Idempotency-Key"] = f"key-{nonce}"
        repetition = random_source.choices(
            list(_REPETITIONS), list(_REPETITIONS.values())
        )[0]
    return Call(
        at_s,
        kind,
        method,
        f"/v1/services/{target.service}{service_path}",
        body,
        headers,
        service_path=service_path,
        repetition=repetition,
        choice=random_source.getrandbits(32),
    )
