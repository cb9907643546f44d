"""Statistics of the crashes under a feature of requests."""

import math
from collections.abc import Sequence

from chicoryplank.quarantine._features import FeatureId
from chicoryplank.quarantine._ledger import CrashRecord

# Tolerance in seconds for the clocks and messages of entries when the send of a
# request is compared with the crash before it.
ORDER_TOLERANCE_S = 0.05


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
    total = len(records)
    return sum(
        math.comb(total, count)
        * chance**count
        * (1.0 - chance) ** (total - count)
        for count in range(present, total + 1)
    )


def count_moments(records: Sequence[CrashRecord], feature: FeatureId) -> int:
    """Counts crashes under a feature; those at the same moment count once."""
    count = 0
    last_s = float("-inf")
    for record in records:
        if feature in record.open_suspects and (
            record.seen_s >= last_s + ORDER_TOLERANCE_S
        ):
            count += 1
            last_s = record.seen_s
    return count


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
