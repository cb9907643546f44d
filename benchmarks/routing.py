"""Compares routing policies in the simulation of engine_model.py.

The policy "ideal" is a reference: a single queue with exact knowledge of the
state and prefix cache of every engine, without delay. It holds requests while
all batches are full.

Columns: time to first token (ttft) and between tokens (tbt) in ms at p50, p95
and p99; share of requests whose prefix was cached (hits); largest engine load
divided by the mean load, averaged over time (spread); share of requests sent
to another zone (cross); time that the policy takes to choose a replica, in
microseconds (us). A request without a first token at the end of the run counts
with the time since its arrival. In the scenario "no digests" the requests
carry no prefix digest, so the policies cannot use the prefix caches; the ideal
policy still can.
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


def compute_percentiles(values):
    ordered = sorted(values)
    size = len(ordered)
    return [
        ordered[min(size - 1, int(size * share))] if size else float("nan")
        for share in (0.5, 0.95, 0.99)
    ]


def measure(scenario, make_policy, seed):
    """Runs a scenario under a policy and returns the values of its row."""
    simulation = Simulation(scenario, make_policy, seed)
    simulation.run()
    jobs = [job for job in simulation.jobs if job.arrived_at > WARM_UP_S]
    ttfts_ms = [
        (scenario.duration_s - job.arrived_at if job.ttft is None else job.ttft)
        * 1000
        for job in jobs
    ]
    token_gaps = list(simulation.token_gaps.elements())
    sent_jobs = [job for job in jobs if job.engine is not None]
    cross_zone_requests = sum(
        job.entry.zone != job.engine.zone for job in sent_jobs
    )
    return {
        "ttft": compute_percentiles(ttfts_ms),
        "tbt": [gap / 10 for gap in compute_percentiles(token_gaps)],
        "hits": sum(job.is_cache_hit for job in sent_jobs) / len(sent_jobs),
        "spread": sum(simulation.load_imbalances)
        / len(simulation.load_imbalances),
        "cross": cross_zone_requests / len(sent_jobs),
        "choose_us": simulation.choice_time_s * 1e6 / len(simulation.jobs),
    }


def make_zone_balanced_policy(index: int, scenario: Scenario) -> Policy:
    parameters = RoutingParameters(deciding_entries=scenario.entries)
    zone = ZONES[index % len(ZONES)]
    return make_balanced_policy(zone, parameters, random.Random(_SEED + index))


POLICIES = {
    "round robin": lambda index, scenario: make_round_robin_policy(index * 5),
    "least reported": lambda index, scenario: make_least_load_policy(),
    "balanced": make_zone_balanced_policy,
    "ideal": None,
}

SCENARIOS = (
    *(Scenario("normal", load) for load in (0.5, 0.8, 0.95, 1.2)),
    Scenario("no digests", 0.7, knows_prefixes=False),
    Scenario("no digests", 0.8, knows_prefixes=False),
    Scenario("stalled replica", 0.8, fault="stall"),
    Scenario("zone lost", 0.5, fault="zone"),
    Scenario("8 entries, 1 s stale", 0.8, report_lag_s=1.0),
    Scenario(
        "560 entries, 1 s stale",
        0.8,
        engines=48,
        entries=560,
        report_lag_s=1.0,
        duration_s=40.0,
    ),
)


def print_row(scenario, name, results):
    ttft_columns = " ".join(f"{value:7.1f}" for value in results["ttft"])
    tbt_columns = " ".join(f"{value:5.1f}" for value in results["tbt"])
    print(
        f"{scenario.name:<23} {scenario.load:4.2f} {name:<15}"
        f" {ttft_columns}   {tbt_columns}"
        f" {results['hits']:6.2f} {results['spread']:6.2f}"
        f" {results['cross']:6.2f} {results['choose_us']:6.0f}",
        flush=True,
    )


def main() -> None:
    """Prints one row for each selected scenario and policy."""
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
                results = measure(scenario, make_policy, options.seed)
                print_row(scenario, name, results)


if __name__ == "__main__":
    main()
