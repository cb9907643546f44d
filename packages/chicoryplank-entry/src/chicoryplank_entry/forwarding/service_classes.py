"""Admission of one service whose routes have several priorities."""

import math
import random
from collections.abc import Iterable

from chicoryplank.admission import (
    ClassAdmission,
    ClassCount,
    EntryCount,
    Occupancy,
    SlotQueue,
)
from chicoryplank.events import Event, emit
from chicoryplank.ids import ServiceId
from chicoryplank_entry.forwarding.class_counts import ClassCounts
from chicoryplank_entry.forwarding.metrics import METRICS


class ServiceClasses:
    """Classes of a service: counts, measurements, decisions and reports.

    Args:
        service: The service.
        priorities: Priorities of its routes.
        counts: Requests by class over all entries.
        occupancy: Tells whether other entries are heard.
        entry_bound: Last known number of entries.
        rng: Random number generator.

    Attributes:
        slots: Slots of all replicas of the service.
    """

    def __init__(
        self,
        service: ServiceId,
        priorities: Iterable[int],
        *,
        counts: ClassCounts,
        occupancy: Occupancy,
        entry_bound: EntryCount,
        rng: random.Random,
    ) -> None:
        self.slots = 0
        self._service = service
        self._counts = counts
        self._occupancy = occupancy
        self._entry_bound = entry_bound
        self._admission = ClassAdmission(priorities, rng)

    def configure(self, priorities: Iterable[int], slots: int) -> None:
        """Replaces the priorities of the routes and the number of slots."""
        self._admission.configure(priorities)
        self.slots = slots

    def classify(self, priority: int) -> int:
        """Returns the class of a request with a priority."""
        return self._admission.classify(priority)

    def get_counts(self, now_s: float) -> dict[int, ClassCount]:
        """Returns the requests of all entries by class."""
        return self._counts.count(
            self._service,
            self._admission.priorities,
            self._entry_bound.get_bound(now_s),
            is_alone=not self._occupancy.has_peers,
        )

    def _get_load(self, now_s: float) -> int:
        counts = self.get_counts(now_s)
        return sum(count.in_progress for count in counts.values())

    def begin(self, priority: int) -> None:
        """Counts an admitted request until `end`."""
        self._counts.begin(self._service, priority)

    def end(self, priority: int) -> None:
        """Counts the end of an admitted request."""
        self._counts.end(self._service, priority)

    def begin_wait(self, priority: int) -> None:
        """Counts an admitted request as waiting for a slot."""
        self._counts.end(self._service, priority)
        self._counts.begin(self._service, priority, is_waiting=True)

    def end_wait(self, priority: int) -> None:
        """Counts a request as in progress again."""
        self._counts.end(self._service, priority, is_waiting=True)
        self._counts.begin(self._service, priority)

    def observe_gap(self, ratio: float, now_s: float) -> None:
        """Adds a gap between two events, as a fraction of its target."""
        self._admission.observe_gap(ratio, self._get_load(now_s), now_s)

    def observe_first_output(self, ratio: float, now_s: float) -> None:
        """Adds a time from an attempt to its first event, likewise."""
        self._admission.observe_first_output(
            ratio, self._get_load(now_s), now_s
        )

    def try_admit(self, priority: int, now_s: float) -> bool:
        """Returns whether a new request of a class is admitted."""
        is_admitted = self._admission.try_admit(
            priority, self.get_counts(now_s), self.slots, now_s
        )
        if not is_admitted:
            METRICS.count_class_refusal(self._service, priority)
        return is_admitted

    def describe(self, now_s: float) -> str:
        """Returns the state for the message of a refusal."""
        limit = self._admission.get_limit(self.slots, now_s)
        return f"{self._get_load(now_s)} in progress, limit {limit:.0f}"

    def schedule_return_s(
        self, priority: int, duration_s: float, now_s: float
    ) -> float:
        """Returns the delay after which a refused caller may try again."""
        return self._admission.schedule_return_s(
            priority,
            self.get_counts(now_s),
            duration_s=duration_s,
            entries=self._entry_bound.get_bound(now_s),
            slots=self.slots,
            now_s=now_s,
        )

    def grant(
        self, queue: SlotQueue, free: int, now_s: float, reserve: int
    ) -> None:
        """Grants free slots to waiting requests, up to a lower limit.

        Classes that are served too rarely go first.
        """
        counts = self.get_counts(now_s)
        max_load = self._admission.get_max_load(self.slots, now_s)
        load = sum(count.in_progress for count in counts.values())
        below_floor = self._admission.list_below_floor(counts)
        if max_load < self.slots:
            free = min(free, max(0, round(max_load) - load))
            reserve = math.ceil(reserve * max_load / self.slots)
        queue.grant(free, now_s, reserve, preferred=below_floor)

    def check(self, now_s: float) -> None:
        """Logs the beginning and end of a shortage; updates the gauges."""
        counts = self.get_counts(now_s)
        in_progress = {name: item.in_progress for name, item in counts.items()}
        limit = self._admission.get_limit(self.slots, now_s)
        METRICS.set_classes(self._service, limit, in_progress)
        change = self._admission.check_shortage(now_s)
        if change is None:
            return
        is_short, refused = change
        emit(
            Event.SHORTAGE_BEGAN if is_short else Event.SHORTAGE_ENDED,
            service=self._service,
            limit=round(limit),
            slots=self.slots,
            in_progress=in_progress,
            waiting={name: item.waiting for name, item in counts.items()},
            refused=refused,
        )
