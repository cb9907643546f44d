"""Tests of the client connections against scripted servers, on loopback."""

import asyncio

import testtools

from chicoryplank_wire.calls import CallClient
from chicoryplank_wire.raw_http import (
    Broken,
    ConnectionBrokenError,
    connect,
    encode_request,
)

_REQUEST = encode_request("GET", "/", [("Host", "h")])


class RawCase(testtools.TestCase):
    """Runs a client against one scripted answer a connection."""

    def run_with(self, answers, work):
        async def run():
            script = list(answers)
            tasks = set()

            async def serve(reader, writer):
                tasks.add(asyncio.current_task())
                try:
                    data = script.pop(0) if len(script) > 1 else script[0]
                    while True:
                        await reader.readuntil(b"\r\n\r\n")
                        if data is None:
                            writer.transport.abort()
                            return
                        writer.write(data)
                        await writer.drain()
                        if b"Content-Length" not in data:
                            writer.close()
                            return
                except (
                    asyncio.IncompleteReadError,
                    asyncio.CancelledError,
                    ConnectionError,
                ):
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            try:
                return await work(address)
            finally:
                server.close()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        return asyncio.run(run())

    def read(self, data, expected="7", match="x-id"):
        async def work(address):
            connection = await connect(address, 1.0, match)
            response = connection.send(_REQUEST, expected)
            try:
                await response.wait_head()
                body = await response.read_all(1000)
            except ConnectionBrokenError as error:
                return error.reason
            await asyncio.sleep(0.01)
            return response.status, body, connection.is_reusable

        return self.run_with([data], work)


class TestClientConnection(RawCase):
    """How an answer ended is known exactly."""

    def test_answer_with_length(self):
        """Guards against a connection that is thrown away for nothing."""
        data = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual((200, b"ok", True), self.read(data))

    def test_short_answer_is_broken(self):
        """Guards against a truncated answer that looks whole."""
        data = b"HTTP/1.1 200 OK\r\nContent-length: 9\r\n\r\nok"
        self.assertIs(Broken.CLOSED, self.read(data))

    def test_answer_without_length_ends_with_the_connection(self):
        """Guards against losing an answer that only its end delimits."""
        data = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it"
        self.assertEqual((200, b"all of it", False), self.read(data))

    def test_reset_answer_without_length_is_broken(self):
        """Guards against a reset that looks like the end."""
        self.assertIn(self.read(None), (Broken.CLOSED, Broken.RESET))

    def test_bytes_that_are_no_answer(self):
        """Guards against passing on what is not HTTP."""
        self.assertIs(Broken.MALFORMED, self.read(b"\x00\x01 rubbish\r\n\r\n"))

    def test_surplus_bytes_end_the_connection(self):
        """Guards against surplus bytes that become the next answer."""
        data = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        status, body, reusable = self.read(data + b"HTTP/1.1 200 OK\r\n")
        self.assertEqual((200, b"ok", False), (status, body, reusable))

    def test_answers_to_other_requests_are_skipped(self):
        """Guards against another caller's answer."""
        other = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nbad"
        own = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual((200, b"ok"), self.read(other + own)[:2])
        self.assertIs(Broken.FOREIGN, self.read(other * 5 + own))

    def test_early_hints_are_no_answer(self):
        """Guards against an interim head that is taken for the final one."""
        own = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        data = b"HTTP/1.1 103 Early Hints\r\n\r\n" + own
        self.assertEqual((200, b"ok"), self.read(data)[:2])

    def test_refused_connection(self):
        """Guards against an unclear error where nothing was sent."""

        async def work():
            try:
                await connect("127.0.0.1:1", 0.5)
            except ConnectionBrokenError as error:
                return error.reason
            return None

        self.assertIs(Broken.RESET, asyncio.run(work()))


class TestCallClient(RawCase):
    """Short calls with kept connections."""

    def test_connection_is_kept(self):
        """Guards against a new connection for each call."""
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        async def work(address):
            loop = asyncio.get_running_loop()
            client = CallClient(address, 1.0, loop.time)
            answers = [await client.call("GET", "/") for _ in range(3)]
            kept = len(client._idle)
            client.close()
            return answers, kept

        answers, kept = self.run_with([data], work)
        self.assertEqual(([(200, b"ok")] * 3, 1), (answers, kept))

    def test_silent_server(self):
        """Guards against a call that never ends."""

        async def run():
            async def serve(reader, writer):
                await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            loop = asyncio.get_running_loop()
            client = CallClient(f"127.0.0.1:{port}", 0.1, loop.time)
            try:
                await client.call("GET", "/")
            except ConnectionBrokenError as error:
                return error.reason
            finally:
                server.close()
                await asyncio.sleep(0.01)
            return None

        self.assertIs(Broken.TIMED_OUT, asyncio.run(run()))
