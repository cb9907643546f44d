"""Retry budget of a service, divided among entries without coordination.

Limits retry amplification when many first attempts fail: in any window each
entry may retry a fixed ratio of the requests that it received itself, plus an
equal part of a fixed allowance.
"""

import collections
import dataclasses
from datetime import timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetParameters:
    """Bounds on the retries of a service in any window.

    Attributes:
        ratio: Retries allowed for each request.
        extra: Retries of all entries together that are allowed beyond the
            ratio.
        window: Length of the sliding window.
    """

    ratio: float = 0.2
    extra: int = 90
    window: timedelta = timedelta(seconds=10)


# Part of the budget that is used. An observer outside this process counts the
# requests and retries of a window at other times, so its counts differ.
_USABLE_SHARE = 0.8


class RetryBudget:
    """Retry budget of one service at one entry.

    Args:
        parameters: Bounds of all entries together.

    Example:
        >>> budget = RetryBudget(RetryBudgetParameters(0.0, 20))
        >>> [budget.try_spend(entries=10, now_s=0.0) for _ in range(2)]
        [True, False]
    """

    def __init__(self, parameters: RetryBudgetParameters) -> None:
        self.parameters = parameters
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def observe_request(self, now_s: float) -> None:
        """Counts the first attempt of a request."""
        self._requests.append(now_s)

    def try_spend(self, entries: int, now_s: float) -> bool:
        """Spends one retry if the budget allows it.

        Args:
            entries: Entries that divide the extra retries.
            now_s: Current time in seconds.
        """
        if not self.can_spend(entries, now_s):
            return False
        self._retries.append(now_s)
        return True

    def can_spend(self, entries: int, now_s: float) -> bool:
        """Tells whether the budget allows one more retry."""
        start_s = now_s - self.parameters.window.total_seconds()
        for times in (self._requests, self._retries):
            while times and times[0] <= start_s:
                times.popleft()
        own_extra = self.parameters.extra / max(1, entries)
        allowed = self.parameters.ratio * len(self._requests) + own_extra
        return len(self._retries) + 1 <= allowed * _USABLE_SHARE
