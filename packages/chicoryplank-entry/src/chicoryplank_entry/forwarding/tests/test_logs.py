"""Tests of the log output."""

import json
import os
from datetime import UTC, datetime

import testtools

from chicoryplank.events import Event, emit
from chicoryplank_entry.forwarding.logs import LineWriter


class TestLineWriter(testtools.TestCase):
    """Lines are whole, and a full output blocks nobody."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.lines = LineWriter(
            lambda: datetime(2026, 1, 1, tzinfo=UTC), "entry-1", self.writer
        )

    def read(self):
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 65536))
            except BlockingIOError:
                return b"".join(parts)

    def test_event_is_one_json_object(self):
        """Guards against lines that tools cannot read."""
        with self.lines.applicationbound():
            emit(Event.SETTINGS_READ, delayed="a\nb")
        self.lines.flush()
        (line,) = self.read().splitlines()
        document = json.loads(line)
        self.assertEqual(
            (1007, "a\nb", "entry-1"),
            (document["event"], document["delayed"], document["process"]),
        )

    def test_full_output_does_not_block(self):
        """Guards against an entry that stops because nobody reads its log."""
        with self.lines.applicationbound():
            for number in range(6000):
                emit(Event.SETTINGS_READ, delayed=f"{number} {'x' * 60}")
                if number % 500 == 0:
                    self.lines.flush()
        seen = b""
        for _ in range(40):
            self.lines.flush()
            seen += self.read()
        documents = [json.loads(line) for line in seen.splitlines()]
        dropped = sum(
            item["count"]
            for item in documents
            if item["event"] == Event.LINES_DROPPED.number
        )
        kept = sum(
            item["event"] == Event.SETTINGS_READ.number for item in documents
        )
        self.assertEqual(6000, kept + dropped)
        self.assertGreater(dropped, 0)
