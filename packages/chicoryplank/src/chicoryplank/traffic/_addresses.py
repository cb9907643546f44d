"""Network addresses in registrations."""

import re

_MAX_LENGTH = 255
_MAX_PORT = 65_535
# Visible ASCII characters: an address is logged and sent in headers.
_ADDRESS = re.compile(r"[!-~]+:([0-9]{1,5})")


def check_address(address: object) -> str:
    """Returns an address if it is a host and a port.

    Raises:
        ValueError: If it is malformed, or its port is out of range.

    Example:
        >>> check_address("10.0.0.1:80")
        '10.0.0.1:80'
    """
    found = None
    if isinstance(address, str) and len(address) <= _MAX_LENGTH:
        found = _ADDRESS.fullmatch(address)
    if found is None or not 0 < int(found[1]) <= _MAX_PORT:
        raise ValueError(f"{address!r} is not a host and port")
    return address
