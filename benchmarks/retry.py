"""Traffic and goodput through a fault of a third of the replicas.

Eighteen engines serve one entry that chooses among them at random and ejects
none, so that the retry policy alone decides. An attempt fails if its first
token takes longer than 2 s or its answer longer than 5 s; the request's
deadline is 15 s. All requests are repeatable. The fault lasts 60 s. Attempts
that are given up are cancelled at the engine.

In the fault `failing`, a replica fails each attempt after 5 ms; half of these
failures say "not run". In the fault `stalled`, a replica accepts attempts and
never answers. In the fault `overload`, a third of the replicas fail after
5 ms, and demand rises to 1.3 times the capacity of all replicas.
"""

import argparse
import collections
import dataclasses
import itertools
import random
from datetime import timedelta

from limits_model import (
    Job,
    Replica,
    Simulation,
    draw_tokens,
    find_capacity,
    find_time,
)

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.retry import (
    Arrival,
    Failure,
    FirstToken,
    Hedge,
    RetryPolicy,
)
from chicoryplank.verdict import Verdict

REPLICAS = 18
LOAD = 0.75
ACCOUNTS = 10
FAULT_START_S = 60.0
FAULT_END_S = 120.0
END_S = 240.0
DEADLINE_S = 15.0
FIRST_TOKEN_S = 2.0
ATTEMPT_S = 5.0
MAX_TOKENS = 150
# Mean of the sizes after the cut at MAX_TOKENS.
MEAN_TOKENS = 80


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A request of the model."""

    account: AccountId
    arrived: float
    tokens: int
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    open: int = 0
    started: bool = False
    ended: float | None = None
    earlier: Verdict = Verdict.NOT_RUN


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; over when it succeeded, failed or lost."""

    call: Call
    replica: Replica
    sent: float
    job: Job | None = None
    started: bool = False
    over: bool = False


class Entry:
    """Entry without retries."""

    def __init__(self, simulation, rng):
        self.simulation = simulation
        self.rng = rng
        self.replicas = [Replica(simulation) for _ in range(REPLICAS)]
        self.fault = ""
        self.faulty = REPLICAS // 3
        self.calls = []

    def take(self, call):
        """Takes a new request."""
        self.calls.append(call)
        self.send(call)

    def send(self, call):
        """Sends an attempt."""
        now = self.simulation.now
        if call.ended is not None or now >= call.arrived + DEADLINE_S:
            return
        call.attempts += 1
        call.open += 1
        number = self.rng.randrange(REPLICAS)
        attempt = Attempt(call, self.replicas[number], now)
        if self.fault and number < self.faulty:
            if self.fault == "stalled":
                self._schedule(FIRST_TOKEN_S, attempt, Verdict.MAY_HAVE_RUN)
                return
            verdicts = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN]
            self._schedule(0.005, attempt, self.rng.choice(verdicts))
            return
        attempt.job = Job(
            call.tokens,
            1,
            lambda: self._succeed(attempt),
            lambda: self._start(attempt),
        )
        attempt.replica.submit(attempt.job)
        self.simulation.schedule(
            now + FIRST_TOKEN_S, lambda: self._check_start(attempt)
        )
        self._schedule(ATTEMPT_S, attempt, Verdict.MAY_HAVE_RUN)

    def see_first_token(self, attempt):
        """Takes note of the first token of an attempt."""

    def retry(self, call, verdict):
        """Decides on a retry after the last open attempt failed."""

    def _schedule(self, delay, attempt, verdict):
        self.simulation.schedule(
            self.simulation.now + delay, lambda: self._fail(attempt, verdict)
        )

    def _start(self, attempt):
        attempt.started = True
        attempt.call.started = True
        self.see_first_token(attempt)

    def _check_start(self, attempt):
        if not attempt.started:
            self._fail(attempt, Verdict.MAY_HAVE_RUN)

    def _succeed(self, attempt):
        attempt.over = True
        call = attempt.call
        if call.ended is None:
            call.ended = self.simulation.now

    def _fail(self, attempt, verdict):
        if attempt.over:
            return
        attempt.over = True
        call = attempt.call
        call.open -= 1
        if attempt.job:
            attempt.replica.cancel(attempt.job)
        if call.ended is None and not call.open:
            self.retry(call, verdict)
        if verdict is Verdict.MAY_HAVE_RUN:
            call.earlier = verdict


