"""Priority queue of requests that wait for a free slot at a replica.

Absorbs short periods in which all slots are in use, instead of refusing
requests that a slot would reach soon. Within a priority, requests that can
still meet their latency target go first, since the others are late in any
case.
"""

import dataclasses
from collections.abc import Callable, Collection

# Weight of the newest sample in the moving average of the slot hold time.
_DURATION_GAIN = 0.05


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        priority: Priority class; 0 is the most urgent.
        latest_start_s: Latest start at which the latency target can be met.
        on_grant: Called once when the request gets a slot.
        attempts: Attempts that the request already had.
        gives_up_s: Time until which the request can wait.
        on_reject: Called once when no slot becomes free until then.
        is_granted: Whether it got a slot and was not withdrawn yet.
    """

    priority: int
    latest_start_s: float
    on_grant: Callable[[], None]
    attempts: int = 0
    gives_up_s: float = float("inf")
    on_reject: Callable[[], None] = lambda: None
    is_granted: bool = False


class SlotQueue:
    """Requests of one service that wait for a slot.

    Args:
        max_waiting: Largest number of requests that wait.

    Example:
        >>> queue = SlotQueue(max_waiting=1)
        >>> queue.add(0, 1.0, lambda: None) is not None
        True
        >>> queue.add(0, 1.0, lambda: None) is None
        True
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._waiters: list[Waiter] = []
        self._granted_count = 0
        self._mean_duration_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self,
        priority: int,
        latest_start_s: float,
        on_grant: Callable[[], None],
        attempts: int = 0,
        *,
        gives_up_s: float = float("inf"),
        on_reject: Callable[[], None] = lambda: None,
    ) -> Waiter | None:
        """Adds a request; returns None if the queue is full.

        Args:
            priority: Priority class; 0 is the most urgent.
            latest_start_s: Latest start at which the latency target can be
                met.
            on_grant: Called when the request gets a slot.
            attempts: Attempts that the request already had.
            gives_up_s: Time until which the request can wait.
            on_reject: Called when no slot becomes free until then.
        """
        if len(self._waiters) >= self._max_waiting:
            return None
        waiter = Waiter(
            priority, latest_start_s, on_grant, attempts, gives_up_s, on_reject
        )
        self._waiters.append(waiter)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request that uses its granted slot or stopped waiting."""
        if waiter.is_granted:
            waiter.is_granted = False
            self._granted_count -= 1
        elif waiter in self._waiters:
            self._waiters.remove(waiter)

    def reject_before(self, first_free_s: float) -> None:
        """Rejects the requests that give up before a slot becomes free.

        Args:
            first_free_s: Earliest time at which a slot can be free.
        """
        hopeless = [
            waiter
            for waiter in self._waiters
            if waiter.gives_up_s < first_free_s
        ]
        for waiter in hopeless:
            self._waiters.remove(waiter)
            waiter.on_reject()

    def observe_duration(self, duration_s: float) -> None:
        """Updates the mean time for which a request holds its slot."""
        if self._mean_duration_s is None:
            self._mean_duration_s = duration_s
        else:
            self._mean_duration_s += _DURATION_GAIN * (
                duration_s - self._mean_duration_s
            )

    @property
    def mean_duration_s(self) -> float | None:
        """Mean time in seconds for which a request holds its slot."""
        return self._mean_duration_s

    def estimate_wait(self, slots: float, free: float) -> float:
        """Returns the expected wait of one more request in seconds.

        Args:
            slots: This entry's share of all slots, free or in use.
            free: Its share of the free slots.
        """
        ahead = len(self._waiters) + 1 - free
        if self._mean_duration_s is None or ahead <= 0:
            return 0.0
        return ahead * self._mean_duration_s / max(slots, 1.0)

    def has_request_on_time(self, now_s: float) -> bool:
        """Tells whether any waiting request can meet its latency target."""
        return any(item.latest_start_s >= now_s for item in self._waiters)

    def grant(
        self,
        slots: int,
        now_s: float,
        reserve: int = 0,
        *,
        preferred: Collection[int] = (),
    ) -> None:
        """Grants slots by priority, then to requests on time, then by age.

        A request that was granted a slot and was not withdrawn yet counts
        against the free slots.

        Args:
            slots: Free slots.
            now_s: Current time in seconds.
            reserve: Free slots that late requests leave unused, for requests
                of other entries that are still on time.
            preferred: Priorities that go before all others.
        """
        slots -= self._granted_count
        while slots > 0 and self._waiters:
            waiter = min(
                (
                    item
                    for item in self._waiters
                    if slots > reserve or item.latest_start_s >= now_s
                ),
                key=lambda item: (
                    item.priority not in preferred,
                    item.priority,
                    item.latest_start_s < now_s,
                ),
                default=None,
            )
            if waiter is None:
                return
            slots -= 1
            self._grant_slot(waiter)

    def _grant_slot(self, waiter: Waiter) -> None:
        self._waiters.remove(waiter)
        waiter.is_granted = True
        self._granted_count += 1
        waiter.on_grant()

    def grant_probe(self) -> None:
        """Lets one waiting request probe a service that is down.

        The request with the fewest attempts goes first, since a first attempt
        takes nothing from the retry budget.
        """
        if self._waiters:
            self._grant_slot(min(self._waiters, key=lambda item: item.attempts))
