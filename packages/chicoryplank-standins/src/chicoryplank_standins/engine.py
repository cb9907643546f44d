"""Simulated model engine with an OpenAI-compatible HTTP interface."""

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
from chicoryplank_standins._ranks import BARRIER_TIMEOUT_S, OrderError
from chicoryplank_standins._serving import (
    abort_connection,
    make_error_response,
    read_json,
    serve,
    wait_for_disconnect,
)
from chicoryplank_standins.tokens import (
    DEFAULT_MAX_TOKENS,
    expected_tokens,
    parse_prompt,
)

__all__ = ["expected_tokens", "main", "make_application"]

EXPIRY_INTERVAL_S = 0.25
HTTP_ERRORS = (OSError, EOFError, ValueError, TimeoutError, AiosonicError)


def _format_choice(
    run: Run, text: str, finish_reason: str | None
) -> dict[str, Any]:
    if "chat" not in run.path:
        return {"index": 0, "text": text, "finish_reason": finish_reason}
    field = "delta" if run.is_stream else "message"
    content = {"role": "assistant", "content": text}
    return {"index": 0, field: content, "finish_reason": finish_reason}


def _format_completion(
    run: Run, text: str, finish_reason: str | None
) -> dict[str, Any]:
    object_type = "chat.completion" if "chat" in run.path else "text_completion"
    if run.is_stream and "chat" in run.path:
        object_type = "chat.completion.chunk"
    fields = {
        "id": run.request_id,
        "object": object_type,
        "created": run.created_s,
        "model": run.model,
        "system_fingerprint": run.version,
        "choices": [_format_choice(run, text, finish_reason)],
    }
    if finish_reason is not None:
        fields["usage"] = {
            "prompt_tokens": len(run.prompt.split()),
            "completion_tokens": len(run.tokens),
            "total_tokens": len(run.prompt.split()) + len(run.tokens),
        }
    return fields


def _format_event(event_id: int, payload: dict[str, Any]) -> bytes:
    text = json.dumps(payload, separators=(",", ":"))
    return f"id: {event_id}\ndata: {text}\n\n".encode()


async def stream_events(
    engine: Engine, run: Run, after: int, abort: Callable[[], None] | None
) -> AsyncIterator[bytes]:
    """Yields the server-sent events of a run that follow an event id.

    The event of token n has the id n, counted from 1. The event after the last
    token contains the finish reason; `[DONE]`, without an id, ends the stream.

    Args:
        engine: Engine that executes the run.
        run: Run whose output is streamed.
        after: Last event id that the client has received; 0 for none.
        abort: Aborts the connection; None if that is not possible.
    """
    engine.attach(run)
    cut_after, run.cut_after = run.cut_after, None
    last_sent_id = after
    try:
        while True:
            last_available_id = (
                run.generated_tokens
                if cut_after is None
                else min(run.generated_tokens, cut_after)
            )
            if last_sent_id < last_available_id:
                yield b"".join(
                    _format_event(
                        event_id,
                        _format_completion(run, run.tokens[event_id - 1], None),
                    )
                    for event_id in range(
                        last_sent_id + 1, last_available_id + 1
                    )
                )
                last_sent_id = last_available_id
                continue
            if (
                abort is not None
                and cut_after is not None
                and last_sent_id >= cut_after
            ):
                # Allow the last events to be transmitted before the abort.
                await asyncio.sleep(0.005)
                abort()
                return
            if run.is_ended:
                break
            await run.changed.wait()
        if run.state is RunState.CANCELLED:
            error = {"code": "cancelled", "message": "the run was cancelled"}
            yield b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
            return
        event_id = len(run.tokens) + 1
        if last_sent_id < event_id:
            yield _format_event(event_id, _format_completion(run, "", "length"))
        yield b"data: [DONE]\n\n"
    finally:
        engine.detach(run)


async def _send_complete_response(
    engine: Engine, run: Run, request: Request
) -> Response:
    engine.attach(run)
    disconnected = asyncio.ensure_future(wait_for_disconnect(request))
    cut_after, run.cut_after = run.cut_after, None
    try:
        while not run.is_ended and not disconnected.done():
            next_change = run.changed.wait()
            await asyncio.wait(
                (next_change, disconnected), return_when=asyncio.FIRST_COMPLETED
            )
            next_change.cancel()
            if cut_after is not None and run.generated_tokens >= cut_after:
                return await abort_connection(request)
        if run.state is not RunState.FINISHED:
            return make_error_response(
                499, "cancelled", "the run was cancelled"
            )
        text = "".join(run.tokens)
        return JSONResponse(_format_completion(run, text, "length"))
    finally:
        disconnected.cancel()
        engine.detach(run)


