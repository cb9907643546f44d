"""Tests of revisions and leases that contain the era of the store."""

import testtools

from chicoryplank.eras import (
    join_lease,
    join_revision,
    split_lease,
    split_revision,
)


class TestRevisions(testtools.TestCase):
    """Revisions rise over eras, although the store repeats its numbers."""

    def test_later_era_is_greater(self):
        """Guards against a fencing token that falls after a restore."""
        self.assertGreater(join_revision(1, 5), join_revision(0, 4_000_000))

    def test_first_era_is_unchanged(self):
        """Guards against other revisions on a store without eras."""
        self.assertEqual(77, join_revision(0, 77))
        self.assertEqual(77, join_lease(0, 77))

    def test_parts_are_found_again(self):
        """Guards against a call with a number that the store did not give."""
        self.assertEqual((3, 77), split_revision(join_revision(3, 77)))
        lease = 98_906_195_976_341
        self.assertEqual((3, lease), split_lease(join_lease(3, lease)))

    def test_numbers_out_of_range_are_rejected(self):
        """Guards against a number that looks like one of a later era."""
        self.assertRaises(ValueError, join_revision, 0, 1 << 32)
        self.assertRaises(ValueError, join_revision, 0, -1)
        self.assertRaises(ValueError, join_revision, -1, 1)
