"""Entry daemon, which accepts requests of callers and sends them to agents."""

import asyncio
import contextlib
import gc
import random
import signal
import uuid

from chicoryplank.attempts import EntryAttemptTable
from chicoryplank.clock import Clock, SystemClock
from chicoryplank.configuration import EntrySettings
from chicoryplank.ids import Incarnation, ModelGroupId
from chicoryplank.lifecycle import Application
from chicoryplank.limits import Limiter
from chicoryplank.logs import configure_logging
from chicoryplank.membership import MembershipParameters
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank.quarantine import Quarantine
from chicoryplank.retry import RetryPolicy
from chicoryplank_entry import metrics
from chicoryplank_entry.admission import AdmissionGate
from chicoryplank_entry.caller_server import CallerServer, make_server
from chicoryplank_entry.configuration import ConfigurationHolder
from chicoryplank_entry.control import (
    MAX_MESSAGE_BYTES,
    ControlService,
    DemandExchange,
)
from chicoryplank_entry.controllers import (
    announce_configuration,
    configure_limits,
    count_entries,
    detect_stalled_agents,
    poll_instance_list,
    report_evacuations,
    update_relays,
)
from chicoryplank_entry.crash_reports import CrashReports
from chicoryplank_entry.dispatch import Dispatcher, make_quarantine_refusal
from chicoryplank_entry.exchange import AttemptRunner
from chicoryplank_entry.group_controller import (
    GroupController,
    run_group_controllers,
)
from chicoryplank_entry.http import CallerInterface
from chicoryplank_entry.pacing import OutputPacer
from chicoryplank_entry.quarantine import (
    QuarantineCheck,
    QuarantineRecords,
    Trials,
)
from chicoryplank_entry.relays import Relay, RelayPool
from chicoryplank_entry.selection import RelaySelector
from chicoryplank_wire.http import make_client
from chicoryplank_wire.peers import make_server as make_peer_server
from chicoryplank_wire.store import EtcdStore


