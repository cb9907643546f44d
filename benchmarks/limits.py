"""Measures goodput, fairness and rate overshoot of the limits in a simulation.

Four entries send requests to sixteen engines. The size of a request is the
number of tokens that it generates; it has the same distribution in all three
priority classes. The deadlines of the classes are 5, 10 and 30 s. The size that
a request states is one to two times its real size. With every policy, a request
whose deadline passes is cancelled, also at the engine.
"""

import argparse
import collections
import dataclasses
import itertools
import random

from limits_model import (
    MAX_BATCH_SIZE,
    MEAN_TOKENS,
    STEP_S_PER_REQUEST,
    Job,
    Replica,
    Simulation,
    choose_replica,
    compute_capacity,
    draw_tokens,
    to_datetime,
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
PRIORITY_SHARES = {
    Priority.URGENT: 0.1,
    Priority.NORMAL: 0.6,
    Priority.BULK: 0.3,
}


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A simulated request and its times; None for what did not happen."""

    number: int
    account: str
    priority: Priority
    arrived_at: float
    tokens: int
    stated_tokens: int
    job: Job | None = None
    replica: Replica | None = None
    started_at: float | None = None
    ended_at: float | None = None

    @property
    def deadline(self) -> float:
        """Time at which the request is cancelled."""
        return self.arrived_at + DEADLINES_S[self.priority]


class Entry:
    """Entry that forwards every request immediately."""

    def __init__(self, simulation, replicas, rng):
        self.simulation = simulation
        self.replicas = replicas
        self.rng = rng
        self.calls = []

    def receive(self, call):
        """Receives a new request and schedules its deadline."""
        self.calls.append(call)
        self.simulation.schedule(call.deadline, lambda: self._time_out(call))
        self.admit(call)

    def admit(self, call):
        """Starts, queues or refuses a new request."""
        self.start(call)

    def start(self, call):
        """Submits an admitted request to a replica."""
        call.replica = choose_replica(self.replicas, self.rng)
        call.job = Job(
            call.tokens,
            call.priority,
            lambda: self._complete(call),
            lambda: self._record_start(call),
        )
        call.replica.submit(call.job)

    def release(self, call, succeeded):
        """Handles the end of an admitted request."""

    def remove_queued(self, call):
        """Handles a request whose deadline passed in the queue."""

    def _record_start(self, call):
        call.started_at = self.simulation.now

    def _complete(self, call):
        call.ended_at = self.simulation.now
        self.release(call, True)

    def _time_out(self, call):
        if call.ended_at is not None:
            return
        if call.job is None:
            self.remove_queued(call)
            return
        call.replica.cancel(call.job)
        self.release(call, False)


class FifoEntry(Entry):
    """Entry with a fixed concurrency limit and a FIFO queue."""

    def __init__(self, simulation, replicas, rng):
        super().__init__(simulation, replicas, rng)
        self._free_slots = MAX_BATCH_SIZE * REPLICAS // ENTRIES
        self._queue = collections.OrderedDict()

    def admit(self, call):
        """Queues a request and starts it if a slot is free."""
        self._queue[call.number] = call
        self._dispatch()

    def release(self, call, succeeded):
        """Frees the slot of a request and starts the next one."""
        self._free_slots += 1
        self._dispatch()

    def remove_queued(self, call):
        """Removes the request from the queue."""
        self._queue.pop(call.number, None)

    def _dispatch(self):
        while self._free_slots and self._queue:
            self._free_slots -= 1
            self.start(self._queue.popitem(last=False)[1])


class LimitedEntry(Entry):
    """Entry that admits requests with the limiter of the product."""

    def __init__(self, simulation, replicas, rng):
        super().__init__(simulation, replicas, rng)
        self.limiter = Limiter(to_datetime(0))
        account = AccountConfiguration(
            "", 1e9, 1e9, Priority.URGENT, frozenset()
        )
        accounts = {AccountId(f"account-{i}"): account for i in range(16)}
        self.limiter.configure(accounts, ENTRIES, to_datetime(0))
        self._queued_calls = {}
        simulation.schedule(0.1, self._tick)

    def admit(self, call):
        """Starts or queues a request as the limiter decides."""
        request = Request(
            AttemptId(str(call.number)),
            AccountId(call.account),
            "lm-floor",
            call.priority,
            to_datetime(call.deadline),
            call.stated_tokens,
        )
        now = to_datetime(self.simulation.now)
        admission = self.limiter.admit(request, now)
        if admission.outcome is Outcome.ADMITTED:
            self.start(call)
        elif admission.outcome is Outcome.QUEUED:
            self._queued_calls[request.attempt] = call

    def release(self, call, succeeded):
        """Reports the end of a request to the limiter."""
        attempt = AttemptId(str(call.number))
        self._observe(Completion(attempt, call.tokens, succeeded))

    def remove_queued(self, call):
        """Reports to the limiter that a queued request was cancelled."""
        attempt = AttemptId(str(call.number))
        self._queued_calls.pop(attempt, None)
        self._observe(Withdrawal(attempt))

    def _observe(self, observation):
        now = to_datetime(self.simulation.now)
        for admission in self.limiter.observe(observation, now):
            call = self._queued_calls.pop(admission.request.attempt)
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


def run_load(make_entry, sources, options, is_service=False):
    """Simulates a load and returns all calls.

    Args:
        make_entry: Class of the entries.
        sources: Pairs (calls per second, function that draws account and
            priority).
        options: Duration and seed.
        is_service: Whether to model a service instead of a language model:
            its requests state no size, and its step time does not grow with
            the number of concurrent requests.
    """
    rng = random.Random(options.seed)
    simulation = Simulation()
    step_s_per_request = 0.0 if is_service else STEP_S_PER_REQUEST
    replicas = [
        Replica(simulation, step_s_per_request) for _ in range(REPLICAS)
    ]
    entries = [make_entry(simulation, replicas, rng) for _ in range(ENTRIES)]
    numbers = itertools.count()

    def arrive(rate, draw):
        account, priority = draw(rng)
        tokens = draw_tokens(rng)
        stated_tokens = 0 if is_service else int(tokens * rng.uniform(1, 2))
        now = simulation.now
        call = Call(
            next(numbers), account, priority, now, tokens, stated_tokens
        )
        rng.choice(entries).receive(call)
        later = now + rng.expovariate(rate)
        simulation.schedule(later, lambda: arrive(rate, draw))

    for rate, draw in sources:
        simulation.schedule(
            0.0, lambda rate=rate, draw=draw: arrive(rate, draw)
        )
    end = WARM_UP_S + options.duration
    # Latencies are measured for calls that arrive before `end`, so the load
    # continues until the last of them has reached its deadline.
    simulation.run(end + max(DEADLINES_S.values()))
    return [call for entry in entries for call in entry.calls]


def select_arrived(calls, options):
    """Returns the calls that arrived in the measurement interval."""
    end = WARM_UP_S + options.duration
    return [call for call in calls if WARM_UP_S <= call.arrived_at < end]


def select_completed(calls, options):
    """Returns the calls that were completed in the measurement interval.

    Goodput counts these: if calls were selected by their arrival, those that
    are still queued at the end of the interval would count as served in it.
    """
    end = WARM_UP_S + options.duration
    return [
        call
        for call in calls
        if call.ended_at is not None and WARM_UP_S <= call.ended_at < end
    ]


def draw_mixed(rng):
    """Draws an account and a priority class."""
    priority = rng.choices(
        list(PRIORITY_SHARES), list(PRIORITY_SHARES.values())
    )[0]
    return f"account-{rng.randrange(10)}", priority


def compute_p95(times):
    """Returns the 95th percentile; NaN if there are no times."""
    times = sorted(times)
    return times[int(0.95 * len(times))] if times else float("nan")


def compute_latencies(calls):
    """Returns the times to the complete response of completed calls."""
    return [
        call.ended_at - call.arrived_at
        for call in calls
        if call.ended_at is not None
    ]


def compute_start_delays(calls):
    """Returns the times from arrival to start of the calls that started."""
    return [
        call.started_at - call.arrived_at
        for call in calls
        if call.started_at is not None
    ]


def print_goodput(options):
    """Prints goodput and urgent latency by load for language models."""
    print_load_table(options, False)


def print_services(options):
    """Prints goodput and urgent latency by load for services."""
    print_load_table(options, True)


def print_load_table(options, is_service):
    capacity = compute_capacity(
        REPLICAS, 0.0 if is_service else STEP_S_PER_REQUEST
    )
    rate = capacity / MEAN_TOKENS
    print(f"capacity {capacity:.0f} tokens/s, {rate:.0f} answers/s")
    print("| load | policy | answers | tokens | urgent in time | urgent p95 |")
    print("|---|---|---|---|---|---|")
    for load, (name, policy) in itertools.product(
        (0.8, 1.0, 1.2, 2.0), POLICIES.items()
    ):
        sources = [(load * rate, draw_mixed)]
        calls = run_load(policy, sources, options, is_service)
        completed = select_completed(calls, options)
        tokens = sum(call.tokens for call in completed) / options.duration
        urgent = [
            call
            for call in select_arrived(calls, options)
            if call.priority is Priority.URGENT
        ]
        in_time = sum(call.ended_at is not None for call in urgent)
        print(
            f"| {load} | {name} "
            f"| {len(completed) / options.duration / rate:.3f} "
            f"| {tokens / capacity:.3f} | {in_time / len(urgent):.3f} "
            f"| {compute_p95(compute_latencies(urgent)):.2f} s |"
        )


def print_urgent(options):
    """Prints the latency of urgent requests with and without bulk load."""
    rate = compute_capacity(REPLICAS) / MEAN_TOKENS
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
                for call in select_arrived(
                    run_load(policy, sources, options), options
                )
                if call.priority is Priority.URGENT
            ]
            in_time = sum(call.ended_at is not None for call in calls) / len(
                calls
            )
            wait_ms = compute_p95(compute_start_delays(calls)) * 1000
            print(
                f"| {name} | {label} | {wait_ms:.0f} ms "
                f"| {compute_p95(compute_latencies(calls)):.2f} s "
                f"| {in_time:.3f} |"
            )


def print_fairness(options):
    """Prints Jain's fairness index for two large and eight small accounts.

    The index is computed from the served tokens of each account, divided by
    the account's max-min fair share of the capacity.
    """
    capacity = compute_capacity(REPLICAS)
    demands = [1.0, 0.6] + [0.05] * 8
    fair_shares = compute_fair_shares(demands)
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
        for call in select_completed(calls, options):
            served[call.account] += call.tokens
        ratios = [
            served[f"account-{number}"] / (share * capacity * options.duration)
            for number, share in enumerate(fair_shares)
        ]
        index = sum(ratios) ** 2 / len(ratios) / sum(x * x for x in ratios)
        print(f"| {name} | {index:.3f} | {min(ratios[2:]):.3f} |")


def compute_fair_shares(demands):
    """Returns the max-min fair shares of a capacity of 1."""
    shares = [0.0] * len(demands)
    remaining = 1.0
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for position, index in enumerate(order):
        shares[index] = min(demands[index], remaining / (len(order) - position))
        remaining -= shares[index]
    return shares


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Demand and connectivity of an overshoot run.

    Attributes:
        name: Label in the table.
        active_entries: Number of entries that receive the demand at a time.
        move_interval_s: Interval after which the demand moves to other
            entries.
        isolated_share: Share of the entries that are isolated in the middle
            third of the run: they receive no demand sums from the others.
        isolated_connected: Whether the isolated entries still exchange demand
            sums among themselves.
        load: Demand divided by the account's rate.
    """

    name: str
    active_entries: int
    move_interval_s: float
    isolated_share: float = 0.0
    isolated_connected: bool = False
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
INTERVAL_S = 0.25
OVERSHOOT_DURATION_S = 90.0


def run_overshoot(scenario, entries, rate, seed):
    """Returns the requests that all entries admitted in each interval."""
    rng = random.Random(seed)
    account = AccountId("account")
    account_configuration = AccountConfiguration(
        "", rate, 1e9, Priority.NORMAL, frozenset()
    )
    limiters = [Limiter(to_datetime(0)) for _ in range(entries)]
    for limiter in limiters:
        limiter.configure(
            {account: account_configuration}, entries, to_datetime(0)
        )
    lag_intervals = [rng.randint(4, 22) for _ in range(entries)]
    active_entries = min(scenario.active_entries, entries)
    isolated_count = int(entries * scenario.isolated_share)
    history = collections.deque(maxlen=25)
    admitted = []
    target_entries = []
    numbers = itertools.count()
    for interval in range(int(OVERSHOOT_DURATION_S / INTERVAL_S)):
        now = interval * INTERVAL_S
        moment = to_datetime(now)
        if interval % max(1, int(scenario.move_interval_s / INTERVAL_S)) == 0:
            target_entries = rng.sample(range(entries), active_entries)
        count = 0
        arrivals = scenario.load * rate * INTERVAL_S
        for _ in range(int(arrivals) + (rng.random() < arrivals % 1)):
            number = str(next(numbers))
            request = Request(
                AttemptId(number),
                account,
                "group",
                Priority.NORMAL,
                to_datetime(now + 60),
            )
            limiter = limiters[rng.choice(target_entries)]
            if limiter.admit(request, moment).outcome is Outcome.ADMITTED:
                count += 1
                limiter.observe(Completion(request.attempt), moment)
        admitted.append(count)
        history.append(get_demands(limiters, account, moment))
        lagged_demands = [
            history[-1 - min(lag, len(history) - 1)] for lag in lag_intervals
        ]
        is_isolated = (
            OVERSHOOT_DURATION_S / 3 <= now < OVERSHOOT_DURATION_S * 2 / 3
        )
        partitions = [range(isolated_count), range(isolated_count, entries)]
        if not is_isolated:
            partitions = [range(0), range(entries)]
        for partition, is_connected in zip(
            partitions, (scenario.isolated_connected, True), strict=True
        ):
            if is_connected and partition:
                deliver_demands(
                    limiters, partition, lagged_demands, account, moment
                )
    return admitted


def get_demands(limiters, account, moment):
    """Returns the requests per second that each entry estimates."""
    found = [limiter.demand(moment).get(account) for limiter in limiters]
    return [demand.requests_per_s if demand else 0.0 for demand in found]


def deliver_demands(limiters, partition, lagged_demands, account, moment):
    """Delivers the sum of the demands in a partition to its entries.

    Args:
        limiters: Limiters of all entries.
        partition: Indices of the entries that can reach each other.
        lagged_demands: For each entry, the demands of all entries as of the
            time of the newest sum that has reached it.
        account: The client account.
        moment: Current time.
    """
    totals = {}
    for entry in partition:
        known_demands = lagged_demands[entry]
        if id(known_demands) not in totals:
            totals[id(known_demands)] = sum(
                known_demands[peer] for peer in partition
            )
        total = totals[id(known_demands)]
        peers = PeerDemand({account: Demand(total, 0.0)}, len(partition))
        limiters[entry].observe(peers, moment)


def compute_max_overshoot(admitted, rate, window_s):
    """Returns the highest rate over any window, as a ratio to the limit."""
    window_intervals = int(window_s / INTERVAL_S)
    sums = [0, *itertools.accumulate(admitted)]
    max_admitted = max(
        sums[end] - sums[end - window_intervals]
        for end in range(window_intervals, len(sums))
    )
    return max_admitted / (rate * window_s)


def print_overshoot(options):
    """Prints overshoot and its bound according to the share parameters."""
    parameters = ShareParameters()
    print("| entries | scenario | 1 s | 10 s | 60 s | bound 10 s | used |")
    print("|---|---|---|---|---|---|---|")
    for entries, scenario in itertools.product((8, 560), SCENARIOS):
        rate = 100.0
        admitted = run_overshoot(scenario, entries, rate, options.seed)
        max_overshoots = [
            compute_max_overshoot(admitted, rate, span)
            for span in (1.0, 10.0, 60.0)
        ]
        advance = max(
            parameters.min_advance_requests,
            rate * parameters.advance.total_seconds() / entries,
        )
        extra_s = parameters.burst.total_seconds()
        if scenario.isolated_share:
            extra_s += parameters.silence.total_seconds()
            extra_s += (
                parameters.max_lag.total_seconds() * scenario.isolated_share
            )
        bound = (rate * (10 + extra_s) + advance * entries) / (rate * 10)
        settled = admitted[len(admitted) // 6 :]
        expected = min(1.0, scenario.load) * rate
        used = sum(settled) / (expected * len(settled) * INTERVAL_S)
        print(
            f"| {entries} | {scenario.name} | {max_overshoots[0]:.2f} "
            f"| {max_overshoots[1]:.2f} | {max_overshoots[2]:.2f} "
            f"| {bound:.2f} | {used:.2f} |"
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
