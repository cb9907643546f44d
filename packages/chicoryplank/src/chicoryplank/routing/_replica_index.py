"""Index of the replicas of a deployment by role, adapter and zone.

The index also ejects replicas with faults and returns them to service.
"""

import dataclasses
from collections.abc import Callable

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._replica import Replica
from chicoryplank.routing._types import (
    Candidate,
    RoutingRequest,
    is_eligible,
)

# There is one pool for each role and adapter. The bound keeps requests for
# adapters that no replica has from using unbounded memory.
_MAX_POOLS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Replicas in service for one role and adapter.

    Attributes:
        replicas: All of these replicas.
        members: The same replicas, for membership tests.
        local: Those in the availability zone of this entry.
        remote: Those in other availability zones.
    """

    replicas: list[Replica]
    members: frozenset[Replica]
    local: list[Replica]
    remote: list[Replica]


class ReplicaIndex:
    """State of all replicas, and pools of those in service.

    Args:
        zone: Availability zone of this entry.
        parameters: Parameters of the policy.
        on_returned: Called with a replica that returns from an ejection.
    """

    def __init__(
        self,
        zone: ZoneId,
        parameters: RoutingParameters,
        on_returned: Callable[[InstanceId], None],
    ) -> None:
        self._zone = zone
        self._on_returned = on_returned
        self._parameters = parameters
        self._sweep_interval_s = parameters.sweep_interval.total_seconds()
        self._candidates: tuple[Candidate, ...] = ()
        self._replicas: dict[InstanceId, Replica] = {}
        self._pools: dict[tuple[str, str], Pool] = {}
        self._last_sweep_s = float("-inf")
        self._ejectable: list[Replica] = []
        self._ejected: set[InstanceId] | None = None

    def get(self, instance: InstanceId) -> Replica | None:
        """Returns the state of a replica, if it is known."""
        return self._replicas.get(instance)

    def set_candidates(
        self, candidates: tuple[Candidate, ...]
    ) -> list[InstanceId]:
        """Replaces the candidates and returns the replicas that were dropped.

        A replica that has restarted is dropped and added as a new one. A
        removed replica that still has requests of this entry in flight is
        kept until they end, so that its counts are right if it is added again.
        """
        if candidates is self._candidates:
            return []
        self._candidates = candidates
        self._pools.clear()
        self._last_sweep_s = float("-inf")
        gone = []
        for candidate in candidates:
            replica = self._replicas.get(candidate.instance)
            if (
                replica is not None
                and replica.candidate.started_ms != candidate.started_ms
            ):
                gone.append(candidate.instance)
                replica = None
            if replica is None:
                replica = Replica(candidate, self._parameters)
                self._replicas[candidate.instance] = replica
            replica.candidate = candidate
            replica.local = candidate.zone == self._zone
        self._ejectable = [
            self._replicas[candidate.instance]
            for candidate in candidates
            if not candidate.leaving
        ]
        # None makes the next check apply its result to every replica.
        self._ejected = None
        names = {candidate.instance for candidate in candidates}
        removed = [
            name
            for name, replica in self._replicas.items()
            if name not in names and replica.in_flight == 0
        ]
        for name in removed:
            del self._replicas[name]
        return gone + removed

    def update_ejections(self, now: float) -> None:
        """Ejects replicas with faults, those with the oldest faults first.

        Does nothing until the sweep interval has passed. The number of ejected
        replicas is bounded, since a fault that all replicas seem to have is
        more likely a fault of this entry or of the network.
        """
        if now - self._last_sweep_s < self._sweep_interval_s:
            return
        self._last_sweep_s = now
        faults = []
        for replica in self._ejectable:
            # This entry has no requests at most replicas of a large
            # deployment.
            if replica.in_flight == 0 and replica.fault_since is None:
                continue
            since = replica.check_fault(now)
            if since is not None:
                faults.append((since, replica.name))
        faults.sort()
        share = 1 - self._parameters.min_in_service
        allowed = int(len(self._ejectable) * share)
        ejected = {name for _, name in faults[:allowed]}
        if ejected != self._ejected:
            self._ejected = ejected
            self._apply_ejections(ejected, now)

    def _apply_ejections(self, ejected: set[InstanceId], now: float) -> None:
        for replica in self._ejectable:
            if replica.ejected == (replica.name in ejected):
                continue
            self._pools.clear()
            if replica.ejected:
                replica.return_to_service(now)
                emit(Event.REPLICA_RETURNED, replica=replica.name)
                self._on_returned(replica.name)
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
        # min_in_service bounds ejections over the whole deployment, so all
        # replicas of one role or adapter may be ejected; then they are used.
        serving = [item for item in eligible if not item.ejected] or eligible
        return Pool(
            serving,
            frozenset(serving),
            [item for item in serving if item.local],
            [item for item in serving if not item.local],
        )
