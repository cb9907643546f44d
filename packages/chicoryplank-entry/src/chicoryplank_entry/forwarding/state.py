"""What an entry believes: configuration, replicas, members, occupancy."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

from chicoryplank.admission import (
    CircuitBreaker,
    Occupancy,
    RetryBudget,
    RetryBudgetParameters,
    SlotQueue,
)
from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.routing import (
    Candidate,
    LoadReport,
    Policy,
    Progress,
    RoutingParameters,
    RoutingRequest,
    make_balanced_policy,
)
from chicoryplank.traffic import (
    ClientLimits,
    ReplicaRecord,
    ReplicaRegistry,
    ReplicaState,
    RouteIndex,
    TrafficConfiguration,
)

# Routing takes times as datetimes; this origin keeps them independent of the
# time of day, which may jump.
_ORIGIN = datetime(2026, 1, 1, tzinfo=UTC)
# Up to this many replicas all are compared. With more of them many entries
# would send to the same few that seemed the emptiest a moment ago, so each
# compares only some, at random.
_MAX_COMPARED = 24
_FEW_CHOICES = 4
# Load by which a replica in another zone must be better; a request costs a
# few ms more there.
_ZONE_PENALTY = 0.4
# Counts of peers arrive several times a second and are exact.
_REPORT_DECAY = timedelta(seconds=2)
_MAX_WAITING = 512
# Time after which a replica that seemed to be another one is tried again, in
# seconds; a registration that is wrong has lapsed by then.
_GONE_S = 10.0
# Part of all places that requests which are late in any case leave free, so
# that entries without a backlog need not wait behind those that have one.
_FRESH_SHARE = 0.08
# Time between two looks at what has become possible, in seconds.
_CHECK_S = 0.1


def make_parameters(replicas: int) -> RoutingParameters:
    """Returns routing parameters for exact counts of few slots.

    Args:
        replicas: Replicas of the deployment.

    References:
        M. Mitzenmacher, "How useful is old information?", IEEE Transactions
        on Parallel and Distributed Systems 11(1), 2000.
    """
    return RoutingParameters(
        choices=_MAX_COMPARED if replicas <= _MAX_COMPARED else _FEW_CHOICES,
        deciding_entries=1,
        report_decay=_REPORT_DECAY,
        recent_weight=0.0,
        zone_penalty=_ZONE_PENALTY,
        slow_start=timedelta(milliseconds=500),
        stall_timeout=timedelta(milliseconds=1200),
        max_failures=3,
        ejection=timedelta(seconds=1),
        min_in_service=0.5,
    )


@dataclasses.dataclass(slots=True)
class ServiceState:
    """What an entry keeps for one service.

    Attributes:
        policy: Choice of replicas.
        places: Requests that wait for a place.
        repeats: Budget of repeats.
        outage: Whether its replicas run requests at all.
        candidates: Replicas that may get requests.
        slots: Slots of each of them.
        in_flight: Own requests at its replicas.
        progress_s: When any replica last produced output.
        replica_progress_s: The same for each replica.
        is_lockstep: Whether its replicas run all passes together.
    """

    policy: Policy
    places: SlotQueue
    repeats: RetryBudget
    candidates: tuple[Candidate, ...] = ()
    slots: dict[InstanceId, int] = dataclasses.field(default_factory=dict)
    outage: CircuitBreaker = dataclasses.field(default_factory=CircuitBreaker)
    in_flight: int = 0
    progress_s: float = float("-inf")
    replica_progress_s: dict[InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    is_lockstep: bool = False


class EntryState:
    """Shared state of one entry.

    Args:
        clock: Source of time.
        zone: Availability zone of this entry.
        source: Random numbers.
        repeats: Bounds on repeats.
        registration_grace_s: Time after a store outage in which replicas may
            register again before their old registrations are dropped.
    """

    def __init__(
        self,
        clock: Clock,
        zone: ZoneId,
        source: random.Random,
        repeats: RetryBudgetParameters,
        registration_grace_s: float,
    ) -> None:
        self.clock = clock
        self.zone = zone
        self.source = source
        self.registry = ReplicaRegistry(registration_grace_s)
        self.occupancy = Occupancy()
        self.configuration: TrafficConfiguration | None = None
        self.routes: RouteIndex | None = None
        self.repeat_parameters = repeats
        self.entries = 1
        self.is_draining = False
        self._configured = asyncio.Event()
        self._services: dict[ServiceId, ServiceState] = {}
        self._gone: dict[InstanceId, float] = {}

    def now_s(self) -> float:
        """Returns the time since boot in seconds."""
        return self.clock.elapsed().total_seconds()

    def make_moment(self, now_s: float) -> datetime:
        """Returns a time for the routing policy."""
        return _ORIGIN + timedelta(seconds=now_s)

    def get_limits(self) -> ClientLimits:
        """Returns the bounds for callers in force."""
        if self.configuration is None:
            return ClientLimits()
        return self.configuration.limits

    def apply(self, configuration: TrafficConfiguration) -> bool:
        """Puts a newer configuration in force; returns whether it is newer."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.routes = RouteIndex(configuration)
        self.refresh_candidates()
        self._configured.set()
        return True

    async def wait_configuration(self, limit_s: float) -> None:
        """Waits a short time for the first configuration."""
        if self.configuration is not None:
            return
        try:
            async with asyncio.timeout(limit_s):
                await self._configured.wait()
        except TimeoutError:
            return  # The request is refused as not ready.

    def set_repeats(self, parameters: RetryBudgetParameters) -> None:
        """Puts other bounds on repeats in force; what was counted stays."""
        self.repeat_parameters = parameters
        for state in self._services.values():
            state.repeats.parameters = parameters

    def get_service(self, service: ServiceId) -> ServiceState:
        """Returns the state of a service, new if it is not known yet."""
        state = self._services.get(service)
        if state is None:
            replicas = len(self.registry.list_service(service))
            parameters = make_parameters(replicas)
            state = ServiceState(
                make_balanced_policy(self.zone, parameters, self.source),
                SlotQueue(_MAX_WAITING),
                RetryBudget(self.repeat_parameters),
            )
            self._services[service] = state
            self._refresh_service(service, state)
        return state

    def refresh_candidates(self) -> None:
        """Takes the replicas of the registry."""
        known = {record.instance for record in self.registry.list_all()}
        for instance in self._gone.keys() - known:
            del self._gone[instance]
        for service, state in self._services.items():
            self._refresh_service(service, state)

    def exclude(self, instance: InstanceId) -> None:
        """Leaves out a replica whose address belongs to another one now."""
        if instance not in self._gone:
            self._gone[instance] = self.now_s() + _GONE_S
            self.refresh_candidates()

    def readmit(self, instance: InstanceId) -> None:
        """Takes a replica back that has just registered, or registered anew."""
        self._gone.pop(instance, None)

    def _refresh_service(self, service: ServiceId, state: ServiceState) -> None:
        records = [
            record
            for record in self.registry.list_service(service)
            if record.instance not in self._gone
        ]
        candidates = tuple(make_candidate(record) for record in records)
        state.slots = {record.instance: record.slots for record in records}
        state.replica_progress_s = {
            instance: progress_s
            for instance, progress_s in state.replica_progress_s.items()
            if instance in state.slots
        }
        if self.configuration is not None:
            known = self.configuration.services.get(service)
            engine = None if known is None else known.engine
            state.is_lockstep = engine is not None and engine.experts > 0
        if candidates != state.candidates:
            state.candidates = candidates

    def estimate_wait(self, state: ServiceState) -> float:
        """Returns how long one more request waits for a place, in seconds."""
        share = 1.0 / self.entries
        total = sum(state.slots.values())
        free = total
        if not state.outage.is_open:
            free = max(0, total - self.occupancy.count_total(state.slots))
        return state.places.estimate_wait(total * share, free * share)

    def find_full(
        self, state: ServiceState, allowance: int, now_s: float
    ) -> frozenset[InstanceId]:
        """Returns the replicas of a service that can take nothing now.

        Args:
            state: The service.
            allowance: Requests beyond its slots that a replica may queue.
            now_s: Current time in seconds.
        """
        occupancy = self.occupancy
        return frozenset(
            instance
            for instance, slots in state.slots.items()
            if occupancy.count(instance) >= slots + allowance
            or occupancy.is_full(instance, now_s)
        )

    def choose(
        self,
        state: ServiceState,
        excluded: Iterable[InstanceId],
        now_s: float,
    ) -> ReplicaRecord | None:
        """Returns the replica for a request, or None."""
        instance = state.policy.choose(
            RoutingRequest(excluded=frozenset(excluded)),
            state.candidates,
            self.make_moment(now_s),
        )
        return None if instance is None else self.registry.get(instance)

    def begin(
        self, state: ServiceState, instance: InstanceId, now_s: float
    ) -> None:
        """Counts a request that goes to a replica."""
        self.occupancy.begin(instance)
        state.in_flight += 1
        state.policy.begin(instance, 1.0, self.make_moment(now_s))

    def end(
        self,
        state: ServiceState,
        instance: InstanceId,
        succeeded: bool | None,
        now_s: float,
    ) -> None:
        """Counts the end of a request and wakes those that wait."""
        self.occupancy.end(instance)
        state.in_flight -= 1
        state.policy.end(instance, 1.0, self.make_moment(now_s), succeeded)
        if len(state.places) and not state.outage.is_open:
            self._grant_free(state, now_s)

    def observe_progress(
        self, state: ServiceState, instance: InstanceId, now_s: float
    ) -> None:
        """Records output of a replica."""
        state.progress_s = now_s
        state.replica_progress_s[instance] = now_s
        state.policy.observe(Progress(instance, self.make_moment(now_s)))
        if state.outage.observe_progress(now_s):
            emit(Event.SERVICE_RUNS, replica=instance)
            self._grant_free(state, now_s)

    def observe_counts(self, now_s: float) -> None:
        """Passes the counts of all entries on to the routing policies."""
        moment = self.make_moment(now_s)
        for state in self._services.values():
            for instance in state.slots:
                running = self.occupancy.count(instance)
                state.policy.observe(LoadReport(instance, running, 0, moment))
            if len(state.places):
                self._grant_free(state, now_s)

    def _grant_free(self, state: ServiceState, now_s: float) -> None:
        """Grants the places that are free, or one try during an outage."""
        if state.outage.is_open:
            if len(state.places) and state.outage.try_probe(now_s):
                state.places.grant_probe()
            return
        full = self.find_full(state, 0, now_s)
        free = sum(
            max(0, slots - self.occupancy.count(instance))
            for instance, slots in state.slots.items()
            if instance not in full
        )
        reserve = math.ceil(_FRESH_SHARE * sum(state.slots.values()))
        state.places.grant(free, now_s, reserve)

    async def run_checks(self) -> None:
        """Checks all services again and again."""
        while True:
            await asyncio.sleep(_CHECK_S)
            self.check_services(self.now_s())

    def check_services(self, now_s: float) -> None:
        """Grants what has become possible by the passing of time."""
        over = [name for name, at_s in self._gone.items() if now_s >= at_s]
        for instance in over:
            del self._gone[instance]
        if over:
            self.refresh_candidates()
        for state in self._services.values():
            if state.is_lockstep and state.outage.check_stalled(
                state.in_flight, now_s
            ):
                if not state.outage.is_open:
                    emit(Event.SERVICE_STANDS, in_flight=state.in_flight)
                state.outage.observe_outage(now_s)
            if len(state.places):
                self._grant_free(state, now_s)


def make_candidate(record: ReplicaRecord) -> Candidate:
    """Returns the routing candidate of a registered replica."""
    return Candidate(
        record.instance,
        record.zone,
        leaving=record.state is ReplicaState.DRAINING,
    )
