"""Tests of the etcd store client with a server on loopback."""

import asyncio
import base64
import json
from datetime import timedelta

import testtools

from chicoryplank.store import StoreError
from chicoryplank.verdict import Verdict
from chicoryplank_wire.store import EtcdStore


def _encode_response(key):
    record = {
        "key": key,
        "value": base64.b64encode(b"value of " + base64.b64decode(key)),
        "mod_revision": "3",
    }
    record["value"] = record["value"].decode()
    body = json.dumps({"kvs": [record]}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class _SlowServer:
    """Server that delays responses to the key "slow" until release is set."""

    def __init__(self):
        self.release = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(
                    head.lower().split(b"content-length:")[1].split()[0]
                )
                key = json.loads(await reader.readexactly(length))["key"]
                if base64.b64decode(key) == b"slow":
                    await self.release.wait()
                writer.write(_encode_response(key))
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


class TestEtcdStore(testtools.TestCase):
    """Tests that each call gets its own response."""

    def test_late_response_is_not_returned_to_the_next_call(self):
        """Guards against reading the late response to a call that timed out."""

        async def run():
            server = _SlowServer()
            address = await server.start()
            store = EtcdStore(address, timedelta(milliseconds=100))
            await store.read("first")
            try:
                await store.read("slow")
            except StoreError as error:
                verdict = error.verdict
            server.release.set()
            record = await store.read("last")
            await store.close()
            server.server.close()
            return verdict, record.key, record.value

        expected = (Verdict.NOT_RUN, "last", b"value of last")
        self.assertEqual(expected, asyncio.run(run()))
