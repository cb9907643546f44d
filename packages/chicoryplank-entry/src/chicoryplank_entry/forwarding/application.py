"""Assembles and runs an entry that forwards requests."""

import asyncio
import dataclasses
import gc
import random
import signal
import socket
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

from chicoryplank.admission import (
    ClientMemory,
    ClientMemoryLimits,
    ColdBoundParameters,
    RetryBudgetParameters,
)
from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.ids import ModelGroupId, ZoneId
from chicoryplank.lifecycle import Application
from chicoryplank.store import Store
from chicoryplank_entry.forwarding.backends import (
    BackendPool,
    make_backend_address,
)
from chicoryplank_entry.forwarding.cold_starts import add_cold_start_limit
from chicoryplank_entry.forwarding.election import Election
from chicoryplank_entry.forwarding.exchange import Exchange
from chicoryplank_entry.forwarding.feed import FeedServer, FeedSource
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.logs import LineWriter
from chicoryplank_entry.forwarding.maps import MapController, RankPortFactory
from chicoryplank_entry.forwarding.members import Member
from chicoryplank_entry.forwarding.metrics import render_metrics
from chicoryplank_entry.forwarding.peers import Peers
from chicoryplank_entry.forwarding.registration import Registration
from chicoryplank_entry.forwarding.reload import SettingsReload
from chicoryplank_entry.forwarding.shed_clients import ShedClients
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.forwarding.views import (
    ChangeSource,
    Decoder,
    StoreView,
)
from chicoryplank_entry.quarantine import QuarantineRecords, Trials
from chicoryplank_wire.listeners import BACKLOG, open_listener
from chicoryplank_wire.server_connection import (
    CallerConnection,
    ListenerHooks,
    ReceivedRequest,
    Reply,
)

# Time in seconds after a store outage in which replicas may register again; the
# platform guarantees about two seconds.
_REGISTRATION_GRACE_S = 2.0
# Fraction of the shutdown time in which a draining entry still accepts
# requests, since callers use cached addresses for a while.
_ACCEPT_SHARE = 0.36
# Time in seconds before the forced end at which unfinished responses are
# aborted.
_SHUTDOWN_MARGIN_S = 0.4
_POLL_INTERVAL_S = 0.05
# Share of its connections that a listener accepts at once, as a divisor.
_ACCEPTED_AT_ONCE = 4
# Longest time for which callers may cache a directory response, in seconds.
# Some cache it three times as long, and a draining entry accepts requests for
# about three seconds.
_ADDRESS_LIFETIME_S = 2.0
# Parameters that can change while the entry runs.
_CHANGEABLE = frozenset(
    {"stop_grace", "address_lifetime", "repeats", "cold_bound"}
)
_NOT_FOUND = 404

