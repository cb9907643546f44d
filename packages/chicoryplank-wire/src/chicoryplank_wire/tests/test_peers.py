"""Tests of authentication and message limits on internal ports."""

import asyncio

import testtools
from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import ControlBase, ControlStub
from chicoryplank_wire.peers import attach_secret, make_server

_SECRET = "correct-horse-battery"


class _Control(ControlBase):
    def __init__(self):
        self.served = 0

    async def Heartbeat(self, stream):  # noqa: N802
        await stream.recv_message()
        self.served += 1
        await stream.send_message(control_pb2.HeartbeatReply())

    async def FetchConfiguration(self, stream):  # noqa: N802
        raise NotImplementedError


def _call(expected, presented, data=b""):
    """Returns the status of a call and how many calls were handled."""

    async def run():
        control = _Control()
        server = make_server([control], 1_000, expected)
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        channel = Channel("127.0.0.1", port)
        attach_secret(channel, presented)
        message = control_pb2.HeartbeatRequest(
            sender=control_pb2.Member(instance="x" * len(data))
        )
        try:
            await ControlStub(channel).Heartbeat(message, timeout=5)
            status = "OK"
        except GRPCError as error:
            status = error.status.name
        channel.close()
        server.close()
        await server.wait_closed()
        return status, control.served

    return asyncio.run(run())


class TestSecret(testtools.TestCase):
    """Tests calls with and without the shared secret."""

    def test_calls_without_the_secret_are_rejected(self):
        """Guards against commands from processes of other deployments."""
        for presented in ("", "correct-horse-batterz", _SECRET[:-1]):
            found = _call(_SECRET, presented)
            self.assertEqual(("UNAUTHENTICATED", 0), found)

    def test_calls_with_the_secret_are_served(self):
        """Guards against rejecting peers that have the right secret."""
        self.assertEqual(("OK", 1), _call(_SECRET, _SECRET))

    def test_no_secret_means_no_check(self):
        """Guards against rejections while the secret is being introduced."""
        self.assertEqual(("OK", 1), _call("", ""))
        self.assertEqual(("OK", 1), _call("", _SECRET))

    def test_large_messages_are_rejected(self):
        """Guards against messages that use unlimited memory."""
        found = _call("", "", b"x" * 2_000)
        self.assertEqual(("RESOURCE_EXHAUSTED", 0), found)
