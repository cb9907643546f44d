"""Requests in progress at each replica, as all entries know them together.

Answers the pattern "several entries fill the same few slots": each entry
counts its own requests and hears the counts of the others.
"""

import collections
from collections.abc import Iterable, Mapping

from chicoryplank.ids import InstanceId

# Counts of an entry that was not heard for this long are dropped, in seconds;
# its callers have gone elsewhere by then.
_MAX_AGE_S = 2.0
# A replica that rejected a request as full counts as full for this long, in
# seconds; a pass of an engine frees a slot in less.
_FULL_S = 0.15


class Occupancy:
    """Counts requests in progress by replica.

    Example:
        >>> occupancy = Occupancy()
        >>> occupancy.begin(InstanceId("a"))
        >>> occupancy.count(InstanceId("a"))
        1
    """

    def __init__(self) -> None:
        self._own: collections.Counter[InstanceId] = collections.Counter()
        self._peers: dict[str, tuple[float, dict[InstanceId, int]]] = {}
        self._others: collections.Counter[InstanceId] = collections.Counter()
        self._full_until: dict[InstanceId, float] = {}

    def begin(self, instance: InstanceId) -> None:
        """Counts an own request that was sent to a replica."""
        self._own[instance] += 1

    def end(self, instance: InstanceId) -> None:
        """Counts the end of an own request."""
        self._own[instance] -= 1
        if self._own[instance] <= 0:
            del self._own[instance]

    def observe_peer(
        self, peer: str, counts: Mapping[InstanceId, int], now_s: float
    ) -> None:
        """Takes the counts of another entry."""
        self._peers[peer] = (now_s, dict(counts))
        self._sum()

    def forget_peers(self, now_s: float) -> None:
        """Drops the counts of entries that are silent."""
        silent = [
            peer
            for peer, (heard_s, _) in self._peers.items()
            if now_s - heard_s > _MAX_AGE_S
        ]
        for peer in silent:
            del self._peers[peer]
        if silent:
            self._sum()

    def observe_full(self, instance: InstanceId, now_s: float) -> None:
        """Takes the statement of a replica that it has no slot left."""
        self._full_until[instance] = now_s + _FULL_S

    def is_refusing(self, instance: InstanceId, now_s: float) -> bool:
        """Whether the replica said a moment ago that it is full."""
        until = self._full_until.get(instance)
        if until is None:
            return False
        if now_s >= until:
            del self._full_until[instance]
            return False
        return True

    def count(self, instance: InstanceId) -> int:
        """Returns the requests in progress at a replica."""
        return self._own[instance] + self._others[instance]

    def count_all(self, instances: Iterable[InstanceId]) -> int:
        """Returns the requests in progress at several replicas."""
        return sum(self.count(instance) for instance in instances)

    def list_own(self) -> dict[InstanceId, int]:
        """Returns the own counts, for the other entries."""
        return dict(self._own)

    def _sum(self) -> None:
        total: collections.Counter[InstanceId] = collections.Counter()
        for _, counts in self._peers.values():
            for instance, count in counts.items():
                total[instance] += count
        self._others = total
