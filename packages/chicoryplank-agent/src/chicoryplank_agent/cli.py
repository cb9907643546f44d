"""Command-line interface of the agent daemon."""

import json
import pathlib
import sys

import click

from chicoryplank.configuration import SettingsKind, parse_settings
from chicoryplank.errors import ChicoryplankError, ErrorCode

EXIT_BAD_INPUT = 2


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ChicoryplankError(
            ErrorCode.INVALID_SETTINGS, f"{path} cannot be read: {error}"
        ) from error


@click.command()
@click.option("--settings", required=True, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Write errors as JSON.")
def main(settings: str, as_json: bool) -> None:
    """Runs the agent daemon until it receives SIGTERM or SIGINT."""
    try:
        parsed = parse_settings(_read_text(settings), SettingsKind.AGENT)
    except ChicoryplankError as error:
        if as_json:
            document = {"code": error.code.value, "message": error.message}
            click.echo(json.dumps({"error": document}, indent=2))
        else:
            click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_INPUT)
    from chicoryplank_agent import daemon

    daemon.run(parsed)


if __name__ == "__main__":
    main()
