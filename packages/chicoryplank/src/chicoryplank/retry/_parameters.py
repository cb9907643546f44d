"""Parameters of the retry policy."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class RetryParameters:
    """Parameters of retries and hedges.

    Attributes:
        ratio: Retries and hedges that each request of an account adds to the
            budget of the account.
        total_ratio: Retries and hedges that each request adds to the budget
            of the entry for all accounts together. The excess over `ratio`
            leaves room for the retries from `floor_per_s` and from saved
            budgets.
        floor_per_s: Retries per second that are added to each budget
            regardless of requests.
        initial: Initial value of each budget.
        max_saved: Largest value of each budget.
        max_retries: Largest number of retries of one request.
        base: Upper bound of the first backoff; doubles with each retry.
        max_backoff: Largest upper bound of a backoff.
        hedge_percentile: Fraction of attempts that produce their first token
            within the hedge delay.
        hedge_reserve: Budget that hedges leave for retries.
        min_samples: Number of first tokens of a group that must be observed
            before hedging.
        overload_hold: Time without hedges in a group after a refusal for
            overload.
        max_retry_after: Largest Retry-After when a budget is exhausted.
    """

    ratio: float = 0.15
    total_ratio: float = 0.18
    floor_per_s: float = 0.05
    initial: float = 2.0
    max_saved: float = 10.0
    max_retries: int = 2
    base: timedelta = timedelta(milliseconds=50)
    max_backoff: timedelta = timedelta(seconds=2)
    hedge_percentile: float = 0.95
    hedge_reserve: float = 2.0
    min_samples: int = 100
    overload_hold: timedelta = timedelta(seconds=5)
    max_retry_after: timedelta = timedelta(seconds=30)

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            zero = timedelta() if isinstance(value, timedelta) else 0
            self._require(value >= zero, field.name, "at least 0")
        self._require(self.floor_per_s > 0, "floor_per_s", "above 0")
        self._require(self.max_saved >= 1, "max_saved", "at least 1")
        self._require(self.hedge_percentile < 1, "hedge_percentile", "below 1")

    def _require(self, valid: bool, name: str, allowed: str) -> None:
        if not valid:
            raise ChicoryplankError(
                ErrorCode.INVALID_SETTINGS,
                f"{name} must be {allowed}, got {getattr(self, name)!r}",
            )
