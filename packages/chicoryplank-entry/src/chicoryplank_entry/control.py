"""Control traffic between entries: heartbeats, versions and demand."""

import asyncio
import collections
import contextlib
from datetime import timedelta

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from chicoryplank.clock import Clock
from chicoryplank.configuration import is_address
from chicoryplank.events import Event, emit
from chicoryplank.ids import AccountId, ConfigVersion, InstanceId, ZoneId
from chicoryplank.limits import Demand, Limiter, PeerDemand
from chicoryplank.membership import (
    CallFailed,
    DemandAggregator,
    DemandUpdate,
    InstanceList,
    Membership,
    MembershipParameters,
    MessageReceived,
)
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank_entry.configuration import (
    PEER_FAILURES,
    ConfigurationHolder,
)
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import ControlBase, ControlStub
from chicoryplank_wire.peers import attach_secret, is_valid_name

# A parent, a parent tried instead, and children that announce a version.
_MAX_CHANNELS = 16
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Requests or tokens a second of one account; also excludes values that are
# not finite.
_MAX_DEMAND = 1e12
_MAX_DEMANDS = 10_000
# An entry without news from its parent reads the store itself.
_MAX_PARENT_SILENCE = timedelta(seconds=3)
# A version adds about 6 KB to the store: 1.5 MB in this time at 37,000 changes
# a day. A collection costs about 260 reads.
_COLLECTION_INTERVAL = timedelta(minutes=10)


def _check_heartbeat(request: control_pb2.HeartbeatRequest) -> None:
    """Rejects what would end the heartbeats of this entry or spread.

    Raises:
        GRPCError: With INVALID_ARGUMENT.
    """
    sender = request.sender
    problem = ""
    if not is_valid_name(sender.instance) or not is_valid_name(sender.zone):
        problem = "the names of the sender"
    elif not is_address(sender.address) or (
        sender.caller_address and not is_address(sender.caller_address)
    ):
        problem = "the addresses of the sender"
    for update in (request.requests, request.tokens):
        if len(update.changes) > _MAX_DEMANDS:
            problem = f"{len(update.changes)} accounts"
        # The sums of several entries are differences, and so may be slightly
        # negative.
        elif not all(abs(item.value) < _MAX_DEMAND for item in update.changes):
            problem = "a demand"
    if problem:
        emit(
            Event.BATCH_REJECTED, peer=repr(sender.instance[:64]), error=problem
        )
        raise GRPCError(Status.INVALID_ARGUMENT, f"rejected: {problem}")


def _write_update(update: DemandUpdate) -> control_pb2.DemandUpdate:
    return control_pb2.DemandUpdate(
        number=update.number,
        acknowledged=update.acknowledged,
        is_full=update.is_full,
        changes=[
            control_pb2.Demand(account=account, value=value)
            for account, value in update.changes.items()
        ],
    )


def _read_update(message: control_pb2.DemandUpdate) -> DemandUpdate:
    changes = {
        AccountId(item.account): max(0.0, item.value)
        for item in message.changes
    }
    return DemandUpdate(
        message.number, message.acknowledged, message.is_full, changes
    )


