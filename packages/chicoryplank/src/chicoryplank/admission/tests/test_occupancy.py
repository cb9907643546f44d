"""Tests of in-flight counts that several entries exchange."""

import testtools

from chicoryplank.admission import Occupancy
from chicoryplank.ids import InstanceId

_A = InstanceId("a")


class TestOccupancy(testtools.TestCase):
    """Counts of this entry and of its peers."""

    def test_counts_of_all_entries(self):
        """Guards against entries that each count only their own requests.

        They would all see free slots and overfill the replica.
        """
        occupancy = Occupancy()
        occupancy.begin(_A)
        occupancy.observe_peer("p", {_A: 2}, 0.0)
        occupancy.observe_peer("q", {_A: 3}, 0.0)
        self.assertEqual(6, occupancy.count(_A))
        occupancy.observe_peer("p", {}, 0.1)
        self.assertEqual(4, occupancy.count(_A))
        self.assertEqual({_A: 1}, occupancy.get_own_counts())

    def test_counts_of_silent_entry_expire(self):
        """Guards against slots that stay counted for an entry that died."""
        occupancy = Occupancy()
        occupancy.observe_peer("p", {_A: 2}, 0.0)
        occupancy.expire_peers(1.9)
        self.assertEqual(2, occupancy.count(_A))
        occupancy.expire_peers(2.1)
        self.assertEqual(0, occupancy.count(_A))

    def test_counts_return_to_zero(self):
        """Guards against a replica that looks emptier than it is.

        Counts that are not removed at zero could become negative.
        """
        occupancy = Occupancy()
        occupancy.begin(_A)
        occupancy.end(_A)
        self.assertEqual({}, occupancy.get_own_counts())
