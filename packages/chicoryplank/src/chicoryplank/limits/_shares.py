"""Rate limits per client account without a shared counter."""

import collections
import itertools
import math

from chicoryplank.configuration import AccountConfiguration
from chicoryplank.ids import AccountId
from chicoryplank.limits._messages import Demand, PeerDemand
from chicoryplank.limits._parameters import ShareParameters


class _Meter:
    """Demand estimate, share and token bucket of one rate of one account."""

    def __init__(
        self,
        limit: float,
        entries: int,
        min_advance: float,
        parameters: ShareParameters,
        now: float,
    ) -> None:
        self._parameters = parameters
        self._tick_s = parameters.tick.total_seconds()
        smoothing_s = parameters.smoothing.total_seconds()
        self._weight = 1 - math.exp(-self._tick_s / smoothing_s)
        self._lag_s = parameters.max_lag.total_seconds()
        self._silence_s = parameters.silence.total_seconds()
        self._burst_s = parameters.burst.total_seconds()
        self._min_advance = min_advance
        ticks = math.ceil((self._lag_s + self._silence_s) / self._tick_s) + 2
        self._history = collections.deque([0.0] * ticks, maxlen=ticks)
        self._count = 0.0
        self._next_tick = now + self._tick_s
        self._sum = 0.0
        self._heard = 0
        self._heard_at = -math.inf
        self._refilled_at = now
        self.configure(limit, entries)
        self._rate = limit / entries
        self._level = self._capacity()

    def configure(self, limit: float, entries: int) -> None:
        """Sets the account's rate and the number of entries."""
        self._limit = limit
        self._entries = entries
        advance_s = self._parameters.advance.total_seconds()
        advance = max(self._min_advance, limit * advance_s / entries)
        self._advance = advance if limit else 0.0

    def hear(self, total: float, heard: int, heard_at: float) -> None:
        """Takes a demand sum over entries; in force with the next refill."""
        self._sum = total
        self._heard = heard
        self._heard_at = heard_at

    def refill(self, now: float) -> None:
        """Brings estimate, share and bucket up to date.

        The lower of the old and the new rate applies to the elapsed time,
        because the rate may have changed at any moment within it.
        """
        self._roll(now)
        rate = self._limit * self._fraction(now)
        elapsed = max(0.0, now - self._refilled_at)
        self._level += min(rate, self._rate) * elapsed
        self._rate = rate
        self._level = min(self._level, self._capacity())
        # After a step back of the clock the elapsed time counts from there;
        # waiting until it catches up would refuse all requests meanwhile.
        self._refilled_at = now

    def count(self, amount: float) -> None:
        """Adds to the demand."""
        self._count += amount

    def wait_s(self, amount: float) -> float:
        """Returns seconds until the amount is available; 0 if it is now.

        An amount above the bucket's size needs a full bucket and leaves a
        debt.
        """
        if not self._limit:
            return math.inf
        missing = min(amount, self._capacity()) - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def take(self, amount: float) -> None:
        """Takes an amount out of the bucket, or puts a negative one back."""
        self._level = min(self._level - amount, self._capacity())

    def demand(self, now: float) -> float:
        """Returns the demand estimate, per second."""
        self._roll(now)
        return self._history[-1]

    def _capacity(self) -> float:
        return self._rate * self._burst_s + self._advance

    def _roll(self, now: float) -> None:
        if now < self._next_tick:
            self._next_tick = min(self._next_tick, now + self._tick_s)
            return
        elapsed = int((now - self._next_tick) / self._tick_s) + 1
        estimate = self._history[-1]
        for _ in range(min(elapsed, self._history.maxlen)):
            estimate += (self._count / self._tick_s - estimate) * self._weight
            self._count = 0.0
            self._history.append(estimate)
        self._next_tick += elapsed * self._tick_s

    def _fraction(self, now: float) -> float:
        silent_s = now - self._heard_at
        if silent_s > self._silence_s or not self._heard or not self._limit:
            return 1 / self._entries
        ticks = math.ceil((self._lag_s + silent_s) / self._tick_s) + 1
        start = max(0, len(self._history) - ticks)
        steady = min(itertools.islice(self._history, start, None))
        total = max(self._sum, steady)
        heard = min(self._heard, self._entries)
        rate = self._limit * heard / self._entries
        even = max(self._parameters.even_part * rate, rate - total)
        share = rate * (steady + even / heard) / (total + even)
        return share / self._limit


