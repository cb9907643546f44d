"""Tests of the store view with a scripted store."""

import asyncio
import random

import testtools

from chicoryplank.admission import HoldReason, RetryBudgetParameters
from chicoryplank.clock import SystemClock
from chicoryplank.eras import join_revision
from chicoryplank.ids import (
    ConfigVersion,
    InstanceId,
    ModelGroupId,
    ServiceId,
    ZoneId,
)
from chicoryplank.orders import get_lease_key
from chicoryplank.store import StoreError
from chicoryplank.traffic import (
    ReplicaRecord,
    ReplicaState,
    TrafficConfiguration,
)
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.feed import FeedServer
from chicoryplank_entry.forwarding.members import Member, decode_member
from chicoryplank_entry.forwarding.peers import Peers
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.forwarding.views import (
    Change,
    HistoryGoneError,
    StoreView,
)

_SERVICE = ServiceId("llm")
_GROUP = ModelGroupId("llm")


class _Decoder:
    """Decoder of items that are short texts."""

    def decode_configuration(self, change):
        if change.key != "config":
            return None
        version = ConfigVersion(int(change.value))
        return TrafficConfiguration(version, (), {})

    def parse_replica_id(self, key):
        kind, _, name = key.partition("/")
        return InstanceId(name) if kind == "replica" else None

    def decode_replica(self, change):
        name = self.parse_replica_id(change.key)
        if name is None or change.value == b"odd":
            return None
        return ReplicaRecord(
            name,
            _SERVICE,
            "10.0.0.1:1",
            ZoneId("z"),
            1,
            ReplicaState(change.value.decode()),
        )

    def parse_evacuated_zone(self, key):
        kind, _, name = key.partition("/")
        return ZoneId(name) if kind == "evacuate" else None

    def parse_member_id(self, key):
        kind, _, name = key.partition("/")
        return InstanceId(name) if kind == "member" else None

    def decode_member(self, change):
        return decode_member(change.value)


class _Source:
    """Store whose responses are set by the test.

    Attributes:
        responses: Changes with which waiting calls end, or their errors.
        missed: Changes that the next call which does not wait returns.
        is_away: Whether all calls that do not wait fail.
    """

    def __init__(self):
        self.items = []
        self.revision = 10
        self.reads = 0
        self.responses = asyncio.Queue()
        self.missed = []
        self.is_away = False

    async def end_watch(self):
        await self.responses.put(StoreError("closed", Verdict.NOT_RUN))

    async def read_changes(self, after):
        if self.is_away:
            raise StoreError("away", Verdict.NOT_RUN)
        missed, self.missed = self.missed, []
        self.revision += len(missed)
        return missed, self.revision

    async def read_all(self):
        if self.is_away:
            raise StoreError("away", Verdict.NOT_RUN)
        self.reads += 1
        return list(self.items), self.revision

    async def wait_changes(self, after):
        response = await self.responses.get()
        if isinstance(response, Exception):
            raise response
        self.revision += 1
        return response, self.revision


