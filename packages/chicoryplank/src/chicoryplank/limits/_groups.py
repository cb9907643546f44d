"""Admission to one replica group by priority and deadline."""

import math
from datetime import timedelta

from chicoryplank.configuration import Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AttemptId
from chicoryplank.limits._concurrency import AdaptiveLimit
from chicoryplank.limits._fair import FairQueue
from chicoryplank.limits._messages import Admission, Outcome, Request
from chicoryplank.limits._parameters import QueueParameters
from chicoryplank.verdict import Verdict


class GroupQueue:
    """Queues and concurrency limit of one replica group.

    A request starts at once if a slot is free and no other request of its
    class or a better one waits. Otherwise it waits in the queue of its class,
    unless the estimated wait and service time exceed its deadline or the
    queue is full. Urgent requests have slots beyond the limit, so that a free
    slot rarely depends on the end of a bulk request. A waiting class gets
    every `lower_every`-th slot, so that better classes cannot starve it.

    Args:
        parameters: Parameters.
        now: Time in seconds.
    """

    def __init__(self, parameters: QueueParameters, now: float) -> None:
        self._parameters = parameters
        self._limit = AdaptiveLimit(parameters, now)
        self._queues = [FairQueue(parameters.max_queued) for _ in Priority]
        self._passed = [0 for _ in Priority]
        self._in_progress: dict[AttemptId, tuple[Request, float]] = {}

    @property
    def in_progress(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._in_progress)

    @property
    def limit(self) -> int:
        """Requests that may be in progress, without the urgent slots."""
        return self._limit.value

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues)

    def admit(self, request: Request, deadline: float, now: float) -> Admission:
        """Decides on a request that conforms to the rate limits.

        Args:
            request: The request.
            deadline: Its deadline, in seconds.
            now: Time in seconds.
        """
        better = self._queues[: request.priority + 1]
        starts = self._has_slot(request.priority) and not any(
            len(queue) for queue in better
        )
        count, wait_s = (0, 0.0) if starts else self._find_wait(request)
        late_s = now + wait_s + self._find_service_s(request) - deadline
        if late_s > 0:
            return self._refuse(
                request,
                ErrorCode.DEADLINE_UNREACHABLE,
                f"estimated end is {late_s:.3f} s past the deadline",
                late_s,
            )
        if starts:
            return self._start(request, now)
        queue = self._queues[request.priority]
        if not queue.has_room(request.account):
            return self._refuse(
                request,
                ErrorCode.QUEUE_FULL,
                f"{len(queue)} requests of class {request.priority.name} wait",
                wait_s,
            )
        queue.push(request)
        return Admission(request, Outcome.QUEUED, count)

    def complete(
        self, attempt: AttemptId, tokens: int, succeeded: bool, now: float
    ) -> Request | None:
        """Takes the end of an admitted request and returns the request."""
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
        """Starts queued requests while slots are free.

        Returns:
            Admitted requests, and refusals of those found late on the way.
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
                self._pass_over(priority)
                decided.append(self._start(request, now))

    def expire(self, now: float) -> list[Admission]:
        """Refuses queued requests that can no longer meet their deadline."""
        decided = []
        for queue in self._queues:
            for request in queue.requests():
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
            if self._passed[priority] >= self._parameters.lower_every:
                return priority
        return waiting[0] if waiting else None

    def _pass_over(self, chosen: Priority) -> None:
        self._passed[chosen] = 0
        for priority in Priority:
            if priority > chosen and len(self._queues[priority]):
                self._passed[priority] += 1

    def _find_wait(self, request: Request) -> tuple[int, float]:
        count, work = self._queues[request.priority].ahead(request)
        for queue in self._queues[: request.priority]:
            count += len(queue)
            work += queue.total_work
        return count, self._limit.drain_s(work)

    def _find_service_s(self, request: Request) -> float:
        return self._limit.service_s(request) * self._parameters.margin

    def _is_late(self, request: Request, now: float) -> bool:
        end = now + self._find_service_s(request)
        return end > request.deadline.timestamp()

    def _start(self, request: Request, now: float) -> Admission:
        self._in_progress[request.attempt] = (request, now)
        return Admission(request, Outcome.ADMITTED)

    def _refuse_late(self, request: Request) -> Admission:
        _, wait_s = self._find_wait(request)
        return self._refuse(
            request,
            ErrorCode.DEADLINE_UNREACHABLE,
            "the request waited too long to meet its deadline",
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
