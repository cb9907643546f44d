"""Tests of the replica registry."""

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


class TestRestoredRegistrations(testtools.TestCase):
    """An older list takes nothing back that was in force."""

    def setUp(self):
        super().setUp()
        self.registry = ReplicaRegistry(registration_grace_s=2.0)
        self.registry.observe_recovery(0.0)
        self.registry.replace_all(
            [_make_record("a", started_ms=5), _make_record("b", started_ms=5)],
            5.0,
        )

    def _list(self):
        return [
            record.instance for record in self.registry.list_service(_SERVICE)
        ]

    def _restore(self, now_s, *records):
        self.registry.observe_outage()
        self.registry.observe_recovery(now_s)
        self.registry.replace_all(records, now_s, is_restored=True)

    def test_draining_replica_stays_draining(self):
        """Guards against requests to a replica that is about to leave."""
        self.registry.put(
            _make_record("a", ReplicaState.DRAINING, started_ms=5)
        )
        self._restore(8.0, _make_record("a", started_ms=5))
        record = self.registry.get(InstanceId("a"))
        self.assertIs(ReplicaState.DRAINING, record.state)

    def test_restarted_replica_is_ready(self):
        """Guards against a replica that drains for ever under one id."""
        self.registry.put(
            _make_record("a", ReplicaState.DRAINING, started_ms=5)
        )
        self.registry.put(_make_record("a", started_ms=9))
        record = self.registry.get(InstanceId("a"))
        self.assertIs(ReplicaState.READY, record.state)

    def test_replica_that_had_ended_is_not_used(self):
        """Guards against requests to a replica that has left."""
        self.registry.remove(InstanceId("a"), 6.0)
        self._restore(
            8.0,
            _make_record("a", started_ms=5),
            _make_record("b", started_ms=5),
        )
        self.assertEqual(["b"], self._list())
        self.registry.remove(InstanceId("a"), 11.0)
        self.registry.remove_expired(30.0)
        self.assertEqual(["b"], self._list())

    def test_lasting_registration_is_used(self):
        """Guards against a live replica that is never used again."""
        self.registry.remove(InstanceId("a"), 6.0)
        self._restore(8.0, _make_record("a", started_ms=5))
        self.registry.remove_expired(13.9)
        self.assertNotIn("a", self._list())
        self.assertTrue(self.registry.remove_expired(14.1))
        self.assertIn("a", self._list())

    def test_second_list_takes_nothing_back(self):
        """Guards against using a held back replica after another read."""
        self.registry.remove(InstanceId("a"), 6.0)
        self._restore(8.0, _make_record("a", started_ms=5))
        self.registry.replace_all([_make_record("a", started_ms=5)], 9.0)
        self.assertNotIn("a", self._list())

    def test_replica_that_registers_again_is_used_at_once(self):
        """Guards against waiting for a replica that is known to live."""
        self.registry.remove(InstanceId("a"), 6.0)
        self._restore(8.0, _make_record("a", started_ms=5))
        self.registry.put(_make_record("a", started_ms=5))
        self.assertIn("a", self._list())

    def test_missing_registration_is_kept_for_the_grace_period(self):
        """Guards against dropping replicas that the older copy lacks."""
        self._restore(8.0, _make_record("a", started_ms=5))
        self.assertEqual(["a", "b"], self._list())


