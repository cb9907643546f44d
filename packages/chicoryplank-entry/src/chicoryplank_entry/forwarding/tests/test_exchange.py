"""Tests of request forwarding to scripted replicas, on loopback."""

import asyncio
import json

import testtools

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.tests.harness import (
    LOCKSTEP_ENGINE,
    SERVICE,
    EntryFixture,
    Replica,
    drop,
    hang,
    make_event,
    make_head,
    make_replica_pair,
    make_request,
    read_response,
    reject,
    respond,
    stream,
    write_response,
)


class ExchangeCase(testtools.TestCase):
    """Sends one request through an entry to scripted replicas."""

    def send_request(self, *replicas, request=None, **arguments):
        async def run():
            async with EntryFixture(*replicas, **arguments) as fixture:
                return await fixture.send_request(**(request or {}))

        return asyncio.run(run())

    def get_verdict(self, body):
        return json.loads(body)["error"]["verdict"]


class TestForwarding(ExchangeCase):
    """Only the headers of the entry itself are added, replaced or removed."""

    def test_response_is_relayed_unchanged(self):
        """Guards against a response that the entry alters."""
        replica = Replica(respond(b"card", extra=("X-Other: 5",)))
        status, headers, body = self.send_request(replica)
        self.assertEqual((200, b"card"), (status, body))
        self.assertEqual("signed", headers["x-proof"])
        self.assertEqual("5", headers["x-other"])

    def test_request_that_cannot_be_encoded_holds_no_slot(self):
        """Guards against slots that are lost to an account's name."""

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                fixture.configuration.accounts["key-1"] = "\u0434"
                status, _, _ = await fixture.send_request()
                return status, fixture.state.occupancy.get_own_counts()

        status, counts = asyncio.run(run())
        self.assertEqual({}, counts)
        self.assertEqual(503, status)

    def test_request_is_forwarded_unchanged(self):
        """Guards against an altered request or a leaked API key."""
        replica = Replica(respond())
        self.send_request(
            replica,
            request={
                "method": "POST",
                "target": "/notes/1?a=b",
                "body": b"drawing",
                "X-Account": "someone-else",
                "X-Model": "m",
                "Connection": "x-hop",
                "X-Hop": "1",
            },
        )
        recorded = replica.requests[0]
        self.assertEqual(
            ("POST", "/notes/1?a=b", b"drawing"),
            (recorded.method, recorded.target, recorded.body),
        )
        self.assertEqual("quotes", recorded.headers["x-account"])
        self.assertEqual("m", recorded.headers["x-model"])
        self.assertEqual("replica-0", recorded.headers["x-expected"])
        self.assertLessEqual(int(recorded.headers["x-left-ms"]), 1500)
        self.assertNotIn("authorization", recorded.headers)
        self.assertNotIn("x-hop", recorded.headers)

    def test_unknown_key_is_refused(self):
        """Guards against running a request without a valid API key."""
        replica = Replica(respond())
        status, _, _ = self.send_request(replica, request={"key": "wrong"})
        self.assertEqual((401, []), (status, replica.requests))

    def test_bad_time_left_is_refused(self):
        """Guards against a crash on a deadline that is not a number."""
        status, _, _ = self.send_request(
            Replica(respond()), request={"left_ms": "soon"}
        )
        self.assertEqual(400, status)

    def test_long_head_and_body_are_refused(self):
        """Guards against callers that exhaust the memory of the entry."""
        status, _, _ = self.send_request(
            Replica(respond()), request={"X-Long": "a" * 5000}
        )
        self.assertEqual(431, status)
        status, _, _ = self.send_request(
            Replica(respond()),
            request={"method": "POST", "body": b"a" * 20_000},
        )
        self.assertEqual(413, status)

    def test_response_to_another_request_is_skipped(self):
        """Guards against sending a caller the response to another caller."""

        async def respond_to_another_first(recorded, writer):
            head = make_head(recorded)
            head[1] = "X-Id: 76"
            write_response(writer, head, b"other")
            return await respond(b"own")(recorded, writer)

        _, _, body = self.send_request(Replica(respond_to_another_first))
        self.assertEqual(b"own", body)

    def test_surplus_bytes_end_the_connection(self):
        """Guards against surplus bytes taken as the next response."""

        async def respond_twice(recorded, writer):
            await respond(b"one")(recorded, writer)
            return await respond(b"two")(recorded, writer)

        async def run():
            replica = Replica(respond_twice)
            async with EntryFixture(replica) as fixture:
                await fixture.send_request()
                await asyncio.sleep(0.05)
                _, _, body = await fixture.send_request()
                return body

        self.assertEqual(b"one", asyncio.run(run()))

    def test_response_without_length_is_relayed(self):
        """Guards against losing a response that ends with its connection."""

        async def respond_without_length(recorded, writer):
            lines = [*make_head(recorded), "", ""]
            writer.write("\r\n".join(lines).encode() + b"until the end")
            await writer.drain()
            return False

        status, _, body = self.send_request(Replica(respond_without_length))
        self.assertEqual((200, b"until the end"), (status, body))


