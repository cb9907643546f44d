"""Tests of the parser of the instance list."""

import asyncio
import json
from datetime import timedelta

import testtools

from chicoryplank.errors import ChicoryplankError
from chicoryplank_wire.instance_list import fetch_instances, parse_instances


def _make_item(**changes):
    values = {
        "instance": "agent-1",
        "role": "backend",
        "zone": "a",
        "address": "127.0.0.1:1",
    }
    return values | changes


class TestParseInstances(testtools.TestCase):
    """Tests malformed instances and documents."""

    def test_malformed_instances_are_left_out(self):
        """Guards against malformed addresses that fail only when used."""
        wrong = (
            _make_item(instance="agent-2", address="nowhere"),
            _make_item(instance="agent-3", address=7),
            _make_item(instance="agent-4", caller_address="x:y"),
            _make_item(instance=5),
            _make_item(address="127.0.0.1:99999"),
            _make_item(zone=["a"]),
            _make_item(role={}),
            _make_item(deployment=7),
            {"instance": "agent-5"},
            1,
            None,
        )
        document = {"instances": [*wrong, _make_item()]}
        found = [item.instance for item in parse_instances(document)]
        self.assertEqual(["agent-1"], found)

    def test_malformed_documents_are_rejected(self):
        """Guards against replacing the last valid list by an empty one."""
        for document in (None, [], {}, {"instances": [1]}):
            self.assertRaises(ValueError, parse_instances, document)


class _Client:
    """HTTP client whose response is a text."""

    status_code = 200

    def __init__(self, text):
        self._text = text

    async def get(self, url):
        return self

    async def json(self):
        return json.loads(self._text)


class TestFetchInstances(testtools.TestCase):
    """What ends the poll of the instance list."""

    def fetch(self, text):
        return asyncio.run(
            fetch_instances("127.0.0.1:1", timedelta(seconds=1), _Client(text))
        )

    def test_items_that_cannot_be_read(self):
        """Guards against an entry that stops to follow the list for good."""
        nested = "[" * 100_000
        too_large = "1" + "0" * 5_000
        for item in (nested, too_large, '"\\ud8'):
            text = f'{{"instances": [{item}]}}'
            self.assertRaises(ChicoryplankError, self.fetch, text)

    def test_nested_item_beside_a_sound_one(self):
        """Guards against one odd item that hides all others."""
        nested = '{"instance": ' + "[" * 500 + "]" * 500 + "}"
        sound = json.dumps(_make_item())
        (found,) = self.fetch(f'{{"instances": [{nested}, {sound}]}}')
        self.assertEqual("agent-1", found.instance)
