"""Tests of the check of settings, intents and forwarding configurations."""

import dataclasses
import json
import pathlib
import random
from datetime import timedelta

import hypothesis
import testtools
from hypothesis import strategies

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.configuration import (
    SettingsKind,
    SnapshotReader,
    TrafficDocument,
    TrafficEnvironment,
    check_intent,
    check_settings,
    decode_shown_version,
    describe_traffic_changes,
    find_traffic_warnings,
    parse_settings,
)
from chicoryplank.configuration._positions import PositionIndex
from chicoryplank.ids import AccountId, ConfigVersion, ServiceId
from chicoryplank.traffic import (
    ClientLimits,
    RequestKind,
    Route,
    Service,
    Share,
    TrafficConfiguration,
)

_EXAMPLES = pathlib.Path(__file__).resolve().parents[6] / "examples/kwinana"
_FRAGMENTS = (*"{}[]:,\"'\\/*\n0-\ud800", "1e999", "null", "NaN", "")
_MUTATIONS = 500
_NAMES = strategies.text("abc", min_size=1, max_size=3)
_VALUES = strategies.recursive(
    strategies.integers() | strategies.text("x{[,:]}\"'/*\\\n"),
    lambda parts: (
        strategies.lists(parts, max_size=3)
        | strategies.dictionaries(_NAMES, parts, max_size=3)
    ),
    max_leaves=10,
)


def mutate(text, rng):
    """Returns a text with up to three random changes."""
    for _ in range(rng.randint(1, 3)):
        start = rng.randrange(len(text) + 1)
        end = min(len(text), start + rng.choice((0, 1, 3, 30)))
        other = rng.randrange(len(text) + 1)
        inserted = rng.choice((*_FRAGMENTS, text[other : other + 30]))
        text = text[:start] + inserted + text[end:]
    return text


def list_paths(value, path=""):
    """Yields the path of each value with the text that begins there."""
    if isinstance(value, dict):
        for name, item in value.items():
            inner = f"{path}.{name}" if path else name
            yield inner, json.dumps(name)
            yield from list_paths(item, inner)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield f"{path}[{index}]", json.dumps(item)[0]
            yield from list_paths(item, f"{path}[{index}]")


