"""Tests of which responses may count as "not run", on loopback."""

import asyncio
import collections
import json
import random

from chicoryplank.ids import InstanceId
from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    make_head,
    make_request,
    read_response,
    reject,
    respond,
)
from chicoryplank_entry.forwarding.tests.running_replica import (
    NOT_RUN_STATUSES,
    NotRunCase,
    RunningReplica,
    send_rejection,
)

REPLICA = InstanceId("replica-0")


class TestUnidentifiedRejections(NotRunCase):
    """A rejection counts only with the id of the request that it rejects."""

    def test_rejection_without_id_is_not_believed(self):
        """Guards against a second run after a rejection without an id."""

        async def work(replica, recorded, writer):
            replica.runs += 1
            await send_rejection(recorded, writer, status)
            return True

        for status in ("421 Misdirected Request", *NOT_RUN_STATUSES):
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


def encode_rejection(request_id, status, framing):
    """Returns a rejection as a replica writes it."""
    lines = [f"HTTP/1.1 {status}", f"X-Id: {request_id}", "X-Not-Run: 1"]
    body = "full"
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"
    elif framing == "interim":
        lines[:0] = ["HTTP/1.1 102 Processing", ""]
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "empty":
        lines.append("Content-Length: 0")
        body = ""
    return "\r\n".join([*lines, "", body]).encode()


class RepeatingReplica(RunningReplica):
    """Replica that writes its first rejection once more, and runs all others.

    Args:
        status: Status of the rejection.
        framing: What delimits its body: length, chunks, interim (a length,
            behind an interim response), or empty.
        moment: When it is repeated: at once, while the connection is idle,
            or before the next response.
        cut: Fraction of the bytes that are repeated.
        copies: Number of copies.

    Attributes:
        is_repeated: Whether it has written a copy.
    """

    def __init__(self, status, framing, moment, cut=1.0, copies=1):
        super().__init__(RepeatingReplica._respond)
        self._rejection = status, framing
        self._moment = moment
        self._cut = cut
        self._copies = copies
        self._sent = None
        self.is_repeated = moment != "next"

    async def _respond(self, recorded, writer):
        if self._sent is None:
            sent = encode_rejection(recorded.headers["x-id"], *self._rejection)
            self._sent = writer, sent
            copies = sent[: round(len(sent) * self._cut)] * self._copies
            writer.write(sent)
            if self._moment == "at once":
                writer.write(copies)
            elif self._moment == "idle":
                loop = asyncio.get_running_loop()
                loop.call_later(0.02, writer.write, copies)
            return True
        first_writer, sent = self._sent
        if self._moment == "next" and writer is first_writer:
            self.is_repeated = True
            writer.write(sent[: round(len(sent) * self._cut)] * self._copies)
            await writer.drain()
            await asyncio.sleep(0.01)
        return await self.run(recorded, writer)


