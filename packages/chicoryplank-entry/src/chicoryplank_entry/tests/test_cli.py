"""Tests of the operator commands with an in-memory store."""

import json
import pathlib
import sys
import tempfile
import types
from unittest import mock

import testtools
from click.testing import CliRunner

from chicoryplank.clock import ManualClock
from chicoryplank.fakes import MemoryStore
from chicoryplank_entry._platform import Platform
from chicoryplank_entry.cli import main

_ROOT = pathlib.Path(__file__).resolve().parents[5]
_INTENT = str(_ROOT / "examples/kwinana/intent.json5")
_ENTRY = str(_ROOT / "examples/kwinana/entry.json5")
_SITE_JSON = ["--settings", _ENTRY, "--json"]
_SITE_TEXT = ["--settings", _ENTRY]


def make_instances():
    """Returns an instance list that satisfies the Kwinana example."""
    counts = {"toolroom-llm": 16, "press-tablets": 3, "": 2}
    return [
        {
            "instance": f"{deployment or 'entry'}-{number:02}",
            "role": "backend" if deployment else "entry",
            "zone": "toolroom",
            "deployment": deployment,
            "leaving": False,
        }
        for deployment, count in counts.items()
        for number in range(count)
    ]


class CommandTestCase(testtools.TestCase):
    """Base class that runs commands against one in-memory store."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(ManualClock())
        self.instances = make_instances()
        self.list_error = None
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    async def _fetch(self, _address, _timeout):
        if self.list_error is not None:
            raise self.list_error
        return self.instances

    def run_command(self, *arguments, code=0):
        """Runs a command, checks its exit code and returns the result."""
        platform = Platform(
            lambda _address, _timeout: self.store, self._fetch, ManualClock()
        )
        result = CliRunner().invoke(main, arguments, obj=platform)
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def run_json(self, *arguments, code=0):
        """Runs a command with JSON output and returns the document."""
        result = self.run_command(*arguments, *_SITE_JSON, code=code)
        return json.loads(result.stdout)

    def make_path(self, name):
        """Returns the path of a temporary file."""
        return str(pathlib.Path(self.directory.name) / name)

    def write_intent(self, **sections):
        """Writes an intent and returns its path."""
        path = pathlib.Path(self.make_path("intent.json"))
        path.write_text(json.dumps(sections))
        return str(path)

    def write_plan(self, name, intent=_INTENT):
        """Writes a plan file with the plan command and returns its path."""
        path = self.make_path(name)
        self.run_json("plan", intent, "--output", path)
        return path

    def confirm_example(self):
        """Plans and confirms the Kwinana example as the first version."""
        path = self.write_plan("first.json")
        return self.run_json("confirm", path, "--operator", "ann")


class TestPlanAndConfirm(CommandTestCase):
    """Tests of the plan and confirm commands."""

    def test_plan_activates_nothing(self):
        """Guards against a plan command that changes the configuration."""
        path = self.write_plan("plan.json")
        self.assertEqual(0, self.run_json("status")["version"])
        confirmation = self.run_json("confirm", path, "--operator", "ann")
        self.assertEqual(
            (1, "ann"), (confirmation["version"], confirmation["operator"])
        )
        shown = self.run_json("config", "show")
        self.assertEqual(1, shown["version"])
        self.assertEqual(10, len(shown["accounts"]))

    def test_repeated_confirm_is_one_operation(self):
        """Guards against a second change when a lost response is retried."""
        path = self.write_plan("plan.json")
        self.run_json("confirm", path, "--operator", "ann")
        repeated = self.run_json("confirm", path, "--operator", "ann")
        self.assertEqual((1, True), (repeated["version"], repeated["repeated"]))

    def test_superseded_plan(self):
        """Guards against a conflict error that omits the winning change."""
        self.confirm_example()
        change = {"training": {"tokens_per_s": 150}}
        intent = self.write_intent(accounts={"change": change})
        first = self.write_plan("a.json", intent)
        change["training"]["tokens_per_s"] = 160
        intent = self.write_intent(accounts={"change": change})
        second = self.write_plan("b.json", intent)
        self.run_json("confirm", first, "--operator", "ann")
        new = self.make_path("new.json")
        arguments = ("confirm", second, "--operator", "bob", "--output", new)
        error = self.run_json(*arguments, code=3)["error"]
        self.assertEqual("CP1103", error["code"])
        self.assertEqual("ann", error["winner"]["operator"])
        self.assertEqual(150, error["winner"]["changes"][0]["new"])
        text = self.run_command(*arguments, *_SITE_TEXT, code=3).stderr
        self.assertIn("version 2 by ann", text)
        self.assertIn("tokens_per_s: 150 -> 160", text)
        confirmation = self.run_json("confirm", new, "--operator", "bob")
        self.assertEqual(3, confirmation["version"])

    def test_shortfall(self):
        """Guards against a plan that needs more replicas than exist."""
        self.confirm_example()
        change = {"toolroom-llm": {"replicas": 17}}
        intent = self.write_intent(groups={"change": change})
        error = self.run_json("plan", intent, code=3)["error"]
        self.assertEqual("CP1102", error["code"])
        self.assertEqual(17, error["shortfalls"][0]["needed_replicas"])
        self.assertEqual(16, error["shortfalls"][0]["available_replicas"])

    def test_bad_input(self):
        """Guards against invalid input that ends in a traceback."""
        bad = pathlib.Path(self.make_path("bad"))
        for content in (b"{", b"\xff\xfe", b"[]", b"{colour: 1}"):
            bad.write_bytes(content)
            for command in ("plan", "confirm"):
                error = self.run_json(command, str(bad), code=2)["error"]
                self.assertIn(error["code"], ("CP1101", "CP1104"))
        missing = self.make_path("missing")
        self.run_json("plan", missing, code=2)
        self.run_command("plan", _INTENT, code=2)
        self.run_command("plan", _INTENT, "--store", "127.0.0.1:1", code=2)
        self.run_command("status", "--store", "somewhere", code=2)

    def test_store_and_instance_list_down(self):
        """Guards against an outage that is reported as a refused request."""
        path = self.write_plan("plan.json")
        self.store.available = False
        # A repeated confirm has the same operation id by default. If it cannot
        # read the store, an earlier one may have taken effect.
        for command, verdict in (
            (("plan", _INTENT), "not_run"),
            (("confirm", path), "may_have_run"),
            (("status",), "not_run"),
        ):
            error = self.run_json(*command, code=4)["error"]
            self.assertEqual("CP1901", error["code"])
            self.assertEqual(verdict, error["verdict"])
        self.store.available = True
        self.list_error = OSError("refused")
        error = self.run_json("plan", _INTENT, code=4)["error"]
        self.assertEqual("CP1701", error["code"])


class TestOperation(CommandTestCase):
    """Tests of the status, drain, config and serve commands."""

    def test_drain(self):
        """Guards against a drain that takes effect before it is confirmed."""
        self.confirm_example()
        drain = ("drain", "toolroom-llm-00")
        planned = self.run_json(*drain)
        self.assertEqual(
            "leaving.toolroom-llm-00", planned["changes"][0]["path"]
        )
        self.assertEqual([], self.run_json("status")["leaving"])
        self.assertEqual(2, self.run_json(*drain, "--yes")["version"])
        status = self.run_json("status")
        self.assertEqual(["toolroom-llm-00"], status["leaving"])
        text = self.run_command("status", *_SITE_TEXT).stdout
        self.assertIn("toolroom-llm: 15 of 14 needed replicas", text)
        self.assertIn("instances: 20 live, 1 leaving", text)

    def test_evacuate(self):
        """Guards against an evacuation that is not planned, shown or ended."""
        self.confirm_example()
        for item in self.instances[:8]:
            item["zone"] = "press"
        evacuate = ("evacuate", "press")
        planned = self.run_json(*evacuate)
        self.assertEqual("evacuated.press", planned["changes"][0]["path"])
        self.assertEqual([], self.run_json("status")["evacuated"])
        text = self.run_command(*evacuate, "--yes", *_SITE_TEXT).stdout
        self.assertIn("+ evacuated.press\nwarning: group toolroom-llm", text)
        self.assertIn("version 2 is active", text)
        status = self.run_json("status")
        self.assertEqual(["press"], status["evacuated"])
        text = self.run_command("status", *_SITE_TEXT).stdout
        self.assertIn("zone press evacuated, 8 replicas", text)
        self.assertIn("toolroom-llm: 8 of 14 needed replicas", text)
        shown = self.run_json("config", "show")
        self.assertEqual(["press"], shown["evacuated"])
        self.run_command(*evacuate, *_SITE_TEXT, code=2)
        self.run_json(*evacuate, "--end", "--yes")
        self.assertEqual([], self.run_json("status")["evacuated"])

    def test_drain_of_unknown_instance_warns(self):
        """Guards against a misspelt instance name that goes unnoticed."""
        self.confirm_example()
        text = self.run_command("drain", "typo", "--yes", *_SITE_TEXT).stdout
        self.assertIn("warning: instance typo is not live", text)
        self.assertEqual(["typo"], self.run_json("status")["gone"])

    def test_check(self):
        """Guards against a check that mistakes one kind of file for another."""
        for name in ("entry", "agent", "intent"):
            path = str(_ROOT / f"examples/ebene/{name}.json5")
            result = self.run_command("config", "check", path, "--json")
            self.assertEqual(name, json.loads(result.stdout)["kind"])
        bad = pathlib.Path(self.make_path("bad"))
        bad.write_text('{instance: "", zone: 3}')
        result = self.run_command("config", "check", str(bad), code=2)
        self.assertIn("6 errors in the entry settings", result.stderr)
        result = self.run_command("config", "check", str(bad), "--json", code=2)
        problems = json.loads(result.stdout)["error"]["problems"]
        self.assertEqual(6, len(problems))

    def test_check_against_the_version_in_force(self):
        """Guards against a check that compares with another version."""
        self.confirm_example()
        path = self.write_intent(leaving={"add": ["toolroom-llm-00"]})
        settings = str(_ROOT / "examples/kwinana/entry.json5")
        arguments = ("config", "check", path, "--settings", settings)
        result = self.run_command(*arguments, "--against", "1", "--json")
        self.assertEqual(
            ["instance toolroom-llm-00 drains; it gets no new requests"],
            json.loads(result.stdout)["changes"],
        )
        result = self.run_command(*arguments, "--against", "7", code=2)
        self.assertIn("version 7 is not in force, but 1", result.stderr)
        shown = pathlib.Path(self.make_path("shown.json"))
        shown.write_text(json.dumps(self.run_json("config", "show")))
        result = self.run_command(
            "config", "check", path, "--against", str(shown)
        )
        self.assertIn("toolroom-llm-00 drains", result.stdout)
        again = self.write_intent(leaving={"remove": ["toolroom-llm-00"]})
        result = self.run_command(
            "config", "check", again, "--against", str(shown), code=2
        )
        self.assertIn("error CP1101", result.stdout)

    def test_history_and_collection(self):
        """Guards against a history without the operator of each change."""
        self.confirm_example()
        self.run_json("drain", "toolroom-llm-00", "--yes", "--operator", "bob")
        changes = self.run_json("config", "history")["changes"]
        self.assertEqual(["bob", "ann"], [c["operator"] for c in changes])
        text = self.run_command("config", "history", *_SITE_TEXT).stdout
        self.assertIn("+ leaving.toolroom-llm-00", text)
        self.assertEqual(0, self.run_json("config", "collect")["deleted"])
        text = self.run_command("config", "show", *_SITE_TEXT).stdout
        self.assertIn("version 2\naccounts.customer-service: {", text)

    def test_serve(self):
        """Guards against a daemon that starts with invalid settings."""
        daemon = types.ModuleType("chicoryplank_entry.daemon")
        daemon.run = mock.Mock()
        package = sys.modules["chicoryplank_entry"]
        with (
            mock.patch.dict(sys.modules, {daemon.__name__: daemon}),
            mock.patch.object(package, "daemon", daemon, create=True),
        ):
            self.run_command("serve", "--settings", _INTENT, code=2)
            daemon.run.assert_not_called()
            self.run_command("serve", "--settings", _ENTRY)
        self.assertEqual(
            "toolroom-entry-1", daemon.run.call_args.args[0].instance
        )
