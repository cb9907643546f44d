"""Stateful random tests of map changes under faults.

Hypothesis orders the rules by their names, so that renaming a rule changes the
sequences that are tested.
"""

import asyncio
import itertools
import random
from datetime import timedelta

import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from chicoryplank.clock import ManualClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.orders import (
    ControllerLease,
    MapChange,
    Prepared,
    RankMapSelector,
    create_document,
    join_group,
    read_document,
)
from chicoryplank.orders import Phase as ChangePhase
from chicoryplank.orders._documents import decide_switch
from chicoryplank.rebalance import ExpertMap, make_map

GROUP = "lm-floor"
RANKS = 3
RANK = st.integers(0, RANKS - 1)
CONTROLLER = st.integers(0, 1)


class MixedMapsError(AssertionError):
    """Two ranks used different maps in one step."""


class PausingStore:
    """Store that runs a hook between a controller's check and its write."""

    def __init__(self, store):
        self._store = store
        self.before_swap = None

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def swap(self, *arguments):
        """Runs the hook once, then writes."""
        hook, self.before_swap = self.before_swap, None
        if hook is not None:
            await hook()
        return await self._store.swap(*arguments)


class Controller:
    """Controller with the prepare votes that it has received."""

    def __init__(self, name, store, clock, make_id):
        self.store = PausingStore(store)
        self.lease = ControllerLease(self.store, clock, GROUP, name)
        self.change = MapChange(self.store, GROUP, self.lease, make_id)
        self.received_votes = []
        self.loaded = False


