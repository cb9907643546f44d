"""Content-addressed parts of a snapshot and the root that names them.

The root holds the version and the digest of each part. Account parts hold
about 32 accounts each, so that one change writes a few kilobytes and not the
180 KB that 900 accounts take together.
"""

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Mapping
from datetime import datetime

from chicoryplank.configuration._checks import Problem
from chicoryplank.configuration._records import (
    ACCOUNT_CHECK,
    GROUP_CHECK,
    LEAVING_CHECK,
    SERVICE_CHECK,
    encode_records,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId

ROOT_KEY = "config/root"
PART_PREFIX = "config/part/"
# Values in the store are at most one megabyte.
MAX_PART_BYTES = 1_000_000
_ACCOUNTS_PER_PART = 32
# 160 bits resist collisions and keep the root, which every daemon receives
# for each change, under 4 KB at 900 accounts and 16 groups.
_DIGEST_BYTES = 20
# What decoding of malformed content raises.
MALFORMED = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_CHECKS = {
    "accounts": ACCOUNT_CHECK,
    "groups": GROUP_CHECK,
    "services": SERVICE_CHECK,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Root:
    """The document that puts a version in force.

    Attributes:
        version: Version of the configuration; 0 if nothing was confirmed.
        operation_id: Operation that wrote the version.
        operator: Who confirmed it.
        time: When it was confirmed, in UTC; None for version 0.
        change: Digest of the change record of the version.
        parts: Digests by part name.
    """

    version: ConfigVersion = ConfigVersion(0)
    operation_id: OperationId = OperationId("")
    operator: str = ""
    time: datetime | None = None
    change: str = ""
    parts: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PartContent:
    """Decoded content of one part."""

    accounts: Mapping[str, object] = dataclasses.field(default_factory=dict)
    groups: Mapping[str, object] = dataclasses.field(default_factory=dict)
    services: Mapping[str, object] = dataclasses.field(default_factory=dict)
    leaving: frozenset[str] = frozenset()


def encode_json(value: object) -> bytes:
    """Returns the canonical JSON form, so that equal values are equal bytes."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), allow_nan=False
    )
    return text.encode()


def digest_bytes(data: bytes) -> str:
    """Returns the digest by which data is addressed."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def make_part_key(digest: str) -> str:
    """Returns the key of a part in the store."""
    return PART_PREFIX + digest


def _count_buckets(accounts: int) -> int:
    """Returns a power of two, so that the count of parts seldom changes."""
    buckets = 1
    while buckets * _ACCOUNTS_PER_PART < accounts:
        buckets *= 2
    return buckets


def _choose_bucket(account: str, buckets: int) -> int:
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % buckets


def encode_parts(snapshot: Snapshot) -> dict[str, bytes]:
    """Returns the encoded parts of a snapshot by name."""
    buckets = _count_buckets(len(snapshot.accounts))
    accounts: dict[str, dict[str, object]] = {}
    for name, account in snapshot.accounts.items():
        bucket = _choose_bucket(name, buckets)
        accounts.setdefault(f"accounts/{bucket}", {})[name] = account
    parts = {
        name: {"accounts": encode_records(members)}
        for name, members in accounts.items()
    }
    for name, group in snapshot.groups.items():
        parts[f"groups/{name}"] = {"groups": encode_records({name: group})}
    for name, service in snapshot.services.items():
        encoded = encode_records({name: service})
        parts[f"services/{name}"] = {"services": encoded}
    if snapshot.leaving:
        parts["leaving"] = {"leaving": sorted(snapshot.leaving)}
    return {name: encode_json(part) for name, part in parts.items()}


def digest_parts(parts: Mapping[str, bytes]) -> dict[str, str]:
    """Returns the digests of parts by name."""
    return {name: digest_bytes(data) for name, data in parts.items()}


def digest_content(digests: Mapping[str, str]) -> str:
    """Returns one digest of the whole content of a version."""
    return digest_bytes(encode_json(dict(digests)))


def _fail(what: str, error: object) -> ChicoryplankError:
    return ChicoryplankError(
        ErrorCode.INVALID_CONFIGURATION, f"{what} is malformed: {error}"
    )


def decode_part(name: str, data: bytes) -> PartContent:
    """Decodes a part; fields that a newer release added are ignored.

    Raises:
        ChicoryplankError: With INVALID_CONFIGURATION if it is malformed.
    """
    section = name.partition("/")[0]
    try:
        document = json.loads(data)
        members = document[section]
        if section == "leaving":
            return PartContent(leaving=_decode_leaving(members))
        records = _decode_records(section, members)
    except MALFORMED as error:
        raise _fail(f"part {name}", error) from error
    return PartContent(**{section: records})


def _decode_leaving(members: object) -> frozenset[str]:
    problems: list[Problem] = []
    leaving = LEAVING_CHECK.convert(members, "leaving", problems)
    if problems:
        raise ValueError(str(problems[0]))
    return leaving


def _decode_records(
    section: str, members: Mapping[str, Mapping[str, object]]
) -> dict[str, object]:
    check = _CHECKS[section]
    known = {field.name for field in check.fields}
    problems: list[Problem] = []
    records = {}
    for name, member in members.items():
        fields = {key: member[key] for key in member if key in known}
        records[name] = check.convert(fields, name, problems)
    if problems:
        raise ValueError("; ".join(str(problem) for problem in problems))
    return records


def encode_root(root: Root) -> bytes:
    """Returns the JSON form of a root."""
    document = dataclasses.asdict(root)
    document["time"] = None if root.time is None else root.time.isoformat()
    return encode_json(document)


def decode_root(data: bytes) -> Root:
    """Decodes a root.

    Raises:
        ChicoryplankError: With INVALID_CONFIGURATION if it is malformed.
    """
    try:
        document = json.loads(data)
        time = document["time"]
        return Root(
            version=ConfigVersion(int(document["version"])),
            operation_id=OperationId(str(document["operation_id"])),
            operator=str(document["operator"]),
            time=None if time is None else datetime.fromisoformat(time),
            change=str(document["change"]),
            parts={
                str(name): str(digest)
                for name, digest in document["parts"].items()
            },
        )
    except MALFORMED as error:
        raise _fail("the configuration root", error) from error


def assemble_snapshot(
    version: ConfigVersion, contents: Iterable[PartContent]
) -> Snapshot:
    """Joins the parts of one version."""
    accounts: dict[str, object] = {}
    groups: dict[str, object] = {}
    services: dict[str, object] = {}
    leaving: frozenset[str] = frozenset()
    for content in contents:
        accounts.update(content.accounts)
        groups.update(content.groups)
        services.update(content.services)
        leaving |= content.leaving
    return Snapshot(version, accounts, groups, services, leaving)
