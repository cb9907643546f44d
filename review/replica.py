"""Stand-in of a replica of a plain or a streaming service.

One process is one replica. It prints one JSON line for each request that it
begins to run, and one when it listens. It follows the sections "Requests",
"Answers" and "Replicas" of PROTOCOL.md.
"""

import argparse
import asyncio
import json
import sys
import time

_MISDIRECTED = 421
_FULL = 503
_OK = 200
_QUEUED = 24
_ID = "chicoryplank-request-id"
_NOT_RUN = "Chicoryplank-Not-Executed: 1\r\n"


class Replica:
    """A replica that runs a limited number of requests at a time.

    Args:
        options: Command line options.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0

    async def run(self) -> None:
        """Serves until the process is ended."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._options.port, limit=16_777_216
        )
        port = server.sockets[0].getsockname()[1]
        _print({"listens": f"127.0.0.1:{port}"})
        await server.serve_forever()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            pass  # The daemon has closed the connection.
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, separator, text = line.partition(":")
            if separator:
                headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        expected = headers.get("chicoryplank-expect-instance")
        if expected not in (None, self._options.id):
            return _reject(writer, _MISDIRECTED, headers)
        if self._slots.locked() and self._waiting >= _QUEUED:
            return _reject(writer, _FULL, headers)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            _print(
                {
                    "runs": headers.get(_ID, ""),
                    "at": time.time(),
                    "method": method,
                    "target": target,
                    "body_bytes": len(body),
                    "after": headers.get("last-event-id", ""),
                }
            )
            return await self._run(writer, headers)
        finally:
            self._slots.release()

    async def _run(self, writer: asyncio.StreamWriter, headers: dict) -> bool:
        options = self._options
        request_id = headers.get(_ID, "")
        await asyncio.sleep(options.first_ms / 1000)
        if options.endless:
            await self._send_endlessly(writer, request_id, "text/plain")
        if options.endless_event_ms or options.endless_lines:
            await self._send_endlessly(writer, request_id, "text/event-stream")
        framing = "Transfer-Encoding: chunked\r\n"
        if options.unframed:
            framing = "Connection: close\r\n"
        kind = "text/event-stream" if options.events else "text/plain"
        writer.write(
            f"HTTP/1.1 {_OK} OK\r\nContent-Type: {kind}\r\n"
            f"Chicoryplank-Request-Id: {request_id}\r\n"
            f"Chicoryplank-Response-Seal: {options.id}.{request_id}\r\n"
            f"{framing}\r\n".encode()
        )
        count = options.events or options.pieces
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, count + 1):
            piece = f"{request_id} {number} of {count}\n".encode()
            if options.events:
                piece = b"id: %d\ndata: %s\n" % (number, piece)
            if not options.unframed:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
            if number < count:
                await asyncio.sleep(options.gap_ms / 1000)
        if not options.unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        _print({"done": request_id, "at": time.time()})
        return not options.unframed

    async def _send_endlessly(
        self, writer: asyncio.StreamWriter, request_id: str, kind: str
    ) -> None:
        """Sends a body that is no answer, until the caller closes."""
        writer.write(
            f"HTTP/1.1 {_OK} OK\r\nContent-Type: {kind}\r\n"
            f"Chicoryplank-Request-Id: {request_id}\r\n"
            f"Chicoryplank-Response-Seal: {self._options.id}.{request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        byte = b"\n" if self._options.endless_lines else b"x"
        while True:
            writer.write(b"400\r\n" + byte * 1024 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self._options.endless_event_ms / 1000)


def _reject(writer: asyncio.StreamWriter, status: int, headers: dict) -> bool:
    writer.write(
        f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
        f"Chicoryplank-Request-Id: {headers.get(_ID, '')}\r\n"
        f"{_NOT_RUN}\r\n".encode()
    )
    return True


def _print(document: dict) -> None:
    sys.stdout.write(json.dumps(document) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Runs one replica with the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--pieces", type=int, default=4)
    parser.add_argument("--first-ms", type=float, default=45)
    parser.add_argument("--gap-ms", type=float, default=10)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--endless", action="store_true")
    parser.add_argument("--endless-event-ms", type=float, default=0)
    parser.add_argument("--endless-lines", action="store_true")
    asyncio.run(Replica(parser.parse_args()).run())


if __name__ == "__main__":
    main()
