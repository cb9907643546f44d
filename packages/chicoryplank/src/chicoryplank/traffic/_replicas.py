"""The replicas of all services, kept through outages of the store."""

import dataclasses
import enum
from collections.abc import Iterable

from chicoryplank.ids import InstanceId, ServiceId, ZoneId


class ReplicaState(enum.Enum):
    """What a replica says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """A replica as it is registered.

    Attributes:
        instance: Id of the backend server; reused after a restart.
        service: Service that it belongs to.
        address: Host and port.
        zone: Availability zone.
        slots: Requests that it processes at once.
        state: Whether it takes new requests.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        created_revision: Revision of the store at which it registered; 0 if
            unknown.
    """

    instance: InstanceId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: ReplicaState
    started_ms: int = 0
    created_revision: int = 0

    @property
    def start_order(self) -> tuple[int, int]:
        """Greater for the later of two starts."""
        return self.started_ms, self.created_revision


class ReplicaRegistry:
    """Replicas that may be used, by service.

    Registrations are leased, so they all lapse together when the store is
    away. A registration that vanishes during an outage or shortly after it
    is therefore kept until the replica has had time to register again. Of
    several registrations of one address the latest start counts, since the
    others belong to processes that have ended.

    Args:
        return_grace_s: Time after an outage in which registrations return.

    Example:
        >>> registry = ReplicaRegistry(return_grace_s=2.0)
        >>> registry.list_service(ServiceId("llm"))
        ()
    """

    def __init__(self, return_grace_s: float) -> None:
        self._return_grace_s = return_grace_s
        self._records: dict[InstanceId, ReplicaRecord] = {}
        self._missing: dict[InstanceId, float] = {}
        self._services: dict[ServiceId, tuple[ReplicaRecord, ...]] = {}
        self._settled_at = float("-inf")
        self.is_connected = False

    def observe_outage(self) -> None:
        """Records that the store does not answer."""
        self.is_connected = False

    def observe_return(self, now_s: float) -> None:
        """Records that the store answers again."""
        if not self.is_connected:
            self.is_connected = True
            self._settled_at = now_s + self._return_grace_s

    def replace(self, records: Iterable[ReplicaRecord], now_s: float) -> None:
        """Takes a full list of registrations."""
        listed = {record.instance: record for record in records}
        for instance in list(self._records):
            if instance not in listed:
                self._miss(instance, now_s)
        for record in listed.values():
            self._put(record)
        self._index()

    def put(self, record: ReplicaRecord) -> None:
        """Takes a new or changed registration."""
        self._put(record)
        self._index()

    def remove(self, instance: InstanceId, now_s: float) -> None:
        """Takes the end of a registration."""
        if instance in self._records:
            self._miss(instance, now_s)
            self._index()

    def sweep(self, now_s: float) -> bool:
        """Drops registrations that did not return; returns whether any."""
        due = [name for name, at in self._missing.items() if now_s >= at]
        if not self.is_connected or not due:
            return False
        for instance in due:
            del self._missing[instance]
            self._records.pop(instance, None)
        self._index()
        return True

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

    def _put(self, record: ReplicaRecord) -> None:
        self._records[record.instance] = record
        self._missing.pop(record.instance, None)

    def _miss(self, instance: InstanceId, now_s: float) -> None:
        record = self._records[instance]
        unsettled = not self.is_connected or now_s < self._settled_at
        if unsettled and record.state is ReplicaState.READY:
            self._missing.setdefault(instance, self._settled_at)
            return
        if instance not in self._missing:
            del self._records[instance]

    def _index(self) -> None:
        latest: dict[str, ReplicaRecord] = {}
        for record in self._records.values():
            other = latest.get(record.address)
            if other is None or record.start_order >= other.start_order:
                latest[record.address] = record
        services: dict[ServiceId, list[ReplicaRecord]] = {}
        for instance in sorted(self._records):
            record = self._records[instance]
            if latest[record.address] is not record:
                continue
            services.setdefault(record.service, []).append(record)
        self._services = {
            service: tuple(records) for service, records in services.items()
        }
