"""Tests that the documentation lists all events and error codes."""

import pathlib
import re

import testtools

from chicoryplank.errors import ErrorCode
from chicoryplank.events import Event

_DOCS = pathlib.Path(__file__).resolve().parents[5] / "docs"


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
