"""Tests of the log output."""

import json
import os
from datetime import UTC, datetime

import testtools

from chicoryplank.events import Event, emit
from chicoryplank_entry.forwarding.logs import LineWriter


class TestLineWriter(testtools.TestCase):
    """Lines are written completely, and a full output does not block."""

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
        """Guards against lines that tools cannot parse."""
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
        """Guards against an entry that blocks while its log is not read."""
        with self.lines.applicationbound():
            for number in range(6000):
                emit(Event.SETTINGS_READ, delayed=f"{number} {'x' * 60}")
                if number % 500 == 0:
                    self.lines.flush()
        output = b""
        for _ in range(40):
            self.lines.flush()
            output += self.read()
        documents = [json.loads(line) for line in output.splitlines()]
        dropped = sum(
            item["count"]
            for item in documents
            if item["event"] == Event.LINES_DROPPED.number
        )
        written = sum(
            item["event"] == Event.SETTINGS_READ.number for item in documents
        )
        self.assertEqual(6000, written + dropped)
        self.assertGreater(dropped, 0)
