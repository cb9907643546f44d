"""Shared state of an entry: configuration, replicas and request counts."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterable
from datetime import UTC, datetime, timedelta

from chicoryplank.admission import (
    UNUSABLE,
    WITHOUT_RETURN,
    CircuitBreaker,
    ColdReplicas,
    EntryCount,
    HoldReason,
    Occupancy,
    OutputTimes,
    ReplicaHolds,
    RetryBudget,
    RetryBudgetParameters,
    ReturningReplicas,
    ServerLimits,
    SlotQueue,
    SlowReplicas,
)
from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.quarantine import Quarantine
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
from chicoryplank_entry.forwarding.evacuations import EvacuationHolds
from chicoryplank_entry.forwarding.replica_words import ReplicaWords

# Routing policies take datetimes. A fixed origin makes them monotonic, unlike
# the wall clock.
_ORIGIN = datetime(2026, 1, 1, tzinfo=UTC)
# With up to _MAX_COMPARED_REPLICAS, a request compares all replicas. With more,
# many entries would send to the same few replicas that were the least loaded a
# moment ago, so each request compares a random sample.
_MAX_COMPARED_REPLICAS = 24
_SAMPLED_REPLICAS = 4
# Load difference by which a replica in another zone must be better: more than
# one request, since traffic between zones is expensive. A request to another
# zone also takes a few milliseconds longer.
_ZONE_PENALTY = 1.2
# Short, since the exact counts of the peers arrive several times a second.
_REPORT_DECAY = timedelta(seconds=2)
_MAX_QUEUED_REQUESTS = 512
# Fraction of all slots that are reserved for requests which can still meet
# their latency target, so that entries without a backlog do not wait behind
# entries that have one.
_ON_TIME_RESERVE = 0.08
_EVACUATED = frozenset({HoldReason.EVACUATED})
# Time in seconds after a crash in a service, and after the start of a replica,
# in which a replica that registers counts as returning.
_RETURN_AFTER_CRASH_S = 10.0
# Interval of checks for stalls and free slots, in seconds.
_CHECK_INTERVAL_S = 0.1


def make_routing_parameters(replica_count: int) -> RoutingParameters:
    """Returns routing parameters for exact load reports and few slots.

    Args:
        replica_count: Number of replicas of the service.

    References:
        M. Mitzenmacher, "How useful is old information?", IEEE Transactions
        on Parallel and Distributed Systems 11(1), 2000.
    """
    return RoutingParameters(
        choices=_MAX_COMPARED_REPLICAS
        if replica_count <= _MAX_COMPARED_REPLICAS
        else _SAMPLED_REPLICAS,
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
    """State of one service at an entry.

    Attributes:
        policy: Routing policy that chooses replicas.
        slot_queue: Requests that wait for a free slot.
        retry_budget: Limit on the retries of this entry.
        circuit_breaker: Holds requests back while all replicas are down.
        candidates: Replicas that the policy may choose from.
        slots: Number of slots of each replica.
        in_flight: Requests of this entry at the replicas.
        last_progress_s: Time of the last output of any replica.
        replica_last_progress_s: Time of the last output of each replica.
        is_lockstep: Whether the replicas are ranks that run each step together.
        first_output_times: Times from an attempt to its first output.
        gap_times: Times between two outputs of a stream.
    """

    policy: Policy
    slot_queue: SlotQueue
    retry_budget: RetryBudget
    candidates: tuple[Candidate, ...] = ()
    slots: dict[InstanceId, int] = dataclasses.field(default_factory=dict)
    circuit_breaker: CircuitBreaker = dataclasses.field(
        default_factory=CircuitBreaker
    )
    in_flight: int = 0
    last_progress_s: float = float("-inf")
    replica_last_progress_s: dict[InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    is_lockstep: bool = False
    first_output_times: OutputTimes = dataclasses.field(
        default_factory=OutputTimes
    )
    gap_times: OutputTimes = dataclasses.field(default_factory=OutputTimes)


class EntryState:
    """State that the components of one entry share.

    Args:
        clock: Source of time.
        zone: Availability zone of this entry.
        rng: Random number generator.
        retry_budget_parameters: Limits on retries.
        registration_grace_s: Time after a store outage in which replicas may
            register again before their old registrations are dropped.

    Attributes:
        started_s: Time at which this process started, in seconds.
        entry_count: Number of entries that are visible now, with this one.
        entry_bound: Number of entries among which an allowance is divided.
        server_limits: Limits that replicas name for all entries together.
        cold_replicas: Replicas that have just started and take few requests.
        holds: Replicas that get no new request now.
        returning: Replicas that get few requests after a crash.
        replica_words: Feeds the holds from what replicas say of themselves.
        evacuations: Zones whose replicas get no new request.
        quarantine: Crashes of replicas, and the requests that cause them.
        on_replica_returned: Called with a replica that returns from an
            ejection.
    """

    def __init__(
        self,
        clock: Clock,
        zone: ZoneId,
        rng: random.Random,
        retry_budget_parameters: RetryBudgetParameters,
        registration_grace_s: float,
    ) -> None:
        self.clock = clock
        self.zone = zone
        self.rng = rng
        self.started_s = self.now_s()
        self.registry = ReplicaRegistry(registration_grace_s)
        self.occupancy = Occupancy()
        self.slow_replicas = SlowReplicas()
        self.configuration: TrafficConfiguration | None = None
        self.routes: RouteIndex | None = None
        self.retry_budget_parameters = retry_budget_parameters
        self.entry_count = 1
        self.entry_bound = EntryCount()
        self.server_limits = ServerLimits()
        self.cold_replicas = ColdReplicas()
        self.holds = ReplicaHolds()
        self.returning = ReturningReplicas()
        self.replica_words = ReplicaWords(
            self.holds, self.registry, self.now_s, rng
        )
        self.evacuations = EvacuationHolds(self.holds)
        self.evacuations.on_ended = self._observe_readmission
        self.quarantine = Quarantine()
        self.on_replica_returned: Callable[[InstanceId], None] = _ignore
        self.is_draining = False
        # Start of the process that the state of each replica belongs to.
        self._starts_ms: dict[InstanceId, int] = {}
        self._configured = asyncio.Event()
        self._services: dict[ServiceId, ServiceState] = {}

    def now_s(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.clock.elapsed().total_seconds()

    def to_datetime(self, now_s: float) -> datetime:
        """Converts a monotonic time for the routing policy."""
        return _ORIGIN + timedelta(seconds=now_s)

    def get_limits(self) -> ClientLimits:
        """Returns the limits on requests in the active configuration."""
        if self.configuration is None:
            return ClientLimits()
        return self.configuration.limits

    def activate(self, configuration: TrafficConfiguration) -> bool:
        """Activates a configuration if it is newer; returns whether it was."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.routes = RouteIndex(configuration)
        used = {
            share.service
            for route in configuration.routes
            for share in route.shares
        }
        self.registry.set_services(used.union(configuration.services))
        self.refresh_candidates()
        self._configured.set()
        return True

    async def wait_for_configuration(self, limit_s: float) -> None:
        """Waits for the first configuration, at most for the given time."""
        if self.configuration is not None:
            return
        try:
            async with asyncio.timeout(limit_s):
                await self._configured.wait()
        except TimeoutError:
            return  # The caller refuses the request with NOT_READY.

    def set_retry_budget(self, parameters: RetryBudgetParameters) -> None:
        """Changes the limits on retries; past retries still count."""
        self.retry_budget_parameters = parameters
        for state in self._services.values():
            state.retry_budget.configure(parameters)

    def get_service(self, service: ServiceId) -> ServiceState:
        """Returns the state of a service, which is created on first use."""
        state = self._services.get(service)
        if state is None:
            replica_count = len(self.registry.list_service(service))
            parameters = make_routing_parameters(replica_count)
            state = ServiceState(
                make_balanced_policy(
                    self.zone,
                    parameters,
                    self.rng,
                    self._notify_return,
                ),
                SlotQueue(_MAX_QUEUED_REQUESTS),
                RetryBudget(self.retry_budget_parameters, self.started_s),
            )
            self._services[service] = state
            self._refresh_service(service, state)
        return state

    def _notify_return(self, instance: InstanceId) -> None:
        self.on_replica_returned(instance)

    def refresh_candidates(self) -> None:
        """Updates the candidates of all services from the registry."""
        now_s = self.now_s()
        records = self.registry.list_all()
        for instance in self.registry.take_registered():
            self.readmit(instance)
        for record in records:
            self.replica_words.observe_registration(record)
            self._observe_temperature(record, now_s)
        self.evacuations.apply(records)
        known = {record.instance for record in records}
        self._forget_starts(known)
        self.holds.retain(known, now_s)
        self.returning.retain(known)
        self.server_limits.retain(known)
        self.cold_replicas.retain(known, now_s)
        for service, state in self._services.items():
            self._refresh_service(service, state)

    def _observe_temperature(self, record: ReplicaRecord, now_s: float) -> None:
        if self.configuration is not None:
            service = self.configuration.services.get(record.service)
            self.cold_replicas.observe_registration(record, service, now_s)

    def _observe_readmission(self, instances: Collection[InstanceId]) -> None:
        """Counts the replicas of a zone as cold after its evacuation."""
        self.cold_replicas.observe_readmission(instances, self.now_s())

    def readmit(self, instance: InstanceId) -> None:
        """Discards what was observed of a replica that registered again.

        If it has restarted, all state of the former process is discarded. The
        holds and the routing statistics follow from the start in the
        registration (ReplicaHolds.observe_start, Candidate.started_ms).
        """
        self.holds.release(instance, HoldReason.MISDIRECTED)
        self.holds.release(instance, HoldReason.LIMIT)
        self.server_limits.reset(instance, self.now_s())
        record = self.registry.get(instance)
        if record is None:
            return
        if self._has_returned(record):
            self.returning.observe_start(instance, self.now_s())
        former_ms = self._starts_ms.get(instance)
        self._starts_ms[instance] = record.started_ms
        if former_ms is None or former_ms == record.started_ms:
            return
        discarded = self.occupancy.discard(instance)
        for service in self._services.values():
            service.replica_last_progress_s.pop(instance, None)
        emit(
            Event.REPLICA_RESTARTED,
            replica=instance,
            started_ms=record.started_ms,
            former_ms=former_ms,
            in_flight=discarded,
        )

    def observe_crash(self, record: ReplicaRecord, now_s: float) -> None:
        """Limits the requests to a replica that has crashed."""
        if self._is_alone(record.service):
            self.returning.observe_crash(record.instance, now_s)

    def _has_returned(self, record: ReplicaRecord) -> bool:
        """Returns whether a replica that registers returns after a crash.

        A replica that started long ago registers too: at an entry that has
        just started, or after an outage of the store.
        """
        age_s = self.clock.now().timestamp() - record.started_ms / 1000
        return (
            abs(age_s) <= _RETURN_AFTER_CRASH_S
            and self._is_alone(record.service)
            and self.quarantine.has_crash_since(
                record.service, self.now_s() - _RETURN_AFTER_CRASH_S
            )
        )

    def _is_alone(self, service: ServiceId) -> bool:
        """Returns whether each replica of a service returns by itself.

        The ranks of a lock-step group return together, and its circuit breaker
        holds the requests back.
        """
        return not self.get_service(service).is_lockstep

    def observe_survival(
        self,
        state: ServiceState,
        instance: InstanceId,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Records that a replica has outlived the first output of a request.

        Args:
            state: The service.
            instance: The replica.
            sent_s: Time when the request was sent, in seconds.
            now_s: Current time in seconds.
        """
        if self.returning.observe_survival(instance, sent_s, now_s) and len(
            state.slot_queue
        ):
            self._grant_slots(state, now_s)

    def _get_places(
        self,
        state: ServiceState,
        instance: InstanceId,
        allowance: int,
        now_s: float,
    ) -> int:
        """Returns how many requests a replica may have at a time."""
        slots = state.slots[instance]
        places = self.returning.get_places(instance, slots, now_s)
        return slots + allowance if places is None else places

    def _forget_starts(self, registered: set[InstanceId]) -> None:
        """Forgets the starts of replicas without registration and requests."""
        for instance in self._starts_ms.keys() - registered:
            if not self.occupancy.count(instance):
                del self._starts_ms[instance]

    def _refresh_service(self, service: ServiceId, state: ServiceState) -> None:
        records = self.registry.list_service(service)
        zones = self.evacuations.zones
        candidates = tuple(make_candidate(record, zones) for record in records)
        state.slots = {record.instance: record.slots for record in records}
        state.replica_last_progress_s = {
            instance: progress_s
            for instance, progress_s in state.replica_last_progress_s.items()
            if instance in state.slots
        }
        if self.configuration is not None:
            known = self.configuration.services.get(service)
            engine = None if known is None else known.engine
            state.is_lockstep = engine is not None and engine.experts > 0
        if candidates != state.candidates:
            state.candidates = candidates

    def estimate_wait_s(self, state: ServiceState) -> float:
        """Estimates how long a new request waits for a slot, in seconds."""
        share = 1.0 / self.entry_count
        now_s = self.now_s()
        avoided = self._list_avoided(state, now_s)
        used = state.slots.keys() - avoided
        held = self.holds.list_held(now_s, UNUSABLE)
        if used - held:
            used -= held
        total = sum(state.slots[instance] for instance in used)
        free = total
        if not state.circuit_breaker.is_open:
            free = max(0, total - self.occupancy.count_total(used))
        return max(
            state.slot_queue.estimate_wait(total * share, free * share),
            self.server_limits.estimate_wait_s(
                state.slots, len(state.slot_queue)
            ),
            self.holds.estimate_wait_s(state.slots, now_s),
            state.circuit_breaker.estimate_return_s(now_s),
        )

    def _list_avoided(
        self, state: ServiceState, now_s: float
    ) -> frozenset[InstanceId]:
        """Returns the replicas of slow groups, unless no other is left."""
        used = state.slots.keys()
        if self.evacuations.zones:
            used -= self.holds.list_held(now_s, _EVACUATED)
        return self.slow_replicas.list_avoided(used, now_s)

    def is_evacuated(self, state: ServiceState, now_s: float) -> bool:
        """Returns whether the evacuation of zones leaves no usable replica.

        Replicas that are leaving or misdirected are not usable either. A pause
        or a full replica ends soon, so requests may wait for those.
        """
        if not self.evacuations.zones:
            return False
        evacuated = self.holds.list_held(now_s, _EVACUATED)
        if evacuated.isdisjoint(state.slots):
            return False
        return state.slots.keys() <= self.holds.list_held(now_s, WITHOUT_RETURN)

    def list_full_replicas(
        self, state: ServiceState, allowance: int, now_s: float
    ) -> frozenset[InstanceId]:
        """Returns the replicas of a service that get no request now.

        Args:
            state: The service.
            allowance: Number of requests that a replica may queue beyond its
                slots.
            now_s: Current time in seconds.
        """
        occupancy = self.occupancy
        return frozenset(
            instance
            for instance in state.slots
            if occupancy.count(instance)
            >= self._get_places(state, instance, allowance, now_s)
        ).union(
            self._list_avoided(state, now_s),
            self.holds.list_held(now_s) & state.slots.keys(),
        )

    def list_versions(self, service: ServiceId) -> set[str]:
        """Returns the software versions of the replicas of a service."""
        return {
            record.version for record in self.registry.list_service(service)
        }

    def choose_replica(
        self,
        state: ServiceState,
        excluded: Iterable[InstanceId],
        now_s: float,
    ) -> ReplicaRecord | None:
        """Chooses the replica for a request; None if there is no candidate.

        A cold replica is chosen only if there is no other candidate.
        """
        excluded = frozenset(excluded)
        instance = None
        cold = self.cold_replicas.list_cold(now_s)
        for avoided in (excluded | cold, excluded) if cold else (excluded,):
            instance = state.policy.choose(
                RoutingRequest(excluded=avoided),
                state.candidates,
                self.to_datetime(now_s),
            )
            if instance is not None:
                break
        return None if instance is None else self.registry.get(instance)

    def begin_request(
        self, state: ServiceState, instance: InstanceId, now_s: float
    ) -> None:
        """Counts a request as in flight at a replica."""
        self.occupancy.begin(instance)
        state.in_flight += 1
        state.policy.begin(instance, 1.0, self.to_datetime(now_s))

    def end_request(
        self,
        state: ServiceState,
        instance: InstanceId,
        succeeded: bool | None,
        now_s: float,
        *,
        started_ms: int | None = None,
    ) -> None:
        """Counts the end of a request and grants its slot to a waiting one.

        Args:
            state: The service.
            instance: The replica.
            succeeded: See Policy.
            now_s: Current time in seconds.
            started_ms: Start of the process that the request was sent to. The
                end says nothing about a process that started later. None if it
                is the current one.
        """
        state.in_flight -= 1
        if started_ms in (None, self._starts_ms.get(instance, started_ms)):
            self.occupancy.end(instance)
            state.policy.end(instance, 1.0, self.to_datetime(now_s), succeeded)
        if len(state.slot_queue) and not state.circuit_breaker.is_open:
            self._grant_slots(state, now_s)

    def observe_progress(
        self, state: ServiceState, instance: InstanceId, now_s: float
    ) -> None:
        """Records that a replica produced output."""
        state.last_progress_s = now_s
        state.replica_last_progress_s[instance] = now_s
        state.policy.observe(Progress(instance, self.to_datetime(now_s)))
        if state.circuit_breaker.observe_progress(now_s):
            emit(Event.SERVICE_RUNS, replica=instance)
            self._grant_slots(state, now_s)

    def observe_counts(self, now_s: float) -> None:
        """Reports the in-flight counts of all entries to the policies."""
        moment = self.to_datetime(now_s)
        for state in self._services.values():
            for instance in state.slots:
                running = self.occupancy.count(instance)
                state.policy.observe(LoadReport(instance, running, 0, moment))
            if len(state.slot_queue):
                self._grant_slots(state, now_s)

    def _grant_slots(self, state: ServiceState, now_s: float) -> None:
        """Grants the free slots, or one probe while the breaker is open."""
        if state.circuit_breaker.is_open:
            if len(state.slot_queue) and state.circuit_breaker.try_probe(now_s):
                state.slot_queue.grant_probe()
            return
        full = self.list_full_replicas(state, 0, now_s)
        free = sum(
            self._get_places(state, instance, 0, now_s)
            - self.occupancy.count(instance)
            for instance in state.slots
            if instance not in full
        )
        reserve = math.ceil(_ON_TIME_RESERVE * sum(state.slots.values()))
        state.slot_queue.grant(free, now_s, reserve)

    async def run_checks(self) -> None:
        """Runs the checks of all services at a fixed interval."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.check_services(self.now_s())

    def check_services(self, now_s: float) -> None:
        """Detects stalls, and settles requests that wait for a slot."""
        self.cold_replicas.check_warm(now_s)
        for state in self._services.values():
            if state.is_lockstep and state.circuit_breaker.check_stalled(
                state.in_flight, now_s
            ):
                if not state.circuit_breaker.is_open:
                    emit(Event.SERVICE_STANDS, in_flight=state.in_flight)
                state.circuit_breaker.observe_outage(now_s)
            if len(state.slot_queue):
                wait_s = self.holds.estimate_wait_s(state.slots, now_s)
                if self.is_evacuated(state, now_s):
                    wait_s = math.inf
                state.slot_queue.reject_before(now_s + wait_s)
                self._grant_slots(state, now_s)


def _ignore(instance: InstanceId) -> None:
    """Does nothing."""
    del instance


def make_candidate(
    record: ReplicaRecord, evacuated_zones: Collection[ZoneId] = ()
) -> Candidate:
    """Returns the routing candidate of a registered replica.

    A replica in an evacuated zone counts as leaving. Otherwise an entry in that
    zone would spend most of its random choices on replicas that are held.
    """
    return Candidate(
        record.instance,
        record.zone,
        leaving=record.state is ReplicaState.DRAINING
        or record.zone in evacuated_zones,
        started_ms=record.started_ms,
    )
