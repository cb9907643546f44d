"""Stand-in for a model engine with an OpenAI-compatible interface."""

import asyncio
import contextlib
import functools
import itertools
import json
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiosonic
import click
from aiosonic.exceptions import AiosonicError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from chicoryplank_standins._client import make_client
from chicoryplank_standins._engine import (
    Engine,
    EngineOptions,
    Run,
    RunState,
    make_run,
)
from chicoryplank_standins._ranks import BARRIER_LIMIT_S, OrderError
from chicoryplank_standins._serving import (
    abort_connection,
    answer_error,
    read_json,
    serve,
    wait_for_disconnect,
)
from chicoryplank_standins.tokens import (
    DEFAULT_MAX_TOKENS,
    expected_tokens,
    read_prompt,
)

__all__ = ["expected_tokens", "main", "make_application"]

EXPIRY_INTERVAL_S = 0.25
HTTP_FAILURES = (OSError, EOFError, ValueError, TimeoutError, AiosonicError)


def _format_choice(run: Run, text: str, reason: str | None) -> dict[str, Any]:
    if "chat" not in run.path:
        return {"index": 0, "text": text, "finish_reason": reason}
    field = "delta" if run.is_stream else "message"
    content = {"role": "assistant", "content": text}
    return {"index": 0, field: content, "finish_reason": reason}


def _format_answer(run: Run, text: str, reason: str | None) -> dict[str, Any]:
    kind = "chat.completion" if "chat" in run.path else "text_completion"
    if run.is_stream and "chat" in run.path:
        kind = "chat.completion.chunk"
    answer = {
        "id": run.request_id,
        "object": kind,
        "created": run.created_s,
        "model": run.model,
        "system_fingerprint": run.version,
        "choices": [_format_choice(run, text, reason)],
    }
    if reason is not None:
        answer["usage"] = {
            "prompt_tokens": len(run.prompt.split()),
            "completion_tokens": len(run.tokens),
            "total_tokens": len(run.prompt.split()) + len(run.tokens),
        }
    return answer


def _format_event(number: int, payload: dict[str, Any]) -> bytes:
    text = json.dumps(payload, separators=(",", ":"))
    return f"id: {number}\ndata: {text}\n\n".encode()


async def stream_events(
    engine: Engine, run: Run, after: int, abort: Callable[[], None] | None
) -> AsyncIterator[bytes]:
    """Yields the events of a run after an event id.

    Token n has the event id n; the event after the last token carries the
    finish reason, and `[DONE]` without an id follows.

    Args:
        engine: Engine that runs it.
        run: Run to read.
        after: Last event id that the caller has.
        abort: Closes the connection; None if it cannot be closed.
    """
    engine.attach(run)
    cut, run.cut = run.cut, None
    sent = after
    try:
        while True:
            end = run.produced if cut is None else min(run.produced, cut)
            if sent < end:
                yield b"".join(
                    _format_event(
                        number,
                        _format_answer(run, run.tokens[number - 1], None),
                    )
                    for number in range(sent + 1, end + 1)
                )
                sent = end
                continue
            if abort is not None and cut is not None and sent >= cut:
                # Let the events before the cut reach the network first.
                await asyncio.sleep(0.005)
                abort()
                return
            if run.is_over:
                break
            await run.changed.wait()
        if run.state is RunState.CANCELLED:
            error = {"code": "cancelled", "message": "the run was cancelled"}
            yield b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
            return
        number = len(run.tokens) + 1
        if sent < number:
            yield _format_event(number, _format_answer(run, "", "length"))
        yield b"data: [DONE]\n\n"
    finally:
        engine.detach(run)


async def _answer_whole(engine: Engine, run: Run, request: Request) -> Response:
    engine.attach(run)
    gone = asyncio.ensure_future(wait_for_disconnect(request))
    cut, run.cut = run.cut, None
    try:
        while not run.is_over and not gone.done():
            change = run.changed.wait()
            await asyncio.wait(
                (change, gone), return_when=asyncio.FIRST_COMPLETED
            )
            change.cancel()
            if cut is not None and run.produced >= cut:
                return await abort_connection(request)
        if run.state is not RunState.FINISHED:
            return answer_error(499, "cancelled", "the run was cancelled")
        text = "".join(run.tokens)
        return JSONResponse(_format_answer(run, text, "length"))
    finally:
        gone.cancel()
        engine.detach(run)


def _read_fields(
    engine: Engine, body: dict[str, Any] | None, priority: str
) -> dict[str, Any]:
    if body is None:
        raise ValueError("the body is not a JSON object")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    limit = engine.options.max_tokens
    if not isinstance(max_tokens, int) or not 1 <= max_tokens <= limit:
        raise ValueError(f"max_tokens must be 1 to {limit}")
    if priority not in ("0", "1", "2"):
        raise ValueError("X-Priority must be 0, 1 or 2")
    return {
        "model": str(body.get("model", "")),
        "prompt": read_prompt(body),
        "max_tokens": max_tokens,
        "stream": bool(body.get("stream", False)),
        "priority": int(priority),
    }


