"""Wait for a place, in order of urgency.

Answers the pattern "all slots are taken for a moment": a request whose place
comes soon waits for it. Among equally urgent requests those that can still be
in time go first, since the others are late in any case.
"""

import collections
import dataclasses
from collections.abc import Callable

# Span over which the rate of granted places is measured, in seconds.
_RATE_SPAN_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a place.

    Attributes:
        priority: 0 is the most urgent.
        fresh_until_s: Until when its answer can still be in time.
        grant: Called once when the place is there.
    """

    priority: int
    fresh_until_s: float
    grant: Callable[[], None]


class PlaceQueue:
    """Requests of one service that wait for a place.

    Args:
        max_waiting: Requests that may wait.

    Example:
        >>> queue = PlaceQueue(max_waiting=1)
        >>> queue.add(0, 1.0, lambda: None) is not None
        True
        >>> queue.add(0, 1.0, lambda: None) is None
        True
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._waiters: list[Waiter] = []
        self._freed: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self, priority: int, fresh_until_s: float, grant: Callable[[], None]
    ) -> Waiter | None:
        """Adds a request; returns None if too many wait already.

        Args:
            priority: 0 is the most urgent.
            fresh_until_s: Until when its answer can still be in time.
            grant: Called when the request has a place.
        """
        if len(self._waiters) >= self._max_waiting:
            return None
        waiter = Waiter(priority, fresh_until_s, grant)
        self._waiters.append(waiter)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def observe_freed(self, now_s: float) -> None:
        """Counts a place that became free."""
        self._freed.append(now_s)
        while self._freed and now_s - self._freed[0] > _RATE_SPAN_S:
            self._freed.popleft()

    def estimate_wait(self, now_s: float) -> float | None:
        """Returns the wait of one more request in seconds.

        Returns:
            The places that are waited for, over the rate at which they became
            free of late; None if none did.
        """
        while self._freed and now_s - self._freed[0] > _RATE_SPAN_S:
            self._freed.popleft()
        if not self._freed:
            return None
        return (len(self._waiters) + 1) * _RATE_SPAN_S / len(self._freed)

    def grant(self, places: int, now_s: float) -> None:
        """Grants places: by priority, then to those in time, then by age."""
        for _ in range(min(places, len(self._waiters))):
            waiter = min(
                self._waiters,
                key=lambda item: (item.priority, item.fresh_until_s < now_s),
            )
            self._waiters.remove(waiter)
            waiter.grant()
