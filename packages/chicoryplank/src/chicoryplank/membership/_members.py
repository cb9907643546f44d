"""Live members: the lagging instance list merged with own observations."""

import dataclasses
from datetime import datetime, timedelta

from chicoryplank.ids import InstanceId
from chicoryplank.membership._parameters import MembershipParameters
from chicoryplank.membership._tree import Links, choose_links
from chicoryplank.process_state import Instance
from chicoryplank.rendezvous import digest_member, rank_members

_ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """Instances as the platform or a peer lists them.

    Attributes:
        instances: The instances.
        received_at: When the list was received.
        is_complete: Whether a missing instance may be gone; False for the
            entries that a peer names.
    """

    instances: tuple[Instance, ...]
    received_at: datetime
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A message of a peer arrived, with its leaving flag."""

    peer: InstanceId
    received_at: datetime
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call to a peer failed or was not answered in time."""

    peer: InstanceId
    failed_at: datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Answer to a caller.

    Attributes:
        addresses: Host and port, the preferred one first.
        cache_for: How long the caller may use them.
    """

    addresses: tuple[str, ...]
    cache_for: timedelta


@dataclasses.dataclass(slots=True)
class _Member:
    instance: Instance
    seen_at: datetime
    is_listed: bool = False
    heard_at: datetime | None = None
    is_leaving: bool = False
    failures: int = 0
    avoided_until: datetime | None = None


class Membership:
    """Entries that this process knows.

    Args:
        own: This process.
        parameters: Parameters.
    """

    def __init__(self, own: Instance, parameters: MembershipParameters) -> None:
        self._own = own
        self._parameters = parameters
        self._members: dict[InstanceId, _Member] = {}

    def observe(self, observation: InstanceList | Heard | Failed) -> None:
        """Takes a list, a message of a peer or a failed call."""
        if isinstance(observation, InstanceList):
            self._observe_list(observation)
            return
        member = self._members.get(observation.peer)
        if member is None:
            return
        if isinstance(observation, Heard):
            member.seen_at = max(member.seen_at, observation.received_at)
            member.heard_at = member.seen_at
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
            # A late list must not take back that an instance is leaving.
            member.is_leaving = member.is_leaving or instance.leaving
            member.seen_at = max(member.seen_at, listing.received_at)
            if listing.is_complete:
                member.instance = instance
                member.is_listed = True
        self._drop_absent(listing.received_at)

    def _drop_absent(self, now: datetime) -> None:
        self._members = {
            name: member
            for name, member in self._members.items()
            if self._is_present(member, now)
        }
        excess = len(self._members) - self._parameters.max_members
        if excess > 0:
            # All processes drop the same members.
            for name in sorted(self._members, key=digest_member)[-excess:]:
                del self._members[name]

    def _is_present(self, member: _Member, now: datetime) -> bool:
        # Members of the last complete list stay while the list is unavailable.
        return (
            member.is_listed
            or now - member.seen_at <= self._parameters.max_absence
        )

    def get_members(self, now: datetime) -> tuple[Instance, ...]:
        """Returns this process and the entries listed or seen lately."""
        members = [self._own]
        for name, member in self._members.items():
            if name != self._own.instance and self._is_present(member, now):
                members.append(self._describe(member))
        return tuple(members)

    def get_first_hand(self, now: datetime) -> tuple[Instance, ...]:
        """Returns the members to name to peers.

        Members that only a peer named are left out, since two processes could
        otherwise keep a member that is gone alive for each other.
        """
        limit = now - self._parameters.max_absence
        return tuple(
            self._describe(member)
            for member in self._members.values()
            if member.is_listed
            or (member.heard_at is not None and member.heard_at >= limit)
        )

    def _describe(self, member: _Member) -> Instance:
        if member.is_leaving == member.instance.leaving:
            return member.instance
        return dataclasses.replace(member.instance, leaving=member.is_leaving)

    def _is_offered(self, name: InstanceId, now: datetime) -> bool:
        # An entry that left the list is offered to callers only while it
        # still sends heartbeats.
        member = self._members.get(name)
        if member is None or member.is_listed:
            return True
        lately = now - 3 * self._parameters.heartbeat_interval
        return member.seen_at >= lately

    def _find_unreachable(self, now: datetime) -> frozenset[InstanceId]:
        return frozenset(
            name
            for name, member in self._members.items()
            if member.avoided_until is not None and member.avoided_until > now
        )

    def choose_links(self, now: datetime) -> Links:
        """Returns the place of this process in the dissemination tree."""
        return choose_links(
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
            caller: What identifies the caller; the same caller gets the same
                addresses while the members stay.
            now: Time of the answer.
            leaving: Entries that drain, this one included if it does.

        Returns:
            Addresses of entries that stay, those of the own zone first. The
            last one is in another zone if there is one, so that a caller that
            loses the zone has somewhere to go. Entries that do not respond
            are used only if no other is left.
        """
        members = [
            member
            for member in self.get_members(now)
            if member.caller_address
            and not member.leaving
            and member.instance not in leaving
            and self._is_offered(member.instance, now)
        ]
        unreachable = self._find_unreachable(now)
        usable = [
            member for member in members if member.instance not in unreachable
        ]
        by_name = {member.instance: member for member in usable or members}
        ranked = [by_name[name] for name in rank_members(caller, by_name)]
        near = [item for item in ranked if item.zone == self._own.zone]
        far = [item for item in ranked if item.zone != self._own.zone]
        count = self._parameters.max_addresses
        chosen = [*near[: count - 1 if far else count], *far][:count]
        return Addresses(
            tuple(member.caller_address for member in chosen),
            self._parameters.address_ttl,
        )
