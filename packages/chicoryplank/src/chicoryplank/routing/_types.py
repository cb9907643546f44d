"""Data types and interface of the routing policies."""

import dataclasses
from collections.abc import Callable
from datetime import datetime, timedelta

from chicoryplank.ids import InstanceId, ZoneId


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Properties of a request that matter for routing.

    Attributes:
        prefix: Digest of the prompt prefix; empty for no prefix affinity.
        role: Role that the replica must have; empty for any.
        adapter: Adapter that the replica must have loaded; empty for none.
        excluded: Replicas that must not be chosen, such as those that earlier
            attempts used.
    """

    prefix: bytes = b""
    role: str = ""
    adapter: str = ""
    excluded: frozenset[InstanceId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica of the deployment that serves a request.

    Attributes:
        instance: Id of the backend server.
        zone: Availability zone.
        role: Role of the engine, for example "prefill"; empty for all roles.
        adapters: Adapters that the engine has loaded.
        leaving: Whether it drains; a draining replica is never chosen.
        capacity: Capacity relative to a normal replica.
        joined_at: When it entered service, for the slow start; None if it was
            in service before this process started.
        started_ms: Unix time of the start of its process in milliseconds; 0 if
            unknown. The state of a replica ends with its process.
    """

    instance: InstanceId
    zone: ZoneId
    role: str = ""
    adapters: frozenset[str] = frozenset()
    leaving: bool = False
    capacity: float = 1.0
    joined_at: datetime | None = None
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server at an earlier time.

    Attributes:
        instance: The backend server.
        running: Requests in the batch.
        queued: Requests that wait for the batch.
        received_at: When this process received the report.
        age: Age of the measurement when it was received.
        output_count: Output messages since the backend server started; a
            change shows that it makes progress on the requests of any entry.
            0 if unknown.
    """

    instance: InstanceId
    running: int
    queued: int
    received_at: datetime
    age: timedelta = timedelta()
    output_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of an engine's prefix cache; it may arrive late.

    Attributes:
        instance: The backend server.
        sequence: Increases by one with each event of the instance; a jump
            means that events were lost.
        received_at: When this process received the event.
        stored: Digests of prefixes that were added to the cache.
        removed: Digests of prefixes that were evicted.
    """

    instance: InstanceId
    sequence: int
    received_at: datetime
    stored: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Output of a backend server for any request.

    Attributes:
        instance: The backend server.
        received_at: When the output arrived.
    """

    instance: InstanceId
    received_at: datetime


Report = LoadReport | CacheEvent | Progress


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Routing policy, as functions that share private state.

    Attributes:
        choose: Takes (request, candidates, now) and returns the replica, or
            None if no candidate can serve the request. The caller passes the
            same tuple object until the candidates change, so that the policy
            can cache an index of it.
        observe: Takes a report about a replica.
        begin: Takes (instance, cost, now) when an attempt starts; a request of
            normal cost has the cost 1.
        end: Takes (instance, cost, now, succeeded) when the attempt ends, with
            the cost given to begin; succeeded is False if the replica failed,
            None if the outcome says nothing about it, such as when the caller
            disconnected.
    """

    choose: Callable[
        [RoutingRequest, tuple[Candidate, ...], datetime], InstanceId | None
    ]
    observe: Callable[[Report], None]
    begin: Callable[[InstanceId, float, datetime], None]
    end: Callable[[InstanceId, float, datetime, bool | None], None]


def is_eligible(request: RoutingRequest, candidate: Candidate) -> bool:
    """Tells whether a candidate can serve a request, whatever its load."""
    return (
        not candidate.leaving
        and candidate.role in ("", request.role or candidate.role)
        and (not request.adapter or request.adapter in candidate.adapters)
        and candidate.instance not in request.excluded
    )
