"""The replicas of a deployment: which are in service, and in which zone."""

import dataclasses

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._replica import Replica
from chicoryplank.routing._types import (
    Candidate,
    RoutingRequest,
    is_eligible,
)

# Pools are few (roles times adapters); requests for adapters that nobody has
# must not fill the memory.
_MAX_POOLS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Replicas in service that fit a role and an adapter."""

    everywhere: list[Replica]
    members: frozenset[Replica]
    local: list[Replica]
    remote: list[Replica]


class Fleet:
    """Keeps the state of replicas and an index of those in service.

    Args:
        zone: Availability zone of this entry.
        parameters: Parameters of the policy.
    """

    def __init__(self, zone: ZoneId, parameters: RoutingParameters) -> None:
        self._zone = zone
        self._parameters = parameters
        self._interval_s = parameters.sweep_interval.total_seconds()
        self._candidates: tuple[Candidate, ...] = ()
        self._replicas: dict[InstanceId, Replica] = {}
        self._pools: dict[tuple[str, str], Pool] = {}
        self._swept_at = float("-inf")
        self._sweepable: list[Replica] = []
        self._ejected: set[InstanceId] | None = None

    def get(self, instance: InstanceId) -> Replica | None:
        """Returns the state of a replica, if it is known."""
        return self._replicas.get(instance)

    def replace(self, candidates: tuple[Candidate, ...]) -> list[InstanceId]:
        """Takes a new list of candidates and returns those that are gone.

        A replica that is gone while own requests run there is kept until they
        end, so that its counts are right if it comes back.
        """
        if candidates is self._candidates:
            return []
        self._candidates = candidates
        self._pools.clear()
        self._swept_at = float("-inf")
        for candidate in candidates:
            replica = self._replicas.get(candidate.instance)
            if replica is None:
                replica = Replica(candidate, self._parameters)
                self._replicas[candidate.instance] = replica
            replica.candidate = candidate
            replica.local = candidate.zone == self._zone
        self._sweepable = [
            self._replicas[candidate.instance]
            for candidate in candidates
            if not candidate.leaving
        ]
        # The next sweep compares with the state of each replica.
        self._ejected = None
        names = {candidate.instance for candidate in candidates}
        gone = [
            name
            for name, replica in self._replicas.items()
            if name not in names and replica.in_flight == 0
        ]
        for name in gone:
            del self._replicas[name]
        return gone

    def sweep(self, now: float) -> None:
        """Ejects replicas with faults, those that failed longest first.

        The number of ejected replicas is bounded, since a fault that all seem
        to have is more likely one of this entry or of the network.
        """
        if now - self._swept_at < self._interval_s:
            return
        self._swept_at = now
        faults = []
        for replica in self._sweepable:
            # Most replicas of a large deployment are idle for this entry.
            if replica.in_flight == 0 and replica.fault_since is None:
                continue
            since = replica.find_fault_time(now)
            if since is not None:
                faults.append((since, replica.name))
        faults.sort()
        share = 1 - self._parameters.min_in_service
        allowed = int(len(self._sweepable) * share)
        ejected = {name for _, name in faults[:allowed]}
        if ejected != self._ejected:
            self._ejected = ejected
            self._apply(ejected, now)

    def _apply(self, ejected: set[InstanceId], now: float) -> None:
        for replica in self._sweepable:
            if replica.ejected == (replica.name in ejected):
                continue
            self._pools.clear()
            if replica.ejected:
                replica.return_to_service(now)
                emit(Event.REPLICA_RETURNED, replica=replica.name)
            else:
                replica.ejected = True
                emit(Event.REPLICA_EJECTED, replica=replica.name)

    def get_pool(self, request: RoutingRequest) -> Pool:
        """Returns the replicas in service for a role and an adapter."""
        key = (request.role, request.adapter)
        pool = self._pools.get(key)
        if pool is None:
            if len(self._pools) >= _MAX_POOLS:
                self._pools.clear()
            pool = self._pools[key] = self._make_pool(*key)
        return pool

    def _make_pool(self, role: str, adapter: str) -> Pool:
        request = RoutingRequest(role=role, adapter=adapter)
        eligible = [
            self._replicas[candidate.instance]
            for candidate in self._candidates
            if is_eligible(request, candidate)
        ]
        # The floor counts the whole deployment; a role or an adapter that it
        # leaves without any replica uses the ejected ones.
        serving = [item for item in eligible if not item.ejected] or eligible
        return Pool(
            serving,
            frozenset(serving),
            [item for item in serving if item.local],
            [item for item in serving if not item.local],
        )
