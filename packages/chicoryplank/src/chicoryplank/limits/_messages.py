"""Requests, admissions and observations of the limits."""

import dataclasses
import enum
from collections.abc import Mapping
from datetime import datetime, timedelta

from chicoryplank.configuration import Priority
from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import AccountId, AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What admission needs to know about a request.

    Attributes:
        attempt: Id, unique while the request is queued or in progress.
        account: Client account that sent it.
        group: Model group or service that serves it.
        priority: Priority class.
        deadline: Time when the answer must be complete, in UTC.
        tokens: Upper bound or estimate of generated tokens; 0 for services.
    """

    attempt: AttemptId
    account: AccountId
    group: str
    priority: Priority
    deadline: datetime
    tokens: int = 0


class Outcome(enum.Enum):
    """Decision on a request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Decision on a request.

    Attributes:
        request: The request.
        outcome: Admitted, queued or refused; a refusal is final.
        position: Upper bound on queued requests ahead of this one; 0 unless
            queued.
        error: Error to raise to the caller; None unless refused.
    """

    request: Request
    outcome: Outcome
    position: int = 0
    error: ChicoryplankError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """An admitted request left the replica group.

    Attributes:
        attempt: Id of the request.
        tokens: Tokens that were generated.
        succeeded: Whether the answer is complete; the time that a failed
            request took says nothing about the load of the group.
    """

    attempt: AttemptId
    tokens: int = 0
    succeeded: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """The caller of a queued request gave up; it leaves the queue."""

    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; queued requests that would be late are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Recent demand of a client account, admitted or not.

    Attributes:
        requests_per_s: Requests that arrived.
        tokens_per_s: Tokens that they asked for.
    """

    requests_per_s: float
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """Demand summed over entries, this one included.

    Attributes:
        sums: Sum for each client account; accounts without demand may be
            left out.
        heard: Number of entries in the sums.
        lag: Age of the oldest contribution, where known; a message older
            than the largest accepted lag is ignored.
    """

    sums: Mapping[AccountId, Demand]
    heard: int
    lag: timedelta = timedelta()


Observation = Completion | Withdrawal | Tick | PeerDemand
