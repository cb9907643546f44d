"""Replicas that have just started and take few requests for some seconds.

Load pattern: a replica starts, or a whole zone returns, while the callers of
all entries wait for slots.
"""

import dataclasses
import enum
import math
from collections.abc import Collection, Iterable
from datetime import timedelta

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank.traffic import ReplicaRecord, Service

# Time for which a permit may be used after it was asked for, in seconds. Longer
# than a connection within the site takes; the longer it is, the lower the rate
# must be, since requests of older permits may arrive together.
PERMIT_VALIDITY_S = 0.1
# Number of entries that may issue permits for one replica at the same time,
# while the entries learn of a change of the issuer.
_SIMULTANEOUS_ISSUERS = 2
# Requests that an issuer saves for a burst, and the smallest part of the bound
# with which it saves more than one.
_BURST = 2.0
_MIN_SHARE_WITH_BURST = 4.0
# Rate in requests per second for bounds that leave room for no rate; without
# requests, a caller would wait until the replica is warm.
_MIN_RATE = 0.25
# Time in seconds for which the start of a replica is remembered after its
# registration ended, which may only have lapsed.
_UNREGISTERED_MEMORY_S = 60.0
# Maximum number of replicas; reports on further ones are rejected.
_MAX_REPLICAS = 65_536
# Longer times are not plausible for the start of a replica, and entries reject
# reports of them.
_MAX_COLD_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBoundParameters:
    """Bound on the requests to a cold replica in any second.

    The bound is the number of requests per second that the service names, times
    the overshoot, plus the slack.

    Attributes:
        overshoot: Factor, at least 0.
        slack: Number of requests, at least 0.
    """

    overshoot: float = 1.0
    slack: float = 0.0


def compute_issue_rate(bound: float) -> tuple[float, float]:
    """Returns the token bucket that each issuer of permits keeps.

    Requests that arrive within a second have permits of at most that second and
    the validity before it. Two issuers with this bucket grant no more than the
    bound in that time, provided that it is at least 2.

    Args:
        bound: Requests in any second that a replica takes from all entries.

    Returns:
        Rate in requests per second, and capacity of the bucket.

    Example:
        >>> rate, capacity = compute_issue_rate(26.0)
        >>> round(rate, 3), capacity
        (10.0, 2.0)
    """
    share = bound / _SIMULTANEOUS_ISSUERS
    capacity = _BURST if share >= _MIN_SHARE_WITH_BURST else 1.0
    rate = (share - capacity) / (1.0 + PERMIT_VALIDITY_S)
    return max(rate, _MIN_RATE), capacity


class ColdCause(enum.Enum):
    """Why a replica counts as cold.

    Attributes:
        REGISTRATION: Its registration says so.
        UNREADABLE: Its registration has no readable remaining time.
        START: It has started again.
        READMISSION: The evacuation of its zone has ended.
        PEER: Another entry says so.
    """

    REGISTRATION = "registration"
    UNREADABLE = "unreadable"
    START = "start"
    READMISSION = "readmission"
    PEER = "peer"


@dataclasses.dataclass(slots=True)
class _Replica:
    """What an entry knows about the temperature of a replica.

    Attributes:
        record: Newest registration; None if only another entry reported it.
        service: Service of the registration.
        started_ms: Latest start, Unix time in milliseconds.
        known_since_s: Time since which this start is known, in seconds.
        readmitted_revision: Store revision of the end of the evacuation of its
            zone; 0 for none.
        unregistered_s: Time when the registration was found missing.
        is_unreadable_logged: Whether its unreadable time was logged.
    """

    record: ReplicaRecord | None = None
    service: Service | None = None
    started_ms: int = 0
    known_since_s: float = 0.0
    readmitted_revision: int = 0
    unregistered_s: float | None = None
    is_unreadable_logged: bool = False


