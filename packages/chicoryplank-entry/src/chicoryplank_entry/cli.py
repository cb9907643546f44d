"""Operator commands and the start of the entry daemon."""

import asyncio
import json
from collections.abc import Callable, Coroutine

import click

from chicoryplank.configuration import (
    ChangeRecord,
    Confirmation,
    Intent,
    Plan,
    PlanSupersededError,
    SettingsKind,
    SnapshotReader,
    confirm_plan,
    create_plan,
    decode_plan,
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
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import ConfigVersion, OperationId
from chicoryplank.store import Store
from chicoryplank_entry._options import (
    JSON_OPTION,
    add_site_options,
    find_operator,
    read_settings,
    read_text,
    write_file,
)
from chicoryplank_entry._output import (
    encode_change_record,
    handle_errors,
    write_result,
)
from chicoryplank_entry._platform import Platform, Target
from chicoryplank_entry._status import format_status, read_status


def _run(
    target: Target, action: Callable[[Store], Coroutine[None, None, object]]
) -> object:
    """Runs an action with the store open."""

    async def run() -> object:
        async with target.connect() as store:
            return await action(store)

    return asyncio.run(run())


@click.group()
@click.pass_context
def main(context: click.Context) -> None:
    """Plans, confirms and shows the configuration of a site."""
    if context.obj is None:
        context.obj = Platform()


async def _make_plan(target: Target, store: Store, intent: Intent) -> Plan:
    reader = SnapshotReader()
    _, capacity = await asyncio.gather(
        reader.refresh(store), target.fetch_capacity()
    )
    return create_plan(reader.snapshot, intent, capacity)


@main.command("plan")
@click.argument("intent", type=click.Path())
@click.option("--output", type=click.Path(), help="Write a plan file.")
@add_site_options(needs_list=True)
def plan_command(*, intent, output, target, as_json):
    """Shows what INTENT would change; nothing takes effect."""
    wanted = parse_intent(read_text(intent, ErrorCode.INVALID_INTENT))
    made = _run(target, lambda opened: _make_plan(target, opened, wanted))
    if output is not None:
        write_file(output, made)
    write_result(encode_plan(made), format_plan(made), as_json)


async def _confirm_plan(
    target: Target,
    store: Store,
    made: Plan,
    operator: str,
    operation_id: str | None,
) -> Confirmation:
    """Confirms a plan; by default a repeated call is the same operation."""
    capacity = None
    if target.list_address is not None:
        capacity = await target.fetch_capacity()
    return await confirm_plan(
        store,
        made,
        operator,
        OperationId(operation_id or f"{made.digest}-{operator}"),
        capacity=capacity,
        clock=target.platform.clock,
    )


def _write_confirmation(
    done: Confirmation, made: Plan, as_json: bool, heading: str = ""
) -> None:
    document = {
        "version": done.version,
        "operator": done.operator,
        "operation_id": done.operation_id,
        "time": done.time.isoformat(),
        "repeated": done.repeated,
        "plan": encode_plan(made),
    }
    text = f"version {done.version} is in force, confirmed by {done.operator}"
    text += f" at {done.time.isoformat()}"
    if done.repeated:
        text += " in an earlier call"
    write_result(document, heading + text, as_json)


@main.command("confirm")
@click.argument("plan_file", type=click.Path())
@click.option("--operator", help="Your name, for other operators to see.")
@click.option("--operation-id", help="Id of this operation; has a default.")
@click.option(
    "--output", type=click.Path(), help="New plan file after a lost race."
)
@add_site_options(needs_list=False)
def confirm_command(
    *, plan_file, operator, operation_id, output, target, as_json
):
    """Puts the plan in PLAN_FILE in force.

    If the outcome is unknown, repeat the same command: it takes effect at
    most once.
    """
    made = decode_plan(read_text(plan_file, ErrorCode.INVALID_PLAN))
    name = find_operator(operator)
    try:
        done = _run(
            target,
            lambda opened: _confirm_plan(
                target, opened, made, name, operation_id
            ),
        )
    except PlanSupersededError as error:
        if output is not None and error.new_plan is not None:
            write_file(output, error.new_plan)
        raise
    _write_confirmation(done, made, as_json)


@main.command("drain")
@click.argument("instance")
@click.option("--yes", is_flag=True, help="Confirm the plan at once.")
@click.option("--operator", help="Your name, for other operators to see.")
@click.option("--output", type=click.Path(), help="Write a plan file.")
@add_site_options(needs_list=True)
def drain_command(*, instance, yes, operator, output, target, as_json):
    """Plans to drain INSTANCE; it gets no new work once confirmed."""
    document = {"leaving": {"add": [instance]}}
    intent = parse_intent(json.dumps(document))
    name = find_operator(operator) if yes else ""

    async def run(opened: Store) -> tuple[Plan, Confirmation | None]:
        made = await _make_plan(target, opened, intent)
        if not yes:
            return made, None
        return made, await _confirm_plan(target, opened, made, name, None)

    made, done = _run(target, run)
    if output is not None:
        write_file(output, made)
    if done is None:
        write_result(encode_plan(made), format_plan(made), as_json)
    else:
        lines = format_changes(made.changes)
        lines += [f"warning: {warning}" for warning in made.warnings]
        heading = "".join(f"{line}\n" for line in lines)
        _write_confirmation(done, made, as_json, heading)


@main.command("status")
@add_site_options(needs_list=True)
def status_command(*, target, as_json):
    """Shows the version in force, the instances and the capacity."""
    status = _run(target, lambda opened: read_status(target, opened))
    write_result(status, format_status(status), as_json)


@main.group("config")
def config_group() -> None:
    """Checks files and shows the configuration."""


@config_group.command("check")
@click.argument("file", type=click.Path())
@click.option(
    "--kind",
    type=click.Choice(["entry", "agent", "intent"]),
    help="Kind of the file; found from its fields by default.",
)
@JSON_OPTION
@handle_errors
def check_command(*, file, kind, as_json):
    """Checks a settings file or an intent and lists every error."""
    text = read_text(file, ErrorCode.INVALID_SETTINGS)
    kind = kind or detect_file_kind(text)
    if kind == "intent":
        parse_intent(text)
    else:
        parse_settings(text, SettingsKind(kind))
    document = {"file": file, "kind": kind, "valid": True}
    write_result(document, f"{file}: valid ({kind})", as_json)


@config_group.command("show")
@add_site_options(needs_list=False)
def show_command(*, target, as_json):
    """Shows the whole configuration in force."""
    reader = SnapshotReader()
    _run(target, reader.refresh)
    snapshot, root = reader.snapshot, reader.root
    document = {
        "version": snapshot.version,
        "operator": root.operator,
        "time": root.time and root.time.isoformat(),
        "accounts": encode_resources(snapshot.accounts),
        "groups": encode_resources(snapshot.groups),
        "services": encode_resources(snapshot.services),
        "leaving": sorted(snapshot.leaving),
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
@add_site_options(needs_list=False)
def history_command(*, count, target, as_json):
    """Shows who changed what, newest first."""

    async def run(opened: Store) -> tuple[ChangeRecord, ...]:
        reader = SnapshotReader()
        await reader.refresh(opened)
        after = max(0, reader.root.version - count)
        return await read_history(opened, reader.root, ConfigVersion(after))

    history = _run(target, run)
    document = {"changes": [encode_change_record(item) for item in history]}
    write_result(document, _format_history(history), as_json)


@config_group.command("collect")
@add_site_options(needs_list=False)
def collect_command(*, target, as_json):
    """Deletes old parts that no version in use needs."""
    deleted = _run(target, delete_unreferenced_parts)
    write_result({"deleted": deleted}, f"{deleted} parts deleted", as_json)


@main.command("serve")
@click.option("--settings", required=True, type=click.Path())
@JSON_OPTION
@handle_errors
def serve_command(*, settings, as_json):
    """Runs the entry daemon until it is told to stop."""
    parsed = read_settings(settings)
    from chicoryplank_entry import daemon

    daemon.run(parsed)


if __name__ == "__main__":
    main()