class TestRetries(ExchangeCase):
    """Only requests that did not run, or may run twice, are retried."""

    def test_rejected_request_goes_to_another_replica(self):
        """Guards against a refusal while another replica has a free slot."""
        for kind in (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT):
            full = [Replica(reject()), Replica(reject())]
            replicas = [*full, Replica(respond())]
            status, _, _ = self.send_request(*replicas, kind=kind, max_runs=1)
            self.assertEqual(200, status, kind)

    def test_rejection_by_all_replicas_is_not_run(self):
        """Guards against a verdict that forbids the caller to retry."""
        status, headers, body = self.send_request(
            Replica(reject()), kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)

    def test_broken_non_idempotent_request_is_not_retried(self):
        """Guards against running a non-idempotent request twice."""
        replicas = [Replica(drop()), Replica(drop())]
        status, _, body = self.send_request(
            *replicas, kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual(
            (502, "may_have_run"), (status, self.get_verdict(body))
        )
        self.assertEqual(1, sum(len(item.requests) for item in replicas))

    def test_broken_idempotent_request_is_retried(self):
        """Guards against reporting a failure that a retry would avoid."""
        status, _, _ = self.send_request(*make_replica_pair(drop(), respond()))
        self.assertEqual(200, status)

    def test_failure_is_retried(self):
        """Guards against relaying a failure that a second attempt avoids."""
        failing = respond(b"", "500 Internal Server Error", proof=True)
        status, _, body = self.send_request(
            *make_replica_pair(failing, respond(b"good"))
        )
        self.assertEqual((200, b"good"), (status, body))

    def test_second_failure_is_relayed(self):
        """Guards against a third execution, and against hiding the response."""
        failing = respond(b"", "500 Internal Server Error", proof=True)
        replicas = make_replica_pair(failing)
        status, headers, _ = self.send_request(*replicas)
        total = sum(len(item.requests) for item in replicas)
        self.assertEqual((500, 2), (status, total))
        self.assertEqual("signed", headers["x-proof"])

    def test_success_without_proof_is_rejected(self):
        """Guards against relaying a response that no replica has proved."""
        status, _, body = self.send_request(
            Replica(respond(proof=False)), kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual(
            (502, "may_have_run"), (status, self.get_verdict(body))
        )

    def test_truncated_response_is_not_relayed(self):
        """Guards against a truncated response that looks complete."""

        async def respond_truncated(recorded, writer):
            write_response(writer, make_head(recorded), b"half", length=8)
            await writer.drain()
            return False

        status, _, _ = self.send_request(
            Replica(respond_truncated), kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual(502, status)

    def test_deadline_after_sending_may_have_run(self):
        """Guards against "not run" for a request that a replica received."""
        status, _, body = self.send_request(
            Replica(hang()),
            kind=RequestKind.NON_IDEMPOTENT,
            request={"left_ms": 200},
        )
        self.assertEqual(
            (504, "may_have_run"), (status, self.get_verdict(body))
        )

    def test_dead_replica_is_skipped(self):
        """Guards against a refusal because one replica is dead."""

        async def run():
            replicas = [Replica(respond()), Replica(respond())]
            async with EntryFixture(
                *replicas, kind=RequestKind.NON_IDEMPOTENT
            ) as fixture:
                await replicas[0].stop()
                return [(await fixture.send_request())[0] for _ in range(4)]

        self.assertEqual([200] * 4, asyncio.run(run()))

    def test_misdirected_replica_is_excluded(self):
        """Guards against requests to an address that was reassigned."""
        moved = Replica(respond(b"", "421 Misdirected Request", proof=False))

        async def run():
            async with EntryFixture(moved, Replica(respond())) as fixture:
                for _ in range(4):
                    status, _, _ = await fixture.send_request()
                    self.assertEqual(200, status)

        asyncio.run(run())
        self.assertLessEqual(len(moved.requests), 1)

    def test_misdirected_replica_is_excluded_by_its_address(self):
        """Guards against repeated requests to an address that was reassigned.

        The response names the replica at fault by its address.
        """

        async def misdirect(recorded, writer):
            host, port = writer.get_extra_info("sockname")
            script = reject(
                "421 Misdirected Request", (f"X-At-Fault: {host}:{port}",)
            )
            return await script(recorded, writer)

        moved = Replica(misdirect)

        async def run():
            async with EntryFixture(moved, Replica(respond())) as fixture:
                for _ in range(6):
                    status, _, _ = await fixture.send_request()
                    self.assertEqual(200, status)

        asyncio.run(run())
        self.assertLessEqual(len(moved.requests), 1)


class TestOutage(ExchangeCase):
    """Requests wait while all replicas of a group are down."""

    def test_requests_wait_until_the_group_is_up(self):
        """Guards against refusals during a short outage."""
        down = reject(extra=("X-At-Fault: replica-9",))
        replica = Replica(down, down, respond(b"late but here"))
        status, _, body = self.send_request(
            replica,
            engine=LOCKSTEP_ENGINE,
            kind=RequestKind.STREAMING,
            request={"left_ms": 8000},
        )
        self.assertEqual((200, b"late but here"), (status, body))

    def test_wait_is_bounded(self):
        """Guards against holding a request until its caller gives up."""
        down = reject(extra=("X-At-Fault: replica-9",))

        async def run():
            parameters = ExchangeParameters(max_wait_s=0.3)
            async with EntryFixture(
                Replica(down), engine=LOCKSTEP_ENGINE, parameters=parameters
            ) as fixture:
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                status, headers, _ = await fixture.send_request(left_ms=8000)
                return status, headers, loop.time() - started_s

        status, headers, elapsed_s = asyncio.run(run())
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)
        self.assertLess(elapsed_s, 1.0)

    def test_refusal_names_the_expected_return(self):
        """Guards against callers that come back while the group still forms.

        Earlier outages took 3 s, so a wait of 1.6 s would be in vain.
        """

        async def run():
            async with EntryFixture(
                Replica(respond()), engine=LOCKSTEP_ENGINE
            ) as fixture:
                now_s = fixture.state.now_s()
                breaker = fixture.state.get_service(SERVICE).circuit_breaker
                breaker.observe_outage(now_s - 9.0)
                breaker.observe_progress(now_s - 6.0)
                breaker.observe_outage(now_s - 0.5)
                # The probe is on its way.
                breaker.try_probe(now_s)
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                status, headers, _ = await fixture.send_request(left_ms=12_000)
                return status, headers, loop.time() - started_s

        status, headers, elapsed_s = asyncio.run(run())
        self.assertEqual(503, status)
        self.assertLess(elapsed_s, 0.3)
        self.assertGreater(float(headers["retry-after"]), 2.0)


class TestStartup(ExchangeCase):
    """A starting entry delays requests until it has a configuration."""

    def test_request_waits_for_the_configuration(self):
        """Guards against refusals while all entries are starting."""

        async def run():
            async with EntryFixture(
                Replica(respond()), is_configured=False
            ) as fixture:
                pending_request = asyncio.create_task(fixture.send_request())
                await asyncio.sleep(0.1)
                fixture.state.activate(fixture.configuration)
                return (await pending_request)[0]

        self.assertEqual(200, asyncio.run(run()))

    def test_wait_for_the_configuration_is_bounded(self):
        """Guards against delaying requests while the store is unavailable."""

        async def run():
            async with EntryFixture(
                Replica(respond()), is_configured=False
            ) as fixture:
                return await fixture.send_request()

        status, headers, body = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)


class TestStreams(ExchangeCase):
    """Streams reach the caller completely, even from two replicas."""

    def _send_stream_request(self, *replicas, **arguments):
        return self.send_request(
            *replicas,
            kind=RequestKind.STREAMING,
            request={"left_ms": 8000},
            **arguments,
        )

    def test_stream_is_relayed_unchanged(self):
        """Guards against events that are altered or lost."""
        events = [make_event(number) for number in range(1, 9)]
        status, headers, body = self._send_stream_request(
            Replica(stream(events))
        )
        self.assertEqual((200, b"".join(events)), (status, body))
        self.assertEqual("text/event-stream", headers["content-type"])

    def test_broken_stream_is_resumed_at_another_replica(self):
        """Guards against an event that is lost, duplicated or mixed."""
        events = [make_event(number) for number in range(1, 9)]
        first = stream(events[:3], ends=False, rest=events[3][:9])

        async def resumed(recorded, writer):
            self.assertEqual("3", recorded.headers["last-event-id"])
            return await stream(events[3:])(recorded, writer)

        status, _, body = self._send_stream_request(
            *make_replica_pair(first, resumed)
        )
        self.assertEqual((200, b"".join(events)), (status, body))

    def test_gap_after_resumption_aborts_the_stream(self):
        """Guards against a stream that looks complete but lacks an event."""
        events = [make_event(number) for number in range(1, 9)]
        first = stream(events[:3], ends=False)
        late = stream(events[4:])
        _, _, body = self._send_stream_request(*make_replica_pair(first, late))
        self.assertIsNone(body)

    def test_repeated_events_are_dropped(self):
        """Guards against an event that is sent to the caller twice."""
        events = [make_event(number) for number in range(1, 9)]
        first = stream(events[:3], ends=False)
        again = stream(events)
        _, _, body = self._send_stream_request(*make_replica_pair(first, again))
        self.assertEqual(b"".join(events), body)

    def test_non_resumable_stream_is_aborted(self):
        """Guards against a second execution that the route does not allow."""
        first = stream([make_event(1)], ends=False)
        replicas = [Replica(first), Replica(first)]
        _, _, body = self._send_stream_request(*replicas, resumable=False)
        self.assertIsNone(body)
        self.assertEqual(1, sum(len(item.requests) for item in replicas))

    def test_disconnected_caller_ends_the_request(self):
        """Guards against replicas that work for disconnected callers."""

        async def run():
            replica = Replica(stream([make_event(n) for n in range(500)]))
            async with EntryFixture(
                replica, kind=RequestKind.STREAMING
            ) as fixture:
                reader, writer = await fixture.connect()
                writer.write(make_request(left_ms=8000))
                await reader.readuntil(b"\n\n")
                writer.close()
                async with asyncio.timeout(2):
                    await replica.closed.wait()
                await asyncio.sleep(0.01)
                return fixture.exchange.in_progress

        self.assertEqual(0, asyncio.run(run()))


class TestMalformedRequests(ExchangeCase):
    """A connection with malformed data is closed."""

    def test_malformed_data_behind_a_request_closes_the_connection(self):
        """Guards against a connection that is neither closed nor read."""

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                reader, writer = await fixture.connect()
                writer.write(make_request() + b"\x00 no request\r\n\r\n")
                status, _, _ = await read_response(reader)
                async with asyncio.timeout(1):
                    return status, await reader.read()

        self.assertEqual((200, b""), asyncio.run(run()))


class TestDraining(ExchangeCase):
    """A draining entry closes its connections in an orderly way."""

    def test_responses_close_the_connection(self):
        """Guards against callers that keep using a draining entry."""

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                reader, writer = await fixture.connect()
                writer.write(make_request())
                first = await read_response(reader)
                fixture.state.is_draining = True
                writer.write(make_request())
                second = await read_response(reader)
                rest = await reader.read()
                return first, second, rest

        first, second, rest = asyncio.run(run())
        self.assertNotIn("connection", first[1])
        self.assertEqual("close", second[1]["connection"])
        self.assertEqual(b"", rest)

    def test_late_requests_are_refused(self):
        """Guards against accepting requests that the shutdown would abort."""

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                fixture.exchange.refuses_all = True
                return await fixture.send_request()

        status, headers, body = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)
