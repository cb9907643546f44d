"""Parameters of the retry policy."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class RetryParameters:
    """Parameters of retries and hedges.

    Attributes:
        ratio: Retries and hedges that each request of an account adds to the
            account's budget.
        total_ratio: The same for all accounts of the entry together; the
            excess over ratio is what floors and savings may add to the
            traffic.
        floor_per_s: Retries per second that an account gets beside that.
        initial: Budget of an account at its first request.
        max_saved: Largest budget of an account, and of the entry.
        max_retries: Retries of one request.
        base: Bound of the first backoff; it doubles with each retry.
        max_backoff: Largest bound of a backoff.
        hedge_percentile: Part of attempts that yield their first token
            before a hedge is considered.
        hedge_reserve: Budget that hedges leave for retries.
        min_samples: First tokens of a group before a hedge is considered.
        overload_hold: Time without hedges in a group after a refusal for
            overload.
        max_retry_after: Greatest Retry-After of an exhausted budget.
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
