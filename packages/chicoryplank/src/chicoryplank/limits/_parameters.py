"""Parameters of the limits."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


def _require(valid: bool, name: str, value: object, allowed: str) -> None:
    if not valid:
        raise ChicoryplankError(
            ErrorCode.INVALID_SETTINGS,
            f"{name} must be {allowed}, got {value!r}",
        )


def _require_positive(instance: object, names: tuple[str, ...]) -> None:
    for name in names:
        value = getattr(instance, name)
        zero = timedelta() if isinstance(value, timedelta) else 0
        _require(value > zero, name, value, "positive")


@dataclasses.dataclass(frozen=True, slots=True)
class ShareParameters:
    """Parameters of the rate shares.

    Attributes:
        max_lag: Largest accepted age of a demand sum.
        silence: Time without demand sums after which the share is 1/N.
        tick: Interval at which demand is estimated.
        smoothing: Time constant of the demand estimate.
        even_part: Least part of an account's rate that is spread evenly over
            the entries, so that an idle entry has a share.
        burst: Bucket size, as time at the entry's share.
        advance: Bucket size beyond the share, as time at the account's rate
            summed over all entries.
        min_advance_requests: Smallest such size of one entry, in requests.
        min_advance_tokens: The same in generated tokens.
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
        initial_limit: Requests in progress at the start.
        min_limit: Least requests in progress.
        max_limit: Most requests in progress.
        token_interval: Mean time per generated token above which the limit
            falls.
        tolerance: Ratio of a service's latency to its least recent latency
            above which the limit falls; for requests without tokens.
        urgent_part: Slots beyond the limit for urgent requests, as a part of
            the limit; at least one slot.
        lower_every: A waiting class gets the next slot after this many slots
            went to better classes.
        max_queued: Queued requests per priority class.
        initial_work_s: Seconds per token assumed before the first answer; a
            request counts as its tokens plus 16.
        margin: Factor on the estimated service time.
        min_retry_after: Least Retry-After of a refusal.
        max_retry_after: Greatest Retry-After of a refusal.
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
