"""Claims and the segment documents that hold them."""

import dataclasses
import hashlib
import json

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import AccountId

_DIGEST_BYTES = 16


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def digest_key(account: AccountId, key: str) -> str:
    """Returns the digest under which a client account's key is claimed."""
    return _digest(account.encode(), key.encode())


def digest_body(method: str, path: str, body: bytes) -> str:
    """Returns the digest that tells equal requests from different ones."""
    return _digest(method.encode(), path.encode(), body)


def choose_shard(digest: str, shards: int) -> int:
    """Returns the shard of a key digest.

    Example:
        >>> choose_shard("00000011", 16)
        1
    """
    return int(digest[:8], 16) % shards


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Right of one attempt to run a non-idempotent request.

    Attributes:
        key: Digest of client account and idempotency key.
        body: Digest of method, path and body.
        attempt: Name of the attempt that holds the claim.
        expires_s: Unix time after which the key counts as new.
    """

    key: str
    body: str
    attempt: str
    expires_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """One document of a shard; only the last segment is not sealed.

    Attributes:
        claims: Claims in the order of arrival.
        sealed: Whether claims may no longer be added.
    """

    claims: tuple[Claim, ...] = ()
    sealed: bool = False

    def encode(self) -> bytes:
        """Returns the document as JSON."""
        claims = [dataclasses.astuple(claim) for claim in self.claims]
        document = {"claims": claims, "sealed": self.sealed}
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Segment":
        """Reads a document.

        Raises:
            ChicoryplankError: If it is malformed; nothing may be claimed then.
        """
        try:
            document = json.loads(data)
            claims = tuple(Claim(*item) for item in document["claims"])
            return cls(claims, bool(document["sealed"]))
        except (ValueError, KeyError, TypeError) as error:
            raise ChicoryplankError(
                ErrorCode.MALFORMED_CLAIMS,
                f"a claim document is malformed: {error!r}",
            ) from error
