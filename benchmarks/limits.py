"""Goodput, fairness and overshoot of the limits in a small model.

Sixteen engines serve four entries. Requests of three priority classes have
the same distribution of sizes; their deadlines are 5, 10 and 30 s. The size
that a request states is one to two times its real size. A caller whose
deadline passes gives up, and its work is cancelled, with every policy.
"""

import argparse
import collections
import dataclasses
import itertools
import random

from limits_model import (
    BATCH,
    MEAN_TOKENS,
    STEP_PER_REQUEST_S,
    Job,
    Replica,
    Simulation,
    choose_replica,
    draw_tokens,
    find_capacity,
    find_time,
)

from chicoryplank.configuration import AccountConfiguration, Priority
from chicoryplank.ids import AccountId, AttemptId
from chicoryplank.limits import (
    Completion,
    Demand,
    Limiter,
    Outcome,
    PeerDemand,
    Request,
    ShareParameters,
    Tick,
    Withdrawal,
)

REPLICAS = 16
ENTRIES = 4
WARM_UP_S = 30.0
DEADLINES_S = {Priority.URGENT: 5.0, Priority.NORMAL: 10.0, Priority.BULK: 30.0}
PARTS = {Priority.URGENT: 0.1, Priority.NORMAL: 0.6, Priority.BULK: 0.3}


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A request of the model and what became of it."""

    number: int
    account: str
    priority: Priority
    arrived: float
    tokens: int
    stated: int
    job: Job | None = None
    replica: Replica | None = None
    began: float | None = None
    ended: float | None = None

    @property
    def deadline(self) -> float:
        """Time when the caller gives up."""
        return self.arrived + DEADLINES_S[self.priority]


class Entry:
    """Entry that passes every request on at once."""

    def __init__(self, simulation, replicas, rng):
        self.simulation = simulation
        self.replicas = replicas
        self.rng = rng
        self.calls = []

    def take(self, call):
        """Takes a new request."""
        self.calls.append(call)
        self.simulation.schedule(call.deadline, lambda: self._give_up(call))
        self.admit(call)

    def admit(self, call):
        """Decides on a request."""
        self.start(call)

    def start(self, call):
        """Sends a request to a replica."""
        call.replica = choose_replica(self.replicas, self.rng)
        call.job = Job(
            call.tokens,
            call.priority,
            lambda: self._end(call),
            lambda: self._begin(call),
        )
        call.replica.submit(call.job)

    def leave(self, call, succeeded):
        """Takes note that an admitted request ended."""

    def drop(self, call):
        """Takes note that the caller of a queued request gave up."""

    def _begin(self, call):
        call.began = self.simulation.now

    def _end(self, call):
        call.ended = self.simulation.now
        self.leave(call, True)

    def _give_up(self, call):
        if call.ended is not None:
            return
        if call.job is None:
            self.drop(call)
            return
        call.replica.cancel(call.job)
        self.leave(call, False)


class FifoEntry(Entry):
    """Entry with a fixed concurrency and one queue in order of arrival."""

    def __init__(self, simulation, replicas, rng):
        super().__init__(simulation, replicas, rng)
        self._free = BATCH * REPLICAS // ENTRIES
        self._queue = collections.OrderedDict()

    def admit(self, call):
        """Starts or queues a request."""
        self._queue[call.number] = call
        self._dispatch()

    def leave(self, call, succeeded):
        """Frees the slot."""
        self._free += 1
        self._dispatch()

    def drop(self, call):
        """Removes the request from the queue."""
        self._queue.pop(call.number, None)

    def _dispatch(self):
        while self._free and self._queue:
            self._free -= 1
            self.start(self._queue.popitem(last=False)[1])


class LimitedEntry(Entry):
    """Entry with the limiter."""

    def __init__(self, simulation, replicas, rng):
        super().__init__(simulation, replicas, rng)
        self.limiter = Limiter(find_time(0))
        account = AccountConfiguration(
            "", 1e9, 1e9, Priority.URGENT, frozenset()
        )
        accounts = {AccountId(f"account-{i}"): account for i in range(16)}
        self.limiter.configure(accounts, ENTRIES, find_time(0))
        self._waiting = {}
        simulation.schedule(0.1, self._tick)

    def admit(self, call):
        """Asks the limiter."""
        request = Request(
            AttemptId(str(call.number)),
            AccountId(call.account),
            "lm-floor",
            call.priority,
            find_time(call.deadline),
            call.stated,
        )
        now = find_time(self.simulation.now)
        admission = self.limiter.admit(request, now)
        if admission.outcome is Outcome.ADMITTED:
            self.start(call)
        elif admission.outcome is Outcome.QUEUED:
            self._waiting[request.attempt] = call

    def leave(self, call, succeeded):
        """Reports the end of the request."""
        attempt = AttemptId(str(call.number))
        self._observe(Completion(attempt, call.tokens, succeeded))

    def drop(self, call):
        """Reports that the caller left."""
        attempt = AttemptId(str(call.number))
        self._waiting.pop(attempt, None)
        self._observe(Withdrawal(attempt))

    def _observe(self, observation):
        now = find_time(self.simulation.now)
        for admission in self.limiter.observe(observation, now):
            call = self._waiting.pop(admission.request.attempt)
            if admission.outcome is Outcome.ADMITTED:
                self.start(call)

    def _tick(self):
        self._observe(Tick())
        self.simulation.schedule(self.simulation.now + 0.1, self._tick)


POLICIES = {
    "no admission": Entry,
    "fixed, one FIFO": FifoEntry,
    "limiter": LimitedEntry,
}


def run_load(make_entry, sources, options, service=False):
    """Runs a load and returns all calls.

    Args:
        make_entry: Class of the entries.
        sources: Pairs (calls per second, function that draws account and
            priority).
        options: Duration and seed.
        service: Whether to model a plain service, whose requests state no
            size and whose workers do not slow each other down.
    """
    rng = random.Random(options.seed)
    simulation = Simulation()
    growth_s = 0.0 if service else STEP_PER_REQUEST_S
    replicas = [Replica(simulation, growth_s) for _ in range(REPLICAS)]
    entries = [make_entry(simulation, replicas, rng) for _ in range(ENTRIES)]
    numbers = itertools.count()

    def arrive(rate, draw):
        account, priority = draw(rng)
        tokens = draw_tokens(rng)
        stated = 0 if service else int(tokens * rng.uniform(1, 2))
        now = simulation.now
        call = Call(next(numbers), account, priority, now, tokens, stated)
        rng.choice(entries).take(call)
        later = now + rng.expovariate(rate)
        simulation.schedule(later, lambda: arrive(rate, draw))

    for rate, draw in sources:
        simulation.schedule(
            0.0, lambda rate=rate, draw=draw: arrive(rate, draw)
        )
    end = WARM_UP_S + options.duration
    # Calls are judged by their arrival, so the load goes on until the last
    # of them has ended.
    simulation.run(end + max(DEADLINES_S.values()))
    return [call for entry in entries for call in entry.calls]


def choose_arrived(calls, options):
    """Returns the calls that arrived in the measured time."""
    end = WARM_UP_S + options.duration
    return [call for call in calls if WARM_UP_S <= call.arrived < end]


def choose_ended(calls, options):
    """Returns the calls that were answered in the measured time.

    Goodput counts these, because a queue that grows while it is measured
    would count as served if calls were chosen by their arrival.
    """
    end = WARM_UP_S + options.duration
    return [
        call
        for call in calls
        if call.ended is not None and WARM_UP_S <= call.ended < end
    ]


def draw_mixed(rng):
    """Draws an account and a class."""
    priority = rng.choices(list(PARTS), list(PARTS.values()))[0]
    return f"account-{rng.randrange(10)}", priority


def find_p95(times):
    """Returns the 95th percentile."""
    times = sorted(times)
    return times[int(0.95 * len(times))] if times else float("nan")


def find_latencies(calls):
    """Returns times to the full answer."""
    return [
        call.ended - call.arrived for call in calls if call.ended is not None
    ]


def find_waits(calls):
    """Returns times until an engine began; others are left out."""
    return [
        call.began - call.arrived for call in calls if call.began is not None
    ]


def print_goodput(options):
    """Prints goodput and urgent latency by load."""
    print_loads(options, False)


def print_services(options):
    """Prints the same for requests without a stated size."""
    print_loads(options, True)


def print_loads(options, service):
    capacity = find_capacity(REPLICAS, 0.0 if service else STEP_PER_REQUEST_S)
    rate = capacity / MEAN_TOKENS
    print(f"capacity {capacity:.0f} tokens/s, {rate:.0f} answers/s")
    print("| load | policy | answers | tokens | urgent in time | urgent p95 |")
    print("|---|---|---|---|---|---|")
    for load, (name, policy) in itertools.product(
        (0.8, 1.0, 1.2, 2.0), POLICIES.items()
    ):
        sources = [(load * rate, draw_mixed)]
        calls = run_load(policy, sources, options, service)
        good = choose_ended(calls, options)
        tokens = sum(call.tokens for call in good) / options.duration
        urgent = [
            call
            for call in choose_arrived(calls, options)
            if call.priority is Priority.URGENT
        ]
        in_time = sum(call.ended is not None for call in urgent)
        print(
            f"| {load} | {name} | {len(good) / options.duration / rate:.3f} "
            f"| {tokens / capacity:.3f} | {in_time / len(urgent):.3f} "
            f"| {find_p95(find_latencies(urgent)):.2f} s |"
        )


def print_urgent(options):
    """Prints latency of urgent requests alone and beside bulk work."""
    rate = find_capacity(REPLICAS) / MEAN_TOKENS
    urgent = (0.05 * rate, lambda rng: ("account-0", Priority.URGENT))
    bulk = (2.0 * rate, lambda rng: ("account-1", Priority.BULK))
    print(
        "| urgent | beside bulk | p95 to first token | p95 to end | in time |"
    )
    print("|---|---|---|---|---|")
    for name, policy in POLICIES.items():
        for label, sources in (("no", [urgent]), ("yes", [urgent, bulk])):
            calls = [
                call
                for call in choose_arrived(
                    run_load(policy, sources, options), options
                )
                if call.priority is Priority.URGENT
            ]
            in_time = sum(call.ended is not None for call in calls) / len(calls)
            wait_ms = find_p95(find_waits(calls)) * 1000
            print(
                f"| {name} | {label} | {wait_ms:.0f} ms "
                f"| {find_p95(find_latencies(calls)):.2f} s | {in_time:.3f} |"
            )


def print_fairness(options):
    """Prints the Jain index over accounts, two of which are large.

    The index is taken over the tokens of an account divided by its max-min
    fair part of the capacity.
    """
    capacity = find_capacity(REPLICAS)
    demands = [1.0, 0.6] + [0.05] * 8
    fair = find_fair_parts(demands)
    sources = [
        (
            demand * capacity / MEAN_TOKENS,
            lambda rng, name=f"account-{number}": (name, Priority.NORMAL),
        )
        for number, demand in enumerate(demands)
    ]
    print("| policy | Jain index | least part served of a small account |")
    print("|---|---|---|")
    for name, policy in POLICIES.items():
        calls = run_load(policy, sources, options)
        served = collections.Counter()
        for call in choose_ended(calls, options):
            served[call.account] += call.tokens
        ratios = [
            served[f"account-{number}"] / (part * capacity * options.duration)
            for number, part in enumerate(fair)
        ]
        index = sum(ratios) ** 2 / len(ratios) / sum(x * x for x in ratios)
        print(f"| {name} | {index:.3f} | {min(ratios[2:]):.3f} |")


def find_fair_parts(demands):
    """Returns max-min fair parts of a capacity of 1."""
    parts = [0.0] * len(demands)
    left = 1.0
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for position, index in enumerate(order):
        parts[index] = min(demands[index], left / (len(order) - position))
        left -= parts[index]
    return parts


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Demand and connectivity of an overshoot run.

    Attributes:
        name: Label.
        spread: Entries that receive the demand at a time.
        jump_s: Time after which the demand moves to other entries.
        cut_off: Part of the entries that hear nothing in the middle third.
        split: Whether the cut-off entries still hear each other.
        load: Demand over the account's rate.
    """

    name: str
    spread: int
    jump_s: float
    cut_off: float = 0.0
    split: bool = False
    load: float = 3.0


