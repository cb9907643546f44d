"""Time limits on the forwarding of a request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeParameters:
    """Time limits on the forwarding of a request.

    Attributes:
        max_wait_share: Fraction of the time until the caller gives up that a
            request may wait for a slot.
        max_wait_s: Maximum wait for a slot. Callers abandon a stream whose
            first event takes more than two seconds.
        on_time_share: Fraction of the latency target of a route within which a
            request must get a slot to meet the target.
        queue_allowance: Number of requests that a replica may queue beyond its
            slots.
        silence_timeout_s: Time without output after which a stream is resumed
            at another replica, if other replicas make progress.
        first_output_timeout_s: Same as silence_timeout_s, but for the first
            output, which may have to wait for a slot.
        max_silence_timeout_s: Largest value of both timeouts, which follow the
            recent times of a service. Callers abandon a stream that is silent
            for longer.
        first_attempt_share: Fraction of the time to the deadline after which a
            repeatable request without a stream is retried at another replica.
    """

    max_wait_share: float = 0.3
    max_wait_s: float = 1.6
    on_time_share: float = 0.5
    queue_allowance: int = 0
    silence_timeout_s: float = 0.9
    first_output_timeout_s: float = 1.3
    max_silence_timeout_s: float = 2.0
    first_attempt_share: float = 0.45
