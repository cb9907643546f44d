"""Statistics of the crashes under a feature of requests."""

import math
from collections.abc import Sequence

from chicoryplank.quarantine._features import FeatureId
from chicoryplank.quarantine._ledger import CrashRecord

# Tolerance in seconds for the clocks and messages of entries when the send of a
# request is compared with the crash before it.
ORDER_TOLERANCE_S = 0.05
# Share of a sum below which further, smaller terms are left out.
_NEGLIGIBLE = 1e-12
_MAX_REQUESTS_PER_MOMENT = 3


def compute_presence_chance(
    records: Sequence[CrashRecord], feature: FeatureId, share: float
) -> float:
    """Returns the chance that a feature is present in so many crashes.

    Args:
        records: Crashes.
        feature: A suspect of some of them.
        share: Fraction of the requests that have the feature.
    """
    present = sum(feature in record.open_suspects for record in records)
    mean_requests = sum(
        max(1, sum(record.requests.values())) for record in records
    ) / len(records)
    chance = 1.0 - (1.0 - share) ** mean_requests
    return compute_binomial_tail(present, len(records), chance)


def compute_binomial_tail(least: int, total: int, chance: float) -> float:
    """Returns the probability of so many successes or more.

    Args:
        least: Smallest number of successes.
        total: Number of independent trials.
        chance: Probability of a success in each.
    """
    if least <= 0 or chance >= 1.0:
        return 1.0
    if least > total or chance <= 0.0:
        return 0.0
    if least > total * chance:
        return _sum_terms(least, total, chance)
    return 1.0 - _sum_terms(total - least + 1, total, 1.0 - chance)


def _sum_terms(least: int, total: int, chance: float) -> float:
    """Adds up a binomial tail that lies above the mean."""
    odds = chance / (1.0 - chance)
    term = math.exp(
        math.lgamma(total + 1)
        - math.lgamma(least + 1)
        - math.lgamma(total - least + 1)
        + least * math.log(chance)
        + (total - least) * math.log1p(-chance)
    )
    tail = 0.0
    for count in range(least, total + 1):
        tail += term
        if term <= tail * _NEGLIGIBLE:
            break
        term *= odds * (total - count) / (count + 1)
    return tail


def compute_coverage_chance(covered: int, moments: int, requests: int) -> float:
    """Returns the chance that requests are spread over so many moments.

    Args:
        covered: Number of moments with one of the requests, at least.
        moments: Number of moments; each is as likely for each request.
        requests: Number of requests that were sent shortly before any of them.

    Returns:
        The chance; 1 for many more requests than moments, where it is no
        evidence.
    """
    if requests > _MAX_REQUESTS_PER_MOMENT * moments:
        return 1.0
    # Probability of each number of moments that have one of the requests.
    chances = [1.0] + [0.0] * moments
    for _ in range(requests):
        chances = [0.0] + [
            (
                chances[count] * count
                + chances[count - 1] * (moments - count + 1)
            )
            / moments
            for count in range(1, moments + 1)
        ]
    return sum(chances[covered:])


def list_moments(
    records: Sequence[CrashRecord],
) -> list[list[CrashRecord]]:
    """Returns the crashes at each moment: replicas may fail together.

    Args:
        records: Crashes in order of time.
    """
    moments: list[list[CrashRecord]] = []
    for record in records:
        if (
            not moments
            or record.seen_s >= moments[-1][0].seen_s + ORDER_TOLERANCE_S
        ):
            moments.append([])
        moments[-1].append(record)
    return moments


def count_moments(
    records: Sequence[CrashRecord], feature: FeatureId, span_s: float
) -> int:
    """Counts crashes soon after the send of a request with a feature.

    Those at the same moment count once.

    Args:
        records: Crashes in order of time.
        feature: A suspect of some of them.
        span_s: Longest time from the send to the crash, in seconds.
    """
    return len(
        list_moments(
            [
                record
                for record in records
                if feature in record.open_suspects
                and record.suspects[feature] <= span_s
            ]
        )
    )


def find_chains(
    records: Sequence[CrashRecord],
) -> dict[FeatureId, list[CrashRecord]]:
    """Returns the crashes under each feature that follow one another.

    A crash follows the one before it if the request with the feature was sent
    after that one, so that replicas which fail together count once.

    Args:
        records: Crashes in order of time.
    """
    chains: dict[FeatureId, list[CrashRecord]] = {}
    for record in records:
        for feature in record.open_suspects:
            chain = chains.setdefault(feature, [])
            sent_s = record.seen_s - record.suspects[feature]
            if not chain or sent_s >= chain[-1].seen_s + ORDER_TOLERANCE_S:
                chain.append(record)
    return chains
