"""Tests of which responses may count as "not run", on loopback."""

import asyncio
import collections
import json
import random

import logbook
import testtools

from chicoryplank.events import Event
from chicoryplank.ids import InstanceId
from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    make_head,
    make_request,
    read_response,
    reject,
    respond,
    write_response,
)

REPLICA = InstanceId("replica-0")
_UNAVAILABLE = "503 Service Unavailable"
# Statuses that tell a caller that its request did not run.
_NOT_RUN_STATUSES = (
    "408 Request Timeout",
    "429 Too Many Requests",
    _UNAVAILABLE,
)


class RunningReplica(Replica):
    """Replica that counts the requests that it runs.

    Args:
        work: Asynchronous function of the replica, a request and the writer
            that responds to the request.

    Attributes:
        runs: Number of requests that ran.
    """

    def __init__(self, work):
        super().__init__()
        self.runs = 0

        async def script(recorded, writer):
            return await work(self, recorded, writer)

        self.scripts = [script]

    async def run(self, recorded, writer, status="200 OK", **options):
        """Runs a request and sends the response to it."""
        self.runs += 1
        return await respond(b"ran", status, **options)(recorded, writer)


async def send_rejection(
    recorded, writer, status=_UNAVAILABLE, request_id=None
):
    """Sends a rejection with another request id, or with none."""
    head = make_head(recorded, status, proof=False, extra=("X-Not-Run: 1",))
    head[1:2] = [] if request_id is None else [f"X-Id: {request_id}"]
    write_response(writer, head)
    await writer.drain()


class NotRunCase(testtools.TestCase):
    """Sends requests, by default non-idempotent ones, over one connection."""

    def send_requests(self, *replicas, count=1, **arguments):
        """Returns the status and the verdict of each response.

        The verdict is None if the response comes from a replica.
        """

        async def run():
            arguments.setdefault("kind", RequestKind.NON_IDEMPOTENT)
            results = []
            async with EntryFixture(*replicas, **arguments) as fixture:
                reader, writer = await fixture.connect()
                for number in range(count):
                    writer.write(make_request(request_id=f"7{number}"))
                    status, headers, body = await read_response(reader)
                    verdict = None
                    if headers.get("content-type") == "application/json":
                        verdict = json.loads(body)["error"]["verdict"]
                        self.assertNotIn("x-proof", headers)
                    results.append((status, verdict))
                writer.close()
            return results

        return asyncio.run(run())

    def count_runs(self, replicas):
        """Returns how often the replicas ran a request."""
        return sum(replica.runs for replica in replicas)


class TestUnidentifiedRejections(NotRunCase):
    """A rejection counts only with the id of the request that it rejects."""

    def test_rejection_without_id_is_not_believed(self):
        """Guards against a second run after a rejection without an id."""

        async def work(replica, recorded, writer):
            replica.runs += 1
            await send_rejection(recorded, writer, status)
            return True

        for status in ("421 Misdirected Request", *_NOT_RUN_STATUSES):
            replicas = [RunningReplica(work), RunningReplica(work)]
            results = self.send_requests(*replicas)
            self.assertEqual([(502, "may_have_run")], results, status)
            self.assertEqual(1, self.count_runs(replicas), status)

    def test_late_rejection_without_id_is_skipped(self):
        """Guards against a lost response behind a late one without an id."""

        async def work(replica, recorded, writer):
            if len(replica.requests) > 1:
                await send_rejection(recorded, writer)
            return await replica.run(recorded, writer)

        replica = RunningReplica(work)
        results = self.send_requests(replica, count=2)
        self.assertEqual([(200, None)] * 2, results)
        self.assertEqual(2, replica.runs)

    def test_late_rejection_of_an_earlier_request_is_skipped(self):
        """Guards against a second run after a rejection of another request."""

        async def work(replica, recorded, writer):
            if len(replica.requests) > 1:
                await send_rejection(recorded, writer, request_id="70")
            return await replica.run(recorded, writer)

        replica = RunningReplica(work)
        results = self.send_requests(replica, count=2)
        self.assertEqual([(200, None)] * 2, results)
        self.assertEqual(2, replica.runs)


class TestRepeatedRejections(NotRunCase):
    """The rejection of one attempt says nothing about the next attempt."""

    def test_second_copy_of_a_rejection_does_not_cover_a_later_attempt(self):
        """Guards against a second run after a rejection that arrives twice.

        A replica sends a rejection, and a copy of it before its next response
        on the same connection. Both have the id of the request.
        """

        async def work(replica, recorded, writer):
            if not rejected:
                rejected[writer] = recorded.headers["x-id"]
                return await reject()(recorded, writer)
            if writer in rejected:
                await send_rejection(
                    recorded, writer, request_id=rejected[writer]
                )
            return await replica.run(recorded, writer)

        rejected = {}
        replica = RunningReplica(work)
        results = self.send_requests(replica)
        self.assertEqual([(200, None)], results)
        self.assertEqual(1, replica.runs)

    def test_connection_of_a_rejected_attempt_serves_other_requests(self):
        """Guards against connections that are given up after a rejection."""

        async def work(replica, recorded, writer):
            writers.add(writer)
            if len(replica.requests) == 1:
                return await reject()(recorded, writer)
            return await replica.run(recorded, writer)

        writers = set()
        replica = RunningReplica(work)
        results = self.send_requests(replica, count=4)
        self.assertEqual([(200, None)] * 4, results)
        self.assertLessEqual(len(writers), 2)


