"""Cluster membership, version and demand dissemination, caller addresses."""

from chicoryplank.membership._demand import DemandAggregator, DemandUpdate
from chicoryplank.membership._members import (
    Addresses,
    CallFailed,
    InstanceList,
    Membership,
    MessageReceived,
)
from chicoryplank.membership._parameters import MembershipParameters
from chicoryplank.membership._tree import (
    TreePosition,
    choose_tree_position,
    choose_version_sources,
)
from chicoryplank.membership._versions import IsolationGuard, VersionTracker

__all__ = [
    "Addresses",
    "CallFailed",
    "DemandAggregator",
    "DemandUpdate",
    "InstanceList",
    "IsolationGuard",
    "Membership",
    "MembershipParameters",
    "MessageReceived",
    "TreePosition",
    "VersionTracker",
    "choose_tree_position",
    "choose_version_sources",
]
