"""The proposed policy: few random choices, affinity and corrected loads."""

import math
import random
from collections.abc import Iterable
from datetime import datetime

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.routing._affinity import (
    PrefixCounter,
    PrefixIndex,
    RendezvousCache,
)
from chicoryplank.routing._fleet import Fleet, Pool
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._replica import Replica, to_seconds
from chicoryplank.routing._types import (
    CacheEvent,
    Candidate,
    LoadReport,
    Policy,
    Report,
    RoutingRequest,
)


def _sample(
    replicas: list[Replica], count: int, source: random.Random
) -> list[Replica]:
    size = len(replicas)
    if size <= count:
        # Equal scores go to the first, so the order differs between entries.
        start = int(source.random() * size)
        return replicas[start:] + replicas[:start]
    # random.sample takes three times as long; a replica drawn twice only
    # narrows the comparison.
    return [replicas[int(source.random() * size)] for _ in range(count)]


class _Balancer:
    """State behind the functions of the balanced policy."""

    def __init__(
        self, zone: ZoneId, parameters: RoutingParameters, source: random.Random
    ) -> None:
        self._parameters = parameters
        self._source = source
        self._fleet = Fleet(zone, parameters)
        self._prefixes = PrefixIndex(
            parameters.max_prefixes, parameters.affinity_ttl.total_seconds()
        )
        self._counter = PrefixCounter()
        self._rendezvous = RendezvousCache(parameters.max_prefixes)

    def choose(
        self,
        request: RoutingRequest,
        candidates: tuple[Candidate, ...],
        now: datetime,
    ) -> InstanceId | None:
        """Returns the replica for a request, or None."""
        moment = to_seconds(now)
        for instance in self._fleet.replace(candidates):
            self._prefixes.forget(instance)
        self._fleet.sweep(moment)
        pool = self._fleet.get_pool(request)
        if not pool.everywhere:
            return None
        bonuses = self._find_affinity(request, pool, moment)
        compared = [*bonuses, *self._draw(pool)]
        choice = self._choose_best(compared, bonuses, request, moment)
        if choice is None:
            choice = self._choose_best(
                pool.everywhere, bonuses, request, moment
            )
        if choice is None:
            return None
        if request.prefix:
            self._prefixes.add(request.prefix, choice.name, moment, False)
        return choice.name

    def _find_affinity(
        self, request: RoutingRequest, pool: Pool, now: float
    ) -> dict[Replica, float]:
        if not request.prefix:
            return {}
        bonus = self._parameters.affinity_bonus
        confirmed = []
        presumed = []
        for instance, is_confirmed in self._prefixes.find(request.prefix, now):
            replica = self._fleet.get(instance)
            if replica in pool.members:
                (confirmed if is_confirmed else presumed).append(replica)
        # Equal scores go to the first. Homes come before replicas of which
        # only this entry presumes that they hold the prefix, since the other
        # entries use the homes too.
        homes = self._draw_homes(request.prefix, pool)
        return dict.fromkeys([*confirmed, *homes, *presumed], bonus)

    def _draw_homes(self, prefix: bytes, pool: Pool) -> list[Replica]:
        # A prefix gets homes in proportion to its share of the requests. Load
        # reports are too late to spread a popular prefix, and entries that
        # know their own share only agree on the homes without messages.
        share = self._counter.count(prefix)
        size = len(pool.everywhere)
        count = min(
            math.ceil(self._parameters.home_factor * share * size) or 1,
            self._parameters.max_homes,
            size,
        )
        homes = self._rendezvous.rank(prefix, pool.everywhere, count)
        if count <= 2:
            return homes[:count]
        return [homes[int(self._source.random() * count)] for _ in range(2)]

    def _draw(self, pool: Pool) -> list[Replica]:
        choices = self._parameters.choices
        if not pool.local or not pool.remote:
            return _sample(pool.everywhere, choices, self._source)
        return [
            *_sample(pool.local, choices, self._source),
            *_sample(pool.remote, max(1, choices // 2), self._source),
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
            score = replica.scale(replica.estimate_load(now) + 1.0, now)
            if not replica.local:
                score += penalty
            if replica in bonuses:
                score -= bonuses[replica]
            if score < best_score:
                best = replica
                best_score = score
        return best

    def observe(self, report: Report) -> None:
        """Takes a report about a known replica; others are ignored."""
        replica = self._fleet.get(report.instance)
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
            self._prefixes.remove(prefix, event.instance)
        for prefix in event.stored:
            self._prefixes.add(prefix, event.instance, now, True)

    def begin(self, instance: InstanceId, cost: float, now: datetime) -> None:
        """Counts a request that was sent."""
        replica = self._fleet.get(instance)
        if replica is not None:
            replica.begin(cost, to_seconds(now))

    def end(
        self,
        instance: InstanceId,
        cost: float,
        now: datetime,
        succeeded: bool | None,
    ) -> None:
        """Counts a request that ended."""
        replica = self._fleet.get(instance)
        if replica is not None:
            replica.end(cost, to_seconds(now), succeeded)


def make_balanced(
    zone: ZoneId, parameters: RoutingParameters, source: random.Random
) -> Policy:
    """Returns the balanced policy for one deployment at one entry.

    Args:
        zone: Availability zone of the entry.
        parameters: Parameters of the policy.
        source: Random numbers for the choices.

    Returns:
        The policy; its functions share state and are not thread-safe.

    References:
        M. Mitzenmacher, "How useful is old information?", IEEE Transactions on
        Parallel and Distributed Systems 11(1), 2000.

    Example:
        >>> policy = make_balanced(
        ...     ZoneId("hall-a"), RoutingParameters(), random.Random(1)
        ... )
    """
    balancer = _Balancer(zone, parameters, source)
    return Policy(
        balancer.choose, balancer.observe, balancer.begin, balancer.end
    )
