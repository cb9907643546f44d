"""State of the simulated engine: queue, batch, prefix cache and orders."""

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
    OrderError,
    OrderHistory,
    RankGroup,
)
from chicoryplank_standins._records import BackendFaults, ExecutionLog
from chicoryplank_standins._serving import Notifier
from chicoryplank_standins.tokens import expected_tokens, hash_prefix_blocks

# Times after the last reader of a run disconnects: the run is cancelled after
# the first, and its output is discarded after the second.
DETACHED_TIMEOUT_S = 5.0
RUN_RETENTION_S = 30.0
MAX_CACHE_EVENTS = 10_000
MAX_APPLIED_ORDERS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of an engine, as described by `--help` of the command."""

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
    """States of a run; FINISHED and CANCELLED are final."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True)
class Run:
    """Execution of a completion request.

    Attributes:
        generated_tokens: Number of tokens generated so far.
        readers: Number of connections that receive the output.
        unread_since_s: When the last reader disconnected; None while a reader
            is connected and before the first one connects.
        cut_after: Number of tokens after which the connection is aborted;
            None for never.
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
    generated_tokens: int = 0
    prefill_steps: int = 0
    version: str = ""
    readers: int = 0
    unread_since_s: float | None = None
    cut_after: int | None = None
    details: dict[str, Any] = dataclasses.field(default_factory=dict)
    changed: Notifier = dataclasses.field(default_factory=Notifier)

    @property
    def is_ended(self) -> bool:
        """Tells whether the run has finished or was cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)