class TestReplicaRegistry(testtools.TestCase):
    """Tests when a replica whose registration ended is dropped."""

    def setUp(self):
        super().setUp()
        self.registry = ReplicaRegistry(registration_grace_s=2.0)
        self.registry.observe_recovery(0.0)
        self.registry.replace_all([_make_record("a"), _make_record("b")], 5.0)

    def _list(self):
        return [
            record.instance for record in self.registry.list_service(_SERVICE)
        ]

    def test_removed_replica_is_dropped_immediately(self):
        """Guards against requests to a replica that has deregistered."""
        self.registry.remove(InstanceId("a"), 6.0)
        self.assertEqual(["b"], self._list())

    def test_expired_registrations_are_kept_for_the_grace_period(self):
        """Guards against services without replicas after a store outage.

        The outage makes the leases of all registrations expire.
        """
        self.registry.observe_outage()
        self.registry.observe_recovery(20.0)
        self.registry.replace_all([], 20.1)
        self.assertEqual(["a", "b"], self._list())
        self.assertFalse(self.registry.remove_expired(21.9))
        self.assertTrue(self.registry.remove_expired(22.0))
        self.assertEqual([], self._list())

    def test_replica_that_registers_again_is_kept(self):
        """Guards against dropping a replica that has registered again."""
        self.registry.observe_outage()
        self.registry.observe_recovery(20.0)
        self.registry.replace_all([], 20.1)
        self.registry.put(_make_record("a"))
        self.registry.remove_expired(23.0)
        self.assertEqual(["a"], self._list())

    def test_draining_replica_gets_no_grace_period(self):
        """Guards against requests to a replica that stopped in an outage."""
        self.registry.put(_make_record("a", ReplicaState.DRAINING))
        self.registry.observe_outage()
        self.registry.observe_recovery(20.0)
        self.registry.replace_all([_make_record("b")], 20.1)
        self.assertEqual(["b"], self._list())

    def test_latest_start_at_an_address_is_used(self):
        """Guards against requests addressed to a process that has ended.

        After a power loss, the old registrations still exist when the new ones
        appear. Every request sent to an old one wastes one of its retries.
        """
        old = _make_record("old", address="10.0.0.9:80", started_ms=1000)
        new = _make_record("new", address="10.0.0.9:80", started_ms=2000)
        self.registry.replace_all([new, old], 6.0)
        self.assertEqual(["new"], self._list())
        self.registry.remove(InstanceId("new"), 7.0)
        self.assertEqual(["old"], self._list())

    def test_latest_registration_is_used_if_start_times_are_unknown(self):
        """Guards against choosing by name between two starts."""
        old = _make_record("z-old", address="10.0.0.9:80")
        new = dataclasses.replace(
            _make_record("a-new", address="10.0.0.9:80"), created_revision=9
        )
        self.registry.replace_all([old, new], 6.0)
        self.assertEqual(["a-new"], self._list())

    def test_replicas_are_kept_while_the_store_is_unavailable(self):
        """Guards against dropping replicas during a second outage."""
        self.registry.observe_outage()
        self.registry.observe_recovery(20.0)
        self.registry.replace_all([], 20.1)
        self.registry.observe_outage()
        self.assertFalse(self.registry.remove_expired(60.0))
        self.assertEqual(["a", "b"], self._list())


class TestUnknownServices(testtools.TestCase):
    """A registration for a service that is not configured has no effect."""

    def setUp(self):
        super().setUp()
        self.registry = ReplicaRegistry(registration_grace_s=2.0)
        self.registry.observe_recovery(0.0)
        own = _make_record("a", address="10.0.0.1:80", started_ms=5)
        other = _make_record("b", address="10.0.0.1:80", started_ms=9)
        self.registry.put(own)
        self.registry.put(
            dataclasses.replace(other, service=ServiceId("unknown"))
        )

    def _list(self):
        return [
            record.instance for record in self.registry.list_service(_SERVICE)
        ]

    def test_address_stays_with_the_known_service(self):
        """Guards against a registration that takes a replica's address."""
        self.assertEqual([], self._list())
        self.registry.set_services({_SERVICE})
        self.assertEqual(["a"], self._list())

    def test_service_that_becomes_known_is_used(self):
        """Guards against replicas that are ignored after a new version."""
        self.registry.set_services({_SERVICE})
        self.registry.set_services({_SERVICE, ServiceId("unknown")})
        self.assertEqual([], self._list())
        found = self.registry.list_service(ServiceId("unknown"))
        self.assertEqual(["b"], [record.instance for record in found])
