"""Rate limiting and admission of the requests of one entry."""

import math
from collections.abc import Mapping
from datetime import datetime, timedelta

from chicoryplank.configuration import AccountConfiguration
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId, AttemptId
from chicoryplank.invariants import require
from chicoryplank.limits._group_queue import GroupQueue
from chicoryplank.limits._messages import (
    Admission,
    Completion,
    Demand,
    Observation,
    Outcome,
    PeerDemand,
    Request,
    Withdrawal,
)
from chicoryplank.limits._parameters import QueueParameters, ShareParameters
from chicoryplank.limits._rate_shares import RateShares
from chicoryplank.verdict import Verdict

_MAX_RETRY_AFTER_S = 30.0


class Limiter:
    """Rate limits and admission control of one entry.

    A request is checked first against this entry's share of its account's
    rate, and then needs a slot or a place in the queue of its replica group. A
    refused request is not charged to the account.

    Args:
        now: Current time in UTC.
        shares: Parameters of the rate shares.
        queues: Queue parameters for groups that are not in group_queues.
        group_queues: Queue parameters by group.

    Example:
        >>> from datetime import UTC
        >>> from chicoryplank.configuration import Priority
        >>> now = datetime(2026, 1, 1, tzinfo=UTC)
        >>> limiter = Limiter(now)
        >>> account = AccountConfiguration(
        ...     "", 10, 1000, Priority.NORMAL, frozenset()
        ... )
        >>> limiter.configure({AccountId("quotes"): account}, 1, now)
        >>> request = Request(
        ...     AttemptId("1"),
        ...     AccountId("quotes"),
        ...     "toolroom-llm",
        ...     Priority.NORMAL,
        ...     now + timedelta(seconds=60),
        ...     100,
        ... )
        >>> limiter.admit(request, now).outcome
        <Outcome.ADMITTED: 'admitted'>
        >>> limiter.observe(Completion(AttemptId("1"), 90), now)
        []
    """

    def __init__(
        self,
        now: datetime,
        shares: ShareParameters | None = None,
        queues: QueueParameters | None = None,
        group_queues: Mapping[str, QueueParameters] | None = None,
    ) -> None:
        self._shares = RateShares(shares or ShareParameters(), 1)
        self._queue_parameters = queues or QueueParameters()
        self._group_parameters = dict(group_queues or {})
        self._groups = {
            name: GroupQueue(parameters, now.timestamp())
            for name, parameters in self._group_parameters.items()
        }
        self._queued: dict[AttemptId, Request] = {}
        self._in_progress: dict[AttemptId, str] = {}

    def configure(
        self,
        accounts: Mapping[AccountId, AccountConfiguration],
        entries: int,
        now: datetime,
    ) -> None:
        """Sets the rates of all accounts and the number of entries.

        Args:
            accounts: Client accounts by id.
            entries: Number of live entries, including this one. If it is
                uncertain, the larger number ensures that the limits hold.
            now: Current time in UTC.

        Raises:
            ValueError: If entries is less than 1.
        """
        if entries < 1:
            raise ValueError(f"entries must be at least 1: {entries}")
        self._shares.configure(dict(accounts), entries, now.timestamp())

    def configure_group(self, group: str, parameters: QueueParameters) -> None:
        """Sets the queue parameters of a group before its first request.

        A group that had requests keeps its parameters, because its limit has
        already adapted to them.

        Args:
            group: Model group or service.
            parameters: Parameters of its queue.
        """
        if group not in self._groups:
            self._group_parameters[group] = parameters

    def admit(self, request: Request, now: datetime) -> Admission:
        """Decides on a new request.

        Args:
            request: The request.
            now: Current time in UTC.

        Returns:
            The decision. The final decision on a queued request is returned
            by a later call of observe.

        Raises:
            ChicoryplankError: With INVARIANT_VIOLATED if the attempt is
                already queued or in progress.
        """
        attempt = request.attempt
        require(
            attempt not in self._queued and attempt not in self._in_progress,
            "attempt_admitted_once",
            f"attempt {attempt}",
            Verdict.NOT_RUN,
        )
        now_s = now.timestamp()
        wait_s = self._shares.admit(request.account, request.tokens, now_s)
        if wait_s > 0:
            return _refuse_over_rate(request, wait_s)
        group = self._get_group(request.group, now_s)
        admission = group.admit(request, request.deadline.timestamp(), now_s)
        if admission.outcome is Outcome.REFUSED:
            return admission
        self._shares.take(request.account, 1, request.tokens)
        if admission.outcome is Outcome.QUEUED:
            self._queued[attempt] = request
        else:
            self._in_progress[attempt] = request.group
        return admission

    def observe(
        self, observation: Observation, now: datetime
    ) -> list[Admission]:
        """Processes an event and decides on queued requests.

        Args:
            observation: End of an admitted request, withdrawal of a queued
                one, demand of all entries, or a timer tick. A Tick is needed
                at least every 100 ms while requests are queued. Unknown
                attempts are ignored.
            now: Current time in UTC.

        Returns:
            Final decisions on requests that were queued, in order.
        """
        now_s = now.timestamp()
        if isinstance(observation, Completion):
            return self._complete(observation, now_s)
        if isinstance(observation, Withdrawal):
            self._withdraw(observation.attempt)
            return []
        if isinstance(observation, PeerDemand):
            self._shares.observe_peers(observation, now_s)
            return []
        decided = []
        for group in self._groups.values():
            decided.extend(group.expire(now_s))
            decided.extend(group.dispatch(now_s))
        return self._record_decisions(decided)

    def demand(self, now: datetime) -> dict[AccountId, Demand]:
        """Returns the recent demand at this entry, sent in heartbeats."""
        return self._shares.demand(now.timestamp())

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    @property
    def in_progress(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._in_progress)

    def get_concurrency_limit(self, group: str) -> int:
        """Returns the current concurrency limit of a group, for metrics."""
        found = self._groups.get(group)
        return (
            found.limit if found else self._get_parameters(group).initial_limit
        )

    def _get_parameters(self, group: str) -> QueueParameters:
        return self._group_parameters.get(group, self._queue_parameters)

    def _get_group(self, name: str, now_s: float) -> GroupQueue:
        group = self._groups.get(name)
        if group is None:
            group = GroupQueue(self._get_parameters(name), now_s)
            self._groups[name] = group
        return group

    def _complete(
        self, completion: Completion, now_s: float
    ) -> list[Admission]:
        name = self._in_progress.pop(completion.attempt, None)
        if name is None:
            return []
        group = self._groups[name]
        request = group.complete(
            completion.attempt, completion.tokens, completion.succeeded, now_s
        )
        # The bucket was charged the stated tokens; correct the difference.
        difference = completion.tokens - request.tokens
        self._shares.take(request.account, 0, difference)
        return self._record_decisions(group.dispatch(now_s))

    def _withdraw(self, attempt: AttemptId) -> None:
        request = self._queued.pop(attempt, None)
        if request is None:
            return
        self._groups[request.group].withdraw(request)
        self._shares.take(request.account, -1, -request.tokens)

    def _record_decisions(self, decided: list[Admission]) -> list[Admission]:
        for admission in decided:
            request = admission.request
            del self._queued[request.attempt]
            if admission.outcome is Outcome.ADMITTED:
                self._in_progress[request.attempt] = request.group
            else:
                self._shares.take(request.account, -1, -request.tokens)
        return decided


def _refuse_over_rate(request: Request, wait_s: float) -> Admission:
    """Refuses a request that is over its account's rate limit."""
    known = math.isfinite(wait_s)
    retry_after = timedelta(seconds=min(wait_s, _MAX_RETRY_AFTER_S))
    message = f"client account {request.account} exceeds its rate limit"
    error = ChicoryplankError(
        ErrorCode.RATE_LIMITED,
        message if known else f"{message} of 0",
        Verdict.NOT_RUN,
        retry_after if known else None,
    )
    return Admission(request, Outcome.REFUSED, error=error)
