"""What the entries tell each other, in small datagrams."""

import asyncio
import collections
import dataclasses
import json
import random
from collections.abc import Callable, Iterable, Mapping

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.state import EntryState

# Largest datagram that is sent, in bytes; UDP over IPv4 takes no more.
_MAX_DATAGRAM_BYTES = 60_000
_PERIOD_S = 0.1
# Up to this many entries tell each other directly; more tell a hub of their
# zone, so that messages grow with the entries and not with their square.
_MAX_DIRECT = 10
# An entry that was not heard for this long is not named to callers, in
# seconds; a freeze shorter than this does callers less harm than a detour.
_SILENT_S = 1.2
# The same for entries that are heard through a hub, which may have to be
# replaced first.
_SILENT_VIA_HUB_S = 3.0
# Time after its registration in which an entry need not have been heard.
_GRACE_S = 2.0
_FIELDS = frozenset(
    {"kind", "member", "leaving", "revision", "counts", "absent"}
)
_OWN = "own"
_ZONE = "zone"
_OTHERS = "others"

Counts = dict[InstanceId, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Another entry as it registered.

    Attributes:
        instance: Id of its instance.
        zone: Availability zone.
        caller_address: Where callers connect.
        peer_address: Where it takes messages of other entries.
    """

    instance: InstanceId
    zone: str
    caller_address: str
    peer_address: str

    def encode(self) -> bytes:
        """Returns the registration as JSON."""
        return json.dumps(dataclasses.asdict(self)).encode()


def decode_member(value: bytes) -> Member:
    """Returns a registration.

    Raises:
        ValueError: If it is not one.
    """
    document = json.loads(value)
    names = [field.name for field in dataclasses.fields(Member)]
    if not isinstance(document, dict) or any(
        not isinstance(document.get(name), str) for name in names
    ):
        raise ValueError("malformed registration of an entry")
    for name in ("caller_address", "peer_address"):
        host, _, port = document[name].rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"{name} is not an address")
    return Member(**{name: document[name] for name in names})


@dataclasses.dataclass(slots=True)
class _Heard:
    """Last news of another entry."""

    at_s: float
    leaving: bool
    direct_s: float = float("-inf")
    counts: Counts = dataclasses.field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Exchange of counts between the entries.

    Args:
        own: Registration of this entry.
        state: What this entry believes.
        source: Random numbers.
        on_newer: Called with the store revision that another entry has seen.
    """

    def __init__(
        self,
        own: Member,
        state: EntryState,
        source: random.Random,
        on_newer: Callable[[int], None],
    ) -> None:
        self._own = own
        self._state = state
        self._source = source
        self._on_newer = on_newer
        self._members: dict[InstanceId, Member] = {}
        self._since_s: dict[InstanceId, float] = {}
        self._heard: dict[InstanceId, _Heard] = {}
        self._zones: dict[str, tuple[float, Counts]] = {}
        self._zone_absent: dict[str, frozenset[str]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task | None = None
        self._malformed = 0
        self.revision = 0

    async def start(self) -> None:
        """Opens the socket and begins to send."""
        host, _, port = self._own.peer_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._task = loop.create_task(self._run())

    async def stop(self) -> None:
        """Tells the others once more and closes the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self.announce()
            self._transport.close()

    def replace(self, members: Mapping[InstanceId, Member]) -> None:
        """Takes the registered entries."""
        now_s = self._state.now_s()
        # Registrations lapse together when the store is away; an entry that
        # is still heard stays a member.
        heard = {
            name: member
            for name, member in self._members.items()
            if name in self._heard
            and not self._heard[name].leaving
            and now_s - self._heard[name].at_s <= _SILENT_S
        }
        self._members = {
            name: member
            for name, member in {**heard, **members}.items()
            if name != self._own.instance
        }
        for name in self._members:
            self._since_s.setdefault(name, now_s)
        for known in (self._since_s, self._heard):
            for name in [name for name in known if name not in self._members]:
                del known[name]
        self._state.entries = len(self._members) + 1

    @property
    def _is_direct(self) -> bool:
        return len(self._members) < _MAX_DIRECT

    def list_addresses(self, zone: str, limit: int) -> list[str]:
        """Returns where callers may connect, those of a zone first."""
        now_s = self._state.now_s()
        usable = [
            member
            for name, member in self._members.items()
            if self._is_usable(name, now_s)
        ]
        if not self._state.is_draining:
            usable.append(self._own)
        usable.sort(key=lambda member: (member.zone != zone, member.instance))
        return [member.caller_address for member in usable[:limit]]

    def list_members(self) -> list[InstanceId]:
        """Returns the ids of all entries that seem alive, in order."""
        now_s = self._state.now_s()
        alive = [name for name in self._members if self._is_usable(name, now_s)]
        return sorted([*alive, self._own.instance])

    def find_source(self) -> str | None:
        """Returns the peer address of the entry that follows the store.

        Returns:
            None if this entry is the one.
        """
        hub = self._find_hub(None if self._is_direct else self._own.zone)
        return None if hub is None else hub.peer_address

    def _find_hub(self, zone: str | None) -> Member | None:
        """Returns the first entry of a zone, or of all zones.

        Returns:
            None if this entry is the first.
        """
        now_s = self._state.now_s()
        best = None
        if zone in (None, self._own.zone) and not self._state.is_draining:
            best = self._own
        for name, member in self._members.items():
            if zone is not None and member.zone != zone:
                continue
            heard = self._heard.get(name)
            if heard is None or heard.leaving:
                continue
            if now_s - heard.direct_s > _SILENT_S:
                continue
            if best is None or member.instance < best.instance:
                best = member
        return None if best is self._own else best

    def _is_usable(self, name: InstanceId, now_s: float) -> bool:
        heard = self._heard.get(name)
        if heard is not None and heard.leaving:
            return False
        allowed_s = _SILENT_S if self._is_direct else _SILENT_VIA_HUB_S
        if heard is not None and now_s - heard.at_s <= allowed_s:
            return True
        return now_s - self._since_s[name] <= _GRACE_S

    def announce(self) -> None:
        """Sends the own counts to all others."""
        self._send(self._encode_own(), self._members.values())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_PERIOD_S * self._source.uniform(0.9, 1.1))
            self.tell()

    def tell(self) -> None:
        """Sends what the others need to know now."""
        if self._is_direct:
            self.announce()
        else:
            self._tell_hub()
        self._state.occupancy.expire_peers(self._state.now_s())

    def _tell_hub(self) -> None:
        """Sends the counts up to the hub, or from the hub to all others."""
        hub = self._find_hub(self._own.zone)
        neighbours = [
            member
            for member in self._members.values()
            if member.zone == self._own.zone
        ]
        if hub is not None:
            # The next entry in order hears this one too, so that it can
            # take over at once. A hub that is silent may be back.
            first = sorted(neighbours, key=lambda member: member.instance)[:2]
            self._send(self._encode_own(), [*{hub, *first}])
            return
        now_s = self._state.now_s()
        zone_sum = self._sum_zone(neighbours, now_s)
        hubs = [
            found
            for zone in {member.zone for member in self._members.values()}
            if zone != self._own.zone
            for found in self._list_first(zone)
        ]
        absent = [
            member.instance
            for member in neighbours
            if not self._is_usable_here(member.instance, now_s)
        ]
        self._send(self._encode(_ZONE, zone_sum, absent), hubs)
        total = collections.Counter(zone_sum)
        for heard_s, counts in self._zones.values():
            if now_s - heard_s <= _SILENT_S:
                total.update(counts)
        for member in neighbours:
            heard = self._heard.get(member.instance)
            others = total.copy()
            if heard is not None:
                others.subtract(heard.counts)
            self._send(
                self._encode(_OTHERS, +others, self._list_absent(now_s)),
                [member],
            )
        mine = collections.Counter(self._state.occupancy.get_own_counts())
        total.subtract(mine)
        self._take_others(+total, now_s)

    def _list_first(self, zone: str) -> list[Member]:
        """Returns the entries of another zone that may be its hub."""
        now_s = self._state.now_s()
        members = sorted(
            (
                member
                for member in self._members.values()
                if member.zone == zone
                and self._is_usable(member.instance, now_s)
            ),
            key=lambda member: member.instance,
        )
        return members[:2]

    def _is_usable_here(self, name: InstanceId, now_s: float) -> bool:
        """Whether an entry that tells this hub is alive."""
        heard = self._heard.get(name)
        if heard is None:
            return now_s - self._since_s[name] <= _GRACE_S
        return not heard.leaving and now_s - heard.at_s <= _SILENT_S

    def _list_absent(self, now_s: float) -> list[InstanceId]:
        """Returns the entries that are silent, as their own hubs say it."""
        absent = []
        for name, member in self._members.items():
            if member.zone == self._own.zone:
                is_absent = not self._is_usable_here(name, now_s)
            else:
                is_absent = name in self._zone_absent.get(member.zone, ())
            if is_absent:
                absent.append(name)
        return absent

    def _sum_zone(self, neighbours: Iterable[Member], now_s: float) -> Counts:
        total = collections.Counter(self._state.occupancy.get_own_counts())
        for member in neighbours:
            heard = self._heard.get(member.instance)
            if heard is not None and now_s - heard.direct_s <= _SILENT_S:
                total.update(heard.counts)
        return total

    def _encode_own(self) -> bytes:
        return self._encode(_OWN, self._state.occupancy.get_own_counts(), ())

    def _encode(
        self, kind: str, counts: Mapping, absent: Iterable[InstanceId]
    ) -> bytes:
        return json.dumps(
            {
                "kind": kind,
                "member": self._own.instance,
                "leaving": self._state.is_draining,
                "revision": self.revision,
                "counts": counts,
                "absent": list(absent),
            },
            separators=(",", ":"),
        ).encode()

    def _send(self, datagram: bytes, members: Iterable[Member]) -> None:
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            return
        for member in members:
            host, _, port = member.peer_address.rpartition(":")
            self._transport.sendto(datagram, (host, int(port)))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Takes the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignores that another entry has no open port; it will be missed."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes the counts of another entry."""
        try:
            document = json.loads(data)
            if not isinstance(document, dict) or not document.keys() >= _FIELDS:
                raise ValueError("fields are missing")
            counts = {
                InstanceId(key): int(value)
                for key, value in document["counts"].items()
            }
            absent = frozenset(map(str, document["absent"]))
            revision = int(document["revision"])
        except (ValueError, TypeError, AttributeError) as error:
            self._malformed += 1
            if self._malformed & (self._malformed - 1) == 0:
                emit(Event.BATCH_REJECTED, peer=addr[0], error=repr(error))
            return
        name = InstanceId(str(document["member"]))
        if name == self._own.instance:
            return
        now_s = self._state.now_s()
        self._take(document["kind"], name, counts, now_s)
        heard = self._heard.setdefault(name, _Heard(now_s, False))
        heard.at_s = heard.direct_s = now_s
        heard.leaving = bool(document["leaving"])
        if document["kind"] != _OWN:
            self._take_liveness(document["kind"], name, absent, now_s)
        if revision > self.revision:
            self._on_newer(revision)

    def _take(
        self, kind: str, name: InstanceId, counts: Counts, now_s: float
    ) -> None:
        if kind == _OTHERS:
            self._take_others(counts, now_s)
        elif kind == _ZONE:
            member = self._members.get(name)
            if member is not None:
                self._zones[member.zone] = (now_s, counts)
        elif kind == _OWN:
            heard = self._heard.setdefault(name, _Heard(now_s, False))
            heard.counts = counts
            if self._is_direct:
                self._state.occupancy.observe_peer(name, counts, now_s)
                self._state.observe_counts(now_s)

    def _take_others(self, counts: Mapping, now_s: float) -> None:
        """Takes the sum of all other entries."""
        self._state.occupancy.observe_peer(_OTHERS, counts, now_s)
        self._state.observe_counts(now_s)

    def _take_liveness(
        self, kind: str, hub: InstanceId, absent: frozenset[str], now_s: float
    ) -> None:
        """Takes who is alive, as a hub says it."""
        member = self._members.get(hub)
        if kind == _ZONE and member is not None:
            self._zone_absent[member.zone] = absent
        for name, other in self._members.items():
            if name == hub or (
                kind == _ZONE and (member is None or other.zone != member.zone)
            ):
                continue
            heard = self._heard.setdefault(name, _Heard(now_s, False))
            heard.at_s = float("-inf") if name in absent else now_s
