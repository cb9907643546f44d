"""Tests of requests to cold replicas, with scripted replicas on loopback.

Load pattern: some replicas have just started, and the others serve the callers.
"""

import asyncio
import dataclasses
from datetime import timedelta
from unittest import mock

from chicoryplank.admission import ColdBoundParameters
from chicoryplank.ids import ConfigVersion, InstanceId
from chicoryplank.traffic import Service
from chicoryplank_entry.forwarding.cold_starts import add_cold_start_limit
from chicoryplank_entry.forwarding.tests.harness import (
    SERVICE,
    EntryFixture,
    Replica,
    hang,
    respond,
)
from chicoryplank_entry.forwarding.tests.test_exchange import ExchangeCase
from chicoryplank_entry.forwarding.tests.test_server_limits import TimedReplica

_SERVICE = Service(
    SERVICE, cold_start=timedelta(seconds=3), cold_requests_per_s=14.0
)
_OTHER = InstanceId("another-entry")


def _bound_cold_replicas(fixture, *cold):
    """Makes some replicas of a fixture cold and bounds requests to them."""
    state = fixture.state
    add_cold_start_limit(
        fixture.permits,
        state,
        lambda: fixture.members,
        ColdBoundParameters(1.5, 5.0),
    )
    for number, record in enumerate(state.registry.list_all()):
        remaining = timedelta(seconds=3 if number in cold else 0)
        state.registry.put(
            dataclasses.replace(record, cold_remaining=remaining)
        )
    state.activate(
        dataclasses.replace(
            fixture.configuration,
            version=ConfigVersion(2),
            services={SERVICE: _SERVICE},
        )
    )


def _delay_connections(fixture, delay_s, on_connect=lambda: None):
    """Makes connections take a time, in seconds."""
    acquire = fixture.pool.acquire

    async def acquire_late(*arguments):
        on_connect()
        await asyncio.sleep(delay_s)
        return await acquire(*arguments)

    return mock.patch.object(fixture.pool, "acquire", acquire_late)


class TestColdStarts(ExchangeCase):
    """Cold replicas get few requests, and the others are not affected."""

    def test_warm_replicas_come_first(self):
        """Guards against permits, and their latency, without need."""

        async def run():
            cold = [Replica(respond()) for _ in range(3)]
            async with EntryFixture(*cold, Replica(respond())) as fixture:
                _bound_cold_replicas(fixture, 0, 1, 2)
                with mock.patch.object(fixture.permits, "request") as request:
                    for number in range(30):
                        status, _, _ = await fixture.send_request(
                            request_id=str(number)
                        )
                        self.assertEqual(200, status)
                return request.call_count, sum(
                    len(replica.requests) for replica in cold
                )

        self.assertEqual((0, 0), asyncio.run(run()))

    def test_cold_replica_is_used_if_no_warm_one_is_free(self):
        """Guards against refusals while a cold replica has free slots."""

        async def run():
            cold = Replica(respond())
            async with EntryFixture(cold, Replica(hang())) as fixture:
                _bound_cold_replicas(fixture, 0)
                for _ in range(2):
                    fixture.state.occupancy.begin(InstanceId("replica-1"))
                status, _, _ = await fixture.send_request()
                return status, len(cold.requests)

        self.assertEqual((200, 1), asyncio.run(run()))

    def test_bound_in_a_second(self):
        """Guards against more requests than the bound at a cold replica."""

        async def run():
            cold = TimedReplica(respond())
            async with EntryFixture(cold) as fixture:
                _bound_cold_replicas(fixture, 0)
                tasks = []
                for number in range(150):
                    call = fixture.send_request(request_id=str(number))
                    tasks.append(asyncio.create_task(call))
                    await asyncio.sleep(0.01)
                await asyncio.gather(*tasks)
            return max(
                sum(start_s <= at_s < start_s + 1.0 for at_s in cold.times_s)
                for start_s in cold.times_s
            )

        worst = asyncio.run(run())
        self.assertGreater(worst, 3)
        self.assertLessEqual(worst, 26)

    def _send_to_one(self, prepare, **request):
        """Sends a request to an entry with one replica, which is cold."""

        async def run():
            replica = Replica(respond())
            async with EntryFixture(replica) as fixture:
                with prepare(fixture):
                    status, _, body = await fixture.send_request(**request)
                return status, body, len(replica.requests)

        return asyncio.run(run())

    def test_issuer_that_does_not_reply(self):
        """Guards against requests without a permit."""

        def prepare(fixture):
            _bound_cold_replicas(fixture, 0)
            fixture.members = [_OTHER]
            return mock.MagicMock()

        status, body, requests = self._send_to_one(prepare, left_ms=1500)
        self.assertEqual((503, 0), (status, requests))
        self.assertEqual("not_run", self.get_verdict(body))

    def test_minority_of_the_entries(self):
        """Guards against requests of a part that is cut off."""

        def prepare(fixture):
            _bound_cold_replicas(fixture, 0)
            fixture.state.entry_bound.observe(2, fixture.state.now_s())
            return mock.MagicMock()

        status, _, requests = self._send_to_one(prepare, left_ms=1500)
        self.assertEqual((503, 0), (status, requests))

    def test_old_permit(self):
        """Guards against permits that are used long after their second."""

        def prepare(fixture):
            _bound_cold_replicas(fixture, 0)
            return _delay_connections(fixture, 0.12)

        status, _, requests = self._send_to_one(prepare, left_ms=1500)
        self.assertEqual((503, 0), (status, requests))

    def test_replica_turns_cold_while_the_connection_is_made(self):
        """Guards against a request that was chosen before the start."""

        def prepare(fixture):
            _bound_cold_replicas(fixture)
            cold = fixture.state.cold_replicas
            name = InstanceId("replica-0")
            fixture.members = [_OTHER]
            return _delay_connections(
                fixture,
                0.02,
                lambda: cold.observe_report(name, 3.0, fixture.state.now_s()),
            )

        status, _, requests = self._send_to_one(prepare, left_ms=1500)
        self.assertEqual((503, 0), (status, requests))
