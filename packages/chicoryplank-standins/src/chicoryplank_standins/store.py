"""Stand-in for the key-value service: a subset of the etcd v3 interface."""

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
    Signal,
    abort_connection,
    answer_error,
    read_json,
    serve,
    wait_for_disconnect,
)

# Between requests, leases are looked at this often.
LEASE_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults in force.

    Attributes:
        down: Whether calls fail.
        mode: While down, `hang` leaves calls unanswered and `refuse` answers
            them with 503 and closes watches.
        delay_ms: Added to each call, half before and half after its effect.
        lose_answers: Coming writes that take effect and are not answered.
    """

    down: bool = False
    mode: str = "hang"
    delay_ms: float = 0
    lose_answers: int = 0


class StoreStandin:
    """The state, the call counters and the faults.

    Args:
        budget: Calls a second above which the answer is 503; 0 for no bound.
        elapsed: Returns the time in seconds.
    """

    def __init__(
        self, budget: float = 0, elapsed: Callable[[], float] = time.monotonic
    ) -> None:
        self.state = KeyValueState(elapsed)
        self.faults = StoreFaults()
        self.changed = Signal()
        self.calls: Counter[str] = Counter()
        self.pending_watches = 0
        self.over_budget = 0
        self._budget = budget
        self._elapsed = elapsed
        self._started_s = elapsed()
        self._tokens = budget
        self._refilled_s = self._started_s

    def admit(self, kind: str) -> bool:
        """Counts a call; returns False if it is over the budget."""
        self.calls[kind] += 1
        if not self._budget:
            return True
        now = self._elapsed()
        gained = (now - self._refilled_s) * self._budget
        self._tokens = min(self._budget, self._tokens + gained)
        self._refilled_s = now
        if self._tokens < 1:
            self.over_budget += 1
            return False
        self._tokens -= 1
        return True

    def report(self) -> dict[str, Any]:
        """Returns the call counters."""
        return {
            "calls": dict(self.calls),
            "total": self.calls.total(),
            "pending_watches": self.pending_watches,
            "over_budget": self.over_budget,
            "elapsed_s": self._elapsed() - self._started_s,
        }

    def notify(self) -> None:
        """Wakes the watches."""
        self.changed.notify()

    async def run_leases(self) -> None:
        """Ends lapsed leases until cancelled."""
        while True:
            await asyncio.sleep(LEASE_INTERVAL_S)
            if self.state.expire_leases():
                self.notify()


def _answer_store_error(error: KeyValueError) -> JSONResponse:
    body = {"error": str(error), "code": error.code, "message": str(error)}
    return JSONResponse(body, error.status)


async def _meet_faults(
    standin: StoreStandin, kind: str, request: Request
) -> Response | None:
    faults = standin.faults
    admitted = standin.admit(kind)
    if faults.delay_ms:
        await asyncio.sleep(faults.delay_ms / 2_000)
    if faults.down and faults.mode == "hang":
        await wait_for_disconnect(request)
        return Response(status_code=503)
    if faults.down:
        return answer_error(503, "unavailable", "the store is down")
    if not admitted:
        return answer_error(503, "over_budget", "too many calls a second")
    return None


def _make_call(
    standin: StoreStandin,
    kind: str,
    answer: Callable[[dict[str, Any]], dict[str, Any]],
    is_write: bool,
) -> Callable:
    async def handle(request: Request) -> Response:
        body = await read_json(request)
        refusal = await _meet_faults(standin, kind, request)
        if refusal is not None:
            return refusal
        if body is None:
            return answer_error(400, "invalid", "the body is not JSON")
        standin.state.expire_leases()
        revision = standin.state.revision
        try:
            result = answer(body)
        except KeyValueError as error:
            return _answer_store_error(error)
        except ValueError as error:
            return answer_error(400, "invalid", str(error))
        if standin.state.revision != revision:
            standin.notify()
        if is_write and standin.faults.lose_answers > 0:
            standin.faults.lose_answers -= 1
            return await abort_connection(request)
        if standin.faults.delay_ms:
            await asyncio.sleep(standin.faults.delay_ms / 2_000)
        return JSONResponse(result)

    return handle


async def stream_watch(
    standin: StoreStandin, create: dict[str, Any]
) -> AsyncIterator[bytes]:
    """Yields the lines of a watch until the store refuses calls."""
    state = standin.state
    start = decode(create.get("key"))
    end = decode(create.get("range_end"))
    first = int(create.get("start_revision", 0)) or state.revision + 1
    result: dict[str, Any] = {"header": state.header(), "created": True}
    if first <= state.compacted:
        result |= {"canceled": True, "compact_revision": str(state.compacted)}
    standin.pending_watches += 1
    try:
        yield _format_result(result)
        after = first - 1
        while "canceled" not in result:
            if standin.faults.down:
                if standin.faults.mode == "refuse":
                    return
            else:
                events = state.read_events(start, end, after)
                after = max(after, state.revision)
                if events:
                    changes = {"header": state.header(), "events": events}
                    yield _format_result(changes)
                    continue
            await standin.changed.wait()
    finally:
        standin.pending_watches -= 1


def _format_result(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def _make_control_routes(standin: StoreStandin) -> list[Route]:
    async def watch(request: Request) -> Response:
        body = await read_json(request)
        refusal = await _meet_faults(standin, "watch", request)
        if refusal is not None:
            return refusal
        create = (body or {}).get("create_request")
        if not isinstance(create, dict):
            return answer_error(400, "invalid", "no create_request")
        try:
            decode(create.get("key"))
            decode(create.get("range_end"))
            int(create.get("start_revision", 0))
        except (KeyValueError, ValueError) as error:
            return answer_error(400, "invalid", str(error))
        stream = stream_watch(standin, create)
        return StreamingResponse(stream, media_type="application/json")

    async def calls(_: Request) -> Response:
        return JSONResponse(standin.report())

    async def faults(request: Request) -> Response:
        body = await read_json(request)
        try:
            changed = dataclasses.replace(standin.faults, **(body or {}))
        except TypeError as error:
            return answer_error(400, "invalid", str(error))
        standin.faults = changed
        standin.notify()
        return JSONResponse(dataclasses.asdict(changed))

    return [
        Route("/v3/watch", watch, methods=["POST"]),
        Route("/calls", calls),
        Route("/faults", faults, methods=["POST"]),
    ]


def make_application(standin: StoreStandin) -> Starlette:
    """Returns the HTTP interface of the stand-in."""
    state = standin.state
    calls = [
        ("/v3/kv/range", "range", state.read_range, False),
        ("/v3/kv/txn", "txn", state.commit, True),
        ("/v3/kv/deleterange", "deleterange", state.delete_range, True),
        ("/v3/lease/grant", "lease_grant", state.grant_lease, True),
        ("/v3/lease/keepalive", "lease_keepalive", state.keep_lease, False),
        ("/v3/lease/revoke", "lease_revoke", state.revoke_lease, True),
    ]
    routes = [
        Route(path, _make_call(standin, kind, answer, write), methods=["POST"])
        for path, kind, answer, write in calls
    ]

    @contextlib.asynccontextmanager
    async def run(_: Starlette) -> AsyncIterator[None]:
        leases = asyncio.create_task(standin.run_leases())
        yield
        leases.cancel()

    routes.extend(_make_control_routes(standin))
    return Starlette(routes=routes, lifespan=run)


@click.command()
@click.option("--listen", required=True, help="Host and port.")
@click.option("--budget", default=0.0, help="Calls a second; 0: unbounded.")
def main(listen: str, budget: float) -> None:
    """Runs the stand-in."""
    serve(lambda: make_application(StoreStandin(budget)), listen)


if __name__ == "__main__":
    main()
