"""Tests of replicas that restart under their previous id.

Load pattern: replicas are replaced during traffic, and each new process
registers under the id of the one before.
"""

import asyncio
import dataclasses
import random
from datetime import timedelta

import testtools

from chicoryplank.admission import HoldReason, RetryBudgetParameters
from chicoryplank.clock import ManualClock
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.traffic import ReplicaRecord, ReplicaState
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    respond,
)

_SERVICE = ServiceId("llm")
_NAME = InstanceId("a")
_OTHER = InstanceId("b")
_FIRST_MS = 1_772_000_000_000
_LATER_MS = _FIRST_MS + 60_000


def _make_record(name=_NAME, started_ms=_FIRST_MS):
    return ReplicaRecord(
        name,
        _SERVICE,
        f"10.0.0.1:{ord(name)}",
        ZoneId("z"),
        5,
        ReplicaState.READY,
        started_ms,
    )


class TestRestartedReplica(testtools.TestCase):
    """Nothing that was known of a process is applied to its successor."""

    def setUp(self):
        super().setUp()
        self._build_entry()

    def _build_entry(self):
        self.clock = ManualClock()
        self.state = EntryState(
            self.clock,
            ZoneId("z"),
            random.Random(1),
            RetryBudgetParameters(),
            2.0,
        )
        self.state.registry.observe_recovery(0.0)
        self._reload(_make_record(), _make_record(_OTHER))
        self.service = self.state.get_service(_SERVICE)

    def _reload(self, *records):
        self.state.registry.replace_all(records, self.state.now_s())
        self.state.refresh_candidates()

    def _put(self, record):
        self.state.registry.put(record)
        self.state.refresh_candidates()

    def _restart(self, by_reload):
        record = _make_record(started_ms=_LATER_MS)
        if by_reload:
            self._reload(record, _make_record(_OTHER))
        else:
            self._put(record)

    def _begin(self, name=_NAME):
        self.state.begin_request(self.service, name, self.state.now_s())

    def _end(self, succeeded, started_ms=_FIRST_MS):
        self.state.end_request(
            self.service,
            _NAME,
            succeeded,
            self.state.now_s(),
            started_ms=started_ms,
        )

    def _choose(self, excluded=()):
        found = self.state.choose_replica(
            self.service, excluded, self.state.now_s()
        )
        return None if found is None else found.instance

    def _eject(self):
        """Lets requests to the replica fail until it is ejected."""
        self._choose()
        for _ in range(3):
            self._begin()
        for _ in range(3):
            self._end(False)
        self.clock.advance(timedelta(milliseconds=300))
        self.assertEqual({_OTHER}, {self._choose() for _ in range(20)})

    def test_ejection_ends(self):
        """Guards against ejecting a process for faults of the one before."""
        for by_reload in (False, True):
            self._build_entry()
            self._eject()
            self._restart(by_reload)
            self.assertEqual(
                {_NAME, _OTHER}, {self._choose() for _ in range(40)}
            )

    def test_holds_and_limits_end(self):
        """Guards against a hold or a limit that outlasts the process."""
        for by_reload in (False, True):
            self._build_entry()
            now_s = self.state.now_s()
            for reason in HoldReason:
                self.state.holds.hold(
                    _NAME, reason, now_s + 90.0, started_ms=_FIRST_MS
                )
            self.state.server_limits.read(
                _NAME, "0.5", sent_s=now_s, now_s=now_s
            )
            self.clock.advance(timedelta(milliseconds=100))
            self._restart(by_reload)
            self.assertEqual(frozenset(), self.state.holds.list_held(now_s))
            self.assertIsNone(self.state.server_limits.get(_NAME))

    def test_requests_of_the_former_process_are_not_counted(self):
        """Guards against a free process that counts as full.

        Its former requests may end long after it has registered.
        """
        for _ in range(5):
            self._begin()
        self.state.occupancy.observe_peer(
            "peer", {_NAME: 3}, self.state.now_s()
        )
        self._restart(True)
        self.assertEqual(0, self.state.occupancy.count(_NAME))
        self._begin()
        for _ in range(5):
            self._end(False)
        self.assertEqual(1, self.state.occupancy.count(_NAME))
        self.assertEqual(1, self.service.in_flight)

    def test_late_failures_do_not_eject_the_new_process(self):
        """Guards against an ejection by requests that the restart ended."""
        self._choose()
        for _ in range(3):
            self._begin()
        self._restart(False)
        self._choose()
        for _ in range(3):
            self._end(False)
        self.clock.advance(timedelta(milliseconds=300))
        self.assertIn(_NAME, {self._choose() for _ in range(40)})

    def test_last_progress_is_forgotten(self):
        """Guards against a silent process that counts as producing output."""
        self.state.observe_progress(self.service, _NAME, self.state.now_s())
        self._restart(True)
        self.assertNotIn(_NAME, self.service.replica_last_progress_s)

    def test_renewed_registration_is_not_a_restart(self):
        """Guards against losing counts when the same process registers."""
        self._begin()
        self.state.observe_progress(self.service, _NAME, self.state.now_s())
        self._reload(_make_record(), _make_record(_OTHER))
        self.assertEqual(1, self.state.occupancy.count(_NAME))
        self.assertIn(_NAME, self.service.replica_last_progress_s)
        self._reload(_make_record(_OTHER))
        self._reload(_make_record(), _make_record(_OTHER))
        self.assertEqual(1, self.state.occupancy.count(_NAME))

    def test_idle_connections_are_not_used(self):
        """Guards against a request on a connection to a former process."""

        async def run():
            replica = Replica(respond())
            async with EntryFixture(replica) as fixture:
                await fixture.send_request()
                (record,) = fixture.state.registry.list_all()
                fixture.state.registry.put(
                    dataclasses.replace(record, started_ms=_LATER_MS)
                )
                fixture.state.refresh_candidates()
                await fixture.send_request(request_id="78")
                return len(replica._tasks)

        self.assertEqual(2, asyncio.run(run()))
