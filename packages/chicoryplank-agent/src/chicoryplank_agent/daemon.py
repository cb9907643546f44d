"""The agent daemon, which runs next to one backend server instance."""

import asyncio
import contextlib
import random
import signal
import time
import uuid
from datetime import timedelta

from chicoryplank.attempts import AgentAttemptTable
from chicoryplank.clock import Clock, SystemClock
from chicoryplank.configuration import AgentSettings
from chicoryplank.events import Event, emit
from chicoryplank.idempotency import ClaimRegistry
from chicoryplank.ids import Incarnation, ModelGroupId
from chicoryplank.lifecycle import Application
from chicoryplank.logs import configure_logging
from chicoryplank.store import StoreError
from chicoryplank_agent.backend import BackendClient
from chicoryplank_agent.orders import OrderService
from chicoryplank_agent.relay import MAX_BATCH_BODIES, RelayService
from chicoryplank_wire import relay_pb2
from chicoryplank_wire.peers import make_server
from chicoryplank_wire.store import EtcdStore

_REPORT_INTERVAL = timedelta(seconds=2)
# Receiving a report costs an entry about 0.2 ms of processor time. With 163
# agents per entry (560 entries and 12,000 replicas), one idle report every 4 s
# takes 0.8 % of a core.
IDLE_REPORT_INTERVAL = 2 * _REPORT_INTERVAL
_LOAD_POLL_INTERVAL = timedelta(milliseconds=250)
_NO_LOAD_POLL_INTERVAL = timedelta(seconds=5)
_CLAIM_CLEANUP_INTERVAL = timedelta(minutes=10)


class Agent:
    """Components of the agent daemon and their life cycle.

    Args:
        settings: Validated settings.
        clock: Clock for deadlines and intervals.
    """

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        incarnation = Incarnation(f"{settings.instance}-{uuid.uuid4().hex}")
        self.backend = BackendClient(
            settings.backend_address, settings.limits.max_requests, clock
        )
        table = AgentAttemptTable(
            clock, settings.limits, settings.max_clock_skew
        )
        self._store = EtcdStore(settings.store.address, settings.store.timeout)
        self.registry = ClaimRegistry(settings.deployment, self._store, clock)
        self.relay = RelayService(
            settings,
            incarnation,
            clock,
            table,
            self.backend,
            registry=self.registry,
        )
        self.orders = OrderService(
            ModelGroupId(settings.deployment),
            incarnation,
            self._store,
            self.backend,
            clock,
            rng=random.Random(),
        )
        self._server = make_server(
            [self.relay, self.orders],
            MAX_BATCH_BODIES * settings.limits.max_body_bytes,
            settings.shared_secret,
        )
        self._tasks: list[asyncio.Task] = []
        self.application = Application(f"agent {settings.instance}")
        self.application.add_hooks("store", stop=self._store.close)
        self.application.add_hooks("backend", stop=self.backend.close)
        self.application.add_hooks(
            "server", start=self._start_server, stop=self._stop_server
        )
        self.application.add_hooks(
            "reports", start=self._start_reports, stop=self._stop_reports
        )
        self.application.add_hooks("drain", stop=self._drain)

    async def _start_server(self) -> None:
        host, port = self._settings.listen_address.rsplit(":", 1)
        await self._server.start(host, int(port))

    async def _stop_server(self) -> None:
        self._server.close()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._server.wait_closed(), 1)

    async def _start_reports(self) -> None:
        self._tasks = [
            asyncio.create_task(self._poll_load()),
            asyncio.create_task(self._send_reports()),
            asyncio.create_task(self._delete_expired_claims()),
            asyncio.create_task(self.orders.restore_token()),
        ]

    async def _stop_reports(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _drain(self) -> None:
        await self.relay.shut_down(self._settings.drain_timeout)

    async def _poll_load(self) -> None:
        while True:
            if self.backend.limit.is_named:
                # The limit is left to requests, whose responses also show when
                # it ends.
                await self._clock.sleep(_LOAD_POLL_INTERVAL)
                continue
            document = await self.backend.fetch_json("/load")
            if document is None or "running" not in document:
                # Backend servers other than inference engines report no load.
                await self._clock.sleep(_NO_LOAD_POLL_INTERVAL)
                continue
            self.relay.load = relay_pb2.Load(
                running=int(document["running"]),
                queued=int(document.get("queued", 0)),
                measured_unix_ms=time.time_ns() // 1_000_000,
            )
            await self._clock.sleep(_LOAD_POLL_INTERVAL)

    async def _send_reports(self) -> None:
        """Reports changed load promptly and unchanged load less often."""
        reported: tuple[int, int] | None = None
        time_since_report = timedelta()
        while True:
            await self._clock.sleep(_REPORT_INTERVAL)
            time_since_report += _REPORT_INTERVAL
            load = (self.relay.load.running, self.relay.load.queued)
            if load != reported or time_since_report >= IDLE_REPORT_INTERVAL:
                reported = load
                time_since_report = timedelta()
                self.relay.request_send_to_all()

    async def _delete_expired_claims(self) -> None:
        while True:
            await self._clock.sleep(_CLAIM_CLEANUP_INTERVAL)
            try:
                await self.registry.delete_expired()
            except StoreError as error:
                emit(Event.CLAIM_NOT_RELEASED, error=error.message)


async def serve(settings: AgentSettings, clock: Clock) -> None:
    """Runs the agent until SIGTERM or SIGINT, then shuts down gracefully."""
    agent = Agent(settings, clock)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await agent.application.start()
    await stop_requested.wait()
    await agent.application.stop()


def run(settings: AgentSettings) -> None:
    """Runs the agent daemon until the process receives a stop signal."""
    configure_logging()
    asyncio.run(serve(settings, SystemClock()))
