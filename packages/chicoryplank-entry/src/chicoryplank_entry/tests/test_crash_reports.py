"""Tests of requests that crash backend servers, as agents report them."""

import asyncio
import dataclasses
import random
from datetime import timedelta
from types import SimpleNamespace

import testtools

from chicoryplank.attempts import AttemptState
from chicoryplank.clock import ManualClock
from chicoryplank.configuration import Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId, Incarnation
from chicoryplank.quarantine import Quarantine
from chicoryplank.retry import RetryPolicy
from chicoryplank.verdict import Verdict
from chicoryplank_entry.crash_reports import CrashReports
from chicoryplank_entry.dispatch import Dispatcher, make_quarantine_refusal
from chicoryplank_entry.exchange import SentAttempt
from chicoryplank_entry.quarantine import QuarantineCheck
from chicoryplank_entry.requests import (
    Call,
    CallerRequest,
    RequestKind,
    Route,
)

_MODEL_BODY = b'{"messages": [{"content": "%s"}, {"content": "%d"}]}'


def make_call(number, body, kind=RequestKind.SERVICE, path="/cards/1"):
    """Returns a request of one account."""
    request = CallerRequest(
        kind, "cards", "t", "POST", path, (), body, False, None, timedelta(9)
    )
    route = Route(AccountId("shop"), Priority.NORMAL, "cards", True)
    return Call(number, request, route, timedelta(), timedelta(9), None)


class _Entry:
    """An entry whose agents crash under the bodies that a test chooses."""

    def __init__(self, name="entry-1"):
        self.clock = ManualClock()
        self.quarantine = Quarantine()
        self.reports = CrashReports(
            self.quarantine, self.clock, Incarnation(name), lambda name: 3
        )
        self.check = QuarantineCheck(
            self.quarantine,
            None,
            now_s=self.reports.now_s,
            list_versions=lambda service: ("",),
            make_refusal=make_quarantine_refusal,
            count=lambda result: None,
        )
        self.sends = 0

    def send(self, call, crashes, agent="agent-1"):
        """Sends a request unless it is refused; returns the code of its end."""
        self.clock.advance(timedelta(seconds=2))
        try:
            self.check.check(call)
        except ChicoryplankError as error:
            return error
        self.sends += 1
        sent_at = self.clock.elapsed()
        self.clock.advance(timedelta(seconds=0.05))
        error = None
        if crashes:
            error = ChicoryplankError(
                ErrorCode.BACKEND_CRASHED, "crashed", Verdict.MAY_HAVE_RUN
            )
        attempt = SimpleNamespace(
            error=error,
            status=0 if crashes else 200,
            state=AttemptState.FAILED if crashes else AttemptState.ENDED,
        )
        instance = SimpleNamespace(instance=agent)
        relay = SimpleNamespace(instance=instance)
        self.reports.observe_end(SentAttempt(relay, attempt, sent_at, call))
        return error

    def send_mixed(self, count, make_body, kind=RequestKind.SERVICE):
        """Sends harmful and sound requests; returns the last harmful error."""
        for number in range(count):
            error = self.send(
                make_call(number, make_body(True, number), kind),
                crashes=True,
                agent=f"agent-{number % 3}",
            )
            for other in range(4):
                sound = make_body(False, 10 * number + other)
                call = make_call(number, sound, kind)
                assert self.send(call, crashes=False) is None
        return error


