"""Random runs of the model of entries, agents, store and network."""

import random

import logbook
import prometheus_client

from chicoryplank.attempts.tests.faults import InvariantError
from chicoryplank.attempts.tests.world import Parts, World

_PARTS = Parts()
_ALWAYS = frozenset(
    {"request", "connect", "deliver", "progress", "plan", "confirm"}
)
# Weights of the actions: progress is common, so that faults meet requests in
# every stage.
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
    actions: dict[str, int], source: random.Random
) -> dict[str, float]:
    """Leaves out some actions and prefers others, as in swarm testing.

    References:
        Groce et al., "Swarm Testing", ISSTA 2012: random tests find more
        when each run uses a random part of the features.
    """
    return {
        name: weight * (1 if name in _ALWAYS else source.choice((0, 1, 1, 3)))
        for name, weight in actions.items()
    }


def count_asserted() -> float:
    """Returns how often an invariant asserted inside the program failed."""
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
    keyed: float,
    parts: Parts = _PARTS,
    *,
    vary: bool = True,
) -> World:
    """Runs one model with random actions.

    Args:
        seed: Seed of the actions.
        steps: Number of actions.
        actions: Weights of the actions.
        keyed: Share of the requests that are non-idempotent.
        parts: Classes under test.
        vary: Whether the seed changes the weights.

    Returns:
        The model after its steps.

    Raises:
        InvariantError: With seed and step in its message.
    """
    source = random.Random(seed)
    asserted = count_asserted()
    world = World(seed, keyed, parts)
    weights = vary_weights(actions, source) if vary else actions
    names = source.choices(list(weights), list(weights.values()), k=steps)
    try:
        for step, name in enumerate(names):
            number = source.randrange(1 << 16)
            try:
                world.act(name, number)
            except InvariantError as error:
                raise InvariantError(
                    f"seed {seed} step {step}: {error}"
                ) from error
        if count_asserted() != asserted:
            raise InvariantError(f"seed {seed}: the program's own check failed")
    finally:
        with logbook.NullHandler().threadbound():
            world.close()
    return world


def find_violation(
    actions: dict[str, int],
    keyed: float,
    parts: Parts,
    seeds: int = 400,
    steps: int = 200,
) -> str:
    """Returns the first violation of a broken variant, or "" if none."""
    for seed in range(seeds):
        try:
            run_seed(seed, steps, actions, keyed, parts, vary=False)
        except InvariantError as error:
            return str(error)
    return ""
