"""Tests of retry budgets, safety rules and hedging."""

import dataclasses
import random
from datetime import UTC, datetime, timedelta

import hypothesis
import testtools
from hypothesis import strategies

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.retry import (
    Arrival,
    Failure,
    FirstToken,
    Hedge,
    RetryParameters,
    RetryPolicy,
)
from chicoryplank.verdict import Verdict

START = datetime(2026, 1, 1, tzinfo=UTC)
ACCOUNT = AccountId("bidders")


def make_failure(
    code=ErrorCode.BACKEND_FAILED, verdict=Verdict.NOT_RUN, **fields
):
    """Returns a failure that may be retried, unless fields change that."""
    error = ChicoryplankError(
        code, "stand-in", verdict, fields.pop("retry_after", None)
    )
    fields.setdefault("repeatable", True)
    fields.setdefault("deadline", START + timedelta(seconds=10))
    return Failure(ACCOUNT, "lm-floor", error, **fields)


class TestRetries(testtools.TestCase):
    """Conditions, budgets and backoff of retries."""

    def setUp(self):
        super().setUp()
        self.policy = RetryPolicy(random.Random(1))

    def test_verdict_rules(self):
        """Guards against running a request twice that is not idempotent."""
        unknown = Verdict.MAY_HAVE_RUN
        cases = [
            (True, {"repeatable": False}),
            (False, {"verdict": unknown, "repeatable": False}),
            (True, {"verdict": unknown}),
            (False, {"earlier": unknown, "repeatable": False}),
            (False, {"verdict": Verdict.RAN}),
            (False, {"sent_bytes": 1}),
            (False, {"retries": 2}),
            (False, {"code": ErrorCode.MALFORMED_REQUEST}),
        ]
        for allowed, fields in cases:
            policy = RetryPolicy(random.Random(1))
            decision = policy.admit(make_failure(**fields), START)
            self.assertEqual(allowed, decision.allowed, fields)
            self.assertEqual(allowed, decision.error is None, fields)

    def test_overload_is_not_retried(self):
        """Guards against retries that prolong an overload."""
        for code in (ErrorCode.QUEUE_FULL, ErrorCode.BACKEND_FAILED):
            failure = make_failure(code, retry_after=timedelta(seconds=3))
            decision = self.policy.admit(failure, START)
            self.assertFalse(decision.allowed)
            self.assertIs(failure.error, decision.error)

    def test_limited_replica_is_retried_elsewhere(self):
        """Guards against refusals while only one replica takes no requests.

        A request that may run once is bound to its replica; retrying it spends
        the budget in vain.
        """
        for repeatable in (True, False):
            failure = make_failure(
                ErrorCode.REPLICA_LIMITED,
                retry_after=timedelta(seconds=3),
                repeatable=repeatable,
            )
            decision = self.policy.admit(failure, START)
            self.assertEqual(repeatable, decision.allowed)
        self.assertEqual(timedelta(seconds=3), decision.error.retry_after)

    def test_error_covers_all_attempts(self):
        """Guards against a verdict that ignores earlier attempts.

        The error must not say NOT_RUN if an earlier attempt may have run.
        """
        failure = make_failure(earlier=Verdict.MAY_HAVE_RUN, retries=2)
        decision = self.policy.admit(failure, START)
        self.assertIs(Verdict.MAY_HAVE_RUN, decision.error.verdict)

    def test_exhausted_budget_keeps_verdict(self):
        """Guards against a budget refusal that drops the attempt's verdict."""
        failure = make_failure(verdict=Verdict.MAY_HAVE_RUN)
        while (decision := self.policy.admit(failure, START)).allowed:
            pass
        error = decision.error
        self.assertIs(ErrorCode.RETRY_BUDGET_EXHAUSTED, error.code)
        self.assertIs(Verdict.MAY_HAVE_RUN, error.verdict)
        self.assertEqual(timedelta(seconds=20), error.retry_after)

    def test_no_retry_without_time(self):
        """Guards against an attempt that cannot end before the deadline."""
        failure = make_failure(expected=timedelta(seconds=11))
        decision = self.policy.admit(failure, START)
        self.assertIs(failure.error, decision.error)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.data())
    def test_budget_bounds_every_window(self, data):
        """Guards against retries that amplify the load during a fault."""
        parameters = RetryParameters()
        policy = RetryPolicy(random.Random(1), parameters)
        for _ in range(100):
            elapsed = timedelta(seconds=0.01)
            policy.observe(FirstToken("lm-floor", elapsed), START)
        now = START
        level = 0.0
        steps = strategies.sampled_from(["arrive", "retry", "hedge", "wait"])
        for action in data.draw(strategies.lists(steps, max_size=120)):
            if action == "wait":
                now += timedelta(seconds=3)
                level = max(0.0, level - 3 * parameters.floor_per_s)
                continue
            if action == "arrive":
                policy.observe(Arrival(ACCOUNT), now)
                level = max(0.0, level - parameters.ratio)
                continue
            deadline = now + timedelta(seconds=10)
            candidate = make_failure(deadline=deadline)
            if action == "hedge":
                waited = timedelta(seconds=1)
                candidate = Hedge(ACCOUNT, "lm-floor", True, deadline, waited)
            decision = policy.admit(candidate, now)
            level += decision.allowed
            self.assertLessEqual(level, parameters.max_saved + 1e-9)

    def test_many_small_accounts_share_a_bound(self):
        """Guards against the sum of many accounts' floors during a fault."""
        parameters = RetryParameters()
        now = START
        retries = 0
        for number in range(3000):
            now += timedelta(milliseconds=10)
            account = AccountId(f"account-{number % 900}")
            self.policy.observe(Arrival(account), now)
            failure = make_failure(deadline=now + timedelta(seconds=10))
            failure = dataclasses.replace(failure, account=account)
            retries += self.policy.admit(failure, now).allowed
        allowed = parameters.total_ratio * 3000 + parameters.max_saved
        allowed += 30 * parameters.floor_per_s
        self.assertLessEqual(retries, allowed)

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(strategies.integers(0, 1), strategies.integers(1, 3000))
    def test_backoff_stays_within_deadline(self, retries, remaining_ms):
        """Guards against a backoff that ends after the caller's deadline."""
        expected = timedelta(milliseconds=100)
        failure = make_failure(
            deadline=START + expected + timedelta(milliseconds=remaining_ms),
            expected=expected,
            retries=retries,
        )
        policy = RetryPolicy(random.Random(remaining_ms))
        decision = policy.admit(failure, START)
        self.assertTrue(decision.allowed)
        end = START + decision.delay + expected
        self.assertLess(end, failure.deadline)
        self.assertLessEqual(decision.delay, RetryParameters().base * 2)


