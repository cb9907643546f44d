"""Refusal of requests in quarantine, its trials, and its record in the store.

Both fronts use this module; they differ in how entries exchange what they know.
"""

import asyncio
import hashlib
import json
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

from chicoryplank.errors import ChicoryplankError
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId, ServiceId
from chicoryplank.quarantine import (
    FeatureId,
    Quarantine,
    QuarantineVerdict,
)
from chicoryplank.store import Store, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict

QUARANTINE_KEY = "quarantine/state"
TRIAL_PREFIX = "quarantine/trials/"
# A quarantine ends with a trial that succeeds. Trials cost a replica each if
# the quarantine is right, so there are few in its whole life.
_MAX_TRIALS = 2
_TIMED_TRIAL_S = 30.0
_TIMED_TOKEN = "time"
_SAVE_INTERVAL_S = 0.2
# Delay in seconds before an entry writes what the store lacks, and additional
# delay for each entry before it in order, so that usually one entry writes.
_SAVE_DELAY_S = 0.2
_SAVE_DELAY_PER_RANK_S = 0.4
_RETRY_DELAY_S = 0.5
# Slightly less than the maximum of a value in the store.
_MAX_DOCUMENT_BYTES = 900_000

Document = Mapping[str, object]


class QuarantinedCall(Protocol):
    """What the quarantine needs to know of a request.

    Attributes:
        request_id: Id of the request, for the log.
        service: Service that the request is sent to.
        features: What a crash of a replica under it may be due to.
        attempts: Number of times that it was sent.
        is_trial: Whether it is sent once although it is in quarantine.
    """

    request_id: str
    service: ServiceId
    features: Collection[FeatureId]
    attempts: int
    is_trial: bool


class Trials:
    """Trials of requests in quarantine, granted once for all entries.

    Args:
        store: Store in which the trials of each feature are recorded.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._taken: set[tuple[FeatureId, str]] = set()

    def is_taken(self, feature: FeatureId, token: str) -> bool:
        """Returns whether this entry knows that a trial is no longer due."""
        return (feature, token) in self._taken

    async def acquire(self, feature: FeatureId, token: str) -> bool:
        """Returns whether this entry may send one request as a trial.

        Args:
            feature: Feature in quarantine.
            token: Reason of the trial; each is granted once.
        """
        if self.is_taken(feature, token):
            return False
        # Also while the store responds, so that one request asks at a time.
        self._taken.add((feature, token))
        digest = hashlib.sha256(feature.encode()).hexdigest()[:32]
        key = f"{TRIAL_PREFIX}{digest}"
        try:
            record = await self._store.read(key)
            tokens = [] if record is None else _decode_tokens(record.value)
            if token in tokens or len(tokens) >= _MAX_TRIALS:
                return False
            outcome, _ = await self._store.swap(
                key,
                json.dumps([*tokens, token]).encode(),
                0 if record is None else record.revision,
            )
        except (StoreError, ValueError, RecursionError) as error:
            emit(Event.QUARANTINE_NOT_STORED, error=str(error))
            if isinstance(error, StoreError) and (
                error.verdict is Verdict.NOT_RUN
            ):
                self._taken.discard((feature, token))
            return False
        return outcome is SwapOutcome.SWAPPED


def _decode_tokens(value: bytes) -> list[str]:
    tokens = json.loads(value)
    if not isinstance(tokens, list):
        raise ValueError(f"record of trials is malformed: {value[:50]!r}")
    return tokens


class QuarantineCheck:
    """Refuses requests that would crash the replica they are sent to.

    Args:
        quarantine: Verdicts that this entry knows.
        trials: Grants trials; None for no trials.
        now_s: Returns the current time in seconds.
        list_versions: Returns the software versions of the replicas of a
            service.
        make_refusal: Returns the error of a request, with a description.
        count: Counts a request in quarantine: refused, probation or trial.
        has_probation: Returns whether requests that equal one under a crash
            are refused for a short time. That is worth the few sound ones if a
            crash takes the whole service down.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        trials: Trials | None,
        *,
        now_s: Callable[[], float],
        list_versions: Callable[[ServiceId], Collection[str]],
        make_refusal: Callable[[QuarantinedCall, str], ChicoryplankError],
        count: Callable[[str], None],
        has_probation: Callable[[ServiceId], bool] = lambda service: False,
    ) -> None:
        self._quarantine = quarantine
        self._has_probation = has_probation
        self._trials = trials
        self._now_s = now_s
        self._list_versions = list_versions
        self._make_refusal = make_refusal
        self._count = count

    def check(self, call: QuarantinedCall) -> None:
        """Refuses a request with a feature in quarantine.

        A request for which a trial may be granted is not refused yet.

        Raises:
            ChicoryplankError: With the verdict on all attempts so far.
        """
        self._check_probation(call)
        verdict = self._find_verdict(call)
        if verdict is None or self._find_trial(call, verdict) is not None:
            return
        self._count("refused")
        raise self._make_refusal(
            call, f"replicas crash under requests with {verdict.feature}"
        )

    def _check_probation(self, call: QuarantinedCall) -> None:
        """Refuses a request that equals one under a recent crash."""
        if call.is_trial or not self._has_probation(call.service):
            return
        left_s = self._quarantine.get_probation_s(
            call.service, call.features, self._now_s()
        )
        if not left_s:
            return
        self._count("probation")
        error = self._make_refusal(
            call, "an equal request was in progress when a replica crashed"
        )
        if error.retry_after is not None:
            error.retry_after = timedelta(seconds=left_s)
        raise error

    async def acquire_trial(self, call: QuarantinedCall) -> None:
        """Makes a request a trial if it has a feature for which one is due."""
        verdict = self._find_verdict(call)
        if verdict is None:
            return
        token = self._find_trial(call, verdict)
        if token is None or not await self._trials.acquire(
            verdict.feature, token
        ):
            return
        call.is_trial = True
        self._count("trial")
        emit(
            Event.QUARANTINE_TRIAL,
            request=call.request_id,
            feature=verdict.feature,
            token=token,
        )

    def _find_verdict(self, call: QuarantinedCall) -> QuarantineVerdict | None:
        if not self._quarantine.has_verdicts() or call.is_trial:
            return None
        return self._quarantine.find_verdict(call.features)

    def _find_trial(
        self, call: QuarantinedCall, verdict: QuarantineVerdict
    ) -> str | None:
        """Returns the reason for which a trial may be due; None if none is."""
        if call.attempts or self._trials is None:
            return None
        token = None
        versions = set(self._list_versions(verdict.service))
        if versions and versions.isdisjoint(verdict.versions):
            token = f"version {min(versions)}"
        elif self._now_s() - verdict.since_s >= _TIMED_TRIAL_S:
            token = _TIMED_TOKEN
        if token is None or self._trials.is_taken(verdict.feature, token):
            return None
        return token


