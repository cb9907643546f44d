"""Ordered start and stop of the components of a daemon."""

from collections.abc import Awaitable, Callable

from transitions import Machine

from chicoryplank.events import Event, emit

Hook = Callable[[], Awaitable[None]]


class Application:
    """Starts and stops the components of a daemon through hooks.

    Start hooks run in the order of registration, stop hooks in the reverse
    order. If a start hook fails, the components that have been started are
    stopped and the error is raised again.

    Args:
        name: Name of the daemon in log events.

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
        """Registers the start and stop hooks of a component."""
        self._hooks.append((name, start, stop))

    async def start(self) -> None:
        """Runs the start hooks in the order of registration."""
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
        """Runs the stop hooks of all started components in reverse order.

        A failing stop hook is logged; the remaining ones still run.
        """
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
