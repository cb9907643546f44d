"""Stand-in for a plain service that records every call."""

import asyncio
import hashlib
import time

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chicoryplank_standins._records import BackendFaults, RecordBook
from chicoryplank_standins._serving import (
    abort_connection,
    answer_error,
    read_json,
    serve,
)


class Service:
    """Records and faults of a service.

    Args:
        delay_ms: Time that a call takes.
        record_file: File that keeps the records; none if empty.
    """

    def __init__(self, delay_ms: float = 0, record_file: str = "") -> None:
        self.records = RecordBook(record_file)
        self.faults = BackendFaults()
        self._delay_s = delay_ms / 1_000
        self._stalled_until_s = 0.0

    async def wait_for_stall(self) -> None:
        """Waits while the service is stalled."""
        now = time.monotonic()
        stall_s = self.faults.take_stall_s()
        self._stalled_until_s = max(self._stalled_until_s, now + stall_s)
        await asyncio.sleep(self._stalled_until_s - now)

    async def work(self) -> None:
        """Takes the time of a call."""
        await asyncio.sleep(self._delay_s * self.faults.slow_factor)


def make_application(service: Service) -> Starlette:
    """Returns the HTTP interface of the stand-in."""

    async def handle(request: Request) -> Response:
        body = await request.body()
        await service.wait_for_stall()
        if service.faults.take_failure():
            return answer_error(500, "service_error", "injected failure")
        key = request.headers.get("idempotency-key", "")
        record = service.records.add(
            request.headers.get("x-request-id", ""),
            request.url.path,
            body,
            method=request.method,
            idempotency_key=key,
        )
        cut = service.faults.take_cut()
        await service.work()
        if cut is not None:
            return await abort_connection(request)
        answer = {
            "method": request.method,
            "path": request.url.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "request_id": record.request_id,
            "idempotency_key": key,
        }
        return JSONResponse(answer)

    async def records(_: Request) -> Response:
        return JSONResponse({"records": service.records.to_json()})

    async def faults(request: Request) -> Response:
        try:
            service.faults.change(await read_json(request) or {})
        except ValueError as error:
            return answer_error(400, "invalid", str(error))
        return JSONResponse({})

    return Starlette(
        routes=[
            Route("/records", records, methods=["GET"]),
            Route("/faults", faults, methods=["POST"]),
            Route("/{path:path}", handle, methods=["GET", "POST"]),
        ]
    )


@click.command()
@click.option("--listen", required=True, help="Host and port.")
@click.option("--delay-ms", default=2.0, help="Time that a call takes.")
@click.option("--record-file", default="", help="File for the records.")
def main(listen: str, delay_ms: float, record_file: str) -> None:
    """Runs the stand-in."""
    service = Service(delay_ms, record_file)
    serve(lambda: make_application(service), listen)


if __name__ == "__main__":
    main()
