"""Event-driven model of engines, entries and the network between them.

A step of an engine takes 6 ms, plus time per decoding request and per
prefilled token. An engine has a batch of bounded size, a queue, and a prefix
cache with least-recently-used eviction. Load 1.0 is the request rate at which
all batches are full if nine of ten prefixes are cached.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import time
from datetime import UTC, datetime, timedelta

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.routing import (
    CacheEvent,
    Candidate,
    LoadReport,
    Policy,
    Progress,
    RoutingRequest,
)

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
ZONES = tuple(ZoneId(name) for name in ("hall-a", "hall-b", "hall-c"))
_BASE_STEP_S = 0.006
_DECODE_S_PER_REQUEST = 0.00004
_PREFILL_S_PER_TOKEN = 0.00002
_MAX_BATCH = 48
_MAX_PREFILL_TOKENS_PER_STEP = 512
_MAX_CACHED_PREFIXES = 60
_PREFIX_COUNT = 600
_PREFIX_TOKENS = 600
_MEAN_SUFFIX_TOKENS = 175
_MEAN_OUTPUT_TOKENS = 120
_ASSUMED_HIT_RATE = 0.9
_REPORT_INTERVAL_S = 0.05
_EVENT_DELAY_S = 0.2
_EVENT_LOSS = 0.02
_SAME_ZONE_DELAY_S = 0.0001
_CROSS_ZONE_DELAY_S = 0.0015
WARM_UP_S = 15.0
_FAULT_START_S = 18.0
_STALL_DURATION_S = 4.0
_INSTANCE_LIST_DELAY_S = 2.0
# The central queue of the ideal policy prefers requests with a cached prefix
# among its first 64, unless the first request has waited 0.5 s.
_CENTRAL_QUEUE_LOOKAHEAD = 64
_MAX_OVERTAKING_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Load and conditions of a run.

    Attributes:
        name: Label in the table.
        load: Request rate, relative to the capacity of all engines.
        engines: Number of engines.
        entries: Number of entries.
        report_lag_s: Age of a load report when an entry receives it.
        fault: "stall" (one engine stops for 4 s), "zone" (all engines of a
            zone fail) or empty.
        knows_prefixes: Whether the policies are given the prefix digests of
            requests.
        duration_s: Duration of the run.
    """

    name: str
    load: float
    engines: int = 16
    entries: int = 8
    report_lag_s: float = 0.1
    fault: str = ""
    knows_prefixes: bool = True
    duration_s: float = 35.0


class Job:
    """A simulated request."""

    __slots__ = (
        "arrived_at",
        "begun",
        "engine",
        "entry",
        "failed",
        "is_cache_hit",
        "output_tokens",
        "prefix",
        "remaining_prefill_tokens",
        "suffix_tokens",
        "ttft",
    )

    def __init__(self, entry, arrived_at, prefix, suffix_tokens, output_tokens):
        self.entry = entry
        self.arrived_at = arrived_at
        self.prefix = prefix
        self.suffix_tokens = suffix_tokens
        self.output_tokens = output_tokens
        self.remaining_prefill_tokens = 0
        self.engine = None
        self.is_cache_hit = False
        self.ttft = None
        self.failed = False
        self.begun = arrived_at


class Engine:
    """Engine with its batch, queue and prefix cache."""

    def __init__(self, index):
        self.index = index
        self.name = InstanceId(f"engine-{index}")
        self.zone = ZONES[index % len(ZONES)]
        self.incoming = set()
        self.queue = collections.deque()
        self.prefilling = collections.deque()
        self.decoding = []
        self.prefix_cache = collections.OrderedDict()
        self.step_count = 0
        self.output_step_count = 0
        self.is_busy = False
        self.is_alive = True
        self.stalled_until = 0.0
        self.event_sequence = 0

    def count_running(self):
        """Returns the number of requests in the batch."""
        return len(self.prefilling) + len(self.decoding)

    def count_assigned(self):
        """Returns the number of running, queued and incoming requests."""
        return self.count_running() + len(self.queue) + len(self.incoming)

    def count_pending_tokens(self):
        """Returns the tokens still to be prefilled for all its requests."""
        waiting = itertools.chain(self.queue, self.incoming)
        tokens = sum(
            job.suffix_tokens
            + _PREFIX_TOKENS * (job.prefix not in self.prefix_cache)
            for job in waiting
        )
        return tokens + sum(
            job.remaining_prefill_tokens for job in self.prefilling
        )


