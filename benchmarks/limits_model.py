"""Event-driven model of batching engines, used by limits.py and retry.py."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
MAX_BATCH_SIZE = 64
BASE_STEP_S = 0.006
STEP_S_PER_REQUEST = 0.00025
MEAN_TOKENS = 100


def to_datetime(now: float) -> datetime:
    """Converts simulated seconds to a datetime."""
    return EPOCH + timedelta(seconds=now)


def draw_tokens(rng: random.Random) -> int:
    """Draws the number of tokens of a response; the mean is about 100."""
    return int(min(500, 8 + rng.expovariate(1 / (MEAN_TOKENS - 8))))


def compute_capacity(
    replicas: int, step_s_per_request: float = STEP_S_PER_REQUEST
) -> float:
    """Returns the tokens per second of all replicas with full batches."""
    return (
        replicas
        * MAX_BATCH_SIZE
        / (BASE_STEP_S + step_s_per_request * MAX_BATCH_SIZE)
    )


class Simulation:
    """Event loop of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Schedules an action for a simulated time."""
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def run(self, until: float) -> None:
        """Runs the events that are due up to a simulated time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One attempt at an engine.

    Attributes:
        tokens: Tokens of the response.
        priority: Priority class; lower values are started first.
        on_complete: Called when the response is complete.
        on_start: Called when the job enters the batch.
        finish_step: Step of the engine in which the response is complete.
        running: Whether the job has entered the batch.
        cancelled: Whether the job was cancelled before it was complete.
    """

    tokens: int
    priority: int
    on_complete: Callable[[], None]
    on_start: Callable[[], None] | None = None
    finish_step: float = 0.0
    running: bool = False
    cancelled: bool = False


class Replica:
    """Engine that decodes up to 64 requests in each step.

    A step takes 6 ms plus 0.25 ms for each request in the batch and yields
    one token for each of them. Further requests are queued by priority, then
    by arrival.

    Args:
        simulation: Event loop that the replica schedules its events on.
        step_s_per_request: Time that each request in the batch adds to a
            step; 0 for a service with 64 workers.

    Attributes:
        load: Number of running and queued jobs.
    """

    def __init__(
        self,
        simulation: Simulation,
        step_s_per_request: float = STEP_S_PER_REQUEST,
    ) -> None:
        self._simulation = simulation
        self._step_s_per_request = step_s_per_request
        self._sequence = itertools.count()
        self._running_jobs: list[tuple[float, int, Job]] = []
        self._queued_jobs: list[tuple[int, int, Job]] = []
        self._running_count = 0
        self._completed_steps = 0.0
        self._updated_at = 0.0
        self._schedule_version = 0
        self.load = 0

    def submit(self, job: Job) -> None:
        """Queues a job and starts it if the batch has room."""
        self._update_progress()
        self.load += 1
        heapq.heappush(
            self._queued_jobs, (job.priority, next(self._sequence), job)
        )
        self._start_jobs()

    def cancel(self, job: Job) -> None:
        """Cancels a job that is not complete."""
        self._update_progress()
        job.cancelled = True
        self.load -= 1
        if job.running:
            self._running_count -= 1
        self._start_jobs()

    def _update_progress(self) -> None:
        elapsed = self._simulation.now - self._updated_at
        step_s = BASE_STEP_S + self._step_s_per_request * self._running_count
        self._completed_steps += elapsed / step_s
        self._updated_at = self._simulation.now

    def _start_jobs(self) -> None:
        while self._queued_jobs and self._running_count < MAX_BATCH_SIZE:
            job = heapq.heappop(self._queued_jobs)[2]
            if job.cancelled:
                continue
            job.running = True
            job.finish_step = self._completed_steps + job.tokens
            self._running_count += 1
            heap_item = (job.finish_step, next(self._sequence), job)
            heapq.heappush(self._running_jobs, heap_item)
            if job.on_start:
                job.on_start()
        while self._running_jobs and self._running_jobs[0][2].cancelled:
            heapq.heappop(self._running_jobs)
        self._schedule_version += 1
        if self._running_jobs:
            version = self._schedule_version
            step_s = (
                BASE_STEP_S + self._step_s_per_request * self._running_count
            )
            remaining_steps = max(
                0.0, self._running_jobs[0][0] - self._completed_steps
            )
            self._simulation.schedule(
                self._updated_at + remaining_steps * step_s,
                lambda: self._complete_next(version),
            )

    def _complete_next(self, version: int) -> None:
        if version != self._schedule_version:
            return
        self._update_progress()
        job = heapq.heappop(self._running_jobs)[2]
        self._running_count -= 1
        self.load -= 1
        self._start_jobs()
        job.on_complete()


def choose_replica(replicas: list[Replica], rng: random.Random) -> Replica:
    """Chooses the less loaded of two random replicas."""
    first, second = rng.choice(replicas), rng.choice(replicas)
    return first if first.load <= second.load else second
