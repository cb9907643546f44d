"""Demand of client accounts, summed along the dissemination tree.

Each entry sends its parent the demand of its subtree and gets back the demand
of the whole fleet. Sums flow upwards only along parents, which form no cycle,
so a difference of views counts demand twice for a while but cannot make it
grow. Messages carry new values of changed accounts only.
"""

from collections.abc import Mapping

from chicoryplank.ids import AccountId, InstanceId

Demand = Mapping[AccountId, float]


def _find_changes(
    values: Demand, known: Demand, max_deltas: int, min_change: float
) -> dict[AccountId, float]:
    changes = []
    for account in values.keys() | known.keys():
        value = values.get(account, 0.0)
        before = known.get(account, 0.0)
        change = abs(value - before)
        # A demand that ends is always sent, since it frees a share.
        if change > min_change * max(value, before) or (before and not value):
            changes.append((-change, account, value))
    changes.sort()
    return {account: value for _, account, value in changes[:max_deltas]}


def _merge(values: dict[AccountId, float], changes: Demand) -> None:
    values.update(changes)
    for account, value in changes.items():
        if not value:
            del values[account]


class DemandSums:
    """Own demand, that of the children, and that of the fleet.

    Args:
        max_deltas: Accounts in one message.
        min_change: Relative change that is worth a message.
    """

    def __init__(self, max_deltas: int = 4, min_change: float = 0.1) -> None:
        self._max_deltas = max_deltas
        self._min_change = min_change
        self._own: dict[AccountId, float] = {}
        self._children: dict[InstanceId, dict[AccountId, float]] = {}
        self._sent: dict[InstanceId, dict[AccountId, float]] = {}
        self._fleet: dict[AccountId, float] | None = None

    def observe_own(self, demand: Demand) -> None:
        """Replaces the demand at this entry, in requests per second."""
        self._own = {name: value for name, value in demand.items() if value}

    def observe_child(self, child: InstanceId, changes: Demand) -> None:
        """Takes changed sums of a child's subtree."""
        _merge(self._children.setdefault(child, {}), changes)

    def observe_parent(self, changes: Demand) -> None:
        """Takes changed demand of the fleet from the parent."""
        if self._fleet is None:
            self._fleet = {}
        _merge(self._fleet, changes)

    def forget(self, peer: InstanceId) -> None:
        """Drops a child, or a parent whose state is unknown from now on.

        If the parent is replaced, the fleet's demand is kept until the new
        parent states it.
        """
        self._children.pop(peer, None)
        self._sent.pop(peer, None)

    def sum_subtree(self) -> dict[AccountId, float]:
        """Returns the demand of this entry and its children."""
        sums = dict(self._own)
        for demand in self._children.values():
            for account, value in demand.items():
                sums[account] = sums.get(account, 0.0) + value
        return sums

    def sum_fleet(self) -> dict[AccountId, float]:
        """Returns the demand of the fleet, at least that of the subtree."""
        sums = self.sum_subtree()
        for account, value in (self._fleet or {}).items():
            sums[account] = max(value, sums.get(account, 0.0))
        return sums

    def choose(
        self, peer: InstanceId, *, upwards: bool
    ) -> dict[AccountId, float]:
        """Returns the changes for the next message to a peer.

        Args:
            peer: Parent or child.
            upwards: Whether the peer is the parent.

        Returns:
            New values of the accounts that changed most; 0 for demand that
            ended. They are repeated until acknowledge is called.
        """
        values = self.sum_subtree() if upwards else self.sum_fleet()
        known = self._sent.get(peer, {})
        return _find_changes(values, known, self._max_deltas, self._min_change)

    def acknowledge(self, peer: InstanceId, changes: Demand) -> None:
        """Records that a peer has received changes."""
        _merge(self._sent.setdefault(peer, {}), changes)
