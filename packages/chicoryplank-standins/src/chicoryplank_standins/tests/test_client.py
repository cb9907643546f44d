"""Tests of the HTTP client against a server on the loopback interface."""

import asyncio

import testtools

from chicoryplank_standins._client import make_client


class TestClient(testtools.TestCase):
    """Cancelled calls."""

    def test_connection_of_cancelled_call_is_not_reused(self):
        """Guards against reading the response to an earlier, cancelled call."""

        async def run():
            send_slow_response, slow_call_received = (
                asyncio.Event(),
                asyncio.Event(),
            )
            connection_closed = asyncio.Semaphore(0)

            async def handle(reader, writer):
                while request_line := await reader.readline():
                    path = request_line.split()[1]
                    while (await reader.readline()).strip():
                        continue
                    if path == b"/slow":
                        slow_call_received.set()
                        await send_slow_response.wait()
                    size = str(len(path)).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n%s"
                        % (size, path)
                    )
                writer.close()
                connection_closed.release()

            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = make_client(1)

            async def get(path):
                url = f"http://127.0.0.1:{port}{path}"
                return await (await client.get(url)).content()

            await get("/first")
            slow = asyncio.create_task(get("/slow"))
            await slow_call_received.wait()
            slow.cancel()
            await asyncio.wait((slow,))
            send_slow_response.set()
            body = await get("/last")
            await client.aclose()
            server.close()
            for _ in range(2):
                await connection_closed.acquire()
            return body

        self.assertEqual(b"/last", asyncio.run(run()))
