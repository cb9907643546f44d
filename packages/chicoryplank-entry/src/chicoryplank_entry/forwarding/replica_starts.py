"""Starts of replicas, as this entry reads them from the store."""

from collections.abc import Sequence
from datetime import UTC, datetime, timedelta

from chicoryplank.ids import InstanceId
from chicoryplank.traffic import ReplicaRecord

_ORIGIN = datetime(1970, 1, 1, tzinfo=UTC)
# Number of starts that are remembered beyond those of registered replicas.
# Registrations lapse during an outage of the store.
_MAX_UNREGISTERED = 1_000


class ReplicaStarts:
    """Tells replicas that have started from those that were known before.

    Example:
        >>> ReplicaStarts().find_started([], datetime(2026, 1, 1, tzinfo=UTC))
        {}
    """

    def __init__(self) -> None:
        self._starts_ms: dict[InstanceId, int] | None = None

    def find_started(
        self, records: Sequence[ReplicaRecord], now: datetime
    ) -> dict[InstanceId, float]:
        """Returns the ages of replicas that are new since the last call.

        Args:
            records: All registered replicas.
            now: Wall-clock time.

        Returns:
            Seconds by replica. The first call returns all replicas with a known
            start, since this entry can't tell which were known before.
        """
        if self._starts_ms is None:
            self._starts_ms = {
                record.instance: record.started_ms for record in records
            }
            now_ms = (now - _ORIGIN) / timedelta(milliseconds=1)
            return {
                record.instance: max(0.0, (now_ms - record.started_ms) / 1000)
                for record in records
                if record.started_ms > 0
            }
        started = {}
        for record in records:
            known_ms = self._starts_ms.get(record.instance)
            if known_ms is None or record.started_ms > known_ms:
                started[record.instance] = 0.0
            # The newest ones last, so that the oldest are removed first.
            self._starts_ms.pop(record.instance, None)
            self._starts_ms[record.instance] = max(
                record.started_ms, known_ms or 0
            )
        excess = len(self._starts_ms) - len(records) - _MAX_UNREGISTERED
        for instance in list(self._starts_ms)[: max(0, excess)]:
            del self._starts_ms[instance]
        return started
