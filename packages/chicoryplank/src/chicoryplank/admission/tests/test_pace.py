"""Load pattern: the batch has slots left, but every event is late."""

from datetime import timedelta

import testtools

from chicoryplank.admission import compute_batch_limit, compute_pass_time
from chicoryplank.traffic import EngineProfile

_ENGINE = EngineProfile(
    slots=6,
    steps_per_pass=5,
    step=timedelta(milliseconds=5.85),
    step_per_request=timedelta(milliseconds=0.71),
    step_per_kilotoken=timedelta(milliseconds=0.072),
    prefill_tokens_per_s=61_200,
    usual_prompt_tokens=835,
    usual_answer_tokens=138,
    expert_share=0.85,
)


class TestComputeBatchLimit(testtools.TestCase):
    """A skewed map leaves room for fewer requests."""

    def test_balanced_map_uses_all_slots(self):
        """Guards against slots that stay empty without need."""
        limit = compute_batch_limit(_ENGINE, timedelta(milliseconds=120), 1.1)
        self.assertEqual(6, limit)

    def test_skewed_map_lowers_the_limit(self):
        """Guards against a batch whose every event is late."""
        limit = compute_batch_limit(_ENGINE, timedelta(milliseconds=120), 3.3)
        self.assertLess(limit, 6)
        self.assertGreaterEqual(limit, 1)

    def test_pass_time_grows_with_requests_and_skew(self):
        """Guards against an estimate that ignores the load."""
        alone = compute_pass_time(_ENGINE, 1)
        self.assertLess(alone, compute_pass_time(_ENGINE, 6))
        self.assertLess(alone, compute_pass_time(_ENGINE, 1, skew=2.0))
