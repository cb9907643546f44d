"""Tests of the parsing and validation of settings files."""

import json
import pathlib
from datetime import timedelta

import testtools
from hypothesis import given, settings, strategies

from chicoryplank.configuration import (
    AgentSettings,
    EntrySettings,
    InvalidInputError,
    SettingsKind,
    StoreSettings,
    describe_settings,
    parse_settings,
)

_DOCS = pathlib.Path(__file__).resolve().parents[6] / "docs"
_ENTRY = {
    "instance": "entry-0",
    "zone": "hall-a",
    "caller_address": "127.0.0.1:8000",
    "control_address": "127.0.0.1:8001",
    "store": {"address": "127.0.0.1:2379"},
    "instance_list": {"address": "127.0.0.1:7000"},
}
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*_ENTRY, "limits", "address_ttl_s"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def parse_entry(**fields):
    """Parses entry settings with some fields replaced."""
    return parse_settings(json.dumps({**_ENTRY, **fields}), "entry")


class TestSettings(testtools.TestCase):
    """Acceptance and rejection of settings."""

    def find_paths(self, text, kind="entry"):
        """Returns the paths of the errors in a settings text."""
        error = self.assertRaises(InvalidInputError, parse_settings, text, kind)
        return {problem.path for problem in error.problems}

    def test_units_and_defaults(self):
        """Guards against values in a wrong unit and wrong defaults."""
        text = """{
          // Comments are allowed.
          instance: "entry-0", zone: "hall-a",
          caller_address: "127.0.0.1:8000", control_address: "[::1]:8001",
          store: {address: "127.0.0.1:2379", timeout_ms: 250},
          instance_list: {address: "127.0.0.1:7000"}, address_ttl_s: 2.5,
        }"""
        parsed = parse_settings(text, SettingsKind.ENTRY)
        self.assertEqual(timedelta(milliseconds=250), parsed.store.timeout)
        self.assertEqual(timedelta(seconds=2.5), parsed.address_ttl)
        self.assertEqual(timedelta(seconds=60), parsed.max_isolation)

    def test_all_errors_at_once(self):
        """Guards against validation that stops at the first error."""
        text = """{
          instance: "", zone: 5, caller_address: "0.0.0.0:80",
          control_address: "localhost:1", store: {address: "127.0.0.1:0",
          timeout_ms: NaN, timeout: 5}, limits: {max_requests: true,
          max_body_bytes: -1}, address_ttl_s: Infinity, colour: "red"}"""
        expected = {
            "instance",
            "zone",
            "caller_address",
            "control_address",
            "store.address",
            "store.timeout_ms",
            "store.timeout",
            "instance_list",
            "limits.max_requests",
            "limits.max_body_bytes",
            "address_ttl_s",
            "colour",
        }
        self.assertEqual(expected, self.find_paths(text))

    def test_message_names_value_and_range(self):
        """Guards against errors that do not state the allowed values."""
        error = self.assertRaises(
            InvalidInputError, parse_entry, limits={"max_requests": 0}
        )
        self.assertIn(
            "limits.max_requests = 0; allowed: a whole number from 1",
            error.message,
        )

    def test_invalid_numbers(self):
        """Guards against NaN, infinities, booleans and strings as numbers."""
        for value in ("NaN", "-Infinity", "-1", "true", '"5"', "null", "1e30"):
            text = json.dumps(_ENTRY)[:-1] + f', "drain_timeout_s": {value}}}'
            self.assertEqual({"drain_timeout_s"}, self.find_paths(text))

    def test_relations_between_fields(self):
        """Guards against fields that are valid alone but not together."""
        text = json.dumps(
            {
                **_ENTRY,
                "control_address": _ENTRY["caller_address"],
                "limits": {"default_timeout_s": 700},
            }
        )
        expected = {"control_address", "limits.default_timeout_s"}
        self.assertEqual(expected, self.find_paths(text))

    def test_text_that_is_not_json(self):
        """Guards against parser errors not reported as invalid input."""
        for text in ("", "[1,", "{a:1} b", "[" * 5000, '"text"', "\x00"):
            self.assertEqual({"(whole)"}, self.find_paths(text, "agent"))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(_JSON)
    def test_any_json_is_accepted_or_listed(self, value):
        """Guards against values on which a validator raises another error."""
        document = {**_ENTRY, **value} if isinstance(value, dict) else value
        try:
            parsed = parse_settings(json.dumps(document), "entry")
        except InvalidInputError as error:
            self.assertNotEqual((), error.problems)
        else:
            self.assertIsInstance(parsed, EntrySettings)

    def test_documentation_lists_every_field(self):
        """Guards against fields, bounds or defaults that are not documented."""
        text = (_DOCS / "settings.md").read_text()
        for kind in SettingsKind:
            section = text.split(f"## {kind.value.capitalize()}")[1]
            section = section.split("\n## ")[0]
            for item in describe_settings(kind):
                row = f"| `{item.path}` | {item.allowed} | {item.default} |"
                self.assertIn(row, section)


class TestSecret(testtools.TestCase):
    """The secret that entries and agents share."""

    def test_secret_is_not_shown(self):
        """Guards against the secret appearing in error messages and logs."""
        secret = "a secret with spaces"
        error = self.assertRaises(
            InvalidInputError,
            parse_settings,
            json.dumps({"shared_secret": secret}),
            SettingsKind.AGENT,
        )
        self.assertNotIn(secret, str(error))
        self.assertIn("shared_secret", str(error))
        store = StoreSettings("127.0.0.1:1")
        agent = AgentSettings(
            "a", "b", "c", "d", "e", store, shared_secret="hidden-secret"
        )
        self.assertNotIn("hidden-secret", repr(agent))
