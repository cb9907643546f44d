"""Simulated controller leases on a store that is restored from older copies.

Load pattern: the store is away for a moment and returns without the changes of
the last seconds, while controllers freeze, restart and lose responses.
"""

import asyncio
import random
from datetime import timedelta

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import InstanceId, ModelGroupId
from chicoryplank.orders import ControllerLease
from chicoryplank.store import StoreError

_GROUP = ModelGroupId("g")
_TICK = timedelta(milliseconds=50)
_RENEWAL_TICKS = 5
_SEEDS = range(60)
_TICKS = 1_200


class _TwoHoldersError(AssertionError):
    """Raised if two instances may act as the controller at once."""


class _TokenFellError(AssertionError):
    """Raised if a holder has no higher token than an earlier one."""


class _StoreWithoutEras(MemoryStore):
    """Fault: revisions and lease ids are those of the store."""

    def restore(self, state):
        super().restore(state)
        self.era = 0


class _LeaseWithoutWait(ControllerLease):
    """Fault: uses a lease at once in a new era."""

    async def _confirm_era(self, era):
        return True


class _LeaseThatOutlivesEras(ControllerLease):
    """Fault: renews a lease of an earlier era like any other."""

    async def renew(self):
        era = self._store.era
        self._store.era = self._lease_id >> 64
        try:
            return await super().renew()
        finally:
            self._store.era = era


class _Instance:
    """An instance that competes for the lease."""

    def __init__(self, name, make_lease):
        self._name = InstanceId(name)
        self._make_lease = make_lease
        self.frozen_ticks = 0
        self.restart()

    def restart(self):
        self.lease = self._make_lease(self._name)
        self.is_holder = False
        self.ticks_to_renewal = 0

    async def act(self, rng):
        if self.frozen_ticks:
            self.frozen_ticks -= 1
            return
        try:
            if not self.is_holder:
                if rng.random() < 0.3:
                    self.is_holder = await self.lease.acquire()
                    self.ticks_to_renewal = _RENEWAL_TICKS
                return
            self.ticks_to_renewal -= 1
            if self.ticks_to_renewal <= 0:
                self.ticks_to_renewal = _RENEWAL_TICKS
                self.is_holder = await self.lease.renew()
        except StoreError:
            if self.lease.get_token() is None:
                self.is_holder = False


class _Simulation:
    """Instances, a store and faults, all chosen by a seed."""

    def __init__(self, seed, make_store, lease_class):
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._store = make_store(self._clock)
        self._instances = [
            _Instance(
                f"i{index}",
                lambda name: lease_class(
                    self._store,
                    self._clock,
                    _GROUP,
                    name,
                    duration=timedelta(seconds=1),
                    margin=timedelta(milliseconds=150),
                ),
            )
            for index in range(3)
        ]
        self._copies = []
        self._down_ticks = 0
        self._last_token = 0
        self._last_holder = None
        self.acquisitions = 0

    async def run(self, ticks):
        for _ in range(ticks):
            self._clock.advance(_TICK)
            self._inject_faults()
            for instance in self._rng.sample(self._instances, 3):
                await instance.act(self._rng)
                self._check()

    def _inject_faults(self):
        rng, store = self._rng, self._store
        if rng.random() < 0.1:
            self._copies = [*self._copies, store.copy_state()][-8:]
        if self._down_ticks:
            self._down_ticks -= 1
            if not self._down_ticks:
                store.available = True
                store.restore(rng.choice(self._copies))
        elif self._copies and rng.random() < 0.02:
            store.available = False
            self._down_ticks = rng.randint(1, 12)
        if rng.random() < 0.02:
            store.lose_answers = 1
        if rng.random() < 0.02:
            store.delay_writes = 1
        while store.delayed and rng.random() < 0.3:
            store.apply_delayed(0)
        if rng.random() < 0.02:
            rng.choice(self._instances).frozen_ticks = rng.randint(1, 60)
        if rng.random() < 0.01:
            rng.choice(self._instances).restart()

    def _check(self):
        tokens = {
            instance.lease: token
            for instance in self._instances
            if (token := instance.lease.get_token()) is not None
        }
        if len(tokens) > 1:
            raise _TwoHoldersError(sorted(tokens.values()))
        for lease, token in tokens.items():
            if (lease, token) == (self._last_holder, self._last_token):
                continue
            if token <= self._last_token:
                raise _TokenFellError(self._last_token, token)
            self._last_holder, self._last_token = lease, token
            self.acquisitions += 1


def _run_simulation(seed, make_store=MemoryStore, lease_class=ControllerLease):
    simulation = _Simulation(seed, make_store, lease_class)
    asyncio.run(simulation.run(_TICKS))
    return simulation.acquisitions


class TestRestoredStore(testtools.TestCase):
    """There is one controller at a time, and tokens rise, over all eras."""

    def test_one_holder_with_rising_tokens(self):
        """Guards against two controllers after a restore."""
        acquisitions = sum(_run_simulation(seed) for seed in _SEEDS)
        self.assertGreater(acquisitions, 5 * len(_SEEDS))


class TestGuards(testtools.TestCase):
    """The simulation detects each guard that is removed."""

    def _find_error(self, **faults):
        for seed in _SEEDS:
            try:
                _run_simulation(seed, **faults)
            except (_TwoHoldersError, _TokenFellError) as error:
                return type(error)
        return None

    def test_missing_eras_are_detected(self):
        """Guards against a simulation whose restores repeat no revision."""
        self.assertIsNotNone(self._find_error(make_store=_StoreWithoutEras))

    def test_missing_wait_is_detected(self):
        """Guards against a simulation without holders that know no restore."""
        self.assertIs(
            _TwoHoldersError, self._find_error(lease_class=_LeaseWithoutWait)
        )

    def test_lease_of_earlier_era_is_detected(self):
        """Guards against a simulation that repeats no lease id."""
        self.assertIsNotNone(
            self._find_error(lease_class=_LeaseThatOutlivesEras)
        )
