"""Rendezvous hashing: every process ranks the same members identically.

References:
    D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import functools
import hashlib
from collections.abc import Iterable
from typing import TypeVar

_MASK = (1 << 64) - 1
_FIRST_MULTIPLIER = 0x9E3779B97F4A7C15
_SECOND_MULTIPLIER = 0xD6E8FEB86659FD93

Member = TypeVar("Member", bound=str)


def digest(key: str | bytes) -> int:
    """Returns a 64-bit digest that is the same in every process.

    Python's built-in hash of strings differs between processes.
    """
    data = key.encode() if isinstance(key, str) else key
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


@functools.lru_cache(maxsize=4096)
def digest_member(name: str) -> int:
    """Returns the cached digest of a member name.

    Member names recur in every ranking. Keys rarely do, so they use the
    uncached function. The cache size limits its memory to about 0.5 MB.
    """
    return digest(name)


def score_digests(first: int, second: int) -> int:
    """Returns the 64-bit score of a pair of digests.

    Two multiplications are enough because both arguments are already uniformly
    distributed; a cryptographic hash of each pair takes five times as long.
    """
    value = ((first ^ second) * _FIRST_MULTIPLIER) & _MASK
    value = ((value ^ (value >> 32)) * _SECOND_MULTIPLIER) & _MASK
    return value ^ (value >> 32)


def rank_members(key: str | bytes, members: Iterable[Member]) -> list[Member]:
    """Returns the members ordered by their score for a key.

    Args:
        key: Key to assign to members.
        members: Member names; duplicates are ranked once.

    Returns:
        All distinct members, the preferred one first.

    Example:
        >>> rank_members("key", ["a", "b"]) == rank_members("key", ["b", "a"])
        True
    """
    target = digest(key)
    return sorted(
        set(members),
        key=lambda name: (score_digests(target, digest_member(name)), name),
    )