class DemandExchange:
    """Demand of all accounts in requests and in tokens.

    Args:
        limiter: Source of the own demand and user of the sums.
        parameters: Bounds on updates.
    """

    def __init__(
        self, limiter: Limiter, parameters: MembershipParameters
    ) -> None:
        self._limiter = limiter
        self._sums = tuple(
            DemandAggregator(parameters.max_deltas, parameters.min_change)
            for _ in range(2)
        )

    def begin_round(self, clock: Clock, parent: InstanceId | None) -> None:
        """Takes the own demand and the present parent."""
        own = self._limiter.demand(clock.now())
        requests, tokens = self._sums
        requests.set_own_demand(
            {name: item.requests_per_s for name, item in own.items()}
        )
        tokens.set_own_demand(
            {name: item.tokens_per_s for name, item in own.items()}
        )
        for sums in self._sums:
            sums.set_parent(parent)
            sums.drop_silent_children(clock.elapsed())

    def choose(
        self, peer: InstanceId
    ) -> tuple[control_pb2.DemandUpdate, control_pb2.DemandUpdate]:
        """Returns the next updates to a peer, for requests and tokens."""
        requests, tokens = self._sums
        return (
            _write_update(requests.make_update(peer)),
            _write_update(tokens.make_update(peer)),
        )

    def observe_child(
        self,
        child: InstanceId,
        requests: control_pb2.DemandUpdate,
        tokens: control_pb2.DemandUpdate,
        elapsed: timedelta,
    ) -> None:
        """Takes the updates of a child's heartbeat."""
        for sums, message in zip(self._sums, (requests, tokens), strict=True):
            sums.observe_child(child, _read_update(message), elapsed)

    def observe_parent(
        self,
        parent: InstanceId,
        requests: control_pb2.DemandUpdate,
        tokens: control_pb2.DemandUpdate,
        elapsed: timedelta,
    ) -> None:
        """Takes the updates of the response to a heartbeat."""
        for sums, message in zip(self._sums, (requests, tokens), strict=True):
            sums.observe_parent(parent, _read_update(message), elapsed)

    def publish(self, clock: Clock, heard: int) -> None:
        """Tells the limiter the sums over the fleet."""
        requests, tokens = (sums.sum_fleet() for sums in self._sums)
        sums = {
            account: Demand(
                requests.get(account, 0.0), tokens.get(account, 0.0)
            )
            for account in requests.keys() | tokens.keys()
        }
        self._limiter.observe(PeerDemand(sums, heard), clock.now())


