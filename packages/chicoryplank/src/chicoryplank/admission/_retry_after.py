"""Random Retry-After delays for refused requests.

Callers that are refused together would also retry together. Each gets its own
delay, spread over the time in which a retry can still succeed.
"""

import random
from datetime import timedelta

# Largest delay, as a share of the time until the caller's deadline.
_MAX_SHARE = 1 / 3
# Smallest delay, as a share of the largest one, so that the load that caused
# the refusal has passed.
_MIN_SHARE = 0.25
# Lower bound of every delay, also near the deadline; a shorter wait has no use.
_MIN_DELAY = timedelta(milliseconds=20)


class RetryAfterJitter:
    """Draws the delay after which a refused caller may retry.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def draw(
        self, remaining: timedelta, min_delay: timedelta = _MIN_DELAY
    ) -> timedelta:
        """Returns a random delay that ends well before the deadline.

        Args:
            remaining: Time until the caller's deadline.
            min_delay: Expected time until a slot is free, if known.
        """
        longest = remaining * _MAX_SHARE
        shortest = min(max(longest * _MIN_SHARE, min_delay), longest)
        share = self._rng.random()
        return max(shortest + (longest - shortest) * share, _MIN_DELAY)
