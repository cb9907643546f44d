"""Comparison of the capacity that groups need with what is live."""

import dataclasses
from collections.abc import Iterable, Mapping

from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import InstanceId, ModelGroupId


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Instances that take work, as far as the instance list knows.

    Attributes:
        live: Live instances by deployment, without those that the platform
            stops. Instances that operators drain are subtracted from it.
    """

    live: Mapping[str, frozenset[InstanceId]]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupNeed:
    """Capacity that a model group needs and has.

    Attributes:
        group: The model group.
        needed_replicas: Replicas that the configuration asks for.
        available_replicas: Live instances that are not leaving.
        needed_tokens_per_s: Sum of the limits of the accounts of the group.
        available_tokens_per_s: Capacity of the available replicas.
    """

    group: ModelGroupId
    needed_replicas: int
    available_replicas: int
    needed_tokens_per_s: float
    available_tokens_per_s: float

    @property
    def missing_replicas(self) -> int:
        """Replicas that do not exist."""
        return max(0, self.needed_replicas - self.available_replicas)

    @property
    def missing_tokens_per_s(self) -> float:
        """Capacity that does not exist."""
        return max(0.0, self.needed_tokens_per_s - self.available_tokens_per_s)

    def __str__(self) -> str:
        return (
            f"group {self.group} needs {self.needed_replicas} replicas and "
            f"{self.needed_tokens_per_s:g} tokens/s, available are "
            f"{self.available_replicas} replicas and "
            f"{self.available_tokens_per_s:g} tokens/s"
        )


class InsufficientCapacityError(ChicoryplankError):
    """An intent asks for capacity that does not exist.

    Args:
        shortfalls: The groups that lack capacity.
    """

    def __init__(self, shortfalls: tuple[GroupNeed, ...]) -> None:
        lines = ["the intent asks for capacity that does not exist"]
        lines += [f"  {need}" for need in shortfalls]
        super().__init__(ErrorCode.INSUFFICIENT_CAPACITY, "\n".join(lines))
        self.shortfalls = shortfalls


def compute_needs(
    snapshot: Snapshot, capacity: Capacity
) -> tuple[GroupNeed, ...]:
    """Returns need and supply of each group, ordered by group.

    An account counts in full in each of its groups, because its limit lets
    it send all its requests to any one of them.
    """
    tokens = dict.fromkeys(snapshot.groups, 0.0)
    for account in snapshot.accounts.values():
        for group in account.groups:
            if group in tokens:
                tokens[group] += account.tokens_per_s
    needs = []
    for name in sorted(snapshot.groups):
        group = snapshot.groups[name]
        live = capacity.live.get(name, frozenset())
        available = len(live - snapshot.leaving)
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
    """Returns the groups whose shortfall a change creates or enlarges.

    A group that already lacks capacity, for example during the loss of a
    zone, does not block changes that leave it as it is or help it.
    """
    before = {need.group: need for need in old}
    found = []
    for need in new:
        known = before.get(need.group)
        replicas = 0 if known is None else known.missing_replicas
        tokens = 0.0 if known is None else known.missing_tokens_per_s
        if (
            need.missing_replicas > replicas
            or need.missing_tokens_per_s > tokens
        ):
            found.append(need)
    return tuple(found)
