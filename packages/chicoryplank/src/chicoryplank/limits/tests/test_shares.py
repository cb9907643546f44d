"""Tests of rate limits that are divided among entries."""

from datetime import UTC, datetime, timedelta

import hypothesis
import testtools
from hypothesis import strategies

from chicoryplank.configuration import AccountConfiguration, Priority
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import AccountId, AttemptId
from chicoryplank.limits import (
    Completion,
    Demand,
    Limiter,
    Outcome,
    PeerDemand,
    Request,
    ShareParameters,
)
from chicoryplank.verdict import Verdict

START = datetime(2026, 1, 1, tzinfo=UTC)
ACCOUNT = AccountId("estimators")
STEP = timedelta(milliseconds=250)
PARAMETERS = ShareParameters(
    max_lag=timedelta(seconds=2),
    silence=timedelta(seconds=2),
    smoothing=timedelta(seconds=1),
)


class EntryCluster:
    """Entries that exchange demand sums with a lag, or are cut off."""

    def __init__(self, entries: int, rate: float) -> None:
        self.now = START
        self.rate = rate
        account = AccountConfiguration(
            "", rate, 1e9, Priority.NORMAL, frozenset()
        )
        self.limiters = [Limiter(START, PARAMETERS) for _ in range(entries)]
        for limiter in self.limiters:
            limiter.configure({ACCOUNT: account}, entries, START)
        self.history = []
        self.grants = []
        self._attempts = 0

    def send(self, entry, count):
        """Sends requests to one entry and returns the number admitted."""
        admitted = 0
        for _ in range(count):
            self._attempts += 1
            admission = self.limiters[entry].admit(
                Request(
                    AttemptId(str(self._attempts)),
                    ACCOUNT,
                    str(self._attempts),
                    Priority.NORMAL,
                    self.now + timedelta(seconds=60),
                ),
                self.now,
            )
            admitted += admission.outcome is Outcome.ADMITTED
        self.grants.append((self.now, admitted))
        return admitted

    def step(self, lags, cut_off=frozenset(), split=False):
        """Advances time by one step and delivers demand sums.

        Args:
            lags: Age of the sum for each entry, in steps.
            cut_off: Entries that exchange nothing with the others.
            split: Whether those entries exchange sums among themselves.
        """
        self.now += STEP
        zero = Demand(0.0, 0.0)
        self.history.append(
            [
                limiter.demand(self.now).get(ACCOUNT, zero)
                for limiter in self.limiters
            ]
        )
        connected = set(range(len(self.limiters))) - cut_off
        for part in (connected, cut_off) if split else (connected,):
            self._deliver(lags, part)

    def _deliver(self, lags, part):
        for entry in part:
            lag = min(lags[entry], len(self.history) - 1)
            known = self.history[-1 - lag]
            total = sum(known[peer].requests_per_s for peer in part)
            sums = {ACCOUNT: Demand(total, 0.0)}
            peers = PeerDemand(sums, len(part))
            self.limiters[entry].observe(peers, self.now)

    def worst_excess(self, extra_s=0.0):
        """Returns the largest excess over the stated bound in any window."""
        advance = max(
            PARAMETERS.min_advance_requests,
            self.rate * PARAMETERS.advance.total_seconds() / len(self.limiters),
        )
        burst_s = PARAMETERS.burst.total_seconds()
        allowed = self.rate * (burst_s + extra_s)
        allowed += advance * len(self.limiters)
        # Kadane's algorithm: the largest sum of grants minus rate over all
        # windows.
        worst = level = 0.0
        previous = START
        for time, count in self.grants:
            elapsed_s = (time - previous).total_seconds()
            level = max(0.0, level - self.rate * elapsed_s) + count
            worst = max(worst, level)
            previous = time
        return worst - allowed