class Entry:
    """Entry with its own routing policy and position in the report streams."""

    def __init__(self, index, policy):
        self.index = index
        self.zone = ZONES[index % len(ZONES)]
        self.policy: Policy | None = policy
        self.report_index = -1
        self.event_index = 0


def to_datetime(moment_s: float) -> datetime:
    return _EPOCH + timedelta(seconds=moment_s)


def compute_capacity(engines: int) -> float:
    """Returns the request rate per second at load 1.0."""
    steps_per_request = _MEAN_OUTPUT_TOKENS / _MAX_BATCH
    decode_s = steps_per_request * (
        _BASE_STEP_S + _DECODE_S_PER_REQUEST * _MAX_BATCH
    )
    tokens = _MEAN_SUFFIX_TOKENS + _PREFIX_TOKENS * (1 - _ASSUMED_HIT_RATE)
    return engines / (decode_s + tokens * _PREFILL_S_PER_TOKEN)


class Simulation:
    """One run of a scenario under a policy; without one, the ideal policy."""

    def __init__(self, scenario, make_policy, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.loss_rng = random.Random(seed + 1)
        self.now = 0.0
        self.event_order = itertools.count()
        self.scheduled_events = []
        self.engines = [Engine(index) for index in range(scenario.engines)]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.candidates = tuple(
            Candidate(engine.name, engine.zone) for engine in self.engines
        )
        self.entries = [
            Entry(index, make_policy and make_policy(index, scenario))
            for index in range(scenario.entries)
        ]
        self.central_queue = collections.deque()
        self.reports = []
        self.cache_events = []
        self.jobs = []
        # Number of gaps between tokens, by length in units of 0.1 ms.
        self.token_gaps = collections.Counter()
        self.load_imbalances = []
        self.choice_time_s = 0.0
        weights = [1 / (rank + 1) for rank in range(_PREFIX_COUNT)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.prefix_digests = [
            random.Random(index).randbytes(8) for index in range(_PREFIX_COUNT)
        ]

    def schedule(self, moment, function, *arguments):
        """Schedules a function call for a simulated time."""
        heapq.heappush(
            self.scheduled_events,
            (moment, next(self.event_order), function, arguments),
        )

    def run(self):
        """Runs the scenario for its duration."""
        scenario = self.scenario
        self.rate = scenario.load * compute_capacity(scenario.engines)
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.sample_load)
        if scenario.fault == "stall":
            self.schedule(_FAULT_START_S, self.stall_engine)
        if scenario.fault == "zone":
            self.schedule(_FAULT_START_S, self.lose_zone)
        while (
            self.scheduled_events
            and self.scheduled_events[0][0] < scenario.duration_s
        ):
            self.now, _, function, arguments = heapq.heappop(
                self.scheduled_events
            )
            function(*arguments)

    def arrive(self):
        """Creates and routes a request and schedules the next arrival."""
        rng = self.rng
        self.schedule(self.now + rng.expovariate(self.rate), self.arrive)
        prefix = rng.choices(
            range(_PREFIX_COUNT), cum_weights=self.cumulative_weights
        )[0]
        output_tokens = min(600, 20 + int(rng.expovariate(1 / 100.5)))
        entry = self.entries[int(rng.random() * len(self.entries))]
        job = Job(entry, self.now, prefix, rng.randint(50, 300), output_tokens)
        self.jobs.append(job)
        if entry.policy is None:
            self.route_ideally(job)
        else:
            self.route(job, frozenset())

    def route(self, job, excluded):
        """Sends a request to the engine that the entry's policy chooses."""
        entry = job.entry
        self.deliver_observations(entry)
        prefix = (
            self.prefix_digests[job.prefix]
            if self.scenario.knows_prefixes
            else b""
        )
        request = RoutingRequest(prefix, excluded=excluded)
        moment = to_datetime(self.now)
        started_at = time.perf_counter()
        name = entry.policy.choose(request, self.candidates, moment)
        self.choice_time_s += time.perf_counter() - started_at
        if name is None:
            job.failed = True
            return
        entry.policy.begin(name, 1.0, moment)
        self.send(job, self.by_name[name])

    def get_delay(self, job, engine):
        """Returns the one-way latency between entry and engine."""
        return (
            _SAME_ZONE_DELAY_S
            if job.entry.zone == engine.zone
            else _CROSS_ZONE_DELAY_S
        )

    def send(self, job, engine):
        """Sends a request to an engine; it arrives after the latency."""
        job.engine = engine
        engine.incoming.add(job)
        delay = self.get_delay(job, engine)
        self.schedule(self.now + delay, self.receive, job, engine)

    def receive(self, job, engine):
        """Queues a request at an engine, or fails it if the engine is down."""
        engine.incoming.discard(job)
        if not engine.is_alive:
            self.handle_failure(job)
            return
        engine.queue.append(job)
        if not engine.is_busy:
            self.begin_step(engine)

    def handle_failure(self, job):
        """Reports a failure to the entry, which retries on another engine.

        A request that has already produced output is not retried.
        """
        excluded = frozenset([job.engine.name])
        if job.entry.policy is None:
            self.route_ideally(job)
            return
        moment = to_datetime(self.now)
        job.entry.policy.end(job.engine.name, 1.0, moment, False)
        if job.ttft is None:
            self.route(job, excluded)

    def deliver_observations(self, entry):
        """Delivers to an entry's policy the due load reports and events."""
        report_index = int(
            (self.now - self.scenario.report_lag_s) / _REPORT_INTERVAL_S
        )
        if entry.report_index < report_index < len(self.reports):
            entry.report_index = report_index
            for report in self.reports[report_index]:
                entry.policy.observe(report)
        while entry.event_index < len(self.cache_events):
            moment, event = self.cache_events[entry.event_index]
            if moment + _EVENT_DELAY_S > self.now:
                break
            entry.event_index += 1
            entry.policy.observe(event)

    def sample_load(self):
        """Records load reports and the imbalance of the engine loads."""
        self.schedule(self.now + _REPORT_INTERVAL_S, self.sample_load)
        report_lag_s = self.scenario.report_lag_s
        received = to_datetime(self.now + report_lag_s)
        age = timedelta(seconds=report_lag_s)
        self.reports.append(
            [
                LoadReport(
                    engine.name,
                    engine.count_running(),
                    len(engine.queue),
                    received,
                    age,
                    engine.output_step_count,
                )
                for engine in self.engines
                if engine.is_alive
            ]
        )
        loads = [
            engine.count_running() + len(engine.queue)
            for engine in self.engines
            if engine.is_alive
        ]
        if self.now > WARM_UP_S and sum(loads):
            self.load_imbalances.append(max(loads) * len(loads) / sum(loads))

    def route_ideally(self, job):
        """Routes a request with exact knowledge, or queues it centrally."""
        free = [
            engine
            for engine in self.engines
            if engine.is_alive
            and engine.stalled_until <= self.now
            and engine.count_assigned() < _MAX_BATCH
        ]
        if self.central_queue or not free:
            self.central_queue.append(job)
            return

        def estimate(engine):
            tokens = engine.count_pending_tokens() + job.suffix_tokens
            if job.prefix not in engine.prefix_cache:
                tokens += _PREFIX_TOKENS
            return (
                tokens * _PREFILL_S_PER_TOKEN
                + engine.count_running() * _DECODE_S_PER_REQUEST
                + 2 * self.get_delay(job, engine)
            )

        self.send(job, min(free, key=estimate))

    def take_from_central_queue(self, engine):
        """Removes and returns a request of the central queue.

        Prefers a request whose prefix the engine has cached, unless the first
        request has waited too long.
        """
        job = self.central_queue[0]
        if self.now - job.arrived_at < _MAX_OVERTAKING_WAIT_S:
            for other in itertools.islice(
                self.central_queue, _CENTRAL_QUEUE_LOOKAHEAD
            ):
                if other.prefix in engine.prefix_cache:
                    job = other
                    break
        self.central_queue.remove(job)
        return job

    def fill_batch(self, engine):
        """Moves queued requests into the batch while it has room."""
        while engine.count_running() < _MAX_BATCH:
            if not engine.queue:
                if not self.central_queue:
                    return
                engine.queue.append(self.take_from_central_queue(engine))
                engine.queue[0].engine = engine
            job = engine.queue.popleft()
            job.is_cache_hit = job.prefix in engine.prefix_cache
            job.remaining_prefill_tokens = job.suffix_tokens + (
                0 if job.is_cache_hit else _PREFIX_TOKENS
            )
            self.cache_prefix(engine, job.prefix)
            engine.prefilling.append(job)

    def cache_prefix(self, engine, prefix):
        """Caches a prefix and publishes a cache event if the cache changed."""
        removed = ()
        is_cached = prefix in engine.prefix_cache
        engine.prefix_cache[prefix] = True
        engine.prefix_cache.move_to_end(prefix)
        if is_cached or self.scenario.entries > 64:
            # With hundreds of entries no events are published, because their
            # delivery to all entries would dominate the run time; the policies
            # then use rendezvous hashing only.
            if len(engine.prefix_cache) > _MAX_CACHED_PREFIXES:
                engine.prefix_cache.popitem(last=False)
            return
        if len(engine.prefix_cache) > _MAX_CACHED_PREFIXES:
            removed = (
                self.prefix_digests[engine.prefix_cache.popitem(last=False)[0]],
            )
        engine.event_sequence += 1
        if self.loss_rng.random() < _EVENT_LOSS:
            return
        event = CacheEvent(
            engine.name,
            engine.event_sequence,
            to_datetime(self.now + _EVENT_DELAY_S),
            (self.prefix_digests[prefix],),
            removed,
        )
        self.cache_events.append((self.now, event))

    def begin_step(self, engine):
        """Starts the next step, after the stall if the engine is stalled."""
        if engine.stalled_until > self.now:
            engine.is_busy = True
            self.schedule(engine.stalled_until, self.begin_step, engine)
            return
        self.fill_batch(engine)
        decoding_count = len(engine.decoding)
        engine.is_busy = bool(decoding_count or engine.prefilling)
        if not engine.is_busy:
            return
        budget = _MAX_PREFILL_TOKENS_PER_STEP
        prefilled_jobs = []
        while engine.prefilling and budget > 0:
            job = engine.prefilling[0]
            tokens = min(budget, job.remaining_prefill_tokens)
            job.remaining_prefill_tokens -= tokens
            budget -= tokens
            if job.remaining_prefill_tokens == 0:
                prefilled_jobs.append(engine.prefilling.popleft())
        duration = (
            _BASE_STEP_S
            + _DECODE_S_PER_REQUEST * decoding_count
            + _PREFILL_S_PER_TOKEN * (_MAX_PREFILL_TOKENS_PER_STEP - budget)
        )
        self.schedule(
            self.now + duration, self.end_step, engine, prefilled_jobs, self.now
        )

    def end_step(self, engine, prefilled_jobs, started_at):
        """Emits the tokens of a step and starts the next one."""
        if not engine.is_alive:
            return
        if engine.stalled_until > self.now:
            self.schedule(
                engine.stalled_until,
                self.end_step,
                engine,
                prefilled_jobs,
                started_at,
            )
            return
        engine.step_count += 1
        engine.output_step_count += 1
        if self.now > WARM_UP_S:
            gap = round((self.now - started_at) * 10_000)
            self.token_gaps[gap] += len(engine.decoding)
        for job in prefilled_jobs:
            delay = self.get_delay(job, engine)
            job.ttft = self.now + delay - job.arrived_at
            self.report_progress(job, engine)
            item = (
                engine.step_count + job.output_tokens,
                next(self.event_order),
                job,
            )
            heapq.heappush(engine.decoding, item)
        while engine.decoding and engine.decoding[0][0] <= engine.step_count:
            job = heapq.heappop(engine.decoding)[2]
            if job.entry.policy is not None:
                job.entry.policy.end(
                    engine.name, 1.0, to_datetime(self.now), True
                )
        self.begin_step(engine)

    def report_progress(self, job, engine):
        """Reports output of an engine to the policy of the entry."""
        if job.entry.policy is not None:
            job.entry.policy.observe(
                Progress(engine.name, to_datetime(self.now))
            )

    def stall_engine(self):
        """Stalls one engine for 4 s."""
        self.engines[0].stalled_until = self.now + _STALL_DURATION_S

    def lose_zone(self):
        """Stops all engines of a zone and fails their requests."""
        lost_engines = [item for item in self.engines if item.zone == ZONES[2]]
        for engine in lost_engines:
            engine.is_alive = False
        for engine in lost_engines:
            jobs = [*engine.queue, *engine.prefilling]
            jobs.extend(item[2] for item in engine.decoding)
            for job in jobs:
                self.handle_failure(job)
        self.schedule(
            self.now + _INSTANCE_LIST_DELAY_S, self.update_instance_list
        )

    def update_instance_list(self):
        """Removes the lost zone from the instance list."""
        self.candidates = tuple(
            item for item in self.candidates if item.zone != ZONES[2]
        )
