"""Requests by class of the services whose routes have several priorities.

Entries send these counts along with the counts by replica, directly or through
the hubs. Without such a service nothing is sent.
"""

import collections
from collections.abc import Iterable, Mapping

from chicoryplank.admission import ClassCount
from chicoryplank.ids import InstanceId, ServiceId

# Age in seconds after which the counts of another entry are dropped, as for the
# counts by replica.
_MAX_AGE_S = 2.0

# Requests in progress and waiting, by service and class.
ClassKey = tuple[ServiceId, int, bool]
Counts = collections.Counter[ClassKey]


class ClassCounts:
    """Counts requests by service and class over all entries.

    Example:
        >>> counts = ClassCounts()
        >>> counts.begin(ServiceId("s"), 1)
        >>> found = counts.count(ServiceId("s"), [0, 1], 4, is_alone=False)
        >>> found[1].in_progress
        1
    """

    def __init__(self) -> None:
        self._own: Counts = collections.Counter()
        self._peers: dict[str, tuple[float, Counts]] = {}

    def begin(
        self, service: ServiceId, priority: int, *, is_waiting: bool = False
    ) -> None:
        """Counts a request of this entry that begins or waits."""
        self._own[service, priority, is_waiting] += 1

    def end(
        self, service: ServiceId, priority: int, *, is_waiting: bool = False
    ) -> None:
        """Counts the end of a request, or of its wait."""
        key = (service, priority, is_waiting)
        self._own[key] -= 1
        if self._own[key] <= 0:
            del self._own[key]

    def get_own(self) -> Counts:
        """Returns the counts of this entry alone."""
        return self._own.copy()

    def observe_peer(self, peer: str, counts: Counts, now_s: float) -> None:
        """Replaces the counts last received from another entry."""
        if counts or peer in self._peers:
            self._peers[peer] = (now_s, counts)

    def expire_peers(self, now_s: float) -> None:
        """Drops the counts of entries that sent none for a long time."""
        for peer in [
            peer
            for peer, (received_s, _) in self._peers.items()
            if now_s - received_s > _MAX_AGE_S
        ]:
            del self._peers[peer]

    def count(
        self,
        service: ServiceId,
        priorities: Iterable[int],
        entries: int,
        *,
        is_alone: bool,
    ) -> dict[int, ClassCount]:
        """Returns the requests of all entries by class.

        Args:
            service: The service.
            priorities: Its classes.
            entries: Last known number of entries.
            is_alone: Whether no other entry is heard. Its own counts then
                stand for those of the others.
        """
        factor = entries if is_alone else 1
        return {
            priority: ClassCount(
                self._sum((service, priority, False)) * factor,
                self._sum((service, priority, True)) * factor,
            )
            for priority in priorities
        }

    def _sum(self, key: ClassKey) -> int:
        others = sum(counts[key] for _, counts in self._peers.values())
        return self._own[key] + others


def encode_classes(
    counts: Mapping[ClassKey, int],
) -> dict[str, dict[str, list]]:
    """Returns the field `classes` of a datagram: by service and class.

    Example:
        >>> encode_classes({(ServiceId("s"), 1, False): 3})
        {'s': {'1': [3, 0]}}
    """
    document: dict[str, dict[str, list]] = {}
    for (service, priority, is_waiting), count in counts.items():
        pair = document.setdefault(service, {}).setdefault(
            str(priority), [0, 0]
        )
        pair[is_waiting] = count
    return document


def decode_classes(document: Mapping) -> Counts:
    """Decodes the field `classes` of a datagram.

    Raises:
        ValueError, TypeError, AttributeError: If it is malformed.
    """
    counts: Counts = collections.Counter()
    for service, classes in document.items():
        for priority, (in_progress, waiting) in classes.items():
            for is_waiting, count in ((False, in_progress), (True, waiting)):
                if int(count) < 0:
                    raise ValueError(f"{count} is not a number of requests")
                if count:
                    key = (ServiceId(service), int(priority), is_waiting)
                    counts[key] = int(count)
    return counts


def split_counts(
    counts: Mapping[InstanceId | ClassKey, int],
) -> tuple[dict[InstanceId, int], Counts]:
    """Separates the counts by replica from those by class."""
    by_class: Counts = collections.Counter()
    by_replica = {}
    for key, count in counts.items():
        if isinstance(key, tuple):
            by_class[key] = count
        else:
            by_replica[key] = count
    return by_replica, by_class
