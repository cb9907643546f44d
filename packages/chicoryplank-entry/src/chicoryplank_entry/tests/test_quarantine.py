"""Tests of trials of requests in quarantine, and of their record."""

import asyncio
import json
from datetime import timedelta
from types import SimpleNamespace

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import InstanceId
from chicoryplank.quarantine import (
    Quarantine,
    SuspectAttempt,
    make_request_feature,
)
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict
from chicoryplank_entry.quarantine import (
    QUARANTINE_KEY,
    QuarantineCheck,
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


class TestQuarantineCheck(testtools.TestCase):
    """Which requests are refused, and when one of them is a trial."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(ManualClock())
        self.now_s = 100.0
        self.versions = {"v1"}

    def make_check(self):
        quarantine = Quarantine()
        item = {
            "feature": _FEATURE,
            "service": "llm",
            "generation": 1,
            "age_s": 0.0,
            "versions": ["v1"],
            "companions": [],
        }
        quarantine.merge([item], 100.0, "peer")
        check = QuarantineCheck(
            quarantine,
            Trials(self.store),
            now_s=lambda: self.now_s,
            list_versions=lambda service: self.versions,
            make_refusal=lambda call, message: ChicoryplankError(
                ErrorCode.QUARANTINED, message
            ),
            count=lambda result: None,
        )
        return quarantine, check

    def send(self, check, feature=_FEATURE):
        """Returns whether a request is sent, and whether it is a trial."""
        call = SimpleNamespace(
            request_id="1",
            service="llm",
            features=(feature,),
            attempts=0,
            is_trial=False,
        )

        async def run():
            try:
                check.check(call)
                await check.acquire_trial(call)
                check.check(call)
            except ChicoryplankError:
                return False, False
            return True, call.is_trial

        return asyncio.run(run())

    def test_requests_with_the_feature_are_refused(self):
        """Guards against a verdict without effect, or with too much."""
        _, check = self.make_check()
        self.assertEqual((False, False), self.send(check))
        self.assertEqual((True, False), self.send(check, "llm/part/other"))

    def test_probation_where_a_crash_takes_all_down(self):
        """Guards against a group that falls again and again.

        Requests to services whose replicas crash one by one are not refused.
        """
        feature = make_request_feature("llm", "a", "POST", "/", b"1")
        for is_lockstep in (True, False):
            quarantine = Quarantine()
            quarantine.observe_crash(
                "replica-1/1",
                "llm",
                "v1",
                [SuspectAttempt(99.0, (feature,))],
                entry="entry-1",
                replica_count=16,
                seen_s=100.0,
                now_s=100.0,
            )
            error = ChicoryplankError(
                ErrorCode.QUARANTINED, "", retry_after=timedelta(seconds=60)
            )
            check = QuarantineCheck(
                quarantine,
                None,
                now_s=lambda: 104.0,
                list_versions=lambda service: self.versions,
                make_refusal=lambda call, message, error=error: error,
                count=lambda result: None,
                has_probation=lambda service, value=is_lockstep: value,
            )
            call = SimpleNamespace(
                service="llm", features=(feature,), attempts=0, is_trial=False
            )
            if not is_lockstep:
                check.check(call)
                continue
            self.assertRaises(ChicoryplankError, check.check, call)
            self.assertEqual(timedelta(seconds=26), error.retry_after)

    def test_one_trial_is_due_after_a_while(self):
        """Guards against a quarantine that a mended engine does not end."""
        self.now_s += 31.0
        checks = [self.make_check()[1] for _ in range(3)]
        results = [self.send(check) for check in checks * 2]
        self.assertEqual([(True, True)] + [(False, False)] * 5, results)

    def test_one_trial_is_due_for_a_new_version(self):
        """Guards against a quarantine that outlives the faulty version."""
        self.versions = {"v1", "v2"}
        _, check = self.make_check()
        self.assertEqual((False, False), self.send(check))
        self.versions = {"v2"}
        results = [self.send(check) for _ in range(3)]
        self.assertEqual([(True, True)] + [(False, False)] * 2, results)

    def test_successful_trial_ends_the_quarantine(self):
        """Guards against refusing what a trial has shown to be sound."""
        self.now_s += 31.0
        quarantine, check = self.make_check()
        self.send(check)
        quarantine.observe_success(
            "llm", (_FEATURE,), self.now_s, self.now_s + 1.0, is_complete=True
        )
        self.assertEqual([(True, False)] * 2, [self.send(check)] * 2)


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
        nested = b"[" * 100_000
        for value in (b"{", b"{}", b"[1]", b'[{"crash":1}]', b"\xff", nested):
            records.observe(value, 5)
        self.assertEqual([], quarantine.list_verdicts())

    def test_document_fits_into_the_store(self):
        """Guards against writes that the store rejects for their size."""
        store = MemoryStore(ManualClock())
        quarantine, records = self.make_records(store)
        for number in range(64):
            features = [
                f"llm/part/{number}-{part}-{'x' * 250}" for part in range(60)
            ]
            quarantine.observe_crash(
                f"replica-{number}",
                "llm",
                "v1",
                [SuspectAttempt(0.0, features)],
                entry="entry",
                replica_count=16,
                seen_s=0.0,
                now_s=0.0,
            )
        records._get_delay_s = lambda: 0.0

        async def save():
            await records.save_if_due()
            return await store.read(QUARANTINE_KEY)

        self.assertLess(len(asyncio.run(save()).value), 1_000_000)

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
            "companions": [],
        }
        records.observe(json.dumps([item]).encode(), 7)
        self.assertIsNotNone(quarantine.find_verdict([_FEATURE]))