class PlainEntry(Entry):
    """Entry with three retries at once after each failure."""

    def retry(self, call, verdict):
        """Sends the request again up to three times."""
        if call.retries < 3:
            call.retries += 1
            self.send(call)


class BudgetEntry(Entry):
    """Entry with the retry policy, without hedges."""

    hedges = False

    def __init__(self, simulation, rng):
        super().__init__(simulation, rng)
        self.policy = RetryPolicy(random.Random(rng.random()))

    def take(self, call):
        """Takes a new request and plans a hedge."""
        self.policy.observe(Arrival(call.account), self._now())
        super().take(call)
        delay = self.policy.get_hedge_delay("group")
        if self.hedges and delay is not None:
            # Latencies are rounded up to a bucket; the small addition keeps
            # the waited time above the delay.
            later = self.simulation.now + delay.total_seconds() + 0.001
            self.simulation.schedule(later, lambda: self._hedge(call))

    def see_first_token(self, attempt):
        """Reports the latency."""
        elapsed = timedelta(seconds=self.simulation.now - attempt.sent)
        self.policy.observe(FirstToken("group", elapsed), self._now())

    def retry(self, call, verdict):
        """Asks the policy."""
        permission = self.policy.admit(
            Failure(
                call.account,
                "group",
                ChicoryplankError(ErrorCode.BACKEND_FAILED, "model", verdict),
                True,
                find_time(call.arrived + DEADLINE_S),
                retries=call.retries,
                earlier=call.earlier,
                expected=timedelta(seconds=2),
            ),
            self._now(),
        )
        if permission.allowed:
            call.retries += 1
            later = self.simulation.now + permission.delay.total_seconds()
            self.simulation.schedule(later, lambda: self.send(call))

    def _hedge(self, call):
        if call.ended is not None or call.started or not call.open:
            return
        hedge = Hedge(
            call.account,
            "group",
            True,
            find_time(call.arrived + DEADLINE_S),
            timedelta(seconds=self.simulation.now - call.arrived),
            hedges=call.hedges,
        )
        if self.policy.admit(hedge, self._now()).allowed:
            call.hedges += 1
            self.send(call)

    def _now(self):
        return find_time(self.simulation.now)


class HedgingEntry(BudgetEntry):
    """Entry with the retry policy and hedges."""

    hedges = True


POLICIES = {
    "no retries": Entry,
    "three plain retries": PlainEntry,
    "budget": BudgetEntry,
    "budget and hedges": HedgingEntry,
}
FAULTS = ("failing", "stalled", "overload")


def run_fault(
    make_entry, fault, load, seed, *, faulty=REPLICAS // 3, accounts=ACCOUNTS
):
    """Runs a load through a fault of some replicas and returns all calls."""
    rng = random.Random(seed)
    simulation = Simulation()
    entry = make_entry(simulation, rng)
    entry.faulty = faulty
    rate = load * find_capacity(REPLICAS) / MEAN_TOKENS
    surge = 1.3 * find_capacity(REPLICAS) / MEAN_TOKENS

    def arrive():
        account = AccountId(f"account-{rng.randrange(accounts)}")
        tokens = min(MAX_TOKENS, draw_tokens(rng))
        entry.take(Call(account, simulation.now, tokens))
        present = surge if entry.fault == "overload" else rate
        later = simulation.now + rng.expovariate(present)
        # The load goes on until the last judged request has ended.
        if later < END_S + DEADLINE_S:
            simulation.schedule(later, arrive)

    def set_fault(value):
        entry.fault = value

    simulation.schedule(0.0, arrive)
    simulation.schedule(FAULT_START_S, lambda: set_fault(fault))
    simulation.schedule(FAULT_END_S, lambda: set_fault(""))
    simulation.run(END_S + DEADLINE_S)
    return entry.calls


def find_goodput(calls, start, end):
    """Returns the part of requests of a period that ended in time."""
    chosen = [call for call in calls if start <= call.arrived < end]
    return sum(call.ended is not None for call in chosen) / len(chosen)


