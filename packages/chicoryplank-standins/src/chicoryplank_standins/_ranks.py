"""Ranks of an engine: expert maps, steps and the orders to change them."""

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
# Steps of one interval of expert loads, and tokens counted in it.
LOAD_STEPS = 100
LOAD_TOKENS = 20_000
BARRIER_LIMIT_S = 2.0


class OrderError(Exception):
    """An order that the engine refuses.

    Args:
        status: HTTP status.
        code: Short code.
        message: What is wrong.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclasses.dataclass(slots=True)
class Rank:
    """Expert map of a rank and the change that it is prepared for.

    Attributes:
        digest: Map in force.
        prepared: Map that the rank can switch to; empty for none.
        stop_step: First step that the rank does not start undecided.
        first_step: First step under the prepared map; None if undecided.
    """

    digest: str
    prepared: str = ""
    stop_step: int = 0
    first_step: int | None = None

    def is_waiting(self, step: int) -> bool:
        """Tells whether the rank waits for a decision before a step."""
        undecided = self.prepared and self.first_step is None
        return bool(undecided) and step >= self.stop_step

    def begin_step(self, step: int) -> str:
        """Switches if it is time and returns the map used in the step."""
        if self.first_step is not None and step >= self.first_step:
            self.digest = self.prepared
            self.prepared = ""
            self.first_step = None
        return self.digest


class RankGroup:
    """Ranks that advance in lock-step.

    Args:
        count: Number of ranks.
        digest: Map in force at the start.
        elapsed: Returns the time in seconds.
        joined: Whether the ranks start without being told where.

    Attributes:
        step: Number of the next step.
        mixed_steps: Steps in which ranks used different maps.
        incarnation: Differs for each process.
        joined: Whether the ranks were told where to start.
        stops: Steps that were waited for or that began a new map, with the
            time since the step before.
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
        self._ended_s = elapsed()
        self._has_waited = False

    @property
    def is_changing(self) -> bool:
        """Tells whether a rank is prepared, so that idle steps count."""
        return any(rank.prepared for rank in self.ranks)

    def is_waiting(self) -> bool:
        """Tells whether a rank waits; then the whole group waits."""
        if not self.joined:
            return True
        waiting = any(rank.is_waiting(self.step) for rank in self.ranks)
        self._has_waited = self._has_waited or waiting
        return waiting

    def run_step(self) -> str:
        """Runs a step and returns the map of the first rank."""
        before = [rank.digest for rank in self.ranks]
        digests = [rank.begin_step(self.step) for rank in self.ranks]
        self._record_stop(before != digests)
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

    def _record_stop(self, switches: bool) -> None:
        now_s = self._elapsed()
        if switches or self._has_waited:
            stop = {
                "step": self.step,
                "gap_s": now_s - self._ended_s,
                "switches": switches,
                "waited": self._has_waited,
            }
            self.stops.append(stop)
            del self.stops[:-MAX_SEGMENTS]
        self._ended_s = now_s
        self._has_waited = False

    def prepare(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Prepares ranks for a map."""
        if not self.joined:
            raise OrderError(409, "not_joined", "the ranks have not started")
        digest = _read_digest(arguments)
        stop_step = _read_step(arguments, "stop_step")
        if stop_step < self.step:
            raise OrderError(409, "step_passed", f"step {stop_step} has passed")
        ranks = self._select(arguments)
        for rank in ranks:
            if rank.prepared and rank.prepared != digest:
                raise OrderError(
                    409, "other_change", f"prepared for {rank.prepared}"
                )
        for rank in ranks:
            if rank.first_step is None:
                rank.prepared = digest
                rank.stop_step = stop_step
        return {"step": self.step, "incarnation": self.incarnation}

    def join(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Starts ranks at a step of their group, with the map of that step.

        A switch that the group has decided on comes with it.
        """
        digest = _read_digest(arguments)
        step = _read_step(arguments, "step")
        if self.joined:
            raise OrderError(409, "joined", "the ranks have started")
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
        """Tells prepared ranks the first step under the new map."""
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
                    409, "decided", f"decided for step {rank.first_step}"
                )
        if ranks and first_step < self.step:
            raise OrderError(
                409, "step_passed", f"step {first_step} has passed"
            )
        for rank in ranks:
            rank.first_step = first_step
        return {"step": self.step}

    def abort(self, arguments: dict[str, Any]) -> dict[str, Any]:
        """Drops an undecided change."""
        digest = _read_digest(arguments)
        ranks = self._select(arguments)
        for rank in ranks:
            if rank.prepared == digest and rank.first_step is not None:
                raise OrderError(409, "decided", "the change is decided")
        for rank in ranks:
            if rank.prepared == digest:
                rank.prepared = ""
        return {"step": self.step}

    def to_json(self) -> dict[str, Any]:
        """Returns the state of the ranks."""
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
        """Returns the maps per rank for each range of equal steps."""
        return self._segments

    def _select(self, arguments: dict[str, Any]) -> list[Rank]:
        index = arguments.get("rank")
        if index is None:
            return self.ranks
        if not isinstance(index, int) or not 0 <= index < len(self.ranks):
            raise OrderError(400, "invalid", f"unknown rank {index!r}")
        return [self.ranks[index]]


