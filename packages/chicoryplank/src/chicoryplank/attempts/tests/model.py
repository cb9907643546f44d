"""Random simulations of entries, agents, the store and the network."""

import random

import logbook
import prometheus_client

from chicoryplank.attempts.tests.faults import InvariantError
from chicoryplank.attempts.tests.simulation import Components, Simulation

_COMPONENTS = Components()
_ALWAYS = frozenset(
    {"request", "connect", "deliver", "progress", "plan", "confirm"}
)
# Weights of the actions. Actions that make progress are frequent, so that
# faults occur in every stage of a request.
ATTEMPT_ACTIONS = {
    "request": 20,
    "connect": 14,
    "deliver": 18,
    "progress": 5,
    "store": 4,
    "backend": 6,
    "backend_fault": 2,
    "advance": 6,
    "skew": 2,
    "drain": 1,
    "break": 4,
    "reorder": 4,
    "duplicate": 4,
    "lose": 2,
    "pause": 2,
    "resume": 3,
    "restart_agent": 1,
    "restart_entry": 1,
}
CLAIM_ACTIONS = {
    "request": 20,
    "connect": 14,
    "deliver": 10,
    "progress": 7,
    "store": 16,
    "store_fault": 5,
    "late_write": 4,
    "store_down": 1,
    "backend": 6,
    "backend_fault": 4,
    "advance": 5,
    "skew": 1,
    "move": 4,
    "expire": 1,
    "break": 2,
    "reorder": 1,
    "duplicate": 2,
    "lose": 1,
    "pause": 2,
    "resume": 3,
    "restart_agent": 1,
    "restart_entry": 1,
}


def vary_weights(
    actions: dict[str, int], rng: random.Random
) -> dict[str, float]:
    """Randomly disables some actions and triples the weight of others.

    References:
        Groce et al., "Swarm Testing", ISSTA 2012: random tests find more
        faults when each run uses a random subset of the features.
    """
    return {
        name: weight * (1 if name in _ALWAYS else rng.choice((0, 1, 1, 3)))
        for name, weight in actions.items()
    }


def count_invariant_violations() -> float:
    """Returns how many invariant violations the code under test has counted."""
    return sum(
        sample.value
        for metric in prometheus_client.REGISTRY.collect()
        if metric.name == "chicoryplank_invariant_violations"
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


def run_seed(
    seed: int,
    steps: int,
    actions: dict[str, int],
    keyed_share: float,
    components: Components = _COMPONENTS,
    *,
    vary: bool = True,
) -> Simulation:
    """Runs one simulation with random actions.

    Args:
        seed: Seed of the actions.
        steps: Number of actions.
        actions: Weights of the actions.
        keyed_share: Share of the requests that are non-idempotent.
        components: Classes under test.
        vary: Whether the seed changes the weights.

    Returns:
        The simulation after all steps.

    Raises:
        InvariantError: With seed and step in its message.
    """
    rng = random.Random(seed)
    violations_before = count_invariant_violations()
    simulation = Simulation(seed, keyed_share, components)
    weights = vary_weights(actions, rng) if vary else actions
    names = rng.choices(list(weights), list(weights.values()), k=steps)
    try:
        for step, name in enumerate(names):
            number = rng.randrange(1 << 16)
            try:
                simulation.act(name, number)
            except InvariantError as error:
                raise InvariantError(
                    f"seed {seed} step {step}: {error}"
                ) from error
        if count_invariant_violations() != violations_before:
            raise InvariantError(
                f"seed {seed}: an invariant check in the code under test failed"
            )
    finally:
        with logbook.NullHandler().threadbound():
            simulation.close()
    return simulation


def find_violation(
    actions: dict[str, int],
    keyed_share: float,
    components: Components,
    seeds: int = 400,
    steps: int = 200,
) -> str:
    """Returns the first violation that a broken variant causes, or "".

    Args:
        actions: Weights of the actions.
        keyed_share: Share of the requests that are non-idempotent.
        components: Classes under test, at least one of them broken.
        seeds: Number of simulations to try.
        steps: Number of actions in each simulation.
    """
    for seed in range(seeds):
        try:
            run_seed(seed, steps, actions, keyed_share, components, vary=False)
        except InvariantError as error:
            return str(error)
    return ""
