"""Lease of the controller of a model group."""

from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import FencingToken, InstanceId, ModelGroupId
from chicoryplank.orders._documents import get_lease_key
from chicoryplank.store import Store, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict


def get_lease_owner(value: bytes) -> InstanceId:
    """Returns the holder that the value of a lease key names."""
    return InstanceId(value.partition(b" ")[0].decode(errors="replace"))


class ControllerLease:
    """Holds the controller role of one group while its lease lasts.

    The fencing token is the revision of the lease key, which grows with each
    holder. The holder measures the lease from before the call that granted or
    renewed it, on the boot-time clock, and stops a margin earlier.

    Args:
        store: Key-value service.
        clock: Boot-time clock.
        group: Model group.
        owner: This instance.
        duration: Duration of the lease.
        margin: Time before the end at which the holder stops; it covers the
            difference in speed between this clock and the store's.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        group: ModelGroupId,
        owner: InstanceId,
        *,
        duration: timedelta = timedelta(seconds=10),
        margin: timedelta = timedelta(seconds=2),
    ) -> None:
        if not timedelta() < margin < duration:
            raise ChicoryplankError(
                ErrorCode.INVALID_SETTINGS,
                f"margin must be between 0 and duration {duration}: {margin}",
            )
        self._store = store
        self._clock = clock
        self._group = group
        self._owner = owner
        self._duration = duration
        self._margin = margin
        self._lease = 0
        self._token = FencingToken(0)
        self._deadline = timedelta()

    def get_token(self) -> FencingToken | None:
        """Returns the fencing token; None if the lease may have lapsed."""
        if not self._lease or self._clock.elapsed() >= self._deadline:
            return None
        return self._token

    async def acquire(self) -> bool:
        """Tries to become the controller; returns whether it worked.

        Raises:
            StoreError: If the store does not answer. A lease whose outcome
                stays unknown lapses by itself.
        """
        self._lease = 0
        key = get_lease_key(self._group)
        start = self._clock.elapsed()
        lease = await self._store.grant_lease(self._duration)
        value = f"{self._owner} {lease}".encode()
        try:
            outcome, revision = await self._store.swap(key, value, 0, lease)
        except StoreError as error:
            if error.verdict is Verdict.NOT_RUN:
                raise
            record = await self._store.read(key)
            if record is None or record.value != value:
                return False
            outcome, revision = SwapOutcome.SWAPPED, record.revision
        if outcome is SwapOutcome.CONFLICT:
            revision = await self._succeed_self(key, value, lease)
            if revision is None:
                await self._revoke(lease)
                return False
        self._lease = lease
        self._token = FencingToken(revision)
        self._deadline = start + self._duration - self._margin
        emit(Event.LEASE_ACQUIRED, group=self._group, token=revision)
        return True

    async def _succeed_self(
        self, key: str, value: bytes, lease: int
    ) -> int | None:
        """Takes over from an earlier process of this instance.

        An instance runs one process of its kind, so the earlier one has
        ended and need not be waited for.

        Returns:
            The revision of the lease key; None if another instance holds it.
        """
        record = await self._store.read(key)
        if record is None or get_lease_owner(record.value) != self._owner:
            return None
        outcome, revision = await self._store.swap(
            key, value, record.revision, lease
        )
        return revision if outcome is SwapOutcome.SWAPPED else None

    async def renew(self) -> bool:
        """Renews the lease; returns False if it is lost.

        Raises:
            StoreError: If the store does not answer; the deadline stays.
        """
        if not self._lease:
            return False
        start = self._clock.elapsed()
        if await self._store.renew_lease(self._lease):
            self._deadline = start + self._duration - self._margin
            return True
        emit(Event.LEASE_LOST, group=self._group, token=self._token)
        self._lease = 0
        return False

    async def release(self) -> None:
        """Gives the role up, so that another controller need not wait."""
        lease, self._lease = self._lease, 0
        if lease:
            await self._revoke(lease)

    async def _revoke(self, lease: int) -> None:
        try:
            await self._store.revoke_lease(lease)
        except StoreError:
            pass  # The lease lapses by itself.
