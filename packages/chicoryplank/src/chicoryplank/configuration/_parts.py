"""Stored form of a version: content-addressed parts and one root.

The root holds the version and the digest of each part. A part with accounts
holds about 32 of them, so that one change writes a few kilobytes instead of the
180 KB of 900 accounts.
"""

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Mapping
from datetime import datetime

from chicoryplank.configuration._resources import (
    ACCOUNT_VALIDATOR,
    EVACUATED_VALIDATOR,
    GROUP_VALIDATOR,
    LEAVING_VALIDATOR,
    SERVICE_VALIDATOR,
    encode_resources,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.configuration._validators import Problem
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId

ROOT_KEY = "config/root"
PART_PREFIX = "config/part/"
# The store accepts values of up to one megabyte.
MAX_PART_BYTES = 1_000_000
_ACCOUNTS_PER_PART = 32
# 160 bits make collisions infeasible and keep the root, which every daemon
# receives at each change, below 4 KB at 900 accounts and 16 groups.
_DIGEST_BYTES = 20
# Exceptions that the decoding of malformed content raises.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_VALIDATORS = {
    "accounts": ACCOUNT_VALIDATOR,
    "groups": GROUP_VALIDATOR,
    "services": SERVICE_VALIDATOR,
}
# Validators of the sections that are lists of names, each stored as one part.
_LIST_VALIDATORS = {
    "leaving": LEAVING_VALIDATOR,
    "evacuated": EVACUATED_VALIDATOR,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Root:
    """Document that defines the active version.

    Attributes:
        version: Version of the configuration; 0 if no plan was confirmed yet.
        operation_id: Id of the operation that wrote the version.
        operator: Operator who confirmed it.
        time: Time of the confirmation, in UTC; None for version 0.
        change: Digest of the change record of the version.
        parts: Digest of each part, by part name.
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
    evacuated: frozenset[str] = frozenset()


def encode_json(value: object) -> bytes:
    """Returns the canonical JSON form: equal values have equal encodings."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), allow_nan=False
    )
    return text.encode()


def digest_bytes(data: bytes) -> str:
    """Returns the digest that identifies an encoded part or document."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def make_part_key(digest: str) -> str:
    """Returns the store key of a part."""
    return PART_PREFIX + digest


def _count_buckets(accounts: int) -> int:
    """Returns the number of account parts.

    It is a power of two, because a new number moves many accounts to another
    part and should therefore be rare.
    """
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
        name: {"accounts": encode_resources(members)}
        for name, members in accounts.items()
    }
    for name, group in snapshot.groups.items():
        parts[f"groups/{name}"] = {"groups": encode_resources({name: group})}
    for name, service in snapshot.services.items():
        encoded = encode_resources({name: service})
        parts[f"services/{name}"] = {"services": encoded}
    for section in _LIST_VALIDATORS:
        names = getattr(snapshot, section)
        if names:
            parts[section] = {section: sorted(names)}
    return {name: encode_json(part) for name, part in parts.items()}


def digest_parts(parts: Mapping[str, bytes]) -> dict[str, str]:
    """Returns the digests of parts by name."""
    return {name: digest_bytes(data) for name, data in parts.items()}


def digest_content(digests: Mapping[str, str]) -> str:
    """Returns one digest of the content of a version, from its parts."""
    return digest_bytes(encode_json(dict(digests)))


def _make_malformed_error(subject: str, error: object) -> ChicoryplankError:
    return ChicoryplankError(
        ErrorCode.INVALID_CONFIGURATION, f"{subject} is malformed: {error}"
    )


def decode_part(name: str, data: bytes) -> PartContent:
    """Decodes a part, ignoring unknown fields that a newer release added.

    Raises:
        ChicoryplankError: With INVALID_CONFIGURATION if it is malformed.
    """
    section = name.partition("/")[0]
    try:
        document = json.loads(data)
        members = document[section]
        if section in _LIST_VALIDATORS:
            return PartContent(**{section: _decode_names(section, members)})
        resources = _decode_resources(section, members)
    except DECODE_ERRORS as error:
        raise _make_malformed_error(f"part {name}", error) from error
    return PartContent(**{section: resources})


def _decode_names(section: str, members: object) -> frozenset[str]:
    problems: list[Problem] = []
    validator = _LIST_VALIDATORS[section]
    names = validator.convert(members, section, problems)
    if problems:
        raise ValueError(str(problems[0]))
    return names


def _decode_resources(
    section: str, members: Mapping[str, Mapping[str, object]]
) -> dict[str, object]:
    validator = _VALIDATORS[section]
    known = {field.name for field in validator.fields}
    problems: list[Problem] = []
    resources = {}
    for name, member in members.items():
        fields = {key: member[key] for key in member if key in known}
        resources[name] = validator.convert(fields, name, problems)
    if problems:
        raise ValueError("; ".join(str(problem) for problem in problems))
    return resources


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
    except DECODE_ERRORS as error:
        raise _make_malformed_error("the configuration root", error) from error


def assemble_snapshot(
    version: ConfigVersion, contents: Iterable[PartContent]
) -> Snapshot:
    """Returns the snapshot that the parts of a version make up."""
    accounts: dict[str, object] = {}
    groups: dict[str, object] = {}
    services: dict[str, object] = {}
    leaving: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()
    for content in contents:
        accounts.update(content.accounts)
        groups.update(content.groups)
        services.update(content.services)
        leaving |= content.leaving
        evacuated |= content.evacuated
    return Snapshot(version, accounts, groups, services, leaving, evacuated)
