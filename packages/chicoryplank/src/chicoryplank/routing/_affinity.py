"""Prefix affinity: which replicas likely have a prompt prefix cached."""

import collections
import heapq
import itertools
from typing import NamedTuple

from chicoryplank.ids import InstanceId
from chicoryplank.routing._replica import Replica

# A very common prefix is cached by many replicas; comparing more of them would
# only lengthen the choice.
_MAX_HOLDERS = 4
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_COUNTED_REQUESTS = 512
# Smallest total that shares refer to; with fewer requests the share of each
# prefix would be greatly overestimated.
_MIN_COUNTED_REQUESTS = 32


class _Holder(NamedTuple):
    generation: int
    expires_at: float
    confirmed: bool


class PrefixIndex:
    """Replicas that hold each prefix, from own requests and cache events.

    Cache events arrive late and may be lost. A gap in the sequence numbers of
    an instance invalidates all records of it, and rendezvous hashing alone
    decides until new events or requests arrive. A wrong record costs one
    prefill and never a wrong response.

    Args:
        max_prefixes: Largest number of prefixes; the least recently used one
            is evicted.
        ttl_s: Time in seconds after which a record expires unless renewed.
    """

    def __init__(self, max_prefixes: int, ttl_s: float) -> None:
        self._max_prefixes = max_prefixes
        self._ttl_s = ttl_s
        self._prefixes: collections.OrderedDict[
            bytes, dict[InstanceId, _Holder]
        ] = collections.OrderedDict()
        self._sequences: dict[InstanceId, int] = {}
        self._generations: dict[InstanceId, int] = {}
        self._generation_counter = itertools.count()

    def add_holder(
        self, prefix: bytes, instance: InstanceId, now: float, confirmed: bool
    ) -> None:
        """Records that an instance has a prefix in its cache, or renews it.

        Args:
            prefix: Digest of the prefix.
            instance: The backend server.
            now: Time of the event or request, in seconds.
            confirmed: Whether a cache event reported it; False if it is only
                presumed because this entry sent a request there.
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

    def remove_holder(self, prefix: bytes, instance: InstanceId) -> None:
        """Records that an instance evicted a prefix from its cache."""
        self._prefixes.get(prefix, {}).pop(instance, None)

    def check_sequence(self, instance: InstanceId, sequence: int) -> bool:
        """Returns whether an event is new; a gap invalidates older records."""
        last = self._sequences.get(instance)
        if last is not None and sequence <= last:
            return False
        if last is not None and sequence > last + 1:
            self._begin_generation(instance)
        self._sequences[instance] = sequence
        return True

    def find_holders(
        self, prefix: bytes, now: float
    ) -> list[tuple[InstanceId, bool]]:
        """Returns probable holders, and whether each is confirmed."""
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

    def remove_instance(self, instance: InstanceId) -> None:
        """Drops the records of an instance that left the deployment."""
        self._sequences.pop(instance, None)
        self._generations.pop(instance, None)

    def _begin_generation(self, instance: InstanceId) -> int:
        generation = next(self._generation_counter)
        self._generations[instance] = generation
        return generation


class PrefixCounter:
    """Counts how common each prefix is among recent requests.

    Args:
        window: Requests after which all counts are halved, so that the weight
            of old requests decays; it also bounds the number of prefixes.
    """

    def __init__(self, window: int = _COUNTED_REQUESTS) -> None:
        self._window = window
        self._counts: dict[bytes, float] = {}
        self._total = 0.0

    def count(self, prefix: bytes) -> float:
        """Counts a request and returns its prefix's share of all requests.

        A prefix that was seen only once has the share 0, since one request
        does not show how common it is.
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
    """Caches the preferred replicas of each prefix by rendezvous hashing.

    Ranking a few hundred replicas takes longer than all other steps of a
    choice, so the result is cached until the set of replicas changes.

    Args:
        max_prefixes: Prefixes after which the cache is cleared.
    """

    def __init__(self, max_prefixes: int) -> None:
        self._max_prefixes = max_prefixes
        self._preferred: dict[bytes, list[Replica]] = {}
        self._replicas: list[Replica] = []

    def get_preferred(
        self, prefix: bytes, replicas: list[Replica], count: int
    ) -> list[Replica]:
        """Returns the replicas with the lowest scores for a prefix.

        Args:
            prefix: Digest of the prefix.
            replicas: Replicas in service, not empty. The cache is cleared
                when this is another list object than before.
            count: Number of preferred replicas that are needed.

        Returns:
            At least `count` replicas, or all if there are fewer, in ascending
            order of their scores.
        """
        if replicas is not self._replicas:
            self._replicas = replicas
            self._preferred.clear()
        preferred = self._preferred.get(prefix)
        if preferred is None or len(preferred) < min(count, len(replicas)):
            if len(self._preferred) >= self._max_prefixes:
                self._preferred.clear()
            # Both digests are already uniform, so one multiplication spreads
            # the scores as evenly as the two in chicoryplank.rendezvous and
            # takes half of the time.
            target = int.from_bytes(prefix[:8])
            scores = {
                ((target ^ replica.key) * _MULTIPLIER) & _MASK: replica
                for replica in replicas
            }
            # Twice the count, so that a growing count rarely needs a new
            # ranking.
            lowest = heapq.nsmallest(2 * count, scores)
            preferred = [scores[score] for score in lowest]
            self._preferred[prefix] = preferred
        return preferred
