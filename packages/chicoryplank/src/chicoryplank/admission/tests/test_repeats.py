"""Load pattern: many first tries fail, and repeats double the load."""

import random

import testtools

from chicoryplank.admission import RepeatBudget, RepeatParameters

_PARAMETERS = RepeatParameters(0.2, 90)


class TestRepeatBudget(testtools.TestCase):
    """All entries together stay within the bound in any window."""

    def test_bound_of_all_entries(self):
        """Guards against entries that each use the whole extra."""
        source = random.Random(4)
        entries = 7
        budgets = [RepeatBudget(_PARAMETERS) for _ in range(entries)]
        requests, repeats = [], []
        for tick in range(3000):
            now_s = tick / 50
            budget = budgets[source.randrange(entries)]
            budget.observe_request(now_s)
            requests.append(now_s)
            while budget.take(entries, now_s):
                repeats.append(now_s)
        for start in range(45):
            window = (start, start + 10)
            count = sum(window[0] < at <= window[1] for at in repeats)
            asked = sum(window[0] < at <= window[1] for at in requests)
            self.assertLessEqual(count, 0.2 * asked + 90)

    def test_budget_returns_after_the_window(self):
        """Guards against a budget that is used up for good."""
        budget = RepeatBudget(_PARAMETERS)
        while budget.take(7, 0.0):
            pass
        self.assertFalse(budget.has(7, 9.9))
        self.assertTrue(budget.has(7, 10.1))
