"""Request demand per client account, aggregated over the dissemination tree.

Each entry sends its parent the total demand of its subtree and receives the
total demand of all entries in the response. Subtree totals are sent only to
parents, and parent links form no cycle. Entries whose member lists differ may
therefore count some demand twice for a while, but the error cannot grow from
round to round. A message carries only the accounts whose demand has changed.
"""

import dataclasses
import heapq
from collections.abc import Mapping
from datetime import timedelta

from chicoryplank.ids import AccountId, InstanceId

Demand = Mapping[AccountId, float]


@dataclasses.dataclass(frozen=True, slots=True)
class DemandUpdate:
    """Changes in demand carried by a heartbeat or by its response.

    Attributes:
        number: Sequence number of the update; it increases with each update
            that one peer sends to the other.
        acknowledged: Number of the last update received from the peer; 0 if
            none was received, which requests a full update.
        is_full: Whether the update replaces all earlier values, so that an
            account absent from changes has no demand.
        changes: New demand per account, in requests or tokens per second; 0
            if the account has no demand any more.
    """

    number: int
    acknowledged: int
    is_full: bool
    changes: Demand


class _PeerState:
    """Demand values exchanged with one peer.

    Attributes:
        received: Demand values that the peer has reported.
        received_at: Boot time of the last update from the peer.
    """

    def __init__(self) -> None:
        self.received: dict[AccountId, float] = {}
        self.received_at = timedelta()
        self._received_number = 0
        self._number = 0
        # Values that the peer has acknowledged; None until it has received a
        # full update.
        self._acknowledged: dict[AccountId, float] | None = None
        # Accounts sent in updates that the peer has not acknowledged. The peer
        # may or may not have received these values.
        self._unacknowledged: set[AccountId] = set()
        self._pending: DemandUpdate | None = None

    def make_update(
        self, values: Demand, max_deltas: int, min_change: float
    ) -> DemandUpdate:
        """Returns the next update that brings the peer closer to values."""
        self._number += 1
        if self._acknowledged is None:
            changes = dict(values)
        else:
            changes = _find_changes(
                values, self._acknowledged, max_deltas, min_change
            )
            for account in self._unacknowledged:
                changes[account] = values.get(account, 0.0)
        self._unacknowledged.update(changes)
        self._pending = DemandUpdate(
            self._number,
            self._received_number,
            self._acknowledged is None,
            changes,
        )
        return self._pending

    def observe(self, update: DemandUpdate, elapsed: timedelta) -> None:
        """Applies an update from the peer and the acknowledgement in it."""
        self.received_at = elapsed
        self._observe_acknowledgement(update.acknowledged)
        if update.is_full:
            self.received = {}
            if self._received_number > update.number:
                # The numbers started again: the peer has restarted and has lost
                # the values it had acknowledged.
                self._acknowledged = None
        elif self._received_number == 0:
            return
        self._received_number = update.number
        _merge(self.received, update.changes)

    def _observe_acknowledgement(self, number: int) -> None:
        pending = self._pending
        if number == 0:
            self._acknowledged = None
            self._unacknowledged.clear()
        if pending is None or pending.number != number:
            return
        if pending.is_full or self._acknowledged is None:
            self._acknowledged = {}
        _merge(self._acknowledged, pending.changes)
        self._unacknowledged.clear()
        self._pending = None


def _find_changes(
    values: Demand, known: Demand, max_deltas: int, min_change: float
) -> dict[AccountId, float]:
    changes = []
    for account, value in values.items():
        previous = known.get(account, 0.0)
        change = abs(value - previous)
        if change > min_change * value or change > min_change * previous:
            changes.append((change, account))
    # The end of an account's demand is a change whatever min_change is,
    # since it frees a share of the account's limit.
    ended = known.keys() - values.keys()
    changes.extend((known[account], account) for account in ended)
    largest = heapq.nlargest(max_deltas, changes)
    return {account: values.get(account, 0.0) for _, account in largest}


