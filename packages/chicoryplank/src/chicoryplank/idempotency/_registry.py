"""Group commit of claims: one store write for all that wait."""

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

_RETRY_SOON = timedelta(seconds=1)
_MAX_CONFLICTS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Bounds on claims.

    Attributes:
        shards: Shards of one service; all entries and agents must agree.
        max_claims_per_segment: Bounds the size of a write to about 30 KB.
        max_claims_per_shard: New keys are rejected beyond it.
        max_waiting: Claims that wait for a write in one shard.
        retention: How long a key is remembered.
        write_interval: Least time between two writes of one shard, which
            bounds the writes that one shard costs the store.
    """

    shards: int = 16
    max_claims_per_segment: int = 200
    max_claims_per_shard: int = 50_000
    max_waiting: int = 1_000
    retention: timedelta = timedelta(hours=24)
    write_interval: timedelta = timedelta(milliseconds=25)


@dataclasses.dataclass(slots=True)
class _Waiting:
    claim: Claim
    done: asyncio.Future


class _ShardWriter:
    """Commits the claims of one shard, one write in flight at a time."""

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
        self._min_left_s = settings.retention.total_seconds() / 2
        self._loaded_at: timedelta | None = None
        self.waiting: list[_Waiting] = []
        self._store = store
        self._clock = clock
        self._interval = settings.write_interval
        self._is_abandoned = is_abandoned
        self._task: asyncio.Task | None = None
        self._last_write = clock.elapsed() - self._interval

    def submit(self, claim: Claim) -> asyncio.Future:
        """Queues a claim; the result is the claim that holds the key."""
        done = asyncio.get_running_loop().create_future()
        self.waiting.append(_Waiting(claim, done))
        if self._task is None:
            self._task = asyncio.create_task(self._commit_all())
        return done

    async def _commit_all(self) -> None:
        try:
            while self.waiting:
                pause = self._last_write + self._interval
                pause -= self._clock.elapsed()
                if pause > timedelta():
                    await self._clock.sleep(pause)
                group, self.waiting = self.waiting, []
                self._last_write = self._clock.elapsed()
                await self._commit_group(group)
        finally:
            self._task = None

    async def _commit_group(self, group: list[_Waiting]) -> None:
        try:
            for _ in range(_MAX_CONFLICTS):
                await self._load()
                if await self._try_commit(group):
                    return
                await self.shard.refresh(self._store)
            raise StoreError("too many conflicting writes", Verdict.NOT_RUN)
        except ChicoryplankError as error:
            await self._settle(group, error)
        except Exception as error:
            self._reject_unexpected(group, error)

    async def _load(self) -> None:
        """Reads the whole shard if the view is old.

        The number of a segment that was created and deleted since the view
        was read could be used again. A segment is deleted at the earliest
        when its claims have expired, so a younger view is safe.
        """
        elapsed = self._clock.elapsed()
        if (
            self._loaded_at is None
            or elapsed - self._loaded_at > self._max_view_age
        ):
            await self.shard.reload(self._store)
            self._loaded_at = elapsed

    def _can_take_over(self, held: Claim) -> bool:
        """Tells whether a claim never ran and holds for long enough.

        The new claim expires as the old one would have, and must until then
        reject retries of the request that runs under it.
        """
        left_s = held.expires_s - self._clock.now().timestamp()
        return self._is_abandoned(held.attempt) and left_s >= self._min_left_s

    async def _try_commit(self, group: list[_Waiting]) -> bool:
        now = self._clock.now()
        fresh: dict[str, Claim] = {}
        for item in group:
            claim = item.claim
            held = self.shard.find(claim.key, now)
            if held is None:
                fresh.setdefault(claim.key, claim)
            elif (
                held.body == claim.body
                and held.attempt != claim.attempt
                and self._can_take_over(held)
                and not await self.shard.replace(self._store, held, claim)
            ):
                return False
        if fresh and not await self.shard.add(
            self._store, tuple(fresh.values())
        ):
            return False
        self._resolve(group)
        return True

    def _resolve(self, group: list[_Waiting]) -> None:
        now = self._clock.now()
        for item in group:
            if not item.done.done():
                item.done.set_result(self.shard.find(item.claim.key, now))

    async def _settle(
        self, group: list[_Waiting], error: ChicoryplankError
    ) -> None:
        """Reads back after an unknown outcome; our attempt id decides."""
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
            held = self.shard.find(item.claim.key, now)
            if item.done.done():
                continue
            if held is None:
                item.done.set_exception(error)
            else:
                item.done.set_result(held)

    def _reject_unexpected(
        self, group: list[_Waiting], error: Exception
    ) -> None:
        """Answers all that wait, so that no attempt waits for ever."""
        detail = repr(error)
        emit(Event.INVARIANT_VIOLATED, name="claims_end", detail=detail)
        self._reject(
            group,
            ChicoryplankError(
                ErrorCode.INVARIANT_VIOLATED,
                f"unexpected failure of a claim: {detail}",
            ),
        )

    def _reject(self, group: list[_Waiting], error: ChicoryplankError) -> None:
        for item in group:
            if not item.done.done():
                item.done.set_exception(error)


class ClaimRegistry:
    """Claims of one agent for one service.

    Args:
        service: Name of the service; part of the store keys.
        store: The key-value service.
        clock: Measures expiry and the write interval.
        settings: Bounds.

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
        # Attempts that were rejected as not run; their claims may be taken
        # over by this agent incarnation, which alone knows it. A claim is
        # taken over by a write: the store may have dropped the old claim
        # without this agent knowing it, or may drop it late.
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
        """Claims a key for an attempt; returns only if it may run.

        Args:
            key: Digest of client account and idempotency key.
            body: Digest of method, path and body.
            attempt: Unique name of the attempt.

        Raises:
            ChicoryplankError: KEY_REUSED for another body, CLAIMED_ELSEWHERE
                with MAY_HAVE_RUN if another attempt holds the claim,
                STORE_UNAVAILABLE or TOO_MANY_CLAIMS with NOT_RUN.
        """
        writer = self._get_writer(key)
        self._check_bounds(writer)
        expires = self._clock.now() + self._settings.retention
        claim = Claim(key, body, attempt, int(expires.timestamp()))
        try:
            held = await self._commit(writer, claim)
        except ChicoryplankError as error:
            self._abandon(attempt)
            raise ChicoryplankError(
                error.code,
                f"the key could not be claimed: {error.message}",
                Verdict.NOT_RUN,
                retry_after=error.retry_after or _RETRY_SOON,
            ) from error
        except asyncio.CancelledError:
            self._abandon(attempt)
            raise
        self._check_held(held, body, attempt)

    async def _commit(self, writer: _ShardWriter, claim: Claim) -> Claim | None:
        held = await writer.submit(claim)
        is_own = held is not None and held.attempt == claim.attempt
        if held is None or is_own or held.attempt in self._abandoned:
            return held
        # The view may be old; another agent may have released the claim.
        await writer.shard.refresh(self._store)
        if writer.shard.find(claim.key, self._clock.now()) is None:
            self._check_bounds(writer)
            held = await writer.submit(claim)
        return held

    def _check_bounds(self, writer: _ShardWriter) -> None:
        if (
            len(writer.waiting) >= self._settings.max_waiting
            or len(writer.shard) >= self._settings.max_claims_per_shard
        ):
            raise ChicoryplankError(
                ErrorCode.TOO_MANY_CLAIMS,
                f"{len(writer.shard)} claims are held and "
                f"{len(writer.waiting)} wait in this shard",
                retry_after=_RETRY_SOON,
            )

    def _check_held(self, held: Claim | None, body: str, attempt: str) -> None:
        if held is not None and held.body != body:
            raise ChicoryplankError(
                ErrorCode.KEY_REUSED,
                "the idempotency key was used with another request",
            )
        if held is not None and held.attempt == attempt:
            return
        if held is not None and held.attempt in self._abandoned:
            self._abandon(attempt)
            raise ChicoryplankError(
                ErrorCode.STORE_UNAVAILABLE,
                "the key could not be claimed: the store did not answer",
                Verdict.NOT_RUN,
                retry_after=_RETRY_SOON,
            )
        emit(Event.CLAIM_HELD_ELSEWHERE, service=self._service)
        raise ChicoryplankError(
            ErrorCode.CLAIMED_ELSEWHERE,
            "another attempt with this idempotency key may have run",
            Verdict.MAY_HAVE_RUN,
        )

    def _abandon(self, attempt: str) -> None:
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
        """Gives a claim back whose request is known not to have run."""
        writer = self._get_writer(key)
        held = writer.shard.find(key, self._clock.now())
        self._abandon(attempt if held is None else held.attempt)
        if held is None:
            return
        try:
            await writer.shard.remove(self._store, held)
        except ChicoryplankError as error:
            emit(Event.CLAIM_NOT_RELEASED, error=error.message)

    async def delete_expired(self) -> int:
        """Deletes segments whose claims have all expired."""
        deleted = 0
        for writer in list(self._writers.values()):
            deleted += await writer.shard.delete_expired(
                self._store, self._clock.now()
            )
        return deleted
