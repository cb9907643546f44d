"""Measures retry policies while a third of the replicas is faulty.

One entry chooses among eighteen engines at random and ejects none, so that the
results depend on the retry policy only. An attempt fails if its first token
takes longer than 2 s or its complete response longer than 5 s; it is then
cancelled at the engine. The deadline of a request is 15 s. All requests may be
retried. The fault lasts 60 s.

With the fault `failing`, a faulty replica fails each attempt after 5 ms; half
of these failures have the verdict "not run". With the fault `stalled`, a
faulty replica accepts attempts and never responds. With the fault `overload`,
faulty replicas fail attempts as with `failing`, and the demand rises to 1.3
times the capacity of all replicas.

"Traffic" is the number of attempts per request; "good" is the share of
requests that completed before their deadline.
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
    compute_capacity,
    draw_tokens,
    to_datetime,
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
FIRST_TOKEN_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 5.0
MAX_TOKENS = 150
# Mean response size after truncation to MAX_TOKENS.
MEAN_TOKENS = 80


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A simulated request and its attempts.

    Attributes:
        account: Client account of the request.
        arrived_at: Arrival time in seconds.
        tokens: Tokens of the response.
        attempts: Attempts sent, including retries and hedges.
        retries: Retries sent.
        hedges: Hedges sent.
        open_attempts: Attempts that have not failed.
        has_first_token: Whether any attempt produced its first token.
        ended_at: Time of the complete response.
        earlier_verdict: `MAY_HAVE_RUN` once an attempt failed with this
            verdict.
    """

    account: AccountId
    arrived_at: float
    tokens: int
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    open_attempts: int = 0
    has_first_token: bool = False
    ended_at: float | None = None
    earlier_verdict: Verdict = Verdict.NOT_RUN


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; finished when it succeeded or failed."""

    call: Call
    replica: Replica
    sent_at: float
    job: Job | None = None
    has_first_token: bool = False
    is_finished: bool = False


class Entry:
    """Entry that never retries."""

    def __init__(self, simulation, rng):
        self.simulation = simulation
        self.rng = rng
        self.replicas = [Replica(simulation) for _ in range(REPLICAS)]
        self.fault = ""
        self.faulty_replicas = REPLICAS // 3
        self.calls = []

    def receive(self, call):
        """Receives a new request and sends its first attempt."""
        self.calls.append(call)
        self.send(call)

    def send(self, call):
        """Sends an attempt to a random replica before the deadline."""
        now = self.simulation.now
        if call.ended_at is not None or now >= call.arrived_at + DEADLINE_S:
            return
        call.attempts += 1
        call.open_attempts += 1
        number = self.rng.randrange(REPLICAS)
        attempt = Attempt(call, self.replicas[number], now)
        if self.fault and number < self.faulty_replicas:
            if self.fault == "stalled":
                self._schedule_failure(
                    FIRST_TOKEN_TIMEOUT_S, attempt, Verdict.MAY_HAVE_RUN
                )
                return
            verdicts = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN]
            self._schedule_failure(0.005, attempt, self.rng.choice(verdicts))
            return
        attempt.job = Job(
            call.tokens,
            1,
            lambda: self._succeed(attempt),
            lambda: self._record_first_token(attempt),
        )
        attempt.replica.submit(attempt.job)
        self.simulation.schedule(
            now + FIRST_TOKEN_TIMEOUT_S,
            lambda: self._check_first_token(attempt),
        )
        self._schedule_failure(ATTEMPT_TIMEOUT_S, attempt, Verdict.MAY_HAVE_RUN)

    def observe_first_token(self, attempt):
        """Handles the first token of an attempt."""

    def retry(self, call, verdict):
        """Retries a request whose last open attempt failed, if allowed."""

    def _schedule_failure(self, delay, attempt, verdict):
        self.simulation.schedule(
            self.simulation.now + delay, lambda: self._fail(attempt, verdict)
        )

    def _record_first_token(self, attempt):
        attempt.has_first_token = True
        attempt.call.has_first_token = True
        self.observe_first_token(attempt)

    def _check_first_token(self, attempt):
        if not attempt.has_first_token:
            self._fail(attempt, Verdict.MAY_HAVE_RUN)

    def _succeed(self, attempt):
        attempt.is_finished = True
        call = attempt.call
        if call.ended_at is None:
            call.ended_at = self.simulation.now

    def _fail(self, attempt, verdict):
        if attempt.is_finished:
            return
        attempt.is_finished = True
        call = attempt.call
        call.open_attempts -= 1
        if attempt.job:
            attempt.replica.cancel(attempt.job)
        if call.ended_at is None and not call.open_attempts:
            self.retry(call, verdict)
        if verdict is Verdict.MAY_HAVE_RUN:
            call.earlier_verdict = verdict


class PlainEntry(Entry):
    """Entry that retries a failed request up to three times without delay."""

    def retry(self, call, verdict):
        """Retries immediately unless three retries were sent."""
        if call.retries < 3:
            call.retries += 1
            self.send(call)


class BudgetEntry(Entry):
    """Entry with the retry policy of the product, without hedges."""

    uses_hedges = False

    def __init__(self, simulation, rng):
        super().__init__(simulation, rng)
        self.policy = RetryPolicy(random.Random(rng.random()))

    def receive(self, call):
        """Receives a new request and schedules a hedge."""
        self.policy.observe(Arrival(call.account), self._now())
        super().receive(call)
        delay = self.policy.get_hedge_delay("group")
        if self.uses_hedges and delay is not None:
            # The delay is a latency rounded up to a bucket; 1 ms is added so
            # that the elapsed time is not below the delay.
            later = self.simulation.now + delay.total_seconds() + 0.001
            self.simulation.schedule(later, lambda: self._hedge(call))

    def observe_first_token(self, attempt):
        """Reports the first-token latency to the retry policy."""
        elapsed = timedelta(seconds=self.simulation.now - attempt.sent_at)
        self.policy.observe(FirstToken("group", elapsed), self._now())

    def retry(self, call, verdict):
        """Retries after the delay that the retry policy decides on."""
        decision = self.policy.admit(
            Failure(
                call.account,
                "group",
                ChicoryplankError(ErrorCode.BACKEND_FAILED, "model", verdict),
                True,
                to_datetime(call.arrived_at + DEADLINE_S),
                retries=call.retries,
                earlier=call.earlier_verdict,
                expected=timedelta(seconds=2),
            ),
            self._now(),
        )
        if decision.allowed:
            call.retries += 1
            later = self.simulation.now + decision.delay.total_seconds()
            self.simulation.schedule(later, lambda: self.send(call))

    def _hedge(self, call):
        if (
            call.ended_at is not None
            or call.has_first_token
            or not call.open_attempts
        ):
            return
        hedge = Hedge(
            call.account,
            "group",
            True,
            to_datetime(call.arrived_at + DEADLINE_S),
            timedelta(seconds=self.simulation.now - call.arrived_at),
            hedges=call.hedges,
        )
        if self.policy.admit(hedge, self._now()).allowed:
            call.hedges += 1
            self.send(call)

    def _now(self):
        return to_datetime(self.simulation.now)


class HedgingEntry(BudgetEntry):
    """Entry with the retry policy of the product and hedges."""

    uses_hedges = True


POLICIES = {
    "no retries": Entry,
    "three plain retries": PlainEntry,
    "budget": BudgetEntry,
    "budget and hedges": HedgingEntry,
}
FAULTS = ("failing", "stalled", "overload")


def run_fault(
    make_entry,
    fault,
    load,
    seed,
    *,
    faulty_replicas=REPLICAS // 3,
    accounts=ACCOUNTS,
):
    """Simulates a load with a fault of some replicas; returns all calls."""
    rng = random.Random(seed)
    simulation = Simulation()
    entry = make_entry(simulation, rng)
    entry.faulty_replicas = faulty_replicas
    rate = load * compute_capacity(REPLICAS) / MEAN_TOKENS
    overload_rate = 1.3 * compute_capacity(REPLICAS) / MEAN_TOKENS

    def arrive():
        account = AccountId(f"account-{rng.randrange(accounts)}")
        tokens = min(MAX_TOKENS, draw_tokens(rng))
        entry.receive(Call(account, simulation.now, tokens))
        current_rate = overload_rate if entry.fault == "overload" else rate
        later = simulation.now + rng.expovariate(current_rate)
        # The load continues until the last measured request has reached its
        # deadline.
        if later < END_S + DEADLINE_S:
            simulation.schedule(later, arrive)

    def set_fault(value):
        entry.fault = value

    simulation.schedule(0.0, arrive)
    simulation.schedule(FAULT_START_S, lambda: set_fault(fault))
    simulation.schedule(FAULT_END_S, lambda: set_fault(""))
    simulation.run(END_S + DEADLINE_S)
    return entry.calls


def compute_goodput(calls, start, end):
    """Returns the share of requests of a period completed in time."""
    selected = [call for call in calls if start <= call.arrived_at < end]
    return sum(call.ended_at is not None for call in selected) / len(selected)


def compute_attempt_ratio(calls, start, end):
    """Returns the attempts per request that arrived in a period."""
    selected = [call for call in calls if start <= call.arrived_at < end]
    return sum(call.attempts for call in selected) / len(selected)


def compute_recovery_time(calls):
    """Returns seconds from the fault's end to recovery, or None.

    Requests are grouped by arrival into periods of 5 s. Goodput has recovered
    at the first period from which all periods reach 0.95 of the goodput
    before the fault.
    """
    previous_goodput = compute_goodput(calls, FAULT_START_S / 2, FAULT_START_S)
    sent = collections.Counter()
    completed = collections.Counter()
    for call in calls:
        if FAULT_END_S <= call.arrived_at < END_S:
            period = int((call.arrived_at - FAULT_END_S) / 5)
            sent[period] += 1
            completed[period] += call.ended_at is not None
    low_periods = [
        period
        for period in sent
        if completed[period] < 0.95 * previous_goodput * sent[period]
    ]
    recovered_period = max(low_periods, default=-1) + 1
    return None if recovered_period > max(sent) else recovered_period * 5


def print_faults(options):
    """Prints traffic and goodput with a third of the replicas faulty."""
    print(
        "| fault | policy | traffic in fault | traffic after "
        "| good before | in fault | after | recovered in |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for fault, (name, policy) in itertools.product(FAULTS, POLICIES.items()):
        calls = run_fault(policy, fault, options.load, options.seed)
        recovery = compute_recovery_time(calls)
        goodputs = [
            compute_goodput(calls, start, end)
            for start, end in (
                (FAULT_START_S / 2, FAULT_START_S),
                (FAULT_START_S, FAULT_END_S),
                (FAULT_END_S, END_S),
            )
        ]
        print(
            f"| {fault} | {name} "
            f"| {compute_attempt_ratio(calls, FAULT_START_S, FAULT_END_S):.3f} "
            f"| {compute_attempt_ratio(calls, FAULT_END_S, END_S):.3f} "
            f"| {goodputs[0]:.3f} | {goodputs[1]:.3f} | {goodputs[2]:.3f} "
            f"| {'not in 120 s' if recovery is None else f'{recovery} s'} |"
        )


def print_hedges(options):
    """Prints latency while one of the eighteen replicas is stalled."""
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
                faulty_replicas=1,
            )
            if FAULT_START_S <= call.arrived_at < FAULT_END_S
        ]
        # The latency of a failed request counts as its full deadline.
        times = sorted(
            DEADLINE_S
            if call.ended_at is None
            else call.ended_at - call.arrived_at
            for call in calls
        )
        row = [times[int(part * len(times))] for part in (0.5, 0.95, 0.99)]
        traffic = compute_attempt_ratio(calls, FAULT_START_S, FAULT_END_S)
        in_time = compute_goodput(calls, FAULT_START_S, FAULT_END_S)
        shown = " | ".join(f"{value:.2f} s" for value in row)
        print(f"| {name} | {traffic:.3f} | {in_time:.3f} | {shown} |")


def print_accounts(options):
    """Prints traffic with 900 accounts that send 102 requests/s in total."""
    load = 102 * MEAN_TOKENS / compute_capacity(REPLICAS)
    print("| 900 accounts, fault | policy | traffic in fault | in time |")
    print("|---|---|---|---|")
    for fault, name in itertools.product(
        ("failing", "stalled"), ("budget", "budget and hedges")
    ):
        calls = run_fault(
            POLICIES[name], fault, load, options.seed, accounts=900
        )
        traffic = compute_attempt_ratio(calls, FAULT_START_S, FAULT_END_S)
        in_time = compute_goodput(calls, FAULT_START_S, FAULT_END_S)
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