def _parse_completion_request(
    engine: Engine, body: dict[str, Any] | None, priority: str
) -> dict[str, Any]:
    if body is None:
        raise ValueError("the request body is not a JSON object")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    limit = engine.options.max_tokens
    if not isinstance(max_tokens, int) or not 1 <= max_tokens <= limit:
        raise ValueError(f"max_tokens must be an integer from 1 to {limit}")
    if priority not in ("0", "1", "2"):
        raise ValueError("X-Priority must be 0, 1 or 2")
    return {
        "model": str(body.get("model", "")),
        "prompt": parse_prompt(body),
        "max_tokens": max_tokens,
        "stream": bool(body.get("stream", False)),
        "priority": int(priority),
    }


def _stream_response(
    engine: Engine, run: Run, request: Request, after: int
) -> Response:
    abort = getattr(request.state, "abort", None)
    return StreamingResponse(
        stream_events(engine, run, after, abort),
        media_type="text/event-stream",
        headers={"x-request-id": run.request_id, "cache-control": "no-store"},
    )


def _make_completion_routes(engine: Engine) -> list[Route]:
    request_numbers = itertools.count(1)

    async def complete(request: Request) -> Response:
        body = await read_json(request)
        try:
            fields = _parse_completion_request(
                engine, body, request.headers.get("x-priority", "1")
            )
        except ValueError as error:
            return make_error_response(400, "invalid_request_error", str(error))
        if fields["model"] not in engine.models:
            return make_error_response(
                404, "model_not_found", "model is not loaded"
            )
        if engine.faults.consume_failure():
            return make_error_response(
                500, "engine_error", "failure injected through /faults"
            )
        if engine.is_full:
            return make_error_response(
                429, "queue_full", "the request queue is full"
            )
        request_id = request.headers.get("x-request-id")
        run = make_run(
            engine,
            request_id or f"engine-{next(request_numbers)}",
            request.url.path,
            await request.body(),
            fields,
        )
        engine.submit(run)
        if run.is_stream:
            return _stream_response(engine, run, request, 0)
        return await _send_complete_response(engine, run, request)

    async def resume(request: Request) -> Response:
        run = engine.get_run(request.path_params["request_id"])
        if run is None:
            return make_error_response(
                404, "unknown_stream", "no run with this request id"
            )
        if run.state is RunState.CANCELLED:
            return make_error_response(
                410, "cancelled", "the run was cancelled"
            )
        last_event_id = request.headers.get("last-event-id", "0")
        if (
            not last_event_id.isdigit()
            or int(last_event_id) > len(run.tokens) + 1
        ):
            return make_error_response(
                400,
                "invalid",
                "Last-Event-ID is not an event id of this stream",
            )
        if run.is_stream:
            return _stream_response(engine, run, request, int(last_event_id))
        await request.body()
        return await _send_complete_response(engine, run, request)

    async def cancel(request: Request) -> Response:
        run = engine.get_run(request.path_params["request_id"])
        if run is None:
            return make_error_response(
                404, "unknown_stream", "no run with this request id"
            )
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
            return make_error_response(
                400, "invalid", "after must be an event id"
            )
        lag_s = engine.options.event_lag_ms / 1_000
        events = engine.cache.read_events(int(after), lag_s)
        return JSONResponse({"events": events})

    async def ranks(_: Request) -> Response:
        return JSONResponse(engine.read_ranks())

    async def expert_loads(_: Request) -> Response:
        counts = engine.loads.get_counts(engine.ranks.step)
        return JSONResponse({"step": engine.ranks.step, "counts": counts})

    async def records(_: Request) -> Response:
        fields = {
            "records": engine.records.to_json(),
            "map_steps": engine.ranks.read_segments(),
            "mixed_steps": engine.ranks.mixed_steps,
            "stops": engine.ranks.stops,
            "orders": engine.applied_orders,
            "version": engine.version,
            "role": engine.role,
        }
        return JSONResponse(fields)

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
            return make_error_response(
                400, "invalid", "the request body is not a JSON object"
            )
        if body.get("kind") == "prepare_map":
            await asyncio.sleep(engine.faults.prepare_delay_ms / 1_000)
        try:
            return JSONResponse(engine.apply_order(body))
        except OrderError as error:
            return make_error_response(error.status, error.code, str(error))

    async def faults(request: Request) -> Response:
        try:
            engine.faults.update(await read_json(request) or {})
        except ValueError as error:
            return make_error_response(400, "invalid", str(error))
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


