"""Orders to the ranks of a lock-step group, and the state they report.

The ranks of a lock-step group begin each step, one forward pass, together.
"""

import dataclasses
import enum
from typing import Protocol

from chicoryplank.ids import ExpertId, FencingToken, InstanceId, RankId


class Operation(enum.Enum):
    """Operations on a rank during a change of the expert map.

    Attributes:
        PREPARE: Copy the weights of a map.
        ARM: Switch to the prepared map at a step.
        DISARM: Do not switch to the prepared map.
        HOLD: Do not begin a step, which stops the whole group there.
        RELEASE: End a hold.
    """

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "release"


class OrderResult(enum.Enum):
    """Result of placing an order at a rank.

    Attributes:
        ACCEPTED: The rank has begun to carry out the order, or is already in
            the requested state.
        CONFLICT: The state of the rank does not allow the order.
        STALE: The rank has seen a higher fencing token.
        REFUSED: The rank does not support the order, or the order reached
            another rank.
        UNKNOWN: There was no response. The order may be carried out now, much
            later or never.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    STALE = "stale"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class RankOrder:
    """Order to one rank.

    Attributes:
        operation: Operation to carry out.
        epoch: Epoch of the group in which the order is valid.
        token: Fencing token of the controller.
        version: Version of the map; 0 for HOLD and RELEASE.
        step: Step at which to switch or hold; 0 for PREPARE and DISARM.
        experts: For PREPARE, the experts by layer set and rank.
    """

    operation: Operation
    epoch: int
    token: FencingToken
    version: int = 0
    step: int = 0
    experts: tuple[tuple[tuple[ExpertId, ...], ...], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """State that a rank reports.

    Attributes:
        instance: Id of the backend server.
        group: Name of the group.
        epoch: Epoch of the group. Each epoch begins with map version 0 at
            every rank.
        rank: Index of the rank in the group.
        size: Number of ranks in the group.
        is_open: Whether the group is in operation.
        step: Last step that was begun.
        map_version: Version of the active map.
        prepared_version: Version whose weights are completely copied; None if
            there is none.
        armed_version: Version that the rank will switch to; None if it is not
            armed.
        armed_step: Step at which the rank will switch; None if it is not armed
            or does not report the step.
        held_step: Step that the rank will not begin; None if it is not held.
        pace: Ratio of the computing time of the rank to its usual time.
        running: Number of requests in the batch.
        queued: Number of requests that wait for a slot in the batch.
    """

    instance: InstanceId
    group: str
    epoch: int
    rank: RankId
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared_version: int | None = None
    armed_version: int | None = None
    armed_step: int | None = None
    held_step: int | None = None
    pace: float = 1.0
    running: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RankCounts:
    """Number of times each expert was chosen for the requests of a rank.

    The counts start at zero when the rank starts.

    Attributes:
        epoch: Epoch of the group.
        step: Step at which the counts were taken.
        counts: Counts of all experts of the first layer set, then of the
            second, and so on.
        experts: Experts of the rank by layer set; None if not requested.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    experts: tuple[tuple[ExpertId, ...], ...] | None = None


class RankPort(Protocol):
    """Connection of a controller to one rank.

    The read methods raise RankUnreachableError if the rank does not respond.
    """

    async def read_state(self) -> RankState:
        """Returns the current state of the rank."""

    async def read_counts(self, with_experts: bool) -> RankCounts:
        """Returns the counts, with the experts of the rank if requested."""

    async def place(self, order: RankOrder) -> OrderResult:
        """Places an order; returns UNKNOWN if the rank does not respond."""


class RankUnreachableError(Exception):
    """A rank did not respond to a read."""
