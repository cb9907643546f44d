"""What the soak run observes: tries of callers and intervals of faults."""

import dataclasses
import enum
import time
from collections import Counter

from chicoryplank_standins.calls import Call, Outcome

_MAX_EXAMPLES = 20


class Ending(enum.Enum):
    """How a try ended for its caller."""

    ANSWERED = "answered"
    GONE = "gone"
    LATE = "late"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """One try of a call.

    Attributes:
        entry: Name of the entry.
        sent_s: Unix time at which it was sent.
        ended_s: Unix time at which it ended.
        ending: How it ended; GONE and LATE are decisions of the caller.
        outcome: What the answer said, if there was one.
        is_first: Whether it is the first try of its call.
    """

    call: Call
    entry: str
    sent_s: float
    ended_s: float
    ending: Ending
    outcome: Outcome
    is_first: bool

    @property
    def may_have_run(self) -> bool:
        """Whether the caller was not told that the try did not run."""
        if self.ending is Ending.UNREACHED:
            return False
        return self.outcome.verdict != "not_run"


@dataclasses.dataclass(slots=True)
class Interval:
    """Time in which a fault or an operation is in force.

    Attributes:
        kind: Name of the fault.
        targets: Processes or links that it concerns.
        start_s: Unix time of its start.
        end_s: Unix time after which nothing is left of it.
    """

    kind: str
    targets: frozenset[str]
    start_s: float
    end_s: float = float("inf")

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Tells whether a part of a time span is in the interval."""
        return self.start_s <= end_s and self.end_s >= start_s


class Timeline:
    """Intervals of all faults."""

    def __init__(self) -> None:
        self.intervals: list[Interval] = []

    def begin(self, kind: str, *targets: str) -> Interval:
        """Starts an interval now."""
        interval = Interval(kind, frozenset(targets), time.time())
        self.intervals.append(interval)
        return interval

    def end(self, interval: Interval, margin_s: float = 0) -> None:
        """Ends an interval now, or a margin later."""
        interval.end_s = time.time() + margin_s

    def find(
        self, start_s: float, end_s: float, *targets: str, kinds: str = ""
    ) -> list[Interval]:
        """Returns the intervals that overlap a time span.

        Args:
            start_s: Unix time.
            end_s: Unix time.
            targets: Any of these processes or links; all if empty.
            kinds: Names of faults, separated by spaces; all if empty.
        """
        wanted = frozenset(kinds.split())
        return [
            item
            for item in self.intervals
            if item.overlaps(start_s, end_s)
            and (not targets or not item.targets.isdisjoint(targets))
            and (not wanted or item.kind in wanted)
        ]

    def count(self) -> dict[str, int]:
        """Returns the number of intervals of each kind."""
        return dict(sorted(Counter(i.kind for i in self.intervals).items()))


class Violations:
    """Counts violations by kind and keeps some examples."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.examples: list[str] = []

    def add(self, kind: str, detail: str) -> None:
        """Counts a violation."""
        self.counts[kind] += 1
        if len(self.examples) < _MAX_EXAMPLES:
            self.examples.append(f"{kind}: {detail}")
