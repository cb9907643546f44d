"""Heartbeats between entries, which spread versions and demand."""

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
from chicoryplank_entry.crash_reports import CrashReports
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import ControlBase, ControlStub
from chicoryplank_wire.peers import attach_secret, is_valid_name

# Enough for the parent, a replacement parent and the children that announce a
# newer version.
_MAX_CHANNELS = 16
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Requests or tokens per second of one account; the bound also rejects NaN and
# infinity.
_MAX_DEMAND_PER_S = 1e12
# Accounts in one demand update.
_MAX_ACCOUNTS = 10_000
# After this time without a response of its parent, an entry reads the store
# itself.
_MAX_PARENT_SILENCE = timedelta(seconds=3)
# Interval of the garbage collection. Each version adds about 6 KB to the store,
# so 37,000 changes per day add 1.5 MB per interval. One collection costs about
# 260 reads.
_COLLECTION_INTERVAL = timedelta(minutes=10)


def _check_heartbeat(request: control_pb2.HeartbeatRequest) -> None:
    """Rejects a heartbeat with malformed addresses, names or demand.

    Such values would make the heartbeats of this entry fail, or spread to
    other entries.

    Raises:
        GRPCError: With INVALID_ARGUMENT.
    """
    sender = request.sender
    problem = ""
    if not is_valid_name(sender.instance) or not is_valid_name(sender.zone):
        problem = "invalid instance or zone name of the sender"
    elif not is_address(sender.address) or (
        sender.caller_address and not is_address(sender.caller_address)
    ):
        problem = "invalid address of the sender"
    for update in (request.requests, request.tokens):
        if len(update.changes) > _MAX_ACCOUNTS:
            problem = f"{len(update.changes)} accounts in one update"
        # The demand of several entries is computed by subtraction and can be
        # slightly negative.
        elif not all(
            abs(item.value) < _MAX_DEMAND_PER_S for item in update.changes
        ):
            problem = "demand out of range"
    if problem:
        emit(
            Event.BATCH_REJECTED, peer=repr(sender.instance[:64]), error=problem
        )
        raise GRPCError(
            Status.INVALID_ARGUMENT, f"heartbeat rejected: {problem}"
        )


def _encode_update(update: DemandUpdate) -> control_pb2.DemandUpdate:
    return control_pb2.DemandUpdate(
        number=update.number,
        acknowledged=update.acknowledged,
        is_full=update.is_full,
        changes=[
            control_pb2.Demand(account=account, value=value)
            for account, value in update.changes.items()
        ],
    )


def _decode_update(message: control_pb2.DemandUpdate) -> DemandUpdate:
    changes = {
        AccountId(item.account): max(0.0, item.value)
        for item in message.changes
    }
    return DemandUpdate(
        message.number, message.acknowledged, message.is_full, changes
    )


class DemandExchange:
    """Exchanges the demand of all accounts, in requests and in tokens.

    Args:
        limiter: Limiter that supplies the demand of this entry and gets the
            demand of the fleet.
        parameters: Parameters of membership, which bound the updates.
    """

    def __init__(
        self, limiter: Limiter, parameters: MembershipParameters
    ) -> None:
        self._limiter = limiter
        self._aggregators = tuple(
            DemandAggregator(parameters.max_deltas, parameters.min_change)
            for _ in range(2)
        )

    def begin_round(self, clock: Clock, parent: InstanceId | None) -> None:
        """Sets the demand and the parent of this entry for one round."""
        own_demand = self._limiter.demand(clock.now())
        requests, tokens = self._aggregators
        requests.set_own_demand(
            {name: item.requests_per_s for name, item in own_demand.items()}
        )
        tokens.set_own_demand(
            {name: item.tokens_per_s for name, item in own_demand.items()}
        )
        for aggregator in self._aggregators:
            aggregator.set_parent(parent)
            aggregator.drop_silent_children(clock.elapsed())

    def make_updates(
        self, peer: InstanceId
    ) -> tuple[control_pb2.DemandUpdate, control_pb2.DemandUpdate]:
        """Returns the next updates for a peer, of requests and of tokens."""
        requests, tokens = self._aggregators
        return (
            _encode_update(requests.make_update(peer)),
            _encode_update(tokens.make_update(peer)),
        )

    def observe_child(
        self,
        child: InstanceId,
        requests: control_pb2.DemandUpdate,
        tokens: control_pb2.DemandUpdate,
        elapsed: timedelta,
    ) -> None:
        """Applies the updates in a heartbeat of a child."""
        for aggregator, message in zip(
            self._aggregators, (requests, tokens), strict=True
        ):
            aggregator.observe_child(child, _decode_update(message), elapsed)

    def observe_parent(
        self,
        parent: InstanceId,
        requests: control_pb2.DemandUpdate,
        tokens: control_pb2.DemandUpdate,
        elapsed: timedelta,
    ) -> None:
        """Applies the updates in the response of the parent."""
        for aggregator, message in zip(
            self._aggregators, (requests, tokens), strict=True
        ):
            aggregator.observe_parent(parent, _decode_update(message), elapsed)

    def publish(self, clock: Clock, entry_count: int) -> None:
        """Passes the demand of the fleet to the limiter.

        Args:
            clock: Source of time.
            entry_count: Number of entries that the demand covers.
        """
        requests, tokens = (
            aggregator.sum_fleet() for aggregator in self._aggregators
        )
        fleet_demand = {
            account: Demand(
                requests.get(account, 0.0), tokens.get(account, 0.0)
            )
            for account in requests.keys() | tokens.keys()
        }
        self._limiter.observe(
            PeerDemand(fleet_demand, entry_count), clock.now()
        )


