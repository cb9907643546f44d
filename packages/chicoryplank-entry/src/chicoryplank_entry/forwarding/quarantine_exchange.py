"""Exchange of crashes and verdicts between entries by datagrams.

What is new goes to all entries at once, and everything that is known to one
entry after the other. The store keeps the same for processes that start when no
other is left.
"""

import json
import random
from collections.abc import Callable, Iterator, Sequence

from chicoryplank.ids import InstanceId
from chicoryplank_entry.forwarding.state import EntryState
from chicoryplank_entry.quarantine import Document

QUARANTINE_KIND = "quarantine"
# Size of the items in one datagram, well below the maximum of UDP.
_MAX_ITEMS_BYTES = 16_384
# Rounds of updates, 0.1 s each, after which all items go to a random entry.
_ROUNDS_PER_REPEAT = 5


class QuarantineGossip:
    """Sends crashes and verdicts to the other entries, and receives theirs.

    Args:
        own: This entry.
        state: Shared state of this entry.
        rng: Random number generator.
        list_members: Returns all other registered entries.
        send: Sends a document to another entry.
    """

    def __init__(
        self,
        own: InstanceId,
        state: EntryState,
        rng: random.Random,
        list_members: Callable[[], Sequence[InstanceId]],
        send: Callable[[Document, InstanceId], None],
    ) -> None:
        self._own = own
        self._state = state
        self._rng = rng
        self._list_members = list_members
        self._send = send
        self._rounds = 0
        self._repeated: Iterator[list[Document]] = iter(())

    def send_updates(self) -> None:
        """Sends what is new to all entries, and the rest to one at times."""
        members = self._list_members()
        now_s = self._state.now_s()
        for items in _split(self._state.quarantine.take_changes(now_s)):
            for name in members:
                self._send_items(items, name)
        self._rounds += 1
        if self._rounds % _ROUNDS_PER_REPEAT == 0 and members:
            self._repeat(members, now_s)

    def _repeat(self, members: Sequence[InstanceId], now_s: float) -> None:
        items = next(self._repeated, None)
        if items is None:
            self._repeated = _split(self._state.quarantine.encode_all(now_s))
            items = next(self._repeated, None)
        if items is not None:
            self._send_items(items, self._rng.choice(members))

    def _send_items(self, items: list[Document], name: InstanceId) -> None:
        self._send(
            {"kind": QUARANTINE_KIND, "member": self._own, "items": items},
            name,
        )

    def handle(self, document: Document) -> None:
        """Applies a message of another entry.

        Raises:
            ValueError, KeyError: If it is malformed.
        """
        self._state.quarantine.merge(
            document["items"], self._state.now_s(), str(document["member"])
        )


def _split(items: Sequence[Document]) -> Iterator[list[Document]]:
    """Yields the items in parts that fit into a datagram."""
    part: list[Document] = []
    size = 0
    for item in items:
        item_size = len(json.dumps(item))
        if part and size + item_size > _MAX_ITEMS_BYTES:
            yield part
            part, size = [], 0
        part.append(item)
        size += item_size
    if part:
        yield part