class TestStoreView(testtools.TestCase):
    """The entry applies the changes of the store and nothing older."""

    def _run(self, work, items=()):
        async def run():
            state = EntryState(
                SystemClock(),
                ZoneId("z"),
                random.Random(1),
                RetryBudgetParameters(),
                registration_grace_s=0.3,
            )
            own = Member(InstanceId("own"), "z", "10.0.0.1:1", "10.0.0.1:2")
            view = None
            peers = Peers(
                own,
                state,
                random.Random(1),
                lambda revision: view.observe_newer_revision(revision),  # noqa: PLW0108
            )
            source = _Source()
            source.items = list(items)

            async def count_connection():
                self.connection_count += 1

            self.connection_count = 0
            view = StoreView(
                source,
                _Decoder(),
                state,
                peers=peers,
                rng=random.Random(1),
                feed=FeedServer(lambda: True),
                on_quarantine=lambda value, revision: None,
                on_replicas_changed=lambda: None,
                on_connected=count_connection,
            )
            await view.start()
            await asyncio.sleep(0.01)
            try:
                return await work(source, state, view)
            finally:
                await view.stop()

        return asyncio.run(run())

    def test_restored_store_takes_nothing_back(self):
        """Guards against an older configuration or registration.

        The revisions of the restored store are lower within its era.
        """

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            await source.responses.put(
                [
                    Change("config", b"7", 11),
                    Change("replica/a", b"draining", 11),
                    Change("replica/b", None, 11),
                ]
            )
            await asyncio.sleep(0.02)
            source.items = [
                Change("config", b"6", join_revision(1, 4)),
                Change("replica/a", b"ready", join_revision(1, 4)),
                Change("replica/b", b"ready", join_revision(1, 4)),
            ]
            source.revision = join_revision(1, 4)
            connections = self.connection_count
            await source.responses.put(HistoryGoneError())
            await asyncio.sleep(0.02)
            self.assertEqual(7, state.configuration.version)
            records = state.registry.list_all()
            self.assertEqual(
                [("a", ReplicaState.DRAINING)],
                [(record.instance, record.state) for record in records],
            )
            # The registration of this entry may be missing in the copy.
            self.assertEqual(connections + 1, self.connection_count)
            await source.responses.put(
                [Change("config", b"8", join_revision(1, 5))]
            )
            await asyncio.sleep(0.02)
            self.assertEqual(8, state.configuration.version)

        items = [
            Change("config", b"6", 10),
            Change("replica/a", b"ready", 10),
            Change("replica/b", b"ready", 10),
        ]
        self._run(work, items)

    def test_repeated_reloads_pause(self):
        """Guards against reading all items in a loop without a pause."""

        async def work(source, state, view):
            for _ in range(50):
                await source.responses.put(HistoryGoneError())
            await asyncio.sleep(0.3)
            self.assertLess(source.reads, 8)

        self._run(work)

    def _list_replicas(self, state):
        records = state.registry.list_service(_SERVICE)
        return [record.instance for record in records]

    def test_older_configuration_is_not_applied(self):
        """Guards against returning to an older configuration."""

        async def work(source, state, view):
            await source.responses.put([Change("config", b"5", 11)])
            await source.responses.put([Change("config", b"4", 12)])
            await asyncio.sleep(0.02)
            return state.configuration.version

        items = [Change("config", b"3", 10)]
        self.assertEqual(5, self._run(work, items))

    def test_replicas_follow_the_store(self):
        """Guards against requests to a replica that is no longer registered."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            await source.responses.put(
                [
                    Change("replica/b", b"ready", 11),
                    Change("replica/a", None, 12),
                ]
            )
            await asyncio.sleep(0.02)
            return self._list_replicas(state)

        items = [Change("replica/a", b"ready", 10)]
        self.assertEqual(["b"], self._run(work, items))

    def test_invalid_item_removes_the_replica(self):
        """Guards against using a replica whose item became invalid."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            await source.responses.put([Change("replica/a", b"odd", 11)])
            await asyncio.sleep(0.02)
            return self._list_replicas(state)

        items = [
            Change("replica/a", b"ready", 10),
            Change("replica/b", b"ready", 10),
        ]
        self.assertEqual(["b"], self._run(work, items))

    def test_outage_keeps_replicas_for_a_grace_period(self):
        """Guards against losing all replicas after a store outage."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            source.items = []
            source.is_away = True
            await source.end_watch()
            await asyncio.sleep(0.15)
            source.is_away = False
            await asyncio.sleep(0.15)
            during_grace = self._list_replicas(state)
            await asyncio.sleep(0.6)
            return (
                during_grace,
                self._list_replicas(state),
                self.connection_count,
            )

        items = [Change("replica/a", b"ready", 10)]
        during_grace, after_grace, connected = self._run(work, items)
        self.assertEqual((["a"], []), (during_grace, after_grace))
        self.assertEqual(2, connected)

    def test_long_silence_is_an_outage(self):
        """Guards against losing replicas that lapsed while a watch hung."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            clock = state.now_s
            state.now_s = lambda: clock() + 1.3
            source.items = []
            await source.end_watch()
            await asyncio.sleep(0.25)
            return self._list_replicas(state), self.connection_count

        items = [Change("replica/a", b"ready", 10)]
        self.assertEqual((["a"], 2), self._run(work, items))

    def test_ended_watch_is_no_outage(self):
        """Guards against requests to replicas that left while watches end."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            await source.end_watch()
            await asyncio.sleep(0.12)
            await source.responses.put([Change("replica/a", None, 11)])
            await source.end_watch()
            await asyncio.sleep(0.02)
            left = [self._list_replicas(state)]
            source.missed = [Change("replica/b", None, 12)]
            await asyncio.sleep(0.12)
            left.append(self._list_replicas(state))
            return left, source.reads, self.connection_count

        items = [
            Change("replica/a", b"ready", 10),
            Change("replica/b", b"ready", 10),
        ]
        self.assertEqual(([["b"], []], 1, 1), self._run(work, items))

    def test_watches_that_end_at_once_are_paced(self):
        """Guards against a loop of calls to a store that ends each watch."""

        async def work(source, state, view):
            for _ in range(50):
                await source.end_watch()
            await asyncio.sleep(0.3)
            return source.responses.qsize(), view.is_current

        left, is_current = self._run(work)
        self.assertGreater(left, 42)
        self.assertTrue(is_current)

    def test_lost_history_causes_full_read(self):
        """Guards against missing changes permanently."""

        async def work(source, state, view):
            source.items = [Change("config", b"9", 20)]
            await source.responses.put(HistoryGoneError())
            await asyncio.sleep(0.02)
            return state.configuration.version, source.reads

        items = [Change("config", b"3", 10)]
        self.assertEqual((9, 2), self._run(work, items))

    def test_stalled_watch_is_restarted(self):
        """Guards against an entry that stays behind the other entries."""

        async def work(source, state, view):
            source.items = [Change("config", b"9", 20)]
            view.observe_newer_revision(20)
            await asyncio.sleep(0.9)
            return state.configuration.version

        items = [Change("config", b"3", 10)]
        self.assertEqual(9, self._run(work, items))

    def test_lease_holder_is_known(self):
        """Guards against calls to acquire a lease that another entry holds."""

        async def work(source, state, view):
            holders = [view.get_lease_holder(_GROUP)]
            key = get_lease_key(_GROUP)
            for value in (b"own 5", None):
                await source.responses.put([Change(key, value, 11)])
                await asyncio.sleep(0.02)
                holders.append(view.get_lease_holder(_GROUP))
            return holders

        self.assertEqual([None, "own", None], self._run(work))

    def _list_evacuated(self, state):
        reasons = frozenset({HoldReason.EVACUATED})
        return state.holds.list_held(state.now_s(), reasons)

    def test_evacuation_is_read_with_the_configuration(self):
        """Guards against an entry that starts and sends to the zone."""

        async def work(source, state, view):
            return state.configuration.version, self._list_evacuated(state)

        items = [
            Change("config", b"3", 10),
            Change("evacuate/z", b"", 10),
            Change("replica/a", b"ready", 10),
        ]
        self.assertEqual((3, {"a"}), self._run(work, items))

    def test_evacuation_begins_and_ends(self):
        """Guards against requests to replicas of an evacuated zone."""

        async def work(source, state, view):
            held = []
            for changes in (
                [Change("evacuate/z", b"any", 11)],
                [Change("replica/b", b"ready", 12)],
                [
                    Change("evacuate/z", None, 13),
                    Change("config", b"4", 14),
                    Change("evacuate/z", b"", 15),
                ],
                [Change("evacuate/z", None, 16)],
            ):
                await source.responses.put(changes)
                await asyncio.sleep(0.01)
                held.append(set(self._list_evacuated(state)))
            return held

        items = [Change("replica/a", b"ready", 10)]
        both = {"a", "b"}
        self.assertEqual([{"a"}, both, both, set()], self._run(work, items))

    def test_evacuation_outlasts_a_restore(self):
        """Guards against requests before the operator has written again."""

        async def work(source, state, view):
            ended = []
            state.evacuations.on_ended = ended.extend
            source.items = [Change("replica/a", b"ready", join_revision(1, 4))]
            source.revision = join_revision(1, 4)
            await source.responses.put(HistoryGoneError())
            await asyncio.sleep(0.02)
            held = self._list_evacuated(state)
            clock = state.now_s
            for passed_s in (5.7, 6.1):
                state.now_s = lambda passed_s=passed_s: clock() + passed_s
                await asyncio.sleep(0.25)
                held = [*held, len(self._list_evacuated(state))]
            return held, ended

        items = [
            Change("evacuate/z", b"", 10),
            Change("replica/a", b"ready", 10),
        ]
        self.assertEqual((["a", 1, 0], ["a"]), self._run(work, items))

    def test_stop_cancels_the_watch(self):
        """Guards against a stop that waits for the watch."""

        async def work(source, state, view):
            async with asyncio.timeout(1):
                await view.stop()
            return True

        self.assertTrue(self._run(work))
