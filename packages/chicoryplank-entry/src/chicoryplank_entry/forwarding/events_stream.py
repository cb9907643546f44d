"""Whole events of a server-sent event stream, and their ids."""

import re

# An event ends with an empty line, with either line ending.
_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
# Longest event that is kept while its end has not arrived, in bytes.
_MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(Exception):
    """An event is longer than the bound."""


class EventSplitter:
    r"""Cuts a byte stream after whole events.

    A replica may stop in the middle of an event. A stream that goes on at
    another replica repeats that event from its start, so the caller must not
    have received a part of it.

    Attributes:
        last_id: Id of the last whole event; empty before the first.

    Example:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        [b'id: 1\ndata: a\n\n']
        >>> splitter.last_id
        '1'
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event waits for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the whole events that have arrived.

        Raises:
            EventTooLongError: If an event does not end in time.
        """
        data = self._rest + data if self._rest else data
        events = []
        start = 0
        for found in _END.finditer(data):
            event = data[start : found.end()]
            start = found.end()
            number = _EVENT_ID.search(event)
            if number is not None:
                self.last_id = number[1].decode("latin-1")
            events.append(event)
        self._rest = data[start:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EventTooLongError
        return events

    def drop_rest(self) -> None:
        """Forgets the part of an event whose replica has stopped."""
        self._rest = b""


def find_event_number(event: bytes) -> int | None:
    """Returns the number of an event, or None if it has none."""
    found = _EVENT_ID.search(event)
    if found is None:
        return None
    text = found[1].strip()
    return int(text) if text.isdigit() else None
