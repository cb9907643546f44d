"""Event-driven model of batching engines, for the benchmarks of limits."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

START = datetime(2026, 1, 1, tzinfo=UTC)
BATCH = 64
STEP_S = 0.006
STEP_PER_REQUEST_S = 0.00025
MEAN_TOKENS = 100


def find_time(now: float) -> datetime:
    """Converts model seconds to a time."""
    return START + timedelta(seconds=now)


def draw_tokens(rng: random.Random) -> int:
    """Draws the number of tokens of an answer; the mean is about 100."""
    return int(min(500, 8 + rng.expovariate(1 / (MEAN_TOKENS - 8))))


def find_capacity(replicas: int, growth_s: float = STEP_PER_REQUEST_S) -> float:
    """Returns the tokens per second that full batches generate."""
    return replicas * BATCH / (STEP_S + growth_s * BATCH)


class Simulation:
    """Queue of timed events."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Runs an action at a time."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One attempt at an engine.

    Attributes:
        tokens: Tokens of the answer.
        priority: Priority class; a lower value goes first.
        done: Called when the answer is complete.
        started: Called when the engine begins with the first token.
    """

    tokens: int
    priority: int
    done: Callable[[], None]
    started: Callable[[], None] | None = None
    finish: float = 0.0
    running: bool = False
    cancelled: bool = False


class Replica:
    """Engine that shares its step among up to 64 requests.

    A step takes 6 ms plus 0.25 ms for each request in the batch and yields
    one token for each. Further requests wait by priority, then arrival.

    Args:
        simulation: The simulation.
        growth_s: Time that each request in the batch adds to a step; 0 for a
            service with 64 workers.
    """

    def __init__(
        self, simulation: Simulation, growth_s: float = STEP_PER_REQUEST_S
    ) -> None:
        self._simulation = simulation
        self._growth_s = growth_s
        self._order = itertools.count()
        self._running: list[tuple[float, int, Job]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._count = 0
        self._steps = 0.0
        self._updated = 0.0
        self._version = 0
        self.load = 0

    def submit(self, job: Job) -> None:
        """Takes a job."""
        self._advance()
        self.load += 1
        heapq.heappush(self._waiting, (job.priority, next(self._order), job))
        self._fill()

    def cancel(self, job: Job) -> None:
        """Drops a job that is not complete."""
        self._advance()
        job.cancelled = True
        self.load -= 1
        if job.running:
            self._count -= 1
        self._fill()

    def _advance(self) -> None:
        elapsed = self._simulation.now - self._updated
        step_s = STEP_S + self._growth_s * self._count
        self._steps += elapsed / step_s
        self._updated = self._simulation.now

    def _fill(self) -> None:
        while self._waiting and self._count < BATCH:
            job = heapq.heappop(self._waiting)[2]
            if job.cancelled:
                continue
            job.running = True
            job.finish = self._steps + job.tokens
            self._count += 1
            item = (job.finish, next(self._order), job)
            heapq.heappush(self._running, item)
            if job.started:
                job.started()
        while self._running and self._running[0][2].cancelled:
            heapq.heappop(self._running)
        self._version += 1
        if self._running:
            version = self._version
            step_s = STEP_S + self._growth_s * self._count
            left = max(0.0, self._running[0][0] - self._steps)
            self._simulation.schedule(
                self._updated + left * step_s, lambda: self._finish(version)
            )

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        job = heapq.heappop(self._running)[2]
        self._count -= 1
        self.load -= 1
        self._fill()
        job.done()


def choose_replica(replicas: list[Replica], rng: random.Random) -> Replica:
    """Chooses the less loaded of two random replicas."""
    first, second = rng.choice(replicas), rng.choice(replicas)
    return first if first.load <= second.load else second
