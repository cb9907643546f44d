"""Simulated map changes under lost, late and repeated orders."""

import asyncio

import testtools

from chicoryplank.orders import GroupSwitch, Operation, OrderResult
from chicoryplank.orders.tests.group_model import MixedMapsError, Simulation

_SEEDS = range(24)
_TICKS = 800


def _run_simulation(
    seed,
    make_switch=GroupSwitch,
    ticks=_TICKS,
    fault_free_ticks=0,
    leases_expire=False,
):
    simulation = Simulation(seed, make_switch, leases_expire)
    asyncio.run(simulation.run(ticks, fault_free_ticks))
    return simulation


class _SwitchWithoutHold(GroupSwitch):
    """Fault: arms the ranks although none is held."""

    async def _place_until_response(self, rank, order, deadline_s=float("inf")):
        if order.operation is Operation.HOLD:
            return OrderResult.ACCEPTED
        return await super()._place_until_response(rank, order, deadline_s)


class _SwitchWithoutConfirmation(GroupSwitch):
    """Fault: releases the group before every rank has reported it is armed."""

    async def _arm_all(self, version, step):
        await super()._arm_all(version, step)
        return True


class _SwitchWithPlainDisarm(GroupSwitch):
    """Fault: withdraws a change so that late orders to arm still apply."""

    async def _withdraw_change(self, rank, current, version):
        port = self._ranks[rank]
        while True:
            state = await self._read(port)
            if state is not None and state.armed_version is None:
                return
            await self._sleep(self._parameters.poll_interval_s)
            if state is not None:
                await self._place_once(
                    port,
                    self._make_order(
                        Operation.DISARM, version=state.armed_version
                    ),
                )


class _SwitchWithoutSecondHold(GroupSwitch):
    """Fault: withdraws a change under the hold of the predecessor only."""

    async def _hold_another_rank(self, held_steps):
        return True


class TestGroupSwitch(testtools.TestCase):
    """Every step begins with one map, whatever happens to orders."""

    def test_every_step_uses_one_map(self):
        """Guards against ranks that switch at different steps."""
        switches = sum(_run_simulation(seed).group.switches for seed in _SEEDS)
        self.assertGreater(switches, 100)

    def test_every_step_uses_one_map_when_leases_expire(self):
        """Guards against a controller that interferes with its successor."""
        switches = sum(
            _run_simulation(seed, leases_expire=True).group.switches
            for seed in _SEEDS
        )
        self.assertGreater(switches, 100)

    def test_group_is_released_after_faults(self):
        """Guards against a hold that is never released after faults end."""
        for seed in _SEEDS:
            steps_with_faults = _run_simulation(seed, ticks=300).group.step
            steps_after_faults = _run_simulation(
                seed, ticks=300, fault_free_ticks=1000
            ).group.step
            self.assertGreater(
                steps_after_faults - steps_with_faults, 50, f"seed {seed}"
            )


class TestGuards(testtools.TestCase):
    """The simulation detects a switch that breaks one of its rules."""

    def _find_failing_seed(self, make_switch, seeds):
        for seed in seeds:
            try:
                _run_simulation(seed, make_switch, 500)
            except MixedMapsError:
                return seed
        return None

    def test_missing_hold_is_detected(self):
        """Guards against a simulation in which the hold has no effect."""
        self.assertIsNotNone(
            self._find_failing_seed(_SwitchWithoutHold, range(50))
        )

    def test_missing_confirmation_is_detected(self):
        """Guards against a simulation in which no rank fails to be armed."""
        self.assertIsNotNone(
            self._find_failing_seed(_SwitchWithoutConfirmation, range(100))
        )

    def test_late_order_to_arm_is_detected(self):
        """Guards against a simulation without late orders to arm."""
        self.assertIsNotNone(
            self._find_failing_seed(_SwitchWithPlainDisarm, range(300, 330))
        )

    def test_late_order_to_release_is_detected(self):
        """Guards against a simulation without late orders of predecessors."""
        self.assertIsNotNone(
            self._find_failing_seed(_SwitchWithoutSecondHold, range(1560, 1580))
        )
