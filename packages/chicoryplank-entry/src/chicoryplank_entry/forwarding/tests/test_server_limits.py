"""Tests of limits that replicas name, with scripted replicas on loopback.

Load pattern: a replica in need takes a few requests per second from all
entries together, and the others take the rest.
"""

import asyncio
import time

from chicoryplank.admission import HoldReason
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.tests.harness import (
    SERVICE,
    EntryFixture,
    Replica,
    hang,
    reject,
    respond,
)
from chicoryplank_entry.forwarding.tests.test_exchange import ExchangeCase

_LIMITED = InstanceId("replica-0")


class TimedReplica(Replica):
    """Replica that records when it got each request.

    Attributes:
        times_s: Times of the requests after the first one, in seconds.
    """

    def __init__(self, *scripts):
        super().__init__(*(self._record(script) for script in scripts))
        self.times_s = []

    def _record(self, script):
        async def run(recorded, writer):
            if len(self.requests) > 1:
                self.times_s.append(time.monotonic())
            return await script(recorded, writer)

        return run


class TestLimitedReplica(ExchangeCase):
    """A replica gets no more requests than the limit that it names."""

    def _count(self, *scripts, requests=40, others=1, duration_s=1.0):
        """Returns the requests at the limited replica, and the statuses."""

        async def run():
            limited = TimedReplica(*scripts)
            replicas = [Replica(respond()) for _ in range(others)]
            async with EntryFixture(limited, *replicas) as fixture:
                statuses = []
                for number in range(requests):
                    status, _, _ = await fixture.send_request(
                        request_id=str(number)
                    )
                    statuses.append(status)
                    await asyncio.sleep(duration_s / requests)
                return len(limited.requests), statuses

        return asyncio.run(run())

    def test_limited_replica_gets_few_requests(self):
        """Guards against requests beyond the limit that a replica names."""
        count, statuses = self._count(respond(extra=("Server-Limit: 1",)))
        self.assertLessEqual(count, 1.5 * 1 + 5)
        self.assertEqual({200}, set(statuses))

    def test_limit_in_a_rejection_counts(self):
        """Guards against retries and probes beyond the limit."""
        count, statuses = self._count(reject(extra=("Server-Limit: 0",)))
        self.assertLessEqual(count, 5)
        self.assertEqual({200}, set(statuses))

    def test_withdrawn_limit(self):
        """Guards against a limit that outlives the need of a replica."""
        scripts = [respond(extra=("Server-Limit: 1",))] * 2
        count, _ = self._count(*scripts, respond(), requests=60, duration_s=4.0)
        self.assertGreater(count, 8)

    def test_malformed_limit_keeps_the_last_one(self):
        """Guards against a value without meaning that lifts a limit."""
        first = respond(extra=("Server-Limit: 1",))
        malformed = respond(extra=("Server-Limit: many",))
        count, _ = self._count(first, malformed)
        self.assertLessEqual(count, 1.5 * 1 + 5)

    def test_malformed_and_huge_limits_do_not_bind(self):
        """Guards against refusals because of a value without meaning."""
        for value in ("", "-1", "nan", "1e999", "9" * 300, "9" * 40):
            script = respond(extra=(f"Server-Limit: {value}",))
            count, statuses = self._count(script, others=0, requests=10)
            self.assertEqual((10, {200}), (count, set(statuses)), value)

    def test_limit_of_a_misdirected_response_is_ignored(self):
        """Guards against a limit that another replica names."""
        script = reject("421 Misdirected Request", extra=("Server-Limit: 0",))

        async def run():
            async with EntryFixture(
                Replica(script), Replica(respond())
            ) as fixture:
                for number in range(4):
                    await fixture.send_request(request_id=str(number))
                return fixture.state.server_limits.get(_LIMITED)

        self.assertIsNone(asyncio.run(run()))

    def test_request_is_refused_at_once(self):
        """Guards against a wait for replicas that take no request in time."""

        async def run():
            replica = Replica(respond(extra=("Server-Limit: 0",)))
            async with EntryFixture(replica) as fixture:
                await fixture.send_request()
                await fixture.send_request(request_id="78")
                started_s = time.monotonic()
                status, headers, body = await fixture.send_request(
                    request_id="79"
                )
                return time.monotonic() - started_s, status, headers, body

        elapsed_s, status, headers, body = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)
        self.assertLess(elapsed_s, 0.1)

    def test_slots_of_held_replicas_do_not_count(self):
        """Guards against a wait for slots that the limit keeps empty."""

        async def run():
            limited = [Replica(respond()) for _ in range(3)]
            async with EntryFixture(*limited, Replica(hang())) as fixture:
                state = fixture.state
                service = state.get_service(SERVICE)
                service.slot_queue.observe_duration(0.2)
                for _ in range(2):
                    state.occupancy.begin(InstanceId("replica-3"))
                before_s = state.estimate_wait_s(service)
                for number in range(3):
                    name = InstanceId(f"replica-{number}")
                    until_s = state.now_s() + 5.0
                    state.holds.hold(name, HoldReason.LIMIT, until_s)
                return before_s, state.estimate_wait_s(service)

        before_s, after_s = asyncio.run(run())
        self.assertEqual(0.0, before_s)
        self.assertAlmostEqual(0.1, after_s)
