"""Attribution of crashes to features of requests, and the resulting verdicts.

A crash makes suspects of all requests that were in progress at the replica, so
a single crash says little: sound requests run beside harmful ones, and replicas
crash for other reasons. A feature is put into quarantine if

- replicas crashed under it several times in a row, each time under a request
  that was sent after the crash before, without a request with the feature that
  did not crash its replica, and
- requests without it fared so much better in the same time that chance does
  not explain the crashes (_evidence.py).

What all requests share is present at every crash, whatever its cause, so it is
never put into quarantine. A crash that a feature in quarantine explains is not
held against the others. Features that all these crashes have in common too are
companions: only requests with all of them are refused.
"""

import dataclasses
import uuid
from collections.abc import Collection, Mapping, Sequence

from chicoryplank.events import Event, emit
from chicoryplank.ids import ServiceId
from chicoryplank.quarantine._chances import ORDER_TOLERANCE_S, find_chains
from chicoryplank.quarantine._evidence import (
    compute_chance,
    count_others,
    count_requests,
    get_span_s,
)
from chicoryplank.quarantine._features import FeatureId, is_widespread
from chicoryplank.quarantine._ledger import (
    CrashLedger,
    CrashRecord,
    MalformedReportError,
    decode_record,
)
from chicoryplank.quarantine._outcomes import Outcomes
from chicoryplank.quarantine._verdicts import (
    QuarantineVerdict,
    VerdictTable,
    decode_verdict,
)

_MIN_CRASHES = 3
# Probabilities below which the crashes under a feature are no coincidence. A
# wrong verdict on a widespread feature refuses many requests, but from a number
# of crashes on the next ones cost more.
_MAX_CHANCE = 1e-4
_MAX_WIDESPREAD_CHANCE = 1e-5
_MANY_CRASHES = 5
# Number of crashes for each success that a search for a verdict without a new
# crash waits for, since its cost grows with them.
_CRASHES_PER_SUCCESS = 8
# Time in seconds for which requests that equal a suspect of a crash are on
# probation, and the largest number of requests that share the suspicion.
_PROBATION_S = 30.0
_MAX_PROBATION_REQUESTS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectAttempt:
    """A request that was in progress at a replica when it crashed.

    Attributes:
        sent_s: Time when it was sent.
        features: Its features.
    """

    sent_s: float
    features: Sequence[FeatureId]


