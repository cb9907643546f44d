"""Shared options and file access of the operator commands."""

import functools
import getpass
import json
import os
import pathlib
import sys
from collections.abc import Callable

import click

from chicoryplank.configuration import (
    EntrySettings,
    Plan,
    SettingsKind,
    encode_plan,
    is_address,
    parse_settings,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank_entry._output import handle_errors
from chicoryplank_entry._platform import Target, make_target

JSON_OPTION = click.option(
    "--json", "as_json", is_flag=True, help="Write the result as JSON."
)
_OPERATOR_VARIABLE = "CHICORYPLANK_OPERATOR"


def _check_address(
    _context: click.Context, parameter: click.Parameter, value: str | None
) -> str | None:
    if value is not None and not is_address(value):
        raise click.BadParameter(
            f"{value!r} is not IP:PORT", param_hint=parameter.opts[0]
        )
    return value


def read_text(path: str, code: ErrorCode) -> str:
    """Reads a file, or standard input for `-`."""
    try:
        if path == "-":
            return sys.stdin.read()
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ChicoryplankError(
            code, f"{path} cannot be read: {error}"
        ) from error


def write_plan_file(path: str, plan: Plan) -> None:
    """Writes a plan as JSON to a file."""
    text = json.dumps(encode_plan(plan), indent=2) + "\n"
    try:
        pathlib.Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise ChicoryplankError(
            ErrorCode.INVALID_PLAN, f"{path} cannot be written: {error}"
        ) from error


def read_settings(path: str) -> EntrySettings:
    """Reads and validates an entry settings file."""
    text = read_text(path, ErrorCode.INVALID_SETTINGS)
    return parse_settings(text, SettingsKind.ENTRY)


def _resolve_target(
    context: click.Context,
    settings: str | None,
    store: str | None,
    instance_list: str | None,
) -> Target:
    platform = context.obj
    if (settings is None) == (store is None):
        raise click.UsageError("give exactly one of --settings and --store")
    if store is not None:
        return Target(platform, store, list_address=instance_list)
    if instance_list is not None:
        raise click.UsageError("--instance-list is only for use with --store")
    return make_target(platform, read_settings(settings))


def resolve_operator(operator: str | None) -> str:
    """Returns the option, the environment variable or the user name."""
    if operator:
        return operator
    try:
        return os.environ.get(_OPERATOR_VARIABLE) or getpass.getuser()
    except (OSError, KeyError) as error:
        raise click.UsageError(
            f"the operator is unknown: give --operator or {_OPERATOR_VARIABLE}"
        ) from error


def add_site_options(
    requires_instance_list: bool,
) -> Callable[[Callable], Callable]:
    """Adds the options that select a site, and passes the site as `target`.

    Args:
        requires_instance_list: Whether the command needs the instance list.

    Returns:
        A decorator of a command that takes `target` and `as_json`.
    """

    def decorate(command: Callable) -> Callable:
        @functools.wraps(command)
        def run(
            *args: object,
            settings: str | None,
            store: str | None,
            instance_list: str | None,
            **kwargs: object,
        ) -> None:
            target = _resolve_target(
                click.get_current_context(), settings, store, instance_list
            )
            if requires_instance_list and target.list_address is None:
                raise click.UsageError(
                    "the instance list is required: give --settings, or "
                    "--instance-list with --store"
                )
            command(*args, target=target, **kwargs)

        decorated = handle_errors(run)
        for option in _SITE_OPTIONS:
            decorated = option(decorated)
        return decorated

    return decorate


_SITE_OPTIONS = (
    JSON_OPTION,
    click.option(
        "--instance-list",
        callback=_check_address,
        help="IP:PORT of the instance list; only with --store.",
    ),
    click.option(
        "--store", callback=_check_address, help="IP:PORT of the store."
    ),
    click.option(
        "--settings",
        type=click.Path(),
        help="Settings file of any entry of the site.",
    ),
)
