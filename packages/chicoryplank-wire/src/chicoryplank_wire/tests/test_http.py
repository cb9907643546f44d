"""Tests of the shared HTTP client."""

import asyncio

import testtools

from chicoryplank_wire.http import make_client

_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def _respond_once(reader, writer):
    """Responds to one request, then closes without "Connection: close"."""
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(1)
    writer.write(_RESPONSE)
    await writer.drain()
    writer.close()


class TestClient(testtools.TestCase):
    """Tests idle connections that the server has closed."""

    def test_closed_connection_is_not_reused(self):
        """Guards against a POST that fails on a closed connection.

        Its outcome would be unknown although it never reached the server.
        """

        async def run():
            server = await asyncio.start_server(_respond_once, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = make_client(1)
            bodies = []
            for _ in range(3):
                response = await client.post(
                    f"http://127.0.0.1:{port}/", data=b"x"
                )
                bodies.append(await response.content())
                await asyncio.sleep(0.05)
            await client.aclose()
            server.close()
            return bodies

        self.assertEqual([b"ok"] * 3, asyncio.run(run()))
