"""Tests of the connection to an agent that sends a malformed message."""

import asyncio
import random

import testtools

from chicoryplank.attempts import EntryAttemptTable
from chicoryplank.clock import SystemClock
from chicoryplank.ids import Incarnation, InstanceId, ZoneId
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank_entry.relays import Relay, RelayState
from chicoryplank_wire import relay_pb2
from chicoryplank_wire.peers import make_server
from chicoryplank_wire.relay_grpc import RelayBase


class _CountingAgent(RelayBase):
    """Fake agent whose load report contains the number of the connection."""

    def __init__(self):
        self.connections = 0

    async def Exchange(self, stream):  # noqa: N802
        self.connections += 1
        await stream.recv_message()
        load = relay_pb2.Load(measured_unix_ms=self.connections)
        await stream.send_message(
            relay_pb2.AgentBatch(
                agent="agent-1", incarnation="agent-1-a", load=load
            )
        )
        while await stream.recv_message() is not None:
            continue


class TestRelay(testtools.TestCase):
    """A malformed message must not prevent a reconnect."""

    def test_malformed_message_causes_a_reconnect(self):
        """Guards against an agent that is never reconnected."""

        async def scenario():
            agent = _CountingAgent()
            server = make_server([agent], 1_000_000)
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            relay = Relay(
                (InstanceId("entry-1"), Incarnation("entry-1-a")),
                Instance(
                    InstanceId("agent-1"),
                    "backend",
                    ZoneId("a"),
                    f"127.0.0.1:{port}",
                ),
                EntryAttemptTable(1_000),
                process_state=ProcessState(),
                clock=SystemClock(),
                rng=random.Random(1),
            )

            def observe_report(relay):
                if relay.report.measured_unix_ms == 1:
                    raise OverflowError("time out of range")

            relay.on_report = observe_report
            relay.start()
            async with asyncio.timeout(5):
                while relay.report.measured_unix_ms != 2:
                    await asyncio.sleep(0.01)
            state = relay.state
            await relay.close()
            server.close()
            await server.wait_closed()
            return state

        self.assertEqual(RelayState.READY, asyncio.run(scenario()))
