"""Tests of the control traffic between entries over loopback."""

import asyncio
import json
from datetime import timedelta

import testtools
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from chicoryplank.clock import SystemClock
from chicoryplank.configuration import (
    SnapshotReader,
    confirm_plan,
    create_plan,
    parse_intent,
)
from chicoryplank.fakes import MemoryStore
from chicoryplank.ids import Incarnation, InstanceId, OperationId, ZoneId
from chicoryplank.limits import Limiter
from chicoryplank.membership import MembershipParameters
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank.quarantine import Quarantine
from chicoryplank_entry.configuration import ConfigurationHolder
from chicoryplank_entry.control import ControlService, DemandExchange
from chicoryplank_entry.crash_reports import CrashReports
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import ControlStub

_PARAMETERS = MembershipParameters(
    heartbeat_interval=timedelta(milliseconds=20), watchers_per_zone=1
)
_INTENT = {
    "services": {"add": {"quotes": {"deployment": "quotes"}}},
}


async def _confirm_version(store, number):
    reader = SnapshotReader()
    await reader.refresh(store)
    intent = dict(_INTENT)
    if number > 1:
        intent = {"leaving": {"add": [f"agent-{number}"]}}
    plan = create_plan(reader.snapshot, parse_intent(json.dumps(intent)), None)
    await confirm_plan(store, plan, "test", OperationId(f"operation-{number}"))


class _Entry:
    """Control service of an entry on a loopback port."""

    def __init__(self, name, store):
        self.clock = SystemClock()
        self.process_state = ProcessState()
        self.name = name
        self.store = store
        self.tasks = []

    async def listen(self):
        holder = ConfigurationHolder(
            self.store, self.process_state, self.clock, timedelta(seconds=60)
        )
        limiter = Limiter(self.clock.now())
        self.demand = DemandExchange(limiter, _PARAMETERS)
        port = await _find_port()
        self.instance = Instance(
            InstanceId(self.name), "entry", ZoneId("a"), f"127.0.0.1:{port}"
        )
        self.service = ControlService(
            self.instance,
            _PARAMETERS,
            self.clock,
            process_state=self.process_state,
            holder=holder,
            demand=self.demand,
            crashes=CrashReports(
                Quarantine(), self.clock, Incarnation(self.name), lambda name: 3
            ),
        )
        self.server = Server([self.service])
        await self.server.start("127.0.0.1", port)

    def run(self, instances):
        self.process_state.instances.write(instances)
        self.tasks = [
            asyncio.create_task(self.service.follow_instance_list()),
            asyncio.create_task(self.service.send_heartbeats()),
        ]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await self.service.close()
        self.server.close()
        await self.server.wait_closed()

    @property
    def version(self):
        return self.process_state.snapshot.value.version


