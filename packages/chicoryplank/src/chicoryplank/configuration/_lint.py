"""Check of settings and intents before they are used.

Errors are what a daemon or a plan would reject. Warnings are values that are
accepted but never take effect, or that contradict each other.
"""

import dataclasses
import enum
import json
import re
from collections.abc import Iterable, Iterator

from chicoryplank.configuration._changes import diff_snapshots
from chicoryplank.configuration._effects import (
    describe_change,
    describe_settings_changes,
)
from chicoryplank.configuration._intent import (
    Intent,
    ResourceEdits,
    parse_intent,
)
from chicoryplank.configuration._plan import apply_intent
from chicoryplank.configuration._positions import (
    PositionIndex,
    get_line_and_column,
)
from chicoryplank.configuration._reader import SnapshotReader
from chicoryplank.configuration._settings import (
    AgentSettings,
    EntrySettings,
    SettingsKind,
)
from chicoryplank.configuration._settings_parser import parse_settings
from chicoryplank.configuration._snapshot import Snapshot
from chicoryplank.configuration._validators import (
    InvalidInputError,
    Problem,
    parse_json,
)
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import ConfigVersion

# A body is held as received and as encoded for the backend server.
BODY_COPIES = 2


class Severity(enum.Enum):
    """Whether a finding keeps a file from being used."""

    ERROR = "error"
    WARNING = "warning"


class CheckCode(enum.Enum):
    """Codes of warnings; docs/configuration-check.md lists them."""

    REPEATED_NAME = "CP1151"
    NEVER_MATCHES = "CP1161"
    UNUSABLE_ACCOUNT = "CP1162"
    UNUSABLE_SERVICE = "CP1163"
    WITHOUT_EFFECT = "CP1164"
    TIMEOUT_TOO_SHORT = "CP1171"
    TOO_MANY_ATTEMPTS = "CP1172"
    BODY_TOO_LARGE = "CP1173"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error or warning.

    Attributes:
        severity: Whether the file is rejected.
        code: Stable code.
        path: Path of the value.
        message: What is wrong, and its effect.
        line: Line in the file, from 1; 0 if unknown.
        column: Column in the line, from 1; 0 if unknown.
    """

    severity: Severity
    code: str
    path: str
    message: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        place = f"{self.line}:{self.column}"
        return f"{place} {self.severity.value} {self.code}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of a check.

    Attributes:
        findings: Errors and warnings, by position.
        changes: Differences from another version, one sentence each.
        error: Why the file is rejected; None if it is not.
    """

    findings: tuple[Finding, ...]
    changes: tuple[str, ...] = ()
    error: InvalidInputError | None = None

    @property
    def exit_code(self) -> int:
        """0 if nothing was found, 1 for warnings, 2 for errors."""
        severities = {finding.severity for finding in self.findings}
        if Severity.ERROR in severities:
            return 2
        return 1 if severities else 0


def encode_check_report(
    file: str, kind: str, report: CheckReport
) -> dict[str, object]:
    """Returns the JSON form of the result of a check."""
    return {
        "file": file,
        "kind": kind,
        "valid": report.exit_code < 2,
        "findings": [
            {**dataclasses.asdict(item), "severity": item.severity.value}
            for item in report.findings
        ],
        "changes": list(report.changes),
    }


def format_check_report(file: str, kind: str, report: CheckReport) -> str:
    """Returns the result of a check as text, a line for each finding."""
    lines = [f"{file}:{finding}" for finding in report.findings]
    lines += [f"{file}: {change}" for change in report.changes]
    if report.exit_code < 2:
        lines.append(f"{file}: valid ({kind})")
    return "\n".join(lines)


def make_warning(code: CheckCode, path: str, message: str) -> Finding:
    """Returns a warning without a position."""
    return Finding(Severity.WARNING, code.value, path, f"{path}: {message}")


def make_errors(code: ErrorCode, problems: Iterable[Problem]) -> list[Finding]:
    """Returns an error for each problem, without a position."""
    return [
        Finding(Severity.ERROR, code.value, problem.path, str(problem))
        for problem in problems
    ]


