"""Simulated key-value store with a subset of the etcd v3 HTTP interface."""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from chicoryplank_standins._keyvalue import (
    KeyValueError,
    KeyValueState,
    decode,
)
from chicoryplank_standins._serving import (
    Notifier,
    abort_connection,
    make_error_response,
    read_json,
    serve,
    wait_for_disconnect,
)

# Leases also expire while no requests arrive; this is the polling interval.
LEASE_EXPIRY_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults injected into the store.

    Attributes:
        down: Whether calls fail.
        mode: While down, `hang` sends no response, and `refuse` responds with
            status 503 and closes watches.
        delay_ms: Delay of each call, half before and half after its effect.
        lose_answers: Number of following writes that take effect but whose
            connection is aborted without a response.
    """

    down: bool = False
    mode: str = "hang"
    delay_ms: float = 0
    lose_answers: int = 0


class SimulatedStore:
    """State of the simulated store with call counters and injected faults.

    Args:
        budget: Maximum calls per second; further calls get status 503.
            0 for no limit.
        elapsed: Returns the monotonic time in seconds.
    """

    def __init__(
        self, budget: float = 0, elapsed: Callable[[], float] = time.monotonic
    ) -> None:
        self.state = KeyValueState(elapsed)
        self.faults = StoreFaults()
        self.changed = Notifier()
        self.calls: Counter[str] = Counter()
        self.pending_watches = 0
        self.over_budget = 0
        self._budget = budget
        self._elapsed = elapsed
        self._started_s = elapsed()
        self._tokens = budget
        self._refilled_s = self._started_s

    def try_admit(self, kind: str) -> bool:
        """Counts a call; returns False if the call rate is over the budget."""
        self.calls[kind] += 1
        if not self._budget:
            return True
        now = self._elapsed()
        refill = (now - self._refilled_s) * self._budget
        self._tokens = min(self._budget, self._tokens + refill)
        self._refilled_s = now
        if self._tokens < 1:
            self.over_budget += 1
            return False
        self._tokens -= 1
        return True

    def get_counters(self) -> dict[str, Any]:
        """Returns the call counters."""
        return {
            "calls": dict(self.calls),
            "total": self.calls.total(),
            "pending_watches": self.pending_watches,
            "over_budget": self.over_budget,
            "elapsed_s": self._elapsed() - self._started_s,
        }

    def notify(self) -> None:
        """Wakes the pending watches."""
        self.changed.notify()

    async def expire_leases_periodically(self) -> None:
        """Deletes expired leases until the task is cancelled."""
        while True:
            await asyncio.sleep(LEASE_EXPIRY_INTERVAL_S)
            if self.state.expire_leases():
                self.notify()


def _make_store_error_response(error: KeyValueError) -> JSONResponse:
    body = {"error": str(error), "code": error.code, "message": str(error)}
    return JSONResponse(body, error.status)


async def _apply_faults(
    store: SimulatedStore, kind: str, request: Request
) -> Response | None:
    faults = store.faults
    admitted = store.try_admit(kind)
    if faults.delay_ms:
        await asyncio.sleep(faults.delay_ms / 2_000)
    if faults.down and faults.mode == "hang":
        await wait_for_disconnect(request)
        return Response(status_code=503)
    if faults.down:
        return make_error_response(503, "unavailable", "the store is down")
    if not admitted:
        return make_error_response(
            503, "over_budget", "the call rate is over the budget"
        )
    return None


def _make_handler(
    store: SimulatedStore,
    kind: str,
    operation: Callable[[dict[str, Any]], dict[str, Any]],
    is_write: bool,
) -> Callable:
    async def handle(request: Request) -> Response:
        body = await read_json(request)
        error_response = await _apply_faults(store, kind, request)
        if error_response is not None:
            return error_response
        if body is None:
            return make_error_response(
                400, "invalid", "the request body is not a JSON object"
            )
        store.state.expire_leases()
        revision = store.state.revision
        try:
            result = operation(body)
        except KeyValueError as error:
            return _make_store_error_response(error)
        except ValueError as error:
            return make_error_response(400, "invalid", str(error))
        if store.state.revision != revision:
            store.notify()
        if is_write and store.faults.lose_answers > 0:
            store.faults.lose_answers -= 1
            return await abort_connection(request)
        if store.faults.delay_ms:
            await asyncio.sleep(store.faults.delay_ms / 2_000)
        return JSONResponse(result)

    return handle


async def stream_watch(
    store: SimulatedStore, create_request: dict[str, Any]
) -> AsyncIterator[bytes]:
    """Yields the JSON lines of a watch until the store refuses calls."""
    state = store.state
    start = decode(create_request.get("key"))
    end = decode(create_request.get("range_end"))
    first_revision = (
        int(create_request.get("start_revision", 0)) or state.revision + 1
    )
    result: dict[str, Any] = {"header": state.make_header(), "created": True}
    if first_revision <= state.compacted_revision:
        result |= {
            "canceled": True,
            "compact_revision": str(state.compacted_revision),
        }
    store.pending_watches += 1
    try:
        yield _format_result(result)
        last_revision = first_revision - 1
        while "canceled" not in result:
            if store.faults.down:
                if store.faults.mode == "refuse":
                    return
            else:
                events = state.read_events(start, end, last_revision)
                last_revision = max(last_revision, state.revision)
                if events:
                    changes = {"header": state.make_header(), "events": events}
                    yield _format_result(changes)
                    continue
            await store.changed.wait()
    finally:
        store.pending_watches -= 1


def _format_result(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def _make_control_routes(store: SimulatedStore) -> list[Route]:
    async def watch(request: Request) -> Response:
        body = await read_json(request)
        error_response = await _apply_faults(store, "watch", request)
        if error_response is not None:
            return error_response
        create_request = (body or {}).get("create_request")
        if not isinstance(create_request, dict):
            return make_error_response(
                400, "invalid", "create_request is missing or not an object"
            )
        try:
            decode(create_request.get("key"))
            decode(create_request.get("range_end"))
            int(create_request.get("start_revision", 0))
        except (KeyValueError, ValueError) as error:
            return make_error_response(400, "invalid", str(error))
        stream = stream_watch(store, create_request)
        return StreamingResponse(stream, media_type="application/json")

    async def calls(_: Request) -> Response:
        return JSONResponse(store.get_counters())

    async def faults(request: Request) -> Response:
        body = await read_json(request)
        try:
            new_faults = dataclasses.replace(store.faults, **(body or {}))
        except TypeError as error:
            return make_error_response(400, "invalid", str(error))
        store.faults = new_faults
        store.notify()
        return JSONResponse(dataclasses.asdict(new_faults))

    return [
        Route("/v3/watch", watch, methods=["POST"]),
        Route("/calls", calls),
        Route("/faults", faults, methods=["POST"]),
    ]


def make_application(store: SimulatedStore) -> Starlette:
    """Creates the HTTP application of the store."""
    state = store.state
    calls = [
        ("/v3/kv/range", "range", state.read_range, False),
        ("/v3/kv/txn", "txn", state.run_transaction, True),
        ("/v3/kv/deleterange", "deleterange", state.delete_range, True),
        ("/v3/lease/grant", "lease_grant", state.grant_lease, True),
        ("/v3/lease/keepalive", "lease_keepalive", state.renew_lease, False),
        ("/v3/lease/revoke", "lease_revoke", state.revoke_lease, True),
    ]
    routes = [
        Route(
            path,
            _make_handler(store, kind, operation, write),
            methods=["POST"],
        )
        for path, kind, operation, write in calls
    ]

    @contextlib.asynccontextmanager
    async def run(_: Starlette) -> AsyncIterator[None]:
        leases = asyncio.create_task(store.expire_leases_periodically())
        yield
        leases.cancel()

    routes.extend(_make_control_routes(store))
    return Starlette(routes=routes, lifespan=run)


@click.command()
@click.option(
    "--listen", required=True, help="Address to listen on, as host:port."
)
@click.option(
    "--budget", default=0.0, help="Maximum calls per second; 0: no limit."
)
def main(listen: str, budget: float) -> None:
    """Runs the simulated store."""
    serve(lambda: make_application(SimulatedStore(budget)), listen)


if __name__ == "__main__":
    main()
