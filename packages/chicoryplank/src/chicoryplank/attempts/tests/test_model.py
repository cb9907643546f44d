"""Randomised tests of attempts between entries and agents under faults."""

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from chicoryplank.attempts import AgentAttemptTable, EntryAttemptTable
from chicoryplank.attempts.tests.model import (
    ATTEMPT_ACTIONS,
    find_violation,
    run_seed,
)
from chicoryplank.attempts.tests.simulation import Components, Simulation

_KEYED_SHARE = 0.2
_NAMES = [
    name for name, weight in ATTEMPT_ACTIONS.items() for _ in [0] * weight
]


class AttemptMachine(RuleBasedStateMachine):
    """Requests through entries and agents over a faulty network."""

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(0, _KEYED_SHARE)

    @rule(name=st.sampled_from(_NAMES), number=st.integers(0, 65_535))
    def act(self, name, number):
        self.simulation.act(name, number)

    def teardown(self):
        self.simulation.close()


class _NoTombstones(AgentAttemptTable):
    def _add_tombstone(self, key, duration, started):
        pass


class _TombstonesWithoutStarted(AgentAttemptTable):
    def _add_tombstone(self, key, duration, started):
        super()._add_tombstone(key, duration, False)


class _TombstonesExpireAtOnce(AgentAttemptTable):
    def _remove_expired_tombstones(self):
        self._tombstones.clear()


class _AcceptsDuplicateStarts(AgentAttemptTable):
    def admit(self, key, repeatable, budget, deadline):
        self._records.pop(key, None)
        return super().admit(key, repeatable, budget, deadline)


class _NoRejectionRecords(AgentAttemptTable):
    def _record_rejection(self, key):
        pass


class _NoLimits(AgentAttemptTable):
    def _check_start(self, key, deadline):
        if key in self._tombstones:
            super()._check_start(key, deadline)


class _IgnoresAgentRestart(EntryAttemptTable):
    def plan_recovery(self, agent, incarnation):
        for attempt in self._attempts.values():
            if attempt.agent == agent and attempt.incarnation is not None:
                attempt.incarnation = incarnation
        return super().plan_recovery(agent, incarnation)


class _NoLengthCheck(EntryAttemptTable):
    def observe_end(self, agent, sequence, total_bytes):
        attempt = self._attempts.get(sequence)
        total = total_bytes if attempt is None else attempt.received
        super().observe_end(agent, sequence, total)


class _NoOffsetCheck(_NoLengthCheck):
    def observe_chunk(self, agent, sequence, offset, data):
        attempt = self._attempts.get(sequence)
        position = offset if attempt is None else attempt.received
        return super().observe_chunk(agent, sequence, position, data)


class TestAttemptModel(testtools.TestCase):
    """The invariants hold, and the simulation detects broken variants."""

    def test_machine(self):
        """Guards against wrong verdicts, double starts and cut responses."""
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
        """Guards against faults that take more steps than test_machine runs."""
        simulations = [
            run_seed(seed, 300, ATTEMPT_ACTIONS, _KEYED_SHARE)
            for seed in range(40)
        ]
        self.assertGreater(
            sum(simulation.responses for simulation in simulations), 100
        )
        self.assertGreater(
            sum(len(simulation.not_run) for simulation in simulations), 50
        )

    def _assert_caught(self, text, actions=ATTEMPT_ACTIONS, **components):
        found = find_violation(actions, _KEYED_SHARE, Components(**components))
        self.assertNotEqual("", found)
        self.assertIn(text, found)

    def test_missing_tombstones_are_caught(self):
        """Guards against a simulation that misses a start after NOT_RUN."""
        self._assert_caught("NOT_RUN", agent_table=_NoTombstones)

    def test_tombstones_without_start_flag_are_caught(self):
        """Guards against a simulation that misses NOT_RUN after a run."""
        self._assert_caught(
            "told NOT_RUN but ran", agent_table=_TombstonesWithoutStarted
        )

    def test_early_expired_tombstones_are_caught(self):
        """Guards against a simulation without very late messages."""
        self._assert_caught("", agent_table=_TombstonesExpireAtOnce)

    def test_duplicate_starts_are_caught(self):
        """Guards against a simulation without duplicate messages."""
        self._assert_caught("starts twice", agent_table=_AcceptsDuplicateStarts)

    def test_missing_rejection_records_are_caught(self):
        """Guards against a simulation that never repeats rejected attempts."""
        actions = {
            "request": 20,
            "duplicate": 10,
            "reorder": 6,
            "deliver": 14,
            "backend": 4,
            "advance": 2,
            "progress": 1,
        }
        self._assert_caught("NOT_RUN", actions, agent_table=_NoRejectionRecords)

    def test_missing_limits_are_caught(self):
        """Guards against a simulation that does not check the limits."""
        self._assert_caught("attempts", agent_table=_NoLimits)

    def test_ignored_agent_restart_is_caught(self):
        """Guards against a simulation that never settles after a restart."""
        self._assert_caught(
            "told NOT_RUN but ran", entry_table=_IgnoresAgentRestart
        )

    def test_unchecked_length_is_caught(self):
        """Guards against a simulation that accepts a truncated response."""
        self._assert_caught(" got ", entry_table=_NoLengthCheck)

    def test_unchecked_offset_is_caught(self):
        """Guards against a simulation without repeated output."""
        self._assert_caught(" got ", entry_table=_NoOffsetCheck)
