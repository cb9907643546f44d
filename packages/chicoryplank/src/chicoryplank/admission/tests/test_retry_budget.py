"""Tests of the retry budget that entries share."""

import random

import testtools

from chicoryplank.admission import (
    EntryCount,
    RetryBudget,
    RetryBudgetParameters,
)

_PARAMETERS = RetryBudgetParameters(0.2, 90)


def _spend_all(budget, entries, now_s):
    """Returns how many retries the budget allows at once."""
    count = 0
    while budget.try_spend(entries, now_s):
        count += 1
    return count


class TestRetryBudget(testtools.TestCase):
    """Bound over all entries, and recovery of a spent budget."""

    def test_bound_of_all_entries(self):
        """Guards against entries that each spend all extra retries."""
        rng = random.Random(4)
        entries = 7
        budgets = [RetryBudget(_PARAMETERS, -60.0) for _ in range(entries)]
        requests, retries = [], []
        for tick in range(3000):
            now_s = tick / 50
            budget = budgets[rng.randrange(entries)]
            budget.observe_request()
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
        budget = RetryBudget(_PARAMETERS, -60.0)
        self.assertGreater(_spend_all(budget, 7, 0.0), 0)
        self.assertFalse(budget.can_spend(7, 0.1))
        self.assertTrue(budget.can_spend(7, 10.1))

    def test_requests_earn_retries(self):
        """Guards against a busy service that gets the extra retries only."""
        budget = RetryBudget(_PARAMETERS, -60.0)
        _spend_all(budget, 7, 0.0)
        for _ in range(100):
            budget.observe_request()
        # A tenth is kept as a margin, and the bucket limits what is saved.
        self.assertEqual(6, _spend_all(budget, 7, 0.0))

    def test_new_process_has_no_retries(self):
        """Guards against a new share for each process that starts."""
        budget = RetryBudget(_PARAMETERS, 5.0)
        self.assertEqual(0, _spend_all(budget, 7, 5.0))

    def test_replaced_processes_share_one_bound(self):
        """Guards against a bound that holds only while processes live."""
        for interval_s in (0.5, 2.0, 5.0, 9.0):
            spent = 0
            now_s = 0.0
            budget = RetryBudget(_PARAMETERS, -60.0)
            while now_s < 10.0:
                spent += _spend_all(budget, 1, now_s)
                budget = RetryBudget(_PARAMETERS, now_s)
                now_s += interval_s
            self.assertLessEqual(spent, 90)

    def test_entry_may_save_one_retry(self):
        """Guards against entries of a large fleet that can never retry."""
        budget = RetryBudget(_PARAMETERS, 0.0)
        for _ in range(6):
            budget.observe_request()
        self.assertTrue(budget.try_spend(500, 1.0))

    def test_lowered_budget_counts_earlier_retries(self):
        """Guards against a change of settings that forgives retries."""
        budget = RetryBudget(_PARAMETERS, -60.0)
        for _ in range(12):
            self.assertTrue(budget.try_spend(1, 0.0))
        budget.configure(RetryBudgetParameters(0.2, 20))
        self.assertFalse(budget.can_spend(1, 0.1))


class TestEntryCount(testtools.TestCase):
    """The greatest recent number of entries counts."""

    def test_stopped_entries_still_count(self):
        """Guards against dividing by too few while entries are replaced."""
        count = EntryCount()
        count.observe(8, 0.0)
        count.observe(1, 10.0)
        self.assertEqual(8, count.get_bound(30.0))

    def test_removed_entries_are_forgotten(self):
        """Guards against a share that stays small after a fleet shrinks."""
        count = EntryCount()
        count.observe(40, 0.0)
        count.observe(8, 70.0)
        self.assertEqual(8, count.get_bound(70.0))

    def test_reports_do_not_renew_each_other(self):
        """Guards against two entries that keep an old number alive."""
        counts = [EntryCount(), EntryCount()]
        counts[0].observe(40, 0.0)
        for tick in range(1000):
            now_s = tick / 10
            for source, target in ((0, 1), (1, 0)):
                number, age_s = counts[source].get_report(now_s)
                counts[target].observe(number, now_s - age_s)
                counts[target].observe(2, now_s)
        self.assertEqual([2, 2], [count.get_bound(100.0) for count in counts])
