"""Simulated plain service that records every call."""

import asyncio
import hashlib
import os
import time

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chicoryplank_standins._records import BackendFaults, ExecutionLog
from chicoryplank_standins._serving import (
    abort_connection,
    make_error_response,
    read_json,
    serve,
)

# Part of the path of calls under which the service crashes.
HARMFUL_MARK = "harmful-"
_CRASH_CODE = 86


class Service:
    """Execution records and injected faults of a service.

    Args:
        delay_ms: Duration of a call.
        record_file: File that preserves the records; none if empty.
    """

    def __init__(self, delay_ms: float = 0, record_file: str = "") -> None:
        self.records = ExecutionLog(record_file)
        self.faults = BackendFaults()
        self._delay_s = delay_ms / 1_000
        self._stalled_until_s = 0.0

    async def wait_for_stall(self) -> None:
        """Waits while the service is stalled."""
        now = time.monotonic()
        stall_s = self.faults.consume_stall_s()
        self._stalled_until_s = max(self._stalled_until_s, now + stall_s)
        await asyncio.sleep(self._stalled_until_s - now)

    async def work(self) -> None:
        """Waits for the simulated duration of a call."""
        await asyncio.sleep(self._delay_s * self.faults.slow_factor)


def make_application(service: Service) -> Starlette:
    """Creates the HTTP application of the service."""

    async def handle(request: Request) -> Response:
        body = await request.body()
        await service.wait_for_stall()
        if HARMFUL_MARK in request.url.path:
            await service.work()
            os._exit(_CRASH_CODE)
        if service.faults.consume_failure():
            return make_error_response(
                500, "service_error", "failure injected through /faults"
            )
        key = request.headers.get("idempotency-key", "")
        record = service.records.add(
            request.headers.get("x-request-id", ""),
            request.url.path,
            body,
            method=request.method,
            idempotency_key=key,
        )
        cut = service.faults.consume_cut()
        await service.work()
        if cut is not None:
            return await abort_connection(request)
        response_fields = {
            "method": request.method,
            "path": request.url.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "request_id": record.request_id,
            "idempotency_key": key,
        }
        return JSONResponse(
            response_fields, headers=service.faults.get_headers()
        )

    async def records(_: Request) -> Response:
        return JSONResponse({"records": service.records.to_json()})

    async def faults(request: Request) -> Response:
        try:
            service.faults.update(await read_json(request) or {})
        except ValueError as error:
            return make_error_response(400, "invalid", str(error))
        return JSONResponse({})

    return Starlette(
        routes=[
            Route("/records", records, methods=["GET"]),
            Route("/faults", faults, methods=["POST"]),
            Route("/{path:path}", handle, methods=["GET", "POST"]),
        ]
    )


@click.command()
@click.option(
    "--listen", required=True, help="Address to listen on, as host:port."
)
@click.option("--delay-ms", default=2.0, help="Duration of a call.")
@click.option(
    "--record-file",
    default="",
    help="File that preserves the execution records; none if empty.",
)
def main(listen: str, delay_ms: float, record_file: str) -> None:
    """Runs the simulated service."""
    service = Service(delay_ms, record_file)
    serve(lambda: make_application(service), listen)


if __name__ == "__main__":
    main()
