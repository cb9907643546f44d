"""Zones whose replicas get no new requests by order of the operator."""

from collections.abc import Iterable

from chicoryplank.ids import ZoneId

# Time in seconds for which a zone that is missing after a restore of the store
# stays evacuated; longer than the operator takes to write its keys again.
_RESTORE_MEMORY_S = 6.0


class ZoneEvacuations:
    """Evacuated zones, as known from the store.

    The end of an evacuation takes effect at once. A store that is restored from
    an older copy may lack a zone because the copy is older than the operator's
    write, so such a zone stays evacuated until the operator had time to write
    again.

    Attributes:
        zones: Zones that are evacuated now.

    Example:
        >>> evacuations = ZoneEvacuations()
        >>> evacuations.begin(ZoneId("a"))
        >>> evacuations.zones
        frozenset({'a'})
    """

    def __init__(self) -> None:
        self.zones: frozenset[ZoneId] = frozenset()
        self._due_s: dict[ZoneId, float] = {}

    def begin(self, zone: ZoneId) -> None:
        """Evacuates a zone, or confirms its evacuation after a restore."""
        self.zones |= {zone}
        self._due_s.pop(zone, None)

    def end(self, zone: ZoneId) -> None:
        """Ends the evacuation of a zone."""
        self.zones -= {zone}
        self._due_s.pop(zone, None)

    def replace_all(
        self,
        zones: Iterable[ZoneId],
        now_s: float,
        *,
        is_restored: bool = False,
    ) -> frozenset[ZoneId]:
        """Replaces the zones by a complete list from the store.

        Args:
            zones: All zones in the store.
            now_s: Current time in seconds.
            is_restored: Whether the store was restored from an older copy.

        Returns:
            Zones that are missing from the list and stay evacuated for now,
            because of this restore or an earlier one.
        """
        listed = frozenset(zones)
        missing = self.zones - listed
        if is_restored:
            self._due_s = dict.fromkeys(missing, now_s + _RESTORE_MEMORY_S)
        else:
            self._due_s = {
                zone: due_s
                for zone, due_s in self._due_s.items()
                if zone in missing
            }
        self.zones = listed.union(self._due_s)
        return frozenset(self._due_s)

    def remove_expired(self, now_s: float) -> bool:
        """Ends evacuations that were not written again after a restore.

        Returns:
            Whether any evacuation ended.
        """
        expired = [
            zone for zone, due_s in self._due_s.items() if now_s >= due_s
        ]
        for zone in expired:
            self.end(zone)
        return bool(expired)
