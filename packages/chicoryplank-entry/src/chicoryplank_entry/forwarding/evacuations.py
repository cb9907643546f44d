"""Evacuated zones, as holds of their replicas."""

import math
from collections.abc import Callable, Collection, Iterable

from chicoryplank.admission import HoldReason, ReplicaHolds
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.traffic import ReplicaRecord, ZoneEvacuations
from chicoryplank_entry.forwarding.metrics import METRICS


def _ignore(instances: Collection[InstanceId]) -> None:
    pass


class EvacuationHolds:
    """Feeds the holds of one entry with the replicas of evacuated zones.

    Changes of the evacuated zones take effect at the next `apply`, so that all
    changes that arrive together are applied as one.

    Args:
        holds: Replicas that get no new request.

    Attributes:
        zones: Zones that are evacuated, as of the last `apply`.
        on_ended: Called with the registered replicas of a zone when its
            evacuation has ended, before they get requests again.
    """

    def __init__(self, holds: ReplicaHolds) -> None:
        self._holds = holds
        self._evacuations = ZoneEvacuations()
        self.zones: frozenset[ZoneId] = frozenset()
        self.on_ended: Callable[[Collection[InstanceId]], None] = _ignore

    def begin(self, zone: ZoneId) -> None:
        """Evacuates a zone."""
        self._evacuations.begin(zone)

    def end(self, zone: ZoneId) -> None:
        """Ends the evacuation of a zone."""
        self._evacuations.end(zone)

    def replace_all(
        self, zones: Iterable[ZoneId], now_s: float, *, is_restored: bool
    ) -> None:
        """Replaces the zones by a complete list from the store.

        Args:
            zones: All zones in the store.
            now_s: Current time in seconds.
            is_restored: Whether the store was restored from an older copy.
        """
        kept = self._evacuations.replace_all(
            zones, now_s, is_restored=is_restored
        )
        if is_restored:
            for zone in sorted(kept):
                emit(Event.EVACUATION_UNCONFIRMED, zone=zone)

    def remove_expired(self, now_s: float) -> bool:
        """Ends evacuations that were not written again after a restore.

        Returns:
            Whether any evacuation ended.
        """
        return self._evacuations.remove_expired(now_s)

    def apply(self, replicas: Iterable[ReplicaRecord]) -> None:
        """Holds the replicas of evacuated zones and releases all others.

        Args:
            replicas: All registered replicas.
        """
        zones = self._evacuations.zones
        members: dict[ZoneId, list[InstanceId]] = {}
        for replica in replicas:
            members.setdefault(replica.zone, []).append(replica.instance)
            if replica.zone not in zones:
                self._holds.release(replica.instance, HoldReason.EVACUATED)
            elif self._holds.hold(
                replica.instance,
                HoldReason.EVACUATED,
                math.inf,
                replica.started_ms,
            ):
                METRICS.count_hold(HoldReason.EVACUATED.value)
        begun = sorted(zones - self.zones)
        ended = sorted(self.zones - zones)
        self.zones = zones
        for zone in begun:
            self._log_begin(zone, len(members.get(zone, ())))
        for zone in ended:
            instances = members.get(zone, [])
            emit(Event.ZONE_READMITTED, zone=zone, replicas=len(instances))
            self.on_ended(instances)
        METRICS.set_evacuated_zones(len(zones))

    def _log_begin(self, zone: ZoneId, replica_count: int) -> None:
        if replica_count:
            emit(Event.ZONE_EVACUATED, zone=zone, replicas=replica_count)
        else:
            emit(Event.EVACUATED_ZONE_UNKNOWN, zone=zone)