SCENARIOS = (
    Scenario("steady, all entries", 10_000, 1e9),
    Scenario("steady, 4 entries", 4, 1e9),
    Scenario("jumps every 1 s, 1 entry", 1, 1.0),
    Scenario("jumps every 8 s, 2 entries", 2, 8.0),
    Scenario("30 % demand, jumps every 5 s, 1 entry", 1, 5.0, load=0.3),
    Scenario("30 % demand, 1 entry", 1, 1e9, load=0.3),
    Scenario("cut off half, all entries", 10_000, 1e9, 0.5),
    Scenario("cut off half, jumps every 8 s", 2, 8.0, 0.5),
    Scenario("cut off all, jumps every 1 s", 1, 1.0, 1.0),
    Scenario("split in halves, jumps every 8 s", 2, 8.0, 0.5, True),
)
STEP_S = 0.25
RUN_S = 90.0


def run_overshoot(scenario, entries, rate, seed):
    """Returns requests granted in each step, by all entries together."""
    rng = random.Random(seed)
    account = AccountId("account")
    rates = AccountConfiguration("", rate, 1e9, Priority.NORMAL, frozenset())
    limiters = [Limiter(find_time(0)) for _ in range(entries)]
    for limiter in limiters:
        limiter.configure({account: rates}, entries, find_time(0))
    lags = [rng.randint(4, 22) for _ in range(entries)]
    spread = min(scenario.spread, entries)
    cut_count = int(entries * scenario.cut_off)
    history = collections.deque(maxlen=25)
    granted = []
    targets = []
    numbers = itertools.count()
    for step in range(int(RUN_S / STEP_S)):
        now = step * STEP_S
        moment = find_time(now)
        if step % max(1, int(scenario.jump_s / STEP_S)) == 0:
            targets = rng.sample(range(entries), spread)
        count = 0
        arrivals = scenario.load * rate * STEP_S
        for _ in range(int(arrivals) + (rng.random() < arrivals % 1)):
            number = str(next(numbers))
            request = Request(
                AttemptId(number),
                account,
                "group",
                Priority.NORMAL,
                find_time(now + 60),
            )
            limiter = limiters[rng.choice(targets)]
            if limiter.admit(request, moment).outcome is Outcome.ADMITTED:
                count += 1
                limiter.observe(Completion(request.attempt), moment)
        granted.append(count)
        history.append(find_demands(limiters, account, moment))
        lagged = [history[-1 - min(lag, len(history) - 1)] for lag in lags]
        cut = RUN_S / 3 <= now < RUN_S * 2 / 3
        parts = [range(cut_count), range(cut_count, entries)]
        if not cut:
            parts = [range(0), range(entries)]
        for part, hears in zip(parts, (scenario.split, True), strict=True):
            if hears and part:
                deliver(limiters, part, lagged, account, moment)
    return granted


