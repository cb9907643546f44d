"""Settings of the entry and agent daemons."""

import dataclasses
import enum
from datetime import timedelta

from chicoryplank.ids import InstanceId, ZoneId


class SettingsKind(enum.Enum):
    """Daemon that a settings file configures."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Connection to the platform's key-value service."""

    address: str
    timeout: timedelta = timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListSettings:
    """Connection to the platform's instance list."""

    address: str
    poll_interval: timedelta = timedelta(seconds=1)
    timeout: timedelta = timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on the size, duration and number of requests.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        max_header_bytes: Maximum total size of the headers of a request.
        max_requests: Maximum number of requests in progress in one process.
        max_buffer_bytes: Maximum size of the response data buffered for a
            client that has not read it yet.
        max_tombstones: Maximum number of attempts of which an agent keeps a
            record, in progress or ended.
        default_timeout: Timeout of a request that does not specify one.
        max_timeout: Longest timeout that a caller may request.
        body_timeout: Time within which a caller must have sent the body.
        max_headers: Maximum number of headers of a request.
        max_connections: Maximum number of open connections of one process.
        header_timeout: Time within which a caller must have sent the
            headers.
        write_timeout: Longest wait for a caller that does not read its
            response.
        memory_bytes: Memory that the process may use, from which the bound on
            what callers take follows; 0 for the memory of the machine.
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
    memory_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry daemon.

    Attributes:
        instance: Id of this instance.
        zone: Availability zone of this instance.
        caller_address: IP address and port where callers connect.
        control_address: IP address and port where other entries connect.
        store: Connection to the key-value service.
        instance_list: Connection to the instance list.
        limits: Bounds on requests.
        address_ttl: How long callers may cache the response of
            /v1/addresses.
        drain_timeout: Longest wait for requests in progress at a planned stop.
        max_isolation: Time without contact to the store or any peer after
            which new requests are refused.
        max_clock_skew: Assumed bound on the difference between the clocks of
            two machines.
        controller_lease: Duration of the lease of a group's controller.
        shared_secret: Secret by which entries and agents authenticate each
            other; empty disables authentication.
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
        listen_address: IP address and port where entries connect.
        backend_address: IP address and port of the backend server.
        store: Connection to the key-value service.
        limits: Bounds on requests.
        flush_interval: Longest time that output is buffered before it is sent
            to an entry.
        grace_period: How long an attempt is kept after the connection to its
            entry is lost.
        drain_timeout: Longest wait for attempts in progress at a planned stop.
        max_clock_skew: Assumed bound on the difference between the clocks of
            two machines.
        shared_secret: Secret by which entries and agents authenticate each
            other; empty disables authentication.
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
