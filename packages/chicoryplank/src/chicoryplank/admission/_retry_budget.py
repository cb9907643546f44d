"""Retry budget of a service, divided among entries without a shared counter.

Limits retry amplification when many first attempts fail, also while entries
restart: a process that starts has saved nothing and earns its retries.
"""

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


# Fractions of the ratio and of the extra retries that are used. An observer
# outside this process counts requests and retries of a window at other times.
_USABLE_RATIO = 0.9
_SAVED_EXTRA = 0.5
_REFILLED_EXTRA = 0.35
# An entry that may save less than one retry could never retry.
_MIN_SAVED = 1.0


class RetryBudget:
    """Token bucket of the retries of one service at one entry.

    Each request adds a fraction of a retry, and each second adds a part of the
    share of the extra retries. The bucket saves a limited number. In any window
    all N entries together thus retry at most

        0.9 * ratio * requests + max(0.5 * extra, N) + 0.35 * extra

    requests, where `requests` are those received in the same window. Since the
    bucket is empty when the process starts, this also holds if processes are
    replaced at any time. It requires only that no entry divides by less than
    the number of entries.

    Args:
        parameters: Bounds of all entries together.
        started_s: Time at which the process started, in seconds.

    Example:
        >>> budget = RetryBudget(RetryBudgetParameters(0.0, 20), 0.0)
        >>> budget.try_spend(entries=10, now_s=0.0)
        False
        >>> [budget.try_spend(entries=10, now_s=60.0) for _ in range(2)]
        [True, False]
    """

    def __init__(
        self, parameters: RetryBudgetParameters, started_s: float
    ) -> None:
        self.parameters = parameters
        self._entries = 1
        self._balance = 0.0
        self._updated_s = started_s

    def configure(self, parameters: RetryBudgetParameters) -> None:
        """Changes the bounds; retries of before still count."""
        saved = self._get_max_saved()
        self.parameters = parameters
        lowered = max(0.0, saved - self._get_max_saved())
        self._balance = min(self._balance, saved) - lowered

    def observe_request(self) -> None:
        """Adds the part of a retry that a first attempt earns."""
        self._balance += _USABLE_RATIO * self.parameters.ratio

    def try_spend(self, entries: int, now_s: float) -> bool:
        """Spends one retry if the budget allows it.

        Args:
            entries: Entries that divide the extra retries.
            now_s: Current time in seconds.
        """
        if not self.can_spend(entries, now_s):
            return False
        self._balance -= 1
        return True

    def can_spend(self, entries: int, now_s: float) -> bool:
        """Tells whether the budget allows one more retry."""
        self._entries = max(1, entries)
        window_s = self.parameters.window.total_seconds()
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        refill = _REFILLED_EXTRA * self._get_own_extra() * elapsed_s / window_s
        self._balance = min(self._balance + refill, self._get_max_saved())
        return self._balance >= 1

    def _get_own_extra(self) -> float:
        return self.parameters.extra / self._entries

    def _get_max_saved(self) -> float:
        return max(_MIN_SAVED, _SAVED_EXTRA * self._get_own_extra())