def find_demands(limiters, account, moment):
    """Returns the requests per second that arrive at each entry."""
    found = [limiter.demand(moment).get(account) for limiter in limiters]
    return [demand.requests_per_s if demand else 0.0 for demand in found]


def deliver(limiters, part, lagged, account, moment):
    """Sends the sums over a part of the entries to these entries.

    Args:
        limiters: All limiters.
        part: Indices of the entries that hear each other.
        lagged: For each entry, the demands of all entries that it hears of.
        account: The client account.
        moment: Current time.
    """
    totals = {}
    for entry in part:
        known = lagged[entry]
        if id(known) not in totals:
            totals[id(known)] = sum(known[peer] for peer in part)
        total = totals[id(known)]
        peers = PeerDemand({account: Demand(total, 0.0)}, len(part))
        limiters[entry].observe(peers, moment)


def find_worst(granted, rate, window_s):
    """Returns the greatest ratio of grants to rate in windows of a length."""
    width = int(window_s / STEP_S)
    sums = [0, *itertools.accumulate(granted)]
    worst = max(
        sums[end] - sums[end - width] for end in range(width, len(sums))
    )
    return worst / (rate * window_s)


def print_overshoot(options):
    """Prints overshoot against the bound that the docstring states."""
    parameters = ShareParameters()
    print("| entries | scenario | 1 s | 10 s | 60 s | bound 10 s | used |")
    print("|---|---|---|---|---|---|---|")
    for entries, scenario in itertools.product((8, 560), SCENARIOS):
        rate = 100.0
        granted = run_overshoot(scenario, entries, rate, options.seed)
        worst = [find_worst(granted, rate, span) for span in (1.0, 10.0, 60.0)]
        advance = max(
            parameters.min_advance_requests,
            rate * parameters.advance.total_seconds() / entries,
        )
        extra_s = parameters.burst.total_seconds()
        if scenario.cut_off:
            extra_s += parameters.silence.total_seconds()
            extra_s += parameters.max_lag.total_seconds() * scenario.cut_off
        bound = (rate * (10 + extra_s) + advance * entries) / (rate * 10)
        tail = granted[len(granted) // 6 :]
        wanted = min(1.0, scenario.load) * rate
        used = sum(tail) / (wanted * len(tail) * STEP_S)
        print(
            f"| {entries} | {scenario.name} | {worst[0]:.2f} | {worst[1]:.2f} "
            f"| {worst[2]:.2f} | {bound:.2f} | {used:.2f} |"
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--part", default="", help="goodput, urgent, ...")
    parser.add_argument("--policy", default="", help="limiter, ...")
    options = parser.parse_args()
    if options.policy:
        chosen = POLICIES[options.policy]
        POLICIES.clear()
        POLICIES[options.policy] = chosen
    print(f"seed {options.seed}, {options.duration:.0f} s measured")
    tables = {
        "goodput": print_goodput,
        "services": print_services,
        "urgent": print_urgent,
        "fairness": print_fairness,
        "overshoot": print_overshoot,
    }
    for name, print_table in tables.items():
        if options.part in ("", name):
            print()
            print_table(options)


if __name__ == "__main__":
    main()
