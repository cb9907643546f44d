"""Tests of limits that replicas name, with scripted replicas on loopback.

Load pattern: a replica in need takes a few requests per second from all
entries together, and the others take the rest.
"""

import asyncio
import time

from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
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
