"""Builds an entry that forwards plain requests, and runs it."""

import asyncio
import dataclasses
import gc
import random
import signal
import socket
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.ids import ModelGroupId, ZoneId
from chicoryplank.lifecycle import Application
from chicoryplank.store import Store
from chicoryplank_entry.forwarding.backends import BackendAddress, BackendPool
from chicoryplank_entry.forwarding.election import Election
from chicoryplank_entry.forwarding.exchange import Exchange
from chicoryplank_entry.forwarding.feed import FeedServer, FeedSource
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.logs import LineWriter
from chicoryplank_entry.forwarding.maps import MakeRank, MapController
from chicoryplank_entry.forwarding.metrics import render_metrics
from chicoryplank_entry.forwarding.peers import Member, Peers
from chicoryplank_entry.forwarding.registration import Registration
from chicoryplank_entry.forwarding.reload import SettingsReload
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.forwarding.views import (
    ChangeSource,
    Decoder,
    StoreView,
)
from chicoryplank_wire.listeners import BACKLOG, open_listener
from chicoryplank_wire.server_connection import (
    CallerConnection,
    ListenerHooks,
    ReceivedRequest,
    Reply,
)

# Time in which registrations of replicas return after an outage; the platform
# promises about two seconds.
_RETURN_GRACE_S = 2.0
# Part of the time to stop in which a leaving entry still takes requests,
# since callers keep an address for a while.
_ACCEPT_SHARE = 0.36
# Time before the forced end at which the last answers are cut, in seconds.
_END_MARGIN_S = 0.4
_POLL_S = 0.05
# Time that callers keep an address answer, in seconds. Some keep it three
# times as long, and a stopping entry takes requests for about three seconds.
_ADDRESS_LIFETIME_S = 2.0
# Parameters that a running entry can change.
_CHANGEABLE = frozenset({"stop_grace", "address_lifetime", "repeats"})
_NOT_FOUND = 404

