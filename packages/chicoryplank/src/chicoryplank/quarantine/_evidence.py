"""Tests whether the crashes under a feature of requests are chance."""

import dataclasses
import math
from collections.abc import Sequence

from chicoryplank.ids import ServiceId
from chicoryplank.quarantine._chances import (
    compute_binomial_tail,
    compute_coverage_chance,
    compute_presence_chance,
    count_moments,
    list_moments,
)
from chicoryplank.quarantine._features import FeatureId, is_widespread
from chicoryplank.quarantine._ledger import CrashRecord, RequestCounts
from chicoryplank.quarantine._outcomes import Outcomes

# Weight, in attempts, of the prior that a crash hits a random replica.
_PRIOR_ATTEMPTS = 10
# What all requests share is present whenever a replica crashes, so a widespread
# feature must differ from it: a number of attempts without it went well, or its
# presence at so many crashes is unlikely.
_MIN_CONTRAST = 3
_MAX_PRESENCE_CHANCE = 1e-3
# Number of crashes below which some part of the prompts is likely to be found
# shortly before each of them.
_MIN_PROMPT_CRASHES = 4
# Tolerance in seconds for the times from a send to a crash, which are measured
# by one entry.
_SPAN_TOLERANCE_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class OtherRequests:
    """Outcomes of requests without a feature.

    Attributes:
        crashed: Number whose replicas crashed within some time.
        survived: Number whose replicas did not.
    """

    crashed: int
    survived: int

    def estimate_rate(self, replica_count: int) -> float:
        """Returns the fraction whose replicas crashed.

        Args:
            replica_count: Number of replicas; before anything is observed, a
                crash hits each of them with the same probability.
        """
        prior = _PRIOR_ATTEMPTS / (replica_count + 1)
        return (self.crashed + prior) / (
            self.crashed + self.survived + _PRIOR_ATTEMPTS
        )

    def move_outlived(self, counts: RequestCounts) -> "OtherRequests":
        """Counts requests that were sent longer before a crash as survived.

        They were cut off, but did not cause the crash.
        """
        return OtherRequests(
            max(0, self.crashed - counts.outlived - counts.others_outlived),
            self.survived + counts.others_outlived,
        )


def compute_chance(
    outcomes: Outcomes,
    service: ServiceId,
    feature: FeatureId,
    chain: Sequence[CrashRecord],
    records: Sequence[CrashRecord],
) -> float:
    """Returns the probability that crashes under a feature are chance.

    There are two tests, of which the stronger counts.

    Args:
        outcomes: Recent outcomes of attempts of this entry.
        service: Service of the replicas.
        feature: The feature.
        chain: Crashes under it that follow one another.
        records: All crashes.
    """
    recent = [record for record in records if record.seen_s >= chain[0].seen_s]
    others = count_others(outcomes, service, feature, recent)
    share = outcomes.estimate_share(service, feature)
    return min(
        _test_presence(feature, recent, others, share),
        _test_promptness(feature, chain, recent, others),
    )


def _test_presence(
    feature: FeatureId,
    recent: Sequence[CrashRecord],
    others: OtherRequests,
    share: float,
) -> float:
    """Tests whether replicas crash under a feature rather than without it.

    Two observations speak against chance: the replicas of all requests with the
    feature crashed while those of others did not, and such a request was in
    progress at most of the replicas that crashed.
    """
    chance = compute_presence_chance(recent, feature, share)
    if (
        is_widespread(feature)
        and others.survived < _MIN_CONTRAST
        and chance > _MAX_PRESENCE_CHANCE
    ):
        return 1.0
    rate = others.estimate_rate(recent[-1].replica_count)
    return rate ** count_moments(recent, feature, math.inf) * chance


def _test_promptness(
    feature: FeatureId,
    chain: Sequence[CrashRecord],
    recent: Sequence[CrashRecord],
    others: OtherRequests,
) -> float:
    """Tests whether replicas crash promptly after requests with a feature.

    Replicas with many long requests cut off all of them, so that most requests
    of the time are present at a crash, but few were sent shortly before. Two
    observations speak against chance: the replicas of all requests with the
    feature crashed so promptly while those of others did not, and such requests
    were sent before most of the crashes, not several before the same one.
    """
    span_s = get_span_s(feature, chain)
    counts = count_requests(recent, feature, span_s)
    others = others.move_outlived(counts)
    crashed = count_moments(recent, feature, span_s)
    if is_widespread(feature) and (
        others.survived < _MIN_CONTRAST or crashed < _MIN_PROMPT_CRASHES
    ):
        return 1.0
    rate = others.estimate_rate(recent[-1].replica_count)
    return compute_binomial_tail(
        crashed, crashed + counts.outlived, rate
    ) * compute_coverage_chance(
        crashed, len(list_moments(recent)), counts.prompt
    )


def count_others(
    outcomes: Outcomes,
    service: ServiceId,
    feature: FeatureId,
    recent: Sequence[CrashRecord],
) -> OtherRequests:
    """Estimates the outcomes of requests of all entries without a feature.

    Crashes of all entries are known. Of what went well this entry knows its own
    part, and assumes that each other one that has reported a crash saw as much.

    Args:
        outcomes: Recent outcomes of attempts of this entry.
        service: Service of the replicas.
        feature: The feature.
        recent: Crashes.
    """
    total = sum(sum(record.requests.values()) for record in recent)
    total -= sum(feature in record.open_suspects for record in recent)
    entries = {entry for record in recent for entry in record.requests}
    survived = outcomes.count_survived(service, feature, recent[0].seen_s)
    return OtherRequests(max(0, total), survived * max(1, len(entries)))


def count_requests(
    records: Sequence[CrashRecord], feature: FeatureId, span_s: float
) -> RequestCounts:
    """Adds up the requests at several crashes (CrashRecord.count_requests)."""
    counts = [record.count_requests(feature, span_s) for record in records]
    return RequestCounts(
        sum(item.prompt for item in counts),
        sum(item.outlived for item in counts),
        sum(item.others_outlived for item in counts),
    )


def get_span_s(feature: FeatureId, chain: Sequence[CrashRecord]) -> float:
    """Returns the time in which replicas crash under requests with a feature.

    Args:
        feature: The feature.
        chain: Crashes under it that follow one another.

    Returns:
        The longest time from the send of such a request to the crash, in
        seconds, with a tolerance.
    """
    longest_s = max(record.suspects[feature] for record in chain)
    return longest_s + _SPAN_TOLERANCE_S
