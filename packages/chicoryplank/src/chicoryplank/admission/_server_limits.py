"""Limits on the request rate that backend servers name in their responses.

A server in need names the requests per second that it takes from all entries
together, and stops naming them once it has recovered.
"""

import dataclasses
import enum
import re
from collections.abc import Iterable

from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# Longer numbers are not plausible and would be costly to convert.
_MAX_DIGITS = 64
# Rate in requests per second at which a server that takes fewer or none is
# still asked, since only its responses tell that it takes more again.
_PROBE_RATE = 0.25
# Time in seconds for which a withdrawn limit is reported to other entries, so
# that older reports of that limit do not restore it.
_WITHDRAWAL_MEMORY_S = 30.0
# Number of malformed values that are logged, since a faulty server may name
# another one in each response.
_MAX_LOGGED_VALUES = 64
_MAX_LOGGED_CHARACTERS = 50
# Seconds of its rate that a bucket saves.
_BURST_S = 0.25
# A shorter wait is not worth a refusal; the bucket then has a debt.
_MIN_WAIT_S = 0.001


class MalformedLimitError(ValueError):
    """The value is not a decimal number."""


def parse_limit(text: str) -> float:
    """Parses a limit in requests per second.

    Raises:
        MalformedLimitError: If the text is not a decimal number.

    Example:
        >>> parse_limit("2.5")
        2.5
    """
    text = text.strip()
    if len(text) > _MAX_DIGITS or not _DECIMAL.fullmatch(text):
        raise MalformedLimitError(f"{text[:_MAX_DIGITS]!r} is not a number")
    return float(text)


