"""Concurrency limit that adapts to observed latency."""

import math

from chicoryplank.configuration import Priority
from chicoryplank.limits._fair_queue import compute_work
from chicoryplank.limits._messages import Request
from chicoryplank.limits._parameters import QueueParameters


class AdaptiveLimit:
    """Limit on the requests in progress at a replica group.

    Latency is measured per generated token, or per request for requests
    without tokens. The limit grows by 5 %, at least by 1, when 80 % of it was
    in use and the mean latency is not above the target. Above the target it
    shrinks in proportion to the excess, by at most 30 %. Only requests
    admitted after the last change of the limit are measured, since earlier
    ones ran under another load.

    The target per token is a parameter, because the token steps of a batching
    engine get longer with its batch long before its throughput stops growing; a
    target relative to the lowest latency would leave capacity unused. No such
    target is known for services, so they use a multiple of their lowest recent
    latency.

    Args:
        parameters: Parameters of the queue.
        now: Current time in seconds.
    """

    # The mean over few responses depends more on their sizes than on the load.
    _MIN_SAMPLES = 20
    _MIN_WINDOW_S = 0.25
    # Windows after which the baseline is taken from newer windows only.
    _BASELINE_WINDOWS = 200

    def __init__(self, parameters: QueueParameters, now: float) -> None:
        self._parameters = parameters
        self._value = float(parameters.initial_limit)
        self._target_s = parameters.token_interval.total_seconds()
        # Engines schedule by priority, so latency differs between classes.
        self._mean_token_time_s = parameters.initial_work_s
        self._token_time_s = [parameters.initial_work_s for _ in Priority]
        self._baseline_s = math.inf
        self._next_baseline_s = math.inf
        self._window_count = 0
        self._start_window(now)

    @property
    def value(self) -> int:
        """Largest number of requests that may be in progress."""
        return int(self._value)

    def estimate_service_s(self, request: Request) -> float:
        """Returns the expected seconds from admission to completion."""
        return compute_work(request) * self._token_time_s[request.priority]

    def estimate_drain_s(self, work: int) -> float:
        """Returns the expected time for an amount of work, in seconds."""
        return work * self._mean_token_time_s / self._value

    def observe(
        self,
        request: Request,
        tokens: int,
        started: float,
        now: float,
        in_use: int,
    ) -> None:
        """Updates the limit from the latency of a complete response.

        Args:
            request: The request.
            tokens: Generated tokens.
            started: Time of admission, in seconds.
            now: Current time, in seconds.
            in_use: Requests in progress before this one ended.
        """
        elapsed = max(1e-6, now - started)
        work = compute_work(request)
        # Short responses tell less about the time per token than long ones.
        weight = min(0.05, work / 2000)
        token_time_s = elapsed / work
        priority = request.priority
        self._mean_token_time_s += (
            token_time_s - self._mean_token_time_s
        ) * weight
        self._token_time_s[priority] += (
            token_time_s - self._token_time_s[priority]
        ) * weight
        if now < self._window_start:
            self._start_window(now)
        if started < self._window_start:
            return
        self._sample_count += 1
        self._peak_in_use = max(self._peak_in_use, in_use)
        if tokens:
            self._token_count += tokens
            self._token_elapsed += elapsed
        else:
            self._request_count += 1
            self._request_elapsed += elapsed
        if (
            self._sample_count >= max(self._MIN_SAMPLES, self._value / 2)
            and now - self._window_start >= self._MIN_WINDOW_S
        ):
            self._adapt(now)

    def _adapt(self, now: float) -> None:
        parameters = self._parameters
        ratio = self._compute_latency_ratio()
        if ratio > 1:
            self._value *= max(0.7, 1 / ratio)
        elif self._peak_in_use >= 0.8 * self._value:
            self._value += max(1.0, 0.05 * self._value)
        self._value = min(
            max(self._value, parameters.min_limit), parameters.max_limit
        )
        self._start_window(now)

    def _compute_latency_ratio(self) -> float:
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
            self._window_count += 1
            if self._window_count >= self._BASELINE_WINDOWS:
                self._window_count = 0
                self._baseline_s = self._next_baseline_s
                self._next_baseline_s = math.inf
        return ratio

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._sample_count = 0
        self._peak_in_use = 0
        self._token_count = 0
        self._token_elapsed = 0.0
        self._request_count = 0
        self._request_elapsed = 0.0
