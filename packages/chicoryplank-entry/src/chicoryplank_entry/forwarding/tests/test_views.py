"""Tests of the view of the store, with a store in memory."""

import asyncio
import random

import testtools

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import SystemClock
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
from chicoryplank_entry.forwarding.peers import Member, Peers, decode_member
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.forwarding.views import (
    Change,
    HistoryGoneError,
    StoreView,
)

_SERVICE = ServiceId("llm")
_GROUP = ModelGroupId("llm")


class _Decoder:
    """Items are short texts."""

    def decode_configuration(self, change):
        if change.key != "config":
            return None
        version = ConfigVersion(int(change.value))
        return TrafficConfiguration(version, (), {})

    def find_replica_id(self, key):
        kind, _, name = key.partition("/")
        return InstanceId(name) if kind == "replica" else None

    def decode_replica(self, change):
        name = self.find_replica_id(change.key)
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

    def find_member_id(self, key):
        kind, _, name = key.partition("/")
        return InstanceId(name) if kind == "member" else None

    def decode_member(self, change):
        return decode_member(change.value)


class _Source:
    """Store whose answers are scripted by the test."""

    def __init__(self):
        self.items = []
        self.revision = 10
        self.reads = 0
        self.steps = asyncio.Queue()

    async def read_all(self):
        self.reads += 1
        return list(self.items), self.revision

    async def wait_changes(self, after):
        step = await self.steps.get()
        if isinstance(step, Exception):
            raise step
        self.revision += 1
        return step, self.revision


class TestStoreView(testtools.TestCase):
    """The entry applies what the store says, and nothing older."""

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
                lambda revision: view.observe_newer(revision),  # noqa: PLW0108
            )
            source = _Source()
            source.items = list(items)

            async def connected():
                self.connected += 1

            self.connected = 0
            view = StoreView(
                source,
                _Decoder(),
                state,
                peers=peers,
                random_source=random.Random(1),
                feed=FeedServer(lambda: True),
                on_replicas=lambda: None,
                on_connected=connected,
            )
            await view.start()
            await asyncio.sleep(0.01)
            try:
                return await work(source, state, view)
            finally:
                await view.stop()

        return asyncio.run(run())

    def _list(self, state):
        records = state.registry.list_service(_SERVICE)
        return [record.instance for record in records]

    def test_older_configuration_is_not_applied(self):
        """Guards against a configuration that goes back."""

        async def work(source, state, view):
            await source.steps.put([Change("config", b"5", 11)])
            await source.steps.put([Change("config", b"4", 12)])
            await asyncio.sleep(0.02)
            return state.configuration.version

        items = [Change("config", b"3", 10)]
        self.assertEqual(5, self._run(work, items))

    def test_replicas_follow_the_store(self):
        """Guards against requests to a replica that has left."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            await source.steps.put(
                [
                    Change("replica/b", b"ready", 11),
                    Change("replica/a", None, 12),
                ]
            )
            await asyncio.sleep(0.02)
            return self._list(state)

        items = [Change("replica/a", b"ready", 10)]
        self.assertEqual(["b"], self._run(work, items))

    def test_item_that_names_no_replica_ends_one(self):
        """Guards against using a replica whose item became odd bytes."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            await source.steps.put([Change("replica/a", b"odd", 11)])
            await asyncio.sleep(0.02)
            return self._list(state)

        items = [
            Change("replica/a", b"ready", 10),
            Change("replica/b", b"ready", 10),
        ]
        self.assertEqual(["b"], self._run(work, items))

    def test_outage_keeps_replicas_for_their_return(self):
        """Guards against a fleet without replicas after an outage."""

        async def work(source, state, view):
            await asyncio.sleep(0.35)
            source.items = []
            await source.steps.put(StoreError("away", Verdict.NOT_RUN))
            await asyncio.sleep(0.15)
            kept = self._list(state)
            await asyncio.sleep(0.6)
            return kept, self._list(state), self.connected

        items = [Change("replica/a", b"ready", 10)]
        kept, later, connected = self._run(work, items)
        self.assertEqual((["a"], []), (kept, later))
        self.assertEqual(2, connected)

    def test_dropped_history_is_read_anew(self):
        """Guards against changes that are missed for good."""

        async def work(source, state, view):
            source.items = [Change("config", b"9", 20)]
            await source.steps.put(HistoryGoneError())
            await asyncio.sleep(0.02)
            return state.configuration.version, source.reads

        items = [Change("config", b"3", 10)]
        self.assertEqual((9, 2), self._run(work, items))

    def test_silent_watch_is_given_up_when_others_know_more(self):
        """Guards against an entry that stays behind its peers."""

        async def work(source, state, view):
            source.items = [Change("config", b"9", 20)]
            view.observe_newer(20)
            await asyncio.sleep(0.9)
            return state.configuration.version

        items = [Change("config", b"3", 10)]
        self.assertEqual(9, self._run(work, items))

    def test_holder_of_a_lease_is_seen(self):
        """Guards against entries that try for a lease that is held."""

        async def work(source, state, view):
            seen = [view.find_holder(_GROUP)]
            key = get_lease_key(_GROUP)
            for value in (b"own 5", None):
                await source.steps.put([Change(key, value, 11)])
                await asyncio.sleep(0.02)
                seen.append(view.find_holder(_GROUP))
            return seen

        self.assertEqual([None, "own", None], self._run(work))

    def test_stop_ends_the_wait(self):
        """Guards against a stop that hangs on a waiting watch."""

        async def work(source, state, view):
            async with asyncio.timeout(1):
                await view.stop()
            return True

        self.assertTrue(self._run(work))