class PrefixCache:
    """LRU cache of prompt blocks that publishes its changes as events.

    Args:
        capacity: Maximum number of blocks.
        loss_probability: Probability that an event is never published.
        rng: Random number generator that selects the lost events.
        elapsed: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        capacity: int,
        loss_probability: float,
        rng: random.Random,
        elapsed: Callable[[], float],
    ) -> None:
        self._capacity = capacity
        self._loss_probability = loss_probability
        self._rng = rng
        self._elapsed = elapsed
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._event_ids = itertools.count(1)
        self._events: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=MAX_CACHE_EVENTS
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def count_missing(self, prompt: str) -> int:
        """Returns the number of blocks of a prompt after its cached prefix."""
        blocks = hash_prefix_blocks(prompt)
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return len(blocks) - index
            self._blocks.move_to_end(block)
        return 0

    def add(self, prompt: str) -> None:
        """Stores the blocks of a prompt and evicts the least recently used."""
        for block in hash_prefix_blocks(prompt):
            if block not in self._blocks:
                self._record("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted)

    def read_events(self, after: int, lag_s: float) -> list[dict[str, Any]]:
        """Returns the events after an event id that are older than a lag."""
        newest_visible_s = self._elapsed() - lag_s
        return [
            event
            for time_s, event in self._events
            if event["event_id"] > after and time_s <= newest_visible_s
        ]

    def _record(self, kind: str, block: str) -> None:
        event = {
            "event_id": next(self._event_ids),
            "kind": kind,
            "block": block,
        }
        if self._rng.random() >= self._loss_probability:
            self._events.append((self._elapsed(), event))


class Engine:
    """Continuous batching without I/O.

    Each step starts with `begin_step` and ends with `end_step`.

    Args:
        options: Options of the engine.
        elapsed: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        options: EngineOptions,
        elapsed: Callable[[], float] = time.monotonic,
    ) -> None:
        self.options = options
        self.faults = BackendFaults()
        self.records = ExecutionLog(options.record_file)
        self.ranks = RankGroup(
            options.ranks, options.map_digest, elapsed, options.members == 1
        )
        self.barrier = Barrier(options.members)
        self.loads = ExpertLoads(options.experts, options.seed)
        self.applied_orders: list[dict[str, Any]] = []
        self.models = list(options.models)
        self.version = options.version
        self.role = options.role
        self.work_available = Notifier()
        self.cache = PrefixCache(
            options.cache_blocks,
            options.event_loss,
            random.Random(options.seed),
            elapsed,
        )
        self._orders = OrderHistory(options.checks_fencing)
        self._elapsed = elapsed
        self._runs: dict[str, Run] = {}
        self._batch: list[Run] = []
        self._queue: list[tuple[int, int, Run]] = []
        self._queue_length = 0
        self._arrival_numbers = itertools.count()
        self._load_reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._record_load_report()

    @property
    def has_work(self) -> bool:
        """Tells whether the engine has to run steps."""
        is_busy = self._batch or self._queue_length or self.ranks.is_changing
        # A group of several engines runs every step in lock-step, so an idle
        # engine has to take part in the steps of the others.
        is_busy = is_busy or self.options.members > 1
        return bool(is_busy)

    @property
    def is_full(self) -> bool:
        """Tells whether the queue is full."""
        return self._queue_length >= self.options.max_queue

    def submit(self, run: Run) -> None:
        """Adds a run to the queue."""
        run.cut_after = self.faults.consume_cut()
        self._runs[run.request_id] = run
        heapq.heappush(
            self._queue, (run.priority, next(self._arrival_numbers), run)
        )
        self._queue_length += 1
        self._record_load_report()
        self.work_available.notify()

    def get_run(self, request_id: str) -> Run | None:
        """Returns the latest run of a request; None if unknown or discarded."""
        return self._runs.get(request_id)

    def attach(self, run: Run) -> None:
        """Registers a connection that reads the output of a run."""
        run.readers += 1
        run.unread_since_s = None

    def detach(self, run: Run) -> None:
        """Unregisters a connection that stopped reading the output of a run."""
        run.readers -= 1
        if run.readers == 0:
            run.unread_since_s = self._elapsed()

    def cancel(self, run: Run) -> bool:
        """Cancels a run; returns False if it had already ended."""
        if run.is_ended:
            return False
        if run.state is RunState.QUEUED:
            self._queue_length -= 1
        else:
            self._batch.remove(run)
        self._end_run(run, RunState.CANCELLED)
        self._record_load_report()
        return True

    def expire_runs(self) -> None:
        """Cancels and later discards the runs that have no reader."""
        now = self._elapsed()
        for run in list(self._runs.values()):
            if run.unread_since_s is None:
                continue
            if now - run.unread_since_s >= DETACHED_TIMEOUT_S:
                self.cancel(run)
            if now - run.unread_since_s >= RUN_RETENTION_S and run.is_ended:
                del self._runs[run.request_id]

    def begin_step(self) -> None:
        """Moves queued runs into the batch until the batch is full."""
        while self._queue and len(self._batch) < self.options.max_batch:
            run = heapq.heappop(self._queue)[2]
            if run.state is RunState.QUEUED:
                self._start_run(run)
        self._record_load_report()

    def end_step(self) -> None:
        """Generates a token per run unless a rank awaits the map decision."""
        if self.ranks.is_waiting():
            return
        digest = self.ranks.run_step()
        for run in list(self._batch):
            if run.prefill_steps > 0:
                run.prefill_steps -= 1
                continue
            if run.generated_tokens == 0:
                self.cache.add(run.prompt)
            run.generated_tokens += 1
            maps = run.details["maps"]
            if not maps or maps[-1] != digest:
                maps.append(digest)
            if run.generated_tokens == len(run.tokens):
                self._batch.remove(run)
                self._end_run(run, RunState.FINISHED)
            else:
                run.changed.notify()
        self._record_load_report()

    def apply_order(self, order: dict[str, Any]) -> dict[str, Any]:
        """Applies an order; an order id that was applied before has no effect.

        Raises:
            OrderError: If the order is rejected; it has no effect then.
        """
        order_id, token = order.get("order_id"), order.get("fencing_token")
        arguments = order.get("arguments", {})
        if not isinstance(order_id, str) or not isinstance(arguments, dict):
            raise OrderError(400, "invalid", "order_id or arguments malformed")
        response = self._orders.get_response(order_id)
        if response is not None:
            return response
        try:
            token_number = int(token or 0)
        except (TypeError, ValueError):
            raise OrderError(400, "invalid", "fencing_token") from None
        self._orders.check_token(token_number)
        result = self._apply(str(order.get("kind")), arguments)
        response = {"order_id": order_id, "status": "done", "result": result}
        self._orders.save_response(order_id, response)
        applied = {"order_id": order_id, "token": token_number}
        self.applied_orders.append(
            applied | {"kind": order.get("kind"), "step": self.ranks.step}
        )
        del self.applied_orders[:-MAX_APPLIED_ORDERS]
        self.work_available.notify()
        return response

    def read_ranks(self) -> dict[str, Any]:
        """Returns the state of the ranks and their position in the group."""
        options = self.options
        return self.ranks.to_json() | {
            "version": self.version,
            "experts": options.experts,
            "spare_slots": options.spare_slots,
            "first_rank": options.first_rank,
            "total_ranks": options.total_ranks or options.ranks,
        }

    def read_load(self) -> dict[str, Any]:
        """Returns the newest load report that is at least as old as the lag."""
        newest_visible_s = self._elapsed() - self.options.report_lag_ms / 1_000
        while (
            len(self._load_reports) > 1
            and self._load_reports[1][0] <= newest_visible_s
        ):
            self._load_reports.popleft()
        return self._load_reports[0][1]

    def _apply(self, kind: str, arguments: dict[str, Any]) -> dict[str, Any]:
        rank_handlers = {
            "prepare_map": self.ranks.prepare,
            "decide_map": self.ranks.decide,
            "abort_map": self.ranks.abort,
            "join_map": self.ranks.join,
        }
        if kind in rank_handlers:
            return rank_handlers[kind](arguments)
        argument_names = {
            "load_model": "model",
            "load_adapter": "adapter",
            "set_version": "version",
            "set_role": "role",
        }
        if kind not in argument_names:
            raise OrderError(
                400, "unknown_kind", f"unknown order kind {kind!r}"
            )
        value = arguments.get(argument_names[kind])
        if not isinstance(value, str) or not value:
            raise OrderError(
                400, "invalid", f"argument {argument_names[kind]} is missing"
            )
        if kind == "set_version":
            self.version = value
        elif kind == "set_role":
            self.role = value
        elif value not in self.models:
            self.models.append(value)
        return {"version": self.version, "role": self.role}

    def _start_run(self, run: Run) -> None:
        self._queue_length -= 1
        run.state = RunState.RUNNING
        run.version = self.version
        missing = self.cache.count_missing(run.prompt)
        blocks_per_step = self.options.prefill_blocks_per_step
        run.prefill_steps = -(-missing // blocks_per_step)
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

    def _end_run(self, run: Run, state: RunState) -> None:
        run.state = state
        run.details |= {"state": state.value, "tokens": run.generated_tokens}
        run.changed.notify()

    def _record_load_report(self) -> None:
        report = {
            "running": len(self._batch),
            "queued": self._queue_length,
            "cached_blocks": len(self.cache),
            "step_ms": self.options.step_ms * self.faults.slow_factor,
        }
        if not self._load_reports or self._load_reports[-1][1] != report:
            self._load_reports.append((self._elapsed(), report))
        self.read_load()


def make_run(
    engine: Engine, request_id: str, path: str, body: bytes, fields: dict
) -> Run:
    """Creates the run of a validated request."""
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
