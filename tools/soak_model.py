"""Checks decision code in randomized simulations and prints a JSON line.

Each seed runs one simulation of the attempts, the claims or the configuration.
"""

import concurrent.futures
import dataclasses
import json
import sys
import time
from collections.abc import Callable

import click

from chicoryplank.attempts.tests import model as attempts_model
from chicoryplank.configuration.tests import model as configuration_model

_STEPS_PER_SEED = 400
_SEEDS_PER_BATCH = 25
_MAX_REPORTED = 20


@dataclasses.dataclass(frozen=True)
class _BatchResult:
    """Result of a batch of seeds of one model."""

    steps: int
    violations: tuple[str, ...]


def _run_attempts(seed: int) -> None:
    attempts_model.run_seed(
        seed, _STEPS_PER_SEED, attempts_model.ATTEMPT_ACTIONS, 0.2
    )


def _run_claims(seed: int) -> None:
    attempts_model.run_seed(
        seed, _STEPS_PER_SEED, attempts_model.CLAIM_ACTIONS, 1.0
    )


def _run_configuration(seed: int) -> None:
    configuration_model.run_seed(seed, _STEPS_PER_SEED)


_MODELS: dict[str, Callable[[int], None]] = {
    "attempts": _run_attempts,
    "claims": _run_claims,
    "configuration": _run_configuration,
}


def _run_batch(name: str, first_seed: int) -> _BatchResult:
    steps = 0
    violations = []
    for seed in range(first_seed, first_seed + _SEEDS_PER_BATCH):
        try:
            _MODELS[name](seed)
        except Exception as error:
            violations.append(f"{name}: {type(error).__name__}: {error}")
        steps += _STEPS_PER_SEED
    return _BatchResult(steps, tuple(violations))


@click.command()
@click.option("--seed", default=0, show_default=True, help="First seed.")
@click.option("--steps", default=2_000_000, show_default=True)
@click.option("--time-limit-s", default=900.0, show_default=True)
@click.option("--processes", default=4, show_default=True)
def main(seed: int, steps: int, time_limit_s: float, processes: int) -> None:
    """Runs all models until enough steps are done or the time is over."""
    started_s = time.monotonic()
    steps_by_model = dict.fromkeys(_MODELS, 0)
    seeds = 0
    violations: list[str] = []
    next_seed = seed
    with concurrent.futures.ProcessPoolExecutor(min(processes, 4)) as pool:
        pending: dict[concurrent.futures.Future, str] = {}
        scheduled_steps = 0
        while True:
            expired = time.monotonic() - started_s > time_limit_s
            while scheduled_steps < steps and not expired and len(pending) < 12:
                for name in _MODELS:
                    future = pool.submit(_run_batch, name, next_seed)
                    pending[future] = name
                    scheduled_steps += _STEPS_PER_SEED * _SEEDS_PER_BATCH
                next_seed += _SEEDS_PER_BATCH
            if not pending:
                break
            done, _ = concurrent.futures.wait(
                pending, return_when=concurrent.futures.FIRST_COMPLETED
            )
            for future in done:
                batch = future.result()
                steps_by_model[pending.pop(future)] += batch.steps
                seeds += _SEEDS_PER_BATCH
                violations += batch.violations
    result = {
        "steps": sum(steps_by_model.values()),
        "steps_by_model": steps_by_model,
        "seeds": seeds,
        "first_seed": seed,
        "violations": len(violations),
        "reported": violations[:_MAX_REPORTED],
        "elapsed_s": round(time.monotonic() - started_s, 1),
    }
    print(json.dumps(result))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
