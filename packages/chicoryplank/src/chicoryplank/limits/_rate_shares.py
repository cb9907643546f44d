"""Rate limits per client account, divided among entries.

The entries exchange demand estimates and need no shared counter.
"""

import collections
import itertools
import math

from chicoryplank.configuration import AccountConfiguration
from chicoryplank.ids import AccountId
from chicoryplank.limits._messages import Demand, PeerDemand
from chicoryplank.limits._parameters import ShareParameters


class _ShareBucket:
    """Token bucket for this entry's share of one rate of one account.

    Estimates the demand at this entry, which determines the share.
    """

    def __init__(
        self,
        account_rate: float,
        entries: int,
        min_advance: float,
        parameters: ShareParameters,
        now: float,
    ) -> None:
        self._parameters = parameters
        self._tick_s = parameters.tick.total_seconds()
        smoothing_s = parameters.smoothing.total_seconds()
        self._smoothing_weight = 1 - math.exp(-self._tick_s / smoothing_s)
        self._lag_s = parameters.max_lag.total_seconds()
        self._silence_s = parameters.silence.total_seconds()
        self._burst_s = parameters.burst.total_seconds()
        self._min_advance = min_advance
        ticks = math.ceil((self._lag_s + self._silence_s) / self._tick_s) + 2
        self._demand_history = collections.deque([0.0] * ticks, maxlen=ticks)
        self._tick_demand = 0.0
        self._next_tick = now + self._tick_s
        self._demand_sum = 0.0
        self._entry_count = 0
        self._received_at = -math.inf
        self._refilled_at = now
        self.configure(account_rate, entries)
        self._rate = account_rate / entries
        self._level = self._capacity()

    def configure(self, account_rate: float, entries: int) -> None:
        """Sets the account's total rate and the number of entries."""
        self._account_rate = account_rate
        self._entries = entries
        advance_s = self._parameters.advance.total_seconds()
        advance = max(self._min_advance, account_rate * advance_s / entries)
        self._advance = advance if account_rate else 0.0

    def observe_sum(
        self, total: float, entry_count: int, received_at: float
    ) -> None:
        """Records a demand sum over entries; the next refill applies it."""
        self._demand_sum = total
        self._entry_count = entry_count
        self._received_at = received_at

    def refill(self, now: float) -> None:
        """Updates the demand estimate and the share, and refills the bucket.

        The elapsed time counts at the lower of the old and the new share,
        because the share may have changed at any time within it.
        """
        self._update_demand(now)
        rate = self._account_rate * self._compute_share_fraction(now)
        elapsed = max(0.0, now - self._refilled_at)
        self._level += min(rate, self._rate) * elapsed
        self._rate = rate
        self._level = min(self._level, self._capacity())
        # If the clock stepped back, the next elapsed time counts from the new
        # time. Otherwise the bucket would stay empty until the clock caught up.
        self._refilled_at = now

    def add_demand(self, amount: float) -> None:
        """Adds an amount to the demand of the current tick."""
        self._tick_demand += amount

    def get_wait_s(self, amount: float) -> float:
        """Returns the seconds until an amount is available; 0 if it is now.

        An amount larger than the bucket needs a full bucket and makes its
        level negative.
        """
        if not self._account_rate:
            return math.inf
        missing = min(amount, self._capacity()) - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def take(self, amount: float) -> None:
        """Takes an amount from the bucket; a negative amount is returned."""
        self._level = min(self._level - amount, self._capacity())

    def demand(self, now: float) -> float:
        """Returns the estimated demand per second."""
        self._update_demand(now)
        return self._demand_history[-1]

    def _capacity(self) -> float:
        return self._rate * self._burst_s + self._advance

    def _update_demand(self, now: float) -> None:
        if now < self._next_tick:
            self._next_tick = min(self._next_tick, now + self._tick_s)
            return
        elapsed = int((now - self._next_tick) / self._tick_s) + 1
        estimate = self._demand_history[-1]
        for _ in range(min(elapsed, self._demand_history.maxlen)):
            estimate += (
                self._tick_demand / self._tick_s - estimate
            ) * self._smoothing_weight
            self._tick_demand = 0.0
            self._demand_history.append(estimate)
        self._next_tick += elapsed * self._tick_s

    def _compute_share_fraction(self, now: float) -> float:
        silent_s = now - self._received_at
        if (
            silent_s > self._silence_s
            or not self._entry_count
            or not self._account_rate
        ):
            return 1 / self._entries
        ticks = math.ceil((self._lag_s + silent_s) / self._tick_s) + 1
        start = max(0, len(self._demand_history) - ticks)
        min_demand = min(itertools.islice(self._demand_history, start, None))
        total = max(self._demand_sum, min_demand)
        entry_count = min(self._entry_count, self._entries)
        rate = self._account_rate * entry_count / self._entries
        even = max(self._parameters.even_part * rate, rate - total)
        share = rate * (min_demand + even / entry_count) / (total + even)
        return share / self._account_rate


