"""Registration of claims by group commit.

All claims of a shard that wait at the same time are written together.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from datetime import timedelta

from chicoryplank.clock import Clock
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.idempotency._claims import Claim, choose_shard
from chicoryplank.idempotency._shard import ClaimShard
from chicoryplank.store import Store, StoreError
from chicoryplank.verdict import Verdict

_RETRY_AFTER = timedelta(seconds=1)
_MAX_COMMIT_TRIES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Limits on claims.

    Attributes:
        shards: Number of shards of one service; all entries and agents must use
            the same number.
        max_claims_per_segment: Maximum number of claims in one segment; the
            default limits a write to about 30 KB.
        max_claims_per_shard: Maximum number of claims in one shard; new keys
            are rejected beyond it.
        max_waiting: Maximum number of claims that wait for a write in one
            shard.
        retention: Time until a claim expires.
        write_interval: Minimum time between two writes of one shard, which
            limits the load of a shard on the store.
    """

    shards: int = 16
    max_claims_per_segment: int = 200
    max_claims_per_shard: int = 50_000
    max_waiting: int = 1_000
    retention: timedelta = timedelta(hours=24)
    write_interval: timedelta = timedelta(milliseconds=25)


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    """A claim that waits for a write.

    Attributes:
        claim: The claim.
        done: Its result is the claim that holds the key after the write.
    """

    claim: Claim
    done: asyncio.Future


class _ShardWriter:
    """Writes the claims of one shard to the store, one write at a time.

    Attributes:
        shard: Cached view of the shard.
        waiting: Claims for the next write.
    """

    def __init__(
        self,
        shard: ClaimShard,
        store: Store,
        clock: Clock,
        settings: ClaimSettings,
        is_abandoned: Callable[[str], bool],
    ) -> None:
        self.shard = shard
        self._max_view_age = settings.retention / 4
        self._min_remaining_s = settings.retention.total_seconds() / 2
        self._view_read_at: timedelta | None = None
        self.waiting: list[_PendingClaim] = []
        self._store = store
        self._clock = clock
        self._write_interval = settings.write_interval
        self._is_abandoned = is_abandoned
        self._task: asyncio.Task | None = None
        self._last_write_at = clock.elapsed() - self._write_interval

    def submit(self, claim: Claim) -> asyncio.Future:
        """Queues a claim for the next write.

        Returns:
            A future whose result is the claim that holds the key after the
            write: the given one if it succeeded.
        """
        done = asyncio.get_running_loop().create_future()
        self.waiting.append(_PendingClaim(claim, done))
        if self._task is None:
            self._task = asyncio.create_task(self._commit_all())
        return done

    async def _commit_all(self) -> None:
        try:
            while self.waiting:
                pause = self._last_write_at + self._write_interval
                pause -= self._clock.elapsed()
                if pause > timedelta():
                    await self._clock.sleep(pause)
                group, self.waiting = self.waiting, []
                self._last_write_at = self._clock.elapsed()
                await self._commit_group(group)
        finally:
            self._task = None

    async def _commit_group(self, group: list[_PendingClaim]) -> None:
        try:
            for _ in range(_MAX_COMMIT_TRIES):
                await self._reload_old_view()
                if await self._try_commit(group):
                    return
                await self.shard.refresh(self._store)
            raise StoreError("too many conflicting writes", Verdict.NOT_RUN)
        except ChicoryplankError as error:
            await self._read_back(group, error)
        except Exception as error:
            self._reject_unexpected(group, error)

    async def _reload_old_view(self) -> None:
        """Reads the whole shard if the cached view is too old.

        In an old view, the next segment number may be one that others have
        created and deleted in the meantime, so a write could succeed although
        the view lacks claims. A segment is deleted only after its claims have
        expired, so a view that is younger than the retention is safe.
        """
        elapsed = self._clock.elapsed()
        if (
            self._view_read_at is None
            or elapsed - self._view_read_at > self._max_view_age
        ):
            await self.shard.reload(self._store)
            self._view_read_at = elapsed

    def _can_take_over(self, holder: Claim) -> bool:
        """Tells whether a claim can be replaced by that of another attempt.

        The request of the claim must not have run, and the claim must not
        expire soon: the new claim keeps the expiry, and until then it has to
        reject retries of the request that runs under it.
        """
        remaining_s = holder.expires_s - self._clock.now().timestamp()
        return (
            self._is_abandoned(holder.attempt)
            and remaining_s >= self._min_remaining_s
        )

    async def _try_commit(self, group: list[_PendingClaim]) -> bool:
        now = self._clock.now()
        new_claims: dict[str, Claim] = {}
        for item in group:
            claim = item.claim
            holder = self.shard.find(claim.key, now)
            if holder is None:
                new_claims.setdefault(claim.key, claim)
            elif (
                holder.body == claim.body
                and holder.attempt != claim.attempt
                and self._can_take_over(holder)
                and not await self.shard.replace(self._store, holder, claim)
            ):
                return False
        if new_claims and not await self.shard.add(
            self._store, tuple(new_claims.values())
        ):
            return False
        self._set_results(group)
        return True

    def _set_results(self, group: list[_PendingClaim]) -> None:
        now = self._clock.now()
        for item in group:
            if not item.done.done():
                item.done.set_result(self.shard.find(item.claim.key, now))

    async def _read_back(
        self, group: list[_PendingClaim], error: ChicoryplankError
    ) -> None:
        """Determines the result of a write whose outcome is unknown.

        The shard is read again; each claim succeeded if the stored claim has
        the same attempt id.
        """
        try:
            await self.shard.refresh(self._store)
        except ChicoryplankError:
            self._reject(group, error)
            return
        except Exception as failure:
            self._reject_unexpected(group, failure)
            return
        now = self._clock.now()
        for item in group:
            holder = self.shard.find(item.claim.key, now)
            if item.done.done():
                continue
            if holder is None:
                item.done.set_exception(error)
            else:
                item.done.set_result(holder)

    def _reject_unexpected(
        self, group: list[_PendingClaim], error: Exception
    ) -> None:
        """Rejects a group after an unexpected error, so that none hangs."""
        detail = repr(error)
        emit(Event.INVARIANT_VIOLATED, name="claims_end", detail=detail)
        self._reject(
            group,
            ChicoryplankError(
                ErrorCode.INVARIANT_VIOLATED,
                f"unexpected failure of a claim: {detail}",
            ),
        )

    def _reject(
        self, group: list[_PendingClaim], error: ChicoryplankError
    ) -> None:
        for item in group:
            if not item.done.done():
                item.done.set_exception(error)


