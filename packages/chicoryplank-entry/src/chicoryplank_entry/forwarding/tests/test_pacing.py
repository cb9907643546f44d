"""Tests of ramps over all entries, on simulated fleets.

Load pattern: a backlog waits at all entries for one replica that has started or
recovered.
"""

import asyncio
import dataclasses
import json
from datetime import timedelta

import testtools

from chicoryplank.admission import PaceOutcome
from chicoryplank.ids import ConfigVersion, InstanceId, ZoneId
from chicoryplank.traffic import (
    ClientLimits,
    ReplicaRecord,
    ReplicaRegistry,
    ReplicaState,
    RequestKind,
    Service,
    TrafficConfiguration,
)
from chicoryplank_entry.forwarding.pacing import Pacing
from chicoryplank_entry.forwarding.tests.harness import (
    LOCKSTEP_ENGINE,
    EntryFixture,
    Replica,
    drop,
    make_event,
    reject,
    respond,
    stream,
)
from chicoryplank_entry.forwarding.tests.retry_model import (
    SERVICE,
    TICK_S,
    Fleet,
)

_REPLICA = InstanceId("replica")
_SLOTS = 6
_SERVICE_S = 0.2
_RECORD = ReplicaRecord(
    _REPLICA, SERVICE, "10.0.2.1:1", ZoneId("a"), _SLOTS, ReplicaState.READY, 1
)


def _make_configuration(cold_start_s):
    service = Service(SERVICE, cold_start=timedelta(seconds=cold_start_s))
    return TrafficConfiguration(
        ConfigVersion(1), (), {SERVICE: service}, ClientLimits(), {}, {}
    )


class RampingFleet(Fleet):
    """Fleet whose entries all want one replica.

    Attributes:
        running: End of each request at the replica and the entry that sent it.
        history: Time and number of requests at the replica.
        datagrams: Kinds of the documents sent between entries.
    """

    def __init__(self, entry_count, cold_start_s=3.0):
        self.cold_start_s = cold_start_s
        self.running = []
        self.history = []
        self.datagrams = []
        self.records = []
        super().__init__(1, entry_count)
        self.run(2, 0)

    def _start(self, name):
        super()._start(name)
        state = self.processes[name].state
        state.activate(_make_configuration(self.cold_start_s))
        state.on_replica_returned = self.get_pacing(name).observe_return
        self._read_store(name)

    def deliver(self, data, sender, address):
        self.datagrams.append(json.loads(data)["kind"])
        super().deliver(data, sender, address)

    def get_pacing(self, name):
        return self.processes[name].peers.pacing

    def _read_store(self, name):
        state = self.processes[name].state
        state.registry.replace_all(self.records, self.now_s)
        self.get_pacing(name).observe_replicas(self.records)

    def start_replica(self):
        """Registers a replica that starts now, and lets all entries read it."""
        now_ms = round(self.clock.now().timestamp() * 1000)
        self.records = [dataclasses.replace(_RECORD, started_ms=now_ms)]
        for name in self.processes:
            self._read_store(name)

    def get_issuer(self):
        name = min(self.processes)
        return self.processes[name].peers.permits.choose_issuer(_REPLICA)

    def list_limited(self):
        """Returns the entries that need a permit for the replica."""
        return [
            name
            for name in sorted(self.processes)
            if self.get_pacing(name).is_limited(_REPLICA, self.now_s)
        ]

    def run_backlog(self, duration_s):
        """Runs a full backlog at all entries for a replica that is warm."""
        for _ in range(round(duration_s / TICK_S)):
            self.run(TICK_S, 0)
            for item in list(self.running):
                if item[0] <= self.now_s:
                    self.running.remove(item)
                    self._finish(item[1])
            for name in sorted(self.processes):
                while self._try_send(name):
                    pass
            self.history.append((self.now_s, len(self.running)))

    def _finish(self, name):
        process = self.processes.get(name)
        if process is not None:
            process.state.occupancy.end(_REPLICA)
            process.peers.pacing.report(
                SERVICE, _REPLICA, PaceOutcome.RESPONSE, _SERVICE_S
            )

    def _try_send(self, name):
        state = self.processes[name].state
        permits = self.processes[name].peers.permits
        if (
            state.holds.is_held(_REPLICA, self.now_s)
            or state.occupancy.count(_REPLICA) >= _SLOTS
        ):
            return False
        state.occupancy.begin(_REPLICA)
        pacing = self.get_pacing(name)
        if permits.is_limited(_REPLICA):
            waits_s = [0.1]
            pacing.begin_question(_REPLICA)
            permits.request(_REPLICA, waits_s.append)
            pacing.end_question(_REPLICA)
            if not permits.apply_wait(_REPLICA, waits_s[-1]):
                state.occupancy.end(_REPLICA)
                return False
        self.running.append((self.now_s + _SERVICE_S, name))
        return True

    def find_peak(self, until_s):
        return max(count for at, count in self.history if at <= until_s)


