"""Relay of the agent between controllers and the replica on its instance.

A call from the same instance does not delay the replica, while a call from
another instance pauses the whole group.
"""

import asyncio
import dataclasses
import functools
import json
import operator
import secrets
import signal
import zlib

from chicoryplank.clock import Clock
from chicoryplank.ids import ExpertId, FencingToken, InstanceId, RankId
from chicoryplank.orders import (
    Operation,
    OrderResult,
    RankCounts,
    RankOrder,
    RankPort,
    RankState,
    RankUnreachableError,
)
from chicoryplank.traffic import ClientLimits
from chicoryplank_wire.calls import CallClient
from chicoryplank_wire.client_connection import (
    BreakReason,
    ConnectionBrokenError,
)
from chicoryplank_wire.server_connection import (
    CallerConnection,
    ListenerHooks,
    ReceivedRequest,
    Reply,
)

_COMPRESSION_LEVEL = 1
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_STATE_PATH = "/state"
_COUNTS_PATH = "/counts"
_EXPERTS_PATH = "/experts"
_ORDER_PATH = "/order"
# Query parameter with the number of the response whose counts are known.
_SINCE_PARAMETER = "since"
_NUMBER_BITS = 48
_NO_NUMBER = -1
# Timeout of a call to an agent, in seconds. It is longer than the timeout of
# the agent for its replica, so that an unresponsive replica is not mistaken for
# an unresponsive agent.
_TIMEOUT_S = 0.25
# Time for which an agent is not called after it did not respond, in seconds.
_AGENT_RETRY_DELAY_S = 1.5
_OK = 200
_BAD_REQUEST = 400
_BAD_GATEWAY = 502
_DECODE_ERRORS = (ValueError, TypeError, KeyError)


class RankRelay:
    """Server side of the relay, which runs in the agent.

    Args:
        rank: Replica on this instance.
    """

    def __init__(self, rank: RankPort) -> None:
        self._rank = rank
        # Counts of the last response, and its number. The first number is
        # random, so that a number of an earlier process is not taken for one
        # of this process.
        self._sent_counts: tuple[int, ...] = ()
        self._sent_number = secrets.randbits(_NUMBER_BITS)

    async def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Executes one call of a controller and sends the response."""
        try:
            document = await self._execute_call(request)
            status = _OK
        except RankUnreachableError as error:
            document, status = {"error": str(error)}, _BAD_GATEWAY
        except _DECODE_ERRORS as error:
            document, status = {"error": repr(error)}, _BAD_REQUEST
        reply.send(status, (), _encode(document))

    async def _execute_call(self, request: ReceivedRequest) -> dict:
        path, _, query = request.target.partition("?")
        if path == _STATE_PATH:
            return dataclasses.asdict(await self._rank.read_state())
        if path in (_COUNTS_PATH, _EXPERTS_PATH):
            counts = await self._rank.read_counts(path == _EXPERTS_PATH)
            return self._make_counts_document(counts, query)
        if path == _ORDER_PATH and request.method == "POST":
            order = _decode_order(_decode(request.body))
            return {"result": (await self._rank.place(order)).value}
        raise ValueError(f"unknown path {path[:100]}")

    def _make_counts_document(self, counts: RankCounts, query: str) -> dict:
        """Encodes counts, if possible as increases since the last response.

        Increases are a fifth of the size of the counts. In a group of hundreds
        of ranks, the counts of one read would fill the link of the controller
        for longer than the timeout of a call.
        """
        values: tuple[int, ...] = counts.counts
        is_increase = (
            query == f"{_SINCE_PARAMETER}={self._sent_number}"
            and len(values) == len(self._sent_counts)
            and not any(map(operator.lt, values, self._sent_counts))
        )
        if is_increase:
            values = tuple(map(operator.sub, values, self._sent_counts))
        self._sent_counts = counts.counts
        self._sent_number += 1
        return {
            "epoch": counts.epoch,
            "step": counts.step,
            "counts": values,
            "experts": counts.experts,
            "number": self._sent_number,
            "is_increase": is_increase,
        }


def _encode(document: dict) -> bytes:
    """Encodes a document; compression reduces maps and counts to a third."""
    text = json.dumps(document, separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def _decode(data: bytes) -> dict:
    """Decodes a document.

    Raises:
        ValueError: If the message is malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, _MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed message: {error}") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("the message is truncated or too long")
    return json.loads(text)


@functools.lru_cache(maxsize=4)
def _encode_order(order: RankOrder) -> bytes:
    """Encodes an order once for all ranks that it is placed at.

    The encoding of a map of hundreds of ranks takes milliseconds. Done again
    for each rank, it would keep the controller from renewing its lease.
    """
    return _encode(
        {
            "operation": order.operation.value,
            "epoch": order.epoch,
            "token": order.token,
            "version": order.version,
            "step": order.step,
            "experts": order.experts,
        }
    )


