"""Calls of a group's controller to the agents beside the engines."""

import asyncio
import dataclasses
import json
import uuid
from collections.abc import Iterable, Mapping
from datetime import timedelta

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import (
    FencingToken,
    Incarnation,
    InstanceId,
    RankId,
)
from chicoryplank.orders import TokenSource
from chicoryplank.process_state import Instance
from chicoryplank.verdict import Verdict
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import OrdersStub
from chicoryplank_wire.peers import attach_secret

_FAILURES = (OSError, GRPCError, StreamTerminatedError, asyncio.TimeoutError)
_READ_TIMEOUT = timedelta(seconds=2)
_ORDER_TIMEOUT = timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """A rank as its engine reports it.

    Attributes:
        digest: Map in force.
        prepared: Map that it can switch to; empty for none.
        first_step: First step of the prepared map; None if undecided.
    """

    digest: str
    prepared: str
    first_step: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine as its agent reports it.

    Attributes:
        agent: Instance of the agent.
        incarnation: Incarnation of the agent, which orders are meant for.
        ready: Whether the agent accepts orders.
        engine_incarnation: Incarnation of the engine; promises end with it.
        step: Next step that the engine runs.
        version: Model version that it serves.
        experts: Number of experts of the group; 0 without an expert map.
        spare_slots: Slots beyond one for each expert.
        total_ranks: Number of ranks of the group.
        ranks: State of the engine's ranks by their number in the group.
        joined: Whether the ranks run steps; a replacement waits to be told
            where to start.
        loads: Load of each expert; empty if not asked for.
    """

    agent: InstanceId
    incarnation: Incarnation
    ready: bool
    engine_incarnation: Incarnation
    step: int
    version: str
    experts: int
    spare_slots: int
    total_ranks: int
    ranks: Mapping[RankId, RankState]
    loads: tuple[int, ...] = ()
    joined: bool = True


def read_report(
    agent: InstanceId, reply: control_pb2.EngineReply
) -> EngineReport | None:
    """Returns the report in an agent's answer; None if the engine is silent.

    An engine that reports no steps has no ranks to control.
    """
    try:
        fields = json.loads(reply.ranks)
        first = int(fields.get("first_rank", 0))
        ranks = {
            RankId(first + index): RankState(
                item["digest"], item["prepared"], item["first_step"]
            )
            for index, item in enumerate(fields["ranks"])
        }
        return EngineReport(
            agent=agent,
            incarnation=Incarnation(reply.incarnation),
            ready=reply.ready,
            engine_incarnation=Incarnation(
                fields.get("incarnation") or reply.incarnation
            ),
            step=int(fields["step"]),
            version=str(fields.get("version", "")),
            experts=int(fields.get("experts", 0)),
            spare_slots=int(fields.get("spare_slots", 0)),
            total_ranks=int(fields.get("total_ranks", len(ranks))),
            ranks=ranks,
            loads=tuple(reply.expert_loads),
            joined=bool(fields.get("joined", True)),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _read_incarnation(result: bytes) -> Incarnation | None:
    try:
        return json.loads(result).get("incarnation")
    except (ValueError, AttributeError):
        return None


class EngineCalls:
    """Reads engines and places orders through their agents.

    Args:
        lease: Source of the fencing token.
        secret: Secret of the internal ports; empty for none.
    """

    def __init__(self, lease: TokenSource, secret: str = "") -> None:
        self._lease = lease
        self._secret = secret
        self._channels: dict[InstanceId, tuple[str, Channel]] = {}
        self._sequence = 0

    async def read(
        self, instances: Iterable[Instance], with_loads: bool
    ) -> dict[InstanceId, EngineReport]:
        """Returns the reports of the engines that answer."""
        instances = tuple(instances)
        self._close_others({item.instance for item in instances})
        reports = await asyncio.gather(
            *(self._read_one(item, with_loads) for item in instances)
        )
        return {item.agent: item for item in reports if item is not None}

    async def place(
        self, report: EngineReport, kind: str, arguments: Mapping[str, object]
    ) -> Incarnation:
        """Places an order at the agent of a report.

        Returns:
            Incarnation of the engine that carried it out.

        Raises:
            ChicoryplankError: With LEASE_LOST if this instance may no longer
                be the controller; otherwise with the code of the refusal, or
                MEMBER_UNREACHABLE if there is no answer.
        """
        token = self._lease.get_token()
        if token is None:
            raise ChicoryplankError(
                ErrorCode.LEASE_LOST, "the controller lease may have lapsed"
            )
        self._sequence += 1
        _, channel = self._channels[report.agent]
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT.total_seconds()):
                reply = await OrdersStub(channel).PlaceOrder(
                    self._make_request(report, token, kind, arguments)
                )
        except _FAILURES as error:
            raise ChicoryplankError(
                ErrorCode.MEMBER_UNREACHABLE,
                f"agent {report.agent} did not answer an order: {error!r}",
                Verdict.MAY_HAVE_RUN,
            ) from error
        if not reply.accepted:
            raise ChicoryplankError(
                ErrorCode(reply.code), reply.message, Verdict(reply.verdict)
            )
        return _read_incarnation(reply.result) or report.engine_incarnation

    def close(self) -> None:
        """Closes all connections."""
        self._close_others(set())

    def _make_request(
        self,
        report: EngineReport,
        token: FencingToken,
        kind: str,
        arguments: Mapping[str, object],
    ) -> control_pb2.OrderRequest:
        content = {"kind": kind, "arguments": dict(arguments)}
        return control_pb2.OrderRequest(
            fencing_token=token,
            order_id=uuid.uuid4().hex,
            sequence=self._sequence,
            incarnation=report.incarnation,
            content=json.dumps(content).encode(),
        )

    async def _read_one(
        self, instance: Instance, with_loads: bool
    ) -> EngineReport | None:
        request = control_pb2.EngineRequest(with_loads=with_loads)
        try:
            async with asyncio.timeout(_READ_TIMEOUT.total_seconds()):
                reply = await OrdersStub(self._open(instance)).ReadEngine(
                    request
                )
        except _FAILURES:
            return None
        return read_report(instance.instance, reply)

    def _open(self, instance: Instance) -> Channel:
        address, channel = self._channels.get(instance.instance, ("", None))
        if address != instance.address:
            if channel is not None:
                channel.close()
            host, port = instance.address.rsplit(":", 1)
            channel = Channel(host.strip("[]"), int(port))
            attach_secret(channel, self._secret)
            self._channels[instance.instance] = (instance.address, channel)
        return channel

    def _close_others(self, kept: set[InstanceId]) -> None:
        for agent in set(self._channels) - kept:
            _, channel = self._channels.pop(agent)
            channel.close()