class RateBucket:
    """Token bucket of the requests to one server; empty at first.

    Since a new bucket is empty, replacing the process that keeps it grants no
    request twice.

    Args:
        now_s: Current time in seconds.
        capacity: Number of requests that the bucket saves; None for those of
            a quarter of a second, at least one.

    Example:
        >>> bucket = RateBucket(0.0)
        >>> bucket.try_take(2.0, 0.25), bucket.try_take(2.0, 0.5)
        (0.25, 0.0)
    """

    def __init__(self, now_s: float, capacity: float | None = None) -> None:
        self._level = 0.0
        self._updated_s = now_s
        self._capacity = capacity

    def get_wait_s(self, rate: float, now_s: float) -> float:
        """Returns the wait like try_take, but takes nothing."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        capacity = self._capacity
        if capacity is None:
            capacity = max(1.0, rate * _BURST_S)
        self._level = min(self._level + rate * elapsed_s, capacity)
        wait_s = (1 - self._level) / rate
        return wait_s if wait_s > _MIN_WAIT_S else 0.0

    def try_take(self, rate: float, now_s: float) -> float:
        """Takes one request.

        Args:
            rate: Requests per second, above 0.
            now_s: Current time in seconds.

        Returns:
            0 if the request may be sent, or else the time in seconds after
            which one may be.
        """
        wait_s = self.get_wait_s(rate, now_s)
        if wait_s > 0:
            return wait_s
        self._level -= 1
        return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """Newest information on the limit of a server.

    Attributes:
        limit: Limit in requests per second; None if it was withdrawn.
        seen_s: Time of the response that named it, or of the request whose
            response named none, in seconds.
    """

    limit: float | None
    seen_s: float


class LimitSource(enum.Enum):
    """Where a report on a limit comes from.

    Attributes:
        RESPONSE: A response of the server.
        PEER: Another process.
        RESTART: The server has started again, which ends its limit.
    """

    RESPONSE = "response"
    PEER = "peer"
    RESTART = "restart"


class ServerLimits:
    """Limits of all servers, as known to one process.

    The newest report on a server counts.

    Example:
        >>> limits = ServerLimits()
        >>> limits.read(InstanceId("a"), "5", sent_s=1.0, now_s=1.5)
        True
        >>> limits.read(InstanceId("a"), None, sent_s=1.2, now_s=1.7)
        False
        >>> limits.get(InstanceId("a"))
        5.0
    """

    def __init__(self) -> None:
        self._reports: dict[InstanceId, LimitReport] = {}
        self._logged_values: set[tuple[InstanceId, str]] = set()

    def get(self, instance: InstanceId) -> float | None:
        """Returns the limit of a server in requests per second, if any."""
        report = self._reports.get(instance)
        return None if report is None else report.limit

    def get_rate(self, instance: InstanceId) -> float | None:
        """Returns the requests per second to send to a server, if limited.

        This is above 0 also for a server that takes none.
        """
        limit = self.get(instance)
        return None if limit is None else max(limit, _PROBE_RATE)

    def read(
        self,
        instance: InstanceId,
        text: str | None,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Applies the limit that a server names in a response, or its lack.

        A malformed limit changes nothing. A response without one may be older
        than the limit, unless its request was sent after the limit was named.

        Args:
            instance: The server, from which the response must come.
            text: Value of the header; None if there is none.
            sent_s: Time at which the request was sent, in seconds.
            now_s: Current time in seconds.

        Returns:
            Whether the limit changed.
        """
        if text is None:
            if self.get(instance) is None:
                return False
            report = LimitReport(None, sent_s)
            return self.observe(instance, report, LimitSource.RESPONSE)
        try:
            limit = parse_limit(text)
        except MalformedLimitError:
            self._log_malformed(instance, text[:_MAX_LOGGED_CHARACTERS])
            return False
        report = LimitReport(limit, now_s)
        return self.observe(instance, report, LimitSource.RESPONSE)

    def observe(
        self, instance: InstanceId, report: LimitReport, source: LimitSource
    ) -> bool:
        """Records a report unless a newer one is known; logs a change.

        Returns:
            Whether the limit changed.
        """
        known = self._reports.get(instance)
        if known is not None and report.seen_s <= known.seen_s:
            return False
        previous = self.get(instance)
        self._reports[instance] = report
        if report.limit == previous:
            return False
        emit(
            Event.SERVER_LIMIT_CHANGED,
            replica=instance,
            limit=_format_limit(report.limit),
            previous=_format_limit(previous),
            source=source.value,
        )
        return True

    def _log_malformed(self, instance: InstanceId, text: str) -> None:
        key = (instance, text)
        if key in self._logged_values:
            return
        if len(self._logged_values) < _MAX_LOGGED_VALUES:
            self._logged_values.add(key)
            emit(
                Event.SERVER_LIMIT_MALFORMED, replica=instance, value=repr(text)
            )

    def reset(self, instance: InstanceId, now_s: float) -> None:
        """Withdraws the limit of a server that has started again."""
        if instance in self._reports:
            report = LimitReport(None, now_s)
            self.observe(instance, report, LimitSource.RESTART)

    def retain(self, instances: Iterable[InstanceId]) -> None:
        """Forgets all other servers."""
        for instance in self._reports.keys() - set(instances):
            del self._reports[instance]

    def list_reports(self, now_s: float) -> dict[InstanceId, LimitReport]:
        """Returns the reports that other entries may lack."""
        outdated = [
            instance
            for instance, report in self._reports.items()
            if report.limit is None
            and now_s - report.seen_s > _WITHDRAWAL_MEMORY_S
        ]
        for instance in outdated:
            del self._reports[instance]
        return dict(self._reports)

    def estimate_wait_s(
        self, instances: Iterable[InstanceId], queued: int
    ) -> float:
        """Returns the time in which several servers take the queued requests.

        Args:
            instances: The servers.
            queued: Requests that wait for the same servers.

        Returns:
            Seconds; 0 if any of the servers has no limit.
        """
        total = 0.0
        for instance in instances:
            rate = self.get_rate(instance)
            if rate is None:
                return 0.0
            total += rate
        if not total:
            return 0.0
        return queued / total


def _format_limit(limit: float | None) -> str:
    return "none" if limit is None else f"{limit:g}"
