"""Event-driven model of engines, entries and the network between them.

An engine runs steps of 6 ms, plus time per decoding request and per prefilled
token; it has a batch of bounded size, a queue, and a prefix cache that drops
the least recently used prefix. Load 1.0 is the rate at which batches are full
when nine of ten prefixes are cached.
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
_STEP_S = 0.006
_DECODE_S = 0.00004
_PREFILL_S = 0.00002
_MAX_BATCH = 48
_MAX_CHUNK_TOKENS = 512
_CACHED_PREFIXES = 60
_PREFIXES = 600
_PREFIX_TOKENS = 600
_MEAN_SUFFIX_TOKENS = 175
_MEAN_OUTPUT_TOKENS = 120
_ASSUMED_HITS = 0.9
_TICK_S = 0.05
_EVENT_DELAY_S = 0.2
_EVENT_LOSS = 0.02
_LOCAL_S = 0.0001
_CROSS_S = 0.0015
WARM_UP_S = 15.0
_FAULT_S = 18.0
_STALL_S = 4.0
_LIST_LAG_S = 2.0
# The central queue of the ideal prefers cached prefixes among its first
# requests, unless the first one waited long.
_LOOK_AHEAD = 64
_MAX_OVERTAKEN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One row group of the table."""

    name: str
    load: float
    engines: int = 16
    entries: int = 8
    lag_s: float = 0.1
    fault: str = ""
    prefixes: bool = True
    duration_s: float = 35.0


class Job:
    """A request on its way through the model."""

    __slots__ = (
        "arrived",
        "begun",
        "engine",
        "entry",
        "failed",
        "hit",
        "output",
        "prefill",
        "prefix",
        "suffix",
        "ttft",
    )

    def __init__(self, entry, arrived, prefix, suffix, output):
        self.entry = entry
        self.arrived = arrived
        self.prefix = prefix
        self.suffix = suffix
        self.output = output
        self.prefill = 0
        self.engine = None
        self.hit = False
        self.ttft = None
        self.failed = False
        self.begun = arrived


class Engine:
    """Batch, queue and prefix cache of one replica."""

    def __init__(self, index):
        self.index = index
        self.name = InstanceId(f"engine-{index}")
        self.zone = ZONES[index % len(ZONES)]
        self.incoming = set()
        self.queue = collections.deque()
        self.prefilling = collections.deque()
        self.finishing = []
        self.cache = collections.OrderedDict()
        self.steps = 0
        self.outputs = 0
        self.busy = False
        self.alive = True
        self.stalled_until = 0.0
        self.sequence = 0

    def count_running(self):
        """Returns the size of the batch."""
        return len(self.prefilling) + len(self.finishing)

    def count_all(self):
        """Returns the requests here and on the way here."""
        return self.count_running() + len(self.queue) + len(self.incoming)

    def count_pending_tokens(self):
        """Returns the tokens that wait for their prefill."""
        waiting = itertools.chain(self.queue, self.incoming)
        tokens = sum(
            job.suffix + _PREFIX_TOKENS * (job.prefix not in self.cache)
            for job in waiting
        )
        return tokens + sum(job.prefill for job in self.prefilling)


class Entry:
    """A deciding entry with its own policy and view of reports."""

    def __init__(self, index, policy):
        self.index = index
        self.zone = ZONES[index % len(ZONES)]
        self.policy: Policy | None = policy
        self.tick = -1
        self.event = 0


def to_datetime(moment_s: float) -> datetime:
    return _EPOCH + timedelta(seconds=moment_s)


def compute_capacity(engines: int) -> float:
    """Returns the requests per second at load 1.0."""
    steps = _MEAN_OUTPUT_TOKENS / _MAX_BATCH
    decode_s = steps * (_STEP_S + _DECODE_S * _MAX_BATCH)
    tokens = _MEAN_SUFFIX_TOKENS + _PREFIX_TOKENS * (1 - _ASSUMED_HITS)
    return engines / (decode_s + tokens * _PREFILL_S)


