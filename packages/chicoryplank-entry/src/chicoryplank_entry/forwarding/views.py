"""Follows configuration, replicas and entries in the store."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol

from chicoryplank.eras import split_revision
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ModelGroupId, ZoneId
from chicoryplank.orders import get_lease_key, get_lease_owner
from chicoryplank.store import StoreError
from chicoryplank.traffic import ReplicaRecord, TrafficConfiguration
from chicoryplank_entry.forwarding.members import Member
from chicoryplank_entry.forwarding.peers import Peers
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.quarantine import QUARANTINE_KEY

_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# Time in seconds for which another entry may know a newer revision before the
# watch of this entry counts as stalled.
_WATCH_LAG_TIMEOUT_S = 0.35
_CHECK_INTERVAL_S = 0.2
# Time in seconds without a response of the store in which no registration of a
# live replica expires.
_MAX_SILENCE_S = 1.2
# Prefix of all keys that get_lease_key returns.
_LEASE_PREFIX = get_lease_key(ModelGroupId("")).partition("/")[0] + "/"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Write or deletion of a key in the store.

    Attributes:
        key: Key that was written or deleted.
        value: New value; None if the key was deleted.
        revision: Revision of the store after the change.
        created: Revision at which the key was created; 0 if it was deleted.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


class HistoryGoneError(Exception):
    """Raised if the changes after a revision are no longer available."""


class ChangeSource(Protocol):
    """Interface of the store for reading and watching its keys."""

    async def read_all(self) -> tuple[list[Change], int]:
        """Returns all items and the revision after which to watch.

        Raises:
            StoreError: If the store does not respond.
        """

    async def wait_changes(self, after: int) -> tuple[list[Change], int]:
        """Returns the changes after a revision; waits briefly if none.

        Raises:
            HistoryGoneError: If the changes are no longer available.
            StoreError: If the store does not respond. It may end a call that
                waits without a response at any time, so only a call that does
                not wait shows whether it is lost.
        """

    async def read_changes(self, after: int) -> tuple[list[Change], int]:
        """Returns the changes after a revision without waiting for any.

        Raises:
            HistoryGoneError: If the changes are no longer available.
            StoreError: If the store does not respond.
        """


class Decoder(Protocol):
    """Decodes items of the store; implemented by the platform adapter."""

    def decode_configuration(
        self, change: Change
    ) -> TrafficConfiguration | None:
        """Decodes a configuration; None if the item is not a valid one."""

    def decode_replica(self, change: Change) -> ReplicaRecord | None:
        """Decodes a replica; None if the item is not a usable one."""

    def parse_replica_id(self, key: str) -> InstanceId | None:
        """Returns the replica id of a key; None for other keys."""

    def parse_evacuated_zone(self, key: str) -> ZoneId | None:
        """Returns the zone that a key evacuates; None for other keys.

        Any value of the key evacuates the zone.
        """

    def decode_member(self, change: Change) -> Member | None:
        """Decodes a registration of an entry; None if it is not a valid one."""

    def parse_member_id(self, key: str) -> InstanceId | None:
        """Returns the entry id of a key; None for other keys."""


class Feed(Protocol):
    """Receives the items and changes that this entry reads, in order."""

    def replace(self, items: Iterable[Change], revision: int) -> None:
        """Replaces all items."""

    def append(self, changes: Iterable[Change], revision: int) -> None:
        """Applies changes to the items."""

    def notify(self) -> None:
        """Wakes waiting entries after the connection to the store is lost."""


class StoreView:
    """Watches the store and applies its changes to the state of the entry.

    Args:
        source: Store, or another entry that follows it.
        decoder: Decoder of the items.
        state: Shared state of this entry.
        peers: The other entries.
        rng: Random number generator for the backoff.
        feed: Receives the items and changes, for entries that follow this one.
        on_replicas_changed: Called after the replicas have changed.
        on_quarantine: Called with the document of crashes and verdicts and its
            revision.
        on_connected: Called when the store responds for the first time, and
            after each outage.

    Attributes:
        is_current: Whether the store responds and its state has been applied.
    """

    def __init__(
        self,
        source: ChangeSource,
        decoder: Decoder,
        state: EntryState,
        *,
        peers: Peers,
        rng: random.Random,
        feed: Feed,
        on_replicas_changed: Callable[[], None],
        on_quarantine: Callable[[bytes | None, int], None],
        on_connected: Callable[[], Awaitable[None]],
    ) -> None:
        self._source = source
        self._decoder = decoder
        self._state = state
        self._peers = peers
        self._rng = rng
        self._feed = feed
        self._on_replicas_changed = on_replicas_changed
        self._on_quarantine = on_quarantine
        self._on_connected = on_connected
        self._members: dict[InstanceId, Member] = {}
        self._replicas: dict[InstanceId, ReplicaRecord] = {}
        self._revision = 0
        self._behind_since_s: float | None = None
        self._newest_peer_revision = 0
        self._watch: asyncio.Task | None = None
        self._responded_s = float("-inf")
        self._tasks: list[asyncio.Task] = []
        self.is_current = False
        self._lease_holders: dict[str, InstanceId] = {}

    async def start(self) -> None:
        """Starts to watch the store."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._watch_store()),
            loop.create_task(self._run_checks()),
        ]

    async def stop(self) -> None:
        """Stops watching."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def get_lease_holder(self, group: ModelGroupId) -> InstanceId | None:
        """Returns the entry that holds the controller lease of a group."""
        return self._lease_holders.get(get_lease_key(group))

    def observe_newer_revision(self, revision: int) -> None:
        """Records the revision of another entry that is ahead of this one."""
        self._newest_peer_revision = max(self._newest_peer_revision, revision)
        if self._behind_since_s is None:
            self._behind_since_s = self._state.now_s()

    async def _watch_store(self) -> None:
        backoff_s = _MIN_BACKOFF_S
        must_reload = True
        was_disconnected = True
        reloads = 0
        while True:
            try:
                if must_reload:
                    items, revision = await self._source.read_all()
                    self._responded_s = self._state.now_s()
                    # A restored store may lack the registration of this entry.
                    was_disconnected |= self._apply_items(items, revision)
                    must_reload = False
                if was_disconnected:
                    was_disconnected = False
                    await self._on_connected()
                changes, revision = await self._follow_changes()
                self._responded_s = self._state.now_s()
                self._apply_changes(changes, revision)
                backoff_s = _MIN_BACKOFF_S
                reloads = 0
            except HistoryGoneError:
                must_reload = True
                emit(Event.STORE_HISTORY_GONE, revision=self._revision)
                reloads += 1
                if reloads > 1:
                    # The state that was just read is already outdated.
                    await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                    backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
            except StoreError as error:
                if not was_disconnected:
                    emit(Event.STORE_LOST, error=error.message)
                was_disconnected = True
                must_reload = True
                self._state.registry.observe_outage()
                self.is_current = False
                self._feed.notify()
                await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
            except Exception as error:
                # Without this, the entry would go on with an old state.
                must_reload = True
                emit(
                    Event.STORE_VIEW_FAILED,
                    revision=self._revision,
                    error=repr(error),
                )
                await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    async def _follow_changes(self) -> tuple[list[Change], int]:
        """Waits for changes, also if the store ends the watch.

        A watch that ends without a response is no outage if the store responds
        right after: no registration can have expired in so short a time.

        Raises:
            HistoryGoneError: If the changes are no longer available.
            StoreError: If the store is lost, or may have been.
        """
        try:
            return await self._wait_changes()
        except StoreError as error:
            self._require_short_silence(error)
            emit(
                Event.STORE_WATCH_ENDED,
                revision=self._revision,
                error=error.message,
            )
            await asyncio.sleep(_MIN_BACKOFF_S * self._rng.uniform(0.5, 1.0))
            response = await self._source.read_changes(self._revision)
            self._require_short_silence(error)
            return response

    def _require_short_silence(self, error: StoreError) -> None:
        """Raises an error of the store if its last response is too old."""
        if self._state.now_s() - self._responded_s > _MAX_SILENCE_S:
            raise error

    async def _wait_changes(self) -> tuple[list[Change], int]:
        """Waits for changes; stops early if the watch is stalled."""
        loop = asyncio.get_running_loop()
        self._watch = loop.create_task(
            self._source.wait_changes(self._revision)
        )
        try:
            return await self._watch
        except asyncio.CancelledError:
            if self._behind_since_s is None:
                raise
            self._behind_since_s = None
            raise HistoryGoneError from None
        finally:
            if not self._watch.done():
                self._watch.cancel()
            self._watch = None

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now_s = self._state.now_s()
            is_changed = self._state.registry.remove_expired(now_s)
            if self._state.registry.is_connected:
                is_changed |= self._state.evacuations.remove_expired(now_s)
            if is_changed:
                self._publish_replicas()
            since_s = self._behind_since_s
            if since_s is None:
                continue
            if self._revision >= self._newest_peer_revision:
                self._behind_since_s = None
            elif (
                now_s - since_s > _WATCH_LAG_TIMEOUT_S
                and self._watch is not None
            ):
                self._watch.cancel()

    def _apply_items(self, items: Sequence[Change], revision: int) -> bool:
        """Replaces the known state; returns whether the store was restored."""
        now_s = self._state.now_s()
        if not self.is_current:
            emit(Event.STORE_REGAINED, revision=revision)
        is_restored = (
            self._revision > 0
            and split_revision(revision)[0] > split_revision(self._revision)[0]
        )
        if is_restored:
            # Registrations of the last seconds are missing until the replicas
            # write them again.
            self._state.registry.observe_outage()
        self._state.registry.observe_recovery(now_s)
        replicas = []
        self._members = {}
        self._lease_holders = {}
        for item in items:
            self._apply_configuration(item)
            record = self._decoder.decode_replica(item)
            if record is not None:
                replicas.append(record)
            self._apply_member_or_lease(item)
        self._state.registry.replace_all(
            replicas, now_s, is_restored=is_restored
        )
        self._state.evacuations.replace_all(
            self._list_evacuated_zones(items), now_s, is_restored=is_restored
        )
        self._apply_quarantine(
            next((item for item in items if item.key == QUARANTINE_KEY), None)
        )
        self._finish_update(revision, replicas_changed=True)
        self._feed.replace(items, revision)
        return is_restored

    def _apply_changes(self, changes: Sequence[Change], revision: int) -> None:
        now_s = self._state.now_s()
        self._state.registry.observe_recovery(now_s)
        replicas_changed = False
        for change in changes:
            self._apply_configuration(change)
            self._apply_member_or_lease(change)
            if change.key == QUARANTINE_KEY:
                self._apply_quarantine(change)
            instance = self._decoder.parse_replica_id(change.key)
            if instance is None:
                continue
            replicas_changed = True
            record = None
            if change.value is not None:
                record = self._decoder.decode_replica(change)
            if record is None:
                self._state.registry.remove(instance, now_s)
            else:
                self._state.registry.put(record)
        replicas_changed |= self._apply_evacuations(changes)
        self._finish_update(revision, replicas_changed)
        self._feed.append(changes, revision)

    def _finish_update(self, revision: int, replicas_changed: bool) -> None:
        self._revision = max(self._revision, revision)
        self._peers.revision = self._revision
        self._peers.set_members(self._members)
        self.is_current = True
        if replicas_changed:
            self._publish_replicas()

    def _publish_replicas(self) -> None:
        self._state.refresh_candidates()
        self._on_replicas_changed()

    def _apply_configuration(self, change: Change) -> None:
        if change.value is None:
            return
        configuration = self._decoder.decode_configuration(change)
        if configuration is not None and self._state.activate(configuration):
            emit(Event.CONFIGURATION_APPLIED, version=configuration.version)

    def _list_evacuated_zones(self, items: Iterable[Change]) -> list[ZoneId]:
        zones = map(
            self._decoder.parse_evacuated_zone, (item.key for item in items)
        )
        return [zone for zone in zones if zone is not None]

    def _apply_evacuations(self, changes: Iterable[Change]) -> bool:
        """Applies begins and ends of evacuations; returns whether any."""
        is_changed = False
        for change in changes:
            zone = self._decoder.parse_evacuated_zone(change.key)
            if zone is None:
                continue
            is_changed = True
            if change.value is None:
                self._state.evacuations.end(zone)
            else:
                self._state.evacuations.begin(zone)
        return is_changed

    def _apply_quarantine(self, change: Change | None) -> None:
        if change is None or change.value is None:
            self._on_quarantine(None, 0)
        else:
            self._on_quarantine(change.value, change.revision)

    def _apply_member_or_lease(self, change: Change) -> None:
        instance = self._decoder.parse_member_id(change.key)
        if instance is None:
            if change.value is None:
                self._lease_holders.pop(change.key, None)
            elif change.key.startswith(_LEASE_PREFIX):
                self._lease_holders[change.key] = get_lease_owner(change.value)
            return
        member = None
        if change.value is not None:
            member = self._decoder.decode_member(change)
        if member is None:
            self._members.pop(instance, None)
        else:
            self._members[instance] = member
