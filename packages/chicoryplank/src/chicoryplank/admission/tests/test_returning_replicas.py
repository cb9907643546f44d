"""Tests of the limits on replicas that return after a crash."""

import testtools

from chicoryplank.admission import ReturningReplicas
from chicoryplank.ids import InstanceId

_A = InstanceId("a")
_SLOTS = 12


class TestReturningReplicas(testtools.TestCase):
    """Load pattern: harmful requests among those that wait for a replica."""

    def setUp(self):
        super().setUp()
        self.returning = ReturningReplicas()
        self.returning.observe_start(_A, 10.0)

    def get_places(self, now_s):
        return self.returning.get_places(_A, _SLOTS, now_s)

    def test_number_grows_with_each_survival(self):
        """Guards against losing all waiting requests to one of them."""
        places = [self.get_places(10.0)]
        for number in range(3):
            now_s = 10.3 + 0.3 * number
            self.returning.observe_survival(_A, now_s - 0.2, now_s)
            places.append(self.get_places(now_s))
        self.assertEqual([1, 3, 9, None], places)

    def test_number_grows_with_time(self):
        """Guards against an entry whose replica other entries occupy."""
        places = [self.get_places(at) for at in (10.5, 10.7, 11.3, 11.9)]
        self.assertEqual([1, 3, 9, None], places)

    def test_request_from_before_the_return(self):
        """Guards against trust in a replica for what its former start did."""
        self.assertFalse(self.returning.observe_survival(_A, 9.9, 10.2))
        self.assertEqual(1, self.get_places(10.2))

    def test_one_request_counts_once(self):
        """Guards against a number that grows with each event of a stream."""
        for now_s in (10.2, 10.3, 10.4):
            self.returning.observe_survival(_A, 10.1, now_s)
        self.assertEqual(3, self.get_places(10.4))

    def test_further_crash(self):
        """Guards against a flood after the second crash in a row."""
        self.returning.observe_survival(_A, 10.1, 10.2)
        self.returning.observe_crash(_A, 10.3)
        self.assertEqual(1, self.get_places(14.0))
        self.returning.observe_start(_A, 14.1)
        self.assertEqual(1, self.get_places(14.2))

    def test_replica_that_does_not_start_again(self):
        """Guards against a limit on a replica that did not crash at all."""
        self.returning.observe_crash(_A, 10.0)
        self.assertEqual(None, self.get_places(15.1))

    def test_unregistered_replica(self):
        """Guards against memory that grows with each replica that crashed."""
        self.returning.retain(())
        self.assertEqual(None, self.get_places(10.1))
