"""Passes calls of a controller on to the replica on the same instance.

Counts and reports cost nothing there, while a call from another instance
pauses the whole group.
"""

import asyncio
import dataclasses
import json
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
# Longest wait for an agent, in seconds; longer than the agent waits for its
# replica, so that a silent replica is not taken for a silent agent.
_TIMEOUT_S = 0.25
# Time for which an agent that did not answer is passed over, in seconds.
_AWAY_S = 1.5
_OK = 200
_BAD_REQUEST = 400
_BAD_GATEWAY = 502
_FAULTS = (ValueError, TypeError, KeyError)


class RankRelay:
    """Serves the calls of controllers.

    Args:
        rank: The replica on this instance.
    """

    def __init__(self, rank: RankPort) -> None:
        self._rank = rank

    async def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Answers one call."""
        try:
            document = await self._answer(request)
            status = _OK
        except RankUnreachableError as error:
            document, status = {"error": str(error)}, _BAD_GATEWAY
        except _FAULTS as error:
            document, status = {"error": repr(error)}, _BAD_REQUEST
        reply.send(status, (), _encode(document))

    async def _answer(self, request: ReceivedRequest) -> dict:
        path = request.target
        if path == _STATE_PATH:
            return dataclasses.asdict(await self._rank.read_state())
        if path in (_COUNTS_PATH, _EXPERTS_PATH):
            counts = await self._rank.read_counts(path == _EXPERTS_PATH)
            return dataclasses.asdict(counts)
        if path == _ORDER_PATH and request.method == "POST":
            order = _decode_order(_decode(request.body))
            return {"result": (await self._rank.place(order)).value}
        raise ValueError(f"unknown path {path[:100]}")


def _encode(document: dict) -> bytes:
    """Returns a message; maps and counts shrink to a third."""
    text = json.dumps(document, separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def _decode(data: bytes) -> dict:
    """Returns the document in a message.

    Raises:
        ValueError: If it is not one.
    """
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(data, _MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed message: {error}") from error
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError("the message is cut or too long")
    return json.loads(text)


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


_DIRECT = frozenset({Operation.HOLD, Operation.RELEASE})


class RelayedRank:
    """A rank that is reached through the agent on its instance.

    Args:
        instance: Id of the replica that is meant.
        agent_address: Host and port of the agent.
        direct: The same rank without the agent, for when that is away.
        clock: Source of time.
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
        self._away_until_s = float("-inf")
        self._client = CallClient(agent_address, _TIMEOUT_S, self._now_s)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()

    async def read_state(self) -> RankState:
        """Returns the present state."""
        try:
            document = await self._call("GET", _STATE_PATH)
        except ConnectionBrokenError:
            return await self._direct.read_state()
        document["instance"] = self._instance
        document["rank"] = RankId(document["rank"])
        return RankState(**document)

    async def read_counts(self, with_experts: bool) -> RankCounts:
        """Returns the choices of experts, and the experts if asked for."""
        path = _EXPERTS_PATH if with_experts else _COUNTS_PATH
        try:
            document = await self._call("GET", path)
        except ConnectionBrokenError as error:
            if with_experts:
                return await self._direct.read_counts(with_experts)
            # A read from here would pause the whole group.
            raise RankUnreachableError(str(error)) from error
        experts = document["experts"]
        return RankCounts(
            document["epoch"],
            document["step"],
            tuple(document["counts"]),
            None
            if experts is None
            else tuple(tuple(map(ExpertId, item)) for item in experts),
        )

    async def place(self, order: RankOrder) -> OrderResult:
        """Places an order; UNKNOWN if there is no answer.

        A hold and its release come from the controller itself. An agent that
        fails right after it placed a hold would take its instance along, and
        with it the only rank that can be released.
        """
        if order.operation in _DIRECT:
            return await self._direct.place(order)
        document = dataclasses.asdict(order)
        document["operation"] = order.operation.value
        body = _encode(document)
        try:
            answer = await self._call("POST", _ORDER_PATH, body)
        except (ConnectionBrokenError, RankUnreachableError):
            # The order is placed again, directly if the agent stays away.
            return await self._direct.place(order)
        return OrderResult(answer["result"])

    async def _call(self, method: str, path: str, body: bytes = b"") -> dict:
        if self._now_s() < self._away_until_s:
            raise ConnectionBrokenError(BreakReason.CLOSED, "the agent is away")
        try:
            status, content = await self._client.call(method, path, body)
        except ConnectionBrokenError:
            self._away_until_s = self._now_s() + _AWAY_S
            raise
        try:
            document = _decode(content)
        except ValueError as error:
            raise RankUnreachableError(repr(error)) from error
        if status != _OK or not isinstance(document, dict):
            raise RankUnreachableError(f"status {status}: {content[:200]!r}")
        return document


async def run_relay(address: str, rank: RankPort, clock: Clock) -> None:
    """Serves controllers until the process is told to stop.

    Args:
        address: Host and port to listen on.
        rank: The replica on this instance.
        clock: Source of time.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    limits = ClientLimits()
    hooks = ListenerHooks(
        RankRelay(rank).handle,
        lambda: limits,
        lambda: clock.elapsed().total_seconds(),
        stopping.is_set,
        set(),
    )
    host, _, port = address.rpartition(":")
    server = await loop.create_server(
        lambda: CallerConnection(hooks), host, int(port)
    )
    await stopping.wait()
    server.close()
