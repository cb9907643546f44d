"""Randomised runs of map changes under lost, late and repeated orders."""

import asyncio

import testtools

from chicoryplank.orders import GroupSwitch, Operation, OrderResult
from chicoryplank.orders.tests.group_model import MixedMapsError, World

_SEEDS = range(24)
_TICKS = 800


def _play(
    seed, make_switch=GroupSwitch, ticks=_TICKS, calm_ticks=0, lapses=False
):
    world = World(seed, make_switch, lapses)
    asyncio.run(world.run(ticks, calm_ticks))
    return world


class _SwitchWithoutHold(GroupSwitch):
    """Arms the ranks although none is held."""

    async def _order(self, rank, order, deadline_s=float("inf")):
        if order.operation is Operation.HOLD:
            return OrderResult.ACCEPTED
        return await super()._order(rank, order, deadline_s)


class _SwitchWithoutConfirmation(GroupSwitch):
    """Releases the group without having heard from every rank."""

    async def _arm_all(self, version, step):
        await super()._arm_all(version, step)
        return True


class _SwitchWithPlainDisarm(GroupSwitch):
    """Withdraws a change without making late orders to arm void."""

    async def _withdraw(self, rank, current, version):
        port = self._ranks[rank]
        while True:
            state = await self._read(port)
            if state is not None and state.armed_version is None:
                return
            await self._pause(self._parameters.poll_s)
            if state is not None:
                await self._order_once(
                    port,
                    self._make(Operation.DISARM, version=state.armed_version),
                )


class _SwitchWithoutSecondHold(GroupSwitch):
    """Withdraws a predecessor's change under the predecessor's hold only."""

    async def _hold_again(self, held):
        return True


class TestGroupSwitch(testtools.TestCase):
    """No pass begins with two maps, whatever happens to orders."""

    def test_no_pass_has_two_maps(self):
        """Guards against ranks that switch at different passes."""
        switches = sum(_play(seed).group.switches for seed in _SEEDS)
        self.assertGreater(switches, 100)

    def test_no_pass_has_two_maps_when_leases_lapse(self):
        """Guards against a controller that goes on beside its successor."""
        switches = sum(
            _play(seed, lapses=True).group.switches for seed in _SEEDS
        )
        self.assertGreater(switches, 100)

    def test_group_is_never_held_for_good(self):
        """Guards against a hold that nobody releases once faults are over."""
        for seed in _SEEDS:
            faulty = _play(seed, ticks=300).group.step
            healed = _play(seed, ticks=300, calm_ticks=1000).group.step
            self.assertGreater(healed - faulty, 50, f"seed {seed}")


class TestGuards(testtools.TestCase):
    """The runs notice when one of the guards is missing."""

    def _find_fault(self, make_switch, seeds):
        for seed in seeds:
            try:
                _play(seed, make_switch, 500)
            except MixedMapsError:
                return seed
        return None

    def test_runs_notice_a_missing_hold(self):
        """Guards against a model in which the hold does not matter."""
        self.assertIsNotNone(self._find_fault(_SwitchWithoutHold, range(50)))

    def test_runs_notice_a_missing_confirmation(self):
        """Guards against a model in which silent ranks do not matter."""
        self.assertIsNotNone(
            self._find_fault(_SwitchWithoutConfirmation, range(100))
        )

    def test_runs_notice_late_orders_to_arm(self):
        """Guards against a model in which withdrawn changes cannot return."""
        self.assertIsNotNone(
            self._find_fault(_SwitchWithPlainDisarm, range(300, 330))
        )

    def test_runs_notice_a_late_release(self):
        """Guards against a model without releases of a predecessor."""
        self.assertIsNotNone(
            self._find_fault(_SwitchWithoutSecondHold, range(1905, 1925))
        )
