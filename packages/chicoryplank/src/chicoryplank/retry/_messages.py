"""Questions to the retry policy, its answers, and observations."""

import dataclasses
from datetime import datetime, timedelta

from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import AccountId
from chicoryplank.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt failed; may the request be sent again?

    Attributes:
        account: Client account.
        group: Model group or service.
        error: Error of the attempt, with its verdict.
        repeatable: Whether running the request twice does no harm.
        deadline: Time when the answer must be complete, in UTC.
        sent_bytes: Answer bytes that already went to the caller.
        retries: Retries that the request already had.
        earlier: What is known of earlier attempts of the request:
            MAY_HAVE_RUN if any of them may have run.
        expected: Time that one more attempt is expected to take.
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
    """An attempt is slow; may a second one be sent beside it?

    Attributes:
        account: Client account.
        group: Model group or service.
        repeatable: Whether running the request twice does no harm.
        deadline: Time when the answer must be complete, in UTC.
        waited: Time since the attempt was sent.
        sent_bytes: Answer bytes that already went to the caller.
        hedges: Hedges that the request already had.
        expected: Time that one more attempt is expected to take.
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
class Permission:
    """Answer of the policy.

    Attributes:
        allowed: Whether another attempt may be sent.
        delay: Time to wait before it is sent.
        error: Error to raise to the caller if a retry is not allowed; None
            for hedges, whose first attempt goes on.
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
    """An attempt yielded its first token, or its first byte for a service.

    Attributes:
        group: Model group or service.
        elapsed: Time since the attempt was sent.
    """

    group: str
    elapsed: timedelta


Observation = Arrival | FirstToken
