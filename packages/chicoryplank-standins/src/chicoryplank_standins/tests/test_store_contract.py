"""Tests of the etcd store client against the simulated store."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import testtools
import uvicorn

from chicoryplank.tests.store_contract import StoreContract
from chicoryplank_standins._serving import AbortableProtocol
from chicoryplank_standins.store import SimulatedStore, make_application
from chicoryplank_wire.store import EtcdStore


class _FaultControl:
    """Injects faults into the simulated store."""

    def __init__(self, simulated_store):
        self._simulated_store = simulated_store

    async def pass_time(self, duration):
        await asyncio.sleep(duration.total_seconds())

    def lose_answers(self, count):
        self._simulated_store.faults.lose_answers = count

    def set_down(self, is_down):
        self._simulated_store.faults.down = is_down
        self._simulated_store.faults.mode = "refuse"


class TestEtcdStoreContract(StoreContract, testtools.TestCase):
    """Conformance of the etcd client to the Store interface."""

    @contextlib.asynccontextmanager
    async def open_store(self):
        simulated_store = SimulatedStore()
        listener = socket.create_server(("127.0.0.1", 0))
        server = uvicorn.Server(
            uvicorn.Config(
                make_application(simulated_store),
                http=AbortableProtocol,
                lifespan="on",
                log_level="warning",
                timeout_graceful_shutdown=1,
            )
        )
        serving = asyncio.ensure_future(server.serve([listener]))
        host, port = listener.getsockname()
        store = EtcdStore(f"{host}:{port}", timedelta(milliseconds=500))
        try:
            yield store, _FaultControl(simulated_store)
        finally:
            await store.close()
            server.should_exit = True
            await serving
