"""Server that answers with any status, for tests on loopback."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def serve_status(status, body):
    """Serves connections whose first request gets a status and a body.

    The connections stay open until the client closes them.

    Args:
        status: Status, as it stands in the status line.
        body: Body, sent with its length.

    Yields:
        Host and port of the server.
    """

    async def answer(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b X\r\n" % status)
            writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