def locate_findings(
    findings: Iterable[Finding], text: str, *, is_readable: bool
) -> tuple[Finding, ...]:
    """Adds positions, and warnings about names that occur twice.

    Args:
        findings: Errors and warnings.
        text: The checked text.
        is_readable: Whether the text could be parsed.

    Returns:
        The findings, ordered by position.
    """
    if not is_readable:
        return tuple(_locate_syntax_error(item, text) for item in findings)
    index = PositionIndex(text)
    repeated = [
        make_warning(
            CheckCode.REPEATED_NAME, path, "occurs twice; the last value counts"
        )
        for path in index.repeated
    ]
    located = []
    for finding in [*findings, *repeated]:
        line, column = index.find(finding.path)
        located.append(dataclasses.replace(finding, line=line, column=column))
    return tuple(sorted(located, key=lambda item: (item.line, item.column)))


def _locate_syntax_error(finding: Finding, text: str) -> Finding:
    match = re.search(r"near (\d+)", finding.message)
    offset = 0 if match is None else min(int(match[1]), len(text))
    line, column = get_line_and_column(text, offset)
    return dataclasses.replace(finding, line=line, column=column)


def check_settings(
    text: str,
    kind: SettingsKind,
    memory_bytes: int | None = None,
    against: EntrySettings | AgentSettings | None = None,
) -> CheckReport:
    """Checks the settings of a daemon.

    Args:
        text: JSON with comments.
        kind: Daemon that the settings configure.
        memory_bytes: Memory of the smallest instance; None if unknown.
        against: Settings in force; None for no comparison.
    """
    try:
        settings = parse_settings(text, kind)
    except InvalidInputError as error:
        return _report_error(error, text)
    findings = list(_find_settings_warnings(settings, memory_bytes))
    changes = ()
    if against is not None:
        changes = tuple(describe_settings_changes(against, settings))
    return CheckReport(
        locate_findings(findings, text, is_readable=True), changes
    )


def _report_error(error: InvalidInputError, text: str) -> CheckReport:
    findings = make_errors(error.code, error.problems)
    return CheckReport(
        locate_findings(findings, text, is_readable=_is_readable(text)),
        error=error,
    )


def _is_readable(text: str) -> bool:
    try:
        parse_json(text, ErrorCode.INVALID_SETTINGS, "file")
    except InvalidInputError:
        return False
    return True


def _find_settings_warnings(
    settings: EntrySettings | AgentSettings, memory_bytes: int | None
) -> Iterator[Finding]:
    limits = settings.limits
    if limits.body_timeout > limits.max_timeout:
        yield make_warning(
            CheckCode.WITHOUT_EFFECT,
            "limits.body_timeout_s",
            "is never reached, since limits.max_timeout_s is shorter",
        )
    if settings.drain_timeout < limits.max_timeout:
        yield make_warning(
            CheckCode.TIMEOUT_TOO_SHORT,
            "drain_timeout_s",
            "is shorter than limits.max_timeout_s, so a planned stop may break "
            "requests that still have time",
        )
    body_bytes = BODY_COPIES * limits.max_body_bytes
    if memory_bytes is not None and body_bytes > memory_bytes:
        yield make_warning(
            CheckCode.BODY_TOO_LARGE,
            "limits.max_body_bytes",
            f"the instance has {memory_bytes} bytes, and one body takes "
            f"{body_bytes}",
        )
    if not isinstance(settings, EntrySettings):
        return
    if limits.max_requests > limits.max_connections:
        yield make_warning(
            CheckCode.WITHOUT_EFFECT,
            "limits.max_requests",
            "is never reached, since a connection carries one request at a "
            "time and limits.max_connections is lower",
        )
    if settings.address_ttl > settings.drain_timeout:
        yield make_warning(
            CheckCode.TIMEOUT_TOO_SHORT,
            "drain_timeout_s",
            "is shorter than address_ttl_s, so callers may still use the "
            "address of an entry that has stopped",
        )


