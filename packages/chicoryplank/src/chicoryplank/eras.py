"""Revisions and leases of a store that may be restored from an older copy.

A restored store repeats revisions and lease ids that it has given out before.
Each restore begins a new era, whose number the store adds to its responses. A
revision that contains the era is greater than every revision of an earlier
era, so that fencing tokens rise and watches start anew. In era 0, a store that
was never restored, revisions and lease ids are those of the store.
"""

# Bits of a revision below its era. Fencing tokens and map versions, which are
# multiples of revisions, remain 63-bit integers for thousands of eras.
_REVISION_BITS = 32
_LEASE_BITS = 64


def join_revision(era: int, number: int) -> int:
    """Returns the revision with a number of the store in an era.

    Raises:
        ValueError: If the number is out of range.
    """
    return _join(era, number, _REVISION_BITS)


def split_revision(revision: int) -> tuple[int, int]:
    """Returns the era of a revision and its number in the store."""
    return _split(revision, _REVISION_BITS)


def join_lease(era: int, number: int) -> int:
    """Returns the lease id with a number of the store in an era.

    Raises:
        ValueError: If the number is out of range.
    """
    return _join(era, number, _LEASE_BITS)


def split_lease(lease: int) -> tuple[int, int]:
    """Returns the era of a lease id and its number in the store."""
    return _split(lease, _LEASE_BITS)


def _join(era: int, number: int, bits: int) -> int:
    if era < 0 or not 0 <= number < 1 << bits:
        raise ValueError(f"number {number} of era {era} is out of range")
    return era << bits | number


def _split(value: int, bits: int) -> tuple[int, int]:
    return value >> bits, value & (1 << bits) - 1
