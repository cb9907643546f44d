"""Requests through an entry to scripted replicas, on loopback."""

import asyncio
import json

import testtools

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.tests.harness import (
    LOCKSTEP,
    Replica,
    Site,
    answer,
    drop,
    hang,
    make_event,
    make_head,
    make_pair,
    make_request,
    read_answer,
    reject,
    stream,
    write,
)


class ExchangeCase(testtools.TestCase):
    """Runs a site and one request."""

    def ask(self, *replicas, request=None, **site):
        async def run():
            async with Site(*replicas, **site) as made:
                return await made.ask(**(request or {}))

        return asyncio.run(run())

    def get_verdict(self, body):
        return json.loads(body)["error"]["verdict"]


class TestForwarding(ExchangeCase):
    """Requests and answers pass unchanged, but for the entry's own headers."""

    def test_answer_is_passed_on(self):
        """Guards against an answer that is changed on the way."""
        replica = Replica(answer(b"card", extra=("X-Other: 5",)))
        status, headers, body = self.ask(replica)
        self.assertEqual((200, b"card"), (status, body))
        self.assertEqual("signed", headers["x-proof"])
        self.assertEqual("5", headers["x-other"])

    def test_request_is_passed_on(self):
        """Guards against a replica that sees another request or the key."""
        replica = Replica(answer())
        self.ask(
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
        seen = replica.seen[0]
        self.assertEqual(
            ("POST", "/notes/1?a=b", b"drawing"),
            (seen.method, seen.target, seen.body),
        )
        self.assertEqual("quotes", seen.headers["x-account"])
        self.assertEqual("m", seen.headers["x-model"])
        self.assertEqual("replica-0", seen.headers["x-expected"])
        self.assertLessEqual(int(seen.headers["x-left-ms"]), 1500)
        self.assertNotIn("authorization", seen.headers)
        self.assertNotIn("x-hop", seen.headers)

    def test_unknown_key_is_rejected(self):
        """Guards against a request that runs without a known key."""
        replica = Replica(answer())
        status, _, _ = self.ask(replica, request={"key": "wrong"})
        self.assertEqual((401, []), (status, replica.seen))

    def test_bad_time_left_is_rejected(self):
        """Guards against a crash on a deadline that is no number."""
        status, _, _ = self.ask(Replica(answer()), request={"left_ms": "soon"})
        self.assertEqual(400, status)

    def test_long_head_and_body_are_rejected(self):
        """Guards against callers that fill the memory."""
        status, _, _ = self.ask(
            Replica(answer()), request={"X-Long": "a" * 5000}
        )
        self.assertEqual(431, status)
        status, _, _ = self.ask(
            Replica(answer()), request={"method": "POST", "body": b"a" * 20_000}
        )
        self.assertEqual(413, status)

    def test_answer_to_another_request_is_skipped(self):
        """Guards against giving a caller another caller's answer."""

        async def late(seen, writer):
            head = make_head(seen)
            head[1] = "X-Id: 76"
            write(writer, head, b"other")
            return await answer(b"own")(seen, writer)

        _, _, body = self.ask(Replica(late))
        self.assertEqual(b"own", body)

    def test_bytes_after_an_answer_end_the_connection(self):
        """Guards against surplus bytes that become the next answer."""

        async def twice(seen, writer):
            await answer(b"one")(seen, writer)
            return await answer(b"two")(seen, writer)

        async def run():
            replica = Replica(twice)
            async with Site(replica) as site:
                await site.ask()
                await asyncio.sleep(0.05)
                _, _, body = await site.ask()
                return body

        self.assertEqual(b"one", asyncio.run(run()))

    def test_answer_that_ends_with_its_connection(self):
        """Guards against losing an answer that has no length."""

        async def unframed(seen, writer):
            lines = [*make_head(seen), "", ""]
            writer.write("\r\n".join(lines).encode() + b"until the end")
            await writer.drain()
            return False

        status, _, body = self.ask(Replica(unframed))
        self.assertEqual((200, b"until the end"), (status, body))


class TestRetries(ExchangeCase):
    """Only what did not run, or may run twice, is sent again."""

    def test_rejected_request_goes_to_another_replica(self):
        """Guards against a refusal while another replica has a place."""
        for kind in (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT):
            full = [Replica(reject()), Replica(reject())]
            replicas = [*full, Replica(answer())]
            status, _, _ = self.ask(*replicas, kind=kind, max_runs=1)
            self.assertEqual(200, status, kind)

    def test_refusal_by_all_is_not_run(self):
        """Guards against a verdict that forbids the caller to return."""
        status, headers, body = self.ask(
            Replica(reject()), kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)

    def test_broken_non_idempotent_request_is_not_repeated(self):
        """Guards against a card that is fetched twice."""
        replicas = [Replica(drop()), Replica(drop())]
        status, _, body = self.ask(*replicas, kind=RequestKind.NON_IDEMPOTENT)
        self.assertEqual(
            (502, "may_have_run"), (status, self.get_verdict(body))
        )
        self.assertEqual(1, sum(len(item.seen) for item in replicas))

    def test_broken_idempotent_request_is_repeated(self):
        """Guards against a failure that another replica would not have."""
        status, _, _ = self.ask(*make_pair(drop(), answer()))
        self.assertEqual(200, status)

    def test_failure_is_tried_once_more(self):
        """Guards against passing on a failure that a second try avoids."""
        failing = answer(b"", "500 Internal Server Error", proof=True)
        status, _, body = self.ask(*make_pair(failing, answer(b"good")))
        self.assertEqual((200, b"good"), (status, body))

    def test_second_failure_is_passed_on(self):
        """Guards against a third run, and against hiding the answer."""
        failing = answer(b"", "500 Internal Server Error", proof=True)
        replicas = make_pair(failing)
        status, headers, _ = self.ask(*replicas)
        total = sum(len(item.seen) for item in replicas)
        self.assertEqual((500, 2), (status, total))
        self.assertEqual("signed", headers["x-proof"])

    def test_success_without_proof_is_no_success(self):
        """Guards against bytes that no replica vouches for."""
        status, _, body = self.ask(
            Replica(answer(proof=False)), kind=RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual(
            (502, "may_have_run"), (status, self.get_verdict(body))
        )

    def test_truncated_answer_is_not_passed_on(self):
        """Guards against a short answer that looks complete."""

        async def short(seen, writer):
            write(writer, make_head(seen), b"half", length=8)
            await writer.drain()
            return False

        status, _, _ = self.ask(Replica(short), kind=RequestKind.NON_IDEMPOTENT)
        self.assertEqual(502, status)

    def test_deadline_after_the_send_is_not_called_not_run(self):
        """Guards against "not run" for a request that a replica holds."""
        status, _, body = self.ask(
            Replica(hang()),
            kind=RequestKind.NON_IDEMPOTENT,
            request={"left_ms": 200},
        )
        self.assertEqual(
            (504, "may_have_run"), (status, self.get_verdict(body))
        )

    def test_dead_replica_is_passed_over(self):
        """Guards against a refusal because one replica is gone."""

        async def run():
            replicas = [Replica(answer()), Replica(answer())]
            async with Site(*replicas, kind=RequestKind.NON_IDEMPOTENT) as site:
                await replicas[0].stop()
                return [(await site.ask())[0] for _ in range(4)]

        self.assertEqual([200] * 4, asyncio.run(run()))

    def test_replica_with_another_id_is_left_out(self):
        """Guards against requests to an address that was given away."""
        moved = Replica(answer(b"", "421 Misdirected Request", proof=False))

        async def run():
            async with Site(moved, Replica(answer())) as site:
                for _ in range(4):
                    status, _, _ = await site.ask()
                    self.assertEqual(200, status)

        asyncio.run(run())
        self.assertLessEqual(len(moved.seen), 1)


class TestOutage(ExchangeCase):
    """Requests wait while a whole group is down."""

    def test_requests_wait_until_the_group_runs(self):
        """Guards against refusals during an outage that ends soon."""
        down = reject(extra=("X-At-Fault: replica-9",))
        replica = Replica(down, down, answer(b"late but here"))
        status, _, body = self.ask(
            replica,
            engine=LOCKSTEP,
            kind=RequestKind.STREAMING,
            request={"left_ms": 8000},
        )
        self.assertEqual((200, b"late but here"), (status, body))

    def test_wait_is_bounded(self):
        """Guards against holding a request until its caller gives up."""
        down = reject(extra=("X-At-Fault: replica-9",))

        async def run():
            parameters = ExchangeParameters(patience_s=0.3)
            async with Site(
                Replica(down), engine=LOCKSTEP, parameters=parameters
            ) as site:
                loop = asyncio.get_running_loop()
                started = loop.time()
                status, headers, _ = await site.ask(left_ms=8000)
                return status, headers, loop.time() - started

        status, headers, took_s = asyncio.run(run())
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)
        self.assertLess(took_s, 1.0)


class TestStart(ExchangeCase):
    """A starting entry holds requests until it has a configuration."""

    def test_request_waits_for_the_configuration(self):
        """Guards against refusals while all entries start together."""

        async def run():
            async with Site(Replica(answer()), is_configured=False) as site:
                asking = asyncio.create_task(site.ask())
                await asyncio.sleep(0.1)
                site.state.apply(site.configuration)
                return (await asking)[0]

        self.assertEqual(200, asyncio.run(run()))

    def test_wait_for_the_configuration_is_bounded(self):
        """Guards against holding requests while the store is away."""

        async def run():
            async with Site(Replica(answer()), is_configured=False) as site:
                return await site.ask()

        status, headers, body = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)


