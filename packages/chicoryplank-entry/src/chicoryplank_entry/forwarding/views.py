"""Keeps configuration, replicas and members as new as the store has them."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ModelGroupId
from chicoryplank.orders import get_lease_key, get_lease_owner
from chicoryplank.store import StoreError
from chicoryplank.traffic import ReplicaRecord, TrafficConfiguration
from chicoryplank_entry.forwarding.peers import Member, Peers
from chicoryplank_entry.forwarding.state import EntryState

_LEAST_BACKOFF_S = 0.1
_MOST_BACKOFF_S = 0.8
# A revision that another entry has seen and this one has not, for this long,
# means that the own watch is silent, in seconds.
_BEHIND_S = 0.35
_SWEEP_S = 0.2
# Start of all keys that get_lease_key returns.
_LEASE_PREFIX = get_lease_key(ModelGroupId("")).partition("/")[0] + "/"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One item of the store that was written or deleted.

    Attributes:
        key: Key.
        value: Bytes; None if it was deleted.
        revision: Revision of the store at which it changed.
        created: Revision at which it was created; 0 if deleted.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


class HistoryGoneError(Exception):
    """The store no longer has the changes after a revision."""


class ChangeSource(Protocol):
    """The part of a store that an entry follows."""

    async def read_all(self) -> tuple[list[Change], int]:
        """Returns all items and a revision from which to watch.

        Raises:
            StoreError: If the store does not answer.
        """

    async def wait_changes(self, after: int) -> tuple[list[Change], int]:
        """Returns the changes after a revision; waits a short time for one.

        Raises:
            HistoryGoneError: If they are no longer known.
            StoreError: If the store does not answer.
        """


class Decoder(Protocol):
    """Translates items of the store; the adapter of a platform is one."""

    def decode_configuration(
        self, change: Change
    ) -> TrafficConfiguration | None:
        """Returns the configuration in an item, or None if it holds none."""

    def decode_replica(self, change: Change) -> ReplicaRecord | None:
        """Returns the replica in an item, or None if it names none to use."""

    def find_replica_id(self, key: str) -> InstanceId | None:
        """Returns the replica whose key this is, or None."""

    def decode_member(self, change: Change) -> Member | None:
        """Returns the entry in an item, or None if it holds none."""

    def find_member_id(self, key: str) -> InstanceId | None:
        """Returns the entry whose key this is, or None."""


class Feed(Protocol):
    """Takes what this entry reads, in order."""

    def replace(self, items: Iterable[Change], revision: int) -> None:
        """Takes a full list of items."""

    def append(self, changes: Iterable[Change], revision: int) -> None:
        """Takes changes."""

    def notify(self) -> None:
        """Takes that the store was lost."""


class StoreView:
    """Follows the store and applies what it says.

    Args:
        source: The store.
        decoder: Translation of its items.
        state: What this entry believes.
        peers: The other entries.
        random_source: Random numbers for the backoff.
        feed: Takes what is read, for the other entries.
        on_replicas: Called after the replicas have changed.
        on_connected: Called when the store answers, at first and after each
            outage.
    """

    def __init__(
        self,
        source: ChangeSource,
        decoder: Decoder,
        state: EntryState,
        *,
        peers: Peers,
        random_source: random.Random,
        feed: Feed,
        on_replicas: Callable[[], None],
        on_connected: Callable[[], Awaitable[None]],
    ) -> None:
        self._source = source
        self._decoder = decoder
        self._state = state
        self._peers = peers
        self._random = random_source
        self._feed = feed
        self._on_replicas = on_replicas
        self._on_connected = on_connected
        self._members: dict[InstanceId, Member] = {}
        self._replicas: dict[InstanceId, ReplicaRecord] = {}
        self._revision = 0
        self._behind_since_s: float | None = None
        self._newest_heard = 0
        self._wait: asyncio.Task | None = None
        self._tasks: list[asyncio.Task] = []
        self.is_current = False
        self._holders: dict[str, InstanceId] = {}

    async def start(self) -> None:
        """Begins to follow the store."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._follow()),
            loop.create_task(self._sweep()),
        ]

    async def stop(self) -> None:
        """Stops following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def find_holder(self, group: ModelGroupId) -> InstanceId | None:
        """Returns the controller of a group, as the store shows it."""
        return self._holders.get(get_lease_key(group))

    def observe_newer(self, revision: int) -> None:
        """Takes a revision that another entry has seen."""
        self._newest_heard = max(self._newest_heard, revision)
        if self._behind_since_s is None:
            self._behind_since_s = self._state.now_s()

    async def _follow(self) -> None:
        backoff_s = _LEAST_BACKOFF_S
        must_read = True
        was_away = True
        while True:
            try:
                if must_read:
                    items, revision = await self._source.read_all()
                    self._take_all(items, revision)
                    must_read = False
                if was_away:
                    was_away = False
                    await self._on_connected()
                changes, revision = await self._wait_changes()
                self._take_changes(changes, revision)
                backoff_s = _LEAST_BACKOFF_S
            except HistoryGoneError:
                must_read = True
                emit(Event.STORE_HISTORY_GONE, revision=self._revision)
            except StoreError as error:
                if not was_away:
                    emit(Event.STORE_LOST, error=error.message)
                was_away = True
                must_read = True
                self._state.registry.observe_outage()
                self.is_current = False
                self._feed.notify()
                await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, _MOST_BACKOFF_S)

    async def _wait_changes(self) -> tuple[list[Change], int]:
        """Waits for changes; ends early if other entries know newer ones."""
        loop = asyncio.get_running_loop()
        self._wait = loop.create_task(self._source.wait_changes(self._revision))
        try:
            return await self._wait
        except asyncio.CancelledError:
            if self._behind_since_s is None:
                raise
            self._behind_since_s = None
            raise HistoryGoneError from None
        finally:
            if not self._wait.done():
                self._wait.cancel()
            self._wait = None

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now_s = self._state.now_s()
            if self._state.registry.remove_expired(now_s):
                self._publish_replicas()
            since_s = self._behind_since_s
            if since_s is None:
                continue
            if self._revision >= self._newest_heard:
                self._behind_since_s = None
            elif now_s - since_s > _BEHIND_S and self._wait is not None:
                self._wait.cancel()

    def _take_all(self, items: Sequence[Change], revision: int) -> None:
        now_s = self._state.now_s()
        if not self.is_current:
            emit(Event.STORE_REGAINED, revision=revision)
        self._state.registry.observe_recovery(now_s)
        replicas = []
        self._members = {}
        self._holders = {}
        for item in items:
            self._take_configuration(item)
            record = self._decoder.decode_replica(item)
            if record is not None:
                replicas.append(record)
            self._take_member(item)
        self._state.registry.replace_all(replicas, now_s)
        self._finish(revision, replicas_changed=True)
        self._feed.replace(items, revision)

    def _take_changes(self, changes: Sequence[Change], revision: int) -> None:
        now_s = self._state.now_s()
        self._state.registry.observe_recovery(now_s)
        replicas_changed = False
        for change in changes:
            self._take_configuration(change)
            self._take_member(change)
            instance = self._decoder.find_replica_id(change.key)
            if instance is None:
                continue
            replicas_changed = True
            record = None
            if change.value is not None:
                record = self._decoder.decode_replica(change)
            if record is None:
                self._state.registry.remove(instance, now_s)
            else:
                known = self._state.registry.get(instance)
                if known is None or known.started_ms != record.started_ms:
                    self._state.readmit(instance)
                self._state.registry.put(record)
        self._finish(revision, replicas_changed)
        self._feed.append(changes, revision)

    def _finish(self, revision: int, replicas_changed: bool) -> None:
        self._revision = max(self._revision, revision)
        self._peers.revision = self._revision
        self._peers.replace(self._members)
        self.is_current = True
        if replicas_changed:
            self._publish_replicas()

    def _publish_replicas(self) -> None:
        self._state.refresh_candidates()
        self._on_replicas()

    def _take_configuration(self, change: Change) -> None:
        if change.value is None:
            return
        configuration = self._decoder.decode_configuration(change)
        if configuration is not None and self._state.apply(configuration):
            emit(Event.CONFIGURATION_APPLIED, version=configuration.version)

    def _take_member(self, change: Change) -> None:
        instance = self._decoder.find_member_id(change.key)
        if instance is None:
            if change.value is None:
                self._holders.pop(change.key, None)
            elif change.key.startswith(_LEASE_PREFIX):
                self._holders[change.key] = get_lease_owner(change.value)
            return
        member = None
        if change.value is not None:
            member = self._decoder.decode_member(change)
        if member is None:
            self._members.pop(instance, None)
        else:
            self._members[instance] = member