class TestRateShares(testtools.TestCase):
    """Shares of the rate, their bound, and the fallback to an even share."""

    @hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
    @hypothesis.given(strategies.data())
    def test_connected_entries_keep_bound(self, data):
        """Guards against entries that together exceed the stated bound."""
        entries = data.draw(strategies.integers(1, 6))
        cluster = EntryCluster(
            entries, data.draw(strategies.sampled_from([2, 8, 30]))
        )
        entry = strategies.integers(0, entries - 1)
        lag = strategies.integers(0, 7)
        for _ in range(15):
            targets = data.draw(strategies.lists(entry, max_size=3))
            lags = [data.draw(lag) for _ in range(entries)]
            for _ in range(data.draw(strategies.integers(1, 12))):
                for target in targets:
                    cluster.send(target, 12)
                cluster.step(lags)
        self.assertLessEqual(cluster.worst_excess(), 1e-6)

    @hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
    @hypothesis.given(strategies.data())
    def test_cut_off_entries_keep_bound(self, data):
        """Guards against cut-off entries that keep their share for too long."""
        entries = data.draw(strategies.integers(2, 6))
        cluster = EntryCluster(
            entries, data.draw(strategies.sampled_from([2, 8, 30]))
        )
        entry = strategies.integers(0, entries - 1)
        cut_off = data.draw(strategies.frozensets(entry, min_size=1))
        lags = [data.draw(strategies.integers(0, 7)) for _ in range(entries)]
        split = data.draw(strategies.booleans())
        warm = data.draw(strategies.lists(entry, min_size=1, max_size=3))
        for _ in range(30):
            for target in warm:
                cluster.send(target, 12)
            cluster.step(lags)
        for _ in range(8):
            targets = data.draw(strategies.lists(entry, max_size=6))
            for _ in range(5):
                for target in targets:
                    cluster.send(target, 12)
                cluster.step(lags, cut_off, split)
        # The sums exclude the cut-off entries at once, so G (see RateShares)
        # is the largest lag of 7 steps, rounded up to the tick.
        silence_s = PARAMETERS.silence.total_seconds() + STEP.total_seconds()
        extra_s = silence_s + 2.0 * len(cut_off) / entries
        self.assertLessEqual(cluster.worst_excess(extra_s), 1e-6)

    def test_share_follows_demand(self):
        """Guards against an account that uses one entry and gets only R / N."""
        cluster = EntryCluster(8, 40)
        for _ in range(80):
            cluster.send(3, 20)
            cluster.step([4] * 8)
        granted = sum(cluster.send(3, 20) for _ in range(1))
        for _ in range(40):
            cluster.step([4] * 8)
            granted += cluster.send(3, 20)
        self.assertGreater(granted, 0.9 * 40 * 10)

    def test_silence_falls_back_to_even_share(self):
        """Guards against a share that stays high without demand sums."""
        cluster = EntryCluster(8, 40)
        for _ in range(80):
            cluster.send(3, 20)
            cluster.step([4] * 8)
        everyone = frozenset(range(8))
        for _ in range(20):
            cluster.send(3, 20)
            cluster.step([4] * 8, everyone)
        granted = 0
        for _ in range(40):
            granted += cluster.send(3, 20)
            cluster.step([4] * 8, everyone)
        self.assertAlmostEqual(40 / 8 * 10, granted, delta=2)

    def test_charge_is_corrected_to_generated_tokens(self):
        """Guards against charging an account for tokens never generated."""
        account = AccountConfiguration(
            "", 100, 100, Priority.NORMAL, frozenset()
        )
        limiter = Limiter(START)
        limiter.configure({ACCOUNT: account}, 1, START)
        outcomes = []
        for number in range(4):
            attempt = AttemptId(str(number))
            request = Request(
                attempt,
                ACCOUNT,
                "g",
                Priority.NORMAL,
                START + timedelta(seconds=60),
                1000,
            )
            outcomes.append(limiter.admit(request, START).outcome)
            used = 1000 if number else 0
            limiter.observe(Completion(attempt, used), START)
        # The bucket holds 13 s of the rate, 1,300 tokens.
        admitted = [item is Outcome.ADMITTED for item in outcomes]
        self.assertEqual([True, True, False, False], admitted)

    def test_rate_of_zero_refuses_everything(self):
        """Guards against serving an account that is disabled by a rate of 0."""
        cluster = EntryCluster(1, 0)
        self.assertEqual(0, cluster.send(0, 5))

    def test_clock_steps_back(self):
        """Guards against refusals until the clock reaches its old time."""
        cluster = EntryCluster(1, 10)
        cluster.now += timedelta(hours=1)
        cluster.send(0, 500)
        cluster.now = START
        self.assertEqual(0, cluster.send(0, 1))
        cluster.now += timedelta(seconds=1)
        self.assertEqual(10, cluster.send(0, 20))

    def test_refusal_has_retry_after_and_verdict(self):
        """Guards against a refusal that does not say when a retry is safe."""
        cluster = EntryCluster(1, 2)
        while cluster.send(0, 1):
            pass
        admission = cluster.limiters[0].admit(
            Request(
                AttemptId("late"), ACCOUNT, "g", Priority.URGENT, cluster.now
            ),
            cluster.now,
        )
        error = admission.error
        self.assertIs(ErrorCode.RATE_LIMITED, error.code)
        self.assertIs(Verdict.NOT_RUN, error.verdict)
        self.assertEqual(timedelta(seconds=0.5), error.retry_after)
