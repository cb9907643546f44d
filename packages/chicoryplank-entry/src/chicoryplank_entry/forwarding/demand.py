"""Demand for the experts of a group, from the counts of its ranks."""

import math
from collections.abc import Mapping

from chicoryplank.ids import InstanceId


class Demand:
    """Choices of experts of a group, with fading memory.

    Args:
        memory_s: Time in which the weight of past choices falls to 37 %.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._last: dict[InstanceId, tuple[int, ...]] = {}
        self._loads: list[float] = []
        self._at_s: float | None = None

    @property
    def total(self) -> float:
        """Choices in the memory."""
        return sum(self._loads)

    def forget_counts(self) -> None:
        """Drops the counts of ranks, as after a restart; loads stay."""
        self._last.clear()

    def observe(
        self, counts: Mapping[InstanceId, tuple[int, ...]], now_s: float
    ) -> None:
        """Takes the counts of ranks since their start.

        Args:
            counts: Choices by rank; each of the length sets times experts.
            now_s: Current time in seconds.
        """
        size = max((len(values) for values in counts.values()), default=0)
        if len(self._loads) != size:
            self._loads = [0.0] * size
            self._last.clear()
        if self._at_s is not None:
            elapsed_s = max(0.0, now_s - self._at_s)
            keep = math.exp(-elapsed_s / self._memory_s)
            self._loads = [load * keep for load in self._loads]
        self._at_s = now_s
        for instance, values in counts.items():
            last = self._last.get(instance)
            self._last[instance] = values
            if last is None or len(last) != len(values):
                continue
            if any(map(int.__lt__, values, last)):
                continue  # The rank has started again.
            for index, value in enumerate(values):
                if value != last[index]:
                    self._loads[index] += value - last[index]

    def list_sets(self, sets: int) -> list[list[float]]:
        """Returns the loads by set and expert."""
        size = len(self._loads) // max(1, sets)
        return [
            self._loads[index * size : (index + 1) * size]
            for index in range(sets)
        ]
