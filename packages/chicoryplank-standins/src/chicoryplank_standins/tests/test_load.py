"""Tests of the load generator: traffic, verification and statistics."""

import json
import random

import testtools

from chicoryplank_standins._checks import (
    CORRECT,
    CallStatistics,
    Outcome,
    StreamVerifier,
    check_complete_response,
    parse_error_response,
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
MAY_HAVE_RUN = Outcome(refusal="1201", verdict="may_have_run")


def make_call(kind, body=b"{}", **fields):
    """Creates a call of a kind."""
    return Call(0.0, kind, "POST", "/path", body, {}, **fields)


def format_text(text):
    """Formats an event that contains a text."""
    payload = {"choices": [{"delta": {"content": text}}]}
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


class TestStreamVerifier(testtools.TestCase):
    """Verification of streamed responses."""

    def verify(self, *chunks):
        call = make_call(CallKind.STREAM, prompt="p", max_tokens=3)
        verifier = StreamVerifier(call, "model")
        for chunk in chunks:
            verifier.feed(chunk)
        return verifier

    def test_only_the_complete_expected_text_is_correct(self):
        """Guards against accepting truncated, duplicated or other text."""
        expected_events = [
            format_text(text) for text in expected_tokens("model", "p", 3)
        ]
        other_event = format_text(expected_tokens("model", "q", 1)[0])
        done_event = b"data: [DONE]\n\n"
        complete_stream = b"".join(expected_events) + done_event
        halves = (complete_stream[:70], complete_stream[70:])
        self.assertEqual(CORRECT, self.verify(*halves).finish())
        for chunks in (
            expected_events,
            [*expected_events[:2], done_event],
            [expected_events[0], *expected_events, done_event],
            [other_event],
        ):
            self.assertNotEqual("", self.verify(*chunks).finish().defect)
        with_event_after_end = self.verify(
            complete_stream, expected_events[0]
        ).finish()
        self.assertNotEqual("", with_event_after_end.defect)

    def test_error_responses_are_refusals(self):
        """Guards against error responses counted as wrong, or not at all."""
        error = {"code": 1201, "verdict": "MAY_HAVE_RUN"}
        event = b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
        self.assertEqual(MAY_HAVE_RUN, self.verify(event).finish())
        interrupted = self.verify(b"data: {").finish_interrupted(
            "client_connection"
        )
        self.assertEqual("client_connection", interrupted.refusal)
        mismatched = self.verify(format_text("foreign")).finish_interrupted("x")
        self.assertNotEqual("", mismatched.defect)


class TestCallStatistics(testtools.TestCase):
    """Comparison of outcomes with the records of the backend servers."""

    def compare(self, kind, outcomes, count):
        statistics = CallStatistics()
        call = make_call(kind)
        for index, outcome in enumerate(outcomes):
            statistics.add(call, outcome, index > 0)
        record = {"path": "/x", "body_sha256": call.record_key, "count": count}
        summary = statistics.summarise([record] if count else [])
        return summary["doubled"], summary["verdict_violations"]

    def test_double_execution_and_false_verdicts_are_detected(self):
        """Guards against an undetected double execution or false verdict."""
        cases = [
            (CallKind.WRITE, [CORRECT, CORRECT], 1, (0, 0)),
            (CallKind.WRITE, [CORRECT, CORRECT], 2, (1, 0)),
            (CallKind.WRITE, [CORRECT, NOT_RUN], 1, (0, 0)),
            (CallKind.WRITE, [CORRECT, NOT_RUN], 2, (1, 1)),
            (CallKind.WRITE, [NOT_RUN], 0, (0, 0)),
            (CallKind.WRITE, [NOT_RUN], 1, (0, 1)),
            (CallKind.NON_STREAMING, [NOT_RUN], 1, (0, 1)),
            (CallKind.NON_STREAMING, [CORRECT], 2, (0, 0)),
            (CallKind.WRITE, [MAY_HAVE_RUN], 1, (0, 0)),
        ]
        for kind, outcomes, count, expected in cases:
            self.assertEqual(expected, self.compare(kind, outcomes, count))

    def test_refusals_of_retries_are_counted_separately(self):
        """Guards against a rejected retry that is counted as a failed call."""
        statistics = CallStatistics()
        for outcome, is_retry in ((CORRECT, False), (MAY_HAVE_RUN, True)):
            statistics.add(make_call(CallKind.WRITE), outcome, is_retry)
        summary = statistics.summarise(None)
        self.assertEqual(
            ({}, {"1201": 1}),
            (summary["refusals"], summary["repeat_refusals"]),
        )
        self.assertIsNone(summary["doubled"])


class TestTraffic(testtools.TestCase):
    """Generation of calls and verification of service responses."""

    def test_seed_determines_the_traffic(self):
        """Guards against traffic that its seed does not reproduce."""
        first, second, other_seed = (
            list(make_calls(TARGET, 20.0, 5.0, random.Random(seed)))
            for seed in (1, 1, 2)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other_seed)
        self.assertEqual(set(CallKind), {call.kind for call in first})

    def test_service_response_must_match_the_call(self):
        """Guards against accepting the response to another call."""
        calls = make_calls(TARGET, 20.0, 5.0, random.Random(1))
        reads = [call for call in calls if call.kind is CallKind.READ][:2]
        digest = (
            "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
        )
        response = {
            "path": reads[0].service_path,
            "body_sha256": digest,
            "idempotency_key": "",
        }
        body = json.dumps(response).encode()
        self.assertEqual(CORRECT, check_complete_response(reads[0], "", body))
        self.assertNotEqual(
            "", check_complete_response(reads[1], "", body).defect
        )


class TestErrorResponses(testtools.TestCase):
    """The status and the verdict of an error response are consistent."""

    def test_status_that_contradicts_the_verdict_is_a_defect(self):
        """Guards against a load run that overlooks a false "not run"."""
        for status, verdict, is_defect in (
            (503, "not_run", False),
            (502, "may_have_run", False),
            (503, "may_have_run", True),
            (429, "ran", True),
        ):
            payload = {"error": {"code": "CP1602", "verdict": verdict}}
            outcome = parse_error_response(payload, "", status)
            self.assertEqual(verdict, outcome.verdict)
            self.assertEqual(is_defect, bool(outcome.defect), outcome)
