"""Limits and pauses that a backend server asks for in its responses.

All requests to a backend server pass through its agent, so the agent alone
keeps them for all entries.
"""

import asyncio
from collections.abc import Mapping
from datetime import timedelta

from chicoryplank.admission import RateBucket, ServerLimits, read_pause
from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import InstanceId

_LIMIT_HEADER = "server-limit"
_PAUSE_HEADER = "retry-after"
_UNAVAILABLE = 503


class BackendLimit:
    """Token bucket of a backend server while it names a limit, and its pauses.

    Args:
        address: Host and port of the backend server.
        clock: Source of time.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._server = InstanceId(address)
        self._clock = clock
        self._limits = ServerLimits()
        self._bucket: RateBucket | None = None
        self._paused_until_s = float("-inf")

    @property
    def is_named(self) -> bool:
        """Whether the backend server limits its requests now."""
        return self._limits.get(self._server) is not None

    def get_now_s(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._clock.elapsed().total_seconds()

    def try_take(self) -> float:
        """Takes one request; returns 0, or the wait in seconds."""
        pause_s = self._paused_until_s - self.get_now_s()
        if pause_s > 0:
            return pause_s
        rate = self._limits.get_rate(self._server)
        if rate is None:
            self._bucket = None
            return 0.0
        now_s = self.get_now_s()
        if self._bucket is None:
            self._bucket = RateBucket(now_s)
        return self._bucket.try_take(rate, now_s)

    def check(self) -> None:
        """Takes one request.

        Raises:
            ChicoryplankError: With REPLICA_LIMITED, verdict NOT_RUN and the
                time after which a request may be sent.
        """
        wait_s = self.try_take()
        if wait_s > 0:
            raise ChicoryplankError(
                ErrorCode.REPLICA_LIMITED,
                "the backend server takes no more requests now",
                retry_after=timedelta(seconds=wait_s),
            )

    async def wait(self) -> None:
        """Takes one request; waits until the limit allows it."""
        while (wait_s := self.try_take()) > 0:
            await asyncio.sleep(wait_s)

    def observe(
        self, status: int, headers: Mapping[str, str], sent_s: float
    ) -> None:
        """Applies the limit in a response, or the lack of one, and its pause.

        Args:
            status: Status of the response.
            headers: Headers of the response.
            sent_s: Time at which the request was sent, in seconds.
        """
        fields = {name.lower(): value for name, value in headers.items()}
        text = fields.get(_LIMIT_HEADER)
        self._limits.read(self._server, text, sent_s, self.get_now_s())
        if status == _UNAVAILABLE and _PAUSE_HEADER in fields:
            pause_s = read_pause(self._server, fields[_PAUSE_HEADER])
            until_s = self.get_now_s() + pause_s
            self._paused_until_s = max(self._paused_until_s, until_s)