class TestRampOfFleet(testtools.TestCase):
    """All entries together ramp one replica up."""

    def test_ramp_from_one_request_to_all_slots(self):
        """Guards against a limit that each entry keeps for itself."""
        for entries in (1, 8, 24):
            fleet = RampingFleet(entries)
            fleet.start_replica()
            started_s = fleet.now_s
            fleet.run_backlog(5.0)
            peak = fleet.find_peak(started_s + _SERVICE_S)
            self.assertEqual(1, peak, entries)
            self.assertLessEqual(fleet.find_peak(started_s + 0.6), 3, entries)
            self.assertEqual(_SLOTS, fleet.find_peak(started_s + 1.5), entries)
            self.assertEqual(_SLOTS, fleet.find_peak(fleet.now_s), entries)
            # The entries that have sent requests since know of the end.
            self.assertNotIn(fleet.get_issuer(), fleet.list_limited())
            self.assertNotIn(min(fleet.processes), fleet.list_limited())

    def test_service_without_cold_start(self):
        """Guards against permits and datagrams in other deployments."""
        fleet = RampingFleet(8, cold_start_s=0)
        fleet.start_replica()
        fleet.get_pacing(min(fleet.processes)).observe_return(_REPLICA)
        self.assertEqual([], fleet.list_limited())
        fleet.run_backlog(2.0)
        self.assertLessEqual(set(fleet.datagrams), {"own", "zone", "others"})

    def test_lost_issuer(self):
        """Guards against a stop or a flood when another entry takes over."""
        fleet = RampingFleet(8)
        fleet.start_replica()
        fleet.run_backlog(1.0)
        fleet.kill(fleet.get_issuer())
        began_s = fleet.now_s
        fleet.run_backlog(4.0)
        counts = [count for at, count in fleet.history if at > began_s]
        self.assertEqual(_SLOTS, max(counts))

    def test_issuer_that_does_not_know_the_replica(self):
        """Guards against a flood through an entry that follows with a lag."""
        fleet = RampingFleet(3)
        fleet.start_replica()
        issuer = fleet.get_issuer()
        fleet.processes[issuer].state.registry = ReplicaRegistry(2.0)
        other = min(name for name in fleet.processes if name != issuer)
        waits_s = []
        permits = fleet.processes[other].peers.permits
        permits.request(_REPLICA, waits_s.append)
        self.assertGreater(waits_s[0], 0.0)

    def test_ramp_ends_without_responses(self):
        """Guards against a replica that is held back forever."""
        fleet = RampingFleet(3)
        fleet.start_replica()
        fleet.run(9.5, 0)
        self.assertEqual(3, len(fleet.list_limited()))
        fleet.run(1, 0)
        self.assertEqual([], fleet.list_limited())

    def test_return_from_an_ejection_at_one_entry(self):
        """Guards against an issuer that does not know of the return."""
        fleet = RampingFleet(3)
        fleet.start_replica()
        fleet.run(11, 0)
        issuer = fleet.get_issuer()
        other = min(name for name in fleet.processes if name != issuer)
        fleet.get_pacing(other).observe_return(_REPLICA)
        self.assertEqual([other], fleet.list_limited())
        permits = fleet.processes[other].peers.permits
        waits_s = []
        for _ in range(2):
            permits.request(_REPLICA, waits_s.append)
        self.assertEqual(0.0, waits_s[0])
        self.assertGreater(waits_s[1], 0.0)
        self.assertEqual(sorted({issuer, other}), fleet.list_limited())

    def test_return_at_the_issuer(self):
        """Guards against a request that waits for its own end."""
        fleet = RampingFleet(1)
        fleet.start_replica()
        fleet.run(11, 0)
        fleet.get_pacing(fleet.get_issuer()).observe_return(_REPLICA)
        fleet.run_backlog(TICK_S)
        self.assertEqual(1, len(fleet.running))