def _answer_run(
    engine: Engine, run: Run, request: Request, after: int
) -> Response:
    abort = getattr(request.state, "abort", None)
    return StreamingResponse(
        stream_events(engine, run, after, abort),
        media_type="text/event-stream",
        headers={"x-request-id": run.request_id, "cache-control": "no-store"},
    )


def _make_completion_routes(engine: Engine) -> list[Route]:
    numbers = itertools.count(1)

    async def complete(request: Request) -> Response:
        body = await read_json(request)
        try:
            fields = _read_fields(
                engine, body, request.headers.get("x-priority", "1")
            )
        except ValueError as error:
            return answer_error(400, "invalid_request_error", str(error))
        if fields["model"] not in engine.models:
            return answer_error(404, "model_not_found", "unknown model")
        if engine.faults.take_failure():
            return answer_error(500, "engine_error", "injected failure")
        if engine.is_full:
            return answer_error(429, "queue_full", "the queue is full")
        request_id = request.headers.get("x-request-id")
        run = make_run(
            engine,
            request_id or f"engine-{next(numbers)}",
            request.url.path,
            await request.body(),
            fields,
        )
        engine.submit(run)
        if run.is_stream:
            return _answer_run(engine, run, request, 0)
        return await _answer_whole(engine, run, request)

    async def resume(request: Request) -> Response:
        run = engine.find(request.path_params["request_id"])
        if run is None:
            return answer_error(404, "unknown_stream", "unknown stream")
        if run.state is RunState.CANCELLED:
            return answer_error(410, "cancelled", "the run was cancelled")
        last = request.headers.get("last-event-id", "0")
        if not last.isdigit() or int(last) > len(run.tokens) + 1:
            return answer_error(400, "invalid", "bad Last-Event-ID")
        if run.is_stream:
            return _answer_run(engine, run, request, int(last))
        await request.body()
        return await _answer_whole(engine, run, request)

    async def cancel(request: Request) -> Response:
        run = engine.find(request.path_params["request_id"])
        if run is None:
            return answer_error(404, "unknown_stream", "unknown stream")
        return JSONResponse({"cancelled": engine.cancel(run)})

    stream_path = "/v1/streams/{request_id:path}"
    return [
        Route("/v1/chat/completions", complete, methods=["POST"]),
        Route("/v1/completions", complete, methods=["POST"]),
        Route(stream_path, resume, methods=["GET"]),
        Route(stream_path, cancel, methods=["DELETE"]),
    ]


def _make_state_routes(engine: Engine) -> list[Route]:
    async def models(_: Request) -> Response:
        data = [{"id": name, "object": "model"} for name in engine.models]
        return JSONResponse({"object": "list", "data": data})

    async def load(_: Request) -> Response:
        return JSONResponse(engine.read_load())

    async def cache_events(request: Request) -> Response:
        after = request.query_params.get("after", "0")
        if not after.isdigit():
            return answer_error(400, "invalid", "after must be a number")
        lag_s = engine.options.event_lag_ms / 1_000
        events = engine.cache.read_events(int(after), lag_s)
        return JSONResponse({"events": events})

    async def ranks(_: Request) -> Response:
        return JSONResponse(engine.read_ranks())

    async def expert_loads(_: Request) -> Response:
        counts = engine.loads.read(engine.ranks.step)
        return JSONResponse({"step": engine.ranks.step, "counts": counts})

    async def records(_: Request) -> Response:
        answer = {
            "records": engine.records.to_json(),
            "map_steps": engine.ranks.read_segments(),
            "mixed_steps": engine.ranks.mixed_steps,
            "stops": engine.ranks.stops,
            "orders": engine.applied,
            "version": engine.version,
            "role": engine.role,
        }
        return JSONResponse(answer)

    return [
        Route("/v1/models", models),
        Route("/load", load),
        Route("/cache-events", cache_events),
        Route("/ranks", ranks),
        Route("/expert-loads", expert_loads),
        Route("/records", records),
    ]


