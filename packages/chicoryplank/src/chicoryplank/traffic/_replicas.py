"""Registry of replicas that tolerates outages of the store."""

import dataclasses
import enum
from collections.abc import Iterable
from datetime import timedelta

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ServiceId, ZoneId

# Time for which the end of a replica is remembered, in seconds; longer than the
# age of a copy from which a store is restored.
_ENDED_MEMORY_S = 60.0
# Time for which a registration that had ended before a restore is not used, in
# seconds; longer than the store keeps that of a replica that has ended.
_HOLD_BACK_S = 6.0


class ReplicaState(enum.Enum):
    """State that a replica reports in its registration."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """Registration of a replica.

    Attributes:
        instance: Id of the backend server; reused after a restart.
        service: Service that the replica belongs to.
        address: Host and port of the replica.
        zone: Availability zone.
        slots: Number of requests that the replica processes concurrently.
        state: Whether the replica accepts new requests.
        started_ms: Unix time of the start in milliseconds; 0 if unknown.
        created_revision: Store revision at which the replica registered; 0 if
            unknown.
        version: Version of its software; empty if unknown.
        cold_remaining: Time for which the replica stays cold, as of this
            registration; None if unknown. Not compared, since it differs
            between registrations of the same process.
        revision: Store revision of this registration; 0 if unknown. Not
            compared, for the same reason.
    """

    instance: InstanceId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: ReplicaState
    started_ms: int = 0
    created_revision: int = 0
    version: str = ""
    cold_remaining: timedelta | None = dataclasses.field(
        default=None, compare=False
    )
    revision: int = dataclasses.field(default=0, compare=False)

    @property
    def start_order(self) -> tuple[int, int]:
        """Sort key by start; the later of two starts has the greater key."""
        return self.started_ms, self.created_revision


class ReplicaRegistry:
    """Registered replicas that may receive requests, by service.

    Registrations are attached to leases, so an outage of the store makes all of
    them expire together. A registration that disappears during an outage or
    shortly after it is therefore kept until the replica has had time to
    register again. If several registrations have the same address, only the one
    with the latest start is used, because the others belong to processes that
    have ended.

    A store that is restored from an older copy lists registrations again that
    had changed or ended. A replica that was draining stays so until it starts
    again, and one that was gone is used again only if its registration lasts
    longer than that of a replica that has ended.

    Args:
        registration_grace_s: Time after a store outage in which replicas may
            register again before their old registrations are dropped.

    Example:
        >>> registry = ReplicaRegistry(registration_grace_s=2.0)
        >>> registry.list_service(ServiceId("llm"))
        ()
    """

    def __init__(self, registration_grace_s: float) -> None:
        self._registration_grace_s = registration_grace_s
        self._records: dict[InstanceId, ReplicaRecord] = {}
        self._removal_due_s: dict[InstanceId, float] = {}
        self._ended: dict[InstanceId, tuple[float, ReplicaRecord]] = {}
        self._held_back: dict[InstanceId, tuple[float, ReplicaRecord]] = {}
        self._services: dict[ServiceId, tuple[ReplicaRecord, ...]] = {}
        self._registered: set[InstanceId] = set()
        self._known_services: frozenset[ServiceId] | None = None
        self._reported: dict[InstanceId, ServiceId] = {}
        self._grace_end_s = float("-inf")
        self.is_connected = False

    def set_services(self, services: Iterable[ServiceId]) -> None:
        """Sets the services of the active configuration.

        Until then, all services count as known.
        """
        self._known_services = frozenset(services)
        self._index_by_service()

    def observe_outage(self) -> None:
        """Records that the store does not respond."""
        self.is_connected = False

    def observe_recovery(self, now_s: float) -> None:
        """Records that the store responds again and starts the grace period."""
        if not self.is_connected:
            self.is_connected = True
            self._grace_end_s = now_s + self._registration_grace_s

    def replace_all(
        self,
        records: Iterable[ReplicaRecord],
        now_s: float,
        *,
        is_restored: bool = False,
    ) -> None:
        """Replaces the registrations with a complete list from the store.

        Args:
            records: All registrations.
            now_s: Current time in seconds.
            is_restored: Whether the store was restored from an older copy.
        """
        listed = {record.instance: record for record in records}
        for instance, (_, record) in list(self._held_back.items()):
            if listed.get(instance) == record:
                del listed[instance]
            else:
                del self._held_back[instance]
        if is_restored:
            self._hold_back_ended(listed, now_s)
        for instance in list(self._records):
            if instance not in listed:
                self._start_removal(instance, now_s)
        for record in listed.values():
            self._store_record(record)
        self._index_by_service()

    def _hold_back_ended(
        self, listed: dict[InstanceId, ReplicaRecord], now_s: float
    ) -> None:
        """Takes replicas that had ended out of a restored list."""
        for instance, (ended_s, ended) in self._ended.items():
            record = listed.get(instance)
            if (
                record is not None
                and instance not in self._records
                and now_s - ended_s < _ENDED_MEMORY_S
                and record.started_ms <= ended.started_ms
            ):
                del listed[instance]
                self._held_back[instance] = (now_s + _HOLD_BACK_S, record)

    def put(self, record: ReplicaRecord) -> None:
        """Adds or updates a registration."""
        self._held_back.pop(record.instance, None)
        self._store_record(record)
        self._index_by_service()

    def remove(self, instance: InstanceId, now_s: float) -> None:
        """Handles the end of a registration in the store.

        If a ready replica disappears during an outage or its grace period, it
        stays listed until the grace period ends. Otherwise it is dropped
        immediately.
        """
        self._held_back.pop(instance, None)
        if instance in self._records:
            self._start_removal(instance, now_s)
            self._index_by_service()

    def remove_expired(self, now_s: float) -> bool:
        """Drops registrations whose grace period ended without a new one.

        Nothing is dropped while the store does not respond. Registrations that
        were held back are used if they have lasted.

        Returns:
            Whether any registration was dropped or added.
        """
        lasting = [
            record
            for due_s, record in self._held_back.values()
            if now_s >= due_s
        ]
        for record in lasting:
            self.put(record)
        due = [name for name, at in self._removal_due_s.items() if now_s >= at]
        if not self.is_connected or not due:
            return bool(lasting)
        for instance in due:
            del self._removal_due_s[instance]
            self._drop(instance, now_s)
        self._index_by_service()
        return True

    def _drop(self, instance: InstanceId, now_s: float) -> None:
        record = self._records.pop(instance, None)
        if record is not None:
            self._ended[instance] = (now_s, record)
        for name, (ended_s, _) in list(self._ended.items()):
            if now_s - ended_s >= _ENDED_MEMORY_S:
                del self._ended[name]

    def take_registered(self) -> set[InstanceId]:
        """Returns the replicas that registered or restarted since last time."""
        registered, self._registered = self._registered, set()
        return registered

    def list_service(self, service: ServiceId) -> tuple[ReplicaRecord, ...]:
        """Returns the replicas of a service, ordered by id."""
        return self._services.get(service, ())

    def list_all(self) -> tuple[ReplicaRecord, ...]:
        """Returns all replicas, ordered by id."""
        return tuple(
            self._records[instance] for instance in sorted(self._records)
        )

    def get(self, instance: InstanceId) -> ReplicaRecord | None:
        """Returns the registration of a replica, if there is one."""
        return self._records.get(instance)

    def _store_record(self, record: ReplicaRecord) -> None:
        known = self._records.get(record.instance)
        if known is None or known.started_ms != record.started_ms:
            self._registered.add(record.instance)
        if (
            known is not None
            and known.state is ReplicaState.DRAINING
            and record.started_ms <= known.started_ms
        ):
            record = dataclasses.replace(record, state=ReplicaState.DRAINING)
        self._records[record.instance] = record
        self._removal_due_s.pop(record.instance, None)

    def _start_removal(self, instance: InstanceId, now_s: float) -> None:
        record = self._records[instance]
        in_grace_period = not self.is_connected or now_s < self._grace_end_s
        if in_grace_period and record.state is ReplicaState.READY:
            self._removal_due_s.setdefault(instance, self._grace_end_s)
            return
        if instance not in self._removal_due_s:
            self._drop(instance, now_s)

    def _index_by_service(self) -> None:
        latest: dict[str, ReplicaRecord] = {}
        for record in self._list_with_known_service():
            other = latest.get(record.address)
            if other is None or record.start_order >= other.start_order:
                latest[record.address] = record
        services: dict[ServiceId, list[ReplicaRecord]] = {}
        for instance in sorted(self._records):
            record = self._records[instance]
            if latest.get(record.address) is not record:
                continue
            services.setdefault(record.service, []).append(record)
        self._services = {
            service: tuple(records) for service, records in services.items()
        }

    def _list_with_known_service(self) -> list[ReplicaRecord]:
        """Returns the registrations whose service is configured.

        Another one must not displace a replica at the same address. It is
        logged once.
        """
        services = self._known_services
        if services is None:
            return list(self._records.values())
        unknown = {
            instance: record.service
            for instance, record in self._records.items()
            if record.service not in services
        }
        for instance, service in unknown.items():
            if self._reported.get(instance) != service:
                emit(
                    Event.REPLICA_SERVICE_UNKNOWN,
                    replica=instance,
                    service=service,
                )
        self._reported = unknown
        return [
            record
            for instance, record in self._records.items()
            if instance not in unknown
        ]