class TestRejectionWrittenAgain(NotRunCase):
    """A copy of an earlier rejection says nothing about a later request."""

    async def check(self, kind, ids, **behavior):
        """Sends requests one after the other; checks each by its runs.

        The first one ends before it may be sent again, so that the next one is
        sent on the connection of the rejection.
        """
        replica = RepeatingReplica(**behavior)
        detail = (kind, ids, behavior)
        async with EntryFixture(replica, kind=kind, max_runs=2) as fixture:
            for request_id, left_ms in zip(ids, (120, 1500), strict=True):
                before = replica.runs
                status, _, _ = await fixture.send_request(
                    request_id=request_id, left_ms=left_ms
                )
                await asyncio.sleep(0.2)
                runs = replica.runs - before
                if status in (408, 421, 429, 503):
                    self.assertEqual(0, runs, (status, *detail))
                if kind is RequestKind.NON_IDEMPOTENT:
                    self.assertLessEqual(runs, 1, (status, *detail))
        if behavior["status"] != "421 Misdirected Request":
            # After that one, the replica is left alone for a while.
            self.assertGreater(replica.runs, 0, detail)
            if ids[0] != ids[1]:
                self.assertTrue(replica.is_repeated, detail)
            if "cut" not in behavior and "copies" not in behavior:
                self.assertEqual(200, status, detail)

    def check_all(self, kind, ids):
        behaviors = [
            {"framing": framing}
            for framing in ("length", "chunks", "interim", "empty")
        ]
        behaviors += [{"framing": "length", "cut": cut} for cut in (0.3, 0.8)]
        behaviors.append({"framing": "length", "copies": 5})

        async def run(status):
            await asyncio.gather(
                *(
                    self.check(
                        kind, ids, status=status, moment=moment, **behavior
                    )
                    for moment in ("at once", "idle", "next")
                    for behavior in behaviors
                )
            )

        for status in (
            "400 Bad Request",
            "408 Request Timeout",
            "421 Misdirected Request",
            "429 Too Many Requests",
            "503 Service Unavailable",
        ):
            asyncio.run(run(status))

    def test_request_that_must_not_run_twice(self):
        """Guards against "not run" for a request that is running."""
        self.check_all(RequestKind.NON_IDEMPOTENT, ("70", "71"))

    def test_request_that_may_run_again(self):
        """Guards against "not run" for an idempotent request that ran."""
        self.check_all(RequestKind.IDEMPOTENT, ("70", "71"))

    def test_id_that_a_caller_uses_again(self):
        """Guards against a copy that matches the id of the next request."""
        self.check_all(RequestKind.NON_IDEMPOTENT, ("70", "70"))


class TestUnstatedRejections(NotRunCase):
    """A status of a replica alone does not state that a request did not run."""

    def test_status_is_not_relayed_as_a_rejection(self):
        """Guards against "not run" for a request that a replica has run."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer, status)

        for status in NOT_RUN_STATUSES:
            replicas = [RunningReplica(work), RunningReplica(work)]
            results = self.send_requests(*replicas)
            self.assertEqual([(502, "may_have_run")], results, status)
            self.assertEqual(1, self.count_runs(replicas), status)

    def test_status_of_the_last_allowed_run_is_not_relayed(self):
        """Guards against "not run" for an idempotent request that ran twice."""

        async def work(replica, recorded, writer):
            return await replica.run(recorded, writer, status)

        for status in NOT_RUN_STATUSES:
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


class TestBrokenConnections(NotRunCase):
    """A connection that breaks does not tell whether the request ran."""

    def test_break_of_a_used_connection_counts_as_a_run(self):
        """Guards against more runs of an idempotent request than allowed."""

        async def work(replica, recorded, writer):
            if recorded.headers["x-id"] == "70":
                return await respond()(recorded, writer)
            replica.runs += 1
            return False

        replica = RunningReplica(work)
        results = self.send_requests(
            replica, count=2, kind=RequestKind.IDEMPOTENT, max_runs=2
        )
        self.assertEqual([(200, None), (502, "may_have_run")], results)
        self.assertEqual(2, replica.runs)

    def test_request_is_sent_again_on_a_new_connection(self):
        """Guards against a failure because all used connections are closed.

        A replica that drops its idle connections drops all of them.
        """

        async def work(replica, recorded, writer):
            if recorded.headers["x-id"] in ("1", "2"):
                await asyncio.sleep(0.05)
                used.add(writer)
            elif writer in used:
                return False
            return await replica.run(recorded, writer)

        async def run():
            replica = RunningReplica(work)
            async with EntryFixture(replica, max_runs=2) as fixture:
                await asyncio.gather(
                    fixture.send_request(request_id="1"),
                    fixture.send_request(request_id="2"),
                )
                status, _, _ = await fixture.send_request(request_id="3")
            return status

        used = set()
        self.assertEqual(200, asyncio.run(run()))
        self.assertEqual(2, len(used))


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
            status = rng.choice(NOT_RUN_STATUSES)
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
