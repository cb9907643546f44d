"""Load pattern: all slots are taken for a moment."""

import testtools

from chicoryplank.admission import PlaceQueue


class TestPlaceQueue(testtools.TestCase):
    """Places go to the most urgent, then to those that can be in time."""

    def setUp(self):
        super().setUp()
        self.queue = PlaceQueue(max_waiting=8)
        self.granted = []
        self.waiters = {}

    def _add(self, name, priority=1, fresh_until_s=1.0):
        waiter = self.queue.add(
            priority, fresh_until_s, lambda: self.granted.append(name)
        )
        self.waiters[name] = waiter
        return waiter

    def _grant(self, places, reserve=0):
        """Grants places to requests, which go on with them at once."""
        before = len(self.granted)
        self.queue.grant(places, 0.5, reserve)
        for name in self.granted[before:]:
            self.queue.withdraw(self.waiters[name])

    def test_order(self):
        """Guards against late requests that make fresh ones late too."""
        self._add("late", fresh_until_s=0.1)
        self._add("fresh", fresh_until_s=0.9)
        self._add("urgent", priority=0, fresh_until_s=0.1)
        self._grant(1)
        self._grant(2)
        self.assertEqual(["urgent", "fresh", "late"], self.granted)

    def test_late_requests_leave_a_reserve(self):
        """Guards against a backlog whose late requests take every place.

        Answers the pattern "one entry has a backlog after an outage, and the
        fresh requests of all others find no place".
        """
        for name in ("late-1", "late-2"):
            self._add(name, fresh_until_s=0.1)
        self._add("fresh", fresh_until_s=0.9)
        self._grant(1, reserve=2)
        self.assertEqual(["fresh"], self.granted)
        self._grant(2, reserve=2)
        self.assertEqual(["fresh"], self.granted)
        self._grant(4, reserve=2)
        self.assertEqual(["fresh", "late-1", "late-2"], self.granted)

    def test_fresh_requests_are_noticed(self):
        """Guards against a new request that waits behind late ones."""
        self._add("late", fresh_until_s=0.1)
        self.assertFalse(self.queue.has_fresh(0.5))
        self._add("fresh", fresh_until_s=0.9)
        self.assertTrue(self.queue.has_fresh(0.5))

    def test_equal_requests_are_served_by_age(self):
        """Guards against a request that newer ones overtake for ever."""
        for name in "abc":
            self._add(name)
        self.queue.grant(5, 0.5)
        self.assertEqual(["a", "b", "c"], self.granted)

    def test_withdrawn_request_gets_no_place(self):
        """Guards against a place that is given to a caller who left."""
        waiter = self._add("gone")
        self._add("here")
        self.queue.withdraw(waiter)
        self.queue.withdraw(waiter)
        self.queue.grant(1, 0.5)
        self.assertEqual(["here"], self.granted)

    def test_place_is_given_once(self):
        """Guards against one free place that two requests get."""
        first = self._add("first")
        self._add("second")
        self.queue.grant(1, 0.5)
        self.queue.grant(1, 0.5)
        self.assertEqual(["first"], self.granted)
        self.queue.withdraw(first)
        self.queue.grant(1, 0.5)
        self.assertEqual(["first", "second"], self.granted)

    def test_queue_is_bounded(self):
        """Guards against a queue that grows without limit."""
        for number in range(8):
            self._add(number)
        self.assertIsNone(self._add("over"))

    def test_wait_follows_places_and_durations(self):
        """Guards against refusals although places are free."""
        self.assertEqual(0.0, self.queue.estimate_wait(4, 0))
        self.queue.observe_duration(2.0)
        self.assertEqual(0.0, self.queue.estimate_wait(4, 1))
        self.assertEqual(0.5, self.queue.estimate_wait(4, 0))
        self._add("a")
        self.assertEqual(1.0, self.queue.estimate_wait(4, 0))

    def test_probe_is_a_request_that_was_never_sent(self):
        """Guards against an outage that uses up the budget of repeats."""
        for name, sends in (("sent", 1), ("new", 0), ("twice", 2)):
            self.queue.add(
                1, 1.0, lambda name=name: self.granted.append(name), sends
            )
        self.queue.grant_probe()
        self.queue.grant_probe()
        self.assertEqual(["new", "sent"], self.granted)
