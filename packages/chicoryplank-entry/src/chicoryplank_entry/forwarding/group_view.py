"""What a controller reads from the ranks of a group, and makes of it."""

import asyncio
import collections
import dataclasses
from collections.abc import Mapping

from chicoryplank.ids import InstanceId, RankId
from chicoryplank.orders import (
    RankCounts,
    RankPort,
    RankState,
    RankUnreachableError,
)
from chicoryplank.rebalance import (
    JointDecision,
    JointLimits,
    JointSlots,
    improve_joint_map,
    run_cooperatively,
)
from chicoryplank.traffic import EngineProfile

# Time of a pass before two were seen, in seconds; a pass of a busy group whose
# map does not fit its demand took about so long on the users' platform.
_USUAL_PASS_S = 0.08


@dataclasses.dataclass(slots=True)
class GroupView:
    """What the controller knows of a group in one epoch.

    Attributes:
        epoch: Epoch of the group.
        slots: Map in force, by set and rank.
        version: Its version.
        pending_version: Version of a change that was begun; None for none.
        pending_slots: Map of that change.
        changed_s: When the last change ended.
        passes: Times and numbers of the passes seen last.
    """

    epoch: int
    slots: JointSlots
    version: int
    pending_version: int | None = None
    pending_slots: JointSlots = ()
    changed_s: float = float("-inf")
    passes: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=4)
    )


RankPorts = dict[RankId, RankPort]


async def read_states(
    ports: Mapping[InstanceId, RankPort],
) -> dict[InstanceId, RankState]:
    """Returns the states of the ranks that answer."""

    async def read(port: RankPort) -> RankState | None:
        try:
            return await port.read_state()
        except RankUnreachableError:
            return None

    found = await asyncio.gather(*map(read, ports.values()))
    return {
        instance: state
        for instance, state in zip(ports, found, strict=True)
        if state is not None
    }


async def read_counts(
    ports: RankPorts, with_experts: bool
) -> dict[RankId, RankCounts]:
    """Returns the counts of the ranks that answer."""

    async def read(port: RankPort) -> RankCounts | None:
        try:
            return await port.read_counts(with_experts)
        except RankUnreachableError:
            return None

    found = await asyncio.gather(*map(read, ports.values()))
    return {
        rank: counts
        for rank, counts in zip(ports, found, strict=True)
        if counts is not None
    }


def make_view(
    epoch: int, states: Mapping, counts: Mapping, engine: EngineProfile
) -> GroupView | None:
    """Returns the view of a group from what its ranks hold, if they agree."""
    versions = {state.map_version for state in states.values()}
    if (
        len(versions) != 1
        or len(counts) < len(states)
        or any(
            item.experts is None or len(item.experts) != engine.layer_sets
            for item in counts.values()
        )
    ):
        return None
    ranks = sorted(counts)
    slots = tuple(
        tuple(counts[rank].experts[index] for rank in ranks)
        for index in range(engine.layer_sets)
    )
    return GroupView(epoch, slots, versions.pop())


def has_one_map(states: Mapping[RankId, RankState]) -> bool:
    """Whether all ranks have the same map and none is armed."""
    versions = {state.map_version for state in states.values()}
    return len(versions) == 1 and all(
        state.armed_version is None for state in states.values()
    )


def find_pass_s(view: GroupView) -> float:
    """Returns the recent time of a pass, in seconds."""
    (first_s, first), (last_s, last) = view.passes[0], view.passes[-1]
    if last <= first:
        return _USUAL_PASS_S
    return (last_s - first_s) / (last - first)


async def search_map(
    slots: JointSlots, loads: list[list[float]], engine: EngineProfile
) -> JointDecision:
    """Searches a better map and lets other work run meanwhile."""
    limits = JointLimits(engine.max_experts, engine.max_new_experts)
    return await run_cooperatively(improve_joint_map(slots, loads, limits))
