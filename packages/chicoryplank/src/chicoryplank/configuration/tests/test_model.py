"""Randomised tests of concurrent operators and readers under faults."""

from unittest import mock

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from chicoryplank.configuration import (
    ROOT_KEY,
    SnapshotReader,
    _confirmation,
)
from chicoryplank.configuration.tests.model import (
    ACTIONS,
    Simulation,
    find_violation,
    run_seed,
)
from chicoryplank.fakes import MemoryStore

_WRITE_PARTS = _confirmation._write_parts
_NAMES = [name for name, weight in ACTIONS.items() for _ in [0] * weight]


class ConfigurationMachine(RuleBasedStateMachine):
    """State machine of operators, readers and a faulty store."""

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(0)

    @rule(name=st.sampled_from(_NAMES), number=st.integers(0, 65_535))
    def act(self, name, number):
        self.simulation.act(name, number)

    def teardown(self):
        self.simulation.close()


class _ReaderAcceptingOlderVersions(SnapshotReader):
    def _is_newer(self, root):
        return root.version != self.root.version


class _ReaderMixingVersions(SnapshotReader):
    def _apply_with_parts(self, root, supplied_parts):
        available = {**supplied_parts, **self._part_data}
        parts = {
            name: digest if digest in available else self.root.parts[name]
            for name, digest in root.parts.items()
            if digest in available or name in self.root.parts
        }
        object.__setattr__(root, "parts", parts)
        return super()._apply_with_parts(root, supplied_parts)


def _write_unconditionally(prefix):
    def prepare(simulation):
        store, swap = simulation.store, simulation.store.swap

        async def overwrite(key, value, expected_revision, lease=0):
            if key.startswith(prefix):
                expected_revision = store._get_revision(key)
            return await swap(key, value, expected_revision, lease)

        store.swap = overwrite

    return prepare


def _delete_unconditionally(simulation):
    store, delete = simulation.store, simulation.store.delete

    async def delete_any(key, expected_revision):
        del expected_revision
        return await delete(key, store._get_revision(key))

    store.delete = delete_any


async def _find_nothing(store, root, plan, operation_id):
    del store, root, plan, operation_id


async def _write_no_parts(store, parts):
    if isinstance(store, MemoryStore):
        # The first version is written directly, not through the gated store.
        await _WRITE_PARTS(store, parts)


class TestConfigurationSimulation(testtools.TestCase):
    """The invariants hold, and faulty variants violate them."""

    def test_state_machine(self):
        """Guards against two winners, mixed versions and version decreases."""
        run_state_machine_as_test(
            ConfigurationMachine,
            settings=settings(
                derandomize=True,
                max_examples=20,
                stateful_step_count=60,
                deadline=None,
                database=None,
            ),
        )

    def test_random_seeds(self):
        """Guards against faults that show only in longer runs."""
        simulations = [run_seed(seed, 300) for seed in range(30)]
        self.assertGreater(
            sum(simulation.confirmed for simulation in simulations), 20
        )
        self.assertGreater(
            sum(len(simulation.winners) for simulation in simulations), 20
        )

    def test_repeated_confirmation_reports_not_run_only_if_true(self):
        """Guards against NOT_RUN for an operation that took effect.

        A repeated call that cannot reach the store does not know whether an
        earlier call took effect.
        """
        self.assertEqual("", find_violation(seeds=20, strict=True))

    def test_version_decreases_are_detected(self):
        """Guards against a simulation that does not reorder messages."""
        self.assertIn(
            "went back",
            find_violation(make_reader=_ReaderAcceptingOlderVersions),
        )

    def test_mixed_versions_are_detected(self):
        """Guards against a simulation that does not notice mixed versions."""
        self.assertIn(
            "mixes", find_violation(make_reader=_ReaderMixingVersions)
        )

    def test_unconditional_root_write_is_detected(self):
        """Guards against a simulation in which operators never race."""
        prepare = _write_unconditionally(ROOT_KEY)
        self.assertNotEqual("", find_violation(prepare=prepare))

    def test_root_without_parts_is_detected(self):
        """Guards against a simulation that does not check that parts exist."""
        with mock.patch.object(_confirmation, "_write_parts", _write_no_parts):
            self.assertIn("lacks a part", find_violation())

    def test_missing_lookup_of_the_operation_is_detected(self):
        """Guards against a simulation that never loses a response."""
        with mock.patch.object(_confirmation, "_find_operation", _find_nothing):
            self.assertIn("NOT_RUN", find_violation(strict=True))

    def test_unconditional_deletion_is_detected(self):
        """Guards against a simulation without races of garbage collection."""
        prepare = _delete_unconditionally
        self.assertIn(
            "lacks a part", find_violation(seeds=400, prepare=prepare)
        )