AnswerSide = Callable[[ReceivedRequest, Reply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryParameters:
    """Addresses and times of an entry.

    Attributes:
        own: Registration of this entry.
        ready_address: Where its readiness is asked for.
        directory_address: Where callers ask for addresses; empty for nowhere.
        metrics_address: Where its metrics are served.
        registration_key: Key of its registration in the store.
        stop_grace: Time from the request to stop to the forced end.
        address_lifetime: Longest time that callers keep an address answer.
        repeats: Bounds on repeats.
    """

    own: Member
    ready_address: str
    directory_address: str
    metrics_address: str
    registration_key: str
    stop_grace: timedelta
    address_lifetime: timedelta
    repeats: RetryBudgetParameters


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPorts:
    """What the adapter of a platform provides.

    Attributes:
        names: Header names.
        store: Store, for leases and writes.
        changes: The same store, to follow it.
        decoder: Translation of its items.
        make_rank: Returns the port of a replica of a lock-step group.
        answer_directory: Answers a request for addresses; takes the function
            that lists them by zone, and how long they may be kept.
        ready_path: Path of the readiness question.
        listeners: Sockets that listen already, by address.
    """

    names: HeaderNames
    store: Store
    changes: ChangeSource
    decoder: Decoder
    make_rank: MakeRank
    answer_directory: Callable[
        [ReceivedRequest, Reply, Callable[[str], list[str]], timedelta], None
    ]
    ready_path: str
    listeners: Mapping[str, socket.socket] = dataclasses.field(
        default_factory=dict
    )


class ForwardingEntry:
    """One entry with all its parts.

    Args:
        parameters: Addresses and times.
        ports: What the adapter provides.
        clock: Source of time.
        source: Random numbers.
    """

    _MAX_ADDRESSES = 64

    def __init__(
        self,
        parameters: EntryParameters,
        ports: EntryPorts,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._parameters = parameters
        self._ports = ports
        self._clock = clock
        own = parameters.own
        self.state = EntryState(
            clock,
            ZoneId(own.zone),
            source,
            parameters.repeats,
            _RETURN_GRACE_S,
        )
        self._pool = BackendPool(ports.names.request_id, self.state.now_s)
        self.exchange = Exchange(self.state, ports.names, self._pool)
        self.registration = Registration(
            ports.store, clock, parameters.registration_key, own.encode()
        )
        self.peers = Peers(own, self.state, source, self._observe_newer)
        self.feed = FeedServer(lambda: self.view.is_current)
        self.view = StoreView(
            FeedSource(ports.changes, self.peers.find_source, self.state.now_s),
            ports.decoder,
            self.state,
            peers=self.peers,
            random_source=source,
            feed=self.feed,
            on_replicas=self._retain_backends,
            on_connected=self.registration.renew,
        )
        self.election = Election(
            self._make_controller,
            self.state,
            list_members=self.peers.list_members,
            owner=own.instance,
            clock=clock,
            find_holder=self.view.find_holder,
        )
        self._connections: set[CallerConnection] = set()
        self._side_connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._checks: asyncio.Task | None = None
        self.application = Application(f"entry {own.instance}")
        for name, start, stop in (
            ("peers", self.peers.start, self.peers.stop),
            ("checks", self._start_checks, self._stop_checks),
            ("listeners", self._listen, self._close_listeners),
            ("store view", self.view.start, self.view.stop),
            ("registration", self.registration.start, self.registration.stop),
            ("election", self.election.start, self.election.stop),
        ):
            self.application.add_hooks(name, start, stop)

    async def _start_checks(self) -> None:
        loop = asyncio.get_running_loop()
        self._checks = loop.create_task(self.state.run_checks())

    async def _stop_checks(self) -> None:
        self._checks.cancel()

    def _observe_newer(self, revision: int) -> None:
        self.view.observe_newer(revision)

    def _retain_backends(self) -> None:
        self._pool.retain(
            {
                BackendAddress(record.instance, record.address)
                for record in self.state.registry.list_all()
            }
        )

    def _make_controller(self, service: ModelGroupId) -> MapController:
        return MapController(
            self._ports.store,
            self._clock,
            self.state,
            service=service,
            owner=self._parameters.own.instance,
            make_rank=self._ports.make_rank,
        )

    async def _listen(self) -> None:
        parameters = self._parameters
        await self._open(
            parameters.own.caller_address,
            self.exchange.handle,
            self._connections,
        )
        await self._open_side(parameters.ready_address, self._answer_ready)
        await self._open_side(
            parameters.directory_address, self._answer_directory
        )
        await self._open_side(parameters.metrics_address, _answer_metrics)
        await self._open(
            parameters.own.peer_address,
            self.feed.handle,
            self._side_connections,
        )

    async def _open_side(self, address: str, answer: AnswerSide) -> None:
        if not address:
            return

        async def handle(request: ReceivedRequest, reply: Reply) -> None:
            answer(request, reply)

        await self._open(address, handle, self._side_connections)

    async def _open(
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
        )
        listener = self._ports.listeners.get(address)
        if listener is None:
            listener = open_listener(address)
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(hooks), sock=listener, backlog=BACKLOG
        )
        self._servers.append(server)

    async def _close_listeners(self) -> None:
        for server in self._servers:
            server.close()
        for connection in [*self._connections, *self._side_connections]:
            connection.close_if_idle()
        self._pool.close()

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self.state.configuration is not None and not self.state.is_draining
        )

    def _answer_ready(self, request: ReceivedRequest, reply: Reply) -> None:
        if request.target.partition("?")[0] != self._ports.ready_path:
            reply.send(_NOT_FOUND, (), b"")
        else:
            reply.send(200 if self.is_ready else 503, (), b"")

    def _answer_directory(self, request: ReceivedRequest, reply: Reply) -> None:
        self._ports.answer_directory(
            request,
            reply,
            lambda zone: self.peers.list_addresses(zone, self._MAX_ADDRESSES),
            min(
                timedelta(seconds=_ADDRESS_LIFETIME_S),
                self._parameters.address_lifetime,
            ),
        )

    def apply_parameters(self, parameters: EntryParameters) -> list[str]:
        """Puts changed parameters in force.

        Returns:
            Names of the changed fields that take effect at the next start.
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
        self.state.set_repeats(parameters.repeats)
        return delayed

    async def drain(self) -> None:
        """Leaves the address answers, then ends what is in progress."""
        started_s = self.state.now_s()
        grace_s = self._parameters.stop_grace.total_seconds()
        self.state.is_draining = True
        self.peers.announce()
        emit(Event.DRAINING, in_progress=self.exchange.in_progress)
        await self.election.stop()
        await self.registration.stop()
        accept_s = grace_s * _ACCEPT_SHARE
        end_s = started_s + grace_s - _END_MARGIN_S
        while self.state.now_s() < started_s + accept_s:
            await asyncio.sleep(_POLL_S)
        self.exchange.refuses_all = True
        for connection in list(self._connections):
            connection.close_if_idle()
        while self.exchange.in_progress and self.state.now_s() < end_s:
            await asyncio.sleep(_POLL_S)
        # Answers that were just ended must leave the buffers.
        await asyncio.sleep(_POLL_S)


def _answer_metrics(request: ReceivedRequest, reply: Reply) -> None:
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
    """Runs an entry until the process is told to stop.

    Args:
        parameters: Parameters at the start.
        make_entry: Returns the entry; called in the event loop.
        writer: Output of log lines.
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
        # What lives now lives as long as the process.
        gc.collect()
        gc.freeze()
        await stopping.wait()
        await entry.drain()
        await entry.application.stop()
        await writer.stop()


__all__ = [
    "EntryParameters",
    "EntryPorts",
    "ForwardingEntry",
    "run_entry",
]
