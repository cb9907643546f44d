"""Output formats and exit codes of the operator commands."""

import dataclasses
import functools
import json
import sys
from collections.abc import Callable, Mapping

import click

from chicoryplank.configuration import (
    ChangeRecord,
    CheckReport,
    GroupNeed,
    InsufficientCapacityError,
    InvalidInputError,
    PlanSupersededError,
    encode_changes,
    encode_check_report,
    encode_plan,
    format_check_report,
    format_plan,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
_EXIT_CODES = {
    ErrorCode.INVALID_SETTINGS: EXIT_BAD_INPUT,
    ErrorCode.INVALID_INTENT: EXIT_BAD_INPUT,
    ErrorCode.INVALID_PLAN: EXIT_BAD_INPUT,
    ErrorCode.INSUFFICIENT_CAPACITY: EXIT_REFUSED,
    ErrorCode.PLAN_SUPERSEDED: EXIT_REFUSED,
    ErrorCode.STORE_UNAVAILABLE: EXIT_UNAVAILABLE,
    ErrorCode.MEMBER_UNREACHABLE: EXIT_UNAVAILABLE,
}


def write_result(document: Mapping[str, object], text: str, as_json: bool):
    """Writes a result to standard output, as JSON or as text."""
    click.echo(json.dumps(document, indent=2) if as_json else text)


def write_check_report(
    file: str, kind: str, report: CheckReport, as_json: bool
) -> None:
    """Writes the result of a check and exits with its code."""
    document = encode_check_report(file, kind, report)
    if report.error is not None:
        document.update(encode_error(report.error))
    text = format_check_report(file, kind, report)
    write_result(document, text, as_json)
    if report.error is not None and not as_json:
        click.echo(str(report.error).partition("\n")[0], err=True)
    sys.exit(report.exit_code)


def encode_change_record(record: ChangeRecord) -> dict[str, object]:
    """Returns the JSON form of a change record."""
    return {
        "version": record.version,
        "operator": record.operator,
        "operation_id": record.operation_id,
        "time": record.time.isoformat(),
        "change_count": record.change_count,
        "changes": encode_changes(record.changes),
    }


def encode_need(need: GroupNeed) -> dict[str, object]:
    """Returns the JSON form of the needed and available capacity of a group."""
    return dataclasses.asdict(need)


def encode_error(error: ChicoryplankError) -> dict[str, object]:
    """Returns the JSON form of an error."""
    retry_after = error.retry_after
    encoded: dict[str, object] = {
        "code": error.code.value,
        "message": error.message,
        "verdict": error.verdict.value,
        "retry_after_s": None
        if retry_after is None
        else retry_after.total_seconds(),
    }
    if isinstance(error, InvalidInputError):
        encoded["problems"] = [
            dataclasses.asdict(problem) for problem in error.problems
        ]
    if isinstance(error, InsufficientCapacityError):
        encoded["shortfalls"] = [encode_need(item) for item in error.shortfalls]
    if isinstance(error, PlanSupersededError):
        winner, new_plan = error.winner, error.new_plan
        encoded["current_version"] = error.current_version
        encoded["winner"] = winner and encode_change_record(winner)
        encoded["new_plan"] = new_plan and encode_plan(new_plan)
    return {"error": encoded}


def handle_errors(command: Callable) -> Callable:
    """Makes a command report a ChicoryplankError and exit with its code."""

    @functools.wraps(command)
    def run(*args, as_json: bool, **kwargs):
        try:
            return command(*args, as_json=as_json, **kwargs)
        except ChicoryplankError as error:
            _write_error(error, as_json)
            sys.exit(_EXIT_CODES.get(error.code, EXIT_FAILED))

    return run


def _write_error(error: ChicoryplankError, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(encode_error(error), indent=2))
        return
    click.echo(str(error), err=True)
    if isinstance(error, PlanSupersededError) and error.new_plan is not None:
        click.echo(format_plan(error.new_plan), err=True)
