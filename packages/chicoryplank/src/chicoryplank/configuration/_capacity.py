"""Comparison of the needed and the available capacity of model groups."""

import dataclasses
from collections.abc import Iterable, Mapping

from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import InstanceId, ModelGroupId, ZoneId


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Instances that can take new work, according to the instance list.

    Attributes:
        live: Live instances by deployment, without those that the platform is
            stopping. Instances that operators drain or whose zone is evacuated
            are included and are subtracted when the capacity is compared.
        zones: Zones of the live instances; one without a zone is not affected
            by evacuations.
    """

    live: Mapping[str, frozenset[InstanceId]]
    zones: Mapping[InstanceId, ZoneId] = dataclasses.field(default_factory=dict)

    def list_available(
        self, deployment: str, snapshot: Snapshot
    ) -> frozenset[InstanceId]:
        """Returns the instances of a deployment that get new requests.

        Args:
            deployment: Name of the deployment.
            snapshot: Version that lists the draining instances and the
                evacuated zones.
        """
        live = self.live.get(deployment, frozenset()) - snapshot.leaving
        return frozenset(
            instance
            for instance in live
            if self.zones.get(instance) not in snapshot.evacuated
        )


@dataclasses.dataclass(frozen=True, slots=True)
class GroupNeed:
    """Needed and available capacity of a model group.

    Attributes:
        group: Id of the model group.
        needed_replicas: Number of replicas in the configuration.
        available_replicas: Number of live instances that are neither draining
            nor in an evacuated zone.
        needed_tokens_per_s: Sum of the token rate limits of the accounts that
            may use the group.
        available_tokens_per_s: Total token rate of the available replicas.
    """

    group: ModelGroupId
    needed_replicas: int
    available_replicas: int
    needed_tokens_per_s: float
    available_tokens_per_s: float

    @property
    def missing_replicas(self) -> int:
        """Number of replicas that are needed but not available."""
        return max(0, self.needed_replicas - self.available_replicas)

    @property
    def missing_tokens_per_s(self) -> float:
        """Token rate that is needed but not available."""
        return max(0.0, self.needed_tokens_per_s - self.available_tokens_per_s)

    def __str__(self) -> str:
        return (
            f"group {self.group} needs {self.needed_replicas} replicas and "
            f"{self.needed_tokens_per_s:g} tokens/s, available are "
            f"{self.available_replicas} replicas and "
            f"{self.available_tokens_per_s:g} tokens/s"
        )


class InsufficientCapacityError(ChicoryplankError):
    """An intent needs more capacity than is available.

    Args:
        shortfalls: Model groups whose available capacity is insufficient.
    """

    def __init__(self, shortfalls: tuple[GroupNeed, ...]) -> None:
        lines = ["the intent needs more capacity than is available"]
        lines += [f"  {need}" for need in shortfalls]
        super().__init__(ErrorCode.INSUFFICIENT_CAPACITY, "\n".join(lines))
        self.shortfalls = shortfalls


def compute_needs(
    snapshot: Snapshot, capacity: Capacity
) -> tuple[GroupNeed, ...]:
    """Returns the needed and available capacity of each group, ordered by id.

    The limit of an account counts in full in each of its groups, because the
    account may send all its requests to any one of them.
    """
    tokens = dict.fromkeys(snapshot.groups, 0.0)
    for account in snapshot.accounts.values():
        for group in account.groups:
            if group in tokens:
                tokens[group] += account.tokens_per_s
    needs = []
    for name in sorted(snapshot.groups):
        group = snapshot.groups[name]
        available = len(capacity.list_available(name, snapshot))
        needs.append(
            GroupNeed(
                group=name,
                needed_replicas=group.replicas,
                available_replicas=available,
                needed_tokens_per_s=tokens[name],
                available_tokens_per_s=available * group.tokens_per_s,
            )
        )
    return tuple(needs)


def find_shortfalls(
    old: Iterable[GroupNeed], new: Iterable[GroupNeed]
) -> tuple[GroupNeed, ...]:
    """Returns the groups whose shortfall a change creates or increases.

    A group that already lacks capacity, for example during the loss of an
    availability zone, does not block changes that keep or reduce its shortfall.
    """
    previous_needs = {need.group: need for need in old}
    increased = []
    for need in new:
        previous = previous_needs.get(need.group)
        replicas = 0 if previous is None else previous.missing_replicas
        tokens = 0.0 if previous is None else previous.missing_tokens_per_s
        if (
            need.missing_replicas > replicas
            or need.missing_tokens_per_s > tokens
        ):
            increased.append(need)
    return tuple(increased)
