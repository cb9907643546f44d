"""Tests of the replicas that get no new request for a time.

Load pattern: some replicas of a service leave, pause or are full while the
others take their requests.
"""

import testtools

from chicoryplank.admission import (
    UNUSABLE,
    HoldReason,
    MalformedPauseError,
    ReplicaHolds,
    parse_pause,
)
from chicoryplank.ids import InstanceId

_A = InstanceId("a")
_B = InstanceId("b")
_FOREVER = float("inf")


class TestReplicaHolds(testtools.TestCase):
    """Ends of holds by time, by a new start and by a lapsed registration."""

    def setUp(self):
        super().setUp()
        self.holds = ReplicaHolds()

    def test_full_state_expires(self):
        """Guards against a request to a replica that rejected one just now."""
        self.holds.hold(_A, HoldReason.FULL, 0.15)
        self.assertTrue(self.holds.is_held(_A, 0.1))
        self.assertFalse(self.holds.is_held(_A, 0.2))

    def test_full_replica_has_usable_slots(self):
        """Guards against refusals while a slot is about to be free."""
        self.holds.hold(_A, HoldReason.FULL, 0.15)
        self.assertEqual(frozenset(), self.holds.list_held(0.1, UNUSABLE))
        self.assertEqual(0.0, self.holds.estimate_wait_s([_A], 0.1))

    def test_reasons_end_on_their_own(self):
        """Guards against a short hold that ends or extends a longer one."""
        self.holds.hold(_A, HoldReason.PAUSE, 3.0)
        self.holds.hold(_A, HoldReason.LIMIT, 1.0)
        self.holds.release(_A, HoldReason.LIMIT)
        self.assertEqual({_A}, self.holds.list_held(2.0))
        self.assertEqual(frozenset(), self.holds.list_held(3.0))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against an older response that ends a newer pause."""
        self.assertTrue(self.holds.hold(_A, HoldReason.PAUSE, 5.0))
        self.assertFalse(self.holds.hold(_A, HoldReason.PAUSE, 2.0))
        self.assertTrue(self.holds.is_held(_A, 4.0))

    def test_new_start_ends_holds(self):
        """Guards against a restarted replica that gets no request."""
        self.holds.hold(_A, HoldReason.LEAVING, _FOREVER, started_ms=100)
        self.holds.observe_start(_A, 100)
        self.assertTrue(self.holds.is_held(_A, 1.0))
        self.holds.observe_start(_A, 200)
        self.assertFalse(self.holds.is_held(_A, 1.0))

    def test_word_of_an_earlier_start_is_replaced(self):
        """Guards against a leaving replica that a new start does not lift."""
        self.holds.hold(_A, HoldReason.PAUSE, 9.0, started_ms=100)
        self.holds.hold(_A, HoldReason.PAUSE, 2.0, started_ms=200)
        self.assertFalse(self.holds.is_held(_A, 3.0))

    def test_lapsed_registration_keeps_holds(self):
        """Guards against a leaving replica whose lease lapses for a moment."""
        self.holds.hold(_A, HoldReason.LEAVING, _FOREVER, started_ms=100)
        self.holds.retain([], 10.0)
        self.holds.observe_start(_A, 100)
        self.assertTrue(self.holds.is_held(_A, 20.0))

    def test_removed_replicas_are_forgotten(self):
        """Guards against memory that grows with the replicas of the past."""
        self.holds.hold(_A, HoldReason.LEAVING, _FOREVER)
        self.holds.retain([], 0.0)
        self.assertEqual(frozenset(), self.holds.list_held(100.0))

    def test_estimated_wait(self):
        """Guards against requests that wait for replicas that all pause."""
        self.holds.hold(_A, HoldReason.PAUSE, 3.0)
        self.assertEqual(0.0, self.holds.estimate_wait_s([_A, _B], 1.0))
        self.holds.hold(_B, HoldReason.PAUSE, 5.0)
        self.assertEqual(2.0, self.holds.estimate_wait_s([_A, _B], 1.0))

    def test_leaving_replicas_have_no_return(self):
        """Guards against a wait for a pause of a replica that leaves."""
        self.holds.hold(_A, HoldReason.PAUSE, 2.0)
        self.holds.hold(_A, HoldReason.LEAVING, _FOREVER)
        self.holds.hold(_B, HoldReason.PAUSE, 5.0)
        self.assertEqual(4.0, self.holds.estimate_wait_s([_A, _B], 1.0))
        self.assertEqual(0.0, self.holds.estimate_wait_s([_A], 1.0))


class TestParsePause(testtools.TestCase):
    """Values of Retry-After."""

    def test_values(self):
        """Guards against a value without meaning that is taken for a time."""
        self.assertEqual(2.5, parse_pause(" 2.5 "))
        for text in ("", "-1", "nan", "soon", "Fri, 04 Dec 2026 15:00:00 GMT"):
            self.assertRaises(MalformedPauseError, parse_pause, text)
