"""Tests of the parser of the instance list."""

import testtools

from chicoryplank_wire.instance_list import parse_instances


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
        )
        document = {"instances": [*wrong, _make_item()]}
        found = [item.instance for item in parse_instances(document)]
        self.assertEqual(["agent-1"], found)

    def test_malformed_documents_are_rejected(self):
        """Guards against replacing the last valid list by an empty one."""
        for document in (None, [], {}, {"instances": [1]}):
            self.assertRaises(ValueError, parse_instances, document)
