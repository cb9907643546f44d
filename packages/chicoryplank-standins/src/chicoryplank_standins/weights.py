"""Simulated store of model weights with limited bandwidth."""

import asyncio
import hashlib
import time
from collections.abc import AsyncIterator

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from chicoryplank_standins._serving import make_error_response, serve

CHUNK_BYTES = 65_536


class WeightStore:
    """Weight store whose bandwidth is shared by all readers.

    Args:
        bytes_per_s: Total bandwidth of all readers.
        max_readers: Maximum number of concurrent readers; further ones are
            rejected.
    """

    def __init__(self, bytes_per_s: float, max_readers: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_readers = max_readers
        self._readers = 0
        self._link_free_s = 0.0

    def is_full(self) -> bool:
        """Tells whether the maximum number of readers is reached."""
        return self._readers >= self._max_readers

    async def stream(self, name: str, size: int) -> AsyncIterator[bytes]:
        """Yields content that is determined by the name and the offset."""
        digest = hashlib.sha256(name.encode()).digest()
        chunk = digest * (CHUNK_BYTES // len(digest))
        self._readers += 1
        try:
            for offset in range(0, size, CHUNK_BYTES):
                part = chunk[: size - offset]
                now = time.monotonic()
                # Each chunk reserves the shared link after the previous chunk.
                self._link_free_s = max(now, self._link_free_s)
                self._link_free_s += len(part) / self._bytes_per_s
                await asyncio.sleep(self._link_free_s - now)
                yield part
        finally:
            self._readers -= 1


def make_application(weights: WeightStore) -> Starlette:
    """Creates the HTTP application of the weight store."""

    async def read(request: Request) -> Response:
        size = request.query_params.get("bytes", "")
        if not size.isdigit():
            return make_error_response(
                400, "invalid", "the bytes parameter must be a number"
            )
        if weights.is_full():
            return make_error_response(
                429,
                "too_many_readers",
                "the maximum number of readers is reached",
            )
        stream = weights.stream(request.path_params["name"], int(size))
        return StreamingResponse(
            stream,
            headers={"content-length": size},
            media_type="application/octet-stream",
        )

    return Starlette(routes=[Route("/weights/{name:path}", read)])


@click.command()
@click.option(
    "--listen", required=True, help="Address to listen on, as host:port."
)
@click.option(
    "--bytes-per-s", default=1e9, help="Total bandwidth of all readers."
)
@click.option("--max-readers", default=16, help="Maximum concurrent readers.")
def main(listen: str, bytes_per_s: float, max_readers: int) -> None:
    """Runs the simulated weight store."""
    weights = WeightStore(bytes_per_s, max_readers)
    serve(lambda: make_application(weights), listen)


if __name__ == "__main__":
    main()
