"""Tests of client connections with scripted servers on loopback."""

import asyncio

import testtools

from chicoryplank_wire.calls import CallClient
from chicoryplank_wire.client_connection import (
    BreakReason,
    ConnectionBrokenError,
    connect,
    encode_head,
)

_REQUEST = encode_head("GET", "/", [("Host", "h")])


class ScriptedServerCase(testtools.TestCase):
    """Runs a client against a server with one scripted response per connection.

    The last response is used for all further connections; None aborts the
    connection.
    """

    def run_against(self, responses, work):
        async def run():
            remaining = list(responses)
            tasks = set()

            async def serve(reader, writer):
                tasks.add(asyncio.current_task())
                try:
                    data = (
                        remaining.pop(0) if len(remaining) > 1 else remaining[0]
                    )
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

        return self.run_against([data], work)


class TestClientConnection(ScriptedServerCase):
    """Tests how the end of a response is determined."""

    def test_response_with_length(self):
        """Guards against closing a connection that can be reused."""
        data = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual((200, b"ok", True), self.read(data))

    def test_truncated_response_is_an_error(self):
        """Guards against accepting a truncated response as complete."""
        data = b"HTTP/1.1 200 OK\r\nContent-length: 9\r\n\r\nok"
        self.assertIs(BreakReason.CLOSED, self.read(data))

    def test_response_without_length_ends_with_the_connection(self):
        """Guards against losing a response delimited by connection close."""
        data = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it"
        self.assertEqual((200, b"all of it", False), self.read(data))

    def test_reset_is_not_the_end_of_a_response(self):
        """Guards against accepting a reset as the end of a response."""
        self.assertIn(self.read(None), (BreakReason.CLOSED, BreakReason.RESET))

    def test_bytes_that_are_not_http(self):
        """Guards against forwarding data that is not HTTP."""
        self.assertIs(
            BreakReason.MALFORMED, self.read(b"\x00\x01 rubbish\r\n\r\n")
        )

    def test_surplus_bytes_close_the_connection(self):
        """Guards against taking surplus bytes for the next response."""
        data = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        status, body, reusable = self.read(data + b"HTTP/1.1 200 OK\r\n")
        self.assertEqual((200, b"ok", False), (status, body, reusable))

    def test_responses_to_other_requests_are_skipped(self):
        """Guards against returning the response to another request."""
        other = b"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nbad"
        own = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual((200, b"ok"), self.read(other + own)[:2])
        self.assertIs(BreakReason.MISMATCHED, self.read(other * 5 + own))

    def test_response_without_id_is_skipped_on_a_used_connection(self):
        """Guards against a late response taken for one to a later request."""
        own = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        late = b"HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nbad"
        self.assertEqual((503, b"bad"), self.read(late)[:2])

        async def work(address):
            connection = await connect(address, 1.0, "x-id")
            first = connection.send(_REQUEST, "7")
            await first.read_all(10)
            second = connection.send(_REQUEST, "7")
            connection.data_received(late)
            await second.wait_head()
            skipped = [(item.status, item.match_id) for item in second.skipped]
            return second.status, await second.read_all(10), skipped

        result = self.run_against([own], work)
        self.assertEqual((200, b"ok", [(503, None)]), result)

    def test_interim_response_is_skipped(self):
        """Guards against taking an interim response for the final one."""
        own = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"
        data = b"HTTP/1.1 103 Early Hints\r\n\r\n" + own
        self.assertEqual((200, b"ok"), self.read(data)[:2])

    def test_refused_connection(self):
        """Guards against an ambiguous error if nothing was sent."""

        async def work():
            try:
                await connect("127.0.0.1:1", 0.5)
            except ConnectionBrokenError as error:
                return error.reason
            return None

        self.assertIs(BreakReason.REFUSED, asyncio.run(work()))


class TestCallClient(ScriptedServerCase):
    """Tests short calls over persistent connections."""

    def test_connection_is_reused(self):
        """Guards against opening a new connection for each call."""
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        async def work(address):
            loop = asyncio.get_running_loop()
            client = CallClient(address, 1.0, loop.time)
            responses = [await client.call("GET", "/") for _ in range(3)]
            idle_count = len(client._idle)
            client.close()
            return responses, idle_count

        responses, idle_count = self.run_against([data], work)
        self.assertEqual(([(200, b"ok")] * 3, 1), (responses, idle_count))

    def test_call_to_unresponsive_server_times_out(self):
        """Guards against a call that never returns."""

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

        self.assertIs(BreakReason.TIMED_OUT, asyncio.run(run()))