def decode_shown_version(text: str) -> Snapshot:
    """Returns the version in the JSON output of `config show`.

    Raises:
        InvalidInputError: If it is malformed.
    """
    document = parse_json(text, ErrorCode.INVALID_INTENT, "shown version")
    empty = SnapshotReader().snapshot
    problem = Problem("version", "(missing)", "the output of config show")
    if not isinstance(document, dict) or not isinstance(
        document.get("version"), int
    ):
        raise InvalidInputError(
            ErrorCode.INVALID_INTENT, "shown version", (problem,)
        )
    sections = ("accounts", "groups", "services", "leaving")
    edits = {
        section: {"add": document[section]}
        for section in sections
        if document.get(section)
    }
    snapshot = empty
    if edits:
        snapshot = apply_intent(empty, parse_intent(json.dumps(edits)))
    return dataclasses.replace(
        snapshot, version=ConfigVersion(document["version"])
    )


def check_intent(text: str, against: Snapshot | None = None) -> CheckReport:
    """Checks an intent, and describes its effect on a version.

    Args:
        text: JSON with comments.
        against: Version that the intent would change. Without one, only
            intents that need no version are checked as a whole.
    """
    base = against or SnapshotReader().snapshot
    try:
        intent = parse_intent(text)
    except InvalidInputError as error:
        return _report_error(error, text)
    try:
        target = apply_intent(base, intent)
    except InvalidInputError as error:
        if against is not None:
            return _report_error(error, text)
        return CheckReport(locate_findings((), text, is_readable=True))
    findings = list(_find_intent_warnings(intent, target))
    changes = ()
    if against is not None:
        changes = tuple(map(describe_change, diff_snapshots(base, target)))
    return CheckReport(
        locate_findings(findings, text, is_readable=True), changes
    )


def _find_intent_warnings(
    intent: Intent, target: Snapshot
) -> Iterator[Finding]:
    """Finds warnings about the resources that an intent adds or changes."""
    for name in sorted(target.accounts.keys() & _list_edited(intent.accounts)):
        path = _make_path("accounts", intent.accounts, name)
        yield from _find_account_warnings(path, name, target)
    accounts = target.accounts.values()
    for section, used in (
        ("groups", {name for item in accounts for name in item.groups}),
        ("services", {name for item in accounts for name in item.services}),
    ):
        edits = getattr(intent, section)
        known = getattr(target, section)
        for name in sorted((known.keys() & _list_edited(edits)) - used):
            yield make_warning(
                CheckCode.UNUSABLE_SERVICE,
                _make_path(section, edits, name),
                "no account may call it",
            )
    for name in sorted(target.services.keys() & _list_edited(intent.services)):
        path = _make_path("services", intent.services, name)
        paths = target.services[name].non_repeatable_paths
        for prefix in paths:
            shorter = [
                other
                for other in paths
                if other != prefix and prefix.startswith(other)
            ]
            if shorter:
                yield make_warning(
                    CheckCode.NEVER_MATCHES,
                    f"{path}.non_repeatable_paths",
                    f"{prefix!r} adds nothing to {shorter[0]!r}",
                )


def _list_edited(edits: ResourceEdits) -> set[str]:
    return edits.add.keys() | edits.change.keys()


def _make_path(section: str, edits: ResourceEdits, name: str) -> str:
    return f"{section}.{'add' if name in edits.add else 'change'}.{name}"


def _find_account_warnings(
    path: str, name: str, target: Snapshot
) -> Iterator[Finding]:
    account = target.accounts[name]
    if not account.groups and not account.services:
        yield make_warning(
            CheckCode.UNUSABLE_ACCOUNT, path, "may call no group and no service"
        )
    groups = [target.groups[item] for item in account.groups]
    capacity = sum(group.replicas * group.tokens_per_s for group in groups)
    if groups and account.tokens_per_s > capacity:
        yield make_warning(
            CheckCode.WITHOUT_EFFECT,
            f"{path}.tokens_per_s",
            f"is never reached, since its groups have {capacity:g} tokens/s",
        )
