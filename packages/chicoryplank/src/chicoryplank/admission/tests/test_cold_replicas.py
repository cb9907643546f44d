"""Tests of the times for which replicas count as cold.

Load pattern: replicas that start, while their registrations are read again and
again.
"""

import dataclasses
from datetime import timedelta

import testtools

from chicoryplank.admission import (
    PERMIT_VALIDITY_S,
    ColdReplicas,
    compute_issue_rate,
)
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.traffic import ReplicaRecord, ReplicaState, Service

_REPLICA = InstanceId("a")
_SERVICE = Service(
    ServiceId("llm"), cold_start=timedelta(seconds=3), cold_requests_per_s=14.0
)


def _make_record(remaining_s=0.0, started_ms=1_000, revision=1):
    remaining = None
    if remaining_s is not None:
        remaining = timedelta(seconds=remaining_s)
    return ReplicaRecord(
        _REPLICA,
        _SERVICE.name,
        "10.0.0.1:1",
        ZoneId("z"),
        5,
        ReplicaState.READY,
        started_ms,
        cold_remaining=remaining,
        revision=revision,
    )


class TestColdReplicas(testtools.TestCase):
    """A replica is cold as long as any source says so."""

    def setUp(self):
        super().setUp()
        self.cold = ColdReplicas()

    def _read(self, now_s, service=_SERVICE, **fields):
        self.cold.observe_registration(_make_record(**fields), service, now_s)
        return self.cold.get_remaining_s(_REPLICA, now_s)

    def test_registration_says_how_long(self):
        """Guards against a remaining time that is ignored or repeated."""
        self.assertEqual(2.0, self._read(10.0, remaining_s=2.0))
        self.assertEqual(0.5, self._read(11.5, remaining_s=2.0))
        self.assertFalse(self.cold.is_cold(_REPLICA, 12.0))

    def test_record_without_revision_counts_once(self):
        """Guards against a cold time that never ends for unknown revisions."""
        record = _make_record(2.0, revision=0)
        for now_s in (10.0, 11.0):
            self.cold.observe_registration(record, _SERVICE, now_s)
        self.assertFalse(self.cold.is_cold(_REPLICA, 12.0))

    def test_replica_may_become_cold_again(self):
        """Guards against a later registration that is taken for the first."""
        self._read(10.0)
        self.assertEqual(3.0, self._read(50.0, remaining_s=3.0, revision=2))

    def test_newer_start(self):
        """Guards against trust in a remaining time from before the start."""
        self.assertEqual(0.0, self._read(10.0))
        self.assertEqual(3.0, self._read(20.0, started_ms=2_000, revision=2))
        self.assertEqual(
            2.0, self._read(21.0, started_ms=2_000, revision=3), "too early"
        )

    def test_start_after_a_lapse(self):
        """Guards against a restart that the registry saw as a new replica."""
        self._read(10.0)
        self.cold.retain(set(), 11.0)
        self.assertEqual(3.0, self._read(12.0, started_ms=2_000, revision=2))

    def test_registration_that_ended_is_forgotten(self):
        """Guards against a table that grows with each replica."""
        self._read(10.0, remaining_s=3.0)
        self.cold.retain(set(), 11.0)
        self.cold.retain(set(), 72.0)
        self.assertIsNone(self.cold.get_requests_per_s(_REPLICA))

    def test_unreadable_time(self):
        """Guards against an unreadable time that counts as warm."""
        self.assertEqual(3.0, self._read(10.0, remaining_s=None))

    def test_known_replica_that_says_it_is_warm(self):
        """Guards against coldness that outlasts the word of the replica."""
        self._read(10.0)
        self.cold.observe_readmission([_REPLICA], 20.0)
        self.assertTrue(self.cold.is_cold(_REPLICA, 20.0))
        # The registration from before the evacuation says nothing of its end.
        self.assertEqual(2.0, self._read(21.0))
        self.assertEqual(0.0, self._read(21.0, revision=2))

    def test_registration_in_the_batch_that_ends_an_evacuation(self):
        """Guards against an older registration that is applied later."""
        self._read(10.0)
        self.cold.observe_readmission([_REPLICA], 20.0, revision=7)
        self.assertEqual(3.0, self._read(20.0, revision=6))
        self.assertEqual(0.0, self._read(20.0, revision=8))

    def test_report_of_another_entry(self):
        """Guards against an issuer that does not know the replica yet."""
        self.cold.observe_report(_REPLICA, 2.0, 10.0)
        self.assertTrue(self.cold.is_cold(_REPLICA, 11.0))
        self.assertIsNone(self.cold.get_requests_per_s(_REPLICA))
        self.assertEqual(1.0, self._read(11.0))
        self.assertEqual(14.0, self.cold.get_requests_per_s(_REPLICA))
        for value in (-1.0, float("nan"), float("inf")):
            self.assertRaises(
                ValueError, self.cold.observe_report, _REPLICA, value, 11.0
            )

    def test_implausible_time(self):
        """Guards against a time that other entries reject in a question."""
        remaining_s = self._read(10.0, remaining_s=1e6)
        ColdReplicas().observe_report(_REPLICA, remaining_s, 10.0)

    def test_services_without_a_bound(self):
        """Guards against limits on services that do not ask for any."""
        for rate in (0.0, -1.0, float("nan"), float("inf")):
            service = dataclasses.replace(_SERVICE, cold_requests_per_s=rate)
            self.assertEqual(0.0, self._read(1.0, service, remaining_s=None))
            self.cold.observe_readmission([_REPLICA], 1.0)
            self.assertEqual(frozenset(), self.cold.list_cold(1.0))

    def test_bound_that_is_switched_off(self):
        """Guards against coldness that outlasts the setting."""
        self._read(10.0, remaining_s=3.0)
        service = dataclasses.replace(_SERVICE, cold_requests_per_s=0.0)
        self.assertEqual(0.0, self._read(11.0, service, remaining_s=3.0))


class TestComputeIssueRate(testtools.TestCase):
    """Two issuers stay within the bound."""

    def test_all_bounds(self):
        """Guards against a rate that ignores the validity or the burst."""
        self.assertAlmostEqual(10.0, compute_issue_rate(26.0)[0])
        for bound in range(2, 300):
            rate, capacity = compute_issue_rate(float(bound))
            granted = int(capacity + rate * (1 + PERMIT_VALIDITY_S) + 1e-9)
            self.assertLessEqual(2 * granted, bound)
            self.assertGreaterEqual(capacity, 1.0)
