"""Shares the capacity of a service between routes of several priorities.

Load pattern: a lock-step group runs its steps more slowly the more requests are
in progress, so the gaps between events exceed their target long before all
slots are in use, and requests of all routes are late alike. The number of
requests in progress at which the gaps meet their target is estimated from the
recent gaps. Above a part of it that depends on the priority, a growing fraction
of the requests of a class is refused at once.
"""

import collections
import dataclasses
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Time in seconds for which a gap counts, and the quantile of the gaps that is
# compared with the target. A mean would follow the single long gap of each
# stream when a group pauses, for example to change its expert map, and refuse
# most requests after each pause.
_GAP_WINDOW_S = 0.5
_GAP_QUANTILE = 0.75
# Same for the times to the first output. An entry sees a few per second, and
# the longest ones show the length of a prompt, not the load.
_FIRST_OUTPUT_WINDOW_S = 2.0
_FIRST_OUTPUT_QUANTILE = 0.5
# Bounds on the number of times from which a limit is estimated.
_MIN_SAMPLES = 5
_MAX_SAMPLES = 256
# Ratio of the times to their targets that the limit aims at, and the inverse of
# the assumed part of a step that grows with the load.
_SET_POINT = 0.92
_GAIN = 1.6
# Fraction of all slots below which the limit is not sought: long gaps then have
# another cause than the number of requests, such as a slow rank, and refusals
# would not shorten them. The limit that applies instead is half of the slots.
_MIN_LIMIT_SHARE = 0.25
_UNATTAINABLE_LIMIT_SHARE = 0.5
# Increase of the limit per second, as a fraction of all slots, while the times
# are below their set point, and without measurements. With a faster increase
# the load exceeds the set point again and again.
_RISE_PER_S = 0.05
_UNMEASURED_RISE_PER_S = 0.5
# Fraction of the limit above which a class is refused in part, for the most
# urgent class with demand; each less urgent class begins lower by _CLASS_STEP.
_FIRST_THRESHOLD = 1.0
_CLASS_STEP = 0.06
_MIN_THRESHOLD = 0.5
# Fraction of the limit between the first refusals of a class and the refusal
# of all its requests. Counts of other entries are 0.1 to 0.2 s old, so that a
# sharp threshold would let all entries admit and refuse together.
_BAND = 0.12
# Least probability of admission, as a fraction of the recent share of all
# requests that were admitted. Each class must be served at least a quarter as
# often as all requests.
_FLOOR_SHARE = 0.35
# Least share of admitted requests that the floor assumes, so that an entry
# which refuses everything still tries.
_MIN_ADMITTED_SHARE = 0.2
# Weight of the newest request in the share of admitted requests.
_ADMITTED_GAIN = 0.1
# Time in seconds for which a class keeps its demand after its last request.
_DEMAND_HOLD_S = 1.0
# Largest delay that a refused caller is told, in seconds.
_MAX_RETURN_S = 10.0
# Time in seconds without a refusal after which a shortage has ended.
_SHORTAGE_HOLD_S = 2.0


@dataclasses.dataclass(slots=True)
class ClassCount:
    """Requests of one class over all entries.

    Attributes:
        in_progress: Requests at replicas.
        waiting: Requests that wait for a slot.
    """

    in_progress: int = 0
    waiting: int = 0


class _Estimate(NamedTuple):
    """What recent times say about the load.

    Attributes:
        is_excessive: Whether the times are above their set point.
        allowed: Load at which they would be at their set point.
    """

    is_excessive: bool
    allowed: float


