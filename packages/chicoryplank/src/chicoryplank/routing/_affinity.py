"""Which replicas hold a prompt prefix in their cache."""

import collections
import heapq
import itertools
from typing import NamedTuple

from chicoryplank.ids import InstanceId
from chicoryplank.routing._replica import Replica

# The holders of a very common prefix are many; more are not compared.
_MAX_HOLDERS = 4
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_COUNTED_REQUESTS = 512
# Shares of fewer requests would be far too large.
_MIN_COUNTED_REQUESTS = 32


class _Holder(NamedTuple):
    generation: int
    expires_at: float
    confirmed: bool


class PrefixIndex:
    """Holders of prefixes, from own requests and from cache events.

    Events are late and may be lost. After a gap in the sequence of an instance
    nothing that was known of it counts any more, and rendezvous hashing alone
    decides until new events or requests arrive. A wrong entry costs one
    prefill and never a wrong response.

    Args:
        max_prefixes: Prefixes that are kept; the least recently used goes.
        ttl_s: How long a holder counts without news, in seconds.
    """

    def __init__(self, max_prefixes: int, ttl_s: float) -> None:
        self._max_prefixes = max_prefixes
        self._ttl_s = ttl_s
        self._prefixes: collections.OrderedDict[
            bytes, dict[InstanceId, _Holder]
        ] = collections.OrderedDict()
        self._sequences: dict[InstanceId, int] = {}
        self._generations: dict[InstanceId, int] = {}
        self._counter = itertools.count()

    def add(
        self, prefix: bytes, instance: InstanceId, now: float, confirmed: bool
    ) -> None:
        """Records that an instance has a prefix in its cache.

        Args:
            prefix: Digest of the prefix.
            instance: The backend server.
            now: Time of the news.
            confirmed: Whether an event says so, not only an own request.
        """
        holders = self._prefixes.setdefault(prefix, {})
        self._prefixes.move_to_end(prefix)
        generation = self._generations.get(instance)
        if generation is None:
            generation = self._begin_generation(instance)
        known = holders.pop(instance, None)
        if known is not None and known.generation == generation:
            confirmed = confirmed or known.confirmed
        holders[instance] = _Holder(generation, now + self._ttl_s, confirmed)
        if len(holders) > _MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self._prefixes) > self._max_prefixes:
            self._prefixes.popitem(last=False)

    def remove(self, prefix: bytes, instance: InstanceId) -> None:
        """Records that an instance dropped a prefix."""
        self._prefixes.get(prefix, {}).pop(instance, None)

    def check_sequence(self, instance: InstanceId, sequence: int) -> bool:
        """Returns whether an event is new; a gap ends what was known."""
        last = self._sequences.get(instance)
        if last is not None and sequence <= last:
            return False
        if last is not None and sequence > last + 1:
            self._begin_generation(instance)
        self._sequences[instance] = sequence
        return True

    def find(self, prefix: bytes, now: float) -> list[tuple[InstanceId, bool]]:
        """Returns probable holders, and whether an event confirmed each."""
        holders = self._prefixes.get(prefix)
        if not holders:
            return []
        generations = self._generations
        return [
            (instance, holder.confirmed)
            for instance, holder in holders.items()
            if holder.expires_at > now
            and generations.get(instance) == holder.generation
        ]

    def forget(self, instance: InstanceId) -> None:
        """Drops what is known of an instance that is gone."""
        self._sequences.pop(instance, None)
        self._generations.pop(instance, None)

    def _begin_generation(self, instance: InstanceId) -> int:
        generation = next(self._counter)
        self._generations[instance] = generation
        return generation


class PrefixCounter:
    """Share of recent requests that have a prefix.

    Args:
        window: Requests after which all counts are halved, so that old ones
            fade; it also bounds the number of prefixes.
    """

    def __init__(self, window: int = _COUNTED_REQUESTS) -> None:
        self._window = window
        self._counts: dict[bytes, float] = {}
        self._total = 0.0

    def count(self, prefix: bytes) -> float:
        """Counts a request and returns the share of its prefix.

        A prefix that was seen once has the share 0, since one request says
        nothing about how common it is.
        """
        if self._total >= self._window:
            self._counts = {
                key: value / 2
                for key, value in self._counts.items()
                if value >= 1
            }
            self._total = sum(self._counts.values())
        count = self._counts.get(prefix, 0.0) + 1.0
        self._counts[prefix] = count
        self._total += 1.0
        if count <= 1.5:
            return 0.0
        return count / max(self._total, _MIN_COUNTED_REQUESTS)


class RendezvousCache:
    """First choices of each prefix among the replicas in service.

    The ranking of a few hundred replicas takes longer than the rest of a
    choice, so it is kept until the replicas change.

    Args:
        max_prefixes: Prefixes that are kept.
    """

    def __init__(self, max_prefixes: int) -> None:
        self._max_prefixes = max_prefixes
        self._homes: dict[bytes, list[Replica]] = {}
        self._replicas: list[Replica] = []

    def rank(
        self, prefix: bytes, replicas: list[Replica], count: int
    ) -> list[Replica]:
        """Returns the replicas with the lowest scores for a prefix.

        Args:
            prefix: Digest of the prefix.
            replicas: Not empty; the same list object until they change.
            count: How many are needed.

        Returns:
            At least that many, if there are, in the order of their scores.
        """
        if replicas is not self._replicas:
            self._replicas = replicas
            self._homes.clear()
        homes = self._homes.get(prefix)
        if homes is None or len(homes) < min(count, len(replicas)):
            if len(self._homes) >= self._max_prefixes:
                self._homes.clear()
            # One multiplication spreads as evenly as the full mix here, since
            # both sides are uniform, and takes half of the time.
            target = int.from_bytes(prefix[:8])
            scores = {
                ((target ^ replica.key) * _MULTIPLIER) & _MASK: replica
                for replica in replicas
            }
            # Twice the count, so that a growing count seldom ranks again.
            lowest = heapq.nsmallest(2 * count, scores)
            homes = [scores[score] for score in lowest]
            self._homes[prefix] = homes
        return homes
