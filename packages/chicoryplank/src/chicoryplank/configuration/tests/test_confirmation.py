"""Tests of confirmation, garbage collection and the history of changes."""

import asyncio
import dataclasses
import random

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    Capacity,
    InsufficientCapacityError,
    InvalidInputError,
    PlanSupersededError,
    ResourceEdits,
    SnapshotReader,
    confirm_plan,
    create_plan,
    delete_unreferenced_parts,
    read_history,
)
from chicoryplank.configuration.tests.samples import (
    CAPACITY,
    confirm_intent,
    make_first_intent,
    make_limit_intent,
    read_snapshot,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict


class FaultyStore(MemoryStore):
    """Store with random interleaving, failed calls and delayed writes.

    Args:
        rng: Random number generator that chooses the faults.
        failure_rate: Probability of a failure before a call takes effect, and
            again of one after it.
    """

    def __init__(self, rng, failure_rate):
        super().__init__(ManualClock())
        self._rng = rng
        self._failure_rate = failure_rate
        self._delayed = []

    async def _inject_fault(self, verdict):
        for _ in range(self._rng.randrange(4)):
            await asyncio.sleep(0)
        if self._rng.random() < self._failure_rate:
            raise StoreError("fault", verdict)

    async def read(self, key):
        """Reads a record, with faults."""
        await self._inject_fault(Verdict.NOT_RUN)
        return await super().read(key)

    async def swap(self, key, value, expected_revision, lease=0):
        """Swaps a value, with faults before and after it, or with a delay."""
        await self._inject_fault(Verdict.NOT_RUN)
        if self._rng.random() < self._failure_rate:
            self._delayed.append(
                asyncio.create_task(
                    self._swap_after_delay(key, value, expected_revision)
                )
            )
            raise StoreError("the write is delayed", Verdict.MAY_HAVE_RUN)
        result = await super().swap(key, value, expected_revision, lease)
        await self._inject_fault(Verdict.MAY_HAVE_RUN)
        return result

    async def _swap_after_delay(self, *arguments):
        for _ in range(self._rng.randrange(40)):
            await asyncio.sleep(0)
        await super().swap(*arguments)

    async def read_prefix(self, prefix):
        """Reads without faults, or no garbage collection would succeed.

        Garbage collection reads 256 slices, each with one call.
        """
        if self._rng.random() < 0.1:
            await asyncio.sleep(0)
        return await super().read_prefix(prefix)

    async def finish_delayed_writes(self):
        """Waits for the delayed writes and turns faults off."""
        self._failure_rate = 0.0
        await asyncio.gather(*self._delayed)

    async def delete(self, key, expected_revision):
        """Deletes a record, with faults before and after it."""
        await self._inject_fault(Verdict.NOT_RUN)
        result = await super().delete(key, expected_revision)
        await self._inject_fault(Verdict.MAY_HAVE_RUN)
        return result


async def make_store():
    """Returns a store with version 1."""
    store = MemoryStore(ManualClock())
    await confirm_intent(store, make_first_intent())
    return store


async def plan_limit_change(store, account, tokens_per_s):
    """Returns a plan that changes a limit in the active version."""
    intent = make_limit_intent(account, tokens_per_s)
    return create_plan(await read_snapshot(store), intent, CAPACITY)


async def catch_error(awaitable):
    """Returns the result of an awaitable or the ChicoryplankError it raises."""
    try:
        return await awaitable
    except ChicoryplankError as error:
        return error


class TestConfirmation(testtools.TestCase):
    """Confirmation of a single plan, with and without faults."""

    def test_plan_has_no_effect_before_confirmation(self):
        """Guards against a plan that takes effect before it is confirmed."""

        async def run():
            store = await make_store()
            before = await store.read_prefix("config/")
            plan = await plan_limit_change(store, "account-0", 7)
            unchanged = before == await store.read_prefix("config/")
            done = await confirm_plan(
                store, plan, "ann", "op", clock=ManualClock()
            )
            return unchanged, done, await read_snapshot(store)

        unchanged, done, snapshot = asyncio.run(run())
        self.assertTrue(unchanged)
        self.assertEqual((2, 2), (done.version, snapshot.version))
        self.assertEqual(7, snapshot.accounts["account-0"].tokens_per_s)

    def test_failed_part_write_changes_nothing(self):
        """Guards against a root that is swapped before its parts exist."""

        async def run():
            store = await make_store()
            plan = await plan_limit_change(store, "account-0", 7)
            original = store.swap

            async def fail_on_root(key, *arguments):
                if key == ROOT_KEY:
                    raise StoreError("down", Verdict.NOT_RUN)
                return await original(key, *arguments)

            store.swap = fail_on_root
            first = await catch_error(
                confirm_plan(store, plan, "ann", "op", is_first_call=True)
            )
            again = await catch_error(confirm_plan(store, plan, "ann", "op"))
            return first, again, await read_snapshot(store)

        first, again, snapshot = asyncio.run(run())
        self.assertEqual(Verdict.NOT_RUN, first.verdict)
        # A repeated call cannot know whether the call before took effect.
        self.assertEqual(Verdict.MAY_HAVE_RUN, again.verdict)
        self.assertEqual(1, snapshot.version)

    def test_repeated_confirmation_after_lost_responses(self):
        """Guards against a change applied twice or reported as failed."""

        async def run(losses):
            store = await make_store()
            plan = await plan_limit_change(store, "account-0", 7)
            store.lose_answers = losses
            done = await confirm_plan(
                store, plan, "ann", "op", clock=ManualClock()
            )
            again = await confirm_plan(
                store, plan, "ann", "op", clock=ManualClock()
            )
            return done, again, await read_snapshot(store)

        for losses in range(1, 4):
            done, again, snapshot = asyncio.run(run(losses))
            self.assertEqual((2, 2), (done.version, again.version))
            self.assertTrue(again.repeated)
            self.assertEqual(2, snapshot.version)

    def test_outcome_is_unknown_without_the_store(self):
        """Guards against NOT_RUN for a change that took effect."""

        async def run():
            store = await make_store()
            plan = await plan_limit_change(store, "account-0", 7)
            original = store.swap

            async def lose_root(key, *arguments):
                result = await original(key, *arguments)
                if key == ROOT_KEY:
                    store.available = False
                    raise StoreError("lost", Verdict.MAY_HAVE_RUN)
                return result

            store.swap = lose_root
            error = await catch_error(confirm_plan(store, plan, "ann", "op"))
            store.available = True
            store.swap = original
            # Another change is confirmed before the operator repeats the call.
            await confirm_intent(
                store, make_limit_intent("account-1", 8), "bob"
            )
            return error, await confirm_plan(store, plan, "ann", "op")

        error, done = asyncio.run(run())
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)
        self.assertEqual((2, True), (done.version, done.repeated))

    def test_capacity_is_compared_again(self):
        """Guards against confirming a plan whose replicas no longer exist."""

        async def run():
            store = await make_store()
            plan = await plan_limit_change(store, "account-0", 3800)
            reduced_capacity = Capacity(
                {"llm": frozenset({"llm-0", "llm-1", "llm-2"})}
            )
            return await catch_error(
                confirm_plan(store, plan, "a", "b", capacity=reduced_capacity)
            )

        self.assertIsInstance(asyncio.run(run()), InsufficientCapacityError)

    def test_different_content_of_the_same_version(self):
        """Guards against confirming a plan in a store with other content."""

        async def run():
            plan = await plan_limit_change(await make_store(), "account-0", 7)
            other = MemoryStore(ManualClock())
            first = make_first_intent()
            # The plan changes the same values, but one service is absent.
            await confirm_intent(
                other, dataclasses.replace(first, services=ResourceEdits())
            )
            return await catch_error(confirm_plan(other, plan, "ann", "op"))

        self.assertEqual(ErrorCode.INVALID_PLAN, asyncio.run(run()).code)

    def test_store_with_an_older_version(self):
        """Guards against confirming a plan in a store with an older version."""

        async def run():
            plan = await plan_limit_change(await make_store(), "account-0", 7)
            other = MemoryStore(ManualClock())
            return await catch_error(confirm_plan(other, plan, "ann", "op"))

        error = asyncio.run(run())
        self.assertEqual(ErrorCode.INVALID_PLAN, error.code)
        self.assertIn("the store holds version 0", error.message)


