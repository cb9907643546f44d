"""Tests of the retry budget that entries share."""

import random

import testtools

from chicoryplank.admission import RetryBudget, RetryBudgetParameters

_PARAMETERS = RetryBudgetParameters(0.2, 90)


class TestRetryBudget(testtools.TestCase):
    """Bound over all entries, and recovery of a spent budget."""

    def test_bound_of_all_entries(self):
        """Guards against entries that each spend all extra retries."""
        rng = random.Random(4)
        entries = 7
        budgets = [RetryBudget(_PARAMETERS) for _ in range(entries)]
        requests, retries = [], []
        for tick in range(3000):
            now_s = tick / 50
            budget = budgets[rng.randrange(entries)]
            budget.observe_request(now_s)
            requests.append(now_s)
            while budget.try_spend(entries, now_s):
                retries.append(now_s)
        for start in range(45):
            window = (start, start + 10)
            retry_count = sum(window[0] < at <= window[1] for at in retries)
            request_count = sum(window[0] < at <= window[1] for at in requests)
            self.assertLessEqual(retry_count, 0.2 * request_count + 90)

    def test_budget_recovers_after_the_window(self):
        """Guards against a spent budget that never recovers."""
        budget = RetryBudget(_PARAMETERS)
        while budget.try_spend(7, 0.0):
            pass
        self.assertFalse(budget.can_spend(7, 9.9))
        self.assertTrue(budget.can_spend(7, 10.1))
