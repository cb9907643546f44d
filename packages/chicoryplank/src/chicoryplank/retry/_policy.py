"""Retry policy, which decides on retries and hedges."""

import random
from datetime import datetime, timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.retry._messages import (
    Arrival,
    Failure,
    Hedge,
    Observation,
    RetryDecision,
)
from chicoryplank.retry._parameters import RetryParameters
from chicoryplank.retry._quantile import RecentQuantile
from chicoryplank.verdict import Verdict

# Failures of one replica or connection; an attempt at another replica may
# succeed. All other errors are caused by the request or by the whole cluster
# and would occur again.
_REPLICA_FAILURE_CODES = frozenset(
    {
        ErrorCode.ANSWER_TRUNCATED,
        ErrorCode.ATTEMPT_ABANDONED,
        ErrorCode.BACKEND_CRASHED,
        ErrorCode.BACKEND_FAILED,
        ErrorCode.MEMBER_UNREACHABLE,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.REPLICA_LIMITED,
        ErrorCode.SHUTTING_DOWN,
    }
)
# Errors of one replica that say when it takes requests again; others may take
# the request at once.
_ELSEWHERE_CODES = frozenset(
    {ErrorCode.REPLICA_LIMITED, ErrorCode.SHUTTING_DOWN}
)
_OVERLOAD_CODES = frozenset(
    {
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.NO_REPLICA,
        ErrorCode.QUEUE_FULL,
        ErrorCode.RATE_LIMITED,
        ErrorCode.TOO_MANY_REQUESTS,
    }
)


class _Budget:
    """Token bucket of retries for one client account, or for the entry."""

    def __init__(self, parameters: RetryParameters, now: datetime) -> None:
        self._parameters = parameters
        self._balance = parameters.initial
        self._updated_at = now

    def add(self, amount: float, now: datetime) -> None:
        """Adds an amount, and the floor rate times the time since last call."""
        elapsed_s = max(0.0, (now - self._updated_at).total_seconds())
        self._updated_at = now
        self._balance = min(
            self._balance + amount + elapsed_s * self._parameters.floor_per_s,
            self._parameters.max_saved,
        )

    def can_spend(self, reserve: float) -> bool:
        """Tells whether the reserve is left after one more retry."""
        return self._balance >= 1 + reserve

    def spend(self) -> None:
        """Spends one retry."""
        self._balance -= 1

    def get_refill_time(self) -> timedelta:
        """Returns the time in which the floor rate alone allows a retry."""
        missing = max(0.0, 1 - self._balance)
        return timedelta(seconds=missing / self._parameters.floor_per_s)


