"""Stand-in for the rate-limited weight store."""

import asyncio
import hashlib
import time
from collections.abc import AsyncIterator

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from chicoryplank_standins._serving import answer_error, serve

CHUNK_BYTES = 65_536


class WeightStore:
    """Rate that all readers share.

    Args:
        bytes_per_s: Rate of all readers together.
        max_readers: Readers at once; further ones are rejected.
    """

    def __init__(self, bytes_per_s: float, max_readers: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_readers = max_readers
        self._readers = 0
        self._free_s = 0.0

    def is_full(self) -> bool:
        """Tells whether a further reader is rejected."""
        return self._readers >= self._max_readers

    async def stream(self, name: str, size: int) -> AsyncIterator[bytes]:
        """Yields bytes that depend on the name and the offset only."""
        digest = hashlib.sha256(name.encode()).digest()
        chunk = digest * (CHUNK_BYTES // len(digest))
        self._readers += 1
        try:
            for offset in range(0, size, CHUNK_BYTES):
                part = chunk[: size - offset]
                now = time.monotonic()
                # Readers reserve the link in turn, one chunk at a time.
                self._free_s = max(now, self._free_s)
                self._free_s += len(part) / self._bytes_per_s
                await asyncio.sleep(self._free_s - now)
                yield part
        finally:
            self._readers -= 1


def make_application(weights: WeightStore) -> Starlette:
    """Returns the HTTP interface of the stand-in."""

    async def read(request: Request) -> Response:
        size = request.query_params.get("bytes", "")
        if not size.isdigit():
            return answer_error(400, "invalid", "bytes must be a number")
        if weights.is_full():
            return answer_error(429, "too_many_readers", "too many readers")
        stream = weights.stream(request.path_params["name"], int(size))
        return StreamingResponse(
            stream,
            headers={"content-length": size},
            media_type="application/octet-stream",
        )

    return Starlette(routes=[Route("/weights/{name:path}", read)])


@click.command()
@click.option("--listen", required=True, help="Host and port.")
@click.option("--bytes-per-s", default=1e9, help="Rate of all readers.")
@click.option("--max-readers", default=16, help="Readers at once.")
def main(listen: str, bytes_per_s: float, max_readers: int) -> None:
    """Runs the stand-in."""
    weights = WeightStore(bytes_per_s, max_readers)
    serve(lambda: make_application(weights), listen)


if __name__ == "__main__":
    main()