def _merge(values: dict[AccountId, float], changes: Demand) -> None:
    values.update(changes)
    for account, value in changes.items():
        if not value:
            del values[account]


class DemandAggregator:
    """Aggregates the demand of this entry, its subtree and all entries.

    The first update to a peer is full and takes 14 KB for 900 accounts. Later
    updates contain only the accounts with the largest changes.

    Args:
        max_deltas: Maximum number of changed accounts in one update.
        min_change: Smallest relative change of an account's demand that is
            sent.
        child_timeout: Time after which a child that has sent no update is
            removed.

    Attributes:
        parent: Parent in the dissemination tree; None at the root.
    """

    def __init__(
        self,
        max_deltas: int = 4,
        min_change: float = 0.1,
        child_timeout: timedelta = timedelta(seconds=4),
    ) -> None:
        self.parent: InstanceId | None = None
        self._max_deltas = max_deltas
        self._min_change = min_change
        self._child_timeout = child_timeout
        self._own_demand: dict[AccountId, float] = {}
        self._children: dict[InstanceId, _PeerState] = {}
        self._parent_state = _PeerState()
        self._fleet_demand: dict[AccountId, float] = {}

    def set_own_demand(self, demand: Demand) -> None:
        """Replaces the demand that arrives at this entry itself."""
        self._own_demand = {
            name: value for name, value in demand.items() if value
        }

    def set_parent(self, parent: InstanceId | None) -> None:
        """Sets the parent in the dissemination tree.

        The last known fleet demand stays in use until the new parent responds.
        Without a parent this entry is the root, whose subtree is the fleet.
        """
        if parent == self.parent:
            return
        self.parent = parent
        self._parent_state = _PeerState()
        if parent is None:
            self._fleet_demand = {}

    def observe_child(
        self, child: InstanceId, update: DemandUpdate, elapsed: timedelta
    ) -> None:
        """Applies the update in a child's heartbeat.

        Args:
            child: Entry that sent the heartbeat.
            update: Changes in the demand of the child's subtree.
            elapsed: Time since boot.
        """
        if child != self.parent:
            self._children.setdefault(child, _PeerState()).observe(
                update, elapsed
            )

    def observe_parent(
        self, peer: InstanceId, update: DemandUpdate, elapsed: timedelta
    ) -> None:
        """Applies the update in the parent's response to a heartbeat.

        A late response from a former parent is ignored. If it were counted as
        the demand of a child, it would add the demand of the whole fleet to
        this subtree.
        """
        if peer == self.parent:
            self._parent_state.observe(update, elapsed)
            self._fleet_demand = self._parent_state.received

    def drop_silent_children(self, elapsed: timedelta) -> None:
        """Removes children that have sent no update within child_timeout."""
        self._children = {
            name: state
            for name, state in self._children.items()
            if elapsed - state.received_at <= self._child_timeout
        }

    def sum_subtree(self) -> dict[AccountId, float]:
        """Returns the total demand of this entry and its subtree."""
        sums = dict(self._own_demand)
        for state in self._children.values():
            for account, value in state.received.items():
                sums[account] = sums.get(account, 0.0) + value
        return sums

    def sum_fleet(self) -> dict[AccountId, float]:
        """Returns the total demand of all entries.

        The total of the parent lags behind, so each value is at least that of
        this subtree.
        """
        sums = self.sum_subtree()
        for account, value in self._fleet_demand.items():
            sums[account] = max(value, sums.get(account, 0.0))
        return sums

    def make_update(self, peer: InstanceId) -> DemandUpdate:
        """Returns the next update for the parent or for a child.

        The parent receives subtree totals, a child receives fleet totals.
        """
        if peer == self.parent:
            state, values = self._parent_state, self.sum_subtree()
        else:
            state = self._children.setdefault(peer, _PeerState())
            values = self.sum_fleet()
        return state.make_update(values, self._max_deltas, self._min_change)