class QuarantineRecords:
    """Keeps crashes and verdicts in the store.

    All entries keep one document. Each one merges it and writes what it lacks,
    so that no writer needs to be chosen; the delay before a write makes it
    likely that the first live entry is the only one.

    Args:
        store: Store that holds the document.
        quarantine: Crashes and verdicts that this entry knows.
        now_s: Returns the current time in seconds.
        own: This entry.
        list_live_members: Returns all live entries, with this one.
        is_writer: Returns whether this entry may write the document.
    """

    def __init__(
        self,
        store: Store,
        quarantine: Quarantine,
        now_s: Callable[[], float],
        own: InstanceId,
        list_live_members: Callable[[], list[InstanceId]],
        *,
        is_writer: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._now_s = now_s
        self._own = own
        self._list_live_members = list_live_members
        self._is_writer = is_writer
        self._revision = 0
        self._saved: dict[str, Document] = {}
        self._differs_since_s: float | None = None
        # Revision of the quarantine that equals the document.
        self._compared_revision = -1
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to write in the background."""
        self._task = asyncio.get_running_loop().create_task(self.run())

    async def load(self) -> None:
        """Reads the document once; without the store, others tell it."""
        try:
            await self._read()
        except StoreError as error:
            emit(Event.QUARANTINE_NOT_STORED, error=error.message)

    async def _read(self) -> None:
        record = await self._store.read(QUARANTINE_KEY)
        if record is None:
            self.observe(None, 0)
        else:
            self.observe(record.value, record.revision)

    async def stop(self) -> None:
        """Stops to write."""
        if self._task is not None:
            self._task.cancel()

    def observe(self, value: bytes | None, revision: int) -> None:
        """Merges the document in the store.

        Args:
            value: The document; None if there is none.
            revision: Revision at which it was written; 0 if there is none.
        """
        self._revision = revision
        self._saved = {}
        self._compared_revision = -1
        if value is None:
            return
        try:
            items = json.loads(value)
            self._quarantine.merge(items, self._now_s(), "store")
            self._saved = _index(items)
        except (ValueError, RecursionError) as error:
            emit(
                Event.ITEM_REJECTED,
                key=QUARANTINE_KEY,
                revision=revision,
                error=repr(error),
            )

    async def run(self) -> None:
        """Writes the document whenever it is due, until cancelled."""
        while True:
            delay_s = _SAVE_INTERVAL_S
            try:
                await self.save_if_due()
            except StoreError as error:
                emit(Event.QUARANTINE_NOT_STORED, error=error.message)
                delay_s = _RETRY_DELAY_S
            await asyncio.sleep(delay_s)

    async def save_if_due(self) -> None:
        """Writes the document if the store lacks something for a while.

        Raises:
            StoreError: If the store does not respond.
        """
        now_s = self._now_s()
        self._quarantine.expire(now_s)
        if (
            self._quarantine.revision == self._compared_revision
            or not self._is_writer()
        ):
            return
        items = _limit_size(self._quarantine.encode_all(now_s))
        if _index(items) == self._saved:
            self._differs_since_s = None
            self._compared_revision = self._quarantine.revision
            return
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        if now_s - self._differs_since_s < self._get_delay_s():
            return
        self._differs_since_s = None
        value = json.dumps(items, separators=(",", ":")).encode()
        outcome, revision = await self._store.swap(
            QUARANTINE_KEY, value, self._revision
        )
        if outcome is SwapOutcome.SWAPPED:
            self._revision = revision
            self._saved = _index(items)
            return
        await self._read()

    def _get_delay_s(self) -> float:
        members = self._list_live_members()
        rank = members.index(self._own) if self._own in members else 0
        return _SAVE_DELAY_S + rank * _SAVE_DELAY_PER_RANK_S


def _limit_size(items: Sequence[Document]) -> list[Document]:
    """Returns the items that fit into the store; the oldest crashes do not."""
    kept: list[Document] = []
    size = 0
    verdicts = [item for item in items if "feature" in item]
    crashes = [item for item in items if "feature" not in item]
    for item in [*verdicts, *reversed(crashes)]:
        size += len(json.dumps(item))
        if size > _MAX_DOCUMENT_BYTES:
            break
        kept.append(item)
    return kept


def _index(items: Sequence[Document]) -> dict[str, Document]:
    """Returns the items by crash or feature, without their ages."""
    indexed = {}
    for item in items:
        content = {name: item[name] for name in item if name != "age_s"}
        indexed[str(item.get("feature") or item.get("crash"))] = content
    return indexed
