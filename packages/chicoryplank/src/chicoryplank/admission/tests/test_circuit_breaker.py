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
