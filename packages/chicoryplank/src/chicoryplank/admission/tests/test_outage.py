"""Load pattern: a whole group is down, and every request tries by itself."""

import testtools

from chicoryplank.admission import OutageGate


class TestOutageGate(testtools.TestCase):
    """One request at a time tries whether a service is back."""

    def test_tries_are_few_while_the_group_is_down(self):
        """Guards against an outage that uses up the budget of repeats."""
        gate = OutageGate()
        gate.observe_down(0.0)
        tries = sum(gate.take_probe(tick / 1000) for tick in range(2000))
        self.assertTrue(5 <= tries <= 10, tries)

    def test_output_ends_the_outage(self):
        """Guards against requests that wait although the group runs."""
        gate = OutageGate()
        gate.observe_down(0.0)
        self.assertTrue(gate.observe_progress(0.5))
        self.assertFalse(gate.is_down)
        self.assertFalse(gate.observe_progress(0.6))

    def test_silence_with_requests_is_a_standstill(self):
        """Guards against sending into a group that stalls."""
        gate = OutageGate()
        gate.observe_progress(0.0)
        self.assertFalse(gate.check_still(3, 0.5))
        self.assertFalse(gate.check_still(3, 1.3))
        self.assertTrue(gate.check_still(3, 1.5))

    def test_idle_service_does_not_stand_still(self):
        """Guards against an outage that is only a lack of requests."""
        gate = OutageGate()
        gate.observe_progress(0.0)
        self.assertFalse(gate.check_still(0, 50.0))
        self.assertFalse(gate.check_still(1, 50.1))
