"""Features of requests to which a crash may be attributed."""

import hashlib
from typing import NewType

from chicoryplank.ids import ServiceId

# Readable in logs: the service, the kind of the feature and its name.
FeatureId = NewType("FeatureId", str)

_PART = "part"
_REQUEST = "request"
_DIGEST_BYTES = 12


def make_part_feature(service: ServiceId, part: str) -> FeatureId:
    """Returns the feature of requests whose prompt has a certain part."""
    return FeatureId(f"{service}/{_PART}/{part}")


def make_request_feature(
    service: ServiceId, account: str, method: str, target: str, body: bytes
) -> FeatureId:
    """Returns the feature of requests that are the same in all that matters.

    Args:
        service: Service that the request is sent to.
        account: Client account; empty if there is none.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (account.encode(), method.encode(), target.encode(), body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return FeatureId(f"{service}/{_REQUEST}/{digest.hexdigest()}")


def is_widespread(feature: FeatureId) -> bool:
    """Returns whether requests that differ otherwise may share the feature."""
    return f"/{_PART}/" in feature