class MapMachine(RuleBasedStateMachine):
    """Two controllers and three ranks in lock-step on a faulty network."""

    records_decision = True
    rank_type = RankMapSelector
    decided = 0
    aborted = 0

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.ids = map(str, itertools.count())
        self.rng = random.Random(1)
        members = {rank: f"{rank}-0" for rank in range(RANKS)}
        first = make_map(6, RANKS, 3)
        self.call(create_document(self.store, GROUP, first, members))
        document, revision = self.call(read_document(self.store, GROUP))
        self.ranks = [
            self.rank_type(rank, members[rank], document, revision, 0)
            for rank in range(RANKS)
        ]
        self.steps = [0] * RANKS
        self.joined = [None] * RANKS
        self.incarnations = itertools.count(1)
        self.controllers = [
            Controller(name, self.store, self.clock, lambda: next(self.ids))
            for name in ("a", "b")
        ]
        self.messages = []
        self.digest_by_step = {}

    def teardown(self):
        self.loop.close()

    def call(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def attempt(self, coroutine):
        """Runs a call that may fail, except by a violated invariant."""
        try:
            return self.call(coroutine)
        except ChicoryplankError as error:
            if error.code is ErrorCode.INVARIANT_VIOLATED:
                raise
            return None

    def publish(self, document, revision):
        for rank in range(RANKS):
            self.messages.append((rank, (document, revision)))

    def receive(self, target, content):
        if isinstance(content, Prepared):
            self.controllers[target].received_votes.append(content)
            return
        rank = self.ranks[target]
        if rank is not None:
            rank.observe(*content)

    async def perform_transition(self, controller):
        """Performs the next transition of the recorded state."""
        change = controller.change
        if controller.lease.get_token() is None:
            controller.loaded = False
            if not await controller.lease.acquire():
                return
        if not controller.loaded:
            await change.load()
        controller.loaded = False
        phase = change.document.phase
        if phase is ChangePhase.IDLE:
            slots = list(change.document.in_force.slots)
            self.rng.shuffle(slots)
            lead = self.rng.randint(0, 3)
            await change.begin(ExpertMap(tuple(slots)), max(self.steps) + lead)
        elif phase is ChangePhase.PREPARING:
            await change.record_prepared(controller.received_votes)
        elif phase is ChangePhase.READY:
            await self.decide(change)
        elif min(self.steps) > change.document.decision.first_step:
            await change.finish(dict(enumerate(self.steps)))
        controller.loaded = True

    async def decide(self, change):
        if self.records_decision:
            await change.decide()
            type(self).decided += 1
            return
        document = decide_switch(change.document)
        self.publish(document, change.revision + 1)

    async def take_over(self, controller, aborts):
        """Lets a lease expire; then continues or aborts the change."""
        self.clock.advance(timedelta(seconds=20))
        if await controller.lease.acquire():
            await controller.change.load()
            controller.loaded = True
            if aborts:
                await self.abort_change(controller.change)

    async def abort_change(self, change):
        if change.document.phase in (ChangePhase.PREPARING, ChangePhase.READY):
            await change.abort()
            type(self).aborted += 1
            self.publish(change.document, change.revision)

    @rule(index=CONTROLLER)
    def act_and_publish(self, index):
        controller = self.controllers[index]
        self.attempt(self.perform_transition(controller))
        change = controller.change
        if change.document is not None:
            self.publish(change.document, change.revision)

    @rule(index=CONTROLLER)
    def act_without_faults(self, index):
        """Runs a round without faults, so that changes make progress."""
        self.store.available = True
        self.store.lose_answers = 0
        for rank in range(RANKS):
            self.join_rank(rank)
        self.start_ranks()
        self.act_and_publish(index)
        self.deliver_all()
        self.prepare(range(RANKS))
        self.deliver_all()

    @rule(index=CONTROLLER, rounds=st.integers(2, 4))
    def act_for_rounds(self, index, rounds):
        for _ in range(rounds):
            self.act_without_faults(index)

    @rule(rounds=st.integers(1, 4))
    def run_all(self, rounds):
        self.run(list(range(RANKS)) * rounds)

    @rule(index=CONTROLLER)
    def pause_in_a_write(self, index):
        controller, other = self.controllers[index], self.controllers[1 - index]

        async def hook():
            try:
                await self.take_over(other, True)
            except ChicoryplankError as error:
                if error.code is ErrorCode.INVARIANT_VIOLATED:
                    raise

        controller.store.before_swap = hook
        self.attempt(self.perform_transition(controller))
        controller.store.before_swap = None

    @rule(index=CONTROLLER, aborts=st.booleans())
    def pause_past_the_lease(self, index, aborts):
        self.attempt(self.take_over(self.controllers[index], aborts))

    @rule(index=CONTROLLER, chance=st.integers(0, 3))
    def abort(self, index, chance):
        change = self.controllers[index].change
        if change.document is not None and chance == 0:
            self.attempt(self.abort_change(change))

    @rule(index=CONTROLLER, seconds=st.integers(1, 9))
    def renew(self, index, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        self.attempt(self.controllers[index].lease.renew())

    @rule()
    def deliver_all(self):
        messages, self.messages = self.messages, []
        for message in messages:
            self.receive(*message)

    @rule(index=RANK, keep=st.booleans())
    def deliver_to_one(self, index, keep):
        """Delivers the messages to one target, and maybe again later."""
        for target, content in self.messages:
            if target == index:
                self.receive(target, content)
        if not keep:
            self.messages = [item for item in self.messages if item[0] != index]

    @rule(data=st.data())
    def deliver_any(self, data):
        """Delivers a message out of order; it may be delivered again."""
        if self.messages:
            last = len(self.messages) - 1
            self.receive(*self.messages[data.draw(st.integers(0, last))])

    @rule(data=st.data())
    def lose(self, data):
        if self.messages:
            kept = data.draw(st.integers(0, len(self.messages) - 1))
            del self.messages[kept:]

    @rule(chosen=st.sets(RANK, min_size=1))
    def prepare(self, chosen):
        for index in chosen:
            rank = self.ranks[index]
            vote = rank and rank.prepare()
            if vote is not None:
                self.messages.extend((to, vote) for to in (0, 1))

    @rule(index=RANK)
    def read_store(self, index):
        found = self.attempt(read_document(self.store, GROUP))
        if found is not None:
            self.receive(index, found)

    @rule(chosen=st.lists(RANK, min_size=1, max_size=9))
    def run(self, chosen):
        """Runs steps of the chosen ranks in lock-step; the others stall."""
        for index in chosen:
            rank = self.ranks[index]
            if rank is None or self.steps[index] > min(self.steps):
                continue
            expert_map = rank.choose()
            if expert_map is None:
                continue
            expected = self.digest_by_step.setdefault(
                self.steps[index], expert_map.digest
            )
            if expected != expert_map.digest:
                raise MixedMapsError(f"step {self.steps[index]}")
            rank.advance()
            self.steps[index] += 1

    @rule(index=RANK)
    def stop_rank(self, index):
        self.ranks[index] = None
        self.joined[index] = None

    @rule(index=RANK)
    def join_rank(self, index):
        """Records a replacement of a stopped rank, which starts later."""
        if self.ranks[index] is None and self.joined[index] is None:
            name = f"{index}-{next(self.incarnations)}"
            found = self.attempt(
                join_group(
                    self.store, GROUP, index, name, lambda: next(self.ids)
                )
            )
            self.joined[index] = found and (name, *found)

    @rule()
    def start_ranks(self):
        for index, found in enumerate(self.joined):
            if found is not None:
                self.ranks[index] = self.rank_type(
                    index, *found, self.steps[index]
                )
                self.joined[index] = None

    @rule(available=st.booleans(), lost=st.integers(0, 2))
    def disturb_store(self, available, lost):
        self.store.available = available
        self.store.lose_answers = lost


class FaultyMachine(MapMachine):
    """Base of faulty variants in which the test must find a mixed step.

    It ignores violated invariants at the ranks. They would otherwise end the
    run before the mixed step.
    """

    def receive(self, target, content):
        try:
            super().receive(target, content)
        except ChicoryplankError as error:
            if error.code is not ErrorCode.INVARIANT_VIOLATED:
                raise


class UnrecordedDecisionMachine(FaultyMachine):
    """Fault: a controller that publishes a decision without recording it."""

    records_decision = False


class NonBlockingRank(RankMapSelector):
    """Fault: a rank that runs the stop step without waiting for the outcome."""

    def choose(self):
        return super().choose() or self.document.in_force


class NonBlockingMachine(FaultyMachine):
    """Fault: all ranks are non-blocking ones."""

    rank_type = NonBlockingRank


def run_machine(machine, examples, phases):
    """Runs a state machine with a fixed sequence of random choices."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=60,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


class TestMapMachine(testtools.TestCase):
    """Every step uses one map, whatever fails."""

    def test_every_step_uses_one_map(self):
        """Guards against mixed steps, and runs with few decisions or aborts."""
        MapMachine.decided = MapMachine.aborted = 0
        run_machine(MapMachine, 600, (Phase.generate,))
        self.assertGreater(MapMachine.decided, 20)
        self.assertGreater(MapMachine.aborted, 20)

    def test_faulty_variants_are_detected(self):
        """Guards against a state machine that cannot detect a mixed step."""
        for machine in (UnrecordedDecisionMachine, NonBlockingMachine):
            self.assertRaises(
                MixedMapsError, run_machine, machine, 2000, (Phase.generate,)
            )
