"""Settings of the two daemons."""

import dataclasses
import enum
from datetime import timedelta

from chicoryplank.ids import InstanceId, ZoneId


class SettingsKind(enum.Enum):
    """Which daemon a settings file is for."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """How to reach the platform's key-value service."""

    address: str
    timeout: timedelta = timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListSettings:
    """How to reach the platform's instance list."""

    address: str
    poll_interval: timedelta = timedelta(seconds=1)
    timeout: timedelta = timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on size, time and count of requests.

    Attributes:
        max_body_bytes: Largest accepted request body.
        max_header_bytes: Largest accepted header block.
        max_requests: Requests in progress in one process.
        max_buffer_bytes: Unread answer bytes kept for one caller.
        max_tombstones: Attempts that an agent remembers as rejected.
        default_timeout: Deadline of a request that names none.
        max_timeout: Longest deadline that a caller may ask for.
        body_timeout: Time in which a caller must have sent its body.
        max_headers: Largest accepted number of headers.
        max_connections: Open connections of one process.
        header_timeout: Time in which a caller must have sent its headers.
        write_timeout: Longest wait for a caller that reads nothing.
    """

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16_384
    max_requests: int = 4_096
    max_buffer_bytes: int = 1_048_576
    max_tombstones: int = 65_536
    default_timeout: timedelta = timedelta(seconds=60)
    max_timeout: timedelta = timedelta(seconds=600)
    body_timeout: timedelta = timedelta(seconds=10)
    max_headers: int = 100
    max_connections: int = 8_192
    header_timeout: timedelta = timedelta(seconds=10)
    write_timeout: timedelta = timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry daemon.

    Attributes:
        instance: Id of this instance.
        zone: Availability zone of this instance.
        caller_address: Host and port where callers connect.
        control_address: Host and port for other entries.
        store: Key-value service.
        instance_list: Instance list.
        limits: Bounds on requests.
        address_ttl: How long callers may cache the answer to /v1/addresses.
        drain_timeout: Longest wait for requests in progress at a planned stop.
        max_isolation: Time without store and peers after which new requests
            are rejected.
        max_clock_skew: Assumed bound on clock differences.
        controller_lease: Duration of the lease of a group's controller.
        shared_secret: What entries and agents present to each other; empty
            for no check.
    """

    instance: InstanceId
    zone: ZoneId
    caller_address: str
    control_address: str
    store: StoreSettings
    instance_list: InstanceListSettings
    limits: RequestLimits = RequestLimits()
    address_ttl: timedelta = timedelta(seconds=5)
    drain_timeout: timedelta = timedelta(seconds=600)
    max_isolation: timedelta = timedelta(seconds=60)
    max_clock_skew: timedelta = timedelta(milliseconds=500)
    controller_lease: timedelta = timedelta(seconds=10)
    shared_secret: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes:
        instance: Id of this instance.
        zone: Availability zone of this instance.
        deployment: Model group or service of the backend server.
        listen_address: Host and port where entries connect.
        backend_address: Host and port of the backend server.
        store: Key-value service.
        limits: Bounds on requests.
        flush_interval: Longest wait before output is sent to an entry.
        grace_period: How long attempts are kept after their entry's
            connection broke.
        drain_timeout: Longest wait for attempts in progress at a planned stop.
        max_clock_skew: Assumed bound on clock differences.
        shared_secret: What entries and agents present to each other; empty
            for no check.
    """

    instance: InstanceId
    zone: ZoneId
    deployment: str
    listen_address: str
    backend_address: str
    store: StoreSettings
    limits: RequestLimits = RequestLimits()
    flush_interval: timedelta = timedelta(milliseconds=8)
    grace_period: timedelta = timedelta(seconds=10)
    drain_timeout: timedelta = timedelta(seconds=600)
    max_clock_skew: timedelta = timedelta(milliseconds=500)
    shared_secret: str = dataclasses.field(default="", repr=False)
