"""Distributes changes of the store from one entry to the others.

The number of calls to the store is limited, so only a few entries watch it, and
the others read the changes from one of those. An entry whose source does not
respond, or whose source has lost the store, reads from the store itself.

Responses are compressed. A configuration with many routes takes hundreds of
kilobytes; uncompressed, it would fill the link of the entry that serves a zone
for seconds, and this entry may also hold the lease of a controller.
"""

import asyncio
import base64
import collections
import json
import urllib.parse
import zlib
from collections.abc import Callable, Iterable

from chicoryplank_entry.forwarding.views import (
    Change,
    ChangeSource,
    HistoryGoneError,
)
from chicoryplank_wire.calls import CallClient
from chicoryplank_wire.client_connection import ConnectionBrokenError
from chicoryplank_wire.server_connection import ReceivedRequest, Reply

_ITEMS_PATH = "/items"
_CHANGES_PATH = "/changes"
# Longest wait for a change in one call, and the additional time in which the
# response must arrive, in seconds. A frozen source is detected after their sum.
_POLL_TIMEOUT_S = 0.6
_RESPONSE_MARGIN_S = 0.3
# Time for which a source is not used after a failure, in seconds.
_FAILED_SOURCE_DELAY_S = 1.0
_MAX_HISTORY = 1_024
# Query parameter of entries that read compressed responses, and its value.
_ENCODING_PARAMETER = "encoding"
_ZLIB = "zlib"
_COMPRESSION_LEVEL = 1
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_OK = 200
_BAD_REQUEST = 400
_GONE = 410
_UNAVAILABLE = 503