class _RecentTimes:
    """Recent times as fractions of their target, with the load at each.

    Args:
        window_s: Time in seconds for which a sample counts.
        quantile: Quantile of the samples that is brought to its target.
    """

    def __init__(self, window_s: float, quantile: float) -> None:
        self._window_s = window_s
        self._quantile = quantile
        self._samples: collections.deque[tuple[float, float, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )

    def add(self, ratio: float, load: float, now_s: float) -> None:
        """Adds a sample and the requests in progress at that time."""
        self._samples.append((now_s, ratio, load))

    def estimate(self, now_s: float) -> _Estimate | None:
        """Compares the recent times with their set point.

        Returns:
            None without enough recent samples.
        """
        samples = self._samples
        while samples and now_s - samples[0][0] > self._window_s:
            samples.popleft()
        if len(samples) < _MIN_SAMPLES:
            return None
        ratios = sorted(ratio for _, ratio, _ in samples)
        ratio = ratios[int(self._quantile * len(ratios))]
        load = sum(load for _, _, load in samples) / len(samples)
        change = _GAIN * (_SET_POINT / max(ratio, 0.01) - 1.0)
        return _Estimate(ratio > _SET_POINT, load * max(0.0, 1.0 + change))


class ClassAdmission:
    """Decides which requests of a service with several priorities are admitted.

    Args:
        priorities: Priorities of the routes of the service; 0 is the most
            urgent.
        rng: Random number generator.

    References:
        K. W. Ross, "Multiservice Loss Models for Broadband Telecommunication
        Networks", Springer 1995, chapter 4 (trunk reservation).

    Example:
        >>> admission = ClassAdmission([0, 2], random.Random(1))
        >>> admission.classify(1), admission.classify(3)
        (0, 2)
        >>> admission.try_admit(2, {}, slots=10, now_s=0.0)
        True
    """

    def __init__(self, priorities: Iterable[int], rng: random.Random) -> None:
        self._rng = rng
        self._priorities: tuple[int, ...] = ()
        self._gaps = _RecentTimes(_GAP_WINDOW_S, _GAP_QUANTILE)
        self._first_outputs = _RecentTimes(
            _FIRST_OUTPUT_WINDOW_S, _FIRST_OUTPUT_QUANTILE
        )
        self._admitted_share = 1.0
        self._limit: float | None = None
        self._limit_s = 0.0
        self._demand_s: dict[int, float] = {}
        self._refused: dict[int, int] = {}
        self._return_s: dict[int, float] = {}
        self._refused_s = float("-inf")
        self._is_short = False
        self.configure(priorities)

    @property
    def priorities(self) -> tuple[int, ...]:
        """Priorities of the classes, the most urgent first."""
        return self._priorities

    def configure(self, priorities: Iterable[int]) -> None:
        """Replaces the priorities; measurements are kept.

        Raises:
            ValueError: If there is no priority.
        """
        self._priorities = tuple(sorted(set(priorities)))
        if not self._priorities:
            raise ValueError("priorities is empty")

    def classify(self, priority: int) -> int:
        """Returns the class of a request, whose account may have a priority.

        The class is the one with the same priority, or else the next more
        urgent one.
        """
        below = [item for item in self._priorities if item <= priority]
        return below[-1] if below else self._priorities[0]

    def observe_gap(self, ratio: float, load: float, now_s: float) -> None:
        """Adds a gap between two events.

        Args:
            ratio: The gap as a fraction of its target.
            load: Requests in progress over all entries.
            now_s: Current time in seconds.
        """
        self._gaps.add(ratio, load, now_s)

    def observe_first_output(
        self, ratio: float, load: float, now_s: float
    ) -> None:
        """Adds a time to the first output, as a fraction of its target."""
        self._first_outputs.add(ratio, load, now_s)

    def get_limit(self, slots: int, now_s: float) -> float:
        """Returns the requests in progress at which times meet their targets.

        While the times are above their set point, the limit is at most the load
        at which they would be at it; otherwise it rises slowly. The time of a
        step is a constant plus a part that grows with the load, and that load
        is extrapolated with an assumed size of the part. A wrong assumption
        changes how fast repeated estimates approach the load, not the load.

        Args:
            slots: Slots of all replicas.
            now_s: Current time in seconds.
        """
        estimates = [
            estimate
            for times in (self._gaps, self._first_outputs)
            if (estimate := times.estimate(now_s)) is not None
        ]
        limit = float(slots) if self._limit is None else self._limit
        excesses = [item.allowed for item in estimates if item.is_excessive]
        if excesses:
            limit = min(limit, *excesses)
            if min(excesses) < _MIN_LIMIT_SHARE * slots:
                limit = _UNATTAINABLE_LIMIT_SHARE * slots
        else:
            rise = _RISE_PER_S if estimates else _UNMEASURED_RISE_PER_S
            limit += rise * slots * max(0.0, now_s - self._limit_s)
        self._limit = min(limit, float(slots))
        self._limit_s = now_s
        return self._limit

    def try_admit(
        self,
        priority: int,
        counts: Mapping[int, ClassCount],
        slots: int,
        now_s: float,
    ) -> bool:
        """Returns whether a new request is admitted.

        While the limit is all slots, every request is; the slots decide then.

        Args:
            priority: Class of the request.
            counts: Requests over all entries by class.
            slots: Slots of all replicas.
            now_s: Current time in seconds.
        """
        self._demand_s[priority] = now_s
        limit = self.get_limit(slots, now_s)
        load = sum(count.in_progress for count in counts.values())
        end = self._get_threshold(priority, counts, now_s) + _BAND
        chance = (end * limit - load) / max(_BAND * limit, 1.0)
        chance = max(chance, self._get_floor())
        is_admitted = limit >= slots or self._rng.random() < chance
        self._admitted_share += _ADMITTED_GAIN * (
            is_admitted - self._admitted_share
        )
        if not is_admitted:
            self._refused[priority] = self._refused.get(priority, 0) + 1
            self._refused_s = now_s
        return is_admitted

    def _get_threshold(
        self, priority: int, counts: Mapping[int, ClassCount], now_s: float
    ) -> float:
        """Returns the fraction of the limit that a class may fill.

        Capacity that more urgent classes do not ask for is lent to it.
        """
        for known, count in counts.items():
            if count.in_progress + count.waiting > 0:
                self._demand_s[known] = now_s
        more_urgent = sum(
            other < priority
            and now_s - self._demand_s.get(other, float("-inf"))
            <= _DEMAND_HOLD_S
            for other in self._priorities
        )
        return max(_MIN_THRESHOLD, _FIRST_THRESHOLD - _CLASS_STEP * more_urgent)

    def _get_floor(self) -> float:
        """Returns the least probability with which a request is admitted."""
        return _FLOOR_SHARE * max(_MIN_ADMITTED_SHARE, self._admitted_share)

    def schedule_return_s(
        self,
        priority: int,
        counts: Mapping[int, ClassCount],
        *,
        duration_s: float,
        entries: int,
        slots: int,
        now_s: float,
    ) -> float:
        """Returns the delay after which a refused caller may try again.

        The first caller is told when the requests in progress are expected to
        be below the threshold of the class, and each further one of the class
        the time at which this entry can admit one more.

        Args:
            priority: Class of the request.
            counts: Requests over all entries by class.
            duration_s: Mean time that a request is in progress.
            entries: Number of entries.
            slots: Slots of all replicas.
            now_s: Current time in seconds.
        """
        limit = max(1.0, self.get_limit(slots, now_s))
        load = sum(count.in_progress for count in counts.values())
        allowed = self._get_threshold(priority, counts, now_s) * limit
        forecast_s = max(0.0, load - allowed) / max(load, 1) * duration_s
        return_s = max(now_s + forecast_s, self._return_s.get(priority, 0.0))
        return_s = min(return_s, now_s + _MAX_RETURN_S)
        self._return_s[priority] = return_s + duration_s * entries / limit
        return return_s - now_s

    def get_max_load(self, slots: int, now_s: float) -> float:
        """Returns the requests in progress up to which slots are granted.

        It is the end of the band of the most urgent class, since the requests
        that wait for a slot were admitted before.
        """
        end = _FIRST_THRESHOLD + _BAND
        return min(float(slots), end * self.get_limit(slots, now_s))

    def list_below_floor(
        self, counts: Mapping[int, ClassCount]
    ) -> frozenset[int]:
        """Returns the classes with waiting requests that are served too rarely.

        Their share of requests in progress, among those that are in progress
        or wait, is less than a quarter of the share of all classes.
        """
        total = sum(count.in_progress for count in counts.values())
        asked = total + sum(count.waiting for count in counts.values())
        return frozenset(
            priority
            for priority, count in counts.items()
            if count.waiting
            and 4 * count.in_progress * asked
            < total * (count.in_progress + count.waiting)
        )

    def check_shortage(
        self, now_s: float
    ) -> tuple[bool, dict[int, int]] | None:
        """Returns a change between shortage and none since the last call.

        Returns:
            Whether there is a shortage, and the refused requests by class since
            it began; None if nothing has changed.
        """
        is_short = now_s - self._refused_s <= _SHORTAGE_HOLD_S
        if is_short == self._is_short:
            return None
        self._is_short = is_short
        refused = dict(self._refused)
        if not is_short:
            self._refused.clear()
        return is_short, refused
