"""Parameters of the balanced policy; docs/routing.md explains each."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


def _check(name: str, value: object, valid: bool, allowed: str) -> None:
    if not valid:
        raise ChicoryplankError(
            ErrorCode.INVALID_ROUTING_PARAMETER,
            f"{name}: {value} is not {allowed}",
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingParameters:
    """Parameters of the balanced policy.

    Loads are counted in normal requests.

    Attributes:
        choices: Replicas that are compared for each request.
        deciding_entries: Entries that send to the same replicas.
        report_decay: Age at which the weight of a report has fallen to 37 %,
            if one entry decides; it grows with the fourth root of the number
            of deciding entries.
        recent_weight: Load that a request adds at the moment it is sent.
        recent_time: Time in which that load falls to 37 %.
        zone_penalty: Load by which a replica in another zone must be better.
        affinity_bonus: Load by which a replica that holds the prefix may be
            worse.
        affinity_ttl: How long a replica counts as holder of a prefix without
            news of it.
        home_factor: Homes of a prefix are its share of the requests times the
            number of replicas times this factor.
        max_homes: Most homes of one prefix.
        max_prefixes: Prefixes that are remembered; each takes about 0.7 KB.
        queue_weight: Weight of a queued request against a running one.
        slow_start: Time in which a new replica reaches its full share.
        stall_timeout: Time without output, with requests in flight, after
            which a replica is ejected.
        max_failures: Failures in a row after which a replica is ejected.
        ejection: How long an ejected replica without requests in flight stays
            out of service.
        min_in_service: Share of the replicas that is never ejected.
        sweep_interval: Time between checks for stalls.

    Raises:
        ChicoryplankError: With INVALID_ROUTING_PARAMETER if a value is out of
            range.
    """

    choices: int = 2
    deciding_entries: int = 1
    report_decay: timedelta = timedelta(milliseconds=120)
    recent_weight: float = 5.0
    recent_time: timedelta = timedelta(milliseconds=100)
    zone_penalty: float = 10.0
    affinity_bonus: float = 20.0
    affinity_ttl: timedelta = timedelta(seconds=30)
    home_factor: float = 8.0
    max_homes: int = 64
    max_prefixes: int = 1_024
    queue_weight: float = 1.0
    slow_start: timedelta = timedelta(seconds=10)
    stall_timeout: timedelta = timedelta(seconds=1)
    max_failures: int = 5
    ejection: timedelta = timedelta(seconds=5)
    min_in_service: float = 0.5
    sweep_interval: timedelta = timedelta(milliseconds=100)

    def __post_init__(self) -> None:
        for name in (
            "choices",
            "deciding_entries",
            "max_homes",
            "max_prefixes",
            "max_failures",
        ):
            value = getattr(self, name)
            _check(name, value, value >= 1, "at least 1")
        for name in (
            "zone_penalty",
            "affinity_bonus",
            "queue_weight",
            "home_factor",
        ):
            value = getattr(self, name)
            _check(name, value, value >= 0, "at least 0")
        for name in (
            "report_decay",
            "recent_time",
            "affinity_ttl",
            "slow_start",
            "stall_timeout",
            "ejection",
            "sweep_interval",
        ):
            value = getattr(self, name)
            _check(name, value, value > timedelta(), "a positive duration")
        share = self.min_in_service
        _check("min_in_service", share, 0 < share <= 1, "in (0, 1]")