def find_traffic(calls, start, end):
    """Returns attempts over requests of a period."""
    chosen = [call for call in calls if start <= call.arrived < end]
    return sum(call.attempts for call in chosen) / len(chosen)


def find_recovery(calls):
    """Returns seconds from the fault's end until goodput is back, or None.

    It is back from the first 5 s of arrivals after which every 5 s reach
    0.95 of the goodput before the fault.
    """
    before = find_goodput(calls, FAULT_START_S / 2, FAULT_START_S)
    sent = collections.Counter()
    good = collections.Counter()
    for call in calls:
        if FAULT_END_S <= call.arrived < END_S:
            period = int((call.arrived - FAULT_END_S) / 5)
            sent[period] += 1
            good[period] += call.ended is not None
    poor = [
        period for period in sent if good[period] < 0.95 * before * sent[period]
    ]
    recovered = max(poor, default=-1) + 1
    return None if recovered > max(sent) else recovered * 5


def print_faults(options):
    """Prints traffic and goodput through faults of a third."""
    print(
        "| fault | policy | traffic in fault | traffic after "
        "| good before | in fault | after | recovered in |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for fault, (name, policy) in itertools.product(FAULTS, POLICIES.items()):
        calls = run_fault(policy, fault, options.load, options.seed)
        recovery = find_recovery(calls)
        goods = [
            find_goodput(calls, start, end)
            for start, end in (
                (FAULT_START_S / 2, FAULT_START_S),
                (FAULT_START_S, FAULT_END_S),
                (FAULT_END_S, END_S),
            )
        ]
        print(
            f"| {fault} | {name} "
            f"| {find_traffic(calls, FAULT_START_S, FAULT_END_S):.3f} "
            f"| {find_traffic(calls, FAULT_END_S, END_S):.3f} "
            f"| {goods[0]:.3f} | {goods[1]:.3f} | {goods[2]:.3f} "
            f"| {'not in 120 s' if recovery is None else f'{recovery} s'} |"
        )


def print_hedges(options):
    """Prints latency while one replica of eighteen stalls."""
    print("| one stalled | traffic in fault | in time | p50 | p95 | p99 |")
    print("|---|---|---|---|---|---|")
    for name in ("no retries", "budget", "budget and hedges"):
        calls = [
            call
            for call in run_fault(
                POLICIES[name],
                "stalled",
                options.load,
                options.seed,
                faulty=1,
            )
            if FAULT_START_S <= call.arrived < FAULT_END_S
        ]
        # A request that failed counts with its whole deadline.
        times = sorted(
            DEADLINE_S if call.ended is None else call.ended - call.arrived
            for call in calls
        )
        row = [times[int(part * len(times))] for part in (0.5, 0.95, 0.99)]
        traffic = find_traffic(calls, FAULT_START_S, FAULT_END_S)
        in_time = find_goodput(calls, FAULT_START_S, FAULT_END_S)
        shown = " | ".join(f"{value:.2f} s" for value in row)
        print(f"| {name} | {traffic:.3f} | {in_time:.3f} | {shown} |")


def print_accounts(options):
    """Prints traffic with 900 accounts at 102 requests/s in all."""
    load = 102 * MEAN_TOKENS / find_capacity(REPLICAS)
    print("| 900 accounts, fault | policy | traffic in fault | in time |")
    print("|---|---|---|---|")
    for fault, name in itertools.product(
        ("failing", "stalled"), ("budget", "budget and hedges")
    ):
        calls = run_fault(
            POLICIES[name], fault, load, options.seed, accounts=900
        )
        traffic = find_traffic(calls, FAULT_START_S, FAULT_END_S)
        in_time = find_goodput(calls, FAULT_START_S, FAULT_END_S)
        print(f"| {fault} | {name} | {traffic:.3f} | {in_time:.3f} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=LOAD)
    parser.add_argument("--part", default="", help="faults, hedges or accounts")
    options = parser.parse_args()
    print(f"seed {options.seed}, load {options.load} of capacity")
    tables = {
        "faults": print_faults,
        "hedges": print_hedges,
        "accounts": print_accounts,
    }
    for name, print_table in tables.items():
        if options.part in ("", name):
            print()
            print_table(options)


if __name__ == "__main__":
    main()
