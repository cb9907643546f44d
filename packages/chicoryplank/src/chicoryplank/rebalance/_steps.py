"""Ways to run a search that yields often."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")


def run_steps(steps: Generator[None, None, Result]) -> Result:
    """Runs a stepwise decision to its end without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


async def run_between_tasks(steps: Generator[None, None, Result]) -> Result:
    """Runs a stepwise decision and lets other tasks run at each yield."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)
