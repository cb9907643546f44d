"""Routing policies, which choose a replica for each request."""

from chicoryplank.routing._balanced import make_balanced_policy
from chicoryplank.routing._baselines import (
    make_least_load_policy,
    make_round_robin_policy,
)
from chicoryplank.routing._parameters import RoutingParameters
from chicoryplank.routing._subset import choose_subset
from chicoryplank.routing._types import (
    CacheEvent,
    Candidate,
    LoadReport,
    Policy,
    Progress,
    Report,
    RoutingRequest,
)

__all__ = [
    "CacheEvent",
    "Candidate",
    "LoadReport",
    "Policy",
    "Progress",
    "Report",
    "RoutingParameters",
    "RoutingRequest",
    "choose_subset",
    "make_balanced_policy",
    "make_least_load_policy",
    "make_round_robin_policy",
]
