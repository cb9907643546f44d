"""Ledger of crashes that all entries fill in and merge.

Records only grow when they are merged: times of a crash and of its suspects
become earlier or closer, and clearances accumulate. The order in which reports
arrive, and how often, makes no difference, so entries exchange records by
datagrams and through the store alike.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from chicoryplank.ids import ServiceId
from chicoryplank.quarantine._features import FeatureId, is_widespread

# Bounds on the memory of a ledger, whatever callers send.
_MAX_CRASHES = 64
_MAX_SUSPECTS = 64
# Time in seconds after which a crash is no longer evidence.
_MAX_AGE_S = 600.0
_MAX_REPORTERS = 64
MAX_COMPANIONS = 4
_WITNESSES_TO_CLEAR = 2
_MAX_COUNT = 100_000
_MAX_TEXT_LENGTH = 300


class MalformedReportError(ValueError):
    """A report of another entry, or in the store, is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCounts:
    """Requests that were in progress at crashes, for one feature and time.

    Attributes:
        prompt: Number with the feature that were sent shortly before a crash
            under it.
        outlived: Number with the feature that were sent longer before.
        others_outlived: Number without it that were sent longer before.
    """

    prompt: int
    outlived: int
    others_outlived: int


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crash of a replica, and the features of requests in progress there.

    Attributes:
        crash: Id of the crash, the same at all entries.
        service: Service of the replica.
        version: Software version of the replica.
        replica_count: Number of replicas of the service.
        seen_s: Time of the crash at this entry.
        suspects: Features of the requests in progress, with the time from the
            last send of such a request to the crash, in seconds.
        cleared: Suspects that a later request has cleared of this crash.
        requests: Number of requests in progress, by the entry that sent them.
        companions: For each suspect, the other features that all requests with
            it had too.
        witnesses: Later requests that their replicas outlived, for suspects
            which too few of them clear so far.
    """

    crash: str
    service: ServiceId
    version: str
    replica_count: int
    seen_s: float
    suspects: dict[FeatureId, float] = dataclasses.field(default_factory=dict)
    cleared: set[FeatureId] = dataclasses.field(default_factory=set)
    requests: dict[str, int] = dataclasses.field(default_factory=dict)
    companions: dict[FeatureId, frozenset[FeatureId]] = dataclasses.field(
        default_factory=dict
    )
    witnesses: dict[FeatureId, set[str]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def open_suspects(self) -> set[FeatureId]:
        """Suspects that have not been cleared."""
        return self.suspects.keys() - self.cleared

    def add_suspect(
        self,
        feature: FeatureId,
        lead_s: float,
        companions: Iterable[FeatureId],
    ) -> bool:
        """Adds a suspect; returns whether the record has changed.

        Args:
            feature: The suspect.
            lead_s: Time from the send of a request with it to the crash.
            companions: Other features of that request.
        """
        known_s = self.suspects.get(feature)
        if known_s is None:
            if len(self.suspects) >= _MAX_SUSPECTS:
                return False
            self.suspects[feature] = lead_s
            first = sorted(set(companions) - {feature})[:MAX_COMPANIONS]
            self.companions[feature] = frozenset(first)
            return True
        common = self.companions[feature].intersection(companions)
        if known_s <= lead_s and common == self.companions[feature]:
            return False
        self.suspects[feature] = min(known_s, lead_s)
        self.companions[feature] = common
        return True

    def list_companions(self, feature: FeatureId) -> set[FeatureId]:
        """Returns the companions of a suspect that have not been cleared."""
        return set(self.companions.get(feature, ())) - self.cleared

    def count_requests(
        self, feature: FeatureId, span_s: float
    ) -> RequestCounts:
        """Counts requests by their feature and their time in progress.

        Those whose features are not all known count as having the feature.

        Args:
            feature: A feature of some requests.
            span_s: Time from the send of a request to the crash, in seconds.
        """
        prompt = outlived = others_outlived = 0
        for name, lead_s in self.suspects.items():
            if is_widespread(name):
                continue
            has_feature = self._may_have(name, feature)
            if lead_s <= span_s:
                prompt += has_feature
            elif has_feature:
                outlived += 1
            else:
                others_outlived += 1
        if feature in self.open_suspects:
            return RequestCounts(max(1, prompt), outlived, others_outlived)
        return RequestCounts(0, outlived, others_outlived)

    def _may_have(self, request: FeatureId, feature: FeatureId) -> bool:
        """Returns whether a request has a feature, as far as it is known."""
        companions = self.companions[request]
        return (
            feature == request
            or feature in companions
            or len(companions) >= MAX_COMPANIONS
        )

    def add_requests(self, entry: str, count: int) -> bool:
        """Sets the requests of an entry; returns whether that is new."""
        if self.requests.get(entry, 0) >= count:
            return False
        if len(self.requests) >= _MAX_REPORTERS:
            return False
        self.requests[entry] = count
        return True

    def clear(self, features: Iterable[FeatureId]) -> bool:
        """Clears suspects; returns whether the record has changed."""
        cleared = self.open_suspects.intersection(features)
        self.cleared |= cleared
        return bool(cleared)

    def add_witnesses(self, feature: FeatureId, names: Iterable[str]) -> bool:
        """Adds requests that speak for a suspect; returns whether any is new.

        One request may have been held back just before it crashed its replica,
        so that only several clear the suspect.
        """
        if feature not in self.open_suspects:
            return False
        known = self.witnesses.setdefault(feature, set())
        new = set(names) - known
        if not new:
            return False
        known |= new
        if len(known) >= _WITNESSES_TO_CLEAR:
            self.cleared.add(feature)
            del self.witnesses[feature]
        return True

    def encode(self, now_s: float) -> dict[str, object]:
        """Returns the record as a JSON document, with ages for times."""
        return {
            "crash": self.crash,
            "service": self.service,
            "version": self.version,
            "replicas": self.replica_count,
            "age_s": round(max(0.0, now_s - self.seen_s), 3),
            "suspects": {
                feature: round(lead_s, 3)
                for feature, lead_s in self.suspects.items()
            },
            "cleared": sorted(self.cleared),
            "requests": dict(self.requests),
            "companions": {
                feature: sorted(names)
                for feature, names in self.companions.items()
            },
            "witnesses": {
                feature: sorted(names)
                for feature, names in self.witnesses.items()
            },
        }


def decode_record(document: Mapping, now_s: float) -> CrashRecord:
    """Returns the record in a JSON document.

    Raises:
        MalformedReportError: If the document is malformed.
    """
    try:
        age_s = _read_seconds(document["age_s"])
        suspects = {
            FeatureId(read_text(feature)): _read_seconds(lead_s)
            for feature, lead_s in document["suspects"].items()
        }
        cleared = {FeatureId(read_text(name)) for name in document["cleared"]}
        record = CrashRecord(
            read_text(document["crash"]),
            ServiceId(read_text(document["service"])),
            read_text(document["version"]),
            _read_count(document["replicas"]),
            now_s - age_s,
            suspects,
            cleared & suspects.keys(),
            {
                read_text(entry): _read_count(count)
                for entry, count in document["requests"].items()
            },
            {
                feature: frozenset(
                    FeatureId(read_text(name))
                    for name in document["companions"][feature][:MAX_COMPANIONS]
                )
                for feature in suspects
            },
            {
                FeatureId(read_text(feature)): {
                    read_text(name) for name in names[:_WITNESSES_TO_CLEAR]
                }
                for feature, names in document["witnesses"].items()
                if feature in suspects
            },
        )
    except (
        TypeError,
        KeyError,
        AttributeError,
        ValueError,
        OverflowError,
    ) as error:
        raise MalformedReportError(f"crash report: {error!r}") from error
    if len(suspects) > _MAX_SUSPECTS or len(record.requests) > _MAX_REPORTERS:
        raise MalformedReportError("crash report: too many suspects")
    return record


def read_text(value: object) -> str:
    """Returns a text of bounded length.

    Raises:
        MalformedReportError: If the value is not one.
    """
    if not isinstance(value, str) or len(value) > _MAX_TEXT_LENGTH:
        raise MalformedReportError(f"{str(value)[:50]!r} is not a short text")
    return value


def _read_count(value: object) -> int:
    count = int(value)
    if not 0 <= count <= _MAX_COUNT:
        raise MalformedReportError(f"{value!r} is not a count")
    return count


def _read_seconds(value: object) -> float:
    seconds = float(value)
    if not 0 <= seconds < float("inf"):
        raise MalformedReportError(f"{value!r} is not a duration")
    return seconds


class CrashLedger:
    """The newest crashes that any entry has noticed."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._open: dict[ServiceId, set[FeatureId]] = {}

    def has_records(self, service: ServiceId) -> bool:
        """Returns whether any crash of a replica of a service is known."""
        return service in self._open

    def has_open_suspect(
        self, service: ServiceId, features: Iterable[FeatureId]
    ) -> bool:
        """Returns whether any of some features is a suspect of a crash."""
        return not self._open.get(service, set()).isdisjoint(features)

    def get(self, crash: str) -> CrashRecord | None:
        """Returns the record of a crash, if it is known."""
        return self._records.get(crash)

    def list_records(
        self, service: ServiceId | None = None
    ) -> list[CrashRecord]:
        """Returns the records of a service, or of all, in order of time."""
        return sorted(
            (
                record
                for record in self._records.values()
                if service in (None, record.service)
            ),
            key=lambda record: record.seen_s,
        )

    def merge(self, report: CrashRecord, now_s: float) -> bool:
        """Merges a report; returns whether the ledger has changed."""
        if now_s - report.seen_s > _MAX_AGE_S:
            return False
        known = self._records.get(report.crash)
        if known is None:
            self._records[report.crash] = report
            self.expire(now_s)
            self._index()
            return report.crash in self._records
        # Both times of the crash are estimates; the first one stays, so that
        # the ledger changes only with new facts.
        changed = [
            known.add_suspect(feature, lead_s, report.companions[feature])
            for feature, lead_s in report.suspects.items()
        ]
        changed.extend(
            known.add_requests(entry, count)
            for entry, count in report.requests.items()
        )
        changed.extend(
            known.add_witnesses(feature, names)
            for feature, names in report.witnesses.items()
        )
        changed.append(known.clear(report.cleared))
        if any(changed):
            self._index()
        return any(changed)

    def clear(self, record: CrashRecord, features: Iterable[FeatureId]) -> bool:
        """Clears suspects of a crash; returns whether that is new."""
        changed = record.clear(features)
        if changed:
            self._index()
        return changed

    def add_witness(
        self, record: CrashRecord, features: Iterable[FeatureId], name: str
    ) -> bool:
        """Adds a request that speaks for suspects of a crash."""
        changed = [
            record.add_witnesses(feature, [name]) for feature in features
        ]
        if any(changed):
            self._index()
        return any(changed)

    def expire(self, now_s: float) -> bool:
        """Drops the oldest records beyond the bounds; returns whether any."""
        newest = self.list_records()[-_MAX_CRASHES:]
        kept = {
            record.crash: record
            for record in newest
            if now_s - record.seen_s <= _MAX_AGE_S
        }
        if len(kept) == len(self._records):
            return False
        self._records = kept
        self._index()
        return True

    def _index(self) -> None:
        self._open = {}
        for record in self._records.values():
            self._open.setdefault(record.service, set()).update(
                record.open_suspects
            )
