"""Decides whether a request may be sent again."""

import random
from datetime import datetime, timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.retry._messages import (
    Arrival,
    Failure,
    Hedge,
    Observation,
    Permission,
)
from chicoryplank.retry._parameters import RetryParameters
from chicoryplank.retry._quantile import RecentQuantile
from chicoryplank.verdict import Verdict

# Failures of one replica or connection, which another replica may not have.
# All other errors concern the request or the fleet and would come again.
_LOCAL_FAILURES = frozenset(
    {
        ErrorCode.ANSWER_TRUNCATED,
        ErrorCode.ATTEMPT_ABANDONED,
        ErrorCode.BACKEND_FAILED,
        ErrorCode.MEMBER_UNREACHABLE,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.SHUTTING_DOWN,
    }
)
_OVERLOADS = frozenset(
    {
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.NO_REPLICA,
        ErrorCode.QUEUE_FULL,
        ErrorCode.RATE_LIMITED,
        ErrorCode.TOO_MANY_REQUESTS,
    }
)


class _Budget:
    """Saved retries of one client account, or of the entry."""

    def __init__(self, parameters: RetryParameters, now: datetime) -> None:
        self._parameters = parameters
        self._saved = parameters.initial
        self._updated = now

    def add(self, amount: float, now: datetime) -> None:
        """Adds an amount and what the floor yields for the time passed."""
        elapsed_s = max(0.0, (now - self._updated).total_seconds())
        self._updated = now
        self._saved = min(
            self._saved + amount + elapsed_s * self._parameters.floor_per_s,
            self._parameters.max_saved,
        )

    def has(self, reserve: float) -> bool:
        """Tells whether one retry leaves at least the reserve."""
        return self._saved >= 1 + reserve

    def take(self) -> None:
        """Takes one retry."""
        self._saved -= 1

    def wait(self) -> timedelta:
        """Returns the time after which the floor alone yields a retry."""
        missing = max(0.0, 1 - self._saved)
        return timedelta(seconds=missing / self._parameters.floor_per_s)


