"""Parameters of rate limits and admission queues."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


def _require(valid: bool, name: str, value: object, allowed: str) -> None:
    if not valid:
        raise ChicoryplankError(
            ErrorCode.INVALID_SETTINGS,
            f"{name} must be {allowed}, got {value!r}",
        )


def _require_positive(parameters: object, names: tuple[str, ...]) -> None:
    for name in names:
        value = getattr(parameters, name)
        zero = timedelta() if isinstance(value, timedelta) else 0
        _require(value > zero, name, value, "positive")


@dataclasses.dataclass(frozen=True, slots=True)
class ShareParameters:
    """Parameters of the rate shares of one entry.

    Attributes:
        max_lag: Largest accepted age of a demand sum.
        silence: Time without demand sums after which each of N entries uses
            1/N of the rate.
        tick: Interval between updates of the demand estimate.
        smoothing: Time constant of the demand estimate.
        even_part: Smallest part of an account's rate that is divided evenly
            among the entries, so that an entry without demand has a share.
        burst: Size of the token bucket, as time at the entry's share.
        advance: Additional size of the buckets of all entries together, as
            time at the account's rate.
        min_advance_requests: Smallest additional size of the bucket of one
            entry, in requests.
        min_advance_tokens: Smallest additional size of the bucket of one
            entry, in generated tokens.
    """

    max_lag: timedelta = timedelta(seconds=6)
    silence: timedelta = timedelta(seconds=3)
    tick: timedelta = timedelta(milliseconds=500)
    smoothing: timedelta = timedelta(seconds=15)
    even_part: float = 0.1
    burst: timedelta = timedelta(seconds=1)
    advance: timedelta = timedelta(seconds=12)
    min_advance_requests: float = 2.0
    min_advance_tokens: float = 1024.0

    def __post_init__(self) -> None:
        _require_positive(
            self,
            (
                "max_lag",
                "silence",
                "tick",
                "smoothing",
                "even_part",
                "burst",
                "min_advance_tokens",
            ),
        )
        _require(
            self.min_advance_requests >= 1,
            "min_advance_requests",
            self.min_advance_requests,
            "at least 1",
        )
        _require(
            self.advance >= timedelta(),
            "advance",
            self.advance,
            "at least 0",
        )


@dataclasses.dataclass(frozen=True, slots=True)
class QueueParameters:
    """Parameters of admission to one replica group.

    Attributes:
        initial_limit: Concurrency limit at the start.
        min_limit: Lower bound of the concurrency limit.
        max_limit: Upper bound of the concurrency limit.
        token_interval: Mean time per generated token above which the limit
            shrinks.
        tolerance: Ratio of a service's latency to its lowest recent latency
            above which the limit shrinks; used for requests without tokens.
        urgent_part: Additional slots for urgent requests beyond the limit, as
            a fraction of the limit; at least one slot.
        lower_every: Number of slots that go to higher classes before a waiting
            class gets the next one.
        max_queued: Largest number of queued requests per priority class.
        initial_work_s: Seconds per token that are assumed before the first
            response; a request counts as its tokens plus 16.
        margin: Safety factor on the estimated service time.
        min_retry_after: Smallest Retry-After of a refusal.
        max_retry_after: Largest Retry-After of a refusal.
    """

    initial_limit: int = 64
    min_limit: int = 1
    max_limit: int = 4096
    token_interval: timedelta = timedelta(milliseconds=30)
    tolerance: float = 2.0
    urgent_part: float = 0.1
    lower_every: int = 16
    max_queued: int = 1024
    initial_work_s: float = 0.01
    margin: float = 1.1
    min_retry_after: timedelta = timedelta(milliseconds=100)
    max_retry_after: timedelta = timedelta(seconds=30)

    def __post_init__(self) -> None:
        names = tuple(
            field.name
            for field in dataclasses.fields(self)
            if field.name != "urgent_part"
        )
        _require_positive(self, names)
        _require(
            self.min_limit <= self.initial_limit <= self.max_limit,
            "initial_limit",
            self.initial_limit,
            f"between {self.min_limit} and {self.max_limit}",
        )
        _require(
            self.urgent_part >= 0, "urgent_part", self.urgent_part, "at least 0"
        )