class TestRequestsWithoutId(NotRunCase):
    """A request without an id cannot be matched with any response."""

    def test_request_without_id_is_refused_at_once(self):
        """Guards against sending a request whose outcome cannot be known."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer)

        async def run():
            replica = RunningReplica(work)
            async with EntryFixture(replica) as fixture:
                status, _, body = await fixture.send_request(request_id="")
            return status, json.loads(body)["error"]["code"], replica.runs

        self.assertEqual((400, "CP1201", 0), asyncio.run(run()))


class TestKnownOutcomes(NotRunCase):
    """A request whose outcome is decided does not wait for a slot."""

    def test_request_that_may_have_run_does_not_wait_for_a_slot(self):
        """Guards against holding a request that will not be sent again."""

        async def work(replica, recorded, writer):
            occupancy = fixtures[0].state.occupancy
            now_s = fixtures[0].state.now_s()
            occupancy.observe_peer("entry-2", {REPLICA: 2}, now_s)
            return False

        async def run():
            async with EntryFixture(
                RunningReplica(work), kind=RequestKind.NON_IDEMPOTENT
            ) as fixture:
                fixtures.append(fixture)
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                status, _, body = await fixture.send_request()
                elapsed_s = loop.time() - started_s
            return status, json.loads(body)["error"]["verdict"], elapsed_s

        fixtures = []
        status, verdict, elapsed_s = asyncio.run(run())
        self.assertEqual((502, "may_have_run"), (status, verdict))
        self.assertLess(elapsed_s, 0.3)


class TestUnstatedRejections(NotRunCase):
    """A status of a replica alone does not state that a request did not run."""

    def test_status_is_not_relayed_as_a_rejection(self):
        """Guards against "not run" for a request that a replica has run."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer, status)

        for status in _NOT_RUN_STATUSES:
            replicas = [RunningReplica(work), RunningReplica(work)]
            results = self.send_requests(*replicas)
            self.assertEqual([(502, "may_have_run")], results, status)
            self.assertEqual(1, self.count_runs(replicas), status)

    def test_status_of_the_last_allowed_run_is_not_relayed(self):
        """Guards against "not run" for an idempotent request that ran twice."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer, status)

        for status in _NOT_RUN_STATUSES:
            replicas = [RunningReplica(work), RunningReplica(work)]
            results = self.send_requests(*replicas, kind=RequestKind.IDEMPOTENT)
            self.assertEqual([(502, "may_have_run")], results, status)
            self.assertEqual(2, self.count_runs(replicas), status)

    def test_success_that_claims_not_run_is_not_believed(self):
        """Guards against a second run after a contradictory response."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer, extra=("X-Not-Run: 1",))

        replicas = [RunningReplica(work), RunningReplica(work)]
        results = self.send_requests(*replicas)
        self.assertEqual([(502, "may_have_run")], results)
        self.assertEqual(1, self.count_runs(replicas))


class TestEvidence(NotRunCase):
    """The log shows what each verdict rests on."""

    def _send_recorded(self, replica, **arguments):
        """Returns the fields of all log lines by event."""
        handler = logbook.TestHandler()
        with handler.applicationbound():
            self.send_requests(replica, **arguments)
        lines = {}
        for record in handler.records:
            fields = record.extra["fields"]
            lines.setdefault(record.extra["event"], []).append(fields)
        return lines

    def test_rejection_is_logged_with_its_evidence(self):
        """Guards against a verdict that cannot be explained afterwards."""

        async def work(replica, recorded, writer):
            if len(replica.requests) == 1:
                return await reject()(recorded, writer)
            return await replica.run(recorded, writer)

        lines = self._send_recorded(RunningReplica(work))
        (fields,) = lines[Event.ATTEMPT_FAILED.number]
        self.assertEqual(("full", 503), (fields["stage"], fields["status"]))
        self.assertEqual(
            ("own", True, False, False, False),
            (
                fields["echoed_id"],
                fields["states_not_run"],
                fields["has_proof"],
                fields["reused"],
                fields["carried_before"],
            ),
        )
        self.assertEqual(
            ("not_run", "not_run"),
            (fields["verdict_before"], fields["verdict"]),
        )

    def test_broken_attempt_is_logged_with_its_verdict(self):
        """Guards against a log that shows the verdict of before an attempt."""

        async def work(replica, recorded, writer):
            return False

        lines = self._send_recorded(RunningReplica(work))
        (fields,) = lines[Event.ATTEMPT_FAILED.number]
        self.assertEqual(
            ("break", "not_run", "may_have_run"),
            (fields["stage"], fields["verdict_before"], fields["verdict"]),
        )
        self.assertNotIn("status", fields)

    def test_skipped_response_is_logged(self):
        """Guards against responses to other requests that leave no trace."""

        async def work(replica, recorded, writer):
            if len(replica.requests) > 1:
                await send_rejection(recorded, writer, request_id="70")
            return await replica.run(recorded, writer)

        lines = self._send_recorded(RunningReplica(work), count=2)
        (fields,) = lines[Event.RESPONSE_SKIPPED.number]
        self.assertEqual(
            ("71", "70", 503, True),
            (
                fields["request"],
                fields["echoed_id"],
                fields["status"],
                fields["reused"],
            ),
        )


