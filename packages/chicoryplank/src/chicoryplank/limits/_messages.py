"""Requests, decisions and events of the limiter."""

import dataclasses
import enum
from collections.abc import Mapping
from datetime import datetime, timedelta

from chicoryplank.configuration import Priority
from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import AccountId, AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Properties of a request that matter for admission.

    Attributes:
        attempt: Id, unique while the request is queued or in progress.
        account: Client account that sent it.
        group: Model group or service that serves it.
        priority: Priority class.
        deadline: Time when the response must be complete, in UTC.
        tokens: Upper bound or estimate of generated tokens; 0 for services.
    """

    attempt: AttemptId
    account: AccountId
    group: str
    priority: Priority
    deadline: datetime
    tokens: int = 0


class Outcome(enum.Enum):
    """Kind of a decision on a request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Decision on a request.

    Attributes:
        request: The request.
        outcome: Admitted, queued or refused; a refusal is final.
        position: Upper bound on the queued requests ahead of this one; 0
            unless queued.
        error: Error for the caller; None unless refused.
    """

    request: Request
    outcome: Outcome
    position: int = 0
    error: ChicoryplankError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Event: an admitted request ended, with or without success.

    Attributes:
        attempt: Id of the request.
        tokens: Generated tokens.
        succeeded: Whether the response is complete. The latency of failed
            requests is ignored, since it does not show the group's load.
    """

    attempt: AttemptId
    tokens: int = 0
    succeeded: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Event: the caller of a queued request cancelled it."""

    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: time passed; queued requests that would be late are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Recent demand of a client account, including refused requests.

    Attributes:
        requests_per_s: Rate of received requests.
        tokens_per_s: Rate of the tokens stated in them.
    """

    requests_per_s: float
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """Event: demand summed over entries, including this one.

    Attributes:
        sums: Sum for each client account; accounts without demand may be
            omitted.
        entry_count: Number of entries that contributed to the sums.
        lag: Age of the oldest contribution, if known; sums older than
            `ShareParameters.max_lag` are ignored.
    """

    sums: Mapping[AccountId, Demand]
    entry_count: int
    lag: timedelta = timedelta()


Observation = Completion | Withdrawal | Tick | PeerDemand
