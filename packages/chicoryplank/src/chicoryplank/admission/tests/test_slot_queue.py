"""Tests of the queue for requests that wait for a slot."""

import testtools

from chicoryplank.admission import SlotQueue


class TestSlotQueue(testtools.TestCase):
    """Order of grants, reserve, bounds and estimated wait."""

    def setUp(self):
        super().setUp()
        self.queue = SlotQueue(max_waiting=8)
        self.granted = []
        self.waiters = {}

    def _add(self, name, priority=1, latest_start_s=1.0):
        waiter = self.queue.add(
            priority, latest_start_s, lambda: self.granted.append(name)
        )
        self.waiters[name] = waiter
        return waiter

    def _grant(self, slots, reserve=0):
        """Grants slots to requests, which use them at once."""
        before = len(self.granted)
        self.queue.grant(slots, 0.5, reserve)
        for name in self.granted[before:]:
            self.queue.withdraw(self.waiters[name])

    def test_order_of_grants(self):
        """Guards against late requests that delay requests on time."""
        self._add("late", latest_start_s=0.1)
        self._add("fresh", latest_start_s=0.9)
        self._add("urgent", priority=0, latest_start_s=0.1)
        self._grant(1)
        self._grant(2)
        self.assertEqual(["urgent", "fresh", "late"], self.granted)

    def test_preferred_priority_goes_first(self):
        """Guards against a class below its floor that waits in vain."""
        self._add("urgent", priority=0)
        self._add("usual", priority=1)
        self._add("starved", priority=2)
        self.queue.grant(1, 0.5, preferred={2})
        self.assertEqual(["starved"], self.granted)

    def test_hopeless_requests_are_rejected(self):
        """Guards against a wait for replicas that all return too late."""
        rejected = []
        for name, gives_up_s in (("short", 1.0), ("long", 3.0)):
            self.queue.add(
                1,
                1.0,
                lambda: None,
                gives_up_s=gives_up_s,
                on_reject=lambda name=name: rejected.append(name),
            )
        self.queue.reject_before(2.0)
        self.assertEqual((["short"], 1), (rejected, len(self.queue)))

    def test_late_requests_leave_a_reserve(self):
        """Guards against a backlog whose late requests take every slot.

        After an outage the backlog of one entry would otherwise leave no slot
        to the requests of other entries that are still on time.
        """
        for name in ("late-1", "late-2"):
            self._add(name, latest_start_s=0.1)
        self._add("fresh", latest_start_s=0.9)
        self._grant(1, reserve=2)
        self.assertEqual(["fresh"], self.granted)
        self._grant(2, reserve=2)
        self.assertEqual(["fresh"], self.granted)
        self._grant(4, reserve=2)
        self.assertEqual(["fresh", "late-1", "late-2"], self.granted)

    def test_requests_on_time_are_reported(self):
        """Guards against a new request that has to wait behind late ones."""
        self._add("late", latest_start_s=0.1)
        self.assertFalse(self.queue.has_request_on_time(0.5))
        self._add("fresh", latest_start_s=0.9)
        self.assertTrue(self.queue.has_request_on_time(0.5))

    def test_equal_requests_are_granted_by_age(self):
        """Guards against a request that is starved by newer ones."""
        for name in "abc":
            self._add(name)
        self.queue.grant(5, 0.5)
        self.assertEqual(["a", "b", "c"], self.granted)

    def test_withdrawn_request_gets_no_slot(self):
        """Guards against a slot that is granted to a caller that left."""
        waiter = self._add("gone")
        self._add("here")
        self.queue.withdraw(waiter)
        self.queue.withdraw(waiter)
        self.queue.grant(1, 0.5)
        self.assertEqual(["here"], self.granted)

    def test_slot_is_granted_once(self):
        """Guards against one free slot that is granted to two requests."""
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

    def test_estimated_wait(self):
        """Guards against refusals although slots are free."""
        self.assertEqual(0.0, self.queue.estimate_wait(4, 0))
        self.queue.observe_duration(2.0)
        self.assertEqual(0.0, self.queue.estimate_wait(4, 1))
        self.assertEqual(0.5, self.queue.estimate_wait(4, 0))
        self._add("a")
        self.assertEqual(1.0, self.queue.estimate_wait(4, 0))

    def test_probe_is_the_request_with_fewest_attempts(self):
        """Guards against an outage that uses up the retry budget."""
        for name, attempts in (("sent", 1), ("new", 0), ("twice", 2)):
            self.queue.add(
                1, 1.0, lambda name=name: self.granted.append(name), attempts
            )
        self.queue.grant_probe()
        self.queue.grant_probe()
        self.assertEqual(["new", "sent"], self.granted)
