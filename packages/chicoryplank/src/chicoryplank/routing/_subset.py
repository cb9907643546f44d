"""Which replicas an entry connects to."""

from collections.abc import Iterable

from chicoryplank.ids import InstanceId
from chicoryplank.rendezvous import digest, mix
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
    moves few connections. If too few candidates name the entry, as in a small
    deployment, it adds those that it prefers itself.

    Args:
        entry: The entry that asks.
        entries: All entries that it knows; views may differ between entries.
        candidates: Candidates of one deployment.
        entries_per_candidate: Entries that each candidate serves.
        min_candidates: Candidates that an entry needs at least.

    Returns:
        The subset, ordered by the digest of the id.

    Example:
        >>> choose_subset(InstanceId("e1"), [], [], 16, 8)
        ()
    """
    own = digest(entry)
    others = [digest(name) for name in set(entries) if name != entry]
    scored = []
    for candidate in candidates:
        key = digest(candidate.instance)
        scored.append((mix(own, key), candidate, key))
    chosen = set()
    for score, candidate, key in scored:
        lower = sum(mix(other, key) < score for other in others)
        if lower < entries_per_candidate:
            chosen.add(candidate.instance)
    scored.sort(key=lambda item: item[0])
    for _, candidate, _ in scored:
        if len(chosen) >= min_candidates:
            break
        chosen.add(candidate.instance)
    return tuple(
        candidate
        for _, candidate, _ in sorted(scored, key=lambda item: item[2])
        if candidate.instance in chosen
    )
