"""Reload of changed settings while an entry runs, periodic or on a signal."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit

# Interval of reading the settings without a signal, in seconds. The file is
# small, and no setting needs to take effect sooner.
_INTERVAL_S = 2.0

Parameters = TypeVar("Parameters")


class SettingsReload:
    """Reads the settings again and applies changes.

    Invalid settings are rejected and the current ones stay active. An error is
    logged once, not at every read.

    Args:
        read: Returns the parameters; raises ChicoryplankError if they are
            invalid.
        apply: Applies parameters; returns the names of the fields that take
            effect only after a restart.
        current: Active parameters.
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
        self._last_error = ""
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to read the settings periodically."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops reading the settings."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Reads the settings and applies them if they have changed."""
        try:
            parameters = self._read()
        except ChicoryplankError as error:
            if error.message != self._last_error:
                self._last_error = error.message
                emit(Event.SETTINGS_REJECTED, error=error.message)
            return
        self._last_error = ""
        if parameters == self._current:
            return
        self._current = parameters
        delayed = self._apply(parameters)
        emit(Event.SETTINGS_READ, delayed=", ".join(delayed))


__all__ = ["SettingsReload"]