class TestStreams(ExchangeCase):
    """Streams reach the caller whole, also from two replicas."""

    def _ask(self, *replicas, **site):
        return self.ask(
            *replicas,
            kind=RequestKind.STREAMING,
            request={"left_ms": 8000},
            **site,
        )

    def test_stream_is_passed_on(self):
        """Guards against events that are changed or lost."""
        events = [make_event(number) for number in range(1, 9)]
        status, headers, body = self._ask(Replica(stream(events)))
        self.assertEqual((200, b"".join(events)), (status, body))
        self.assertEqual("text/event-stream", headers["content-type"])

    def test_broken_stream_goes_on_at_another_replica(self):
        """Guards against an event that is lost, doubled or joined of two."""
        events = [make_event(number) for number in range(1, 9)]
        first = stream(events[:3], ends=False, rest=events[3][:9])

        async def rest(seen, writer):
            self.assertEqual("3", seen.headers["last-event-id"])
            return await stream(events[3:])(seen, writer)

        status, _, body = self._ask(*make_pair(first, rest))
        self.assertEqual((200, b"".join(events)), (status, body))

    def test_gap_between_two_runs_cuts_the_stream(self):
        """Guards against a stream that looks complete without an event."""
        events = [make_event(number) for number in range(1, 9)]
        first = stream(events[:3], ends=False)
        late = stream(events[4:])
        _, _, body = self._ask(*make_pair(first, late))
        self.assertIsNone(body)

    def test_repeated_events_are_dropped(self):
        """Guards against an event that the caller gets twice."""
        events = [make_event(number) for number in range(1, 9)]
        first = stream(events[:3], ends=False)
        again = stream(events)
        _, _, body = self._ask(*make_pair(first, again))
        self.assertEqual(b"".join(events), body)

    def test_stream_that_may_not_be_resumed_is_cut(self):
        """Guards against a second run that the route does not allow."""
        first = stream([make_event(1)], ends=False)
        replicas = [Replica(first), Replica(first)]
        _, _, body = self._ask(*replicas, resumable=False)
        self.assertIsNone(body)
        self.assertEqual(1, sum(len(item.seen) for item in replicas))

    def test_caller_that_leaves_ends_the_run(self):
        """Guards against replicas that work for nobody."""

        async def run():
            replica = Replica(stream([make_event(n) for n in range(500)]))
            async with Site(replica, kind=RequestKind.STREAMING) as site:
                reader, writer = await site.connect()
                writer.write(make_request(left_ms=8000))
                await reader.readuntil(b"\n\n")
                writer.close()
                async with asyncio.timeout(2):
                    await replica.closed.wait()
                await asyncio.sleep(0.01)
                return site.exchange.in_progress

        self.assertEqual(0, asyncio.run(run()))


class TestDraining(ExchangeCase):
    """A stopping entry ends its connections politely."""

    def test_answers_announce_the_end(self):
        """Guards against callers that go on using a stopping entry."""

        async def run():
            async with Site(Replica(answer())) as site:
                reader, writer = await site.connect()
                writer.write(make_request())
                first = await read_answer(reader)
                site.state.is_draining = True
                writer.write(make_request())
                second = await read_answer(reader)
                rest = await reader.read()
                return first, second, rest

        first, second, rest = asyncio.run(run())
        self.assertNotIn("connection", first[1])
        self.assertEqual("close", second[1]["connection"])
        self.assertEqual(b"", rest)

    def test_late_requests_are_sent_elsewhere(self):
        """Guards against requests that the end of the process would cut."""

        async def run():
            async with Site(Replica(answer())) as site:
                site.exchange.refuses_all = True
                return await site.ask()

        status, headers, body = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)
