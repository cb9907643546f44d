"""Claims and the segment documents in which they are stored."""

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
    """Returns the digest of a client account's idempotency key."""
    return _digest(account.encode(), key.encode())


def digest_body(method: str, path: str, body: bytes) -> str:
    """Returns the digest that identifies the content of a request."""
    return _digest(method.encode(), path.encode(), body)


def choose_shard(digest: str, shards: int) -> int:
    """Returns the number of the shard that stores the claim of a key digest.

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
        attempt: Identifier of the attempt that holds the claim.
        expires_s: Unix time in seconds after which the claim has expired and
            the key can be claimed again.
    """

    key: str
    body: str
    attempt: str
    expires_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """One document of a shard.

    Attributes:
        claims: Claims in the order in which they were added.
        sealed: Whether no claims may be added any more. All segments of a shard
            but the last are sealed.
    """

    claims: tuple[Claim, ...] = ()
    sealed: bool = False

    def encode(self) -> bytes:
        """Returns the JSON document of the segment."""
        claims = [dataclasses.astuple(claim) for claim in self.claims]
        document = {"claims": claims, "sealed": self.sealed}
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Segment":
        """Reads a segment from its JSON document.

        Raises:
            ChicoryplankError: With MALFORMED_CLAIMS if the document is
                malformed. No key may be claimed then, because claims in the
                document would be overlooked.
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
