"""What the entries tell each other, in small datagrams."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable, Mapping

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.state import EntryState

# Largest datagram that is sent, in bytes; UDP over IPv4 takes no more.
_MAX_DATAGRAM_BYTES = 60_000
# Datagrams that one entry sends in a second, to all others together. With
# more entries each hears the others less often.
_SENDS_PER_S = 60.0
_LEAST_PERIOD_S = 0.1
# An entry that was not heard for this long is not named to callers, in
# seconds; a freeze shorter than this does callers less harm than a detour.
_SILENT_S = 1.2
# Time after its registration in which an entry need not have been heard.
_GRACE_S = 2.0
_FIELDS = frozenset({"member", "leaving", "version", "revision", "counts"})


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Another entry as it registered.

    Attributes:
        instance: Id of its instance.
        zone: Availability zone.
        caller_address: Where callers connect.
        peer_address: Where it takes datagrams.
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
    at_s: float
    leaving: bool


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
        self._since_s = {
            name: since_s
            for name, since_s in self._since_s.items()
            if name in self._members
        }
        self._state.entries = len(self._members) + 1

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

    def _is_usable(self, name: InstanceId, now_s: float) -> bool:
        heard = self._heard.get(name)
        if heard is not None and heard.leaving:
            return False
        if heard is not None and now_s - heard.at_s <= _SILENT_S:
            return True
        return now_s - self._since_s[name] <= _GRACE_S

    def announce(self) -> None:
        """Sends the own counts to all others."""
        datagram = self._encode()
        for member in self._members.values():
            self._send(datagram, member)

    async def _run(self) -> None:
        while True:
            count = max(1, len(self._members))
            period_s = max(_LEAST_PERIOD_S, count / _SENDS_PER_S)
            await asyncio.sleep(period_s * self._source.uniform(0.9, 1.1))
            self.announce()
            self._state.occupancy.forget_peers(self._state.now_s())

    def _encode(self) -> bytes:
        configuration = self._state.configuration
        return json.dumps(
            {
                "member": self._own.instance,
                "leaving": self._state.is_draining,
                "version": 0
                if configuration is None
                else configuration.version,
                "revision": self.revision,
                "counts": self._state.occupancy.list_own(),
            },
            separators=(",", ":"),
        ).encode()

    def _send(self, datagram: bytes, member: Member) -> None:
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            return
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
            name = InstanceId(str(document["member"]))
            counts = {
                InstanceId(key): int(value)
                for key, value in document["counts"].items()
            }
            revision = int(document["revision"])
        except (ValueError, TypeError, AttributeError) as error:
            self._malformed += 1
            if self._malformed & (self._malformed - 1) == 0:
                emit(Event.BATCH_REJECTED, peer=addr[0], error=repr(error))
            return
        if name == self._own.instance:
            return
        now_s = self._state.now_s()
        self._heard[name] = _Heard(now_s, bool(document["leaving"]))
        self._state.occupancy.observe_peer(name, counts, now_s)
        self._state.observe_counts(now_s)
        if revision > self.revision:
            self._on_newer(revision)
