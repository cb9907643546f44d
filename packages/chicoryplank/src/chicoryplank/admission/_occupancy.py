"""In-flight requests of each replica, summed over all entries.

Prevents several entries from filling the same few slots at once: each entry
counts its own requests and receives the counts of the other entries.
"""

import collections
from collections.abc import Iterable, Mapping

from chicoryplank.ids import InstanceId

# Age in seconds after which the counts of an entry are dropped. The callers of
# an entry that has been silent for this long have switched to another one.
_PEER_MAX_AGE_S = 2.0


class Occupancy:
    """Counts the in-flight requests of each replica.

    The counts of other entries arrive late, so the total is an estimate.

    Example:
        >>> occupancy = Occupancy()
        >>> occupancy.begin(InstanceId("a"))
        >>> occupancy.count(InstanceId("a"))
        1
    """

    def __init__(self) -> None:
        self._own_counts: collections.Counter[InstanceId] = (
            collections.Counter()
        )
        self._peer_counts: dict[str, tuple[float, dict[InstanceId, int]]] = {}
        self._peer_total: collections.Counter[InstanceId] = (
            collections.Counter()
        )

    def begin(self, instance: InstanceId) -> None:
        """Counts a request that this entry sent to a replica."""
        self._own_counts[instance] += 1

    def end(self, instance: InstanceId) -> None:
        """Counts the end of a request that this entry sent."""
        self._own_counts[instance] -= 1
        if self._own_counts[instance] <= 0:
            del self._own_counts[instance]

    def discard(self, instance: InstanceId) -> int:
        """Discards the requests of a replica that has restarted.

        Returns:
            Number of requests of this entry that were discarded.
        """
        for _, counts in self._peer_counts.values():
            counts.pop(instance, None)
        self._peer_total.pop(instance, None)
        return self._own_counts.pop(instance, 0)

    def observe_peer(
        self, peer: str, counts: Mapping[InstanceId, int], now_s: float
    ) -> None:
        """Replaces the counts last received from another entry."""
        self._peer_counts[peer] = (now_s, dict(counts))
        self._sum_peers()

    def expire_peers(self, now_s: float) -> None:
        """Drops the counts of entries that sent none for a long time."""
        silent = [
            peer
            for peer, (received_s, _) in self._peer_counts.items()
            if now_s - received_s > _PEER_MAX_AGE_S
        ]
        for peer in silent:
            del self._peer_counts[peer]
        if silent:
            self._sum_peers()

    @property
    def has_peers(self) -> bool:
        """Whether counts of any other entry were received recently."""
        return bool(self._peer_counts)

    def count(self, instance: InstanceId) -> int:
        """Returns the in-flight requests of a replica from all entries."""
        return self._own_counts[instance] + self._peer_total[instance]

    def count_total(self, instances: Iterable[InstanceId]) -> int:
        """Returns the sum of the in-flight requests of several replicas."""
        return sum(self.count(instance) for instance in instances)

    def get_own_counts(self) -> dict[InstanceId, int]:
        """Returns the counts of this entry alone, to be sent to the others."""
        return dict(self._own_counts)

    def _sum_peers(self) -> None:
        total: collections.Counter[InstanceId] = collections.Counter()
        for _, counts in self._peer_counts.values():
            for instance, count in counts.items():
                total[instance] += count
        self._peer_total = total
