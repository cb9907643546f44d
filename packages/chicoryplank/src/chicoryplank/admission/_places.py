"""Wait for a place, in order of urgency.

Answers the pattern "all slots are taken for a moment": a request whose place
comes soon waits for it. Among equally urgent requests those that can still be
in time go first, since the others are late in any case.
"""

import dataclasses
from collections.abc import Callable

# Weight of the newest duration in the mean.
_DURATION_GAIN = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a place.

    Attributes:
        priority: 0 is the most urgent.
        fresh_until_s: Until when its answer can still be in time.
        grant: Called once when the place is there.
        sends: How often the request was sent before.
        is_granted: Whether it has its place and has not gone on yet.
    """

    priority: int
    fresh_until_s: float
    grant: Callable[[], None]
    sends: int = 0
    is_granted: bool = False


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
        self._granted = 0
        self._duration_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self,
        priority: int,
        fresh_until_s: float,
        grant: Callable[[], None],
        sends: int = 0,
    ) -> Waiter | None:
        """Adds a request; returns None if too many wait already.

        Args:
            priority: 0 is the most urgent.
            fresh_until_s: Until when its answer can still be in time.
            grant: Called when the request has a place.
            sends: How often the request was sent before.
        """
        if len(self._waiters) >= self._max_waiting:
            return None
        waiter = Waiter(priority, fresh_until_s, grant, sends)
        self._waiters.append(waiter)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits, with a place or without."""
        if waiter.is_granted:
            waiter.is_granted = False
            self._granted -= 1
        elif waiter in self._waiters:
            self._waiters.remove(waiter)

    def observe_duration(self, duration_s: float) -> None:
        """Takes how long a request kept its place."""
        if self._duration_s is None:
            self._duration_s = duration_s
        else:
            self._duration_s += _DURATION_GAIN * (duration_s - self._duration_s)

    def estimate_wait(self, places: float, free: float) -> float:
        """Returns the wait of one more request in seconds.

        Args:
            places: Places of this entry, free or not: its part of all.
            free: Those of them that are free.
        """
        ahead = len(self._waiters) + 1 - free
        if self._duration_s is None or ahead <= 0:
            return 0.0
        return ahead * self._duration_s / max(places, 1.0)

    def has_fresh(self, now_s: float) -> bool:
        """Tells whether a request waits that can still be in time."""
        return any(item.fresh_until_s >= now_s for item in self._waiters)

    def grant(self, places: int, now_s: float, reserve: int = 0) -> None:
        """Grants places: by priority, then to those in time, then by age.

        Requests that were granted a place and have not gone on yet still
        count against the free ones.

        Args:
            places: Places that are free.
            now_s: Current time in seconds.
            reserve: Free places that requests which are late in any case
                leave to those that other entries may have.
        """
        places -= self._granted
        while places > 0 and self._waiters:
            waiter = min(
                (
                    item
                    for item in self._waiters
                    if places > reserve or item.fresh_until_s >= now_s
                ),
                key=lambda item: (item.priority, item.fresh_until_s < now_s),
                default=None,
            )
            if waiter is None:
                return
            places -= 1
            self._give(waiter)

    def _give(self, waiter: Waiter) -> None:
        self._waiters.remove(waiter)
        waiter.is_granted = True
        self._granted += 1
        waiter.grant()

    def grant_probe(self) -> None:
        """Lets one request try a service that is down.

        A request that was never sent goes first, since its send is not a
        repeat.
        """
        if self._waiters:
            self._give(min(self._waiters, key=lambda item: item.sends))
