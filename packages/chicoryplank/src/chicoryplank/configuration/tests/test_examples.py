"""Tests of the example files of both sites."""

import hashlib
import pathlib

import testtools

from chicoryplank.configuration import (
    Capacity,
    Objective,
    SettingsKind,
    SnapshotReader,
    create_plan,
    parse_intent,
    parse_settings,
)
from chicoryplank.configuration._plan import apply_intent

_EXAMPLES = pathlib.Path(__file__).resolve().parents[6] / "examples"
_DEPLOYMENTS = {
    "kwinana": {"toolroom-llm": 16, "press-tablets": 3},
    "ebene": {"lm-floor": 16, "gavel": 3},
}


def read_intent(site):
    """Returns the parsed intent of a site."""
    return parse_intent((_EXAMPLES / site / "intent.json5").read_text())


class TestExamples(testtools.TestCase):
    """The examples that operators use as templates."""

    def test_all_files_are_valid(self):
        """Guards against example files that do not pass validation."""
        files = sorted(_EXAMPLES.glob("*/*"))
        self.assertEqual(6, len(files))
        for path in files:
            if path.stem == "intent":
                parse_intent(path.read_text())
            else:
                parse_settings(path.read_text(), SettingsKind(path.stem))

    def test_intents_fit_the_capacity(self):
        """Guards against intents that need more capacity than the site has."""
        for site, deployments in _DEPLOYMENTS.items():
            capacity = Capacity(
                {
                    name: frozenset(f"{name}-{rank}" for rank in range(count))
                    for name, count in deployments.items()
                }
            )
            plan = create_plan(
                SnapshotReader().snapshot, read_intent(site), capacity
            )
            self.assertEqual(set(deployments), {n.group for n in plan.needs})

    def test_content(self):
        """Guards against wrong objectives, tokens and non-idempotent paths."""
        expected = {"kwinana": Objective.SKEW, "ebene": Objective.COST}
        for site, objective in expected.items():
            target = apply_intent(SnapshotReader().snapshot, read_intent(site))
            self.assertEqual(10, len(target.accounts))
            for name, account in target.accounts.items():
                token = f"{site}-{name}".encode()
                self.assertEqual(
                    hashlib.sha256(token).hexdigest(), account.token_sha256
                )
            for group in target.groups.values():
                self.assertEqual(objective, group.objective)
            for service in target.services.values():
                self.assertNotEqual((), service.non_repeatable_paths)
