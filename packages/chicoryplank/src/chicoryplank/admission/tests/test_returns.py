"""Load pattern: many are refused at once and return together."""

import random
from datetime import timedelta

import testtools

from chicoryplank.admission import ReturnSpread


class TestReturnSpread(testtools.TestCase):
    """Returns are spread over the span that callers can use."""

    def test_returns_are_spread(self):
        """Guards against a second burst made of those refused before."""
        spread = ReturnSpread(random.Random(2))
        left = timedelta(seconds=6)
        delays = [spread.draw(left).total_seconds() for _ in range(1000)]
        fullest = max(
            sum(start <= delay < start + 0.25 for delay in delays)
            for start in (0.5, 0.75, 1.0, 1.25, 1.5, 1.75)
        )
        self.assertLess(fullest, 250)
        self.assertLessEqual(max(delays), 2.0)

    def test_delay_is_usable_near_the_deadline(self):
        """Guards against a time to come back after the deadline."""
        spread = ReturnSpread(random.Random(2))
        delay = spread.draw(timedelta(seconds=0.3), timedelta(seconds=5))
        self.assertLessEqual(delay, timedelta(seconds=0.1))
