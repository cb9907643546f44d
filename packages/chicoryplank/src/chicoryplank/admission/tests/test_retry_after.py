"""Tests of the random delays for refused callers."""

import random
from datetime import timedelta

import testtools

from chicoryplank.admission import RetryAfterJitter


class TestRetryAfterJitter(testtools.TestCase):
    """Spread and bounds of the delays."""

    def test_delays_are_spread(self):
        """Guards against refused callers that retry in a second burst."""
        jitter = RetryAfterJitter(random.Random(2))
        remaining = timedelta(seconds=6)
        delays = [jitter.draw(remaining).total_seconds() for _ in range(1000)]
        fullest = max(
            sum(start <= delay < start + 0.25 for delay in delays)
            for start in (0.5, 0.75, 1.0, 1.25, 1.5, 1.75)
        )
        self.assertLess(fullest, 250)
        self.assertLessEqual(max(delays), 2.0)

    def test_delay_ends_before_the_deadline(self):
        """Guards against a delay that ends after the deadline."""
        jitter = RetryAfterJitter(random.Random(2))
        delay = jitter.draw(timedelta(seconds=0.3), timedelta(seconds=5))
        self.assertLessEqual(delay, timedelta(seconds=0.1))
