"""Tests of admission by priority, deadline and account."""

import itertools
from datetime import UTC, datetime, timedelta

import hypothesis
import testtools
from hypothesis import strategies

from chicoryplank.configuration import AccountConfiguration, Priority
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId, AttemptId
from chicoryplank.limits import (
    Completion,
    Limiter,
    Outcome,
    QueueParameters,
    Request,
    Tick,
    Withdrawal,
)
from chicoryplank.verdict import Verdict

START = datetime(2026, 1, 1, tzinfo=UTC)
ACCOUNTS = tuple(AccountId(name) for name in ("large", "small", "other"))
_NUMBERS = itertools.count()


def make_limiter(limit=2, **parameters):
    """Returns a limiter with fixed concurrency and practically no rates."""
    fixed = QueueParameters(
        initial_limit=limit, min_limit=limit, max_limit=limit, **parameters
    )
    limiter = Limiter(START, queues=fixed)
    account = AccountConfiguration("", 1e9, 1e9, Priority.URGENT, frozenset())
    limiter.configure(dict.fromkeys(ACCOUNTS, account), 1, START)
    return limiter


def make_request(
    account=ACCOUNTS[0], priority=Priority.NORMAL, seconds=60, tokens=100
):
    """Returns a request with a new attempt id."""
    return Request(
        AttemptId(f"attempt-{next(_NUMBERS)}"),
        account,
        "toolroom-llm",
        priority,
        START + timedelta(seconds=seconds),
        tokens,
    )