class ControlService(ControlBase):
    """Serves control calls of other entries and sends heartbeats to the parent.

    Args:
        own: This entry.
        parameters: Parameters of membership.
        clock: Source of time.
        process_state: Source of the instance list and of the draining state.
        holder: Configuration of this entry.
        demand: Exchange of the demand of the accounts.
        crashes: Crashes and verdicts, exchanged with heartbeats.
        secret: Shared secret sent with each call; empty for none.
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
        crashes: CrashReports,
        secret: str = "",
    ) -> None:
        self._own = own
        self._parameters = parameters
        self._clock = clock
        self._process_state = process_state
        self._holder = holder
        self._demand = demand
        self._crashes = crashes
        self._secret = secret
        self.membership = Membership(own, parameters)
        self._channels: collections.OrderedDict[str, Channel] = (
            collections.OrderedDict()
        )
        self._store_task: asyncio.Task | None = None
        self._parent: InstanceId | None = None
        self._parent_contact_at = clock.elapsed()

    async def Heartbeat(self, stream) -> None:  # noqa: N802
        """Responds to a child with the active version and the fleet demand."""
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
        self._crashes.apply_update(
            peer, request.quarantine, request.quarantine_digest
        )
        requests, tokens = self._demand.make_updates(peer)
        quarantine, digest = self._crashes.make_update(peer)
        await stream.send_message(
            control_pb2.HeartbeatReply(
                config_version=self._holder.version,
                leaving=self._process_state.leaving.value,
                requests=requests,
                tokens=tokens,
                quarantine=quarantine,
                quarantine_digest=digest,
            )
        )
        await self._holder.observe_version(
            peer,
            ConfigVersion(request.config_version),
            self._open_channel(sender.address),
        )

    async def FetchConfiguration(self, stream) -> None:  # noqa: N802
        """Sends the active configuration to a peer."""
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

    async def follow_instance_list(self) -> None:
        """Passes the instance list to the membership after each change.

        The list is also passed on every second without a change.
        """
        while True:
            self.membership.observe(
                InstanceList(
                    self._process_state.instances.value, self._clock.now()
                )
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await self._process_state.instances.wait_change()

    async def run_garbage_collection(self) -> None:
        """Deletes unused configuration parts at a fixed interval.

        Only the entry at the root of the tree does so. During a membership
        change two entries can both act as the root; concurrent collections
        are safe.
        """
        while True:
            await self._clock.sleep(_COLLECTION_INTERVAL)
            await self.collect_garbage_as_root()

    @property
    def is_root(self) -> bool:
        """Whether this entry is the root of the dissemination tree."""
        return self._parent is None

    async def collect_garbage_as_root(self) -> None:
        """Deletes unused configuration parts if this entry is the root."""
        if self.is_root and self._holder.version:
            await self._holder.collect_garbage()

    async def send_heartbeats(self) -> None:
        """Runs a heartbeat round at a fixed interval."""
        while True:
            position = self.membership.choose_tree_position(self._clock.now())
            self._parent = position.parent
            self._demand.begin_round(self._clock, position.parent)
            entry_count = await self._send_heartbeat(position.parent)
            self._demand.publish(self._clock, entry_count)
            self._update_store_task(position.watches_store, position.parent)
            self._holder.check_isolation()
            await self._clock.sleep(self._parameters.heartbeat_interval)

    async def _send_heartbeat(self, parent: InstanceId | None) -> int:
        """Sends one heartbeat to the parent, if there is one.

        Returns:
            Number of entries that the demand of the fleet covers; 1 if the
            parent did not respond.
        """
        members = self.membership.get_members(self._clock.now())
        if parent is None:
            return len(members)
        address = next(
            item.address for item in members if item.instance == parent
        )
        channel = self._open_channel(address)
        requests, tokens = self._demand.make_updates(parent)
        quarantine, digest = self._crashes.make_update(parent)
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
                    quarantine=quarantine,
                    quarantine_digest=digest,
                ),
                timeout=self._parameters.heartbeat_timeout.total_seconds(),
            )
        except PEER_FAILURES:
            self.membership.observe(CallFailed(parent, self._clock.now()))
            return 1
        now = self._clock.now()
        self._parent_contact_at = self._clock.elapsed()
        self._holder.observe_contact()
        self.membership.observe(MessageReceived(parent, now, reply.leaving))
        self._crashes.apply_update(
            parent, reply.quarantine, reply.quarantine_digest
        )
        self._demand.observe_parent(
            parent, reply.requests, reply.tokens, self._clock.elapsed()
        )
        await self._holder.observe_version(
            parent, ConfigVersion(reply.config_version), channel
        )
        return len(members)

    def _update_store_task(
        self, watches: bool, parent: InstanceId | None
    ) -> None:
        """Starts or stops the task that reads the store.

        An entry whose tree position requires it always watches the store. All
        others read it only without a parent that responds, or before they have
        a configuration, so that the load on the store does not grow with the
        number of entries.
        """
        silence = self._clock.elapsed() - self._parent_contact_at
        lacks_parent = parent is None or silence > _MAX_PARENT_SILENCE
        needed = watches or lacks_parent or not self._holder.version
        if needed and self._store_task is None:
            self._store_task = asyncio.create_task(self._follow_store(watches))
        elif not needed and self._store_task is not None:
            self._store_task.cancel()
            self._store_task = None

    async def _follow_store(self, watches: bool) -> None:
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
        """Cancels the store task and closes the channels."""
        if self._store_task is not None:
            self._store_task.cancel()
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
