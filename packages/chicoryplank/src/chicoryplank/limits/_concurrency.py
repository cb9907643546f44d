"""Concurrency limit that follows observed latency."""

import math

from chicoryplank.configuration import Priority
from chicoryplank.limits._fair import find_work
from chicoryplank.limits._messages import Request
from chicoryplank.limits._parameters import QueueParameters


class AdaptiveLimit:
    """Bound on requests in progress at a replica group.

    Latency is measured per generated token, or per request for requests
    without tokens. The limit grows by a twentieth while it is used and the
    mean latency is below the target, and shrinks in proportion when the mean
    is above it. Only requests admitted after the last change count, since
    earlier ones saw another load.

    The target per token is a parameter, because a batching engine's step time
    grows with its batch long before its throughput stops growing; a ratio to
    the least latency would leave capacity unused. Services have no such known
    target and use the ratio.

    Args:
        parameters: Parameters.
        now: Time in seconds.
    """

    # A window of few answers says more about their sizes than about the load.
    _MIN_SAMPLES = 20
    _MIN_WINDOW_S = 0.25
    _BASELINE_WINDOWS = 200

    def __init__(self, parameters: QueueParameters, now: float) -> None:
        self._parameters = parameters
        self._value = float(parameters.initial_limit)
        self._target_s = parameters.token_interval.total_seconds()
        # Engines honour priorities, so each class sees its own latency.
        self._mean_work_s = parameters.initial_work_s
        self._work_s = [parameters.initial_work_s for _ in Priority]
        self._baseline_s = math.inf
        self._next_baseline_s = math.inf
        self._windows = 0
        self._reset(now)

    @property
    def value(self) -> int:
        """Requests that may be in progress."""
        return int(self._value)

    def service_s(self, request: Request) -> float:
        """Returns the estimated time from admission to the full answer."""
        return find_work(request) * self._work_s[request.priority]

    def drain_s(self, work: int) -> float:
        """Returns the time in which the group serves an amount of work."""
        return work * self._mean_work_s / self._value

    def observe(
        self,
        request: Request,
        tokens: int,
        started: float,
        now: float,
        in_use: int,
    ) -> None:
        """Takes the latency of a complete answer.

        Args:
            request: The request.
            tokens: Tokens that were generated.
            started: Time of admission, in seconds.
            now: Current time, in seconds.
            in_use: Requests in progress before this one ended.
        """
        elapsed = max(1e-6, now - started)
        work = find_work(request)
        # Short answers say less about the time per token than long ones.
        weight = min(0.05, work / 2000)
        work_s = elapsed / work
        priority = request.priority
        self._mean_work_s += (work_s - self._mean_work_s) * weight
        self._work_s[priority] += (work_s - self._work_s[priority]) * weight
        if now < self._since:
            self._reset(now)
        if started < self._since:
            return
        self._count += 1
        self._peak = max(self._peak, in_use)
        if tokens:
            self._token_count += tokens
            self._token_elapsed += elapsed
        else:
            self._request_count += 1
            self._request_elapsed += elapsed
        if (
            self._count >= max(self._MIN_SAMPLES, self._value / 2)
            and now - self._since >= self._MIN_WINDOW_S
        ):
            self._adapt(now)

    def _adapt(self, now: float) -> None:
        parameters = self._parameters
        ratio = self._find_ratio()
        if ratio > 1:
            self._value *= max(0.7, 1 / ratio)
        elif self._peak >= 0.8 * self._value:
            self._value += max(1.0, 0.05 * self._value)
        self._value = min(
            max(self._value, parameters.min_limit), parameters.max_limit
        )
        self._reset(now)

    def _find_ratio(self) -> float:
        ratio = 0.0
        if self._token_count:
            mean_s = self._token_elapsed / self._token_count
            ratio = mean_s / self._target_s
        if self._request_count:
            mean_s = self._request_elapsed / self._request_count
            self._baseline_s = min(self._baseline_s, mean_s)
            self._next_baseline_s = min(self._next_baseline_s, mean_s)
            allowed_s = self._baseline_s * self._parameters.tolerance
            ratio = max(ratio, mean_s / allowed_s)
            self._windows += 1
            if self._windows >= self._BASELINE_WINDOWS:
                self._windows = 0
                self._baseline_s = self._next_baseline_s
                self._next_baseline_s = math.inf
        return ratio

    def _reset(self, now: float) -> None:
        self._since = now
        self._count = 0
        self._peak = 0
        self._token_count = 0
        self._token_elapsed = 0.0
        self._request_count = 0
        self._request_elapsed = 0.0
