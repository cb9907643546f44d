"""Splits a stream of server-sent events into complete events."""

import re

# An empty line, with LF or CRLF line endings, ends an event.
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
# Maximum size of an incomplete event, in bytes.
_MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(Exception):
    """Raised if an event exceeds the size limit."""


class EventSplitter:
    r"""Splits a byte stream into complete events.

    A replica may fail in the middle of an event. A stream that is resumed at
    another replica repeats that event from its start, so the caller must not
    have received a part of it.

    Attributes:
        last_event_id: Id of the last complete event; empty before the first.

    Example:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        [b'id: 1\ndata: a\n\n']
        >>> splitter.last_event_id
        '1'
    """

    def __init__(self) -> None:
        self._partial_event = b""
        self.last_event_id = ""

    @property
    def has_partial_event(self) -> bool:
        """Whether the data ends with an incomplete event."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that the data completes.

        Raises:
            EventTooLongError: If an event exceeds the size limit.
        """
        data = self._partial_event + data if self._partial_event else data
        events = []
        start = 0
        for found in _EVENT_END.finditer(data):
            event = data[start : found.end()]
            start = found.end()
            number = _EVENT_ID.search(event)
            if number is not None:
                self.last_event_id = number[1].decode("latin-1")
            events.append(event)
        self._partial_event = data[start:]
        if len(self._partial_event) > _MAX_EVENT_BYTES:
            raise EventTooLongError
        return events

    def restart(self) -> None:
        """Discards what belongs to the response of a replica that has failed.

        Its last events may not have been sent on.
        """
        self._partial_event = b""
        self.last_event_id = ""


def parse_event_number(event: bytes) -> int | None:
    """Returns the numeric id of an event; None if it has none."""
    found = _EVENT_ID.search(event)
    if found is None:
        return None
    text = found[1].strip()
    return int(text) if text.isdigit() else None
