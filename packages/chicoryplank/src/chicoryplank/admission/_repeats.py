"""Budget of repeats that all entries share without messages.

Answers the pattern "many first tries fail, and repeats double the load": each
entry may repeat a share of the requests that it has seen itself, plus its part
of a fixed extra.
"""

import collections
import dataclasses
from datetime import timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatParameters:
    """Bounds on repeats in any window.

    Attributes:
        ratio: Repeats for each request.
        extra: Repeats of all entries together beyond the ratio.
        window: Length of the window.
    """

    ratio: float = 0.2
    extra: int = 90
    window: timedelta = timedelta(seconds=10)


# Part of the budget that is used. Requests and repeats of one window are
# counted by the judge at other moments than here.
_USABLE_SHARE = 0.8


class RepeatBudget:
    """Repeats of one service at one entry.

    Args:
        parameters: Bounds of all entries together.

    Example:
        >>> budget = RepeatBudget(RepeatParameters(0.0, 20))
        >>> [budget.take(entries=10, now_s=0.0) for _ in range(2)]
        [True, False]
    """

    def __init__(self, parameters: RepeatParameters) -> None:
        self.parameters = parameters
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def observe_request(self, now_s: float) -> None:
        """Counts the first try of a request."""
        self._requests.append(now_s)

    def take(self, entries: int, now_s: float) -> bool:
        """Takes one repeat if the budget allows it.

        Args:
            entries: Entries that share the extra.
            now_s: Current time in seconds.
        """
        if not self.has(entries, now_s):
            return False
        self._repeats.append(now_s)
        return True

    def has(self, entries: int, now_s: float) -> bool:
        """Tells whether the budget allows one repeat."""
        start_s = now_s - self.parameters.window.total_seconds()
        for times in (self._requests, self._repeats):
            while times and times[0] <= start_s:
                times.popleft()
        own_extra = self.parameters.extra / max(1, entries)
        allowed = self.parameters.ratio * len(self._requests) + own_extra
        return len(self._repeats) + 1 <= allowed * _USABLE_SHARE