class TestCrashReports(testtools.TestCase):
    """Which requests an entry refuses after the crashes that agents report."""

    def test_request_that_comes_again(self):
        """Guards against sending a harmful request on and on."""
        entry = _Entry()
        error = entry.send_mixed(
            12, lambda is_harmful, number: b"bad" if is_harmful else b"good"
        )
        self.assertEqual(ErrorCode.QUARANTINED, error.code)
        self.assertEqual(Verdict.NOT_RUN, error.verdict)
        self.assertLessEqual(entry.sends, 6 + 48)

    def test_message_of_a_prompt(self):
        """Guards against a harmful message before the last of a prompt."""
        entry = _Entry()
        error = entry.send_mixed(
            12,
            lambda is_harmful, number: (
                _MODEL_BODY % (b"bad" if is_harmful else b"good", number)
            ),
            RequestKind.MODEL,
        )
        self.assertEqual(ErrorCode.QUARANTINED, error.code)

    def test_broken_connections_are_no_crashes(self):
        """Guards against refusing requests because of a cut link."""
        entry = _Entry()
        call = make_call(1, b"bad")
        attempt = SimpleNamespace(
            error=ChicoryplankError(
                ErrorCode.BACKEND_FAILED, "broken", Verdict.MAY_HAVE_RUN
            ),
            status=0,
            state=AttemptState.FAILED,
        )
        relay = SimpleNamespace(instance=SimpleNamespace(instance="agent-1"))
        for _ in range(10):
            entry.clock.advance(timedelta(seconds=2))
            entry.reports.observe_end(
                SentAttempt(relay, attempt, entry.clock.elapsed(), call)
            )
        self.assertIsNone(entry.send(call, crashes=False))


class TestHeartbeatUpdates(testtools.TestCase):
    """Entries exchange what they know with heartbeats."""

    def exchange(self, sender, receiver):
        update, digest = sender.reports.make_update("receiver")
        receiver.reports.apply_update("sender", update, digest)
        return update

    def test_verdict_reaches_another_entry(self):
        """Guards against an entry that crashes replicas on its own."""
        first, second = _Entry(), _Entry("entry-2")
        first.send_mixed(
            12, lambda is_harmful, number: b"bad" if is_harmful else b"good"
        )
        self.exchange(first, second)
        error = second.send(make_call(1, b"bad"), crashes=True)
        self.assertEqual(ErrorCode.QUARANTINED, error.code)

    def test_nothing_is_sent_twice(self):
        """Guards against heartbeats that grow while nothing changes."""
        first, second = _Entry(), _Entry("entry-2")
        first.send(make_call(1, b"bad"), crashes=True)
        self.assertTrue(self.exchange(first, second))
        _, digest = second.reports.make_update("sender")
        first.reports.apply_update("receiver", b"", digest)
        self.assertFalse(self.exchange(first, second))

    def test_malformed_updates(self):
        """Guards against an entry that fails because of another's message."""
        entry = _Entry()
        for update in (b"{", b"{}", b"[1]", b'[{"feature": 1}]', b"\xff"):
            entry.reports.apply_update("sender", update, b"")
        self.assertEqual([], entry.quarantine.list_verdicts())


class TestDispatcher(testtools.TestCase):
    """The dispatcher refuses and retries as the quarantine asks."""

    def test_request_in_quarantine_reaches_no_agent(self):
        """Guards against a refusal after the request was queued or sent."""
        entry = _Entry()
        entry.send_mixed(
            12, lambda is_harmful, number: b"bad" if is_harmful else b"good"
        )
        call = make_call(99, b"bad")
        dispatcher = Dispatcher(
            None,
            entry.clock,
            None,
            runner=None,
            gate=None,
            retries=RetryPolicy(random.Random(1)),
            quarantine=entry.check,
        )
        error = self.assertRaises(
            ChicoryplankError, asyncio.run, dispatcher._run_with_retries(call)
        )
        self.assertEqual(ErrorCode.QUARANTINED, error.code)

    def test_trial_is_not_retried(self):
        """Guards against a trial that crashes several backend servers."""
        call = dataclasses.replace(make_call(1, b"bad"), is_trial=True)
        dispatcher = Dispatcher(
            None,
            ManualClock(),
            None,
            runner=None,
            gate=None,
            retries=None,
            quarantine=None,
        )
        error = ChicoryplankError(
            ErrorCode.BACKEND_CRASHED, "crashed", Verdict.MAY_HAVE_RUN
        )
        self.assertIs(
            error,
            self.assertRaises(
                ChicoryplankError, dispatcher._get_retry_delay, call, error, 0
            ),
        )
