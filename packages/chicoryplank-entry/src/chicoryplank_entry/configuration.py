"""The configuration of an entry: from the store or from peers, never back."""

import asyncio
from datetime import timedelta

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from chicoryplank.clock import Clock
from chicoryplank.configuration import SnapshotReader, delete_unreferenced_parts
from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import ConfigVersion, InstanceId
from chicoryplank.membership import IsolationGuard, VersionTracker
from chicoryplank.process_state import ProcessState
from chicoryplank.store import Store, StoreError
from chicoryplank_wire import control_pb2
from chicoryplank_wire.control_grpc import ControlStub

PEER_FAILURES = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)
_FETCH_TIMEOUT_S = 2.0
# The root document; the name is part of the store's layout.
_ROOT_KEY = "config/root"
# Reads again what a broken watch may have missed.
_REFRESH_INTERVAL = timedelta(seconds=2)


class ConfigurationHolder:
    """Applies newer configuration versions wherever they come from.

    Args:
        store: The platform's key-value service.
        process_state: Gets each version that comes into force.
        clock: Measures isolation.
        max_isolation: Longest time without the store and every peer.
    """

    def __init__(
        self,
        store: Store,
        process_state: ProcessState,
        clock: Clock,
        max_isolation: timedelta,
    ) -> None:
        self._store = store
        self._process_state = process_state
        self._clock = clock
        self._reader = SnapshotReader()
        self._isolation = IsolationGuard(max_isolation)
        self.gossip = VersionTracker()

    @property
    def version(self) -> ConfigVersion:
        """Version in force in this process."""
        return self._reader.snapshot.version

    def observe_contact(self) -> None:
        """Records that the store or a peer responded."""
        self._isolation.observe(self._clock.elapsed())

    def check_isolation(self) -> None:
        """Records in the process state whether this process is isolated."""
        try:
            self._isolation.admit(self._clock.elapsed())
            isolated = False
        except ChicoryplankError:
            isolated = True
        if isolated != self._process_state.isolated.value:
            self._process_state.isolated.write(isolated)

    async def refresh(self) -> bool:
        """Reads the newest version from the store.

        Returns:
            Whether the store responded.
        """
        try:
            await self._reader.refresh(self._store)
        except StoreError as error:
            emit(Event.CONFIGURATION_UNAVAILABLE, error=error.message)
            return False
        except ChicoryplankError as error:
            emit(Event.CONFIGURATION_UNAVAILABLE, error=error.message)
        self.observe_contact()
        self._publish()
        return True

    async def watch(self) -> None:
        """Applies each version that the store announces, until cancelled."""
        while True:
            try:
                async for record in self._store.watch(_ROOT_KEY):
                    await self._reader.apply_root(self._store, record.value)
                    self.observe_contact()
                    self._publish()
            except ChicoryplankError as error:
                emit(Event.CONFIGURATION_UNAVAILABLE, error=error.message)
            await self._clock.sleep(_REFRESH_INTERVAL)

    async def poll(self) -> None:
        """Reads the root again and again, until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(_REFRESH_INTERVAL)

    async def collect(self) -> None:
        """Deletes parts of old versions from the store."""
        try:
            deleted = await delete_unreferenced_parts(self._store)
        except ChicoryplankError as error:
            emit(Event.CONFIGURATION_UNAVAILABLE, error=error.message)
            return
        self.observe_contact()
        emit(Event.PARTS_COLLECTED, count=deleted)

    def export(self, have: list[str]) -> control_pb2.FetchReply:
        """Returns the version in force and the parts that a peer lacks."""
        exported = self._reader.export_parts(have)
        return control_pb2.FetchReply(
            config_version=self.version,
            root=exported.root,
            parts=[control_pb2.Part(data=data) for data in exported.parts],
        )

    async def observe_version(
        self, peer: InstanceId, version: ConfigVersion, channel: Channel
    ) -> None:
        """Fetches the version of a peer if it is newer."""
        source = self.gossip.observe(peer, version, self._clock.elapsed())
        if source is None:
            return
        request = control_pb2.FetchRequest(have=self._reader.get_part_digests())
        try:
            reply = await ControlStub(channel).FetchConfiguration(
                request, timeout=_FETCH_TIMEOUT_S
            )
            self._reader.import_parts(
                reply.root, [part.data for part in reply.parts]
            )
        except (*PEER_FAILURES, ChicoryplankError) as error:
            emit(Event.CONFIGURATION_UNAVAILABLE, error=repr(error))
            return
        self._publish()

    def _publish(self) -> None:
        """Puts the reader's version in force if it is newer."""
        if not self.gossip.apply(self.version):
            return
        self._process_state.snapshot.write(self._reader.snapshot)
        self._process_state.synchronized.write(self.gossip.is_ready)
        emit(Event.CONFIGURATION_APPLIED, version=self.version)