AuxiliaryHandler = Callable[[ReceivedRequest, Reply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryParameters:
    """Parameters of an entry.

    Attributes:
        own: Registration of this entry.
        ready_address: Address of the readiness check.
        directory_address: Address of the directory, which returns the addresses
            of entries to callers; empty for none.
        metrics_address: Address of the metrics.
        registration_key: Key of the registration in the store.
        stop_grace: Time from the stop signal to the forced end.
        address_lifetime: Longest time for which callers may cache a directory
            response.
        repeats: Limits on retries.
        cold_bound: Bound on the requests to a cold replica.
        client_memory: Bound on the memory and connections of callers.
    """

    own: Member
    ready_address: str
    directory_address: str
    metrics_address: str
    registration_key: str
    stop_grace: timedelta
    address_lifetime: timedelta
    repeats: RetryBudgetParameters
    cold_bound: ColdBoundParameters = ColdBoundParameters()
    client_memory: ClientMemoryLimits = ClientMemoryLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Interfaces that the adapter of a platform provides.

    Attributes:
        names: Header names.
        store: Store, for leases and writes.
        changes: The same store, for reading and watching.
        decoder: Decoder of the items of the store.
        make_rank_port: Creates the connection to a rank of a lock-step group.
        send_directory: Sends a directory response. Takes a function that
            returns the addresses, those of a zone first, and the time for
            which they may be cached.
        ready_path: Path of the readiness check.
        listeners: Open listening sockets, by address.
    """

    names: HeaderNames
    store: Store
    changes: ChangeSource
    decoder: Decoder
    make_rank_port: RankPortFactory
    send_directory: Callable[
        [ReceivedRequest, Reply, Callable[[str], list[str]], timedelta], None
    ]
    ready_path: str
    listeners: Mapping[str, socket.socket] = dataclasses.field(
        default_factory=dict
    )


class ForwardingEntry:
    """One entry with all its components.

    Args:
        parameters: Parameters of the entry.
        adapter: Interfaces of the platform.
        clock: Clock.
        rng: Random number generator.
    """

    _MAX_ADDRESSES = 64

    def __init__(
        self,
        parameters: EntryParameters,
        adapter: PlatformAdapter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._parameters = parameters
        self._adapter = adapter
        self._clock = clock
        own = parameters.own
        self.state = EntryState(
            clock,
            ZoneId(own.zone),
            rng,
            parameters.repeats,
            _REGISTRATION_GRACE_S,
        )
        self._pool = BackendPool(adapter.names.request_id, self.state.now_s)
        self.registration = Registration(
            adapter.store, clock, parameters.registration_key, own.encode()
        )
        self.peers = Peers(own, self.state, rng, self._observe_newer_revision)
        self.cold_starts = add_cold_start_limit(
            self.peers.permits,
            self.state,
            self.peers.list_live_members,
            parameters.cold_bound,
        )
        self.exchange = Exchange(
            self.state,
            adapter.names,
            self._pool,
            self.peers.permits,
            trials=Trials(adapter.store),
            pacing=self.peers.pacing,
        )
        self.state.on_replica_returned = self.peers.pacing.observe_return
        self.quarantine = QuarantineRecords(
            adapter.store,
            self.state.quarantine,
            self.state.now_s,
            own.instance,
            self.peers.list_live_members,
        )
        self.feed = FeedServer(lambda: self.view.is_current)
        self.view = StoreView(
            FeedSource(
                adapter.changes, self.peers.get_source_address, self.state.now_s
            ),
            adapter.decoder,
            self.state,
            peers=self.peers,
            rng=rng,
            feed=self.feed,
            on_replicas_changed=self._retain_backends,
            on_quarantine=self.quarantine.observe,
            on_connected=self.registration.request_renewal,
        )
        self.election = Election(
            self._make_controller,
            self.state,
            list_live_members=self.peers.list_live_members,
            owner=own.instance,
            clock=clock,
            get_lease_holder=self.view.get_lease_holder,
        )
        self._client_memory = ClientMemory(
            parameters.client_memory, self.state.now_s
        )
        self._shed_clients = ShedClients(self.state.now_s)
        self._connections: set[CallerConnection] = set()
        self._auxiliary_connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._checks: asyncio.Task | None = None
        self.application = Application(f"entry {own.instance}")
        for name, start, stop in (
            ("peers", self.peers.start, self.peers.stop),
            ("checks", self._start_checks, self._stop_checks),
            ("listeners", self._listen, self._close_listeners),
            ("store view", self.view.start, self.view.stop),
            ("quarantine", self.quarantine.start, self.quarantine.stop),
            ("registration", self.registration.start, self.registration.stop),
            ("election", self.election.start, self.election.stop),
        ):
            self.application.add_hooks(name, start, stop)

    async def _start_checks(self) -> None:
        loop = asyncio.get_running_loop()
        self._checks = loop.create_task(self.state.run_checks())

    async def _stop_checks(self) -> None:
        self._checks.cancel()

    def _observe_newer_revision(self, revision: int) -> None:
        self.view.observe_newer_revision(revision)

    def _retain_backends(self) -> None:
        records = self.state.registry.list_all()
        self._pool.retain({make_backend_address(record) for record in records})
        self.exchange.crashes.retain(set(records))
        self.peers.pacing.observe_replicas(records)

    def _make_controller(self, service: ModelGroupId) -> MapController:
        return MapController(
            self._adapter.store,
            self._clock,
            self.state,
            service=service,
            owner=self._parameters.own.instance,
            make_rank_port=self._adapter.make_rank_port,
        )

    async def _listen(self) -> None:
        parameters = self._parameters
        await self._open_listener(
            parameters.own.caller_address,
            self.exchange.handle,
            self._connections,
        )
        await self._open_auxiliary_listener(
            parameters.ready_address, self._send_readiness
        )
        await self._open_auxiliary_listener(
            parameters.directory_address, self._send_directory
        )
        await self._open_auxiliary_listener(
            parameters.metrics_address, _send_metrics
        )
        await self._open_listener(
            parameters.own.peer_address,
            self.feed.handle,
            self._auxiliary_connections,
        )

    async def _open_auxiliary_listener(
        self, address: str, handler: AuxiliaryHandler
    ) -> None:
        if not address:
            return

        async def handle(request: ReceivedRequest, reply: Reply) -> None:
            handler(request, reply)

        await self._open_listener(address, handle, self._auxiliary_connections)

    async def _open_listener(
        self,
        address: str,
        handle: Callable[[ReceivedRequest, Reply], Awaitable[None]],
        connections: set[CallerConnection],
    ) -> None:
        hooks = ListenerHooks(
            handle,
            self.state.get_limits,
            self.state.now_s,
            lambda: self.state.is_draining,
            connections,
            self._client_memory,
            self._shed_clients.observe,
        )
        listener = self._adapter.listeners.get(address)
        if listener is None:
            listener = open_listener(address)
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(hooks),
            sock=listener,
            # So many may be accepted at once before the first is counted.
            backlog=min(
                BACKLOG,
                self._parameters.client_memory.max_connections
                // _ACCEPTED_AT_ONCE,
            ),
        )
        self._servers.append(server)

    async def _close_listeners(self) -> None:
        for server in self._servers:
            server.close()
        for connection in [*self._connections, *self._auxiliary_connections]:
            connection.close_if_idle()
        self.exchange.crashes.close()
        self._pool.close()

    @property
    def is_ready(self) -> bool:
        """Whether this entry accepts requests from callers."""
        return (
            self.state.configuration is not None and not self.state.is_draining
        )

    def _send_readiness(self, request: ReceivedRequest, reply: Reply) -> None:
        if request.target.partition("?")[0] != self._adapter.ready_path:
            reply.send(_NOT_FOUND, (), b"")
        else:
            reply.send(200 if self.is_ready else 503, (), b"")

    def _send_directory(self, request: ReceivedRequest, reply: Reply) -> None:
        self._adapter.send_directory(
            request,
            reply,
            lambda zone: self.peers.list_addresses(zone, self._MAX_ADDRESSES),
            min(
                timedelta(seconds=_ADDRESS_LIFETIME_S),
                self._parameters.address_lifetime,
            ),
        )

    def apply_parameters(self, parameters: EntryParameters) -> list[str]:
        """Applies changed parameters.

        Returns:
            Names of the changed fields that take effect only after a restart.
        """
        current = self._parameters
        delayed = [
            field.name
            for field in dataclasses.fields(EntryParameters)
            if field.name not in _CHANGEABLE
            and getattr(current, field.name) != getattr(parameters, field.name)
        ]
        self._parameters = dataclasses.replace(
            current,
            **{name: getattr(parameters, name) for name in _CHANGEABLE},
        )
        self.state.set_retry_budget(parameters.repeats)
        self.cold_starts.configure(parameters.cold_bound)
        return delayed

    async def drain(self) -> None:
        """Leaves the directory, then completes the requests in progress."""
        started_s = self.state.now_s()
        grace_s = self._parameters.stop_grace.total_seconds()
        self.state.is_draining = True
        self.peers.send_own_counts()
        emit(Event.DRAINING, in_progress=self.exchange.in_progress)
        await self.election.stop()
        await self.registration.stop()
        accept_s = grace_s * _ACCEPT_SHARE
        end_s = started_s + grace_s - _SHUTDOWN_MARGIN_S
        while self.state.now_s() < started_s + accept_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.exchange.refuses_all = True
        for connection in list(self._connections):
            connection.close_if_idle()
        while self.exchange.in_progress and self.state.now_s() < end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        # Responses that just ended must be flushed from the buffers.
        await asyncio.sleep(_POLL_INTERVAL_S)


def _send_metrics(request: ReceivedRequest, reply: Reply) -> None:
    reply.send(
        200,
        (("content-type", "text/plain; version=0.0.4"),),
        render_metrics(),
    )


async def run_entry(
    parameters: EntryParameters,
    make_entry: Callable[[EntryParameters], ForwardingEntry],
    writer: LineWriter,
    read_parameters: Callable[[], EntryParameters],
) -> None:
    """Runs an entry until the process gets a stop signal.

    Args:
        parameters: Initial parameters.
        make_entry: Creates the entry; called in the event loop.
        writer: Writer of log lines.
        read_parameters: Reads the settings again; raises ChicoryplankError.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    with writer.applicationbound():
        await writer.start()
        entry = make_entry(parameters)
        reload = SettingsReload(
            read_parameters, entry.apply_parameters, parameters
        )
        entry.application.add_hooks("settings", reload.start, reload.stop)
        loop.add_signal_handler(signal.SIGHUP, reload.check)
        await entry.application.start()
        # The objects that exist now live as long as the process, so the garbage
        # collector need not visit them again.
        gc.collect()
        gc.freeze()
        await stopping.wait()
        await entry.drain()
        await entry.application.stop()
        await writer.stop()


__all__ = [
    "EntryParameters",
    "PlatformAdapter",
    "ForwardingEntry",
    "run_entry",
]
