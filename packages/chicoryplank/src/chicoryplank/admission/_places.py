"""Short wait for a place, in order of urgency.

Answers the pattern "all slots are taken for a moment": a request whose place
comes soon waits for it, the most urgent first.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Callable


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a place.

    Attributes:
        grant: Called once when the place is there.
        is_done: Whether it was granted or withdrawn.
    """

    grant: Callable[[], None]
    is_done: bool = False


class PlaceQueue:
    """Requests of one service that wait for a place.

    Args:
        max_waiting: Requests that may wait.

    Example:
        >>> queue = PlaceQueue(max_waiting=1)
        >>> queue.add(0, lambda: None) is not None
        True
        >>> queue.add(0, lambda: None) is None
        True
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._heap: list[tuple[int, int, Waiter]] = []
        self._numbers = itertools.count()
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def add(self, priority: int, grant: Callable[[], None]) -> Waiter | None:
        """Adds a request; returns None if too many wait already.

        Args:
            priority: 0 is the most urgent.
            grant: Called when the request has a place.
        """
        if self._waiting >= self._max_waiting:
            return None
        waiter = Waiter(grant)
        heapq.heappush(self._heap, (priority, next(self._numbers), waiter))
        self._waiting += 1
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits."""
        if not waiter.is_done:
            waiter.is_done = True
            self._waiting -= 1

    def grant(self, places: int) -> None:
        """Grants places to the most urgent requests, oldest first."""
        while places > 0 and self._heap:
            _, _, waiter = heapq.heappop(self._heap)
            if waiter.is_done:
                continue
            waiter.is_done = True
            self._waiting -= 1
            places -= 1
            waiter.grant()