class ControlService(ControlBase):
    """Serves other entries and sends heartbeats to the parent.

    Args:
        own: This entry.
        parameters: Parameters of membership.
        clock: Source of time.
        process_state: Source of the instance list and of the own state.
        holder: The configuration.
        demand: Demand of the accounts.
        secret: What to present to other entries; empty for nothing.
    """

    def __init__(
        self,
        own: Instance,
        parameters: MembershipParameters,
        clock: Clock,
        *,
        process_state: ProcessState,
        holder: ConfigurationHolder,
        demand: DemandExchange,
        secret: str = "",
    ) -> None:
        self._own = own
        self._parameters = parameters
        self._clock = clock
        self._process_state = process_state
        self._holder = holder
        self._demand = demand
        self._secret = secret
        self.membership = Membership(own, parameters)
        self._channels: collections.OrderedDict[str, Channel] = (
            collections.OrderedDict()
        )
        self._store_task: asyncio.Task | None = None
        self._parent: InstanceId | None = None
        self._heard_at = clock.elapsed()

    async def Heartbeat(self, stream) -> None:  # noqa: N802
        """Answers a child with versions and the demand of the fleet."""
        request = await stream.recv_message()
        if request is None:
            return
        _check_heartbeat(request)
        sender = request.sender
        peer = InstanceId(sender.instance)
        self._observe_member(sender)
        self._demand.observe_child(
            peer, request.requests, request.tokens, self._clock.elapsed()
        )
        self._holder.observe_contact()
        requests, tokens = self._demand.choose(peer)
        await stream.send_message(
            control_pb2.HeartbeatReply(
                config_version=self._holder.version,
                leaving=self._process_state.leaving.value,
                requests=requests,
                tokens=tokens,
            )
        )
        await self._holder.observe_version(
            peer,
            ConfigVersion(request.config_version),
            self._open_channel(sender.address),
        )

    async def FetchConfiguration(self, stream) -> None:  # noqa: N802
        """Sends the version in force to a peer."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._holder.export(request.have))

    def _observe_member(self, sender: control_pb2.Member) -> None:
        now = self._clock.now()
        instance = Instance(
            InstanceId(sender.instance),
            "entry",
            ZoneId(sender.zone),
            sender.address,
            sender.caller_address,
        )
        self.membership.observe(InstanceList((instance,), now, False))
        self.membership.observe(
            MessageReceived(instance.instance, now, sender.leaving)
        )

    async def follow_list(self) -> None:
        """Takes each change of the instance list."""
        while True:
            self.membership.observe(
                InstanceList(
                    self._process_state.instances.value, self._clock.now()
                )
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await self._process_state.instances.wait_change()

    async def collect_configuration(self) -> None:
        """Deletes parts of old versions now and then.

        The entry at the root of the tree does it. Two entries that both take
        themselves for the root do no harm, since the collection is safe
        beside others.
        """
        while True:
            await self._clock.sleep(_COLLECTION_INTERVAL)
            await self.collect_once()

    async def collect_once(self) -> None:
        """Deletes parts of old versions if this entry is the root."""
        if self._parent is None and self._holder.version:
            await self._holder.collect()

    async def send_heartbeats(self) -> None:
        """Sends a heartbeat to the parent in each interval."""
        while True:
            links = self.membership.choose_tree_position(self._clock.now())
            self._parent = links.parent
            self._demand.begin_round(self._clock, links.parent)
            heard = await self._beat(links.parent)
            self._demand.publish(self._clock, heard)
            self._choose_store_task(links.watches_store, links.parent)
            self._holder.check_isolation()
            await self._clock.sleep(self._parameters.heartbeat_interval)

    async def _beat(self, parent: InstanceId | None) -> int:
        """Sends one heartbeat; returns how many entries the sums cover."""
        members = self.membership.get_members(self._clock.now())
        if parent is None:
            return len(members)
        address = next(
            item.address for item in members if item.instance == parent
        )
        channel = self._open_channel(address)
        requests, tokens = self._demand.choose(parent)
        own = self._own
        try:
            reply = await ControlStub(channel).Heartbeat(
                control_pb2.HeartbeatRequest(
                    sender=control_pb2.Member(
                        instance=own.instance,
                        zone=own.zone,
                        address=own.address,
                        caller_address=own.caller_address,
                        leaving=self._process_state.leaving.value,
                    ),
                    config_version=self._holder.version,
                    requests=requests,
                    tokens=tokens,
                ),
                timeout=self._parameters.heartbeat_timeout.total_seconds(),
            )
        except PEER_FAILURES:
            self.membership.observe(CallFailed(parent, self._clock.now()))
            return 1
        now = self._clock.now()
        self._heard_at = self._clock.elapsed()
        self._holder.observe_contact()
        self.membership.observe(MessageReceived(parent, now, reply.leaving))
        self._demand.observe_parent(
            parent, reply.requests, reply.tokens, self._clock.elapsed()
        )
        await self._holder.observe_version(
            parent, ConfigVersion(reply.config_version), channel
        )
        return len(members)

    def _choose_store_task(
        self, watches: bool, parent: InstanceId | None
    ) -> None:
        """Watches the store if that is this entry's part in the tree.

        Others read the store only while they hear nothing from a parent or
        have no configuration yet, so that the calls do not grow with the
        number of entries.
        """
        silence = self._clock.elapsed() - self._heard_at
        is_alone = parent is None or silence > _MAX_PARENT_SILENCE
        needed = watches or is_alone or not self._holder.version
        if needed and self._store_task is None:
            self._store_task = asyncio.create_task(self._use_store(watches))
        elif not needed and self._store_task is not None:
            self._store_task.cancel()
            self._store_task = None

    async def _use_store(self, watches: bool) -> None:
        poll = asyncio.create_task(self._holder.poll())
        try:
            if watches:
                await self._holder.watch()
            await poll
        finally:
            poll.cancel()

    def _open_channel(self, address: str) -> Channel:
        channel = self._channels.pop(address, None)
        if channel is None:
            host, port = address.rsplit(":", 1)
            channel = Channel(host.strip("[]"), int(port))
            attach_secret(channel, self._secret)
        self._channels[address] = channel
        if len(self._channels) > _MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel

    async def close(self) -> None:
        """Ends the store task and closes the channels."""
        if self._store_task is not None:
            self._store_task.cancel()
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
