"""Plans, which show what an intent changes in a version."""

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
from chicoryplank.configuration._intent import (
    Intent,
    encode_intent,
    get_edits_by_section,
    get_list_edits,
    parse_intent,
)
from chicoryplank.configuration._parts import (
    DECODE_ERRORS,
    digest_bytes,
    digest_content,
    digest_parts,
    encode_json,
    encode_parts,
)
from chicoryplank.configuration._resources import (
    MAX_ACCOUNTS,
    MAX_EVACUATED,
    MAX_GROUPS,
    MAX_LEAVING,
    MAX_SERVICES,
)
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.configuration._validators import InvalidInputError, Problem
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion

_MAX_COUNTS = {
    "accounts": MAX_ACCOUNTS,
    "groups": MAX_GROUPS,
    "services": MAX_SERVICES,
    "leaving": MAX_LEAVING,
    "evacuated": MAX_EVACUATED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change that an operator can review and confirm.

    Attributes:
        base_version: Version that the plan is based on.
        base_digest: Digest of the content of the base version.
        intent: Intent that the plan was created from.
        changes: Differences between the base version and the new version.
        needs: Needed and available capacity of each group after the change;
            empty if they were not compared.
        warnings: Warnings that do not prevent the change.
        digest: Digest of base version, intent and changes.
    """

    base_version: ConfigVersion
    base_digest: str
    intent: Intent
    changes: tuple[Change, ...]
    needs: tuple[GroupNeed, ...]
    warnings: tuple[str, ...]
    digest: str


def create_plan(
    snapshot: Snapshot, intent: Intent, capacity: Capacity | None
) -> Plan:
    """Creates the plan of an intent without applying it.

    Args:
        snapshot: Version that the plan is based on.
        intent: Requested changes.
        capacity: Live instances; None skips the comparison of capacity, which
            is meant only for the plan proposed after a superseded one.

    Returns:
        The plan.

    Raises:
        InvalidInputError: With INVALID_INTENT and every error found, if the
            intent cannot be applied to the version.
        InsufficientCapacityError: If the change creates or increases a
            shortfall of capacity. The evacuation of a zone only causes
            warnings, because an operator evacuates a zone whose capacity is
            endangered.
    """
    target = apply_intent(snapshot, intent)
    changes = diff_snapshots(snapshot, target)
    if not changes:
        problem = Problem("(whole)", "no difference", "at least one change")
        raise _make_intent_error((problem,))
    needs: tuple[GroupNeed, ...] = ()
    warnings: tuple[str, ...] = (
        "needed and available capacity were not compared",
    )
    if capacity is not None:
        needs = compute_needs(target, capacity)
        evacuated = dataclasses.replace(snapshot, evacuated=target.evacuated)
        shortfalls = find_shortfalls(compute_needs(evacuated, capacity), needs)
        if shortfalls:
            raise InsufficientCapacityError(shortfalls)
        new_shortfalls = find_shortfalls(
            compute_needs(snapshot, capacity), needs
        )
        warnings = tuple(
            _find_warnings(target, intent, capacity, needs, new_shortfalls)
        )
    base_digest = digest_content(digest_parts(encode_parts(snapshot)))
    return Plan(
        base_version=snapshot.version,
        base_digest=base_digest,
        intent=intent,
        changes=changes,
        needs=needs,
        warnings=warnings,
        digest=_compute_plan_digest(
            snapshot.version, base_digest, intent, changes
        ),
    )


def _compute_plan_digest(
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


def _make_intent_error(problems: tuple[Problem, ...]) -> InvalidInputError:
    return InvalidInputError(ErrorCode.INVALID_INTENT, "intent", problems)


def apply_intent(snapshot: Snapshot, intent: Intent) -> Snapshot:
    """Returns the snapshot of the next version, with the intent applied.

    Raises:
        InvalidInputError: With INVALID_INTENT and every error found.
    """
    problems = list(_check_edited_names(snapshot, intent))
    if problems:
        raise _make_intent_error(tuple(problems))
    resources = {
        section: {
            **{
                name: resource
                for name, resource in getattr(snapshot, section).items()
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
        for section, edits in get_edits_by_section(intent).items()
    }
    target = Snapshot(
        version=ConfigVersion(snapshot.version + 1),
        **{
            section: (getattr(snapshot, section) | edits.add) - edits.remove
            for section, edits in get_list_edits(intent).items()
        },
        **resources,
    )
    problems = list(_check_constraints(target))
    if problems:
        raise _make_intent_error(tuple(problems))
    return target


def _check_edited_names(
    snapshot: Snapshot, intent: Intent
) -> Iterator[Problem]:
    """Finds edits that add existing ids, or edit or remove missing ones."""
    for section, edits in get_edits_by_section(intent).items():
        present = getattr(snapshot, section)
        for action, names, must_exist in (
            ("add", edits.add, False),
            ("change", edits.change, True),
            ("remove", edits.remove, True),
        ):
            yield from _check_names_exist(
                f"{section}.{action}", names, present, must_exist
            )
    for section, edits in get_list_edits(intent).items():
        present = dict.fromkeys(getattr(snapshot, section))
        yield from _check_names_exist(
            f"{section}.add", edits.add, present, False
        )
        yield from _check_names_exist(
            f"{section}.remove", edits.remove, present, True
        )


def _check_names_exist(
    path: str,
    names: Mapping[str, object] | frozenset[str],
    present: Mapping[str, object],
    must_exist: bool,
) -> Iterator[Problem]:
    allowed = (
        "one that is present" if must_exist else "one that is not present yet"
    )
    actual = "absent" if must_exist else "present"
    for name in sorted(names):
        if (name in present) != must_exist:
            yield Problem(f"{path}.{name}", actual, allowed)


def _check_constraints(target: Snapshot) -> Iterator[Problem]:
    """Finds violations of constraints on the whole configuration."""
    for section, maximum in _MAX_COUNTS.items():
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
        yield from _check_model_uniqueness(target, name)
    yield from _check_deployments(target)


def _check_model_uniqueness(
    target: Snapshot, account: str
) -> Iterator[Problem]:
    """Finds models that two groups of one account serve.

    A request names only the model, so the choice of the group would be
    ambiguous.
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
    """Finds services that use the deployment of a model group."""
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
    new_shortfalls: tuple[GroupNeed, ...],
) -> Iterator[str]:
    """Describes what operators should know before they confirm a plan.

    Args:
        target: Version that the plan leads to.
        intent: Intent of the plan.
        capacity: Live instances.
        needs: Needed and available capacity in the new version.
        new_shortfalls: Needs whose shortfall the evacuation of a zone creates
            or increases.
    """
    live = frozenset().union(*capacity.live.values())
    for name in sorted(intent.leaving.add - live):
        yield f"instance {name} is not live in the instance list"
    for name in sorted(intent.evacuated.add - set(capacity.zones.values())):
        yield f"zone {name} has no live instance in the instance list"
    for need in needs:
        if need in new_shortfalls:
            yield f"{need}; the evacuation causes the shortfall"
        elif need.missing_replicas or need.missing_tokens_per_s:
            yield f"{need}; the shortfall existed before this change"
    for name in sorted(target.groups):
        if _is_evacuated(target, name, capacity):
            yield f"group {name} has no replica outside the evacuated zones"
    for name in sorted(target.services):
        deployment = target.services[name].deployment
        if _is_evacuated(target, deployment, capacity):
            yield f"service {name} has no replica outside the evacuated zones"
        elif not capacity.list_available(deployment, target):
            yield f"service {name}: deployment {deployment} has no instance"


