"""Tests of the registry of replicas."""

import dataclasses

import testtools

from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.traffic import (
    ReplicaRecord,
    ReplicaRegistry,
    ReplicaState,
)

_SERVICE = ServiceId("llm")


def _make_record(name, state=ReplicaState.READY, address=None, started_ms=0):
    return ReplicaRecord(
        InstanceId(name),
        _SERVICE,
        address or f"{name}:80",
        ZoneId("hall-a"),
        6,
        state,
        started_ms,
    )


class TestReplicaRegistry(testtools.TestCase):
    """Registrations end at once, except around an outage of the store."""

    def setUp(self):
        super().setUp()
        self.registry = ReplicaRegistry(return_grace_s=2.0)
        self.registry.observe_return(0.0)
        self.registry.replace([_make_record("a"), _make_record("b")], 5.0)

    def _list(self):
        return [
            record.instance for record in self.registry.list_service(_SERVICE)
        ]

    def test_removed_replica_is_gone_at_once(self):
        """Guards against requests to a replica that has left."""
        self.registry.remove(InstanceId("a"), 6.0)
        self.assertEqual(["b"], self._list())

    def test_lapsed_replicas_are_kept_until_they_can_return(self):
        """Guards against a fleet without replicas after an outage."""
        self.registry.observe_outage()
        self.registry.observe_return(20.0)
        self.registry.replace([], 20.1)
        self.assertEqual(["a", "b"], self._list())
        self.assertFalse(self.registry.sweep(21.9))
        self.assertTrue(self.registry.sweep(22.0))
        self.assertEqual([], self._list())

    def test_returned_replica_stays(self):
        """Guards against dropping a replica that has registered again."""
        self.registry.observe_outage()
        self.registry.observe_return(20.0)
        self.registry.replace([], 20.1)
        self.registry.put(_make_record("a"))
        self.registry.sweep(23.0)
        self.assertEqual(["a"], self._list())

    def test_draining_replica_is_not_kept(self):
        """Guards against requests to a replica that left in the outage."""
        self.registry.put(_make_record("a", ReplicaState.DRAINING))
        self.registry.observe_outage()
        self.registry.observe_return(20.0)
        self.registry.replace([_make_record("b")], 20.1)
        self.assertEqual(["b"], self._list())

    def test_restarted_replica_replaces_the_one_before(self):
        """Guards against requests that expect a process that has ended.

        After a power loss the old registrations are still there when the new
        ones appear; each request to an old one is a repeat that is lost.
        """
        old = _make_record("old", address="10.0.0.9:80", started_ms=1000)
        new = _make_record("new", address="10.0.0.9:80", started_ms=2000)
        self.registry.replace([new, old], 6.0)
        self.assertEqual(["new"], self._list())
        self.registry.remove(InstanceId("new"), 7.0)
        self.assertEqual(["old"], self._list())

    def test_later_registration_counts_where_starts_are_unknown(self):
        """Guards against a choice by name between two starts."""
        old = _make_record("z-old", address="10.0.0.9:80")
        new = dataclasses.replace(
            _make_record("a-new", address="10.0.0.9:80"), created_revision=9
        )
        self.registry.replace([old, new], 6.0)
        self.assertEqual(["a-new"], self._list())

    def test_replicas_stay_while_the_store_is_away(self):
        """Guards against a sweep that takes silence for an end."""
        self.registry.observe_outage()
        self.registry.observe_return(20.0)
        self.registry.replace([], 20.1)
        self.registry.observe_outage()
        self.assertFalse(self.registry.sweep(60.0))
        self.assertEqual(["a", "b"], self._list())
