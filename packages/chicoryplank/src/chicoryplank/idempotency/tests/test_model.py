"""Randomised tests of claims under store faults, restarts and rerouting."""

from unittest import mock

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from chicoryplank.attempts.tests.model import (
    CLAIM_ACTIONS,
    find_violation,
    run_seed,
)
from chicoryplank.attempts.tests.simulation import Components, Simulation
from chicoryplank.errors import ChicoryplankError
from chicoryplank.idempotency import ClaimRegistry, ClaimShard, _registry
from chicoryplank.verdict import Verdict
from chicoryplank_agent.claims import ClaimedExecutions

_NAMES = [name for name, weight in CLAIM_ACTIONS.items() for _ in [0] * weight]


class ClaimMachine(RuleBasedStateMachine):
    """Non-idempotent requests through two agents and an unreliable store."""

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(0, 1.0)

    @rule(name=st.sampled_from(_NAMES), number=st.integers(0, 65_535))
    def act(self, name, number):
        self.simulation.act(name, number)

    def teardown(self):
        self.simulation.close()


def _write_without_comparison(simulation):
    store, swap = simulation.store, simulation.store.swap

    async def overwrite(key, value, expected_revision, lease=0):
        del expected_revision
        return await swap(key, value, store._get_revision(key), lease)

    store.swap = overwrite


class _RunsAfterFailedClaim(ClaimRegistry):
    async def admit(self, key, body, attempt):
        try:
            await super().admit(key, body, attempt)
        except ChicoryplankError as error:
            if error.verdict is not Verdict.NOT_RUN:
                raise


class _IgnoresHolder(ClaimRegistry):
    def _check_holder(self, holder, body, attempt):
        del holder, body, attempt


class _TakesOverAbandoned(ClaimRegistry):
    def _check_holder(self, holder, body, attempt):
        if holder is None or holder.attempt not in self._abandoned:
            super()._check_holder(holder, body, attempt)


async def _replace_without_write(self, store, old, new):
    del self, store, old, new
    return True


async def _read_view_once(writer):
    if writer._view_read_at is None:
        await writer.shard.reload(writer._store)
        writer._view_read_at = writer._clock.elapsed()


class TestClaimModel(testtools.TestCase):
    """A key runs at most once, and the simulation detects broken variants."""

    def test_machine(self):
        """Guards against a second run of a key and wrong verdicts."""
        run_state_machine_as_test(
            ClaimMachine,
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
            run_seed(seed, 300, CLAIM_ACTIONS, 1.0) for seed in range(40)
        ]
        self.assertGreater(
            sum(simulation.responses for simulation in simulations), 100
        )
        self.assertGreater(
            sum(len(simulation.not_run) for simulation in simulations), 50
        )

    def _assert_caught(
        self, text, actions=CLAIM_ACTIONS, steps=200, **components
    ):
        found = find_violation(
            actions, 1.0, Components(**components), steps=steps
        )
        self.assertIn(text, found)

    def test_writes_without_comparison_are_caught(self):
        """Guards against a simulation in which writers never race."""
        self._assert_caught("runs twice", prepare=_write_without_comparison)

    def test_runs_without_claim_are_caught(self):
        """Guards against a simulation without failed or unknown claims."""
        self._assert_caught("runs twice", registry=_RunsAfterFailedClaim)

    def test_ignored_claims_of_others_are_caught(self):
        """Guards against a simulation without claims of other agents."""
        self._assert_caught("runs twice", registry=_IgnoresHolder)

    def test_unbounded_runs_are_caught(self):
        """Guards against a simulation that does not check the limit on runs."""
        with mock.patch.object(
            ClaimedExecutions, "_check_limit", lambda self: None
        ):
            actions = {"request": 30, "deliver": 40, "store": 40, "advance": 4}
            self._assert_caught("executions", actions)

    def test_takeover_without_write_is_caught(self):
        """Guards against a simulation in which no removal takes effect late."""
        with mock.patch.object(ClaimShard, "replace", _replace_without_write):
            self._assert_caught(
                "runs twice",
                {
                    "request": 14,
                    "progress": 10,
                    "deliver": 6,
                    "store": 14,
                    "store_fault": 8,
                    "late_write": 6,
                    "backend_fault": 6,
                    "move": 6,
                    "advance": 1,
                },
                registry=_TakesOverAbandoned,
            )

    def test_outdated_views_are_caught(self):
        """Guards against a simulation in which no segment is deleted."""
        actions = {
            "request": 20,
            "progress": 12,
            "move": 6,
            "expire": 4,
            "advance": 2,
            "deliver": 2,
        }
        with mock.patch.object(
            _registry._ShardWriter, "_reload_old_view", _read_view_once
        ):
            self._assert_caught("runs twice", actions, steps=300)
