"""Which replicas hold a prompt prefix in their cache."""

import collections
import itertools

from chicoryplank.ids import InstanceId
from chicoryplank.rendezvous import mix
from chicoryplank.routing._replica import Replica

# The holders of a very common prefix are many; more are not compared.
_MAX_HOLDERS = 4


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
        self._holders: collections.OrderedDict[
            bytes, dict[InstanceId, tuple[int, float]]
        ] = collections.OrderedDict()
        self._sequences: dict[InstanceId, int] = {}
        self._generations: dict[InstanceId, int] = {}
        self._counter = itertools.count()

    def add(self, prefix: bytes, instance: InstanceId, now: float) -> None:
        """Records that an instance has a prefix in its cache."""
        holders = self._holders.setdefault(prefix, {})
        self._holders.move_to_end(prefix)
        holders.pop(instance, None)
        generation = self._generations.get(instance)
        if generation is None:
            generation = self._begin_generation(instance)
        holders[instance] = (generation, now + self._ttl_s)
        if len(holders) > _MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def remove(self, prefix: bytes, instance: InstanceId) -> None:
        """Records that an instance dropped a prefix."""
        self._holders.get(prefix, {}).pop(instance, None)

    def check_sequence(self, instance: InstanceId, sequence: int) -> bool:
        """Returns whether an event is new; a gap ends what was known."""
        last = self._sequences.get(instance)
        if last is not None and sequence <= last:
            return False
        if last is not None and sequence > last + 1:
            self._begin_generation(instance)
        self._sequences[instance] = sequence
        return True

    def find(self, prefix: bytes, now: float) -> list[InstanceId]:
        """Returns the instances that probably hold a prefix."""
        holders = self._holders.get(prefix)
        if not holders:
            return []
        generations = self._generations
        return [
            instance
            for instance, (generation, expires_at) in holders.items()
            if expires_at > now and generations.get(instance) == generation
        ]

    def forget(self, instance: InstanceId) -> None:
        """Drops what is known of an instance that is gone."""
        self._sequences.pop(instance, None)
        self._generations.pop(instance, None)

    def _begin_generation(self, instance: InstanceId) -> int:
        generation = next(self._counter)
        self._generations[instance] = generation
        return generation


class RendezvousCache:
    """First choice of each prefix among the replicas in service.

    The ranking of a few hundred replicas takes longer than the rest of a
    choice, so it is kept until the replicas change.

    Args:
        max_prefixes: Prefixes that are kept.
    """

    def __init__(self, max_prefixes: int) -> None:
        self._max_prefixes = max_prefixes
        self._choices: dict[bytes, Replica] = {}
        self._replicas: list[Replica] = []

    def choose(self, prefix: bytes, replicas: list[Replica]) -> Replica:
        """Returns the replica with the lowest score for a prefix.

        Args:
            prefix: Digest of the prefix.
            replicas: Not empty; the same list object until they change.
        """
        if replicas is not self._replicas:
            self._replicas = replicas
            self._choices.clear()
        choice = self._choices.get(prefix)
        if choice is None:
            if len(self._choices) >= self._max_prefixes:
                self._choices.clear()
            target = int.from_bytes(prefix[:8])
            choice = min(replicas, key=lambda item: mix(target, item.key))
            self._choices[prefix] = choice
        return choice
