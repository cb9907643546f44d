"""Tests of claims under races, lost responses and store outages."""

import asyncio
from datetime import timedelta

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.idempotency import (
    Claim,
    ClaimRegistry,
    ClaimSettings,
    ClaimShard,
)
from chicoryplank.verdict import Verdict

_KEY = "00000000" + "a" * 24
_BODY = "b" * 32


class TestClaimRegistry(testtools.TestCase):
    """Each key has at most one claim, whatever faults the store has."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.settings = ClaimSettings(
            write_interval=timedelta(), max_claims_per_segment=3
        )

    def _make_registry(self):
        return ClaimRegistry("bids", self.store, self.clock, self.settings)

    async def _try_admit(self, registry, attempt, key=_KEY, body=_BODY):
        try:
            await registry.admit(key, body, attempt)
        except ChicoryplankError as error:
            return error.code, error.verdict
        return "admitted"

    def test_second_agent_is_rejected(self):
        """Guards against one run of a key at each of two agents."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            return (
                await self._try_admit(first, "a"),
                await self._try_admit(second, "b"),
            )

        expected = (
            "admitted",
            (ErrorCode.CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN),
        )
        self.assertEqual(expected, asyncio.run(run()))

    def test_concurrent_claims_admit_one_attempt(self):
        """Guards against two agents that both read an empty shard."""

        async def run():
            registries = [self._make_registry() for _ in range(8)]
            return await asyncio.gather(
                *(
                    self._try_admit(registry, f"attempt-{number}")
                    for number, registry in enumerate(registries)
                )
            )

        results = asyncio.run(run())
        self.assertEqual(1, results.count("admitted"))

    def test_waiting_claims_share_a_write(self):
        """Guards against one store write for each request."""

        async def run():
            registry = self._make_registry()
            keys = [f"00000000{number:024x}" for number in range(100)]
            results = await asyncio.gather(
                *(self._try_admit(registry, key, key) for key in keys)
            )
            return results.count("admitted"), self.store.calls

        admitted, calls = asyncio.run(run())
        self.assertEqual(100, admitted)
        self.assertLess(calls, 6)

    def test_claims_in_sealed_segments_are_found(self):
        """Guards against losing claims when a new segment is created."""

        async def run():
            first = self._make_registry()
            for number in range(10):
                key = f"00000000{number:024x}"
                await first.admit(key, _BODY, f"a{number}")
            second = self._make_registry()
            return [
                await self._try_admit(second, "b", f"00000000{number:024x}")
                for number in range(10)
            ]

        self.assertNotIn("admitted", asyncio.run(run()))

    def test_claim_is_read_back_after_a_lost_response(self):
        """Guards against rejecting an attempt whose claim was written."""

        async def run():
            self.store.lose_answers = 1
            return await self._try_admit(self._make_registry(), "a")

        self.assertEqual("admitted", asyncio.run(run()))

    def test_store_outage_rejects_with_not_run(self):
        """Guards against a run without a claim while the store is down."""

        async def run():
            self.store.available = False
            return await self._try_admit(self._make_registry(), "a")

        expected = (ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN)
        self.assertEqual(expected, asyncio.run(run()))

    def test_claim_with_unknown_outcome_can_be_taken_over(self):
        """Guards against a key blocked by a claim whose request never ran."""

        async def run():
            registry = self._make_registry()
            await registry.admit("00000000" + "0" * 24, _BODY, "warm")
            inner = self.store.swap

            async def swap_then_go_down(*arguments):
                self.store.available = True
                self.store.lose_answers = 1
                try:
                    return await inner(*arguments)
                finally:
                    self.store.available = False

            self.store.swap = swap_then_go_down
            first = await self._try_admit(registry, "a")
            self.store.swap = inner
            self.store.available = True
            return first, await self._try_admit(registry, "b")

        expected = (
            (ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN),
            "admitted",
        )
        self.assertEqual(expected, asyncio.run(run()))

    def test_other_body_is_rejected(self):
        """Guards against reusing a key for a different request."""

        async def run():
            registry = self._make_registry()
            await registry.admit(_KEY, _BODY, "a")
            return await self._try_admit(registry, "b", body="c" * 32)

        expected = (ErrorCode.KEY_REUSED, Verdict.NOT_RUN)
        self.assertEqual(expected, asyncio.run(run()))

    def test_released_key_can_be_claimed_elsewhere(self):
        """Guards against a key that stays blocked after NOT_RUN."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            await first.admit(_KEY, _BODY, "a")
            blocked = await self._try_admit(second, "b")
            await first.release(_KEY, "a")
            return blocked, await self._try_admit(second, "c")

        blocked, admitted = asyncio.run(run())
        self.assertNotEqual("admitted", blocked)
        self.assertEqual("admitted", admitted)

    def test_failed_refresh_keeps_the_view_valid(self):
        """Guards against a second claim after a refresh failed half-way."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            await first.admit("0" * 32, _BODY, "a0")
            for number in range(1, 3):
                key = f"00000000{number:024x}"
                await second.admit(key, _BODY, f"b{number}")
            inner = self.store.read
            reads = []

            async def read_once(key):
                reads.append(key)
                self.store.available = len(reads) < 2
                return await inner(key)

            self.store.read = read_once
            blocked = await self._try_admit(first, "a9", "0" * 31 + "9")
            self.store.read = inner
            self.store.available = True
            return blocked, await self._try_admit(first, "a1", "0" * 31 + "1")

        blocked, again = asyncio.run(run())
        self.assertEqual(
            (ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN), blocked
        )
        self.assertEqual(
            (ErrorCode.CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN), again
        )

    def test_late_read_does_not_hide_a_claim(self):
        """Guards against a second claim after store reads were reordered."""

        async def run():
            store, shard = self.store, ClaimShard("claims/x/", 9)
            old, new, last = (
                Claim(name * 32, _BODY, name, 2**40) for name in "123"
            )
            other = ClaimShard("claims/x/", 9)
            await other.reload(store)
            await other.add(store, (old,))
            await shard.reload(store)
            inner, gate = store.read, asyncio.Event()

            async def read_late(key):
                record = await inner(key)
                await gate.wait()
                return record

            store.read = read_late
            late = asyncio.create_task(shard.refresh(store))
            await asyncio.sleep(0)
            store.read = inner
            await other.add(store, (new,))
            await shard.refresh(store)
            swap = store.swap

            async def swap_late(*arguments):
                gate.set()
                await late
                return await swap(*arguments)

            store.swap = swap_late
            added = await shard.add(store, (last,))
            found = [
                shard.find(item.key, self.clock.now())
                for item in (old, new, last)
            ]
            return added, found == [old, new, last]

        self.assertEqual((True, True), asyncio.run(run()))

    def test_release_with_lost_response_allows_one_run(self):
        """Guards against taking over a claim that was already removed."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            await first.admit(_KEY, _BODY, "a")
            self.store.lose_answers = 1
            await first.release(_KEY, "a")
            return (
                await self._try_admit(first, "b"),
                await self._try_admit(second, "c"),
            )

        self.assertEqual(1, asyncio.run(run()).count("admitted"))

    def test_claim_in_sealed_segment_is_taken_over(self):
        """Guards against losing a claim by a takeover in a sealed segment."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            await first.admit(_KEY, _BODY, "a")
            for number in range(4):
                await first.admit(f"00000000{number:024x}", _BODY, "other")
            await first.release(_KEY, "a")
            return (
                await self._try_admit(first, "b"),
                await self._try_admit(second, "c"),
            )

        expected = (
            "admitted",
            (ErrorCode.CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN),
        )
        self.assertEqual(expected, asyncio.run(run()))

    def test_unexpected_error_rejects_the_claim(self):
        """Guards against requests that wait for their claim forever."""

        async def run():
            registry = self._make_registry()

            async def fail(prefix):
                raise RuntimeError(prefix)

            self.store.read_prefix = fail
            async with asyncio.timeout(5):
                return await self._try_admit(registry, "a")

        self.assertEqual(
            (ErrorCode.INVARIANT_VIOLATED, Verdict.NOT_RUN), asyncio.run(run())
        )

    def test_response_for_another_key_is_rejected(self):
        """Guards against a store response that belongs to another call."""

        async def run():
            await self._make_registry().admit(_KEY, _BODY, "a")
            registry = self._make_registry()
            read_prefix = self.store.read_prefix

            async def read_other(prefix):
                del prefix
                return await read_prefix("claims/bids/0000/")

            self.store.read_prefix = read_other
            key = "00000001" + "a" * 24
            return await self._try_admit(registry, "b", key)

        self.assertEqual(
            (ErrorCode.MALFORMED_CLAIMS, Verdict.NOT_RUN), asyncio.run(run())
        )

    def test_expired_segments_are_deleted(self):
        """Guards against expired claims that stay in the store."""

        async def run():
            registry = self._make_registry()
            for number in range(7):
                key = f"00000000{number:024x}"
                await registry.admit(key, _BODY, f"a{number}")
            self.clock.advance(self.settings.retention * 2)
            deleted = await registry.delete_expired()
            again = await self._try_admit(registry, "b", "0" * 32)
            return deleted, again

        self.assertEqual((2, "admitted"), asyncio.run(run()))

    def test_malformed_document_blocks_the_shard(self):
        """Guards against a run while earlier claims cannot be read."""

        async def run():
            await self.store.swap("claims/bids/0000/0000000000", b"{", 0)
            return await self._try_admit(self._make_registry(), "a")

        expected = (ErrorCode.MALFORMED_CLAIMS, Verdict.NOT_RUN)
        self.assertEqual(expected, asyncio.run(run()))

    def test_claim_with_unknown_release_is_claimed_again(self):
        """Guards against a second run when the release takes effect late."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            await first.admit(_KEY, _BODY, "a")
            self.store.delay_writes = 1
            await first.release(_KEY, "a")
            again = await self._try_admit(first, "b")
            self.store.apply_delayed(0)
            return again, await self._try_admit(second, "c")

        again, elsewhere = asyncio.run(run())
        self.assertEqual("admitted", again)
        self.assertEqual(
            (ErrorCode.CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN), elsewhere
        )

    def test_sealed_claim_can_be_taken_over(self):
        """Guards against a released key that stays blocked when sealed."""

        async def run():
            registry = self._make_registry()
            for number in range(3):
                key = f"00000000{number:024x}"
                await registry.admit(key, _BODY, f"a{number}")
            await registry.release("0" * 32, "a0")
            return (
                await self._try_admit(registry, "b", "0" * 32),
                await self._try_admit(registry, "c", "0" * 32),
            )

        again, twice = asyncio.run(run())
        self.assertEqual("admitted", again)
        self.assertNotEqual("admitted", twice)

    def test_sealed_claim_near_its_expiry_is_not_taken_over(self):
        """Guards against a run whose claim expires before a retry."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            for number in range(3):
                key = f"00000000{number:024x}"
                await first.admit(key, _BODY, f"a{number}")
            await first.release("0" * 32, "a0")
            self.clock.advance(self.settings.retention - timedelta(seconds=5))
            again = await self._try_admit(first, "b", "0" * 32)
            self.clock.advance(timedelta(seconds=10))
            return [again, await self._try_admit(second, "c", "0" * 32)]

        self.assertEqual(1, asyncio.run(run()).count("admitted"))

    def test_resubmission_respects_the_limit(self):
        """Guards against more waiting claims than the limit."""

        async def run():
            self.settings = ClaimSettings(
                write_interval=timedelta(), max_waiting=1
            )
            first, second = self._make_registry(), self._make_registry()
            await first.admit(_KEY, _BODY, "a")
            await self._try_admit(second, "b")
            await first.release(_KEY, "a")
            gate, inner = asyncio.Event(), self.store.read

            async def read_late(key):
                await gate.wait()
                return await inner(key)

            self.store.read = read_late
            again = asyncio.create_task(self._try_admit(second, "c"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            swap, lock = self.store.swap, asyncio.Event()

            async def swap_late(*arguments):
                await lock.wait()
                return await swap(*arguments)

            self.store.swap = swap_late
            others = []
            for number in range(2):
                key = f"00000000{number:024x}"
                others.append(
                    asyncio.create_task(
                        self._try_admit(second, f"d{number}", key)
                    )
                )
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            gate.set()
            result = await asyncio.wait_for(again, 1)
            lock.set()
            return result, await asyncio.gather(*others)

        again, others = asyncio.run(run())
        self.assertEqual((ErrorCode.TOO_MANY_CLAIMS, Verdict.NOT_RUN), again)
        self.assertEqual(["admitted", "admitted"], others)

    def test_number_of_a_deleted_segment_is_not_used_again(self):
        """Guards against a second claim by an agent with an outdated view."""

        async def run():
            first, second = self._make_registry(), self._make_registry()
            for number in range(7):
                registry = first if number < 3 else second
                key = f"00000000{number:024x}"
                await registry.admit(key, _BODY, f"a{number}")
            self.clock.advance(self.settings.retention * 2)
            deleted = await second.delete_expired()
            return [
                deleted,
                await self._try_admit(second, "b"),
                await self._try_admit(first, "c"),
            ]

        expected = [
            2,
            "admitted",
            (ErrorCode.CLAIMED_ELSEWHERE, Verdict.MAY_HAVE_RUN),
        ]
        self.assertEqual(expected, asyncio.run(run()))

    def test_concurrent_deletions_of_a_segment(self):
        """Guards against an error when two calls delete the same segment."""

        async def run():
            registry = self._make_registry()
            for number in range(4):
                key = f"00000000{number:024x}"
                await registry.admit(key, _BODY, f"a{number}")
            self.clock.advance(self.settings.retention * 2)
            inner = self.store.delete

            async def delete_late(*arguments):
                await asyncio.sleep(0)
                return await inner(*arguments)

            self.store.delete = delete_late
            calls = (registry.delete_expired() for _ in range(2))
            return sum(await asyncio.gather(*calls))

        self.assertEqual(1, asyncio.run(run()))
