"""Tests of the command-line interface of the agent."""

import json
import pathlib
import sys
import types
from unittest import mock

import testtools
from click.testing import CliRunner

from chicoryplank_agent.cli import main

_EXAMPLES = pathlib.Path(__file__).resolve().parents[5] / "examples"


class TestAgentCommand(testtools.TestCase):
    """Tests that settings are validated before the daemon starts."""

    def run_agent(self, path, *arguments):
        """Runs the command with a mock daemon.

        Returns:
            The result of the command and the mock of `daemon.run`.
        """
        daemon = types.ModuleType("chicoryplank_agent.daemon")
        daemon.run = mock.Mock()
        package = sys.modules["chicoryplank_agent"]
        with (
            mock.patch.dict(sys.modules, {daemon.__name__: daemon}),
            mock.patch.object(package, "daemon", daemon, create=True),
        ):
            result = CliRunner().invoke(
                main, ["--settings", str(path), *arguments]
            )
        return result, daemon.run

    def test_runs_with_valid_settings(self):
        """Guards against a daemon that runs with other settings than given."""
        result, run = self.run_agent(_EXAMPLES / "ebene" / "agent.json5")
        self.assertEqual(0, result.exit_code, result.output)
        self.assertEqual("lm-floor", run.call_args.args[0].deployment)

    def test_rejects_bad_settings(self):
        """Guards against a daemon that starts with invalid settings."""
        for path in (_EXAMPLES / "ebene" / "entry.json5", _EXAMPLES):
            result, run = self.run_agent(path, "--json")
            self.assertEqual(2, result.exit_code, result.output)
            error = json.loads(result.stdout)["error"]
            self.assertEqual("CP1001", error["code"])
            run.assert_not_called()
