"""When refused callers may come back.

Answers the pattern "many are refused at once and return together": each gets
its own time, spread over the span in which a return is still worthwhile.
"""

import random
from datetime import timedelta

# Share of the time left that callers accept as a delay.
_MAX_SHARE = 1 / 3
# Part of that span at which returns begin, so that the load that caused the
# refusal has passed.
_FIRST_SHARE = 0.25
# Callers that were refused for this long have nothing to gain by waiting.
_LEAST = timedelta(milliseconds=20)


class ReturnSpread:
    """Draws the delay after which a refused caller returns.

    Args:
        source: Random numbers.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def draw(self, left: timedelta, least: timedelta = _LEAST) -> timedelta:
        """Returns a delay that the caller can still use.

        Args:
            left: Time until the caller's deadline.
            least: Time until a place may be free, as far as known.
        """
        longest = left * _MAX_SHARE
        first = min(max(longest * _FIRST_SHARE, least), longest)
        share = self._source.random()
        return max(first + (longest - first) * share, _LEAST)
