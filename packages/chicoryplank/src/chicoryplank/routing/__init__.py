"""Choice of a replica for each request."""

from chicoryplank.routing._balanced import make_balanced
from chicoryplank.routing._baselines import (
    make_least_reported,
    make_round_robin,
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
    "make_balanced",
    "make_least_reported",
    "make_round_robin",
]
