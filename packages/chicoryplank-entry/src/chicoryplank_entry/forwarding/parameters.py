"""Bounds on how long a request waits, and for what."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeParameters:
    """Bounds on waiting.

    Attributes:
        patience_share: Part of the caller's time left that a request may wait
            for a place.
        patience_s: Longest wait for a place, in seconds. Callers leave a
            stream whose first event does not come in two seconds.
        fresh_share: Part of a route's target within which a place must be
            found for the answer to be in time.
        queue_allowance: Requests beyond its slots that a replica may queue.
        silence_s: Time without output after which a stream goes on at another
            replica, if others make progress.
        first_silence_s: The same before its first output, which may have to
            wait for a slot.
        first_share: Part of a plain request's time left that a replica has
            before a repeatable request tries another one.
    """

    patience_share: float = 0.3
    patience_s: float = 1.6
    fresh_share: float = 0.5
    queue_allowance: int = 0
    silence_s: float = 0.9
    first_silence_s: float = 1.3
    first_share: float = 0.45