class Simulation:
    """One run of a scenario under a policy; ideal if there is no policy."""

    def __init__(self, scenario, make_policy, seed):
        self.scenario = scenario
        self.source = random.Random(seed)
        self.losses = random.Random(seed + 1)
        self.now = 0.0
        self.order = itertools.count()
        self.events = []
        self.engines = [Engine(index) for index in range(scenario.engines)]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.candidates = tuple(
            Candidate(engine.name, engine.zone) for engine in self.engines
        )
        self.entries = [
            Entry(index, make_policy and make_policy(index, scenario))
            for index in range(scenario.entries)
        ]
        self.central = collections.deque()
        self.reports = []
        self.cache_events = []
        self.jobs = []
        self.gaps = collections.Counter()
        self.spreads = []
        self.choose_s = 0.0
        weights = [1 / (rank + 1) for rank in range(_PREFIXES)]
        self.weights = list(itertools.accumulate(weights))
        self.names = [
            random.Random(index).randbytes(8) for index in range(_PREFIXES)
        ]

    def schedule(self, moment, function, *arguments):
        """Calls a function at a moment of the simulated time."""
        heapq.heappush(
            self.events, (moment, next(self.order), function, arguments)
        )

    def run(self):
        """Runs the scenario to its end."""
        scenario = self.scenario
        self.rate = scenario.load * compute_capacity(scenario.engines)
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.sample)
        if scenario.fault == "stall":
            self.schedule(_FAULT_S, self.stall)
        if scenario.fault == "zone":
            self.schedule(_FAULT_S, self.lose_zone)
        while self.events and self.events[0][0] < scenario.duration_s:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def arrive(self):
        """Creates a request and the arrival of the next one."""
        source = self.source
        self.schedule(self.now + source.expovariate(self.rate), self.arrive)
        prefix = source.choices(range(_PREFIXES), cum_weights=self.weights)[0]
        output = min(600, 20 + int(source.expovariate(1 / 100.5)))
        entry = self.entries[int(source.random() * len(self.entries))]
        job = Job(entry, self.now, prefix, source.randint(50, 300), output)
        self.jobs.append(job)
        if entry.policy is None:
            self.place_ideally(job)
        else:
            self.route(job, frozenset())

    def route(self, job, excluded):
        """Asks the policy of the entry and sends the request."""
        entry = job.entry
        self.deliver(entry)
        prefix = self.names[job.prefix] if self.scenario.prefixes else b""
        request = RoutingRequest(prefix, excluded=excluded)
        moment = to_datetime(self.now)
        began = time.perf_counter()
        name = entry.policy.choose(request, self.candidates, moment)
        self.choose_s += time.perf_counter() - began
        if name is None:
            job.failed = True
            return
        entry.policy.begin(name, 1.0, moment)
        self.send(job, self.by_name[name])

    def get_delay(self, job, engine):
        """Returns the one-way latency between entry and engine."""
        return _LOCAL_S if job.entry.zone == engine.zone else _CROSS_S

    def send(self, job, engine):
        """Puts a request on its way to an engine."""
        job.engine = engine
        engine.incoming.add(job)
        delay = self.get_delay(job, engine)
        self.schedule(self.now + delay, self.receive, job, engine)

    def receive(self, job, engine):
        """Queues a request that arrived at an engine."""
        engine.incoming.discard(job)
        if not engine.alive:
            self.fail(job)
            return
        engine.queue.append(job)
        if not engine.busy:
            self.begin_step(engine)

    def fail(self, job):
        """Reports a failure to the entry, which tries once more elsewhere."""
        excluded = frozenset([job.engine.name])
        if job.entry.policy is None:
            self.place_ideally(job)
            return
        moment = to_datetime(self.now)
        job.entry.policy.end(job.engine.name, 1.0, moment, False)
        if job.ttft is None:
            self.route(job, excluded)

    def deliver(self, entry):
        """Hands the entry the reports and events that are due."""
        tick = int((self.now - self.scenario.lag_s) / _TICK_S)
        if entry.tick < tick < len(self.reports):
            entry.tick = tick
            for report in self.reports[tick]:
                entry.policy.observe(report)
        while entry.event < len(self.cache_events):
            moment, event = self.cache_events[entry.event]
            if moment + _EVENT_DELAY_S > self.now:
                break
            entry.event += 1
            entry.policy.observe(event)

    def sample(self):
        """Takes the load reports and the spread of the loads."""
        self.schedule(self.now + _TICK_S, self.sample)
        lag_s = self.scenario.lag_s
        received = to_datetime(self.now + lag_s)
        age = timedelta(seconds=lag_s)
        self.reports.append(
            [
                LoadReport(
                    engine.name,
                    engine.count_running(),
                    len(engine.queue),
                    received,
                    age,
                    engine.outputs,
                )
                for engine in self.engines
                if engine.alive
            ]
        )
        loads = [
            engine.count_running() + len(engine.queue)
            for engine in self.engines
            if engine.alive
        ]
        if self.now > WARM_UP_S and sum(loads):
            self.spreads.append(max(loads) * len(loads) / sum(loads))

    def place_ideally(self, job):
        """Places a request with exact knowledge, or holds it back."""
        free = [
            engine
            for engine in self.engines
            if engine.alive
            and engine.stalled_until <= self.now
            and engine.count_all() < _MAX_BATCH
        ]
        if self.central or not free:
            self.central.append(job)
            return

        def estimate(engine):
            tokens = engine.count_pending_tokens() + job.suffix
            if job.prefix not in engine.cache:
                tokens += _PREFIX_TOKENS
            return (
                tokens * _PREFILL_S
                + engine.count_running() * _DECODE_S
                + 2 * self.get_delay(job, engine)
            )

        self.send(job, min(free, key=estimate))

    def pull(self, engine):
        """Takes a request of the central queue, a cached one if it can."""
        job = self.central[0]
        if self.now - job.arrived < _MAX_OVERTAKEN_S:
            for other in itertools.islice(self.central, _LOOK_AHEAD):
                if other.prefix in engine.cache:
                    job = other
                    break
        self.central.remove(job)
        return job

    def admit(self, engine):
        """Fills the batch of an engine."""
        while engine.count_running() < _MAX_BATCH:
            if not engine.queue:
                if not self.central:
                    return
                engine.queue.append(self.pull(engine))
                engine.queue[0].engine = engine
            job = engine.queue.popleft()
            job.hit = job.prefix in engine.cache
            job.prefill = job.suffix + (0 if job.hit else _PREFIX_TOKENS)
            self.store(engine, job.prefix)
            engine.prefilling.append(job)

    def store(self, engine, prefix):
        """Puts a prefix into the cache and publishes the event."""
        removed = ()
        known = prefix in engine.cache
        engine.cache[prefix] = True
        engine.cache.move_to_end(prefix)
        if known or self.scenario.entries > 64:
            # Hundreds of entries read rendezvous choices only, since the
            # delivery of all events to all would dominate the run time.
            if len(engine.cache) > _CACHED_PREFIXES:
                engine.cache.popitem(last=False)
            return
        if len(engine.cache) > _CACHED_PREFIXES:
            removed = (self.names[engine.cache.popitem(last=False)[0]],)
        engine.sequence += 1
        if self.losses.random() < _EVENT_LOSS:
            return
        event = CacheEvent(
            engine.name,
            engine.sequence,
            to_datetime(self.now + _EVENT_DELAY_S),
            (self.names[prefix],),
            removed,
        )
        self.cache_events.append((self.now, event))

    def begin_step(self, engine):
        """Starts the next step unless the engine is idle or stalled."""
        if engine.stalled_until > self.now:
            engine.busy = True
            self.schedule(engine.stalled_until, self.begin_step, engine)
            return
        self.admit(engine)
        decoding = len(engine.finishing)
        engine.busy = bool(decoding or engine.prefilling)
        if not engine.busy:
            return
        budget = _MAX_CHUNK_TOKENS
        ready = []
        while engine.prefilling and budget > 0:
            job = engine.prefilling[0]
            tokens = min(budget, job.prefill)
            job.prefill -= tokens
            budget -= tokens
            if job.prefill == 0:
                ready.append(engine.prefilling.popleft())
        duration = (
            _STEP_S
            + _DECODE_S * decoding
            + _PREFILL_S * (_MAX_CHUNK_TOKENS - budget)
        )
        self.schedule(
            self.now + duration, self.end_step, engine, ready, self.now
        )

    def end_step(self, engine, ready, began):
        """Emits the tokens of a step."""
        if not engine.alive:
            return
        if engine.stalled_until > self.now:
            self.schedule(
                engine.stalled_until, self.end_step, engine, ready, began
            )
            return
        engine.steps += 1
        engine.outputs += 1
        if self.now > WARM_UP_S:
            gap = round((self.now - began) * 10_000)
            self.gaps[gap] += len(engine.finishing)
        for job in ready:
            delay = self.get_delay(job, engine)
            job.ttft = self.now + delay - job.arrived
            self.notify(job, engine)
            item = (engine.steps + job.output, next(self.order), job)
            heapq.heappush(engine.finishing, item)
        while engine.finishing and engine.finishing[0][0] <= engine.steps:
            job = heapq.heappop(engine.finishing)[2]
            if job.entry.policy is not None:
                job.entry.policy.end(
                    engine.name, 1.0, to_datetime(self.now), True
                )
        self.begin_step(engine)

    def notify(self, job, engine):
        """Tells the entry that output arrived."""
        if job.entry.policy is not None:
            job.entry.policy.observe(
                Progress(engine.name, to_datetime(self.now))
            )

    def stall(self):
        """Freezes one engine for a while."""
        self.engines[0].stalled_until = self.now + _STALL_S

    def lose_zone(self):
        """Stops all engines of a zone."""
        lost = [item for item in self.engines if item.zone == ZONES[2]]
        for engine in lost:
            engine.alive = False
        for engine in lost:
            jobs = [*engine.queue, *engine.prefilling]
            jobs.extend(item[2] for item in engine.finishing)
            for job in jobs:
                self.fail(job)
        self.schedule(self.now + _LIST_LAG_S, self.update_list)

    def update_list(self):
        """Removes the lost zone from the instance list."""
        self.candidates = tuple(
            item for item in self.candidates if item.zone != ZONES[2]
        )
