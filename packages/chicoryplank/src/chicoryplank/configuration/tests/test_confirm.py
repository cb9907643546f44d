"""Tests of confirmation, races and lost answers."""

import asyncio
import dataclasses
import random

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    Capacity,
    Edits,
    InsufficientCapacityError,
    InvalidInputError,
    PlanSupersededError,
    SnapshotReader,
    collect_parts,
    confirm,
    plan,
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
    """Store that yields between calls and loses answers at random.

    Args:
        random_source: Chooses the faults.
        loss: Share of calls that fail, before or after they take effect.
    """

    def __init__(self, random_source, loss):
        super().__init__(ManualClock())
        self._random = random_source
        self._loss = loss
        self._delayed = []

    async def _disturb(self, verdict):
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if self._random.random() < self._loss:
            raise StoreError("fault", verdict)

    async def read(self, key):
        """Reads with faults."""
        await self._disturb(Verdict.NOT_RUN)
        return await super().read(key)

    async def swap(self, key, value, expected_revision, lease=0):
        """Swaps with faults before and after the effect, also delayed."""
        await self._disturb(Verdict.NOT_RUN)
        if self._random.random() < self._loss:
            self._delayed.append(
                asyncio.create_task(
                    self._swap_late(key, value, expected_revision)
                )
            )
            raise StoreError("the write is delayed", Verdict.MAY_HAVE_RUN)
        result = await super().swap(key, value, expected_revision, lease)
        await self._disturb(Verdict.MAY_HAVE_RUN)
        return result

    async def _swap_late(self, *arguments):
        for _ in range(self._random.randrange(40)):
            await asyncio.sleep(0)
        await super().swap(*arguments)

    async def read_prefix(self, prefix):
        """Reads without faults, because a collection reads 256 slices."""
        if self._random.random() < 0.1:
            await asyncio.sleep(0)
        return await super().read_prefix(prefix)

    async def settle(self):
        """Waits for delayed writes and ends the faults."""
        self._loss = 0.0
        await asyncio.gather(*self._delayed)

    async def delete(self, key, expected_revision):
        """Deletes with faults before and after the effect."""
        await self._disturb(Verdict.NOT_RUN)
        result = await super().delete(key, expected_revision)
        await self._disturb(Verdict.MAY_HAVE_RUN)
        return result


async def make_store():
    """Returns a store with version 1."""
    store = MemoryStore(ManualClock())
    await confirm_intent(store, make_first_intent())
    return store


async def make_plan(store, account, tokens_per_s):
    """Returns a plan on the version in force."""
    intent = make_limit_intent(account, tokens_per_s)
    return plan(await read_snapshot(store), intent, CAPACITY)


async def catch(awaitable):
    """Returns the product's error that an awaitable raises, or its result."""
    try:
        return await awaitable
    except ChicoryplankError as error:
        return error