class RateShares:
    """Rate limits per client account over N entries.

    Each entry holds a share of the rate R of an account. Let `d` be an
    entry's demand estimate, `m` the least value of `d` over the last
    `max_lag` plus the time since the last demand sum, `D` the last demand
    sum, `H` the number of entries in it, `P = R * H / N` and
    `E = max(even_part * P, P - D)` the part that is spread evenly:

        share = P * (m + E / H) / (D + E)

    An account below its rate thus keeps its demand where it is and finds the
    rest of its rate at every entry alike.

    Every contribution to `D` is at most as old as the span of `m`, so it is
    at least the `m` of its entry now. The shares of all entries therefore
    never exceed R in sum, even while demand moves between entries: an entry
    claims only demand that it has had for so long that every other entry has
    heard of it. (The share falls as D rises, so the sum is greatest if every
    D equals the sum of all m, and then it is P.) The factor H / N keeps
    parts of a partitioned fleet at R in sum. An entry that heard no sum for
    `silence` takes R / N.

    Worst case: the requests granted by all entries in any window of T
    seconds are at most

        R * (T + burst + C) + N * A

    where `A = max(min_advance, R * advance / N)` and C is 0 while all
    entries hear sums within `max_lag`. A cut-off adds
    `C = silence + G * K / N` for K entries that are cut off and still
    counted in the others' sums for G seconds, because they keep their last
    share for `silence` and the others may take it over at once. The bound
    assumes that N is not below the number of live entries. A request counts
    when it is accepted; one that leaves a queue without having run gives back
    what it took. A restarted entry starts with a full bucket. For generated
    tokens add N times the largest request, since a request larger than the
    bucket is granted when the bucket is full, and whatever was generated
    beyond the stated `tokens`.

    Args:
        parameters: Parameters.
        entries: Number N of live entries, this one included.
    """

    def __init__(self, parameters: ShareParameters, entries: int) -> None:
        self._parameters = parameters
        self._entries = entries
        self._meters: dict[AccountId, tuple[_Meter, _Meter]] = {}
        self._peers: PeerDemand | None = None
        self._heard_at = -math.inf
        self._applied: dict[AccountId, float] = {}

    def configure(
        self,
        accounts: dict[AccountId, AccountConfiguration],
        entries: int,
        now: float,
    ) -> None:
        """Takes the rates of all accounts and the number of entries."""
        self._entries = entries
        for account in self._meters.keys() - accounts.keys():
            del self._meters[account]
            self._applied.pop(account, None)
        for account, rates in accounts.items():
            meters = self._meters.get(account)
            if meters is None:
                self._meters[account] = self._make_meters(rates, now)
                continue
            for meter in meters:
                meter.refill(now)
            meters[0].configure(rates.requests_per_s, entries)
            meters[1].configure(rates.tokens_per_s, entries)

    def hear(self, peers: PeerDemand, now: float) -> None:
        """Takes demand sums, unless they are too old."""
        if peers.lag > self._parameters.max_lag:
            return
        self._peers = peers
        self._heard_at = now

    def admit(self, account: AccountId, tokens: int, now: float) -> float:
        """Counts a request's demand and checks both buckets.

        Returns:
            Seconds until the request conforms; 0 if it does now, and infinity
            if the account is unknown.
        """
        meters = self._refresh(account, now)
        if meters is None:
            return math.inf
        requests, generated = meters
        requests.count(1)
        if not tokens:
            return requests.wait_s(1)
        generated.count(tokens)
        return max(requests.wait_s(1), generated.wait_s(tokens))

    def take(self, account: AccountId, requests: int, tokens: int) -> None:
        """Takes amounts out of both buckets; negative amounts go back."""
        meters = self._meters.get(account)
        if meters is not None:
            meters[0].take(requests)
            meters[1].take(tokens)

    def demand(self, now: float) -> dict[AccountId, Demand]:
        """Returns the demand of all accounts that have some."""
        found = {}
        for account, (requests, generated) in self._meters.items():
            rate = requests.demand(now)
            if rate > 1e-6:
                found[account] = Demand(rate, generated.demand(now))
        return found

    def _make_meters(
        self, rates: AccountConfiguration, now: float
    ) -> tuple[_Meter, _Meter]:
        parameters = self._parameters
        return (
            _Meter(
                rates.requests_per_s,
                self._entries,
                parameters.min_advance_requests,
                parameters,
                now,
            ),
            _Meter(
                rates.tokens_per_s,
                self._entries,
                parameters.min_advance_tokens,
                parameters,
                now,
            ),
        )

    def _refresh(
        self, account: AccountId, now: float
    ) -> tuple[_Meter, _Meter] | None:
        meters = self._meters.get(account)
        if meters is None:
            return None
        if self._applied.get(account) != self._heard_at and self._peers:
            self._applied[account] = self._heard_at
            total = self._peers.sums.get(account) or Demand(0.0, 0.0)
            heard = self._peers.heard
            meters[0].hear(total.requests_per_s, heard, self._heard_at)
            meters[1].hear(total.tokens_per_s, heard, self._heard_at)
        for meter in meters:
            meter.refill(now)
        return meters