def _decode_order(document: dict) -> RankOrder:
    return RankOrder(
        Operation(document["operation"]),
        int(document["epoch"]),
        FencingToken(int(document["token"])),
        int(document["version"]),
        int(document["step"]),
        tuple(
            tuple(tuple(map(int, experts)) for experts in ranks)
            for ranks in document["experts"]
        ),
    )


# Operations that bypass the agent; RelayedRank.place gives the reason.
_DIRECT_OPERATIONS = frozenset({Operation.HOLD, Operation.RELEASE})


class RelayedRank:
    """Connection to a rank through the agent on its instance.

    Args:
        instance: Id of the replica.
        agent_address: Host and port of the agent.
        direct: Connection to the same rank without the agent, used while the
            agent does not respond.
        clock: Clock for timeouts.
    """

    def __init__(
        self,
        instance: InstanceId,
        agent_address: str,
        direct: RankPort,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._direct = direct
        self._clock = clock
        self._agent_retry_at_s = float("-inf")
        self._counts: tuple[int, ...] = ()
        self._counts_number = _NO_NUMBER
        self._client = CallClient(agent_address, _TIMEOUT_S, self._now_s)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()

    async def read_state(self) -> RankState:
        """Returns the current state of the rank."""
        try:
            document = await self._call("GET", _STATE_PATH)
        except ConnectionBrokenError:
            return await self._direct.read_state()
        document["instance"] = self._instance
        document["rank"] = RankId(document["rank"])
        return RankState(**document)

    async def read_counts(self, with_experts: bool) -> RankCounts:
        """Returns the counts, with the experts of the rank if requested."""
        path = _EXPERTS_PATH if with_experts else _COUNTS_PATH
        try:
            document = await self._call(
                "GET", f"{path}?{_SINCE_PARAMETER}={self._counts_number}"
            )
        except ConnectionBrokenError as error:
            if with_experts:
                return await self._direct.read_counts(with_experts)
            # A call from another instance would pause the whole group.
            raise RankUnreachableError(str(error)) from error
        values = tuple(document["counts"])
        # Agents of earlier versions always send the counts themselves.
        if document.get("is_increase", False):
            values = tuple(map(operator.add, self._counts, values))
        self._counts = values
        self._counts_number = document.get("number", _NO_NUMBER)
        experts = document["experts"]
        return RankCounts(
            document["epoch"],
            document["step"],
            values,
            None
            if experts is None
            else tuple(tuple(map(ExpertId, item)) for item in experts),
        )

    async def place(self, order: RankOrder) -> OrderResult:
        """Places an order; returns UNKNOWN if the rank does not respond.

        The controller sends HOLD and RELEASE directly to the rank. If an agent
        placed a hold and its instance failed right afterwards, the rank that
        must be released would fail with it.
        """
        if order.operation in _DIRECT_OPERATIONS:
            return await self._direct.place(order)
        try:
            response = await self._call(
                "POST", _ORDER_PATH, _encode_order(order)
            )
        except (ConnectionBrokenError, RankUnreachableError):
            # The order may have reached the rank; it is placed again.
            return await self._direct.place(order)
        return OrderResult(response["result"])

    async def _call(self, method: str, path: str, body: bytes = b"") -> dict:
        if self._now_s() < self._agent_retry_at_s:
            raise ConnectionBrokenError(
                BreakReason.CLOSED, "the agent did not respond recently"
            )
        try:
            status, content = await self._client.call(method, path, body)
        except ConnectionBrokenError:
            self._agent_retry_at_s = self._now_s() + _AGENT_RETRY_DELAY_S
            raise
        try:
            document = _decode(content)
        except ValueError as error:
            raise RankUnreachableError(repr(error)) from error
        if status != _OK or not isinstance(document, dict):
            raise RankUnreachableError(f"status {status}: {content[:200]!r}")
        return document


async def run_relay(address: str, rank: RankPort, clock: Clock) -> None:
    """Serves controllers until the process receives SIGTERM or SIGINT.

    Args:
        address: Host and port to listen on.
        rank: Replica on this instance.
        clock: Clock for connection timeouts.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    limits = ClientLimits()
    hooks = ListenerHooks(
        RankRelay(rank).handle,
        lambda: limits,
        lambda: clock.elapsed().total_seconds(),
        stop_requested.is_set,
        set(),
    )
    host, _, port = address.rpartition(":")
    server = await loop.create_server(
        lambda: CallerConnection(hooks), host, int(port)
    )
    await stop_requested.wait()
    server.close()