class TestConfirm(testtools.TestCase):
    """One operation, with and without faults."""

    def test_nothing_in_force_before_confirm(self):
        """Guards against a plan that already writes."""

        async def run():
            store = await make_store()
            before = await store.read_prefix("config/")
            made = await make_plan(store, "account-0", 7)
            unchanged = before == await store.read_prefix("config/")
            done = await confirm(store, made, "ann", "op", clock=ManualClock())
            return unchanged, done, await read_snapshot(store)

        unchanged, done, snapshot = asyncio.run(run())
        self.assertTrue(unchanged)
        self.assertEqual((2, 2), (done.version, snapshot.version))
        self.assertEqual(7, snapshot.accounts["account-0"].tokens_per_s)

    def test_failed_part_write_changes_nothing(self):
        """Guards against a root that is swapped before its parts exist."""

        async def run():
            store = await make_store()
            made = await make_plan(store, "account-0", 7)
            original = store.swap

            async def fail_on_root(key, *arguments):
                if key == ROOT_KEY:
                    raise StoreError("down", Verdict.NOT_RUN)
                return await original(key, *arguments)

            store.swap = fail_on_root
            first = await catch(
                confirm(store, made, "ann", "op", is_first=True)
            )
            again = await catch(confirm(store, made, "ann", "op"))
            return first, again, await read_snapshot(store)

        first, again, snapshot = asyncio.run(run())
        self.assertEqual(Verdict.NOT_RUN, first.verdict)
        # A repeated call can't know what became of the one before.
        self.assertEqual(Verdict.MAY_HAVE_RUN, again.verdict)
        self.assertEqual(1, snapshot.version)

    def test_lost_answers_are_settled(self):
        """Guards against a change that is applied twice or reported lost."""

        async def run(losses):
            store = await make_store()
            made = await make_plan(store, "account-0", 7)
            store.lose_answers = losses
            done = await confirm(store, made, "ann", "op", clock=ManualClock())
            again = await confirm(store, made, "ann", "op", clock=ManualClock())
            return done, again, await read_snapshot(store)

        for losses in range(1, 4):
            done, again, snapshot = asyncio.run(run(losses))
            self.assertEqual((2, 2), (done.version, again.version))
            self.assertTrue(again.repeated)
            self.assertEqual(2, snapshot.version)

    def test_outcome_stays_unknown_without_the_store(self):
        """Guards against NOT_RUN for a change that took effect."""

        async def run():
            store = await make_store()
            made = await make_plan(store, "account-0", 7)
            original = store.swap

            async def lose_root(key, *arguments):
                result = await original(key, *arguments)
                if key == ROOT_KEY:
                    store.available = False
                    raise StoreError("lost", Verdict.MAY_HAVE_RUN)
                return result

            store.swap = lose_root
            error = await catch(confirm(store, made, "ann", "op"))
            store.available = True
            store.swap = original
            # Another change comes before the operator asks again.
            await confirm_intent(
                store, make_limit_intent("account-1", 8), "bob"
            )
            return error, await confirm(store, made, "ann", "op")

        error, done = asyncio.run(run())
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)
        self.assertEqual((2, True), (done.version, done.repeated))

    def test_capacity_is_compared_again(self):
        """Guards against a confirm after the replicas are gone."""

        async def run():
            store = await make_store()
            made = await make_plan(store, "account-0", 3800)
            less = Capacity({"llm": frozenset({"llm-0", "llm-1", "llm-2"})})
            return await catch(confirm(store, made, "a", "b", capacity=less))

        self.assertIsInstance(asyncio.run(run()), InsufficientCapacityError)

    def test_other_content_at_the_same_version(self):
        """Guards against a plan confirmed in a store that was replaced."""

        async def run():
            made = await make_plan(await make_store(), "account-0", 7)
            other = MemoryStore(ManualClock())
            first = make_first_intent()
            # The plan changes the same values, but one service is absent.
            await confirm_intent(
                other, dataclasses.replace(first, services=Edits())
            )
            return await catch(confirm(other, made, "ann", "op"))

        self.assertEqual(ErrorCode.INVALID_PLAN, asyncio.run(run()).code)

    def test_store_that_went_back(self):
        """Guards against a plan confirmed on a version that is gone."""

        async def run():
            made = await make_plan(await make_store(), "account-0", 7)
            other = MemoryStore(ManualClock())
            return await catch(confirm(other, made, "ann", "op"))

        error = asyncio.run(run())
        self.assertEqual(ErrorCode.INVALID_PLAN, error.code)
        self.assertIn("the store holds version 0", error.message)


