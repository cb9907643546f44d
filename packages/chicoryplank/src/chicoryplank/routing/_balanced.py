"""Routing policy with random choices, prefix affinity and load estimates.

The policy compares a few random replicas and those that likely have the prompt
prefix cached, and takes the one with the lowest estimated load.
"""

import math
import random
from collections.abc import Callable, Iterable
from datetime import datetime

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.routing._affinity import (
    PrefixCounter,
    PrefixIndex,
    RendezvousCache,
)
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._replica import Replica, to_seconds
from chicoryplank.routing._replica_index import Pool, ReplicaIndex
from chicoryplank.routing._types import (
    CacheEvent,
    Candidate,
    LoadReport,
    Policy,
    Report,
    RoutingRequest,
)


def _sample(
    replicas: list[Replica], count: int, rng: random.Random
) -> list[Replica]:
    size = len(replicas)
    if size <= count:
        # Ties go to the first replica. A random start keeps entries from all
        # choosing the same one.
        start = int(rng.random() * size)
        return replicas[start:] + replicas[:start]
    # random.sample takes three times as long. A replica drawn twice only means
    # that fewer are compared.
    return [replicas[int(rng.random() * size)] for _ in range(count)]


class _BalancedPolicy:
    """Implementation of the balanced policy; see make_balanced_policy."""

    def __init__(
        self,
        zone: ZoneId,
        parameters: RoutingParameters,
        rng: random.Random,
        on_returned: Callable[[InstanceId], None],
    ) -> None:
        self._parameters = parameters
        self._rng = rng
        self._replica_index = ReplicaIndex(zone, parameters, on_returned)
        self._prefixes = PrefixIndex(
            parameters.max_prefixes, parameters.affinity_ttl.total_seconds()
        )
        self._prefix_counter = PrefixCounter()
        self._rendezvous_cache = RendezvousCache(parameters.max_prefixes)

    def choose(
        self,
        request: RoutingRequest,
        candidates: tuple[Candidate, ...],
        now: datetime,
    ) -> InstanceId | None:
        """Returns the replica for a request, or None if there is none."""
        now_s = to_seconds(now)
        for instance in self._replica_index.set_candidates(candidates):
            self._prefixes.remove_instance(instance)
        self._replica_index.update_ejections(now_s)
        pool = self._replica_index.get_pool(request)
        if not pool.replicas:
            return None
        bonuses = self._find_affinity_bonuses(request, pool, now_s)
        compared = [*bonuses, *self._sample_pool(pool)]
        choice = self._choose_best(compared, bonuses, request, now_s)
        if choice is None:
            choice = self._choose_best(pool.replicas, bonuses, request, now_s)
        if choice is None:
            return None
        if request.prefix:
            self._prefixes.add_holder(request.prefix, choice.name, now_s, False)
        return choice.name

    def _find_affinity_bonuses(
        self, request: RoutingRequest, pool: Pool, now: float
    ) -> dict[Replica, float]:
        if not request.prefix:
            return {}
        bonus = self._parameters.affinity_bonus
        confirmed = []
        presumed = []
        for instance, is_confirmed in self._prefixes.find_holders(
            request.prefix, now
        ):
            replica = self._replica_index.get(instance)
            if replica in pool.members:
                (confirmed if is_confirmed else presumed).append(replica)
        # Ties go to the first replica. Preferred replicas come before those
        # that only this entry presumes to hold the prefix, since the other
        # entries choose the preferred ones too.
        preferred = self._choose_preferred(request.prefix, pool)
        return dict.fromkeys([*confirmed, *preferred, *presumed], bonus)

    def _choose_preferred(self, prefix: bytes, pool: Pool) -> list[Replica]:
        # The number of preferred replicas is proportional to the prefix's
        # share of the requests. Load reports arrive too late to spread a
        # popular prefix. Rendezvous hashing lets entries agree on the replicas
        # without messages, although each knows only its own share.
        share = self._prefix_counter.count(prefix)
        size = len(pool.replicas)
        count = min(
            math.ceil(self._parameters.home_factor * share * size) or 1,
            self._parameters.max_homes,
            size,
        )
        preferred = self._rendezvous_cache.get_preferred(
            prefix, pool.replicas, count
        )
        if count <= 2:
            return preferred[:count]
        return [preferred[int(self._rng.random() * count)] for _ in range(2)]

    def _sample_pool(self, pool: Pool) -> list[Replica]:
        choices = self._parameters.choices
        if not pool.local or not pool.remote:
            return _sample(pool.replicas, choices, self._rng)
        return [
            *_sample(pool.local, choices, self._rng),
            *_sample(pool.remote, max(1, choices // 2), self._rng),
        ]

    def _choose_best(
        self,
        replicas: Iterable[Replica],
        bonuses: dict[Replica, float],
        request: RoutingRequest,
        now: float,
    ) -> Replica | None:
        penalty = self._parameters.zone_penalty
        best = None
        best_score = float("inf")
        for replica in replicas:
            if replica.name in request.excluded:
                continue
            score = replica.scale_load(replica.estimate_load(now) + 1.0, now)
            if not replica.local:
                score += penalty
            if replica in bonuses:
                score -= bonuses[replica]
            if score < best_score:
                best = replica
                best_score = score
        return best

    def observe(self, report: Report) -> None:
        """Updates the state of a replica; unknown replicas are ignored."""
        replica = self._replica_index.get(report.instance)
        if replica is None:
            return
        if isinstance(report, LoadReport):
            replica.observe_load(report)
        elif isinstance(report, CacheEvent):
            self._observe_cache(report)
        else:
            replica.observe_progress(to_seconds(report.received_at))

    def _observe_cache(self, event: CacheEvent) -> None:
        if not self._prefixes.check_sequence(event.instance, event.sequence):
            return
        now = to_seconds(event.received_at)
        for prefix in event.removed:
            self._prefixes.remove_holder(prefix, event.instance)
        for prefix in event.stored:
            self._prefixes.add_holder(prefix, event.instance, now, True)

    def begin(self, instance: InstanceId, cost: float, now: datetime) -> None:
        """Adds the cost of a request that was sent to a replica."""
        replica = self._replica_index.get(instance)
        if replica is not None:
            replica.begin(cost, to_seconds(now))

    def end(
        self,
        instance: InstanceId,
        cost: float,
        now: datetime,
        succeeded: bool | None,
    ) -> None:
        """Removes the cost of a request that ended at a replica."""
        replica = self._replica_index.get(instance)
        if replica is not None:
            replica.end(cost, to_seconds(now), succeeded)


def make_balanced_policy(
    zone: ZoneId,
    parameters: RoutingParameters,
    rng: random.Random,
    on_returned: Callable[[InstanceId], None] = lambda instance: None,
) -> Policy:
    """Returns the balanced policy for one deployment at one entry.

    Args:
        zone: Availability zone of the entry.
        parameters: Parameters of the policy.
        rng: Random number generator for the choices.
        on_returned: Called with a replica that returns from an ejection.

    Returns:
        The policy; its functions share state and are not thread-safe.

    References:
        M. Mitzenmacher, "How useful is old information?", IEEE Transactions on
        Parallel and Distributed Systems 11(1), 2000.

    Example:
        >>> policy = make_balanced_policy(
        ...     ZoneId("hall-a"), RoutingParameters(), random.Random(1)
        ... )
    """
    policy = _BalancedPolicy(zone, parameters, rng, on_returned)
    return Policy(policy.choose, policy.observe, policy.begin, policy.end)
