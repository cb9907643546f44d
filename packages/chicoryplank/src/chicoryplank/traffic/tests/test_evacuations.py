"""Tests of the set of evacuated zones."""

import testtools

from chicoryplank.ids import ZoneId
from chicoryplank.traffic import ZoneEvacuations

_A = ZoneId("a")
_B = ZoneId("b")


class TestZoneEvacuations(testtools.TestCase):
    """Zones are evacuated exactly while the operator wants it."""

    def setUp(self):
        super().setUp()
        self.evacuations = ZoneEvacuations()
        self.evacuations.begin(_A)

    def test_begin_and_end(self):
        """Guards against an end that is delayed or ends another zone."""
        self.evacuations.begin(_B)
        self.evacuations.end(_A)
        self.evacuations.end(ZoneId("unknown"))
        self.assertEqual({_B}, self.evacuations.zones)

    def test_reload_ends_missing_zones(self):
        """Guards against a zone that stays evacuated without its key."""
        kept = self.evacuations.replace_all([_B], 1.0)
        self.assertEqual((set(), {_B}), (kept, self.evacuations.zones))

    def test_restore_keeps_missing_zones_for_a_while(self):
        """Guards against requests before the operator wrote again."""
        kept = self.evacuations.replace_all([_B], 1.0, is_restored=True)
        self.assertEqual({_A}, kept)
        self.assertFalse(self.evacuations.remove_expired(6.9))
        self.assertEqual({_A, _B}, self.evacuations.zones)
        self.assertTrue(self.evacuations.remove_expired(7.0))
        self.assertEqual({_B}, self.evacuations.zones)

    def test_write_after_a_restore_confirms_the_zone(self):
        """Guards against an end although the key was written again."""
        for confirm in (
            lambda: self.evacuations.begin(_A),
            lambda: self.evacuations.replace_all([_A], 2.0),
        ):
            self.evacuations.replace_all([], 1.0, is_restored=True)
            confirm()
            self.assertFalse(self.evacuations.remove_expired(20.0))
            self.assertEqual({_A}, self.evacuations.zones)

    def test_deletion_after_a_restore_ends_the_evacuation(self):
        """Guards against an operator's end that waits for the 6 s."""
        self.evacuations.replace_all([], 1.0, is_restored=True)
        self.evacuations.end(_A)
        self.assertEqual(frozenset(), self.evacuations.zones)

    def test_reload_after_a_restore_keeps_the_time(self):
        """Guards against a reload that ends or extends the 6 s."""
        self.evacuations.replace_all([], 1.0, is_restored=True)
        kept = self.evacuations.replace_all([], 5.0)
        self.assertEqual({_A}, kept)
        self.assertTrue(self.evacuations.remove_expired(7.0))

    def test_second_restore_extends_the_time(self):
        """Guards against an end before the operator wrote a second time."""
        self.evacuations.replace_all([], 1.0, is_restored=True)
        self.evacuations.replace_all([], 5.0, is_restored=True)
        self.assertFalse(self.evacuations.remove_expired(10.9))
        self.assertTrue(self.evacuations.remove_expired(11.0))
