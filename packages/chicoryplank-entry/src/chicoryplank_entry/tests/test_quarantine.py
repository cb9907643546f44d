"""Tests of trials of requests in quarantine, and of their record."""

import asyncio
import json

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import InstanceId
from chicoryplank.quarantine import Quarantine
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict
from chicoryplank_entry.quarantine import (
    QUARANTINE_KEY,
    QuarantineRecords,
    Trials,
)

_FEATURE = "llm/part/bad"


class UnavailableStore:
    """Store that does not respond."""

    async def read(self, key):
        raise StoreError("away", Verdict.NOT_RUN)


class TestTrials(testtools.TestCase):
    """Trials are granted once for all entries."""

    def acquire(self, *trials_and_tokens):
        async def run():
            return [
                await trials.acquire(_FEATURE, token)
                for trials, token in trials_and_tokens
            ]

        return asyncio.run(run())

    def test_one_entry_gets_a_trial(self):
        """Guards against a trial at each entry."""
        store = MemoryStore(ManualClock())
        first, second = Trials(store), Trials(store)
        granted = self.acquire((first, "time"), (second, "time"))
        self.assertEqual([True, False], granted)

    def test_number_of_trials_is_bounded(self):
        """Guards against a crash for each version or restart, for ever."""
        store = MemoryStore(ManualClock())
        granted = self.acquire(
            *((Trials(store), f"version {number}") for number in range(5))
        )
        self.assertEqual(2, sum(granted))

    def test_unavailable_store_grants_none(self):
        """Guards against trials that no other entry knows of."""
        trials = Trials(UnavailableStore())
        self.assertEqual([False], self.acquire((trials, "time")))
        self.assertFalse(trials.is_taken(_FEATURE, "time"))


class TestQuarantineRecords(testtools.TestCase):
    """The document in the store."""

    def make_records(self, store):
        clock = ManualClock()
        quarantine = Quarantine()
        own = InstanceId("entry")
        records = QuarantineRecords(
            store,
            quarantine,
            lambda: clock.elapsed().total_seconds(),
            own,
            lambda: [own],
        )
        return quarantine, records

    def test_malformed_document_is_replaced(self):
        """Guards against a document that blocks all later ones."""
        store = MemoryStore(ManualClock())
        quarantine, records = self.make_records(store)
        for value in (b"{", b"{}", b"[1]", b'[{"crash":1}]', b"\xff"):
            records.observe(value, 5)
        self.assertEqual([], quarantine.list_verdicts())

    def test_document_without_changes_is_not_written(self):
        """Guards against calls to the store on calm days."""
        store = MemoryStore(ManualClock())
        _, records = self.make_records(store)
        asyncio.run(records.save_if_due())

        async def read():
            return await store.read(QUARANTINE_KEY)

        self.assertIsNone(asyncio.run(read()))

    def test_verdict_is_read_from_the_store(self):
        """Guards against a process that starts without the verdicts."""
        quarantine, records = self.make_records(MemoryStore(ManualClock()))
        item = {
            "feature": _FEATURE,
            "service": "llm",
            "generation": 1,
            "age_s": 3.0,
            "versions": ["v1"],
        }
        records.observe(json.dumps([item]).encode(), 7)
        self.assertIsNotNone(quarantine.find_verdict([_FEATURE]))
