"""Rendezvous hashing: every process ranks the same members the same way.

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
    """Returns a 64-bit digest that is the same in every process."""
    data = key.encode() if isinstance(key, str) else key
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


@functools.lru_cache(maxsize=4096)
def digest_member(name: str) -> int:
    """Returns the digest of a name that recurs in every ranking.

    Keys do not recur and use digest. The size of the cache bounds the memory
    at about 0.5 MB.
    """
    return digest(name)


def mix(first: int, second: int) -> int:
    """Returns the score of a pair of digests, 64 bits.

    Two multiplications are enough, since both arguments are already uniform;
    a cryptographic hash per pair takes five times as long.
    """
    value = ((first ^ second) * _FIRST_MULTIPLIER) & _MASK
    value = ((value ^ (value >> 32)) * _SECOND_MULTIPLIER) & _MASK
    return value ^ (value >> 32)


def rank(key: str | bytes, members: Iterable[Member]) -> list[Member]:
    """Returns the members in the order of their score for a key.

    Args:
        key: What is to be placed.
        members: Names; duplicates are ranked once.

    Returns:
        All members, the preferred one first.

    Example:
        >>> rank("key", ["a", "b"]) == rank("key", ["b", "a"])
        True
    """
    target = digest(key)
    return sorted(
        set(members), key=lambda name: (mix(target, digest_member(name)), name)
    )
