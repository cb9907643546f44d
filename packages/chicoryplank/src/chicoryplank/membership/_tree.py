"""The dissemination tree, derived from a list of members.

Availability zones are ordered by the digest of their name, and the entries of a
zone by the digest of their id, so that every process computes the same order.
The parent of an entry always comes before it in this order: it is in an earlier
zone or earlier in the same zone. Parents therefore form no cycle, even if
processes know different members, and every chain of parents ends at an entry
that watches the store.
"""

import dataclasses
from collections.abc import Iterable

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.process_state import Instance
from chicoryplank.rendezvous import digest_member, rank_members

_ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class TreePosition:
    """Position of an entry in the dissemination tree.

    Attributes:
        watches_store: Whether the entry watches the root document in the
            store.
        parent: Entry that receives its heartbeats; None at the root.
    """

    watches_store: bool
    parent: InstanceId | None


def _group_by_zone(
    entries: Iterable[Instance],
) -> list[tuple[ZoneId, list[InstanceId]]]:
    zones: dict[ZoneId, list[InstanceId]] = {}
    for entry in entries:
        zones.setdefault(entry.zone, []).append(entry.instance)
    for members in zones.values():
        members.sort(key=lambda name: (digest_member(name), name))
    return sorted(
        zones.items(), key=lambda item: (digest_member(item[0]), item[0])
    )


def _find_parent_index(index: int, fan_out: int) -> int:
    # The second entry (index 1) gets no children from its own zone: it is the
    # parent of the first entries of other zones. So no entry has more than
    # fan_out children.
    if index <= fan_out:
        return 0
    return (index - fan_out - 1) // fan_out + 2


def choose_tree_position(
    own: Instance,
    members: Iterable[Instance],
    unreachable: frozenset[InstanceId],
    fan_out: int = 8,
    watchers_per_zone: int = 2,
) -> TreePosition:
    """Returns the position of an entry in the dissemination tree.

    Args:
        own: The entry whose position is computed.
        members: Members that the entry knows; those with another role than
            "entry" are ignored.
        unreachable: Members that the entry cannot reach at present.
        fan_out: Maximum number of children of an entry, provided that all
            entries know the same members.
        watchers_per_zone: Number of entries in each zone that watch the store.

    Returns:
        The position. An entry that is leaving has a parent, but is chosen as
        parent by no other entry.

    Example:
        >>> entry = Instance(InstanceId("e1"), "entry", ZoneId("a"), "h:1")
        >>> choose_tree_position(entry, [], frozenset())
        TreePosition(watches_store=True, parent=None)
    """
    usable = {
        member.instance: member
        for member in members
        if member.role == _ENTRY
        and not member.leaving
        and member.instance not in unreachable
    }
    usable[own.instance] = own
    zones = _group_by_zone(usable.values())
    names = [zone for zone, _ in zones]
    zone_index = names.index(own.zone)
    zone_entries = zones[zone_index][1]
    index = zone_entries.index(own.instance)
    watches = index < watchers_per_zone
    if index > 0:
        parent_index = _find_parent_index(index, fan_out)
        return TreePosition(watches, zone_entries[parent_index])
    if zone_index == 0:
        return TreePosition(True, None)
    parent_zone = zones[(zone_index - 1) // fan_out][1]
    return TreePosition(True, parent_zone[min(1, len(parent_zone) - 1)])


def choose_version_sources(
    agent: InstanceId,
    entries: Iterable[InstanceId],
    unreachable: frozenset[InstanceId] = frozenset(),
    count: int = 1,
) -> tuple[InstanceId, ...]:
    """Returns the entries that announce new configuration versions to an agent.

    Every message on a relay stream carries the version that its sender uses.
    In addition, only the entries returned here send a message when the version
    changes: an announcement on each of the hundreds of streams of an entry
    would exceed the resource budget of the entry.

    Args:
        agent: The agent that receives the announcements.
        entries: Entries that are connected to the agent.
        unreachable: Entries that do not respond.
        count: Maximum number of entries to return.
    """
    usable = [entry for entry in entries if entry not in unreachable]
    return tuple(rank_members(agent, usable)[:count])