class RateShares:
    """Rate limits per client account, divided among N entries.

    Each entry has a share of the rate R of an account. Let `d` be the demand
    estimate of an entry, `m` the minimum of `d` over a period of `max_lag`
    plus the time since the last demand sum, `D` the last demand sum, `H` the
    number of entries in it, `P = R * H / N`, and
    `E = max(even_part * P, P - D)` the part that is divided evenly:

        share = P * (m + E / H) / (D + E)

    While the demand of an account is below its rate, each entry thus has a
    share for its own demand, and the rest of the rate is divided evenly.

    Every contribution to `D` is at most as old as the period of `m`, so it is
    at least the current `m` of its entry. The sum of the shares of all entries
    therefore never exceeds R, even while demand moves between entries: an
    entry uses only demand that it has had for so long that the demand sums of
    all other entries include it. (The share falls as D rises, so the sum is
    greatest if every D equals the sum of all m, and then it is P.) The factor
    H / N keeps the sum over the parts of a partitioned cluster within R. An
    entry that received no demand sum for `silence` uses R / N.

    Worst case: the requests granted by all entries together in any window of
    T seconds are at most

        R * (T + burst + C) + N * A

    where `A = max(min_advance, R * advance / N)`, and C is 0 while all entries
    receive demand sums within `max_lag`. A network partition adds
    `C = silence + G * K / N` for K entries that are cut off while the sums of
    the others include them for another G seconds, because these K keep their
    last share for `silence` and the others may use it at once. The bound
    assumes that N is at least the number of live entries. A request counts
    when it is accepted, and is credited back if it leaves a queue without
    having run. A restarted entry starts with a full bucket. For generated
    tokens, N times the largest request is added, since a request larger than
    the bucket is granted when the bucket is full, and also the tokens that
    were generated beyond the stated `tokens`.

    Args:
        parameters: Parameters of the shares.
        entries: Number N of live entries, including this one.
    """

    def __init__(self, parameters: ShareParameters, entries: int) -> None:
        self._parameters = parameters
        self._entries = entries
        self._buckets: dict[AccountId, tuple[_ShareBucket, _ShareBucket]] = {}
        self._peers: PeerDemand | None = None
        self._received_at = -math.inf
        self._applied_at: dict[AccountId, float] = {}

    def configure(
        self,
        accounts: dict[AccountId, AccountConfiguration],
        entries: int,
        now: float,
    ) -> None:
        """Sets the rates of all accounts and the number of entries."""
        self._entries = entries
        for account in self._buckets.keys() - accounts.keys():
            del self._buckets[account]
            self._applied_at.pop(account, None)
        for account, rates in accounts.items():
            buckets = self._buckets.get(account)
            if buckets is None:
                self._buckets[account] = self._make_buckets(rates, now)
                continue
            for bucket in buckets:
                bucket.refill(now)
            buckets[0].configure(rates.requests_per_s, entries)
            buckets[1].configure(rates.tokens_per_s, entries)

    def observe_peers(self, peers: PeerDemand, now: float) -> None:
        """Records demand sums, unless they are older than `max_lag`."""
        if peers.lag > self._parameters.max_lag:
            return
        self._peers = peers
        self._received_at = now

    def admit(self, account: AccountId, tokens: int, now: float) -> float:
        """Counts the demand of a request and checks both buckets.

        Returns:
            Seconds until the request conforms to both rates; 0 if it does now,
            infinity if the account is unknown or its rate is 0.
        """
        buckets = self._refresh_buckets(account, now)
        if buckets is None:
            return math.inf
        requests, generated = buckets
        requests.add_demand(1)
        if not tokens:
            return requests.get_wait_s(1)
        generated.add_demand(tokens)
        return max(requests.get_wait_s(1), generated.get_wait_s(tokens))

    def take(self, account: AccountId, requests: int, tokens: int) -> None:
        """Takes amounts from both buckets; negative amounts are returned."""
        buckets = self._buckets.get(account)
        if buckets is not None:
            buckets[0].take(requests)
            buckets[1].take(tokens)

    def demand(self, now: float) -> dict[AccountId, Demand]:
        """Returns the demand of all accounts that have a relevant demand."""
        found = {}
        for account, (requests, generated) in self._buckets.items():
            rate = requests.demand(now)
            if rate > 1e-6:
                found[account] = Demand(rate, generated.demand(now))
        return found

    def _make_buckets(
        self, rates: AccountConfiguration, now: float
    ) -> tuple[_ShareBucket, _ShareBucket]:
        parameters = self._parameters
        return (
            _ShareBucket(
                rates.requests_per_s,
                self._entries,
                parameters.min_advance_requests,
                parameters,
                now,
            ),
            _ShareBucket(
                rates.tokens_per_s,
                self._entries,
                parameters.min_advance_tokens,
                parameters,
                now,
            ),
        )

    def _refresh_buckets(
        self, account: AccountId, now: float
    ) -> tuple[_ShareBucket, _ShareBucket] | None:
        buckets = self._buckets.get(account)
        if buckets is None:
            return None
        if self._applied_at.get(account) != self._received_at and self._peers:
            self._applied_at[account] = self._received_at
            total = self._peers.sums.get(account) or Demand(0.0, 0.0)
            entry_count = self._peers.entry_count
            buckets[0].observe_sum(
                total.requests_per_s, entry_count, self._received_at
            )
            buckets[1].observe_sum(
                total.tokens_per_s, entry_count, self._received_at
            )
        for bucket in buckets:
            bucket.refill(now)
        return buckets
