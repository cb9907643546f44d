"""Tests of avoiding groups that one slow rank holds back."""

import testtools

from chicoryplank.admission import SlowReplicas, find_slow_replicas
from chicoryplank.ids import InstanceId

_A, _B, _C, _D = map(InstanceId, "abcd")


class TestFindSlowReplicas(testtools.TestCase):
    """All ranks of a group are as slow as the slowest one."""

    def test_whole_group_is_avoided(self):
        """Guards against requests to the other ranks of a slow group."""
        paces = {"g": {_A: 1.0, _B: 12.0}, "h": {_C: 1.0, _D: 1.1}}
        self.assertEqual({_A, _B}, find_slow_replicas(paces))

    def test_slightly_slow_group_is_used(self):
        """Guards against leaving capacity idle that keeps the pace."""
        paces = {"g": {_A: 1.0, _B: 1.6}, "h": {_C: 1.0, _D: 1.0}}
        self.assertEqual(frozenset(), find_slow_replicas(paces))

    def test_slow_groups_are_used_if_none_is_fast(self):
        """Guards against overloading one slow group to avoid another."""
        paces = {"g": {_A: 1.0, _B: 5.0}, "h": {_C: 4.0, _D: 1.0}}
        self.assertEqual(frozenset(), find_slow_replicas(paces))

    def test_only_group_is_used(self):
        """Guards against a service without replicas."""
        self.assertEqual(frozenset(), find_slow_replicas({"g": {_A: 9.0}}))
        self.assertEqual(frozenset(), find_slow_replicas({}))


class TestSlowReplicas(testtools.TestCase):
    """Reports expire, so that a recovered group is used again."""

    def test_report_expires(self):
        """Guards against avoiding a group after its controller is gone."""
        slow = SlowReplicas()
        slow.observe([_A], 10.0)
        self.assertEqual({_A}, slow.list_avoided([_A, _C], 10.5))
        self.assertEqual(frozenset(), slow.list_avoided([_A, _C], 11.5))

    def test_older_report_is_ignored(self):
        """Guards against a report that was forwarded by a slow path."""
        slow = SlowReplicas()
        slow.observe([], 10.0)
        slow.observe([_A], 9.9)
        self.assertEqual(frozenset(), slow.list_avoided([_A, _C], 10.1))

    def test_no_service_is_avoided_completely(self):
        """Guards against requests that wait although replicas are free."""
        slow = SlowReplicas()
        slow.observe([_A, _B], 10.0)
        self.assertEqual(frozenset(), slow.list_avoided([_A], 10.1))
