"""Tests that every implementation of the store interface must pass."""

import asyncio
from datetime import timedelta

from chicoryplank.store import StoreError, SwapOutcome
from chicoryplank.verdict import Verdict

_TEST_TIMEOUT_S = 10
# Not shorter than the minimum lease duration of any implementation.
_LEASE = timedelta(seconds=1)


class StoreContract:
    """Mix-in for a test case, with tests of the Store interface.

    The test case provides `open_store`, an asynchronous context manager that
    yields a store and an object that injects faults into it (pass_time,
    lose_answers, set_down).
    """

    def _run(self, work):
        async def run():
            async with (
                asyncio.timeout(_TEST_TIMEOUT_S),
                self.open_store() as (store, control),
            ):
                return await work(store, control)

        return asyncio.run(run())

    def test_swap_needs_the_expected_revision(self):
        """Guards against a write that overwrites a newer one."""

        async def work(store, control):
            self.assertIsNone(await store.read("a"))
            outcome, revision = await store.swap("a", b"\x00one", 0)
            self.assertIs(SwapOutcome.SWAPPED, outcome)
            record = await store.read("a")
            self.assertEqual(
                ("a", b"\x00one", revision),
                (record.key, record.value, record.revision),
            )
            outcome, _ = await store.swap("a", b"two", 0)
            self.assertIs(SwapOutcome.CONFLICT, outcome)
            outcome, newer = await store.swap("a", b"two", revision)
            self.assertIs(SwapOutcome.SWAPPED, outcome)
            self.assertGreater(newer, revision)
            self.assertEqual(b"two", (await store.read("a")).value)

        self._run(work)

    def test_delete_needs_the_expected_revision(self):
        """Guards against a delete that removes a newer version of a record."""

        async def work(store, control):
            _, first = await store.swap("a", b"one", 0)
            _, second = await store.swap("a", b"two", first)
            self.assertIs(SwapOutcome.CONFLICT, await store.delete("a", first))
            self.assertIsNotNone(await store.read("a"))
            self.assertIs(SwapOutcome.SWAPPED, await store.delete("a", second))
            self.assertIsNone(await store.read("a"))

        self._run(work)

    def test_prefix_read_is_sorted_and_exact(self):
        """Guards against unsorted records and records of other prefixes."""

        async def work(store, control):
            for key in ("b/2", "c/1", "b/1", "b", "a/9"):
                await store.swap(key, key.encode(), 0)
            found = [record.key for record in await store.read_prefix("b/")]
            self.assertEqual(["b/1", "b/2"], found)
            self.assertEqual((), tuple(await store.read_prefix("d/")))

        self._run(work)

    def test_expired_lease_deletes_its_keys(self):
        """Guards against keys that remain after their lease has expired."""

        async def work(store, control):
            lease = await store.grant_lease(_LEASE)
            await store.swap("a", b"one", 0, lease)
            self.assertTrue(await store.renew_lease(lease))
            await control.pass_time(3 * _LEASE)
            self.assertFalse(await store.renew_lease(lease))
            self.assertIsNone(await store.read("a"))

        self._run(work)

    def test_revoked_lease_deletes_its_keys(self):
        """Guards against a successor that must wait for a released lease."""

        async def work(store, control):
            lease = await store.grant_lease(_LEASE)
            await store.swap("a", b"one", 0, lease)
            await store.swap("b", b"two", 0)
            await store.revoke_lease(lease)
            self.assertIsNone(await store.read("a"))
            self.assertIsNotNone(await store.read("b"))

        self._run(work)

    def test_lost_response_means_unknown_outcome(self):
        """Guards against reporting a write that took effect as not done."""

        async def work(store, control):
            control.lose_answers(1)
            try:
                await store.swap("a", b"one", 0)
            except StoreError as error:
                self.assertIs(Verdict.MAY_HAVE_RUN, error.verdict)
            else:
                self.fail("a lost response did not raise a StoreError")
            self.assertEqual(b"one", (await store.read("a")).value)

        self._run(work)

    def test_unavailable_store_raises_an_error(self):
        """Guards against reporting a record as absent during an outage."""

        async def work(store, control):
            await store.swap("a", b"one", 0)
            control.set_down(True)
            try:
                await store.read("a")
            except StoreError:
                pass
            else:
                self.fail("a store that is down did not raise a StoreError")
            control.set_down(False)
            self.assertEqual(b"one", (await store.read("a")).value)

        self._run(work)

    def test_watch_yields_changes(self):
        """Guards against a change that a watch never yields."""

        async def work(store, control):
            _, revision = await store.swap("a", b"one", 0)
            seen = asyncio.get_running_loop().create_future()

            async def watch():
                async for record in store.watch("a"):
                    if record.value == b"two":
                        seen.set_result(record.revision)
                        return

            task = asyncio.ensure_future(watch())
            # A watch yields only later changes, so it has to start first.
            for _ in range(20):
                await asyncio.sleep(0.01)
            _, revision = await store.swap("a", b"two", revision)
            self.assertEqual(revision, await seen)
            await task

        self._run(work)
