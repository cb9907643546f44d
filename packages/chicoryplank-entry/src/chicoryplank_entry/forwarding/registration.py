"""Registration of this entry in the store, with a lease."""

import asyncio
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.events import Event, emit
from chicoryplank.store import Store, StoreError, SwapOutcome

# The other entries detect a dead entry by its missing messages, so the lease
# may be long, which saves renewals.
_LEASE_DURATION = timedelta(seconds=15)
_RENEWAL_INTERVAL_S = 5.0
_RETRY_DELAY_S = 0.5
_REVOKE_TIMEOUT_S = 0.3


class Registration:
    """Keeps the registration of this entry in the store, under a lease.

    Args:
        store: Store that holds the registration.
        clock: Source of time.
        key: Key of the registration.
        value: Encoded registration.
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
        self._renewal_requested = asyncio.Event()

    async def start(self) -> None:
        """Starts to register in the background."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def request_renewal(self) -> None:
        """Requests an immediate renewal, for example after a store outage."""
        self._renewal_requested.set()

    async def stop(self) -> None:
        """Revokes the lease; if that fails, the registration expires."""
        if self._task is not None:
            self._task.cancel()
        lease, self._lease = self._lease, 0
        if not lease:
            return
        try:
            async with asyncio.timeout(_REVOKE_TIMEOUT_S):
                await self._store.revoke_lease(lease)
        except (StoreError, TimeoutError) as error:
            emit(Event.REGISTRATION_FAILED, key=self._key, error=str(error))

    async def _run(self) -> None:
        while True:
            self._renewal_requested.clear()
            delay_s = _RENEWAL_INTERVAL_S
            try:
                if not self._lease or not await self._store.renew_lease(
                    self._lease
                ):
                    await self._register()
            except StoreError as error:
                delay_s = _RETRY_DELAY_S
                emit(
                    Event.REGISTRATION_FAILED,
                    key=self._key,
                    error=error.message,
                )
            try:
                async with asyncio.timeout(delay_s):
                    await self._renewal_requested.wait()
            except TimeoutError:
                continue  # The next renewal is due.

    async def _register(self) -> None:
        lease = await self._store.grant_lease(_LEASE_DURATION)
        outcome, _ = await self._store.swap(self._key, self._value, 0, lease)
        if outcome is SwapOutcome.CONFLICT:
            # The registration of a previous process has not expired yet.
            record = await self._store.read(self._key)
            revision = 0 if record is None else record.revision
            outcome, _ = await self._store.swap(
                self._key, self._value, revision, lease
            )
        if outcome is SwapOutcome.SWAPPED:
            self._lease = lease
