"""Tests of how retries are charged while connections fail.

Load pattern: replicas reject requests while others refuse connections.
"""

from types import SimpleNamespace

import testtools

from chicoryplank.admission import RetryBudget, RetryBudgetParameters
from chicoryplank.errors import ChicoryplankError
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.admission import CallAdmission
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.tests.harness import EntryFixture


class TestRetryCharge(testtools.TestCase):
    """A retry is charged when the request is sent again, and only then."""

    def setUp(self):
        super().setUp()
        state = EntryFixture().state
        self.admission = CallAdmission(state, ExchangeParameters())
        # Enough for one retry.
        budget = RetryBudget(RetryBudgetParameters(0.0, 2), -60.0)
        self.call = SimpleNamespace(
            service_state=SimpleNamespace(retry_budget=budget),
            attempts=1,
            is_retry_charged=False,
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def test_failed_connections_are_not_charged(self):
        """Guards against retries that are spent on replicas out of reach."""
        for _ in range(4):
            self.admission.spend_retry(self.call)

    def test_each_retry_is_charged(self):
        """Guards against several retries for one charge."""
        self.admission.spend_retry(self.call)
        self.call.is_retry_charged = False
        self.assertRaises(
            ChicoryplankError, self.admission.spend_retry, self.call
        )
