"""Requests, candidates, reports and the shape of a routing policy."""

import dataclasses
from collections.abc import Callable
from datetime import datetime, timedelta

from chicoryplank.ids import InstanceId, ZoneId


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """What a policy knows of a request.

    Attributes:
        prefix: Digest of the prompt prefix; empty if there is no affinity.
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
        role: Role of the engine, for example "prefill"; empty if it has all.
        adapters: Adapters that the engine has loaded.
        leaving: Whether it drains; it is never chosen then.
        capacity: Capacity relative to a normal replica.
        joined_at: When it entered service, for the slow start; None if it was
            in service before this process started.
    """

    instance: InstanceId
    zone: ZoneId
    role: str = ""
    adapters: frozenset[str] = frozenset()
    leaving: bool = False
    capacity: float = 1.0
    joined_at: datetime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server as it was some time ago.

    Attributes:
        instance: The backend server.
        running: Requests in the batch.
        queued: Requests that wait for the batch.
        received_at: When this process received the report.
        age: Age of the figures at that moment.
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
    """Change of an engine's prefix cache, possibly late.

    Attributes:
        instance: The backend server.
        sequence: Increases by one with each event of the instance; a jump
            means that events were lost.
        received_at: When this process received the event.
        stored: Digests of prefixes that entered the cache.
        removed: Digests of prefixes that left it.
    """

    instance: InstanceId
    sequence: int
    received_at: datetime
    stored: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Output of a backend server arrived, for any request.

    Attributes:
        instance: The backend server.
        received_at: When the output arrived.
    """

    instance: InstanceId
    received_at: datetime


Report = LoadReport | CacheEvent | Progress


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A policy as functions over state that it keeps to itself.

    Attributes:
        choose: Takes (request, candidates, now) and returns the replica, or
            None if no candidate can take the request. The candidates are one
            tuple that the caller replaces when it changes, so that the policy
            may keep an index of it.
        observe: Takes a report.
        begin: Takes (instance, cost, now) when an attempt starts; the cost is
            relative to a normal request.
        end: Takes (instance, cost, now, succeeded) when the attempt ends, with
            the cost given to begin; succeeded is False if the replica failed,
            None if the outcome says nothing about it, as when a caller left.
    """

    choose: Callable[
        [RoutingRequest, tuple[Candidate, ...], datetime], InstanceId | None
    ]
    observe: Callable[[Report], None]
    begin: Callable[[InstanceId, float, datetime], None]
    end: Callable[[InstanceId, float, datetime, bool | None], None]


def is_eligible(request: RoutingRequest, candidate: Candidate) -> bool:
    """Tells whether a candidate may serve a request at all."""
    return (
        not candidate.leaving
        and candidate.role in ("", request.role or candidate.role)
        and (not request.adapter or request.adapter in candidate.adapters)
        and candidate.instance not in request.excluded
    )
