"""Load pattern: several entries fill the same few slots."""

import testtools

from chicoryplank.admission import Occupancy
from chicoryplank.ids import InstanceId

_A = InstanceId("a")


class TestOccupancy(testtools.TestCase):
    """Own requests and those of the other entries count together."""

    def test_counts_of_all_entries(self):
        """Guards against entries that each see free slots."""
        occupancy = Occupancy()
        occupancy.begin(_A)
        occupancy.observe_peer("p", {_A: 2}, 0.0)
        occupancy.observe_peer("q", {_A: 3}, 0.0)
        self.assertEqual(6, occupancy.count(_A))
        occupancy.observe_peer("p", {}, 0.1)
        self.assertEqual(4, occupancy.count(_A))
        self.assertEqual({_A: 1}, occupancy.list_own())

    def test_silent_entry_is_forgotten(self):
        """Guards against slots that a dead entry keeps for ever."""
        occupancy = Occupancy()
        occupancy.observe_peer("p", {_A: 2}, 0.0)
        occupancy.forget_peers(1.9)
        self.assertEqual(2, occupancy.count(_A))
        occupancy.forget_peers(2.1)
        self.assertEqual(0, occupancy.count(_A))

    def test_full_replica_is_passed_over_for_a_moment(self):
        """Guards against sending again to a replica that just rejected."""
        occupancy = Occupancy()
        occupancy.observe_full(_A, 0.0)
        self.assertTrue(occupancy.is_refusing(_A, 0.1))
        self.assertFalse(occupancy.is_refusing(_A, 0.2))

    def test_ends_do_not_go_below_zero(self):
        """Guards against a replica that seems emptier than it is."""
        occupancy = Occupancy()
        occupancy.begin(_A)
        occupancy.end(_A)
        self.assertEqual({}, occupancy.list_own())
