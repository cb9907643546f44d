"""Tests of an issuer that applies several limits to a replica."""

import random
from datetime import timedelta

import testtools

from chicoryplank.admission import (
    LimitReport,
    LimitSource,
    RetryBudgetParameters,
)
from chicoryplank.clock import ManualClock
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank_entry.forwarding.permits import REPLY_KIND, Permits
from chicoryplank_entry.forwarding.state import EntryState

_OWN = InstanceId("entry-0")
_REPLICA = InstanceId("replica-0")


class _FixedLimit:
    """Limit with a given wait, which counts its permits."""

    def __init__(self, wait_s):
        self.wait_s = wait_s
        self.permits = 0
        self.reports = []

    def is_limited(self, instance, now_s):
        return True

    def get_wait_s(self, instance, now_s):
        return self.wait_s

    def record_permit(self, instance, now_s):
        self.permits += 1

    def encode_report(self, instance, now_s):
        return "report"

    def apply_report(self, instance, report, now_s):
        self.reports.append((instance, report))


class TestPermitsWithSeveralLimits(testtools.TestCase):
    """A permit needs the consent of all limits."""

    def setUp(self):
        super().setUp()
        self._clock = ManualClock()
        self._state = EntryState(
            self._clock,
            ZoneId("a"),
            random.Random(1),
            RetryBudgetParameters(),
            2.0,
        )
        self._members = [_OWN]
        self._sent = []
        self._permits = Permits(
            _OWN,
            self._state,
            lambda: self._members,
            lambda document, name: self._sent.append(document),
        )

    def _ask(self):
        waits = []
        self._permits.request(_REPLICA, waits.append)
        return waits[0]

    def _name_limit(self, limit):
        report = LimitReport(limit, self._state.now_s())
        self._state.server_limits.observe(
            _REPLICA, report, LimitSource.RESPONSE
        )

    def test_replica_with_any_limit_needs_permits(self):
        """Guards against a limit without effect unless another one applies."""
        self.assertFalse(self._permits.is_limited(_REPLICA))
        self._permits.limits.append(_FixedLimit(0.0))
        self.assertTrue(self._permits.is_limited(_REPLICA))

    def test_refusal_of_one_limit_takes_nothing_from_the_others(self):
        """Guards against tokens that are lost in a permit not granted."""
        first, second = _FixedLimit(0.0), _FixedLimit(0.3)
        self._permits.limits += [first, second]
        self._name_limit(1.0)
        self._ask()
        self._clock.advance(timedelta(seconds=1.5))
        self.assertEqual(0.3, self._ask())
        self.assertEqual((0, 0), (first.permits, second.permits))
        second.wait_s = 0.0
        self.assertEqual(0.0, self._ask())
        self.assertEqual((1, 1), (first.permits, second.permits))

    def test_server_limit_takes_nothing_from_the_other_limits(self):
        """Guards against permits recorded although the bucket is empty."""
        other = _FixedLimit(0.0)
        self._permits.limits.append(other)
        self._name_limit(1.0)
        self.assertGreater(self._ask(), 0)
        self.assertEqual(0, other.permits)

    def test_question_carries_the_state_of_a_limit(self):
        """Guards against an issuer that does not know the limit yet."""
        limit = _FixedLimit(0.2)
        self._permits.limits.append(limit)
        self._permits.carried["fixed"] = limit
        self._members = [InstanceId("entry-1")]
        self._permits.request(_REPLICA, lambda wait_s: None)
        question = self._sent.pop()
        self.assertEqual("report", question["fixed"])
        self._members = [_OWN]
        self._permits.handle(question)
        self.assertEqual([(_REPLICA, "report")], limit.reports)
        self.assertEqual(
            (REPLY_KIND, 0.2), (self._sent[0]["kind"], self._sent[0]["wait_s"])
        )
