"""Tests of the detection of crashes, with replicas on loopback."""

import asyncio
import dataclasses

import testtools
from logbook import TestHandler

from chicoryplank.events import Event
from chicoryplank.quarantine import FeatureId, Quarantine, SuspectAttempt
from chicoryplank.traffic import ReplicaState, RequestKind
from chicoryplank_entry.forwarding.tests.crashing_replica import (
    CrashingReplica,
)
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    make_event,
    make_head,
    respond,
)


def end_with_connection(data, *, then=None):
    """Returns a script whose stream ends with the connection.

    Args:
        data: Bytes of the stream.
        then: Coroutine function that is called before the connection closes.
    """

    async def script(recorded, writer):
        head = make_head(
            recorded, extra=("Content-Type: text/event-stream", "", "")
        )
        writer.write("\r\n".join(head).encode() + data)
        await writer.drain()
        if then is not None:
            await then()
        return False

    return script


# Less than a replica takes for a request.
_DRAIN_DELAY_S = 0.01


def drain_replica(fixture):
    """Drains the only replica of an entry soon after it got a request."""
    (record,) = fixture.state.registry.list_all()
    draining = dataclasses.replace(record, state=ReplicaState.DRAINING)
    loop = asyncio.get_running_loop()
    loop.call_later(_DRAIN_DELAY_S, fixture.state.registry.put, draining)


class CrashCase(testtools.TestCase):
    """Sends one request and collects the crashes that were noticed."""

    def find_crashes(self, *replicas, prepare=None, **request):
        """Returns the response and the fields of all lines on crashes."""

        async def run():
            async with EntryFixture(
                *replicas, kind=RequestKind.STREAMING
            ) as fixture:
                if prepare is not None:
                    prepare(fixture)
                response = await fixture.send_request(**request)
                await asyncio.sleep(0.15)
                fixture.exchange.crashes.close()
                return response

        with TestHandler() as handler:
            response = asyncio.run(run())
        return response, [
            record.extra["fields"]
            for record in handler.records
            if record.extra["event"] == Event.REPLICA_CRASHED.number
        ]


class TestCrashDetector(CrashCase):
    """Which ends of a connection count as the crash of a replica."""

    def test_crash_names_the_shared_parts_of_the_prompt(self):
        """Guards against a crash that no line connects with its requests."""
        replica = CrashingReplica(lambda recorded: True, down_s=9)
        _, crashes = self.find_crashes(
            replica, **{"Prompt-Parts": "a1:40,B2:300,c3:90"}
        )
        self.assertEqual(["refused"], [crash["evidence"] for crash in crashes])
        self.assertEqual(["a1", "b2"], crashes[0]["requests"][0]["parts"])

    def test_crash_without_any_output(self):
        """Guards against counting only crashes after the response began."""
        replica = CrashingReplica(lambda recorded: True, down_s=9, begins=False)
        _, crashes = self.find_crashes(replica)
        self.assertEqual(1, len(crashes))

    def test_broken_connection_of_a_live_replica(self):
        """Guards against taking a cut or a dropped stream for a crash."""
        replica = Replica(end_with_connection(b"id: 1\nda"), respond())
        _, crashes = self.find_crashes(replica)
        self.assertEqual([], crashes)

    def test_end_of_a_draining_replica(self):
        """Guards against taking a planned end for a crash."""
        replica = CrashingReplica(lambda recorded: True, down_s=9)

        _, crashes = self.find_crashes(replica, prepare=drain_replica)
        self.assertEqual(1, len(replica.crashes))
        self.assertEqual([], crashes)

    def test_silent_replica_that_registers_again(self):
        """Guards against missing a crash whose machine does not respond."""
        replica = Replica(end_with_connection(b"id: 1\nda"))

        def hide(fixture):
            (record,) = fixture.state.registry.list_all()
            restarted = type(record)(
                "replica-1",
                record.service,
                record.address,
                record.zone,
                record.slots,
                record.state,
                started_ms=record.started_ms + 1,
            )
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, fixture.state.registry.put, restarted)

        _, crashes = self.find_crashes(replica, prepare=hide)
        self.assertEqual(
            ["restarted"], [crash["evidence"] for crash in crashes]
        )