class Entry:
    """Components of the entry daemon, with their startup and shutdown order.

    Args:
        settings: Validated settings of the entry.
        clock: Source of time.
        rng: Random number generator for routing policies and retry jitter.

    Attributes:
        process_state: Observable state shared by the components.
        attempt_table: Attempts that this entry has in progress.
        pool: Connections to the agents.
        gate: Admission control of requests.
        dispatcher: Sends admitted requests to agents.
        control: Control service for other processes.
        application: Startup and shutdown hooks of the components.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._identity = (
            settings.instance,
            Incarnation(f"{settings.instance}-{uuid.uuid4().hex}"),
        )
        self._own_instance = Instance(
            settings.instance,
            "entry",
            settings.zone,
            settings.control_address,
            settings.caller_address,
        )
        self.process_state = ProcessState()
        pacer = OutputPacer(lambda: len(self.attempt_table))
        self.attempt_table = EntryAttemptTable(
            settings.limits.max_buffer_bytes, pacer.wake
        )
        self.pool = RelayPool(self._make_relay)
        self.gate = AdmissionGate(Limiter(clock.now()), clock)
        self.quarantine = Quarantine()
        self.crashes = CrashReports(
            self.quarantine, clock, self._identity[1], self._count_replicas
        )
        self._store = EtcdStore(settings.store.address, settings.store.timeout)
        self._records = QuarantineRecords(
            self._store,
            self.quarantine,
            self.crashes.now_s,
            settings.instance,
            lambda: [settings.instance],
            # The others exchange crashes with heartbeats only, so that the load
            # on the store does not grow with the number of entries.
            is_writer=lambda: self.control.is_root,
        )
        self._selector = RelaySelector(
            settings.zone,
            clock,
            rng,
            self.count_entries,
            lambda: self.process_state.snapshot.value.evacuated,
        )
        self.dispatcher = self._make_dispatcher()
        self._client = make_client(1)
        self._tasks: list[asyncio.Task] = []
        self.control = self._make_control()
        self._control_server = make_peer_server(
            [self.control], MAX_MESSAGE_BYTES, settings.shared_secret
        )
        self._server = self._make_server()
        self.application = Application(f"entry {settings.instance}")
        self._add_hooks()

    def _make_dispatcher(self) -> Dispatcher:
        runner = AttemptRunner(
            self._settings,
            self._clock,
            self.attempt_table,
            self.pool,
            self._selector,
        )
        runner.on_end = self.crashes.observe_end
        check = QuarantineCheck(
            self.quarantine,
            Trials(self._store),
            now_s=self.crashes.now_s,
            # The instance list has no software versions.
            list_versions=lambda service: ("",),
            make_refusal=make_quarantine_refusal,
            count=lambda result: metrics.QUARANTINED.labels(result).inc(),
        )
        return Dispatcher(
            self._settings,
            self._clock,
            self.process_state,
            runner=runner,
            gate=self.gate,
            retries=RetryPolicy(self._rng),
            quarantine=check,
        )

    def _count_replicas(self, deployment: str) -> int:
        return len(self.pool.get_relays(deployment))

    def _add_hooks(self) -> None:
        add_hooks = self.application.add_hooks
        add_hooks("store", stop=self._store.close)
        add_hooks("quarantine", start=self._records.load)
        add_hooks("client", stop=self._client.aclose)
        add_hooks("relays", stop=self.pool.close)
        add_hooks("control", start=self._start_control, stop=self._stop_control)
        add_hooks(
            "controllers",
            start=self._start_controllers,
            stop=self._stop_controllers,
        )
        add_hooks("server", start=self._start_server, stop=self._stop_server)
        add_hooks("drain", stop=self._drain)

    def _make_relay(self, instance: Instance) -> Relay:
        relay = Relay(
            self._identity,
            instance,
            self.attempt_table,
            process_state=self.process_state,
            clock=self._clock,
            rng=self._rng,
            secret=self._settings.shared_secret,
        )
        relay.on_report = self._selector.observe_report
        relay.on_progress = self._selector.observe_progress
        return relay

    def _make_control(self) -> ControlService:
        settings = self._settings
        parameters = MembershipParameters(address_ttl=settings.address_ttl)
        holder = ConfigurationHolder(
            self._store, self.process_state, self._clock, settings.max_isolation
        )
        return ControlService(
            self._own_instance,
            parameters,
            self._clock,
            process_state=self.process_state,
            holder=holder,
            demand=DemandExchange(self.gate.limiter, parameters),
            crashes=self.crashes,
            secret=settings.shared_secret,
        )

    def _make_group_controller(self, group: ModelGroupId) -> GroupController:
        return GroupController(
            group,
            self._settings,
            self._store,
            self.process_state,
            self._clock,
            rng=self._rng,
        )

    def count_entries(self) -> int:
        """Returns the number of entries in the instance list."""
        return count_entries(self.process_state.instances.value)

    def _make_server(self) -> CallerServer:
        interface = CallerInterface(
            self._settings,
            self.process_state,
            self.dispatcher,
            self._choose_addresses,
        )
        return make_server(
            interface.make_application(), self._settings, self._clock
        )

    def _choose_addresses(self, caller: str) -> list[str]:
        excluded = set(self.process_state.snapshot.value.leaving)
        if self.process_state.leaving.value:
            excluded.add(self._settings.instance)
        selected = self.control.membership.choose_addresses(
            caller, self._clock.now(), frozenset(excluded)
        )
        return list(selected.addresses)

    async def _start_control(self) -> None:
        host, port = self._settings.control_address.rsplit(":", 1)
        await self._control_server.start(host, int(port))

    async def _stop_control(self) -> None:
        await self.control.close()
        self._control_server.close()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._control_server.wait_closed(), 1)

    async def _start_controllers(self) -> None:
        self._tasks = [
            asyncio.create_task(work)
            for work in (
                poll_instance_list(
                    self._settings.instance_list,
                    self._client,
                    self.process_state,
                    self._clock,
                ),
                update_relays(
                    self.process_state, self.pool, self._own_instance
                ),
                announce_configuration(
                    self.process_state, self.pool, self._settings.instance
                ),
                self.control.follow_instance_list(),
                self.control.send_heartbeats(),
                self.control.run_garbage_collection(),
                report_evacuations(self.process_state),
                detect_stalled_agents(self.pool, self._clock),
                self.gate.run_ticks(),
                self._records.run(),
                configure_limits(
                    self.gate.limiter, self.process_state, self._clock
                ),
                run_group_controllers(
                    self.process_state, self._make_group_controller
                ),
            )
        ]

    async def _stop_controllers(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _start_server(self) -> None:
        self._tasks.append(asyncio.create_task(self._server.serve()))
        while not self._server.started:
            if self._tasks[-1].done():
                await self._tasks[-1]
                raise OSError("the HTTP server did not start")
            await asyncio.sleep(0.01)

    async def _stop_server(self) -> None:
        self._server.should_exit = True
        with contextlib.suppress(asyncio.CancelledError, SystemExit):
            await self._tasks[-1]

    async def _drain(self) -> None:
        """Withdraws the entry's address, then waits for requests in progress.

        The entry accepts new requests for twice the time to live of an
        address response, because callers may still use a response that
        contains this address.
        """
        self.process_state.leaving.write(True)
        await self._clock.sleep(2 * self._settings.address_ttl)
        self.process_state.draining.write(True)
        end = self._clock.elapsed() + self._settings.drain_timeout
        while self.dispatcher.in_progress and self._clock.elapsed() < end:
            await asyncio.sleep(0.05)


async def serve(settings: EntrySettings, clock: Clock) -> None:
    """Runs the entry until SIGTERM or SIGINT, then shuts it down gracefully."""
    entry = Entry(settings, clock, random.Random())
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await entry.application.start()
    # Excludes the objects created at startup from garbage collection. A full
    # collection that traverses them blocks the event loop for about 10 ms.
    gc.freeze()
    await stopped.wait()
    await entry.application.stop()


def run(settings: EntrySettings) -> None:
    """Configures logging and runs the entry daemon until it is stopped."""
    configure_logging()
    asyncio.run(serve(settings, SystemClock()))
