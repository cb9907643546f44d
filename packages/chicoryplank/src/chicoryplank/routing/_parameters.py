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

    The unit of load is one request of normal cost.

    Attributes:
        choices: Random replicas that are compared for each request.
        deciding_entries: Number of entries that send to the same replicas.
        report_decay: Time constant with which the weight of a load report
            decays (to 37 %) for one deciding entry; it grows with the fourth
            root of the number of deciding entries.
        recent_weight: Extra load of a replica right after a request was sent
            to it, for the prefill of that request.
        recent_time: Time constant with which that extra load decays (to 37 %).
        zone_penalty: Load added to replicas in other availability zones.
        affinity_bonus: Load subtracted from replicas that hold the prefix.
        affinity_ttl: Time after which a replica no longer counts as holder of
            a prefix, unless a request or cache event renews it.
        home_factor: The number of preferred replicas ("homes") of a prefix is
            its share of the requests times the number of replicas times this
            factor.
        max_homes: Largest number of preferred replicas of one prefix.
        max_prefixes: Largest number of prefixes in the index; each takes about
            0.7 KB.
        queue_weight: Load of a queued request; a running one counts as 1.
        slow_start: Time in which a new replica reaches its full share of
            requests.
        stall_timeout: Time without output, with requests in flight, after
            which a replica is ejected.
        max_failures: Consecutive failures after which a replica is ejected.
        ejection: Time for which an ejected replica without requests in flight
            stays out of service; it doubles with each consecutive fault.
        min_in_service: Smallest share of the replicas that stays in service,
            whatever their faults.
        sweep_interval: Time between checks for faults.

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