class TestConcurrentConfirmations(testtools.TestCase):
    """Concurrent confirmations of conflicting plans."""

    def test_superseded_error_names_the_winner(self):
        """Guards against two winners, and errors without the winning change."""

        async def run():
            store = await make_store()
            first = await plan_limit_change(store, "account-0", 7)
            second = await plan_limit_change(store, "account-0", 8)
            results = await asyncio.gather(
                catch_error(
                    confirm_plan(store, first, "ann", "op-a", capacity=CAPACITY)
                ),
                catch_error(
                    confirm_plan(
                        store, second, "bob", "op-b", capacity=CAPACITY
                    )
                ),
            )
            superseded = next(
                item for item in results if isinstance(item, Exception)
            )
            before = await read_snapshot(store)
            await confirm_plan(store, superseded.new_plan, "bob", "op-c")
            return results, superseded, before, await read_snapshot(store)

        results, superseded, before, after = asyncio.run(run())
        winners = [item for item in results if item is not superseded]
        self.assertEqual(1, len(winners))
        self.assertIsInstance(superseded, PlanSupersededError)
        self.assertEqual(winners[0].operator, superseded.winner.operator)
        self.assertIn(f"by {winners[0].operator}", superseded.message)
        self.assertIn(
            "accounts.account-0.tokens_per_s: 100 ->", superseded.message
        )
        self.assertEqual((2, 3), (before.version, after.version))

    def test_same_intent_of_two_operators(self):
        """Guards against reporting success for the loser of two equal plans."""

        async def run():
            store = await make_store()
            plan = await plan_limit_change(store, "account-0", 7)
            await confirm_plan(store, plan, "ann", "op-a")
            return await catch_error(confirm_plan(store, plan, "bob", "op-b"))

        error = asyncio.run(run())
        self.assertIsInstance(error, PlanSupersededError)
        self.assertIsNone(error.new_plan)
        self.assertIn("no difference", error.message)

    def test_random_races_faults_and_collections(self):
        """Guards against lost, repeated or reverted versions and lost parts."""
        totals = {"confirmed": 0, "lost": 0, "unknown": 0, "collected": 0}
        for seed in range(40):
            asyncio.run(self._run_race(random.Random(seed), totals))
        for name, count in totals.items():
            self.assertGreater(count, 0, name)

    async def _run_race(self, rng, totals):
        store = FaultyStore(rng, failure_rate=0.03)
        while isinstance(
            await catch_error(confirm_intent(store, make_first_intent())),
            StoreError,
        ):
            pass
        outcomes = {}
        operators = [
            self._run_operator(store, f"operator-{number}", rng, outcomes)
            for number in range(4)
        ]
        await asyncio.gather(
            *operators,
            self._run_garbage_collections(store, rng, totals),
            self._refresh_repeatedly(store),
        )
        await store.finish_delayed_writes()
        reader = SnapshotReader()
        await reader.refresh(store)
        history = await read_history(store, reader.root, 0)
        by_operation = {item.operation_id: item for item in history}
        self.assertEqual(len(history), len(by_operation))
        self.assertEqual(reader.root.version, len(history))
        for operation, outcome in outcomes.items():
            if isinstance(outcome, Exception):
                may_have_run = outcome.verdict is Verdict.MAY_HAVE_RUN
                totals["unknown" if may_have_run else "lost"] += 1
                self.assertTrue(may_have_run or operation not in by_operation)
            else:
                totals["confirmed"] += 1
                self.assertEqual(
                    outcome.version, by_operation[operation].version
                )

    async def _run_operator(self, store, name, rng, outcomes):
        reader = SnapshotReader()
        for turn in range(6):
            await catch_error(reader.refresh(store))
            if not reader.root.version:
                continue
            account = f"account-{rng.randrange(3)}"
            # Only two values, so that old parts are referenced again.
            limit = rng.choice((100, 200))
            intent = make_limit_intent(account, limit)
            try:
                plan = create_plan(reader.snapshot, intent, CAPACITY)
            except InvalidInputError:
                continue
            operation = f"{name}-{turn}"
            outcomes[operation] = await catch_error(
                confirm_plan(store, plan, name, operation, clock=ManualClock())
            )

    async def _run_garbage_collections(self, store, rng, totals):
        for _ in range(8):
            for _ in range(rng.randrange(60)):
                await asyncio.sleep(0)
            result = await catch_error(delete_unreferenced_parts(store))
            if not isinstance(result, Exception):
                totals["collected"] += result

    async def _refresh_repeatedly(self, store):
        reader = SnapshotReader()
        newest = 0
        for _ in range(40):
            result = await catch_error(reader.refresh(store))
            if isinstance(result, Exception):
                self.assertEqual(ErrorCode.STORE_UNAVAILABLE, result.code)
            self.assertGreaterEqual(reader.snapshot.version, newest)
            newest = reader.snapshot.version


