"""Checks of answers and the summary of the load tool."""

import dataclasses
import hashlib
import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from chicoryplank_standins._traffic import Call, CallKind
from chicoryplank_standins.tokens import expected_tokens

MAX_EXAMPLES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one try of a call.

    Attributes:
        is_right: Whether the answer is the call's own and whole.
        refusal: Code of an explicit failure; empty for none.
        verdict: `not_run`, `may_have_run` or empty.
        fault: What is wrong with an answer that is neither right nor refused.
    """

    is_right: bool = False
    refusal: str = ""
    verdict: str = ""
    fault: str = ""


RIGHT = Outcome(is_right=True)


class StreamCheck:
    """Reads the server-sent events of a completion as they arrive.

    Args:
        call: Call that is answered.
        model: Model that the call names.
    """

    def __init__(self, call: Call, model: str) -> None:
        tokens = expected_tokens(model, call.prompt, call.max_tokens)
        self._expected = "".join(tokens)
        self._text = ""
        self._buffer = b""
        self._is_done = False
        self._outcome: Outcome | None = None

    def feed(self, data: bytes) -> bool:
        """Takes a piece of the body; returns whether it brought text."""
        length = len(self._text)
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            for line in event.splitlines():
                if line.startswith(b"data:"):
                    self._read(line.removeprefix(b"data:").strip())
        return len(self._text) > length

    def finish(self) -> Outcome:
        """Returns the outcome after the body ended regularly."""
        if self._outcome is not None:
            return self._outcome
        if not self._is_done:
            return Outcome(fault="the stream ended without an end marker")
        if self._text != self._expected:
            return Outcome(fault="the text is not whole")
        return RIGHT

    def break_off(self, refusal: str) -> Outcome:
        """Returns the outcome after the connection broke."""
        if self._outcome is not None:
            return self._outcome
        return Outcome(refusal=refusal, verdict="may_have_run")

    def _read(self, data: bytes) -> None:
        if self._outcome is not None:
            return
        if self._is_done:
            self._outcome = Outcome(fault="an event follows the end marker")
            return
        if data == b"[DONE]":
            self._is_done = True
            return
        try:
            payload = json.loads(data)
        except ValueError:
            self._outcome = Outcome(fault="an event is not JSON")
            return
        if "error" in payload:
            self._outcome = read_refusal(payload, "", 200)
            return
        try:
            self._text += payload["choices"][0]["delta"].get("content", "")
        except (KeyError, IndexError, TypeError, AttributeError):
            self._outcome = Outcome(fault="an event has another form")
            return
        if not self._expected.startswith(self._text):
            self._outcome = Outcome(fault="the text belongs to another call")


def read_refusal(payload: Any, verdict: str, status: int) -> Outcome:
    """Returns the outcome of an error answer."""
    error = payload.get("error") if isinstance(payload, dict) else None
    if not isinstance(error, dict):
        return Outcome(refusal=f"http_{status}", verdict=verdict.lower())
    verdict = str(error.get("verdict") or verdict).lower()
    code = str(error.get("code") or f"http_{status}")
    return Outcome(refusal=code, verdict=verdict)


def check_whole(call: Call, model: str, body: bytes) -> Outcome:
    """Returns the outcome of a whole answer with status 200."""
    try:
        answer = json.loads(body)
        if call.kind is CallKind.WHOLE:
            tokens = expected_tokens(model, call.prompt, call.max_tokens)
            is_right = answer["choices"][0]["text"] == "".join(tokens)
        else:
            digest = hashlib.sha256(call.body).hexdigest()
            key = call.headers.get("Idempotency-Key", "")
            is_right = (
                answer["body_sha256"] == digest
                and answer["path"] == call.service_path
                and answer["idempotency_key"] == key
            )
    except (ValueError, KeyError, IndexError, TypeError):
        return Outcome(fault="the answer has another form")
    return RIGHT if is_right else Outcome(fault="not the call's own answer")


class Distribution:
    """Times in classes of a tenth of a millisecond."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """Adds a time."""
        self._counts[round(seconds * 10_000)] += 1

    def get_percentile_ms(self, share: float) -> float | None:
        """Returns the time that a share of all stays within."""
        left = share * self._counts.total()
        for value in sorted(self._counts):
            left -= self._counts[value]
            if left <= 0:
                return value / 10
        return None

    def to_json(self) -> dict[str, float | None]:
        """Returns the median and the 95th percentile."""
        return {
            "p50": self.get_percentile_ms(0.5),
            "p95": self.get_percentile_ms(0.95),
        }


class Tally:
    """Outcomes of all tries."""

    def __init__(self) -> None:
        self.first_token = Distribution()
        self.between_tokens = Distribution()
        self.not_sent = 0
        self._sent: Counter[str] = Counter()
        self._right = 0
        self._repeats: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._repeat_refusals: Counter[str] = Counter()
        self._wrong = 0
        self._examples: list[str] = []
        self._tries: dict[str, list[Outcome]] = defaultdict(list)
        self._writes: set[str] = set()

    def add(self, call: Call, outcome: Outcome, is_repeat: bool) -> None:
        """Counts the outcome of a try."""
        self._tries[call.record_key].append(outcome)
        if call.kind is CallKind.WRITE:
            self._writes.add(call.record_key)
        if is_repeat:
            self._repeats["sent"] += 1
            self._repeats["right"] += outcome.is_right
        else:
            self._sent[call.kind.value] += 1
            self._right += outcome.is_right
        if outcome.refusal:
            refusals = self._repeat_refusals if is_repeat else self._refusals
            refusals[outcome.refusal] += 1
            self._explain(
                f"{call.kind.value} at {call.at_s:.2f} s: {outcome.refusal} "
                f"{outcome.verdict}, repeat {is_repeat}"
            )
        if outcome.fault:
            self._wrong += 1
            self._explain(f"{call.kind.value} {call.path}: {outcome.fault}")

    def format_progress(self) -> str:
        """Returns the counts so far in one line."""
        sent = self._sent.total()
        refused = self._refusals.total()
        return (
            f"sent {sent}, right {self._right}, refused {refused}, "
            f"wrong {self._wrong}, repeats {self._repeats['sent']}"
        )

    def summarise(
        self, records: Iterable[dict[str, Any]] | None
    ) -> dict[str, Any]:
        """Returns the summary.

        Args:
            records: Records of the backend servers; None if none were read,
                and then the counts that need them are None.
        """
        summary = {
            "sent": self._sent.total(),
            "sent_by_kind": dict(self._sent),
            "whole_and_own": self._right,
            "refusals": dict(self._refusals),
            "wrong": self._wrong,
            "repeats_sent": self._repeats["sent"],
            "repeats_right": self._repeats["right"],
            "repeat_refusals": dict(self._repeat_refusals),
            "not_sent": self.not_sent,
            "first_token_ms": self.first_token.to_json(),
            "between_tokens_ms": self.between_tokens.to_json(),
        }
        summary |= self._compare(records)
        summary["examples"] = self._examples
        return summary

    def _compare(
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
        for key, outcomes in self._tries.items():
            possible = sum(item.verdict != "not_run" for item in outcomes)
            if key in self._writes and runs[key] > 1:
                counts["doubled"] += 1
                self._explain(f"{key} ran {runs[key]} times")
            limit = possible if key in self._writes or not possible else None
            if limit is not None and runs[key] > limit:
                counts["verdict_violations"] += 1
                self._explain(f"{key} ran {runs[key]} times, not {possible}")
            if not runs[key] and any(item.is_right for item in outcomes):
                counts["unrecorded"] += 1
        return counts

    def _explain(self, text: str) -> None:
        if len(self._examples) < MAX_EXAMPLES:
            self._examples.append(text)