class TestAdmission(testtools.TestCase):
    """Order of admission, refusals and bounds of the queues."""

    def _fill(self, limiter, count, **fields):
        admissions = [
            limiter.admit(make_request(**fields), START) for _ in range(count)
        ]
        return [item.request.attempt for item in admissions]

    def test_urgent_does_not_wait_for_bulk(self):
        """Guards against an urgent request that waits behind bulk requests."""
        limiter = make_limiter()
        self._fill(limiter, 20, priority=Priority.BULK)
        first = limiter.admit(make_request(priority=Priority.URGENT), START)
        self.assertIs(Outcome.ADMITTED, first.outcome)
        second = limiter.admit(make_request(priority=Priority.URGENT), START)
        self.assertIs(Outcome.QUEUED, second.outcome)
        self.assertEqual(0, second.position)
        decided = limiter.observe(Completion(first.request.attempt, 100), START)
        self.assertEqual([second.request], [item.request for item in decided])

    def test_lower_class_is_not_starved(self):
        """Guards against bulk requests that never run beside higher classes."""
        limiter = make_limiter(limit=1, lower_every=4)
        running = self._fill(limiter, 1)
        bulk = self._fill(limiter, 3, priority=Priority.BULK)
        self._fill(limiter, 20)
        order = []
        for _ in range(16):
            decided = limiter.observe(Completion(running.pop(), 100), START)
            running = [item.request.attempt for item in decided]
            order.extend(running)
        self.assertEqual(bulk, [item for item in order if item in bulk])

    def test_unreachable_deadline_is_refused_at_once(self):
        """Guards against work on a response that would come too late."""
        limiter = make_limiter(limit=1, initial_work_s=0.01)
        self._fill(limiter, 10)
        admission = limiter.admit(make_request(seconds=5), START)
        self.assertIs(Outcome.REFUSED, admission.outcome)
        error = admission.error
        self.assertIs(ErrorCode.DEADLINE_UNREACHABLE, error.code)
        self.assertIs(Verdict.NOT_RUN, error.verdict)
        self.assertGreater(error.retry_after, timedelta(seconds=4))

    def test_waiting_request_is_refused_before_its_deadline(self):
        """Guards against a caller that is refused only at its deadline.

        The refusal is due as soon as the deadline can no longer be met.
        """
        limiter = make_limiter(limit=1, initial_work_s=0.01)
        self._fill(limiter, 1)
        waiting = limiter.admit(make_request(seconds=5), START)
        self.assertIs(Outcome.QUEUED, waiting.outcome)
        later = START + timedelta(seconds=4)
        decided = limiter.observe(Tick(), later)
        self.assertEqual([Outcome.REFUSED], [item.outcome for item in decided])
        self.assertEqual([], limiter.observe(Tick(), later))

    def test_withdrawn_request_never_starts(self):
        """Guards against work for a caller that cancelled its request."""
        limiter = make_limiter(limit=1)
        running, waiting = self._fill(limiter, 2)
        limiter.observe(Withdrawal(waiting), START)
        self.assertEqual([], limiter.observe(Completion(running, 100), START))
        self.assertEqual(0, limiter.queued)

    def test_repeated_attempt_is_rejected(self):
        """Guards against one attempt that takes two slots."""
        limiter = make_limiter()
        request = make_request()
        limiter.admit(request, START)
        self.assertRaises(ChicoryplankError, limiter.admit, request, START)

    def test_one_account_cannot_fill_the_queue(self):
        """Guards against an account that fills the queue for all others."""
        limiter = make_limiter(limit=1, max_queued=16, initial_work_s=1e-4)
        self._fill(limiter, 100)
        self.assertEqual(8, limiter.queued)
        small = make_request(account=ACCOUNTS[1])
        admission = limiter.admit(small, START)
        self.assertIs(Outcome.QUEUED, admission.outcome)
        refused = limiter.admit(make_request(), START)
        self.assertIs(ErrorCode.QUEUE_FULL, refused.error.code)

    def test_backlogged_accounts_get_equal_work(self):
        """Guards against a large account that starves a small one."""
        limiter = make_limiter(limit=1)
        running = self._fill(limiter, 1)
        self._fill(limiter, 200, tokens=50)
        small = self._fill(limiter, 20, account=ACCOUNTS[1], tokens=50)
        order = []
        for _ in range(40):
            decided = limiter.observe(Completion(running.pop(), 50), START)
            running = [item.request.attempt for item in decided]
            order.extend(running)
        served = [item for item in order if item in small]
        self.assertEqual(small, served)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.data())
    def test_bounds_hold_and_refusals_are_final(self, data):
        """Guards against requests that are lost, admitted twice or revived."""
        limiter = make_limiter(limit=3, max_queued=6, lower_every=3)
        now = START
        states = {}
        for _ in range(60):
            now += timedelta(seconds=data.draw(strategies.integers(0, 2)))
            action = data.draw(strategies.sampled_from("aaacwt"))
            decided = []
            if action == "a":
                request = make_request(
                    data.draw(strategies.sampled_from(ACCOUNTS)),
                    data.draw(strategies.sampled_from(Priority)),
                    (now - START).total_seconds()
                    + data.draw(strategies.integers(1, 20)),
                    data.draw(strategies.integers(0, 400)),
                )
                decided = [limiter.admit(request, now)]
            elif action == "t":
                decided = limiter.observe(Tick(), now)
            elif states:
                attempt = data.draw(strategies.sampled_from(sorted(states)))
                kind = Completion if action == "c" else Withdrawal
                decided = limiter.observe(kind(attempt), now)
                ended = Outcome.ADMITTED if action == "c" else Outcome.QUEUED
                if states[attempt] is ended:
                    states[attempt] = None
            for admission in decided:
                attempt = admission.request.attempt
                self.assertIn(
                    states.get(attempt, Outcome.QUEUED), [Outcome.QUEUED]
                )
                states[attempt] = admission.outcome
            counts = list(states.values())
            self.assertEqual(counts.count(Outcome.QUEUED), limiter.queued)
            self.assertEqual(
                counts.count(Outcome.ADMITTED), limiter.in_progress
            )
            self.assertLessEqual(limiter.queued, 6 * len(Priority))
            self.assertLessEqual(limiter.in_progress, 4)

    @hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
    @hypothesis.given(strategies.data())
    def test_no_account_starves(self, data):
        """Guards against backlogged accounts that get less work than others."""
        limiter = make_limiter(limit=1, max_queued=4096)
        sizes = {
            account: data.draw(strategies.integers(0, 300))
            for account in ACCOUNTS
        }
        running = self._fill(limiter, 1)
        for account in data.draw(strategies.permutations(ACCOUNTS)):
            self._fill(
                limiter,
                60,
                account=account,
                tokens=sizes[account],
                seconds=10**6,
            )
        served = dict.fromkeys(ACCOUNTS, 0)
        for _ in range(60):
            decided = limiter.observe(Completion(running.pop()), START)
            running = [decided[0].request.attempt]
            request = decided[0].request
            served[request.account] += request.tokens + 16
            spread = max(served.values()) - min(served.values())
            self.assertLessEqual(spread, 2 * (max(sizes.values()) + 16))
