"""The configuration in force, as all processes read it."""

import dataclasses
import enum
from collections.abc import Mapping

from chicoryplank.ids import (
    AccountId,
    ConfigVersion,
    InstanceId,
    ModelGroupId,
    ServiceId,
)


class Priority(enum.IntEnum):
    """Priority class of a request; a lower value goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Objective(enum.Enum):
    """What rebalancing of a model group favours."""

    SKEW = "skew"
    COST = "cost"


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfiguration:
    """A client account.

    Attributes:
        token_sha256: Hex digest of the account's bearer token.
        requests_per_s: Rate limit.
        tokens_per_s: Rate limit of generated tokens.
        priority: Best priority class that its requests may ask for.
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
        models: Model names by which callers ask for the group.
        version: Version of the model that the engines must serve.
        replicas: Number of replicas that the group needs.
        tokens_per_s: Capacity of one replica.
        objective: What rebalancing favours.
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
    """A plain service beside the engines.

    Attributes:
        deployment: Deployment name in the instance list.
        non_repeatable_paths: Path prefixes whose calls are non-idempotent.
    """

    deployment: str
    non_repeatable_paths: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One version of the whole configuration.

    Attributes:
        version: Increases by one with each confirmed change; 0 is empty.
        accounts: Client accounts by id.
        groups: Model groups by id; the id is also the deployment name in the
            instance list.
        services: Plain services by id.
        leaving: Instances that operators are draining.
    """

    version: ConfigVersion
    accounts: Mapping[AccountId, AccountConfiguration]
    groups: Mapping[ModelGroupId, GroupConfiguration]
    services: Mapping[ServiceId, ServiceConfiguration]
    leaving: frozenset[InstanceId] = frozenset()