class Barrier:
    """Lets the members of a group begin each step together.

    Args:
        members: Number of engines.
    """

    def __init__(self, members: int) -> None:
        self._members = members
        self._latest: dict[int, int] = {}
        self._passed = -1
        self._changed = asyncio.Event()

    async def arrive(self, member: int, step: int) -> bool:
        """Waits for the others; returns False if they did not come in time.

        A member that arrives at a later step has passed the earlier ones.
        After the leader was replaced the others may be one step apart.
        """
        self._latest[member] = step
        if len(self._latest) >= self._members:
            passed = max(self._passed, min(self._latest.values()))
            if passed > self._passed:
                self._passed = passed
                changed, self._changed = self._changed, asyncio.Event()
                changed.set()
        deadline_s = time.monotonic() + BARRIER_LIMIT_S
        while self._passed < step:
            try:
                async with asyncio.timeout(deadline_s - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                return False
        return True


class ExpertLoads:
    """Counts of tokens by expert, whose popularity drifts with the steps.

    Args:
        experts: Number of experts.
        seed: Decides popularity and drift.
    """

    def __init__(self, experts: int, seed: int) -> None:
        self._experts = experts
        self._seed = seed

    def read(self, step: int) -> list[int]:
        """Returns the counts of the last whole interval before a step."""
        if self._experts < 2:
            # Popularity can't drift between fewer than two experts.
            return [LOAD_TOKENS] * self._experts
        interval = step // LOAD_STEPS
        source = random.Random(f"{self._seed}-popularity")
        weights = [source.paretovariate(1.2) for _ in range(self._experts)]
        # Every fourth interval two experts exchange their popularity.
        for _ in range(interval // 4):
            one, other = source.sample(range(self._experts), 2)
            weights[one], weights[other] = weights[other], weights[one]
        chosen = random.Random(f"{self._seed}-{interval}").choices(
            range(self._experts),
            cum_weights=list(itertools.accumulate(weights)),
            k=LOAD_TOKENS,
        )
        counts = [0] * self._experts
        for expert in chosen:
            counts[expert] += 1
        return counts


class OrderBook:
    """Orders by id and the highest fencing token.

    Args:
        checks_fencing: Whether an order with a lower token is refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.highest_token = 0
        self._checks_fencing = checks_fencing
        self._answers: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def find(self, order_id: str) -> dict[str, Any] | None:
        """Returns the answer of an order that took effect before."""
        return self._answers.get(order_id)

    def check(self, token: int) -> None:
        """Refuses a token below the highest one seen, if so configured."""
        if self._checks_fencing and token < self.highest_token:
            raise OrderError(
                409,
                "stale_fencing_token",
                f"token {token} is below {self.highest_token}",
            )
        self.highest_token = max(self.highest_token, token)

    def keep(self, order_id: str, answer: dict[str, Any]) -> None:
        """Keeps the answer of an order that took effect."""
        self._answers[order_id] = answer
        if len(self._answers) > MAX_ORDERS:
            self._answers.popitem(last=False)


def _read_digest(arguments: dict[str, Any]) -> str:
    digest = arguments.get("digest")
    if not isinstance(digest, str) or not digest:
        raise OrderError(400, "invalid", "digest must be a text")
    return digest


def _read_step(arguments: dict[str, Any], name: str) -> int:
    step = arguments.get(name)
    if not isinstance(step, int) or step < 0:
        raise OrderError(400, "invalid", f"{name} must be a step number")
    return step
