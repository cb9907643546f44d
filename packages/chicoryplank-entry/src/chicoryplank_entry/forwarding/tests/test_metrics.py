"""Tests of the forwarding metrics."""

import prometheus_client
import testtools

from chicoryplank.errors import ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.metrics import (
    ForwardingMetrics,
    render_metrics,
)


class TestForwardingMetrics(testtools.TestCase):
    """Counters and histograms are rendered correctly."""

    def setUp(self):
        super().setUp()
        self.metrics = ForwardingMetrics()

    def _render(self):
        registry = prometheus_client.CollectorRegistry()
        registry.register(self.metrics)
        return prometheus_client.generate_latest(registry).decode()

    def test_refusals_by_code_and_verdict(self):
        """Guards against refusals without distinguishing labels."""
        for _ in range(2):
            self.metrics.count_refusal(ErrorCode.QUEUE_FULL, Verdict.NOT_RUN)
        self.metrics.count_failure("connect")
        text = self._render()
        code = ErrorCode.QUEUE_FULL.value
        self.assertIn(
            f'chicoryplank_forwarding_refusals_total{{code="{code}",'
            'verdict="not_run"} 2.0',
            text,
        )
        self.assertIn('failures_total{stage="connect"} 1.0', text)

    def test_classes_are_shown_until_they_are_removed(self):
        """Guards against gauges of a service that has no classes any more."""
        self.metrics.set_classes("llm", 150.5, {0: 20, 2: 3})
        self.metrics.count_class_refusal("llm", 2)
        text = self._render()
        for line in (
            'class_limit{service="llm"} 150.5',
            'class_in_progress{class="2",service="llm"} 3.0',
            'class_refusals_total{class="2",service="llm"} 1.0',
        ):
            self.assertIn(f"chicoryplank_forwarding_{line}", text)
        self.metrics.remove_classes("llm")
        self.assertNotIn("class_limit{", self._render())

    def test_buckets_are_cumulative_up_to_their_bound(self):
        """Guards against counting a latency in too low a bucket."""
        for elapsed_s in (0.02, 0.021, 0.4, 20.0):
            self.metrics.observe_first_output("cards", elapsed_s)
        text = self._render()
        for bound, count in (("0.02", 1), ("0.05", 2), ("0.4", 3), ("+Inf", 4)):
            self.assertIn(
                "chicoryplank_forwarding_first_seconds_bucket"
                f'{{le="{bound}",route="cards"}} {count}.0',
                text,
            )
        self.assertIn('first_seconds_count{route="cards"} 4.0', text)

    def test_labels_are_bounded(self):
        """Guards against memory use that grows with the number of accounts."""
        for number in range(400):
            account = AccountId(f"account-{number}")
            self.metrics.observe_response("cards", account, 0.1)
        text = self._render()
        self.assertIn('forwarding_seconds_count{account="other"} 144.0', text)

    def test_rejections_are_counted_by_evidence(self):
        """Guards against rejections that cannot be told apart."""
        self.metrics.count_rejection("own", False)
        self.metrics.count_rejection("missing", True)
        self.metrics.count_skipped_response()
        text = self._render()
        for labels in (
            'connection="new",echoed_id="own"',
            'connection="reused",echoed_id="missing"',
        ):
            self.assertIn(f"forwarding_rejections_total{{{labels}}} 1.0", text)
        self.assertIn("forwarding_skipped_responses_total 1.0", text)

    def test_metrics_of_the_process_are_rendered_twice(self):
        """Guards against registering the same metrics twice."""
        for _ in range(2):
            self.assertIn(b"chicoryplank_forwarding_seconds", render_metrics())