class TestEndsWithoutLength(CrashCase):
    """Streams with neither a length nor chunks, which end with a connection."""

    def test_end_after_an_event_is_complete(self):
        """Guards against losing a stream that ends as the protocol allows."""
        data = make_event(1) + make_event(2)
        replica = Replica(end_with_connection(data))
        (status, _, body), crashes = self.find_crashes(replica)
        self.assertEqual((200, data), (status, body))
        self.assertEqual([], crashes)

    def test_end_inside_an_event_is_broken(self):
        """Guards against a truncated stream that looks complete."""
        replica = Replica(end_with_connection(make_event(1) + b"id: 2\nda"))
        (status, _, body), crashes = self.find_crashes(replica)
        self.assertEqual((200, None), (status, body))
        self.assertEqual([], crashes)

    def test_ends_with_a_crash(self):
        """Guards against a crash that hides behind a complete stream."""
        for data in (make_event(1), make_event(1) + b"id: 2\nda"):
            replica = CrashingReplica(lambda recorded: True, down_s=9)
            replica.scripts = [end_with_connection(data, then=replica.crash)]
            (_, _, body), crashes = self.find_crashes(replica)
            self.assertIsNone(body, data)
            self.assertEqual(1, len(crashes), data)

    def test_end_of_a_draining_replica(self):
        """Guards against losing the last response before a planned end."""
        data = make_event(1) + make_event(2)
        replica = CrashingReplica(lambda recorded: True, down_s=9)

        async def end():
            await asyncio.sleep(3 * _DRAIN_DELAY_S)
            await replica.crash()

        replica.scripts = [end_with_connection(data, then=end)]
        (status, _, body), crashes = self.find_crashes(
            replica, prepare=drain_replica
        )
        self.assertEqual((200, data), (status, body))
        self.assertEqual([], crashes)

    def test_end_before_the_first_event_is_broken(self):
        """Guards against an empty stream that looks complete."""
        replica = Replica(end_with_connection(b""))
        (status, _, _), crashes = self.find_crashes(replica)
        self.assertEqual(502, status)
        self.assertEqual([], crashes)


class TestRefusedConnections(testtools.TestCase):
    """A request while no replica accepts connections."""

    def test_ports_are_not_tried_without_pause(self):
        """Guards against thousands of attempts to connect in one request."""
        replicas = [CrashingReplica(lambda recorded: False) for _ in range(2)]

        async def run():
            async with EntryFixture(
                *replicas, kind=RequestKind.IDEMPOTENT
            ) as fixture:
                for replica in replicas:
                    await replica.crash()
                return await fixture.send_request(left_ms=800)

        with TestHandler() as handler:
            asyncio.run(run())
        attempts = sum(
            record.extra["event"] == Event.ATTEMPT_FAILED.number
            for record in handler.records
        )
        self.assertLessEqual(attempts, 20)


class TestReturnAfterCrash(testtools.TestCase):
    """Load pattern: many requests wait for a replica that has crashed."""

    def serve_after_crash(self):
        """Returns how many were sent with the second one, and the statuses."""
        replica = CrashingReplica(
            lambda recorded: recorded.headers["x-id"] == "harmful", work_s=0.05
        )

        async def run():
            async with EntryFixture(
                replica, kind=RequestKind.STREAMING
            ) as fixture:
                state = fixture.state
                (record,) = state.registry.list_all()
                state.registry.put(dataclasses.replace(record, slots=12))
                state.refresh_candidates()
                await fixture.send_request(request_id="harmful")
                await asyncio.sleep(0.1)
                requests = [
                    fixture.send_request(request_id=f"r{number}")
                    for number in range(10)
                ]
                responses = await asyncio.gather(*requests)
                fixture.exchange.crashes.close()
                return [status for status, _, _ in responses]

        statuses = asyncio.run(run())
        _, _, second, *later = [at for at, _ in replica.arrivals]
        return 1 + sum(at < second + 0.04 for at in later), statuses

    def test_requests_return_step_by_step(self):
        """Guards against losing all of them to a harmful one among them."""
        at_once, statuses = self.serve_after_crash()
        self.assertLessEqual(at_once, 3)
        self.assertEqual([200] * 10, statuses)

    def test_rank_of_a_group(self):
        """Guards against a limit on top of the breaker of a whole group."""

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                state = fixture.state
                (record,) = state.registry.list_all()
                service = state.get_service(record.service)
                full = []
                for service.is_lockstep in (True, False):
                    state.observe_crash(record, state.now_s())
                    state.occupancy.begin(record.instance)
                    held = state.list_full_replicas(service, 0, state.now_s())
                    full.append(len(held))
                    state.occupancy.end(record.instance)
                return full

        self.assertEqual([0, 1], asyncio.run(run()))

    def count_full(self, started_ago_s):
        """Returns how many replicas with one request are full.

        Another entry has told of a crash, and the replica registers.

        Args:
            started_ago_s: Age of its process.
        """

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                state = fixture.state
                (record,) = state.registry.list_all()
                now_s = state.now_s()
                report = Quarantine()
                report.observe_crash(
                    "replica-9/1",
                    record.service,
                    "v1",
                    [SuspectAttempt(now_s, [FeatureId("llm/part/a")])],
                    entry="other",
                    replica_count=2,
                    seen_s=now_s,
                    now_s=now_s,
                )
                items = report.encode_all(now_s)
                state.quarantine.merge(items, now_s, "peer")
                started_s = state.clock.now().timestamp() - started_ago_s
                state.registry.put(
                    dataclasses.replace(
                        record, started_ms=round(started_s * 1000)
                    )
                )
                state.refresh_candidates()
                service = state.get_service(record.service)
                state.occupancy.begin(record.instance)
                return len(state.list_full_replicas(service, 0, now_s))

        return asyncio.run(run())

    def test_replica_that_starts_after_a_crash(self):
        """Guards against a flood from entries that saw no crash themselves."""
        self.assertEqual(1, self.count_full(started_ago_s=0.5))

    def test_replica_that_registers_without_a_start(self):
        """Guards against refusals by an entry that has just started."""
        self.assertEqual(0, self.count_full(started_ago_s=60.0))
