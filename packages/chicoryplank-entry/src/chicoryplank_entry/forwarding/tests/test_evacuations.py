"""Tests of replicas in evacuated zones.

Load pattern: the operator evacuates a zone while requests keep arriving.
"""

import asyncio
import dataclasses
import json
import random
import time

import logbook
import testtools

from chicoryplank.admission import HoldReason, ReplicaHolds
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.traffic import ReplicaRecord, ReplicaState, RequestKind
from chicoryplank_entry.forwarding.evacuations import EvacuationHolds
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.tests.harness import (
    SERVICE,
    EntryFixture,
    Replica,
    drop,
    hang,
    make_event,
    make_request,
    read_response,
    reject,
    respond,
    stream,
)

_ZONE = ZoneId("hall-b")
_FIRST = InstanceId("replica-0")
_EVACUATED = frozenset({HoldReason.EVACUATED})
# A refusal that waits for a slot takes at least the interval of the checks,
# 0.1 s, and up to 1.6 s.
_AT_ONCE_S = 0.1


class _EvacuationFixture(EntryFixture):
    """Entry whose first replicas are in the zone that is evacuated."""

    def __init__(self, *replicas, in_zone=1, **arguments):
        super().__init__(*replicas, **arguments)
        self._in_zone = in_zone

    async def __aenter__(self):
        await super().__aenter__()
        registry = self.state.registry
        for record in registry.list_all()[: self._in_zone]:
            registry.put(dataclasses.replace(record, zone=_ZONE))
        self.state.refresh_candidates()
        return self

    def evacuate(self):
        self.state.evacuations.begin(_ZONE)
        self.state.refresh_candidates()

    def readmit(self):
        self.state.evacuations.end(_ZONE)
        self.state.refresh_candidates()

    async def send_timed(self, **fields):
        """Sends a request; returns status, headers, code and time in s."""
        started_s = time.monotonic()
        status, headers, body = await self.send_request(**fields)
        elapsed_s = time.monotonic() - started_s
        return status, headers, json.loads(body)["error"], elapsed_s


class TestEvacuatedZone(testtools.TestCase):
    """Replicas in an evacuated zone get no new request."""

    def test_first_attempts(self):
        """Guards against requests to the zone, and an end without effect."""

        async def run(kind):
            inside, outside = Replica(respond()), Replica(respond())
            async with _EvacuationFixture(
                inside, outside, kind=kind
            ) as fixture:
                fixture.evacuate()
                for number in range(30):
                    status, _, _ = await fixture.send_request(
                        request_id=str(number)
                    )
                    self.assertEqual(200, status)
                self.assertEqual([], inside.requests)
                fixture.readmit()
                # The entry prefers replicas of its own zone.
                state = fixture.state
                outer = state.registry.get("replica-1")
                state.replica_words.observe_leaving(outer)
                status, _, _ = await fixture.send_request(request_id="later")
                self.assertEqual((200, 1), (status, len(inside.requests)))

        for kind in (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT):
            asyncio.run(run(kind))

    def test_retries(self):
        """Guards against a retry in the zone after a failure elsewhere."""

        async def run(script):
            inside = Replica(respond())
            outside = Replica(script, respond())
            async with _EvacuationFixture(inside, outside) as fixture:
                fixture.evacuate()
                status, _, _ = await fixture.send_request()
            self.assertEqual((200, []), (status, inside.requests))

        for script in (reject(), drop()):
            asyncio.run(run(script))

    def test_resumed_stream(self):
        """Guards against resuming a stream in the zone."""
        events = [make_event(number) for number in range(1, 5)]

        async def run():
            inside = Replica(respond())
            outside = Replica(
                stream(events[:2], ends=False), stream(events[2:])
            )
            async with _EvacuationFixture(
                inside, outside, kind=RequestKind.STREAMING
            ) as fixture:
                fixture.evacuate()
                status, _, body = await fixture.send_request()
            self.assertEqual((200, b"".join(events)), (status, body))
            self.assertEqual([], inside.requests)

        asyncio.run(run())

    def test_request_whose_connection_is_being_made(self):
        """Guards against a request that was chosen for the zone before."""

        async def run():
            inside, outside = Replica(respond()), Replica(respond())
            async with _EvacuationFixture(inside, outside) as fixture:
                acquire = fixture.pool.acquire

                async def evacuate_meanwhile(*arguments):
                    connection = await acquire(*arguments)
                    fixture.evacuate()
                    return connection

                fixture.pool.acquire = evacuate_meanwhile
                fixture.state.choose_replica = lambda state, excluded, now_s: (
                    fixture.state.registry.get(
                        _FIRST if _FIRST not in excluded else "replica-1"
                    )
                )
                status, _, _ = await fixture.send_request()
            self.assertEqual((200, []), (status, inside.requests))
            self.assertEqual(1, len(outside.requests))

        asyncio.run(run())

    def test_requests_in_progress_continue(self):
        """Guards against an evacuation that breaks responses."""
        events = [make_event(number) for number in range(1, 40)]

        async def run():
            inside = Replica(stream(events))
            async with _EvacuationFixture(
                inside, kind=RequestKind.STREAMING
            ) as fixture:
                response = asyncio.create_task(fixture.send_request())
                while not inside.requests:
                    await asyncio.sleep(0.001)
                fixture.evacuate()
                return await response

        status, _, body = asyncio.run(run())
        self.assertEqual((200, b"".join(events)), (status, body))