class ClaimRegistry:
    """Claims of one agent for one service.

    Args:
        service: Name of the service; it is part of the store keys.
        store: The key-value service.
        clock: Clock that measures expiry and the write interval.
        settings: Limits on claims.

    Example:
        >>> from chicoryplank.clock import ManualClock
        >>> from chicoryplank.fakes import MemoryStore
        >>> clock = ManualClock()
        >>> registry = ClaimRegistry("bids", MemoryStore(clock), clock)
        >>> asyncio.run(registry.admit("0" * 32, "1" * 32, "attempt-1"))
    """

    def __init__(
        self,
        service: str,
        store: Store,
        clock: Clock,
        settings: ClaimSettings = ClaimSettings(),
    ) -> None:
        self._service = service
        self._store = store
        self._clock = clock
        self._settings = settings
        self._writers: dict[int, _ShardWriter] = {}
        # Expiry (Unix time in seconds) of the claims of attempts that were
        # rejected with NOT_RUN. Only this agent incarnation has this record, so
        # only it may take over these claims. A takeover always writes to the
        # store, because a removal whose outcome is unknown may already have
        # taken effect or may still do so.
        self._abandoned: dict[str, float] = {}

    def _get_writer(self, key: str) -> _ShardWriter:
        number = choose_shard(key, self._settings.shards)
        writer = self._writers.get(number)
        if writer is None:
            shard = ClaimShard(
                f"claims/{self._service}/{number:04d}/",
                self._settings.max_claims_per_segment,
            )
            writer = _ShardWriter(
                shard,
                self._store,
                self._clock,
                self._settings,
                self._abandoned.__contains__,
            )
            self._writers[number] = writer
        return writer

    async def admit(self, key: str, body: str, attempt: str) -> None:
        """Claims a key for an attempt; returns only if the attempt may run.

        Args:
            key: Digest of client account and idempotency key.
            body: Digest of method, path and body.
            attempt: Unique identifier of the attempt.

        Raises:
            ChicoryplankError: With KEY_REUSED if the key was used with another
                request; with CLAIMED_ELSEWHERE and MAY_HAVE_RUN if another
                attempt holds the claim; with STORE_UNAVAILABLE or
                TOO_MANY_CLAIMS and NOT_RUN if the key could not be claimed.
        """
        writer = self._get_writer(key)
        self._check_bounds(writer)
        expires = self._clock.now() + self._settings.retention
        claim = Claim(key, body, attempt, int(expires.timestamp()))
        try:
            holder = await self._commit(writer, claim)
        except ChicoryplankError as error:
            self._mark_abandoned(attempt)
            raise ChicoryplankError(
                error.code,
                f"the key could not be claimed: {error.message}",
                Verdict.NOT_RUN,
                retry_after=error.retry_after or _RETRY_AFTER,
            ) from error
        except asyncio.CancelledError:
            self._mark_abandoned(attempt)
            raise
        self._check_holder(holder, body, attempt)

    async def _commit(self, writer: _ShardWriter, claim: Claim) -> Claim | None:
        holder = await writer.submit(claim)
        is_own = holder is not None and holder.attempt == claim.attempt
        if holder is None or is_own or holder.attempt in self._abandoned:
            return holder
        # The cached view may be outdated: another agent may have released the
        # claim.
        await writer.shard.refresh(self._store)
        if writer.shard.find(claim.key, self._clock.now()) is None:
            self._check_bounds(writer)
            holder = await writer.submit(claim)
        return holder

    def _check_bounds(self, writer: _ShardWriter) -> None:
        if (
            len(writer.waiting) >= self._settings.max_waiting
            or len(writer.shard) >= self._settings.max_claims_per_shard
        ):
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_CLAIMS,
                f"{len(writer.shard)} claims are held and "
                f"{len(writer.waiting)} wait in this shard",
                retry_after=_RETRY_AFTER,
            )

    def _check_holder(
        self, holder: Claim | None, body: str, attempt: str
    ) -> None:
        if holder is not None and holder.body != body:
            raise ChicoryplankError(
                ErrorCode.KEY_REUSED,
                "the idempotency key was used with another request",
            )
        if holder is not None and holder.attempt == attempt:
            return
        if holder is not None and holder.attempt in self._abandoned:
            self._mark_abandoned(attempt)
            raise ChicoryplankError(
                ErrorCode.STORE_UNAVAILABLE,
                "the key could not be claimed: the store did not respond",
                Verdict.NOT_RUN,
                retry_after=_RETRY_AFTER,
            )
        emit(Event.CLAIM_HELD_ELSEWHERE, service=self._service)
        raise ChicoryplankError(
            ErrorCode.CLAIMED_ELSEWHERE,
            "another attempt with this idempotency key may have run",
            Verdict.MAY_HAVE_RUN,
        )

    def _mark_abandoned(self, attempt: str) -> None:
        now_s = self._clock.now().timestamp()
        expired = [
            name for name, end_s in self._abandoned.items() if end_s <= now_s
        ]
        for name in expired:
            del self._abandoned[name]
        if len(self._abandoned) < self._settings.max_claims_per_shard:
            retention_s = self._settings.retention.total_seconds()
            self._abandoned[attempt] = now_s + retention_s

    async def release(self, key: str, attempt: str) -> None:
        """Removes the claim of a request that is known not to have run.

        If the claim cannot be removed, other attempts of this agent can take it
        over.
        """
        writer = self._get_writer(key)
        holder = writer.shard.find(key, self._clock.now())
        self._mark_abandoned(attempt if holder is None else holder.attempt)
        if holder is None:
            return
        try:
            await writer.shard.remove(self._store, holder)
        except ChicoryplankError as error:
            emit(Event.CLAIM_NOT_RELEASED, error=error.message)

    async def delete_expired(self) -> int:
        """Deletes expired segments and returns their number."""
        deleted = 0
        for writer in list(self._writers.values()):
            deleted += await writer.shard.delete_expired(
                self._store, self._clock.now()
            )
        return deleted
