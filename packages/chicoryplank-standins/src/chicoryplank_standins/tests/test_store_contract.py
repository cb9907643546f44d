"""Tests of the etcd store client against the simulated store."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import testtools
import uvicorn

from chicoryplank.tests.store_contract import StoreContract
from chicoryplank_standins._serving import AbortableProtocol
from chicoryplank_standins.store import StoreStandin, make_application
from chicoryplank_wire.store import EtcdStore


class _StandinControl:
    """Injects faults into the simulated store."""

    def __init__(self, standin):
        self._standin = standin

    async def pass_time(self, duration):
        await asyncio.sleep(duration.total_seconds())

    def lose_answers(self, count):
        self._standin.faults.lose_answers = count

    def set_down(self, is_down):
        self._standin.faults.down = is_down
        self._standin.faults.mode = "refuse"


class TestEtcdStoreContract(StoreContract, testtools.TestCase):
    """Conformance of the etcd client to the Store interface."""

    @contextlib.asynccontextmanager
    async def open_store(self):
        standin = StoreStandin()
        listener = socket.create_server(("127.0.0.1", 0))
        server = uvicorn.Server(
            uvicorn.Config(
                make_application(standin),
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
            yield store, _StandinControl(standin)
        finally:
            await store.close()
            server.should_exit = True
            await serving
