"""Model in virtual time of replicas that ramp up while a backlog waits."""

import math
import random

from chicoryplank.admission import (
    PaceOutcome,
    PaceState,
    ReplicaPace,
    ServiceTimes,
)

TICK_S = 0.01
SERVICE_S = 0.2
SLOW_S = 1.3 * SERVICE_S
# Response time from which a response is late, as with a target of 400 ms.
LATE_S = 2 * SERVICE_S
# Ends of requests become known late, with the next exchange of counts.
_COUNT_LAG_S = 0.1


class NoRamp:
    """Baseline: all slots are open at once."""

    def __init__(self, slots):
        self.limit = slots
        self.state = PaceState.STEADY

    def get_wait_s(self, in_progress, now_s):
        return 0.0 if in_progress < self.limit else 0.1

    def record_permit(self, in_progress, now_s):
        pass

    def observe(self, outcome, elapsed_s, slow_s, now_s):
        pass

    def reset(self, now_s):
        pass


class FixedRamp(NoRamp):
    """Baseline: the limit grows to all slots in 5 s."""

    def __init__(self, slots):
        super().__init__(slots)
        self._slots = slots
        self._started_s = 0.0

    def get_wait_s(self, in_progress, now_s):
        share = min(1.0, (now_s - self._started_s) / 5.0)
        self.limit = max(1, int(self._slots * share))
        return super().get_wait_s(in_progress, now_s)

    def reset(self, now_s):
        self._started_s = now_s


class _Job:
    def __init__(self, sent_s, service_s):
        self.sent_s = sent_s
        self.left_s = service_s


class Replica:
    """Replica that shares its capacity among its requests.

    Args:
        get_capacity: Returns the number of requests that the replica processes
            without delay, by time; 0 while it is down.
        pace: Controller or baseline.
        queue: Requests beyond its capacity that it accepts.
        loss: Share of the outcomes that are lost on the way to the controller.
        spread: Standard deviation of the logarithm of the service time.
    """

    def __init__(
        self, get_capacity, pace, *, queue=6, loss=0.0, spread=0.0, seed=1
    ):
        self.pace = pace
        self.history = []
        self.finished = []
        self.sent = self.rejected = self.lost = 0
        self.ramp_end_s = None
        self.times = None
        self._get_capacity = get_capacity
        self._queue = queue
        self._loss = loss
        self._spread = spread
        self._rng = random.Random(seed)
        self._jobs = []
        self._ended_s = []

    def get_load(self, now_s):
        """Returns the requests in progress per unit of capacity, at least 1."""
        capacity = self._get_capacity(now_s)
        return max(1.0, len(self._jobs) / capacity) if capacity else 1.0

    def run_tick(self, now_s, slowdown):
        """Processes requests, and sends those that the controller permits."""
        if not self._get_capacity(now_s):
            for _ in self._jobs:
                self.lost += 1
                self._report(PaceOutcome.BROKEN, 0.0, now_s)
            self._jobs.clear()
        for job in list(self._jobs):
            job.left_s -= TICK_S / slowdown
            if job.left_s <= 0:
                self._jobs.remove(job)
                self._ended_s.append(now_s)
                elapsed_s = now_s - job.sent_s
                self.finished.append((now_s, elapsed_s))
                self._report(PaceOutcome.RESPONSE, elapsed_s, now_s)
                if self.times and isinstance(self.pace, NoRamp):
                    self.times.observe(elapsed_s, now_s)
        self._send(now_s)
        self.history.append((now_s, self.pace.limit, len(self._jobs)))
        if self.pace.state is PaceState.STEADY and self.ramp_end_s is None:
            self.ramp_end_s = now_s

    def _send(self, now_s):
        self._ended_s = [
            at for at in self._ended_s if now_s - at < _COUNT_LAG_S
        ]
        while True:
            in_progress = len(self._jobs) + len(self._ended_s)
            if self.pace.get_wait_s(in_progress, now_s) > 0:
                return
            self.pace.record_permit(in_progress, now_s)
            self.sent += 1
            capacity = self._get_capacity(now_s)
            if not capacity:
                self.rejected += 1
                self._report(PaceOutcome.BROKEN, 0.0, now_s)
                self._ended_s.append(now_s)
            elif len(self._jobs) >= capacity + self._queue:
                self.rejected += 1
                self._report(PaceOutcome.REJECTED, 0.0, now_s)
                self._ended_s.append(now_s)
            else:
                service_s = SERVICE_S * math.exp(
                    self._rng.gauss(0.0, self._spread)
                )
                self._jobs.append(_Job(now_s, service_s))

    def _report(self, outcome, elapsed_s, now_s):
        if self._rng.random() >= self._loss:
            slow_s = self.times and self.times.get_slow_s(now_s)
            self.pace.observe(outcome, elapsed_s, slow_s or SLOW_S, now_s)

    # Results.

    def find_full_use_s(self, warm_s, count):
        """Returns the time from being warm until a number is in progress."""
        used = [
            now_s
            for now_s, limit, running in self.history
            if now_s >= warm_s and limit >= count and running >= count - 2
        ]
        return min(used, default=float("inf")) - warm_s

    def find_bad_share(self, until_s=float("inf")):
        """Returns the share of requests that were rejected or late."""
        ended = [took for at, took in self.finished if at <= until_s]
        late = sum(took > LATE_S for took in ended)
        return (late + self.rejected) / max(1, len(ended) + self.rejected)

    def find_oscillation(self, from_s, until_s):
        """Returns the largest fall of the limit between two rises."""
        peak = previous = largest = 0
        for now_s, limit, _ in self.history:
            if from_s <= now_s < until_s:
                if limit > previous:
                    peak = limit
                previous = limit
                largest = max(largest, peak - limit)
        return largest


def run(replicas, duration_s, *, is_lockstep=False, restarts=()):
    """Runs replicas side by side; in lock-step the slowest one delays all."""
    due_s = sorted(restarts)
    if is_lockstep:
        times = ServiceTimes()
        for replica in replicas:
            replica.times = times
    for tick in range(round(duration_s / TICK_S)):
        now_s = tick * TICK_S
        while due_s and now_s >= due_s[0]:
            due_s.pop(0)
            for replica in replicas:
                replica.pace.reset(now_s)
        loads = [replica.get_load(now_s) for replica in replicas]
        for replica, load in zip(replicas, loads, strict=True):
            replica.run_tick(now_s, max(loads) if is_lockstep else load)


def make_pace(slots, **options):
    """Returns a controller at time 0."""
    return ReplicaPace(slots, 0.0, slow_s=SLOW_S, **options)
