"""Members, dissemination of versions and demand, addresses for callers."""

from chicoryplank.membership._demand import DemandSums, DemandUpdate
from chicoryplank.membership._members import (
    Addresses,
    Failed,
    Heard,
    InstanceList,
    Membership,
)
from chicoryplank.membership._parameters import MembershipParameters
from chicoryplank.membership._tree import Links, choose_links, choose_sources
from chicoryplank.membership._versions import IsolationRule, VersionGossip

__all__ = [
    "Addresses",
    "DemandSums",
    "DemandUpdate",
    "Failed",
    "Heard",
    "InstanceList",
    "IsolationRule",
    "Links",
    "Membership",
    "MembershipParameters",
    "VersionGossip",
    "choose_links",
    "choose_sources",
]