class ColdReplicas:
    """Cold replicas of the services that bound requests to them.

    Replicas of other services are never cold.

    Example:
        >>> cold = ColdReplicas()
        >>> cold.observe_report(InstanceId("a"), 2.0, now_s=10.0)
        >>> cold.is_cold(InstanceId("a"), 11.9), cold.is_cold(
        ...     InstanceId("a"), 12.0
        ... )
        (True, False)
    """

    def __init__(self) -> None:
        self._replicas: dict[InstanceId, _Replica] = {}
        self._until_s: dict[InstanceId, float] = {}

    def observe_registration(
        self, record: ReplicaRecord, service: Service | None, now_s: float
    ) -> None:
        """Applies a registration, unless it was applied before.

        A replica counts as warm before its time if it has been known for longer
        than a cold start and its registration says that it is warm.

        Args:
            record: The registration.
            service: Its service in the active configuration, if any.
            now_s: Current time in seconds.
        """
        instance = record.instance
        if service is None or not 0 < service.cold_requests_per_s < math.inf:
            self._forget(instance)
            return
        replica = self._replicas.setdefault(instance, _Replica())
        known = replica.record
        replica.service = service
        replica.unregistered_s = None
        if known is not None and _is_same_write(known, record):
            return
        is_restarted = (
            known is not None and record.started_ms > replica.started_ms
        )
        if known is None or is_restarted:
            replica.known_since_s = now_s
            replica.started_ms = record.started_ms
            replica.is_unreadable_logged = False
        replica.record = record
        self._apply_remaining(replica, is_restarted, now_s)

    def _apply_remaining(
        self, replica: _Replica, is_restarted: bool, now_s: float
    ) -> None:
        instance = replica.record.instance
        remaining = replica.record.cold_remaining
        cold_start = replica.service.cold_start
        if remaining is None and not replica.is_unreadable_logged:
            replica.is_unreadable_logged = True
            emit(
                Event.COLD_TIME_UNREADABLE,
                replica=instance,
                applied_s=cold_start.total_seconds(),
            )
        if is_restarted:
            duration = max(cold_start, remaining or timedelta())
            self._set_cold(instance, duration, ColdCause.START, now_s)
        elif remaining is None:
            self._set_cold(instance, cold_start, ColdCause.UNREADABLE, now_s)
        elif remaining > timedelta():
            self._set_cold(instance, remaining, ColdCause.REGISTRATION, now_s)
        elif (
            now_s - replica.known_since_s >= cold_start.total_seconds()
            and not 0 < replica.record.revision <= replica.readmitted_revision
        ):
            self._set_warm(instance)

    def observe_report(
        self, instance: InstanceId, remaining_s: float, now_s: float
    ) -> None:
        """Applies what another entry says of a replica.

        This entry may not know the replica yet.

        Args:
            instance: The replica.
            remaining_s: Time for which it stays cold, in seconds.
            now_s: Current time in seconds.

        Raises:
            ValueError: If the time is out of range, or if too many replicas
                are known.
        """
        if not 0 <= remaining_s <= _MAX_COLD_S:
            raise ValueError(f"cold time {remaining_s} s is out of range")
        if instance not in self._replicas:
            if len(self._replicas) >= _MAX_REPLICAS:
                raise ValueError(f"no room for replica {instance}")
            self._replicas[instance] = _Replica(unregistered_s=now_s)
        duration = timedelta(seconds=remaining_s)
        self._set_cold(instance, duration, ColdCause.PEER, now_s)

    def observe_readmission(
        self, instances: Iterable[InstanceId], now_s: float, revision: int = 0
    ) -> None:
        """Records that the evacuation of a zone has ended.

        Its replicas are cold, unless a later registration says that one is
        warm.

        Args:
            instances: Replicas of the zone; those of services whose replicas
                are never cold are left out.
            now_s: Current time in seconds.
            revision: Store revision of the end of the evacuation, or of the
                list of items that lacks the evacuation. Registrations up to it
                are not later ones. 0 if unknown.
        """
        for instance in instances:
            replica = self._replicas.get(instance)
            if replica is not None and replica.service is not None:
                replica.readmitted_revision = revision
                duration = replica.service.cold_start
                self._set_cold(instance, duration, ColdCause.READMISSION, now_s)

    def _set_cold(
        self,
        instance: InstanceId,
        duration: timedelta,
        cause: ColdCause,
        now_s: float,
    ) -> None:
        until_s = now_s + min(duration.total_seconds(), _MAX_COLD_S)
        if until_s <= now_s:
            return
        if not self.is_cold(instance, now_s):
            self._set_warm(instance)
            emit(
                Event.REPLICA_COLD,
                replica=instance,
                for_s=round(until_s - now_s, 3),
                cause=cause.value,
            )
        self._until_s[instance] = max(
            until_s, self._until_s.get(instance, until_s)
        )

    def _set_warm(self, instance: InstanceId) -> None:
        if self._until_s.pop(instance, None) is not None:
            emit(Event.REPLICA_WARM, replica=instance)

    def _forget(self, instance: InstanceId) -> None:
        self._replicas.pop(instance, None)
        self._set_warm(instance)

    def retain(self, instances: Collection[InstanceId], now_s: float) -> None:
        """Forgets replicas that have not been registered for a time.

        Args:
            instances: Registered replicas.
            now_s: Current time in seconds.
        """
        for instance in self._replicas.keys() - instances:
            replica = self._replicas[instance]
            if replica.unregistered_s is None:
                replica.unregistered_s = now_s
            elif now_s - replica.unregistered_s > _UNREGISTERED_MEMORY_S:
                self._forget(instance)

    def check_warm(self, now_s: float) -> None:
        """Logs the replicas that have become warm."""
        for instance, until_s in list(self._until_s.items()):
            if now_s >= until_s:
                self._set_warm(instance)

    def is_cold(self, instance: InstanceId, now_s: float) -> bool:
        """Returns whether a replica is cold."""
        until_s = self._until_s.get(instance)
        return until_s is not None and now_s < until_s

    def list_cold(self, now_s: float) -> frozenset[InstanceId]:
        """Returns the replicas that are cold."""
        return frozenset(
            instance
            for instance, until_s in self._until_s.items()
            if now_s < until_s
        )

    def get_remaining_s(self, instance: InstanceId, now_s: float) -> float:
        """Returns the time for which a replica stays cold, in seconds."""
        return max(0.0, self._until_s.get(instance, now_s) - now_s)

    def get_requests_per_s(self, instance: InstanceId) -> float | None:
        """Returns the requests per second that a cold replica takes.

        Returns:
            None if its registration or its service is unknown here.
        """
        replica = self._replicas.get(instance)
        if replica is None or replica.service is None:
            return None
        return replica.service.cold_requests_per_s


def _is_same_write(known: ReplicaRecord, record: ReplicaRecord) -> bool:
    """Returns whether two records were decoded from the same registration."""
    if record is known:
        return True
    return record.revision > 0 and record.revision == known.revision