class TestPositions(testtools.TestCase):
    """Positions of values in a text."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(_VALUES, strategies.sampled_from([None, 0, 2]))
    def test_each_value_is_found(self, value, indent):
        """Guards against a line or column of another value."""
        text = json.dumps(value, indent=indent)
        index = PositionIndex(text)
        lines = text.split("\n")
        for path, expected in list_paths(value):
            line, column = index.find(path)
            found = lines[line - 1][column - 1 :]
            self.assertTrue(found.startswith(expected), (path, found))

    def test_comments_and_repeated_names(self):
        """Guards against names in comments, and the position of the first."""
        text = "// {b: 1}\n{a: 1, /* ,b: */ 'c': [2], \"a\": 3}"
        index = PositionIndex(text)
        self.assertEqual((2, 28), index.find("a"))
        self.assertEqual((2, 24), index.find("c[0]"))
        self.assertEqual((2, 18), index.find("c.missing (name)"))
        self.assertEqual(["a"], index.repeated)


class TestCheckedFiles(testtools.TestCase):
    """Settings and intents."""

    def _list_codes(self, report):
        return [
            (finding.code, finding.path, finding.line)
            for finding in report.findings
        ]

    def test_examples_have_no_findings(self):
        """Guards against a warning about a file that is as it should be."""
        for kind in SettingsKind:
            text = (_EXAMPLES / f"{kind.value}.json5").read_text()
            self.assertEqual((), check_settings(text, kind).findings)
        text = (_EXAMPLES / "intent.json5").read_text()
        self.assertEqual((), check_intent(text).findings)

    def test_mutated_files(self):
        """Guards against a traceback, and against errors that are missed."""
        rng = random.Random(1)
        for name in ("entry", "intent"):
            original = (_EXAMPLES / f"{name}.json5").read_text()
            for _ in range(_MUTATIONS):
                text = mutate(original, rng)
                if name == "intent":
                    report = check_intent(text, SnapshotReader().snapshot)
                else:
                    report = check_settings(text, SettingsKind.ENTRY)
                self.assertEqual(
                    report.exit_code == 2, report.error is not None
                )
                lines = text.count("\n") + 1
                for finding in report.findings:
                    self.assertIn(finding.line, range(1, lines + 1))

    def test_conflicting_settings(self):
        """Guards against limits that contradict each other unnoticed."""
        text = (_EXAMPLES / "entry.json5").read_text()
        changed = text[: text.rindex("}")].rstrip().rstrip(",") + (
            ",\nlimits: {max_requests: 9000, body_timeout_s: 900},\n"
            "drain_timeout_s: 2}"
        )
        report = check_settings(
            changed,
            SettingsKind.ENTRY,
            1_000_000,
            parse_settings(text, SettingsKind.ENTRY),
        )
        self.assertEqual(1, report.exit_code)
        codes = sorted({code for code, _, _ in self._list_codes(report)})
        self.assertLessEqual({"CP1164", "CP1171", "CP1173"}, set(codes))
        self.assertIn(
            "limits.max_requests changes from 4096 to 9000 when the daemon "
            "starts again",
            report.changes,
        )

    def test_intent_warnings_and_effects(self):
        """Guards against accounts that cannot call, and unnamed effects."""
        group = {
            "models": ["m"],
            "version": "1",
            "replicas": 2,
            "tokens_per_s": 100,
        }
        shown = {"version": 4, "groups": {"g": group}}
        version = decode_shown_version(json.dumps(shown))
        account = {
            "token_sha256": "0" * 64,
            "requests_per_s": 1,
            "tokens_per_s": 300,
            "priority": "bulk",
            "groups": ["g"],
        }
        idle = {**account, "token_sha256": "1" * 64, "groups": []}
        text = json.dumps(
            {
                "accounts": {"add": {"a": account, "idle": idle}},
                "groups": {"change": {"g": {"models": ["n"]}}},
            },
            indent=1,
        )
        report = check_intent(text, version)
        self.assertEqual(
            [
                ("CP1164", "accounts.add.a.tokens_per_s"),
                ("CP1162", "accounts.add.idle"),
            ],
            [(code, path) for code, path, _ in self._list_codes(report)],
        )
        self.assertIn(
            "group g: models changes from ['m'] to ['n']; calls to other model "
            "names are refused with CP1204",
            report.changes,
        )
        unknown = check_intent('{leaving: {remove: ["x"]}}', version)
        self.assertEqual(2, unknown.exit_code)


_ROUTE = Route(
    "r",
    "shop.example",
    "/a/",
    RequestKind.IDEMPOTENT,
    (Share(ServiceId("s"), 1.0),),
    timedelta(seconds=2),
    timedelta(seconds=1),
)
_SERVICE = Service(ServiceId("s"))
_DOCUMENT = TrafficDocument(
    [_ROUTE], [_SERVICE], [(AccountId("a"), ["k"])], ClientLimits()
)
_KIND = RequestKind.STREAMING


def _route(**fields):
    return {"routes": [dataclasses.replace(_ROUTE, **fields)]}


class TestTrafficWarnings(testtools.TestCase):
    """Routes, services, accounts and limits of the forwarding front."""

    def _find(self, environment=None, **fields):
        document = dataclasses.replace(_DOCUMENT, **fields)
        findings = find_traffic_warnings(
            document, environment or TrafficEnvironment()
        )
        return [(finding.code, finding.path) for finding in findings]

    def test_sound_configuration(self):
        """Guards against a warning about a configuration without faults."""
        environment = TrafficEnvironment(
            {ServiceId("s"): 2}, RetryBudgetParameters(), 200_000_000
        )
        self.assertEqual([], self._find(environment))

    def test_each_warning(self):
        """Guards against entries that never match, and contradictions."""
        servers = TrafficEnvironment(servers={ServiceId("s"): 2})
        budget = TrafficEnvironment(retry_budget=RetryBudgetParameters(0.2, 1))
        for expected, environment, fields in (
            ("CP1161 routes[0].path_prefix", None, {"routes": [_ROUTE] * 2}),
            ("CP1161 routes[0].path_prefix", None, _route(path_prefix="/a")),
            ("CP1161 routes[0].host", None, _route(host="a:80")),
            ("CP1171 routes[0].timeout", None, _route(target=timedelta(9))),
            (
                "CP1171 routes[0].gap_target",
                None,
                _route(kind=_KIND, gap_target=timedelta(9)),
            ),
            (
                "CP1164 routes[0].gap_target",
                None,
                _route(gap_target=timedelta(0, 1)),
            ),
            ("CP1164 routes[0].resumable", None, _route(resumable=True)),
            (
                "CP1164 routes[0].max_runs",
                None,
                _route(kind=RequestKind.NON_IDEMPOTENT, max_runs=2),
            ),
            ("CP1164 routes[0].max_runs", None, _route(max_runs=7)),
            ("CP1164 routes[0].max_runs", servers, _route(max_runs=3)),
            ("CP1172 routes[0].max_runs", budget, _route(max_runs=3)),
            (
                "CP1163 services[0].name",
                TrafficEnvironment(servers={}),
                {},
            ),
            (
                "CP1163 services[1].name",
                None,
                {"services": [_SERVICE, Service(ServiceId("t"))]},
            ),
            ("CP1163 routes[0].shares", None, {"services": []}),
            (
                "CP1162 accounts[0].name",
                None,
                {"accounts": [(AccountId("a"), [])]},
            ),
            (
                "CP1161 accounts[1].keys",
                None,
                {"accounts": [(AccountId("a"), ["k"]), ("b", ["k"])]},
            ),
            (
                "CP1173 limits.max_body_bytes",
                TrafficEnvironment(memory_bytes=8_000_000),
                {},
            ),
        ):
            found = self._find(environment, **fields)
            self.assertEqual([tuple(expected.split(" "))], found)

    def test_differences(self):
        """Guards against a difference that is not told, or a shown key."""
        old = TrafficConfiguration(
            ConfigVersion(2),
            (_ROUTE,),
            {_SERVICE.name: _SERVICE},
            accounts={"secret-key": AccountId("a")},
        )
        self.assertEqual(
            1, len(describe_traffic_changes(old, old))
        )  # Its version is not newer.
        new = TrafficConfiguration(
            ConfigVersion(3),
            (
                dataclasses.replace(_ROUTE, max_runs=2),
                _route(name="t")["routes"][0],
            ),
            {},
            ClientLimits(max_body_bytes=5),
            priorities={AccountId("a"): 1},
            requires_api_key=True,
        )
        text = "\n".join(describe_traffic_changes(old, new))
        for part in (
            "route r: max_runs changes from 1 to 2",
            "route t is added",
            "service s is removed",
            "account a: 1 API keys are removed",
            "account a: priority changes from that of the route to 1",
            "limits: max_body_bytes changes from 4194304 to 5",
            "requests without an API key are refused",
        ):
            self.assertIn(part, text)
        self.assertNotIn("secret-key", text)