class TestGarbageCollection(testtools.TestCase):
    """Garbage collection of unreferenced parts."""

    def test_deletes_only_unreferenced_parts(self):
        """Guards against garbage that is kept and needed parts that are not."""

        async def run():
            store = await make_store()
            for limit in range(1, 6):
                intent = make_limit_intent("account-0", limit)
                await confirm_intent(store, intent)
            deleted = await delete_unreferenced_parts(store, history_versions=2)
            remaining = await store.read_prefix(PART_PREFIX)
            return deleted, len(remaining), await read_snapshot(store)

        deleted, remaining, snapshot = asyncio.run(run())
        # Five old account parts and four old change records are deleted; one
        # account part, one group, one service and two change records stay.
        self.assertEqual((9, 5), (deleted, remaining))
        self.assertEqual(5, snapshot.accounts["account-0"].tokens_per_s)

    def test_part_used_by_a_confirmation_is_kept(self):
        """Guards against a root that references a deleted part."""

        async def run():
            store = await make_store()
            for limit in (7, 100):
                intent = make_limit_intent("account-0", limit)
                await confirm_intent(store, intent)
            # The part with limit 7 exists but is unreferenced.
            plan = await plan_limit_change(store, "account-0", 7)
            original = store.swap

            async def collect_before_root(key, *arguments):
                if key == ROOT_KEY:
                    store.swap = original
                    await delete_unreferenced_parts(store)
                return await original(key, *arguments)

            store.swap = collect_before_root
            done = await confirm_plan(store, plan, "ann", "op")
            return done, await read_snapshot(store)

        done, snapshot = asyncio.run(run())
        self.assertEqual(done.version, snapshot.version)
        self.assertEqual(7, snapshot.accounts["account-0"].tokens_per_s)

    def test_part_written_after_the_root_is_kept(self):
        """Guards against deletion of a part that a later root references.

        The part is written after garbage collection has rewritten the root and
        before it lists the parts.
        """

        async def run():
            store = await make_store()
            plan = await plan_limit_change(store, "account-0", 7)
            reached, collected = asyncio.Event(), asyncio.Event()
            read_prefix, swap = store.read_prefix, store.swap

            async def wait_for_collection(key, *arguments):
                if key == ROOT_KEY:
                    reached.set()
                    await collected.wait()
                return await swap(key, *arguments)

            async def confirm_meanwhile(prefix):
                store.read_prefix = read_prefix
                store.swap = wait_for_collection
                task = asyncio.create_task(
                    confirm_plan(store, plan, "ann", "op")
                )
                tasks.append(task)
                await reached.wait()
                return await read_prefix(prefix)

            tasks = []
            store.read_prefix = confirm_meanwhile
            await delete_unreferenced_parts(store)
            collected.set()
            done = await tasks[0]
            return done, await read_snapshot(store)

        done, snapshot = asyncio.run(run())
        self.assertEqual((2, 2), (done.version, snapshot.version))


class TestHistory(testtools.TestCase):
    """History of change records."""

    def test_records_operator_and_change_count(self):
        """Guards against records with a wrong operator, version or count."""

        async def run():
            store = await make_store()
            await confirm_intent(
                store, make_limit_intent("account-0", 7), "bob"
            )
            reader = SnapshotReader()
            await reader.refresh(store)
            return await read_history(store, reader.root, 0)

        newest, first = asyncio.run(run())
        self.assertEqual(("bob", 2), (newest.operator, newest.version))
        self.assertEqual(1, newest.change_count)
        self.assertEqual(("ann", 5), (first.operator, first.change_count))
