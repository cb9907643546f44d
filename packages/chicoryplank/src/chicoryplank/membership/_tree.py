"""The dissemination tree, derived from a list of members.

Zones are ranked by the digest of their name and the entries of a zone by the
digest of their id. Both ranks are the same in every process. A parent always
ranks lower than its child, in a lower zone or in the same one, so parents form
no cycle even if processes know different members, and every chain of parents
ends at an entry that watches the store.
"""

import dataclasses
from collections.abc import Iterable

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.process_state import Instance
from chicoryplank.rendezvous import digest_member, rank_members

_ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """What an entry does in the dissemination tree.

    Attributes:
        watches_store: Whether it watches the root document in the store.
        parent: Entry that it sends heartbeats to; None at the root.
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


def _find_parent_position(position: int, fan_out: int) -> int:
    # The first entry serves its zone and the second one the first entries of
    # other zones, so that none has more than fan_out children.
    if position <= fan_out:
        return 0
    return (position - fan_out - 1) // fan_out + 2


def choose_links(
    own: Instance,
    members: Iterable[Instance],
    unreachable: frozenset[InstanceId],
    fan_out: int = 8,
    watchers_per_zone: int = 2,
) -> Links:
    """Returns the place of an entry in the dissemination tree.

    Args:
        own: The entry that asks.
        members: Members that it knows; others than entries are ignored.
        unreachable: Members that it cannot reach now.
        fan_out: Most children of an entry, if all know the same members.
        watchers_per_zone: Entries of each zone that watch the store.

    Returns:
        The links. Entries that are leaving get no children, but keep a parent.

    Example:
        >>> entry = Instance(InstanceId("e1"), "entry", ZoneId("a"), "h:1")
        >>> choose_links(entry, [], frozenset())
        Links(watches_store=True, parent=None)
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
    zone_position = names.index(own.zone)
    siblings = zones[zone_position][1]
    position = siblings.index(own.instance)
    watches = position < watchers_per_zone
    if position > 0:
        parent_position = _find_parent_position(position, fan_out)
        return Links(watches, siblings[parent_position])
    if zone_position == 0:
        return Links(True, None)
    above = zones[(zone_position - 1) // fan_out][1]
    return Links(True, above[min(1, len(above) - 1)])


def choose_sources(
    agent: InstanceId,
    entries: Iterable[InstanceId],
    unreachable: frozenset[InstanceId] = frozenset(),
    count: int = 1,
) -> tuple[InstanceId, ...]:
    """Returns the entries that tell an agent about new versions.

    Every message on a relay stream carries the version. Beyond that only the
    sources announce a new one, since an announcement on each of the hundreds
    of streams of an entry would exceed its budget.

    Args:
        agent: The agent.
        entries: Entries that are connected to it.
        unreachable: Entries that do not respond.
        count: Number of sources.
    """
    usable = [entry for entry in entries if entry not in unreachable]
    return tuple(rank_members(agent, usable)[:count])
