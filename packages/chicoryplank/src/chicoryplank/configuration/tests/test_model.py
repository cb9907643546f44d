"""Randomised test of racing operators and of readers under faults."""

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
    _confirm,
)
from chicoryplank.configuration.tests.model import (
    ACTIONS,
    World,
    find_violation,
    run_seed,
)
from chicoryplank.fakes import MemoryStore

_WRITE_PARTS = _confirm._write_parts
_NAMES = [name for name, weight in ACTIONS.items() for _ in [0] * weight]


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, readers, peers and a faulty store."""

    def __init__(self):
        super().__init__()
        self.world = World(0)

    @rule(name=st.sampled_from(_NAMES), number=st.integers(0, 65_535))
    def act(self, name, number):
        self.world.act(name, number)

    def teardown(self):
        self.world.close()


class _AppliesAny(SnapshotReader):
    def _is_newer(self, root):
        return root.version != self.root.version


class _Mixes(SnapshotReader):
    def _apply(self, root, supplied):
        available = {**supplied, **self._data}
        parts = {
            name: digest if digest in available else self.root.parts[name]
            for name, digest in root.parts.items()
            if digest in available or name in self.root.parts
        }
        object.__setattr__(root, "parts", parts)
        return super()._apply(root, supplied)


def _write_without_comparison(prefix):
    def prepare(world):
        store, swap = world.store, world.store.swap

        async def overwrite(key, value, expected_revision, lease=0):
            if key.startswith(prefix):
                expected_revision = store._get_revision(key)
            return await swap(key, value, expected_revision, lease)

        store.swap = overwrite

    return prepare


def _delete_without_comparison(world):
    store, delete = world.store, world.store.delete

    async def delete_any(key, expected_revision):
        del expected_revision
        return await delete(key, store._get_revision(key))

    store.delete = delete_any


async def _find_nothing(store, root, made, operation_id):
    del store, root, made, operation_id


async def _write_no_parts(store, parts):
    if isinstance(store, MemoryStore):
        # The first version is written without the model's gates.
        await _WRITE_PARTS(store, parts)


class TestConfigurationModel(testtools.TestCase):
    """The invariants hold, and broken variants violate them."""

    def test_machine(self):
        """Guards against two winners, mixed versions and steps back."""
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
        """Guards against faults that need longer runs than the machine's."""
        worlds = [run_seed(seed, 300) for seed in range(30)]
        self.assertGreater(sum(world.confirmed for world in worlds), 20)
        self.assertGreater(sum(len(world.winners) for world in worlds), 20)

    def test_repeated_confirmation_tells_the_truth(self):
        """Guards against NOT_RUN for an operation that is in force.

        A repeated call that can't reach the store does not know what its
        earlier call did.
        """
        self.assertEqual("", find_violation(seeds=20, strict=True))

    def test_lower_versions_are_caught(self):
        """Guards against a model whose messages keep their order."""
        self.assertIn("went back", find_violation(make_reader=_AppliesAny))

    def test_mixed_versions_are_caught(self):
        """Guards against a model that misses a part of another version."""
        self.assertIn("mixes", find_violation(make_reader=_Mixes))

    def test_root_without_comparison_is_caught(self):
        """Guards against a model in which operators never race."""
        prepare = _write_without_comparison(ROOT_KEY)
        self.assertNotEqual("", find_violation(prepare=prepare))

    def test_root_before_its_parts_is_caught(self):
        """Guards against a model that does not look for the parts."""
        with mock.patch.object(_confirm, "_write_parts", _write_no_parts):
            self.assertIn("lacks a part", find_violation())

    def test_missing_read_back_is_caught(self):
        """Guards against a model without lost answers."""
        with mock.patch.object(_confirm, "_find_operation", _find_nothing):
            self.assertIn("NOT_RUN", find_violation(strict=True))

    def test_collection_without_comparison_is_caught(self):
        """Guards against a model whose collections never race."""
        prepare = _delete_without_comparison
        self.assertIn(
            "lacks a part", find_violation(seeds=400, prepare=prepare)
        )
