"""What the operator configures: routes, services, accounts and limits."""

import dataclasses
import enum
from collections.abc import Mapping
from datetime import timedelta

from chicoryplank.ids import AccountId, ConfigVersion, ServiceId


class RequestKind(enum.Enum):
    """What may be repeated.

    Attributes:
        IDEMPOTENT: May run more than once.
        NON_IDEMPOTENT: Runs at most once for each request.
        STREAMING: Answered by a series of events; may run again only from
            the last event that the caller received, and only where the route
            allows it to be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's requests that goes to one service."""

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests that are handled alike.

    Attributes:
        name: Name in logs and metrics.
        host: Host name of the request.
        path_prefix: Start of the path, with a slash at both ends.
        kind: What may be repeated.
        shares: Services, with their weights.
        timeout: Longest time in which a caller gets its final answer.
        target: Time in which an answer has its full value.
        priority: Rank among routes; 0 is the most urgent.
        max_runs: Replicas on which one request may run.
        public: Whether no API key is needed.
        resumable: Whether a stream may go on at another replica.
        gap_target: Longest pause between events of a stream that is in time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout: timedelta
    target: timedelta
    priority: int = 0
    max_runs: int = 1
    public: bool = False
    resumable: bool = False
    gap_target: timedelta | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Published timing of a batching engine.

    Attributes:
        slots: Requests in one batch.
        steps_per_pass: Token steps of one pass.
        step: Time of a token step, without requests.
        step_per_request: Added time of a step for each writing request.
        step_per_kilotoken: Added time of a step for 1,000 tokens of context.
        prefill_tokens_per_s: Prompt tokens that are read in a second.
        memory_tokens: Tokens that the memory holds.
        usual_prompt_tokens: Mean length of a prompt.
        usual_answer_tokens: Mean length of an answer.
        layer_sets: Sets of layers that choose their experts alike.
        experts: Experts in each set; 0 if the engine has none.
        places: Experts that a rank can hold in each set.
        max_new_experts: Experts of a set that one change may bring to a rank.
        expert_share: Share of the work for a token that goes to experts.
    """

    slots: int
    steps_per_pass: int = 1
    step: timedelta = timedelta()
    step_per_request: timedelta = timedelta()
    step_per_kilotoken: timedelta = timedelta()
    prefill_tokens_per_s: float = 0.0
    memory_tokens: int = 0
    usual_prompt_tokens: float = 0.0
    usual_answer_tokens: float = 0.0
    layer_sets: int = 0
    experts: int = 0
    places: int = 0
    max_new_experts: int = 0
    expert_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A deployment of replicas.

    Attributes:
        name: Id of the service.
        health_path: Path of the health check.
        max_connections: Connections that one replica accepts in all.
        engine: Timing of its engine; None for a plain service.
    """

    name: ServiceId
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a caller may send and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficConfiguration:
    """One version of the operator's configuration.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: Services by id.
        limits: Bounds for callers.
        accounts: Client account of each API key.
        priorities: Priority of the accounts that have one of their own.
        keyed: Whether requests need an API key at all.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, Service]
    limits: ClientLimits = ClientLimits()
    accounts: Mapping[str, AccountId] = dataclasses.field(default_factory=dict)
    priorities: Mapping[AccountId, int] = dataclasses.field(
        default_factory=dict
    )
    keyed: bool = False
