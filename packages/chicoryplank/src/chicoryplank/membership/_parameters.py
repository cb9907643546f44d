"""Parameters of membership; docs/membership.md explains each one."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipParameters:
    """Parameters of membership and dissemination.

    Attributes:
        fan_out: Maximum number of children of an entry in the dissemination
            tree.
        watchers_per_zone: Number of entries in each availability zone that
            watch the store.
        heartbeat_interval: Time between heartbeats to the parent.
        heartbeat_timeout: Time after which a heartbeat counts as failed.
        max_failures: Number of consecutive failed heartbeats after which a
            peer counts as unreachable.
        unreachable_for: How long an unreachable peer is avoided.
        max_absence: How long an unlisted entry remains a member after it was
            last in a list or sent a message.
        max_members: Maximum number of entries in the member list.
        address_ttl: How long callers may cache addresses.
        max_addresses: Maximum number of addresses returned to a caller.
        max_deltas: Maximum number of changed accounts in one heartbeat.
        min_change: Smallest relative change of an account's demand that is
            sent.

    Raises:
        ChicoryplankError: With INVALID_SETTINGS if a value is out of range.
    """

    fan_out: int = 8
    watchers_per_zone: int = 2
    heartbeat_interval: timedelta = timedelta(seconds=1)
    heartbeat_timeout: timedelta = timedelta(milliseconds=500)
    max_failures: int = 2
    unreachable_for: timedelta = timedelta(seconds=10)
    max_absence: timedelta = timedelta(seconds=30)
    max_members: int = 4_096
    address_ttl: timedelta = timedelta(seconds=5)
    max_addresses: int = 4
    max_deltas: int = 4
    min_change: float = 0.1

    def __post_init__(self) -> None:
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            zero = timedelta() if isinstance(value, timedelta) else 0
            if value <= zero:
                raise ChicoryplankError(
                    ErrorCode.INVALID_SETTINGS,
                    f"membership.{field.name}: {value} is not positive",
                )
        if self.fan_out < 2:
            raise ChicoryplankError(
                ErrorCode.INVALID_SETTINGS,
                f"membership.fan_out: {self.fan_out} is below 2",
            )
