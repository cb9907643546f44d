"""Tests that the documentation lists what there is, and nothing else."""

import pathlib
import re

import testtools

from chicoryplank.errors import ErrorCode
from chicoryplank.events import Event

_ROOT = pathlib.Path(__file__).resolve().parents[5]
_DOCS = _ROOT / "docs"


class TestCatalogues(testtools.TestCase):
    """Compares the documented numbers and codes with the code."""

    def test_events(self):
        """Guards against undocumented, removed and duplicate event numbers."""
        text = (_DOCS / "events.md").read_text()
        listed = [int(item) for item in re.findall(r"^\| (\d+) ", text, re.M)]
        numbers = [event.number for event in Event]
        self.assertEqual(sorted(set(numbers)), sorted(numbers))
        self.assertEqual(sorted(numbers), sorted(listed))

    def test_errors(self):
        """Guards against undocumented and removed error codes."""
        text = (_DOCS / "errors.md").read_text()
        listed = re.findall(r"^\| (CP\d{4}) ", text, re.M)
        codes = [code.value for code in ErrorCode]
        self.assertEqual(sorted(codes), sorted(listed))

    def test_commands(self):
        """Guards against a command of the first page that has no rule."""
        text = (_ROOT / "README.md").read_text()
        lines = re.findall(r"^    make (.+?)(?:  .*)?$", text, re.M)
        targets = {
            word for line in lines for word in line.split() if "=" not in word
        }
        rules = re.findall(
            r"^([\w%-]+):", (_ROOT / "Makefile").read_text(), re.M
        )
        missing = {
            target
            for target in targets
            if not any(
                re.fullmatch(rule.replace("%", ".+"), target) for rule in rules
            )
        }
        self.assertIn("soak-forwarding", targets)
        self.assertEqual(set(), missing)
