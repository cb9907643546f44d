"""Exchange of in-flight counts and liveness between entries, by UDP."""

import asyncio
import collections
import dataclasses
import json
import random
from collections.abc import Callable, Iterable, Mapping

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.class_counts import (
    ClassKey,
    decode_classes,
    encode_classes,
    split_counts,
)
from chicoryplank_entry.forwarding.members import Member
from chicoryplank_entry.forwarding.pacing import (
    PACE_KIND,
    RAMP_FIELD,
    Pacing,
)
from chicoryplank_entry.forwarding.permits import PERMIT_KINDS, Permits
from chicoryplank_entry.forwarding.quarantine_exchange import (
    QUARANTINE_KIND,
    QuarantineGossip,
)
from chicoryplank_entry.forwarding.state import EntryState

# Slightly less than the maximum of UDP over IPv4.
_MAX_DATAGRAM_BYTES = 60_000
_SEND_INTERVAL_S = 0.1
# Up to this many entries send their counts to each other directly. With more,
# they send them to a hub of their zone, so that the number of messages is
# linear in the number of entries, not quadratic.
_MAX_DIRECT_ENTRIES = 10
# Time in seconds without a message after which an entry counts as dead and is
# no longer listed for callers. A shorter freeze does callers less harm than
# moving to another entry.
_SILENCE_TIMEOUT_S = 1.2
# Same as _SILENCE_TIMEOUT_S, for entries whose liveness a hub reports, since
# the hub may have to be replaced first.
_HUB_SILENCE_TIMEOUT_S = 3.0
# Time in seconds after its registration in which an entry counts as alive
# without a message from it.
_REGISTRATION_GRACE_S = 2.0
# Bound on the number of entries that a message may report.
_MAX_ENTRIES = 100_000
_FIELDS = frozenset(
    {"kind", "member", "leaving", "revision", "counts", "absent"}
)
# Kinds of messages: counts of the sender, of the zone of the sender, and of all
# entries but the receiver.
_OWN = "own"
_ZONE = "zone"
_OTHERS = "others"

# Requests by replica, and by class for services with several priorities.
Counts = dict[InstanceId | ClassKey, int]


def _decode_slow_report(
    report: list | None,
) -> tuple[frozenset[InstanceId], float] | None:
    """Returns the slow replicas and the age of their report in seconds.

    Raises:
        ValueError, TypeError: If the report is malformed.
    """
    if report is None:
        return None
    age_s, instances = report
    return frozenset(map(InstanceId, map(str, instances))), float(age_s)


def _decode_entry_report(report: list | None) -> tuple[int, float] | None:
    """Returns a number of entries and the age of that number in seconds.

    Raises:
        ValueError, TypeError: If the report is malformed.
    """
    if report is None:
        return None
    count, age_s = report
    count, age_s = int(count), float(age_s)
    if not 0 < count <= _MAX_ENTRIES or not age_s >= 0:
        raise ValueError(f"{report} is not a number of entries and its age")
    return count, age_s


