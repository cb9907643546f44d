"""Member list: the platform's instance list merged with observations."""

import dataclasses
from datetime import datetime, timedelta

from chicoryplank.ids import InstanceId
from chicoryplank.membership._parameters import MembershipParameters
from chicoryplank.membership._tree import TreePosition, choose_tree_position
from chicoryplank.process_state import Instance
from chicoryplank.rendezvous import digest_member, rank_members

_ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """Instances reported by the platform or by a peer.

    Attributes:
        instances: The reported instances.
        received_at: When the list was received.
        is_complete: Whether the list contains all instances, so that a missing
            one may have stopped; False for entries reported by a peer.
    """

    instances: tuple[Instance, ...]
    received_at: datetime
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from a peer was received, with the leaving flag it carried."""

    peer: InstanceId
    received_at: datetime
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to a peer failed or timed out."""

    peer: InstanceId
    failed_at: datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that a caller should connect to.

    Attributes:
        addresses: Addresses as host and port, the preferred one first.
        cache_for: How long the caller may cache the addresses.
    """

    addresses: tuple[str, ...]
    cache_for: timedelta


@dataclasses.dataclass(slots=True)
class _Member:
    """State of one entry in the member list.

    Attributes:
        instance: The entry as it was last described.
        seen_at: When the entry was last in a list or sent a message.
        is_listed: Whether the last complete instance list contains it.
        message_at: When its last message was received, if any.
        is_leaving: Whether it was ever reported as leaving.
        failures: Consecutive failed calls.
        avoided_until: Until when it counts as unreachable, if it does.
    """

    instance: Instance
    seen_at: datetime
    is_listed: bool = False
    message_at: datetime | None = None
    is_leaving: bool = False
    failures: int = 0
    avoided_until: datetime | None = None


class Membership:
    """Entries known to this process, itself included.

    Args:
        own: Instance of this process.
        parameters: Limits and intervals.
    """

    def __init__(self, own: Instance, parameters: MembershipParameters) -> None:
        self._own = own
        self._parameters = parameters
        self._members: dict[InstanceId, _Member] = {}

    def observe(
        self, observation: InstanceList | MessageReceived | CallFailed
    ) -> None:
        """Records an instance list, a message from a peer or a failed call."""
        if isinstance(observation, InstanceList):
            self._observe_list(observation)
            return
        member = self._members.get(observation.peer)
        if member is None:
            return
        if isinstance(observation, MessageReceived):
            member.seen_at = max(member.seen_at, observation.received_at)
            member.message_at = member.seen_at
            member.is_leaving = member.is_leaving or observation.leaving
            member.failures = 0
            member.avoided_until = None
            return
        member.failures += 1
        if member.failures >= self._parameters.max_failures:
            member.failures = 0
            member.avoided_until = (
                observation.failed_at + self._parameters.unreachable_for
            )

    def _observe_list(self, listing: InstanceList) -> None:
        if listing.is_complete:
            for member in self._members.values():
                member.is_listed = False
        for instance in listing.instances:
            if instance.role != _ENTRY:
                continue
            member = self._members.get(instance.instance)
            if member is None:
                member = _Member(instance, listing.received_at)
                self._members[instance.instance] = member
            # An instance list that lags behind must not clear the leaving flag.
            member.is_leaving = member.is_leaving or instance.leaving
            member.seen_at = max(member.seen_at, listing.received_at)
            if listing.is_complete:
                member.instance = instance
                member.is_listed = True
        self._remove_absent(listing.received_at)

    def _remove_absent(self, now: datetime) -> None:
        self._members = {
            name: member
            for name, member in self._members.items()
            if self._is_present(member, now)
        }
        excess = len(self._members) - self._parameters.max_members
        if excess > 0:
            # Sorting by digest makes all processes drop the same members.
            for name in sorted(self._members, key=digest_member)[-excess:]:
                del self._members[name]

    def _is_present(self, member: _Member, now: datetime) -> bool:
        # Members of the last complete list are kept without a time limit, so
        # that an outage of the instance list removes no members.
        return (
            member.is_listed
            or now - member.seen_at <= self._parameters.max_absence
        )

    def get_members(self, now: datetime) -> tuple[Instance, ...]:
        """Returns this process and the entries listed or seen recently."""
        members = [self._own]
        for name, member in self._members.items():
            if name != self._own.instance and self._is_present(member, now):
                members.append(self._make_instance(member))
        return tuple(members)

    def get_directly_observed(self, now: datetime) -> tuple[Instance, ...]:
        """Returns the members that may be reported to peers.

        These are the members that are listed or have sent a message to this
        process. Members known only from a peer are left out: otherwise two
        processes could report a stopped member to each other forever.
        """
        earliest = now - self._parameters.max_absence
        return tuple(
            self._make_instance(member)
            for member in self._members.values()
            if member.is_listed
            or (member.message_at is not None and member.message_at >= earliest)
        )

    def _make_instance(self, member: _Member) -> Instance:
        if member.is_leaving == member.instance.leaving:
            return member.instance
        return dataclasses.replace(member.instance, leaving=member.is_leaving)

    def _is_offered_to_callers(self, name: InstanceId, now: datetime) -> bool:
        # An entry that is no longer listed is offered to callers only while it
        # still sends heartbeats.
        member = self._members.get(name)
        if member is None or member.is_listed:
            return True
        earliest = now - 3 * self._parameters.heartbeat_interval
        return member.seen_at >= earliest

    def _find_unreachable(self, now: datetime) -> frozenset[InstanceId]:
        return frozenset(
            name
            for name, member in self._members.items()
            if member.avoided_until is not None and member.avoided_until > now
        )

    def choose_tree_position(self, now: datetime) -> TreePosition:
        """Returns the position of this process in the dissemination tree."""
        return choose_tree_position(
            self._own,
            self.get_members(now),
            self._find_unreachable(now),
            self._parameters.fan_out,
            self._parameters.watchers_per_zone,
        )

    def choose_addresses(
        self,
        caller: str,
        now: datetime,
        leaving: frozenset[InstanceId] = frozenset(),
    ) -> Addresses:
        """Returns the addresses that a caller should use.

        Args:
            caller: Identifier of the caller; a caller gets the same addresses
                as long as the members do not change.
            now: Current time.
            leaving: Entries that are being drained, possibly including this
                one.

        Returns:
            Addresses of entries that are not leaving, those of the same
            availability zone first. The last address is in another zone if
            such an entry exists, so that the caller can still connect when
            its zone fails. Unreachable entries are returned only if no other
            entry is left.
        """
        members = [
            member
            for member in self.get_members(now)
            if member.caller_address
            and not member.leaving
            and member.instance not in leaving
            and self._is_offered_to_callers(member.instance, now)
        ]
        unreachable = self._find_unreachable(now)
        usable = [
            member for member in members if member.instance not in unreachable
        ]
        by_name = {member.instance: member for member in usable or members}
        ranked = [by_name[name] for name in rank_members(caller, by_name)]
        same_zone = [item for item in ranked if item.zone == self._own.zone]
        other_zones = [item for item in ranked if item.zone != self._own.zone]
        count = self._parameters.max_addresses
        chosen = [
            *same_zone[: count - 1 if other_zones else count],
            *other_zones,
        ][:count]
        return Addresses(
            tuple(member.caller_address for member in chosen),
            self._parameters.address_ttl,
        )
