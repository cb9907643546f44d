"""State of the engine stand-in: queue, batch, prefix cache and orders."""

import dataclasses
import enum
import heapq
import itertools
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

from chicoryplank_standins._ranks import (
    Barrier,
    ExpertLoads,
    OrderBook,
    OrderError,
    RankGroup,
)
from chicoryplank_standins._records import BackendFaults, RecordBook
from chicoryplank_standins._serving import Signal
from chicoryplank_standins.tokens import expected_tokens, prefix_blocks

# A run without a reader is cancelled, and forgotten, after these times.
DETACHED_LIMIT_S = 5.0
RETENTION_S = 30.0
MAX_CACHE_EVENTS = 10_000
MAX_APPLIED = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of an engine; the command line shows their meaning."""

    models: tuple[str, ...] = ("model",)
    version: str = "v1"
    role: str = "mixed"
    step_ms: float = 6
    max_batch: int = 16
    max_queue: int = 1_024
    max_tokens: int = 4_096
    prefill_blocks_per_step: int = 16
    cache_blocks: int = 4_096
    report_lag_ms: float = 0
    event_lag_ms: float = 0
    event_loss: float = 0
    checks_fencing: bool = False
    ranks: int = 1
    map_digest: str = "initial"
    experts: int = 0
    spare_slots: int = 0
    first_rank: int = 0
    total_ranks: int = 0
    members: int = 1
    leader: str = ""
    seed: int = 0
    record_file: str = ""


class RunState(enum.Enum):
    """Life cycle of a run."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class Run:
    """A request at the engine.

    Attributes:
        produced: Number of tokens generated so far.
        readers: Connections that receive the output now.
        detached_s: When the last reader left; None while there is one.
        cut: Number of tokens after which the connection breaks.
    """

    request_id: str
    path: str
    body: bytes
    model: str
    prompt: str
    priority: int
    is_stream: bool
    tokens: tuple[str, ...]
    created_s: int
    state: RunState = RunState.QUEUED
    produced: int = 0
    prefill_steps: int = 0
    version: str = ""
    readers: int = 0
    detached_s: float | None = None
    cut: int | None = None
    details: dict[str, Any] = dataclasses.field(default_factory=dict)
    changed: Signal = dataclasses.field(default_factory=Signal)

    @property
    def is_over(self) -> bool:
        """Tells whether the run generates nothing more."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)


class PrefixCache:
    """Prompt blocks, least recently used first, with late events.

    Args:
        capacity: Number of blocks.
        loss: Share of events that never appear.
        random_source: Chooses the lost events.
        elapsed: Returns the time in seconds.
    """

    def __init__(
        self,
        capacity: int,
        loss: float,
        random_source: random.Random,
        elapsed: Callable[[], float],
    ) -> None:
        self._capacity = capacity
        self._loss = loss
        self._random = random_source
        self._elapsed = elapsed
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._numbers = itertools.count(1)
        self._events: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=MAX_CACHE_EVENTS
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def count_missing(self, prompt: str) -> int:
        """Returns how many blocks of a prompt must be computed."""
        blocks = prefix_blocks(prompt)
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return len(blocks) - index
            self._blocks.move_to_end(block)
        return 0

    def add(self, prompt: str) -> None:
        """Stores the blocks of a prompt and evicts the oldest ones."""
        for block in prefix_blocks(prompt):
            if block not in self._blocks:
                self._record("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted)

    def read_events(self, after: int, lag_s: float) -> list[dict[str, Any]]:
        """Returns the events after a number that are older than a lag."""
        limit_s = self._elapsed() - lag_s
        return [
            event
            for time_s, event in self._events
            if event["event_id"] > after and time_s <= limit_s
        ]

    def _record(self, kind: str, block: str) -> None:
        event = {"event_id": next(self._numbers), "kind": kind, "block": block}
        if self._random.random() >= self._loss:
            self._events.append((self._elapsed(), event))


class Engine:
    """Continuous batching without I/O; a step begins and ends apart.

    Args:
        options: Sizes and times.
        elapsed: Returns the time in seconds.
    """

    def __init__(
        self,
        options: EngineOptions,
        elapsed: Callable[[], float] = time.monotonic,
    ) -> None:
        self.options = options
        self.faults = BackendFaults()
        self.records = RecordBook(options.record_file)
        self.ranks = RankGroup(
            options.ranks, options.map_digest, elapsed, options.members == 1
        )
        self.barrier = Barrier(options.members)
        self.loads = ExpertLoads(options.experts, options.seed)
        self.applied: list[dict[str, Any]] = []
        self.models = list(options.models)
        self.version = options.version
        self.role = options.role
        self.work = Signal()
        self.cache = PrefixCache(
            options.cache_blocks,
            options.event_loss,
            random.Random(options.seed),
            elapsed,
        )
        self._orders = OrderBook(options.checks_fencing)
        self._elapsed = elapsed
        self._runs: dict[str, Run] = {}
        self._batch: list[Run] = []
        self._queue: list[tuple[int, int, Run]] = []
        self._queued = 0
        self._arrivals = itertools.count()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._report()

    @property
    def has_work(self) -> bool:
        """Tells whether a step would do something."""
        busy = self._batch or self._queued or self.ranks.is_changing
        # Ranks of several engines run each step together, also without work.
        busy = busy or self.options.members > 1
        return bool(busy)

    @property
    def is_full(self) -> bool:
        """Tells whether the queue takes no further request."""
        return self._queued >= self.options.max_queue

    def submit(self, run: Run) -> None:
        """Puts a run into the queue."""
        run.cut = self.faults.take_cut()
        self._runs[run.request_id] = run
        heapq.heappush(self._queue, (run.priority, next(self._arrivals), run))
        self._queued += 1
        self._report()
        self.work.notify()

    def find(self, request_id: str) -> Run | None:
        """Returns the latest run of a request that is not forgotten."""
        return self._runs.get(request_id)

    def attach(self, run: Run) -> None:
        """Counts a connection that receives the output of a run."""
        run.readers += 1
        run.detached_s = None

    def detach(self, run: Run) -> None:
        """Counts a connection that receives no more."""
        run.readers -= 1
        if run.readers == 0:
            run.detached_s = self._elapsed()

    def cancel(self, run: Run) -> bool:
        """Ends a run; returns False if it was over."""
        if run.is_over:
            return False
        if run.state is RunState.QUEUED:
            self._queued -= 1
        else:
            self._batch.remove(run)
        self._end(run, RunState.CANCELLED)
        self._report()
        return True

    def expire_runs(self) -> None:
        """Cancels and forgets the runs that nobody reads."""
        now = self._elapsed()
        for run in list(self._runs.values()):
            if run.detached_s is None:
                continue
            if now - run.detached_s >= DETACHED_LIMIT_S:
                self.cancel(run)
            if now - run.detached_s >= RETENTION_S and run.is_over:
                del self._runs[run.request_id]

    def begin_step(self) -> None:
        """Moves queued runs into the batch while there is room."""
        while self._queue and len(self._batch) < self.options.max_batch:
            run = heapq.heappop(self._queue)[2]
            if run.state is RunState.QUEUED:
                self._start(run)
        self._report()

    def end_step(self) -> None:
        """Generates a token per run unless a rank waits for a decision."""
        if self.ranks.is_waiting():
            return
        digest = self.ranks.run_step()
        for run in list(self._batch):
            if run.prefill_steps > 0:
                run.prefill_steps -= 1
                continue
            if run.produced == 0:
                self.cache.add(run.prompt)
            run.produced += 1
            maps = run.details["maps"]
            if not maps or maps[-1] != digest:
                maps.append(digest)
            if run.produced == len(run.tokens):
                self._batch.remove(run)
                self._end(run, RunState.FINISHED)
            else:
                run.changed.notify()
        self._report()

    def place_order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Carries out an order once.

        Raises:
            OrderError: If the order is refused; it has no effect then.
        """
        order_id, token = order.get("order_id"), order.get("fencing_token")
        arguments = order.get("arguments", {})
        if not isinstance(order_id, str) or not isinstance(arguments, dict):
            raise OrderError(400, "invalid", "order_id or arguments")
        answer = self._orders.find(order_id)
        if answer is not None:
            return answer
        try:
            number = int(token or 0)
        except (TypeError, ValueError):
            raise OrderError(400, "invalid", "fencing_token") from None
        self._orders.check(number)
        result = self._carry_out(str(order.get("kind")), arguments)
        answer = {"order_id": order_id, "status": "done", "result": result}
        self._orders.keep(order_id, answer)
        applied = {"order_id": order_id, "token": number}
        self.applied.append(
            applied | {"kind": order.get("kind"), "step": self.ranks.step}
        )
        del self.applied[:-MAX_APPLIED]
        self.work.notify()
        return answer

    def read_ranks(self) -> dict[str, Any]:
        """Returns the state of the ranks and their place in the group."""
        options = self.options
        return self.ranks.to_json() | {
            "version": self.version,
            "experts": options.experts,
            "spare_slots": options.spare_slots,
            "first_rank": options.first_rank,
            "total_ranks": options.total_ranks or options.ranks,
        }

    def read_load(self) -> dict[str, Any]:
        """Returns the newest load report that is older than the lag."""
        limit_s = self._elapsed() - self.options.report_lag_ms / 1_000
        while len(self._reports) > 1 and self._reports[1][0] <= limit_s:
            self._reports.popleft()
        return self._reports[0][1]

    def _carry_out(
        self, kind: str, arguments: dict[str, Any]
    ) -> dict[str, Any]:
        changes = {
            "prepare_map": self.ranks.prepare,
            "decide_map": self.ranks.decide,
            "abort_map": self.ranks.abort,
            "join_map": self.ranks.join,
        }
        if kind in changes:
            return changes[kind](arguments)
        names = {
            "load_model": "model",
            "load_adapter": "adapter",
            "set_version": "version",
            "set_role": "role",
        }
        if kind not in names:
            raise OrderError(400, "unknown_kind", f"unknown kind {kind!r}")
        value = arguments.get(names[kind])
        if not isinstance(value, str) or not value:
            raise OrderError(400, "invalid", f"no {names[kind]}")
        if kind == "set_version":
            self.version = value
        elif kind == "set_role":
            self.role = value
        elif value not in self.models:
            self.models.append(value)
        return {"version": self.version, "role": self.role}

    def _start(self, run: Run) -> None:
        self._queued -= 1
        run.state = RunState.RUNNING
        run.version = self.version
        missing = self.cache.count_missing(run.prompt)
        speed = self.options.prefill_blocks_per_step
        run.prefill_steps = -(-missing // speed)
        record = self.records.add(
            run.request_id,
            run.path,
            run.body,
            model=run.model,
            version=run.version,
            maps=[],
            state=run.state.value,
        )
        run.details = record.details
        self._batch.append(run)

    def _end(self, run: Run, state: RunState) -> None:
        run.state = state
        run.details |= {"state": state.value, "tokens": run.produced}
        run.changed.notify()

    def _report(self) -> None:
        report = {
            "running": len(self._batch),
            "queued": self._queued,
            "cached_blocks": len(self.cache),
            "step_ms": self.options.step_ms * self.faults.slow_factor,
        }
        if not self._reports or self._reports[-1][1] != report:
            self._reports.append((self._elapsed(), report))
        self.read_load()


def make_run(
    engine: Engine, request_id: str, path: str, body: bytes, fields: dict
) -> Run:
    """Returns the run of a validated request."""
    return Run(
        request_id=request_id,
        path=path,
        body=body,
        model=fields["model"],
        prompt=fields["prompt"],
        priority=fields["priority"],
        is_stream=fields["stream"],
        tokens=expected_tokens(
            fields["model"], fields["prompt"], fields["max_tokens"]
        ),
        created_s=int(time.time()),
        version=engine.version,
    )