class RetryPolicy:
    """Retry budgets, safety rules, backoff and hedging of one entry.

    In any window of T seconds an account gets at most

        ratio * requests + floor_per_s * T + max_saved

    retries and hedges together. All accounts of the entry together get at most
    the same with `total_ratio` in place of `ratio`. The second bound matters
    for an entry with many accounts of few requests each, whose floors and
    saved budgets would add up. A retry is allowed only if no response byte was
    sent to the caller, the failure concerns a single replica, the request did
    not run or is idempotent, and its deadline leaves enough time. A refusal
    for overload is not retried and reaches the caller with its Retry-After.

    Args:
        rng: Random number generator for the jitter.
        parameters: Parameters of the policy; None for the defaults.

    Example:
        >>> from datetime import UTC
        >>> now = datetime(2026, 1, 1, tzinfo=UTC)
        >>> account = AccountId("quotes")
        >>> policy = RetryPolicy(random.Random(1))
        >>> policy.observe(Arrival(account), now)
        >>> error = ChicoryplankError(ErrorCode.BACKEND_FAILED, "no response")
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
        self._total_budget: _Budget | None = None
        self._budgets: dict[AccountId, _Budget] = {}
        self._first_tokens: dict[str, RecentQuantile] = {}
        self._overloaded_until: dict[str, datetime] = {}

    def observe(self, observation: Observation, now: datetime) -> None:
        """Records a new request or the latency of a first token."""
        if isinstance(observation, Arrival):
            budget = self._get_budget(observation.account, now)
            budget.add(self._parameters.ratio, now)
            total = self._get_total_budget(now)
            total.add(self._parameters.total_ratio, now)
            return
        quantile = self._first_tokens.get(observation.group)
        if quantile is None:
            quantile = self._first_tokens[observation.group] = RecentQuantile(
                self._parameters.hedge_percentile, self._parameters.min_samples
            )
        quantile.observe(observation.elapsed.total_seconds())

    def admit(self, candidate: Failure | Hedge, now: datetime) -> RetryDecision:
        """Decides on a retry after a failure, or on a hedge.

        Args:
            candidate: The failed or slow attempt.
            now: Current time in UTC.

        Returns:
            The decision, with the backoff or the error for the caller. The
            verdict of the error is MAY_HAVE_RUN if any attempt of the request
            may have run.
        """
        if isinstance(candidate, Hedge):
            return RetryDecision(self._allows_hedge(candidate, now))
        error = _merge_verdicts(candidate)
        if candidate.error.code in _OVERLOAD_CODES:
            hold = self._parameters.overload_hold
            self._overloaded_until[candidate.group] = now + hold
        if not self._allows_retry(candidate):
            return RetryDecision(False, error=error)
        bound = self._compute_backoff_bound(candidate, now)
        if bound <= timedelta():
            return RetryDecision(False, error=error)
        budget = self._get_budget(candidate.account, now)
        if not self._try_spend(budget, 0, now):
            return RetryDecision(
                False, error=self._make_exhausted_error(error, budget)
            )
        return RetryDecision(True, self._rng.random() * bound)

    def get_hedge_delay(self, group: str) -> timedelta | None:
        """Returns the delay before a hedge; None if there are few samples."""
        quantile = self._first_tokens.get(group)
        if quantile is None or quantile.value_s is None:
            return None
        return timedelta(seconds=quantile.value_s)

    def _allows_retry(self, failure: Failure) -> bool:
        error = failure.error
        if error.code is ErrorCode.REPLICA_LIMITED and not failure.repeatable:
            # The idempotency key determines the replica, so that a retry would
            # meet the same limit.
            return False
        overloaded = error.code in _OVERLOAD_CODES or (
            error.retry_after is not None and error.code not in _ELSEWHERE_CODES
        )
        return (
            failure.sent_bytes == 0
            and error.code in _REPLICA_FAILURE_CODES
            and not overloaded
            and failure.retries < self._parameters.max_retries
            and _is_safe_to_rerun(failure)
        )

    def _allows_hedge(self, hedge: Hedge, now: datetime) -> bool:
        delay = self.get_hedge_delay(hedge.group)
        if (
            delay is None
            or hedge.waited < delay
            or not hedge.repeatable
            or hedge.sent_bytes
            or hedge.hedges
            or now + hedge.expected >= hedge.deadline
        ):
            return False
        hold_until = self._overloaded_until.get(hedge.group)
        if hold_until is not None and now < hold_until:
            return False
        budget = self._get_budget(hedge.account, now)
        return self._try_spend(budget, self._parameters.hedge_reserve, now)

    def _compute_backoff_bound(
        self, failure: Failure, now: datetime
    ) -> timedelta:
        parameters = self._parameters
        bound = parameters.base * 2**failure.retries
        remaining = failure.deadline - now - failure.expected
        return min(bound, parameters.max_backoff, remaining)

    def _get_budget(self, account: AccountId, now: datetime) -> _Budget:
        budget = self._budgets.get(account)
        if budget is None:
            budget = self._budgets[account] = _Budget(self._parameters, now)
        return budget

    def _get_total_budget(self, now: datetime) -> _Budget:
        if self._total_budget is None:
            self._total_budget = _Budget(self._parameters, now)
        return self._total_budget

    def _try_spend(
        self, budget: _Budget, reserve: float, now: datetime
    ) -> bool:
        total = self._get_total_budget(now)
        budget.add(0, now)
        total.add(0, now)
        if not (budget.can_spend(reserve) and total.can_spend(reserve)):
            return False
        budget.spend()
        total.spend()
        return True

    def _make_exhausted_error(
        self, error: ChicoryplankError, budget: _Budget
    ) -> ChicoryplankError:
        refusal = ChicoryplankError(
            ErrorCode.RETRY_BUDGET_EXHAUSTED,
            f"retry budget is exhausted after this failure: {error}",
            error.verdict,
            min(budget.get_refill_time(), self._parameters.max_retry_after),
        )
        refusal.__cause__ = error
        return refusal


def _is_safe_to_rerun(failure: Failure) -> bool:
    """Tells whether the verdicts allow the request to run once more.

    A request that ran is never repeated; one that may have run is repeated
    only if it is idempotent.
    """
    verdicts = (failure.error.verdict, failure.earlier)
    if Verdict.RAN in verdicts:
        return False
    return failure.repeatable or Verdict.MAY_HAVE_RUN not in verdicts


def _merge_verdicts(failure: Failure) -> ChicoryplankError:
    """Returns the error with the verdict on all attempts of the request."""
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
