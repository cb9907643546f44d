"""Tests of the counts by class, and of an entry that decides with them."""

import asyncio
import collections
import dataclasses
import json
import random
from datetime import timedelta

import logbook
import testtools

from chicoryplank.admission import EntryCount, Occupancy, SlotQueue
from chicoryplank.ids import ConfigVersion
from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.class_counts import (
    ClassCounts,
    decode_classes,
    encode_classes,
)
from chicoryplank_entry.forwarding.service_classes import ServiceClasses
from chicoryplank_entry.forwarding.tests.harness import (
    SERVICE,
    EntryFixture,
    Replica,
    make_event,
    make_request,
    stream,
)


class TestClassCounts(testtools.TestCase):
    """Sums over the entries, and their form in a datagram."""

    def _count(self, counts, **arguments):
        arguments = {"is_alone": False, **arguments}
        found = counts.count(SERVICE, [0, 2], 42, **arguments)
        return {name: (c.in_progress, c.waiting) for name, c in found.items()}

    def test_counts_of_a_dead_entry_expire(self):
        """Guards against capacity that a dead entry seems to use."""
        counts = ClassCounts()
        counts.begin(SERVICE, 0)
        peer = collections.Counter({(SERVICE, 2, False): 3})
        counts.observe_peer("b", peer, 1.0)
        counts.expire_peers(2.9)
        self.assertEqual({0: (1, 0), 2: (3, 0)}, self._count(counts))
        counts.expire_peers(3.1)
        self.assertEqual({0: (1, 0), 2: (0, 0)}, self._count(counts))

    def test_entry_that_is_alone_assumes_the_others(self):
        """Guards against a partitioned entry that takes the whole limit."""
        counts = ClassCounts()
        counts.begin(SERVICE, 0)
        counts.begin(SERVICE, 2, is_waiting=True)
        found = self._count(counts, is_alone=True)
        self.assertEqual({0: (42, 0), 2: (0, 42)}, found)

    def test_field_of_a_datagram(self):
        """Guards against counts that change on their way."""
        counts = collections.Counter(
            {(SERVICE, 0, False): 3, (SERVICE, 2, True): 1}
        )
        document = json.loads(json.dumps(encode_classes(counts)))
        self.assertEqual(counts, decode_classes(document))

    def test_malformed_field_is_rejected(self):
        """Guards against a malformed datagram that crashes an entry."""
        for document in (
            [],
            {"s": 5},
            {"s": {"x": [1, 2]}},
            {"s": {"0": [1]}},
            {"s": {"0": [-1, 0]}},
            {"s": {"0": ["x", 0]}},
        ):
            self.assertRaises(
                (ValueError, TypeError, AttributeError),
                decode_classes,
                document,
            )


class TestServiceClasses(testtools.TestCase):
    """Grants and reports of one service, in virtual time."""

    def setUp(self):
        super().setUp()
        self.counts = ClassCounts()
        self.classes = ServiceClasses(
            SERVICE,
            [0, 2],
            counts=self.counts,
            occupancy=Occupancy(),
            entry_bound=EntryCount(),
            rng=random.Random(1),
        )
        self.classes.configure([0, 2], 100)

    def _begin(self, priority, count):
        for _ in range(count):
            self.classes.begin(priority)

    def test_grants_stop_at_the_limit(self):
        """Guards against a backlog that fills all slots after a hold."""
        self._begin(0, 60)
        queue = SlotQueue(200)
        granted = []
        for number in range(100):
            queue.add(2, 9.0, lambda number=number: granted.append(number))
        for _ in range(5):
            self.classes.observe_gap(0.921, 1.0)
        self.classes.grant(queue, 40, 1.0, reserve=0)
        # The limit is a little below 60, and grants go 12 % beyond it.
        self.assertEqual(7, len(granted))

    def test_shortage_is_logged(self):
        """Guards against refusals that no log line explains."""
        self._begin(0, 20)
        self._begin(2, 40)
        for _ in range(5):
            self.classes.observe_gap(1.1, 1.0)
        with logbook.TestHandler() as handler:
            refused = sum(not self.classes.try_admit(2, 1.0) for _ in range(9))
            self.classes.check(1.1)
            self.classes.check(1.2)
            self.classes.check(3.5)
        events = [record.extra["event"] for record in handler.records]
        self.assertEqual([1806, 1807], events)
        fields = handler.records[0].extra["fields"]
        self.assertEqual({0: 20, 2: 40}, fields["in_progress"])
        self.assertEqual({2: refused}, fields["refused"])


