"""Tests of limits that servers name, without network.

Load pattern: servers in need name a limit, change it and withdraw it.
"""

import testtools

from chicoryplank.admission import (
    LimitReport,
    LimitSource,
    MalformedLimitError,
    RateBucket,
    ServerLimits,
    parse_limit,
)
from chicoryplank.ids import InstanceId

_SERVER = InstanceId("server")
_SOURCE = LimitSource.RESPONSE


class TestParseLimit(testtools.TestCase):
    """Only decimal numbers are limits."""

    def test_decimal_numbers(self):
        """Guards against rejecting a limit that a server names correctly."""
        for text, limit in (
            ("0", 0.0),
            ("1", 1.0),
            (" 2.50 ", 2.5),
            (".5", 0.5),
            ("7.", 7.0),
            ("9" * 60, float("9" * 60)),
        ):
            self.assertEqual(limit, parse_limit(text))

    def test_malformed_values(self):
        """Guards against limits that are negative, infinite or no number."""
        for text in (
            *("", " ", ".", "-1", "+1", "1e3", "inf", "nan", "NaN", "1,5"),
            *("0x10", "1 2", "one", "1_000", "\u0661", "9" * 500),
        ):
            self.assertRaises(MalformedLimitError, parse_limit, text)


class TestRateBucket(testtools.TestCase):
    """A bucket grants its rate, and little more at once."""

    def _count(self, limit, duration_s, idle_s=0.0):
        bucket = RateBucket(0.0)
        return sum(
            bucket.try_take(limit, idle_s + tick / 1000) == 0
            for tick in range(round(duration_s * 1000))
        )

    def test_rate(self):
        """Guards against requests beyond the rate, or far below it."""
        for limit in (1.0, 3.3, 50.0):
            granted = self._count(limit, 20)
            self.assertLessEqual(granted, 20 * limit)
            self.assertGreaterEqual(granted, 19 * limit - 1)

    def test_idle_time_saves_little(self):
        """Guards against a burst after a time without requests."""
        for limit in (1.0, 40.0):
            allowed = 1.5 * 4 * limit + 5
            self.assertLessEqual(self._count(limit, 4, idle_s=100), allowed)

    def test_huge_limit_does_not_bind(self):
        """Guards against an overflow, or a wait at a limit without meaning."""
        bucket = RateBucket(0.0)
        waits = {bucket.try_take(1e60, 1.0) for _ in range(1000)}
        self.assertEqual({0.0}, waits)

    def test_clock_that_stands_still(self):
        """Guards against a wait that is negative or endless."""
        bucket = RateBucket(5.0)
        self.assertEqual(1.0, bucket.try_take(1.0, 5.0))
        self.assertEqual(1.0, bucket.try_take(1.0, 4.0))


class TestServerLimits(testtools.TestCase):
    """The newest report on a server counts."""

    def setUp(self):
        super().setUp()
        self.limits = ServerLimits()
        self.limits.observe(_SERVER, LimitReport(2.0, 10.0), _SOURCE)

    def test_late_response_does_not_withdraw(self):
        """Guards against a response of before that ends a limit."""
        self.limits.observe(_SERVER, LimitReport(None, 9.9), _SOURCE)
        self.assertEqual(2.0, self.limits.get(_SERVER))
        self.limits.observe(_SERVER, LimitReport(None, 10.1), _SOURCE)
        self.assertIsNone(self.limits.get(_SERVER))

    def test_old_report_does_not_restore(self):
        """Guards against peers that restore a limit that was withdrawn."""
        self.limits.observe(_SERVER, LimitReport(None, 11.0), _SOURCE)
        self.limits.observe(_SERVER, LimitReport(2.0, 10.5), _SOURCE)
        self.assertIsNone(self.limits.get(_SERVER))

    def test_withdrawal_is_reported_for_a_while(self):
        """Guards against entries that never learn of a withdrawal."""
        self.limits.observe(_SERVER, LimitReport(None, 11.0), _SOURCE)
        self.assertIn(_SERVER, self.limits.list_reports(20.0))
        self.assertNotIn(_SERVER, self.limits.list_reports(60.0))

    def test_change_is_reported(self):
        """Guards against waiting for a limit that is no longer in force."""
        changed = LimitReport(50.0, 10.6)
        self.assertTrue(self.limits.observe(_SERVER, changed, _SOURCE))
        same = LimitReport(50.0, 10.7)
        self.assertFalse(self.limits.observe(_SERVER, same, _SOURCE))

    def test_restarted_server_has_no_limit(self):
        """Guards against a limit of an earlier process at the same id."""
        self.limits.reset(_SERVER, 12.0)
        self.assertIsNone(self.limits.get(_SERVER))

    def test_removed_server_is_forgotten(self):
        """Guards against memory that grows with the servers of the past."""
        self.limits.retain([])
        self.assertEqual({}, self.limits.list_reports(12.0))

    def test_zero_is_probed(self):
        """Guards against a server that is never asked again."""
        self.limits.observe(_SERVER, LimitReport(0.0, 11.0), _SOURCE)
        self.assertEqual(0.25, self.limits.get_rate(_SERVER))

    def test_estimated_wait(self):
        """Guards against requests that wait although no server takes them."""
        other = InstanceId("other")
        servers = [_SERVER, other]
        self.assertEqual(0.0, self.limits.estimate_wait_s(servers, 9))
        self.limits.observe(other, LimitReport(1.0, 10.0), _SOURCE)
        self.assertEqual(0.0, self.limits.estimate_wait_s(servers, 0))
        self.assertEqual(10.0, self.limits.estimate_wait_s(servers, 30))
        self.assertEqual(0.0, self.limits.estimate_wait_s([], 30))
