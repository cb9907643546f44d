"""Limits that replicas name in their responses."""

from chicoryplank.admission import (
    LimitReport,
    MalformedLimitError,
    parse_limit,
)
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.attempts import Attempt
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_entry.forwarding.state import EntryState

# Number of malformed values that are logged, since a faulty replica may name
# another one in each response.
_MAX_LOGGED_VALUES = 64


class LimitReader:
    """Reads the limits in responses and records them.

    Args:
        names: Header names.
        state: Shared state of this entry.
    """

    def __init__(self, names: HeaderNames, state: EntryState) -> None:
        self._names = names
        self._state = state
        self._logged_values: set[tuple[InstanceId, str]] = set()

    def read(self, attempt: Attempt) -> None:
        """Records the limit in the response of an attempt.

        The response must come from the replica to which the request was sent.
        A malformed limit changes nothing.
        """
        instance = attempt.replica.instance
        text = attempt.response.get(self._names.server_limit)
        limit = None
        if text is not None:
            try:
                limit = parse_limit(text)
            except MalformedLimitError:
                self._log_malformed(instance, text)
                return
        now_s = self._state.now_s()
        if limit is not None:
            report = LimitReport(limit, now_s)
        elif self._state.server_limits.get(instance) is not None:
            # The response may be older than the limit, unless its request was
            # sent after the limit was named.
            report = LimitReport(None, attempt.started_s)
        else:
            return
        record_report(self._state, instance, report, "response")

    def _log_malformed(self, instance: InstanceId, text: str) -> None:
        key = (instance, text[:50])
        if key in self._logged_values:
            return
        if len(self._logged_values) < _MAX_LOGGED_VALUES:
            self._logged_values.add(key)
            emit(
                Event.SERVER_LIMIT_MALFORMED,
                replica=instance,
                value=repr(text[:50]),
            )


def record_report(
    state: EntryState, instance: InstanceId, report: LimitReport, source: str
) -> None:
    """Records a report on the limit of a replica; logs a change.

    Args:
        state: Shared state of this entry.
        instance: The replica; ignored unless it is registered.
        report: The report.
        source: Where the report comes from, for the log.
    """
    if state.registry.get(instance) is None:
        return
    previous = state.server_limits.get(instance)
    state.server_limits.observe(instance, report)
    limit = state.server_limits.get(instance)
    if limit != previous:
        emit(
            Event.SERVER_LIMIT_CHANGED,
            replica=instance,
            limit=_format_limit(limit),
            previous=_format_limit(previous),
            source=source,
        )


def _format_limit(limit: float | None) -> str:
    return "none" if limit is None else f"{limit:g}"