class TestReplicasThatRamp(testtools.TestCase):
    """Which replicas an entry ramps up."""

    def setUp(self):
        super().setUp()
        self._fleet = RampingFleet(1)
        self._name = min(self._fleet.processes)
        self._state = self._fleet.processes[self._name].state

    def _make_pacing(self, records):
        pacing = Pacing(
            self._name,
            self._state,
            lambda instance: self._name,
            lambda *message: None,
        )
        self._state.registry.replace_all(records, 0.0)
        pacing.observe_replicas(records)
        return pacing

    def _make_record(self, age_s):
        now_ms = self._fleet.clock.now().timestamp() * 1000
        return dataclasses.replace(
            _RECORD, started_ms=round(now_ms - age_s * 1000)
        )

    def _is_limited(self, pacing):
        return pacing.is_limited(_REPLICA, self._fleet.now_s)

    def test_replicas_found_at_the_start_of_an_entry(self):
        """Guards against ramps of all replicas whenever an entry starts."""
        self.assertFalse(
            self._is_limited(self._make_pacing([self._make_record(60)]))
        )
        self.assertTrue(
            self._is_limited(self._make_pacing([self._make_record(5)]))
        )

    def test_registration_that_lapsed(self):
        """Guards against ramps of all replicas after an outage of the store."""
        record = self._make_record(60)
        pacing = self._make_pacing([record])
        pacing.observe_replicas([])
        pacing.observe_replicas([record])
        self.assertFalse(self._is_limited(pacing))
        pacing.observe_replicas([self._make_record(0)])
        self.assertTrue(self._is_limited(pacing))

    def test_ranks_that_return_after_an_outage_of_their_group(self):
        """Guards against ramps of half of a group that was held for a while."""
        record = self._make_record(60)
        pacing = self._make_pacing([record])
        service = self._state.get_service(SERVICE)
        service.is_lockstep = True
        service.circuit_breaker.observe_outage(self._fleet.now_s)
        service.circuit_breaker.observe_progress(self._fleet.now_s)
        pacing.observe_return(_REPLICA)
        self.assertFalse(self._is_limited(pacing))
        self._fleet.run(6, 0)
        pacing.observe_return(_REPLICA)
        self.assertTrue(self._is_limited(pacing))

    def test_ranks_that_start_with_their_group(self):
        """Guards against ramps that withhold a whole group after a power loss.

        Load pattern: most ranks of a lock-step group start at the same time,
        and the callers of all entries wait for the group.
        """
        self._state.get_service(SERVICE).is_lockstep = True
        for started, limited in ((4, 0), (3, 0), (2, 2), (1, 1)):
            records = [
                dataclasses.replace(
                    self._make_record(1 if rank < started else 60),
                    instance=InstanceId(f"rank-{rank}"),
                    address=f"10.0.2.{rank}:1",
                )
                for rank in range(4)
            ]
            pacing = self._make_pacing(records)
            found = [
                record.instance
                for record in records
                if pacing.is_limited(record.instance, self._fleet.now_s)
            ]
            self.assertEqual(limited, len(found), started)

    def test_ranks_that_register_one_after_the_other(self):
        """Guards against ramps of the second half of a group that starts."""
        self._state.get_service(SERVICE).is_lockstep = True
        records = [
            dataclasses.replace(
                self._make_record(60),
                instance=InstanceId(f"rank-{rank}"),
                address=f"10.0.2.{rank}:1",
            )
            for rank in range(4)
        ]
        pacing = self._make_pacing(records)
        for rank in range(4):
            records[rank] = dataclasses.replace(
                records[rank], started_ms=self._make_record(0).started_ms
            )
            pacing.observe_replicas(records)
        limited = [
            record.instance
            for record in records
            if pacing.is_limited(record.instance, self._fleet.now_s)
        ]
        self.assertEqual([], limited)

    def test_malformed_messages(self):
        """Guards against a message that stops the exchange."""
        pacing = self._make_pacing([self._make_record(5)])
        message = {
            "kind": "pace-report",
            "member": "other",
            "replica": _REPLICA,
            "outcome": "response",
            "elapsed_ms": 200,
        }
        pacing.handle(message)
        for change in (
            {"outcome": "unknown"},
            {"elapsed_ms": -1},
            {"elapsed_ms": float("nan")},
            {"elapsed_ms": None},
        ):
            self.assertRaises(
                (ValueError, TypeError), pacing.handle, {**message, **change}
            )
        for report in (-1, "x", None):
            self.assertRaises(
                (ValueError, TypeError),
                pacing.apply_report,
                _REPLICA,
                report,
                0.0,
            )


class _Recorder:
    """Pacing that records reports."""

    def __init__(self):
        self.reports = []

    def begin_question(self, instance):
        pass

    def end_question(self, instance):
        pass

    def report(self, service, instance, outcome, elapsed_s, *, has_ended=True):
        self.reports.append(outcome)


class TestReportedOutcomes(testtools.TestCase):
    """The outcome of each attempt is reported once."""

    def _send(self, *scripts, kind=RequestKind.IDEMPOTENT, engine=None):
        recorder = _Recorder()

        async def run():
            async with EntryFixture(
                *map(Replica, scripts),
                kind=kind,
                engine=engine,
                pacing=recorder,
            ) as fixture:
                await fixture.send_request()

        asyncio.run(run())
        return recorder.reports

    def test_responses(self):
        """Guards against responses that are reported never or twice."""
        expected = [PaceOutcome.RESPONSE]
        self.assertEqual(expected, self._send(respond()))
        events = [make_event(number) for number in range(3)]
        self.assertEqual(
            expected, self._send(stream(events), kind=RequestKind.STREAMING)
        )
        self.assertEqual([], self._send(respond(b"", "404 Not Found")))

    def test_losses(self):
        """Guards against losses that do not slow the ramp."""
        self.assertEqual(
            PaceOutcome.REJECTED, self._send(reject(), reject())[0]
        )
        self.assertEqual(PaceOutcome.BROKEN, self._send(drop(), drop())[0])

    def test_rejection_for_another_rank(self):
        """Guards against ranks that slow down since their group is down."""
        down = reject(extra=("X-At-Fault: rank-9",))
        self.assertEqual([], self._send(down, engine=LOCKSTEP_ENGINE))
