"""Orders to the ranks of a lock-step group, and what the ranks report."""

import dataclasses
import enum
from typing import Protocol

from chicoryplank.ids import ExpertId, FencingToken, InstanceId, RankId


class Operation(enum.Enum):
    """Orders of a map change."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "release"


class OrderResult(enum.Enum):
    """What a rank said of an order.

    Attributes:
        ACCEPTED: It has begun, or the state already holds.
        CONFLICT: It does not fit the state of the rank.
        STALE: A higher fencing token was seen.
        REFUSED: The rank does not know such an order or is another one.
        UNKNOWN: No answer; it may be carried out now or much later.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    STALE = "stale"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class RankOrder:
    """One order.

    Attributes:
        operation: What to do.
        epoch: Epoch of the group in which the order holds.
        token: Fencing token of the controller.
        version: Version of the map; 0 for HOLD and RELEASE.
        step: Pass that the order concerns; 0 for PREPARE and DISARM.
        experts: For PREPARE, the experts of each rank by set and rank.
    """

    operation: Operation
    epoch: int
    token: FencingToken
    version: int = 0
    step: int = 0
    experts: tuple[tuple[tuple[ExpertId, ...], ...], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """What a rank reports.

    Attributes:
        instance: Id of its backend server.
        group: Name of its group.
        epoch: Epoch of the group; a new one starts with map 0 everywhere.
        rank: Its place in the group.
        size: Ranks of the group.
        is_open: Whether the group works.
        step: Last pass that was begun.
        map_version: Version of the map in force.
        prepared_version: Version whose copy is complete; None if none is.
        armed_version: Version that it switches to; None if it is not armed.
        armed_step: Pass at which it switches; None if it is not armed or the
            report does not tell.
        held_step: Pass that it does not begin; None if none.
        pace: Time of its work over the usual time.
        running: Requests in its batch.
        queued: Requests that wait for its batch.
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
    """How often the requests of a rank chose each expert since its start.

    Attributes:
        epoch: Epoch of the group.
        step: Pass at which the counts were taken.
        counts: Choices by set and expert, one set after the other.
        experts: Experts of the rank by set, if asked for.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    experts: tuple[tuple[ExpertId, ...], ...] | None = None


class RankPort(Protocol):
    """One rank as its controller reaches it.

    All calls raise RankUnreachableError if there is no answer.
    """

    async def read_state(self) -> RankState:
        """Returns the present state."""

    async def read_counts(self, with_experts: bool) -> RankCounts:
        """Returns the choices of experts, and the experts if asked for."""

    async def place(self, order: RankOrder) -> OrderResult:
        """Places an order; UNKNOWN if there is no answer."""


class RankUnreachableError(Exception):
    """A rank did not answer a read."""
