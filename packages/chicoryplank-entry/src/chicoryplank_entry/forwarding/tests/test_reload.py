"""Tests of changing the settings of a running entry."""

import asyncio
import dataclasses
import random
from datetime import timedelta
from unittest import mock

import testtools

from chicoryplank.admission import ColdBoundParameters, RetryBudgetParameters
from chicoryplank.clock import SystemClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank_entry.forwarding import reload as reload_module
from chicoryplank_entry.forwarding.application import (
    EntryParameters,
    ForwardingEntry,
    PlatformAdapter,
)
from chicoryplank_entry.forwarding.members import Member
from chicoryplank_entry.forwarding.reload import SettingsReload
from chicoryplank_entry.forwarding.tests.harness import NAMES

_PARAMETERS = EntryParameters(
    Member(InstanceId("entry-1"), ZoneId("a"), "127.0.0.1:1", "127.0.0.1:2"),
    ready_address="127.0.0.1:3",
    directory_address="",
    metrics_address="",
    registration_key="entries/entry-1",
    stop_grace=timedelta(seconds=8),
    address_lifetime=timedelta(seconds=5),
    repeats=RetryBudgetParameters(0.2, 90),
)


def _make_entry():
    clock = SystemClock()
    adapter = PlatformAdapter(
        NAMES, MemoryStore(clock), None, None, None, None, ready_path="/ready"
    )
    return ForwardingEntry(_PARAMETERS, adapter, clock, random.Random(1))


class TestSettingsReload(testtools.TestCase):
    """Settings are reloaded on a signal and periodically."""

    def setUp(self):
        super().setUp()
        self.results = []
        self.applied = []
        self.reload = SettingsReload(self._read, self._apply, "first")

    def _read(self):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def _apply(self, parameters):
        self.applied.append(parameters)
        return []

    def test_unchanged_settings_are_not_applied(self):
        """Guards against a log line at every read."""
        self.results = ["first", "first", "second", "second"]
        for _ in range(4):
            self.reload.check()
        self.assertEqual(["second"], self.applied)

    def test_invalid_settings_are_rejected(self):
        """Guards against an entry that stops because of a damaged file."""
        error = ChicoryplankError(ErrorCode.INVALID_SETTINGS, "zone is missing")
        self.results = [error, error, "second"]
        with mock.patch.object(reload_module, "emit") as emit:
            for _ in range(2):
                self.reload.check()
            self.assertEqual([], self.applied)
            self.assertEqual(1, emit.call_count)
            self.reload.check()
        self.assertEqual(["second"], self.applied)

    def test_change_without_a_signal_is_applied(self):
        """Guards against reading the file only on a signal."""

        async def run():
            with mock.patch.object(reload_module, "_INTERVAL_S", 0.01):
                await self.reload.start()
                async with asyncio.timeout(2):
                    while not self.applied:
                        await asyncio.sleep(0.01)
                await self.reload.stop()

        self.results = ["second"] * 400
        asyncio.run(run())
        self.assertEqual(["second"], self.applied)


class TestApplyParameters(testtools.TestCase):
    """A running entry applies the parameters that it can change."""

    def test_retry_budget_changes_at_once(self):
        """Guards against retries beyond a budget that the operator lowered."""
        entry = _make_entry()
        service = entry.state.get_service(ServiceId("cards"))
        now_s = entry.state.now_s() + 60.0
        for number in range(10):
            at_s = now_s + number / 100
            self.assertTrue(service.retry_budget.try_spend(1, at_s))
        changed = dataclasses.replace(
            _PARAMETERS, repeats=RetryBudgetParameters(0.2, 10)
        )
        self.assertEqual([], entry.apply_parameters(changed))
        self.assertFalse(service.retry_budget.try_spend(1, now_s + 0.2))
        later = entry.state.get_service(ServiceId("notes"))
        self.assertEqual(10, later.retry_budget.parameters.extra)

    def test_cold_bound_changes_at_once(self):
        """Guards against a bound that has no effect on a running entry."""
        entry = _make_entry()
        limit = entry.cold_starts
        self.assertEqual(
            [entry.peers.pacing, limit], entry.peers.permits.limits
        )
        bound = ColdBoundParameters(1.5, 5.0)
        changed = dataclasses.replace(_PARAMETERS, cold_bound=bound)
        with mock.patch.object(limit, "configure") as configure:
            self.assertEqual([], entry.apply_parameters(changed))
        configure.assert_called_once_with(bound)

    def test_addresses_need_a_restart(self):
        """Guards against reporting a change as active that is not."""
        entry = _make_entry()
        changed = dataclasses.replace(
            _PARAMETERS,
            ready_address="127.0.0.1:4",
            stop_grace=timedelta(seconds=4),
        )
        self.assertEqual(["ready_address"], entry.apply_parameters(changed))
