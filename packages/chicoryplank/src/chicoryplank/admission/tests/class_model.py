"""Model in virtual time of a lock-step group whose routes compete for slots.

A step takes a constant time plus a part for each request in progress, so that
the gaps between events exceed their target at half of the slots. Entries decide
with the counts of the others of a short time ago.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from chicoryplank.admission import ClassAdmission, ClassCount

SLOTS = 360
GAP_TARGET_S = 0.12
_BASE_STEP_S = 0.045
_STEP_PER_REQUEST_S = 0.0004
_COUNT_AGE_S = 0.15
_TICK_S = 0.01
# Requests per second, target of the first event and longest silence that the
# callers accept, in seconds, by class.
ROUTES = {0: (46, 0.4, 2.0), 1: (61, 0.4, 2.0), 2: (20, 0.8, 3.2)}


@dataclasses.dataclass(eq=False)
class Request:
    """A request of a caller, with what became of it."""

    priority: int
    account: int
    steps: int
    sent_s: float
    entry: int
    attempts: int = 0
    start_s: float = 0.0
    first_s: float | None = None
    last_s: float | None = None
    longest_gap_s: float = 0.0
    done_s: float | None = None
    left: int = 0

    @property
    def on_time(self):
        """Whether it was complete, with its first event and gaps in time."""
        return (
            self.done_s is not None
            and self.first_s - self.sent_s <= ROUTES[self.priority][1]
            and self.longest_gap_s <= GAP_TARGET_S
        )


class Load:
    """What callers do: changes of the rates in a period, and their habits."""

    def __init__(
        self,
        factors=None,
        start_s=4.0,
        end_s=10.0,
        *,
        retry_at_once=False,
        disconnect=0.0,
        account_factor=1.0,
        slot_factor=1.0,
        step_factor=1.0,
        held=False,
    ):
        self.factors = factors or {}
        self.start_s = start_s
        self.end_s = end_s
        self.retry_at_once = retry_at_once
        self.disconnect = disconnect
        self.account_factor = account_factor
        self.slot_factor = slot_factor
        self.step_factor = step_factor
        self.held = held

    def is_active(self, now_s):
        """Returns whether the disturbance lasts."""
        return self.start_s <= now_s < self.end_s


class Model:
    """Callers, entries and one group; `fifo` uses a plain queue instead."""

    def __init__(self, load, *, seed=1, entries=12, fifo=False, mean_steps=10):
        self.rng = random.Random(seed)
        self.load = load
        self.fifo = fifo
        self.end_s = load.end_s + 6.0
        self.mean_steps = mean_steps
        self.requests = []
        self.now_s = 0.0
        self.entries = [
            ClassAdmission(ROUTES, random.Random(seed * 1000 + number))
            for number in range(entries)
        ]
        self.own = [dict.fromkeys(ROUTES, 0) for _ in range(entries)]
        self.queue = collections.deque()
        self.active = []
        self._snapshots = collections.deque()
        self._returns = []
        self._numbers = itertools.count()
        self._step_end_s = 0.0

    def run(self):
        """Runs to the end and returns the model."""
        while self.now_s < self.end_s + 3.0:
            self.now_s += _TICK_S
            self._update_snapshots()
            self._arrive()
            self._start_queued()
            if self._is_held():
                self._drop_abandoned()
            elif self.now_s >= self._step_end_s:
                self._end_step()
        return self

    def _is_held(self):
        return self.load.held and self.load.is_active(self.now_s)

    @property
    def slots(self):
        """Slots of the ranks that are left."""
        active = self.load.is_active(self.now_s)
        return int(SLOTS * (self.load.slot_factor if active else 1.0))

    def _update_snapshots(self):
        """Entries send their counts each 0.05 s; the rest of the age is lag."""
        if self._snapshots and self.now_s - self._snapshots[-1][0] < 0.05:
            return
        copies = [dict(counts) for counts in self.own]
        total = [sum(counts[name] for counts in copies) for name in ROUTES]
        self._snapshots.append((self.now_s, total, copies))
        while self._snapshots[0][0] < self.now_s - _COUNT_AGE_S:
            self._snapshots.popleft()

    def _count(self, entry):
        """Returns the counts that an entry sees: its own and older others."""
        _, total, copies = self._snapshots[0]
        own, sent = self.own[entry], copies[entry]
        return {
            name: ClassCount(total[name] - sent[name] + own[name])
            for name in ROUTES
        }

    def _arrive(self):
        active = self.load.is_active(self.now_s)
        if self.now_s < self.end_s:
            for name, (rate, _, _) in ROUTES.items():
                factor = self.load.factors.get(name, 1.0) if active else 1.0
                self._arrive_class(name, rate * factor, active)
        while self._returns and self._returns[0][0] <= self.now_s:
            self._offer(heapq.heappop(self._returns)[2])

    def _arrive_class(self, name, rate, active):
        weights = [1.0] * 24
        if active:
            weights[0] = self.load.account_factor
        rate *= sum(weights) / 24
        while self.rng.random() < rate * _TICK_S:
            rate -= 1 / _TICK_S
            steps = 1 + min(60, int(self.rng.expovariate(1 / self.mean_steps)))
            account = self.rng.choices(range(24), weights)[0]
            entry = self.rng.randrange(len(self.entries))
            request = Request(name, account, steps, self.now_s, entry)
            self.requests.append(request)
            self._offer(request)

    def _offer(self, request):
        request.attempts += 1
        request.left = request.steps
        if self.fifo:
            self.queue.append(request)
            return
        admission = self.entries[request.entry]
        counts = self._count(request.entry)
        if len(self.active) < self.slots and admission.try_admit(
            request.priority, counts, self.slots, self.now_s
        ):
            self._start(request)
        elif request.attempts == 1:
            patience_s = ROUTES[request.priority][2]
            delay_s = self.rng.uniform(patience_s / 12, patience_s / 3)
            if self.load.retry_at_once:
                delay_s = _TICK_S
            entry = (self.now_s + delay_s, next(self._numbers), request)
            heapq.heappush(self._returns, entry)

    def _start(self, request):
        request.start_s = self.now_s
        self.active.append(request)
        self.own[request.entry][request.priority] += 1

    def _end(self, request):
        self.own[request.entry][request.priority] -= 1

    def _has_left(self, request):
        """Returns whether the caller has abandoned the request."""
        since_s = request.last_s or request.sent_s
        return self.now_s - since_s > ROUTES[request.priority][2]

    def _start_queued(self):
        while self.queue and len(self.active) < self.slots:
            request = self.queue.popleft()
            if not self._has_left(request):
                self._start(request)

    def _drop_abandoned(self):
        """Ends the requests whose callers have left."""
        left = [request for request in self.active if self._has_left(request)]
        for request in left:
            self._end(request)
            self.active.remove(request)

    def _end_step(self):
        """Delivers the events of a step and begins the next one."""
        remaining = []
        loads = [
            sum(count.in_progress for count in self._count(entry).values())
            for entry in range(len(self.entries))
        ]
        self._drop_abandoned()
        for request in self.active:
            self._deliver(request, loads[request.entry])
            is_gone = (
                self.load.is_active(self.now_s)
                and self.rng.random() < self.load.disconnect
            )
            if request.done_s is None and not is_gone:
                remaining.append(request)
            else:
                self._end(request)
        self.active = remaining
        ranks = self.slots / SLOTS
        step_s = _BASE_STEP_S + _STEP_PER_REQUEST_S * len(remaining) / ranks
        if self.load.is_active(self.now_s):
            step_s *= self.load.step_factor
        self._step_end_s = self.now_s + step_s * self.rng.gauss(1.0, 0.04)

    def _deliver(self, request, load):
        """Delivers one event; its entry measures it with the load it sees."""
        admission = self.entries[request.entry]
        if request.last_s is None:
            request.first_s = self.now_s
            ratio = (self.now_s - request.start_s) / ROUTES[request.priority][1]
            admission.observe_first_output(ratio, load, self.now_s)
        else:
            gap_s = self.now_s - request.last_s
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
            admission.observe_gap(gap_s / GAP_TARGET_S, load, self.now_s)
        request.last_s = self.now_s
        request.left -= 1
        if request.left == 0:
            request.done_s = self.now_s

    def select(self, start_s, end_s, **attributes):
        """Returns the requests of a period with the given attributes."""
        return [
            request
            for request in self.requests
            if start_s <= request.sent_s < end_s
            and all(
                getattr(request, name) == value
                for name, value in attributes.items()
            )
        ]


def get_served(requests):
    """Returns the fraction of requests that were complete."""
    return sum(item.done_s is not None for item in requests) / len(requests)


def get_on_time(requests):
    """Returns the fraction of requests that were complete and on time."""
    return sum(item.on_time for item in requests) / len(requests)
