"""Times and numbers of the crashes of each replica, as one entry sees them."""

from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

Replica = TypeVar("Replica", bound=Hashable)

# Time in seconds in which the ends of requests under a crash are noticed.
_CRASH_SPAN_S = 1.0


class CrashTimes(Generic[Replica]):
    """Last crash of each replica.

    Requests under one crash end one after the other. Those that were sent
    before a known crash and end soon after it belong to it.
    """

    def __init__(self) -> None:
        self._crashes: dict[Replica, tuple[float, int]] = {}

    def is_known(self, replica: Replica, sent_s: float, ended_s: float) -> bool:
        """Returns whether a request ended under the last known crash.

        Args:
            replica: Replica that the request was sent to.
            sent_s: Time when it was sent.
            ended_s: Time when it ended.
        """
        crashed_s, _ = self.get_last(replica)
        return sent_s <= crashed_s > ended_s - _CRASH_SPAN_S

    def add(self, replica: Replica, crashed_s: float) -> None:
        """Records a crash."""
        _, number = self.get_last(replica)
        self._crashes[replica] = crashed_s, number + 1

    def get_last(self, replica: Replica) -> tuple[float, int]:
        """Returns the time of the last crash, and how many there were."""
        return self._crashes.get(replica, (float("-inf"), 0))

    def retain(self, replicas: Collection[Replica]) -> None:
        """Forgets all other replicas."""
        for replica in self._crashes.keys() - replicas:
            del self._crashes[replica]
