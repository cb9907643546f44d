"""Tests of the circuit breaker for outages of a whole group."""

import testtools

from chicoryplank.admission import CircuitBreaker


class TestCircuitBreaker(testtools.TestCase):
    """Opening, closing and probes of the breaker."""

    def test_probe_rate_is_bounded_during_outage(self):
        """Guards against an outage that uses up the retry budget."""
        breaker = CircuitBreaker()
        breaker.observe_outage(0.0)
        probes = sum(breaker.try_probe(tick / 1000) for tick in range(2000))
        self.assertTrue(5 <= probes <= 10, probes)

    def test_output_closes_the_breaker(self):
        """Guards against requests held back although the group runs again."""
        breaker = CircuitBreaker()
        breaker.observe_outage(0.0)
        self.assertTrue(breaker.observe_progress(0.5))
        self.assertFalse(breaker.is_open)
        self.assertFalse(breaker.observe_progress(0.6))

    def test_no_output_with_requests_is_a_stall(self):
        """Guards against requests that are sent to a stalled group."""
        breaker = CircuitBreaker()
        breaker.observe_progress(0.0)
        self.assertFalse(breaker.check_stalled(3, 0.5))
        self.assertFalse(breaker.check_stalled(3, 1.3))
        self.assertTrue(breaker.check_stalled(3, 1.5))

    def test_idle_service_is_not_stalled(self):
        """Guards against an idle service that is taken for a stalled one."""
        breaker = CircuitBreaker()
        breaker.observe_progress(0.0)
        self.assertFalse(breaker.check_stalled(0, 50.0))
        self.assertFalse(breaker.check_stalled(1, 50.1))


class TestExpectedReturn(testtools.TestCase):
    """Load pattern: a group falls and forms again several times in turn."""

    def test_return_follows_earlier_outages(self):
        """Guards against callers that come back while the group still forms."""
        breaker = CircuitBreaker()
        breaker.observe_outage(0.0)
        self.assertEqual(0.0, breaker.estimate_return_s(1.0))
        breaker.observe_progress(3.2)
        breaker.observe_outage(10.0)
        self.assertAlmostEqual(2.2, breaker.estimate_return_s(11.0))
        breaker.observe_progress(13.0)
        self.assertEqual(0.0, breaker.estimate_return_s(13.0))

    def test_longer_outage_has_no_expected_return(self):
        """Guards against refusals that name a time which has passed."""
        breaker = CircuitBreaker()
        breaker.observe_outage(0.0)
        breaker.observe_progress(1.0)
        breaker.observe_outage(5.0)
        self.assertEqual(0.0, breaker.estimate_return_s(9.0))
