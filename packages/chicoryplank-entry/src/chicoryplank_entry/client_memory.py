"""Memory that the callers of an entry take, and how it is bounded."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from chicoryplank.admission import (
    SMALL_BODY_BYTES,
    WAITING_CHECK_S,
    ClientMemory,
    ClientMemoryLimits,
    ClientUsage,
    compute_client_limits,
)
from chicoryplank.clock import Clock
from chicoryplank.configuration import RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank_wire.machine import read_descriptor_limit, read_memory_bytes

_MEBIBYTE = 1_048_576
# Memory of the process without callers.
_PROCESS_BYTES = 96 * _MEBIBYTE
# Copies of a body while its request is in progress: as received, in a message
# to an agent, and as encoded for the connection.
_BODY_COPIES = 3
# Share of the bound for the values of one body while it is parsed.
_PARSING_SHARE = 1 / 3
# Memory of one value of a JSON document without its text.
_VALUE_BYTES = 64
_VALUE_MARKS = (b"[", b"{", b",", b":")
_RETRY_AFTER = timedelta(seconds=1)
# Key of the ASGI scope that holds the memory of a request.
SCOPE_KEY = "chicoryplank.memory"


def compute_limits(limits: RequestLimits) -> ClientMemoryLimits:
    """Returns the bounds that follow from the machine and the settings."""
    return compute_client_limits(
        limits.memory_bytes or read_memory_bytes(),
        read_descriptor_limit(),
        _PROCESS_BYTES,
    )


def make_client_memory(
    bounds: ClientMemoryLimits, clock: Clock
) -> ClientMemory:
    """Returns the account of the memory of callers."""
    return ClientMemory(bounds, lambda: clock.elapsed().total_seconds())


def make_shed_error() -> ChicoryplankError:
    """Returns the error of a request that is shed; it has not run."""
    return ChicoryplankError(
        ErrorCode.CLIENT_SHED,
        "requests take too much memory, and this one was not complete",
        retry_after=_RETRY_AFTER,
    )


def compute_max_parsed_bytes(limits: RequestLimits) -> int:
    """Returns the memory that the values of one JSON body may take."""
    return int(compute_limits(limits).max_bytes * _PARSING_SHARE)


def check_parsed_size(body: bytes, max_bytes: int) -> None:
    """Checks that the values of a JSON body fit into memory.

    Args:
        body: Body that has not been parsed.
        max_bytes: Memory that its values may take.

    Raises:
        ChicoryplankError: With REQUEST_TOO_LARGE if they may take more.
    """
    values = sum(map(body.count, _VALUE_MARKS))
    if len(body) + values * _VALUE_BYTES > max_bytes:
        raise ChicoryplankError(
            ErrorCode.REQUEST_TOO_LARGE,
            f"the body has up to {values} values, which take more than "
            f"{max_bytes} bytes",
        )


class RequestMemory:
    """Memory of one request, which its handler reads.

    Args:
        memory: Bound on the memory of callers.
        usage: Connection of the request.
        head_bytes: Memory of the head.
        report: Reports what the connection holds.

    Attributes:
        held_bytes: Memory of the head and of the body as far as it was read.
    """

    def __init__(
        self,
        memory: ClientMemory,
        usage: ClientUsage,
        head_bytes: int,
        report: Callable[[], None],
    ) -> None:
        self._memory = memory
        self._usage = usage
        self._head_bytes = head_bytes
        self._report = report
        self.held_bytes = head_bytes

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that can be held."""
        return self._memory.max_body_bytes // _BODY_COPIES

    async def reserve(self, body_bytes: int) -> None:
        """Waits until there is memory for a body of some size.

        Raises:
            ChicoryplankError: With CLIENT_SHED if there is none in time.
        """
        if body_bytes <= SMALL_BODY_BYTES or self._usage.reserved_bytes:
            return
        granted = asyncio.Event()
        if self._memory.reserve(
            self._usage, _BODY_COPIES * body_bytes, granted.set
        ):
            return
        while not granted.is_set():
            try:
                async with asyncio.timeout(WAITING_CHECK_S):
                    await granted.wait()
            except TimeoutError:
                self._memory.check_waiting(self._usage)
            if self._usage.is_shed:
                raise make_shed_error()

    def observe_body(self, body_bytes: int) -> None:
        """Records how much of the body has been read."""
        self.held_bytes = self._head_bytes + body_bytes
        self._report()

    def settle(self, body_bytes: int) -> None:
        """Records that the body is complete; copies of it will be made."""
        self.held_bytes = self._head_bytes + _BODY_COPIES * body_bytes
        self._report()
        self._memory.settle(self._usage)


__all__ = [
    "SCOPE_KEY",
    "RequestMemory",
    "check_parsed_size",
    "compute_limits",
    "compute_max_parsed_bytes",
    "make_client_memory",
    "make_shed_error",
]