class TestHedges(testtools.TestCase):
    """Conditions and budgets of hedges."""

    def setUp(self):
        super().setUp()
        self.policy = RetryPolicy(random.Random(1))
        for number in range(100):
            elapsed = timedelta(milliseconds=100 if number < 90 else 400)
            self.policy.observe(FirstToken("lm-floor", elapsed), START)
        for _ in range(100):
            self.policy.observe(Arrival(ACCOUNT), START)
        self.hedge = Hedge(
            ACCOUNT,
            "lm-floor",
            True,
            START + timedelta(seconds=10),
            timedelta(seconds=1),
        )

    def test_delay_is_a_high_percentile(self):
        """Guards against hedges for attempts of normal latency."""
        delay = self.policy.get_hedge_delay("lm-floor")
        self.assertGreaterEqual(delay, timedelta(milliseconds=400))
        self.assertLess(delay, timedelta(milliseconds=441))
        self.assertIsNone(self.policy.get_hedge_delay("other"))

    def test_conditions(self):
        """Guards against hedges that run work twice or cannot end in time."""
        cases = [
            (True, {}),
            (False, {"repeatable": False}),
            (False, {"sent_bytes": 1}),
            (False, {"hedges": 1}),
            (False, {"waited": timedelta(milliseconds=300)}),
            (False, {"group": "other"}),
            (False, {"expected": timedelta(seconds=10)}),
        ]
        for allowed, fields in cases:
            hedge = dataclasses.replace(self.hedge, **fields)
            decision = self.policy.admit(hedge, START)
            self.assertEqual(allowed, decision.allowed, fields)

    def test_no_hedge_after_overload(self):
        """Guards against hedges that worsen an overload."""
        self.policy.admit(make_failure(ErrorCode.QUEUE_FULL), START)
        self.assertFalse(self.policy.admit(self.hedge, START).allowed)
        later = START + timedelta(seconds=5)
        self.assertTrue(self.policy.admit(self.hedge, later).allowed)

    def test_hedges_leave_a_reserve_for_retries(self):
        """Guards against hedges that spend the budget for failed attempts."""
        while self.policy.admit(self.hedge, START).allowed:
            pass
        for allowed in (True, True, False):
            decision = self.policy.admit(make_failure(), START)
            self.assertEqual(allowed, decision.allowed)
