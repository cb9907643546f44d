"""Registrations of entries in the store."""

import dataclasses
import ipaddress
import json

from chicoryplank.ids import InstanceId
from chicoryplank.traffic import check_address


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Registration of an entry.

    Attributes:
        instance: Id of the instance.
        zone: Availability zone.
        caller_address: Address for callers.
        peer_address: Address for other entries, by UDP and by HTTP.
    """

    instance: InstanceId
    zone: str
    caller_address: str
    peer_address: str

    def encode(self) -> bytes:
        """Returns the registration as JSON."""
        return json.dumps(dataclasses.asdict(self)).encode()


def decode_member(value: bytes) -> Member:
    """Decodes a registration.

    Raises:
        ValueError: If the registration is malformed.
    """
    try:
        document = json.loads(value)
    except RecursionError as error:
        raise ValueError("too deeply nested") from error
    names = [field.name for field in dataclasses.fields(Member)]
    if not isinstance(document, dict) or any(
        not isinstance(document.get(name), str) for name in names
    ):
        raise ValueError("malformed registration of an entry")
    for name in ("caller_address", "peer_address"):
        check_address(document[name])
    # Datagrams are sent there, without a look-up of names.
    host, _, _ = document["peer_address"].rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    return Member(**{name: document[name] for name in names})