class TestTrailers(NotRunCase):
    """Trailers of a chunked body are not headers."""

    def test_statement_in_a_trailer_is_not_believed(self):
        """Guards against a second run after a statement behind a body."""

        async def work(replica, recorded, writer):
            replica.runs += 1
            head = make_head(recorded, extra=("Transfer-Encoding: chunked",))
            lines = [*head, "", "3", "ran", "0", "X-Not-Run: 1", "", ""]
            writer.write("\r\n".join(lines).encode())
            await writer.drain()
            return True

        replicas = [RunningReplica(work), RunningReplica(work)]
        self.assertEqual([(200, None)], self.send_requests(*replicas))
        self.assertEqual(1, self.count_runs(replicas))

    def test_trailer_of_a_request_is_not_forwarded_as_a_header(self):
        """Guards against headers that a caller adds behind its body."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer)

        async def run():
            replica = RunningReplica(work)
            async with EntryFixture(replica) as fixture:
                reader, writer = await fixture.connect()
                head = make_request("POST", **{"Transfer-Encoding": "chunked"})
                writer.write(head + b"1\r\na\r\n0\r\nX-Model: n\r\n\r\n")
                status, _, _ = await read_response(reader)
                writer.close()
            return status, replica.requests[0]

        status, recorded = asyncio.run(run())
        self.assertEqual((200, b"a"), (status, recorded.body))
        self.assertNotIn("x-model", recorded.headers)


class UnreliableReplica(RunningReplica):
    """Replica that draws how it responds to each request.

    Args:
        rng: Random number generator.
        runs_by_id: Number of runs of each request at all replicas, which this
            replica updates.
    """

    def __init__(self, rng, runs_by_id):
        super().__init__(UnreliableReplica._respond)
        self._rng = rng
        self._runs_by_id = runs_by_id
        self._last_rejections = {}

    async def _respond(self, recorded, writer):
        rng = self._rng
        if rng.random() < 0.5 and writer in self._last_rejections:
            request_id = self._last_rejections.pop(writer)
            await send_rejection(recorded, writer, request_id=request_id)
        if rng.random() < 0.5:
            self._last_rejections[writer] = recorded.headers["x-id"]
            return await reject()(recorded, writer)
        self._runs_by_id[recorded.headers["x-id"]] += 1
        behavior = rng.randrange(6)
        if behavior == 0:
            await send_rejection(recorded, writer)
        elif behavior == 1:
            status = rng.choice(_NOT_RUN_STATUSES)
            return await self.run(recorded, writer, status)
        elif behavior == 2:
            return await self.run(recorded, writer, extra=("X-Not-Run: 1",))
        elif behavior == 3:
            return False
        return await self.run(recorded, writer)


class TestUnreliableReplicas(NotRunCase):
    """No response of a replica leads to a false "not run" or a second run."""

    def _check_requests(self, seed):
        rng = random.Random(seed)
        runs_by_id = collections.Counter()
        replicas = [UnreliableReplica(rng, runs_by_id) for _ in range(2)]

        async def run():
            async with EntryFixture(
                *replicas,
                kind=RequestKind.NON_IDEMPOTENT,
                parameters=ExchangeParameters(max_wait_share=1.0),
            ) as fixture:
                for number in range(20):
                    request_id = f"{seed}-{number}"
                    status, _, _ = await fixture.send_request(
                        request_id=request_id, left_ms=300
                    )
                    runs = runs_by_id[request_id]
                    self.assertLessEqual(runs, 1, (request_id, status))
                    if status in (408, 421, 429, 503):
                        self.assertEqual(0, runs, (request_id, status))

        asyncio.run(run())
        self.assertGreater(sum(runs_by_id.values()), 5)

    def test_runs_match_the_statuses(self):
        """Guards against a combination of responses that no other test has."""
        for seed in range(6):
            self._check_requests(seed)
