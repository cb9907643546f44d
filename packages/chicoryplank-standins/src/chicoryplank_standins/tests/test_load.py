"""Tests of the checks that the load tool makes."""

import json
import random

import testtools

from chicoryplank_standins._checks import (
    RIGHT,
    Outcome,
    StreamCheck,
    Tally,
    check_whole,
)
from chicoryplank_standins._traffic import (
    Call,
    CallKind,
    Target,
    make_calls,
)
from chicoryplank_standins.tokens import expected_tokens

TARGET = Target("token", "model", "tablets")
NOT_RUN = Outcome(refusal="1301", verdict="not_run")
UNKNOWN = Outcome(refusal="1201", verdict="may_have_run")


def make_call(kind, body=b"{}", **fields):
    """Returns a call of a kind."""
    return Call(0.0, kind, "POST", "/path", body, {}, **fields)


def format_text(text):
    """Returns an event with a piece of text."""
    payload = {"choices": [{"delta": {"content": text}}]}
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


class TestStreamCheck(testtools.TestCase):
    """Verification of streamed answers."""

    def check(self, *pieces):
        call = make_call(CallKind.STREAM, prompt="p", max_tokens=3)
        check = StreamCheck(call, "model")
        for piece in pieces:
            check.feed(piece)
        return check

    def test_only_the_whole_own_text_is_right(self):
        """Guards against a truncated, doubled or foreign answer that passes."""
        own = [format_text(text) for text in expected_tokens("model", "p", 3)]
        other = format_text(expected_tokens("model", "q", 1)[0])
        done = b"data: [DONE]\n\n"
        whole = b"".join(own) + done
        halves = (whole[:70], whole[70:])
        self.assertEqual(RIGHT, self.check(*halves).finish())
        for pieces in (own, [*own[:2], done], [own[0], *own, done], [other]):
            self.assertNotEqual("", self.check(*pieces).finish().fault)
        late = self.check(whole, own[0]).finish()
        self.assertNotEqual("", late.fault)

    def test_explicit_failures_are_refusals(self):
        """Guards against failures counted as wrong, or hidden."""
        error = {"code": 1201, "verdict": "MAY_HAVE_RUN"}
        event = b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
        self.assertEqual(UNKNOWN, self.check(event).finish())
        broken = self.check(b"data: {").break_off("client_connection")
        self.assertEqual("client_connection", broken.refusal)
        foreign = self.check(format_text("foreign")).break_off("x")
        self.assertNotEqual("", foreign.fault)


class TestTally(testtools.TestCase):
    """Comparison of the answers with the records of the backends."""

    def compare(self, kind, outcomes, count):
        tally = Tally()
        call = make_call(kind)
        for index, outcome in enumerate(outcomes):
            tally.add(call, outcome, index > 0)
        record = {"path": "/x", "body_sha256": call.record_key, "count": count}
        summary = tally.summarise([record] if count else [])
        return summary["doubled"], summary["verdict_violations"]

    def test_doubled_and_untrue_verdicts_are_found(self):
        """Guards against a doubled call or an untrue verdict unnoticed."""
        cases = [
            (CallKind.WRITE, [RIGHT, RIGHT], 1, (0, 0)),
            (CallKind.WRITE, [RIGHT, RIGHT], 2, (1, 0)),
            (CallKind.WRITE, [RIGHT, NOT_RUN], 1, (0, 0)),
            (CallKind.WRITE, [RIGHT, NOT_RUN], 2, (1, 1)),
            (CallKind.WRITE, [NOT_RUN], 0, (0, 0)),
            (CallKind.WRITE, [NOT_RUN], 1, (0, 1)),
            (CallKind.WHOLE, [NOT_RUN], 1, (0, 1)),
            (CallKind.WHOLE, [RIGHT], 2, (0, 0)),
            (CallKind.WRITE, [UNKNOWN], 1, (0, 0)),
        ]
        for kind, outcomes, count, expected in cases:
            self.assertEqual(expected, self.compare(kind, outcomes, count))

    def test_repeat_refusals_are_counted_apart(self):
        """Guards against a rejected repeat that looks like a lost call."""
        tally = Tally()
        for outcome, is_repeat in ((RIGHT, False), (UNKNOWN, True)):
            tally.add(make_call(CallKind.WRITE), outcome, is_repeat)
        summary = tally.summarise(None)
        self.assertEqual(
            ({}, {"1201": 1}),
            (summary["refusals"], summary["repeat_refusals"]),
        )
        self.assertIsNone(summary["doubled"])


class TestTraffic(testtools.TestCase):
    """The seeded calls."""

    def test_seed_decides_the_traffic(self):
        """Guards against a run that its seed cannot reproduce."""
        first, second, other = (
            list(make_calls(TARGET, 20.0, 5.0, random.Random(seed)))
            for seed in (1, 1, 2)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)
        self.assertEqual(set(CallKind), {call.kind for call in first})

    def test_service_answer_must_echo_the_call(self):
        """Guards against another call's answer that passes."""
        calls = make_calls(TARGET, 20.0, 5.0, random.Random(1))
        reads = [call for call in calls if call.kind is CallKind.READ][:2]
        digest = (
            "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
        )
        answer = {
            "path": reads[0].service_path,
            "body_sha256": digest,
            "idempotency_key": "",
        }
        body = json.dumps(answer).encode()
        self.assertEqual(RIGHT, check_whole(reads[0], "", body))
        self.assertNotEqual("", check_whole(reads[1], "", body).fault)