class FeedServer:
    """Serves the items and recent changes of the store to other entries.

    Args:
        is_current: Returns whether this entry is connected to the store.
    """

    def __init__(self, is_current: Callable[[], bool]) -> None:
        self._is_current = is_current
        self._items: dict[str, Change] = {}
        self._history: collections.deque[Change] = collections.deque(
            maxlen=_MAX_HISTORY
        )
        self._revision = 0
        self._oldest = 0
        self._changed = asyncio.Event()
        # Compressed responses by the revision after which they begin, since all
        # entries of a zone ask for the same changes.
        self._compressed: dict[int, bytes] = {}

    def replace(self, items: Iterable[Change], revision: int) -> None:
        """Replaces all items and discards the history."""
        self._items = {item.key: item for item in items}
        self._history.clear()
        self._oldest = self._revision = revision
        self._wake()

    def append(self, changes: Iterable[Change], revision: int) -> None:
        """Appends changes to the history and applies them to the items."""
        for change in changes:
            if len(self._history) == _MAX_HISTORY:
                self._oldest = self._history[0].revision
            self._history.append(change)
            if change.value is None:
                self._items.pop(change.key, None)
            else:
                self._items[change.key] = change
        if changes or revision != self._revision:
            self._revision = max(self._revision, revision)
            self._wake()

    def notify(self) -> None:
        """Wakes waiting entries after the connection to the store is lost."""
        self._wake()

    def _wake(self) -> None:
        self._compressed.clear()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Responds to a request of another entry."""
        path, _, query = request.target.partition("?")
        fields = urllib.parse.parse_qs(query)
        if path == _ITEMS_PATH:
            self._send_changes(reply, self._items.values())
            return
        after = fields.get("after", [""])[0]
        if path != _CHANGES_PATH or not after.isdigit():
            reply.send(_BAD_REQUEST, (), b"")
            return
        if self._is_current() and int(after) >= self._revision:
            try:
                async with asyncio.timeout(_POLL_TIMEOUT_S):
                    await self._changed.wait()
            except TimeoutError:
                pass  # The response contains no changes.
        if int(after) < self._oldest:
            reply.send(_GONE, (), b"")
            return
        changes = [item for item in self._history if item.revision > int(after)]
        if fields.get(_ENCODING_PARAMETER) == [_ZLIB]:
            self._send_compressed(reply, changes, int(after))
        else:
            self._send_changes(reply, changes)

    def _send_compressed(
        self, reply: Reply, changes: Iterable[Change], after: int
    ) -> None:
        if not self._is_current():
            reply.send(_UNAVAILABLE, (), b"")
            return
        content = self._compressed.get(after)
        if content is None:
            document = {
                "changes": [_encode_text_change(change) for change in changes],
                "revision": self._revision,
            }
            content = zlib.compress(
                json.dumps(document, separators=(",", ":")).encode(),
                _COMPRESSION_LEVEL,
            )
            self._compressed[after] = content
        reply.send(_OK, (), content)

    def _send_changes(self, reply: Reply, changes: Iterable[Change]) -> None:
        if not self._is_current():
            reply.send(_UNAVAILABLE, (), b"")
            return
        document = {
            "changes": [_encode_change(change) for change in changes],
            "revision": self._revision,
        }
        reply.send(_OK, (), json.dumps(document).encode())


class FeedSource:
    """Reads changes from another entry, or from the store as a fallback.

    Args:
        store: Store to read from if no other entry can be used.
        get_source_address: Returns the peer address of the entry from which to
            read changes; None to read them from the store.
        now_s: Returns the current time in seconds.
    """

    def __init__(
        self,
        store: ChangeSource,
        get_source_address: Callable[[], str | None],
        now_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._get_source_address = get_source_address
        self._now_s = now_s
        self._client: CallClient | None = None
        self._failed_until_s: dict[str, float] = {}

    async def read_all(self) -> tuple[list[Change], int]:
        """Returns all items and the revision after which to watch.

        The items always come from the store, since an entry must not start with
        an older state than the store has acknowledged.
        """
        return await self._store.read_all()

    async def wait_changes(self, after: int) -> tuple[list[Change], int]:
        """Returns the changes after a revision; waits briefly if none.

        The store is asked without waiting after a failure of another entry,
        which does not show whether the store is lost.
        """
        address = self._get_source_address()
        if address is not None and self._now_s() >= self._failed_until_s.get(
            address, 0.0
        ):
            try:
                return await self._poll_source(address, after)
            except (ConnectionBrokenError, ValueError, KeyError, TypeError):
                self._failed_until_s[address] = (
                    self._now_s() + _FAILED_SOURCE_DELAY_S
                )
                return await self._store.read_changes(after)
        return await self._store.wait_changes(after)

    async def read_changes(self, after: int) -> tuple[list[Change], int]:
        """Returns the changes after a revision, from the store."""
        return await self._store.read_changes(after)

    async def _poll_source(
        self, address: str, after: int
    ) -> tuple[list[Change], int]:
        if self._client is None or self._client.address != address:
            if self._client is not None:
                self._client.close()
            self._client = CallClient(
                address, _POLL_TIMEOUT_S + _RESPONSE_MARGIN_S, self._now_s
            )
        status, content = await self._client.call(
            "GET",
            f"{_CHANGES_PATH}?after={after}&{_ENCODING_PARAMETER}={_ZLIB}",
        )
        if status == _GONE:
            raise HistoryGoneError
        if status != _OK:
            raise ValueError(f"status {status}")
        document = json.loads(_decompress(content))
        changes = [_decode_change(item) for item in document["changes"]]
        return changes, max(after, int(document["revision"]))


def _encode_change(change: Change) -> list:
    value = change.value
    text = None if value is None else base64.b64encode(value).decode()
    return [change.key, text, change.revision, change.created]


def _encode_text_change(change: Change) -> list:
    """Encodes a change with its value as text, which compresses better."""
    if change.value is not None:
        try:
            text = change.value.decode()
        except UnicodeDecodeError:
            return _encode_change(change)
        return [change.key, text, change.revision, change.created, True]
    return _encode_change(change)


def _decode_change(item: list) -> Change:
    key, text, revision, created, *is_text = item
    value = None
    if text is not None:
        value = text.encode() if is_text else base64.b64decode(text)
    return Change(str(key), value, int(revision), int(created))


def _decompress(content: bytes) -> bytes:
    """Decompresses a response; entries of earlier versions send plain JSON.

    Raises:
        ValueError: If it is malformed or too long.
    """
    if content.startswith(b"{"):
        return content
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(content, _MAX_RESPONSE_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed response: {error}") from error
    if not decompressor.eof:
        raise ValueError("the response is truncated or too long")
    return text
