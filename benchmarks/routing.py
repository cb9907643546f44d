"""Measures routing policies on the model of engines in engine_model.py.

The ideal is a single queue that knows the exact state and caches of all
engines at no delay and holds requests back while all batches are full.

Columns: time to first token (ttft) and between tokens (tbt) in ms at p50, p95
and p99; share of requests whose prefix was cached; largest load over mean
load, averaged over time; share of requests that crossed zones; time of a
choice in us. Requests without a first token when the run ends count with the
time they waited. Without digests the policies do not know the prefixes; the
ideal does.
"""

import argparse
import random

import logbook
from engine_model import WARM_UP_S, ZONES, Scenario, Simulation

from chicoryplank.routing import (
    Policy,
    RoutingParameters,
    make_balanced_policy,
    make_least_load_policy,
    make_round_robin_policy,
)

_SEED = 20260101


def find_percentiles(values):
    ordered = sorted(values)
    size = len(ordered)
    return [
        ordered[min(size - 1, int(size * share))] if size else float("nan")
        for share in (0.5, 0.95, 0.99)
    ]


def measure(scenario, make_policy, seed):
    """Returns the figures of one run."""
    simulation = Simulation(scenario, make_policy, seed)
    simulation.run()
    jobs = [job for job in simulation.jobs if job.arrived > WARM_UP_S]
    waits = [
        (scenario.duration_s - job.arrived if job.ttft is None else job.ttft)
        * 1000
        for job in jobs
    ]
    gaps = list(simulation.gaps.elements())
    sent = [job for job in jobs if job.engine is not None]
    cross = sum(job.entry.zone != job.engine.zone for job in sent)
    return {
        "ttft": find_percentiles(waits),
        "tbt": [gap / 10 for gap in find_percentiles(gaps)],
        "hits": sum(job.hit for job in sent) / len(sent),
        "spread": sum(simulation.spreads) / len(simulation.spreads),
        "cross": cross / len(sent),
        "choose_us": simulation.choose_s * 1e6 / len(simulation.jobs),
    }


def make_balanced_entry(index: int, scenario: Scenario) -> Policy:
    parameters = RoutingParameters(deciding_entries=scenario.entries)
    zone = ZONES[index % len(ZONES)]
    return make_balanced_policy(zone, parameters, random.Random(_SEED + index))


POLICIES = {
    "round robin": lambda index, scenario: make_round_robin_policy(index * 5),
    "least reported": lambda index, scenario: make_least_load_policy(),
    "balanced": make_balanced_entry,
    "ideal": None,
}

SCENARIOS = (
    *(Scenario("normal", load) for load in (0.5, 0.8, 0.95, 1.2)),
    Scenario("no digests", 0.7, prefixes=False),
    Scenario("no digests", 0.8, prefixes=False),
    Scenario("stalled replica", 0.8, fault="stall"),
    Scenario("zone lost", 0.5, fault="zone"),
    Scenario("8 entries, 1 s stale", 0.8, lag_s=1.0),
    Scenario(
        "560 entries, 1 s stale",
        0.8,
        engines=48,
        entries=560,
        lag_s=1.0,
        duration_s=40.0,
    ),
)


def print_row(scenario, name, figures):
    waits = " ".join(f"{value:7.1f}" for value in figures["ttft"])
    gaps = " ".join(f"{value:5.1f}" for value in figures["tbt"])
    print(
        f"{scenario.name:<23} {scenario.load:4.2f} {name:<15} {waits}   {gaps}"
        f" {figures['hits']:6.2f} {figures['spread']:6.2f}"
        f" {figures['cross']:6.2f} {figures['choose_us']:6.0f}",
        flush=True,
    )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", default="", help="part of a name")
    parser.add_argument("--policy", default="", help="part of a name")
    parser.add_argument("--seed", type=int, default=_SEED)
    options = parser.parse_args()
    logbook.NullHandler().push_application()
    print(f"seed {options.seed}")
    print(
        f"{'scenario':<23} load {'policy':<15} {'ttft p50/p95/p99 ms':>23}"
        f"   {'tbt p50/p95/p99':>17} {'hits':>6} {'spread':>6} {'cross':>6}"
        f" {'us':>6}"
    )
    for scenario in SCENARIOS:
        for name, make_policy in POLICIES.items():
            if options.scenario in scenario.name and options.policy in name:
                figures = measure(scenario, make_policy, options.seed)
                print_row(scenario, name, figures)


if __name__ == "__main__":
    main()