class TestChoiceOfReplicas(testtools.TestCase):
    """An evacuation does not distort the choice among the other replicas."""

    def _run(self, work):
        async def run():
            fixture = _EvacuationFixture()
            state = fixture.state
            for number in range(60):
                zone = "hall-a" if number < 20 else f"hall-{number % 2}"
                state.registry.put(_make_record(f"r{number:02}", zone))
            state.refresh_candidates()
            work(state, state.get_service(SERVICE))

        asyncio.run(run())

    def test_entry_in_the_evacuated_zone(self):
        """Guards against comparing fewer replicas than without evacuation.

        Half of the other replicas are busy. A request that compares four at
        random chooses a busy one in 6 % of the cases, and in 25 % with two.
        """

        def work(state, service):
            state.evacuations.begin(ZoneId("hall-a"))
            state.refresh_candidates()
            others = [f"r{number}" for number in range(20, 60)]
            # The policy learns of the replicas at its first choice.
            state.choose_replica(service, (), state.now_s())
            for instance in others[:20]:
                for _ in range(2):
                    state.begin_request(service, instance, state.now_s())
            chosen = [
                state.choose_replica(service, (), state.now_s()).instance
                for _ in range(500)
            ]
            self.assertLessEqual(set(chosen), set(others))
            busy = sum(instance in others[:20] for instance in chosen)
            self.assertLess(busy, 0.12 * len(chosen))

        self._run(work)

    def test_group_stays_complete(self):
        """Guards against a controller that leaves out the ranks of a zone."""

        def work(state, service):
            state.evacuations.begin(ZoneId("hall-a"))
            state.refresh_candidates()
            self.assertEqual(60, len(state.registry.list_service(SERVICE)))
            self.assertEqual(60, len(service.slots))

        self._run(work)

    def test_slow_group_is_used_if_no_other_is_left(self):
        """Guards against requests that wait although a slow group is free."""

        def work(state, service):
            slow = [f"r{number:02}" for number in range(20, 60)]
            now_s = state.now_s()
            state.slow_replicas.observe(slow, now_s)
            full = state.list_full_replicas(service, 0, now_s)
            self.assertEqual(set(slow), full)
            state.evacuations.begin(ZoneId("hall-a"))
            state.refresh_candidates()
            full = state.list_full_replicas(service, 0, now_s)
            self.assertEqual(set(slow), service.slots.keys() - full)

        self._run(work)


class TestEvacuatedService(testtools.TestCase):
    """Requests are refused at once if no usable replica is left."""

    def _check_refusal(self, status, headers, error):
        self.assertEqual(503, status)
        self.assertEqual(ErrorCode.NO_REPLICA.value, error["code"])
        self.assertEqual("not_run", error["verdict"])
        self.assertGreater(float(headers["retry-after"]), 0)

    def test_new_requests(self):
        """Guards against waiting for a slot, or sending to the zone."""

        async def run(*, is_breaker_open):
            replicas = [Replica(respond()) for _ in range(3)]
            async with _EvacuationFixture(*replicas, in_zone=2) as fixture:
                state = fixture.state
                leaving = state.registry.get("replica-2")
                state.replica_words.observe_leaving(leaving)
                fixture.evacuate()
                if is_breaker_open:
                    breaker = state.get_service(SERVICE).circuit_breaker
                    breaker.observe_outage(state.now_s() - 60.0)
                status, headers, error, elapsed_s = await fixture.send_timed()
            self._check_refusal(status, headers, error)
            self.assertLess(elapsed_s, _AT_ONCE_S)
            self.assertEqual(
                [], [request for item in replicas for request in item.requests]
            )

        for is_breaker_open in (False, True):
            asyncio.run(run(is_breaker_open=is_breaker_open))

    def test_waiting_requests(self):
        """Guards against requests that wait although no slot will be free."""

        async def run():
            inside = Replica(hang())
            async with _EvacuationFixture(inside) as fixture:
                writers = []
                for number in range(3):
                    reader, writer = await fixture.connect()
                    writers.append(writer)
                    writer.write(
                        make_request(request_id=str(number), left_ms=9000)
                    )
                    await asyncio.sleep(0.05)
                self.assertEqual(2, len(inside.requests))
                fixture.evacuate()
                started_s = time.monotonic()
                status, headers, body = await read_response(reader)
                elapsed_s = time.monotonic() - started_s
                for writer in writers:
                    writer.close()
            self._check_refusal(status, headers, json.loads(body)["error"])
            # Waiting requests are checked every 0.1 s.
            self.assertLess(elapsed_s, 0.1 + _AT_ONCE_S)

        asyncio.run(run())

    def test_paused_replica_elsewhere(self):
        """Guards against a refusal although a replica returns in time."""

        async def run():
            inside, outside = Replica(respond()), Replica(respond())
            async with _EvacuationFixture(inside, outside) as fixture:
                fixture.evacuate()
                record = fixture.state.registry.get("replica-1")
                fixture.state.replica_words.observe_pause(record, "0.05")
                status, _, _ = await fixture.send_request(left_ms=2000)
            self.assertEqual((200, []), (status, inside.requests))

        asyncio.run(run())