class Quarantine:
    """Crashes, verdicts and recent outcomes as known to one entry.

    Attributes:
        revision: Number of changes of crashes and verdicts so far.

    Example:
        >>> quarantine = Quarantine()
        >>> quarantine.find_verdict([FeatureId("llm/part/a1")]) is None
        True
    """

    def __init__(self) -> None:
        self._ledger = CrashLedger()
        self._verdicts = VerdictTable()
        self._outcomes = Outcomes()
        self._changed: dict[str, CrashRecord | QuarantineVerdict] = {}
        # Successes until the next search for a verdict, if one may follow.
        self._undecided: dict[ServiceId, int] = {}
        self.revision = 0

    def is_watching(self, service: ServiceId) -> bool:
        """Returns whether the outcomes of requests to a service matter."""
        return self._ledger.has_records(service)

    def has_crash_since(self, service: ServiceId, since_s: float) -> bool:
        """Returns whether a replica of a service has crashed since a time."""
        return any(
            record.seen_s >= since_s
            for record in self._ledger.list_records(service)
        )

    def find_verdict(
        self, features: Collection[FeatureId]
    ) -> QuarantineVerdict | None:
        """Returns the verdict because of which a request must not be sent."""
        for feature in features:
            verdict = self._verdicts.get_active(feature)
            if verdict is not None and verdict.applies_to(features):
                return verdict
        return None

    def get_probation_s(
        self,
        service: ServiceId,
        features: Collection[FeatureId],
        now_s: float,
    ) -> float:
        """Returns how long a request is on probation after a crash.

        A single crash does not tell which request caused it, but few were in
        progress at the replica, and few others equal one of those. Sound ones
        are cleared by a complete response that was already on its way.

        Args:
            service: Service that the request is sent to.
            features: Features of the request.
            now_s: Current time in seconds.

        Returns:
            Seconds; 0 if the request is not on probation.
        """
        single = [item for item in features if not is_widespread(item)]
        if not self._ledger.has_open_suspect(service, single):
            return 0.0
        ends_s = [
            record.seen_s + _PROBATION_S
            for record in self._ledger.list_records(service)
            if sum(record.requests.values()) <= _MAX_PROBATION_REQUESTS
            and not record.open_suspects.isdisjoint(single)
        ]
        return max(0.0, max(ends_s, default=now_s) - now_s)

    def has_verdicts(self) -> bool:
        """Returns whether any feature is or was in quarantine."""
        return bool(len(self._verdicts))

    def list_verdicts(self) -> list[QuarantineVerdict]:
        """Returns the features in quarantine."""
        return [
            verdict
            for verdict in self._verdicts.list_all()
            if verdict.is_active
        ]

    # Observations of this entry.

    def observe_crash(
        self,
        crash: str,
        service: ServiceId,
        version: str,
        attempts: Sequence[SuspectAttempt],
        *,
        entry: str,
        replica_count: int,
        seen_s: float,
        now_s: float,
    ) -> None:
        """Records that a replica crashed with requests in progress.

        Args:
            crash: Id of the crash, the same at all entries.
            service: Service of the replica.
            version: Software version of the replica.
            attempts: Requests of this entry that were in progress there, and
                were not reported before.
            entry: This entry.
            replica_count: Number of replicas of the service.
            seen_s: Time of the crash.
            now_s: Current time in seconds.
        """
        report = CrashRecord(crash, service, version, replica_count, seen_s)
        known = self._ledger.get(crash)
        earlier = 0 if known is None else known.requests.get(entry, 0)
        report.add_requests(entry, earlier + len(attempts))
        for attempt in attempts:
            for feature in attempt.features:
                report.add_suspect(
                    feature,
                    max(0.0, seen_s - attempt.sent_s),
                    attempt.features,
                )
            self._outcomes.observe(
                service, attempt.features, seen_s, has_crashed=True
            )
        if self._ledger.merge(report, now_s):
            self._note_change(self._ledger.get(crash))
        self._judge(service, now_s)

    def observe_success(
        self,
        service: ServiceId,
        features: Collection[FeatureId],
        sent_s: float,
        now_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Records that a request did not crash its replica.

        Args:
            service: Service of the replica.
            features: Features of the request.
            sent_s: Time when it was sent.
            now_s: Current time in seconds.
            is_complete: Whether its response is complete; if not, the replica
                has outlived the first output by a while.
        """
        self._outcomes.observe(service, features, now_s, has_crashed=False)
        if self._ledger.has_open_suspect(service, features):
            self._clear(service, features, sent_s, is_complete)
        if is_complete:
            self._lift(features, sent_s, now_s)
        if service in self._undecided:
            self._undecided[service] -= 1
            if self._undecided[service] <= 0:
                self._judge(service, now_s)

    def _clear(
        self,
        service: ServiceId,
        features: Collection[FeatureId],
        sent_s: float,
        is_complete: bool,
    ) -> None:
        """Clears features of the crashes before a request was sent."""
        witness = uuid.uuid4().hex[:8]
        for record in self._ledger.list_records(service):
            if record.seen_s + ORDER_TOLERANCE_S > sent_s:
                continue
            if is_complete:
                changed = self._ledger.clear(record, features)
            else:
                changed = self._ledger.add_witness(record, features, witness)
            if changed:
                self._note_change(record)

    def _lift(
        self, features: Collection[FeatureId], sent_s: float, now_s: float
    ) -> None:
        """Lifts or narrows the verdicts that a complete response refutes."""
        for verdict in self.list_verdicts():
            if sent_s < verdict.since_s:
                continue
            suspects = {verdict.feature, *verdict.companions}
            remaining = suspects.difference(features)
            if remaining == suspects:
                continue
            if verdict.feature in remaining:
                verdict.companions = remaining - {verdict.feature}
                self._note_change(verdict)
                continue
            self._end(verdict, now_s)
            if remaining:
                # The response clears this feature, but not its companions.
                feature = min(remaining)
                self._begin(
                    dataclasses.replace(
                        verdict,
                        feature=feature,
                        companions=remaining - {feature},
                        versions=set(verdict.versions),
                    ),
                    crashes=(),
                )

    def _end(self, verdict: QuarantineVerdict, now_s: float) -> None:
        verdict.generation += 1
        verdict.since_s = now_s
        self._note_change(verdict)
        emit(
            Event.QUARANTINE_LIFTED,
            feature=verdict.feature,
            generation=verdict.generation,
            source="own",
        )

    def _note_change(self, item: CrashRecord | QuarantineVerdict) -> None:
        key = item.crash if isinstance(item, CrashRecord) else item.feature
        self._changed[key] = item
        self.revision += 1

    # Verdicts.

    def _judge(self, service: ServiceId, now_s: float) -> None:
        """Puts features into quarantine until no crash has a likely cause.

        A crash counts as evidence for one feature at most, so the search ends
        even if a verdict does not explain the crashes that it rests on.
        """
        self._undecided.pop(service, None)
        judged: set[str] = set()
        while True:
            records = [
                record
                for record in self._list_unexplained(service)
                if record.crash not in judged
            ]
            if len(records) < _MIN_CRASHES:
                return
            chains = {
                feature: chain
                for feature, chain in find_chains(records).items()
                if len(chain) >= _MIN_CRASHES
            }
            if not chains:
                return
            chances = {
                feature: compute_chance(
                    self._outcomes, service, feature, chain, records
                )
                for feature, chain in chains.items()
            }
            likely = [
                (chance, feature)
                for feature, chance in chances.items()
                if chance <= _get_max_chance(feature, len(chains[feature]))
            ]
            if not likely:
                self._undecided[service] = len(records) // _CRASHES_PER_SUCCESS
                return
            _, feature = min(likely)
            self._condemn(service, feature, chains[feature], now_s)
            judged.update(record.crash for record in chains[feature])

    def _list_unexplained(self, service: ServiceId) -> list[CrashRecord]:
        unexplained = []
        for record in self._ledger.list_records(service):
            causes = []
            for verdict in map(self._verdicts.get_active, record.open_suspects):
                if verdict is not None:
                    self._narrow(verdict, record)
                    if verdict.applies_to(record.companions[verdict.feature]):
                        causes.append(verdict)
            for verdict in causes:
                self._add_version(verdict, record)
            if not causes:
                unexplained.append(record)
        return unexplained

    def _narrow(self, verdict: QuarantineVerdict, record: CrashRecord) -> None:
        """Drops companions that a later crash under the feature lacks."""
        if record.seen_s <= verdict.since_s + ORDER_TOLERANCE_S:
            return
        companions = record.companions[verdict.feature]
        if not verdict.applies_to(companions):
            verdict.companions &= companions
            self._note_change(verdict)

    def _add_version(
        self, verdict: QuarantineVerdict, record: CrashRecord
    ) -> None:
        """Extends a verdict to the version of a replica that crashed later."""
        if record.version not in verdict.versions:
            report = dataclasses.replace(verdict, versions={record.version})
            if self._verdicts.merge(report):
                self._note_change(verdict)

    def _condemn(
        self,
        service: ServiceId,
        feature: FeatureId,
        chain: Sequence[CrashRecord],
        now_s: float,
    ) -> None:
        companions = set.intersection(
            *(record.list_companions(feature) for record in chain)
        )
        span_s = get_span_s(feature, chain)
        others = count_others(
            self._outcomes, service, feature, chain
        ).move_outlived(count_requests(chain, feature, span_s))
        self._begin(
            QuarantineVerdict(
                feature,
                service,
                0,
                chain[-1].seen_s,
                {record.version for record in chain},
                companions,
            ),
            crashes=[record.crash for record in chain],
            span_ms=round((chain[-1].seen_s - chain[0].seen_s) * 1000),
            age_ms=round((now_s - chain[-1].seen_s) * 1000),
            others_crashed=others.crashed,
            others_survived=others.survived,
        )

    def _begin(self, verdict: QuarantineVerdict, **evidence: object) -> None:
        """Puts a feature into quarantine, with the next generation.

        A verdict in force stays, but drops the companions that are no part of
        the new evidence: replicas crashed under the feature without them.
        """
        known = self._verdicts.get(verdict.feature)
        if known is not None and known.is_active:
            verdict.generation = known.generation
            if self._verdicts.merge(verdict):
                self._note_change(known)
            return
        verdict.generation = 1 if known is None else known.generation + 1
        self._verdicts.merge(verdict)
        self._note_change(verdict)
        emit(
            Event.QUARANTINE_BEGUN,
            feature=verdict.feature,
            companions=sorted(verdict.companions),
            service=verdict.service,
            source="own",
            generation=verdict.generation,
            **evidence,
        )

    def expire(self, now_s: float) -> None:
        """Drops crashes that are too old to be evidence."""
        if self._ledger.expire(now_s):
            self.revision += 1

    # Exchange with other entries and the store.

    def take_changes(self, now_s: float) -> list[dict[str, object]]:
        """Returns the documents that have changed since the last call."""
        changed, self._changed = self._changed, {}
        return [item.encode(now_s) for item in changed.values()]

    def encode_all(self, now_s: float) -> list[dict[str, object]]:
        """Returns all verdicts and the crashes that may still matter."""
        records = [
            record
            for record in self._ledger.list_records()
            if record.open_suspects
        ]
        return [
            item.encode(now_s)
            for item in (*self._verdicts.list_all(), *records)
        ]

    def merge(self, documents: object, now_s: float, source: str) -> None:
        """Merges documents of another entry or of the store.

        Args:
            documents: List of crashes and verdicts, as parsed from JSON.
            now_s: Current time in seconds.
            source: Where they come from, for the log.

        Raises:
            MalformedReportError: If one is malformed; those before it are
                merged.
        """
        if not isinstance(documents, list):
            raise MalformedReportError("crashes and verdicts are not a list")
        services = set()
        for document in documents:
            if not isinstance(document, Mapping):
                raise MalformedReportError(f"{document!r:.50} is not an object")
            if "feature" in document:
                self._merge_verdict(decode_verdict(document, now_s), source)
                continue
            record = decode_record(document, now_s)
            if self._ledger.merge(record, now_s):
                services.add(record.service)
                self.revision += 1
        for service in services:
            self._judge(service, now_s)

    def _merge_verdict(self, verdict: QuarantineVerdict, source: str) -> None:
        was_active = self._verdicts.get_active(verdict.feature) is not None
        if not self._verdicts.merge(verdict):
            return
        self.revision += 1
        if verdict.is_active and not was_active:
            emit(
                Event.QUARANTINE_BEGUN,
                feature=verdict.feature,
                companions=sorted(verdict.companions),
                service=verdict.service,
                source=source,
                generation=verdict.generation,
            )
        elif was_active and not verdict.is_active:
            emit(
                Event.QUARANTINE_LIFTED,
                feature=verdict.feature,
                generation=verdict.generation,
                source=source,
            )


def _get_max_chance(feature: FeatureId, crash_count: int) -> float:
    """Returns the greatest chance with which a feature is blamed.

    Args:
        feature: The feature.
        crash_count: Number of crashes under it that follow one another.
    """
    if is_widespread(feature) and crash_count < _MANY_CRASHES:
        return _MAX_WIDESPREAD_CHANCE
    return _MAX_CHANCE
