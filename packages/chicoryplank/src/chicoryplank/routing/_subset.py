"""Subsetting: the choice of the replicas that an entry connects to."""

from collections.abc import Iterable

from chicoryplank.ids import InstanceId
from chicoryplank.rendezvous import digest, score_digests
from chicoryplank.routing._types import Candidate


def choose_subset(
    entry: InstanceId,
    entries: Iterable[InstanceId],
    candidates: Iterable[Candidate],
    entries_per_candidate: int,
    min_candidates: int,
) -> tuple[Candidate, ...]:
    """Returns the candidates that an entry connects to, in a stable order.

    Each candidate is connected to the entries with the lowest rendezvous
    scores. Every candidate thus has the same number of entries, and adding or
    removing an entry changes few connections. An entry also connects to the
    `min_candidates` candidates with the lowest scores for itself, so that it
    reaches small deployments.

    Args:
        entry: This entry.
        entries: All entries that it knows; the lists of two entries may
            differ for a while.
        candidates: Candidates of one deployment.
        entries_per_candidate: Number of entries that connect to each candidate.
        min_candidates: Number of candidates that the entry connects to by its
            own ranking.

    Returns:
        The subset, in ascending order of its scores for the entry.

    Example:
        >>> choose_subset(InstanceId("e1"), [], [], 16, 8)
        ()
    """
    own = digest(entry)
    others = [digest(name) for name in set(entries) if name != entry]
    scored = sorted(
        (
            (score_digests(own, digest(item.instance)), item)
            for item in candidates
        ),
        key=lambda pair: pair[0],
    )
    return tuple(
        candidate
        for position, (score, candidate) in enumerate(scored)
        if position < min_candidates
        or _is_among_lowest(
            score, digest(candidate.instance), others, entries_per_candidate
        )
    )


def _is_among_lowest(
    score: int, key: int, others: list[int], count: int
) -> bool:
    # Counting stops early, because most scores are not among the lowest: with
    # 560 entries and a count of 16, on average after 73 entries.
    for other in others:
        if score_digests(other, key) < score:
            count -= 1
            if count <= 0:
                return False
    return True
