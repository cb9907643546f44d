"""Tests that the documented catalogues match the code."""

import pathlib
import re

import testtools

from chicoryplank.errors import ErrorCode
from chicoryplank.events import Event

_DOCS = pathlib.Path(__file__).resolve().parents[5] / "docs"


class TestCatalogues(testtools.TestCase):
    """Comparison of docs with code, both ways."""

    def test_events(self):
        """Guards against events that operators cannot look up."""
        text = (_DOCS / "events.md").read_text()
        listed = [int(item) for item in re.findall(r"^\| (\d+) ", text, re.M)]
        numbers = [event.number for event in Event]
        self.assertEqual(sorted(set(numbers)), sorted(numbers))
        self.assertEqual(sorted(numbers), sorted(listed))

    def test_errors(self):
        """Guards against error codes without a documented remedy."""
        text = (_DOCS / "errors.md").read_text()
        listed = re.findall(r"^\| (CP\d{4}) ", text, re.M)
        codes = [code.value for code in ErrorCode]
        self.assertEqual(sorted(codes), sorted(listed))
