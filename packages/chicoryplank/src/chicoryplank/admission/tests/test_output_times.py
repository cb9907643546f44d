"""Tests of timeouts that follow the recent times of a service.

Load pattern: all replicas of a lock-step group are slow at once, since their
expert map does not fit the demand.
"""

import random

import testtools

from chicoryplank.admission import OutputTimes

_MIN_TIMEOUT_S = 1.3
_MAX_TIMEOUT_S = 2.0


def _count_timeouts(times, draw, requests=400, max_timeout_s=_MAX_TIMEOUT_S):
    """Returns the number of requests that reach their timeout."""
    count = 0
    for _ in range(requests):
        timeout_s = times.get_timeout_s(_MIN_TIMEOUT_S, max_timeout_s)
        elapsed_s = draw()
        count += elapsed_s > timeout_s
        times.observe(min(elapsed_s, timeout_s))
    return count


class TestOutputTimes(testtools.TestCase):
    """Sound responses of a slow service are not given up."""

    def test_slow_service(self):
        """Guards against sound attempts that are ended and sent again.

        With the fixed timeout of 1.3 s, a fifth of these requests reach it.
        """
        rng = random.Random(1)
        times = OutputTimes()
        count = _count_timeouts(times, lambda: rng.uniform(0.2, 1.6))
        self.assertLess(count, 8)

    def test_slowdown_is_followed(self):
        """Guards against an average that holds only responses in time."""
        rng = random.Random(2)
        times = OutputTimes()
        _count_timeouts(times, lambda: rng.uniform(0.1, 0.3))
        count = _count_timeouts(
            times, lambda: rng.uniform(1.5, 2.5), 40, max_timeout_s=9.0
        )
        self.assertLess(count, 8)

    def test_silent_replica_of_a_fast_service(self):
        """Guards against a long wait for one replica that is cut off."""
        rng = random.Random(3)
        times = OutputTimes()
        _count_timeouts(times, lambda: rng.uniform(0.1, 0.3))
        self.assertEqual(
            _MIN_TIMEOUT_S, times.get_timeout_s(_MIN_TIMEOUT_S, _MAX_TIMEOUT_S)
        )

    def test_silent_replicas_do_not_delay_the_others(self):
        """Guards against replicas that stop and make all timeouts long.

        Callers abandon a stream that is silent for two seconds.
        """
        rng = random.Random(5)
        times = OutputTimes()
        _count_timeouts(times, lambda: 60.0 if rng.random() < 0.3 else 0.1)
        self.assertLessEqual(
            times.get_timeout_s(_MIN_TIMEOUT_S, _MAX_TIMEOUT_S), 2.0
        )

    def test_timeout_falls_after_a_slow_time(self):
        """Guards against long timeouts that outlive the slow time."""
        rng = random.Random(4)
        times = OutputTimes()
        _count_timeouts(times, lambda: rng.uniform(1.5, 2.5))
        _count_timeouts(times, lambda: rng.uniform(0.1, 0.3), 60)
        self.assertEqual(
            _MIN_TIMEOUT_S, times.get_timeout_s(_MIN_TIMEOUT_S, _MAX_TIMEOUT_S)
        )