class RetryPolicy:
    """Retry budget, verdict rules, backoff and hedging of one entry.

    In any window of T seconds an account gets at most

        ratio * requests + floor_per_s * T + max_saved

    retries and hedges together, and all accounts of the entry together get
    the same with `total_ratio` in the place of `ratio`. The second bound
    matters where an entry serves many accounts with few requests each, whose
    floors and savings would add up. A retry is allowed only if no byte went to
    the caller, the failure is one of a single replica, the request did not
    run or is repeatable, and its deadline leaves time. A refusal for overload
    is passed on with its Retry-After.

    Args:
        rng: Source of the jitter.
        parameters: Parameters.

    Example:
        >>> from datetime import UTC
        >>> now = datetime(2026, 1, 1, tzinfo=UTC)
        >>> account = AccountId("quotes")
        >>> policy = RetryPolicy(random.Random(1))
        >>> policy.observe(Arrival(account), now)
        >>> error = ChicoryplankError(ErrorCode.BACKEND_FAILED, "no answer")
        >>> deadline = now + timedelta(seconds=5)
        >>> failure = Failure(account, "toolroom-llm", error, True, deadline)
        >>> policy.admit(failure, now).allowed
        True

    References:
        Brooker: Exponential Backoff and Jitter, 2015 ("full jitter").
        Dean, Barroso: The Tail at Scale, 2013 (hedged requests).
    """

    def __init__(
        self, rng: random.Random, parameters: RetryParameters | None = None
    ) -> None:
        self._rng = rng
        self._parameters = parameters or RetryParameters()
        self._total: _Budget | None = None
        self._budgets: dict[AccountId, _Budget] = {}
        self._first_tokens: dict[str, RecentQuantile] = {}
        self._overloaded_until: dict[str, datetime] = {}

    def observe(self, observation: Observation, now: datetime) -> None:
        """Takes an arrival or the latency of a first token."""
        if isinstance(observation, Arrival):
            budget = self._find_budget(observation.account, now)
            budget.add(self._parameters.ratio, now)
            total = self._find_total(now)
            total.add(self._parameters.total_ratio, now)
            return
        quantile = self._first_tokens.get(observation.group)
        if quantile is None:
            quantile = self._first_tokens[observation.group] = RecentQuantile(
                self._parameters.hedge_percentile, self._parameters.min_samples
            )
        quantile.observe(observation.elapsed.total_seconds())

    def admit(self, candidate: Failure | Hedge, now: datetime) -> Permission:
        """Decides on a retry after a failure, or on a hedge.

        Args:
            candidate: The failed or slow attempt.
            now: Current time in UTC.

        Returns:
            Whether and when another attempt may be sent; otherwise the error
            for the caller. The error says MAY_HAVE_RUN if any attempt of the
            request may have run.
        """
        if isinstance(candidate, Hedge):
            return Permission(self._allows_hedge(candidate, now))
        error = _merge_verdicts(candidate)
        if candidate.error.code in _OVERLOADS:
            hold = self._parameters.overload_hold
            self._overloaded_until[candidate.group] = now + hold
        if not self._allows_retry(candidate):
            return Permission(False, error=error)
        bound = self._find_backoff(candidate, now)
        if bound <= timedelta():
            return Permission(False, error=error)
        budget = self._find_budget(candidate.account, now)
        if not self._take(budget, 0, now):
            return Permission(False, error=self._refuse(error, budget))
        return Permission(True, self._rng.random() * bound)

    def find_hedge_delay(self, group: str) -> timedelta | None:
        """Returns when to ask for a hedge; None while too little is known."""
        quantile = self._first_tokens.get(group)
        if quantile is None or quantile.value_s is None:
            return None
        return timedelta(seconds=quantile.value_s)

    def _allows_retry(self, failure: Failure) -> bool:
        error = failure.error
        overloaded = error.code in _OVERLOADS or (
            error.retry_after is not None
            and error.code is not ErrorCode.SHUTTING_DOWN
        )
        return (
            failure.sent_bytes == 0
            and error.code in _LOCAL_FAILURES
            and not overloaded
            and failure.retries < self._parameters.max_retries
            and _may_repeat(failure)
        )

    def _allows_hedge(self, hedge: Hedge, now: datetime) -> bool:
        delay = self.find_hedge_delay(hedge.group)
        if (
            delay is None
            or hedge.waited < delay
            or not hedge.repeatable
            or hedge.sent_bytes
            or hedge.hedges
            or now + hedge.expected >= hedge.deadline
        ):
            return False
        held = self._overloaded_until.get(hedge.group)
        if held is not None and now < held:
            return False
        budget = self._find_budget(hedge.account, now)
        return self._take(budget, self._parameters.hedge_reserve, now)

    def _find_backoff(self, failure: Failure, now: datetime) -> timedelta:
        parameters = self._parameters
        bound = parameters.base * 2**failure.retries
        left = failure.deadline - now - failure.expected
        return min(bound, parameters.max_backoff, left)

    def _find_budget(self, account: AccountId, now: datetime) -> _Budget:
        budget = self._budgets.get(account)
        if budget is None:
            budget = self._budgets[account] = _Budget(self._parameters, now)
        return budget

    def _find_total(self, now: datetime) -> _Budget:
        if self._total is None:
            self._total = _Budget(self._parameters, now)
        return self._total

    def _take(self, budget: _Budget, reserve: float, now: datetime) -> bool:
        total = self._find_total(now)
        budget.add(0, now)
        total.add(0, now)
        if not (budget.has(reserve) and total.has(reserve)):
            return False
        budget.take()
        total.take()
        return True

    def _refuse(
        self, error: ChicoryplankError, budget: _Budget
    ) -> ChicoryplankError:
        refusal = ChicoryplankError(
            ErrorCode.RETRY_BUDGET_EXHAUSTED,
            f"no retry is left for this failure: {error}",
            error.verdict,
            min(budget.wait(), self._parameters.max_retry_after),
        )
        refusal.__cause__ = error
        return refusal


def _may_repeat(failure: Failure) -> bool:
    """Tells whether the verdicts allow the request to run once more."""
    verdicts = (failure.error.verdict, failure.earlier)
    if Verdict.RAN in verdicts:
        return False
    return failure.repeatable or Verdict.MAY_HAVE_RUN not in verdicts


def _merge_verdicts(failure: Failure) -> ChicoryplankError:
    """Returns the error with a verdict on all attempts of the request."""
    error = failure.error
    if failure.earlier is Verdict.NOT_RUN or error.verdict is Verdict.RAN:
        return error
    if error.verdict is failure.earlier:
        return error
    merged = ChicoryplankError(
        error.code, error.message, failure.earlier, error.retry_after
    )
    merged.__cause__ = error
    return merged
