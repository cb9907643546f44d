"""Admission to one replica group by priority and deadline."""

import math
from datetime import timedelta

from chicoryplank.configuration import Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AttemptId
from chicoryplank.limits._adaptive_limit import AdaptiveLimit
from chicoryplank.limits._fair_queue import FairQueue
from chicoryplank.limits._messages import Admission, Outcome, Request
from chicoryplank.limits._parameters import QueueParameters
from chicoryplank.verdict import Verdict


class GroupQueue:
    """Priority queues and concurrency limit of one replica group.

    A request starts at once if a slot is free and no request of the same or a
    higher priority is queued. Otherwise it joins the queue of its priority
    class, unless that queue is full or the expected end of the request is past
    its deadline. Urgent requests have additional slots beyond the limit, so
    that they rarely wait for a bulk request to end. A waiting class gets a
    slot after `lower_every` slots went to higher classes, so that these cannot
    starve it.

    Args:
        parameters: Parameters of the queues and of the limit.
        now: Current time in seconds.
    """

    def __init__(self, parameters: QueueParameters, now: float) -> None:
        self._parameters = parameters
        self._limit = AdaptiveLimit(parameters, now)
        self._queues = [FairQueue(parameters.max_queued) for _ in Priority]
        self._skipped = [0 for _ in Priority]
        self._in_progress: dict[AttemptId, tuple[Request, float]] = {}

    @property
    def in_progress(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._in_progress)

    @property
    def limit(self) -> int:
        """Concurrency limit, without the additional urgent slots."""
        return self._limit.value

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues)

    def admit(self, request: Request, deadline: float, now: float) -> Admission:
        """Decides on a request that conforms to the rate limits.

        Args:
            request: The request.
            deadline: Its deadline, in seconds since the epoch.
            now: Current time, in seconds since the epoch.
        """
        same_or_higher = self._queues[: request.priority + 1]
        starts = self._has_slot(request.priority) and not any(
            len(queue) for queue in same_or_higher
        )
        count, wait_s = (0, 0.0) if starts else self._estimate_wait(request)
        late_s = now + wait_s + self._estimate_service_s(request) - deadline
        if late_s > 0:
            return self._refuse(
                request,
                ErrorCode.DEADLINE_UNREACHABLE,
                f"expected end is {late_s:.3f} s after the deadline",
                late_s,
            )
        if starts:
            return self._start(request, now)
        queue = self._queues[request.priority]
        if not queue.has_room(request.account):
            return self._refuse(
                request,
                ErrorCode.QUEUE_FULL,
                f"queue has no room: {len(queue)} requests of class "
                f"{request.priority.name} are waiting",
                wait_s,
            )
        queue.push(request)
        return Admission(request, Outcome.QUEUED, count)

    def complete(
        self, attempt: AttemptId, tokens: int, succeeded: bool, now: float
    ) -> Request | None:
        """Removes a request in progress and returns it, if it is known."""
        found = self._in_progress.get(attempt)
        if found is None:
            return None
        request, started = found
        if succeeded:
            in_use = len(self._in_progress)
            self._limit.observe(request, tokens, started, now, in_use)
        del self._in_progress[attempt]
        return request

    def withdraw(self, request: Request) -> None:
        """Removes a queued request."""
        self._queues[request.priority].withdraw(request)

    def dispatch(self, now: float) -> list[Admission]:
        """Admits queued requests while slots are free.

        Returns:
            Decisions on the admitted requests, and on those that were refused
            because they can no longer meet their deadline.
        """
        decided: list[Admission] = []
        while True:
            priority = self._choose_class()
            if priority is None:
                return decided
            request, late = self._queues[priority].pop(
                lambda item: self._is_late(item, now)
            )
            decided.extend(self._refuse_late(item) for item in late)
            if request is not None:
                self._record_dispatch(priority)
                decided.append(self._start(request, now))

    def expire(self, now: float) -> list[Admission]:
        """Refuses queued requests that can no longer meet their deadline."""
        decided = []
        for queue in self._queues:
            for request in queue.list_requests():
                if self._is_late(request, now):
                    queue.withdraw(request)
                    decided.append(self._refuse_late(request))
        return decided

    def _has_slot(self, priority: Priority) -> bool:
        limit = self._limit.value
        if priority is Priority.URGENT:
            limit += max(1, math.ceil(limit * self._parameters.urgent_part))
        return len(self._in_progress) < limit

    def _choose_class(self) -> Priority | None:
        waiting = [
            priority
            for priority in Priority
            if len(self._queues[priority]) and self._has_slot(priority)
        ]
        for priority in waiting:
            if self._skipped[priority] >= self._parameters.lower_every:
                return priority
        return waiting[0] if waiting else None

    def _record_dispatch(self, chosen: Priority) -> None:
        self._skipped[chosen] = 0
        for priority in Priority:
            if priority > chosen and len(self._queues[priority]):
                self._skipped[priority] += 1

    def _estimate_wait(self, request: Request) -> tuple[int, float]:
        count, work = self._queues[request.priority].estimate_ahead(request)
        for queue in self._queues[: request.priority]:
            count += len(queue)
            work += queue.total_work
        return count, self._limit.estimate_drain_s(work)

    def _estimate_service_s(self, request: Request) -> float:
        return self._limit.estimate_service_s(request) * self._parameters.margin

    def _is_late(self, request: Request, now: float) -> bool:
        end = now + self._estimate_service_s(request)
        return end > request.deadline.timestamp()

    def _start(self, request: Request, now: float) -> Admission:
        self._in_progress[request.attempt] = (request, now)
        return Admission(request, Outcome.ADMITTED)

    def _refuse_late(self, request: Request) -> Admission:
        _, wait_s = self._estimate_wait(request)
        return self._refuse(
            request,
            ErrorCode.DEADLINE_UNREACHABLE,
            "request waited too long in the queue to meet its deadline",
            wait_s,
        )

    def _refuse(
        self, request: Request, code: ErrorCode, message: str, wait_s: float
    ) -> Admission:
        parameters = self._parameters
        retry_after = min(
            max(timedelta(seconds=wait_s), parameters.min_retry_after),
            parameters.max_retry_after,
        )
        error = ChicoryplankError(code, message, Verdict.NOT_RUN, retry_after)
        return Admission(request, Outcome.REFUSED, error=error)
