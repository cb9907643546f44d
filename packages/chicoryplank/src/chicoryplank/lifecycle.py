"""Application object that starts and stops the parts of a daemon."""

from collections.abc import Awaitable, Callable

from transitions import Machine

from chicoryplank.events import Event, emit

Hook = Callable[[], Awaitable[None]]


class Application:
    """Owns the life cycle of a daemon through ordered hooks.

    Start hooks run in the order of registration, stop hooks in the reverse
    order. A failing start hook stops what has been started and is raised
    again.

    Args:
        name: Name in log events.

    Example:
        >>> application = Application("entry")
        >>> application.state
        'created'
    """

    _STATES = ("created", "starting", "running", "draining", "stopped")
    _TRANSITIONS = (
        ("begin", "created", "starting"),
        ("run", "starting", "running"),
        ("drain", "running", "draining"),
        ("end", ["starting", "running", "draining"], "stopped"),
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self._hooks: list[tuple[str, Hook | None, Hook | None]] = []
        self._started: list[tuple[str, Hook | None]] = []
        self._machine = Machine(
            model=self,
            states=list(self._STATES),
            transitions=[list(item) for item in self._TRANSITIONS],
            initial="created",
            auto_transitions=False,
        )

    def add_hooks(
        self, name: str, start: Hook | None = None, stop: Hook | None = None
    ) -> None:
        """Registers the start and stop hook of one part."""
        self._hooks.append((name, start, stop))

    async def start(self) -> None:
        """Runs the start hooks in order."""
        self.begin()
        for name, start, stop in self._hooks:
            if start is not None:
                try:
                    await start()
                except Exception as error:
                    emit(Event.HOOK_FAILED, hook=name, error=repr(error))
                    await self.stop()
                    raise
            self._started.append((name, stop))
        self.run()
        emit(Event.APPLICATION_STARTED, name=self.name)

    async def stop(self) -> None:
        """Runs the stop hooks of the started parts in reverse order."""
        if self.state == "running":
            self.drain()
        while self._started:
            name, stop = self._started.pop()
            if stop is None:
                continue
            try:
                await stop()
            except Exception as error:
                emit(Event.HOOK_FAILED, hook=name, error=repr(error))
        self.end()
        emit(Event.APPLICATION_STOPPED, name=self.name)
