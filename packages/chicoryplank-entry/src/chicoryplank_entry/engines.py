"""Client with which a group controller calls the agents of the engines."""

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

_CALL_ERRORS = (OSError, GRPCError, StreamTerminatedError, asyncio.TimeoutError)
_READ_TIMEOUT = timedelta(seconds=2)
_ORDER_TIMEOUT = timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """Expert maps of a rank, as reported by its engine.

    Attributes:
        digest: Digest of the active map.
        prepared: Digest of the map that the rank has prepared to switch to;
            empty if there is none.
        first_step: First step that uses the prepared map; None if undecided.
    """

    digest: str
    prepared: str
    first_step: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, as reported by its agent.

    Attributes:
        agent: Instance of the agent.
        incarnation: Incarnation of the agent to which orders are addressed.
        ready: Whether the agent accepts orders.
        engine_incarnation: Incarnation of the engine; a prepare vote is valid
            only within the incarnation that gave it.
        step: Next step that the engine runs.
        version: Model version that the engine serves.
        experts: Number of experts of the group; 0 without an expert map.
        spare_slots: Number of expert slots beyond one for each expert.
        total_ranks: Number of ranks of the group.
        ranks: State of the engine's ranks by their number in the group.
        joined: Whether the ranks run steps. A replacement engine runs none
            until it is told the step to start with.
        loads: Load of each expert; empty if loads were not requested.
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
    """Decodes the engine state in an agent's response.

    Returns:
        The report; None if the response has no valid engine state, as with an
        engine that does not respond or reports no steps.
    """
    try:
        fields = json.loads(reply.ranks)
        first_rank = int(fields.get("first_rank", 0))
        ranks = {
            RankId(first_rank + index): RankState(
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


class EngineClient:
    """Reads the state of engines and sends orders to them via their agents.

    Args:
        lease: Controller lease, the source of the fencing token.
        secret: Shared secret that authenticates to agents; empty for none.
    """

    def __init__(self, lease: TokenSource, secret: str = "") -> None:
        self._lease = lease
        self._secret = secret
        self._channels: dict[InstanceId, tuple[str, Channel]] = {}
        self._sequence = 0

    async def read_engines(
        self, instances: Iterable[Instance], with_loads: bool
    ) -> dict[InstanceId, EngineReport]:
        """Returns the reports of all engines that respond, by agent."""
        instances = tuple(instances)
        self._close_channels_except({item.instance for item in instances})
        reports = await asyncio.gather(
            *(self._read_engine(item, with_loads) for item in instances)
        )
        return {item.agent: item for item in reports if item is not None}

    async def place_order(
        self, report: EngineReport, kind: str, arguments: Mapping[str, object]
    ) -> Incarnation:
        """Sends an order to the agent of a report.

        Returns:
            Incarnation of the engine that executed the order.

        Raises:
            ChicoryplankError: With LEASE_LOST if this instance may no longer
                hold the controller lease, with MEMBER_UNREACHABLE if the agent
                does not respond, otherwise with the agent's error code.
        """
        token = self._lease.get_token()
        if token is None:
            raise ChicoryplankError(
                ErrorCode.LEASE_LOST, "the controller lease may have expired"
            )
        self._sequence += 1
        _, channel = self._channels[report.agent]
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT.total_seconds()):
                reply = await OrdersStub(channel).PlaceOrder(
                    self._make_request(report, token, kind, arguments)
                )
        except _CALL_ERRORS as error:
            raise ChicoryplankError(
                ErrorCode.MEMBER_UNREACHABLE,
                f"agent {report.agent} did not respond to an order: {error!r}",
                Verdict.MAY_HAVE_RUN,
            ) from error
        if not reply.accepted:
            raise ChicoryplankError(
                ErrorCode(reply.code), reply.message, Verdict(reply.verdict)
            )
        return _read_incarnation(reply.result) or report.engine_incarnation

    def close(self) -> None:
        """Closes the connections to all agents."""
        self._close_channels_except(set())

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

    async def _read_engine(
        self, instance: Instance, with_loads: bool
    ) -> EngineReport | None:
        request = control_pb2.EngineRequest(with_loads=with_loads)
        try:
            async with asyncio.timeout(_READ_TIMEOUT.total_seconds()):
                reply = await OrdersStub(
                    self._get_channel(instance)
                ).ReadEngine(request)
        except _CALL_ERRORS:
            return None
        return read_report(instance.instance, reply)

    def _get_channel(self, instance: Instance) -> Channel:
        address, channel = self._channels.get(instance.instance, ("", None))
        if address != instance.address:
            if channel is not None:
                channel.close()
            host, port = instance.address.rsplit(":", 1)
            channel = Channel(host.strip("[]"), int(port))
            attach_secret(channel, self._secret)
            self._channels[instance.instance] = (instance.address, channel)
        return channel

    def _close_channels_except(self, agents: set[InstanceId]) -> None:
        for agent in set(self._channels) - agents:
            _, channel = self._channels.pop(agent)
            channel.close()
