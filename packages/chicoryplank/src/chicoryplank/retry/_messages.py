"""Inputs and decisions of the retry policy."""

import dataclasses
from datetime import datetime, timedelta

from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import AccountId
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Failed attempt for which a retry is requested.

    Attributes:
        account: Client account.
        group: Model group or service.
        error: Error of the attempt, with its verdict.
        repeatable: Whether the request is idempotent.
        deadline: Time when the response must be complete, in UTC.
        sent_bytes: Response bytes that were already sent to the caller.
        retries: Retries that the request already had.
        earlier: Verdict on the earlier attempts of the request: MAY_HAVE_RUN
            if any of them may have run.
        expected: Expected duration of one more attempt.
    """

    account: AccountId
    group: str
    error: ChicoryplankError
    repeatable: bool
    deadline: datetime
    sent_bytes: int = 0
    retries: int = 0
    earlier: Verdict = Verdict.NOT_RUN
    expected: timedelta = timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    """Slow attempt for which a hedge (a parallel attempt) is requested.

    Attributes:
        account: Client account.
        group: Model group or service.
        repeatable: Whether the request is idempotent.
        deadline: Time when the response must be complete, in UTC.
        waited: Time since the attempt was sent.
        sent_bytes: Response bytes that were already sent to the caller.
        hedges: Hedges that the request already had.
        expected: Expected duration of one more attempt.
    """

    account: AccountId
    group: str
    repeatable: bool
    deadline: datetime
    waited: timedelta
    sent_bytes: int = 0
    hedges: int = 0
    expected: timedelta = timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Decision on a retry or a hedge.

    Attributes:
        allowed: Whether another attempt may be sent.
        delay: Backoff before it is sent.
        error: Error for the caller if a retry is not allowed; None for a
            hedge, since the first attempt continues.
    """

    allowed: bool
    delay: timedelta = timedelta()
    error: ChicoryplankError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request was admitted for its first attempt."""

    account: AccountId


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """An attempt produced its first token, or its first byte for a service.

    Attributes:
        group: Model group or service.
        elapsed: Time since the attempt was sent.
    """

    group: str
    elapsed: timedelta


Observation = Arrival | FirstToken
