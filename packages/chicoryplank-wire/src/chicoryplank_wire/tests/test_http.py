"""Tests of the shared HTTP client."""

import asyncio

import testtools

from chicoryplank_wire.http import make_client

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def _answer_once(reader, writer):
    """Answers one request, then closes the connection without a notice."""
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(1)
    writer.write(_ANSWER)
    await writer.drain()
    writer.close()


class TestClient(testtools.TestCase):
    """Kept connections that the server has closed."""

    def test_closed_connection_is_not_used_again(self):
        """Guards against a failed POST on a connection that is known dead."""

        async def run():
            server = await asyncio.start_server(_answer_once, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = make_client(1)
            answers = []
            for _ in range(3):
                response = await client.post(
                    f"http://127.0.0.1:{port}/", data=b"x"
                )
                answers.append(await response.content())
                await asyncio.sleep(0.05)
            await client.aclose()
            server.close()
            return answers

        self.assertEqual([b"ok"] * 3, asyncio.run(run()))
