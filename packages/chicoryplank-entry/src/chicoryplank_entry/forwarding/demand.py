"""Demand for the experts of a group, measured from the counts of its ranks."""

import math
import operator
from collections.abc import Iterator, Mapping, Sequence

from chicoryplank.ids import InstanceId


class Demand:
    """Number of choices of each expert of a group, with exponential decay.

    Args:
        decay_time_s: Time constant of the decay: the weight of past choices
            falls to 37 % in this time.
    """

    def __init__(self, decay_time_s: float) -> None:
        self._decay_time_s = decay_time_s
        self._last_counts: dict[InstanceId, tuple[int, ...]] = {}
        self._loads: list[float] = []
        self._updated_s: float | None = None

    @property
    def total(self) -> float:
        """Decayed number of choices of all experts."""
        return sum(self._loads)

    def reset_counts(self) -> None:
        """Discards the last counts of the ranks; the decayed loads stay."""
        self._last_counts.clear()

    def observe(
        self, counts: Mapping[InstanceId, tuple[int, ...]], now_s: float
    ) -> None:
        """Adds the increases of the counts since the previous call.

        Args:
            counts: Counts of each rank since its start, for each layer set and
                expert.
            now_s: Current time in seconds.
        """
        size = max((len(values) for values in counts.values()), default=0)
        if len(self._loads) != size:
            self._loads = [0.0] * size
            self._last_counts.clear()
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            decay = math.exp(-elapsed_s / self._decay_time_s)
            self._loads = [load * decay for load in self._loads]
        self._updated_s = now_s
        increased = []
        for instance, values in counts.items():
            last = self._last_counts.get(instance)
            self._last_counts[instance] = values
            if last is None or not len(last) == len(values) == size:
                continue
            if any(map(operator.lt, values, last)):
                continue  # The rank has restarted.
            increased.append((last, values))
        if not increased:
            return
        # Sums over the ranks first: a group has hundreds of ranks with
        # thousands of counts each.
        before, after = zip(*increased, strict=True)
        self._loads = [
            load + new - old
            for load, new, old in zip(
                self._loads, _sum_ranks(after), _sum_ranks(before), strict=True
            )
        ]

    def list_loads(self, sets: int) -> list[list[float]]:
        """Returns the loads by layer set and expert."""
        size = len(self._loads) // max(1, sets)
        return [
            self._loads[index * size : (index + 1) * size]
            for index in range(sets)
        ]


def _sum_ranks(counts: Sequence[Sequence[int]]) -> Iterator[int]:
    """Returns the sum of each expert's counts over the ranks."""
    return map(sum, zip(*counts, strict=True))