async def _find_port():
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def _wait(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


class TestControlService(testtools.TestCase):
    """Tests of the distribution of configuration versions."""

    def _run(self, scenario):
        async def run():
            store = MemoryStore(SystemClock())
            entries = [_Entry(f"entry-{number}", store) for number in (1, 2)]
            for entry in entries:
                await entry.listen()
            try:
                return await scenario(store, entries)
            finally:
                for entry in entries:
                    await entry.close()

        return asyncio.run(run())

    def test_version_spreads_without_the_store(self):
        """Guards against an entry without configuration in a store outage."""

        async def scenario(store, entries):
            await _confirm_version(store, 1)
            instances = tuple(entry.instance for entry in entries)
            for entry in entries:
                entry.run(instances)
            await _wait(lambda: all(e.version == 1 for e in entries))
            store.available = False
            late = _Entry("entry-3", store)
            await late.listen()
            entries.append(late)
            late.run((*instances, late.instance))
            await _wait(lambda: late.version == 1)
            return late.process_state.synchronized.value

        self.assertTrue(self._run(scenario))

    def test_only_the_root_deletes_unused_parts(self):
        """Guards against garbage collection by no entry or by every entry."""

        async def scenario(store, entries):
            await _confirm_version(store, 1)
            for entry in entries:
                entry.run(tuple(item.instance for item in entries))
            await _wait(lambda: all(e.version == 1 for e in entries))
            for entry in entries:
                for task in entry.tasks:
                    task.cancel()
                await entry.service.close()
            await asyncio.sleep(0)
            reads = []
            for entry in entries:
                before = store.calls
                await entry.service.collect_garbage_as_root()
                reads.append(store.calls > before)
            return sorted(reads)

        self.assertEqual([False, True], self._run(scenario))

    def test_new_version_reaches_both(self):
        """Guards against a confirmed change that reaches only one entry."""

        async def scenario(store, entries):
            await _confirm_version(store, 1)
            for entry in entries:
                entry.run(tuple(item.instance for item in entries))
            await _wait(lambda: all(e.version == 1 for e in entries))
            await _confirm_version(store, 2)
            await _wait(lambda: all(e.version == 2 for e in entries))
            return [
                entry.process_state.snapshot.value.leaving for entry in entries
            ]

        expected = [frozenset({"agent-2"})] * 2
        self.assertEqual(expected, self._run(scenario))


class TestInvalidHeartbeats(testtools.TestCase):
    """Tests of heartbeats that no correct entry sends."""

    def _send(self, **changes):
        """Sends a heartbeat with changed fields to an entry.

        Returns:
            The gRPC status, the number of members, the demand of the fleet and
            the heartbeat tasks that have ended.
        """
        sender = {
            "instance": "entry-9",
            "zone": "a",
            "address": "127.0.0.1:9",
            "caller_address": "127.0.0.1:8",
        }
        message = {"sender": sender | changes.pop("sender", {})} | changes

        async def run():
            entry = _Entry("entry-1", MemoryStore(SystemClock()))
            await entry.listen()
            entry.run((entry.instance,))
            host, port = entry.instance.address.rsplit(":", 1)
            channel = Channel(host, int(port))
            try:
                await ControlStub(channel).Heartbeat(
                    control_pb2.HeartbeatRequest(**message), timeout=5
                )
                status = "OK"
            except GRPCError as error:
                status = error.status.name
            # Time for some heartbeats, in case the sender became the parent.
            await asyncio.sleep(0.1)
            members = entry.service.membership.get_members(entry.clock.now())
            fleet = entry.demand._aggregators[0].sum_fleet()
            ended = [task for task in entry.tasks if task.done()]
            channel.close()
            await entry.close()
            return status, len(members), fleet, ended

        return asyncio.run(run())

    def test_malformed_senders_are_rejected(self):
        """Guards against an invalid sender that ends the heartbeat task."""
        for field, value in (
            ("address", "nowhere"),
            ("address", "127.0.0.1:port"),
            ("address", ""),
            ("caller_address", "x"),
            ("instance", ""),
            ("instance", "a\nb"),
            ("instance", "a" * 5000),
            ("zone", ""),
        ):
            found = self._send(sender={field: value})
            self.assertEqual(("INVALID_ARGUMENT", 1, {}, []), found)

    def test_unbounded_demand_is_rejected(self):
        """Guards against rate limits that become infinite or NaN."""
        for value in (float("nan"), float("inf"), 1e300):
            update = control_pb2.DemandUpdate(
                number=1,
                is_full=True,
                changes=[control_pb2.Demand(account="a", value=value)],
            )
            found = self._send(requests=update)
            self.assertEqual(("INVALID_ARGUMENT", 1, {}, []), found)

    def test_too_many_accounts_are_rejected(self):
        """Guards against demand tables that grow without bound."""
        changes = [
            control_pb2.Demand(account=f"a{number}", value=1)
            for number in range(10_001)
        ]
        update = control_pb2.DemandUpdate(
            number=1, is_full=True, changes=changes
        )
        self.assertEqual("INVALID_ARGUMENT", self._send(tokens=update)[0])
