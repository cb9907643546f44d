"""Runners for computations written as generators that yield between slices.

Slices are short, so that a caller in an event loop can let other tasks run in
between.
"""

import asyncio
from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")


def run_to_completion(generator: Generator[None, None, Result]) -> Result:
    """Runs a generator without pauses and returns its value."""
    while True:
        try:
            next(generator)
        except StopIteration as end:
            return end.value


async def run_cooperatively(generator: Generator[None, None, Result]) -> Result:
    """Runs a generator and lets other tasks run at each yield."""
    while True:
        try:
            next(generator)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)
