"""Randomised test of attempts between entries and agents under faults."""

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from chicoryplank.attempts import AttemptLedger, AttemptTable
from chicoryplank.attempts.tests.model import (
    ATTEMPT_ACTIONS,
    find_violation,
    run_seed,
)
from chicoryplank.attempts.tests.world import Parts, World

_KEYED = 0.2
_NAMES = [
    name for name, weight in ATTEMPT_ACTIONS.items() for _ in [0] * weight
]


class AttemptMachine(RuleBasedStateMachine):
    """Entries, agents and a faulty network."""

    def __init__(self):
        super().__init__()
        self.world = World(0, _KEYED)

    @rule(name=st.sampled_from(_NAMES), number=st.integers(0, 65_535))
    def act(self, name, number):
        self.world.act(name, number)

    def teardown(self):
        self.world.close()


class _NoTombstones(AttemptTable):
    def _remember(self, key, duration, started):
        pass


class _ForgetfulTombstones(AttemptTable):
    def _remember(self, key, duration, started):
        super()._remember(key, duration, False)


class _ShortTombstones(AttemptTable):
    def _forget_expired(self):
        self._tombstones.clear()


class _RepeatedStarts(AttemptTable):
    def admit(self, key, repeatable, budget, deadline):
        self._records.pop(key, None)
        return super().admit(key, repeatable, budget, deadline)


class _NoRefusals(AttemptTable):
    def _remember_refusal(self, key):
        pass


class _NoBounds(AttemptTable):
    def _check_start(self, key, deadline):
        if key in self._tombstones:
            super()._check_start(key, deadline)


class _SameIncarnation(AttemptLedger):
    def plan_recovery(self, agent, incarnation):
        for attempt in self._attempts.values():
            if attempt.agent == agent and attempt.incarnation is not None:
                attempt.incarnation = incarnation
        return super().plan_recovery(agent, incarnation)


class _NoLength(AttemptLedger):
    def observe_end(self, agent, sequence, total_bytes):
        attempt = self._attempts.get(sequence)
        total = total_bytes if attempt is None else attempt.received
        super().observe_end(agent, sequence, total)


class _NoOffset(_NoLength):
    def observe_chunk(self, agent, sequence, offset, data):
        attempt = self._attempts.get(sequence)
        place = offset if attempt is None else attempt.received
        return super().observe_chunk(agent, sequence, place, data)


class TestAttemptModel(testtools.TestCase):
    """The invariants hold, and broken variants violate them."""

    def test_machine(self):
        """Guards against a false verdict, a double start or a cut response."""
        run_state_machine_as_test(
            AttemptMachine,
            settings=settings(
                derandomize=True,
                max_examples=30,
                stateful_step_count=80,
                deadline=None,
                database=None,
            ),
        )

    def test_random_seeds(self):
        """Guards against faults that need longer runs than the machine's."""
        worlds = [
            run_seed(seed, 300, ATTEMPT_ACTIONS, _KEYED) for seed in range(40)
        ]
        self.assertGreater(sum(world.responses for world in worlds), 100)
        self.assertGreater(sum(len(world.not_run) for world in worlds), 50)

    def _assert_caught(self, text, actions=ATTEMPT_ACTIONS, **parts):
        found = find_violation(actions, _KEYED, Parts(**parts))
        self.assertNotEqual("", found)
        self.assertIn(text, found)

    def test_missing_tombstones_are_caught(self):
        """Guards against a model that misses a start after NOT_RUN."""
        self._assert_caught("NOT_RUN", table=_NoTombstones)

    def test_forgetful_tombstones_are_caught(self):
        """Guards against a model that misses NOT_RUN after a run."""
        self._assert_caught("told NOT_RUN but ran", table=_ForgetfulTombstones)

    def test_short_tombstones_are_caught(self):
        """Guards against a model without messages that arrive very late."""
        self._assert_caught("", table=_ShortTombstones)

    def test_repeated_starts_are_caught(self):
        """Guards against a model without duplicates."""
        self._assert_caught("starts twice", table=_RepeatedStarts)

    def test_forgotten_refusals_are_caught(self):
        """Guards against a model without duplicates of refused attempts."""
        actions = {
            "request": 20,
            "duplicate": 10,
            "reorder": 6,
            "deliver": 14,
            "backend": 4,
            "advance": 2,
            "progress": 1,
        }
        self._assert_caught("NOT_RUN", actions, table=_NoRefusals)

    def test_missing_bounds_are_caught(self):
        """Guards against a model that does not check the bounds."""
        self._assert_caught("attempts", table=_NoBounds)

    def test_verdict_across_a_restart_is_caught(self):
        """Guards against a model that misses a settle after a restart."""
        self._assert_caught("told NOT_RUN but ran", ledger=_SameIncarnation)

    def test_unchecked_length_is_caught(self):
        """Guards against a model that takes part of a response for whole."""
        self._assert_caught(" got ", ledger=_NoLength)

    def test_unchecked_offset_is_caught(self):
        """Guards against a model without repeated output."""
        self._assert_caught(" got ", ledger=_NoOffset)
