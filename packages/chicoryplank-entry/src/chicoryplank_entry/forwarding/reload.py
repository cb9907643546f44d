"""Applies changed settings to a running entry, with a signal or without."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit

# Interval at which the settings are read without a signal, in seconds. They
# are a small file, and nothing that they hold has to change faster.
_INTERVAL_S = 2.0

Parameters = TypeVar("Parameters")


class SettingsReload:
    """Reads the settings again and applies what has changed.

    Settings that cannot be read leave the former ones in force. They are
    logged once, not at every look.

    Args:
        read: Returns the parameters; raises ChicoryplankError.
        apply: Puts parameters in force; returns the names of the fields that
            take effect at the next start only.
        current: Parameters in force.
    """

    def __init__(
        self,
        read: Callable[[], Parameters],
        apply: Callable[[Parameters], list[str]],
        current: Parameters,
    ) -> None:
        self._read = read
        self._apply = apply
        self._current = current
        self._problem = ""
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to look at the settings at intervals."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops looking."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Reads the settings now."""
        try:
            parameters = self._read()
        except ChicoryplankError as error:
            if error.message != self._problem:
                self._problem = error.message
                emit(Event.SETTINGS_REJECTED, error=error.message)
            return
        self._problem = ""
        if parameters == self._current:
            return
        self._current = parameters
        delayed = self._apply(parameters)
        emit(Event.SETTINGS_READ, delayed=", ".join(delayed))


__all__ = ["SettingsReload"]