@dataclasses.dataclass(slots=True)
class _PeerStatus:
    """Latest information on another entry.

    Attributes:
        last_alive_s: Time when it was last known to be alive, directly or from
            a hub.
        is_draining: Whether it is shutting down.
        last_message_s: Time of the last message from the entry itself.
        counts: Its in-flight requests by replica.
    """

    last_alive_s: float
    is_draining: bool
    last_message_s: float = float("-inf")
    counts: Counts = dataclasses.field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Exchanges in-flight counts and liveness with the other entries.

    Args:
        own: Registration of this entry.
        state: Shared state of this entry.
        rng: Random number generator.
        on_newer_revision: Called with the store revision of another entry that
            is newer than that of this one.

    Attributes:
        revision: Store revision that this entry has read.
        permits: Permits for requests to replicas with a limit.
        pacing: Ramps of replicas that have started or recovered.
        quarantine: Exchange of crashes, and of requests that cause them.
    """

    def __init__(
        self,
        own: Member,
        state: EntryState,
        rng: random.Random,
        on_newer_revision: Callable[[int], None],
    ) -> None:
        self._own = own
        self._state = state
        self._rng = rng
        self._on_newer_revision = on_newer_revision
        self._members: dict[InstanceId, Member] = {}
        self._registered_s: dict[InstanceId, float] = {}
        self._statuses: dict[InstanceId, _PeerStatus] = {}
        self._counts_by_zone: dict[str, tuple[float, Counts]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task | None = None
        self._malformed_count = 0
        self._logged_bound = 1
        self.revision = 0
        self.permits = Permits(
            own.instance, state, self.list_live_members, self._send_document
        )
        self.pacing = Pacing(
            own.instance,
            state,
            self.permits.choose_issuer,
            self._send_document,
        )
        self.permits.limits.append(self.pacing)
        self.permits.carried[RAMP_FIELD] = self.pacing
        self.quarantine = QuarantineGossip(
            own.instance, state, rng, self.list_members, self._send_document
        )

    async def start(self) -> None:
        """Opens the socket and starts to send."""
        host, _, port = self._own.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._task = loop.create_task(self._run())

    async def stop(self) -> None:
        """Sends the counts a last time and closes the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self.send_own_counts()
            self._transport.close()

    def set_members(self, members: Mapping[InstanceId, Member]) -> None:
        """Replaces the registered entries."""
        now_s = self._state.now_s()
        # The registrations expire together during a store outage. An entry that
        # still sends messages stays a member.
        responsive = {
            name: member
            for name, member in self._members.items()
            if name in self._statuses
            and not self._statuses[name].is_draining
            and now_s - self._statuses[name].last_alive_s <= _SILENCE_TIMEOUT_S
        }
        self._members = {
            name: member
            for name, member in {**responsive, **members}.items()
            if name != self._own.instance
        }
        for name in self._members:
            self._registered_s.setdefault(name, now_s)
        for known in (self._registered_s, self._statuses):
            for name in [name for name in known if name not in self._members]:
                del known[name]
        self._state.entry_count = len(self._members) + 1
        self._update_entry_bound(self._state.entry_count, now_s)

    def _update_entry_bound(self, count: int, seen_s: float) -> None:
        """Records a number of entries that this or another entry saw."""
        now_s = self._state.now_s()
        self._state.entry_bound.observe(count, seen_s)
        bound = self._state.entry_bound.get_bound(now_s)
        if bound != self._logged_bound:
            emit(
                Event.RETRY_SHARE_CHANGED,
                entries=bound,
                previous=self._logged_bound,
                registered=self._state.entry_count,
            )
            self._logged_bound = bound

    @property
    def _is_direct(self) -> bool:
        return len(self._members) < _MAX_DIRECT_ENTRIES

    def list_addresses(self, zone: str, limit: int) -> list[str]:
        """Returns the caller addresses of live entries, a given zone first."""
        now_s = self._state.now_s()
        available = [
            member
            for name, member in self._members.items()
            if self._is_alive(name, now_s)
        ]
        if not self._state.is_draining:
            available.append(self._own)
        available.sort(
            key=lambda member: (member.zone != zone, member.instance)
        )
        return [member.caller_address for member in available[:limit]]

    def list_members(self) -> list[InstanceId]:
        """Returns the sorted ids of all other registered entries."""
        return sorted(self._members)

    def list_live_members(self) -> list[InstanceId]:
        """Returns the sorted ids of all live entries, with this one."""
        now_s = self._state.now_s()
        alive = [name for name in self._members if self._is_alive(name, now_s)]
        return sorted([*alive, self._own.instance])

    def get_source_address(self) -> str | None:
        """Returns the peer address of the entry from which to read changes.

        Returns:
            None if this entry reads from the store itself.
        """
        hub = self._choose_hub(None if self._is_direct else self._own.zone)
        return None if hub is None else hub.peer_address

    def _choose_hub(self, zone: str | None) -> Member | None:
        """Returns the live entry with the lowest id in a zone, or in all zones.

        Returns:
            None if this entry is the hub.
        """
        now_s = self._state.now_s()
        best = None
        if zone in (None, self._own.zone) and not self._state.is_draining:
            best = self._own
        for name, member in self._members.items():
            if zone is not None and member.zone != zone:
                continue
            status = self._statuses.get(name)
            if status is None or status.is_draining:
                continue
            if now_s - status.last_message_s > _SILENCE_TIMEOUT_S:
                continue
            if best is None or member.instance < best.instance:
                best = member
        return None if best is self._own else best

    def _is_alive(self, name: InstanceId, now_s: float) -> bool:
        status = self._statuses.get(name)
        if status is not None and status.is_draining:
            return False
        allowed_s = (
            _SILENCE_TIMEOUT_S if self._is_direct else _HUB_SILENCE_TIMEOUT_S
        )
        if status is not None and now_s - status.last_alive_s <= allowed_s:
            return True
        return now_s - self._registered_s[name] <= _REGISTRATION_GRACE_S

    def send_own_counts(self) -> None:
        """Sends the counts of this entry to all others."""
        self._send(self._encode_own_counts(), self._members.values())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_SEND_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            self.send_updates()

    def send_updates(self) -> None:
        """Sends one round of updates and expires the counts of dead entries."""
        self._update_entry_bound(self._state.entry_count, self._state.now_s())
        if self._is_direct:
            self.send_own_counts()
        else:
            self._exchange_via_hub()
        self.quarantine.send_updates()
        self._state.occupancy.expire_peers(self._state.now_s())
        self._state.class_counts.expire_peers(self._state.now_s())

    def _exchange_via_hub(self) -> None:
        """Sends the counts to the hub, or as the hub to all others."""
        hub = self._choose_hub(self._own.zone)
        neighbours = [
            member
            for member in self._members.values()
            if member.zone == self._own.zone
        ]
        if hub is not None:
            # The entry next in order gets the counts too, so that it can
            # replace the hub at once. The lowest id is included even if that
            # entry seemed dead, since it may have recovered.
            first = sorted(neighbours, key=lambda member: member.instance)[:2]
            self._send(self._encode_own_counts(), [*{hub, *first}])
            return
        now_s = self._state.now_s()
        zone_sum = self._sum_zone(neighbours, now_s)
        hubs = [
            found
            for zone in {member.zone for member in self._members.values()}
            if zone != self._own.zone
            for found in self._list_hub_candidates(zone)
        ]
        absent = [
            member.instance
            for member in neighbours
            if not self._is_neighbour_alive(member.instance, now_s)
        ]
        self._send(self._encode(_ZONE, zone_sum, absent), hubs)
        total = collections.Counter(zone_sum)
        for received_s, counts in self._counts_by_zone.values():
            if now_s - received_s <= _SILENCE_TIMEOUT_S:
                total.update(counts)
        for member in neighbours:
            status = self._statuses.get(member.instance)
            others = total.copy()
            if status is not None:
                others.subtract(status.counts)
            self._send(
                self._encode(_OTHERS, +others, self._list_absent(now_s)),
                [member],
            )
        total.subtract(self._get_own_counts())
        self._apply_other_counts(+total, now_s)

    def _list_hub_candidates(self, zone: str) -> list[Member]:
        """Returns the entries of another zone that may be its hub now."""
        now_s = self._state.now_s()
        members = sorted(
            (
                member
                for member in self._members.values()
                if member.zone == zone
                and self._is_alive(member.instance, now_s)
            ),
            key=lambda member: member.instance,
        )
        return members[:2]

    def _is_neighbour_alive(self, name: InstanceId, now_s: float) -> bool:
        """Returns whether an entry of the zone of this hub is alive."""
        status = self._statuses.get(name)
        if status is None:
            return now_s - self._registered_s[name] <= _REGISTRATION_GRACE_S
        return (
            not status.is_draining
            and now_s - status.last_alive_s <= _SILENCE_TIMEOUT_S
        )

    def _list_absent(self, now_s: float) -> list[InstanceId]:
        """Returns the dead entries; hubs report those of their own zones."""
        absent = []
        for name, member in self._members.items():
            if member.zone == self._own.zone:
                is_absent = not self._is_neighbour_alive(name, now_s)
            else:
                # Without reports from a hub of the zone, its entries count as
                # dead after a time, since all of them may have ended.
                is_absent = not self._is_alive(name, now_s)
            if is_absent:
                absent.append(name)
        return absent

    def _sum_zone(self, neighbours: Iterable[Member], now_s: float) -> Counts:
        total = collections.Counter(self._get_own_counts())
        for member in neighbours:
            status = self._statuses.get(member.instance)
            if (
                status is not None
                and now_s - status.last_message_s <= _SILENCE_TIMEOUT_S
            ):
                total.update(status.counts)
        return total

    def _get_own_counts(self) -> Counts:
        """Returns the requests of this entry by replica and by class."""
        by_replica = self._state.occupancy.get_own_counts()
        return {**by_replica, **self._state.class_counts.get_own()}

    def _encode_own_counts(self) -> bytes:
        return self._encode(_OWN, self._get_own_counts(), ())

    def _encode(
        self, kind: str, counts: Mapping, absent: Iterable[InstanceId]
    ) -> bytes:
        report = self._state.slow_replicas.get_report(self._state.now_s())
        slow = None
        if report is not None:
            instances, age_s = report
            slow = [round(age_s, 3), sorted(instances)]
        count, age_s = self._state.entry_bound.get_report(self._state.now_s())
        by_replica, by_class = split_counts(counts)
        document = {
            "kind": kind,
            "member": self._own.instance,
            "leaving": self._state.is_draining,
            "revision": self.revision,
            "counts": by_replica,
            "absent": list(absent),
            "slow": slow,
            "entries": [count, round(age_s, 3)],
            "limits": self.permits.encode_reports(),
        }
        if by_class:
            document["classes"] = encode_classes(by_class)
        return json.dumps(document, separators=(",", ":")).encode()

    def _send_document(self, document: Mapping, name: InstanceId) -> None:
        """Sends a document to an entry, if it is registered."""
        member = self._members.get(name)
        if member is not None:
            datagram = json.dumps(document, separators=(",", ":")).encode()
            self._send(datagram, [member])

    def _send(self, datagram: bytes, members: Iterable[Member]) -> None:
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            return
        for member in members:
            host, _, port = member.peer_address.rpartition(":")
            self._transport.sendto(datagram, (host, int(port)))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors; a dead entry is noticed by its silence."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies the message of another entry; ignores malformed ones."""
        try:
            document = json.loads(data)
            if not isinstance(document, dict):
                raise ValueError("message is not an object")
            if document.get("kind") in PERMIT_KINDS:
                self.permits.handle(document)
                return
            if document.get("kind") == PACE_KIND:
                self.pacing.handle(document)
                return
            if document.get("kind") == QUARANTINE_KIND:
                self.quarantine.handle(document)
                return
            if not document.keys() >= _FIELDS:
                raise ValueError("message lacks required fields")
            counts = {
                InstanceId(key): int(value)
                for key, value in document["counts"].items()
            }
            counts.update(decode_classes(document.get("classes") or {}))
            absent = frozenset(map(str, document["absent"]))
            revision = int(document["revision"])
            slow_report = _decode_slow_report(document.get("slow"))
            entry_report = _decode_entry_report(document.get("entries"))
            self.permits.apply_reports(document.get("limits") or {})
        except (
            ValueError,
            TypeError,
            AttributeError,
            KeyError,
            OverflowError,
            RecursionError,
        ) as error:
            self._malformed_count += 1
            if self._malformed_count & (self._malformed_count - 1) == 0:
                emit(Event.BATCH_REJECTED, peer=addr[0], error=repr(error))
            return
        name = InstanceId(str(document["member"]))
        if name == self._own.instance:
            return
        now_s = self._state.now_s()
        self._apply_counts(document["kind"], name, counts, now_s)
        status = self._statuses.setdefault(name, _PeerStatus(now_s, False))
        status.last_alive_s = status.last_message_s = now_s
        status.is_draining = bool(document["leaving"])
        if document["kind"] != _OWN:
            self._apply_liveness(document["kind"], name, absent, now_s)
        if entry_report is not None:
            count, age_s = entry_report
            self._update_entry_bound(count, now_s - age_s)
        if slow_report is not None:
            instances, age_s = slow_report
            self._state.slow_replicas.observe(instances, now_s - age_s)
        if revision > self.revision:
            self._on_newer_revision(revision)

    def _apply_counts(
        self, kind: str, name: InstanceId, counts: Counts, now_s: float
    ) -> None:
        if kind == _OTHERS:
            self._apply_other_counts(counts, now_s)
        elif kind == _ZONE:
            member = self._members.get(name)
            if member is not None:
                self._counts_by_zone[member.zone] = (now_s, counts)
        elif kind == _OWN:
            status = self._statuses.setdefault(name, _PeerStatus(now_s, False))
            status.counts = counts
            if self._is_direct:
                self._observe_peer(name, counts, now_s)

    def _apply_other_counts(self, counts: Mapping, now_s: float) -> None:
        """Applies the total counts of all other entries."""
        self._observe_peer(_OTHERS, counts, now_s)

    def _observe_peer(self, peer: str, counts: Counts, now_s: float) -> None:
        by_replica, by_class = split_counts(counts)
        self._state.occupancy.observe_peer(peer, by_replica, now_s)
        self._state.class_counts.observe_peer(peer, by_class, now_s)
        self._state.observe_counts(now_s)

    def _apply_liveness(
        self, kind: str, hub: InstanceId, absent: frozenset[str], now_s: float
    ) -> None:
        """Applies the liveness that a hub reports."""
        member = self._members.get(hub)
        for name, other in self._members.items():
            if name == hub or (
                kind == _ZONE and (member is None or other.zone != member.zone)
            ):
                continue
            status = self._statuses.setdefault(name, _PeerStatus(now_s, False))
            status.last_alive_s = float("-inf") if name in absent else now_s
