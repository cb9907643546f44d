"""Lease on the controller role of a model group."""

from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.eras import split_lease, split_revision
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import FencingToken, InstanceId, ModelGroupId
from chicoryplank.orders._documents import get_era_key, get_lease_key
from chicoryplank.store import Store, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict


def get_lease_owner(value: bytes) -> InstanceId:
    """Returns the instance that holds a lease, from the value of its key."""
    return InstanceId(value.partition(b" ")[0].decode(errors="replace"))


class ControllerLease:
    """Lease that gives this instance the controller role of one group.

    The fencing token is the revision of the lease key, which increases with
    each holder and, since it contains the era, after each restore of the store.
    The holder measures the duration of the lease on the boot-time clock from
    the start of the call that granted or renewed it. It stops acting as the
    controller a margin before the lease expires.

    A store that is restored from an older copy may have lost a lease that its
    holder still relies on. No lease is used in a new era before such a holder
    has stopped, unless the store records that this time has passed: the key of
    the era holds the newest one for which it has.

    Args:
        store: Key-value service.
        clock: Boot-time clock.
        group: Model group.
        owner: This instance.
        duration: Duration of the lease.
        margin: Time before the expiry at which the holder stops. It covers the
            drift between this clock and the store's.
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
        self._lease_id = 0
        self._token = FencingToken(0)
        self._deadline = timedelta()
        self._confirmed_era = 0
        self._waiting_era = 0
        self._waiting_end = timedelta()

    def get_token(self) -> FencingToken | None:
        """Returns the fencing token; None if the lease may have expired."""
        if not self._lease_id or self._clock.elapsed() >= self._deadline:
            return None
        return self._token

    async def acquire(self) -> bool:
        """Tries to become the controller; returns whether it succeeded.

        Raises:
            StoreError: If the store does not respond. A lease that may have
                been granted expires without being used.
        """
        self._lease_id = 0
        key = get_lease_key(self._group)
        start = self._clock.elapsed()
        if (
            self._waiting_era > self._confirmed_era
            and start < self._waiting_end
        ):
            return False
        lease_id = await self._store.grant_lease(self._duration)
        era, _ = split_lease(lease_id)
        if not await self._confirm_era(era):
            await self._revoke(lease_id)
            return False
        value = f"{self._owner} {lease_id}".encode()
        try:
            outcome, revision = await self._store.swap(key, value, 0, lease_id)
        except StoreError as error:
            if error.verdict is Verdict.NOT_RUN:
                raise
            record = await self._store.read(key)
            if record is None or record.value != value:
                return False
            outcome, revision = SwapOutcome.SWAPPED, record.revision
        if outcome is SwapOutcome.CONFLICT:
            revision = await self._take_over_own_lease(key, value, lease_id)
            if revision is None:
                await self._revoke(lease_id)
                return False
        if split_revision(revision)[0] != era:
            return False
        self._lease_id = lease_id
        self._token = FencingToken(revision)
        self._deadline = start + self._duration - self._margin
        emit(Event.LEASE_ACQUIRED, group=self._group, token=revision)
        return True

    async def _confirm_era(self, era: int) -> bool:
        """Returns whether no lease of an earlier era is still relied on.

        Era 0 follows no other.
        """
        if era <= self._confirmed_era:
            return True
        key = get_era_key(self._group)
        record = await self._store.read(key)
        value = str(era).encode()
        if record is None or record.value != value:
            if self._waiting_era < era:
                self._waiting_era = era
                self._waiting_end = self._clock.elapsed() + self._duration
                emit(Event.ERA_UNCONFIRMED, group=self._group, era=era)
                return False
            revision = 0 if record is None else record.revision
            outcome, _ = await self._store.swap(key, value, revision)
            if outcome is SwapOutcome.CONFLICT:
                return False
        self._confirmed_era = era
        return True

    async def _take_over_own_lease(
        self, key: str, value: bytes, lease_id: int
    ) -> int | None:
        """Takes over the lease of an earlier process of this instance.

        An instance runs only one process that can hold the lease. The earlier
        process has therefore ended, and its lease need not expire first.

        Returns:
            The revision of the lease key; None if another instance holds it.
        """
        record = await self._store.read(key)
        if record is None or get_lease_owner(record.value) != self._owner:
            return None
        outcome, revision = await self._store.swap(
            key, value, record.revision, lease_id
        )
        return revision if outcome is SwapOutcome.SWAPPED else None

    async def renew(self) -> bool:
        """Renews the lease; returns False if it is lost.

        Raises:
            StoreError: If the store does not respond; the lease keeps its
                earlier deadline.
        """
        if not self._lease_id:
            return False
        start = self._clock.elapsed()
        if await self._store.renew_lease(self._lease_id):
            self._deadline = start + self._duration - self._margin
            return True
        emit(Event.LEASE_LOST, group=self._group, token=self._token)
        self._lease_id = 0
        return False

    async def release(self) -> None:
        """Revokes the lease, so that others need not wait until it expires."""
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            await self._revoke(lease_id)

    async def _revoke(self, lease_id: int) -> None:
        try:
            await self._store.revoke_lease(lease_id)
        except StoreError:
            pass  # The lease expires without being revoked.
