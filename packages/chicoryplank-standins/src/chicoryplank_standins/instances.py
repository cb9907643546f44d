"""Simulated instance list whose responses lag behind its changes."""

import time
from collections import deque
from collections.abc import Callable
from typing import Any

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chicoryplank_standins._serving import make_error_response, read_json, serve

TEXT_FIELDS = (
    "instance",
    "role",
    "zone",
    "address",
    "caller_address",
    "deployment",
)


class InstanceList:
    """Current instances and the delayed list that clients see.

    Args:
        lag_s: Time in seconds until a change becomes visible.
        elapsed: Returns the monotonic time in seconds.
    """

    def __init__(
        self, lag_s: float = 0, elapsed: Callable[[], float] = time.monotonic
    ) -> None:
        self._lag_s = lag_s
        self._elapsed = elapsed
        self._current: dict[str, dict[str, Any]] = {}
        self._visible: list[dict[str, Any]] = []
        self._pending: deque[tuple[float, list[dict[str, Any]]]] = deque()

    def put(self, instance: dict[str, Any]) -> None:
        """Adds or replaces an instance."""
        fields: dict[str, Any] = {
            name: str(instance.get(name) or "") for name in TEXT_FIELDS
        }
        fields["leaving"] = bool(instance.get("leaving", False))
        self._current[fields["instance"]] = fields
        self._schedule_update()

    def mark_leaving(self, instance: str) -> bool:
        """Marks an instance as draining; returns False if it is unknown."""
        if instance not in self._current:
            return False
        self._current[instance] = self._current[instance] | {"leaving": True}
        self._schedule_update()
        return True

    def remove(self, instance: str) -> bool:
        """Removes an instance; returns False if it is unknown."""
        if self._current.pop(instance, None) is None:
            return False
        self._schedule_update()
        return True

    def set_lag(self, lag_s: float) -> None:
        """Sets the lag of subsequent changes."""
        self._lag_s = lag_s

    def read(self) -> list[dict[str, Any]]:
        """Returns the instances that are visible after the lag."""
        now = self._elapsed()
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return self._visible

    def _schedule_update(self) -> None:
        due_s = self._elapsed() + self._lag_s
        self._pending.append((due_s, list(self._current.values())))


def make_application(instances: InstanceList) -> Starlette:
    """Creates the HTTP application of the instance list."""

    async def read(_: Request) -> Response:
        return JSONResponse({"instances": instances.read()})

    async def put(request: Request) -> Response:
        body = await read_json(request)
        if body is None or not body.get("instance"):
            return make_error_response(
                400, "invalid", "the instance field is missing or empty"
            )
        instances.put(body)
        return JSONResponse({})

    async def leave(request: Request) -> Response:
        body = await read_json(request)
        if not instances.mark_leaving(str((body or {}).get("instance"))):
            return make_error_response(
                404, "unknown_instance", "no instance with this name"
            )
        return JSONResponse({})

    async def remove(request: Request) -> Response:
        if not instances.remove(request.path_params["instance"]):
            return make_error_response(
                404, "unknown_instance", "no instance with this name"
            )
        return JSONResponse({})

    async def faults(request: Request) -> Response:
        lag_ms = (await read_json(request) or {}).get("lag_ms")
        if not isinstance(lag_ms, int | float):
            return make_error_response(
                400, "invalid", "lag_ms must be a number"
            )
        instances.set_lag(lag_ms / 1_000)
        return JSONResponse({})

    return Starlette(
        routes=[
            Route("/faults", faults, methods=["POST"]),
            Route("/instances", read, methods=["GET"]),
            Route("/instances", put, methods=["POST"]),
            Route("/leave", leave, methods=["POST"]),
            Route("/instances/{instance}", remove, methods=["DELETE"]),
        ]
    )


@click.command()
@click.option(
    "--listen", required=True, help="Address to listen on, as host:port."
)
@click.option("--lag-ms", default=0.0, help="Time until a change is visible.")
def main(listen: str, lag_ms: float) -> None:
    """Runs the simulated instance list."""
    serve(lambda: make_application(InstanceList(lag_ms / 1_000)), listen)


if __name__ == "__main__":
    main()
