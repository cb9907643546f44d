"""Operator configuration: routes, services, accounts and limits."""

import dataclasses
import enum
from collections.abc import Mapping
from datetime import timedelta

from chicoryplank.ids import AccountId, ConfigVersion, ServiceId


class RequestKind(enum.Enum):
    """Determines whether a request may be executed again.

    Attributes:
        IDEMPOTENT: A request may be executed more than once.
        NON_IDEMPOTENT: A request is executed at most once.
        STREAMING: The response is a stream of events. A request may be
            executed again only if the route allows streams to be resumed, and
            only from the last event that the caller received.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that goes to one service.

    Attributes:
        service: Service that receives the requests.
        weight: Weight relative to the other shares of the route.
    """

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests with the same host and path prefix, and how to forward them.

    Attributes:
        name: Name of the route in logs and metrics.
        host: Host name that a request must carry.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Determines whether a request may be executed again.
        shares: Services that receive the requests, with their weights.
        timeout: Maximum time from a request to its complete response.
        target: Latency target; a later response is worth less to the caller.
        priority: Priority among routes; 0 is the most urgent.
        max_runs: Maximum number of replicas that may execute one request.
        public: Whether requests need no API key.
        resumable: Whether a stream may be resumed at another replica.
        gap_target: Latency target between two events of a stream; None if the
            route has none.
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
        """Whether a request may be sent again after a possible execution."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Timing and capacity that an inference engine with batching publishes.

    Attributes:
        slots: Maximum number of requests in a batch.
        token_steps_per_group_step: Number of token steps (decode steps) in one
            group step, a lock-step forward pass of all ranks with one expert
            map.
        token_step_duration: Duration of a token step with an empty batch.
        token_step_per_request: Additional duration of a token step for each
            request in its decode phase.
        token_step_per_kilotoken: Additional duration of a token step for each
            1,000 tokens of context.
        prefill_tokens_per_s: Prefill rate in prompt tokens per second.
        memory_tokens: Capacity of the KV cache in tokens.
        mean_prompt_tokens: Mean length of a prompt in tokens.
        mean_answer_tokens: Mean length of a generated answer in tokens.
        layer_sets: Number of layer sets. The layers of a set route tokens to
            experts in the same way.
        experts: Number of experts in each set; 0 if the model has none.
        max_experts: Number of experts of each set that a rank can hold.
        max_new_experts: Maximum number of experts of a set that one map change
            may add to a rank.
        expert_share: Fraction of the work per token that the experts do.
        expert_copy_duration: Time that a rank takes to copy one expert.
    """

    slots: int
    token_steps_per_group_step: int = 1
    token_step_duration: timedelta = timedelta()
    token_step_per_request: timedelta = timedelta()
    token_step_per_kilotoken: timedelta = timedelta()
    prefill_tokens_per_s: float = 0.0
    memory_tokens: int = 0
    mean_prompt_tokens: float = 0.0
    mean_answer_tokens: float = 0.0
    layer_sets: int = 0
    experts: int = 0
    max_experts: int = 0
    max_new_experts: int = 0
    expert_share: float = 0.0
    expert_copy_duration: timedelta = timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of replicas that serve the same requests.

    Attributes:
        name: Id of the service.
        health_path: Path of the health check.
        max_connections: Maximum number of connections that one replica accepts
            from all clients together.
        engine: Profile of the inference engine; None for a plain service.
        cold_start: Time after its start for which a replica is cold.
        cold_requests_per_s: Requests per second that a cold replica tolerates;
            0 if its replicas are never cold.
    """

    name: ServiceId
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineProfile | None = None
    cold_start: timedelta = timedelta()
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of requests from callers.

    Attributes:
        max_head_bytes: Maximum size of request target and headers.
        max_body_bytes: Maximum size of the decoded body.
        head_timeout: Maximum inactivity while the head is being received.
        idle_timeout: Maximum inactivity while the body is being received, or
            between two requests on a connection.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficConfiguration:
    """One version of the operator's configuration.

    Attributes:
        version: Version number, which increases with each change.
        routes: All routes.
        services: Services by id.
        limits: Limits on requests from callers.
        accounts: Client account of each API key.
        priorities: Priorities of accounts that override the priority of the
            route.
        requires_api_key: Whether requests to routes that are not public need
            an API key.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, Service]
    limits: ClientLimits = ClientLimits()
    accounts: Mapping[str, AccountId] = dataclasses.field(default_factory=dict)
    priorities: Mapping[AccountId, int] = dataclasses.field(
        default_factory=dict
    )
    requires_api_key: bool = False

    def list_priorities(self, service: ServiceId) -> frozenset[int]:
        """Returns the priorities of the routes to a service."""
        return frozenset(
            route.priority
            for route in self.routes
            if any(share.service == service for share in route.shares)
        )

    def find_gap_target(self, service: ServiceId) -> timedelta | None:
        """Returns the smallest target gap between events of a service.

        Returns:
            None if no route to the service has such a target.
        """
        targets = [
            route.gap_target
            for route in self.routes
            if route.gap_target is not None
            and any(share.service == service for share in route.shares)
        ]
        return min(targets, default=None)