class TestEntry(testtools.TestCase):
    """An entry with a service whose routes have one or several priorities."""

    def _run(self, act, *, priorities):
        async def run():
            replica = Replica(stream([make_event(n) for n in range(5)]))
            async with EntryFixture(
                replica, kind=RequestKind.STREAMING
            ) as fixture:
                self._activate(fixture, priorities)
                return await act(fixture, replica)

        return asyncio.run(run())

    def _activate(self, fixture, priorities):
        """Gives the service one route of each priority, /0/ for the first."""
        known = fixture.configuration.routes[0]
        routes = tuple(
            dataclasses.replace(
                known,
                name=f"r{n}",
                path_prefix=f"/{n}/",
                priority=priority,
                gap_target=timedelta(milliseconds=120),
            )
            for n, priority in enumerate(priorities)
        )
        version = ConfigVersion(fixture.state.configuration.version + 1)
        fixture.state.activate(
            dataclasses.replace(
                fixture.configuration, version=version, routes=routes
            )
        )

    def test_one_priority_changes_nothing(self):
        """Guards against a new decision for services of one priority."""

        async def act(fixture, replica):
            status, _, _ = await fixture.send_request(target="/1/")
            service = fixture.state.get_service(SERVICE)
            return status, service.classes, fixture.state.class_counts.get_own()

        found = self._run(act, priorities=[1, 1])
        self.assertEqual((200, None, collections.Counter()), found)

    def test_requests_are_counted_until_their_end(self):
        """Guards against counts that grow with each request."""

        async def act(fixture, replica):
            reader, writer = await fixture.connect()
            writer.write(make_request(target="/1/"))
            await reader.readuntil(b"word 0")
            during = fixture.state.class_counts.get_own()
            await reader.readuntil(b"0\r\n\r\n")
            # The second caller leaves in the middle of its stream.
            _, second = await fixture.connect()
            second.write(make_request(target="/0/"))
            await asyncio.sleep(0.005)
            second.close()
            await asyncio.sleep(0.1)
            return during, fixture.state.class_counts.get_own()

        during, after = self._run(act, priorities=[0, 2])
        self.assertEqual({(SERVICE, 2, False): 1}, dict(during))
        self.assertEqual({}, dict(after))

    def test_refusal_states_that_the_request_did_not_run(self):
        """Guards against a refused request that a replica runs anyway."""

        async def act(fixture, replica):
            state = fixture.state
            service = state.get_service(SERVICE)
            peer = collections.Counter({(SERVICE, 0, False): 2})
            state.class_counts.observe_peer("peer", peer, state.now_s())
            answers = []
            for _ in range(20):
                # More samples than the admitted streams add, since these are
                # fast.
                for _ in range(100):
                    service.classes.observe_gap(1.2, state.now_s())
                answers.append(await fixture.send_request(target="/1/"))
            return answers, len(replica.requests)

        answers, run_count = self._run(act, priorities=[0, 2])
        refused = [answer for answer in answers if answer[0] == 503]
        self.assertEqual(len(answers) - len(refused), run_count)
        self.assertGreater(len(refused), 10)
        for _, headers, body in refused:
            self.assertEqual("not_run", json.loads(body)["error"]["verdict"])
            self.assertLessEqual(float(headers["retry-after"]), 0.5)

    def test_gaps_are_measured_at_the_relayed_events(self):
        """Guards against a limit that never follows the gaps."""

        async def act(fixture, replica):
            classes = fixture.state.get_service(SERVICE).classes
            gaps = []
            firsts = []
            classes.observe_gap = lambda ratio, now_s: gaps.append(ratio)
            classes.observe_first_output = lambda ratio, now_s: firsts.append(
                ratio
            )
            await fixture.send_request(target="/1/")
            return gaps, firsts

        gaps, firsts = self._run(act, priorities=[0, 2])
        self.assertEqual(1, len(firsts))
        self.assertGreaterEqual(len(gaps), 1)
        self.assertTrue(all(0 <= ratio < 2 for ratio in gaps), gaps)

    def test_configuration_with_one_priority_ends_it(self):
        """Guards against requests that are counted forever after a change."""

        async def act(fixture, replica):
            reader, writer = await fixture.connect()
            writer.write(make_request(target="/1/"))
            await reader.readuntil(b"word 0")
            self._activate(fixture, [1, 1])
            await reader.readuntil(b"0\r\n\r\n")
            await asyncio.sleep(0.01)
            return fixture.state.class_counts.get_own()

        self.assertEqual({}, dict(self._run(act, priorities=[0, 2])))
