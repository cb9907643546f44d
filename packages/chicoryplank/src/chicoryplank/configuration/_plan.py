"""Plans: what an intent would change, checked against a version."""

import dataclasses
import json
from collections.abc import Iterator, Mapping

from chicoryplank.configuration._capacity import (
    Capacity,
    GroupNeed,
    InsufficientCapacityError,
    compute_needs,
    find_shortfalls,
)
from chicoryplank.configuration._changes import (
    Change,
    decode_changes,
    diff_snapshots,
    encode_changes,
    format_changes,
)
from chicoryplank.configuration._checks import InvalidInputError, Problem
from chicoryplank.configuration._intent import (
    Intent,
    encode_intent,
    get_edits,
    parse_intent,
)
from chicoryplank.configuration._parts import (
    MALFORMED,
    digest_bytes,
    digest_content,
    digest_parts,
    encode_json,
    encode_parts,
)
from chicoryplank.configuration._records import (
    MAX_ACCOUNTS,
    MAX_GROUPS,
    MAX_LEAVING,
    MAX_SERVICES,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion

_MAXIMA = {
    "accounts": MAX_ACCOUNTS,
    "groups": MAX_GROUPS,
    "services": MAX_SERVICES,
    "leaving": MAX_LEAVING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change that an operator can review and confirm.

    Attributes:
        base_version: Version that the plan starts from.
        base_digest: Digest of the content of that version.
        intent: The intent.
        changes: Differences to the base version.
        needs: Capacity of each group after the change; empty if it was not
            compared.
        warnings: What the operator should know but that does not prevent the
            change.
        digest: Digest of base, intent and changes.
    """

    base_version: ConfigVersion
    base_digest: str
    intent: Intent
    changes: tuple[Change, ...]
    needs: tuple[GroupNeed, ...]
    warnings: tuple[str, ...]
    digest: str


def plan(snapshot: Snapshot, intent: Intent, capacity: Capacity | None) -> Plan:
    """Plans the change that an intent asks for; nothing takes effect.

    Args:
        snapshot: Version to start from.
        intent: What to change.
        capacity: Live instances; None skips the comparison, which is
            meant only for showing a follow-up plan.

    Returns:
        The plan.

    Raises:
        InvalidInputError: With INVALID_INTENT and every error found, if the
            intent does not fit the version.
        InsufficientCapacityError: If it creates or enlarges a shortfall.
    """
    target = apply_intent(snapshot, intent)
    changes = diff_snapshots(snapshot, target)
    if not changes:
        problem = Problem("(whole)", "no difference", "at least one change")
        raise _reject((problem,))
    needs: tuple[GroupNeed, ...] = ()
    warnings: tuple[str, ...] = ("capacity was not compared",)
    if capacity is not None:
        needs = compute_needs(target, capacity)
        shortfalls = find_shortfalls(compute_needs(snapshot, capacity), needs)
        if shortfalls:
            raise InsufficientCapacityError(shortfalls)
        warnings = tuple(_find_warnings(target, intent, capacity, needs))
    base_digest = digest_content(digest_parts(encode_parts(snapshot)))
    return Plan(
        base_version=snapshot.version,
        base_digest=base_digest,
        intent=intent,
        changes=changes,
        needs=needs,
        warnings=warnings,
        digest=_compute_digest(snapshot.version, base_digest, intent, changes),
    )


def _compute_digest(
    version: ConfigVersion,
    base_digest: str,
    intent: Intent,
    changes: tuple[Change, ...],
) -> str:
    return digest_bytes(
        encode_json(
            {
                "base_version": version,
                "base_digest": base_digest,
                "intent": encode_intent(intent),
                "changes": encode_changes(changes),
            }
        )
    )


def _reject(problems: tuple[Problem, ...]) -> InvalidInputError:
    return InvalidInputError(ErrorCode.INVALID_INTENT, "intent", problems)


def apply_intent(snapshot: Snapshot, intent: Intent) -> Snapshot:
    """Returns the snapshot that an intent leads to, one version higher.

    Raises:
        InvalidInputError: With INVALID_INTENT and every error found.
    """
    problems = list(_check_existence(snapshot, intent))
    if problems:
        raise _reject(tuple(problems))
    records = {
        section: {
            **{
                name: record
                for name, record in getattr(snapshot, section).items()
                if name not in edits.remove
            },
            **{
                name: dataclasses.replace(
                    getattr(snapshot, section)[name], **values
                )
                for name, values in edits.change.items()
            },
            **edits.add,
        }
        for section, edits in get_edits(intent).items()
    }
    target = Snapshot(
        version=ConfigVersion(snapshot.version + 1),
        leaving=(snapshot.leaving | intent.leaving.add) - intent.leaving.remove,
        **records,
    )
    problems = list(_check_target(target))
    if problems:
        raise _reject(tuple(problems))
    return target


def _check_existence(snapshot: Snapshot, intent: Intent) -> Iterator[Problem]:
    """Finds edits that do not fit what exists."""
    for section, edits in get_edits(intent).items():
        present = getattr(snapshot, section)
        for verb, names, wanted in (
            ("add", edits.add, False),
            ("change", edits.change, True),
            ("remove", edits.remove, True),
        ):
            yield from _compare_existence(
                f"{section}.{verb}", names, present, wanted
            )
    leaving = dict.fromkeys(snapshot.leaving)
    yield from _compare_existence(
        "leaving.add", intent.leaving.add, leaving, False
    )
    yield from _compare_existence(
        "leaving.remove", intent.leaving.remove, leaving, True
    )


def _compare_existence(
    path: str,
    names: Mapping[str, object] | frozenset[str],
    present: Mapping[str, object],
    wanted: bool,
) -> Iterator[Problem]:
    allowed = "one that is present" if wanted else "one that is not present yet"
    shown = "absent" if wanted else "present"
    for name in sorted(names):
        if (name in present) != wanted:
            yield Problem(f"{path}.{name}", shown, allowed)


def _check_target(target: Snapshot) -> Iterator[Problem]:
    """Finds rules between records that the target would break."""
    for section, maximum in _MAXIMA.items():
        count = len(getattr(target, section))
        if count > maximum:
            yield Problem(section, f"{count} members", f"at most {maximum}")
    tokens: dict[str, str] = {}
    for name in sorted(target.accounts):
        account = target.accounts[name]
        path = f"accounts.{name}"
        for section in ("groups", "services"):
            known = getattr(target, section)
            for unknown in sorted(getattr(account, section) - known.keys()):
                yield Problem(
                    f"{path}.{section}", repr(unknown), f"one of the {section}"
                )
        other = tokens.setdefault(account.token_sha256, name)
        if other != name:
            yield Problem(
                f"{path}.token_sha256",
                repr(account.token_sha256),
                f"not the token of account {other}",
            )
        yield from _check_models(target, name)
    yield from _check_deployments(target)


def _check_models(target: Snapshot, account: str) -> Iterator[Problem]:
    """Finds models that two groups of one account serve.

    A request names only the model, so its group would be ambiguous.
    """
    owners: dict[str, str] = {}
    for group in sorted(target.accounts[account].groups):
        if group not in target.groups:
            continue
        for model in target.groups[group].models:
            other = owners.setdefault(model, group)
            if other != group:
                yield Problem(
                    f"accounts.{account}.groups",
                    f"{other!r} and {group!r}",
                    f"only one group that serves model {model}",
                )


def _check_deployments(target: Snapshot) -> Iterator[Problem]:
    """Finds services whose deployment is that of a model group."""
    for name in sorted(target.services):
        deployment = target.services[name].deployment
        if deployment in target.groups:
            yield Problem(
                f"services.{name}.deployment",
                repr(deployment),
                "not the name of a model group",
            )


def _find_warnings(
    target: Snapshot,
    intent: Intent,
    capacity: Capacity,
    needs: tuple[GroupNeed, ...],
) -> Iterator[str]:
    live = frozenset().union(*capacity.live.values())
    for name in sorted(intent.leaving.add - live):
        yield f"instance {name} is not live in the instance list"
    for need in needs:
        if need.missing_replicas or need.missing_tokens_per_s:
            yield f"{need}; it was short before this change"
    for name in sorted(target.services):
        deployment = target.services[name].deployment
        if not capacity.live.get(deployment, frozenset()) - target.leaving:
            yield f"service {name}: deployment {deployment} has no instance"


def encode_plan(made: Plan) -> dict[str, object]:
    """Returns the JSON form of a plan, which decode_plan reads."""
    return {
        "base_version": made.base_version,
        "base_digest": made.base_digest,
        "intent": encode_intent(made.intent),
        "changes": encode_changes(made.changes),
        "needs": [dataclasses.asdict(need) for need in made.needs],
        "warnings": list(made.warnings),
        "digest": made.digest,
    }


def decode_plan(text: str) -> Plan:
    """Reads a plan file and verifies that it is unchanged.

    Raises:
        ChicoryplankError: With INVALID_PLAN if it is malformed or was edited.
    """
    try:
        document = json.loads(text)
        made = Plan(
            base_version=ConfigVersion(int(document["base_version"])),
            base_digest=str(document["base_digest"]),
            intent=parse_intent(json.dumps(document["intent"])),
            changes=decode_changes(document["changes"]),
            needs=tuple(GroupNeed(**need) for need in document["needs"]),
            warnings=tuple(map(str, document["warnings"])),
            digest=str(document["digest"]),
        )
        expected = _compute_digest(
            made.base_version, made.base_digest, made.intent, made.changes
        )
    except (*MALFORMED, ChicoryplankError) as error:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN, f"the plan file is malformed: {error}"
        ) from error
    if expected != made.digest:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"the plan file was edited: digest {made.digest}, content "
            f"{expected}; make a new plan",
        )
    return made


def format_plan(made: Plan) -> str:
    """Returns a plan as readable text."""
    lines = [f"plan {made.digest} on version {made.base_version}"]
    lines += [f"  {line}" for line in format_changes(made.changes)]
    lines += [str(need) for need in made.needs]
    lines += [f"warning: {warning}" for warning in made.warnings]
    lines.append("nothing is in force until the plan is confirmed")
    return "\n".join(lines)
