"""Observations of a soak test: caller attempts, faults and violations."""

import dataclasses
import enum
import time
from collections import Counter

from chicoryplank_standins.calls import Call, Outcome

_MAX_EXAMPLES = 20


class EndReason(enum.Enum):
    """Why an attempt ended for its caller."""

    RESPONSE_RECEIVED = "answered"
    CALLER_LEFT = "gone"
    EARLY_RETRY = "late"
    CONNECTION_BROKEN = "broken"
    TIMED_OUT = "timed_out"
    ENTRY_UNREACHABLE = "unreached"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAttempt:
    """Attempt of a caller to get a call served by an entry.

    Attributes:
        call: The call.
        entry: Name of the entry.
        sent_s: Unix time at which the request was sent.
        ended_s: Unix time at which the attempt ended.
        end_reason: Why it ended; with CALLER_LEFT and EARLY_RETRY the caller
            stopped waiting before its deadline.
        outcome: Result of checking the response, if there was one.
        is_first: Whether this is the first attempt at the call.
    """

    call: Call
    entry: str
    sent_s: float
    ended_s: float
    end_reason: EndReason
    outcome: Outcome
    is_first: bool

    @property
    def may_have_run(self) -> bool:
        """Whether the caller cannot know that the call was not executed."""
        if self.end_reason is EndReason.ENTRY_UNREACHABLE:
            return False
        return self.outcome.verdict != "not_run"


@dataclasses.dataclass(slots=True)
class Interval:
    """Interval in which a fault or an operation has effects.

    Attributes:
        kind: Kind of the fault or operation.
        targets: Names of the affected processes or links.
        start_s: Unix time of the start.
        end_s: Unix time after which there are no more effects.
    """

    kind: str
    targets: frozenset[str]
    start_s: float
    end_s: float = float("inf")

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Tells whether the interval and a time span overlap."""
        return self.start_s <= end_s and self.end_s >= start_s


class Timeline:
    """Intervals of all faults and operations of a run."""

    def __init__(self) -> None:
        self.intervals: list[Interval] = []

    def begin(self, kind: str, *targets: str) -> Interval:
        """Adds an interval that starts now."""
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
            start_s: Start of the time span, Unix time.
            end_s: End of the time span, Unix time.
            targets: Processes or links of which the interval affects at least
                one; any if empty.
            kinds: Kinds of faults, separated by spaces; any if empty.
        """
        wanted_kinds = frozenset(kinds.split())
        return [
            item
            for item in self.intervals
            if item.overlaps(start_s, end_s)
            and (not targets or not item.targets.isdisjoint(targets))
            and (not wanted_kinds or item.kind in wanted_kinds)
        ]

    def count(self) -> dict[str, int]:
        """Returns the number of intervals of each kind."""
        return dict(sorted(Counter(i.kind for i in self.intervals).items()))


class Violations:
    """Number of violations by kind, with the details of the first ones."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.examples: list[str] = []

    def add(self, kind: str, detail: str) -> None:
        """Counts a violation."""
        self.counts[kind] += 1
        if len(self.examples) < _MAX_EXAMPLES:
            self.examples.append(f"{kind}: {detail}")
