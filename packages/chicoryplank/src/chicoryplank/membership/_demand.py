"""Demand of client accounts, summed along the dissemination tree.

Each entry sends its parent the demand of its subtree and gets back the demand
of the whole fleet. Sums flow upwards only along parents, which form no cycle,
so a difference of views counts demand twice for a while but cannot make it
grow. Messages carry new values of changed accounts only.
"""

import dataclasses
import heapq
from collections.abc import Mapping
from datetime import timedelta

from chicoryplank.ids import AccountId, InstanceId

Demand = Mapping[AccountId, float]


@dataclasses.dataclass(frozen=True, slots=True)
class DemandUpdate:
    """Changed demand in a heartbeat or in its response.

    Attributes:
        number: Increases with each update on a link.
        acknowledged: Number of the last update received on the link; 0 if
            none was received or a full one is needed.
        is_full: Whether accounts that are not named have no demand.
        changes: New values in requests per second; 0 for demand that ended.
    """

    number: int
    acknowledged: int
    is_full: bool
    changes: Demand


class _Link:
    """What the other end of a link knows, and what it told."""

    def __init__(self) -> None:
        self.received: dict[AccountId, float] = {}
        self.received_at = timedelta()
        self._received_number = 0
        self._number = 0
        self._known: dict[AccountId, float] | None = None
        # Values that the other end has or not, because a message got lost.
        self._uncertain: set[AccountId] = set()
        self._pending: DemandUpdate | None = None

    def choose(
        self, values: Demand, max_deltas: int, min_change: float
    ) -> DemandUpdate:
        """Returns the next update that makes the other end know values."""
        self._number += 1
        if self._known is None:
            changes = dict(values)
        else:
            changes = _find_changes(values, self._known, max_deltas, min_change)
            for account in self._uncertain:
                changes[account] = values.get(account, 0.0)
        self._uncertain.update(changes)
        self._pending = DemandUpdate(
            self._number, self._received_number, self._known is None, changes
        )
        return self._pending

    def observe(self, update: DemandUpdate, elapsed: timedelta) -> None:
        """Takes an update and the acknowledgement that it carries."""
        self.received_at = elapsed
        self._observe_acknowledgement(update.acknowledged)
        if update.is_full:
            self.received = {}
            if self._received_number > update.number:
                # The other end has restarted and knows nothing.
                self._known = None
        elif self._received_number == 0:
            return
        self._received_number = update.number
        _merge(self.received, update.changes)

    def _observe_acknowledgement(self, number: int) -> None:
        pending = self._pending
        if number == 0:
            self._known = None
            self._uncertain.clear()
        if pending is None or pending.number != number:
            return
        if pending.is_full or self._known is None:
            self._known = {}
        _merge(self._known, pending.changes)
        self._uncertain.clear()
        self._pending = None


def _find_changes(
    values: Demand, known: Demand, max_deltas: int, min_change: float
) -> dict[AccountId, float]:
    changes = []
    for account, value in values.items():
        before = known.get(account, 0.0)
        change = abs(value - before)
        if change > min_change * value or change > min_change * before:
            changes.append((change, account))
    # A demand that ends is always sent, since it frees a share.
    ended = known.keys() - values.keys()
    changes.extend((known[account], account) for account in ended)
    largest = heapq.nlargest(max_deltas, changes)
    return {account: values.get(account, 0.0) for _, account in largest}


def _merge(values: dict[AccountId, float], changes: Demand) -> None:
    values.update(changes)
    for account, value in changes.items():
        if not value:
            del values[account]


class DemandSums:
    """Own demand, that of the children, and that of the fleet.

    An update to a peer that knows nothing is full: 14 KB at 900 accounts. The
    others name the accounts that changed most.

    Args:
        max_deltas: Accounts in one update.
        min_change: Relative change that is worth a message.
        max_silence: Time after which a child that sends nothing is dropped.

    Attributes:
        parent: Parent in the dissemination tree.
    """

    def __init__(
        self,
        max_deltas: int = 4,
        min_change: float = 0.1,
        max_silence: timedelta = timedelta(seconds=4),
    ) -> None:
        self.parent: InstanceId | None = None
        self._max_deltas = max_deltas
        self._min_change = min_change
        self._max_silence = max_silence
        self._own: dict[AccountId, float] = {}
        self._children: dict[InstanceId, _Link] = {}
        self._up = _Link()
        self._fleet: dict[AccountId, float] = {}

    def observe_own(self, demand: Demand) -> None:
        """Replaces the demand at this entry, in requests per second."""
        self._own = {name: value for name, value in demand.items() if value}

    def replace_parent(self, parent: InstanceId | None) -> None:
        """Takes a new parent; the old demand of the fleet is kept until then.

        Without a parent the subtree is the fleet.
        """
        if parent == self.parent:
            return
        self.parent = parent
        self._up = _Link()
        if parent is None:
            self._fleet = {}

    def observe_child(
        self, child: InstanceId, update: DemandUpdate, elapsed: timedelta
    ) -> None:
        """Takes the update of a child's heartbeat.

        Args:
            child: Who sent the heartbeat.
            update: The demand of its subtree.
            elapsed: Time since boot.
        """
        if child != self.parent:
            self._children.setdefault(child, _Link()).observe(update, elapsed)

    def observe_parent(
        self, peer: InstanceId, update: DemandUpdate, elapsed: timedelta
    ) -> None:
        """Takes the update of a response to a heartbeat.

        A late response of a former parent is ignored; counted as demand of a
        child, it would add the whole fleet to the subtree.
        """
        if peer == self.parent:
            self._up.observe(update, elapsed)
            self._fleet = self._up.received

    def drop_silent(self, elapsed: timedelta) -> None:
        """Drops children that sent nothing for max_silence."""
        self._children = {
            name: link
            for name, link in self._children.items()
            if elapsed - link.received_at <= self._max_silence
        }

    def sum_subtree(self) -> dict[AccountId, float]:
        """Returns the demand of this entry and its children."""
        sums = dict(self._own)
        for link in self._children.values():
            for account, value in link.received.items():
                sums[account] = sums.get(account, 0.0) + value
        return sums

    def sum_fleet(self) -> dict[AccountId, float]:
        """Returns the demand of the fleet, at least that of the subtree."""
        sums = self.sum_subtree()
        for account, value in self._fleet.items():
            sums[account] = max(value, sums.get(account, 0.0))
        return sums

    def choose(self, peer: InstanceId) -> DemandUpdate:
        """Returns the next update to the parent or to a child."""
        if peer == self.parent:
            link, values = self._up, self.sum_subtree()
        else:
            link = self._children.setdefault(peer, _Link())
            values = self.sum_fleet()
        return link.choose(values, self._max_deltas, self._min_change)
