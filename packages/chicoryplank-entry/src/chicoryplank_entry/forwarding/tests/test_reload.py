"""Tests of settings that change while an entry runs."""

import asyncio
import dataclasses
import random
from datetime import timedelta
from unittest import mock

import testtools

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import SystemClock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank_entry.forwarding import reload as reload_module
from chicoryplank_entry.forwarding.application import (
    EntryParameters,
    EntryPorts,
    ForwardingEntry,
)
from chicoryplank_entry.forwarding.peers import Member
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
    ports = EntryPorts(
        NAMES, MemoryStore(clock), None, None, None, None, ready_path="/ready"
    )
    return ForwardingEntry(_PARAMETERS, ports, clock, random.Random(1))


class TestSettingsReload(testtools.TestCase):
    """Settings are read again, with a signal and without one."""

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
        """Guards against a log line at every look."""
        self.results = ["first", "first", "second", "second"]
        for _ in range(4):
            self.reload.check()
        self.assertEqual(["second"], self.applied)

    def test_invalid_settings_leave_the_former_ones_in_force(self):
        """Guards against an entry that a damaged file ends."""
        error = ChicoryplankError(ErrorCode.INVALID_SETTINGS, "zone is missing")
        self.results = [error, error, "second"]
        with mock.patch.object(reload_module, "emit") as emit:
            for _ in range(2):
                self.reload.check()
            self.assertEqual([], self.applied)
            self.assertEqual(1, emit.call_count)
            self.reload.check()
        self.assertEqual(["second"], self.applied)

    def test_change_without_a_signal_is_seen(self):
        """Guards against a file that is only read on a signal."""

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
    """A running entry takes what it can change."""

    def test_bounds_change_at_once(self):
        """Guards against a budget of repeats that the operator lowered."""
        entry = _make_entry()
        service = entry.state.get_service(ServiceId("cards"))
        for number in range(10):
            self.assertTrue(service.repeats.try_spend(1, number / 100))
        changed = dataclasses.replace(
            _PARAMETERS, repeats=RetryBudgetParameters(0.2, 10)
        )
        self.assertEqual([], entry.apply_parameters(changed))
        self.assertFalse(service.repeats.try_spend(1, 0.2))
        later = entry.state.get_service(ServiceId("notes"))
        self.assertEqual(10, later.repeats.parameters.extra)

    def test_addresses_wait_for_the_next_start(self):
        """Guards against a change that is said to be in force and is not."""
        entry = _make_entry()
        changed = dataclasses.replace(
            _PARAMETERS,
            ready_address="127.0.0.1:4",
            stop_grace=timedelta(seconds=4),
        )
        self.assertEqual(["ready_address"], entry.apply_parameters(changed))
