"""Immutable snapshot of one version of the configuration."""

import dataclasses
import enum
from collections.abc import Mapping

from chicoryplank.ids import (
    AccountId,
    ConfigVersion,
    InstanceId,
    ModelGroupId,
    ServiceId,
    ZoneId,
)


class Priority(enum.IntEnum):
    """Priority class of a request; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Objective(enum.Enum):
    """Objective that the rebalancing of a model group optimizes."""

    SKEW = "skew"
    COST = "cost"


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfiguration:
    """A client account.

    Attributes:
        token_sha256: Hexadecimal SHA-256 digest of the bearer token.
        requests_per_s: Rate limit of requests.
        tokens_per_s: Rate limit of generated tokens.
        priority: Highest priority class that requests may ask for.
        groups: Model groups that serve the account.
        services: Plain services that the account may call.
    """

    token_sha256: str
    requests_per_s: float
    tokens_per_s: float
    priority: Priority
    groups: frozenset[ModelGroupId]
    services: frozenset[ServiceId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupConfiguration:
    """A model group.

    Attributes:
        models: Model names that route a request to the group.
        version: Version of the model that the engines must serve.
        replicas: Number of replicas that the group needs.
        tokens_per_s: Generated tokens per second of one replica.
        objective: Objective that rebalancing optimizes.
        checks_fencing: Whether the engines reject stale fencing tokens.
    """

    models: tuple[str, ...]
    version: str
    replicas: int
    tokens_per_s: float
    objective: Objective = Objective.SKEW
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfiguration:
    """A plain service, whose backend servers are not model engines.

    Attributes:
        deployment: Deployment name in the instance list.
        non_repeatable_paths: Path prefixes of calls that are not idempotent.
    """

    deployment: str
    non_repeatable_paths: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One version of the complete configuration.

    Attributes:
        version: Number that each confirmed change increases by one; the
            configuration of version 0 is empty.
        accounts: Client accounts by id.
        groups: Model groups by id; the id is also the deployment name in the
            instance list.
        services: Plain services by id.
        leaving: Draining instances, which get no new work.
        evacuated: Zones whose replicas get no new requests.
    """

    version: ConfigVersion
    accounts: Mapping[AccountId, AccountConfiguration]
    groups: Mapping[ModelGroupId, GroupConfiguration]
    services: Mapping[ServiceId, ServiceConfiguration]
    leaving: frozenset[InstanceId] = frozenset()
    evacuated: frozenset[ZoneId] = frozenset()