class TestRace(testtools.TestCase):
    """Operators with conflicting plans."""

    def test_loser_learns_the_winner(self):
        """Guards against a race without a clear winner and reason."""

        async def run():
            store = await make_store()
            first = await make_plan(store, "account-0", 7)
            second = await make_plan(store, "account-0", 8)
            results = await asyncio.gather(
                catch(confirm(store, first, "ann", "op-a", capacity=CAPACITY)),
                catch(confirm(store, second, "bob", "op-b", capacity=CAPACITY)),
            )
            lost = next(item for item in results if isinstance(item, Exception))
            before = await read_snapshot(store)
            await confirm(store, lost.new_plan, "bob", "op-c")
            return results, lost, before, await read_snapshot(store)

        results, lost, before, after = asyncio.run(run())
        winners = [item for item in results if item is not lost]
        self.assertEqual(1, len(winners))
        self.assertIsInstance(lost, PlanSupersededError)
        self.assertEqual(winners[0].operator, lost.winner.operator)
        self.assertIn(f"by {winners[0].operator}", lost.message)
        self.assertIn("accounts.account-0.tokens_per_s: 100 ->", lost.message)
        self.assertEqual((2, 3), (before.version, after.version))

    def test_same_intent_of_two_operators(self):
        """Guards against the loser of equal plans who believes to have won."""

        async def run():
            store = await make_store()
            made = await make_plan(store, "account-0", 7)
            await confirm(store, made, "ann", "op-a")
            return await catch(confirm(store, made, "bob", "op-b"))

        error = asyncio.run(run())
        self.assertIsInstance(error, PlanSupersededError)
        self.assertIsNone(error.new_plan)
        self.assertIn("no difference", error.message)

    def test_random_races_faults_and_collections(self):
        """Guards against lost, double or reverted versions and lost parts."""
        totals = {"confirmed": 0, "lost": 0, "unknown": 0, "collected": 0}
        for seed in range(40):
            asyncio.run(self._run_race(random.Random(seed), totals))
        for name, count in totals.items():
            self.assertGreater(count, 0, name)

    async def _run_race(self, random_source, totals):
        store = FaultyStore(random_source, loss=0.03)
        while isinstance(
            await catch(confirm_intent(store, make_first_intent())),
            StoreError,
        ):
            pass
        outcomes = {}
        operators = [
            self._operate(store, f"operator-{number}", random_source, outcomes)
            for number in range(4)
        ]
        await asyncio.gather(
            *operators,
            self._collect(store, random_source, totals),
            self._follow(store),
        )
        await store.settle()
        reader = SnapshotReader()
        await reader.refresh(store)
        history = await read_history(store, reader.root, 0)
        by_operation = {item.operation_id: item for item in history}
        self.assertEqual(len(history), len(by_operation))
        self.assertEqual(reader.root.version, len(history))
        for operation, outcome in outcomes.items():
            if isinstance(outcome, Exception):
                unknown = outcome.verdict is Verdict.MAY_HAVE_RUN
                totals["unknown" if unknown else "lost"] += 1
                self.assertTrue(unknown or operation not in by_operation)
            else:
                totals["confirmed"] += 1
                self.assertEqual(
                    outcome.version, by_operation[operation].version
                )

    async def _operate(self, store, name, random_source, outcomes):
        reader = SnapshotReader()
        for turn in range(6):
            await catch(reader.refresh(store))
            if not reader.root.version:
                continue
            account = f"account-{random_source.randrange(3)}"
            # Few different values, so that old parts are used again.
            limit = random_source.choice((100, 200))
            intent = make_limit_intent(account, limit)
            try:
                made = plan(reader.snapshot, intent, CAPACITY)
            except InvalidInputError:
                continue
            operation = f"{name}-{turn}"
            outcomes[operation] = await catch(
                confirm(store, made, name, operation, clock=ManualClock())
            )

    async def _collect(self, store, random_source, totals):
        for _ in range(8):
            for _ in range(random_source.randrange(60)):
                await asyncio.sleep(0)
            result = await catch(collect_parts(store))
            if not isinstance(result, Exception):
                totals["collected"] += result

    async def _follow(self, store):
        reader = SnapshotReader()
        newest = 0
        for _ in range(40):
            result = await catch(reader.refresh(store))
            if isinstance(result, Exception):
                self.assertEqual(ErrorCode.STORE_UNAVAILABLE, result.code)
            self.assertGreaterEqual(reader.snapshot.version, newest)
            newest = reader.snapshot.version


class TestCollection(testtools.TestCase):
    """Deletion of unreferenced parts."""

    def test_keeps_what_is_referenced(self):
        """Guards against a store that fills up or loses the configuration."""

        async def run():
            store = await make_store()
            for limit in range(1, 6):
                intent = make_limit_intent("account-0", limit)
                await confirm_intent(store, intent)
            deleted = await collect_parts(store, history_versions=2)
            left = await store.read_prefix(PART_PREFIX)
            return deleted, len(left), await read_snapshot(store)

        deleted, left, snapshot = asyncio.run(run())
        # Five old account parts and four old change records go; one account
        # part, one group, one service and two change records stay.
        self.assertEqual((9, 5), (deleted, left))
        self.assertEqual(5, snapshot.accounts["account-0"].tokens_per_s)

    def test_part_in_use_by_a_confirmation_survives(self):
        """Guards against a root that references a collected part."""

        async def run():
            store = await make_store()
            for limit in (7, 100):
                intent = make_limit_intent("account-0", limit)
                await confirm_intent(store, intent)
            # The part with limit 7 is present but unreferenced.
            made = await make_plan(store, "account-0", 7)
            original = store.swap

            async def collect_before_root(key, *arguments):
                if key == ROOT_KEY:
                    store.swap = original
                    await collect_parts(store)
                return await original(key, *arguments)

            store.swap = collect_before_root
            done = await confirm(store, made, "ann", "op")
            return done, await read_snapshot(store)

        done, snapshot = asyncio.run(run())
        self.assertEqual(done.version, snapshot.version)
        self.assertEqual(7, snapshot.accounts["account-0"].tokens_per_s)

    def test_part_written_after_the_barrier_survives(self):
        """Guards against deletion of a part whose root is about to follow."""

        async def run():
            store = await make_store()
            made = await make_plan(store, "account-0", 7)
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
                task = asyncio.create_task(confirm(store, made, "ann", "op"))
                tasks.append(task)
                await reached.wait()
                return await read_prefix(prefix)

            tasks = []
            store.read_prefix = confirm_meanwhile
            await collect_parts(store)
            collected.set()
            done = await tasks[0]
            return done, await read_snapshot(store)

        done, snapshot = asyncio.run(run())
        self.assertEqual((2, 2), (done.version, snapshot.version))


class TestHistory(testtools.TestCase):
    """Change records."""

    def test_names_operator_and_changes(self):
        """Guards against a history that operators cannot follow."""

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