def _make_record(name, zone, started_ms=1):
    return ReplicaRecord(
        InstanceId(name),
        ServiceId("llm"),
        f"{name}:1",
        ZoneId(zone),
        2,
        ReplicaState.READY,
        started_ms,
    )


class TestEvacuationHolds(testtools.TestCase):
    """Exactly the registered replicas of evacuated zones are held."""

    def setUp(self):
        super().setUp()
        self.holds = ReplicaHolds()
        self.evacuations = EvacuationHolds(self.holds)
        self.ended = []
        self.evacuations.on_ended = self.ended.append

    def _list_held(self):
        return self.holds.list_held(1e9, _EVACUATED)

    def _get_gauge(self):
        return next(
            family.samples[0].value
            for family in METRICS.collect()
            if family.name == "chicoryplank_forwarding_evacuated_zones"
        )

    def test_end_is_reported_with_the_replicas(self):
        """Guards against replicas that are taken as warm after the end.

        An end and a begin that arrive together are no end.
        """
        records = [_make_record("r", "a"), _make_record("s", "b")]
        self.evacuations.begin("a")
        self.evacuations.apply(records)
        self.evacuations.end("a")
        self.evacuations.begin("a")
        self.evacuations.apply(records)
        self.assertEqual(({"r"}, []), (self._list_held(), self.ended))
        self.evacuations.end("a")
        self.evacuations.apply(records)
        self.assertEqual([["r"]], self.ended)

    def test_log_and_gauge(self):
        """Guards against an evacuation that operators cannot follow."""
        records = [_make_record("r", "a")]
        gauges = []
        with logbook.TestHandler() as handler:
            for zones, is_restored in (
                (["a", "typo"], False),
                ([], True),
                ([], False),
            ):
                self.evacuations.replace_all(
                    zones, 0.0, is_restored=is_restored
                )
                self.evacuations.apply(records)
                gauges.append(self._get_gauge())
            self.evacuations.remove_expired(7.0)
            self.evacuations.apply(records)
            gauges.append(self._get_gauge())
            lines = [
                (record.extra["event"], record.extra["fields"]["zone"])
                for record in handler.records
            ]
        expected = [(1310, "a"), (1312, "typo"), (1313, "a"), (1313, "typo")]
        expected += [(1311, "a"), (1311, "typo")]
        self.assertEqual((expected, [2, 2, 2, 0]), (lines, gauges))

    def test_random_histories(self):
        """Guards against an order of changes after which a hold is wrong."""
        rng = random.Random(7)
        records = {}
        evacuated = set()
        for _ in range(3000):
            zone = rng.choice("abc")
            name = f"r{rng.randrange(6)}"
            match rng.randrange(5):
                case 0:
                    evacuated.add(zone)
                    self.evacuations.begin(zone)
                case 1:
                    evacuated.discard(zone)
                    self.evacuations.end(zone)
                case 2:
                    evacuated = set(rng.sample("abc", rng.randrange(4)))
                    self.evacuations.replace_all(
                        evacuated, 0.0, is_restored=False
                    )
                case 3:
                    records[name] = _make_record(name, zone, rng.randrange(3))
                    self.holds.observe_start(name, records[name].started_ms)
                case 4:
                    records.pop(name, None)
            self.evacuations.apply(records.values())
            self.holds.retain(records.keys(), 0.0)
            expected = {
                record.instance
                for record in records.values()
                if record.zone in evacuated
            }
            self.assertEqual(expected, self._list_held() & records.keys())