def _make_control_routes(engine: Engine) -> list[Route]:
    async def orders(request: Request) -> Response:
        body = await read_json(request)
        if body is None:
            return answer_error(400, "invalid", "the body is not JSON")
        if body.get("kind") == "prepare_map":
            await asyncio.sleep(engine.faults.prepare_delay_ms / 1_000)
        try:
            return JSONResponse(engine.place_order(body))
        except OrderError as error:
            return answer_error(error.status, error.code, str(error))

    async def faults(request: Request) -> Response:
        try:
            engine.faults.change(await read_json(request) or {})
        except ValueError as error:
            return answer_error(400, "invalid", str(error))
        return JSONResponse({})

    async def barrier(request: Request) -> Response:
        body = await read_json(request) or {}
        passed = await engine.barrier.arrive(body["member"], body["step"])
        return JSONResponse({"passed": passed})

    return [
        Route("/barrier", barrier, methods=["POST"]),
        Route("/orders", orders, methods=["POST"]),
        Route("/faults", faults, methods=["POST"]),
    ]


async def _begin_together(engine: Engine, client: aiosonic.HTTPClient) -> None:
    """Waits until every engine of the group begins this step.

    A rank that waits for a decision does not begin it, so that all wait.
    """
    options = engine.options
    while not engine.ranks.is_waiting():
        place = {"member": options.first_rank, "step": engine.ranks.step}
        if not options.leader:
            if await engine.barrier.arrive(**place):
                return
            continue
        try:
            async with asyncio.timeout(2 * BARRIER_LIMIT_S):
                response = await client.post(
                    f"http://{options.leader}/barrier", json=place
                )
                if (await response.json())["passed"]:
                    return
        except HTTP_FAILURES:
            await asyncio.sleep(EXPIRY_INTERVAL_S)


async def run_steps(engine: Engine) -> None:
    """Runs the steps of an engine until cancelled."""
    client = make_client(1)
    due_s = time.monotonic()
    while True:
        if not engine.has_work:
            await engine.work.wait()
            due_s = time.monotonic()
        stall_s = engine.faults.take_stall_s()
        step_s = engine.options.step_ms * engine.faults.slow_factor / 1_000
        # A late step does not shorten the steps after it.
        due_s = max(due_s + step_s, time.monotonic()) + stall_s
        engine.begin_step()
        await asyncio.sleep(due_s - time.monotonic())
        if engine.options.members > 1:
            await _begin_together(engine, client)
        engine.end_step()


async def _expire_runs(engine: Engine) -> None:
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        engine.expire_runs()


def make_application(engine: Engine) -> Starlette:
    """Returns the HTTP interface of the stand-in."""

    @contextlib.asynccontextmanager
    async def run(_: Starlette) -> AsyncIterator[None]:
        tasks = [
            asyncio.create_task(run_steps(engine)),
            asyncio.create_task(_expire_runs(engine)),
        ]
        yield
        for task in tasks:
            task.cancel()

    routes = _make_completion_routes(engine)
    routes += _make_state_routes(engine)
    routes += _make_control_routes(engine)
    return Starlette(routes=routes, lifespan=run)


def _add_options(command: Callable) -> Callable:
    options = [
        click.option("--listen", required=True, help="Host and port."),
        click.option("--models", default="model", help="Names, by comma."),
        click.option("--version", default="v1", help="Model version."),
        click.option("--role", default="mixed", help="Role."),
        click.option("--step-ms", default=6.0, help="Time of a step."),
        click.option("--max-batch", default=16, help="Runs at once."),
        click.option("--max-queue", default=1_024, help="Runs that wait."),
        click.option("--max-tokens", default=4_096, help="Bound a request."),
        click.option(
            "--prefill-blocks-per-step", default=16, help="Prefill speed."
        ),
        click.option("--cache-blocks", default=4_096, help="Cache size."),
        click.option("--report-lag-ms", default=0.0, help="Age of /load."),
        click.option("--event-lag-ms", default=0.0, help="Age of events."),
        click.option("--event-loss", default=0.0, help="Lost events, 0-1."),
        click.option("--checks-fencing", is_flag=True, help="Check tokens."),
        click.option("--ranks", default=1, help="Ranks in lock-step."),
        click.option("--map-digest", default="initial", help="First map."),
        click.option("--experts", default=0, help="Experts of the group."),
        click.option("--spare-slots", default=0, help="Slots for replicas."),
        click.option("--first-rank", default=0, help="Of this engine."),
        click.option("--total-ranks", default=0, help="Of the group."),
        click.option("--members", default=1, help="Engines of the group."),
        click.option("--leader", default="", help="Engine to step with."),
        click.option("--seed", default=0, help="Seed of lost events."),
        click.option("--record-file", default="", help="For the records."),
    ]
    return functools.reduce(
        lambda wrapped, option: option(wrapped), reversed(options), command
    )


@click.command()
@_add_options
def main(listen: str, models: str, **fields: Any) -> None:
    """Runs the stand-in."""
    options = EngineOptions(models=tuple(models.split(",")), **fields)
    serve(lambda: make_application(Engine(options)), listen)


if __name__ == "__main__":
    main()
