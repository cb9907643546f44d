"""Verification of responses and the statistics of the load generator."""

import dataclasses
import hashlib
import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from chicoryplank_standins._traffic import Call, CallKind
from chicoryplank_standins.tokens import expected_tokens

MAX_EXAMPLES = 10
# Statuses that tell a caller that its request did not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt of a call.

    Attributes:
        is_correct: Whether the response is complete and belongs to the call.
        refusal: Error code of an error response or of a client-side failure;
            empty for none.
        verdict: Whether the call may have run: `not_run`, `may_have_run`,
            `ran`, or empty if unknown.
        defect: Defect of a response that is neither correct nor a consistent
            error; empty for none.
    """

    is_correct: bool = False
    refusal: str = ""
    verdict: str = ""
    defect: str = ""


CORRECT = Outcome(is_correct=True)


class StreamVerifier:
    """Verifies the server-sent events of a completion as they arrive.

    Args:
        call: Call that the stream responds to.
        model: Name of the model in the call.
    """

    def __init__(self, call: Call, model: str) -> None:
        tokens = expected_tokens(model, call.prompt, call.max_tokens)
        self._expected_text = "".join(tokens)
        self._received_text = ""
        self._buffer = b""
        self._is_done = False
        self._outcome: Outcome | None = None

    def feed(self, data: bytes) -> bool:
        """Parses a chunk of the body; returns whether it contained text."""
        length = len(self._received_text)
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            for line in event.splitlines():
                if line.startswith(b"data:"):
                    self._parse_event(line.removeprefix(b"data:").strip())
        return len(self._received_text) > length

    def finish(self) -> Outcome:
        """Returns the outcome after the end of the body."""
        if self._outcome is not None:
            return self._outcome
        if not self._is_done:
            return Outcome(defect="the stream ended before the [DONE] event")
        if self._received_text != self._expected_text:
            return Outcome(defect="the text is incomplete")
        return CORRECT

    def finish_interrupted(self, refusal: str) -> Outcome:
        """Returns the outcome after a timeout or a connection failure."""
        if self._outcome is not None:
            return self._outcome
        return Outcome(refusal=refusal, verdict="may_have_run")

    def _parse_event(self, data: bytes) -> None:
        if self._outcome is not None:
            return
        if self._is_done:
            self._outcome = Outcome(defect="an event follows the [DONE] event")
            return
        if data == b"[DONE]":
            self._is_done = True
            return
        try:
            payload = json.loads(data)
        except ValueError:
            self._outcome = Outcome(defect="an event is not JSON")
            return
        if "error" in payload:
            self._outcome = parse_error_response(payload, "", 200)
            return
        try:
            self._received_text += payload["choices"][0]["delta"].get(
                "content", ""
            )
        except (KeyError, IndexError, TypeError, AttributeError):
            self._outcome = Outcome(
                defect="an event has an unexpected structure"
            )
            return
        if not self._expected_text.startswith(self._received_text):
            self._outcome = Outcome(
                defect="the text differs from the expected one"
            )


def parse_error_response(payload: Any, verdict: str, status: int) -> Outcome:
    """Returns the outcome of an error response."""
    error = payload.get("error") if isinstance(payload, dict) else None
    if not isinstance(error, dict):
        return Outcome(refusal=f"http_{status}", verdict=verdict.lower())
    verdict = str(error.get("verdict") or verdict).lower()
    code = str(error.get("code") or f"http_{status}")
    defect = ""
    if status in _NOT_RUN_STATUSES and verdict != "not_run":
        defect = f"status {status} with the verdict {verdict!r}"
    return Outcome(refusal=code, verdict=verdict, defect=defect)


def check_complete_response(call: Call, model: str, body: bytes) -> Outcome:
    """Returns the outcome of a complete response with status 200."""
    try:
        response = json.loads(body)
        if call.kind is CallKind.NON_STREAMING:
            tokens = expected_tokens(model, call.prompt, call.max_tokens)
            is_correct = response["choices"][0]["text"] == "".join(tokens)
        else:
            digest = hashlib.sha256(call.body).hexdigest()
            key = call.headers.get("Idempotency-Key", "")
            is_correct = (
                response["body_sha256"] == digest
                and response["path"] == call.service_path
                and response["idempotency_key"] == key
            )
    except (ValueError, KeyError, IndexError, TypeError):
        return Outcome(defect="the response has an unexpected structure")
    return (
        CORRECT
        if is_correct
        else Outcome(defect="the response belongs to another call")
    )


class Histogram:
    """Counts of times in buckets of 0.1 ms."""

    def __init__(self) -> None:
        self._bucket_counts: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """Adds a time in seconds."""
        self._bucket_counts[round(seconds * 10_000)] += 1

    def get_percentile_ms(self, quantile: float) -> float | None:
        """Returns a quantile in milliseconds; None if there are no times."""
        remaining = quantile * self._bucket_counts.total()
        for bucket in sorted(self._bucket_counts):
            remaining -= self._bucket_counts[bucket]
            if remaining <= 0:
                return bucket / 10
        return None

    def to_json(self) -> dict[str, float | None]:
        """Returns the median and the 95th percentile in milliseconds."""
        return {
            "p50": self.get_percentile_ms(0.5),
            "p95": self.get_percentile_ms(0.95),
        }


class CallStatistics:
    """Counts of the outcomes of all attempts, and response times."""

    def __init__(self) -> None:
        self.first_token = Histogram()
        self.between_tokens = Histogram()
        self.not_sent = 0
        self._sent: Counter[str] = Counter()
        self._correct = 0
        self._retries: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._retry_refusals: Counter[str] = Counter()
        self._wrong = 0
        self._examples: list[str] = []
        self._attempts: dict[str, list[Outcome]] = defaultdict(list)
        self._writes: set[str] = set()

    def add(self, call: Call, outcome: Outcome, is_retry: bool) -> None:
        """Counts the outcome of an attempt."""
        self._attempts[call.record_key].append(outcome)
        if call.kind is CallKind.WRITE:
            self._writes.add(call.record_key)
        if is_retry:
            self._retries["sent"] += 1
            self._retries["right"] += outcome.is_correct
        else:
            self._sent[call.kind.value] += 1
            self._correct += outcome.is_correct
        if outcome.refusal:
            refusals = self._retry_refusals if is_retry else self._refusals
            refusals[outcome.refusal] += 1
            self._add_example(
                f"{call.kind.value} at {call.at_s:.2f} s: {outcome.refusal} "
                f"{outcome.verdict}, retry {is_retry}"
            )
        if outcome.defect:
            self._wrong += 1
            self._add_example(
                f"{call.kind.value} {call.path}: {outcome.defect}"
            )

    def format_progress(self) -> str:
        """Returns the counts so far in one line."""
        sent = self._sent.total()
        refused = self._refusals.total()
        return (
            f"sent {sent}, correct {self._correct}, errors {refused}, "
            f"wrong {self._wrong}, retries {self._retries['sent']}"
        )

    def summarise(
        self, records: Iterable[dict[str, Any]] | None
    ) -> dict[str, Any]:
        """Returns the summary that the load generator prints.

        Args:
            records: Execution records of the backend servers; None if they
                were not read, in which case the counts that depend on them
                are None.
        """
        summary = {
            "sent": self._sent.total(),
            "sent_by_kind": dict(self._sent),
            "whole_and_own": self._correct,
            "refusals": dict(self._refusals),
            "wrong": self._wrong,
            "repeats_sent": self._retries["sent"],
            "repeats_right": self._retries["right"],
            "repeat_refusals": dict(self._retry_refusals),
            "not_sent": self.not_sent,
            "first_token_ms": self.first_token.to_json(),
            "between_tokens_ms": self.between_tokens.to_json(),
        }
        summary |= self._compare_with_records(records)
        summary["examples"] = self._examples
        return summary

    def _compare_with_records(
        self, records: Iterable[dict[str, Any]] | None
    ) -> dict[str, Any]:
        names = ("doubled", "verdict_violations", "unrecorded")
        if records is None:
            return dict.fromkeys(names)
        runs: Counter[str] = Counter()
        for record in records:
            is_read = record.get("method") == "GET"
            key = record["path"] if is_read else record["body_sha256"]
            runs[key] += record["count"]
        counts = dict.fromkeys(names, 0)
        for key, outcomes in self._attempts.items():
            possible_runs = sum(item.verdict != "not_run" for item in outcomes)
            if key in self._writes and runs[key] > 1:
                counts["doubled"] += 1
                self._add_example(
                    f"{key} ran {runs[key]} times instead of once"
                )
            max_runs = (
                possible_runs
                if key in self._writes or not possible_runs
                else None
            )
            if max_runs is not None and runs[key] > max_runs:
                counts["verdict_violations"] += 1
                self._add_example(
                    f"{key} ran {runs[key]} times, "
                    f"expected at most {possible_runs}"
                )
            if not runs[key] and any(item.is_correct for item in outcomes):
                counts["unrecorded"] += 1
        return counts

    def _add_example(self, text: str) -> None:
        if len(self._examples) < MAX_EXAMPLES:
            self._examples.append(text)
