"""Ranks of an engine: lock-step execution and changes of the expert map."""

import asyncio
import dataclasses
import itertools
import random
import time
import uuid
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

MAX_ORDERS = 10_000
MAX_SEGMENTS = 10_000
# Expert loads are counted per interval of this many steps, each with this many
# tokens.
LOAD_INTERVAL_STEPS = 100
TOKENS_PER_LOAD_INTERVAL = 20_000
BARRIER_TIMEOUT_S = 2.0


class OrderError(Exception):
    """An order that the engine rejects.

    Args:
        status: HTTP status.
        code: Error code.
        message: Description of the error.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclasses.dataclass(slots=True)
class Rank:
    """Expert map of a rank and the map change that it is prepared for.

    Attributes:
        digest: Digest of the active map.
        prepared: Digest of the map that the rank can switch to; empty for
            none.
        stop_step: First step that the rank does not start before it knows
            the decision.
        first_step: First step under the prepared map; None if undecided.
    """

    digest: str
    prepared: str = ""
    stop_step: int = 0
    first_step: int | None = None

    def is_waiting(self, step: int) -> bool:
        """Tells whether the rank awaits the decision before a step."""
        undecided = self.prepared and self.first_step is None
        return bool(undecided) and step >= self.stop_step

    def begin_step(self, step: int) -> str:
        """Activates the prepared map if due; returns the active digest."""
        if self.first_step is not None and step >= self.first_step:
            self.digest = self.prepared
            self.prepared = ""
            self.first_step = None
        return self.digest


class RankGroup:
    """Ranks of one engine, which run every step in lock-step.

    Args:
        count: Number of ranks.
        digest: Digest of the map that is active at the start.
        elapsed: Returns the monotonic time in seconds.
        joined: Whether the ranks start at step 0 without a `join_map` order.

    Attributes:
        step: Number of the next step.
        mixed_steps: Number of steps in which ranks used different maps.
        incarnation: Unique id of the process.
        joined: Whether the ranks know the step at which they start.
        stops: Steps that were delayed by a pending decision or were the first
            under a new map, each with the time since the previous step.
    """

    def __init__(
        self,
        count: int,
        digest: str = "initial",
        elapsed: Callable[[], float] = time.monotonic,
        joined: bool = True,
    ) -> None:
        self.step = 0
        self.joined = joined
        self.mixed_steps = 0
        self.incarnation = uuid.uuid4().hex
        self.stops: list[dict[str, Any]] = []
        self.ranks = [Rank(digest) for _ in range(count)]
        self._segments: list[dict[str, Any]] = []
        self._elapsed = elapsed
        self._last_step_end_s = elapsed()
        self._has_waited_for_decision = False

    @property
    def is_changing(self) -> bool:
        """Tells whether a rank is prepared for a map change.

        The engine then runs steps even without requests, because the change
        takes effect at a step number.
        """
        return any(rank.prepared for rank in self.ranks)

    def is_waiting(self) -> bool:
        """Tells whether the group waits because at least one rank does."""
        if not self.joined:
            return True
        waiting = any(rank.is_waiting(self.step) for rank in self.ranks)
        self._has_waited_for_decision = self._has_waited_for_decision or waiting
        return waiting

    def run_step(self) -> str:
        """Runs a step and returns the map digest of the first rank."""
        previous_digests = [rank.digest for rank in self.ranks]
        digests = [rank.begin_step(self.step) for rank in self.ranks]
        self._record_stop(previous_digests != digests)
        if len(set(digests)) > 1:
            self.mixed_steps += 1
        if self._segments and self._segments[-1]["digests"] == digests:
            self._segments[-1]["last_step"] = self.step
        else:
            segment = {
                "first_step": self.step,
                "last_step": self.step,
                "digests": digests,
            }
            self._segments.append(segment)
            del self._segments[:-MAX_SEGMENTS]
        self.step += 1
        return digests[0]

    def _record_stop(self, is_switch: bool) -> None:
        now_s = self._elapsed()
        if is_switch or self._has_waited_for_decision:
            stop = {
                "step": self.step,
                "gap_s": now_s - self._last_step_end_s,
                "switches": is_switch,
                "waited": self._has_waited_for_decision,
            }
            self.stops.append(stop)
            del self.stops[:-MAX_SEGMENTS]
        self._last_step_end_s = now_s
        self._has_waited_for_decision = False

    def prepare(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Prepares ranks for a map: first phase of a two-phase commit."""
        if not self.joined:
            raise OrderError(
                409, "not_joined", "the ranks have not joined their group"
            )
        digest = _read_digest(arguments)
        stop_step = _read_step(arguments, "stop_step")
        if stop_step < self.step:
            raise OrderError(409, "step_passed", f"step {stop_step} has passed")
        ranks = self._select(arguments)
        for rank in ranks:
            if rank.prepared and rank.prepared != digest:
                raise OrderError(
                    409, "other_change", f"already prepared for {rank.prepared}"
                )
        for rank in ranks:
            if rank.first_step is None:
                rank.prepared = digest
                rank.stop_step = stop_step
        return {"step": self.step, "incarnation": self.incarnation}

    def join(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Starts ranks at the current step of their group with its active map.

        If the group has decided on a switch, the order contains it as well.
        """
        digest = _read_digest(arguments)
        step = _read_step(arguments, "step")
        if self.joined:
            raise OrderError(
                409, "joined", "the ranks have already joined their group"
            )
        for rank in self.ranks:
            rank.digest = digest
            if "next_digest" in arguments:
                rank.prepared = arguments["next_digest"]
                rank.stop_step = _read_step(arguments, "first_step")
                rank.first_step = rank.stop_step
        self.step = step
        self.joined = True
        return {"step": self.step, "incarnation": self.incarnation}

    def decide(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Sets the first step under the new map for prepared ranks."""
        digest = _read_digest(arguments)
        first_step = _read_step(arguments, "first_step")
        ranks = [
            rank for rank in self._select(arguments) if rank.digest != digest
        ]
        for rank in ranks:
            if rank.prepared != digest:
                raise OrderError(
                    409, "not_prepared", f"not prepared for {digest}"
                )
            if rank.first_step not in (None, first_step):
                raise OrderError(
                    409,
                    "decided",
                    f"already decided for step {rank.first_step}",
                )
        if ranks and first_step < self.step:
            raise OrderError(
                409, "step_passed", f"step {first_step} has passed"
            )
        for rank in ranks:
            rank.first_step = first_step
        return {"step": self.step}

    def abort(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Withdraws a map change that is not decided."""
        digest = _read_digest(arguments)
        ranks = self._select(arguments)
        for rank in ranks:
            if rank.prepared == digest and rank.first_step is not None:
                raise OrderError(
                    409, "decided", "the map change is already decided"
                )
        for rank in ranks:
            if rank.prepared == digest:
                rank.prepared = ""
        return {"step": self.step}

    def to_json(self) -> dict[str, Any]:
        """Returns the state of the ranks as JSON fields."""
        ranks = [
            dataclasses.asdict(rank)
            | {"rank": index, "waiting": rank.is_waiting(self.step)}
            for index, rank in enumerate(self.ranks)
        ]
        return {
            "step": self.step,
            "incarnation": self.incarnation,
            "joined": self.joined,
            "ranks": ranks,
        }

    def read_segments(self) -> list[dict[str, Any]]:
        """Returns the map digests per rank for each range of steps."""
        return self._segments

    def _select(self, arguments: dict[str, Any]) -> list[Rank]:
        index = arguments.get("rank")
        if index is None:
            return self.ranks
        if not isinstance(index, int) or not 0 <= index < len(self.ranks):
            raise OrderError(400, "invalid", f"unknown rank {index!r}")
        return [self.ranks[index]]


class Barrier:
    """Barrier that the engines of a group pass together at each step.

    Args:
        members: Number of engines in the group.
    """

    def __init__(self, members: int) -> None:
        self._members = members
        self._latest_steps: dict[int, int] = {}
        self._released_step = -1
        self._step_released = asyncio.Event()

    async def arrive(self, member: int, step: int) -> bool:
        """Waits until all engines reach a step; returns False on a timeout.

        Arrival at a step counts as arrival at every earlier step, because the
        other engines may be one step apart after the leader was replaced.
        """
        self._latest_steps[member] = step
        if len(self._latest_steps) >= self._members:
            released_step = max(
                self._released_step, min(self._latest_steps.values())
            )
            if released_step > self._released_step:
                self._released_step = released_step
                released, self._step_released = (
                    self._step_released,
                    asyncio.Event(),
                )
                released.set()
        deadline_s = time.monotonic() + BARRIER_TIMEOUT_S
        while self._released_step < step:
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await self._step_released.wait()
            except TimeoutError:
                return False
        return True


class ExpertLoads:
    """Token counts per expert with a popularity that drifts over the steps.

    Args:
        experts: Number of experts.
        seed: Seed of the popularity and its drift.
    """

    def __init__(self, experts: int, seed: int) -> None:
        self._experts = experts
        self._seed = seed

    def get_counts(self, step: int) -> list[int]:
        """Returns the counts of the last complete interval before a step."""
        if self._experts < 2:
            # An exchange of popularity needs at least two experts.
            return [TOKENS_PER_LOAD_INTERVAL] * self._experts
        interval = step // LOAD_INTERVAL_STEPS
        rng = random.Random(f"{self._seed}-popularity")
        weights = [rng.paretovariate(1.2) for _ in range(self._experts)]
        # Two experts exchange their popularity in every fourth interval.
        for _ in range(interval // 4):
            first, second = rng.sample(range(self._experts), 2)
            weights[first], weights[second] = weights[second], weights[first]
        chosen_experts = random.Random(f"{self._seed}-{interval}").choices(
            range(self._experts),
            cum_weights=list(itertools.accumulate(weights)),
            k=TOKENS_PER_LOAD_INTERVAL,
        )
        counts = [0] * self._experts
        for expert in chosen_experts:
            counts[expert] += 1
        return counts


class OrderHistory:
    """Responses to applied orders by id, and the highest fencing token.

    Args:
        checks_fencing: Whether an order with a lower token is rejected.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.highest_token = 0
        self._checks_fencing = checks_fencing
        self._responses: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def get_response(self, order_id: str) -> dict[str, Any] | None:
        """Returns the response to an applied order; None if not applied."""
        return self._responses.get(order_id)

    def check_token(self, token: int) -> None:
        """Checks a fencing token and records the highest one.

        Raises:
            OrderError: If the token is lower and fencing is enabled.
        """
        if self._checks_fencing and token < self.highest_token:
            raise OrderError(
                409,
                "stale_fencing_token",
                f"fencing token {token} is below {self.highest_token}",
            )
        self.highest_token = max(self.highest_token, token)

    def save_response(self, order_id: str, response: dict[str, Any]) -> None:
        """Stores the response to an applied order."""
        self._responses[order_id] = response
        if len(self._responses) > MAX_ORDERS:
            self._responses.popitem(last=False)


def _read_digest(arguments: dict[str, Any]) -> str:
    digest = arguments.get("digest")
    if not isinstance(digest, str) or not digest:
        raise OrderError(400, "invalid", "digest must be a non-empty string")
    return digest


def _read_step(arguments: dict[str, Any], name: str) -> int:
    step = arguments.get(name)
    if not isinstance(step, int) or step < 0:
        raise OrderError(
            400, "invalid", f"{name} must be a non-negative integer"
        )
    return step
