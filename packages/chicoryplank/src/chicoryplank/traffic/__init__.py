"""Routes, services and replicas for forwarding plain HTTP requests."""

from chicoryplank.traffic._addresses import check_address
from chicoryplank.traffic._evacuations import ZoneEvacuations
from chicoryplank.traffic._model import (
    ClientLimits,
    EngineProfile,
    RequestKind,
    Route,
    Service,
    Share,
    TrafficConfiguration,
)
from chicoryplank.traffic._replicas import (
    ReplicaRecord,
    ReplicaRegistry,
    ReplicaState,
)
from chicoryplank.traffic._routes import RouteIndex, choose_service

__all__ = [
    "ClientLimits",
    "EngineProfile",
    "ReplicaRecord",
    "ReplicaRegistry",
    "ReplicaState",
    "RequestKind",
    "Route",
    "RouteIndex",
    "Service",
    "Share",
    "TrafficConfiguration",
    "ZoneEvacuations",
    "check_address",
    "choose_service",
]
