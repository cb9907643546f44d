"""Configuration of an entry, read from the store or fetched from peers."""

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
# Key of the root document in the store.
_ROOT_KEY = "config/root"
# Interval of the reads that find versions missed by an interrupted watch.
_REFRESH_INTERVAL = timedelta(seconds=2)


class ConfigurationHolder:
    """Holds the active configuration and applies only newer versions.

    Args:
        store: Key-value store of the platform.
        process_state: State that each newly activated version is written to.
        clock: Clock that isolation is measured with.
        max_isolation: Longest time without contact with the store or any peer
            before this process counts as isolated.
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
        self.version_tracker = VersionTracker()

    @property
    def version(self) -> ConfigVersion:
        """Active version of this process."""
        return self._reader.snapshot.version

    def observe_contact(self) -> None:
        """Records contact with the store or a peer, which ends isolation."""
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
        """Applies each version that a watch of the store returns."""
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
        """Reads the newest version from the store at a fixed interval."""
        while True:
            await self.refresh()
            await self._clock.sleep(_REFRESH_INTERVAL)

    async def collect_garbage(self) -> None:
        """Deletes from the store the parts that no retained version uses."""
        try:
            deleted = await delete_unreferenced_parts(self._store)
        except ChicoryplankError as error:
            emit(Event.CONFIGURATION_UNAVAILABLE, error=error.message)
            return
        self.observe_contact()
        emit(Event.PARTS_COLLECTED, count=deleted)

    def export(self, held_digests: list[str]) -> control_pb2.FetchReply:
        """Returns the active version without the parts that a peer holds.

        Args:
            held_digests: Digests of the parts that the peer holds.
        """
        exported = self._reader.export_parts(held_digests)
        return control_pb2.FetchReply(
            config_version=self.version,
            root=exported.root,
            parts=[control_pb2.Part(data=data) for data in exported.parts],
        )

    async def observe_version(
        self, peer: InstanceId, version: ConfigVersion, channel: Channel
    ) -> None:
        """Records the version of a peer and fetches it if it is newer."""
        source = self.version_tracker.observe(
            peer, version, self._clock.elapsed()
        )
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
        """Activates the version of the reader if it is newer."""
        if not self.version_tracker.apply(self.version):
            return
        self._process_state.snapshot.write(self._reader.snapshot)
        self._process_state.synchronized.write(self.version_tracker.is_ready)
        emit(Event.CONFIGURATION_APPLIED, version=self.version)
