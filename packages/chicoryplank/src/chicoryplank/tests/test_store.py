"""Tests of the in-memory store that other tests use."""

import asyncio
import contextlib
from datetime import timedelta

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.fakes import MemoryStore
from chicoryplank.store import StoreError, SwapOutcome
from chicoryplank.tests.store_contract import StoreContract
from chicoryplank.verdict import Verdict


class _MemoryStoreFaults:
    """Fault injection for the in-memory store."""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock

    async def pass_time(self, duration):
        self._clock.advance(duration)

    def lose_answers(self, count):
        self._store.lose_answers = count

    def set_down(self, is_down):
        self._store.available = not is_down


class TestMemoryStoreContract(StoreContract, testtools.TestCase):
    """Runs the tests of the store interface on the in-memory store."""

    @contextlib.asynccontextmanager
    async def open_store(self):
        clock = ManualClock()
        store = MemoryStore(clock)
        yield store, _MemoryStoreFaults(store, clock)


class TestMemoryStore(testtools.TestCase):
    """Tests compare-and-swap, leases and injected faults."""

    def test_swap_needs_the_revision_read(self):
        """Guards against a fake in which two competing writes succeed."""

        async def run():
            store = MemoryStore(ManualClock())
            outcome, revision = await store.swap("a", b"1", 0)
            second, _ = await store.swap("a", b"2", 0)
            third, _ = await store.swap("a", b"3", revision)
            return outcome, second, third

        expected = (
            SwapOutcome.SWAPPED,
            SwapOutcome.CONFLICT,
            SwapOutcome.SWAPPED,
        )
        self.assertEqual(expected, asyncio.run(run()))

    def test_write_with_lost_response_takes_effect(self):
        """Guards against a fake that drops writes whose response is lost."""

        async def run():
            store = MemoryStore(ManualClock())
            store.lose_answers = 1
            try:
                await store.swap("a", b"1", 0)
            except StoreError:
                return await store.read("a")

        self.assertEqual(b"1", asyncio.run(run()).value)

    def test_expired_lease_deletes_its_keys(self):
        """Guards against a lease that survives a pause of its holder."""

        async def run():
            clock = ManualClock()
            store = MemoryStore(clock)
            lease = await store.grant_lease(timedelta(seconds=3))
            await store.swap("a", b"1", 0, lease)
            clock.advance(timedelta(seconds=4))
            return await store.renew_lease(lease), await store.read("a")

        self.assertEqual((False, None), asyncio.run(run()))

    def test_delayed_write_takes_effect_late(self):
        """Guards against a fake that drops writes that time out."""

        async def run():
            store = MemoryStore(ManualClock())
            store.delay_writes = 2
            for value in (b"1", b"2"):
                try:
                    await store.swap("a", value, 0)
                except StoreError as error:
                    self.assertIs(Verdict.MAY_HAVE_RUN, error.verdict)
            before = await store.read("a")
            store.apply_delayed(1)
            store.apply_delayed(0)
            after = await store.read("a")
            return before, after.value, store.delayed

        self.assertEqual((None, b"2", 0), asyncio.run(run()))