async def _wait_for_group(engine: Engine, client: aiosonic.HTTPClient) -> None:
    """Waits at the barrier until every engine of the group reaches this step.

    An engine with a rank that awaits a decision does not arrive at the barrier,
    which makes the whole group wait.
    """
    options = engine.options
    while not engine.ranks.is_waiting():
        arrival = {"member": options.first_rank, "step": engine.ranks.step}
        if not options.leader:
            if await engine.barrier.arrive(**arrival):
                return
            continue
        try:
            async with asyncio.timeout(2 * BARRIER_TIMEOUT_S):
                response = await client.post(
                    f"http://{options.leader}/barrier", json=arrival
                )
                if (await response.json())["passed"]:
                    return
        except HTTP_ERRORS:
            await asyncio.sleep(EXPIRY_INTERVAL_S)


async def run_steps(engine: Engine) -> None:
    """Runs the steps of an engine until the task is cancelled."""
    client = make_client(1)
    step_end_s = time.monotonic()
    while True:
        if not engine.has_work:
            await engine.work_available.wait()
            step_end_s = time.monotonic()
        stall_s = engine.faults.consume_stall_s()
        step_s = engine.options.step_ms * engine.faults.slow_factor / 1_000
        # The steps after a late step keep their full duration.
        step_end_s = max(step_end_s + step_s, time.monotonic()) + stall_s
        engine.begin_step()
        await asyncio.sleep(step_end_s - time.monotonic())
        if engine.options.members > 1:
            await _wait_for_group(engine, client)
        engine.end_step()


async def _expire_runs(engine: Engine) -> None:
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        engine.expire_runs()


def make_application(engine: Engine) -> Starlette:
    """Creates the HTTP application of the engine."""

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
        click.option(
            "--listen",
            required=True,
            help="Address to listen on, as host:port.",
        ),
        click.option(
            "--models",
            default="model",
            help="Model names, separated by commas.",
        ),
        click.option("--version", default="v1", help="Initial model version."),
        click.option("--role", default="mixed", help="Role."),
        click.option("--step-ms", default=6.0, help="Duration of a step."),
        click.option(
            "--max-batch", default=16, help="Maximum runs in the batch."
        ),
        click.option(
            "--max-queue", default=1_024, help="Maximum runs in the queue."
        ),
        click.option(
            "--max-tokens",
            default=4_096,
            help="Maximum max_tokens of a request.",
        ),
        click.option(
            "--prefill-blocks-per-step",
            default=16,
            help="Prompt blocks computed per step.",
        ),
        click.option(
            "--cache-blocks",
            default=4_096,
            help="Prefix cache capacity in blocks.",
        ),
        click.option(
            "--report-lag-ms",
            default=0.0,
            help="Delay before a load report is visible.",
        ),
        click.option(
            "--event-lag-ms",
            default=0.0,
            help="Delay before a cache event is visible.",
        ),
        click.option(
            "--event-loss",
            default=0.0,
            help="Probability that a cache event is lost.",
        ),
        click.option(
            "--checks-fencing",
            is_flag=True,
            help="Reject stale fencing tokens.",
        ),
        click.option(
            "--ranks", default=1, help="Number of ranks in this engine."
        ),
        click.option(
            "--map-digest",
            default="initial",
            help="Digest of the initial expert map.",
        ),
        click.option(
            "--experts", default=0, help="Number of experts in the group."
        ),
        click.option(
            "--spare-slots", default=0, help="Spare slots for expert replicas."
        ),
        click.option(
            "--first-rank",
            default=0,
            help="Number of the first rank of this engine.",
        ),
        click.option(
            "--total-ranks",
            default=0,
            help="Ranks in the group; 0: those of this engine.",
        ),
        click.option(
            "--members", default=1, help="Number of engines in the group."
        ),
        click.option(
            "--leader",
            default="",
            help="Engine with the step barrier; empty: this one.",
        ),
        click.option(
            "--seed", default=0, help="Seed of lost events and expert loads."
        ),
        click.option(
            "--record-file",
            default="",
            help="File that preserves the execution records; none if empty.",
        ),
    ]
    return functools.reduce(
        lambda wrapped, option: option(wrapped), reversed(options), command
    )


@click.command()
@_add_options
def main(listen: str, models: str, **fields: Any) -> None:
    """Runs the simulated engine."""
    options = EngineOptions(models=tuple(models.split(",")), **fields)
    serve(lambda: make_application(Engine(options)), listen)


if __name__ == "__main__":
    main()
