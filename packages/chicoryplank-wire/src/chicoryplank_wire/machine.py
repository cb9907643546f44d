"""Memory and descriptors that the machine grants to a process."""

import os
import resource

# Number that stands for no limit.
_UNLIMITED = 1_048_576


def read_memory_bytes() -> int:
    """Returns the memory of the machine in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def read_descriptor_limit() -> int:
    """Returns how many descriptors the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED if soft == resource.RLIM_INFINITY else soft


__all__ = ["read_descriptor_limit", "read_memory_bytes"]
