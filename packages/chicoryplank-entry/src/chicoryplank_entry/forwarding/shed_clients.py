"""Log lines and counters of clients that are shed."""

from collections.abc import Callable

from chicoryplank.admission import ShedReason
from chicoryplank.events import Event, emit
from chicoryplank_entry.forwarding.metrics import METRICS

_LOG_INTERVAL_S = 1.0


class ShedClients:
    """Counts clients that are shed; logs a line at most once a second.

    Args:
        now_s: Returns the current time in seconds.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._logged_s = float("-inf")
        self._unlogged = 0

    def observe(self, reason: ShedReason, size_bytes: int) -> None:
        """Records that a client is shed.

        Args:
            reason: Why it is shed.
            size_bytes: Memory that it held.
        """
        METRICS.count_shed_client(reason)
        if reason is ShedReason.UNREAD:
            emit(Event.SLOW_CALLER_ABORTED, unread_bytes=size_bytes)
            return
        self._unlogged += 1
        now_s = self._now_s()
        if now_s - self._logged_s < _LOG_INTERVAL_S:
            return
        emit(
            Event.CLIENTS_SHED,
            count=self._unlogged,
            reason=reason.value,
            held_bytes=size_bytes,
        )
        self._logged_s, self._unlogged = now_s, 0


__all__ = ["ShedClients"]