def _is_evacuated(
    target: Snapshot, deployment: str, capacity: Capacity
) -> bool:
    """Returns whether only replicas in evacuated zones are left."""
    live = capacity.live.get(deployment, frozenset()) - target.leaving
    return bool(live) and not capacity.list_available(deployment, target)


def encode_plan(plan: Plan) -> dict[str, object]:
    """Returns the JSON form of a plan, which decode_plan reads."""
    return {
        "base_version": plan.base_version,
        "base_digest": plan.base_digest,
        "intent": encode_intent(plan.intent),
        "changes": encode_changes(plan.changes),
        "needs": [dataclasses.asdict(need) for need in plan.needs],
        "warnings": list(plan.warnings),
        "digest": plan.digest,
    }


def decode_plan(text: str) -> Plan:
    """Decodes a plan file and verifies that it was not edited.

    Raises:
        ChicoryplankError: With INVALID_PLAN if it is malformed or was edited.
    """
    try:
        document = json.loads(text)
        plan = Plan(
            base_version=ConfigVersion(int(document["base_version"])),
            base_digest=str(document["base_digest"]),
            intent=parse_intent(json.dumps(document["intent"])),
            changes=decode_changes(document["changes"]),
            needs=tuple(GroupNeed(**need) for need in document["needs"]),
            warnings=tuple(map(str, document["warnings"])),
            digest=str(document["digest"]),
        )
        expected = _compute_plan_digest(
            plan.base_version, plan.base_digest, plan.intent, plan.changes
        )
    except (*DECODE_ERRORS, ChicoryplankError) as error:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN, f"the plan file is malformed: {error}"
        ) from error
    if expected != plan.digest:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN,
            f"the plan file was edited: digest {plan.digest}, content "
            f"{expected}; make a new plan",
        )
    return plan


def format_plan(plan: Plan) -> str:
    """Returns the text that operators review before they confirm a plan."""
    lines = [f"plan {plan.digest} on version {plan.base_version}"]
    lines += [f"  {line}" for line in format_changes(plan.changes)]
    lines += [str(need) for need in plan.needs]
    lines += [f"warning: {warning}" for warning in plan.warnings]
    lines.append("nothing takes effect until the plan is confirmed")
    return "\n".join(lines)
