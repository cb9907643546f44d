"""Command line of the operators, which also starts the entry daemon."""

import asyncio
import json
from collections.abc import Callable, Coroutine

import click

from chicoryplank.configuration import (
    ChangeRecord,
    Confirmation,
    Intent,
    InvalidInputError,
    Plan,
    PlanSupersededError,
    SettingsKind,
    Snapshot,
    SnapshotReader,
    check_intent,
    check_settings,
    confirm_plan,
    create_plan,
    decode_plan,
    decode_shown_version,
    delete_unreferenced_parts,
    detect_file_kind,
    diff_snapshots,
    encode_plan,
    encode_resources,
    format_changes,
    format_plan,
    parse_intent,
    parse_settings,
    read_history,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId
from chicoryplank.store import Store
from chicoryplank_entry._options import (
    JSON_OPTION,
    add_site_options,
    read_settings,
    read_text,
    resolve_operator,
    write_plan_file,
)
from chicoryplank_entry._output import (
    encode_change_record,
    handle_errors,
    write_check_report,
    write_result,
)
from chicoryplank_entry._platform import Platform, Target, make_target
from chicoryplank_entry._status import format_status, read_status


def _run_with_store(
    target: Target, action: Callable[[Store], Coroutine[None, None, object]]
) -> object:
    """Runs an action with an open store client and returns its result."""

    async def run() -> object:
        async with target.connect() as store:
            return await action(store)

    return asyncio.run(run())


@click.group()
@click.pass_context
def main(context: click.Context) -> None:
    """Plans, confirms and shows configuration changes of a site."""
    if context.obj is None:
        context.obj = Platform()


async def _create_site_plan(
    target: Target, store: Store, intent: Intent
) -> Plan:
    reader = SnapshotReader()
    _, capacity = await asyncio.gather(
        reader.refresh(store), target.fetch_capacity()
    )
    return create_plan(reader.snapshot, intent, capacity)


@main.command("plan")
@click.argument("intent", type=click.Path())
@click.option("--output", type=click.Path(), help="Write a plan file.")
@add_site_options(requires_instance_list=True)
def plan_command(*, intent, output, target, as_json):
    """Shows what the INTENT file would change, without changing it."""
    parsed_intent = parse_intent(read_text(intent, ErrorCode.INVALID_INTENT))
    plan = _run_with_store(
        target, lambda store: _create_site_plan(target, store, parsed_intent)
    )
    if output is not None:
        write_plan_file(output, plan)
    write_result(encode_plan(plan), format_plan(plan), as_json)


async def _confirm_site_plan(
    target: Target,
    store: Store,
    plan: Plan,
    operator: str,
    operation_id: str | None,
) -> Confirmation:
    """Confirms a plan.

    The default operation id is the same for each call with this plan and
    operator, so that a repeated call takes effect at most once.
    """
    capacity = None
    if target.list_address is not None:
        capacity = await target.fetch_capacity()
    return await confirm_plan(
        store,
        plan,
        operator,
        OperationId(operation_id or f"{plan.digest}-{operator}"),
        capacity=capacity,
        clock=target.platform.clock,
    )


def _write_confirmation(
    confirmation: Confirmation, plan: Plan, as_json: bool, heading: str = ""
) -> None:
    document = {
        "version": confirmation.version,
        "operator": confirmation.operator,
        "operation_id": confirmation.operation_id,
        "time": confirmation.time.isoformat(),
        "repeated": confirmation.repeated,
        "plan": encode_plan(plan),
    }
    text = (
        f"version {confirmation.version} is active, "
        f"confirmed by {confirmation.operator}"
    )
    text += f" at {confirmation.time.isoformat()}"
    if confirmation.repeated:
        text += " in an earlier call"
    write_result(document, heading + text, as_json)


@main.command("confirm")
@click.argument("plan_file", type=click.Path())
@click.option("--operator", help="Your name, for other operators to see.")
@click.option(
    "--operation-id",
    help="Id of this operation; derived from the plan by default.",
)
@click.option(
    "--output",
    type=click.Path(),
    help="Plan file to write if another change was confirmed first.",
)
@add_site_options(requires_instance_list=False)
def confirm_command(
    *, plan_file, operator, operation_id, output, target, as_json
):
    """Confirms the plan in PLAN_FILE, which activates its changes.

    If the outcome is unknown, repeat the same command: the change takes
    effect at most once.
    """
    plan = decode_plan(read_text(plan_file, ErrorCode.INVALID_PLAN))
    operator_name = resolve_operator(operator)
    try:
        confirmation = _run_with_store(
            target,
            lambda store: _confirm_site_plan(
                target, store, plan, operator_name, operation_id
            ),
        )
    except PlanSupersededError as error:
        if output is not None and error.new_plan is not None:
            write_plan_file(output, error.new_plan)
        raise
    _write_confirmation(confirmation, plan, as_json)


@main.command("drain")
@click.argument("instance")
@click.option(
    "--yes", is_flag=True, help="Confirm the plan without a separate command."
)
@click.option("--operator", help="Your name, for other operators to see.")
@click.option("--output", type=click.Path(), help="Write a plan file.")
@add_site_options(requires_instance_list=True)
def drain_command(*, instance, **options):
    """Plans to drain INSTANCE, which gets no new requests once confirmed."""
    document = {"leaving": {"add": [instance]}}
    _plan_edit(parse_intent(json.dumps(document)), **options)


@main.command("evacuate")
@click.argument("zone")
@click.option("--end", is_flag=True, help="End the evacuation of the zone.")
@click.option(
    "--yes", is_flag=True, help="Confirm the plan without a separate command."
)
@click.option("--operator", help="Your name, for other operators to see.")
@click.option("--output", type=click.Path(), help="Write a plan file.")
@add_site_options(requires_instance_list=True)
def evacuate_command(*, zone, end, **options):
    """Plans to evacuate ZONE, whose replicas get no new requests then.

    Requests in progress continue.
    """
    document = {"evacuated": {"remove" if end else "add": [zone]}}
    _plan_edit(parse_intent(json.dumps(document)), **options)


def _plan_edit(
    intent: Intent,
    *,
    yes: bool,
    operator: str | None,
    output: str | None,
    target: Target,
    as_json: bool,
) -> None:
    """Shows the plan of an intent, and confirms it if `yes` is set."""
    operator_name = resolve_operator(operator) if yes else ""

    async def run(store: Store) -> tuple[Plan, Confirmation | None]:
        plan = await _create_site_plan(target, store, intent)
        if not yes:
            return plan, None
        return plan, await _confirm_site_plan(
            target, store, plan, operator_name, None
        )

    plan, confirmation = _run_with_store(target, run)
    if output is not None:
        write_plan_file(output, plan)
    if confirmation is None:
        write_result(encode_plan(plan), format_plan(plan), as_json)
    else:
        lines = format_changes(plan.changes)
        lines += [f"warning: {warning}" for warning in plan.warnings]
        heading = "".join(f"{line}\n" for line in lines)
        _write_confirmation(confirmation, plan, as_json, heading)


@main.command("status")
@add_site_options(requires_instance_list=True)
def status_command(*, target, as_json):
    """Shows the active version, the instances and the capacity."""
    status = _run_with_store(target, lambda store: read_status(target, store))
    write_result(status, format_status(status), as_json)


@main.group("config")
def config_group() -> None:
    """Checks files, and shows and cleans up the configuration."""


@config_group.command("check")
@click.argument("file", type=click.Path())
@click.option(
    "--kind",
    type=click.Choice(["entry", "agent", "intent"]),
    help="Kind of the file; detected from its fields by default.",
)
@click.option(
    "--against",
    help="Version in force (its number, or the output of config show --json), "
    "or for settings another file; shows the differences.",
)
@click.option(
    "--memory-mb",
    type=click.IntRange(1),
    help="Memory of the smallest instance.",
)
@click.option(
    "--settings",
    type=click.Path(),
    help="Settings of any entry of the site, to read a version in force.",
)
@JSON_OPTION
@click.pass_obj
@handle_errors
def check_command(
    platform, *, file, kind, against, memory_mb, settings, as_json
):
    """Checks a settings or intent FILE and lists all errors and warnings.

    Exits with 0 if nothing was found, 1 for warnings and 2 for errors.
    """
    text = read_text(file, ErrorCode.INVALID_SETTINGS)
    kind = kind or _detect_kind(text)
    memory_bytes = None if memory_mb is None else memory_mb * 1_000_000
    if kind == "intent":
        version = None
        if against is not None:
            version = _read_version(platform, against, settings)
        report = check_intent(text, version)
    else:
        known = None
        if against is not None:
            against_text = read_text(against, ErrorCode.INVALID_SETTINGS)
            known = parse_settings(against_text, SettingsKind(kind))
        report = check_settings(text, SettingsKind(kind), memory_bytes, known)
    write_check_report(file, kind, report, as_json)


def _detect_kind(text: str) -> str:
    """Returns the kind of a file; that of an entry if it is unreadable."""
    try:
        return detect_file_kind(text)
    except InvalidInputError:
        return SettingsKind.ENTRY.value


def _read_version(
    platform: Platform, against: str, settings: str | None
) -> Snapshot:
    """Returns the version in force, from a file or from the store."""
    if not against.isdecimal():
        return decode_shown_version(
            read_text(against, ErrorCode.INVALID_INTENT)
        )
    if settings is None:
        raise click.UsageError("a version number needs --settings")
    reader = SnapshotReader()
    target = make_target(platform, read_settings(settings))
    _run_with_store(target, reader.refresh)
    if reader.snapshot.version != int(against):
        raise ChicoryplankError(
            ErrorCode.INVALID_INTENT,
            f"version {against} is not in force, but {reader.snapshot.version}",
        )
    return reader.snapshot


@config_group.command("show")
@add_site_options(requires_instance_list=False)
def show_command(*, target, as_json):
    """Shows the complete active configuration."""
    reader = SnapshotReader()
    _run_with_store(target, reader.refresh)
    snapshot, root = reader.snapshot, reader.root
    document = {
        "version": snapshot.version,
        "operator": root.operator,
        "time": root.time and root.time.isoformat(),
        "accounts": encode_resources(snapshot.accounts),
        "groups": encode_resources(snapshot.groups),
        "services": encode_resources(snapshot.services),
        "leaving": sorted(snapshot.leaving),
        "evacuated": sorted(snapshot.evacuated),
    }
    lines = [f"version {snapshot.version}"]
    lines += [
        line.removeprefix("+ ")
        for line in format_changes(
            diff_snapshots(SnapshotReader().snapshot, snapshot)
        )
    ]
    write_result(document, "\n".join(lines), as_json)


def _format_history(history: tuple[ChangeRecord, ...]) -> str:
    lines = []
    for record in history:
        lines.append(
            f"version {record.version} by {record.operator} at "
            f"{record.time.isoformat()}, {record.change_count} changes"
        )
        lines += [f"  {line}" for line in format_changes(record.changes)]
    return "\n".join(lines) or "no changes"


@config_group.command("history")
@click.option("--count", type=click.IntRange(1, 200), default=10)
@add_site_options(requires_instance_list=False)
def history_command(*, count, target, as_json):
    """Shows the confirmed changes and their operators, newest first."""

    async def run(store: Store) -> tuple[ChangeRecord, ...]:
        reader = SnapshotReader()
        await reader.refresh(store)
        after_version = max(0, reader.root.version - count)
        return await read_history(
            store, reader.root, ConfigVersion(after_version)
        )

    history = _run_with_store(target, run)
    document = {"changes": [encode_change_record(item) for item in history]}
    write_result(document, _format_history(history), as_json)


@config_group.command("collect")
@add_site_options(requires_instance_list=False)
def collect_command(*, target, as_json):
    """Deletes configuration parts that no retained version uses."""
    deleted = _run_with_store(target, delete_unreferenced_parts)
    write_result(
        {"deleted": deleted}, f"{deleted} configuration parts deleted", as_json
    )


@main.command("serve")
@click.option("--settings", required=True, type=click.Path())
@JSON_OPTION
@handle_errors
def serve_command(*, settings, as_json):
    """Runs the entry daemon until it is signalled to stop."""
    parsed = read_settings(settings)
    from chicoryplank_entry import daemon

    daemon.run(parsed)


if __name__ == "__main__":
    main()
