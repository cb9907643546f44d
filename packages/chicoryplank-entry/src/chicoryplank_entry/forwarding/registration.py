"""Registers this entry in the store for as long as it lives."""

import asyncio
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.store import Store, StoreError, SwapOutcome

# The other entries notice a silent one by themselves, so the lease may be
# long and is seldom renewed.
_LEASE = timedelta(seconds=15)
_RENEW_S = 5.0
_RETRY_S = 0.5
_STOP_S = 0.3


class Registration:
    """Keeps one leased key in the store.

    Args:
        store: Store.
        clock: Source of time.
        key: Key.
        value: Value.
    """

    def __init__(
        self, store: Store, clock: Clock, key: str, value: bytes
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._value = value
        self._lease = 0
        self._task: asyncio.Task | None = None
        self._wanted = asyncio.Event()

    async def start(self) -> None:
        """Begins to register in the background."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def renew(self) -> None:
        """Checks at once that the registration is there."""
        self._wanted.set()

    async def stop(self) -> None:
        """Withdraws the registration, or lets it lapse."""
        if self._task is not None:
            self._task.cancel()
        lease, self._lease = self._lease, 0
        if not lease:
            return
        try:
            async with asyncio.timeout(_STOP_S):
                await self._store.revoke_lease(lease)
        except (StoreError, TimeoutError) as error:
            emit(Event.REGISTRATION_FAILED, key=self._key, error=str(error))

    async def _run(self) -> None:
        while True:
            self._wanted.clear()
            delay_s = _RENEW_S
            try:
                if not self._lease or not await self._store.renew_lease(
                    self._lease
                ):
                    await self._register()
            except StoreError as error:
                delay_s = _RETRY_S
                emit(
                    Event.REGISTRATION_FAILED,
                    key=self._key,
                    error=error.message,
                )
            try:
                async with asyncio.timeout(delay_s):
                    await self._wanted.wait()
            except TimeoutError:
                continue  # Time to renew.

    async def _register(self) -> None:
        lease = await self._store.grant_lease(_LEASE)
        outcome, _ = await self._store.swap(self._key, self._value, 0, lease)
        if outcome is SwapOutcome.CONFLICT:
            # The registration of an earlier process has not lapsed yet.
            record = await self._store.read(self._key)
            revision = 0 if record is None else record.revision
            outcome, _ = await self._store.swap(
                self._key, self._value, revision, lease
            )
        if outcome is SwapOutcome.SWAPPED:
            self._lease = lease
