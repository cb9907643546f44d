"""Parameters of membership; docs/membership.md explains each."""

import dataclasses
from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipParameters:
    """Parameters of membership and dissemination.

    Attributes:
        fan_out: Most children of a node in the dissemination tree.
        watchers_per_zone: Entries of each zone that watch the store.
        heartbeat_interval: Time between heartbeats to the parent.
        heartbeat_timeout: Time after which a heartbeat counts as failed.
        max_failures: Failed heartbeats in a row after which a peer counts as
            unreachable.
        unreachable_for: How long an unreachable peer is avoided.
        max_absence: How long a member counts after it was last listed or
            heard.
        max_members: Entries that are kept.
        address_ttl: How long callers may cache addresses.
        max_addresses: Addresses in one answer.
        max_deltas: Accounts in one heartbeat.
        min_change: Relative change of an account's demand that is sent.

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
