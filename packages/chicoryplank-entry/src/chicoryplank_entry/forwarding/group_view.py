"""State of a lock-step group as read from its ranks by the controller."""

import asyncio
import collections
import dataclasses
from collections.abc import Mapping, Sequence

from chicoryplank.ids import InstanceId, RankId
from chicoryplank.orders import (
    RankCounts,
    RankPort,
    RankState,
    RankUnreachableError,
)
from chicoryplank.rebalance import (
    ChangeCosts,
    JointDecision,
    JointLimits,
    JointSlots,
    improve_joint_map,
    run_cooperatively,
)
from chicoryplank.traffic import EngineProfile

# Assumed duration of a group step, in seconds, until two samples are available;
# typical of a busy group on the target platform whose map does not match its
# demand.
_DEFAULT_STEP_DURATION_S = 0.08
# Relative increase of the step duration while ranks copy experts.
_COPY_SLOWDOWN = 0.15
# Pace below which a rank counts as one of the usual speed. The paces of sound
# ranks vary a little, and a map that follows them would change all the time.
_MIN_SLOW_PACE = 1.25


@dataclasses.dataclass(slots=True)
class GroupView:
    """State of a group in one epoch, as known to the controller.

    Attributes:
        epoch: Epoch of the group.
        slots: Active map: the experts by layer set and rank.
        version: Version of the active map.
        pending_version: Version of a map change in progress; None for none.
        pending_slots: New map of that change.
        pending_skew: Mean skew that the change is expected to reach.
        is_pending_outdated: Whether the demand has shifted since the change
            began.
        last_change_s: Time when the last change ended.
        predicted_skew: Mean skew that the last change was expected to reach;
            infinite before the first change.
        is_prediction_checked: Whether that skew was compared with the measured
            one.
        step_samples: Latest observations of the group step: time and number.
        paces: Pace of each rank in the order of the map, 1 for the usual one.
    """

    epoch: int
    slots: JointSlots
    version: int
    pending_version: int | None = None
    pending_slots: JointSlots = ()
    pending_skew: float = float("inf")
    is_pending_outdated: bool = False
    last_change_s: float = float("-inf")
    predicted_skew: float = float("inf")
    is_prediction_checked: bool = True
    step_samples: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=4)
    )
    paces: tuple[float, ...] = ()


RankPorts = dict[RankId, RankPort]
# State and connection of each rank of a group.
GroupMembers = Mapping[RankId, tuple[RankState, RankPort]]


def group_ranks(
    states: Mapping[InstanceId, RankState], ports: Mapping[InstanceId, RankPort]
) -> dict[str, GroupMembers]:
    """Returns the members of each group by its name."""
    groups: dict[str, dict[RankId, tuple[RankState, RankPort]]] = {}
    for instance, state in states.items():
        members = groups.setdefault(state.group, {})
        members[state.rank] = (state, ports[instance])
    return groups


def is_complete(members: GroupMembers) -> bool:
    """Returns whether all ranks respond and are open in the same epoch."""
    first = next(iter(members.values()))[0]
    return len(members) == first.size and all(
        state.epoch == first.epoch and state.is_open
        for state, _ in members.values()
    )


async def read_states(
    ports: Mapping[InstanceId, RankPort],
) -> dict[InstanceId, RankState]:
    """Returns the states of the ranks that respond."""

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
    """Returns the counts of the ranks that respond."""

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
    """Creates the view of a group; None unless its ranks are consistent."""
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


def has_uniform_map(states: Mapping[RankId, RankState]) -> bool:
    """Returns whether all ranks have the same active map, with none armed."""
    versions = {state.map_version for state in states.values()}
    return len(versions) == 1 and all(
        state.armed_version is None for state in states.values()
    )


def list_paces(states: Mapping[RankId, RankState]) -> tuple[float, ...]:
    """Returns the pace of each rank, in the order of the ranks."""
    return tuple(
        pace if pace >= _MIN_SLOW_PACE else 1.0
        for pace in (states[rank].pace for rank in sorted(states))
    )


def compute_step_duration_s(view: GroupView) -> float:
    """Returns the mean duration of the latest group steps, in seconds."""
    (first_s, first), (last_s, last) = (
        view.step_samples[0],
        view.step_samples[-1],
    )
    if last <= first:
        return _DEFAULT_STEP_DURATION_S
    return (last_s - first_s) / (last - first)


async def search_map(
    slots: JointSlots,
    loads: list[list[float]],
    engine: EngineProfile,
    *,
    fixed_s: float,
    lasting_s: float,
    skew_error: float,
    paces: Sequence[float] = (),
) -> JointDecision:
    """Searches for a better map without blocking the event loop.

    Args:
        slots: Active map.
        loads: Load of each expert, by layer set and expert.
        engine: Profile of the ranks.
        fixed_s: Duration of a change without its copies, in seconds.
        lasting_s: Time in seconds for which the demand is expected to last.
        skew_error: Amount by which earlier changes missed the predicted skew.
        paces: Pace of each rank; empty if all have the usual one.
    """
    limits = JointLimits(engine.max_experts, engine.max_new_experts)
    costs = ChangeCosts(
        copy_s=engine.expert_copy_duration.total_seconds(),
        fixed_s=fixed_s,
        lasting_s=lasting_s,
        slowdown=_COPY_SLOWDOWN,
        expert_share=engine.expert_share,
        skew_error=skew_error,
    )
    return await run_cooperatively(
        improve_joint_map(slots, loads, limits, costs, paces)
    )
